// The caller's side: which endpoint a request goes to, when one that failed is tried again, and when it is
// given up on. The design ("Retries Done Right") decides here, on its ordinary path: served calls earn tokens
// that retries spend, retries wait by decorrelated jitter and end at the deadline, a pick takes the less
// loaded of two random ready endpoints by own calls out, and a retry goes elsewhere. A gate's refusal proves
// that nothing ran and costs nothing: the request goes on at once. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/policy.h"
#include "core/scheduler.h"
#include "policy/budget.h"
#include "policy/mechanics.h"
#include "policy/waits.h"

namespace martenford::outbound {

using decision::Duration;
using decision::EndpointId;
using decision::RequestId;
using decision::Status;
using decision::Time;

/// What a request's route says, told before the engine takes it.
struct RequestPlan {
    std::string service;
    std::uint32_t kind = 0;  ///< of request, by its route
    bool idempotent = false;
    std::int64_t max_attempts = 1;
    Time latency_target_at{};  ///< an answer by then earns its whole worth
    std::int64_t priority = 0;
    std::uint32_t config_version = 0;  ///< of the configuration by which it was made
};

/// The gate of one endpoint.
struct Upstream {
    std::string service, zone;
    bool ready = false;
    bool lease_expired =
        false;  ///< the proxy there is not heard by the core: only where nothing else is left
};

/// How a request is offered to a gate.
enum class AdmissionMode : std::uint8_t {
    IfSlotFree,  ///< refused where it would have to wait
    Queue,       ///< it waits there if that is worth it
};

class OutboundPolicy : public Policy {
  public:
    struct Options {
        std::string zone;
        double retry_tokens = 30;     ///< tokens a service; this proxy's share
        std::size_t slot_offers = 3;  ///< gates that are asked for a free place before one's queue is taken
        std::size_t max_hops = 12;    ///< gates that one request is offered to at most
    };
    OutboundPolicy(const Options& options, std::uint64_t seed) : options_(options), random_(seed) {}

    void prepare(const RequestId& id, RequestPlan plan);
    void set_upstream(EndpointId id, const Upstream& upstream);
    void remove_upstream(EndpointId id);
    /// What a gate said of its queue when it refused or answered.
    void queue_hint(EndpointId id, Time now, Duration wait);
    /// How the attempt of a request that goes out now is offered.
    AdmissionMode admission_mode(const RequestId& id) const;
    /// A gate refuses the attempt that is out since a newer configuration than the plan's wants another: it
    /// is held until it is planned anew, or refused.
    void outdated(const RequestId& id);
    /// The plan by the newer one; nothing: there is no such route any more. Goes on at the next Discovered.
    void replan(const RequestId& id, std::optional<RequestPlan> plan);
    /// Where what goes out now only asks whether an earlier hop to that gate was ever handed on: how long ago
    /// that hop went.
    std::optional<Duration> delivery_query(const RequestId& id) const;
    /// The gate says that it has handed on the attempt that is out.
    void delivered(const RequestId& id);
    const RequestPlan* plan(const RequestId& id) const;
    bool any_ready() const;

    void start(Time, std::vector<decision::Action>&) override {}
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override;
    /// A gate is gone or silent: what is out there and may be repeated is to go elsewhere as well, at the
    /// next Discovered. It is not broken off: it may be at work, and where nothing else serves it, it is
    /// waited for.
    void withdraw(EndpointId id) { withdrawn_upstreams_.push_back(id); }
    /// From here on nothing is given up while an endpoint may be at work on it.
    void drain() { draining_ = true; }

  private:
    struct UpstreamState {
        Upstream upstream;
        int in_flight = 0;
        Time avoid_until{};  // until when it is only taken where nothing else is left
        Time hinted_at{};
        Duration queue_wait{};
    };
    struct Attempt {
        EndpointId to{};
        bool in_flight = false, may_have_run = false;
        bool upstream_lost = false;  // its gate is gone or silent
        bool delivered = false;      // its gate said so
        Time sent_at{};
        std::optional<std::size_t> queries_attempt{};  // another: whether that one was ever handed on
    };
    struct Call {
        decision::Request request;
        RequestPlan plan;
        std::vector<Attempt> attempts;
        std::vector<EndpointId> rejected_by;  // by whom since the last attempt that ran
        std::int64_t runs = 0;                // attempts that may have run
        std::size_t offers = 0;               // in this round
        AdmissionMode mode = AdmissionMode::IfSlotFree;
        decision::Backoff backoff;
        bool open = true;
        bool outdated = false, plan_renewed = false;
        std::optional<Time> held_until;
        std::uint64_t number = 0;
    };

    void on(const decision::Request& request);
    void on(const decision::Outcome& outcome);
    void on(const decision::DeadlineExpired& lapsed);
    void on(const decision::TimerFired& timer);
    void on(const decision::Discovered& news);
    template <class T>
    void on(const T&) {}
    void try_send(Call& call);
    std::optional<EndpointId> pick(const Call& call);
    std::optional<EndpointId> least_wait(const Call& call);
    void retry(Call& call);
    bool query_delivery(Call& call, std::size_t attempt);
    static bool has_attempt_in_flight(const Call& call);
    void continue_with_new_plan(Call& call);
    void give_up(Call& call);
    void forget_if_over(const RequestId& id);
    bool was_tried(const Call& call, EndpointId id) const;

    Options options_;
    decision::Random random_;
    std::map<EndpointId, UpstreamState> upstreams_;
    std::unordered_map<std::string, std::vector<EndpointId>> by_service_;
    std::unordered_map<std::string, decision::RetryBudget> retry_budgets_;
    std::unordered_map<RequestId, RequestPlan> prepared_plans_;
    std::unordered_map<RequestId, Call> calls_;
    std::unordered_map<std::uint64_t, RequestId> ids_by_number_;
    std::uint64_t last_call_number_ = 0;
    std::vector<EndpointId> withdrawn_upstreams_;
    bool draining_ = false;
    Time now_{};
    std::vector<decision::Action>* actions_ = nullptr;
};

}  // namespace martenford::outbound
