// Options of the section [state] of the sidecar's own configuration.
#pragma once

#include <cstddef>
#include <string>

#include "core/scheduler.h"

namespace martenford::replica {

struct ReplicationSettings {
    Duration push_every = 50ms;  ///< new entries are collected and sent together
    std::size_t push_to = 3;     ///< members that receive a push
    /// Rounds in which each member pushes an entry that is new to it. With 3 receivers in each of 2 rounds,
    /// six pushes by every member, one member in 400 is missed (e^-6).
    std::size_t push_times = 2;
    Duration compare_every = 1s;  ///< with one other member
    /// Lifetime of tombstones. A member that was away for longer drops older entries that the others lack.
    Duration tombstones = 24h;
    std::size_t bytes_per_second = 1024 * 1024;  ///< to all other members together
};

struct Options {
    ReplicationSettings replication;
    /// Name of the registry whose endpoint lists the sidecars receive, through any agent. Revisions of
    /// different registries can't be compared, so drain hints of another registry are ignored.
    std::string registry;
    std::string directory;  ///< of this sidecar's snapshot; empty: no snapshot is stored
    std::string helper;     ///< path; empty: martenford-ledger in the directory of this program
};

}  // namespace martenford::replica
