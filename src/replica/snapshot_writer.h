// The helper that keeps a sidecar's copy of the shared state in a file. It blocks, and that is why it is a
// process of its own.
#pragma once

#include <cstdint>
#include <string>

namespace martenford::replica {

struct SnapshotWriterOptions {
    std::string directory;
    int descriptor = 3;  ///< the connected socket to the sidecar
    std::string vfs;     ///< of SQLite's file systems; empty: the usual one
};

/// Exit codes that the sidecar tells apart in its log.
constexpr int kSnapshotWriterDone = 0, kSnapshotWriterFailed = 1, kSnapshotWriterBadPeer = 4;

/// Runs until the sidecar's end of the socket is closed and all that came from it is kept.
int run_snapshot_writer(const SnapshotWriterOptions& options);

}  // namespace martenford::replica
