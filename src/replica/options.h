// The section [state] of our own configuration.
#pragma once

#include <cstddef>
#include <string>

#include "core/scheduler.h"

namespace martenford::replica {

struct ReplicationSettings {
    Duration push_every = 50ms;  ///< what is new is told together
    std::size_t push_to = 3;
    std::size_t push_times = 2;                  ///< by each that it is new to: six in all miss one in 400
    Duration compare_every = 1s;                 ///< with one other
    Duration tombstones = 24h;                   ///< a member away for longer starts anew on what is older
    std::size_t bytes_per_second = 1024 * 1024;  ///< to all others together
};

struct Options {
    ReplicationSettings replication;
    /// Of the registry whose lists the sidecars are told, by whichever agents: revisions of two can't be
    /// compared, and hints among those of another name say nothing.
    std::string registry;
    std::string directory;  ///< where this sidecar's copy is kept; empty: nowhere
    std::string helper;     ///< empty: martenford-ledger beside this program
};

}  // namespace martenford::replica
