// What each role of the mesh holds, says and spends, by its size: real controllers on loopback addresses, and
// beside them as many simulated proxies as are asked for (and real ones, to compare). Bounded in count and
// time; ends what it started.
#include <getopt.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "figures.h"
#include "processes.h"
#include "simulated_proxy.h"

namespace martenford::scale_test {
namespace {

constexpr std::size_t kMostProxies = 2500;      // of one step, as memory allows: each knows all others
constexpr std::size_t kMostProcesses = 250;     // the machine is shared
constexpr std::size_t kProxiesOfAWorker = 200;  // more would make the worker, not the controller, the limit
constexpr std::size_t kZones = 5;               // of the target
constexpr int kPort = 21700;         // control; below the ports that the system gives away by itself
constexpr int kOwnPort = kPort + 8;  // between the mesh's processes
constexpr std::size_t kSeeds = 3;
constexpr double kInForce = 15;       // s, the target
constexpr double kPatience = 30;      // s for one event until the run goes on without it
constexpr std::size_t kSlopeOf = 3;   // the largest sizes
constexpr std::size_t kWindows = 3;   // of the idle mesh
constexpr double kChurn = 2;          // endpoints replaced a second while that is measured: a
                                      // thousand times the target's rate, to show over the rest
constexpr double kMemoryShare = 0.5;  // of the machine's, left untouched

using Clock = std::chrono::steady_clock;
double seconds(Clock::duration d) {
    return std::chrono::duration<double>(d).count();
}
void pause(double s) {
    ::usleep(static_cast<useconds_t>(s * 1e6));
}

struct Size {
    std::size_t proxies = 0, real = 0, controllers = 3;
    Shape shape;
};

struct Options {
    std::vector<std::size_t> proxies{12, 30, 86}, controllers{3}, services{71}, routes{100};
    std::size_t real = 0, tenants = 12, changes = 5;
    bool own_process = false;
    double window = 6, most = 540;
    std::set<std::string> phases{"idle", "configuration", "churn", "zone", "return"};
    std::string net = "127.77", tsv, controller, proxy;
};

/// What the measuring process tells the workers, and they it.
struct Board {
    std::atomic<double> churn = 0;  ///< endpoints replaced a second, over all proxies
    std::atomic<std::uint64_t> replaced = 0;
    Gauge gauges[kMostProxies];
};

class SharedBoard {
  public:
    SharedBoard() {
        void* at = ::mmap(nullptr, sizeof(Board), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
        if (at == MAP_FAILED) throw std::runtime_error("no shared memory");
        board_ = new (at) Board;
    }
    ~SharedBoard() { ::munmap(board_, sizeof(Board)); }
    SharedBoard(const SharedBoard&) = delete;
    SharedBoard& operator=(const SharedBoard&) = delete;
    Board* operator->() { return board_; }
    Board& operator*() { return *board_; }

  private:
    Board* board_;
};

std::string controller_ip(const Options& options, std::size_t i) {
    return options.net + ".0." + std::to_string(i + 1);
}
std::string proxy_ip(const Options& options, std::size_t i) {
    return options.net + "." + std::to_string(1 + i / 250) + "." + std::to_string(1 + i % 250);
}
std::string real_ip(const Options& options, std::size_t i) {
    return options.net + ".100." + std::to_string(1 + i);
}
std::string zone_name(std::size_t i) {
    return "zone-" + std::to_string(i % kZones);
}

/// A worker: simulated proxies in one process, until it is ended.
[[noreturn]] void work(const Options& options, const Size& size, const std::vector<std::size_t>& numbers,
                       Board& board) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    Loop loop;
    std::mt19937 random{std::random_device{}()};
    std::map<std::size_t, std::unique_ptr<SimulatedProxy>> proxies;
    for (const std::size_t i : numbers) {
        SimulatedProxy::Options one;
        one.node = "proxy-" + std::to_string(i);
        one.gate = proxy_ip(options, i) + ":" + std::to_string(kPort + 2);
        one.service = service_name(i % size.shape.services);
        one.zone = zone_name(i);
        for (std::size_t g = 0; g < std::min(kSeeds, size.controllers); ++g)
            one.controllers.push_back(
                *parse_address(controller_ip(options, g) + ":" + std::to_string(kOwnPort)));
        one.first_tick = std::chrono::milliseconds(random() % 500);
        proxies[i] = std::make_unique<SimulatedProxy>(loop, one, board.gauges[i]);
    }
    // Rare while nothing is asked for: a proxy in a process of its own would seem to wake up twice as often.
    constexpr Duration kStep = 50ms, kLook = 500ms, kBetween = 300ms;
    double due = static_cast<double>(random() % 100) / 100;  // not all workers at once
    Timer churn(loop);
    std::function<void()> step = [&] {
        churn.set(loop.now() + (board.churn > 0 ? kStep : kLook), step);
        due += board.churn * std::chrono::duration<double>(kStep).count() *
               static_cast<double>(numbers.size()) / static_cast<double>(size.proxies);
        for (; due >= 1; due -= 1) {
            SimulatedProxy* proxy = proxies.at(numbers[random() % numbers.size()]).get();
            proxy->end_endpoint();
            loop.add(loop.now() + kBetween, [proxy] { proxy->replace_endpoint(); });
            ++board.replaced;
        }
    };
    step();
    loop.run();
    ::_exit(0);
}

/// What all processes had spent and said at one moment.
struct Snapshot {
    Clock::time_point at;
    std::map<std::string, Spent> spent;
    std::map<std::string, std::map<std::uint64_t, Socket>> held;  // by process, then cookie
    std::set<std::uint64_t> between_controllers;                  // cookies
};

/// A process over a span, or several of a role put together.
struct Load {
    double processor = 0, memory = 0, peak = 0, disk = 0;  // s, MB, MB, bytes
    double in = 0, out = 0, messages_in = 0, messages_out = 0, core_out = 0;
    double connections = 0;
};

using Roles = std::vector<std::pair<std::string, Load>>;

class Step {
  public:
    Step(const Options& options, const Size& size) : options_(options), size_(size) {
        for (std::size_t i = 0; i < size_.controllers; ++i) {
            controllers_.push_back("controller-" + std::to_string(i + 1));
            start_controller(i, true);
        }
    }

    void start_controller(std::size_t i, bool first) {
        const std::string disk = processes_.folder() + "/disk-" + std::to_string(i);
        std::filesystem::create_directories(disk);
        const std::string at = controller_ip(options_, i);
        processes_.write(controllers_[i],
                         settings(controllers_[i], at, first, zone_name(i)) + "data_directory = \"" + disk +
                             "\"\n[listen_addrs]\ncontrol = \"" + at + ":" + std::to_string(kPort) + "\"\n");
        processes_.start(controllers_[i], options_.controller);
    }

    /// The next version, acknowledged. Gives the seconds that it took; NaN where nobody took it in time.
    double change() {
        const auto version = version_ + 1;
        const std::string body = configuration(size_.shape, version, version_);
        const auto begun = Clock::now();
        std::size_t next = 0;
        std::string to = leader_.empty() ? controller_ip(options_, next) : leader_;
        while (seconds(Clock::now() - begun) < kPatience) {
            const Reply reply = post(to, kPort, "/v1/configuration/replace", body, 5);
            if (reply.status == 200) {
                leader_ = to;
                version_ = version;
                return seconds(Clock::now() - begun);
            }
            if (reply.status == 400) throw std::runtime_error("the configuration is refused as invalid");
            if (reply.status == 307 && !reply.location.empty()) {
                to = reply.location;
                continue;
            }
            for (const auto& name : controllers_) {
                if (ended(processes_.pid(name)))
                    throw std::runtime_error(name + " has ended; is another run on these addresses?");
            }
            pause(0.02);
            to = controller_ip(options_, ++next % size_.controllers);
        }
        return std::nan("");
    }

    void start_proxies() {
        const std::size_t workers =
            options_.own_process
                ? size_.proxies
                : std::min(size_.proxies, std::max(kZones, (size_.proxies / kProxiesOfAWorker + kZones - 1) /
                                                               kZones * kZones));
        numbers_.resize(workers);
        for (std::size_t i = 0; i < size_.proxies; ++i) numbers_[i % workers].push_back(i);
        for (std::size_t w = 0; w < workers; ++w) start_worker(w);
        for (std::size_t i = 0; i < size_.real; ++i) {
            const std::string name = "proxy-real-" + std::to_string(i), at = real_ip(options_, i) + ":";
            const auto port = [&](int offset) { return at + std::to_string(kPort + offset) + "\"\n"; };
            const auto number = size_.proxies + i;
            processes_.write(name, settings(name, real_ip(options_, i), true, zone_name(number)) +
                                       "service = \"" + service_name(number % size_.shape.services) +
                                       "\"\napp_address = \"" + port(1) + "[listen_addrs]\ninbound = \"" +
                                       port(2) + "outbound = \"" + port(3) + "readiness = \"" + port(4) +
                                       "control = \"" + port(0));
            processes_.start(name, options_.proxy);
            real_.push_back(name);
        }
    }
    void start_worker(std::size_t w) {
        const pid_t pid = ::fork();
        if (pid < 0) throw std::runtime_error("can't start a worker");
        if (pid == 0) work(options_, size_, numbers_[w], *board_);
        processes_.adopt(worker_name(w), pid);
    }
    std::string worker_name(std::size_t w) const { return "worker-" + std::to_string(w); }

    /// The platform's endpoints beside the real proxies, as far as control goes: a beat every second and a
    /// half.
    void beat() {
        if (real_.empty() || seconds(Clock::now() - beaten_) < 1.5) return;
        beaten_ = Clock::now();
        ++beats_;
        for (std::size_t i = 0; i < real_.size(); ++i) {
            const std::string number = std::to_string(size_.proxies + i);
            post(real_ip(options_, i), kPort, "/v1/instances/instance-" + number + "/heartbeat",
                 R"({"address":")" + real_ip(options_, i) + ":" + std::to_string(kPort + 1) +
                     R"(","node_info":{"service":")" +
                     service_name((size_.proxies + i) % size_.shape.services) +
                     R"(","version":"v1","zone":"z","slots":4},"status":{"state":"ready","call_seq":)" +
                     std::to_string(beats_) + R"(,"cold_left_ms":0}})",
                 1);
        }
    }
    void wait(double s) {
        for (const auto end = Clock::now() + std::chrono::duration<double>(s); Clock::now() < end;) {
            beat();
            pause(0.02);
        }
    }
    /// The seconds until `is` holds for each proxy that counts, and the fraction of proxies for which it
    /// holds at the end.
    std::pair<double, double> until(const std::function<bool(std::size_t, const Gauge&)>& is,
                                    double patience = kPatience) {
        const auto begun = Clock::now();
        for (;;) {
            std::size_t counted = 0, held = 0;
            for (std::size_t i = 0; i < size_.proxies; ++i) {
                if (lost_zone_ && i % kZones == *lost_zone_) continue;
                ++counted;
                held += is(i, board_->gauges[i]);
            }
            const double s = seconds(Clock::now() - begun);
            if (held == counted || s > patience)
                return {held == counted ? s : std::nan(""),
                        counted ? static_cast<double>(held) / static_cast<double>(counted) : 1.0};
            beat();
            pause(0.005);
        }
    }
    std::size_t all() const { return size_.proxies + size_.real; }

    Snapshot snapshot() {
        Snapshot out;
        std::map<std::uint64_t, const std::string*> holder;  // by inode
        std::vector<std::string> names = controllers_;
        for (std::size_t w = 0; w < numbers_.size(); ++w) names.push_back(worker_name(w));
        names.insert(names.end(), real_.begin(), real_.end());
        for (const std::string& name : names) {
            for (const auto inode : held_sockets(processes_.pid(name))) holder[inode] = &name;
        }
        const auto all = sockets();
        out.at = Clock::now();
        for (const std::string& name : names) out.spent[name] = spent(processes_.pid(name));
        std::map<std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>, const std::string*>
            ends;
        for (const auto& [cookie, socket] : all) {
            if (const auto it = holder.find(socket.inode); it != holder.end())
                ends[{socket.local, socket.local_port, socket.remote, socket.remote_port}] = it->second;
        }
        for (const auto& [cookie, socket] : all) {
            const auto it = holder.find(socket.inode);
            if (it == holder.end()) continue;
            out.held[*it->second][cookie] = socket;
            const auto other =
                ends.find({socket.remote, socket.remote_port, socket.local, socket.local_port});
            if (other != ends.end() && it->second->starts_with("controller") &&
                other->second->starts_with("controller"))
                out.between_controllers.insert(cookie);
        }
        return out;
    }
    /// What one process did between two moments. A connection that ended in between is not counted.
    static Load load(const std::string& name, const Snapshot& before, const Snapshot& after) {
        Load out;
        const auto& now = after.spent.at(name);
        const auto then = before.spent.find(name);
        const Spent zero, &was = then == before.spent.end() ? zero : then->second;
        // Started anew in between: it counts from nothing.
        const bool same = now.processor_s >= was.processor_s && now.disk_bytes >= was.disk_bytes;
        out.processor = now.processor_s - (same ? was.processor_s : 0);
        out.disk = now.disk_bytes - (same ? was.disk_bytes : 0);
        out.memory = now.memory_mb;
        out.peak = now.peak_mb;
        const auto held = after.held.find(name);
        if (held == after.held.end()) return out;
        const auto earlier = before.held.find(name);
        out.connections = static_cast<double>(held->second.size());
        for (const auto& [cookie, socket] : held->second) {
            Socket from;
            if (earlier != before.held.end()) {
                if (const auto it = earlier->second.find(cookie); it != earlier->second.end())
                    from = it->second;
            }
            out.in += socket.bytes_in - from.bytes_in;
            out.out += socket.bytes_out - from.bytes_out;
            out.messages_in += socket.messages_in - from.messages_in;
            out.messages_out += socket.messages_out - from.messages_out;
            if (after.between_controllers.contains(cookie)) out.core_out += socket.bytes_out - from.bytes_out;
        }
        return out;
    }
    static Load summed(const std::vector<Load>& all, double by) {
        Load out;
        for (const Load& one : all) {
            for (const auto field : kFields) out.*field += one.*field / by;
        }
        return out;
    }
    static Load middle(const std::vector<Load>& all) {
        Load out;
        for (const auto field : kFields) {
            std::vector<double> values;
            for (const Load& one : all) values.push_back(one.*field);
            out.*field = median(values);
        }
        return out;
    }
    /// By role: one leader, the median follower, a proxy of each kind on average.
    Roles by_role(const Snapshot& before, const Snapshot& after) const {
        Roles out;
        std::vector<Load> followers, workers, real;
        for (std::size_t i = 0; i < controllers_.size(); ++i) {
            const Load one = load(controllers_[i], before, after);
            if (controller_ip(options_, i) == leader_) {
                out.emplace_back("leader", one);
            } else {
                followers.push_back(one);
            }
        }
        if (!followers.empty()) out.emplace_back("follower", middle(followers));
        for (std::size_t w = 0; w < numbers_.size(); ++w)
            workers.push_back(load(worker_name(w), before, after));
        if (size_.proxies) {
            out.emplace_back("simulated proxy", summed(workers, static_cast<double>(size_.proxies)));
            // A worker that uses nearly a full core makes this tool the limit.
            out.emplace_back("busiest worker", *std::max_element(workers.begin(), workers.end(),
                                                                 [](const Load& a, const Load& b) {
                                                                     return a.processor < b.processor;
                                                                 }));
        }
        for (const std::string& name : real_) real.push_back(load(name, before, after));
        if (!real.empty()) out.emplace_back("real proxy", summed(real, static_cast<double>(real.size())));
        return out;
    }

    void kill_controllers() {
        for (const auto& name : controllers_) processes_.kill(name);
    }
    void start_controllers() {
        for (std::size_t i = 0; i < controllers_.size(); ++i) start_controller(i, false);
        leader_.clear();
    }
    /// A zone with a fifth of the proxies and a controller that doesn't lead.
    void lose_zone() {
        std::size_t g = 0;
        while (g + 1 < controllers_.size() && controller_ip(options_, g) == leader_) ++g;
        lost_controller_ = g;
        lost_zone_ = 0;
        processes_.kill(controllers_[g]);
        for (std::size_t w = 0; w < numbers_.size(); w += kZones) processes_.kill(worker_name(w));
    }
    void return_zone() {
        for (std::size_t i = 0; i < size_.proxies; i += kZones) {
            board_->gauges[i].live = 0;
            board_->gauges[i].in_touch = 0;
        }
        start_controller(lost_controller_, false);
        for (std::size_t w = 0; w < numbers_.size(); w += kZones) start_worker(w);
        lost_zone_.reset();
    }
    bool zones_by_worker() const { return numbers_.size() % kZones == 0 && size_.real == 0; }

    Board& board() { return *board_; }
    std::uint32_t version() const { return version_; }
    const Size& size() const { return size_; }

  private:
    static constexpr double Load::*kFields[] = {
        &Load::processor, &Load::memory,      &Load::peak,         &Load::disk,     &Load::in,
        &Load::out,       &Load::messages_in, &Load::messages_out, &Load::core_out, &Load::connections};

    std::string settings(const std::string& name, const std::string& ip, bool first,
                         const std::string& zone) const {
        std::string seeds;
        for (std::size_t i = 0; i < std::min(kSeeds, size_.controllers); ++i)
            seeds += (i ? ", \"" : "\"") + controller_ip(options_, i) + ":" + std::to_string(kPort) + "\"";
        return "node_name = \"" + name + "\"\nrole = \"r\"\nip_address = \"" + ip + "\"\nzone = \"" + zone +
               "\"\nregion = \"region\"\ninternal_ports = [" + std::to_string(kOwnPort) + ", " +
               std::to_string(kOwnPort + 7) + "]\nseed_nodes = [" + seeds +
               "]\nbeat_interval_ms = 1500\nfirst_boot = " + (first ? "true" : "false") +
               "\nactive_contracts = [\"base\", \"tenants\", \"quota\"]\n";
    }

    const Options& options_;
    const Size size_;
    SharedBoard board_;
    Processes processes_;
    std::vector<std::string> controllers_, real_;
    std::vector<std::vector<std::size_t>> numbers_;  // of the proxies, by worker
    std::string leader_;
    std::uint32_t version_ = 0;
    Clock::time_point beaten_{};
    std::uint64_t beats_ = 0;
    std::optional<std::size_t> lost_zone_;
    std::size_t lost_controller_ = 0;
};

/// Rows of both tables, and the phases that bring them.
class Report {
  public:
    /// `low` and `high`: of processor time, over the windows.
    void add_load(const Size& size, const std::string& phase, double s, const Roles& roles, const Roles& low,
                  const Roles& high) {
        for (std::size_t i = 0; i < roles.size(); ++i) {
            const auto& [role, load] = roles[i];
            auto row = start_of(size);
            for (const std::string& text : {phase, role}) row.push_back(text);
            for (const double value :
                 {s, load.processor / s * 100, low[i].second.processor / s * 100,
                  high[i].second.processor / s * 100, load.memory, load.peak, load.connections,
                  load.in / s / 1000, load.out / s / 1000, load.core_out / s / 1000, load.messages_in / s,
                  load.messages_out / s, load.disk / s / 1000})
                row.push_back(cell(value));
            loads.rows.push_back(row);
            const auto key =
                std::tuple(size.shape.services, size.shape.routes, size.controllers, size.real > 0, role);
            if (phase == "idle" && role != "busiest worker")
                idle_[key].push_back({static_cast<double>(size.proxies + size.real), load, s});
        }
    }
    void add_event(const Size& size, const std::string& what, std::size_t count, double acknowledged,
                   double p50, double most, double share, const Roles& cost) {
        auto row = start_of(size);
        row.push_back(what);
        for (const double value : {static_cast<double>(count), acknowledged, p50, most, share * 100})
            row.push_back(cell(value));
        const auto of = [&](const char* role, double Load::*field, double unit) {
            for (const auto& [name, load] : cost)
                if (name == role)
                    return cell(load.*field / unit / static_cast<double>(std::max<std::size_t>(count, 1)));
            return std::string("-");
        };
        row.push_back(of("leader", &Load::processor, 1e-3));
        row.push_back(of("follower", &Load::processor, 1e-3));
        row.push_back(of("simulated proxy", &Load::processor, 1e-3));
        row.push_back(of("leader", &Load::out, 1000));
        row.push_back(of("leader", &Load::core_out, 1000));
        row.push_back(of("simulated proxy", &Load::in, 1000));
        row.push_back(of("leader", &Load::disk, 1000));
        events.rows.push_back(row);
    }
    /// How the idle load rises with the number of proxies.
    Table slopes() const {
        Table out{{"services", "routes", "controllers", "role", "steps", "quantity", "power", "last value",
                   "rise per proxy"},
                  {}};
        for (const auto& [key, points] : idle_) {
            const auto& [services, routes, controllers, real, role] = key;
            const std::pair<const char*, std::function<double(const Load&, double)>> quantities[] = {
                {"processor %", [](const Load& l, double s) { return l.processor / s * 100; }},
                {"memory MB", [](const Load& l, double) { return l.memory; }},
                {"in kB/s", [](const Load& l, double s) { return l.in / s / 1000; }},
                {"out kB/s", [](const Load& l, double s) { return l.out / s / 1000; }},
                {"messages in /s", [](const Load& l, double s) { return l.messages_in / s; }},
                {"connections", [](const Load& l, double) { return l.connections; }}};
            for (const auto& [name, of] : quantities) {
                std::vector<std::pair<double, double>> line;
                for (const auto& point : points) line.emplace_back(point.proxies, of(point.load, point.s));
                // Below, what a process spends by itself hides the slope.
                std::sort(line.begin(), line.end());
                line.erase(line.begin(),
                           line.end() - static_cast<std::ptrdiff_t>(std::min(line.size(), kSlopeOf)));
                const auto fitted = slope(line);
                if (!fitted) continue;
                out.rows.push_back({std::to_string(services), std::to_string(routes),
                                    std::to_string(controllers), role, std::to_string(line.size()), name,
                                    cell(fitted->power), cell(line.back().second), cell(fitted->last_rise)});
            }
        }
        return out;
    }

    Table loads{{"proxies", "real",    "controllers", "services",      "routes",   "tenants",   "phase",
                 "role",    "s",       "cpu%",        "cpu_low",       "cpu_high", "MB",        "peakMB",
                 "conns",   "in_kB/s", "out_kB/s",    "core_out_kB/s", "msg_in/s", "msg_out/s", "disk_kB/s"},
                {}};
    Table events{{"proxies", "real", "controllers", "services", "routes", "tenants", "event", "n", "ack_s",
                  "p50_s", "max_s", "reached%", "leader_ms", "follower_ms", "proxy_ms", "leader_out_kB",
                  "core_out_kB", "proxy_in_kB", "leader_disk_kB"},
                 {}};

  private:
    struct Point {
        double proxies = 0;
        Load load;
        double s = 0;
    };
    static std::vector<std::string> start_of(const Size& size) {
        std::vector<std::string> row;
        for (const std::size_t n : {size.proxies, size.real, size.controllers, size.shape.services,
                                    size.shape.routes, size.shape.tenants})
            row.push_back(std::to_string(n));
        return row;
    }
    std::map<std::tuple<std::size_t, std::size_t, std::size_t, bool, std::string>, std::vector<Point>> idle_;
};

/// What an event cost beyond what the idle mesh spends in the same time.
Roles beyond(Roles spent, const Roles& idle, double idle_s, double s) {
    for (auto& [role, load] : spent) {
        for (const auto& [name, still] : idle) {
            if (name != role) continue;
            for (const auto field : {&Load::processor, &Load::in, &Load::out, &Load::core_out, &Load::disk})
                load.*field = load.*field - still.*field * s / idle_s;
        }
    }
    return spent;
}

/// All phases at one size. False where the mesh did not hold: not everybody knew everybody, or a
/// configuration was not in force everywhere within the target's time.
bool measure(const Options& options, const Size& size, Report& report) {
    const auto wants = [&](const char* phase) { return options.phases.contains(phase); };
    const auto say = [&](const std::string& what) {
        std::cerr << size.proxies << "+" << size.real << " proxies, " << size.controllers << " controllers, "
                  << size.shape.services << " services, " << size.shape.routes << " routes: " << what
                  << std::endl;
    };
    Step step(options, size);
    const double first = step.change();
    if (std::isnan(first)) return say("no leader"), false;
    const auto start = step.snapshot();
    step.start_proxies();
    const auto knows_all = [&](std::size_t, const Gauge& g) {
        return g.live >= step.all() && g.version >= step.version();
    };
    const auto [known, known_share] = step.until(knows_all);
    say("all know all after " + cell(known) + " s (" + cell(known_share * 100) + "%)");
    report.add_event(size, "start", 1, first, std::nan(""), known, known_share,
                     step.by_role(start, step.snapshot()));
    bool holds = known_share == 1;
    // Real proxies don't show what they know.
    if (size.real > 0) step.wait(4);
    step.wait(1.5);  // leases of quotas and what the start left behind

    // Several windows: other work on this machine disturbs one more than their median.
    std::vector<Snapshot> marks{step.snapshot()};
    for (std::size_t i = 0; i < kWindows; ++i) {
        step.wait(options.window / kWindows);
        marks.push_back(step.snapshot());
    }
    const double idle_s = seconds(marks.back().at - marks.front().at) / kWindows;
    Roles idle, low, high;
    for (std::size_t i = 0; i < kWindows; ++i) {
        const Roles one = step.by_role(marks[i], marks[i + 1]);
        if (i == 0) idle = low = high = one;
        for (std::size_t role = 0; role < one.size(); ++role) {
            const double processor = one[role].second.processor;
            low[role].second.processor = std::min(low[role].second.processor, processor);
            high[role].second.processor = std::max(high[role].second.processor, processor);
        }
    }
    for (std::size_t role = 0; role < idle.size(); ++role) {
        std::vector<Load> all;
        for (std::size_t i = 0; i < kWindows; ++i)
            all.push_back(step.by_role(marks[i], marks[i + 1])[role].second);
        idle[role].second = Step::middle(all);
    }
    // Figures of a mesh that never settled have no say in the slopes.
    report.add_load(size, holds ? "idle" : "unsettled", idle_s, idle, low, high);

    if (wants("configuration")) {
        std::vector<double> acknowledged, p50, most;
        double least_share = 1;
        const auto from = step.snapshot();
        std::size_t made = 0;
        for (; made < options.changes && least_share == 1; ++made) {
            const auto begun = Clock::now();
            acknowledged.push_back(step.change());
            const auto version = step.version();
            const auto [s, share] =
                step.until([&](std::size_t, const Gauge& g) { return g.version >= version; },
                           known_share == 1 ? kPatience : kInForce);
            least_share = std::min(least_share, share);
            std::vector<double> times;
            const double zero = seconds(begun.time_since_epoch());
            for (std::size_t i = 0; i < size.proxies; ++i) {
                const Gauge& gauge = step.board().gauges[i];
                if (gauge.version >= version)
                    times.push_back(static_cast<double>(gauge.served_at_ns) / 1e9 - zero);
            }
            p50.push_back(median(times));
            most.push_back(quantile(times, 1));
        }
        const auto to = step.snapshot();
        const double worst = least_share < 1 ? std::nan("") : quantile(most, 1);
        if (size.proxies) {
            report.add_event(size, "configuration", made, median(acknowledged), median(p50), worst,
                             least_share,
                             beyond(step.by_role(from, to), idle, idle_s, seconds(to.at - from.at)));
            say("configuration acknowledged after " + cell(median(acknowledged)) + " s, in force p50 " +
                cell(median(p50)) + " s, max " + cell(worst) + " s (" + cell(least_share * 100) + "%)");
            holds = holds && least_share == 1 && worst <= kInForce;
        }
    }
    // A mesh that never settled has no more to show.
    const bool settled = known_share == 1;
    if (wants("churn") && size.proxies && settled) {
        const auto replaced = step.board().replaced.load();
        const auto from = step.snapshot();
        step.board().churn = kChurn;
        step.wait(options.window);
        step.board().churn = 0;
        const auto to = step.snapshot();
        const double s = seconds(to.at - from.at);
        const auto spent = step.by_role(from, to);
        report.add_load(size, "churn", s, spent, spent, spent);
        report.add_event(size, "endpoint replaced", step.board().replaced - replaced, std::nan(""),
                         std::nan(""), std::nan(""), 1, beyond(spent, idle, idle_s, s));
        step.wait(0.5);
    }
    if (wants("zone") && step.zones_by_worker() && size.controllers >= 3 && holds) {
        const auto lost = (size.proxies + kZones - 1) / kZones;
        step.lose_zone();
        const auto [s, share] =
            step.until([&](std::size_t, const Gauge& g) { return g.live <= size.proxies - lost; });
        report.add_event(size, "zone lost: silent at all", 1, std::nan(""), std::nan(""), s, share, {});
        step.return_zone();
        const auto [back, back_share] = step.until(knows_all);
        report.add_event(size, "zone back: all know all", 1, std::nan(""), std::nan(""), back, back_share,
                         {});
        say("a zone lost is known after " + cell(s) + " s, back after " + cell(back) + " s");
        step.wait(0.5);
    }
    if (wants("return") && settled) {
        step.kill_controllers();
        step.until([](std::size_t, const Gauge& g) { return g.in_touch == 0; }, 3);
        const auto begun = Clock::now();
        step.start_controllers();
        const auto [s, share] = step.until([&](std::size_t, const Gauge& g) {
            return g.in_touch >= size.controllers && g.live >= step.all();
        });
        const auto acknowledged = step.change();
        const auto to = step.snapshot();
        // Processes started anew count from nothing, the proxies as in an idle span.
        auto cost = step.by_role(Snapshot{begun, {}, {}, {}}, to);
        std::erase_if(cost,
                      [](const auto& role) { return role.first != "leader" && role.first != "follower"; });
        report.add_event(size, "all controllers killed, all back", 1, acknowledged, std::nan(""), s, share,
                         cost);
        say("all controllers killed: all back after " + cell(s) + " s (" + cell(share * 100) + "%)");
    }
    return holds;
}

std::optional<std::vector<std::size_t>> numbers(const std::string& text, std::size_t least,
                                                std::size_t most) {
    std::vector<std::size_t> out;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
        if (word.empty() || word.size() > 6 || word.find_first_not_of("0123456789") != word.npos)
            return std::nullopt;
        const auto n = static_cast<std::size_t>(std::stoul(word));
        if (n < least || n > most) return std::nullopt;
        out.push_back(n);
    }
    if (out.empty()) return std::nullopt;
    return out;
}

constexpr char kHelp[] =
    "simulated: load of the mesh's control plane by its size. Starts controllers and simulated proxies on "
    "loopback.\n"
    "  --proxies LIST        simulated proxies in each step (12,30,86)\n"
    "  --real N             real proxies beside them (0)\n"
    "  --own-process        each simulated proxy in a process of its own\n"
    "  --controllers LIST    (3)   --services LIST (71)   --routes LIST (100)   --tenants N (12)\n"
    "  --phases LIST        of idle,configuration,churn,zone,return (all; idle always)\n"
    "  --changes N          configurations put in each step (5)\n"
    "  --seconds S          of a measured span, the idle one in three windows (6)\n"
    "  --most-seconds S     no step begins later (540)\n"
    "  --net A.B            first half of the loopback addresses (127.77)\n"
    "  --tsv PREFIX         rows are added to PREFIX-loads.tsv and PREFIX-events.tsv\n"
    "  --controller PROGRAM  --proxy PROGRAM   (beside this program)\n";

int main_of(int argc, char** argv) {
    Options options;
    const auto here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    for (const auto& folder : {here, here.parent_path()}) {
        if (options.controller.empty() && std::filesystem::exists(folder / "controller"))
            options.controller = folder / "controller";
        if (options.proxy.empty() && std::filesystem::exists(folder / "proxy"))
            options.proxy = folder / "proxy";
    }
    static const option known[] = {{"help", no_argument, nullptr, 'h'},
                                   {"proxies", required_argument, nullptr, 's'},
                                   {"real", required_argument, nullptr, 'r'},
                                   {"own-process", no_argument, nullptr, 'o'},
                                   {"controllers", required_argument, nullptr, 'g'},
                                   {"services", required_argument, nullptr, 'v'},
                                   {"routes", required_argument, nullptr, 'u'},
                                   {"tenants", required_argument, nullptr, 't'},
                                   {"phases", required_argument, nullptr, 'p'},
                                   {"changes", required_argument, nullptr, 'c'},
                                   {"seconds", required_argument, nullptr, 'w'},
                                   {"most-seconds", required_argument, nullptr, 'm'},
                                   {"net", required_argument, nullptr, 'n'},
                                   {"tsv", required_argument, nullptr, 'f'},
                                   {"controller", required_argument, nullptr, 'G'},
                                   {"proxy", required_argument, nullptr, 'S'},
                                   {nullptr, 0, nullptr, 0}};
    bool good = true;
    for (int given = 0; (given = getopt_long(argc, argv, "h", known, nullptr)) != -1;) {
        const std::string text = optarg ? optarg : "";
        const auto list = [&](std::vector<std::size_t>& to, std::size_t least, std::size_t most) {
            if (auto read = numbers(text, least, most)) {
                to = *read;
            } else {
                good = false;
            }
        };
        const auto one = [&](auto& to, std::size_t least, std::size_t most) {
            if (const auto read = numbers(text, least, most); read && read->size() == 1) {
                to = static_cast<std::remove_reference_t<decltype(to)>>(read->front());
            } else {
                good = false;
            }
        };
        switch (given) {
            case 's':
                list(options.proxies, 0, kMostProxies);
                break;
            case 'r':
                one(options.real, 0, kMostProcesses);
                break;
            case 'o':
                options.own_process = true;
                break;
            case 'g':
                list(options.controllers, 1, 15);
                break;
            case 'v':
                list(options.services, 1, 1000);
                break;
            case 'u':
                list(options.routes, 1, 5000);
                break;
            case 't':
                one(options.tenants, 0, 1000);
                break;
            case 'c':
                one(options.changes, 1, 1000);
                break;
            case 'w':
                one(options.window, 1, 600);
                break;
            case 'm':
                one(options.most, 1, 3600);
                break;
            case 'n':
                options.net = text;
                break;
            case 'f':
                options.tsv = text;
                break;
            case 'G':
                options.controller = text;
                break;
            case 'S':
                options.proxy = text;
                break;
            case 'p': {
                options.phases.clear();
                std::istringstream words(text);
                for (std::string word; std::getline(words, word, ',');) options.phases.insert(word);
                break;
            }
            case 'h':
                std::cout << kHelp;
                return 0;
            default:
                good = false;
        }
    }
    if (!good || optind != argc || !options.net.starts_with("127.") ||
        !parse_address(options.net + ".0.1:1")) {
        std::cerr << kHelp;
        return 2;
    }
    if (options.own_process &&
        *std::max_element(options.proxies.begin(), options.proxies.end()) + options.real > kMostProcesses) {
        std::cerr << "simulated: " << kMostProcesses << " processes are the most\n";
        return 2;
    }
    const auto begun = Clock::now();
    Report report;
    int broken = 0;
    bool stopped = false;
    for (const auto controllers : options.controllers) {
        for (const auto services : options.services) {
            for (const auto routes : options.routes) {
                for (const auto proxies : options.proxies) {
                    if (stopped || seconds(Clock::now() - begun) > options.most) {
                        std::cerr << proxies << " proxies: not run\n";
                        continue;
                    }
                    std::ifstream meminfo("/proc/meminfo");
                    std::map<std::string, double> memory;
                    std::string name, unit;
                    for (double kb = 0; meminfo >> name >> kb && std::getline(meminfo, unit);)
                        memory[name] = kb;
                    if (memory["MemAvailable:"] < kMemoryShare * memory["MemTotal:"]) {
                        std::cerr << proxies << " proxies: not run, the machine's memory is taken\n";
                        continue;
                    }
                    const Size size{proxies, options.real, controllers, {services, routes, options.tenants}};
                    broken += measure(options, size, report) ? 0 : 1;
                    // One step past the first that didn't hold shows how it goes on; more shows nothing.
                    stopped = broken >= 2;
                }
            }
        }
    }
    std::cout << "Load by role (a proxy's: the mean of all)\n" << report.loads.text();
    std::cout << "\nEvents; costs are those of one, beyond the idle mesh's\n" << report.events.text();
    if (const Table slopes = report.slopes(); !slopes.rows.empty())
        std::cout << "\nSlopes of the idle mesh by proxies\n" << slopes.text();
    if (!options.tsv.empty()) {
        for (const auto& [table, suffix] :
             {std::pair(&report.loads, "-loads.tsv"), std::pair(&report.events, "-events.tsv")}) {
            const std::string path = options.tsv + suffix;
            const bool fresh = !std::filesystem::exists(path);
            std::ofstream(path, std::ios::app) << table->tsv(fresh);
        }
    }
    return 0;
}

}  // namespace
}  // namespace martenford::scale_test

int main(int argc, char** argv) try {
    return martenford::scale_test::main_of(argc, argv);
} catch (const std::exception& error) {
    std::cerr << "simulated: " << error.what() << '\n';
    return 1;
}
