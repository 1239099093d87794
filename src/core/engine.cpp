#include "core/engine.h"

#include <algorithm>
#include <utility>

namespace martenford {

using namespace martenford::decision;
using CompletionReason = Observer::CompletionReason;

namespace {
/// The policy acts at the deadline itself, where a timed-out request may still be answered as refused. The
/// backstop, which can only fail it, comes a little later.
constexpr Duration kBackstopDelay = 3ms;
}  // namespace

Engine::Engine(Scheduler& scheduler, EndpointClient& endpoint_client, const Limits& limits,
               std::unique_ptr<Policy> policy, RequestCounters& request_counters)
    : scheduler_(scheduler),
      endpoint_client_(endpoint_client),
      limits_(limits),
      policy_(std::move(policy)),
      request_counters_(request_counters) {}

void Engine::start() {
    std::vector<Action> actions;
    dispatching_ = true;
    policy_->start(scheduler_.now(), actions);
    for (const Action& action : actions) execute(action);
    dispatching_ = false;
}

bool Engine::submit(Request request, std::shared_ptr<const Message> message, Reply reply) {
    const auto [it, fresh] = requests_.try_emplace(request.id, scheduler_);
    if (!fresh) return false;
    OpenRequest& request_state = it->second;
    request_state.message = std::move(message);
    request_state.deadline = request.deadline;
    request_state.reply = std::move(reply);
    request_state.ticket = request_counters_.open(request.class_index);
    if (observer_) observer_->request_accepted(request);
    if (interceptor_ && !interceptor_->admits(request)) {
        complete(request.id, Answer{Answer::Kind::Refused, {}, {}, {}}, CompletionReason::Journal);
        return true;
    }
    request_state.arriving = request.body_pending;
    request_state.held = interceptor_ && interceptor_->holds(request);
    request.body_pending |= request_state.held;
    // Guards against a request that is never answered because the policy holds it or has lost track of it.
    request_state.backstop.set(request_state.deadline + kBackstopDelay, [this, id = request.id] {
        if (complete(id, Answer{}, CompletionReason::Deadline)) post(DeadlineExpired{id});
    });
    post(std::move(request));
    return true;
}

void Engine::body_received(const RequestId& id, Time deadline) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.reply) return;
    OpenRequest& request_state = it->second;
    request_state.deadline = deadline;
    request_state.backstop.set(deadline + kBackstopDelay, [this, id] {
        if (complete(id, Answer{}, CompletionReason::Deadline)) post(DeadlineExpired{id});
    });
    for (const Attempt& attempt : request_state.attempts) {
        if (!attempt.in_flight) continue;
        if (const auto handle = attempt.handle.lock()) handle->set_deadline(deadline);
    }
    request_state.arriving = false;
    if (!request_state.held) post_received(id, request_state);
}

void Engine::released(const RequestId& id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !std::exchange(it->second.held, false) || !it->second.reply) return;
    if (!it->second.arriving) post_received(id, it->second);
}

void Engine::post_received(const RequestId& id, OpenRequest& request_state) {
    for (Attempt& attempt : request_state.attempts) {
        if (attempt.in_flight) attempt.sent = scheduler_.now();
    }
    post(BodyReceived{id, request_state.deadline});
}

void Engine::client_disconnected(const RequestId& id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.reply) return;
    it->second.reply = [](Answer&&) {};  // there is no client left to answer
    if (interceptor_) interceptor_->client_disconnected(id);
    complete(id, Answer{}, CompletionReason::ClientDisconnected);
    post(DeadlineExpired{id});
}

void Engine::abort(const RequestId& id, bool refused) {
    if (complete(id, Answer{refused ? Answer::Kind::Refused : Answer::Kind::Failed, {}, {}, {}},
                 CompletionReason::Journal))
        post(DeadlineExpired{id});
}

void Engine::cancel(const RequestId& id, AttemptNumber number) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || number >= it->second.attempts.size()) return;
    const Attempt& attempt = it->second.attempts[number];
    if (const auto handle = attempt.handle.lock(); handle && attempt.in_flight) handle->cancel();
}

/// The policy is never re-entered: events that arise while its actions run are queued here.
void Engine::post(Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(dispatching_, true)) return;
    std::vector<Action> actions;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        policy_->handle(scheduler_.now(), next, actions);
        for (const Action& action : actions) execute(action);
    }
    dispatching_ = false;
}

void Engine::execute(const Action& action) {
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
            engine.endpoint_client_.probe(probe.endpoint, [&engine = engine, id = probe.endpoint,
                                                           sent = engine.scheduler_.now()](Result&& result) {
                engine.post(ProbeResult{id, result.status, engine.scheduler_.now() - sent, std::nullopt});
            });
        }
        void operator()(const Subscribe&) const {
            if (engine.subscribe_) engine.subscribe_();
        }
        void operator()(const CloseIdleConnections& shut) const {
            engine.endpoint_client_.close_idle_connections(shut.endpoint);
        }

        void finish(const RequestId& id, Answer&& answer) const {
            engine.complete(id, std::move(answer), CompletionReason::Policy);
        }
    };
    std::visit(Visitor{*this}, action);
}

bool Engine::OpenRequest::may_send(Time now, std::size_t max_attempts) const {
    if (!reply || now >= deadline || attempts.size() >= max_attempts) return false;
    const bool any_in_flight =
        std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
    return !any_in_flight || !message || !message->is_streamed();
}

void Engine::send(const Send& send) {
    const auto it = requests_.find(send.id);
    const Time now = scheduler_.now();
    // Nothing is sent for a request that is complete, past its deadline or out of attempts.
    if (it == requests_.end()) return;
    OpenRequest& request_state = it->second;
    const std::size_t number = request_state.attempts.size();
    const bool may_send = request_state.may_send(now, limits_.max_attempts);
    request_state.attempts.push_back({{}, now});
    if (!may_send) {
        return ended(send.id, number, send.endpoint, Result{Status::NotSent});
    }
    if (observer_) observer_->attempt_sent(send.id, number, send.endpoint);
    const Time end = send.timeout == Duration{} ? request_state.deadline
                                                : std::min(request_state.deadline, now + send.timeout);
    const auto handle =
        endpoint_client_.send(send.endpoint, request_state.message, end,
                              [this, id = send.id, number, endpoint = send.endpoint](Result&& result) {
                                  ended(id, number, endpoint, std::move(result));
                              });
    if (const auto still = requests_.find(send.id); still != requests_.end()) {
        still->second.attempts[number].handle = handle;
    }
}

void Engine::ended(const RequestId& id, std::size_t number, EndpointId endpoint, Result&& result) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    OpenRequest& request_state = it->second;
    request_state.attempts[number].in_flight = false;
    const Status status = result.status;
    if (observer_) observer_->attempt_ended(id, number, status);
    Outcome outcome{id,
                    static_cast<AttemptNumber>(number),
                    endpoint,
                    result.status,
                    scheduler_.now() - request_state.attempts[number].sent,
                    false,
                    std::nullopt,
                    result.connection_reusable};
    if (result.status == Status::Ok) {
        Answer answer{Answer::Kind::Served, std::move(result.body), std::move(result.content_type), {}};
        answer.rest = std::move(result.rest);
        answer.head = std::move(result.head);
        answer.length = result.length;
        const auto rest = answer.rest;
        // Guards against an endpoint that keeps sending to a caller that has disconnected.
        if (!complete(id, std::move(answer), CompletionReason::Endpoint) && rest) rest->stop_reading();
    } else {
        if (result.status == Status::Error && result.head) {
            request_state.failure = std::move(result.head);
            request_state.failure_body = std::move(result.body);
        }
        // The body has been forwarded and freed, so that another attempt has nothing to send.
        const bool body_consumed = request_state.message && !request_state.message->resendable();
        if (body_consumed) complete_without_body(id, result.status);
    }
    const auto still = requests_.find(id);
    outcome.last = still == requests_.end() || !still->second.reply;
    erase_if_finished(id);
    post(std::move(outcome));
    if (ended_) ended_(endpoint, status);
}

/// Completes a request after an attempt that consumed its body and ended without success.
void Engine::complete_without_body(const RequestId& id, Status ended) {
    complete(id, Answer{proves_never_ran(ended) ? Answer::Kind::Refused : Answer::Kind::Failed, {}, {}, {}},
             CompletionReason::BodyConsumed);
}

/// The only place that completes a request: at most once, and nothing more is sent for it afterwards.
bool Engine::complete(const RequestId& id, Answer&& answer, CompletionReason reason) {
    const auto it = requests_.find(id);
    const Reply reply = it == requests_.end() ? nullptr : std::exchange(it->second.reply, nullptr);
    if (!reply) return false;
    it->second.backstop.cancel();
    if (answer.kind == Answer::Kind::Failed && it->second.failure) {
        answer.head = std::move(it->second.failure);
        answer.body = std::move(it->second.failure_body);
    }
    RequestCounters::Ticket ticket = std::move(it->second.ticket);
    const RequestCounters::Outcome outcome =
        answer.kind == Answer::Kind::Served    ? RequestCounters::Outcome::Served
        : answer.kind == Answer::Kind::Refused ? RequestCounters::Outcome::Refused
                                               : RequestCounters::Outcome::Failed;
    if (answer.rest) {
        answer.ticket = std::move(ticket);
    } else {
        ticket.end(outcome);
    }
    if (observer_) observer_->request_completed(id, outcome, reason);
    // Guards against an attempt that was still waiting for its connection and would be written after the
    // answer. An attempt that ends may erase the request, hence the copy.
    std::vector<EndpointClient::Handle> in_flight;
    for (const Attempt& attempt : it->second.attempts) {
        if (attempt.in_flight) in_flight.push_back(attempt.handle);
    }
    for (const EndpointClient::Handle& attempt : in_flight) {
        if (const auto handle = attempt.lock()) handle->withdraw_if_unsent();
    }
    erase_if_finished(id);
    if (interceptor_) answer.on_written = interceptor_->completed(id, answer.kind);
    reply(std::move(answer));
    return true;
}

/// A request is kept while its answer is due or an attempt is in flight: its id cannot be reused before that.
void Engine::erase_if_finished(const RequestId& id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.reply) return;
    const auto& attempts = it->second.attempts;
    if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; }))
        requests_.erase(it);
}

}  // namespace martenford
