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

const std::vector<EventDescription>& event_catalogue() {
    static const std::vector<EventDescription> all{
        {Event::Started, "MG101", "program.started", Severity::Info, 10,
         "It listens; nothing is served yet."},
        {Event::Stopping, "MG102", "program.stopping", Severity::Info, 10, "SIGTERM came; it ends in order."},
        {Event::BadSettings, "MG103", "program.bad_settings", Severity::Error, 10,
         "The settings file can't be used; exit code 2."},
        {Event::ConfigAccepted, "MG201", "charter.taken", Severity::Info, 60,
         "A configuration was acknowledged to the operator."},
        {Event::ConfigRejected, "MG202", "charter.refused", Severity::Warning, 60,
         "A configuration was refused, and why."},
        {Event::ConfigApplied, "MG203", "charter.served", Severity::Info, 60,
         "A proxy serves by another version."},
        {Event::LeadershipGained, "MG301", "moot.leads", Severity::Info, 60,
         "This controller leads the core."},
        {Event::LeadershipLost, "MG302", "moot.lead_lost", Severity::Warning, 60, "It leads no more."},
        {Event::VotersChanged, "MG303", "moot.members", Severity::Warning, 60,
         "The voters are others than before."},
        {Event::VoteTransferred, "MG304", "moot.place_given", Severity::Info, 10,
         "At its end this controller has given its place and its copy to others."},
        {Event::VoteKept, "MG305", "moot.place_kept", Severity::Warning, 10,
         "It ends with its place: nobody took it in time. Its disk is to come back."},
        {Event::FaultToleranceNotMet, "MG306", "raft.losses_not_borne", Severity::Warning, 30,
         "The voters that there are can't bear what fault_tolerance says; more machines are wanted."},
        {Event::StorageFailed, "MG401", "strongbox.trouble", Severity::Error, 12,
         "A record could not be written; this controller acknowledges nothing until one can."},
        {Event::StorageDamaged, "MG402", "strongbox.damaged", Severity::Error, 10,
         "The record is damaged; this controller comes back as a new member."},
        {Event::NewMember, "MG403", "strongbox.fresh", Severity::Warning, 10,
         "The disk is empty though the system has run: a new member without a vote."},
        {Event::EndpointSeen, "MG501", "endpoint.seen", Severity::Info, 60,
         "A new endpoint beats beside this proxy."},
        {Event::EndpointDraining, "MG502", "endpoint.leaves", Severity::Info, 60,
         "It drains: nothing new is brought to it."},
        {Event::EndpointGone, "MG503", "endpoint.gone", Severity::Warning, 60,
         "It deregistered, or went without a word."},
        {Event::ProxyLeaseExpired, "MG504", "rolls.silent", Severity::Warning, 60,
         "A proxy's lease ran out at this controller."},
        {Event::QuorumContactLost, "MG601", "proxy.out_of_touch", Severity::Warning, 30,
         "No controller that hears a leader is heard; served on by what is known."},
        {Event::QuorumContactRestored, "MG602", "proxy.in_touch", Severity::Info, 30, "One is heard again."},
        {Event::NoConfig, "MG603", "proxy.no_charter", Severity::Info, 10,
         "Nothing is served: no configuration has come yet."},
        {Event::RequestTotals, "MG701", "proxy.answers", Severity::Info, 12,
         "How requests ended, once a while."},
    };
    return all;
}

std::string catalogue_page() {
    std::string out =
        "| code | name | weight | lines a minute | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const EventDescription& kind : event_catalogue()) {
        const char* weight = kind.severity == Severity::Info      ? "info"
                             : kind.severity == Severity::Warning ? "warning"
                                                                  : "error";
        out += std::string("| ") + kind.code + " | " + kind.name + " | " + weight + " | " +
               std::to_string(kind.max_per_minute) + " | " + kind.meaning + " |\n";
    }
    return out;
}

namespace {

struct State {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
};
State* state = nullptr;

struct Rate {
    std::chrono::steady_clock::time_point from{};
    unsigned told = 0, kept = 0;
};

}  // namespace

void open(const std::string& program) {
    static State held;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%-5p %c %m%n"));
    held.logger = log4cplus::Logger::getInstance(program);
    held.logger.addAppender(appender);
    held.logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    state = &held;
}

void log_event(Event event, const std::string& text,
               std::initializer_list<std::pair<std::string_view, std::string>> fields) {
    if (!state) return;
    static std::map<Event, Rate> rates;
    const auto& all = event_catalogue();
    const auto kind =
        std::find_if(all.begin(), all.end(), [&](const EventDescription& k) { return k.event == event; });
    Rate& rate = rates[event];
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.from > std::chrono::minutes(1)) rate = {now, 0, rate.kept};
    if (++rate.told > kind->max_per_minute) {
        ++rate.kept;
        return;
    }
    std::string line = std::string(kind->code) + " " + text;
    for (const auto& [name, value] : fields) line += " " + std::string(name) + "=" + value;
    if (rate.kept > 0) line += " untold=" + std::to_string(std::exchange(rate.kept, 0));
    const auto level = kind->severity == Severity::Info      ? log4cplus::INFO_LOG_LEVEL
                       : kind->severity == Severity::Warning ? log4cplus::WARN_LOG_LEVEL
                                                             : log4cplus::ERROR_LOG_LEVEL;
    state->logger.forcedLog(level, line);
}

}  // namespace martenford::event_log
