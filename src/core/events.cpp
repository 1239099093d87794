#include "core/events.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>

#include "core/log.h"

namespace martenford {

namespace {

constexpr std::chrono::minutes kRateLimitWindow{1};
// Below PIPE_BUF, so that a pipe takes a line whole or not at all.
constexpr std::size_t kMaxLineBytes = 2048;

/// Writes to standard error. If that is a pipe, it never waits for the reader.
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    NonBlockingSink() {
        struct stat about {};
        // A pipe is opened anew: O_NONBLOCK must not apply to other processes that write to the same file
        // description.
        if (::fstat(STDERR_FILENO, &about) == 0 && S_ISFIFO(about.st_mode)) {
            const int own = ::open("/proc/self/fd/2", O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            if (own >= 0) fd_ = own;
        }
    }
    ~NonBlockingSink() override {
        if (fd_ != STDERR_FILENO) ::close(fd_);
    }
    std::uint64_t lost() const { return lost_; }
    void reset_lost() { lost_ = 0; }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (::write(fd_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) ++lost_;
    }
    void flush_() override {}

  private:
    int fd_ = STDERR_FILENO;
    std::uint64_t lost_ = 0;
};

struct Log {
    Log() : sink(std::make_shared<NonBlockingSink>()), logger("martenford", sink) {
        sink->set_formatter(std::make_unique<spdlog::pattern_formatter>("%n: %v"));
    }
    std::shared_ptr<NonBlockingSink> sink;
    spdlog::logger logger;
    struct RateLimit {
        std::chrono::steady_clock::time_point window_start{};
        unsigned emitted = 0;
        std::uint64_t suppressed = 0;
    };
    std::vector<RateLimit> rate_limits{event_kinds().size()};
};

Log& log_state() {
    static Log log;
    return log;
}

spdlog::level::level_enum level_of(Severity severity) {
    return severity == Severity::Info      ? spdlog::level::info
           : severity == Severity::Warning ? spdlog::level::warn
                                           : spdlog::level::err;
}

}  // namespace

const std::vector<EventKind>& event_kinds() {
    constexpr unsigned kRareLinesPerMinute = 60;       // events that occur a few times a day
    constexpr unsigned kFrequentLinesPerMinute = 120;  // many at once while a large fleet starts or fails
    using enum Event;
    static const std::vector<EventKind> kinds{
        {Listening, "MF001", "front.listening", Severity::Info, kRareLinesPerMinute,
         "Clients are accepted at this address"},
        {ConsoleListening, "MF002", "console.listening", Severity::Info, kRareLinesPerMinute,
         "The operators' console listens at this address"},
        {TakeoverStarted, "MF003", "handover.takes_over", Severity::Info, kRareLinesPerMinute,
         "This process takes over from an earlier process of this sidecar"},
        {NoSuccessor, "MF004", "handover.no_heir", Severity::Warning, kRareLinesPerMinute,
         "No later process can take over from this one: the next upgrade refuses connections"},
        {Evacuates, "MF005", "front.evacuates", Severity::Info, kRareLinesPerMinute,
         "An operator started an evacuation: clients are sent away"},
        {Activates, "MF006", "front.activates", Severity::Info, kRareLinesPerMinute,
         "An operator ended the evacuation: requests are served again"},
        {ConfigRejected, "MF007", "config.kept", Severity::Error, kRareLinesPerMinute,
         "A new configuration is invalid; the old one stays in effect"},
        {PortUnavailable, "MF008", "front.port_unavailable", Severity::Warning, kRareLinesPerMinute,
         "Another process holds the address to listen on; it is tried again"},
        {DiscoveryAddressChanged, "MF010", "discovery.moves", Severity::Info, kRareLinesPerMinute,
         "Discovery is queried at another address"},
        {DiscoveryResync, "MF011", "discovery.anew", Severity::Warning, kRareLinesPerMinute,
         "Endpoints differ from the list: a new list is requested from discovery"},
        {DiscoveryCallFailed, "MF012", "discovery.trouble", Severity::Warning, kRareLinesPerMinute,
         "A call to discovery failed; it is retried"},
        {DiscoveryListSuspicious, "MF013", "discovery.remark", Severity::Warning, kRareLinesPerMinute,
         "A list from discovery is in doubt, or removes a large part of the tier"},
        {EntriesSkipped, "MF014", "discovery.skipped", Severity::Warning, kRareLinesPerMinute,
         "Entries of a list could not be parsed and were skipped"},
        {JournalWriterLost, "MF020", "ledger.lost", Severity::Error, kRareLinesPerMinute,
         "The journal's writer died, hung or cannot store anything; it is restarted"},
        {JournalRecovered, "MF021", "ledger.works", Severity::Info, kRareLinesPerMinute,
         "The journal stores records again"},
        {JournalBypassed, "MF022", "ledger.unkept", Severity::Error, kRareLinesPerMinute,
         "Requests that must not run twice are sent without a journal record, as configured"},
        {FleetListening, "MF100", "fleet.listens", Severity::Info, kRareLinesPerMinute,
         "Other members of the fleet can connect at this address"},
        {FleetCannotListen, "MF101", "fleet.no_place", Severity::Error, kRareLinesPerMinute,
         "Listening for other members failed; the process serves without a fleet and retries"},
        {FleetJoined, "MF102", "fleet.joined", Severity::Info, kFrequentLinesPerMinute, "A member joined"},
        {FleetLeft, "MF103", "fleet.left", Severity::Info, kFrequentLinesPerMinute,
         "A member left in an orderly way"},
        {FleetDied, "MF104", "fleet.died", Severity::Warning, kFrequentLinesPerMinute,
         "No member can reach this member any more"},
        {FleetMassLoss, "MF105", "fleet.lost_at_once", Severity::Error, kRareLinesPerMinute,
         "Several members were lost at once: a partition, a zone failure or a rollout"},
        {FleetReturned, "MF106", "fleet.returned", Severity::Info, kFrequentLinesPerMinute,
         "A member that was considered dead is alive"},
        {FleetDuplicateName, "MF107", "fleet.doubled", Severity::Error, kRareLinesPerMinute,
         "Two running processes have the same name, and neither takes over from the other"},
        {FleetProcessPaused, "MF108", "fleet.stood", Severity::Warning, kRareLinesPerMinute,
         "This process did not run for a while"},
        {FleetSuspicionRefuted, "MF109", "fleet.accused", Severity::Warning, kRareLinesPerMinute,
         "Other members suspected this process of being dead; it has refuted that"},
        {StateCaughtUp, "MF120", "state.caught_up", Severity::Info, kRareLinesPerMinute,
         "All shared state of another sidecar has been received"},
        {StateNotPersisted, "MF121", "state.unkept", Severity::Error, kRareLinesPerMinute,
         "Shared state is not stored on disk at present; it is still shared"},
        {StatePersisted, "MF122", "state.kept", Severity::Info, kRareLinesPerMinute,
         "Shared state is stored on disk again"},
        {StateCopyRejected, "MF123", "state.aside", Severity::Error, kRareLinesPerMinute,
         "A copy on disk, or entries of it, can't be used: old, damaged, of another fleet or a later "
         "version"},
        {LogLinesLost, "MF900", "log.lost", Severity::Warning, kRareLinesPerMinute,
         "Log lines were lost because nobody read them fast enough"}};
    return kinds;
}

std::string events_page() {
    std::string page =
        "# Events\n\nEach event that the program logs has a code that never changes its meaning: "
        "`martenford: CODE "
        "text | key=value ...`.\nGenerated by `martenford events`. Lines beyond the limit per minute are "
        "suppressed; the next line of "
        "their kind gives their number.\n\n| code | name | severity | a minute | meaning |\n| --- | --- | "
        "--- | --- | --- |\n";
    constexpr const char* kSeverities[] = {"info", "warning", "error"};
    for (const EventKind& kind : event_kinds()) {
        page += fmt::format("| `{}` | `{}` | {} | {} | {} |\n", kind.code, kind.name,
                            kSeverities[static_cast<std::size_t>(kind.severity)], kind.max_lines_per_minute,
                            kind.meaning);
    }
    return page;
}

void log_event(Event event, const std::string& text, std::initializer_list<Field> fields) {
    Log& log = log_state();
    const EventKind& kind = event_kinds()[static_cast<std::size_t>(event)];
    Log::RateLimit& rate_limit = log.rate_limits[static_cast<std::size_t>(event)];
    const auto now = std::chrono::steady_clock::now();
    if (now >= rate_limit.window_start + kRateLimitWindow) {
        rate_limit.window_start = now;
        rate_limit.emitted = 0;
    }
    if (rate_limit.emitted >= kind.max_lines_per_minute) {
        ++rate_limit.suppressed;
        return;
    }
    ++rate_limit.emitted;
    std::string line = fmt::format("{} {}", kind.code, text);
    bool first = true;
    for (const auto& [key, value] : fields) {
        line += fmt::format("{}{}={}", std::exchange(first, false) ? " | " : " ", key, value);
    }
    if (rate_limit.suppressed > 0)
        line += fmt::format(" ({} more suppressed)", std::exchange(rate_limit.suppressed, 0));
    if (line.size() > kMaxLineBytes) line.resize(kMaxLineBytes);
    log.logger.log(level_of(kind.severity), "{}", line);
    if (event != Event::LogLinesLost && log.sink->lost() > 0) {
        const auto lost = log.sink->lost();
        log.sink->reset_lost();
        log_event(Event::LogLinesLost,
                  fmt::format("{} lines lost: standard error was not read fast enough", lost));
    }
}

}  // namespace martenford
