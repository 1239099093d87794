#include "outbound/outbound_policy.h"

#include <algorithm>
#include <utility>

namespace martenford::outbound {

using namespace martenford::decision;

namespace {

// Retry-After of a rejection: drawn evenly from [min, min + spread), so that rejected clients do not return
// all at once.
constexpr Duration kMinRetryAfter = 400ms;
constexpr Duration kRetryAfterSpread = 400ms;
// Plans whose request has not come. Bounds the memory: the engine passes over a request whose id is in
// progress, so that its plan is left behind.
constexpr std::size_t kMaxPreparedPlans = 4096;
// How long a request waits for a newer configuration. Every proxy has a long poll for it open, so that it
// comes within a round trip if a controller can be reached.
constexpr Duration kNewPlanTimeout = 500ms;
// How long an inbound proxy has to say whether it passed an attempt on.
constexpr Duration kDeliveryQueryTimeout = 300ms;

}  // namespace

void OutboundPolicy::prepare(const RequestId& id, RequestPlan plan) {
    if (prepared_plans_.size() >= kMaxPreparedPlans) prepared_plans_.clear();
    prepared_plans_[id] = std::move(plan);
}

const RequestPlan* OutboundPolicy::plan(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second.plan;
}

AdmissionMode OutboundPolicy::admission_mode(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? AdmissionMode::Queue : it->second.mode;
}

void OutboundPolicy::handle(Time now, const Event& event, std::vector<Action>& out) {
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

// --- Sending ---------------------------------------------------------------------------------------------

/// Upstreams that rejected the call earlier may have a free slot by now.
void OutboundPolicy::start_round(Call& call) {
    call.rejected_by.clear();
    call.offers = 0;
    call.mode = AdmissionMode::IfSlotFree;
}

/// First the free slots of a few upstreams, by two random choices; then the shortest queue among those that
/// had none; then any queue. Switches the call's mode accordingly.
std::optional<EndpointId> OutboundPolicy::choose_upstream(Call& call) {
    const auto pick = [&] { return upstreams_.pick_of_two(now_, call.plan.service, history(call), random_); };
    if (call.mode == AdmissionMode::IfSlotFree) {
        if (call.offers < options_.slot_offers) {
            if (const auto to = pick()) return to;
        }
        call.mode = AdmissionMode::Queue;
        if (const auto to = upstreams_.shortest_queue(now_, history(call))) return to;
    }
    return pick();
}

void OutboundPolicy::try_send(Call& call) {
    call.resume_at.reset();
    if (call.attempts.size() >= options_.max_hops) return give_up(call);
    const std::optional<EndpointId> to = choose_upstream(call);
    if (!to) return give_up(call);
    ++call.offers;
    upstreams_.attempt_started(*to);
    Attempt attempt;
    attempt.to = *to;
    attempt.in_flight = true;
    attempt.sent_at = now_;
    call.attempts.push_back(attempt);
    actions_->push_back(Send{call.request.id, *to, Duration{}});
}

// --- Retries, by "Retries Done Right" --------------------------------------------------------------------

/// Section "Mistake #6: retrying non-idempotent operations". Counts attempts that may have run or may still
/// run; rejected ones are free.
bool OutboundPolicy::may_run_again(const Call& call) {
    const auto may_run = [](const Attempt& attempt) { return attempt.in_flight || attempt.may_have_run; };
    const auto runs = std::count_if(call.attempts.begin(), call.attempts.end(), may_run);
    return call.plan.idempotent && runs < call.plan.max_attempts;
}

/// Section "Mistake #4: no retry budget": a served call adds a token to its service's bucket.
void OutboundPolicy::earn_retry_token(const Call& call) {
    retry_budget(call.plan.service).earn();
}

/// Section "Mistake #4: no retry budget": a retry costs 1 / retryRatio tokens (kRetryCost), so that retries
/// add at most a tenth to the load. Returns false if the bucket has too few.
bool OutboundPolicy::spend_retry_tokens(const Call& call) {
    return retry_budget(call.plan.service).spend();
}

decision::RetryBudget& OutboundPolicy::retry_budget(const std::string& service) {
    const auto [budget, is_new] =
        retry_budgets_.try_emplace(service, options_.retry_tokens, options_.initial_retry_tokens);
    return budget->second;
}

/// Section "Mistake #3: backoff without jitter", decorrelated jitter: each wait is drawn by the wait before.
Duration OutboundPolicy::jittered_wait(Call& call) {
    return call.backoff.next(random_);
}

/// Section "Mistake #5: ignoring the request deadline": the time left, less a buffer (kDeadlineBuffer)
/// without which the last attempt could not end in time. 0 or less: no retry.
Duration OutboundPolicy::time_left_for_retry(const Call& call) const {
    return retry_time_left(call.request.deadline, now_);
}

/// Schedules another attempt if all four allow it; otherwise gives up.
void OutboundPolicy::retry(Call& call) {
    const Duration left = time_left_for_retry(call);
    if (!may_run_again(call) || left <= Duration{}) return give_up(call);
    if (!spend_retry_tokens(call)) return give_up(call);
    start_round(call);
    call.resume_at = now_ + std::min(jittered_wait(call), left);
    actions_->push_back(SetTimer{*call.resume_at, call.number});
}

/// A rejection proves that the request did not run: it is offered to the next upstream at once. An endpoint
/// that turned it away did get it, so that the next offer is one more arrival and costs what a retry costs.
void OutboundPolicy::offer_again(Call& call, const Attempt& rejected) {
    if (rejected.turned_away && !spend_retry_tokens(call)) return give_up(call);
    try_send(call);
}

void OutboundPolicy::on(const TimerFired& timer) {
    const auto number = ids_by_number_.find(timer.token);
    if (number == ids_by_number_.end()) return;
    const auto known = calls_.find(number->second);
    if (known == calls_.end()) return;
    Call& call = known->second;
    if (!call.resume_at || now_ < *call.resume_at) return;  // an earlier timer, not needed any more
    if (!call.open) return;
    if (call.outdated || call.plan_renewed) return continue_with_new_plan(call);
    try_send(call);
}

// --- Outcomes --------------------------------------------------------------------------------------------

void OutboundPolicy::on(const Outcome& outcome) {
    const auto known = calls_.find(outcome.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    if (outcome.attempt >= call.attempts.size() || !call.attempts[outcome.attempt].in_flight) return;
    const bool never_ran = proves_never_ran(outcome.status);
    record_outcome(call, outcome, never_ran);
    if (!call.open) return forget_if_finished(outcome.id);

    const Attempt attempt = call.attempts[outcome.attempt];
    if (attempt.queries_attempt) return on_delivery_answer(call, attempt, outcome.status);
    if (outcome.status == Status::Reset && query_delivery(call, outcome.attempt)) return;
    if (never_ran) call.rejected_by.push_back(attempt.to);
    go_on(call, attempt);
}

void OutboundPolicy::record_outcome(Call& call, const Outcome& outcome, bool never_ran) {
    Attempt& attempt = call.attempts[outcome.attempt];
    attempt.in_flight = false;
    upstreams_.attempt_ended(attempt.to, outcome.status, now_);
    attempt.may_have_run = !never_ran && !attempt.queries_attempt;
    if (attempt.may_have_run) ++call.runs;
    if (outcome.status == Status::Ok) earn_retry_token(call);
    if (outcome.last) call.open = false;
}

/// What follows an attempt that did not bring the final answer.
void OutboundPolicy::go_on(Call& call, const Attempt& ended) {
    // Another attempt is in flight, or about to be sent.
    if (call.resume_at || has_reliable_attempt(call)) return;
    if (call.plan_renewed) return continue_with_new_plan(call);
    if (call.outdated) return wait_for_new_plan(call);
    if (!ended.may_have_run) return offer_again(call, ended);
    retry(call);
}

/// After a broken connection nobody but the inbound proxy knows whether it passed the request on. Asks it, if
/// the request must not run twice and there is time. The query makes the inbound proxy fence the attempt's
/// id, so that a copy that is still on its way is rejected. Returns false if there is nothing to ask.
bool OutboundPolicy::query_delivery(Call& call, std::size_t attempt) {
    const Attempt broken = call.attempts[attempt];
    // A restarted inbound proxy is another upstream: then the pool does not have this one any more.
    const bool can_ask = !call.plan.idempotent && !broken.delivered && upstreams_.contains(broken.to);
    if (!can_ask || time_left_for_retry(call) <= Duration{}) return false;
    upstreams_.attempt_started(broken.to);
    Attempt query;
    query.to = broken.to;
    query.in_flight = true;
    query.queries_attempt = attempt;
    call.attempts.push_back(query);
    actions_->push_back(Send{call.request.id, broken.to, kDeliveryQueryTimeout});
    return true;
}

/// Only the inbound proxy's own rejection proves that the attempt was not passed on. One that cannot be
/// reached may have done so before.
void OutboundPolicy::on_delivery_answer(Call& call, const Attempt& query, Status status) {
    if (status != Status::Rejected) return give_up(call);
    call.attempts[*query.queries_attempt].may_have_run = false;
    --call.runs;
    call.rejected_by.push_back(query.to);
    try_send(call);
}

std::optional<Duration> OutboundPolicy::delivery_query(const RequestId& id) const {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.attempts.empty()) return std::nullopt;
    const auto queried = it->second.attempts.back().queries_attempt;
    if (!queried) return std::nullopt;
    return now_ - it->second.attempts[*queried].sent_at;
}

void OutboundPolicy::delivered(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && !it->second.attempts.empty()) it->second.attempts.back().delivered = true;
}

void OutboundPolicy::turned_away(const RequestId& id, EndpointId at) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    for (Attempt& attempt : it->second.attempts) {
        if (attempt.in_flight && attempt.to == at) attempt.turned_away = true;
    }
}

// --- Newer configurations --------------------------------------------------------------------------------

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

void OutboundPolicy::wait_for_new_plan(Call& call) {
    call.resume_at = now_ + std::min(kNewPlanTimeout, time_left_for_retry(call));
    actions_->push_back(SetTimer{*call.resume_at, call.number});
}

/// Goes on by the new plan, or gives up if none came in time or it has no route.
void OutboundPolicy::continue_with_new_plan(Call& call) {
    call.plan_renewed = false;
    if (std::exchange(call.outdated, false)) return give_up(call);
    // It was sent as idempotent and may have run; by the new plan it must not run twice.
    if (!call.plan.idempotent && (call.runs > 0 || has_attempt_in_flight(call))) return give_up(call);
    start_round(call);
    try_send(call);
}

// --- Withdrawn upstreams ---------------------------------------------------------------------------------

void OutboundPolicy::on(const DiscoveryUpdate&) {
    resume_replanned_calls();
    for (const RequestId& id : withdraw_attempts()) {
        if (const auto it = calls_.find(id); it != calls_.end()) retry(it->second);
    }
}

void OutboundPolicy::resume_replanned_calls() {
    std::vector<RequestId> replanned;
    for (const auto& [id, call] : calls_) {
        if (call.open && call.resume_at && call.plan_renewed) replanned.push_back(id);
    }
    for (const RequestId& id : replanned) continue_with_new_plan(calls_.at(id));
}

/// Returns the idempotent requests that have no attempt in flight any more but at withdrawn upstreams.
std::vector<RequestId> OutboundPolicy::withdraw_attempts() {
    std::vector<RequestId> affected;
    for (const EndpointId upstream : std::exchange(withdrawn_upstreams_, {})) {
        for (auto& [id, call] : calls_) {
            if (!call.open || !call.plan.idempotent) continue;
            // Its body goes to one attempt as it comes; another one beside that would take pieces of it.
            if (call.request.body_pending) continue;
            const bool newly_lost = mark_upstream_lost(call, upstream);
            if (newly_lost && !has_reliable_attempt(call) && !call.resume_at) affected.push_back(id);
        }
    }
    return affected;
}

/// Returns true if an attempt in flight there was not marked before.
bool OutboundPolicy::mark_upstream_lost(Call& call, EndpointId id) {
    bool newly_lost = false;
    for (Attempt& attempt : call.attempts) {
        if (!attempt.in_flight || attempt.to != id) continue;
        if (!std::exchange(attempt.upstream_lost, true)) newly_lost = true;
    }
    return newly_lost;
}

// --- The end ---------------------------------------------------------------------------------------------

void OutboundPolicy::cancel_attempts(const Call& call) {
    for (std::size_t i = 0; i < call.attempts.size(); ++i) {
        if (!call.attempts[i].in_flight) continue;
        actions_->push_back(Cancel{call.request.id, static_cast<AttemptNumber>(i)});
    }
}

/// The final answer, without waiting for the deadline. Refuse, with a time to come back, promises that the
/// request did not run; Fail promises nothing.
void OutboundPolicy::give_up(Call& call) {
    const RequestId id = call.request.id;
    call.resume_at.reset();
    const bool in_flight = has_attempt_in_flight(call);
    // The attempt that ends last, or the deadline, brings the answer.
    if (in_flight && draining_) return;
    cancel_attempts(call);
    if (call.runs == 0 && !in_flight) {
        actions_->push_back(Refuse{id, kMinRetryAfter + scaled(kRetryAfterSpread, random_.unit())});
    } else {
        actions_->push_back(Fail{id});
    }
    call.open = false;
    forget_if_finished(id);
}

void OutboundPolicy::on(const DeadlineExpired& expired) {
    const auto known = calls_.find(expired.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    call.open = false;
    call.resume_at.reset();
    // Nobody waits for the answer any more. A request that must not run twice runs to its end all the same.
    if (call.plan.idempotent) cancel_attempts(call);
    forget_if_finished(expired.id);
}

bool OutboundPolicy::has_attempt_in_flight(const Call& call) {
    return std::any_of(call.attempts.begin(), call.attempts.end(),
                       [](const Attempt& attempt) { return attempt.in_flight; });
}

/// Whether an attempt is in flight at an upstream that was not withdrawn.
bool OutboundPolicy::has_reliable_attempt(const Call& call) {
    return std::any_of(call.attempts.begin(), call.attempts.end(),
                       [](const Attempt& attempt) { return attempt.in_flight && !attempt.upstream_lost; });
}

void OutboundPolicy::forget_if_finished(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.open) return;
    if (has_attempt_in_flight(it->second)) return;
    ids_by_number_.erase(it->second.number);
    calls_.erase(it);
}

}  // namespace martenford::outbound
