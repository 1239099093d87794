// The writer process: owns the journal database, receives records from its sidecar, makes them durable in
// batches and acknowledges them. It is a separate process because it blocks.
#pragma once

#include <string>

#include "ledger/group_commit.h"
#include "ledger/options.h"

namespace martenford::ledger {

struct WriterOptions {
    std::string directory;
    int descriptor = 3;      ///< connected socket to the sidecar
    bool successor = false;  ///< an earlier process of the same sidecar may still be finishing
    std::uint64_t max_bytes = 0;
    GroupCommit::Options batch;
    Duration journal_retention{};  ///< 0: nothing is moved to archives
    Duration archive_retention{};
};

/// Exit codes of the writer process.
constexpr int kWriterDone = 0, kWriterFailed = 1, kWriterNotOwner = 3, kWriterBadPeer = 4;

/// Runs until the sidecar closes its end of the socket and everything received from it is stored.
int run_writer(const WriterOptions& options);

}  // namespace martenford::ledger
