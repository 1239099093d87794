// Soak: real proxies and a controller that are started in bad surroundings while clients download through
// them on open connections: ports that are taken while a process is down, settings that are half written,
// SIGHUP in the first moments, full disks, and planned stops, kills and changes that come in series and
// overlap. No process may end by itself, and all of them serve in the end. Three seeds;
// tests/long/startup_soak.sh plays many. MARTENFORD_SEED selects one, MARTENFORD_SPAN its length in seconds,
// MARTENFORD_PROXIES their number.
#include <doctest/doctest.h>

#include <cstdint>
#include <random>

#include "mesh/rig/shutdown_world.h"
#include "mesh/rig/soak.h"

using namespace martenford;
using namespace martenford::rig;

namespace {

constexpr std::size_t kProxies = 5;
constexpr std::size_t kConnectionsPerProxy = 4;

struct SoakOptions {
    std::uint64_t seed = 1;
    Duration span = 10s;
    std::size_t proxies = kProxies;
};

class StartupSoak {
  public:
    explicit StartupSoak(const SoakOptions& options)
        : options_(options), world_(options.seed, options.proxies), random_(options.seed) {}

    void run() {
        world_.start();
        world_.set_answers(100'000, 20'000);
        world_.start_clients(kConnectionsPerProxy, 1500ms);
        for (Duration passed{}; passed < options_.span;) {
            const Duration pause = 50ms * static_cast<int>(2 + below(16));
            world_.fleet().run_for(pause);
            if (world_.fleet().has_unexpected_exit()) return;
            passed += pause;
            const std::size_t troubles = 1 + below(1 + options_.proxies / 3);
            for (std::size_t i = 0; i < troubles; ++i) trouble(below(options_.proxies));
        }
        world_.stop_clients();
        world_.settle();
    }
    ShutdownWorld& world() { return world_; }

  private:
    std::size_t below(std::size_t end) { return random_() % end; }
    Duration some_time() { return 50ms * static_cast<int>(1 + below(20)); }
    Port some_port() {
        constexpr Port kPortsOfProxy[] = {Port::Control, Port::Inbound, Port::Outbound, Port::Readiness};
        return kPortsOfProxy[below(std::size(kPortsOfProxy))];
    }

    void trouble(std::size_t proxy) {
        ProxyFleet& fleet = world_.fleet();
        switch (below(10)) {
            case 0:
            case 1: {  // it returns while one or two of its ports are taken
                const Duration down = some_time();
                fleet.kill(proxy, down);
                fleet.hold_port(proxy, some_port(), down + some_time());
                return fleet.hold_port(proxy, some_port(), down + some_time());
            }
            case 2:
                fleet.hold_port(proxy, some_port(), 3s + some_time());
                return fleet.restart_by_plan(proxy);
            case 3:
                fleet.cut_next_settings(proxy, some_time() / 2);
                return fleet.kill(proxy, some_time());
            case 4:
                fleet.reload_next_start(proxy);
                return fleet.kill(proxy, some_time());
            case 5: {
                const Duration down = some_time();
                fleet.kill_controller(down);
                return fleet.hold_controller_port(below(2) == 0 ? Port::Control : Port::Mesh,
                                                  down + some_time());
            }
            case 6:
                return fleet.reload(proxy);
            case 7:
                return fleet.change_config();
            case 8:
                return fleet.fill_controller_disk(some_time());
            default:
                return fleet.kill_many(proxy, 1 + below(options_.proxies), some_time());
        }
    }

    const SoakOptions options_;
    ShutdownWorld world_;
    std::mt19937_64 random_;
};

void check(const SoakOptions& options) {
    StartupSoak soak(options);
    soak.run();
    check_soak(options.seed, soak.world());
}

}  // namespace

// Guards against processes that end by themselves at a start, or a system that does not come up.
TEST_CASE("soak: starts in bad surroundings, under load, with overlapping stops, kills and changes") {
    SoakOptions options;
    options.span = 1s * from_environment("MARTENFORD_SPAN", 10);
    options.proxies = from_environment("MARTENFORD_PROXIES", kProxies);
    if (const auto seed = from_environment("MARTENFORD_SEED", 0); seed != 0) {
        options.seed = seed;
        return check(options);
    }
    for (const std::uint64_t seed : {1, 2, 3}) {
        options.seed = seed;
        check(options);
    }
}
