// The helper that stores a snapshot of a sidecar's shared state in an SQLite file. It is a separate process
// because it blocks on the disk.
#pragma once

#include <cstdint>
#include <string>

namespace martenford::replica {

struct SnapshotWriterOptions {
    std::string directory;
    int descriptor = 3;  ///< connected socket to the sidecar
    std::string vfs;     ///< name of an SQLite VFS; empty: the default
};

/// Exit codes of the helper process.
constexpr int kSnapshotWriterDone = 0, kSnapshotWriterFailed = 1, kSnapshotWriterBadPeer = 4;

/// Runs until the sidecar closes its end of the socket and all that it sent is stored. Returns an exit code.
int run_snapshot_writer(const SnapshotWriterOptions& options);

}  // namespace martenford::replica
