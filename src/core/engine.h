// Owns the policy: turns what happens into its events and its actions into I/O. The table of open requests
// is here, and the one place that completes a request.
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
    Duration retry_after{};                 ///< of a refusal; 0: no advice
    std::shared_ptr<Pipe> rest{};           ///< of a body that is still coming; empty: it is whole
    std::optional<std::uint64_t> length{};  ///< of the whole body, where the endpoint told it
    RequestCounters::Ticket ticket{};       ///< where there is a rest: the front says how that ended
    /// Called by the front once the last byte has been written. Empty: nobody wants to know.
    std::function<void()> on_written{};
    /// Where an endpoint gave this answer, its head; also of one that failed. Empty: the front's own.
    std::shared_ptr<const AnswerHead> head{};
};

/// Who takes requests from a front: the engine, or whoever answers calls by itself.
class RequestHandler {
  public:
    using Reply = std::function<void(Answer&&)>;

    virtual ~RequestHandler() = default;
    /// Takes a request; `reply` is called once, unless the client leaves first. False where one with the same
    /// id is still under way: then nothing was taken.
    virtual bool submit(decision::Request request, std::shared_ptr<const Message> message, Reply reply) = 0;
    /// All of a request that was taken while it was arriving is here: its client waits until `deadline`.
    virtual void body_received(const decision::RequestId& id, Time deadline) = 0;
    /// The client of an open request has gone.
    virtual void client_disconnected(const decision::RequestId& id) = 0;
};

/// Sees the requests that the engine takes, from their beginning to their one answer.
class RequestInterceptor {
  public:
    virtual ~RequestInterceptor() = default;
    /// False: the request is refused at once, as one that never ran.
    virtual bool admits(const decision::Request& request) = 0;
    /// True: its first attempt will be held for a while by what stands before the back, which then says
    /// Engine::released().
    virtual bool holds(const decision::Request& request) = 0;
    /// A request is complete. What it gives back is called once the answer is written; empty: no need.
    virtual std::function<void()> completed(const decision::RequestId& id, Answer::Kind kind) = 0;
    /// Its client has gone before that.
    virtual void client_disconnected(const decision::RequestId& id) = 0;
};

class Engine : public RequestHandler {
  public:
    /// `policy` decides; attempts go through `back`. Both, and the scheduler, outlive what they carry.
    Engine(Scheduler& scheduler, EndpointClient& endpoint_client, const decision::Limits& limits,
           std::unique_ptr<Policy> policy, RequestCounters& request_counters);

    /// What the module's Subscribe calls.
    void on_subscribe(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }
    /// Sees how each attempt ended, whatever the module makes of it.
    void on_attempt_ended(std::function<void(EndpointId, decision::Status)> ended) {
        ended_ = std::move(ended);
    }
    /// Sees requests begin and end.
    void set_interceptor(RequestInterceptor* interceptor) { interceptor_ = interceptor; }
    /// Hears of everything, and has no say.
    void set_observer(Observer* observer) { observer_ = observer; }
    void start();

    bool submit(decision::Request request, std::shared_ptr<const Message> message, Reply reply) override;
    void body_received(const decision::RequestId& id, Time deadline) override;
    /// The first attempt of a request that was held goes out: until now it was no work to any endpoint.
    void released(const decision::RequestId& id);
    void client_disconnected(const decision::RequestId& id) override;
    /// Answers an open request at once, without the module: `refused` only where nothing of it can have run.
    void abort(const decision::RequestId& id, bool refused);
    /// Ends one attempt that is out, as the module's Cancel does: its outcome is Cancelled.
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
        /// Whether another attempt may begin now.
        [[nodiscard]] bool may_send(Time now, std::size_t max_attempts) const;
        explicit OpenRequest(Scheduler& scheduler) : backstop(scheduler) {}
        std::shared_ptr<const Message> message;
        Time deadline{};
        Reply reply;  // empty once the request is complete
        RequestCounters::Ticket ticket;
        Timer backstop;
        std::vector<Attempt> attempts;
        /// The last answer of an endpoint that did not serve: what the client gets if nothing better comes.
        std::shared_ptr<const AnswerHead> failure;
        std::string failure_body;
        bool arriving = false, held = false;  // the module hears BodyReceived once it is neither
    };

    void post(decision::Event event);
    void execute(const decision::Action& action);
    void post_received(const decision::RequestId& id, OpenRequest& request_state);
    void send(const decision::Send& send);
    void ended(const decision::RequestId& id, std::size_t number, EndpointId endpoint, Result&& result);
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
