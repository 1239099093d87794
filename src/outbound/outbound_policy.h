// The caller's side of the mesh: to which upstream a request goes, when a failed attempt is retried, and when
// the request is given up.
//
// The retry design is that of "Retries Done Right" (a paper, not part of this repository).
// It decides here on the ordinary path, in these functions:
//   - retry budget         earn_retry_token(), spend_retry_tokens(); "Mistake #4: no retry budget"
//   - decorrelated jitter  jittered_wait(); "Mistake #3: backoff without jitter"
//   - deadline bound       time_left_for_retry(); "Mistake #5: ignoring the request deadline"
//   - two random choices   UpstreamPool::pick_of_two(); our addition, the paper leaves it open
// That only idempotent requests are retried follows section "Mistake #6: retrying non-idempotent operations".
//
// What the mesh adds: a rejection by an inbound proxy proves that the request did not run. It is no failure
// and costs no budget; the request is offered to the next upstream at once. If the endpoint itself turned it
// away, the next offer costs as much as a retry: it is one more arrival at an endpoint. If a connection
// breaks under a request that must not run twice, the inbound proxy is asked whether it passed the request
// on; only its "no" frees the request for another upstream.
//
// Driven by core::Engine through Policy: events in, actions out. Pure: no I/O and no clock; all randomness
// comes from the seed. Not thread safe; one event loop owns it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/policy.h"
#include "core/scheduler.h"
#include "outbound/upstream_pool.h"
#include "policy/budget.h"
#include "policy/mechanics.h"
#include "policy/waits.h"

namespace martenford::outbound {

using decision::RequestId;

/// What the route table says of a request. Given to prepare() before the engine takes the request.
struct RequestPlan {
    std::string service;
    std::uint32_t kind = 0;   ///< kind of request, by its route; the inbound proxy keeps statistics by it
    bool idempotent = false;  ///< may run more than once
    std::int64_t max_attempts = 1;     ///< attempts that may have run at an endpoint, the first included
    Time latency_target_at{};          ///< an answer by then is worth its full value
    std::int64_t priority = 0;         ///< lower goes first
    std::uint32_t config_version = 0;  ///< of the configuration that the plan was made by
};

/// How a request is offered to an inbound proxy.
enum class AdmissionMode : std::uint8_t {
    IfSlotFree,  ///< rejected if it would have to wait
    Queue,       ///< queued there if it can still be served in time
};

class OutboundPolicy : public Policy {
  public:
    struct Options {
        std::string zone;  ///< this proxy's own
        /// Capacity of the retry budget of one service, in tokens; a retry costs 10. Less than the paper's
        /// 100: each of many proxies has a budget of its own.
        double retry_tokens = 30;
        /// Tokens of a new budget. None: what this machine has spent on retries before a restart is not
        /// known, and a capacity granted anew with each restart would be no bound. Cost: the first failures
        /// after a start are not retried.
        double initial_retry_tokens = 0;
        /// Upstreams that are asked for a free slot before the shortest of their queues is taken. Each costs
        /// a round trip.
        std::size_t slot_offers = 3;
        /// Messages to inbound proxies for one request, rejected ones and queries included.
        std::size_t max_hops = 12;
    };
    OutboundPolicy(const Options& options, std::uint64_t seed)
        : options_(options), random_(seed), upstreams_(options.zone) {}

    /// Gives the plan of a request; the Request event with this id follows.
    void prepare(const RequestId& id, RequestPlan plan);
    /// The plan of a request in progress, or nullptr.
    [[nodiscard]] const RequestPlan* plan(const RequestId& id) const;

    void set_upstream(EndpointId id, const Upstream& upstream) { upstreams_.set(id, upstream); }
    /// No new attempt goes there; attempts in flight end by themselves.
    void remove_upstream(EndpointId id) { upstreams_.remove(id); }
    /// The upstream's proxy is gone or its lease has expired: idempotent requests in flight there get a
    /// second attempt elsewhere at the next DiscoveryUpdate event. The first is not cancelled: its endpoint
    /// may be working on it, and where no other upstream serves the request, its answer is still wanted.
    void withdraw(EndpointId id) { withdrawn_upstreams_.push_back(id); }
    [[nodiscard]] bool any_ready() const { return upstreams_.any_ready(); }
    /// An inbound proxy reported the wait in its queue, with an answer or a rejection.
    void queue_hint(EndpointId id, Time now, Duration wait) { upstreams_.set_queue_wait(id, now, wait); }

    /// How the attempt that is being sent now is offered.
    [[nodiscard]] AdmissionMode admission_mode(const RequestId& id) const;

    /// The inbound proxy rejects the attempt in flight because it has a newer configuration, by which the
    /// plan differs. The request waits for replan(), up to a time-out.
    void outdated(const RequestId& id);
    /// The plan by the newer configuration; nullopt if it has no route for the request, which is then given
    /// up. Takes effect at the next DiscoveryUpdate event.
    void replan(const RequestId& id, std::optional<RequestPlan> plan);

    /// If what is being sent now is a query whether an earlier attempt was passed on to the endpoint: how
    /// long ago that attempt was sent. Otherwise nullopt.
    [[nodiscard]] std::optional<Duration> delivery_query(const RequestId& id) const;
    /// The inbound proxy confirmed that it passed the attempt in flight on to its endpoint.
    void delivered(const RequestId& id);

    /// The endpoint `at` got the attempt in flight there and turned it away: it did not run, but it arrived.
    void turned_away(const RequestId& id, EndpointId at);

    /// This proxy shuts down: from now on a request is not given up while an endpoint may be working on it.
    void drain() { draining_ = true; }

    void start(Time, std::vector<decision::Action>&) override {}
    void handle(Time now, const decision::Event& event, std::vector<decision::Action>& out) override;

  private:
    struct Call {
        decision::Request request;
        RequestPlan plan;
        std::vector<Attempt> attempts;
        std::vector<EndpointId> rejected_by;  // in this round
        std::int64_t runs = 0;                // ended attempts that may have run
        std::size_t offers = 0;               // in this round; a round ends when an attempt may have run
        AdmissionMode mode = AdmissionMode::IfSlotFree;
        decision::Backoff backoff;
        bool open = true;               // no final answer yet
        bool outdated = false;          // waits for a newer plan
        bool plan_renewed = false;      // replan() was called; not continued yet
        std::optional<Time> resume_at;  // waits until then: backoff, or for a newer plan
        std::uint64_t number = 0;       // token of its timers
    };

    void on(const decision::Request& request);
    void on(const decision::Outcome& outcome);
    void on(const decision::DeadlineExpired& expired);
    void on(const decision::TimerFired& timer);
    void on(const decision::DiscoveryUpdate& discovered);
    template <class T>
    void on(const T&) {}

    // Sending.
    static void start_round(Call& call);
    void try_send(Call& call);
    std::optional<EndpointId> choose_upstream(Call& call);
    static CallHistory history(const Call& call) { return {call.attempts, call.rejected_by}; }

    // Retries, by the paper.
    void retry(Call& call);
    void offer_again(Call& call, const Attempt& rejected);
    static bool may_run_again(const Call& call);
    void earn_retry_token(const Call& call);
    bool spend_retry_tokens(const Call& call);
    decision::RetryBudget& retry_budget(const std::string& service);
    Duration jittered_wait(Call& call);
    [[nodiscard]] Duration time_left_for_retry(const Call& call) const;

    // Outcomes.
    void record_outcome(Call& call, const decision::Outcome& outcome, bool never_ran);
    void on_delivery_answer(Call& call, const Attempt& query, Status status);
    bool query_delivery(Call& call, std::size_t attempt);
    void go_on(Call& call, const Attempt& ended);
    void wait_for_new_plan(Call& call);
    void continue_with_new_plan(Call& call);

    // Withdrawn upstreams.
    void resume_replanned_calls();
    [[nodiscard]] std::vector<RequestId> withdraw_attempts();
    static bool mark_upstream_lost(Call& call, EndpointId id);

    // The end.
    void cancel_attempts(const Call& call);
    void give_up(Call& call);
    void forget_if_finished(const RequestId& id);
    static bool has_attempt_in_flight(const Call& call);
    static bool has_reliable_attempt(const Call& call);

    Options options_;
    decision::Random random_;
    UpstreamPool upstreams_;
    std::unordered_map<std::string, decision::RetryBudget> retry_budgets_;  // by service
    std::unordered_map<RequestId, RequestPlan> prepared_plans_;
    std::unordered_map<RequestId, Call> calls_;
    std::unordered_map<std::uint64_t, RequestId> ids_by_number_;
    std::uint64_t last_call_number_ = 0;
    std::vector<EndpointId> withdrawn_upstreams_;
    bool draining_ = false;
    Time now_{};                                        // of the event being handled
    std::vector<decision::Action>* actions_ = nullptr;  // its output
};

}  // namespace martenford::outbound
