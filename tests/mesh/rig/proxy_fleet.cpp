#include "mesh/rig/proxy_fleet.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <variant>

namespace martenford::rig {

namespace {

constexpr Duration kPollInterval = 5ms;
/// Between two polls.
constexpr Duration kStall = 4 * kPollInterval;
constexpr Duration kHeartbeatInterval = 300ms;
constexpr Duration kCallTimeout = 2s;
constexpr Duration kWaitTimeout = 20s;
constexpr Duration kRestartDelay = 100ms;
/// Planned work lasts until so long after the grace period.
constexpr Duration kAfterGrace = 1s;
constexpr char kController[] = "core";

int mesh_port() {
    return kPorts + static_cast<int>(Port::Mesh);
}
int inbound_port() {
    return kPorts + static_cast<int>(Port::Inbound);
}

bool contains(const std::string& line, const char* text) {
    return line.find(text) != line.npos;
}

/// Answers that were cut or withheld, or answers of another proxy that nobody waited for.
bool reports_violation(const std::string& line) {
    if (contains(line, " MG105 ") || contains(line, " MG702 ")) return true;
    return contains(line, " MG701 ") && contains(line, " hop_skipped=") && !contains(line, " hop_skipped=0 ");
}

}  // namespace

ProxyFleet::ProxyFleet(FleetOptions options)
    : options_(std::move(options)),
      cuts_({mesh_port(), inbound_port()}, {mesh_port()}),
      quota_(options_.processor_quota),
      proxies_(options_.proxies, State::Starting) {}

ProxyFleet::~ProxyFleet() {
    connections_.clear();
}

// ---- processes

Machine ProxyFleet::machine(const std::string& name, const std::string& ip) const {
    Machine machine;
    machine.name = name;
    machine.ip = ip;
    machine.seeds = {at(controller_ip(), Port::Control)};
    machine.first_boot = !configured_;
    machine.top =
        "beat_interval_ms = 300\nactive_contracts = [\"base\", \"drain\"]\nbounds = [\"contact_ms=1000\", "
        "\"drain_ms=300\", \"grace_s=3\"]\n";
    return machine;
}

void ProxyFleet::start_controller() {
    Machine settings = machine(kController, controller_ip());
    settings.top += "loss_counted = true\nserves = [\"control_plane\"]\n";
    settings.tables = "[fault_tolerance]\nmachines = 0\nzones = 0\nregions = 0\n";
    processes_.start(settings);
    controller_ = State::Starting;
}

void ProxyFleet::start_proxy(std::size_t i) {
    Machine settings = machine(name(i), proxy_ip(i));
    settings.service = options_.service;
    settings.top += "loss_counted = false\nserves = [\"sidecar\"]\n";
    processes_.start(settings);
    proxies_[i] = State::Starting;
    if (const auto cut = cut_settings_.extract(i); !cut.empty()) {
        processes_.cut_settings(name(i));
        fault(cut.mapped(), [this, settings] { processes_.write_settings(settings); });
    }
    if (reload_at_start_.erase(i) > 0) signal_once_handled(name(i));
}

void ProxyFleet::signal_once_handled(const std::string& process) {
    if (!processes_.is_up(process)) return;
    if (processes_.accepts_termination(process)) {
        ++reloads_;
        return processes_.signal(process, SIGHUP);
    }
    loop_.add(loop_.now(), [this, process] { signal_once_handled(process); });
}

void ProxyFleet::start() {
    start_controller();
    for (std::size_t i = 0; i < size(); ++i) start_proxy(i);
    poll();
    change_config();
    wait_for("a configuration that is accepted", [this] { return configured_; });
    send_heartbeats();
}

void ProxyFleet::send_heartbeats() {
    loop_.add(loop_.now() + kHeartbeatInterval, [this] { send_heartbeats(); });
    for (std::size_t i = 0; i < size(); ++i) {
        const Heartbeat beat = options_.heartbeat(i);
        call(address(i, Port::Control),
             request_text("POST", "/v1/instances/" + beat.instance + "/heartbeat", "x",
                          "Content-Type: application/json\r\n", beat.body),
             [this, i](Response&& response) {
                 if (response.status == 200 && proxies_[i] == State::Starting) proxies_[i] = State::Running;
             });
    }
}

void ProxyFleet::call(const std::string& to, const std::string& request, Connection::Done done) {
    const auto connection = connections_.emplace(connections_.end(), loop_, to);
    connection->send(request, kCallTimeout, [this, connection, done = std::move(done)](Response&& response) {
        connections_.erase(connection);
        done(std::move(response));
    });
}

// ---- time

void ProxyFleet::run_for(Duration duration) {
    loop_.add(loop_.now() + duration, [this] { loop_.stop(); });
    loop_.resume();
    loop_.run();
}

void ProxyFleet::wait_for(const std::string& what, const std::function<bool()>& condition) {
    const Time give_up_at = loop_.now() + kWaitTimeout;
    while (!condition()) {
        if (loop_.now() > give_up_at)
            throw std::runtime_error("timed out waiting for " + what + ":" + unsettled() + "\n" + logs());
        run_for(kPollInterval);
    }
}

void ProxyFleet::poll() {
    loop_.add(loop_.now() + kPollInterval, [this] { poll(); });
    const Time now = loop_.now();
    if (polled_at_ != Time{} && now - polled_at_ > kStall) stalls_.push_back({polled_at_, now});
    polled_at_ = now;
    take_held_ports();
    processes_.reap(now);
    take_held_ports();
    cuts_.refresh(processes_.pids());
    if (config_pending_ && !config_in_flight_) send_config();
    if (controller_ == State::Starting && !controller_asked_) ask_controller();
}

std::string ProxyFleet::unsettled() const {
    std::string text;
    for (std::size_t i = 0; i < size(); ++i)
        if (proxies_[i] != State::Running) text += " " + name(i) + " does not run;";
    if (controller_ != State::Running) text += " the controller does not answer;";
    if (open_faults_ > 0) text += " " + std::to_string(open_faults_) + " faults are under way;";
    if (config_pending_) text += " a configuration is not acknowledged;";
    return text;
}

// ---- planned

void ProxyFleet::restart_by_plan(std::size_t proxy) {
    if (proxies_[proxy] != State::Running) return;
    proxies_[proxy] = State::Stopping;
    const std::size_t stop = stops_.size();
    stops_.push_back({proxy, {loop_.now()}, false});
    processes_.terminate(name(proxy), Processes::Termination::Graceful, loop_.now(), kShutdownGrace,
                         [this, proxy, stop](int status) {
                             stops_[stop].span.to = loop_.now();
                             stops_[stop].killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
                             loop_.add(loop_.now() + kRestartDelay, [this, proxy] { start_proxy(proxy); });
                         });
}

void ProxyFleet::restart_controller_by_plan() {
    if (controller_ != State::Running) return;
    controller_ = State::Stopping;
    processes_.terminate(kController, Processes::Termination::Graceful, loop_.now(), kShutdownGrace,
                         [this](int) { start_controller(); });
}

void ProxyFleet::reload(std::size_t proxy) {
    if (proxies_[proxy] == State::Starting) return;
    ++reloads_;
    processes_.signal(name(proxy), SIGHUP);
}

void ProxyFleet::change_config() {
    if (std::exchange(config_pending_, true)) return;
    ++config_version_;
}

void ProxyFleet::send_config() {
    config_in_flight_ = true;
    call(at(controller_ip(), Port::Control),
         request_text("POST", "/v1/configuration/replace", "x", "Content-Type: application/json\r\n",
                      options_.config(config_version_)),
         [this](Response&& response) {
             config_in_flight_ = false;
             if (response.status != 200) return;
             config_pending_ = false;
             configured_ = true;
         });
}

void ProxyFleet::ask_controller() {
    controller_asked_ = true;
    call(at(controller_ip(), Port::Control), request_text("GET", "/v1/configuration/read", "x"),
         [this](Response&& response) {
             controller_asked_ = false;
             if (response.status != 0 && controller_ == State::Starting) controller_ = State::Running;
         });
}

// ---- unplanned

void ProxyFleet::fault(Duration duration, std::function<void()> repair) {
    faults_.push_back({loop_.now(), loop_.now() + duration});
    ++open_faults_;
    loop_.add(loop_.now() + duration, [this, repair = std::move(repair)] {
        repair();
        --open_faults_;
    });
}

void ProxyFleet::kill(std::size_t proxy, Duration down) {
    if (proxies_[proxy] != State::Running) return;
    proxies_[proxy] = State::Stopping;
    processes_.terminate(name(proxy), Processes::Termination::Kill, loop_.now(), {}, nullptr);
    fault(down, [this, proxy] { start_proxy(proxy); });
}

void ProxyFleet::kill_controller(Duration down) {
    if (controller_ == State::Stopping) return;
    controller_ = State::Stopping;
    processes_.terminate(kController, Processes::Termination::Kill, loop_.now(), {}, nullptr);
    fault(down, [this] { start_controller(); });
}

void ProxyFleet::freeze(std::size_t proxy, Duration duration) {
    if (!processes_.is_running(name(proxy))) return;
    const pid_t pid = processes_.pid(name(proxy));
    quota_.suspend(pid);
    fault(duration, [this, pid] { quota_.resume(pid); });
}

void ProxyFleet::kill_many(std::size_t first, std::size_t count, Duration down) {
    for (std::size_t i = 0; i < std::min(count, size()); ++i) kill((first + i) % size(), down);
    kill_controller(down);
}

void ProxyFleet::reset_connections_of(const std::string& process) {
    if (!processes_.is_running(process)) return;
    connection_resets_ += cuts_.reset_connections(processes_.pid(process));
    fault({}, [] {});
}

void ProxyFleet::reset_connections(std::size_t proxy) {
    reset_connections_of(name(proxy));
}

void ProxyFleet::reset_controller_connections() {
    reset_connections_of(kController);
}

void ProxyFleet::fill_controller_disk(Duration duration) {
    if (!processes_.is_running(kController)) return;
    const pid_t pid = processes_.pid(kController);
    Processes::set_disk_full(pid, true);
    fault(duration, [pid] { Processes::set_disk_full(pid, false); });
}

void ProxyFleet::hold(const std::string& address, Duration duration) {
    const auto held = held_ports_.insert(held_ports_.end(), {*parse_address(address), std::nullopt});
    fault(duration, [this, held] { held_ports_.erase(held); });
}

void ProxyFleet::hold_port(std::size_t proxy, Port port, Duration duration) {
    hold(address(proxy, port), duration);
}

void ProxyFleet::hold_controller_port(Port port, Duration duration) {
    hold(at(controller_ip(), port), duration);
}

void ProxyFleet::take_held_ports() {
    for (HeldPort& held : held_ports_) {
        if (held.socket) continue;
        auto opened = ListeningSocket::open(held.address, PortSharing::Exclusive);
        if (auto* socket = std::get_if<ListeningSocket>(&opened)) {
            held.socket.emplace(std::move(*socket));
            ++ports_taken_;
        }
    }
}

void ProxyFleet::cut_next_settings(std::size_t proxy, Duration duration) {
    cut_settings_[proxy] = duration;
}

void ProxyFleet::reload_next_start(std::size_t proxy) {
    reload_at_start_.insert(proxy);
}

// ---- the processor

void ProxyFleet::limit_processors() {
    if (options_.processor_quota > Duration{}) enforce_quota();
}

void ProxyFleet::enforce_quota() {
    quota_.enforce(loop_.now(), processes_.pids());
    loop_.add(loop_.now() + ProcessorQuota::kCheckInterval, [this] { enforce_quota(); });
}

void ProxyFleet::cut(std::size_t proxy, Duration duration) {
    if (!LinkCuts::unavailable_reason().empty() || !processes_.is_running(name(proxy))) return;
    const pid_t pid = processes_.pid(name(proxy));
    cuts_.cut(pid, LinkCuts::Direction::Both, processes_.pids());
    fault(duration, [this, pid] { cuts_.restore(pid, processes_.pids()); });
}

// ---- what happened

bool ProxyFleet::fault_between(Time from, Time to) const {
    return std::any_of(faults_.begin(), faults_.end(), [&](const Span& fault) {
        return fault.from <= to && fault.to + kContactTime >= from;
    });
}

Duration ProxyFleet::observer_delay(Time from, Time to) const {
    Duration delay{};
    for (const Span& stall : stalls_)
        delay += std::max(Duration{}, std::min(to, stall.to) - std::max(from, stall.from));
    return delay;
}

bool ProxyFleet::stop_between(std::size_t proxy, Time from, Time to) const {
    return std::any_of(stops_.begin(), stops_.end(), [&](const PlannedStop& stop) {
        return stop.proxy == proxy && to >= stop.span.from &&
               from <= stop.span.from + kShutdownGrace + kAfterGrace;
    });
}

std::vector<std::string> ProxyFleet::process_violations() {
    std::vector<std::string> found;
    for (const PlannedStop& stop : stops_) {
        if (stop.killed && !fault_between(stop.span.from - kContactTime, stop.span.to))
            found.push_back("KILLED: " + name(stop.proxy) + " did not end within the grace period");
    }
    for (const std::string& exit : processes_.unexpected_exits()) found.push_back("EXIT: " + exit);
    // Of the program's own invariants, whatever faults there were.
    std::istringstream lines(logs());
    for (std::string line; std::getline(lines, line);) {
        if (reports_violation(line)) found.push_back("INVARIANT: " + line);
    }
    return found;
}

std::vector<pid_t> ProxyFleet::proxy_pids() const {
    std::vector<pid_t> pids;
    for (std::size_t i = 0; i < size(); ++i)
        if (processes_.accepts_termination(name(i))) pids.push_back(processes_.pid(name(i)));
    return pids;
}

std::string ProxyFleet::logs() const {
    std::string text = "core\n" + processes_.log(kController);
    for (std::size_t i = 0; i < size(); ++i) text += name(i) + "\n" + processes_.log(name(i));
    return text;
}

std::string ProxyFleet::summary() const {
    return std::to_string(size()) + " proxies, " + std::to_string(stops_.size()) + " planned stops, " +
           std::to_string(reloads_) + " reloads, " + std::to_string(config_version_) + " configurations, " +
           std::to_string(faults_.size()) + " unplanned faults, " + std::to_string(connection_resets_) +
           " connections reset, " + std::to_string(ports_taken_) + " ports taken, " +
           std::to_string(quota_.stops()) + " stops by the quota";
}

}  // namespace martenford::rig
