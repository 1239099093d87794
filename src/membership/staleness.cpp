#include "membership/staleness.h"

#include <algorithm>

namespace martenford {

using namespace martenford::decision;

namespace {

constexpr int kMinConnectFailures = 2;  // in a row: a process that listens refuses nobody
constexpr int kMinRejections = 4;       // in a row: a full queue turns some away, a drain all
constexpr Duration kMinRunDuration =
    200ms;                              // that a run must last: a restart is over sooner than a list can tell
constexpr Duration kRunExpiry = 10s;    // after which a run that nothing was added to says no more
constexpr Duration kMinQuietTime = 2s;  // since discovery's last answer: news of the day is under way
constexpr Duration kInitialWait = 2s;   // between two asks, doubled each time that brought nothing
constexpr Duration kMaxWait = 16s;      // the longest, unless the replicas alone need more
constexpr Duration kWaitPerReplica =
    100ms;  // of discovery's time, so that a fleet of one mind does not crowd it
constexpr std::size_t kMaxRuns =
    256;  // endpoints looked at; more that fail at once are no matter of the list

}  // namespace

Staleness::Staleness(std::uint32_t replicas)
    : initial_wait_(std::max(kInitialWait, kWaitPerReplica * replicas)), wait_(initial_wait_) {}

bool Staleness::indicates_stale_list(const FailureRun& run, Time now) const {
    if (now - run.since < kMinRunDuration) return false;
    if (run.connect_failures < kMinConnectFailures && run.connect_failures + run.rejections < kMinRejections)
        return false;
    // Where others serve no more either, or turn as much away, it is load or the network, and no list helps.
    const auto own = static_cast<std::uint64_t>(run.rejections);
    const std::uint64_t others = rejected_ - run.rejections_at_start - own;
    const bool served_elsewhere = served_ > run.served_at_start;
    return served_elsewhere && (run.connect_failures >= kMinConnectFailures || 2 * others < own);
}

bool Staleness::attempt_ended(EndpointId id, Status status, Time now) {
    if (status == Status::Ok) ++served_;
    if (status != Status::ConnectFailed && status != Status::Rejected) {
        // Whatever else came shows that it takes requests; of what was ended here or never sent nothing is
        // known.
        if (status == Status::Ok || status == Status::Error) runs_.erase(id);
        return false;
    }
    std::erase_if(runs_, [&](const auto& entry) { return now - entry.second.last > kRunExpiry; });
    if (runs_.size() >= kMaxRuns && !runs_.contains(id)) return false;
    const auto [position, is_new] = runs_.try_emplace(id);
    FailureRun& run = position->second;
    if (is_new) run = {now, now, 0, 0, served_, rejected_};
    run.last = now;
    if (status == Status::Rejected) ++rejected_;
    ++(status == Status::Rejected ? run.rejections : run.connect_failures);
    if (!indicates_stale_list(run, now)) return false;
    if (now - last_answer_at_ < kMinQuietTime || (requested_ && now - last_request_at_ < wait_)) return false;
    wait_ = requested_ ? std::min(wait_ * 2, std::max(kMaxWait, initial_wait_)) : initial_wait_;
    requested_ = true;
    last_request_at_ = now;
    return true;
}

void Staleness::discovery_answered(bool changed, Time now) {
    last_answer_at_ = now;
    if (!changed) return;
    runs_.clear();
    requested_ = false;
}

}  // namespace martenford
