// What telling a request's story costs: sketches against sorting and fixed buckets, counts by cause, the
// sampler.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "telemetry/causes.h"
#include "telemetry/sketch.h"
#include "telemetry/tail_sampler.h"

namespace {

using namespace martenford::telemetry;
using martenford::Time;
using namespace std::chrono_literals;

const std::vector<double>& latencies() {
    static const std::vector<double> values = [] {
        std::mt19937_64 random(1);
        std::lognormal_distribution<double> shape(-4.0, 1.0);
        std::vector<double> all(1 << 16);
        for (double& each : all) each = shape(random);
        return all;
    }();
    return values;
}

double worst_error(const std::function<double(double)>& quantile) {
    auto sorted = latencies();
    std::sort(sorted.begin(), sorted.end());
    double worst = 0;
    for (const double share : {0.1, 0.5, 0.9, 0.99, 0.999}) {
        const double exact = sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        worst = std::max(worst, std::abs(quantile(share) - exact) / exact);
    }
    return worst;
}

void sketch_add(benchmark::State& state) {
    QuantileSketch sketch(0.01);
    std::size_t at = 0;
    for (auto _ : state) sketch.add(latencies()[at++ & 0xffff]);
    QuantileSketch once(0.01);
    for (const double each : latencies()) once.add(each);
    state.counters["worst_error"] = worst_error([&](double share) { return once.quantile(share); });
    state.counters["bytes"] = static_cast<double>(once.buckets() * sizeof(std::uint64_t));
}
BENCHMARK(sketch_add);

/// Fixed buckets as a histogram of a metrics library has them: twelve bounds, the quantile read off within
/// one.
void histogram_add(benchmark::State& state) {
    constexpr std::array kBounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0};
    std::array<std::uint64_t, kBounds.size() + 1> counts{};
    const auto add = [&](double value) {
        ++counts[static_cast<std::size_t>(std::lower_bound(kBounds.begin(), kBounds.end(), value) -
                                          kBounds.begin())];
    };
    std::size_t at = 0;
    for (auto _ : state) add(latencies()[at++ & 0xffff]);
    counts = {};
    for (const double each : latencies()) add(each);
    state.counters["worst_error"] = worst_error([&](double share) {
        double seen = 0;
        const double rank = share * static_cast<double>(latencies().size());
        for (std::size_t i = 0; i < kBounds.size(); ++i) {
            const double here = static_cast<double>(counts[i]), low = i ? kBounds[i - 1] : 0.0;
            if (seen + here >= rank) return low + (kBounds[i] - low) * (rank - seen) / here;
            seen += here;
        }
        return kBounds.back();
    });
    state.counters["bytes"] = sizeof counts;
}
BENCHMARK(histogram_add);

void sort_all(benchmark::State& state) {
    for (auto _ : state) {
        auto sorted = latencies();
        std::sort(sorted.begin(), sorted.end());
        benchmark::DoNotOptimize(sorted.data());
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(latencies().size()));
    state.counters["bytes"] = static_cast<double>(latencies().size() * sizeof(double));
}
BENCHMARK(sort_all);

void causes_saw(benchmark::State& state) {
    CauseAnalyzer causes({"endpoint", "zone", "kind", "class", "caller"}, {});
    std::vector<std::string> endpoints, callers;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        endpoints.push_back("s-" + std::to_string(i * 2654435761));
    for (int i = 0; i < 300; ++i) callers.push_back("c-" + std::to_string(i));
    std::size_t at = 0;
    for (auto _ : state) {
        ++at;
        causes.observe(Time{1000s + std::chrono::microseconds(at)},
                       {endpoints[at % endpoints.size()], "a", "m1", "look", callers[at % callers.size()]},
                       at % 100 == 0);
    }
    state.counters["evicted"] = static_cast<double>(causes.evicted());
}
BENCHMARK(causes_saw)->Arg(60)->Arg(10'000);

void causes_explain(benchmark::State& state) {
    CauseAnalyzer causes({"endpoint", "caller"}, {});
    for (int i = 0; i < 200'000; ++i) {
        causes.observe(Time{1000s + i * 1ms},
                       {"s-" + std::to_string(i % 500), "c-" + std::to_string(i % 400)}, i % 500 == 7);
    }
    for (auto _ : state) benchmark::DoNotOptimize(causes.explain(Time{1200s}, 300s, 5));
}
BENCHMARK(causes_explain)->Unit(benchmark::kMicrosecond);

void sampler_offer(benchmark::State& state) {
    TailSampler sampler({}, 1);
    std::size_t at = 0;
    for (auto _ : state) {
        RequestTrace trace;
        trace.id = "9b1f03aa5c7e2d41";
        trace.klass = "rate-lookup";
        trace.started = Time{1000s + std::chrono::microseconds(++at)};
        trace.answer = at % 100 == 0 ? "failed" : "served";
        trace.spans.push_back({"s-5be2a07c", 0ms, 1ms, "ok"});
        sampler.offer(std::move(trace));
    }
}
BENCHMARK(sampler_offer);

}  // namespace

BENCHMARK_MAIN();
