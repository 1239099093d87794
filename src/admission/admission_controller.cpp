#include "tollgate/tollgate.h"

#include <algorithm>

namespace martenford::tollgate {

using namespace loftfront;

namespace {
constexpr std::size_t kMostSpent = 20000;
constexpr double kSlipGain = 0.1, kSlipMost = 4;
constexpr Duration kTimeToComeBack = 900ms;
constexpr std::size_t kMostKinds = 512;
constexpr double kLeastShare = 0.6;  // of the usual time must be left when a request is handed on
}  // namespace

void Tollgate::endpoint(EndpointId id, const std::string& instance, std::uint32_t slots) {
    if (instance != instance_) drains_since_.reset();
    id_ = id;
    instance_ = instance;
    slots_ = slots + 1;
}

void Tollgate::drains(Time now) {
    if (!drains_since_) drains_since_ = now;
}

void Tollgate::none() {
    instance_.clear();
    drains_since_.reset();
}

const Toll* Tollgate::toll(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second.toll;
}

Duration Tollgate::wait() const {
    if (slots_ == 0) return 10s;
    return out_now_ < slots_ ? Duration{} : wait_behind(queue_.size());
}

Duration Tollgate::wait_behind(std::size_t ahead) const {
    const double turns =
        (static_cast<double>(ahead) + 1.0) / static_cast<double>(std::max<std::uint32_t>(slots_, 1));
    return Duration{static_cast<Duration::rep>(turns * static_cast<double>(usual_.count()))};
}

Duration Tollgate::usual(std::uint32_t kind) const {
    const auto it = by_kind_.find(kind);
    return it == by_kind_.end() ? usual_ : it->second.usual;
}

void Tollgate::handle(Time now, const loftfront::Event& event, std::vector<Action>& out) {
    now_ = now;
    out_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
}

/// Whether nothing more may be handed on.
bool Tollgate::closed() const {
    return instance_.empty() ||
           (drains_since_ && now_ >= *drains_since_ + options_.drain - options_.drain_margin);
}

/// The latest that it is worth handing on.
Time Tollgate::last_start(const Call& call) const {
    return call.request.deadline - Duration{static_cast<Duration::rep>(
                                       kLeastShare * static_cast<double>(usual(call.toll.kind).count()))};
}

/// By who stands ahead now, and by how much longer than that those like it had to wait lately.
Duration Tollgate::expected_wait(const Call& call) const {
    const auto ahead =
        static_cast<std::size_t>(std::distance(queue_.begin(), queue_.lower_bound(place_of(call))));
    const auto kind = by_kind_.find(call.toll.kind);
    const double slip = kind == by_kind_.end() ? 1.0 : kind->second.slip;
    return Duration{static_cast<Duration::rep>(slip * static_cast<double>(wait_behind(ahead).count()))};
}

/// It leaves the queue, to be handed on or refused.
void Tollgate::waited(const Call& call) {
    const auto kind = by_kind_.find(call.toll.kind);
    if (kind == by_kind_.end()) return;
    const double seen = static_cast<double>((now_ - call.came).count()) /
                        static_cast<double>(std::max<Duration>(call.expected, 1ms).count());
    double& slip = kind->second.slip;
    slip = std::clamp(slip + (slip * seen - slip) * kSlipGain, 1.0, kSlipMost);
}

/// Until when it stays in the queue: while its answer can come within its aim, or to the end if it has no
/// time to come back.
Time Tollgate::last_in_queue(const Call& call) const {
    const Time in_aim = call.aim_end - usual(call.toll.kind);
    if (call.request.deadline - in_aim < kTimeToComeBack) return last_start(call);
    return std::min(last_start(call), std::max(in_aim, now_));
}

/// Whether its answer would still come within its aim. Guards against a queue in which all wait so long that
/// nobody is served in time: who comes to a full one is told at once to come back. One that has no time to
/// come back waits on.
bool Tollgate::worth_waiting(const Call& call) const {
    const Time begins = now_ + expected_wait(call);
    if (begins >= last_start(call)) return false;
    return begins + usual(call.toll.kind) <= call.aim_end || call.request.deadline - now_ < kTimeToComeBack;
}

void Tollgate::on(const Request& request) {
    auto toll = prepared_.extract(request.id);
    if (toll.empty() || calls_.contains(request.id)) return;
    Call& call = calls_[request.id];
    call.request = request;
    call.toll = std::move(toll.mapped());
    call.aim_end = now_ + call.toll.aim;
    call.number = ++last_;
    numbers_[call.number] = request.id;
    // Others can take what is new once a drain has begun; a request that has nowhere else to go says so.
    const bool unwanted =
        closed() || call.toll.instance != instance_ || (drains_since_ && !call.toll.may_queue);
    if (unwanted || now_ >= last_start(call)) return refuse(call);
    if (!call.toll.repeatable && spent_.contains(call.toll.attempt_id)) return fail(call);
    if (out_now_ < slots_ && queue_.empty()) return send(call);
    if (!call.toll.may_queue || queue_.size() >= options_.most_queued || !worth_waiting(call))
        return refuse(call);
    call.queued = true;
    call.came = now_;
    call.expected = expected_wait(call);
    queue_[place_of(call)] = request.id;
    out_->push_back(SetTimer{last_in_queue(call), call.number});
}

void Tollgate::send(Call& call) {
    call.out = true;
    call.sent = now_;
    ++out_now_;
    if (!call.toll.repeatable) spend(call.toll.attempt_id);
    out_->push_back(Send{call.request.id, id_, Duration{}});
}

/// From here on the id is not handed on again.
void Tollgate::spend(const std::string& attempt_id) {
    spent_[attempt_id] = now_;
    spent_order_.emplace_back(now_, attempt_id);
    while (spent_order_.size() > kMostSpent || now_ - spent_order_.front().first > options_.once) {
        const auto& [at, id] = spent_order_.front();
        // Only what it stands for: the id may have been freed since and spent anew.
        if (const auto it = spent_.find(id); it != spent_.end() && it->second == at) spent_.erase(it);
        forgotten_ = at;
        spent_order_.pop_front();
    }
}

bool Tollgate::bar(Time now, const std::string& attempt_id, Duration age) {
    now_ = now;
    if (spent_.contains(attempt_id)) return false;
    if (forgotten_ && now - age - options_.ask_slack <= *forgotten_) return false;
    spend(attempt_id);
    return true;
}

/// It may have run by another hop: no promise.
void Tollgate::fail(Call& call) {
    const RequestId id = call.request.id;
    call.open = false;
    if (call.queued) queue_.erase(place_of(call));
    call.queued = false;
    out_->push_back(Fail{id});
    forget(id);
}

void Tollgate::refuse(Call& call) {
    const RequestId id = call.request.id;
    call.open = false;
    if (call.queued) queue_.erase(place_of(call));
    call.queued = false;
    out_->push_back(Refuse{id, Duration{}});
    forget(id);
}

void Tollgate::next() {
    while (!queue_.empty() && out_now_ < std::max<std::uint32_t>(slots_, 1)) {
        const auto id = queue_.begin()->second;
        Call& call = calls_.at(id);
        if (closed() || call.toll.instance != instance_ || now_ >= last_start(call)) {
            refuse(call);
            continue;
        }
        // Guards against two hops of one id that wait at the same time.
        if (!call.toll.repeatable && spent_.contains(call.toll.attempt_id)) {
            fail(call);
            continue;
        }
        waited(call);
        queue_.erase(queue_.begin());
        call.queued = false;
        send(call);
    }
}

void Tollgate::on(const Outcome& outcome) {
    const auto known = calls_.find(outcome.id);
    if (known == calls_.end() || !known->second.out) return;
    Call& call = known->second;
    call.out = false;
    --out_now_;
    const bool never_ran = outcome.status == Status::Full || outcome.status == Status::ConnectFailed ||
                           outcome.status == Status::Moot;
    if (never_ran && !call.toll.repeatable) spent_.erase(call.toll.attempt_id);
    if (outcome.status == Status::Ok) {
        const Duration took = now_ - call.sent;
        usual_ += (took - usual_) / 16;
        if (by_kind_.size() >= kMostKinds) by_kind_.clear();
        const auto [kind, fresh] = by_kind_.try_emplace(call.toll.kind, Kind{took, 1});
        if (!fresh) kind->second.usual += (took - kind->second.usual) / 16;
    }
    if (outcome.last) call.open = false;
    if (call.open) {
        call.open = false;
        out_->push_back(never_ran ? Action{Refuse{outcome.id, Duration{}}} : Action{Fail{outcome.id}});
    }
    forget(outcome.id);
    next();
}

void Tollgate::on(const Lapsed& lapsed) {
    const auto known = calls_.find(lapsed.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    call.open = false;
    if (call.queued) queue_.erase(place_of(call));
    call.queued = false;
    // The caller's stall has gone or given up: what may be repeated needn't hold a slot any longer.
    if (call.out && call.toll.repeatable) out_->push_back(Cancel{lapsed.id, 0});
    forget(lapsed.id);
}

void Tollgate::on(const TimerFired& timer) {
    const auto number = numbers_.find(timer.token);
    if (number == numbers_.end()) return;
    Call& call = calls_.at(number->second);
    if (!call.queued) return;
    waited(call);
    refuse(call);
}

void Tollgate::forget(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.open || it->second.out || it->second.queued) return;
    numbers_.erase(it->second.number);
    calls_.erase(it);
}

}  // namespace martenford::tollgate
