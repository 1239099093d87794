// OutboundPolicy: the retry design of "Retries Done Right" (budget, jitter, deadline bound, two random
// choices), rejections by inbound proxies, delivery queries and withdrawn upstreams. UpstreamTable: what it
// makes of the registry.
#include "outbound/outbound_policy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "bootstrap/settings.h"
#include "outbound/upstream_table.h"

using namespace martenford;
using namespace martenford::outbound;
using namespace martenford::decision;

namespace {

/// Options of a proxy that has served calls for a while: its retry budgets are full.
OutboundPolicy::Options with_full_budgets() {
    OutboundPolicy::Options options;
    options.initial_retry_tokens = options.retry_tokens;
    return options;
}

/// An OutboundPolicy, driven event by event.
struct Fixture {
    explicit Fixture(const OutboundPolicy::Options& options = with_full_budgets()) : policy(options, 42) {}
    OutboundPolicy policy;
    Time now{10s};
    std::vector<Action> out;

    void add_upstreams(int count, const std::string& zone = "z") {
        for (int i = 1; i <= count; ++i)
            policy.set_upstream(EndpointId{static_cast<std::uint32_t>(i)}, {"s", zone, true, false});
    }
    void request(const RequestId& id, bool idempotent = true, std::int64_t attempts = 3, Duration left = 3s) {
        RequestPlan plan;
        plan.service = "s";
        plan.idempotent = idempotent;
        plan.max_attempts = attempts;
        policy.prepare(id, plan);
        Request event;
        event.id = id;
        event.deadline = now + left;
        handle(event);
    }
    void handle(const Event& event) { policy.handle(now, event, out); }
    void end(const RequestId& id, AttemptNumber attempt, EndpointId at, Status status, bool last = false) {
        handle(Outcome{id, attempt, at, status, 1ms, last, {}, true});
    }
    /// The next action of this type; drops those before it.
    template <class A>
    std::optional<A> next() {
        while (!out.empty()) {
            const Action action = out.front();
            out.erase(out.begin());
            if (const auto* found = std::get_if<A>(&action)) return *found;
        }
        return std::nullopt;
    }
};

struct FailedCalls {
    int retries = 0;   // scheduled
    int failures = 0;  // given up without one
};

/// Sends `count` idempotent requests whose first attempts fail after they ran.
FailedCalls fail_calls(Fixture& caller, int count) {
    FailedCalls calls;
    for (int i = 0; i < count; ++i) {
        const RequestId id = "r" + std::to_string(i);
        caller.request(id, true, 2);
        const auto send = caller.next<Send>();
        REQUIRE(send);
        caller.end(id, 0, send->endpoint, Status::Error);
        for (const Action& action : std::exchange(caller.out, {})) {
            calls.retries += std::holds_alternative<SetTimer>(action);
            calls.failures += std::holds_alternative<Fail>(action);
        }
    }
    return calls;
}

}  // namespace

TEST_CASE("a rejection by an inbound proxy is no retry: the next upstream is tried at once") {
    Fixture caller;
    caller.add_upstreams(4);
    caller.request("a", false);
    const auto first = caller.next<Send>();
    REQUIRE(first);
    CHECK(caller.policy.admission_mode("a") == AdmissionMode::IfSlotFree);
    caller.end("a", 0, first->endpoint, Status::Rejected);
    const auto second = caller.next<Send>();
    REQUIRE(second);
    CHECK(second->endpoint != first->endpoint);
}

TEST_CASE("after three upstreams without a free slot the shortest of their queues is taken") {
    Fixture caller;
    caller.add_upstreams(5);
    caller.request("a", false);
    std::map<EndpointId, Duration> waits;
    for (AttemptNumber i = 0; i < 3; ++i) {
        const auto send = caller.next<Send>();
        REQUIRE(send);
        CHECK(caller.policy.admission_mode("a") == AdmissionMode::IfSlotFree);
        waits[send->endpoint] = 100ms * (3 - static_cast<int>(i));
        caller.policy.queue_hint(send->endpoint, caller.now, waits[send->endpoint]);
        caller.end("a", i, send->endpoint, Status::Rejected);
    }
    const auto queued = caller.next<Send>();
    REQUIRE(queued);
    CHECK(caller.policy.admission_mode("a") == AdmissionMode::Queue);
    CHECK(waits[queued->endpoint] == 100ms);
}

TEST_CASE("a request that all upstreams reject is refused at once, with a Retry-After") {
    Fixture caller;
    caller.add_upstreams(2);
    caller.request("a", false);
    std::optional<Refuse> refused;
    for (AttemptNumber i = 0; i < 12 && !refused; ++i) {
        const auto send = caller.next<Send>();
        if (!send) break;
        caller.end("a", i, send->endpoint, Status::Rejected);
        for (const Action& action : caller.out) {
            if (const auto* found = std::get_if<Refuse>(&action)) refused = *found;
        }
    }
    REQUIRE(refused);
    CHECK(refused->retry_after > 0ms);
}

TEST_CASE("retry budget: a retry costs ten tokens, a served call earns one, a rejection costs none") {
    OutboundPolicy::Options options;
    options.initial_retry_tokens = options.retry_tokens = 30;
    Fixture caller(options);
    caller.add_upstreams(6);
    const auto [retries, failures] = fail_calls(caller, 10);
    CHECK(retries == 3);
    CHECK(failures == 7);
    for (int i = 0; i < 10; ++i) {
        const RequestId id = "s" + std::to_string(i);
        caller.request(id);
        const auto send = caller.next<Send>();
        caller.end(id, 0, send->endpoint, Status::Ok, true);
    }
    caller.request("t", true, 2);
    const auto send = caller.next<Send>();
    caller.end("t", 0, send->endpoint, Status::Error);
    CHECK(caller.next<SetTimer>());
}

// Guards against a retry budget granted anew with each restart: the proxies together then exceed the
// platform's limit (RULES, BUDGET).
TEST_CASE("retry budget: proxies that restart beside a failing service get no new one") {
    constexpr int kProxies = 16, kLives = 2, kCallsInALife = 4;
    int retries = 0;
    for (int life = 0; life < kProxies * kLives; ++life) {
        Fixture caller(OutboundPolicy::Options{});
        caller.add_upstreams(6);
        retries += fail_calls(caller, kCallsInALife).retries;
    }
    const bootstrap::Bounds bounds;
    const double requests = kProxies * kLives * kCallsInALife;
    CAPTURE(retries);
    CHECK(retries <= bounds.retry_budget_ratio * requests + bounds.retry_budget_slack);
}

TEST_CASE(
    "jitter and deadline: a retry waits at least the base, at most the time left less 50 ms, and goes "
    "elsewhere") {
    for (int round = 0; round < 200; ++round) {
        Fixture caller;
        caller.add_upstreams(3);
        const Duration left = 120ms + 5ms * round;
        caller.request("a", true, 3, left);
        const Time deadline = caller.now + left;
        const auto first = caller.next<Send>();
        caller.end("a", 0, first->endpoint, Status::Error);
        const auto timer = caller.next<SetTimer>();
        REQUIRE(timer);
        CHECK(timer->at <= deadline - kDeadlineBuffer);
        CHECK(timer->at >= std::min(caller.now + kBackoffBase, deadline - kDeadlineBuffer));
        caller.now = timer->at;
        caller.handle(TimerFired{timer->token});
        const auto second = caller.next<Send>();
        REQUIRE(second);
        CHECK(second->endpoint != first->endpoint);
    }
}

TEST_CASE("a non-idempotent request fails after an attempt that may have run") {
    for (const Status status : {Status::Error, Status::Reset, Status::Timeout, Status::Cancelled}) {
        Fixture caller;
        caller.add_upstreams(3);
        caller.request("a", false);
        const auto send = caller.next<Send>();
        caller.end("a", 0, send->endpoint, status);
        REQUIRE(caller.out.size() == 1);
        if (status != Status::Reset) CHECK(std::holds_alternative<Fail>(caller.out.front()));
    }
}

TEST_CASE(
    "after a reset the inbound proxy is queried, and only its rejection lets the request go elsewhere") {
    for (const Status answer : {Status::Rejected, Status::Reset, Status::Error, Status::Timeout,
                                Status::ConnectFailed, Status::NotSent, Status::Cancelled}) {
        CAPTURE(static_cast<int>(answer));
        Fixture caller;
        caller.add_upstreams(2);
        caller.request("a", false);
        const auto first = caller.next<Send>();
        CHECK_FALSE(caller.policy.delivery_query("a"));
        caller.now += 100ms;
        caller.end("a", 0, first->endpoint, Status::Reset);
        const auto query = caller.next<Send>();
        REQUIRE(query);
        CHECK(query->endpoint == first->endpoint);
        CHECK(caller.policy.delivery_query("a") == 100ms);
        CHECK(caller.out.empty());
        caller.end("a", 1, query->endpoint, answer);
        REQUIRE(caller.out.size() == 1);
        if (answer == Status::Rejected) {
            CHECK(caller.next<Send>()->endpoint != first->endpoint);
            CHECK_FALSE(caller.policy.delivery_query("a"));
        } else {
            CHECK(std::holds_alternative<Fail>(caller.out.front()));
        }
    }
    // An inbound proxy that confirmed the delivery, or is not there any more, is not queried.
    for (const bool delivered : {true, false}) {
        Fixture caller;
        caller.add_upstreams(2);
        caller.request("a", false);
        const auto first = caller.next<Send>();
        delivered ? caller.policy.delivered("a") : caller.policy.remove_upstream(first->endpoint);
        caller.end("a", 0, first->endpoint, Status::Reset);
        CHECK(caller.next<Fail>());
    }
}

TEST_CASE("a request that may have run is not sent again if a newer configuration says non-idempotent") {
    for (const bool may_have_run : {true, false}) {
        CAPTURE(may_have_run);
        Fixture caller;
        caller.add_upstreams(3);
        caller.request("a", true);
        AttemptNumber last = 0;
        auto send = caller.next<Send>();
        if (may_have_run) {
            caller.end("a", last++, send->endpoint, Status::Reset);
            const auto timer = caller.next<SetTimer>();
            caller.now = timer->at;
            caller.handle(TimerFired{timer->token});
            send = caller.next<Send>();
        }
        caller.policy.outdated("a");
        RequestPlan plan = *caller.policy.plan("a");
        plan.idempotent = false;
        caller.policy.replan("a", plan);
        caller.end("a", last, send->endpoint, Status::Rejected);
        REQUIRE(caller.out.size() == 1);
        CHECK(std::holds_alternative<Fail>(caller.out.front()) == may_have_run);
        CHECK(std::holds_alternative<Send>(caller.out.front()) == !may_have_run);
    }
}

TEST_CASE("two random choices: the upstream with fewer own attempts in flight is taken") {
    Fixture caller;
    caller.add_upstreams(6);
    std::map<EndpointId, int> sent;
    for (int i = 0; i < 600; ++i) {
        caller.request("r" + std::to_string(i));
        ++sent[caller.next<Send>()->endpoint];
    }
    for (const auto& [id, count] : sent) {
        CHECK(count >= 95);
        CHECK(count <= 105);
    }
}

TEST_CASE("an upstream with an expired lease is used only if no other is left") {
    Fixture caller;
    caller.add_upstreams(2);
    caller.policy.set_upstream(EndpointId{1}, {"s", "z", true, true});
    for (int i = 0; i < 20; ++i) {
        caller.request("r" + std::to_string(i));
        CHECK(caller.next<Send>()->endpoint == EndpointId{2});
    }
    caller.policy.remove_upstream(EndpointId{2});
    caller.request("last");
    CHECK(caller.next<Send>()->endpoint == EndpointId{1});
}

TEST_CASE("attempts are withdrawn from a restarted or expired proxy, not from one that shuts down in order") {
    registry::RegistryView view;
    UpstreamTable upstreams;
    const Time now{10s};
    registry::ProxyRegistration registration;
    registration.node = "n";
    registration.incarnation = 1;
    registration.inbound_address = "10.0.0.1:8000";
    registration.service = "s";
    registration.instance_id = "i-1";
    registration.state = registry::EndpointState::Ready;
    const auto report = [&](bool is_snapshot) {
        ++registration.seq;
        return upstreams.apply(view,
                               view.apply(now, "g", {1, registration.seq, is_snapshot, {registration}, {}}));
    };
    const auto withdrawn = [](const std::vector<UpstreamTable::Change>& changes) {
        return std::any_of(changes.begin(), changes.end(), [](const auto& change) {
            return change.kind == UpstreamTable::Change::Kind::Withdraw;
        });
    };
    CHECK_FALSE(withdrawn(report(true)));
    // SIGTERM: the proxy reports its endpoint as absent, and still answers for the attempts in flight.
    registration.state = registry::EndpointState::Absent;
    registration.instance_id.clear();
    const auto after_shutdown = report(false);
    REQUIRE(after_shutdown.size() == 1);
    CHECK(after_shutdown.front().kind == UpstreamTable::Change::Kind::Remove);
    // It comes back as another incarnation beside another endpoint; then it is killed and restarted.
    registration.incarnation = 2;
    registration.instance_id = "i-2";
    registration.state = registry::EndpointState::Ready;
    CHECK_FALSE(withdrawn(report(false)));
    registration.incarnation = 3;
    registration.instance_id = "i-3";
    CHECK(withdrawn(report(false)));
    registration.lease_expired = true;
    CHECK(withdrawn(report(false)));
    // Killed and restarted beside the same endpoint; then a controller that lags reports the old incarnation.
    registration.lease_expired = false;
    registration.incarnation = 4;
    CHECK(withdrawn(report(false)));
    registry::ProxyRegistration late = registration;
    late.incarnation = 3;
    late.seq = 99;
    CHECK(upstreams.apply(view, view.apply(now, "h", {1, 1, true, {late}, {}})).empty());
}

TEST_CASE("a withdrawn attempt is retried elsewhere and, while this proxy drains, not cancelled") {
    for (const bool draining : {false, true}) {
        CAPTURE(draining);
        Fixture caller;
        caller.add_upstreams(2);
        caller.request("a");
        const auto first = caller.next<Send>();
        if (draining) caller.policy.drain();
        caller.policy.withdraw(first->endpoint);
        caller.handle(DiscoveryUpdate{});
        const auto timer = caller.next<SetTimer>();  // and no Cancel before it
        REQUIRE(timer);
        caller.now = timer->at;
        caller.handle(TimerFired{timer->token});
        const auto second = caller.next<Send>();
        REQUIRE(second);
        CHECK(second->endpoint != first->endpoint);
        caller.policy.remove_upstream(first->endpoint);
        // The other upstream has no free slot: nothing is left but the first.
        caller.end("a", 1, second->endpoint, Status::Rejected);
        CHECK(caller.next<Fail>().has_value() == !draining);
        caller.end("a", 0, first->endpoint, draining ? Status::Ok : Status::Cancelled, true);
        CHECK(caller.policy.plan("a") == nullptr);
    }
}
