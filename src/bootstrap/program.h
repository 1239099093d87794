// The start-up that the mesh's programs share: command line, event log, settings, process signals and the one
// source of random ids. CMake target mesh_program, above mesh_bootstrap and mesh_event_log.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "bootstrap/settings.h"
#include "core/loop.h"

namespace martenford::bootstrap {

/// Exit code for unknown options, and for settings that are missing or invalid.
inline constexpr int kExitBadSettings = 2;

/// For so long a settings file that can't be used is read again: it may be written at that moment.
inline constexpr Duration kSettingsRetryTime = 1s;
/// The same for a start where there is no file: what provides it may start beside this program.
inline constexpr Duration kAbsentSettingsRetryTime = 10s;

/// A settings field that a program can't run without.
struct RequiredSetting {
    bool is_set = false;
    const char* field = "";  ///< as the settings file names it, e.g. "listen_addrs.control"
};

struct ProgramDescription {
    std::string name;     ///< as --help and the event log print it, e.g. "martenford-proxy"
    std::string summary;  ///< what follows the name in --help, without the full stop
    /// Checked in this order; the first that is not set is reported.
    std::function<std::vector<RequiredSetting>(const Settings&)> required_settings;
};

/// The process ends with this code; everything that a person needs has been printed.
struct ExitCode {
    int value = 0;
};

/// Handles --help, --events and --check, opens the event log, loads the settings and checks that the required
/// ones are set. Returns the settings to run with, or the exit code: 0 after an option that was answered,
/// kExitBadSettings after an unknown option, or after kSettingsRetryTime (kAbsentSettingsRetryTime) with one
/// MG event that names the faulty field. Called once per process, before anything is logged. SIGTERM, SIGINT
/// and SIGHUP are held back from here on, until ProcessSignals handles them: their default action would end
/// the process.
[[nodiscard]] std::variant<Settings, ExitCode> start_program(int argc, char** argv,
                                                             const ProgramDescription& program);

/// Ends the process at once, with this code: destructors of static objects do not run, and signals that come
/// meanwhile find the handlers still in place. To be called last in main(); lines of log are written already.
[[noreturn]] void exit_process(int code);

/// From the system's random source; odd, hence never 0. For ids that must differ between processes and
/// between starts of one process, and for seeds of pseudo-random generators.
[[nodiscard]] std::uint64_t random_nonzero_id();

/// "ip:port" of every seed's RPC listener, in the settings' order.
[[nodiscard]] std::vector<std::string> seed_addresses(const Settings& settings);

/// "ip:port" of this process's own RPC listener.
[[nodiscard]] std::string own_address(const Settings& settings);

/// True if `address` ("ip:port") is on the machine of a seed, whatever its port.
[[nodiscard]] bool is_seed_address(const Settings& settings, const std::string& address);

/// Handles SIGTERM, SIGINT and SIGHUP for as long as it lives; after that they are held back again. The
/// handlers run on the loop.
class ProcessSignals {
  public:
    struct Handlers {
        /// The first SIGTERM or SIGINT. Later ones are ignored: a shutdown that is under way goes on.
        std::function<void()> on_terminate;
        /// SIGHUP, with the settings file read again. Only `seeds` may change while the process runs; the
        /// caller ignores the rest. Not called if the file is invalid and stays so for kSettingsRetryTime:
        /// the settings in use stay.
        std::function<void(const Settings&)> on_reload;
    };

    /// From now on the signals no longer end the process. Those that were held back come now.
    ProcessSignals(EventLoop& loop, Handlers handlers);
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals&) = delete;
    ProcessSignals& operator=(const ProcessSignals&) = delete;

  private:
    void watch_for_termination();
    void watch_for_reload();
    /// Reads the settings, again until `give_up_at` while they can't be used.
    void reload(Time give_up_at);

    EventLoop& loop_;
    Handlers handlers_;
    Timer reload_timer_;
    asio::signal_set termination_signals_;
    asio::signal_set reload_signals_;
};

}  // namespace martenford::bootstrap
