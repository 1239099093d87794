#include "membership/staleness.h"

#include <algorithm>

namespace martenford {

using namespace martenford::decision;

namespace {

constexpr int kMinConnectFailures = 2;  // consecutive; a listening process refuses no connection
constexpr int kMinRejections = 4;  // consecutive; a full queue rejects some requests, a draining endpoint all
// Minimum length of a run: a restart ends before a list could report it.
constexpr Duration kMinRunDuration = 200ms;
constexpr Duration kRunExpiry = 10s;    // a run without further failures expires
constexpr Duration kMinQuietTime = 2s;  // since discovery's last answer; an ordinary change may be under way
constexpr Duration kInitialWait = 2s;   // between two requests; doubled each time that brings no change
constexpr Duration kMaxWait = 16s;      // the maximum, unless the replicas need more
// Share of discovery's time for each replica, so that a fleet that reacts together does not overload it.
constexpr Duration kWaitPerReplica = 100ms;
// Endpoints tracked; if more fail at once, the list is not the cause.
constexpr std::size_t kMaxRuns = 256;

}  // namespace

Staleness::Staleness(std::uint32_t replicas)
    : initial_wait_(std::max(kInitialWait, kWaitPerReplica * replicas)), wait_(initial_wait_) {}

bool Staleness::indicates_stale_list(const FailureRun& run, Time now) const {
    if (now - run.since < kMinRunDuration) return false;
    if (run.connect_failures < kMinConnectFailures && run.connect_failures + run.rejections < kMinRejections)
        return false;
    // If other endpoints don't serve either, or reject as much, the cause is load or the network, and a new
    // list does not help.
    const auto own = static_cast<std::uint64_t>(run.rejections);
    const std::uint64_t others = rejected_ - run.rejections_at_start - own;
    const bool served_elsewhere = served_ > run.served_at_start;
    return served_elsewhere && (run.connect_failures >= kMinConnectFailures || 2 * others < own);
}

bool Staleness::attempt_ended(EndpointId id, Status status, Time now) {
    if (status == Status::Ok) ++served_;
    if (status != Status::ConnectFailed && status != Status::Rejected) {
        // Any other answer shows that the endpoint accepts requests. An attempt that was cancelled here or
        // never sent shows nothing.
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
