#include "admission/admission_controller.h"

#include <algorithm>

namespace martenford::admission {

using namespace martenford::decision;

namespace {
constexpr std::size_t kMostSpent = 20000;
constexpr double kSlipGain = 0.1, kSlipMost = 4;
constexpr Duration kTimeToComeBack = 900ms;
constexpr std::size_t kMostKinds = 512;
constexpr double kLeastShare = 0.6;  // of the usual time must be left when a request is handed on
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
    if (max_in_flight_ == 0) return 10s;
    return in_flight_ < max_in_flight_ ? Duration{} : wait_behind(queue_.size());
}

Duration AdmissionController::wait_behind(std::size_t ahead) const {
    const double turns =
        (static_cast<double>(ahead) + 1.0) / static_cast<double>(std::max<std::uint32_t>(max_in_flight_, 1));
    return Duration{static_cast<Duration::rep>(turns * static_cast<double>(typical_service_time_.count()))};
}

Duration AdmissionController::typical_service_time(std::uint32_t kind) const {
    const auto it = statistics_by_kind_.find(kind);
    return it == statistics_by_kind_.end() ? typical_service_time_ : it->second.typical_service_time;
}

void AdmissionController::handle(Time now, const decision::Event& event, std::vector<Action>& out) {
    now_ = now;
    actions_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
}

/// Whether nothing more may be handed on.
bool AdmissionController::is_closed() const {
    return instance_id_.empty() ||
           (draining_since_ && now_ >= *draining_since_ + options_.drain - options_.drain_margin);
}

/// The latest that it is worth handing on.
Time AdmissionController::latest_useful_start(const Call& call) const {
    return call.request.deadline -
           Duration{static_cast<Duration::rep>(
               kLeastShare * static_cast<double>(typical_service_time(call.inbound.kind).count()))};
}

/// By who stands ahead now, and by how much longer than that those like it had to wait lately.
Duration AdmissionController::expected_wait(const Call& call) const {
    const auto ahead =
        static_cast<std::size_t>(std::distance(queue_.begin(), queue_.lower_bound(queue_key(call))));
    const auto kind = statistics_by_kind_.find(call.inbound.kind);
    const double slip = kind == statistics_by_kind_.end() ? 1.0 : kind->second.wait_factor;
    return Duration{static_cast<Duration::rep>(slip * static_cast<double>(wait_behind(ahead).count()))};
}

/// It leaves the queue, to be handed on or refused.
void AdmissionController::record_wait(const Call& call) {
    const auto kind = statistics_by_kind_.find(call.inbound.kind);
    if (kind == statistics_by_kind_.end()) return;
    const double seen = static_cast<double>((now_ - call.received_at).count()) /
                        static_cast<double>(std::max<Duration>(call.expected_wait, 1ms).count());
    double& slip = kind->second.wait_factor;
    slip = std::clamp(slip + (slip * seen - slip) * kSlipGain, 1.0, kSlipMost);
}

/// Until when it stays in the queue: while its answer can come within its aim, or to the end if it has no
/// time to come back.
Time AdmissionController::latest_in_queue(const Call& call) const {
    const Time in_aim = call.latency_target_at - typical_service_time(call.inbound.kind);
    if (call.request.deadline - in_aim < kTimeToComeBack) return latest_useful_start(call);
    return std::min(latest_useful_start(call), std::max(in_aim, now_));
}

/// Whether its answer would still come within its aim. Guards against a queue in which all wait so long that
/// nobody is served in time: who comes to a full one is told at once to come back. One that has no time to
/// come back waits on.
bool AdmissionController::is_worth_queueing(const Call& call) const {
    const Time begins = now_ + expected_wait(call);
    if (begins >= latest_useful_start(call)) return false;
    return begins + typical_service_time(call.inbound.kind) <= call.latency_target_at ||
           call.request.deadline - now_ < kTimeToComeBack;
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
    // Others can take what is new once a drain has begun; a request that has nowhere else to go says so.
    const bool unwanted = is_closed() || call.inbound.instance_id != instance_id_ ||
                          (draining_since_ && !call.inbound.may_queue);
    if (unwanted || now_ >= latest_useful_start(call)) return reject(call);
    if (!call.inbound.idempotent && delivered_attempts_.contains(call.inbound.attempt_id)) return fail(call);
    if (in_flight_ < max_in_flight_ && queue_.empty()) return send(call);
    if (!call.inbound.may_queue || queue_.size() >= options_.max_queued || !is_worth_queueing(call))
        return reject(call);
    call.queued = true;
    call.received_at = now_;
    call.expected_wait = expected_wait(call);
    queue_[queue_key(call)] = request.id;
    actions_->push_back(SetTimer{latest_in_queue(call), call.number});
}

void AdmissionController::send(Call& call) {
    call.in_flight = true;
    call.sent_at = now_;
    ++in_flight_;
    if (!call.inbound.idempotent) record_delivered(call.inbound.attempt_id);
    actions_->push_back(Send{call.request.id, id_, Duration{}});
}

/// From here on the id is not handed on again.
void AdmissionController::record_delivered(const std::string& attempt_id) {
    delivered_attempts_[attempt_id] = now_;
    delivered_order_.emplace_back(now_, attempt_id);
    while (delivered_order_.size() > kMostSpent ||
           now_ - delivered_order_.front().first > options_.remember_delivered_for) {
        const auto& [at, id] = delivered_order_.front();
        // Only what it stands for: the id may have been freed since and spent anew.
        if (const auto it = delivered_attempts_.find(id); it != delivered_attempts_.end() && it->second == at)
            delivered_attempts_.erase(it);
        newest_forgotten_at_ = at;
        delivered_order_.pop_front();
    }
}

bool AdmissionController::fence_attempt(Time now, const std::string& attempt_id, Duration age) {
    now_ = now;
    if (delivered_attempts_.contains(attempt_id)) return false;
    if (newest_forgotten_at_ && now - age - options_.query_delay <= *newest_forgotten_at_) return false;
    record_delivered(attempt_id);
    return true;
}

/// It may have run by another hop: no promise.
void AdmissionController::fail(Call& call) {
    const RequestId id = call.request.id;
    call.open = false;
    if (call.queued) queue_.erase(queue_key(call));
    call.queued = false;
    actions_->push_back(Fail{id});
    forget(id);
}

void AdmissionController::reject(Call& call) {
    const RequestId id = call.request.id;
    call.open = false;
    if (call.queued) queue_.erase(queue_key(call));
    call.queued = false;
    actions_->push_back(Refuse{id, Duration{}});
    forget(id);
}

void AdmissionController::admit_next() {
    while (!queue_.empty() && in_flight_ < std::max<std::uint32_t>(max_in_flight_, 1)) {
        const auto id = queue_.begin()->second;
        Call& call = calls_.at(id);
        if (is_closed() || call.inbound.instance_id != instance_id_ || now_ >= latest_useful_start(call)) {
            reject(call);
            continue;
        }
        // Guards against two hops of one id that wait at the same time.
        if (!call.inbound.idempotent && delivered_attempts_.contains(call.inbound.attempt_id)) {
            fail(call);
            continue;
        }
        record_wait(call);
        queue_.erase(queue_.begin());
        call.queued = false;
        send(call);
    }
}

void AdmissionController::on(const Outcome& outcome) {
    const auto known = calls_.find(outcome.id);
    if (known == calls_.end() || !known->second.in_flight) return;
    Call& call = known->second;
    call.in_flight = false;
    --in_flight_;
    const bool never_ran = outcome.status == Status::Full || outcome.status == Status::ConnectFailed ||
                           outcome.status == Status::NotSent;
    if (never_ran && !call.inbound.idempotent) delivered_attempts_.erase(call.inbound.attempt_id);
    if (outcome.status == Status::Ok) {
        const Duration took = now_ - call.sent_at;
        typical_service_time_ += (took - typical_service_time_) / 16;
        if (statistics_by_kind_.size() >= kMostKinds) statistics_by_kind_.clear();
        const auto [kind, fresh] =
            statistics_by_kind_.try_emplace(call.inbound.kind, KindStatistics{took, 1});
        if (!fresh) kind->second.typical_service_time += (took - kind->second.typical_service_time) / 16;
    }
    if (outcome.last) call.open = false;
    if (call.open) {
        call.open = false;
        actions_->push_back(never_ran ? Action{Refuse{outcome.id, Duration{}}} : Action{Fail{outcome.id}});
    }
    forget(outcome.id);
    admit_next();
}

void AdmissionController::on(const DeadlineExpired& lapsed) {
    const auto known = calls_.find(lapsed.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    call.open = false;
    if (call.queued) queue_.erase(queue_key(call));
    call.queued = false;
    // The caller's proxy has gone or given up: what may be repeated needn't hold a slot any longer.
    if (call.in_flight && call.inbound.idempotent) actions_->push_back(Cancel{lapsed.id, 0});
    forget(lapsed.id);
}

void AdmissionController::on(const TimerFired& timer) {
    const auto number = ids_by_number_.find(timer.token);
    if (number == ids_by_number_.end()) return;
    Call& call = calls_.at(number->second);
    if (!call.queued) return;
    record_wait(call);
    reject(call);
}

void AdmissionController::forget(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.open || it->second.in_flight || it->second.queued) return;
    ids_by_number_.erase(it->second.number);
    calls_.erase(it);
}

}  // namespace martenford::admission
