// The gate: no more than the slots reach the endpoint, who waits goes by priority and aim, what is refused
// never ran.
#include "admission/admission_controller.h"

#include <doctest/doctest.h>

using namespace martenford;
using namespace martenford::admission;
using namespace martenford::decision;

namespace {

struct Gate {
    Gate() { gate.set_endpoint(EndpointId{1}, "i-1", 1); }
    AdmissionController gate{{}};
    Time now{10s};
    std::vector<Action> out;
    std::uint64_t last = 0;

    InboundRequest inbound(const std::string& id) {
        InboundRequest t;
        t.instance_id = "i-1";
        t.attempt_id = id;
        t.latency_target = 800ms;
        return t;
    }
    RequestId ask(InboundRequest t, Duration left = 3s) {
        Request request;
        request.id = std::to_string(++last);
        request.deadline = now + left;
        gate.prepare(request.id, std::move(t));
        gate.handle(now, request, out);
        return request.id;
    }
    void end(const RequestId& id, Status status) {
        gate.handle(now, Outcome{id, 0, EndpointId{1}, status, 1ms, status == Status::Ok, {}, true}, out);
    }
    /// What was said of a request, and nothing else was.
    std::string said(const RequestId& id) const {
        std::string all;
        for (const Action& action : out) {
            if (const auto* send = std::get_if<Send>(&action); send && send->id == id) all += "send ";
            if (const auto* refuse = std::get_if<Refuse>(&action); refuse && refuse->id == id)
                all += "refuse ";
            if (const auto* fail = std::get_if<Fail>(&action); fail && fail->id == id) all += "fail ";
            if (const auto* cancel = std::get_if<Cancel>(&action); cancel && cancel->id == id)
                all += "cancel ";
        }
        return all;
    }
};

}  // namespace

TEST_CASE(
    "as many as there are slots are handed on; the next waits, or is refused where it asked for a free one") {
    Gate gate;
    CHECK(gate.said(gate.ask(gate.inbound("a"))) == "send ");
    const auto second = gate.ask(gate.inbound("b"));
    CHECK(gate.said(second) == "send ");
    InboundRequest free = gate.inbound("c");
    free.may_queue = false;
    CHECK(gate.said(gate.ask(free)) == "refuse ");
    const auto waits = gate.ask(gate.inbound("d"));
    CHECK(gate.said(waits).empty());
    gate.end(second, Status::Ok);
    CHECK(gate.said(waits) == "send ");
}

TEST_CASE("the queue goes by priority, then by whose aim ends first, whatever came first") {
    Gate gate;
    const auto first = gate.ask(gate.inbound("a")), second = gate.ask(gate.inbound("b"));
    InboundRequest low = gate.inbound("low"), late = gate.inbound("late"), soon = gate.inbound("soon");
    low.priority = 2;
    low.latency_target = 700ms;
    late.latency_target = 900ms;
    soon.latency_target = 600ms;
    const auto third = gate.ask(low), fourth = gate.ask(late), fifth = gate.ask(soon);
    gate.end(first, Status::Ok);
    CHECK(gate.said(fifth) == "send ");
    gate.end(second, Status::Ok);
    CHECK(gate.said(fourth) == "send ");
    CHECK(gate.said(third).empty());
    // Guards against a key that differs between going in and out: then a request that is over stays in the
    // queue.
    gate.gate.handle(gate.now, DeadlineExpired{third}, gate.out);
    gate.end(fifth, Status::Ok);
    gate.end(fourth, Status::Ok);
    CHECK(gate.said(third).empty());
    CHECK(gate.gate.queue_length() == 0);
    CHECK(gate.gate.in_flight() == 0);
}

TEST_CASE("what would be late is refused at once, unless it has no time to come back") {
    Gate gate;
    gate.ask(gate.inbound("a"));
    gate.ask(gate.inbound("b"));
    InboundRequest hopeless = gate.inbound("c");
    hopeless.latency_target = 50ms;
    CHECK(gate.said(gate.ask(hopeless)) == "refuse ");
    CHECK(gate.said(gate.ask(hopeless, 600ms)).empty());
}

TEST_CASE("a request that waits too long is refused before its deadline, as one that never ran") {
    Gate gate;
    gate.ask(gate.inbound("a"));
    gate.ask(gate.inbound("b"));
    const auto waits = gate.ask(gate.inbound("c"));
    std::optional<SetTimer> timer;
    for (const Action& action : gate.out) {
        if (const auto* set = std::get_if<SetTimer>(&action)) timer = *set;
    }
    REQUIRE(timer);
    CHECK(timer->at < gate.now + 3s);
    gate.now = timer->at;
    gate.gate.handle(gate.now, TimerFired{timer->token}, gate.out);
    CHECK(gate.said(waits) == "refuse ");
}

TEST_CASE("an id that must not run twice is handed on once, whatever became of it") {
    Gate gate;
    const auto first = gate.ask(gate.inbound("order"));
    gate.end(first, Status::Reset);
    CHECK(gate.said(first) == "send fail ");
    CHECK(gate.said(gate.ask(gate.inbound("order"))) == "fail ");
    // Where it is proven that it did not run, it may come again.
    const auto other = gate.ask(gate.inbound("other"));
    gate.end(other, Status::Full);
    CHECK(gate.said(other) == "send refuse ");
    CHECK(gate.said(gate.ask(gate.inbound("other"))) == "send ");
}

TEST_CASE(
    "an id that was never handed on is barred by the question, also where its hop waits or is yet to come") {
    Gate gate;
    const auto first = gate.ask(gate.inbound("a"));
    gate.ask(gate.inbound("b"));
    const auto waits = gate.ask(gate.inbound("c"));
    CHECK_FALSE(gate.gate.fence_attempt(gate.now, "a", 10ms));
    CHECK(gate.gate.fence_attempt(gate.now, "c", 10ms));
    CHECK(gate.gate.fence_attempt(gate.now, "d", 10ms));
    gate.end(first, Status::Ok);
    CHECK(gate.said(waits) == "fail ");
    CHECK(gate.said(gate.ask(gate.inbound("d"))) == "fail ");
    // What was handed on while that hop was out may have been forgotten: nobody knows.
    gate.now += 61s;
    gate.end("2", Status::Ok);
    gate.ask(gate.inbound("e"));
    CHECK_FALSE(gate.gate.fence_attempt(gate.now, "f", 61s));
    CHECK(gate.gate.fence_attempt(gate.now, "f", 10s));
}

TEST_CASE("an id that was freed and handed on again is remembered from then on") {
    Gate gate;
    gate.end(gate.ask(gate.inbound("a")), Status::Full);
    gate.now += 59s;
    gate.end(gate.ask(gate.inbound("a")), Status::Reset);
    gate.now += 2s;
    gate.end(gate.ask(gate.inbound("other")), Status::Ok);
    CHECK(gate.said(gate.ask(gate.inbound("a"))) == "fail ");
}

TEST_CASE("a request for another life of the endpoint is refused") {
    Gate gate;
    InboundRequest old = gate.inbound("a");
    old.instance_id = "i-0";
    CHECK(gate.said(gate.ask(old)) == "refuse ");
    gate.gate.remove_endpoint();
    CHECK(gate.said(gate.ask(gate.inbound("b"))) == "refuse ");
}

TEST_CASE("a drain sends what is new elsewhere at once, and everything before drain_ms") {
    Gate gate;
    gate.gate.start_draining(gate.now);
    InboundRequest asks = gate.inbound("a");
    asks.may_queue = false;
    CHECK(gate.said(gate.ask(asks)) == "refuse ");
    CHECK(gate.said(gate.ask(gate.inbound("b"))) == "send ");  // it has nowhere else to go
    gate.ask(gate.inbound("c"));
    const auto waits = gate.ask(gate.inbound("d"));
    gate.now += 2s;
    gate.end("2", Status::Ok);
    CHECK(gate.said(waits) == "refuse ");
    CHECK(gate.said(gate.ask(gate.inbound("e"))) == "refuse ");
}
