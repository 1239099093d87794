// Admission control on the endpoint's side. The inbound proxy alone reaches its endpoint, so it knows its
// load exactly.
//
// Concurrency limit: as many requests are in flight at the endpoint as it has slots, and one more, so that it
//     does not idle for the time between an answer and the next request.
// Queue: what is beyond waits here, not at the endpoint. Order: priority (lower first), then the latency
//     target that ends first, then arrival.
// Load shedding: a request is rejected at once if by the wait estimate it would miss its latency target, and
//     out of the queue if it is about to. A rejection proves that the request did not run; the caller tries
//     elsewhere or tells its client to come back. Without it, under overload all would wait so long that none
//     is served in time.
// At most once: a request that must not run twice is passed on once by Attempt-Id, see delivered_attempts.h.
// Drain: see start_draining().
//
// Answers by core::Engine's actions: Send passes the request on, Refuse rejects it with the proof that it did
// not run, Fail ends it without one.
//
// Pure: no I/O and no clock. Not thread safe; one event loop owns it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "admission/delivered_attempts.h"
#include "admission/wait_estimator.h"
#include "core/policy.h"
#include "core/scheduler.h"

namespace martenford::admission {

using decision::Duration;
using decision::EndpointId;
using decision::RequestId;
using decision::Status;
using decision::Time;

/// What the caller's proxy says of a request. Given to prepare() before the engine takes the request.
struct InboundRequest {
    std::string instance_id;    ///< the endpoint that it is meant for
    std::string attempt_id;     ///< the client's Attempt-Id
    bool idempotent = false;    ///< may run more than once
    bool may_queue = true;      ///< false: rejected unless a slot is free (AdmissionMode::IfSlotFree)
    std::int64_t priority = 0;  ///< lower goes first
    std::uint32_t kind = 0;     ///< kind of request, by its route; those of a kind take a similar time
    Duration latency_target{};  ///< what is left of the time in which its answer is worth its full value
};

class AdmissionController : public Policy {
  public:
    struct Options {
        /// The platform's bound: nothing reaches an endpoint later than this after its drain was
        /// acknowledged.
        Duration drain = 2500ms;
        /// The queue closes this much earlier, for what is on its way to the endpoint. Cost: requests that
        /// come in that time go elsewhere.
        Duration drain_margin = 700ms;
        /// How long an Attempt-Id that must not run twice is remembered. Cost: memory.
        Duration remember_delivered_for = 60s;
        /// Upper bound of the time that a caller's query is on its way; the caller itself waits 300 ms.
        Duration query_delay = 2s;
        /// Requests in the queue; more are rejected. Bounds the memory.
        std::size_t max_queued = 256;
    };
    explicit AdmissionController(const Options& options)
        : options_(options), delivered_attempts_(options.remember_delivered_for, options.query_delay) {}

    /// The endpoint that is here now. `id` is named in the Send actions, `instance` is its id in requests,
    /// `slots` is how many requests it serves concurrently. Another instance ends a drain.
    void set_endpoint(EndpointId id, const std::string& instance, std::uint32_t slots);
    /// Begins to drain the endpoint. From now on a new request that need not queue here is rejected, so that
    /// its caller goes elsewhere; one that may queue has found nothing else, and is admitted. From `drain` -
    /// `drain_margin` on everything is rejected, the queue included.
    void start_draining(Time now);
    /// There is no endpoint any more: all requests are rejected.
    void remove_endpoint();
    /// The endpoint's id; empty without one.
    [[nodiscard]] const std::string& instance_id() const { return instance_id_; }

    /// Gives what is known of a request; the Request event with this id follows.
    void prepare(const RequestId& id, InboundRequest inbound) { prepared_requests_[id] = std::move(inbound); }
    /// What was given for a request in progress, or nullptr.
    [[nodiscard]] const InboundRequest* inbound_request(const RequestId& id) const;

    /// Answers a caller's query whether an attempt, sent `age` ago, was passed on to the endpoint. Returns
    /// true if it was not, and fences it: it will not be passed on any more. Returns false if it was, or if
    /// that is not known any more.
    [[nodiscard]] bool fence_attempt(Time now, const std::string& attempt_id, Duration age) {
        return delivered_attempts_.fence(now, attempt_id, age);
    }

    /// Whether the endpoint itself rejected this request, and no other one since. Asked when the rejection is
    /// written, which is in the step that made it. Request ids are not used twice.
    [[nodiscard]] bool was_turned_away(const RequestId& id) const { return last_turned_away_ == id; }

    /// How long a request that came now would wait for a slot; 10 s if there has been no endpoint yet.
    [[nodiscard]] Duration expected_queue_wait() const;
    [[nodiscard]] std::size_t queue_length() const { return queue_.size(); }
    /// Requests at the endpoint.
    [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

    void start(Time, std::vector<decision::Action>&) override {}
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override;

  private:
    struct Call {
        decision::Request request;
        InboundRequest inbound;
        Time latency_target_at{};
        bool queued = false;
        bool in_flight = false;  // at the endpoint
        bool open = true;        // no final answer yet
        Time sent_at{};
        Time queued_at{};
        Duration expected_wait{};  // when it was queued
        std::uint64_t number = 0;  // order of arrival; token of its timer
    };
    // Priority, latency target, arrival: the order of the queue.
    using QueueKey = std::tuple<std::int64_t, Time, std::uint64_t>;
    static QueueKey queue_key(const Call& call) {
        return {call.inbound.priority, call.latency_target_at, call.number};
    }

    void on(const decision::Request& request);
    void on(const decision::Outcome& outcome);
    void on(const decision::DeadlineExpired& expired);
    void on(const decision::TimerFired& timer);
    template <class T>
    void on(const T&) {}

    // Admission.
    [[nodiscard]] bool is_closed() const;
    [[nodiscard]] bool is_unwanted(const Call& call) const;
    [[nodiscard]] bool would_run_twice(const Call& call) const;
    [[nodiscard]] bool may_enter_queue(const Call& call) const;
    void enqueue(Call& call);
    void send(Call& call);
    void admit_next();

    // Wait estimate.
    [[nodiscard]] Duration expected_wait(const Call& call) const;
    [[nodiscard]] Time latest_useful_start(const Call& call) const;
    [[nodiscard]] Time latest_in_queue(const Call& call) const;
    [[nodiscard]] bool is_worth_queueing(const Call& call) const;
    void record_wait(const Call& call);

    // The end.
    void leave_queue(Call& call);
    void finish(Call& call, const decision::Action& answer);
    void reject(Call& call);
    void fail(Call& call);
    void forget_if_finished(const RequestId& id);

    Options options_;
    EndpointId id_{};
    std::string instance_id_;
    std::uint32_t max_in_flight_ = 0;
    std::optional<Time> draining_since_;
    std::size_t in_flight_ = 0;
    WaitEstimator estimator_;
    DeliveredAttempts delivered_attempts_;
    std::unordered_map<RequestId, InboundRequest> prepared_requests_;
    std::unordered_map<RequestId, Call> calls_;
    std::map<std::uint64_t, RequestId> ids_by_number_;
    std::map<QueueKey, RequestId> queue_;
    std::uint64_t last_call_number_ = 0;
    RequestId last_turned_away_;                        // the last that the endpoint itself rejected
    Time now_{};                                        // of the event being handled
    std::vector<decision::Action>* actions_ = nullptr;  // its output
};

}  // namespace martenford::admission
