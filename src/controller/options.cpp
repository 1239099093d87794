#include "controller/options.h"

#include <algorithm>

namespace martenford::controller {
namespace {

// A replacement voter must have caught up before the next machine may be lost, so it is appointed after 3/8
// of the catch-up bound. Below 1 s a slow heartbeat would count as a loss; above 2.5 s a second loss could
// come before the replacement votes.
constexpr int kReplaceVoterNumerator = 3;
constexpr int kReplaceVoterDenominator = 8;
constexpr Duration kMinReplaceVoterAfter = 1s;
constexpr Duration kMaxReplaceVoterAfter = 2500ms;

// An orderly restart takes a machine away as well, so one is tolerated even if the settings ask for none.
constexpr std::size_t kMinToleratedMachines = 1;

}  // namespace

raft::RaftOptions raft_options(const bootstrap::Settings& settings) {
    const Duration replace_after =
        settings.bounds.catch_up * kReplaceVoterNumerator / kReplaceVoterDenominator;

    raft::RaftOptions options;
    options.fault_tolerance = settings.fault_tolerance;
    options.fault_tolerance.machines = std::max(options.fault_tolerance.machines, kMinToleratedMachines);
    options.replace_voter_after =
        std::clamp<Duration>(replace_after, kMinReplaceVoterAfter, kMaxReplaceVoterAfter);
    return options;
}

quota::QuotaAllocator::Options quota_options(const bootstrap::Settings& settings) {
    quota::QuotaAllocator::Options options;
    options.window = settings.bounds.quota_window;
    options.overshoot = settings.bounds.quota_overshoot;
    options.slack = settings.bounds.quota_slack;
    return options;
}

}  // namespace martenford::controller
