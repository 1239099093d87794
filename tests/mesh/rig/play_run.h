// The state of one play. play.cpp has its course and waits, play_machines.cpp its processes and endpoints,
// play_clients.cpp heartbeats and client requests, play_faults.cpp the faults.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "mesh/rig/faults.h"
#include "mesh/rig/link_cuts.h"
#include "mesh/rig/play.h"
#include "mesh/rig/play_operator.h"
#include "mesh/rig/processes.h"
#include "mesh/rig/standins.h"

namespace martenford::rig {

constexpr std::size_t kProxies = 6;
/// `grace_s` of the settings: a process that SIGTERM has not ended by then is killed.
constexpr Duration kTerminationGrace = 3s;
constexpr Duration kPollInterval = 5ms;
constexpr const char* kHost = "h.example";

/// Single-threaded: everything runs in its own loop, in run().
class Play final : private OperatorEnvironment {
  public:
    explicit Play(const PlayOptions& options);
    ~Play() = default;
    Play(const Play&) = delete;
    Play& operator=(const Play&) = delete;
    PlayResult run();

  private:
    using Action = std::function<void()>;
    struct Controller {
        std::string ip;
        int generation = 0;    // raised by each replacement
        bool removed = false;  // until its replacement starts
    };
    struct Proxy {
        std::unique_ptr<Endpoint> endpoint;
        int endpoint_incarnation = 0;
        int incarnation = 0;
        bool draining = false, endpoint_running = false;
    };
    struct Client {
        std::size_t proxy = 0;
        bool keeps_alive = false;
        std::unique_ptr<Connection> connection;
        bool busy = false;
    };

    // ---- OperatorEnvironment
    EventLoop& loop() override { return loop_; }
    History& history() override { return result_.history; }
    bool stopping() const override { return stopping_; }
    std::size_t random_below(std::size_t end) override { return random_() % end; }
    void call_controller(const std::string& method, const std::string& path, const std::string& body,
                         Duration timeout, Done done) override;

    // ---- course: play.cpp
    void start();
    void schedule_faults();
    void check_recovery();
    void read_last_config();
    void finish();
    std::string changes_text() const;
    std::size_t acknowledged() const;
    std::string newest_acknowledged_marker() const;
    /// Waits for `condition`; a time-out is a violation.
    void wait_for(const std::string& what, const std::function<bool()>& condition);
    /// Calls `action` once `condition` holds, without blocking.
    void when(const std::function<bool()>& condition, const Action& action);
    void run_for(Duration duration);
    /// Reaps processes, filters new sockets and reads logs, every kPollInterval.
    void poll_processes();
    void take_logs();
    void note(const std::string& text);
    std::int64_t elapsed_ms(Time time) const;

    // ---- processes and endpoints: play_machines.cpp
    std::string controller_name(std::size_t i) const;
    static std::string proxy_name(std::size_t i) { return "proxy-" + std::to_string(i); }
    static std::string proxy_ip(std::size_t i) { return Processes::ip(101 + i); }
    static std::string service_of(std::size_t proxy) { return proxy % 2 ? "vault" : "web"; }
    Machine machine_settings(std::size_t index);
    Machine controller_settings(std::size_t i);
    void start_controller(std::size_t i);
    /// Kills controllers while they start for the first time, some of them twice.
    void disturb_first_start();
    /// Starts one again that was killed in its first start.
    void restart_in_first_start(std::size_t i);
    /// The disk is empty, or the file on it is damaged. The controller does not run.
    void lose_disk(std::size_t i);
    void start_proxy(std::size_t i);
    void start_endpoint(std::size_t i);
    Endpoint::Handling handle(const std::string& instance, const std::string& service,
                              const Endpoint::ReceivedRequest& received);
    void stop_endpoint(std::size_t i);

    // ---- heartbeats and clients: play_clients.cpp
    /// The address of a random controller, which may not be running.
    std::string random_controller();
    /// Sends a request on a new connection and follows up to `redirects` 307.
    void call(const std::string& to, const std::string& method, const std::string& path,
              const std::string& body, Duration timeout, Done done, int redirects);
    void heartbeat_periodically(std::size_t i);
    void send_heartbeat(std::size_t i, std::function<void(bool accepted)> done);
    void send_request(std::size_t client_index);
    void on_response(std::size_t client_index, const std::string& id, Response&& response);
    std::string random_marker();
    /// Returns true if each proxy served the last three requests of each kind.
    bool all_served() const;

    // ---- faults: play_faults.cpp
    void inject(const Fault& fault);
    void restart_controller(const Fault& fault);
    void replace_controller(const Fault& fault);
    void freeze(const Fault& fault);
    void partition(const Fault& fault);
    void restart_many_controllers(const Fault& fault);
    void restart_proxy(const Fault& fault);
    void restart_endpoint(const Fault& fault);
    void restart_proxy_gracefully(const Fault& fault);
    /// Calls `repair` when the fault's time is over, and counts it as repaired.
    void repair_later(const Fault& fault, Action repair);
    void repaired(const Fault& fault);
    void end_controller(std::size_t i, Processes::Termination how, Action ended);
    void kill_all_proxies(Duration down);
    bool none_runs(const std::vector<std::size_t>& controllers) const;
    /// Shuts an endpoint down gracefully: reports draining until that is accepted, serves on for `drain_ms`,
    /// deregisters and stops.
    void drain_endpoint(std::size_t i, Time give_up_at, const Action& stopped);
    void deregister_endpoint(std::size_t i, const Action& stopped);

    const PlayOptions options_;
    std::mt19937_64 random_;
    const std::size_t tolerated_failures_;
    Processes processes_;
    LinkCuts cuts_;
    EventLoop loop_;
    Counters counters_;
    PlayResult result_;
    std::vector<Controller> controllers_;
    std::vector<Proxy> proxies_;
    std::vector<std::unique_ptr<Endpoint>> stopped_endpoints_;
    std::vector<std::unique_ptr<Operator>> operators_;
    std::vector<Client> clients_;
    std::map<std::pair<std::size_t, bool>, int> served_in_a_row_;  // by proxy and idempotence
    std::set<std::pair<std::size_t, std::string>> markers_seen_;   // by proxy
    std::string awaited_marker_;         // all proxies must come to serve it; empty: none yet
    std::set<std::size_t> terminating_;  // controllers
    std::map<std::uint64_t, std::unique_ptr<Connection>> calls_;
    std::uint64_t last_call_ = 0;
    std::vector<std::string> timeouts_, invariant_violations_;
    std::ostringstream transcript_;
    std::uint64_t last_request_ = 0;
    std::size_t last_replacement_ = 0;
    int open_faults_ = 0;
    bool first_boot_ = true, stopping_ = false, reading_ = false;
    const Time started_at_ = EventLoop::monotonic();
    Time recovered_at_{}, next_log_read_{};
};

/// Returns path and body of a client's request.
std::string path_of(const std::string& id, const Request& request);
std::string body_of(const std::string& id, const Request& request);

}  // namespace martenford::rig
