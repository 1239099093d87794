#include "mesh/rig/play.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <random>
#include <sstream>

#include "mesh/rig/link_cuts.h"
#include "mesh/rig/processes.h"
#include "mesh/rig/standins.h"
#include "mesh_config/json_reader.h"

namespace martenford::rig {

namespace {

using mesh_config::Json;

constexpr std::size_t kProxies = 6;
constexpr Duration kGrace = 3s, kCatchUp = 2s;
constexpr Duration kBeat = 500ms;
constexpr Duration kTurn = 5ms;
constexpr Duration kLogs = 20ms;        // lines of logs are stamped so exactly
constexpr Duration kSilence = 1s;       // after which a caller goes elsewhere
constexpr Duration kDeadline = 3s;      // of a request
constexpr Duration kOrderGivenUp = 8s;  // an operator then goes by what it reads
constexpr Duration kDrain = 300ms;      // an endpoint serves on for so long after it said that it leaves
constexpr const char* kHost = "h.example";

std::string hexadecimal(std::uint32_t version) {
    std::ostringstream out;
    out << std::hex << std::setw(8) << std::setfill('0') << version;
    return out.str();
}

class Play;

/// Sends changes one after another, as the platform's page says that operators do.
class Operator {
  public:
    Operator(Play& play, int number) : play_(play), number_(number) {}
    void go() { read(); }
    bool idle() const { return idle_; }
    std::size_t acknowledged = 0;
    Duration longest{};

  private:
    struct Draft {
        std::size_t order = 0;  // in the history
        std::string path, body;
        Time give_up{};
        int tries = 0;
    };
    void read();
    void change(const Read& base, const Json& document);
    void send(std::shared_ptr<Draft> draft, Duration pause);
    void settled(std::shared_ptr<Draft> draft, int status);
    void send_again(std::shared_ptr<Draft> draft);
    void later(Duration pause, std::function<void()> what);

    Play& play_;
    const int number_;
    int changes_ = 0;
    bool idle_ = true;
};

class Play {
  public:
    explicit Play(const PlayOptions& options)
        : options_(options), random_(options.seed * 7919), cuts_(mesh_ports(), {mesh_port()}) {
        borne_ = options.controllers >= 5 ? 2 : 1;
        for (std::size_t i = 0; i < options.controllers; ++i) cores_.push_back({processes_.ip(i + 1)});
        proxies_.resize(kProxies);
    }

    Outcome run() {
        begin();
        const Time first = loop_.now();
        FaultOptions wanted;
        wanted.controllers = cores_.size();
        wanted.proxies = kProxies;
        wanted.borne = borne_;
        wanted.span = options_.span;
        wanted.catch_up = kCatchUp;
        const std::string unable = LinkCuts::unable();
        wanted.cuts = unable.empty();
        wanted.planned = history().planned = options_.planned;
        if (!unable.empty()) outcome_.kinds = "no link can be cut here: " + unable + ";";
        for (const Fault& fault : draw_faults(options_.seed, wanted)) {
            ++open_faults_;
            outcome_.kinds += (outcome_.kinds.empty() ? "" : " ") + std::string(name_of(fault.kind));
            loop_.add(first + fault.at, [this, fault] { inject(fault); });
        }
        run_for(options_.span);
        until("faults that are mended", [this] { return open_faults_ == 0; });
        const Time mended = loop_.now();
        finish();
        outcome_.settled = settled_at_ - mended;
        close();
        return std::move(outcome_);
    }

    // ---- for the operators

    Loop& loop() { return loop_; }
    History& history() { return outcome_.history; }
    bool stopping() const { return stopping_; }
    std::size_t below(std::size_t end) { return random_() % end; }
    /// One of the controllers' machines, as a list names them that is not always up to date.
    std::string control() { return at(cores_[below(cores_.size())].ip, Port::Control); }
    /// A call by whoever follows 307, twice at most.
    void call(const std::string& to, const std::string& verb, const std::string& path,
              const std::string& body, Duration limit, std::function<void(Said&&)> done, int follows = 2) {
        const std::uint64_t key = ++last_call_;
        Connection& line = *(calls_[key] = std::make_unique<Connection>(loop_, to));
        const std::string fields = body.empty() ? "" : "Content-Type: application/json\r\n";
        line.ask(request_of(verb, path, "core", fields, body), limit,
                 [this, key, verb, path, body, limit, done, follows](Said&& said) {
                     loop_.add(loop_.now(), [this, key] { calls_.erase(key); });
                     const std::string location = said.field("Location");
                     if (said.status == 307 && follows > 0 && location.starts_with("http://")) {
                         const auto end = location.find('/', 7);
                         call(location.substr(7, end - 7), verb, path, body, limit, done, follows - 1);
                     } else {
                         done(std::move(said));
                     }
                 });
    }

  private:
    struct Core {
        std::string ip;
        int generation = 0;
        bool gone = false;  // another one will replace it
    };
    struct Proxy {
        std::unique_ptr<Endpoint> endpoint;
        int life = 0;   // incarnation of its endpoint
        int lives = 0;  // number of starts of the proxy
        bool draining = false, there = false;
    };
    struct Client {
        std::size_t proxy = 0;
        bool keeps = false;
        std::unique_ptr<Connection> line;
        bool busy = false;
    };

    static int mesh_port() { return kPorts + static_cast<int>(Port::Mesh); }
    static std::set<int> mesh_ports() { return {mesh_port(), kPorts + static_cast<int>(Port::Inbound)}; }
    std::string core_name(std::size_t i) const {
        return "core-" + std::to_string(i) + "-" + std::to_string(cores_[i].generation);
    }
    static std::string proxy_name(std::size_t i) { return "proxy-" + std::to_string(i); }
    std::string proxy_ip(std::size_t i) const { return processes_.ip(101 + i); }
    static std::string service_of(std::size_t proxy) { return proxy % 2 ? "vault" : "web"; }
    static std::string zone_of(std::size_t machine) { return "zone-" + std::to_string(machine % 3); }

    Machine machine_of(std::size_t index) {
        Machine machine;
        machine.zone = zone_of(index);
        machine.region = "region";
        machine.top =
            "machine_class = \"m\"\nbeat_interval_ms = 500\nactive_contracts = [\"base\", \"drain\", "
            "\"config\"]\nbounds = [\"contact_ms=3000\", \"ack_ms=5000\", \"catch_up_s=2\", "
            "\"drain_ms=300\", \"grace_s=3\", \"config_apply_ms=2500\"]\n";
        machine.tables =
            "[zones]\nzone-0 = \"region\"\nzone-1 = \"region\"\nzone-2 = \"region\"\n"
            "[fault_tolerance]\nmachines = " +
            std::to_string(borne_) + "\nzones = 0\nregions = 0\n";
        // The operator's list as it is: three of it, the same at the first start.
        std::vector<std::size_t> order(cores_.size());
        for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
        if (!first_boot_) {
            for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[below(i)]);
        }
        for (const std::size_t i : order) {
            if (!cores_[i].gone && machine.seeds.size() < 3)
                machine.seeds.push_back(at(cores_[i].ip, Port::Control));
        }
        return machine;
    }
    void start_core(std::size_t i) {
        Machine machine = machine_of(i);
        machine.name = core_name(i);
        machine.ip = cores_[i].ip;
        machine.first_boot = first_boot_;
        machine.top += "loss_counted = true\nserves = [\"control_plane\"]\n";
        processes_.start(machine);
    }
    void start_proxy(std::size_t i) {
        Machine machine = machine_of(i);
        machine.name = proxy_name(i);
        machine.ip = proxy_ip(i);
        machine.first_boot = first_boot_;
        machine.service = service_of(i);
        ++proxies_[i].lives;
        machine.top += "loss_counted = false\nserves = [\"sidecar\"]\n";
        processes_.start(machine);
    }
    void start_endpoint(std::size_t i) {
        Proxy& proxy = proxies_[i];
        if (proxy.endpoint) past_.push_back(std::move(proxy.endpoint));
        const std::string id = "i-" + std::to_string(i) + "-" + std::to_string(++proxy.life);
        proxy.draining = false;
        proxy.there = true;
        proxy.endpoint = std::make_unique<Endpoint>(
            loop_, id, at(proxy_ip(i), Port::App),
            [this, id, service = service_of(i)](const Endpoint::Asked& asked) {
                const auto request = history().requests.find(asked.id);
                const bool intact = request != history().requests.end() &&
                                    asked.path == path_of(asked.id, request->second) &&
                                    asked.body == body_of(asked.id, request->second) &&
                                    request->second.repeatable == (service == "web");
                Endpoint::Work work{echo_of(asked.id, id), 1ms * static_cast<int>(below(30)), false};
                if (below(25) == 0) work.lasts = 400ms;
                work.breaks = below(60) == 0;
                history().runs.push_back({asked.id, id, intact, work.breaks});
                return work;
            },
            counters_);
    }

    // ---- the course of it

    void begin() {
        for (std::size_t i = 0; i < cores_.size(); ++i) start_core(i);
        for (std::size_t i = 0; i < kProxies; ++i) {
            start_proxy(i);
            start_endpoint(i);
            beat(i);
        }
        reap();
        for (int i = 0; i < 2; ++i) {
            operators_.push_back(std::make_unique<Operator>(*this, i));
            operators_.back()->go();
        }
        until("a first configuration", [this] { return acknowledged() > 0; });
        first_boot_ = false;
        for (std::size_t i = 0; i < kProxies; ++i) {
            for (const bool keeps : {false, true}) {
                clients_.push_back({i, keeps, nullptr, false});
            }
        }
        for (std::size_t i = 0; i < clients_.size(); ++i) ask(i);
        until("service before the faults", [this] { return serves(); });
    }
    void finish() {
        // Served by each proxy anew, and changes taken anew.
        served_.clear();
        const std::size_t before = acknowledged();
        until("service after the faults", [this] { return serves(); });
        until("an order that is taken after the faults", [this, before] { return acknowledged() > before; });
        wanted_mark_ = newest_acknowledged();
        until("the newest change at every proxy", [this] {
            for (std::size_t i = 0; i < kProxies; ++i)
                if (!marks_seen_.contains({i, wanted_mark_})) return false;
            return true;
        });
        settled_at_ = loop_.now();
        stopping_ = true;
        until("callers that rest", [this] {
            return std::all_of(operators_.begin(), operators_.end(),
                               [](const auto& o) { return o->idle(); }) &&
                   std::none_of(clients_.begin(), clients_.end(), [](const auto& c) { return c.busy; });
        });
        // What was handed on may still run.
        run_for(500ms);
        read_back();
    }
    void read_back() {
        until("the configuration that is read back", [this] {
            if (!reading_) {
                reading_ = true;
                call(control(), "GET", "/v1/configuration/read", "", kSilence,
                     [this, sent = loop_.now()](Said&& said) {
                         reading_ = false;
                         if (said.status == 200) history().last = read_of(said, sent);
                     });
            }
            return history().last.status == 200;
        });
    }
    void close() {
        History& history = this->history();
        history.ended_alone = processes_.ended_alone;
        outcome_.violations = violations(history);
        outcome_.violations.insert(outcome_.violations.end(), in_vain_.begin(), in_vain_.end());
        outcome_.acknowledged = acknowledged();
        for (const auto& each : operators_)
            outcome_.longest_order = std::max(outcome_.longest_order, each->longest);
        for (const auto& [id, request] : history.requests) outcome_.served += request.status == 200;
        take_logs();
        outcome_.course = notes_.str() + orders_text();
        for (Proxy& proxy : proxies_) proxy.endpoint->end();
        run_for(kTurn);
        clients_.clear();
        calls_.clear();
        past_.clear();
        proxies_.clear();
    }
    std::string orders_text() const {
        std::ostringstream out;
        const auto ms = [this](Time time) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(time - began_).count();
        };
        for (const Order& order : outcome_.history.orders) {
            out << order.mark << " " << order.version << " on " << order.base << ":";
            for (const Sending& sending : order.sendings)
                out << " " << sending.status << " (" << ms(sending.sent) << " to " << ms(sending.answered)
                    << " ms)";
            out << "\n";
        }
        return out.str();
    }

  public:
    static Read read_of(const Said& said, Time sent) {
        Read read{sent, Loop::monotonic(), said.status, 0, {}};
        const Json document = Json::parse(said.body, nullptr, false);
        if (said.status != 200 || document.is_discarded()) return read;
        read.version =
            static_cast<std::uint32_t>(std::stoul(document.value("version", std::string("0")), nullptr, 16));
        for (const auto& listener : document.value("listeners", Json::array())) {
            for (const auto& rule : listener.value("rule_set", Json::array())) {
                const auto name = rule.value("name", std::string());
                if (name.starts_with("mark-")) read.marks.insert(name);
            }
        }
        return read;
    }

  private:
    // ---- endpoints and clients

    void beat(std::size_t i) {
        if (proxies_.empty()) return;
        Proxy& proxy = proxies_[i];
        loop_.add(loop_.now() + kBeat, [this, i] { beat(i); });
        if (proxy.there) tell(i, [](bool) {});
    }
    void tell(std::size_t i, std::function<void(bool)> told) {
        Proxy& proxy = proxies_[i];
        call(
            at(proxy_ip(i), Port::Control), "POST", "/v1/instances/" + proxy.endpoint->id() + "/heartbeat",
            proxy.endpoint->beat(service_of(i), proxy.draining ? "draining" : "ready"), kSilence,
            [told](Said&& said) { told(said.status / 100 == 2); }, 0);
    }

    void ask(std::size_t number) {
        if (stopping_) return;
        Client& client = clients_[number];
        const std::string id = std::to_string(++last_request_);
        const std::size_t drawn = below(5);
        const bool repeatable = drawn < 3;
        Request& request = history().requests[id];
        if (drawn == 0) request.mark = some_mark();
        request.repeatable = repeatable;
        request.sent = loop_.now();
        request.life = proxy_name(client.proxy) + " life " + std::to_string(proxies_[client.proxy].lives);
        if (!client.line || !client.keeps)
            client.line = std::make_unique<Connection>(loop_, at(proxy_ip(client.proxy), Port::Outbound));
        client.busy = true;
        const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(kDeadline).count();
        client.line->ask(
            request_of(repeatable ? "GET" : "POST", path_of(id, request), kHost,
                       "Attempt-Id: " + id + "\r\nTime-Remaining: " + std::to_string(deadline) + "\r\n",
                       body_of(id, request), client.keeps),
            kDeadline + 500ms, [this, number, id](Said&& said) { asked(number, id, std::move(said)); });
    }
    void asked(std::size_t number, const std::string& id, Said&& said) {
        Client& client = clients_[number];
        client.busy = false;
        Request& request = history().requests[id];
        request.status = said.status;
        request.ended = loop_.now();
        request.answered_id = said.field("Attempt-Id");
        request.seal = said.field("Server-Seal");
        request.body = std::move(said.body);
        const bool served = said.status == 200;
        if (request.mark.empty()) {
            auto& row = served_[{client.proxy, request.repeatable}];
            row = served ? row + 1 : 0;
        } else if (served) {
            marks_seen_.insert({client.proxy, request.mark});
        }
        const bool answered = served || said.status == 404;
        const Duration pause = answered ? 1ms * static_cast<int>(10 + below(40)) : 150ms;
        loop_.add(loop_.now() + pause, [this, number] { ask(number); });
    }
    static std::string path_of(const std::string& id, const Request& request) {
        return (!request.mark.empty() ? "/" + request.mark
                : request.repeatable  ? "/web"
                                      : "/order") +
               "/" + id;
    }
    static std::string body_of(const std::string& id, const Request& request) {
        return request.repeatable ? "" : "order " + id;
    }
    /// One of the last changes, whether or not it was taken; the one that all must come to serve by.
    std::string some_mark() {
        if (!wanted_mark_.empty()) return wanted_mark_;
        const auto& orders = history().orders;
        return orders[orders.size() - 1 - below(std::min<std::size_t>(orders.size(), 6))].mark;
    }
    std::string newest_acknowledged() const {
        const Order* newest = nullptr;
        for (const Order& order : outcome_.history.orders) {
            if (newest && order.version < newest->version) continue;
            for (const Sending& sending : order.sendings)
                if (sending.status == 200) newest = &order;
        }
        return newest ? newest->mark : std::string();
    }
    /// Each proxy has served a few of both kinds in a row.
    bool serves() {
        for (std::size_t i = 0; i < kProxies; ++i) {
            for (const bool repeatable : {false, true}) {
                const auto row = served_.find({i, repeatable});
                if (row == served_.end() || row->second < 3) return false;
            }
        }
        return true;
    }
    std::size_t acknowledged() const {
        std::size_t all = 0;
        for (const auto& each : operators_) all += each->acknowledged;
        return all;
    }

    // ---- faults

    void inject(const Fault& fault) {
        using enum FaultKind;
        const std::size_t i = fault.machine;
        note("FAULT " + std::string(name_of(fault.kind)) + " " + std::to_string(i) + " for " +
             std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(fault.lasts).count()) +
             " ms" +
             (!strikes_all(fault.kind) && !strikes_proxy(fault.kind) ? " (" + core_name(i) + ")" : ""));
        const auto mended = [this, fault] {
            note(std::string("MENDED ") + name_of(fault.kind) + " " + std::to_string(fault.machine));
            --open_faults_;
        };
        const auto after = [this, fault](std::function<void()> what) {
            loop_.add(loop_.now() + fault.lasts, std::move(what));
        };
        switch (fault.kind) {
            case Kill:
            case Wipe:
            case TermReturn:
                end_core(i, fault.kind == TermReturn, [this, i, fault, after, mended] {
                    if (fault.kind == Wipe) processes_.wipe(core_name(i));
                    after([this, i, mended] {
                        start_core(i);
                        mended();
                    });
                });
                break;
            case Replace:
            case TermReplace:
                end_core(i, fault.kind == TermReplace, [this, i, after, mended] {
                    cores_[i].gone = true;
                    after([this, i, mended] {
                        ++cores_[i].generation;
                        cores_[i].ip = processes_.ip(10 + ++last_ip_);
                        cores_[i].gone = false;
                        start_core(i);
                        mended();
                    });
                });
                break;
            case Freeze:
            case StallFreeze: {
                const std::string name = fault.kind == Freeze ? core_name(i) : proxy_name(i);
                processes_.signal(name, SIGSTOP);
                after([this, name, mended] {
                    processes_.signal(name, SIGCONT);
                    mended();
                });
                break;
            }
            case CutIn:
            case CutOut:
            case CutBoth:
            case StallCut: {
                const std::string name = fault.kind == StallCut ? proxy_name(i) : core_name(i);
                if (!processes_.runs(name)) return mended();
                const pid_t pid = processes_.pid(name);
                cuts_.cut(pid,
                          fault.kind == CutIn    ? LinkCuts::Way::In
                          : fault.kind == CutOut ? LinkCuts::Way::Out
                                                 : LinkCuts::Way::Both,
                          processes_.pids());
                after([this, pid, mended] {
                    cuts_.heal(pid, processes_.pids());
                    mended();
                });
                break;
            }
            case KillAll:
            case WipeBorne:
            case WipeBorneKillRest: {
                const std::size_t wiped = fault.kind == KillAll ? 0 : borne_;
                const std::size_t struck = fault.kind == WipeBorne ? borne_ : cores_.size();
                std::vector<std::size_t> killed;
                for (std::size_t k = 0; k < struck; ++k) {
                    const std::size_t core = (i + k) % cores_.size();
                    // One that is ending comes back, or doesn't, as its own fault says.
                    if (!processes_.runs(core_name(core)) || ending_.contains(core)) continue;
                    killed.push_back(core);
                    processes_.end(core_name(core), Processes::Ending::Kill, loop_.now(), kGrace,
                                   [this, core, lost = k < wiped](int) {
                                       if (lost) processes_.wipe(core_name(core));
                                   });
                }
                after([this, killed, mended] {
                    until_then([this, killed] { return none_runs(killed); },
                               [this, killed, mended] {
                                   for (const std::size_t core : killed) start_core(core);
                                   mended();
                               });
                });
                break;
            }
            case StallKill:
                processes_.end(proxy_name(i), Processes::Ending::Kill, loop_.now(), kGrace,
                               [this, i, after, mended](int) {
                                   after([this, i, mended] {
                                       start_proxy(i);
                                       mended();
                                   });
                               });
                break;
            case EndpointDies:
                proxies_[i].there = false;
                proxies_[i].endpoint->end();
                after([this, i, mended] {
                    start_endpoint(i);
                    mended();
                });
                break;
            case StallTerm:
                leave(i, loop_.now() + 2s, [this, i, after, mended] {
                    processes_.end(proxy_name(i), Processes::Ending::Term, loop_.now(), kGrace,
                                   [this, i, after, mended](int) {
                                       after([this, i, mended] {
                                           start_proxy(i);
                                           start_endpoint(i);
                                           mended();
                                       });
                                   });
                });
                break;
        }
    }
    void end_core(std::size_t i, bool term, std::function<void()> ended) {
        ending_.insert(i);
        const auto told = [this, i, ended](int) {
            ending_.erase(i);
            ended();
        };
        if (!processes_.runs(core_name(i))) return told(0);
        processes_.end(core_name(i), term ? Processes::Ending::Term : Processes::Ending::Kill, loop_.now(),
                       kGrace, told);
    }
    bool none_runs(const std::vector<std::size_t>& cores) const {
        return std::none_of(cores.begin(), cores.end(),
                            [this](std::size_t i) { return processes_.runs(core_name(i)); });
    }
    /// An endpoint's end in order: it says so until it is heard, serves on for a while, and goes.
    void leave(std::size_t i, Time give_up, std::function<void()> gone) {
        proxies_[i].draining = true;
        tell(i, [this, i, give_up, gone](bool heard) {
            if (!heard && loop_.now() < give_up) {
                loop_.add(loop_.now() + 100ms, [this, i, give_up, gone] { leave(i, give_up, gone); });
                return;
            }
            loop_.add(loop_.now() + kDrain, [this, i, gone] {
                call(
                    at(proxy_ip(i), Port::Control), "POST",
                    "/v1/instances/" + proxies_[i].endpoint->id() + "/deregister", "", kSilence,
                    [this, i, gone](Said&&) {
                        proxies_[i].there = false;
                        proxies_[i].endpoint->end();
                        gone();
                    },
                    0);
            });
        });
    }

    // ---- time

    void until_then(std::function<bool()> is, std::function<void()> then) {
        if (is()) return then();
        loop_.add(loop_.now() + kTurn, [this, is, then] { until_then(is, then); });
    }
    void until(const std::string& what, const std::function<bool()>& is) {
        const Time give_up = loop_.now() + options_.patience;
        while (!is()) {
            if (loop_.now() > give_up) {
                in_vain_.push_back("waited in vain for " + what);
                return note(in_vain_.back());
            }
            run_for(kTurn);
        }
    }
    void run_for(Duration time) {
        loop_.add(loop_.now() + time, [this] { loop_.stop(); });
        loop_.resume();
        loop_.run();
    }
    /// Every few milliseconds, as long as this runs.
    void reap() {
        loop_.add(loop_.now() + kTurn, [this] { reap(); });
        processes_.reap(loop_.now());
        cuts_.refresh(processes_.pids());
        if (const Time now = loop_.now(); now >= logs_at_) {
            logs_at_ = now + kLogs;
            take_logs();
        }
    }
    void take_logs() {
        for (const auto& line : processes_.new_lines()) note(line);
    }
    void note(const std::string& what) {
        notes_ << std::setw(6)
               << std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - began_).count()
               << " ms " << what << "\n";
    }

    const PlayOptions options_;
    std::mt19937_64 random_;
    std::size_t borne_ = 1;
    Processes processes_;
    LinkCuts cuts_;
    Loop loop_;
    Counters counters_;
    Outcome outcome_;
    std::vector<Core> cores_;
    std::vector<Proxy> proxies_;
    std::vector<std::unique_ptr<Endpoint>> past_;
    std::vector<std::unique_ptr<Operator>> operators_;
    std::vector<Client> clients_;
    std::map<std::pair<std::size_t, bool>, int> served_;
    std::set<std::pair<std::size_t, std::string>> marks_seen_;  // by proxies
    std::string wanted_mark_;
    std::set<std::size_t> ending_;
    std::map<std::uint64_t, std::unique_ptr<Connection>> calls_;
    std::uint64_t last_call_ = 0;
    std::vector<std::string> in_vain_;
    std::ostringstream notes_;
    std::uint64_t last_request_ = 0;
    std::size_t last_ip_ = 0;
    int open_faults_ = 0;
    bool first_boot_ = true, stopping_ = false, reading_ = false;
    const Time began_ = Loop::monotonic();
    Time settled_at_{}, logs_at_{};
};

// ---- operators

void Operator::later(Duration pause, std::function<void()> what) {
    play_.loop().add(play_.loop().now() + pause, std::move(what));
}

void Operator::read() {
    if (play_.stopping()) {
        idle_ = true;
        return;
    }
    idle_ = false;
    const Time sent = play_.loop().now();
    play_.call(play_.control(), "GET", "/v1/configuration/read", "", kSilence, [this, sent](Said&& said) {
        if (said.status != 200 && said.status != 404) return later(100ms, [this] { read(); });
        Read read = Play::read_of(said, sent);
        play_.history().reads.push_back(read);
        change(read, said.status == 200 ? Json::parse(said.body, nullptr, false) : Json());
    });
}

void Operator::change(const Read& base, const Json& document) {
    Order order;
    order.mark = "mark-" + std::to_string(number_) + "-" + std::to_string(++changes_);
    order.base = base.version;
    // Two operators pick the same number now and then.
    order.version = base.version + 1 + static_cast<std::uint32_t>(play_.below(2));
    const Json rule = {{"name", order.mark},
                       {"route_kind", "idempotent"},
                       {"target_latency_ms", 800},
                       {"priority", 2},
                       {"matcher", {{"path_prefix", "/" + order.mark + "/"}}},
                       {"route_action", {{"service", "web"}, {"timeout_ms", 3000}, {"max_attempts", 3}}}};
    Json body = Json::object();
    auto draft = std::make_shared<Draft>();
    draft->path = "/v1/configuration/replace";
    if (base.version == 0) {
        body = Json::parse(
            R"({"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
            R"("listeners":[{"host":"h.example","rule_set":[)"
            R"({"name":"read","route_kind":"idempotent","target_latency_ms":800,"priority":2,"matcher":{"path_prefix":"/web/"},"route_action":{"service":"web","timeout_ms":3000,"max_attempts":3}},)"
            R"({"name":"order","route_kind":"non_idempotent","target_latency_ms":800,"priority":1,"matcher":{"path_prefix":"/order/"},"route_action":{"service":"vault","timeout_ms":3000,"max_attempts":3}}]}],)"
            R"("clusters":[{"name":"web"},{"name":"vault"}]})");
        body["listeners"][0]["rule_set"].push_back(rule);
    } else if (play_.below(2) == 0) {
        body = document;
        body["listeners"][0]["rule_set"].push_back(rule);
    } else {
        draft->path = "/v1/configuration/modify";
        body["upserts"]["listeners"] =
            Json::array({Json{{"host", kHost}, {"rule_set", Json::array({rule})}}});
    }
    body["version"] = hexadecimal(order.version);
    body["base_version"] = hexadecimal(order.base);
    draft->body = body.dump();
    draft->order = play_.history().orders.size();
    draft->give_up = play_.loop().now() + kOrderGivenUp;
    play_.history().orders.push_back(std::move(order));
    send(std::move(draft), 50ms);
}

void Operator::send(std::shared_ptr<Draft> draft, Duration pause) {
    const Time sent = play_.loop().now();
    // An answer that is lost on its way: the operator is gone before it comes.
    const Duration limit = play_.below(6) == 0 ? 1ms * static_cast<int>(1 + play_.below(20)) : kSilence;
    ++draft->tries;
    play_.call(
        play_.control(), "POST", draft->path, draft->body, limit, [this, draft, sent, pause](Said&& said) {
            const Time now = play_.loop().now();
            const int status = said.status;
            play_.history().orders[draft->order].sendings.push_back({sent, now, status});
            const bool refused =
                status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
            const bool third = status / 100 == 4 && draft->tries >= 3;
            if (status == 200 || refused || third || now > draft->give_up || play_.stopping())
                return settled(draft, status);
            later(pause, [this, draft, pause] { send(draft, std::min<Duration>(400ms, pause * 17 / 10)); });
        });
}

void Operator::settled(std::shared_ptr<Draft> draft, int status) {
    if (status == 200) {
        const auto& sendings = play_.history().orders[draft->order].sendings;
        ++acknowledged;
        longest = std::max(longest, sendings.back().answered - sendings.front().sent);
        if (play_.below(3) == 0)
            return later(1ms * static_cast<int>(play_.below(300)), [this, draft] { send_again(draft); });
    }
    later(1ms * static_cast<int>(50 + play_.below(250)), [this] { read(); });
}

/// What was acknowledged comes again, as if that had been lost.
void Operator::send_again(std::shared_ptr<Draft> draft) {
    const Time sent = play_.loop().now();
    play_.call(play_.control(), "POST", draft->path, draft->body, kSilence, [this, draft, sent](Said&& said) {
        play_.history().orders[draft->order].sendings.push_back({sent, play_.loop().now(), said.status});
        later(100ms, [this] { read(); });
    });
}

}  // namespace

Outcome play(const PlayOptions& options) {
    return Play(options).run();
}

}  // namespace martenford::rig
