// The table of events, its page, and that telling never waits.
#include "core/events.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace martenford {
namespace {

TEST(Events, CodesAndNamesAreUniqueAndInTableOrder) {
    std::set<std::string> codes, names;
    for (std::size_t i = 0; i < event_kinds().size(); ++i) {
        const EventKind& kind = event_kinds()[i];
        EXPECT_EQ(static_cast<std::size_t>(kind.event), i) << kind.code;
        EXPECT_TRUE(codes.insert(kind.code).second) << kind.code;
        EXPECT_TRUE(names.insert(kind.name).second) << kind.name;
        EXPECT_GT(kind.max_lines_per_minute, 0u);
    }
    EXPECT_EQ(event_kinds().size(), static_cast<std::size_t>(Event::LogLinesLost) + 1);
}

TEST(Events, PageIsGeneratedFromTheTable) {
    std::ifstream file(MARTENFORD_EVENTS_PAGE);
    std::ostringstream page;
    page << file.rdbuf();
    EXPECT_EQ(page.str(), events_page()) << "martenford events > docs/operate/events.md";
}

/// What a process of its own says on a pipe while it tells this.
template <typename Tell>
std::string output_of(Tell what, bool read_late = false) {
    std::array<int, 2> ends{};
    EXPECT_EQ(pipe(ends.data()), 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        close(ends[0]);
        close(ends[1]);
        what();
        _exit(0);
    }
    close(ends[1]);
    if (read_late) {
        int status = 0;
        waitpid(child, &status, 0);  // it ends though nobody reads
        EXPECT_TRUE(WIFEXITED(status));
    }
    std::string output;
    std::array<char, 4096> chunk{};
    for (ssize_t n; (n = read(ends[0], chunk.data(), chunk.size())) > 0;)
        output.append(chunk.data(), static_cast<std::size_t>(n));
    close(ends[0]);
    if (!read_late) waitpid(child, nullptr, 0);
    return output;
}

TEST(Events, LineHasCodeTextAndFields) {
    EXPECT_EQ(output_of([] {
                  log_event(Event::FleetDied, "died n5", {{"member", "n5"}, {"by", "n3"}});
              }),
              "martenford: MF104 died n5 | member=n5 by=n3\n");
    EXPECT_EQ(output_of([] { log_event(Event::Listening, "listening on 127.0.0.1:80"); }),
              "martenford: MF001 listening on 127.0.0.1:80\n");
}

TEST(Events, FrequentEventIsRateLimitedWithoutSuppressingOthers) {
    const std::string output = output_of([] {
        for (int i = 0; i < 500; ++i) log_event(Event::FleetJoined, "joined");
        log_event(Event::FleetDuplicateName, "doubled");
    });
    std::size_t joined = 0;
    for (std::size_t at = 0; (at = output.find("MF102", at)) != output.npos; ++at) ++joined;
    EXPECT_EQ(joined, event_kinds()[static_cast<std::size_t>(Event::FleetJoined)].max_lines_per_minute);
    EXPECT_NE(output.find("MF107 doubled"), output.npos);
}

TEST(Events, UnreadPipeDoesNotBlockLogging) {
    const std::string output = output_of(
        [] {
            // More than a pipe holds, of all kinds.
            for (int round = 0; round < 60; ++round) {
                for (const EventKind& kind : event_kinds()) log_event(kind.event, std::string(1500, 'x'));
            }
        },
        true);
    EXPECT_FALSE(output.empty());
    EXPECT_LT(output.size(), 1u << 20);
}

}  // namespace
}  // namespace martenford
