#include "mesh.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <stdexcept>
#include <tuple>

namespace martenford::scale_test {

namespace {

constexpr int kPutTimeoutSeconds = 5;         // for one call that puts a configuration
constexpr int kHeartbeatTimeoutSeconds = 1;   // for one call; on loopback
constexpr double kPutRetryInterval = 0.02;    // s
constexpr double kWaitInterval = 0.02;        // s between two looks at the heartbeats while waiting
constexpr double kGaugePollInterval = 0.005;  // s; the resolution of measured times
constexpr double kHeartbeatInterval = 1.5;    // s; beat_interval_ms of the settings
constexpr const char* kConfigurationPath = "/v1/configuration/replace";

/// Local and remote address and port of a connection's end.
using EndKey = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

bool is_controller(const std::string& name) {
    return name.starts_with("controller");
}

std::string host_port(const std::string& ip, int port) {
    return ip + ":" + std::to_string(port);
}

/// The body of the call by which the platform reports a real proxy's endpoint.
std::string heartbeat_body(const std::string& ip, const std::string& service, std::uint64_t sequence) {
    return R"({"address":")" + host_port(ip, kControlPort + 1) + R"(","node_info":{"service":")" + service +
           R"(","version":"v1","zone":"z","slots":4},"status":{"state":"ready","call_seq":)" +
           std::to_string(sequence) + R"(,"cold_left_ms":0}})";
}

}  // namespace

void sleep_seconds(double s) {
    ::usleep(static_cast<useconds_t>(s * 1e6));
}

Mesh::Mesh(const Options& options, const StepSize& size) : options_(options), size_(size) {
    for (std::size_t i = 0; i < size_.controllers; ++i) {
        controllers_.push_back("controller-" + std::to_string(i + 1));
        start_controller(i, FirstBoot::Yes);
    }
}

void Mesh::start_controller(std::size_t index, FirstBoot first_boot) {
    const std::string data_directory = processes_.folder() + "/disk-" + std::to_string(index);
    std::filesystem::create_directories(data_directory);
    const std::string ip = controller_ip(options_.net, index);
    const std::string& name = controllers_[index];
    processes_.write(name, settings(name, ip, first_boot, zone_name(index)) + "data_directory = \"" +
                               data_directory + "\"\n[listen_addrs]\ncontrol = \"" +
                               host_port(ip, kControlPort) + "\"\n");
    processes_.start(name, options_.controller);
}

std::string Mesh::settings(const std::string& name, const std::string& ip, FirstBoot first_boot,
                           const std::string& zone) const {
    std::string seeds;
    for (std::size_t i = 0; i < std::min(kMaxSeeds, size_.controllers); ++i)
        seeds += (i ? ", \"" : "\"") + host_port(controller_ip(options_.net, i), kControlPort) + "\"";
    return "node_name = \"" + name + "\"\nrole = \"r\"\nip_address = \"" + ip + "\"\nzone = \"" + zone +
           "\"\nregion = \"region\"\ninternal_ports = [" + std::to_string(kInternalPort) + ", " +
           std::to_string(kInternalPort + 7) + "]\nseed_nodes = [" + seeds +
           "]\nbeat_interval_ms = 1500\nfirst_boot = " + (first_boot == FirstBoot::Yes ? "true" : "false") +
           "\nactive_contracts = [\"base\", \"tenants\", \"quota\"]\n";
}

double Mesh::put_configuration() {
    const auto version = version_ + 1;
    const std::string body = configuration(size_.config, version, version_);
    const auto started_at = Clock::now();
    std::size_t next = 0;
    std::string target = leader_ip_.empty() ? controller_ip(options_.net, next) : leader_ip_;
    while (to_seconds(Clock::now() - started_at) < kEventTimeout) {
        const HttpReply reply = http_post(target, kControlPort, kConfigurationPath, body, kPutTimeoutSeconds);
        if (reply.status == 200) {
            leader_ip_ = target;
            version_ = version;
            return to_seconds(Clock::now() - started_at);
        }
        if (reply.status == 400) throw std::runtime_error("the configuration is refused as invalid");
        if (reply.status == 307 && !reply.location.empty()) {  // to the leader
            target = reply.location;
            continue;
        }
        check_controllers();
        sleep_seconds(kPutRetryInterval);
        target = controller_ip(options_.net, ++next % size_.controllers);
    }
    return std::nan("");
}

void Mesh::check_controllers() const {
    for (const std::string& name : controllers_) {
        if (has_exited(processes_.pid(name)))
            throw std::runtime_error(name + " has ended; is another run on these addresses?");
    }
}

void Mesh::start_proxies() {
    const std::size_t workers = worker_count(size_.proxies, options_.own_process);
    numbers_by_worker_.resize(workers);
    for (std::size_t i = 0; i < size_.proxies; ++i) numbers_by_worker_[i % workers].push_back(i);
    for (std::size_t i = 0; i < workers; ++i) start_worker(i);
    for (std::size_t i = 0; i < size_.real; ++i) start_real_proxy(i);
}

void Mesh::start_worker(std::size_t index) {
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("can't start a worker");
    if (pid == 0) run_worker(options_, size_, numbers_by_worker_[index], *board_);
    processes_.adopt(worker_name(index), pid);
}

void Mesh::start_real_proxy(std::size_t index) {
    const std::string name = "proxy-real-" + std::to_string(index);
    const std::string ip = real_proxy_ip(options_.net, index);
    const auto port = [&](int offset) { return host_port(ip, kControlPort + offset) + "\"\n"; };
    const auto number = size_.proxies + index;
    processes_.write(name, settings(name, ip, FirstBoot::Yes, zone_name(number)) + "service = \"" +
                               service_name(number % size_.config.services) + "\"\napp_address = \"" +
                               port(1) + "[listen_addrs]\ninbound = \"" + port(2) + "outbound = \"" +
                               port(3) + "readiness = \"" + port(4) + "control = \"" + port(0));
    processes_.start(name, options_.proxy);
    real_proxies_.push_back(name);
}

void Mesh::send_heartbeats() {
    if (real_proxies_.empty() || to_seconds(Clock::now() - heartbeat_sent_at_) < kHeartbeatInterval) return;
    heartbeat_sent_at_ = Clock::now();
    ++heartbeats_;
    for (std::size_t i = 0; i < real_proxies_.size(); ++i) {
        const std::size_t number = size_.proxies + i;
        const std::string ip = real_proxy_ip(options_.net, i);
        http_post(ip, kControlPort, "/v1/instances/instance-" + std::to_string(number) + "/heartbeat",
                  heartbeat_body(ip, service_name(number % size_.config.services), heartbeats_),
                  kHeartbeatTimeoutSeconds);
    }
}

void Mesh::wait(double s) {
    const auto end = Clock::now() + std::chrono::duration<double>(s);
    while (Clock::now() < end) {
        send_heartbeats();
        sleep_seconds(kWaitInterval);
    }
}

Reached Mesh::wait_for_proxies(const std::function<bool(const Gauge&)>& is_reached, double timeout_s) {
    const auto started_at = Clock::now();
    for (;;) {
        std::size_t counted = 0;
        std::size_t reached = 0;
        for (std::size_t i = 0; i < size_.proxies; ++i) {
            if (lost_zone_ && i % kZones == *lost_zone_) continue;
            ++counted;
            if (is_reached(board_->gauges[i])) ++reached;
        }
        const double elapsed = to_seconds(Clock::now() - started_at);
        if (reached == counted) return {elapsed, 1};
        if (elapsed > timeout_s)
            return {std::nan(""), static_cast<double>(reached) / static_cast<double>(counted)};
        send_heartbeats();
        sleep_seconds(kGaugePollInterval);
    }
}

std::vector<std::string> Mesh::process_names() const {
    std::vector<std::string> names = controllers_;
    for (std::size_t i = 0; i < numbers_by_worker_.size(); ++i) names.push_back(worker_name(i));
    names.insert(names.end(), real_proxies_.begin(), real_proxies_.end());
    return names;
}

Snapshot Mesh::snapshot() {
    Snapshot out;
    const std::vector<std::string> names = process_names();
    std::map<std::uint64_t, const std::string*> owners;  // by the socket's inode
    for (const std::string& name : names) {
        for (const auto inode : socket_inodes(processes_.pid(name))) owners[inode] = &name;
    }
    const auto all = tcp_endpoints();
    out.at = Clock::now();
    for (const std::string& name : names) out.spent[name] = read_process_usage(processes_.pid(name));
    std::map<EndKey, const std::string*> owner_by_end;
    for (const auto& [cookie, socket] : all) {
        if (const auto it = owners.find(socket.inode); it != owners.end())
            owner_by_end[{socket.local, socket.local_port, socket.remote, socket.remote_port}] = it->second;
    }
    for (const auto& [cookie, socket] : all) {
        const auto owner = owners.find(socket.inode);
        if (owner == owners.end()) continue;
        out.sockets[*owner->second][cookie] = socket;
        const auto peer =
            owner_by_end.find({socket.remote, socket.remote_port, socket.local, socket.local_port});
        if (peer != owner_by_end.end() && is_controller(*owner->second) && is_controller(*peer->second))
            out.between_controllers.insert(cookie);
    }
    return out;
}

Roles Mesh::load_by_role(const Snapshot& before, const Snapshot& after) const {
    Roles out;
    std::vector<Load> followers;
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
        const Load load = load_between(controllers_[i], before, after);
        if (controller_ip(options_.net, i) == leader_ip_) {
            out.emplace_back(kLeader, load);
        } else {
            followers.push_back(load);
        }
    }
    if (!followers.empty()) out.emplace_back(kFollower, median_load(followers));
    std::vector<Load> workers;
    for (std::size_t i = 0; i < numbers_by_worker_.size(); ++i)
        workers.push_back(load_between(worker_name(i), before, after));
    if (!workers.empty()) {
        out.emplace_back(kSimulatedProxy, summed(workers, static_cast<double>(size_.proxies)));
        // Near a whole core, the worker is the limit and not the controller.
        out.emplace_back(kBusiestWorker, *std::max_element(workers.begin(), workers.end(),
                                                           [](const Load& left, const Load& right) {
                                                               return left.processor < right.processor;
                                                           }));
    }
    std::vector<Load> real;
    for (const std::string& name : real_proxies_) real.push_back(load_between(name, before, after));
    if (!real.empty()) out.emplace_back(kRealProxy, summed(real, static_cast<double>(real.size())));
    return out;
}

void Mesh::kill_controllers() {
    for (const std::string& name : controllers_) processes_.kill(name);
}

void Mesh::restart_controllers() {
    for (std::size_t i = 0; i < controllers_.size(); ++i) start_controller(i, FirstBoot::No);
    leader_ip_.clear();
}

void Mesh::kill_zone() {
    lost_controller_ = 0;
    while (lost_controller_ + 1 < controllers_.size() &&
           controller_ip(options_.net, lost_controller_) == leader_ip_)
        ++lost_controller_;
    lost_zone_ = 0;
    processes_.kill(controllers_[lost_controller_]);
    for (std::size_t i = 0; i < numbers_by_worker_.size(); i += kZones) processes_.kill(worker_name(i));
}

void Mesh::restart_zone() {
    for (std::size_t i = 0; i < size_.proxies; i += kZones) {
        board_->gauges[i].live = 0;
        board_->gauges[i].in_touch = 0;
    }
    start_controller(lost_controller_, FirstBoot::No);
    for (std::size_t i = 0; i < numbers_by_worker_.size(); i += kZones) start_worker(i);
    lost_zone_.reset();
}

bool Mesh::has_workers_by_zone() const {
    return numbers_by_worker_.size() % kZones == 0 && size_.real == 0;
}

}  // namespace martenford::scale_test
