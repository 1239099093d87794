// Soak: clients that use their connections until the proxy is gone, endpoints that answer late and twice, and
// stops, reloads and configuration changes in series that overlap; in the middle third unplanned faults as
// well. Every second seed gives each process a processor quota. tests/long/answer_soak.sh plays many and
// longer ones. MARTENFORD_SEED selects one, MARTENFORD_SPAN its length in seconds, MARTENFORD_PROXIES the
// number of proxies, MARTENFORD_QUOTA the quota in microseconds of each 100 ms (0: none).
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

#include "mesh/rig/answer_world.h"
#include "mesh/rig/soak.h"

using namespace martenford;
using namespace martenford::rig;

namespace {

constexpr std::size_t kConnectionsPerProxy = 6;
/// Requests in all, so that the test's own loop keeps up: each connection waits longer in a larger fleet.
constexpr Duration kPausePerProxy = 10ms;
/// Below what a proxy of the soak spends in a period on its own: each is stopped several times a second.
#ifdef __SANITIZE_ADDRESS__
constexpr Duration kProcessorQuota = 25ms;
#else
constexpr Duration kProcessorQuota = 3ms;
#endif
/// A series of a large fleet must have ended when the world settles.
constexpr Duration kMaxSeriesTime = 5s;

/// Planned work throughout; unplanned faults in the middle third.
class AnswerSoak {
  public:
    AnswerSoak(std::uint64_t seed, std::size_t proxies, Duration span, Duration processor_quota)
        : world_(seed, proxies, processor_quota), fleet_(world_.fleet()), random_(seed), span_(span) {}

    void run() {
        world_.start();
        world_.start_clients(kConnectionsPerProxy, kPausePerProxy * static_cast<int>(fleet_.size()));
        for (Duration passed{}; passed < span_;) {
            const Duration pause = 100ms * static_cast<int>(1 + below(5));
            fleet_.run_for(pause);
            passed += pause;
            for (std::size_t count = 1 + below(2); count > 0; --count) plan();
            if (passed < span_ / 3 || passed > span_ * 2 / 3) continue;
            for (std::size_t count = 1 + below(2); count > 0; --count) trouble();
        }
        world_.settle();
    }
    AnswerWorld& world() { return world_; }

  private:
    std::size_t below(std::size_t end) { return random_() % end; }
    /// Does something to several proxies in turn, while the soak goes on.
    void in_series(const std::function<void(std::size_t proxy)>& step) {
        const std::size_t first = below(fleet_.size()), count = 1 + below(fleet_.size());
        const Duration drawn = 10ms * static_cast<int>(1 + below(40));
        const Duration gap = std::min(drawn, kMaxSeriesTime / static_cast<int>(count));
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t proxy = (first + i) % fleet_.size();
            fleet_.loop().add(fleet_.loop().now() + gap * static_cast<int>(i),
                              [step, proxy] { step(proxy); });
        }
    }
    void plan() {
        switch (below(5)) {
            case 0:
                return in_series([this](std::size_t proxy) { fleet_.restart_by_plan(proxy); });
            case 1:
                return in_series([this](std::size_t proxy) { fleet_.reload(proxy); });
            case 2:
                return fleet_.restart_controller_by_plan();
            default:
                return fleet_.change_config();
        }
    }
    void trouble() {
        const Duration lasts = 100ms * static_cast<int>(2 + below(10));
        const std::size_t proxy = below(fleet_.size());
        switch (below(8)) {
            case 0:
                return fleet_.kill(proxy, lasts);
            case 1:
                return fleet_.freeze(proxy, lasts);
            case 2:
                return fleet_.cut(proxy, lasts);
            case 3:
                return fleet_.kill_many(proxy, 1 + below(fleet_.size()), lasts);
            case 4:
                return fleet_.reset_connections(proxy);
            case 5:
                return fleet_.reset_controller_connections();
            case 6:
                return fleet_.fill_controller_disk(lasts);
            default:
                return fleet_.kill_controller(lasts);
        }
    }

    AnswerWorld world_;
    ProxyFleet& fleet_;
    std::mt19937_64 random_;
    const Duration span_;
};

/// Odd seeds have none, so that a fault of the other half can be told from one of the quota.
Duration default_quota(std::uint64_t seed) {
    return seed % 2 == 0 ? kProcessorQuota : Duration{};
}

void check(std::uint64_t seed, std::size_t proxies, Duration span) {
    const auto default_us =
        std::chrono::duration_cast<std::chrono::microseconds>(default_quota(seed)).count();
    const Duration quota = 1us * from_environment("MARTENFORD_QUOTA", static_cast<std::uint64_t>(default_us));
    AnswerSoak soak(seed, proxies, span, quota);
    soak.run();
    check_soak(seed, soak.world());
}

}  // namespace

TEST_CASE("soak: late second answers under series of planned work and overlapping faults") {
    const Duration span = 1s * from_environment("MARTENFORD_SPAN", 12);
    const std::size_t proxies = from_environment("MARTENFORD_PROXIES", 4);
    if (const auto seed = from_environment("MARTENFORD_SEED", 0); seed != 0)
        return check(seed, proxies, span);
    for (const std::uint64_t seed : {1, 2, 3, 4}) check(seed, proxies, span);
}

TEST_CASE("a controller whose disk is full acknowledges no configuration, and does once it has room") {
    AnswerWorld world(1, 1, Duration{});
    world.start();
    world.fleet().fill_controller_disk(1s);
    world.fleet().change_config();
    world.fleet().run_for(800ms);
    CHECK(world.fleet().unsettled().find("a configuration is not acknowledged") != std::string::npos);
    world.settle();
    CHECK(world.violations().empty());
}
