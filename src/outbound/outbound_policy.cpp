#include "quay/quay.h"

#include <algorithm>

namespace martenford::quay {

using namespace loftfront;

namespace {
constexpr Duration kShunUnreached = 500ms;                           // a gate that could not be reached
constexpr Duration kShunFailed = 300ms;                              // one whose endpoint broke off
constexpr Duration kHintHolds = 300ms;                               // what a gate said of its queue
constexpr Duration kComeBackLeast = 400ms, kComeBackSpread = 400ms;  // Retry-After of a refusal
constexpr std::size_t kMostPrepared = 4096;
constexpr Duration kReplanTime = 500ms;  // for the newer configuration to come: polls for it hang everywhere
constexpr Duration kAskTime = 300ms;  // for a gate to say whether it ever handed on what a broken hop carried
}  // namespace

void Quay::prepare(const RequestId& id, Plan plan) {
    if (prepared_.size() >= kMostPrepared)
        prepared_.clear();  // left behind by ids that were under way already
    prepared_[id] = std::move(plan);
}

void Quay::berth(EndpointId id, const Berth& berth) {
    const auto [it, fresh] = berths_.try_emplace(id);
    it->second.berth = berth;
    if (fresh) by_service_[berth.service].push_back(id);
}

void Quay::remove(EndpointId id) {
    const auto it = berths_.find(id);
    if (it == berths_.end()) return;
    std::erase(by_service_[it->second.berth.service], id);
    berths_.erase(it);
}

void Quay::hint(EndpointId id, Time now, Duration wait) {
    const auto it = berths_.find(id);
    if (it == berths_.end()) return;
    it->second.hinted = now;
    it->second.wait = wait;
}

Offer Quay::offer(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? Offer::Queue : it->second.offer;
}

void Quay::outdated(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    it->second.outdated = true;
    it->second.replanned = false;
}

void Quay::replan(const RequestId& id, std::optional<Plan> plan) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || !it->second.outdated) return;
    Call& call = it->second;
    call.replanned = true;
    if (!plan) return;
    plan->aim_end = call.plan.aim_end;
    call.plan = *plan;
    call.outdated = false;
}

/// By the new plan, or given up where there is none.
void Quay::go_on_anew(Call& call) {
    call.replanned = false;
    if (std::exchange(call.outdated, false)) return give_up(call);
    // What was sent while it might be repeated is not sent again once it may not.
    if (!call.plan.repeatable && (call.ran > 0 || any_out(call))) return give_up(call);
    call.refused.clear();
    call.offers = 0;
    call.offer = Offer::IfFree;
    try_send(call);
}

std::optional<Duration> Quay::asks(const RequestId& id) const {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.attempts.empty()) return std::nullopt;
    const auto asked = it->second.attempts.back().asks_for;
    if (!asked) return std::nullopt;
    return now_ - it->second.attempts[*asked].sent;
}

void Quay::handed_on(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && !it->second.attempts.empty()) it->second.attempts.back().handed_on = true;
}

const Plan* Quay::plan(const RequestId& id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second.plan;
}

bool Quay::any_ready() const {
    return std::any_of(berths_.begin(), berths_.end(), [](const auto& b) { return b.second.berth.ready; });
}

/// A second attempt beside one that is doubted. Guards against breaking off work that its endpoint is at: a
/// stall that is silent to the core, or told as another life, may be busy all the same.
void Quay::on(const loftfront::Discovered&) {
    std::vector<RequestId> lonely, anew;
    for (const auto& [request, call] : calls_) {
        if (call.open && call.held_until && call.replanned) anew.push_back(request);
    }
    for (const RequestId& id : anew) go_on_anew(calls_.at(id));
    for (const EndpointId id : std::exchange(withdrawn_, {})) {
        for (auto& [request, call] : calls_) {
            if (!call.open || !call.plan.repeatable) continue;
            bool fresh = false;
            for (Attempt& attempt : call.attempts) {
                if (attempt.out && attempt.to == id && !std::exchange(attempt.doubted, true)) fresh = true;
            }
            const bool others = std::any_of(call.attempts.begin(), call.attempts.end(),
                                            [](const Attempt& a) { return a.out && !a.doubted; });
            if (fresh && !others && !call.held_until) lonely.push_back(request);
        }
    }
    for (const RequestId& id : lonely) {
        if (const auto it = calls_.find(id); it != calls_.end()) retry(it->second);
    }
}

void Quay::handle(Time now, const loftfront::Event& event, std::vector<Action>& out) {
    now_ = now;
    out_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
}

void Quay::on(const Request& request) {
    auto plan = prepared_.extract(request.id);
    if (plan.empty() || calls_.contains(request.id)) return;
    Call& call = calls_[request.id];
    call.request = request;
    call.plan = std::move(plan.mapped());
    call.number = ++last_;
    numbers_[call.number] = request.id;
    try_send(call);
}

bool Quay::tried(const Call& call, EndpointId id) const {
    return std::find(call.refused.begin(), call.refused.end(), id) != call.refused.end();
}

/// The less loaded of two random ready gates, by own calls out; a retry goes elsewhere where it can. Those
/// that refused this request are passed over; those that were not reached lately, and silent ones, come last.
std::optional<EndpointId> Quay::pick(const Call& call) {
    const auto known = by_service_.find(call.plan.service);
    if (known == by_service_.end()) return std::nullopt;
    std::vector<EndpointId> best, rest;
    for (const EndpointId id : known->second) {
        const Held& held = berths_.at(id);
        if (!held.berth.ready || tried(call, id)) continue;
        const bool been = std::any_of(call.attempts.begin(), call.attempts.end(),
                                      [&](const Attempt& a) { return a.ran && a.to == id; });
        (held.berth.silent || held.shun > now_ || been ? rest : best).push_back(id);
    }
    const auto& from = best.empty() ? rest : best;
    if (from.empty()) return std::nullopt;
    const EndpointId a = from[random_.below(from.size())];
    if (from.size() == 1) return a;
    EndpointId b = a;
    while (b == a) b = from[random_.below(from.size())];
    const Held &first = berths_.at(a), &second = berths_.at(b);
    if (first.out != second.out) return first.out < second.out ? a : b;
    // Alike: the one in the own zone, which costs nothing to reach.
    const bool first_near = first.berth.zone == options_.zone,
               second_near = second.berth.zone == options_.zone;
    return first_near != second_near && second_near ? b : a;
}

/// Of the gates that had no free place, the one whose queue is the shortest by what they said.
std::optional<EndpointId> Quay::least_wait(const Call& call) {
    std::optional<EndpointId> best;
    Duration least = Duration::max();
    for (const EndpointId id : call.refused) {
        const auto it = berths_.find(id);
        if (it == berths_.end() || !it->second.berth.ready || now_ - it->second.hinted > kHintHolds) continue;
        // It has barred the id.
        if (std::any_of(call.attempts.begin(), call.attempts.end(),
                        [&](const Attempt& a) { return a.asks_for && a.to == id; }))
            continue;
        if (it->second.wait < least) {
            least = it->second.wait;
            best = id;
        }
    }
    return best;
}

void Quay::try_send(Call& call) {
    call.held_until.reset();
    if (call.attempts.size() >= options_.hops) return give_up(call);
    std::optional<EndpointId> to;
    if (call.offer == Offer::IfFree && call.offers < options_.offers) to = pick(call);
    if (!to) {
        // Nobody of those asked has a free place: into the shortest queue.
        if (call.offer == Offer::IfFree) {
            call.offer = Offer::Queue;
            to = least_wait(call);
        }
        if (!to) to = pick(call);
    }
    if (!to) return give_up(call);
    ++call.offers;
    ++berths_.at(*to).out;
    call.attempts.push_back({*to, true});
    call.attempts.back().sent = now_;
    out_->push_back(Send{call.request.id, *to, Duration{}});
}

void Quay::on(const Outcome& outcome) {
    const auto known = calls_.find(outcome.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    if (outcome.attempt >= call.attempts.size() || !call.attempts[outcome.attempt].out) return;
    Attempt& attempt = call.attempts[outcome.attempt];
    attempt.out = false;
    const auto berth = berths_.find(attempt.to);
    if (berth != berths_.end()) --berth->second.out;
    const bool never_ran = outcome.status == Status::Full || outcome.status == Status::ConnectFailed ||
                           outcome.status == Status::Moot;
    const auto asked = attempt.asks_for;
    attempt.ran = !never_ran && !asked;
    if (attempt.ran) ++call.ran;
    if (berth != berths_.end()) {
        if (outcome.status == Status::ConnectFailed) berth->second.shun = now_ + kShunUnreached;
        if (outcome.status == Status::Reset) berth->second.shun = now_ + kShunFailed;
    }
    if (outcome.status == Status::Ok)
        budgets_.try_emplace(call.plan.service, options_.bucket).first->second.earn();
    if (outcome.last) call.open = false;
    if (!call.open) return forget_if_over(outcome.id);
    if (asked) {
        // Only the gate's own word frees it: one that can't be reached may have handed it on before.
        if (outcome.status != Status::Full) return give_up(call);
        call.attempts[*asked].ran = false;
        --call.ran;
        call.refused.push_back(attempt.to);
        return try_send(call);
    }
    if (outcome.status == Status::Reset && ask(call, outcome.attempt)) return;
    if (never_ran) call.refused.push_back(attempt.to);
    // Beside one that was doubted: another is out, or about to go.
    if (call.held_until || std::any_of(call.attempts.begin(), call.attempts.end(),
                                       [](const Attempt& a) { return a.out && !a.doubted; }))
        return;
    if (call.replanned) return go_on_anew(call);
    if (call.outdated) {
        call.held_until = now_ + std::min(kReplanTime, left_for_retry(call.request.deadline, now_));
        out_->push_back(SetTimer{*call.held_until, call.number});
        return;
    }
    if (never_ran) return try_send(call);
    retry(call);
}

/// After a broken hop: whether what must not run twice was ever handed on. The gate that says no has barred
/// it.
bool Quay::ask(Call& call, std::size_t attempt) {
    const Attempt broken = call.attempts[attempt];
    const auto berth = berths_.find(broken.to);  // of the same life, or it is not there
    if (call.plan.repeatable || broken.handed_on || berth == berths_.end() ||
        left_for_retry(call.request.deadline, now_) <= Duration{})
        return false;
    ++berth->second.out;
    call.attempts.push_back({broken.to, true});
    call.attempts.back().asks_for = attempt;
    out_->push_back(Send{call.request.id, broken.to, kAskTime});
    return true;
}

void Quay::retry(Call& call) {
    const Duration left = left_for_retry(call.request.deadline, now_);
    const auto may_have_run = std::count_if(call.attempts.begin(), call.attempts.end(),
                                            [](const Attempt& a) { return a.out || a.ran; });
    const bool allowed = call.plan.repeatable && may_have_run < call.plan.max_attempts;
    if (!allowed || left <= Duration{}) return give_up(call);
    if (!budgets_.try_emplace(call.plan.service, options_.bucket).first->second.spend()) return give_up(call);
    call.refused.clear();
    call.offers = 0;
    call.offer = Offer::IfFree;
    call.held_until = now_ + std::min(call.backoff.next(random_), left);
    out_->push_back(SetTimer{*call.held_until, call.number});
}

void Quay::on(const TimerFired& timer) {
    const auto number = numbers_.find(timer.token);
    if (number == numbers_.end()) return;
    const auto call = calls_.find(number->second);
    if (call == calls_.end() || !call->second.held_until || now_ < *call->second.held_until) return;
    if (!call->second.open) return;
    call->second.outdated || call->second.replanned ? go_on_anew(call->second) : try_send(call->second);
}

/// The final answer, at once: a promise where nothing can have run, with a time to come back.
void Quay::give_up(Call& call) {
    const RequestId id = call.request.id;
    call.held_until.reset();
    const bool out = any_out(call);
    if (out && draining_) return;  // the last to end, or the deadline, brings the answer
    for (std::size_t i = 0; out && i < call.attempts.size(); ++i) {
        if (call.attempts[i].out) out_->push_back(Cancel{id, static_cast<AttemptNumber>(i)});
    }
    if (call.ran == 0 && !out) {
        out_->push_back(Refuse{id, kComeBackLeast + scaled(kComeBackSpread, random_.unit())});
    } else {
        out_->push_back(Fail{id});
    }
    call.open = false;
    forget_if_over(id);
}

void Quay::on(const Lapsed& lapsed) {
    const auto known = calls_.find(lapsed.id);
    if (known == calls_.end()) return;
    Call& call = known->second;
    call.open = false;
    call.held_until.reset();
    // Nobody waits any more: what may be repeated needn't run on.
    if (call.plan.repeatable) {
        for (std::size_t i = 0; i < call.attempts.size(); ++i) {
            if (call.attempts[i].out) out_->push_back(Cancel{lapsed.id, static_cast<AttemptNumber>(i)});
        }
    }
    forget_if_over(lapsed.id);
}

bool Quay::any_out(const Call& call) {
    return std::any_of(call.attempts.begin(), call.attempts.end(), [](const Attempt& a) { return a.out; });
}

void Quay::forget_if_over(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.open) return;
    if (any_out(it->second)) return;
    numbers_.erase(it->second.number);
    calls_.erase(it);
}

}  // namespace martenford::quay
