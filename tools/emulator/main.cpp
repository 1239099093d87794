// martenford-emulator: plays scripted incidents on an emulated fleet, in virtual time or on real sockets.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "emulator/report.h"
#include "emulator/scenario.h"
#include "emulator/socket_transport.h"
#include "emulator/virtual_transport.h"
#include "fleet.h"
#include "state.h"
#include "verdicts.h"

namespace {

using namespace martenford::emulator;
using martenford::seconds;

// What the exit code says.
constexpr int kAsExpected = 0, kNotAsExpected = 1, kBadInput = 2;
constexpr const char* kDemo = "demo";

struct PlayOptions {
    std::string file, report = "text", trace, plot, program;
    bool sockets = false, virtual_time = false, quiet = false;
    std::optional<std::uint64_t> seed;
};

/// A file, or the name of one that comes with the program.
std::string find_scenario(const std::string& name) {
    namespace fs = std::filesystem;
    if (name.find_first_of("/.") != std::string::npos) return name;
    const fs::path known = fs::path(MARTENFORD_SCENARIOS) / (name + ".toml");
    return fs::exists(known) ? known.string() : name;
}

/// The sidecar's program: beside this one unless another is named.
std::string find_program(const std::string& named) {
    if (!named.empty()) return named;
    std::error_code error;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    for (const auto& folder : {self.parent_path(), self.parent_path().parent_path()}) {
        if (std::filesystem::exists(folder / "martenford")) return (folder / "martenford").string();
    }
    return "martenford";
}

/// One line that is written over, on a terminal only.
class Progress {
  public:
    Progress(std::string name, martenford::Duration length, bool quiet)
        : name_(std::move(name)), length_(length), shown_(!quiet && isatty(STDERR_FILENO)) {}
    ~Progress() {
        if (shown_) std::fputs("\r\033[K", stderr);
    }
    void at(martenford::Duration now, const std::string& more = {}) const {
        if (!shown_) return;
        std::fputs(
            fmt::format("\r\033[K{}: {:.0f} of {:.0f} s {}", name_, seconds(now), seconds(length_), more)
                .c_str(),
            stderr);
        std::fflush(stderr);
    }

  private:
    std::string name_;
    martenford::Duration length_;
    bool shown_;
};

int play(const PlayOptions& options) {
    const Scenario scenario = load_scenario(find_scenario(options.file));
    const std::uint64_t seed = options.seed.value_or(scenario.seed);
    std::ofstream trace_file;
    std::function<void(const std::string&)> trace;
    if (!options.trace.empty()) {
        trace_file.open(options.trace);
        if (!trace_file) {
            std::cerr << options.trace << ": can't be written\n";
            return kBadInput;
        }
        trace = [&](const std::string& line) { trace_file << line << '\n'; };
    }
    Report report;
    const auto began = std::chrono::steady_clock::now();
    {
        const Progress progress(scenario.name, scenario.length, options.quiet);
        if (options.sockets) {
            SocketPlayOptions how;
            how.program = find_program(options.program);
            how.trace = std::move(trace);
            how.progress = [&](martenford::Duration at, std::size_t open) {
                progress.at(at, fmt::format("({} requests open)", open));
            };
            report = play_sockets(scenario, seed, how);
        } else {
            report = play_virtual(scenario, seed, std::move(trace), {}, [&](martenford::Duration at) {
                         progress.at(at);
                     }).report;
        }
    }
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    if (!options.plot.empty()) {
        std::ofstream plot(options.plot);
        plot << to_svg(report);
        if (!plot.flush()) {
            std::cerr << options.plot << ": can't be written\n";
            return kBadInput;
        }
    }
    std::cout << (options.report == "json" ? to_json(report) : to_text(report)) << std::flush;
    if (!options.quiet) {
        std::cerr << fmt::format("played {:g} s in {:.2f} s\n", report.length_s, took);
    }
    return report.rules_kept() && report.expectations_met() ? kAsExpected : kNotAsExpected;
}

int check(const std::vector<std::string>& files) {
    int result = kAsExpected;
    for (const std::string& file : files) {
        try {
            const Scenario scenario = load_scenario(find_scenario(file));
            std::cout << fmt::format("{}: {}, {} tiers, {} events, {} expectations\n", file, scenario.name,
                                     scenario.tiers.size(), scenario.events.size(), scenario.expect.size());
        } catch (const ScenarioError& error) {
            std::cerr << error.what() << '\n';
            result = kBadInput;
        }
    }
    return result;
}

int list() {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(MARTENFORD_SCENARIOS)) {
        if (entry.path().extension() == ".toml") files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    for (const auto& file : files) {
        const Scenario scenario = load_scenario(file.string());
        std::cout << fmt::format("{:<26}{:>6.0f} s  {}\n", file.stem().string(), seconds(scenario.length),
                                 scenario.about);
    }
    return kAsExpected;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Plays scripted incidents on an emulated fleet of endpoints, clients and sidecars."};
    app.set_version_flag("--version", std::string("martenford-emulator ") + MARTENFORD_VERSION);
    app.require_subcommand(1);
    PlayOptions options;
    std::uint64_t seed = 0;

    const auto add_play = [&](CLI::App* command) {
        auto* sockets =
            command->add_flag("--sockets", options.sockets, "real sidecar processes on loopback sockets");
        command->add_flag("--virtual", options.virtual_time, "simulated time (the default)")
            ->excludes(sockets);
        command->add_option("--seed", seed, "in place of the scenario's own");
        command->add_option("--report", options.report, "text or json")
            ->check(CLI::IsMember({"text", "json"}));
        command->add_option("--trace", options.trace, "a file for a line on each thing that happens");
        command->add_option("--plot", options.plot, "an SVG file for service, latency and states over time");
        command->add_option("--program", options.program,
                            "the sidecar; by default the one beside this program");
        command->add_flag("--quiet", options.quiet, "no progress and no times on standard error");
    };
    auto* play_command =
        app.add_subcommand("play", "play a scenario; exit 0 where it went as expected, 1 where not");
    play_command->add_option("scenario", options.file, "a file, or a name that 'list' shows")->required();
    add_play(play_command);
    std::vector<std::string> files;
    auto* check_command =
        app.add_subcommand("check", "read scenarios and say what is wrong with them; exit 2 if any");
    check_command->add_option("scenarios", files, "files")->required();
    auto* list_command = app.add_subcommand("list", "the scenarios that come with the program");
    auto* demo_command = app.add_subcommand("demo", "an incident of 20 s on real sockets");
    add_play(demo_command);
    StateWords state;
    bool bare_state = false;
    auto* state_command = app.add_subcommand(
        "state", "copies of the shared state in virtual time: how soon all have a write, or one catches up");
    state_command->add_option("--members", state.members, "processes")->check(CLI::Range(2, 5000));
    state_command->add_option("--entries", state.entries, "that all hold from the start")
        ->check(CLI::Range(0, 150'000));
    state_command->add_option("--behind", state.behind, "share of them that one member lacks")
        ->check(CLI::Range(0.0, 1.0));
    state_command->add_option("--seed", state.seed);
    state_command->add_flag("--bare", bare_state, "without the head");
    VerdictWords verdicts;
    auto* verdicts_command = app.add_subcommand(
        "verdicts",
        "an endpoint that fails some calls of many sidecars: bad calls, verdicts shared and alone");
    verdicts_command->add_option("--sidecars", verdicts.sidecars)->check(CLI::Range(2, 1000));
    verdicts_command->add_option("--rate", verdicts.rate, "calls a second of each")
        ->check(CLI::Range(0.01, 100.0));
    verdicts_command->add_option("--fails", verdicts.fails, "share of the bad endpoint's calls")
        ->check(CLI::Range(0.0, 1.0));
    verdicts_command->add_option("--liars", verdicts.liars, "sidecars that accuse a sound endpoint");
    verdicts_command->add_option("--seeds", verdicts.seeds)->check(CLI::Range(1, 1000));
    verdicts_command->add_option("--seconds", verdicts.seconds)->check(CLI::Range(1, 3600));
    FleetWords fleet;
    bool bare = false;
    auto* fleet_command = app.add_subcommand(
        "fleet",
        "members of a fleet in virtual time: crashes noticed, false deaths, what it costs; one line");
    fleet_command->add_option("--members", fleet.members, "processes")->check(CLI::Range(3, 5000));
    fleet_command->add_option("--seed", fleet.seed);
    fleet_command->add_option("--length", fleet.length, "played after the start");
    fleet_command->add_option("--stalled", fleet.stalled,
                              "share of the members that stands still at any time");
    fleet_command->add_option("--stall", fleet.stall, "for how long each");
    fleet_command->add_option("--bound", fleet.bound, "the setting 'stall' of [fleet]");
    fleet_command->add_option("--crashes", fleet.crashes, "spread over the length")
        ->check(CLI::Range(0, 1000));
    fleet_command->add_option("--drop", fleet.drop, "share of messages that are lost");
    fleet_command->add_flag("--bytes", fleet.bytes, "count them, too: slower");
    fleet_command->add_flag("!--no-own-health", fleet.own_health, "without Lifeguard's own health");
    fleet_command->add_flag("--bare", bare, "without the head");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const int code = app.exit(error);
        return code == 0 ? 0 : kBadInput;
    }
    if (play_command->count("--seed") + demo_command->count("--seed") > 0) options.seed = seed;
    try {
        if (*check_command) return check(files);
        if (*list_command) return list();
        fleet.head = !bare;
        state.head = !bare_state;
        if (*verdicts_command) return measure_verdicts(verdicts);
        if (*state_command) return measure_state(state);
        if (*fleet_command) return measure_fleet(fleet);
        if (*demo_command) {
            options.file = kDemo;
            options.sockets = !options.virtual_time;
        }
        return play(options);
    } catch (const ScenarioError& error) {
        std::cerr << error.what() << '\n';
        return kBadInput;
    } catch (const std::exception& error) {
        std::cerr << "martenford-emulator: " << error.what() << '\n';
        return kBadInput;
    }
}
