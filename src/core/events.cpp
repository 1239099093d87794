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
constexpr std::size_t kMaxLineBytes = 2048;  // bytes of a line: under what a pipe takes whole

/// Standard error, without ever waiting for who reads it.
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    NonBlockingSink() {
        struct stat about {};
        // A pipe gets a description of its own: the flag must not change for others that write to it.
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
    constexpr unsigned kRareLinesPerMinute = 60;       // things that happen some times a day
    constexpr unsigned kFrequentLinesPerMinute = 120;  // in a large fleet that starts or falls, many at once
    using enum Event;
    static const std::vector<EventKind> kinds{
        {Listening, "MF001", "front.listening", Severity::Info, kRareLinesPerMinute,
         "It takes clients, at this address"},
        {ConsoleListening, "MF002", "console.listening", Severity::Info, kRareLinesPerMinute,
         "Operators call at this address"},
        {TakeoverStarted, "MF003", "handover.takes_over", Severity::Info, kRareLinesPerMinute,
         "An earlier process of this sidecar hands over to it"},
        {NoSuccessor, "MF004", "handover.no_heir", Severity::Warning, kRareLinesPerMinute,
         "No later process can take over from it: the next upgrade refuses connections"},
        {Evacuates, "MF005", "front.evacuates", Severity::Info, kRareLinesPerMinute,
         "An operator sends its clients away"},
        {Activates, "MF006", "front.activates", Severity::Info, kRareLinesPerMinute,
         "An operator has it serve again"},
        {ConfigRejected, "MF007", "config.kept", Severity::Error, kRareLinesPerMinute,
         "A new configuration can't be read; the old one stays"},
        {DiscoveryAddressChanged, "MF010", "discovery.moves", Severity::Info, kRareLinesPerMinute,
         "Discovery is asked at another address"},
        {DiscoveryResync, "MF011", "discovery.anew", Severity::Warning, kRareLinesPerMinute,
         "Endpoints are not as listed: discovery is asked anew"},
        {DiscoveryCallFailed, "MF012", "discovery.trouble", Severity::Warning, kRareLinesPerMinute,
         "A call of discovery failed; it is repeated"},
        {DiscoveryListSuspicious, "MF013", "discovery.remark", Severity::Warning, kRareLinesPerMinute,
         "A list is doubted, or takes away much of the tier"},
        {EntriesSkipped, "MF014", "discovery.skipped", Severity::Warning, kRareLinesPerMinute,
         "Entries of a list can't be read and were left out"},
        {JournalWriterLost, "MF020", "ledger.lost", Severity::Error, kRareLinesPerMinute,
         "The journal's writer died, hung or can keep nothing; it is started again"},
        {JournalRecovered, "MF021", "ledger.works", Severity::Info, kRareLinesPerMinute,
         "The journal keeps records again"},
        {JournalBypassed, "MF022", "ledger.unkept", Severity::Error, kRareLinesPerMinute,
         "Requests that must not run twice go out unjournaled, as configured"},
        {FleetListening, "MF100", "fleet.listens", Severity::Info, kRareLinesPerMinute,
         "Others of the fleet reach it here"},
        {FleetCannotListen, "MF101", "fleet.no_place", Severity::Error, kRareLinesPerMinute,
         "It can't listen for others; it serves without a fleet and tries again"},
        {FleetJoined, "MF102", "fleet.joined", Severity::Info, kFrequentLinesPerMinute,
         "A member is new here"},
        {FleetLeft, "MF103", "fleet.left", Severity::Info, kFrequentLinesPerMinute,
         "A member ended in order"},
        {FleetDied, "MF104", "fleet.died", Severity::Warning, kFrequentLinesPerMinute,
         "Nobody reaches a member any more"},
        {FleetMassLoss, "MF105", "fleet.lost_at_once", Severity::Error, kRareLinesPerMinute,
         "Several members went together: a partition, a zone, a rollout"},
        {FleetReturned, "MF106", "fleet.returned", Severity::Info, kFrequentLinesPerMinute,
         "A member that was held dead was not"},
        {FleetDuplicateName, "MF107", "fleet.doubled", Severity::Error, kRareLinesPerMinute,
         "Two live processes have one name, and neither takes over from the other"},
        {FleetProcessPaused, "MF108", "fleet.stood", Severity::Warning, kRareLinesPerMinute,
         "This process stood still"},
        {FleetSuspicionRefuted, "MF109", "fleet.accused", Severity::Warning, kRareLinesPerMinute,
         "This process was suspected, and has refuted it"},
        {StateCaughtUp, "MF120", "state.caught_up", Severity::Info, kRareLinesPerMinute,
         "It has had all shared state that another sidecar had"},
        {StateNotPersisted, "MF121", "state.unkept", Severity::Error, kRareLinesPerMinute,
         "Shared state is not kept on disk now; it is shared all the same"},
        {StatePersisted, "MF122", "state.kept", Severity::Info, kRareLinesPerMinute,
         "Shared state is kept on disk again"},
        {StateCopyRejected, "MF123", "state.aside", Severity::Error, kRareLinesPerMinute,
         "A copy on disk, or entries of it, can't be used: old, damaged, of another fleet or a later "
         "version"},
        {LogLinesLost, "MF900", "log.lost", Severity::Warning, kRareLinesPerMinute,
         "Nobody read the log fast enough"}};
    return kinds;
}

std::string events_page() {
    std::string page =
        "# Events\n\nEvery line that the program tells of itself has a code that stays with its meaning: "
        "`martenford: CODE "
        "text | key=value ...`.\nMade by `martenford events`; what comes more often than the bound a minute "
        "is counted and "
        "told of with the next of its kind.\n\n| code | name | weight | a minute | meaning |\n| --- | --- | "
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
        line += fmt::format(" ({} more before)", std::exchange(rate_limit.suppressed, 0));
    if (line.size() > kMaxLineBytes) line.resize(kMaxLineBytes);
    log.logger.log(level_of(kind.severity), "{}", line);
    if (event != Event::LogLinesLost && log.sink->lost() > 0) {
        const auto lost = log.sink->lost();
        log.sink->reset_lost();
        log_event(Event::LogLinesLost, fmt::format("{} lines found no reader", lost));
    }
}

}  // namespace martenford
