#include "admission/admission_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace martenford::admission {

using namespace martenford::decision;

namespace {

// With less time than this to its deadline a rejected client could not come back in time: its request stays
// in the queue even if it misses its latency target.
constexpr Duration kMinTimeToComeBack = 900ms;
// A request is passed on only if this fraction of the usual service time is left before its deadline.
constexpr double kMinServiceTimeLeft = 0.6;
// Wait reported before the first endpoint is known.
constexpr Duration kWaitWithoutEndpoint = 10s;

}  // namespace

void AdmissionController::set_endpoint(EndpointId id, const std::string& instance, std::uint32_t slots) {
    if (instance != instance_id_) draining_since_.reset();
    id_ = id;
    instance_id_ = instance;
    max_in_flight_ = slots + 1;
}

void AdmissionController::start_draining(Time now) {
    if (!draining_since_) draining_since_ = now;
}

void AdmissionController::remove_endpoint() {
    instance_id_.clear();
    draining_since_.reset();
}

const InboundRequest* AdmissionController::inbound_request(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second.inbound;
}

Duration AdmissionController::expected_queue_wait() const {
    if (max_in_flight_ == 0) return kWaitWithoutEndpoint;
    if (in_flight_ < max_in_flight_) return Duration{};
    return estimator_.wait_behind(queue_.size(), max_in_flight_);
}

void AdmissionController::handle(Time now, const Event& event, std::vector<Action>& out) {
    now_ = now;
    actions_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
}

// --- Wait estimate ---------------------------------------------------------------------------------------

/// By the requests that are ahead of it in the queue now.
Duration AdmissionController::expected_wait(const Call& call) const {
    const auto ahead =
        static_cast<std::size_t>(std::distance(queue_.begin(), queue_.lower_bound(queue_key(call))));
    return estimator_.wait_behind(ahead, max_in_flight_, call.inbound.kind);
}

/// Passed on later than this, the request would run beyond its deadline.
Time AdmissionController::latest_useful_start(const Call& call) const {
    const auto service_time = static_cast<double>(estimator_.service_time(call.inbound.kind).count());
    return call.request.deadline - Duration{static_cast<Duration::rep>(kMinServiceTimeLeft * service_time)};
}

/// Until when the request stays in the queue: as long as its answer can come within its latency target, or,
/// if there is no time to come back after a rejection, within its deadline.
Time AdmissionController::latest_in_queue(const Call& call) const {
    const Time latest_for_target = call.latency_target_at - estimator_.service_time(call.inbound.kind);
    const Time latest_start = latest_useful_start(call);
    if (call.request.deadline - latest_for_target < kMinTimeToComeBack) return latest_start;
    return std::min(latest_start, std::max(latest_for_target, now_));
}

/// Whether its answer would come within its latency target or, if there is no time to come back after a
/// rejection, within its deadline.
bool AdmissionController::is_worth_queueing(const Call& call) const {
    const Time start = now_ + expected_wait(call);
    if (start >= latest_useful_start(call)) return false;
    const bool meets_target = start + estimator_.service_time(call.inbound.kind) <= call.latency_target_at;
    return meets_target || call.request.deadline - now_ < kMinTimeToComeBack;
}

/// The request leaves the queue, to be passed on or rejected.
void AdmissionController::record_wait(const Call& call) {
    estimator_.record_wait(call.inbound.kind, now_ - call.queued_at, call.expected_wait);
}

// --- Admission -------------------------------------------------------------------------------------------

/// Whether nothing may be passed on any more.
bool AdmissionController::is_closed() const {
    if (instance_id_.empty()) return true;
    return draining_since_ && now_ >= *draining_since_ + options_.drain - options_.drain_margin;
}

/// Whether a new request is for another instance, or may go elsewhere while this one drains.
bool AdmissionController::is_unwanted(const Call& call) const {
    if (is_closed() || call.inbound.instance_id != instance_id_) return true;
    return draining_since_ && !call.inbound.may_queue;
}

bool AdmissionController::would_run_twice(const Call& call) const {
    return !call.inbound.idempotent && delivered_attempts_.contains(call.inbound.attempt_id);
}

bool AdmissionController::may_enter_queue(const Call& call) const {
    return call.inbound.may_queue && queue_.size() < options_.max_queued && is_worth_queueing(call);
}

void AdmissionController::on(const Request& request) {
    auto inbound = prepared_requests_.extract(request.id);
    if (inbound.empty() || calls_.contains(request.id)) return;
    Call& call = calls_[request.id];
    call.request = request;
    call.inbound = std::move(inbound.mapped());
    call.latency_target_at = now_ + call.inbound.latency_target;
    call.number = ++last_call_number_;
    ids_by_number_[call.number] = request.id;

    if (is_unwanted(call) || now_ >= latest_useful_start(call)) return reject(call);
    if (would_run_twice(call)) return fail(call);
    if (in_flight_ < max_in_flight_ && queue_.empty()) return send(call);
    if (!may_enter_queue(call)) return reject(call);
    enqueue(call);
}

void AdmissionController::enqueue(Call& call) {
    call.queued = true;
    call.queued_at = now_;
    call.expected_wait = expected_wait(call);
    queue_[queue_key(call)] = call.request.id;
    actions_->push_back(SetTimer{latest_in_queue(call), call.number});
}

void AdmissionController::send(Call& call) {
    call.in_flight = true;
    call.sent_at = now_;
    ++in_flight_;
    if (!call.inbound.idempotent) delivered_attempts_.record(now_, call.inbound.attempt_id);
    actions_->push_back(Send{call.request.id, id_, Duration{}});
}

/// Passes queued requests on while there are slots, and rejects those whose time is over.
void AdmissionController::admit_next() {
    while (!queue_.empty() && in_flight_ < std::max<std::uint32_t>(max_in_flight_, 1)) {
        Call& call = calls_.at(queue_.begin()->second);
        const bool other_instance = call.inbound.instance_id != instance_id_;
        if (is_closed() || other_instance || now_ >= latest_useful_start(call)) {
            reject(call);
            continue;
        }
        // Another attempt with the same id was passed on, or fenced, while this one was queued.
        if (would_run_twice(call)) {
            fail(call);
            continue;
        }
        record_wait(call);
        leave_queue(call);
        send(call);
    }
}

void AdmissionController::on(const Outcome& outcome) {
    const auto known = calls_.find(outcome.id);
    if (known == calls_.end() || !known->second.in_flight) return;
    Call& call = known->second;
    call.in_flight = false;
    --in_flight_;
    const bool never_ran = proves_never_ran(outcome.status);
    if (never_ran && !call.inbound.idempotent) delivered_attempts_.release(call.inbound.attempt_id);
    if (outcome.status == Status::Ok) {
        estimator_.record_service_time(call.inbound.kind, now_ - call.sent_at);
    }
    if (outcome.last) call.open = false;
    if (!call.open) {
        forget_if_finished(outcome.id);
    } else if (never_ran) {
        if (outcome.status == Status::Rejected) last_turned_away_ = outcome.id;
        reject(call);
    } else {
        fail(call);
    }
    admit_next();
}

void AdmissionController::on(const DeadlineExpired& expired) {
    const auto known = calls_.find(expired.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    call.open = false;
    leave_queue(call);
    // Nobody waits for the answer any more. A request that must not run twice runs to its end all the same.
    if (call.in_flight && call.inbound.idempotent) actions_->push_back(Cancel{expired.id, 0});
    forget_if_finished(expired.id);
}

/// The request has been in the queue for as long as is useful.
void AdmissionController::on(const TimerFired& timer) {
    const auto number = ids_by_number_.find(timer.token);
    if (number == ids_by_number_.end()) return;
    Call& call = calls_.at(number->second);
    if (!call.queued) return;
    record_wait(call);
    reject(call);
}

// --- The end ---------------------------------------------------------------------------------------------

void AdmissionController::leave_queue(Call& call) {
    if (call.queued) queue_.erase(queue_key(call));
    call.queued = false;
}

void AdmissionController::finish(Call& call, const Action& answer) {
    const RequestId id = call.request.id;
    call.open = false;
    leave_queue(call);
    actions_->push_back(answer);
    forget_if_finished(id);
}

/// It did not run: the caller may go elsewhere.
void AdmissionController::reject(Call& call) {
    finish(call, Refuse{call.request.id, Duration{}});
}

/// It may have run, here or by an earlier attempt.
void AdmissionController::fail(Call& call) {
    finish(call, Fail{call.request.id});
}

void AdmissionController::forget_if_finished(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.open || it->second.in_flight || it->second.queued) return;
    ids_by_number_.erase(it->second.number);
    calls_.erase(it);
}

}  // namespace martenford::admission
