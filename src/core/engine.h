// The engine owns the policy. It turns what happens into events for the policy, and the policy's actions into
// I/O. It holds the table of open requests, and is the only place that completes a request.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint_client.h"
#include "core/observer.h"
#include "core/policy.h"
#include "core/request_counters.h"
#include "core/scheduler.h"

namespace martenford {

/// The final answer to a request.
struct Answer {
    enum class Kind { Served, Refused, Failed };
    Kind kind = Kind::Failed;
    std::string body;
    std::string content_type;
    Duration retry_after{};                 ///< of a refusal: the suggested delay; 0: none
    std::shared_ptr<Pipe> rest{};           ///< the rest of a streamed body; null if `body` is complete
    std::optional<std::uint64_t> length{};  ///< of the whole body, if the endpoint stated it
    RequestCounters::Ticket ticket{};       ///< set with `rest`: the listener reports how streaming it ended
    /// Called by the listener once the last byte has been written; may be empty.
    std::function<void()> on_written{};
    /// The head of the endpoint's answer, also of a failed one; null if this proxy made the answer itself.
    std::shared_ptr<const AnswerHead> head{};
};

/// Handles requests from a listener: the engine, or a server that answers them itself.
class RequestHandler {
  public:
    using Reply = std::function<void(Answer&&)>;

    virtual ~RequestHandler() = default;
    /// Takes a request. `reply` is called once, unless the client disconnects first. Returns false, and takes
    /// nothing, if a request with the same id is in flight.
    virtual bool submit(decision::Request request, std::shared_ptr<const Message> message, Reply reply) = 0;
    /// The whole body of a request that was submitted while arriving has been received; its client waits
    /// until `deadline`.
    virtual void body_received(const decision::RequestId& id, Time deadline) = 0;
    /// The client of an open request has disconnected.
    virtual void client_disconnected(const decision::RequestId& id) = 0;
};

/// Follows each request of the engine from its start to its answer. May refuse it or delay its first attempt.
class RequestInterceptor {
  public:
    virtual ~RequestInterceptor() = default;
    /// Returns false to refuse the request at once, as one that never ran.
    virtual bool admits(const decision::Request& request) = 0;
    /// Returns true if the first attempt will be held back for a while on its way to the endpoint client.
    /// Engine::released() is called once it goes out.
    virtual bool holds(const decision::Request& request) = 0;
    /// A request is complete. The returned callback runs once the answer has been written; may be empty.
    virtual std::function<void()> completed(const decision::RequestId& id, Answer::Kind kind) = 0;
    /// The client disconnected before its request was complete.
    virtual void client_disconnected(const decision::RequestId& id) = 0;
};

class Engine : public RequestHandler {
  public:
    /// `policy` decides; attempts are sent through `endpoint_client`. The scheduler, the endpoint client and
    /// the counters outlive the engine.
    Engine(Scheduler& scheduler, EndpointClient& endpoint_client, const decision::Limits& limits,
           std::unique_ptr<Policy> policy, RequestCounters& request_counters);

    /// Sets the callback for the policy's Subscribe action.
    void on_subscribe(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }
    /// Sets a callback for the end of each attempt, independent of what the policy makes of it.
    void on_attempt_ended(std::function<void(EndpointId, decision::Status)> ended) {
        ended_ = std::move(ended);
    }
    /// Sets the interceptor of all requests; null for none.
    void set_interceptor(RequestInterceptor* interceptor) { interceptor_ = interceptor; }
    /// Sets the observer, which is told of everything and decides nothing; null for none.
    void set_observer(Observer* observer) { observer_ = observer; }
    void start();

    bool submit(decision::Request request, std::shared_ptr<const Message> message, Reply reply) override;
    void body_received(const decision::RequestId& id, Time deadline) override;
    /// The first attempt of a held request goes out. Until now no endpoint has had any work from it.
    void released(const decision::RequestId& id);
    void client_disconnected(const decision::RequestId& id) override;
    /// Answers an open request at once, without the policy. `refused` only if nothing of it can have run.
    void abort(const decision::RequestId& id, bool refused);
    /// Cancels one attempt in flight, as the policy's Cancel action does; it ends as Cancelled.
    void cancel(const decision::RequestId& id, decision::AttemptNumber attempt);
    void handle_discovery(decision::DiscoveryUpdate discovered) {
        if (observer_) observer_->endpoints_listed(discovered);
        post(std::move(discovered));
    }

  private:
    struct Attempt {
        EndpointClient::Handle handle;
        Time sent{};
        bool in_flight = true;
    };
    struct OpenRequest {
        /// Whether another attempt may start now.
        [[nodiscard]] bool may_send(Time now, std::size_t max_attempts) const;
        explicit OpenRequest(Scheduler& scheduler) : backstop(scheduler) {}
        std::shared_ptr<const Message> message;
        Time deadline{};
        Reply reply;  // empty once the request is complete
        RequestCounters::Ticket ticket;
        Timer backstop;
        std::vector<Attempt> attempts;
        /// The last unsuccessful answer of an endpoint: the client gets it if nothing better comes.
        std::shared_ptr<const AnswerHead> failure;
        std::string failure_body;
        bool arriving = false, held = false;  // the policy gets Received once neither is true
    };

    void post(decision::Event event);
    void execute(const decision::Action& action);
    void post_received(const decision::RequestId& id, OpenRequest& request_state);
    void send(const decision::Send& send);
    void ended(const decision::RequestId& id, std::size_t number, EndpointId endpoint, Result&& result);
    void complete_without_body(const decision::RequestId& id, decision::Status ended);
    bool complete(const decision::RequestId& id, Answer&& answer, Observer::CompletionReason reason);
    void erase_if_finished(const decision::RequestId& id);

    Scheduler& scheduler_;
    EndpointClient& endpoint_client_;
    decision::Limits limits_;
    std::unique_ptr<Policy> policy_;
    RequestCounters& request_counters_;
    std::function<void()> subscribe_;
    std::function<void(EndpointId, decision::Status)> ended_;
    std::deque<decision::Event> events_;
    RequestInterceptor* interceptor_ = nullptr;
    Observer* observer_ = nullptr;
    bool dispatching_ = false;
    std::unordered_map<decision::RequestId, OpenRequest> requests_;
};

}  // namespace martenford
