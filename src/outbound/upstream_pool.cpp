#include "outbound/upstream_pool.h"

#include <algorithm>

namespace martenford::outbound {

using decision::Random;

namespace {

// For this long an upstream is avoided: after a connection to its proxy failed, and after one broke off
// during an attempt. Long enough for the registry to report a crash, short enough for a restart.
constexpr Duration kAvoidUnreachable = 500ms;
constexpr Duration kAvoidAfterReset = 300ms;
// For this long a reported queue length is used; later the queue is another one.
constexpr Duration kQueueWaitValidFor = 300ms;

bool contains_id(std::span<const EndpointId> ids, EndpointId id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool may_have_run_at(const CallHistory& history, EndpointId id) {
    return std::any_of(history.attempts.begin(), history.attempts.end(),
                       [&](const Attempt& attempt) { return attempt.may_have_run && attempt.to == id; });
}

/// A query whether an attempt was passed on makes the inbound proxy fence its id: it would reject it from
/// then.
bool is_fenced_at(const CallHistory& history, EndpointId id) {
    return std::any_of(history.attempts.begin(), history.attempts.end(),
                       [&](const Attempt& attempt) { return attempt.queries_attempt && attempt.to == id; });
}

}  // namespace

void UpstreamPool::set(EndpointId id, const Upstream& upstream) {
    const auto [it, added] = upstreams_.try_emplace(id);
    it->second.upstream = upstream;
    if (added) ids_by_service_[upstream.service].push_back(id);
}

void UpstreamPool::remove(EndpointId id) {
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end()) return;
    std::erase(ids_by_service_[it->second.upstream.service], id);
    upstreams_.erase(it);
}

bool UpstreamPool::any_ready() const {
    return std::any_of(upstreams_.begin(), upstreams_.end(),
                       [](const auto& entry) { return entry.second.upstream.ready; });
}

void UpstreamPool::set_queue_wait(EndpointId id, Time now, Duration wait) {
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end()) return;
    it->second.queue_wait_since = now;
    it->second.queue_wait = wait;
}

void UpstreamPool::attempt_started(EndpointId id) {
    if (const auto it = upstreams_.find(id); it != upstreams_.end()) ++it->second.in_flight;
}

void UpstreamPool::attempt_ended(EndpointId id, Status status, Time now) {
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end()) return;
    --it->second.in_flight;
    if (status == Status::ConnectFailed) it->second.avoid_until = now + kAvoidUnreachable;
    if (status == Status::Reset) it->second.avoid_until = now + kAvoidAfterReset;
}

/// Ready upstreams that have not rejected the call. If there are any, those that are heard by the
/// controllers, not avoided, and where the call has not run before.
std::vector<EndpointId> UpstreamPool::candidates(Time now, const std::string& service,
                                                 const CallHistory& history) const {
    const auto known = ids_by_service_.find(service);
    if (known == ids_by_service_.end()) return {};
    std::vector<EndpointId> preferred, last_resort;
    for (const EndpointId id : known->second) {
        const State& state = upstreams_.at(id);
        if (!state.upstream.ready || contains_id(history.rejected_by, id)) continue;
        const bool is_doubtful = state.upstream.lease_expired || state.avoid_until > now;
        const bool is_last_resort = is_doubtful || may_have_run_at(history, id);
        (is_last_resort ? last_resort : preferred).push_back(id);
    }
    return preferred.empty() ? last_resort : preferred;
}

/// By attempts of this proxy in flight; where they are equal the one in the own zone, whose traffic is free,
/// and otherwise the first.
EndpointId UpstreamPool::less_loaded(EndpointId first, EndpointId second) const {
    const State& a = upstreams_.at(first);
    const State& b = upstreams_.at(second);
    if (a.in_flight != b.in_flight) return a.in_flight < b.in_flight ? first : second;
    const bool only_second_is_local = b.upstream.zone == zone_ && a.upstream.zone != zone_;
    return only_second_is_local ? second : first;
}

std::optional<EndpointId> UpstreamPool::pick_of_two(Time now, const std::string& service,
                                                    const CallHistory& history, Random& random) const {
    const std::vector<EndpointId> ids = candidates(now, service, history);
    if (ids.empty()) return std::nullopt;
    const EndpointId first = ids[random.below(ids.size())];
    if (ids.size() == 1) return first;
    EndpointId second = first;
    while (second == first) second = ids[random.below(ids.size())];
    return less_loaded(first, second);
}

std::optional<EndpointId> UpstreamPool::shortest_queue(Time now, const CallHistory& history) const {
    std::optional<EndpointId> best;
    Duration least_wait = Duration::max();
    for (const EndpointId id : history.rejected_by) {
        const auto it = upstreams_.find(id);
        if (it == upstreams_.end()) continue;
        const State& state = it->second;
        if (!state.upstream.ready || now - state.queue_wait_since > kQueueWaitValidFor) continue;
        if (is_fenced_at(history, id)) continue;
        if (state.queue_wait < least_wait) {
            least_wait = state.queue_wait;
            best = id;
        }
    }
    return best;
}

}  // namespace martenford::outbound
