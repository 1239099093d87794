#include "core/engine.h"

#include <algorithm>
#include <utility>

namespace martenford {

using namespace martenford::decision;
using Why = Observer::Why;

namespace {
/// The module speaks first at its deadline: a time-out there may still be a refusal, the backstop's is not.
constexpr Duration kBackstopAfter = 3ms;
}  // namespace

Engine::Engine(Scheduler& scheduler, Back& back, const Limits& limits, std::unique_ptr<Policy> policy,
               Tally& tally)
    : scheduler_(scheduler), back_(back), limits_(limits), policy_(std::move(policy)), tally_(tally) {}

void Engine::start() {
    std::vector<Action> actions;
    handling_ = true;
    policy_->start(scheduler_.now(), actions);
    for (const Action& action : actions) act(action);
    handling_ = false;
}

bool Engine::take(Request request, std::shared_ptr<const Message> message, Reply reply) {
    const auto [it, fresh] = calls_.try_emplace(request.id, scheduler_);
    if (!fresh) return false;
    Call& call = it->second;
    call.message = std::move(message);
    call.deadline = request.deadline;
    call.reply = std::move(reply);
    call.ticket = tally_.open(request.class_index);
    if (observer_) observer_->taken(request);
    if (witness_ && !witness_->admits(request)) {
        complete(request.id, Answer{Answer::Kind::Refused, {}, {}, {}}, Why::Journal);
        return true;
    }
    call.arriving = request.body_pending;
    call.held = witness_ && witness_->holds(request);
    request.body_pending |= call.held;
    // Guards against a request that is lost because the module holds it, or has forgotten it.
    call.backstop.set(call.deadline + kBackstopAfter, [this, id = request.id] {
        if (complete(id, Answer{}, Why::Deadline)) post(DeadlineExpired{id});
    });
    post(std::move(request));
    return true;
}

void Engine::received(const RequestId& id, Time deadline) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || !it->second.reply) return;
    Call& call = it->second;
    call.deadline = deadline;
    call.backstop.set(deadline + kBackstopAfter, [this, id] {
        if (complete(id, Answer{}, Why::Deadline)) post(DeadlineExpired{id});
    });
    for (const Attempt& attempt : call.attempts) {
        if (!attempt.out) continue;
        if (const auto handle = attempt.handle.lock()) handle->end_at(deadline);
    }
    call.arriving = false;
    if (!call.held) begin_work(id, call);
}

void Engine::released(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || !std::exchange(it->second.held, false) || !it->second.reply) return;
    if (!it->second.arriving) begin_work(id, it->second);
}

void Engine::begin_work(const RequestId& id, Call& call) {
    for (Attempt& attempt : call.attempts) {
        if (attempt.out) attempt.sent = scheduler_.now();
    }
    post(BodyReceived{id, call.deadline});
}

void Engine::leave(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || !it->second.reply) return;
    it->second.reply = [](Answer&&) {};  // nobody is left to read one
    if (witness_) witness_->left(id);
    complete(id, Answer{}, Why::Client);
    post(DeadlineExpired{id});
}

void Engine::give_up(const RequestId& id, bool refused) {
    if (complete(id, Answer{refused ? Answer::Kind::Refused : Answer::Kind::Failed, {}, {}, {}},
                 Why::Journal))
        post(DeadlineExpired{id});
}

void Engine::cancel(const RequestId& id, AttemptNumber number) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || number >= it->second.attempts.size()) return;
    const Attempt& attempt = it->second.attempts[number];
    if (const auto handle = attempt.handle.lock(); handle && attempt.out) handle->cancel();
}

/// The module is never entered from within: what arises while its actions run waits here.
void Engine::post(Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(handling_, true)) return;
    std::vector<Action> actions;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        policy_->handle(scheduler_.now(), next, actions);
        for (const Action& action : actions) act(action);
    }
    handling_ = false;
}

void Engine::act(const Action& action) {
    struct Visitor {
        Engine& engine;
        void operator()(const Send& send) const { engine.send(send); }
        void operator()(const Refuse& refuse) const {
            finish(refuse.id, Answer{Answer::Kind::Refused, {}, {}, refuse.retry_after});
        }
        void operator()(const Fail& fail) const { finish(fail.id, Answer{}); }
        void operator()(const Cancel& cancel) const { engine.cancel(cancel.id, cancel.attempt); }
        void operator()(const SetTimer& timer) const {
            engine.scheduler_.add(
                timer.at, [&engine = engine, token = timer.token] { engine.post(TimerFired{token}); });
        }
        void operator()(const Probe& probe) const {
            engine.back_.probe(probe.endpoint, [&engine = engine, id = probe.endpoint,
                                                sent = engine.scheduler_.now()](Result&& result) {
                engine.post(ProbeResult{id, result.status, engine.scheduler_.now() - sent, std::nullopt});
            });
        }
        void operator()(const Subscribe&) const {
            if (engine.subscribe_) engine.subscribe_();
        }
        void operator()(const CloseIdleConnections& shut) const { engine.back_.shut_idle(shut.endpoint); }

        void finish(const RequestId& id, Answer&& answer) const {
            engine.complete(id, std::move(answer), Why::Module);
        }
    };
    std::visit(Visitor{*this}, action);
}

bool Engine::Call::may_send(Time now, std::size_t max_attempts) const {
    if (!reply || now >= deadline || attempts.size() >= max_attempts) return false;
    const bool is_out = std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
    return !is_out || !message || !message->arrives_in_pieces();
}

void Engine::send(const Send& send) {
    const auto it = calls_.find(send.id);
    const Time now = scheduler_.now();
    // Nothing goes out for a request that is complete, out of time or out of attempts.
    if (it == calls_.end()) return;
    Call& call = it->second;
    const std::size_t number = call.attempts.size();
    const bool may_send = call.may_send(now, limits_.max_attempts);
    call.attempts.push_back({{}, now});
    if (!may_send) {
        return ended(send.id, number, send.endpoint, Result{Status::NotSent});
    }
    if (observer_) observer_->sent(send.id, number, send.endpoint);
    const Time end = send.timeout == Duration{} ? call.deadline : std::min(call.deadline, now + send.timeout);
    const auto handle = back_.send(send.endpoint, call.message, end,
                                   [this, id = send.id, number, endpoint = send.endpoint](Result&& result) {
                                       ended(id, number, endpoint, std::move(result));
                                   });
    if (const auto still = calls_.find(send.id); still != calls_.end()) {
        still->second.attempts[number].handle = handle;
    }
}

void Engine::ended(const RequestId& id, std::size_t number, EndpointId endpoint, Result&& result) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Call& call = it->second;
    call.attempts[number].out = false;
    const Status status = result.status;
    if (observer_) observer_->ended(id, number, status);
    Outcome outcome{id,
                    static_cast<AttemptNumber>(number),
                    endpoint,
                    result.status,
                    scheduler_.now() - call.attempts[number].sent,
                    false,
                    std::nullopt,
                    result.kept};
    if (result.status == Status::Ok) {
        Answer answer{Answer::Kind::Served, std::move(result.body), std::move(result.content_type), {}};
        answer.rest = std::move(result.rest);
        answer.head = std::move(result.head);
        answer.length = result.length;
        const auto rest = answer.rest;
        // Guards against an endpoint that goes on answering a caller who has left.
        if (!complete(id, std::move(answer), Why::Endpoint) && rest) rest->stop_reading();
    } else if (result.status == Status::Error && result.head) {
        call.failure = std::move(result.head);
        call.failure_body = std::move(result.body);
    } else if (call.message && !call.message->resendable()) {
        // Its body has been handed on and let go: there is nothing left that could be sent.
        const bool never_ran = result.status == Status::Rejected || result.status == Status::ConnectFailed ||
                               result.status == Status::NotSent;
        complete(id, Answer{never_ran ? Answer::Kind::Refused : Answer::Kind::Failed, {}, {}, {}},
                 Why::Spent);
    }
    const auto still = calls_.find(id);
    outcome.last = still == calls_.end() || !still->second.reply;
    forget_if_over(id);
    post(std::move(outcome));
    if (ended_) ended_(endpoint, status);
}

/// The one place that completes a request: at most once, and nothing more of it goes out.
bool Engine::complete(const RequestId& id, Answer&& answer, Why why) {
    const auto it = calls_.find(id);
    const Reply reply = it == calls_.end() ? nullptr : std::exchange(it->second.reply, nullptr);
    if (!reply) return false;
    it->second.backstop.cancel();
    if (answer.kind == Answer::Kind::Failed && it->second.failure) {
        answer.head = std::move(it->second.failure);
        answer.body = std::move(it->second.failure_body);
    }
    Tally::Ticket ticket = std::move(it->second.ticket);
    const Tally::End how = answer.kind == Answer::Kind::Served    ? Tally::End::Served
                           : answer.kind == Answer::Kind::Refused ? Tally::End::Refused
                                                                  : Tally::End::Failed;
    if (answer.rest) {
        answer.ticket = std::move(ticket);
    } else {
        ticket.end(how);
    }
    if (observer_) observer_->completed(id, how, why);
    // Guards against an attempt that was waiting for its connection and would be written after the answer.
    // Each that ends may end the call too: go by a copy.
    std::vector<Back::Handle> out;
    for (const Attempt& attempt : it->second.attempts) {
        if (attempt.out) out.push_back(attempt.handle);
    }
    for (const Back::Handle& attempt : out) {
        if (const auto handle = attempt.lock()) handle->withdraw_unwritten();
    }
    forget_if_over(id);
    if (witness_) answer.on_written = witness_->completed(id, answer.kind);
    reply(std::move(answer));
    return true;
}

/// Kept while an answer is owed or an attempt is out: the id may not come anew before.
void Engine::forget_if_over(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.reply) return;
    const auto& attempts = it->second.attempts;
    if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; }))
        calls_.erase(it);
}

}  // namespace martenford
