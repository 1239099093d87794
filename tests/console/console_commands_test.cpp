// What operators' calls mean and how figures are written: no socket.
#include "console/console_commands.h"

#include <gtest/gtest.h>

#include <string>

#include "console/statsd.h"
#include "core/request_counters.h"

namespace {

using namespace martenford;

struct Operator {
    bool ready = true, ending = false, away = false;
    int evacuations = 0;
    ConsoleCommands commands{{[this] { return ready && !away; },
                              [] { return std::string("sidecar.inflight:0|g\n"); },
                              [this] {
                                  if (ending) return false;
                                  away = true;
                                  ++evacuations;
                                  return true;
                              },
                              [this] {
                                  if (ending) return false;
                                  away = false;
                                  return true;
                              }}};
};

TEST(ConsoleCommands, SayWhetherTheProcessIsReady) {
    Operator console_operator;
    EXPECT_EQ(console_operator.commands.reply("readyz"), "YES\n");
    console_operator.ready = false;
    EXPECT_TRUE(console_operator.commands.reply("readyz").starts_with("NO"));
}

TEST(ConsoleCommands, EvacuateUntilActivated) {
    Operator console_operator;
    EXPECT_EQ(console_operator.commands.reply("evacuate"), "YES\n");
    EXPECT_TRUE(console_operator.commands.reply("readyz").starts_with("NO"));
    EXPECT_EQ(console_operator.commands.reply("activate"), "YES\n");
    EXPECT_EQ(console_operator.commands.reply("readyz"), "YES\n");
    console_operator.ending = true;
    EXPECT_TRUE(console_operator.commands.reply("evacuate").starts_with("NO"));
    EXPECT_TRUE(console_operator.commands.reply("activate").starts_with("NO"));
}

TEST(ConsoleCommands, FiguresEndWithALineOfTheirOwn) {
    EXPECT_EQ(Operator().commands.reply("telemetry"), "sidecar.inflight:0|g\nEND\n");
}

TEST(ConsoleCommands, WhatIsNoCallIsAnsweredNoInOneLineAndDoesNothing) {
    Operator console_operator;
    for (const char* line :
         {"", " \r", "evacuate now", "EVACUATE", "readyz\n", "\x01\xff", "GET / HTTP/1.1"}) {
        const std::string reply = console_operator.commands.reply(line);
        EXPECT_TRUE(reply.starts_with("NO ")) << line;
        EXPECT_EQ(reply.find('\n'), reply.size() - 1) << line;
    }
    EXPECT_EQ(console_operator.evacuations, 0);
    EXPECT_EQ(console_operator.commands.reply(" readyz \r"), "YES\n");  // what a terminal may add
}

TEST(Statsd, WritesEachClassAndGaugeOnceAndLeavesOthersOut) {
    Counters counters;
    decision::RequestClass look, debit;
    look.name = "look";
    debit.name = "debit";
    RequestCounters tally(counters, {look, debit});
    counters.counter("connections.opened", "not asked for").add(7);
    counters.gauge("membership.endpoints", "listed", [] { return 3.0; });
    RequestCounters::Ticket open = tally.open(1);
    tally.open(0).end(RequestCounters::Outcome::Served);
    tally.open(0).end(RequestCounters::Outcome::Refused);
    EXPECT_EQ(statsd(counters),
              "sidecar.success.look:1|c\nsidecar.busy.look:1|c\nsidecar.failure.look:0|c\n"
              "sidecar.success.debit:0|c\nsidecar.busy.debit:0|c\nsidecar.failure.debit:0|c\n"
              "sidecar.inflight:1|g\nsidecar.hosts_listed:3|g\n");
}

TEST(RequestCounters, ATicketEndsOnceAndOneThatIsDroppedHasFailed) {
    Counters counters;
    decision::RequestClass look;
    look.name = "look";
    RequestCounters tally(counters, {look});
    const auto count = [&](const char* name) { return counters.counter(name, "", "look").value(); };
    {
        RequestCounters::Ticket one = tally.open(0), other = std::move(one);
        EXPECT_EQ(tally.in_flight(), 1u);
        other.end(RequestCounters::Outcome::Served);
        other.end(RequestCounters::Outcome::Failed);
        one.end(RequestCounters::Outcome::Failed);
        EXPECT_EQ(tally.in_flight(), 0u);
        one = tally.open(0);
    }
    EXPECT_EQ(count("requests.served"), 1u);
    EXPECT_EQ(count("requests.failed"), 1u);
    EXPECT_EQ(tally.in_flight(), 0u);
}

}  // namespace
