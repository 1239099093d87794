// What one decision costs: the module alone, one class, each request answered before the next comes. The
// figure to read is the ratio of a fleet's size to that of 20 endpoints, in the same run.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "martenford/decision/balancer.h"
#include "standins/usual_rules.h"

namespace {

using namespace martenford::decision;
using namespace std::chrono_literals;

Settings settings(std::uint32_t replicas = 1) {
    Settings s;
    s.replicas = replicas;
    RequestClass look;
    look.name = "look";
    look.latency_target = 1s;
    look.deadline = 2s;
    look.idempotency = Idempotency::Idempotent;
    s.classes = {look};
    s.limits.max_attempts = 3;
    s.limits.may_cancel = true;
    s.rules = martenford::standins::default_rules();
    s.tick = 5ms;
    return s;
}

EndpointList fleet(std::uint32_t size) {
    EndpointList list(size);
    for (std::uint32_t i = 0; i < size; ++i) {
        list[i].id = EndpointId{i * 2654435761u};  // as scattered as hashes of uids
        list[i].cell = i / 4;
    }
    return list;
}

struct Sidecar {
    explicit Sidecar(std::uint32_t endpoints, bool cold = false, bool one_cell = false,
                     std::uint32_t replicas = 1)
        : balancer(settings(replicas), 42) {
        balancer.start(now, actions);
        EndpointList list = fleet(endpoints);
        for (Endpoint& e : list) {
            if (cold) e.started = now;
            if (one_cell) e.cell = 0;
        }
        tell(DiscoveryUpdate{DiscoveryUpdate::Kind::Full, std::make_shared<EndpointList>(std::move(list))});
    }
    void tell(Event event) {
        actions.clear();
        balancer.handle(now, event, actions);
    }
    /// One request and, where its first attempt fails, another; each takes 20 ms or the time given.
    void serve(Status first = Status::Ok, Duration takes = 20ms) {
        Request request;
        request.id = "r" + std::to_string(++last);
        request.deadline = now + 2s;
        const RequestId id = request.id;
        tell(std::move(request));
        for (AttemptNumber attempt = 0; attempt < 3; ++attempt) {
            const Send* sent = nullptr;
            const SetTimer* timer = nullptr;
            for (const Action& action : actions) {
                if (const auto* send = std::get_if<Send>(&action)) sent = send;
                if (const auto* set = std::get_if<SetTimer>(&action)) timer = set;
            }
            if (!sent && timer) {  // a retry waits for its time
                now = std::max(now, timer->at);
                tell(TimerFired{timer->token});
                --attempt;
                continue;
            }
            if (!sent) return;  // given up
            now += takes;
            Outcome outcome;
            outcome.id = id;
            outcome.attempt = attempt;
            outcome.endpoint = sent->endpoint;
            outcome.status = attempt == 0 ? first : Status::Ok;
            outcome.latency = takes;
            outcome.last = outcome.status == Status::Ok;
            tell(outcome);
            if (outcome.last) return;
        }
    }
    Balancer balancer;
    std::vector<Action> actions;
    Time now{1s};
    std::uint64_t last = 0;
};

void request(benchmark::State& state) {
    Sidecar sidecar(static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state) sidecar.serve();
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(request)->Arg(20)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(100'000);

/// A sidecar for each twenty endpoints, as in a large fleet: its window of the ring is forty.
void request_in_a_window(benchmark::State& state) {
    const auto size = static_cast<std::uint32_t>(state.range(0));
    Sidecar sidecar(size, false, false, std::max(1u, size / 20));
    for (auto _ : state) sidecar.serve();
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(request_in_a_window)->Arg(20)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(100'000);

/// One attempt in five fails; what is tried again counts with the request.
void request_under_failures(benchmark::State& state) {
    Sidecar sidecar(static_cast<std::uint32_t>(state.range(0)));
    std::uint64_t turn = 0;
    for (auto _ : state) sidecar.serve(++turn % 5 == 0 ? Status::Reset : Status::Ok);
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(request_under_failures)->Arg(20)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(100'000);

/// A change of the list before each tenth request; the time of the changes counts.
void request_under_churn(benchmark::State& state) {
    const auto size = static_cast<std::uint32_t>(state.range(0));
    Sidecar sidecar(size);
    const EndpointList all = fleet(size);
    std::uint64_t turn = 0;
    for (auto _ : state) {
        if (++turn % 10 == 0) {
            Endpoint changed = all[(turn / 20) % size];
            changed.availability = turn / 10 % 2 ? Availability::Draining : Availability::Ready;
            sidecar.tell(
                DiscoveryUpdate{DiscoveryUpdate::Kind::Delta, std::make_shared<EndpointList>(1, changed)});
        }
        sidecar.serve();
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(request_under_churn)->Arg(20)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(100'000);

/// All endpoints have just started, and stay so; a sidecar for each twenty of them, so that a window of forty
/// is this one's.
void request_all_cold(benchmark::State& state) {
    const auto size = static_cast<std::uint32_t>(state.range(0));
    Sidecar sidecar(size, true, false, std::max(1u, size / 20));
    for (auto _ : state) sidecar.serve(Status::Ok, Duration{});
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(request_all_cold)->Arg(20)->Arg(100)->Arg(1'000)->Arg(10'000);

/// One endpoint of the fleet drains or comes back.
void one_change(benchmark::State& state) {
    const auto size = static_cast<std::uint32_t>(state.range(0));
    Sidecar sidecar(size);
    const EndpointList all = fleet(size);
    std::uint64_t turn = 0;
    for (auto _ : state) {
        Endpoint changed = all[(turn / 2) % size];
        changed.availability = turn++ % 2 ? Availability::Ready : Availability::Draining;
        sidecar.tell(
            DiscoveryUpdate{DiscoveryUpdate::Kind::Delta, std::make_shared<EndpointList>(1, changed)});
    }
}
BENCHMARK(one_change)->Arg(20)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(100'000);

/// The same where the list names no cells: all endpoints are of one.
void one_change_in_one_cell(benchmark::State& state) {
    const auto size = static_cast<std::uint32_t>(state.range(0));
    Sidecar sidecar(size, false, true);
    EndpointList all = fleet(size);
    std::uint64_t turn = 0;
    for (auto _ : state) {
        Endpoint changed = all[(turn / 2) % size];
        changed.cell = 0;
        changed.availability = turn++ % 2 ? Availability::Ready : Availability::Draining;
        sidecar.tell(
            DiscoveryUpdate{DiscoveryUpdate::Kind::Delta, std::make_shared<EndpointList>(1, changed)});
    }
}
BENCHMARK(one_change_in_one_cell)->Arg(100)->Arg(1'000)->Arg(10'000);

}  // namespace

BENCHMARK_MAIN();
