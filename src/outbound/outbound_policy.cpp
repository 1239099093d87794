#include "outbound/outbound_policy.h"

#include <algorithm>

namespace martenford::outbound {

using namespace martenford::decision;

namespace {
constexpr Duration kShunUnreached = 500ms;                           // a gate that could not be reached
constexpr Duration kShunFailed = 300ms;                              // one whose endpoint broke off
constexpr Duration kHintHolds = 300ms;                               // what a gate said of its queue
constexpr Duration kComeBackLeast = 400ms, kComeBackSpread = 400ms;  // Retry-After of a refusal
constexpr std::size_t kMostPrepared = 4096;
constexpr Duration kReplanTime = 500ms;  // for the newer configuration to come: polls for it hang everywhere
constexpr Duration kAskTime = 300ms;  // for a gate to say whether it ever handed on what a broken hop carried
}  // namespace

void OutboundPolicy::prepare(const RequestId& id, RequestPlan plan) {
    if (prepared_plans_.size() >= kMostPrepared)
        prepared_plans_.clear();  // left behind by ids that were under way already
    prepared_plans_[id] = std::move(plan);
}

void OutboundPolicy::set_upstream(EndpointId id, const Upstream& upstream) {
    const auto [it, fresh] = upstreams_.try_emplace(id);
    it->second.upstream = upstream;
    if (fresh) by_service_[upstream.service].push_back(id);
}

void OutboundPolicy::remove_upstream(EndpointId id) {
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end()) return;
    std::erase(by_service_[it->second.upstream.service], id);
    upstreams_.erase(it);
}

void OutboundPolicy::queue_hint(EndpointId id, Time now, Duration wait) {
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end()) return;
    it->second.hinted_at = now;
    it->second.queue_wait = wait;
}

AdmissionMode OutboundPolicy::admission_mode(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? AdmissionMode::Queue : it->second.mode;
}

void OutboundPolicy::outdated(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    it->second.outdated = true;
    it->second.plan_renewed = false;
}

void OutboundPolicy::replan(const RequestId& id, std::optional<RequestPlan> plan) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || !it->second.outdated) return;
    Call& call = it->second;
    call.plan_renewed = true;
    if (!plan) return;
    plan->latency_target_at = call.plan.latency_target_at;
    call.plan = *plan;
    call.outdated = false;
}

/// By the new plan, or given up where there is none.
void OutboundPolicy::continue_with_new_plan(Call& call) {
    call.plan_renewed = false;
    if (std::exchange(call.outdated, false)) return give_up(call);
    // What was sent while it might be repeated is not sent again once it may not.
    if (!call.plan.idempotent && (call.runs > 0 || has_attempt_in_flight(call))) return give_up(call);
    call.rejected_by.clear();
    call.offers = 0;
    call.mode = AdmissionMode::IfSlotFree;
    try_send(call);
}

std::optional<Duration> OutboundPolicy::delivery_query(const RequestId& id) const {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.attempts.empty()) return std::nullopt;
    const auto asked = it->second.attempts.back().queries_attempt;
    if (!asked) return std::nullopt;
    return now_ - it->second.attempts[*asked].sent_at;
}

void OutboundPolicy::delivered(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && !it->second.attempts.empty()) it->second.attempts.back().delivered = true;
}

const RequestPlan* OutboundPolicy::plan(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second.plan;
}

bool OutboundPolicy::any_ready() const {
    return std::any_of(upstreams_.begin(), upstreams_.end(),
                       [](const auto& b) { return b.second.upstream.ready; });
}

/// A second attempt beside one that is doubted. Guards against breaking off work that its endpoint is at: a
/// proxy that is silent to the core, or told as another life, may be busy all the same.
void OutboundPolicy::on(const decision::Discovered&) {
    std::vector<RequestId> lonely, anew;
    for (const auto& [request, call] : calls_) {
        if (call.open && call.held_until && call.plan_renewed) anew.push_back(request);
    }
    for (const RequestId& id : anew) continue_with_new_plan(calls_.at(id));
    for (const EndpointId id : std::exchange(withdrawn_upstreams_, {})) {
        for (auto& [request, call] : calls_) {
            if (!call.open || !call.plan.idempotent) continue;
            bool fresh = false;
            for (Attempt& attempt : call.attempts) {
                if (attempt.in_flight && attempt.to == id && !std::exchange(attempt.upstream_lost, true))
                    fresh = true;
            }
            const bool others = std::any_of(call.attempts.begin(), call.attempts.end(),
                                            [](const Attempt& a) { return a.in_flight && !a.upstream_lost; });
            if (fresh && !others && !call.held_until) lonely.push_back(request);
        }
    }
    for (const RequestId& id : lonely) {
        if (const auto it = calls_.find(id); it != calls_.end()) retry(it->second);
    }
}

void OutboundPolicy::handle(Time now, const decision::Event& event, std::vector<Action>& out) {
    now_ = now;
    actions_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
}

void OutboundPolicy::on(const Request& request) {
    auto plan = prepared_plans_.extract(request.id);
    if (plan.empty() || calls_.contains(request.id)) return;
    Call& call = calls_[request.id];
    call.request = request;
    call.plan = std::move(plan.mapped());
    call.number = ++last_call_number_;
    ids_by_number_[call.number] = request.id;
    try_send(call);
}

bool OutboundPolicy::was_tried(const Call& call, EndpointId id) const {
    return std::find(call.rejected_by.begin(), call.rejected_by.end(), id) != call.rejected_by.end();
}

/// The less loaded of two random ready gates, by own calls out; a retry goes elsewhere where it can. Those
/// that refused this request are passed over; those that were not reached lately, and silent ones, come last.
std::optional<EndpointId> OutboundPolicy::pick(const Call& call) {
    const auto known = by_service_.find(call.plan.service);
    if (known == by_service_.end()) return std::nullopt;
    std::vector<EndpointId> best, rest;
    for (const EndpointId id : known->second) {
        const UpstreamState& held = upstreams_.at(id);
        if (!held.upstream.ready || was_tried(call, id)) continue;
        const bool been = std::any_of(call.attempts.begin(), call.attempts.end(),
                                      [&](const Attempt& a) { return a.may_have_run && a.to == id; });
        (held.upstream.lease_expired || held.avoid_until > now_ || been ? rest : best).push_back(id);
    }
    const auto& from = best.empty() ? rest : best;
    if (from.empty()) return std::nullopt;
    const EndpointId a = from[random_.below(from.size())];
    if (from.size() == 1) return a;
    EndpointId b = a;
    while (b == a) b = from[random_.below(from.size())];
    const UpstreamState &first = upstreams_.at(a), &second = upstreams_.at(b);
    if (first.in_flight != second.in_flight) return first.in_flight < second.in_flight ? a : b;
    // Alike: the one in the own zone, which costs nothing to reach.
    const bool first_near = first.upstream.zone == options_.zone,
               second_near = second.upstream.zone == options_.zone;
    return first_near != second_near && second_near ? b : a;
}

/// Of the gates that had no free place, the one whose queue is the shortest by what they said.
std::optional<EndpointId> OutboundPolicy::least_wait(const Call& call) {
    std::optional<EndpointId> best;
    Duration least = Duration::max();
    for (const EndpointId id : call.rejected_by) {
        const auto it = upstreams_.find(id);
        if (it == upstreams_.end() || !it->second.upstream.ready || now_ - it->second.hinted_at > kHintHolds)
            continue;
        // It has barred the id.
        if (std::any_of(call.attempts.begin(), call.attempts.end(),
                        [&](const Attempt& a) { return a.queries_attempt && a.to == id; }))
            continue;
        if (it->second.queue_wait < least) {
            least = it->second.queue_wait;
            best = id;
        }
    }
    return best;
}

void OutboundPolicy::try_send(Call& call) {
    call.held_until.reset();
    if (call.attempts.size() >= options_.max_hops) return give_up(call);
    std::optional<EndpointId> to;
    if (call.mode == AdmissionMode::IfSlotFree && call.offers < options_.slot_offers) to = pick(call);
    if (!to) {
        // Nobody of those asked has a free place: into the shortest queue.
        if (call.mode == AdmissionMode::IfSlotFree) {
            call.mode = AdmissionMode::Queue;
            to = least_wait(call);
        }
        if (!to) to = pick(call);
    }
    if (!to) return give_up(call);
    ++call.offers;
    ++upstreams_.at(*to).in_flight;
    call.attempts.push_back({*to, true});
    call.attempts.back().sent_at = now_;
    actions_->push_back(Send{call.request.id, *to, Duration{}});
}

void OutboundPolicy::on(const Outcome& outcome) {
    const auto known = calls_.find(outcome.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    if (outcome.attempt >= call.attempts.size() || !call.attempts[outcome.attempt].in_flight) return;
    Attempt& attempt = call.attempts[outcome.attempt];
    attempt.in_flight = false;
    const auto upstream = upstreams_.find(attempt.to);
    if (upstream != upstreams_.end()) --upstream->second.in_flight;
    const bool never_ran = outcome.status == Status::Full || outcome.status == Status::ConnectFailed ||
                           outcome.status == Status::NotSent;
    const auto asked = attempt.queries_attempt;
    attempt.may_have_run = !never_ran && !asked;
    if (attempt.may_have_run) ++call.runs;
    if (upstream != upstreams_.end()) {
        if (outcome.status == Status::ConnectFailed) upstream->second.avoid_until = now_ + kShunUnreached;
        if (outcome.status == Status::Reset) upstream->second.avoid_until = now_ + kShunFailed;
    }
    if (outcome.status == Status::Ok)
        retry_budgets_.try_emplace(call.plan.service, options_.retry_tokens).first->second.earn();
    if (outcome.last) call.open = false;
    if (!call.open) return forget_if_over(outcome.id);
    if (asked) {
        // Only the gate's own word frees it: one that can't be reached may have handed it on before.
        if (outcome.status != Status::Full) return give_up(call);
        call.attempts[*asked].may_have_run = false;
        --call.runs;
        call.rejected_by.push_back(attempt.to);
        return try_send(call);
    }
    if (outcome.status == Status::Reset && query_delivery(call, outcome.attempt)) return;
    if (never_ran) call.rejected_by.push_back(attempt.to);
    // Beside one that was doubted: another is out, or about to go.
    if (call.held_until || std::any_of(call.attempts.begin(), call.attempts.end(),
                                       [](const Attempt& a) { return a.in_flight && !a.upstream_lost; }))
        return;
    if (call.plan_renewed) return continue_with_new_plan(call);
    if (call.outdated) {
        call.held_until = now_ + std::min(kReplanTime, left_for_retry(call.request.deadline, now_));
        actions_->push_back(SetTimer{*call.held_until, call.number});
        return;
    }
    if (never_ran) return try_send(call);
    retry(call);
}

/// After a broken hop: whether what must not run twice was ever handed on. The gate that says no has barred
/// it.
bool OutboundPolicy::query_delivery(Call& call, std::size_t attempt) {
    const Attempt broken = call.attempts[attempt];
    const auto upstream = upstreams_.find(broken.to);  // of the same life, or it is not there
    if (call.plan.idempotent || broken.delivered || upstream == upstreams_.end() ||
        left_for_retry(call.request.deadline, now_) <= Duration{})
        return false;
    ++upstream->second.in_flight;
    call.attempts.push_back({broken.to, true});
    call.attempts.back().queries_attempt = attempt;
    actions_->push_back(Send{call.request.id, broken.to, kAskTime});
    return true;
}

void OutboundPolicy::retry(Call& call) {
    const Duration left = left_for_retry(call.request.deadline, now_);
    const auto may_have_run = std::count_if(call.attempts.begin(), call.attempts.end(),
                                            [](const Attempt& a) { return a.in_flight || a.may_have_run; });
    const bool allowed = call.plan.idempotent && may_have_run < call.plan.max_attempts;
    if (!allowed || left <= Duration{}) return give_up(call);
    if (!retry_budgets_.try_emplace(call.plan.service, options_.retry_tokens).first->second.spend())
        return give_up(call);
    call.rejected_by.clear();
    call.offers = 0;
    call.mode = AdmissionMode::IfSlotFree;
    call.held_until = now_ + std::min(call.backoff.next(random_), left);
    actions_->push_back(SetTimer{*call.held_until, call.number});
}

void OutboundPolicy::on(const TimerFired& timer) {
    const auto number = ids_by_number_.find(timer.token);
    if (number == ids_by_number_.end()) return;
    const auto call = calls_.find(number->second);
    if (call == calls_.end() || !call->second.held_until || now_ < *call->second.held_until) return;
    if (!call->second.open) return;
    call->second.outdated || call->second.plan_renewed ? continue_with_new_plan(call->second)
                                                       : try_send(call->second);
}

/// The final answer, at once: a promise where nothing can have run, with a time to come back.
void OutboundPolicy::give_up(Call& call) {
    const RequestId id = call.request.id;
    call.held_until.reset();
    const bool out = has_attempt_in_flight(call);
    if (out && draining_) return;  // the last to end, or the deadline, brings the answer
    for (std::size_t i = 0; out && i < call.attempts.size(); ++i) {
        if (call.attempts[i].in_flight) actions_->push_back(Cancel{id, static_cast<AttemptNumber>(i)});
    }
    if (call.runs == 0 && !out) {
        actions_->push_back(Refuse{id, kComeBackLeast + scaled(kComeBackSpread, random_.unit())});
    } else {
        actions_->push_back(Fail{id});
    }
    call.open = false;
    forget_if_over(id);
}

void OutboundPolicy::on(const DeadlineExpired& lapsed) {
    const auto known = calls_.find(lapsed.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    call.open = false;
    call.held_until.reset();
    // Nobody waits any more: what may be repeated needn't run on.
    if (call.plan.idempotent) {
        for (std::size_t i = 0; i < call.attempts.size(); ++i) {
            if (call.attempts[i].in_flight)
                actions_->push_back(Cancel{lapsed.id, static_cast<AttemptNumber>(i)});
        }
    }
    forget_if_over(lapsed.id);
}

bool OutboundPolicy::has_attempt_in_flight(const Call& call) {
    return std::any_of(call.attempts.begin(), call.attempts.end(),
                       [](const Attempt& a) { return a.in_flight; });
}

void OutboundPolicy::forget_if_over(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.open) return;
    if (has_attempt_in_flight(it->second)) return;
    ids_by_number_.erase(it->second.number);
    calls_.erase(it);
}

}  // namespace martenford::outbound
