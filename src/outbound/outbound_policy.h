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

namespace martenford::quay {

using loftfront::Duration;
using loftfront::EndpointId;
using loftfront::RequestId;
using loftfront::Status;
using loftfront::Time;

/// What a request's route says, told before the engine takes it.
struct Plan {
    std::string service;
    std::uint32_t kind = 0;  ///< of request, by its route
    bool repeatable = false;
    std::int64_t max_attempts = 1;
    Time aim_end{};  ///< an answer by then earns its whole worth
    std::int64_t priority = 0;
    std::uint32_t version = 0;  ///< of the configuration by which it was made
};

/// The gate of one endpoint.
struct Berth {
    std::string service, zone;
    bool ready = false;
    bool silent = false;  ///< the stall there is not heard by the core: only where nothing else is left
};

/// How a request is offered to a gate.
enum class Offer : std::uint8_t {
    IfFree,  ///< refused where it would have to wait
    Queue,   ///< it waits there if that is worth it
};

class Quay : public Policy {
  public:
    struct Options {
        std::string zone;
        double bucket = 30;      ///< tokens a service; this stall's share
        std::size_t offers = 3;  ///< gates that are asked for a free place before one's queue is taken
        std::size_t hops = 12;   ///< gates that one request is offered to at most
    };
    Quay(const Options& options, std::uint64_t seed) : options_(options), random_(seed) {}

    void prepare(const RequestId& id, Plan plan);
    void berth(EndpointId id, const Berth& berth);
    void remove(EndpointId id);
    /// What a gate said of its queue when it refused or answered.
    void hint(EndpointId id, Time now, Duration wait);
    /// How the attempt of a request that goes out now is offered.
    Offer offer(const RequestId& id) const;
    /// A gate refuses the attempt that is out since a newer configuration than the plan's wants another: it
    /// is held until it is planned anew, or refused.
    void outdated(const RequestId& id);
    /// The plan by the newer one; nothing: there is no such route any more. Goes on at the next Discovered.
    void replan(const RequestId& id, std::optional<Plan> plan);
    /// Where what goes out now only asks whether an earlier hop to that gate was ever handed on: how long ago
    /// that hop went.
    std::optional<Duration> asks(const RequestId& id) const;
    /// The gate says that it has handed on the attempt that is out.
    void handed_on(const RequestId& id);
    const Plan* plan(const RequestId& id) const;
    bool any_ready() const;

    void start(Time, std::vector<loftfront::Action>&) override {}
    void handle(Time now, const loftfront::Event& event, std::vector<loftfront::Action>& out) override;
    /// A gate is gone or silent: what is out there and may be repeated is to go elsewhere as well, at the
    /// next Discovered. It is not broken off: it may be at work, and where nothing else serves it, it is
    /// waited for.
    void withdraw(EndpointId id) { withdrawn_.push_back(id); }
    /// From here on nothing is given up while an endpoint may be at work on it.
    void drain() { draining_ = true; }

  private:
    struct Held {
        Berth berth;
        int out = 0;
        Time shun{};  // until when it is only taken where nothing else is left
        Time hinted{};
        Duration wait{};
    };
    struct Attempt {
        EndpointId to{};
        bool out = false, ran = false;
        bool doubted = false;    // its gate is gone or silent
        bool handed_on = false;  // its gate said so
        Time sent{};
        std::optional<std::size_t> asks_for{};  // another: whether that one was ever handed on
    };
    struct Call {
        loftfront::Request request;
        Plan plan;
        std::vector<Attempt> attempts;
        std::vector<EndpointId> refused;  // by whom since the last attempt that ran
        std::int64_t ran = 0;             // attempts that may have run
        std::size_t offers = 0;           // in this round
        Offer offer = Offer::IfFree;
        loftfront::Backoff backoff;
        bool open = true;
        bool outdated = false, replanned = false;
        std::optional<Time> held_until;
        std::uint64_t number = 0;
    };

    void on(const loftfront::Request& request);
    void on(const loftfront::Outcome& outcome);
    void on(const loftfront::Lapsed& lapsed);
    void on(const loftfront::TimerFired& timer);
    void on(const loftfront::Discovered& news);
    template <class T>
    void on(const T&) {}
    void try_send(Call& call);
    std::optional<EndpointId> pick(const Call& call);
    std::optional<EndpointId> least_wait(const Call& call);
    void retry(Call& call);
    bool ask(Call& call, std::size_t attempt);
    static bool any_out(const Call& call);
    void go_on_anew(Call& call);
    void give_up(Call& call);
    void forget_if_over(const RequestId& id);
    bool tried(const Call& call, EndpointId id) const;

    Options options_;
    loftfront::Random random_;
    std::map<EndpointId, Held> berths_;
    std::unordered_map<std::string, std::vector<EndpointId>> by_service_;
    std::unordered_map<std::string, loftfront::RetryBudget> budgets_;
    std::unordered_map<RequestId, Plan> prepared_;
    std::unordered_map<RequestId, Call> calls_;
    std::unordered_map<std::uint64_t, RequestId> numbers_;
    std::uint64_t last_ = 0;
    std::vector<EndpointId> withdrawn_;
    bool draining_ = false;
    Time now_{};
    std::vector<loftfront::Action>* out_ = nullptr;
};

}  // namespace martenford::quay
