// How fast the emulator's virtual time goes: simulated requests a second, the speed-up over real time, and
// memory, by the size of the fleet. Three tiers; as many sidecars as endpoints of the first tier.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <string>

#include "emulator/virtual_transport.h"

namespace {

using namespace martenford::emulator;

Scenario fleet(int nodes, int sidecars, int rate, int length) {
    const std::string classes = R"(
[[class]]
name = "rate-lookup"
share = 50
work = "120ms"
aim = "1.2s"
deadline = "3s"
effect = "safe"
[[class]]
name = "usage-post"
share = 33
work = "170ms"
aim = "1.5s"
deadline = "4s"
worth = 2
effect = "keyed"
window = "6s"
[[class]]
name = "balance-debit"
share = 17
work = "240ms"
aim = "2.5s"
deadline = "6s"
worth = 8
effect = "unsafe"
)";
    const auto tier = [](const char* name, double endpoints, double work, const char* calls) {
        return fmt::format(
            "[[tier]]\nname = \"{}\"\nendpoints = {:.0f}\npod = 8\nwork = {}\ncalls = {}\nslots = 20\n"
            "queue = 30\nspeed_spread = 0.1\nconnection_cost = \"1ms\"\n",
            name, endpoints, work, calls);
    };
    return read_scenario(fmt::format("name = \"fleet\"\nlength = \"{}s\"\n", length) + classes +
                             tier("rating-gateway", nodes, 0.34, "1") +
                             tier("tariff-engine", nodes * 1.45, 0.30, "[1.0, 2.0]") +
                             tier("balance-ledger", nodes * 2.0, 0.36, "1") +
                             fmt::format("[clients]\nrate = {}\n[sidecars]\ncount = {}\n", rate, sidecars),
                         "benchmark");
}

double resident_mb() {
    std::ifstream in("/proc/self/statm");
    double whole = 0.0, resident = 0.0;
    in >> whole >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Arguments: endpoints of the first tier, its sidecars, requests a second, seconds.
void play(benchmark::State& state) {
    const int length = static_cast<int>(state.range(3));
    const Scenario scenario = fleet(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)),
                                    static_cast<int>(state.range(2)), length);
    std::uint64_t requests = 0, calls = 0, events = 0;
    bool kept = true;
    for (auto _ : state) {
        const VirtualPlay played = play_virtual(scenario, 7);
        requests += played.report.total().offered;
        for (const auto& t : played.report.tiers) calls += t.calls;
        events += played.events;
        kept = kept && played.report.rules_kept();
    }
    using benchmark::Counter;
    state.counters["requests_per_s"] = Counter(static_cast<double>(requests), Counter::kIsRate);
    state.counters["calls_per_s"] = Counter(static_cast<double>(calls), Counter::kIsRate);
    state.counters["events_per_call"] =
        static_cast<double>(events) / static_cast<double>(std::max<std::uint64_t>(1, calls));
    state.counters["speed_up"] =
        Counter(static_cast<double>(length) * static_cast<double>(state.iterations()), Counter::kIsRate);
    state.counters["resident_MB"] = resident_mb();
    state.counters["rules_kept"] = kept ? 1 : 0;
}
BENCHMARK(play)
    ->Args({24, 18, 180, 60})
    ->Args({99, 92, 880, 60})
    ->Args({1000, 1000, 8800, 5})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
