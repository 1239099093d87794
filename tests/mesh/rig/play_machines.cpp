// Processes and endpoints of a play.
#include <algorithm>
#include <utility>
#include <vector>

#include "mesh/rig/play_run.h"
#include "mesh/rig/store_damage.h"

namespace martenford::rig {

namespace {

/// Controllers that the settings name.
constexpr std::size_t kSeeds = 3;
/// In which a controller leaves its first trace on disk.
constexpr std::size_t kFirstMilliseconds = 4;

constexpr Duration kRestartDelay = 100ms;

std::string zone_of(std::size_t machine) {
    return "zone-" + std::to_string(machine % 3);
}

}  // namespace

std::string Play::controller_name(std::size_t i) const {
    return "core-" + std::to_string(i) + "-" + std::to_string(controllers_[i].generation);
}

Machine Play::machine_settings(std::size_t index) {
    Machine machine;
    machine.zone = zone_of(index);
    machine.region = "region";
    machine.first_boot = first_boot_;
    machine.top =
        "machine_class = \"m\"\nbeat_interval_ms = 500\nactive_contracts = [\"base\", \"drain\", "
        "\"config\"]\nbounds = [\"contact_ms=3000\", \"ack_ms=5000\", \"catch_up_s=2\", "
        "\"drain_ms=300\", \"grace_s=3\", \"config_apply_ms=2500\"]\n";
    machine.tables =
        "[zones]\nzone-0 = \"region\"\nzone-1 = \"region\"\nzone-2 = \"region\"\n"
        "[fault_tolerance]\nmachines = " +
        std::to_string(tolerated_failures_) + "\nzones = 0\nregions = 0\n";
    // Three seeds of the operator's current list: the same three at the first start, later random ones.
    std::vector<std::size_t> order(controllers_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    if (!first_boot_) {
        for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[random_below(i)]);
    }
    for (const std::size_t i : order) {
        if (!controllers_[i].removed && machine.seeds.size() < kSeeds)
            machine.seeds.push_back(at(controllers_[i].ip, Port::Control));
    }
    return machine;
}

Machine Play::controller_settings(std::size_t i) {
    Machine machine = machine_settings(i);
    machine.name = controller_name(i);
    machine.ip = controllers_[i].ip;
    machine.top += "loss_counted = true\nserves = [\"control_plane\"]\n";
    return machine;
}

void Play::start_controller(std::size_t i) {
    processes_.start(controller_settings(i));
}

void Play::disturb_first_start() {
    // All but one of the seeds: what no disk has seen cannot be known.
    std::vector<std::size_t> victims;
    const std::size_t survivor = random_below(kSeeds);
    for (std::size_t i = 0; i < kSeeds; ++i) {
        if (i != survivor) victims.push_back(i);
    }
    const std::size_t rounds = 1 + random_below(2);
    for (std::size_t round = 0; round < rounds; ++round) {
        run_for(1ms * static_cast<int>(random_below(kFirstMilliseconds)));
        for (const std::size_t i : victims) {
            end_controller(i, Processes::Termination::Kill, [this, i] {
                loop_.add(loop_.now() + kRestartDelay, [this, i] { restart_in_first_start(i); });
            });
        }
        wait_for("controllers that are started again", [&] {
            return std::all_of(victims.begin(), victims.end(), [this](std::size_t i) {
                return processes_.is_up(controller_name(i)) && !terminating_.contains(i);
            });
        });
    }
}

void Play::restart_in_first_start(std::size_t i) {
    Machine machine = controller_settings(i);
    machine.first_boot = false;
    processes_.start(machine);
}

void Play::lose_disk(std::size_t i) {
    if (random_below(2) == 0) return processes_.wipe(controller_name(i));
    note("damaged " + controller_name(i));
    damage_store(processes_.directory() + "/" + controller_name(i), random_);
}

void Play::start_proxy(std::size_t i) {
    Machine machine = machine_settings(i);
    machine.name = proxy_name(i);
    machine.ip = proxy_ip(i);
    machine.service = service_of(i);
    ++proxies_[i].incarnation;
    machine.top += "loss_counted = false\nserves = [\"sidecar\"]\n";
    processes_.start(machine);
}

void Play::start_endpoint(std::size_t i) {
    Proxy& proxy = proxies_[i];
    if (proxy.endpoint) stopped_endpoints_.push_back(std::move(proxy.endpoint));
    const std::string id = "i-" + std::to_string(i) + "-" + std::to_string(++proxy.endpoint_incarnation);
    proxy.draining = false;
    proxy.endpoint_running = true;
    proxy.endpoint = std::make_unique<Endpoint>(
        loop_, id, at(proxy_ip(i), Port::App),
        [this, id, service = service_of(i)](const Endpoint::ReceivedRequest& received) {
            return handle(id, service, received);
        },
        counters_);
}

Endpoint::Handling Play::handle(const std::string& instance, const std::string& service,
                                const Endpoint::ReceivedRequest& received) {
    const auto request = history().requests.find(received.id);
    const bool intact = request != history().requests.end() &&
                        received.path == path_of(received.id, request->second) &&
                        received.body == body_of(received.id, request->second) &&
                        request->second.idempotent == (service == "web");
    Endpoint::Handling handling;
    handling.body = echo_of(received.id, instance);
    handling.delay = 1ms * static_cast<int>(random_below(30));
    if (random_below(25) == 0) handling.delay = 400ms;
    handling.fails = random_below(60) == 0;
    history().executions.push_back({received.id, instance, intact, handling.fails});
    return handling;
}

void Play::stop_endpoint(std::size_t i) {
    proxies_[i].endpoint_running = false;
    proxies_[i].endpoint->stop();
}

}  // namespace martenford::rig
