// A controller and real proxies of one service, each with an endpoint that the test supplies: planned stops,
// reloads and configuration changes, and unplanned faults beside them. Knows when each of these was, so that
// a test can judge what its clients saw.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/listening_socket.h"
#include "mesh/rig/link_cuts.h"
#include "mesh/rig/processes.h"
#include "mesh/rig/processor_quota.h"
#include "mesh/rig/standins.h"

namespace martenford::rig {

/// `grace_s` of the settings: from SIGTERM to SIGKILL.
constexpr Duration kShutdownGrace = 3s;
/// An unplanned fault is near a request from so long before it was sent: `contact_ms` of the settings.
constexpr Duration kContactTime = 1s;

struct Span {
    Time from{}, to = Time::max();
};

/// What a test supplies of its deployment.
struct FleetOptions {
    std::size_t proxies = 4;
    std::string service;
    /// Returns a configuration, as the operator sends it, of this version on top of the one before.
    std::function<std::string(unsigned version)> config;
    /// Returns the next heartbeat of the endpoint beside a proxy.
    std::function<Heartbeat(std::size_t proxy)> heartbeat;
    /// Processor time of each process in a ProcessorQuota::kPeriod, once all serve; 0: no quota.
    Duration processor_quota{};
};

class ProxyFleet {
  public:
    explicit ProxyFleet(FleetOptions options);
    ~ProxyFleet();
    ProxyFleet(const ProxyFleet&) = delete;
    ProxyFleet& operator=(const ProxyFleet&) = delete;

    /// Returns once a configuration was accepted and heartbeats are sent. Throws std::runtime_error if that
    /// takes too long.
    void start();
    void run_for(Duration duration);
    /// Throws std::runtime_error if the condition does not come true within 20 s.
    void wait_for(const std::string& what, const std::function<bool()>& condition);
    /// Whether all proxies run, no unplanned fault is under way and no configuration change is
    /// unacknowledged.
    [[nodiscard]] bool is_calm() const { return unsettled().empty(); }
    /// What is missing for that, for people; empty if nothing is.
    [[nodiscard]] std::string unsettled() const;

    // ---- planned
    /// SIGTERM; the proxy is started again once it has ended.
    void restart_by_plan(std::size_t proxy);
    /// The same for the controller, if it answers calls: before that it may not handle signals yet.
    void restart_controller_by_plan();
    /// SIGHUP, if the proxy runs or ends.
    void reload(std::size_t proxy);
    /// Sends a new configuration until it is acknowledged. Does nothing while another one is under way.
    void change_config();
    // ---- unplanned
    void kill(std::size_t proxy, Duration down);
    void freeze(std::size_t proxy, Duration duration);
    void cut(std::size_t proxy, Duration duration);
    void kill_controller(Duration down);
    /// Kills `count` proxies from this one on, and the controller, at the same moment.
    void kill_many(std::size_t first, std::size_t count, Duration down);
    /// The connections between proxies, and to the controller, are reset on this machine.
    void reset_connections(std::size_t proxy);
    void reset_controller_connections();
    /// The controller's disk refuses every write.
    void fill_controller_disk(Duration duration);
    /// Another process takes this port of the proxy, or of the controller, as soon as it is free, and holds
    /// it until `duration` is over.
    void hold_port(std::size_t proxy, Port port, Duration duration);
    void hold_controller_port(Port port, Duration duration);
    /// The next start of the proxy finds the first half of its settings file; the rest comes after
    /// `duration`.
    void cut_next_settings(std::size_t proxy, Duration duration);
    /// SIGHUP to the proxy at the first moment of its next start at which a program can handle it.
    void reload_next_start(std::size_t proxy);
    /// Enforces the processor quota from now on.
    void limit_processors();
    /// Notes an unplanned fault, and calls `repair` when it is over.
    void fault(Duration duration, std::function<void()> repair);

    [[nodiscard]] bool fault_between(Time from, Time to) const;
    /// How long in this span the test itself stood still: what it saw then may have come so much earlier.
    [[nodiscard]] Duration observer_delay(Time from, Time to) const;
    /// Whether the proxy was under a planned stop, or had been within the time after it, in this span.
    [[nodiscard]] bool stop_between(std::size_t proxy, Time from, Time to) const;
    /// Processes that did not end as they should, and invariants that a program reported as violated.
    [[nodiscard]] std::vector<std::string> process_violations();
    /// Whether a process did not end as it should. It is not started again: a test stops here.
    [[nodiscard]] bool has_unexpected_exit() const { return !processes_.unexpected_exits().empty(); }
    /// The proxies that have reached main(), in any order. Before, a process has the memory of this test.
    [[nodiscard]] std::vector<pid_t> proxy_pids() const;
    /// The logs of all processes.
    [[nodiscard]] std::string logs() const;
    [[nodiscard]] EventLoop& loop() { return loop_; }
    [[nodiscard]] std::string address(std::size_t proxy, Port port) const {
        return at(proxy_ip(proxy), port);
    }
    [[nodiscard]] std::size_t size() const { return proxies_.size(); }
    [[nodiscard]] static std::string name(std::size_t proxy) { return "proxy-" + std::to_string(proxy); }
    /// Counts of what was done to the processes, for people.
    [[nodiscard]] std::string summary() const;

  private:
    struct PlannedStop {
        std::size_t proxy = 0;
        Span span;
        bool killed = false;
    };
    /// A port that another process wants, or has.
    struct HeldPort {
        Address address;
        std::optional<ListeningSocket> socket;
    };
    /// Starting: it may not handle signals yet.
    enum class State { Starting, Running, Stopping };

    static std::string proxy_ip(std::size_t i) { return Processes::ip(101 + i); }
    static std::string controller_ip() { return Processes::ip(1); }
    Machine machine(const std::string& name, const std::string& ip) const;
    void start_controller();
    void start_proxy(std::size_t i);
    void enforce_quota();
    void reset_connections_of(const std::string& process);
    void hold(const std::string& address, Duration duration);
    void take_held_ports();
    void signal_once_handled(const std::string& process);
    void poll();
    void send_heartbeats();
    void send_config();
    /// Finds out whether a controller that was started answers calls.
    void ask_controller();
    void call(const std::string& to, const std::string& request, Connection::Done done);

    const FleetOptions options_;
    Processes processes_;
    LinkCuts cuts_;
    ProcessorQuota quota_;
    EventLoop loop_;
    std::vector<State> proxies_;
    std::list<Connection> connections_;
    std::size_t open_faults_ = 0, reloads_ = 0, connection_resets_ = 0;
    std::vector<Span> faults_;  // unplanned
    std::vector<Span> stalls_;  // of the test
    Time polled_at_{};
    std::vector<PlannedStop> stops_;
    std::list<HeldPort> held_ports_;
    std::map<std::size_t, Duration> cut_settings_;  // by proxy: for how long its next start finds half a file
    std::set<std::size_t> reload_at_start_;         // proxies
    std::size_t ports_taken_ = 0;
    unsigned config_version_ = 0;  // that was sent last
    bool configured_ = false, config_pending_ = false, config_in_flight_ = false;
    State controller_ = State::Starting;
    bool controller_asked_ = false;
};

}  // namespace martenford::rig
