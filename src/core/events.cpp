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

constexpr std::chrono::minutes kWindow{1};
constexpr std::size_t kLongest = 2048;  // bytes of a line: under what a pipe takes whole

/// Standard error, without ever waiting for who reads it.
class PatientSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    PatientSink() {
        struct stat about {};
        // A pipe gets a description of its own: the flag must not change for others that write to it.
        if (::fstat(STDERR_FILENO, &about) == 0 && S_ISFIFO(about.st_mode)) {
            const int own = ::open("/proc/self/fd/2", O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            if (own >= 0) fd_ = own;
        }
    }
    ~PatientSink() override {
        if (fd_ != STDERR_FILENO) ::close(fd_);
    }
    std::uint64_t lost() const { return lost_; }
    void told_of_lost() { lost_ = 0; }

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
    Log() : sink(std::make_shared<PatientSink>()), logger("martenford", sink) {
        sink->set_formatter(std::make_unique<spdlog::pattern_formatter>("%n: %v"));
    }
    std::shared_ptr<PatientSink> sink;
    spdlog::logger logger;
    struct Count {
        std::chrono::steady_clock::time_point from{};
        unsigned told = 0;
        std::uint64_t untold = 0;
    };
    std::vector<Count> counts{event_kinds().size()};
};

Log& the_log() {
    static Log log;
    return log;
}

spdlog::level::level_enum level_of(Weight weight) {
    return weight == Weight::Info      ? spdlog::level::info
           : weight == Weight::Warning ? spdlog::level::warn
                                       : spdlog::level::err;
}

}  // namespace

const std::vector<EventKind>& event_kinds() {
    constexpr unsigned kRare = 60;    // things that happen some times a day
    constexpr unsigned kOften = 120;  // in a large fleet that starts or falls, many at once
    using enum Event;
    static const std::vector<EventKind> kinds{
        {Listening, "MF001", "front.listening", Weight::Info, kRare, "It takes clients, at this address"},
        {Console, "MF002", "console.listening", Weight::Info, kRare, "Operators call at this address"},
        {TakesOver, "MF003", "handover.takes_over", Weight::Info, kRare,
         "An earlier process of this sidecar hands over to it"},
        {NoHeir, "MF004", "handover.no_heir", Weight::Warning, kRare,
         "No later process can take over from it: the next upgrade refuses connections"},
        {Evacuates, "MF005", "front.evacuates", Weight::Info, kRare, "An operator sends its clients away"},
        {Activates, "MF006", "front.activates", Weight::Info, kRare, "An operator has it serve again"},
        {ConfigKept, "MF007", "config.kept", Weight::Error, kRare,
         "A new configuration can't be read; the old one stays"},
        {DiscoveryMoves, "MF010", "discovery.moves", Weight::Info, kRare,
         "Discovery is asked at another address"},
        {DiscoveryAnew, "MF011", "discovery.anew", Weight::Warning, kRare,
         "Endpoints are not as listed: discovery is asked anew"},
        {DiscoveryTrouble, "MF012", "discovery.trouble", Weight::Warning, kRare,
         "A call of discovery failed; it is repeated"},
        {DiscoveryRemark, "MF013", "discovery.remark", Weight::Warning, kRare,
         "A list is doubted, or takes away much of the tier"},
        {EntriesSkipped, "MF014", "discovery.skipped", Weight::Warning, kRare,
         "Entries of a list can't be read and were left out"},
        {JournalLost, "MF020", "ledger.lost", Weight::Error, kRare,
         "The journal's writer died, hung or can keep nothing; it is started again"},
        {JournalWorks, "MF021", "ledger.works", Weight::Info, kRare, "The journal keeps records again"},
        {JournalUnkept, "MF022", "ledger.unkept", Weight::Error, kRare,
         "Requests that must not run twice go out unjournaled, as configured"},
        {FleetListens, "MF100", "fleet.listens", Weight::Info, kRare, "Others of the fleet reach it here"},
        {FleetNoPlace, "MF101", "fleet.no_place", Weight::Error, kRare,
         "It can't listen for others; it serves without a fleet and tries again"},
        {FleetJoined, "MF102", "fleet.joined", Weight::Info, kOften, "A member is new here"},
        {FleetLeft, "MF103", "fleet.left", Weight::Info, kOften, "A member ended in order"},
        {FleetDied, "MF104", "fleet.died", Weight::Warning, kOften, "Nobody reaches a member any more"},
        {FleetLostAtOnce, "MF105", "fleet.lost_at_once", Weight::Error, kRare,
         "Several members went together: a partition, a zone, a rollout"},
        {FleetReturned, "MF106", "fleet.returned", Weight::Info, kOften,
         "A member that was held dead was not"},
        {FleetDoubled, "MF107", "fleet.doubled", Weight::Error, kRare,
         "Two live processes have one name, and neither takes over from the other"},
        {FleetStood, "MF108", "fleet.stood", Weight::Warning, kRare, "This process stood still"},
        {FleetAccused, "MF109", "fleet.accused", Weight::Warning, kRare,
         "This process was suspected, and has refuted it"},
        {StateCaughtUp, "MF120", "state.caught_up", Weight::Info, kRare,
         "It has had all shared state that another sidecar had"},
        {StateUnkept, "MF121", "state.unkept", Weight::Error, kRare,
         "Shared state is not kept on disk now; it is shared all the same"},
        {StateKept, "MF122", "state.kept", Weight::Info, kRare, "Shared state is kept on disk again"},
        {StateAside, "MF123", "state.aside", Weight::Error, kRare,
         "A copy on disk, or entries of it, can't be used: old, damaged, of another fleet or a later "
         "version"},
        {LinesLost, "MF900", "log.lost", Weight::Warning, kRare, "Nobody read the log fast enough"}};
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
    constexpr const char* kWeights[] = {"info", "warning", "error"};
    for (const EventKind& kind : event_kinds()) {
        page += fmt::format("| `{}` | `{}` | {} | {} | {} |\n", kind.code, kind.name,
                            kWeights[static_cast<std::size_t>(kind.weight)], kind.most, kind.meaning);
    }
    return page;
}

void tell(Event event, const std::string& text, std::initializer_list<Field> fields) {
    Log& log = the_log();
    const EventKind& kind = event_kinds()[static_cast<std::size_t>(event)];
    Log::Count& count = log.counts[static_cast<std::size_t>(event)];
    const auto now = std::chrono::steady_clock::now();
    if (now >= count.from + kWindow) {
        count.from = now;
        count.told = 0;
    }
    if (count.told >= kind.most) {
        ++count.untold;
        return;
    }
    ++count.told;
    std::string line = fmt::format("{} {}", kind.code, text);
    bool first = true;
    for (const auto& [key, value] : fields) {
        line += fmt::format("{}{}={}", std::exchange(first, false) ? " | " : " ", key, value);
    }
    if (count.untold > 0) line += fmt::format(" ({} more before)", std::exchange(count.untold, 0));
    if (line.size() > kLongest) line.resize(kLongest);
    log.logger.log(level_of(kind.weight), "{}", line);
    if (event != Event::LinesLost && log.sink->lost() > 0) {
        const auto lost = log.sink->lost();
        log.sink->told_of_lost();
        tell(Event::LinesLost, fmt::format("{} lines found no reader", lost));
    }
}

}  // namespace martenford
