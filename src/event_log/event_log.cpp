#include "event_log/event_log.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

#include "event_log/line_writer.h"

namespace martenford::event_log {

namespace {

/// The one log of the process.
struct OpenLog {
    std::string program;
    LineWriter writer{STDERR_FILENO};
    std::uint64_t lost_lines = 0;  // since the last line that was written
};
std::optional<OpenLog> open_log;  // nothing until open()

/// The window in which max_per_minute applies.
constexpr std::chrono::minutes kRateLimitWindow{1};

/// How often one event was logged lately.
struct RateLimit {
    std::chrono::steady_clock::time_point window_start{};
    unsigned events_in_window = 0;
    unsigned suppressed = 0;  // since the last line
};

const EventDescription& description_of(Event event) {
    const auto& catalogue = event_catalogue();
    return *std::find_if(catalogue.begin(), catalogue.end(),
                         [event](const EventDescription& description) { return description.event == event; });
}

/// Counts the event. Returns false if its line is to be suppressed.
bool admit(RateLimit& limit, unsigned max_per_minute) {
    const auto now = std::chrono::steady_clock::now();
    if (now - limit.window_start > kRateLimitWindow) {
        limit.window_start = now;
        limit.events_in_window = 0;
    }
    ++limit.events_in_window;
    if (limit.events_in_window <= max_per_minute) return true;
    ++limit.suppressed;
    return false;
}

/// Five characters, so that the columns behind it line up.
const char* label_of(Severity severity) {
    switch (severity) {
        case Severity::Info:
            return "INFO ";
        case Severity::Warning:
            return "WARN ";
        case Severity::Error:
            return "ERROR";
    }
    return "ERROR";
}

std::string line_start(const EventDescription& description) {
    return std::string(label_of(description.severity)) + " " + open_log->program + " " + description.code +
           " ";
}

/// Writes a line, after one that counts those that were lost before it.
void write(std::string line) {
    if (open_log->lost_lines > 0) {
        const std::string report =
            line_start(description_of(Event::LogLinesLost)) +
            "lines of log could not be written count=" + std::to_string(open_log->lost_lines);
        if (open_log->writer.write(report)) open_log->lost_lines = 0;
    }
    if (!open_log->writer.write(std::move(line))) ++open_log->lost_lines;
}

}  // namespace

void open(const std::string& program) {
    open_log.emplace().program = program;
}

void log_event(Event event, const std::string& text,
               std::initializer_list<std::pair<std::string_view, std::string>> fields) {
    if (!open_log) return;
    static std::map<Event, RateLimit> rate_limits;
    const EventDescription& description = description_of(event);
    RateLimit& limit = rate_limits[event];
    if (!admit(limit, description.max_per_minute)) return;
    std::string line = line_start(description) + text;
    for (const auto& [name, value] : fields) line += " " + std::string(name) + "=" + value;
    if (limit.suppressed > 0) line += " suppressed=" + std::to_string(std::exchange(limit.suppressed, 0));
    write(std::move(line));
}

}  // namespace martenford::event_log
