// The design on the ordinary path: budget, jitter, deadline bound and two choices, and what a gate's refusal
// costs.
#include "outbound/outbound_policy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "outbound/upstream_table.h"

using namespace martenford;
using namespace martenford::outbound;
using namespace martenford::decision;

namespace {

struct Desk {
    explicit Desk(OutboundPolicy::Options options = {}) : policy(options, 42) {}
    OutboundPolicy policy;
    Time now{10s};
    std::vector<Action> out;

    void gates(int count, const std::string& zone = "z") {
        for (int i = 1; i <= count; ++i) policy.set_upstream(EndpointId(i), {"s", zone, true, false});
    }
    void ask(const RequestId& id, bool repeatable = true, std::int64_t attempts = 3, Duration left = 3s) {
        RequestPlan plan;
        plan.service = "s";
        plan.idempotent = repeatable;
        plan.max_attempts = attempts;
        policy.prepare(id, plan);
        Request request;
        request.id = id;
        request.deadline = now + left;
        handle(request);
    }
    void handle(const Event& event) { policy.handle(now, event, out); }
    void end(const RequestId& id, AttemptNumber attempt, EndpointId at, Status status, bool last = false) {
        handle(Outcome{id, attempt, at, status, 1ms, last, {}, true});
    }
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

}  // namespace

TEST_CASE("a refusal by a gate costs nothing: the next gate is asked at once") {
    Desk desk;
    desk.gates(4);
    desk.ask("a", false);
    const auto first = desk.next<Send>();
    REQUIRE(first);
    CHECK(desk.policy.admission_mode("a") == AdmissionMode::IfSlotFree);
    desk.end("a", 0, first->endpoint, Status::Full);
    const auto second = desk.next<Send>();
    REQUIRE(second);
    CHECK(second->endpoint != first->endpoint);
}

TEST_CASE("where three gates have no free slot, the shortest of their queues is taken") {
    Desk desk;
    desk.gates(5);
    desk.ask("a", false);
    std::map<EndpointId, Duration> waits;
    for (AttemptNumber i = 0; i < 3; ++i) {
        const auto send = desk.next<Send>();
        REQUIRE(send);
        CHECK(desk.policy.admission_mode("a") == AdmissionMode::IfSlotFree);
        waits[send->endpoint] = 100ms * (3 - static_cast<int>(i));
        desk.policy.queue_hint(send->endpoint, desk.now, waits[send->endpoint]);
        desk.end("a", i, send->endpoint, Status::Full);
    }
    const auto queued = desk.next<Send>();
    REQUIRE(queued);
    CHECK(desk.policy.admission_mode("a") == AdmissionMode::Queue);
    CHECK(waits[queued->endpoint] == 100ms);
}

TEST_CASE("what all gates refuse is refused at once, with a time to come back") {
    Desk desk;
    desk.gates(2);
    desk.ask("a", false);
    std::optional<Refuse> refused;
    for (AttemptNumber i = 0; i < 12 && !refused; ++i) {
        const auto send = desk.next<Send>();
        if (!send) break;
        desk.end("a", i, send->endpoint, Status::Full);
        for (const Action& action : desk.out) {
            if (const auto* found = std::get_if<Refuse>(&action)) refused = *found;
        }
    }
    REQUIRE(refused);
    CHECK(refused->retry_after > 0ms);
}

TEST_CASE("budget: ten tokens a retry, one for each served call, none for refusals") {
    OutboundPolicy::Options options;
    options.retry_tokens = 30;
    Desk desk(options);
    desk.gates(6);
    int retries = 0, failed = 0;
    for (int i = 0; i < 10; ++i) {
        const RequestId id = "r" + std::to_string(i);
        desk.ask(id, true, 2);
        const auto send = desk.next<Send>();
        REQUIRE(send);
        desk.end(id, 0, send->endpoint, Status::Error);
        for (const Action& action : std::exchange(desk.out, {})) {
            retries += std::holds_alternative<SetTimer>(action);
            failed += std::holds_alternative<Fail>(action);
        }
    }
    CHECK(retries == 3);
    CHECK(failed == 7);
    for (int i = 0; i < 10; ++i) {
        const RequestId id = "s" + std::to_string(i);
        desk.ask(id);
        const auto send = desk.next<Send>();
        desk.end(id, 0, send->endpoint, Status::Ok, true);
    }
    desk.ask("t", true, 2);
    const auto send = desk.next<Send>();
    desk.end("t", 0, send->endpoint, Status::Error);
    CHECK(desk.next<SetTimer>());
}

TEST_CASE(
    "jitter and deadline: a retry waits from the base on, never beyond what is left less 50 ms, and goes "
    "elsewhere") {
    for (int round = 0; round < 200; ++round) {
        Desk desk;
        desk.gates(3);
        const Duration left = 120ms + 5ms * round;
        desk.ask("a", true, 3, left);
        const Time deadline = desk.now + left;
        const auto first = desk.next<Send>();
        desk.end("a", 0, first->endpoint, Status::Error);
        const auto timer = desk.next<SetTimer>();
        REQUIRE(timer);
        CHECK(timer->at <= deadline - kDeadlineBuffer);
        CHECK(timer->at >= std::min(desk.now + kBackoffBase, deadline - kDeadlineBuffer));
        desk.now = timer->at;
        desk.handle(TimerFired{timer->token});
        const auto second = desk.next<Send>();
        REQUIRE(second);
        CHECK(second->endpoint != first->endpoint);
    }
}

TEST_CASE("an attempt that may have run ends a request that must not run twice, without a promise") {
    for (const Status status : {Status::Error, Status::Reset, Status::Timeout, Status::Cancelled}) {
        Desk desk;
        desk.gates(3);
        desk.ask("a", false);
        const auto send = desk.next<Send>();
        desk.end("a", 0, send->endpoint, status);
        REQUIRE(desk.out.size() == 1);
        if (status != Status::Reset) CHECK(std::holds_alternative<Fail>(desk.out.front()));
    }
}

TEST_CASE("after a broken hop its gate alone is asked, and nothing but its refusal frees the request") {
    for (const Status word : {Status::Full, Status::Reset, Status::Error, Status::Timeout,
                              Status::ConnectFailed, Status::NotSent, Status::Cancelled}) {
        CAPTURE(static_cast<int>(word));
        Desk desk;
        desk.gates(2);
        desk.ask("a", false);
        const auto first = desk.next<Send>();
        CHECK_FALSE(desk.policy.delivery_query("a"));
        desk.now += 100ms;
        desk.end("a", 0, first->endpoint, Status::Reset);
        const auto question = desk.next<Send>();
        REQUIRE(question);
        CHECK(question->endpoint == first->endpoint);
        CHECK(desk.policy.delivery_query("a") == 100ms);
        CHECK(desk.out.empty());
        desk.end("a", 1, question->endpoint, word);
        REQUIRE(desk.out.size() == 1);
        if (word == Status::Full) {
            CHECK(desk.next<Send>()->endpoint != first->endpoint);
            CHECK_FALSE(desk.policy.delivery_query("a"));
        } else {
            CHECK(std::holds_alternative<Fail>(desk.out.front()));
        }
    }
    // A gate that said that it had handed it on, or is no more as it was, is not asked.
    for (const bool told : {true, false}) {
        Desk desk;
        desk.gates(2);
        desk.ask("a", false);
        const auto first = desk.next<Send>();
        told ? desk.policy.delivered("a") : desk.policy.remove_upstream(first->endpoint);
        desk.end("a", 0, first->endpoint, Status::Reset);
        CHECK(desk.next<Fail>());
    }
}

TEST_CASE("what ran while it might be repeated is not sent again by a newer version in which it may not") {
    for (const bool ran : {true, false}) {
        CAPTURE(ran);
        Desk desk;
        desk.gates(3);
        desk.ask("a", true);
        AttemptNumber last = 0;
        auto send = desk.next<Send>();
        if (ran) {
            desk.end("a", last++, send->endpoint, Status::Reset);
            const auto timer = desk.next<SetTimer>();
            desk.now = timer->at;
            desk.handle(TimerFired{timer->token});
            send = desk.next<Send>();
        }
        desk.policy.outdated("a");
        RequestPlan plan = *desk.policy.plan("a");
        plan.idempotent = false;
        desk.policy.replan("a", plan);
        desk.end("a", last, send->endpoint, Status::Full);
        REQUIRE(desk.out.size() == 1);
        CHECK(std::holds_alternative<Fail>(desk.out.front()) == ran);
        CHECK(std::holds_alternative<Send>(desk.out.front()) == !ran);
    }
}

TEST_CASE("two choices: of two random gates the one with fewer own calls out") {
    Desk desk;
    desk.gates(6);
    std::map<EndpointId, int> out;
    for (int i = 0; i < 600; ++i) {
        desk.ask("r" + std::to_string(i));
        ++out[desk.next<Send>()->endpoint];
    }
    for (const auto& [id, count] : out) {
        CHECK(count >= 95);
        CHECK(count <= 105);
    }
}

TEST_CASE("a gate that is silent is used where nothing else is left") {
    Desk desk;
    desk.gates(2);
    desk.policy.set_upstream(EndpointId{1}, {"s", "z", true, true});
    for (int i = 0; i < 20; ++i) {
        desk.ask("r" + std::to_string(i));
        CHECK(desk.next<Send>()->endpoint == EndpointId{2});
    }
    desk.policy.remove_upstream(EndpointId{2});
    desk.ask("last");
    CHECK(desk.next<Send>()->endpoint == EndpointId{1});
}

TEST_CASE("a proxy that ends in order keeps what is out there; a dead or silent one gives it back") {
    registry::RegistryView view;
    UpstreamTable upstreams;
    const Time now{10s};
    registry::ProxyRegistration place;
    place.node = "n";
    place.incarnation = 1;
    place.inbound_address = "10.0.0.1:8000";
    place.service = "s";
    place.instance_id = "i-1";
    place.state = registry::EndpointState::Ready;
    const auto told = [&](bool whole) {
        ++place.seq;
        return upstreams.apply(view, view.apply(now, "g", {1, place.seq, whole, {place}, {}}));
    };
    const auto withdrawn = [](const std::vector<UpstreamTable::Change>& steps) {
        return std::any_of(steps.begin(), steps.end(),
                           [](const auto& s) { return s.kind == UpstreamTable::Change::Kind::Withdraw; });
    };
    CHECK_FALSE(withdrawn(told(true)));
    // SIGTERM: its proxy says that the endpoint is gone, and answers for what it has.
    place.state = registry::EndpointState::Absent;
    place.instance_id.clear();
    const auto leaving = told(false);
    REQUIRE(leaving.size() == 1);
    CHECK(leaving.front().kind == UpstreamTable::Change::Kind::Remove);
    // It comes back as another life, beside another endpoint; then it is killed and another life is told.
    place.incarnation = 2;
    place.instance_id = "i-2";
    place.state = registry::EndpointState::Ready;
    CHECK_FALSE(withdrawn(told(false)));
    place.incarnation = 3;
    place.instance_id = "i-3";
    CHECK(withdrawn(told(false)));
    place.lease_expired = true;
    CHECK(withdrawn(told(false)));
    // Killed and back beside the same endpoint; then a controller that lags tells of the life before.
    place.lease_expired = false;
    place.incarnation = 4;
    CHECK(withdrawn(told(false)));
    registry::ProxyRegistration late = place;
    late.incarnation = 3;
    late.seq = 99;
    CHECK(upstreams.apply(view, view.apply(now, "h", {1, 1, true, {late}, {}})).empty());
}

TEST_CASE("work at a gate that is doubted goes elsewhere as well and is not broken off while we drain") {
    for (const bool draining : {false, true}) {
        CAPTURE(draining);
        Desk desk;
        desk.gates(2);
        desk.ask("a");
        const auto first = desk.next<Send>();
        if (draining) desk.policy.drain();
        desk.policy.withdraw(first->endpoint);
        desk.handle(Discovered{});
        const auto timer = desk.next<SetTimer>();  // and no Cancel before it
        REQUIRE(timer);
        desk.now = timer->at;
        desk.handle(TimerFired{timer->token});
        const auto second = desk.next<Send>();
        REQUIRE(second);
        CHECK(second->endpoint != first->endpoint);
        desk.policy.remove_upstream(first->endpoint);
        // The other gate has no place: nothing is left but the first.
        desk.end("a", 1, second->endpoint, Status::Full);
        CHECK(desk.next<Fail>().has_value() == !draining);
        desk.end("a", 0, first->endpoint, draining ? Status::Ok : Status::Cancelled, true);
        CHECK(desk.policy.plan("a") == nullptr);
    }
}
