// The writer process: owns the journal's file, takes records from its sidecar, makes them durable in batches
// and says so. It blocks, and that is why it is a process of its own.
#pragma once

#include <string>

#include "ledger/group_commit.h"
#include "ledger/options.h"

namespace martenford::ledger {

struct WriterOptions {
    std::string directory;
    int descriptor = 3;      ///< the connected socket to the sidecar
    bool successor = false;  ///< an earlier process of the same sidecar may still be finishing
    std::uint64_t max_bytes = 0;
    GroupCommit::Options batch;
    Duration journal_retention{};  ///< 0: nothing is moved to archives
    Duration archive_retention{};
};

/// Exit codes of the writer that its sidecar tells apart.
constexpr int kWriterDone = 0, kWriterFailed = 1, kWriterNotOwner = 3, kWriterBadPeer = 4;

/// Runs until the sidecar's end of the socket is closed and all that came from it is kept.
int run_writer(const WriterOptions& options);

}  // namespace martenford::ledger
