// An endpoint as listed by discovery.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/scheduler.h"

namespace martenford {

struct Target {
    std::string uid;
    Address address;
    decision::Endpoint endpoint;  ///< id and start are set by Membership
    std::int64_t boot_ms = 0;     ///< Unix time in ms; 0: long ago
};

struct TargetList {
    std::uint64_t revision = 0;
    bool all = false;
    std::vector<Target> targets;
    /// Uids of entries that were skipped as unreadable; empty if the uid is unreadable too.
    std::vector<std::string> unreadable;
};

}  // namespace martenford
