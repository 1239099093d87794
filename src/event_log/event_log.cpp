#include "bell/bell.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

namespace martenford::bell {

const std::vector<Kind>& kinds() {
    static const std::vector<Kind> all{
        {Event::Started, "MG101", "program.started", Weight::Info, 10, "It listens; nothing is served yet."},
        {Event::Stopping, "MG102", "program.stopping", Weight::Info, 10, "SIGTERM came; it ends in order."},
        {Event::BadSettings, "MG103", "program.bad_settings", Weight::Error, 10,
         "The settings file can't be used; exit code 2."},
        {Event::CharterTaken, "MG201", "charter.taken", Weight::Info, 60,
         "A configuration was acknowledged to the operator."},
        {Event::CharterRefused, "MG202", "charter.refused", Weight::Warning, 60,
         "A configuration was refused, and why."},
        {Event::CharterServed, "MG203", "charter.served", Weight::Info, 60,
         "A stall serves by another version."},
        {Event::Leads, "MG301", "moot.leads", Weight::Info, 60, "This guildhall leads the core."},
        {Event::LeadLost, "MG302", "moot.lead_lost", Weight::Warning, 60, "It leads no more."},
        {Event::MembersChanged, "MG303", "moot.members", Weight::Warning, 60,
         "The voters are others than before."},
        {Event::PlaceGiven, "MG304", "moot.place_given", Weight::Info, 10,
         "At its end this guildhall has given its place and its copy to others."},
        {Event::PlaceKept, "MG305", "moot.place_kept", Weight::Warning, 10,
         "It ends with its place: nobody took it in time. Its disk is to come back."},
        {Event::LossesNotBorne, "MG306", "raft.losses_not_borne", Weight::Warning, 30,
         "The voters that there are can't bear what fault_tolerance says; more machines are wanted."},
        {Event::DiskTrouble, "MG401", "strongbox.trouble", Weight::Error, 12,
         "A record could not be written; this guildhall acknowledges nothing until one can."},
        {Event::DiskDamaged, "MG402", "strongbox.damaged", Weight::Error, 10,
         "The record is damaged; this guildhall comes back as a new member."},
        {Event::FreshMember, "MG403", "strongbox.fresh", Weight::Warning, 10,
         "The disk is empty though the system has run: a new member without a vote."},
        {Event::EndpointSeen, "MG501", "endpoint.seen", Weight::Info, 60,
         "A new endpoint beats beside this stall."},
        {Event::EndpointLeaves, "MG502", "endpoint.leaves", Weight::Info, 60,
         "It drains: nothing new is brought to it."},
        {Event::EndpointGone, "MG503", "endpoint.gone", Weight::Warning, 60,
         "It deregistered, or went without a word."},
        {Event::StallSilent, "MG504", "rolls.silent", Weight::Warning, 60,
         "A stall's lease ran out at this guildhall."},
        {Event::OutOfTouch, "MG601", "stall.out_of_touch", Weight::Warning, 30,
         "No guildhall that hears a leader is heard; served on by what is known."},
        {Event::BackInTouch, "MG602", "stall.in_touch", Weight::Info, 30, "One is heard again."},
        {Event::NoCharter, "MG603", "stall.no_charter", Weight::Info, 10,
         "Nothing is served: no configuration has come yet."},
        {Event::Answers, "MG701", "stall.answers", Weight::Info, 12, "How requests ended, once a while."},
    };
    return all;
}

std::string page() {
    std::string out =
        "| code | name | weight | lines a minute | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const Kind& kind : kinds()) {
        const char* weight = kind.weight == Weight::Info      ? "info"
                             : kind.weight == Weight::Warning ? "warning"
                                                              : "error";
        out += std::string("| ") + kind.code + " | " + kind.name + " | " + weight + " | " +
               std::to_string(kind.most) + " | " + kind.meaning + " |\n";
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

void ring(Event event, const std::string& text,
          std::initializer_list<std::pair<std::string_view, std::string>> fields) {
    if (!state) return;
    static std::map<Event, Rate> rates;
    const auto& all = kinds();
    const auto kind = std::find_if(all.begin(), all.end(), [&](const Kind& k) { return k.event == event; });
    Rate& rate = rates[event];
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.from > std::chrono::minutes(1)) rate = {now, 0, rate.kept};
    if (++rate.told > kind->most) {
        ++rate.kept;
        return;
    }
    std::string line = std::string(kind->code) + " " + text;
    for (const auto& [name, value] : fields) line += " " + std::string(name) + "=" + value;
    if (rate.kept > 0) line += " untold=" + std::to_string(std::exchange(rate.kept, 0));
    const auto level = kind->weight == Weight::Info      ? log4cplus::INFO_LOG_LEVEL
                       : kind->weight == Weight::Warning ? log4cplus::WARN_LOG_LEVEL
                                                         : log4cplus::ERROR_LOG_LEVEL;
    state->logger.forcedLog(level, line);
}

}  // namespace martenford::bell
