// The sidecar: reads its configuration, serves until SIGTERM, answers what it has taken and exits.
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
#include <vector>

#include "assembly/features.h"
#include "command/fleet.h"
#include "command/state.h"
#include "command/why.h"
#include "config/config.h"
#include "console/console.h"
#include "console/statsd.h"
#include "core/events.h"
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
// The standard streams, the loop's own, the listener, discovery, the console's.
constexpr std::size_t kReservedSockets = 16 + Console::kMaxConnections;
constexpr std::size_t kMinRequestSockets = 16;  // descriptors for clients and endpoints, or nothing is served
constexpr Duration kFirstListTimeout =
    4s;  // a process that takes over serves by the list it was given after this

/// Of a new configuration only discovery's address takes effect: the rest holds from the start on.
void reload(Discovery& discovery) {
    try {
        discovery.set_address(reload_discovery_address());
    } catch (const ConfigError& error) {
        log_event(Event::ConfigRejected, "the old configuration stays: " + std::string(error.what()));
    }
}

/// Our own file: named on the command line or by MARTENFORD_CONFIG; without one nothing is switched on.
Features own_features(const std::string& named) {
    std::string path = named;
    if (const char* value = std::getenv("MARTENFORD_CONFIG"); path.empty() && value) path = value;
    return path.empty() ? Features{} : load_features(path);
}

/// Reads it as a start would.
int check_config(const Features& features) {
    const Config config = read_config();
    Counters counters;
    make_policy(config.settings, config.seed, features, counters);
    std::cout << "the configuration of " << config.name << " can be read: " << config.settings.classes.size()
              << " classes, " << (config.known ? config.known->targets.size() : 0) << " known endpoints\n";
    return 0;
}

/// The journal's helper, in this process's place: the sidecar itself carries no database.
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

/// All that serves, joined.
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
          tally_(counters_, config.settings.classes),
          server_protocol_(config.settings),
          upstream_(loop_, client_protocol_, config.settings.limits, max_upstream_sockets_,
                    features.connections.per_endpoint, counters_),
          journal_(features.ledger
                       ? std::make_unique<Journal>(*features.ledger, config, loop_, upstream_, counters_)
                       : nullptr),
          engine_(loop_, journal_ ? static_cast<EndpointClient&>(journal_->recorder) : upstream_,
                  config.settings.limits,
                  make_policy(config.settings, config.seed, features, counters_, &outliers_), tally_),
          telemetry_(features.telemetry ? std::make_unique<Telemetry>(*features.telemetry, config, loop_,
                                                                      placement(), counters_)
                                        : nullptr),
          peers_(features.fleet
                     ? std::make_unique<peers::Peers>(loop_, *features.fleet, config.name, zone_of(config),
                                                      MARTENFORD_VERSION, counters_)
                     : nullptr),
          keeper_(peers_ && features.state
                      ? std::make_unique<replica::ReplicationService>(loop_, *features.state, *peers_,
                                                                      features.fleet->name, counters_)
                      : nullptr),
          discovery_(loop_, telemetry_ ? static_cast<EndpointTable&>(telemetry_->tap) : placement(), engine_,
                     config, membership_options(features, config.settings), counters_),
          http_listener_(
              loop_, engine_, server_protocol_, socket_share_, [this] { return has_endpoints(); }, counters_),
          first_list_timer_(loop_) {
        engine_.on_subscribe([this] { discovery_.subscribe(); });
        engine_.on_attempt_ended(
            [this](EndpointId id, decision::Status status) { discovery_.attempt_ended(id, status); });
        if (keeper_) {
            keeper_->on_endpoint_override([this](const std::string& uid,
                                                 const replica::EndpointOverride& endpoint_override) {
                Membership::EndpointOverride to{endpoint_override.excluded, endpoint_override.weight, {}};
                if (endpoint_override.drains)
                    to.drain_hint = {endpoint_override.drains->revision, endpoint_override.drains->boot_ms};
                discovery_.set_endpoint_override(uid, to);
            });
            if (outliers_) {
                // Not within the module's own turn: what follows from it is told to the module.
                outliers_->on_ejected([this](EndpointId id, std::uint32_t failures) {
                    loop_.add(loop_.now(), [this, id, failures] {
                        if (const auto uid = discovery_.uid_of(id)) keeper_->ejected(*uid, failures);
                    });
                });
                keeper_->on_ejected_by_others([this](const std::string& uid) {
                    if (const auto id = discovery_.id_of(uid)) outliers_->note_peer_ejection(*id);
                });
            }
            discovery_.on_drained([this](const Membership::Drained& drained, std::uint64_t revision) {
                keeper_->drained(drained.uid, {revision, drained.boot_ms, {}});
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
        if (config_.console) {
            console_.emplace(loop_, *config_.console, console_commands(), counters_);
            std::ostringstream address;
            address << console_->listens_at();
            log_event(Event::ConsoleListening, "operators call at " + address.str());
        }
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
    /// What [ledger] switches on.
    struct Journal {
        Journal(const ledger::Options& options, const Config& config, EventLoop& loop,
                Http1EndpointClient& back, Counters& counters)
            : link(loop, options, config.name, random_boot_id(), counters),
              recorder(loop, back, back, link, options, config.settings.classes, counters) {}
        ledger::WriterLink link;
        ledger::Recorder recorder;
    };
    /// What [telemetry] switches on.
    struct Telemetry {
        Telemetry(const telemetry::Options& options, const Config& config, EventLoop& loop,
                  EndpointTable& placement, Counters& counters)
            : collector(loop, config.settings, {config.names.zones, config.names.kinds}, options, config.seed,
                        counters),
              tap(placement, collector) {}
        telemetry::Collector collector;
        telemetry::EndpointNameTap tap;
    };
    /// Descriptors that neither clients nor endpoints get; those of the fleet's links among them.
    static std::size_t reserved_sockets(const Features& features, const Config& config) {
        std::size_t reserved = kReservedSockets;
        if (features.fleet && (config.name.empty() || !fleet::is_valid_name(config.name)))
            throw ConfigError(config.name +
                              ": field 'name' can't be a member's of [fleet]: 1 to 64 bytes, no blanks");
        if (features.fleet) reserved += features.fleet->max_links + peers::Peers::kOtherSockets;
        if (reserved + kMinRequestSockets > config.sockets)
            throw ConfigError(config.name + ": field 'limits.sockets' leaves no room beside [fleet]'s links");
        return reserved;
    }
    static std::string zone_of(const Config& config) {
        const auto& zones = config.names.zones;
        const bool named =
            config.settings.zone < zones.size() && fleet::is_valid_name(zones[config.settings.zone]);
        return named ? zones[config.settings.zone] : std::string();
    }
    EndpointTable& placement() {
        return journal_ ? static_cast<EndpointTable&>(journal_->recorder) : upstream_;
    }

    /// Of this process, in the journal: 63 bits, as its file's numbers have.
    static std::uint64_t random_boot_id() {
        std::random_device random;
        return (static_cast<std::uint64_t>(random()) << 32 | random()) >> 1;
    }

    void start(std::optional<int> listener) {
        if (journal_) journal_->link.start(listener.has_value());
        if (peers_) peers_->start(listener.has_value());
        engine_.start();
        discovery_.start();
        if (!listener) {
            http_listener_.listen(config_.listen);
            return announce();
        }
        // Another process serves until this one can: what was listed when its configuration was written may
        // be long gone, so discovery is asked first, at once, since nobody else starts with it.
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
        // Before it is said: whoever ends the earlier process on that word finds it told that it is replaced.
        if (handover_)
            handover_->announce(
                [this] { return http_listener_.listening() ? http_listener_.native_handle() : -1; });
        log_event(Event::Listening, "listening on " + address.str());
    }
    /// Whether it can serve: some endpoint is known, to a process that takes over by discovery's own word.
    bool has_endpoints() const {
        return discovery_.has_ready() && (!awaiting_first_list_ || discovery_.received_list());
    }
    bool is_ready() const { return http_listener_.listening() && http_listener_.is_ready(); }

    /// What the two of a sidecar hold is counted together.
    void share_limits(bool two_processes) {
        http_listener_.set_max_connections(two_processes ? socket_share_ / 2 : socket_share_);
        upstream_.set_max_connections(two_processes ? max_upstream_sockets_ / 2 : max_upstream_sockets_);
    }

    ConsoleCommands console_commands() {
        return ConsoleCommands({[this] { return is_ready(); }, [this] { return statsd(counters_); },
                                [this] {
                                    if (stopping_) return false;
                                    log_event(Event::Evacuates, "evacuates: an operator said so");
                                    http_listener_.evacuate();
                                    return true;
                                },
                                [this] {
                                    if (stopping_) return false;
                                    log_event(Event::Activates, "serves again: an operator said so");
                                    http_listener_.activate();
                                    return true;
                                },
                                [this](std::string_view line) -> std::optional<std::string> {
                                    if (telemetry_) {
                                        if (auto lines = telemetry_->collector.answer(line)) return lines;
                                    }
                                    if (keeper_) {
                                        if (auto lines = keeper_->answer(line)) return lines;
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
    /// For what ended last to be kept; within what is left before SIGKILL, after which the writer goes on
    /// alone.
    static constexpr Duration kJournalFlushTimeout = 100ms;

    const Config& config_;
    const std::size_t socket_share_, max_upstream_sockets_;
    Counters counters_;
    EventLoop loop_;
    // First: guards against dying on a SIGHUP that comes while the rest is being set up.
    asio::signal_set reload_signal_, stop_signals_;
    RequestCounters tally_;
    SidecarServerProtocol server_protocol_;
    SidecarClientProtocol client_protocol_;
    Http1EndpointClient upstream_;
    std::unique_ptr<Journal> journal_;
    outlier::OutlierPolicy* outliers_ = nullptr;  // within the engine
    Engine engine_;
    std::unique_ptr<Telemetry> telemetry_;
    std::unique_ptr<peers::Peers> peers_;
    std::unique_ptr<replica::ReplicationService> keeper_;
    Discovery discovery_;
    HttpListener http_listener_;
    std::optional<Console> console_;
    std::optional<Handover> handover_;
    Timer first_list_timer_, retry_timer_{loop_};
    int inherited_listener_ = -1;  // an earlier process's, until this one can serve
    bool awaiting_first_list_ = false, stopping_ = false;
};

int serve(const Features& features) {
    const Config config = read_config();
    return Program(features, config).run();
}

void add_state_commands(CLI::App& app, StateOptions& state) {
    auto* state_command =
        app.add_subcommand("state", "what all sidecars of a fleet share: read, write, compare");
    state_command->require_subcommand(1);
    const auto add = [&](const char* name, const char* what) {
        auto* each = state_command->add_subcommand(name, what);
        each->add_option("--console", state.console, "where operators call; otherwise PROXY_CONSOLE")
            ->type_name("ADDRESS");
        each->add_flag("--json", state.json, "one JSON object a line");
        each->callback([&state, name] { state.what = name; });
        return each;
    };
    add("tables", "its tables, their rules and sizes");
    add("self", "this copy: how far it is, what it gave and took");
    add("conflicts", "what was written beside each other and waits for a word");
    add("history", "what this copy learnt of late");
    auto* get = add("get", "entries that stand");
    get->add_option("table", state.table, "of this table; otherwise of all");
    get->add_option("key", state.key, "this one alone")->needs("table");
    auto* diff = add("diff", "where this copy and another differ");
    diff->add_option("other", state.other, "where operators call the other")->required();
    for (const auto& [name, what] :
         {std::pair{"put", "writes an entry"}, std::pair{"settle", "writes over all that stands beside"},
          std::pair{"delete", "deletes an entry"}}) {
        auto* each = add(name, what);
        each->add_option("table", state.table)->required();
        each->add_option("key", state.key)->required();
        auto* value = std::string(name) == "delete" ? nullptr : each->add_option("value", state.value);
        if (std::string(name) == "put") value->required();
        each->add_option("--reach", state.reach, "so many others, or majority, must have it")
            ->check(CLI::Range(0, 10'000) | CLI::IsMember({"majority"}));
        each->add_option("--within", state.within_s, "seconds that this may take")->check(CLI::Range(1, 60));
        each->add_option("--expires", state.expires_s, "seconds until it ends by itself")
            ->check(CLI::Range(10, 86'400));
        each->add_option("--reason", state.reason, "for those who read it");
    }
}

}  // namespace
}  // namespace martenford

int main(int argc, char** argv) {
    CLI::App app{
        "A sidecar load balancer. The platform's configuration is the file that PROXY_CONFIG names."};
    app.set_version_flag("--version", std::string("martenford ") + MARTENFORD_VERSION);
    bool check = false;
    std::string own_config;
    app.add_option("--config", own_config,
                   "our own configuration, in TOML; otherwise MARTENFORD_CONFIG names it")
        ->type_name("FILE");
    app.add_flag("--check-config", check, "read the configuration, say what is wrong with it, and end");
    // Before they are added: each takes it over, so that --config may stand behind them too.
    app.fallthrough();
    app.add_subcommand("serve", "what it does where nothing else is asked");
    app.add_subcommand("check", "the same as --check-config")->parse_complete_callback([&] { check = true; });
    auto* ledger = app.add_subcommand("ledger", "asks the journal; 'martenford ledger --help' tells how");
    ledger->prefix_command();
    ledger->fallthrough(false);  // all that follows is the helper's
    ledger->set_help_flag();
    martenford::WhyOptions why;
    auto* why_command = app.add_subcommand(
        "why", "asks a running sidecar what explains its bad requests, or for one's story");
    why_command->add_option("id", why.id, "of a request");
    why_command->add_option("--console", why.console, "where operators call; otherwise PROXY_CONSOLE")
        ->type_name("ADDRESS");
    why_command->add_option("--since", why.since, "how far back, 5m at most");
    why_command->add_option("--slowest", why.slowest, "the slowest that are kept, so many")
        ->check(CLI::Range(1, 100));
    why_command->add_option("--class", why.klass, "of those")->needs("--slowest");
    why_command->add_flag("--latencies", why.latencies, "quantiles of the time to an answer");
    martenford::FleetOptions fleet;
    auto* fleet_command = app.add_subcommand("fleet", "asks a running sidecar about the others of its fleet");
    fleet_command->require_subcommand(1);
    for (const auto& [name, what] :
         {std::pair{"members", "who is alive, as it sees them"}, std::pair{"links", "its links to others"},
          std::pair{"watch", "what changes, until it is interrupted"}}) {
        auto* each = fleet_command->add_subcommand(name, what);
        each->add_option("--console", fleet.console, "where operators call; otherwise PROXY_CONSOLE")
            ->type_name("ADDRESS");
        each->add_flag("--json", fleet.json, "one JSON object a line");
        each->callback([&fleet, name = name] { fleet.what = name; });
    }
    martenford::StateOptions state;
    martenford::add_state_commands(app, state);
    auto* events = app.add_subcommand("events", "the page of all that it may tell of itself");
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
