#include "bootstrap/program.h"

#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

#include "bootstrap/startup_wait.h"
#include "core/process_setup.h"
#include "event_log/event_log.h"

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

namespace martenford::bootstrap {
namespace {

using event_log::Event;
using event_log::log_event;

enum class Action { Run, CheckSettings };

/// Blocks or unblocks the signals that the programs handle, in this thread and in those that it starts.
/// @param how SIG_BLOCK or SIG_UNBLOCK
void mask_handled_signals(int how) {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
    pthread_sigmask(how, &signals, nullptr);
}

void print_help(const ProgramDescription& program) {
    std::cout << program.name << ": " << program.summary
              << ". Settings: MARTENFORD_CONFIG.\n"
                 "  --check   read the settings and end\n  --events  the catalogue of events\n";
}

std::variant<Action, ExitCode> parse_command_line(int argc, char** argv, const ProgramDescription& program) {
    static const option kOptions[] = {{"help", no_argument, nullptr, 'h'},
                                      {"check", no_argument, nullptr, 'c'},
                                      {"events", no_argument, nullptr, 'e'},
                                      {nullptr, 0, nullptr, 0}};
    Action action = Action::Run;
    for (int option = 0; (option = getopt_long(argc, argv, "hce", kOptions, nullptr)) != -1;) {
        switch (option) {
            case 'c':
                action = Action::CheckSettings;
                break;
            case 'e':
                std::cout << event_log::catalogue_page();
                return ExitCode{0};
            case 'h':
                print_help(program);
                return ExitCode{0};
            default:
                print_help(program);
                return ExitCode{kExitBadSettings};
        }
    }
    return action;
}

ExitCode bad_settings(const std::string& what) {
    log_event(Event::BadSettings, what);
    return {kExitBadSettings};
}

/// Loads the settings, and checks that those that the program requires are set.
std::variant<Settings, SettingsError> load_all_required(const ProgramDescription& program) {
    auto loaded = load();
    const auto* settings = std::get_if<Settings>(&loaded);
    if (settings == nullptr) return loaded;
    for (const RequiredSetting& required : program.required_settings(*settings)) {
        if (!required.is_set) return SettingsError{std::string(required.field) + ": it is missing"};
    }
    return loaded;
}

/// The same for a start: a file that can't be used may be one that is being written at this moment.
std::variant<Settings, ExitCode> wait_for_settings(const ProgramDescription& program) {
    const Time start = EventLoop::monotonic();
    Time last_absent_at = start;
    bool is_wait_logged = false;
    for (;;) {
        auto loaded = load_all_required(program);
        if (auto* settings = std::get_if<Settings>(&loaded)) return std::move(*settings);
        const auto& [what, is_absent] = std::get<SettingsError>(loaded);
        const Time now = EventLoop::monotonic();
        if (is_absent) last_absent_at = now;
        const Time give_up_at =
            is_absent ? start + kAbsentSettingsRetryTime : last_absent_at + kSettingsRetryTime;
        if (now >= give_up_at) return bad_settings(what);
        if (!std::exchange(is_wait_logged, true))
            log_event(Event::StartDelayed, "reads the settings again", {{"what", what}});
        if (!wait_unless_terminated(kStartRetryInterval)) return ExitCode{0};
    }
}

ExitCode check_settings(const ProgramDescription& program) {
    const auto loaded = load_all_required(program);
    if (const auto* error = std::get_if<SettingsError>(&loaded)) return bad_settings(error->message);
    return {0};
}

std::string address_of(const std::string& ip_address, std::uint16_t port) {
    return ip_address + ":" + std::to_string(port);
}

}  // namespace

std::variant<Settings, ExitCode> start_program(int argc, char** argv, const ProgramDescription& program) {
    mask_handled_signals(SIG_BLOCK);
    prepare_process();
    const auto parsed = parse_command_line(argc, argv, program);
    if (const auto* exit_code = std::get_if<ExitCode>(&parsed)) return *exit_code;

    event_log::open(program.name);
    if (std::get<Action>(parsed) == Action::CheckSettings) return check_settings(program);
    return wait_for_settings(program);
}

void exit_process(int code) {
#ifdef __SANITIZE_ADDRESS__
    __lsan_do_leak_check();  // it runs in a static destructor otherwise
#endif
    std::cout.flush();
    std::_Exit(code);
}

std::uint64_t random_nonzero_id() {
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    const auto low = static_cast<std::uint64_t>(device());
    return (high << 32 | low) | 1;
}

std::vector<std::string> seed_addresses(const Settings& settings) {
    std::vector<std::string> addresses;
    addresses.reserve(settings.seeds.size());
    for (const Address& seed : settings.seeds) {
        addresses.push_back(address_of(seed.address().to_string(), settings.first_port));
    }
    return addresses;
}

std::string own_address(const Settings& settings) {
    return address_of(settings.ip_address, settings.first_port);
}

bool is_seed_address(const Settings& settings, const std::string& address) {
    return std::any_of(settings.seeds.begin(), settings.seeds.end(), [&](const Address& seed) {
        return address.starts_with(seed.address().to_string() + ":");
    });
}

ProcessSignals::ProcessSignals(EventLoop& loop, Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      reload_timer_(loop),
      termination_signals_(loop.io(), SIGTERM, SIGINT),
      reload_signals_(loop.io(), SIGHUP) {
    watch_for_termination();
    watch_for_reload();
    mask_handled_signals(SIG_UNBLOCK);
}

ProcessSignals::~ProcessSignals() {
    mask_handled_signals(SIG_BLOCK);
}

void ProcessSignals::watch_for_termination() {
    termination_signals_.async_wait([this](const auto& error, int) {
        if (error) return;
        handlers_.on_terminate();
    });
}

void ProcessSignals::watch_for_reload() {
    reload_signals_.async_wait([this](const auto& error, int) {
        if (error) return;
        reload(loop_.now() + kSettingsRetryTime);
        watch_for_reload();
    });
}

void ProcessSignals::reload(Time give_up_at) {
    const auto loaded = load();
    if (const auto* settings = std::get_if<Settings>(&loaded)) return handlers_.on_reload(*settings);
    if (loop_.now() < give_up_at) {
        reload_timer_.set(loop_.now() + kStartRetryInterval, [this, give_up_at] { reload(give_up_at); });
        return;
    }
    log_event(Event::ReloadRejected, std::get<SettingsError>(loaded).message);
}

}  // namespace martenford::bootstrap
