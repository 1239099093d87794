// AdmissionController: the concurrency limit, the queue's order, load shedding, at most once, and the drain.
#include "admission/admission_controller.h"

#include <doctest/doctest.h>

using namespace martenford;
using namespace martenford::admission;
using namespace martenford::decision;

namespace {

/// A non-idempotent request for the endpoint that is there.
InboundRequest attempt(const std::string& id) {
    InboundRequest request;
    request.instance_id = "i-1";
    request.attempt_id = id;
    request.latency_target = 800ms;
    return request;
}

/// An AdmissionController beside an endpoint with one slot, driven event by event.
struct Fixture {
    Fixture() { controller.set_endpoint(EndpointId{1}, "i-1", 1); }
    AdmissionController controller{{}};
    Time now{10s};
    std::vector<Action> out;
    std::uint64_t last = 0;

    RequestId receive(InboundRequest inbound, Duration left = 3s) {
        Request request;
        request.id = std::to_string(++last);
        request.deadline = now + left;
        controller.prepare(request.id, std::move(inbound));
        controller.handle(now, request, out);
        return request.id;
    }
    void end(const RequestId& id, Status status) {
        controller.handle(now, Outcome{id, 0, EndpointId{1}, status, 1ms, status == Status::Ok, {}, true},
                          out);
    }
    /// The actions for a request so far, in their order.
    std::string actions(const RequestId& id) const {
        std::string names;
        for (const Action& action : out) {
            if (const auto* send = std::get_if<Send>(&action); send && send->id == id) names += "send ";
            if (const auto* refuse = std::get_if<Refuse>(&action); refuse && refuse->id == id)
                names += "refuse ";
            if (const auto* fail = std::get_if<Fail>(&action); fail && fail->id == id) names += "fail ";
            if (const auto* cancel = std::get_if<Cancel>(&action); cancel && cancel->id == id)
                names += "cancel ";
        }
        return names;
    }
};

}  // namespace

TEST_CASE(
    "requests are sent up to the concurrency limit; the next is queued, or rejected if it may not queue") {
    Fixture inbound;
    CHECK(inbound.actions(inbound.receive(attempt("a"))) == "send ");
    const auto second = inbound.receive(attempt("b"));
    CHECK(inbound.actions(second) == "send ");
    InboundRequest no_queue = attempt("c");
    no_queue.may_queue = false;
    CHECK(inbound.actions(inbound.receive(no_queue)) == "refuse ");
    const auto queued = inbound.receive(attempt("d"));
    CHECK(inbound.actions(queued).empty());
    inbound.end(second, Status::Ok);
    CHECK(inbound.actions(queued) == "send ");
}

TEST_CASE("the queue is ordered by priority, then by latency target, not by arrival") {
    Fixture inbound;
    const auto first = inbound.receive(attempt("a")), second = inbound.receive(attempt("b"));
    InboundRequest low = attempt("low"), late = attempt("late"), soon = attempt("soon");
    low.priority = 2;
    low.latency_target = 700ms;
    late.latency_target = 900ms;
    soon.latency_target = 600ms;
    const auto third = inbound.receive(low), fourth = inbound.receive(late), fifth = inbound.receive(soon);
    inbound.end(first, Status::Ok);
    CHECK(inbound.actions(fifth) == "send ");
    inbound.end(second, Status::Ok);
    CHECK(inbound.actions(fourth) == "send ");
    CHECK(inbound.actions(third).empty());
    // The key in the queue must be the same at the end: otherwise a finished request stays queued.
    inbound.controller.handle(inbound.now, DeadlineExpired{third}, inbound.out);
    inbound.end(fifth, Status::Ok);
    inbound.end(fourth, Status::Ok);
    CHECK(inbound.actions(third).empty());
    CHECK(inbound.controller.queue_length() == 0);
    CHECK(inbound.controller.in_flight() == 0);
}

TEST_CASE(
    "a request that would miss its latency target is rejected at once, unless it cannot come back in time") {
    Fixture inbound;
    inbound.receive(attempt("a"));
    inbound.receive(attempt("b"));
    InboundRequest hopeless = attempt("c");
    hopeless.latency_target = 50ms;
    CHECK(inbound.actions(inbound.receive(hopeless)) == "refuse ");
    CHECK(inbound.actions(inbound.receive(hopeless, 600ms)).empty());
}

TEST_CASE("a request queued too long is rejected before its deadline") {
    Fixture inbound;
    inbound.receive(attempt("a"));
    inbound.receive(attempt("b"));
    const auto queued = inbound.receive(attempt("c"));
    std::optional<SetTimer> timer;
    for (const Action& action : inbound.out) {
        if (const auto* set = std::get_if<SetTimer>(&action)) timer = *set;
    }
    REQUIRE(timer);
    CHECK(timer->at < inbound.now + 3s);
    inbound.now = timer->at;
    inbound.controller.handle(inbound.now, TimerFired{timer->token}, inbound.out);
    CHECK(inbound.actions(queued) == "refuse ");
}

TEST_CASE("a non-idempotent attempt is sent once, whatever its outcome") {
    Fixture inbound;
    const auto first = inbound.receive(attempt("order"));
    inbound.end(first, Status::Reset);
    CHECK(inbound.actions(first) == "send fail ");
    CHECK(inbound.actions(inbound.receive(attempt("order"))) == "fail ");
    // An outcome that proves that it did not run releases the id.
    const auto other = inbound.receive(attempt("other"));
    inbound.end(other, Status::Rejected);
    CHECK(inbound.actions(other) == "send refuse ");
    CHECK(inbound.actions(inbound.receive(attempt("other"))) == "send ");
}

TEST_CASE(
    "the endpoint's own rejection is told as such, also when queued requests are rejected in the same step") {
    Fixture inbound;
    const auto turned_away = inbound.receive(attempt("a"));
    inbound.receive(attempt("b"));
    const auto queued = inbound.receive(attempt("c"));
    inbound.controller.remove_endpoint();
    inbound.end(turned_away, Status::Rejected);
    REQUIRE(inbound.actions(turned_away) == "send refuse ");
    REQUIRE(inbound.actions(queued) == "refuse ");
    CHECK(inbound.controller.was_turned_away(turned_away));
    CHECK_FALSE(inbound.controller.was_turned_away(queued));
    // One that did not reach the endpoint was not rejected by it.
    const auto unreached = inbound.receive(attempt("d"));
    CHECK(inbound.actions(unreached) == "refuse ");
    CHECK_FALSE(inbound.controller.was_turned_away(unreached));
}

TEST_CASE("a query fences an attempt that was not sent, also if it is queued or arrives later") {
    Fixture inbound;
    const auto first = inbound.receive(attempt("a"));
    inbound.receive(attempt("b"));
    const auto queued = inbound.receive(attempt("c"));
    CHECK_FALSE(inbound.controller.fence_attempt(inbound.now, "a", 10ms));
    CHECK(inbound.controller.fence_attempt(inbound.now, "c", 10ms));
    CHECK(inbound.controller.fence_attempt(inbound.now, "d", 10ms));
    inbound.end(first, Status::Ok);
    CHECK(inbound.actions(queued) == "fail ");
    CHECK(inbound.actions(inbound.receive(attempt("d"))) == "fail ");
    // An attempt as old as forgotten ones may have been sent: not known.
    inbound.now += 61s;
    inbound.end("2", Status::Ok);
    inbound.receive(attempt("e"));
    CHECK_FALSE(inbound.controller.fence_attempt(inbound.now, "f", 61s));
    CHECK(inbound.controller.fence_attempt(inbound.now, "f", 10s));
}

TEST_CASE("an id that was released and sent again is remembered from the second time on") {
    Fixture inbound;
    inbound.end(inbound.receive(attempt("a")), Status::Rejected);
    inbound.now += 59s;
    inbound.end(inbound.receive(attempt("a")), Status::Reset);
    inbound.now += 2s;
    inbound.end(inbound.receive(attempt("other")), Status::Ok);
    CHECK(inbound.actions(inbound.receive(attempt("a"))) == "fail ");
}

TEST_CASE("a request for another instance of the endpoint is rejected") {
    Fixture inbound;
    InboundRequest old = attempt("a");
    old.instance_id = "i-0";
    CHECK(inbound.actions(inbound.receive(old)) == "refuse ");
    inbound.controller.remove_endpoint();
    CHECK(inbound.actions(inbound.receive(attempt("b"))) == "refuse ");
}

TEST_CASE(
    "a draining endpoint gets only requests that have nowhere else to go, and none shortly before drain_ms") {
    Fixture inbound;
    inbound.controller.start_draining(inbound.now);
    InboundRequest no_queue = attempt("a");
    no_queue.may_queue = false;
    CHECK(inbound.actions(inbound.receive(no_queue)) == "refuse ");
    CHECK(inbound.actions(inbound.receive(attempt("b"))) == "send ");  // it has nowhere else to go
    inbound.receive(attempt("c"));
    const auto queued = inbound.receive(attempt("d"));
    inbound.now += 2s;
    inbound.end("2", Status::Ok);
    CHECK(inbound.actions(queued) == "refuse ");
    CHECK(inbound.actions(inbound.receive(attempt("e"))) == "refuse ");
}
