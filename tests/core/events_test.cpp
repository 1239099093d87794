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

TEST(Events, EachHasACodeOfItsOwnAndItsPlaceInTheTable) {
    std::set<std::string> codes, names;
    for (std::size_t i = 0; i < event_kinds().size(); ++i) {
        const EventKind& kind = event_kinds()[i];
        EXPECT_EQ(static_cast<std::size_t>(kind.event), i) << kind.code;
        EXPECT_TRUE(codes.insert(kind.code).second) << kind.code;
        EXPECT_TRUE(names.insert(kind.name).second) << kind.name;
        EXPECT_GT(kind.most, 0u);
    }
    EXPECT_EQ(event_kinds().size(), static_cast<std::size_t>(Event::LinesLost) + 1);
}

TEST(Events, ThePageIsMadeOfTheTable) {
    std::ifstream file(MARTENFORD_EVENTS_PAGE);
    std::ostringstream page;
    page << file.rdbuf();
    EXPECT_EQ(page.str(), events_page()) << "martenford events > docs/operate/events.md";
}

/// What a process of its own says on a pipe while it tells this.
template <typename Tell>
std::string told_by(Tell what, bool read_late = false) {
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
    std::string said;
    std::array<char, 4096> chunk{};
    for (ssize_t n; (n = read(ends[0], chunk.data(), chunk.size())) > 0;)
        said.append(chunk.data(), static_cast<std::size_t>(n));
    close(ends[0]);
    if (!read_late) waitpid(child, nullptr, 0);
    return said;
}

TEST(Events, ALineHasItsCodeItsTextAndItsFields) {
    EXPECT_EQ(told_by([] {
                  tell(Event::FleetDied, "died n5", {{"member", "n5"}, {"by", "n3"}});
              }),
              "martenford: MF104 died n5 | member=n5 by=n3\n");
    EXPECT_EQ(told_by([] { tell(Event::Listening, "listening on 127.0.0.1:80"); }),
              "martenford: MF001 listening on 127.0.0.1:80\n");
}

TEST(Events, OneKindThatComesTooOftenIsBoundedAndKeepsNoOtherOut) {
    const std::string said = told_by([] {
        for (int i = 0; i < 500; ++i) tell(Event::FleetJoined, "joined");
        tell(Event::FleetDoubled, "doubled");
    });
    std::size_t joined = 0;
    for (std::size_t at = 0; (at = said.find("MF102", at)) != said.npos; ++at) ++joined;
    EXPECT_EQ(joined, event_kinds()[static_cast<std::size_t>(Event::FleetJoined)].most);
    EXPECT_NE(said.find("MF107 doubled"), said.npos);
}

TEST(Events, AReaderThatDoesNotReadHoldsNobodyUp) {
    const std::string said = told_by(
        [] {
            // More than a pipe holds, of all kinds.
            for (int round = 0; round < 60; ++round) {
                for (const EventKind& kind : event_kinds()) tell(kind.event, std::string(1500, 'x'));
            }
        },
        true);
    EXPECT_FALSE(said.empty());
    EXPECT_LT(said.size(), 1u << 20);
}

}  // namespace
}  // namespace martenford
