// Options of the pure packages, derived from the settings file.
#pragma once

#include "bootstrap/settings.h"
#include "quota/quota.h"
#include "raft/raft_node.h"

namespace martenford::controller {

/// `fault_tolerance` and the time after which an unresponsive voter is replaced; the rest keeps RaftOptions'
/// defaults.
[[nodiscard]] raft::RaftOptions raft_options(const bootstrap::Settings& settings);

/// The quota bounds of the settings; the rest keeps the allocator's defaults.
[[nodiscard]] quota::QuotaAllocator::Options quota_options(const bootstrap::Settings& settings);

}  // namespace martenford::controller
