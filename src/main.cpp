// The sidecar: reads its configuration, serves until SIGTERM, answers the requests it has accepted and exits.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "assembly/features.h"
#include "command/fleet.h"
#include "command/state.h"
#include "command/why.h"
#include "config/config.h"
#include "console/console.h"
#include "console/statsd.h"
#include "core/events.h"
#include "core/listening_socket.h"
#include "core/process_setup.h"
#include "core/request_counters.h"
#include "discovery/discovery.h"
#include "handover/handover.h"
#include "helper/helper.h"
#include "http1/endpoint_client.h"
#include "http1/listener.h"
#include "http1/protocol.h"
#include "ledger/recorder.h"
#include "ledger/writer_link.h"
#include "peers/peers.h"
#include "replica/replication_service.h"
#include "telemetry/collector.h"

namespace martenford {
namespace {

constexpr int kExitConfigError = 2;  // exit code
// The standard streams, the event loop, the listener, discovery and the console's connections.
constexpr std::size_t kReservedSockets = 16 + Console::kMaxConnections;
constexpr std::size_t kMinRequestSockets =
    16;  // file descriptors left for clients and endpoints; with fewer the program does not start
constexpr Duration kFirstListTimeout =
    4s;  // after this, a process that takes over serves with the endpoint list of its configuration

/// Applies a new configuration. Only discovery's address can change while running; everything else keeps the
/// value from the start.
void reload(Discovery& discovery) {
    try {
        discovery.set_address(reload_discovery_address());
    } catch (const ConfigError& error) {
        log_event(Event::ConfigRejected, "the old configuration stays: " + std::string(error.what()));
    }
}

/// The program's own configuration file, named on the command line or by MARTENFORD_CONFIG. Without one no
/// feature is enabled.
Features own_features(const std::string& named) {
    std::string path = named;
    if (const char* value = std::getenv("MARTENFORD_CONFIG"); path.empty() && value) path = value;
    return path.empty() ? Features{} : load_features(path);
}

/// Reads the configuration exactly as a start would.
int check_config(const Features& features) {
    const Config config = read_config();
    Counters counters;
    make_policy(config.settings, config.seed, features, counters);
    std::cout << "the configuration of " << config.name << " can be read: " << config.settings.classes.size()
              << " classes, " << (config.known ? config.known->targets.size() : 0) << " known endpoints\n";
    return 0;
}

/// Replaces this process with the journal's helper: the sidecar itself does not link the database.
int run_ledger_command(const std::vector<std::string>& arguments) {
    std::string helper = default_helper_path();
    std::vector<std::string> argument_list{helper};
    argument_list.insert(argument_list.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    for (std::string& word : argument_list) argv.push_back(word.data());
    argv.push_back(nullptr);
    ::execv(helper.c_str(), argv.data());
    log(helper + ": " + std::strerror(errno));
    return kExitConfigError;
}

/// Builds and connects everything that serves requests.
class Program {
  public:
    Program(const Features& features, const Config& config)
        : config_(config),
          socket_share_((config.sockets - reserved_sockets(features, config)) / 2),
          max_upstream_sockets_(features.connections.max_total > 0
                                    ? std::min(features.connections.max_total, socket_share_)
                                    : socket_share_),
          reload_signal_(loop_.io(), SIGHUP),
          stop_signals_(loop_.io(), SIGTERM, SIGINT),
          request_counters_(counters_, config.settings.classes),
          server_protocol_(config.settings),
          upstream_(loop_, client_protocol_, config.settings.limits, max_upstream_sockets_,
                    features.connections.per_endpoint, counters_),
          journal_(features.ledger
                       ? std::make_unique<Journal>(*features.ledger, config, loop_, upstream_, counters_)
                       : nullptr),
          engine_(loop_, journal_ ? static_cast<EndpointClient&>(journal_->recorder) : upstream_,
                  config.settings.limits,
                  make_policy(config.settings, config.seed, features, counters_, &outliers_),
                  request_counters_),
          telemetry_(features.telemetry ? std::make_unique<Telemetry>(*features.telemetry, config, loop_,
                                                                      endpoint_table(), counters_)
                                        : nullptr),
          peers_(features.fleet
                     ? std::make_unique<peers::Peers>(loop_, *features.fleet, config.name, zone_of(config),
                                                      MARTENFORD_VERSION, counters_)
                     : nullptr),
          replication_(peers_ && features.state
                           ? std::make_unique<replica::ReplicationService>(loop_, *features.state, *peers_,
                                                                           features.fleet->name, counters_)
                           : nullptr),
          discovery_(loop_, telemetry_ ? static_cast<EndpointTable&>(telemetry_->tap) : endpoint_table(),
                     engine_, config, membership_options(features, config.settings), counters_),
          http_listener_(
              loop_, engine_, server_protocol_, socket_share_, [this] { return has_endpoints(); }, counters_),
          first_list_timer_(loop_) {
        engine_.on_subscribe([this] { discovery_.subscribe(); });
        engine_.on_attempt_ended(
            [this](EndpointId id, decision::Status status) { discovery_.attempt_ended(id, status); });
        if (replication_) {
            replication_->on_endpoint_override([this](const std::string& uid,
                                                      const replica::EndpointOverride& endpoint_override) {
                Membership::EndpointOverride to{endpoint_override.excluded, endpoint_override.weight, {}};
                if (endpoint_override.drains)
                    to.drain_hint = {endpoint_override.drains->revision, endpoint_override.drains->boot_ms};
                discovery_.set_endpoint_override(uid, to);
            });
            if (outliers_) {
                // Not from within the module's own call: the consequences are reported back to the module.
                outliers_->on_ejected([this](EndpointId id, std::uint32_t failures) {
                    loop_.add(loop_.now(), [this, id, failures] {
                        if (const auto uid = discovery_.uid_of(id)) replication_->ejected(*uid, failures);
                    });
                });
                replication_->on_ejected_by_others([this](const std::string& uid) {
                    if (const auto id = discovery_.id_of(uid)) outliers_->note_peer_ejection(*id);
                });
            }
            discovery_.on_drained([this](const Membership::Drained& drained, std::uint64_t revision) {
                replication_->drained(drained.uid, {revision, drained.boot_ms, {}});
            });
        }
        if (telemetry_) engine_.set_observer(&telemetry_->collector);
        if (!journal_) return;
        engine_.set_interceptor(&journal_->recorder);
        journal_->recorder.on_release([this](const decision::RequestId& id) { engine_.released(id); });
        journal_->recorder.on_give_up(
            [this](const decision::RequestId& id, bool refused) { engine_.abort(id, refused); });
    }

    int run() {
        stop_signals_.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) stop();
        });
        await_reload_signal();
        if (config_.console) open_console_when_free();
        const char* directory = std::getenv("TMPDIR");
        if (directory && *directory) {
            handover_.emplace(loop_, directory, config_.name);
            handover_->on_other_process_changed([this](bool two_processes) { share_limits(two_processes); });
            handover_->find_earlier([this](std::optional<int> listener) { start(listener); });
        } else {
            start(std::nullopt);
        }
        loop_.run();
        return 0;
    }

  private:
    /// The parts that the section [ledger] enables.
    struct Journal {
        Journal(const ledger::Options& options, const Config& config, EventLoop& loop,
                Http1EndpointClient& endpoint_client, Counters& counters)
            : link(loop, options, config.name, random_boot_id(), counters),
              recorder(loop, endpoint_client, endpoint_client, link, options, config.settings.classes,
                       counters) {}
        ledger::WriterLink link;
        ledger::Recorder recorder;
    };
    /// The parts that the section [telemetry] enables.
    struct Telemetry {
        Telemetry(const telemetry::Options& options, const Config& config, EventLoop& loop,
                  EndpointTable& endpoint_table, Counters& counters)
            : collector(loop, config.settings, {config.names.zones, config.names.kinds}, options, config.seed,
                        counters),
              tap(endpoint_table, collector) {}
        telemetry::Collector collector;
        telemetry::EndpointNameTap tap;
    };
    /// Descriptors that are not available to clients and endpoints, including those of the fleet's links.
    static std::size_t reserved_sockets(const Features& features, const Config& config) {
        std::size_t reserved = kReservedSockets;
        if (features.fleet && (config.name.empty() || !fleet::is_valid_name(config.name)))
            throw ConfigError(config.name +
                              ": field 'name' cannot be a member name in [fleet]: 1 to 64 bytes, no blanks");
        if (features.fleet) reserved += features.fleet->max_links + peers::Peers::kOtherSockets;
        if (reserved + kMinRequestSockets > config.sockets)
            throw ConfigError(config.name +
                              ": field 'limits.sockets' leaves no room next to the links of [fleet]");
        return reserved;
    }
    static std::string zone_of(const Config& config) {
        const auto& zones = config.names.zones;
        const bool named =
            config.settings.zone < zones.size() && fleet::is_valid_name(zones[config.settings.zone]);
        return named ? zones[config.settings.zone] : std::string();
    }
    EndpointTable& endpoint_table() {
        return journal_ ? static_cast<EndpointTable&>(journal_->recorder) : upstream_;
    }

    /// Identifies this process in the journal. 63 bits, because its database stores signed numbers.
    static std::uint64_t random_boot_id() {
        std::random_device random;
        return (static_cast<std::uint64_t>(random()) << 32 | random()) >> 1;
    }

    void start(std::optional<int> listener) {
        if (journal_) journal_->link.start(listener.has_value());
        if (peers_) peers_->start(listener.has_value());
        engine_.start();
        discovery_.start();
        if (!listener) return listen_when_free();
        // The earlier process serves until this one can. The endpoint list in the configuration may be long
        // out of date, so discovery is asked first, and at once: no other process starts with it at the same
        // moment.
        log_event(Event::TakeoverStarted, "takes over from an earlier process");
        inherited_listener_ = *listener;
        awaiting_first_list_ = true;
        discovery_.subscribe();
        first_list_timer_.set(EventLoop::monotonic() + kFirstListTimeout, [this] {
            awaiting_first_list_ = false;
            listen_when_ready();
        });
        listen_when_ready();
    }
    /// Listens for clients; again while another process holds the address.
    void listen_when_free() {
        if (stopping_) return;
        auto opened = ListeningSocket::open(config_.listen, PortSharing::WithSuccessor);
        if (const auto* cause = std::get_if<boost::system::error_code>(&opened)) {
            note_unavailable(config_.listen, *cause);
            return retry_timer_.set(EventLoop::monotonic() + kListenRetryInterval,
                                    [this] { listen_when_free(); });
        }
        http_listener_.listen(std::get<ListeningSocket>(std::move(opened)));
        announce();
    }
    /// The same for the operators' console.
    void open_console_when_free() {
        auto opened = ListeningSocket::open(*config_.console, PortSharing::Exclusive);
        if (const auto* cause = std::get_if<boost::system::error_code>(&opened)) {
            note_unavailable(*config_.console, *cause);
            return console_timer_.set(EventLoop::monotonic() + kListenRetryInterval,
                                      [this] { open_console_when_free(); });
        }
        console_.emplace(loop_, std::get<ListeningSocket>(std::move(opened)), console_commands(), counters_);
        std::ostringstream address;
        address << console_->listens_at();
        log_event(Event::ConsoleListening, "operators call at " + address.str());
    }
    /// Logs a failed attempt to listen, or throws if another one would fail as well.
    static void note_unavailable(const Address& address, const boost::system::error_code& cause) {
        const std::string what = "cannot listen on " + text_of(address) + ": " + cause.message();
        if (!may_pass(cause)) throw ConfigError(what);
        log_event(Event::PortUnavailable, what);
    }
    void listen_when_ready() {
        if (inherited_listener_ < 0 || stopping_) return;
        if (!has_endpoints())
            return retry_timer_.set(EventLoop::monotonic() + kReadyPoll, [this] { listen_when_ready(); });
        http_listener_.adopt(std::exchange(inherited_listener_, -1));
        announce();
    }
    void announce() {
        std::ostringstream address;
        address << http_listener_.local_address();
        // Before the log line: whoever stops the earlier process when it appears must find that process
        // informed of its replacement.
        if (handover_)
            handover_->announce(
                [this] { return http_listener_.listening() ? http_listener_.native_handle() : -1; });
        log_event(Event::Listening, "listening on " + address.str());
    }
    /// Whether this process can serve: it knows an endpoint, and a process that takes over has heard it from
    /// discovery.
    bool has_endpoints() const {
        return discovery_.has_ready() && (!awaiting_first_list_ || discovery_.received_list());
    }
    bool is_ready() const { return http_listener_.listening() && http_listener_.is_ready(); }

    /// The two processes of a sidecar share its socket limits during a handover.
    void share_limits(bool two_processes) {
        http_listener_.set_max_connections(two_processes ? socket_share_ / 2 : socket_share_);
        upstream_.set_max_connections(two_processes ? max_upstream_sockets_ / 2 : max_upstream_sockets_);
    }

    ConsoleCommands console_commands() {
        return ConsoleCommands({[this] { return is_ready(); }, [this] { return statsd(counters_); },
                                [this] {
                                    if (stopping_) return false;
                                    log_event(Event::Evacuates, "evacuating at an operator's request");
                                    http_listener_.evacuate();
                                    return true;
                                },
                                [this] {
                                    if (stopping_) return false;
                                    log_event(Event::Activates, "serving again at an operator's request");
                                    http_listener_.activate();
                                    return true;
                                },
                                [this](std::string_view line) -> std::optional<std::string> {
                                    if (telemetry_) {
                                        if (auto lines = telemetry_->collector.answer(line)) return lines;
                                    }
                                    if (replication_) {
                                        if (auto lines = replication_->answer(line)) return lines;
                                    }
                                    return peers_ ? peers_->answer(line) : std::nullopt;
                                }});
    }

    void stop() {
        stopping_ = true;
        if (peers_) peers_->leave();
        const auto stopped = [this] {
            if (!journal_) return loop_.stop();
            journal_->link.finish(kJournalFlushTimeout, [this] { loop_.stop(); });
        };
        http_listener_.drain(stopped, handover_ && handover_->replaced());
    }

    void await_reload_signal() {
        reload_signal_.async_wait([this](const boost::system::error_code& error, int) {
            if (error) return;
            reload(discovery_);
            await_reload_signal();
        });
    }

    static constexpr Duration kReadyPoll = 20ms;
    static constexpr Duration kListenRetryInterval = 100ms;
    /// Time to make the last records durable. It fits into the time left before SIGKILL; after it the writer
    /// finishes on its own.
    static constexpr Duration kJournalFlushTimeout = 100ms;

    const Config& config_;
    const std::size_t socket_share_, max_upstream_sockets_;
    Counters counters_;
    EventLoop loop_;
    // Declared early: a SIGHUP that arrives while the rest is being set up must not kill the process.
    asio::signal_set reload_signal_, stop_signals_;
    RequestCounters request_counters_;
    SidecarServerProtocol server_protocol_;
    SidecarClientProtocol client_protocol_;
    Http1EndpointClient upstream_;
    std::unique_ptr<Journal> journal_;
    outlier::OutlierPolicy* outliers_ = nullptr;  // owned by the engine
    Engine engine_;
    std::unique_ptr<Telemetry> telemetry_;
    std::unique_ptr<peers::Peers> peers_;
    std::unique_ptr<replica::ReplicationService> replication_;
    Discovery discovery_;
    HttpListener http_listener_;
    std::optional<Console> console_;
    std::optional<Handover> handover_;
    Timer first_list_timer_, retry_timer_{loop_}, console_timer_{loop_};
    int inherited_listener_ = -1;  // of an earlier process, until this one can serve
    bool awaiting_first_list_ = false, stopping_ = false;
};

int serve(const Features& features) {
    const Config config = read_config();
    return Program(features, config).run();
}

void add_state_commands(CLI::App& app, StateOptions& state) {
    auto* state_command =
        app.add_subcommand("state", "reads, writes and compares the state that a fleet shares");
    state_command->require_subcommand(1);
    const auto add = [&](const char* name, const char* what) {
        auto* each = state_command->add_subcommand(name, what);
        each->add_option("--console", state.console, "console address of the sidecar; default: PROXY_CONSOLE")
            ->type_name("ADDRESS");
        each->add_flag("--json", state.json, "print one JSON object per line");
        each->callback([&state, name] { state.what = name; });
        return each;
    };
    add("tables", "list the tables with their rules and sizes");
    add("self", "show this copy: its progress and what it sent and received");
    add("conflicts", "list concurrent writes that wait to be settled");
    add("history", "list the recent changes of this copy");
    auto* get = add("get", "print the current entries");
    get->add_option("table", state.table, "only this table; default: all");
    get->add_option("key", state.key, "only this key")->needs("table");
    auto* diff = add("diff", "compare this copy with another sidecar's");
    diff->add_option("other", state.other, "console address of the other sidecar")->required();
    for (const auto& [name, what] : {std::pair{"put", "write an entry"},
                                     std::pair{"settle", "overwrite all concurrent versions of an entry"},
                                     std::pair{"delete", "delete an entry"}}) {
        auto* each = add(name, what);
        each->add_option("table", state.table)->required();
        each->add_option("key", state.key)->required();
        auto* value = std::string(name) == "delete" ? nullptr : each->add_option("value", state.value);
        if (std::string(name) == "put") value->required();
        each->add_option("--reach", state.reach, "number of other sidecars that must have it, or majority")
            ->check(CLI::Range(0, 10'000) | CLI::IsMember({"majority"}));
        each->add_option("--within", state.within_s, "time limit in seconds")->check(CLI::Range(1, 60));
        each->add_option("--expires", state.expires_s, "lifetime in seconds")->check(CLI::Range(10, 86'400));
        each->add_option("--reason", state.reason, "a note for readers");
    }
}

}  // namespace
}  // namespace martenford

int main(int argc, char** argv) {
    martenford::prepare_process();
    CLI::App app{"A sidecar load balancer. PROXY_CONFIG names the file with the platform's configuration."};
    app.set_version_flag("--version", std::string("martenford ") + MARTENFORD_VERSION);
    bool check = false;
    std::string own_config;
    app.add_option("--config", own_config,
                   "configuration file of this program, in TOML; default: MARTENFORD_CONFIG")
        ->type_name("FILE");
    app.add_flag("--check-config", check, "check the configuration and exit");
    // Before the subcommands are added: each inherits it, so that --config may also follow a subcommand.
    app.fallthrough();
    app.add_subcommand("serve", "run the sidecar (the default)");
    app.add_subcommand("check", "the same as --check-config")->parse_complete_callback([&] { check = true; });
    auto* ledger = app.add_subcommand("ledger", "queries the journal; see 'martenford ledger --help'");
    ledger->prefix_command();
    ledger->fallthrough(false);  // everything that follows belongs to the helper
    ledger->set_help_flag();
    martenford::WhyOptions why;
    auto* why_command = app.add_subcommand(
        "why", "asks a running sidecar what explains its bad requests, or for the trace of one");
    why_command->add_option("id", why.id, "request id");
    why_command
        ->add_option("--console", why.console, "console address of the sidecar; default: PROXY_CONSOLE")
        ->type_name("ADDRESS");
    why_command->add_option("--since", why.since, "how far to look back, at most 5m");
    why_command->add_option("--slowest", why.slowest, "print this many of the slowest traces kept")
        ->check(CLI::Range(1, 100));
    why_command->add_option("--class", why.klass, "only of this class")->needs("--slowest");
    why_command->add_flag("--latencies", why.latencies, "print latency quantiles by class");
    martenford::FleetOptions fleet;
    auto* fleet_command =
        app.add_subcommand("fleet", "asks a running sidecar about the other members of its fleet");
    fleet_command->require_subcommand(1);
    for (const auto& [name, what] : {std::pair{"members", "list the members as it sees them"},
                                     std::pair{"links", "list its links to other members"},
                                     std::pair{"watch", "print changes until interrupted"}}) {
        auto* each = fleet_command->add_subcommand(name, what);
        each->add_option("--console", fleet.console, "console address of the sidecar; default: PROXY_CONSOLE")
            ->type_name("ADDRESS");
        each->add_flag("--json", fleet.json, "print one JSON object per line");
        each->callback([&fleet, name = name] { fleet.what = name; });
    }
    martenford::StateOptions state;
    martenford::add_state_commands(app, state);
    auto* events = app.add_subcommand("events", "print the reference of all log events");
    app.require_subcommand(0, 1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : martenford::kExitConfigError;
    }
    if (events->parsed()) {
        std::cout << martenford::events_page();
        return 0;
    }
    if (why_command->parsed()) return martenford::run_why(why);
    if (fleet_command->parsed()) return martenford::run_fleet(fleet);
    if (!state.what.empty()) return martenford::run_state(state);
    if (ledger->parsed()) return martenford::run_ledger_command(ledger->remaining());
    try {
        const martenford::Features features = martenford::own_features(own_config);
        return check ? martenford::check_config(features) : martenford::serve(features);
    } catch (const martenford::TomlError& error) {
        martenford::log(error.what());
        return martenford::kExitConfigError;
    } catch (const martenford::ConfigError& error) {
        martenford::log(error.what());
        return martenford::kExitConfigError;
    } catch (const std::exception& error) {
        martenford::log(error.what());
        return 1;
    }
}
