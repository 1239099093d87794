// The endpoint's side: the gate that alone reaches it. It lets in what the endpoint has slots for, keeps the
// rest in a queue of its own by priority and deadline, and refuses with proof what it has not handed on.
// Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/policy.h"
#include "core/scheduler.h"

namespace martenford::admission {

using decision::Duration;
using decision::EndpointId;
using decision::RequestId;
using decision::Status;
using decision::Time;

/// What a hop says of its request, told before the engine takes it.
struct InboundRequest {
    std::string instance_id;  ///< the endpoint that it is meant for
    std::string attempt_id;   ///< the client's
    bool idempotent = false;
    bool may_queue = true;
    std::int64_t priority = 0;
    std::uint32_t kind = 0;     ///< of request: those alike take alike
    Duration latency_target{};  ///< what is left of the time in which its answer earns its worth
};

class AdmissionController : public Policy {
  public:
    struct Options {
        Duration drain =
            2500ms;  ///< nothing reaches an endpoint later than this after its drain was acknowledged
        Duration drain_margin = 700ms;          ///< and here nothing does this much sooner
        Duration remember_delivered_for = 60s;  ///< for so long an id that must not run twice is remembered
        Duration query_delay = 2s;              ///< a question is on its way for less: its caller waits 0.3 s
        std::size_t max_queued = 256;
    };
    explicit AdmissionController(const Options& options) : options_(options) {}

    /// The endpoint that is here now; `id` is the one that Sends name. None: all is refused.
    void set_endpoint(EndpointId id, const std::string& instance, std::uint32_t slots);
    void start_draining(Time now);
    void remove_endpoint();
    const std::string& instance_id() const { return instance_id_; }

    void prepare(const RequestId& id, InboundRequest inbound) { prepared_requests_[id] = std::move(inbound); }
    const InboundRequest* inbound_request(const RequestId& id) const;
    /// Whether an id that must not run twice, of a hop that went `age` ago, was never handed on here. If so
    /// it never will be: it is barred. False where that is not known any more.
    bool fence_attempt(Time now, const std::string& attempt_id, Duration age);
    /// How long a request that came now would wait for a slot.
    Duration expected_queue_wait() const;
    std::size_t queue_length() const { return queue_.size(); }
    std::size_t in_flight() const { return in_flight_; }

    void start(Time, std::vector<decision::Action>&) override {}
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override;

  private:
    struct Call {
        decision::Request request;
        InboundRequest inbound;
        Time latency_target_at{};
        bool queued = false, in_flight = false, open = true;
        Time sent_at{}, received_at{};
        Duration expected_wait{};  // wait
        std::uint64_t number = 0;
    };
    /// What was seen of requests that are alike.
    struct KindStatistics {
        Duration typical_service_time{};
        double wait_factor =
            1;  ///< how much longer they waited than was expected when they came: others overtook them
    };
    void on(const decision::Request& request);
    void on(const decision::Outcome& outcome);
    void on(const decision::DeadlineExpired& lapsed);
    void on(const decision::TimerFired& timer);
    template <class T>
    void on(const T&) {}
    void send(Call& call);
    void record_delivered(const std::string& attempt_id);
    void fail(Call& call);
    void reject(Call& call);
    void admit_next();
    void forget(const RequestId& id);
    bool is_closed() const;
    Time latest_useful_start(const Call& call) const;
    bool is_worth_queueing(const Call& call) const;
    Duration typical_service_time(std::uint32_t kind) const;
    Duration expected_wait(const Call& call) const;
    void record_wait(const Call& call);
    Time latest_in_queue(const Call& call) const;
    Duration wait_behind(std::size_t ahead) const;
    using QueueKey = std::tuple<std::int64_t, Time, std::uint64_t>;
    static QueueKey queue_key(const Call& call) {
        return {call.inbound.priority, call.latency_target_at, call.number};
    }

    Options options_;
    EndpointId id_{};
    std::string instance_id_;
    std::uint32_t max_in_flight_ =
        0;  // that are used: one more than the endpoint has, so that none stands idle between two
    std::optional<Time> draining_since_;
    std::size_t in_flight_ = 0;
    Duration typical_service_time_ = 150ms;  // how long the endpoint takes, averaged
    std::unordered_map<std::uint32_t, KindStatistics> statistics_by_kind_;  // and for requests of one kind
    std::unordered_map<RequestId, InboundRequest> prepared_requests_;
    std::unordered_map<RequestId, Call> calls_;
    std::map<std::uint64_t, RequestId> ids_by_number_;
    /// By priority, then by whose aim ends first, then by who came first.
    std::map<QueueKey, RequestId> queue_;
    /// Ids that must not run twice and were handed on, by when; and in that order.
    std::unordered_map<std::string, Time> delivered_attempts_;
    std::deque<std::pair<Time, std::string>> delivered_order_;
    std::optional<Time>
        newest_forgotten_at_;  // when the newest of those was spent that are not remembered any more
    std::uint64_t last_call_number_ = 0;
    Time now_{};
    std::vector<decision::Action>* actions_ = nullptr;
};

}  // namespace martenford::admission
