#include "event_log/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

namespace martenford::event_log {

namespace {

/// The library's lifetime and the one logger of the process.
struct OpenLog {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
};
OpenLog* open_log = nullptr;  // null until open()

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

log4cplus::LogLevel log_level_of(Severity severity) {
    switch (severity) {
        case Severity::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case Severity::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case Severity::Error:
            return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

}  // namespace

void open(const std::string& program) {
    static OpenLog log;
    constexpr bool kToStandardError = true;
    constexpr bool kFlushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%-5p %c %m%n"));
    log.logger = log4cplus::Logger::getInstance(program);
    log.logger.addAppender(appender);
    log.logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    open_log = &log;
}

void log_event(Event event, const std::string& text,
               std::initializer_list<std::pair<std::string_view, std::string>> fields) {
    if (!open_log) return;
    static std::map<Event, RateLimit> rate_limits;
    const EventDescription& description = description_of(event);
    RateLimit& limit = rate_limits[event];
    if (!admit(limit, description.max_per_minute)) return;
    std::string line = std::string(description.code) + " " + text;
    for (const auto& [name, value] : fields) line += " " + std::string(name) + "=" + value;
    if (limit.suppressed > 0) line += " suppressed=" + std::to_string(std::exchange(limit.suppressed, 0));
    open_log->logger.forcedLog(log_level_of(description.severity), line);
}

}  // namespace martenford::event_log
