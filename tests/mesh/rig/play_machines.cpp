// Processes and endpoints of a play.
#include <utility>

#include "mesh/rig/play_run.h"

namespace martenford::rig {

namespace {

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
        if (!controllers_[i].removed && machine.seeds.size() < 3)
            machine.seeds.push_back(at(controllers_[i].ip, Port::Control));
    }
    return machine;
}

void Play::start_controller(std::size_t i) {
    Machine machine = machine_settings(i);
    machine.name = controller_name(i);
    machine.ip = controllers_[i].ip;
    machine.top += "loss_counted = true\nserves = [\"control_plane\"]\n";
    processes_.start(machine);
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
