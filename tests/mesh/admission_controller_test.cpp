// The gate: no more than the slots reach the endpoint, who waits goes by priority and aim, what is refused
// never ran.
#include "tollgate/tollgate.h"

#include <doctest/doctest.h>

using namespace martenford;
using namespace martenford::tollgate;
using namespace loftfront;

namespace {

struct Gate {
    Gate() { gate.endpoint(EndpointId{1}, "i-1", 1); }
    Tollgate gate{{}};
    Time now{10s};
    std::vector<Action> out;
    std::uint64_t last = 0;

    Toll toll(const std::string& id) {
        Toll t;
        t.instance = "i-1";
        t.attempt_id = id;
        t.aim = 800ms;
        return t;
    }
    RequestId ask(Toll t, Duration left = 3s) {
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
    CHECK(gate.said(gate.ask(gate.toll("a"))) == "send ");
    const auto second = gate.ask(gate.toll("b"));
    CHECK(gate.said(second) == "send ");
    Toll free = gate.toll("c");
    free.may_queue = false;
    CHECK(gate.said(gate.ask(free)) == "refuse ");
    const auto waits = gate.ask(gate.toll("d"));
    CHECK(gate.said(waits).empty());
    gate.end(second, Status::Ok);
    CHECK(gate.said(waits) == "send ");
}

TEST_CASE("the queue goes by priority, then by whose aim ends first, whatever came first") {
    Gate gate;
    const auto first = gate.ask(gate.toll("a")), second = gate.ask(gate.toll("b"));
    Toll low = gate.toll("low"), late = gate.toll("late"), soon = gate.toll("soon");
    low.priority = 2;
    low.aim = 700ms;
    late.aim = 900ms;
    soon.aim = 600ms;
    const auto third = gate.ask(low), fourth = gate.ask(late), fifth = gate.ask(soon);
    gate.end(first, Status::Ok);
    CHECK(gate.said(fifth) == "send ");
    gate.end(second, Status::Ok);
    CHECK(gate.said(fourth) == "send ");
    CHECK(gate.said(third).empty());
    // Guards against a key that differs between going in and out: then a request that is over stays in the
    // queue.
    gate.gate.handle(gate.now, Lapsed{third}, gate.out);
    gate.end(fifth, Status::Ok);
    gate.end(fourth, Status::Ok);
    CHECK(gate.said(third).empty());
    CHECK(gate.gate.queued() == 0);
    CHECK(gate.gate.out() == 0);
}

TEST_CASE("what would be late is refused at once, unless it has no time to come back") {
    Gate gate;
    gate.ask(gate.toll("a"));
    gate.ask(gate.toll("b"));
    Toll hopeless = gate.toll("c");
    hopeless.aim = 50ms;
    CHECK(gate.said(gate.ask(hopeless)) == "refuse ");
    CHECK(gate.said(gate.ask(hopeless, 600ms)).empty());
}

TEST_CASE("a request that waits too long is refused before its deadline, as one that never ran") {
    Gate gate;
    gate.ask(gate.toll("a"));
    gate.ask(gate.toll("b"));
    const auto waits = gate.ask(gate.toll("c"));
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
    const auto first = gate.ask(gate.toll("order"));
    gate.end(first, Status::Reset);
    CHECK(gate.said(first) == "send fail ");
    CHECK(gate.said(gate.ask(gate.toll("order"))) == "fail ");
    // Where it is proven that it did not run, it may come again.
    const auto other = gate.ask(gate.toll("other"));
    gate.end(other, Status::Full);
    CHECK(gate.said(other) == "send refuse ");
    CHECK(gate.said(gate.ask(gate.toll("other"))) == "send ");
}

TEST_CASE(
    "an id that was never handed on is barred by the question, also where its hop waits or is yet to come") {
    Gate gate;
    const auto first = gate.ask(gate.toll("a"));
    gate.ask(gate.toll("b"));
    const auto waits = gate.ask(gate.toll("c"));
    CHECK_FALSE(gate.gate.bar(gate.now, "a", 10ms));
    CHECK(gate.gate.bar(gate.now, "c", 10ms));
    CHECK(gate.gate.bar(gate.now, "d", 10ms));
    gate.end(first, Status::Ok);
    CHECK(gate.said(waits) == "fail ");
    CHECK(gate.said(gate.ask(gate.toll("d"))) == "fail ");
    // What was handed on while that hop was out may have been forgotten: nobody knows.
    gate.now += 61s;
    gate.end("2", Status::Ok);
    gate.ask(gate.toll("e"));
    CHECK_FALSE(gate.gate.bar(gate.now, "f", 61s));
    CHECK(gate.gate.bar(gate.now, "f", 10s));
}

TEST_CASE("an id that was freed and handed on again is remembered from then on") {
    Gate gate;
    gate.end(gate.ask(gate.toll("a")), Status::Full);
    gate.now += 59s;
    gate.end(gate.ask(gate.toll("a")), Status::Reset);
    gate.now += 2s;
    gate.end(gate.ask(gate.toll("other")), Status::Ok);
    CHECK(gate.said(gate.ask(gate.toll("a"))) == "fail ");
}

TEST_CASE("a request for another life of the endpoint is refused") {
    Gate gate;
    Toll old = gate.toll("a");
    old.instance = "i-0";
    CHECK(gate.said(gate.ask(old)) == "refuse ");
    gate.gate.none();
    CHECK(gate.said(gate.ask(gate.toll("b"))) == "refuse ");
}

TEST_CASE("a drain sends what is new elsewhere at once, and everything before drain_ms") {
    Gate gate;
    gate.gate.drains(gate.now);
    Toll asks = gate.toll("a");
    asks.may_queue = false;
    CHECK(gate.said(gate.ask(asks)) == "refuse ");
    CHECK(gate.said(gate.ask(gate.toll("b"))) == "send ");  // it has nowhere else to go
    gate.ask(gate.toll("c"));
    const auto waits = gate.ask(gate.toll("d"));
    gate.now += 2s;
    gate.end("2", Status::Ok);
    CHECK(gate.said(waits) == "refuse ");
    CHECK(gate.said(gate.ask(gate.toll("e"))) == "refuse ");
}
