// An endpoint as discovery lists it.
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
    decision::Endpoint endpoint;  ///< its id and start are left to the membership
    std::int64_t boot_ms = 0;     ///< Unix time; 0: long ago
};

struct TargetList {
    std::uint64_t revision = 0;
    bool all = false;
    std::vector<Target> targets;
    /// Uids of entries that were skipped; empty where that is wrong too.
    std::vector<std::string> unreadable;
};

}  // namespace martenford
