// Discovery's lists, watches and silences.
#include "emulator/model/registry.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/draws.h"
#include "emulator/virtual_time.h"

namespace martenford::emulator {
namespace {

using decision::Availability;

Listing entry(const std::string& uid, Availability state = Availability::Ready) {
    Listing listing;
    listing.uid = uid;
    listing.state = state;
    return listing;
}

struct Fixture : testing::Test {
    VirtualTime time;
    Registry registry{time, true};
    std::vector<std::optional<ListAnswer>> answers;
    Registry::Done note() {
        return
            [this](const ListAnswer* list) { answers.push_back(list ? std::optional(*list) : std::nullopt); };
    }
    void run() {
        while (time.run_one()) {
        }
    }
};

TEST_F(Fixture, WholeListIsAnsweredAtOnceWithoutWhatIsGone) {
    registry.change(entry("a"));
    registry.change(entry("b"));
    registry.change(entry("a", Availability::Gone));
    registry.ask(std::nullopt, 0s, note());
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_TRUE(answers[0]->all);
    ASSERT_EQ(answers[0]->entries.size(), 1u);
    EXPECT_EQ(answers[0]->entries[0].uid, "b");
}

TEST_F(Fixture, WatchWaitsForNewsAndTellsOnlyThat) {
    registry.change(entry("a"));
    const auto revision = registry.all().revision;
    registry.ask(revision, 20s, note());
    EXPECT_TRUE(answers.empty());
    registry.change(entry("b", Availability::Draining));
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_FALSE(answers[0]->all);
    EXPECT_EQ(answers[0]->revision, revision + 1);
    ASSERT_EQ(answers[0]->entries.size(), 1u);
    EXPECT_EQ(answers[0]->entries[0].uid, "b");
}

TEST_F(Fixture, WatchThatHearsNothingEndsEmptyWhenItsTimeIsUp) {
    registry.ask(registry.all().revision, 20s, note());
    run();
    EXPECT_EQ(time.now(), Time{20s});
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_TRUE(answers[0]->entries.empty());
}

TEST_F(Fixture, SeveralChangesOfOneAreToldOnceAsTheNewest) {
    const auto revision = registry.all().revision;
    registry.change(entry("a"));
    registry.change(entry("a", Availability::Draining));
    registry.change(entry("a", Availability::Gone));
    registry.ask(revision, 20s, note());
    ASSERT_EQ(answers[0]->entries.size(), 1u);
    EXPECT_EQ(answers[0]->entries[0].state, Availability::Gone);
}

TEST_F(Fixture, SilenceEndsWatchesAndFailsCallsWhereDiscoveryIsAsked) {
    registry.ask(registry.all().revision, 20s, note());
    registry.silence(true);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_FALSE(answers[0].has_value());
    registry.ask(std::nullopt, 0s, note());
    EXPECT_FALSE(answers[1].has_value());
    registry.change(entry("a"));
    registry.silence(false);
    registry.ask(std::nullopt, 0s, note());
    EXPECT_EQ(answers[2]->entries.size(), 1u);
}

TEST_F(Fixture, SilentAgentKeepsWatchesAndTellsAfterIt) {
    Registry pushed(time, false);
    pushed.ask(pushed.all().revision, 20s, note());
    pushed.silence(true);
    pushed.change(entry("a"));
    EXPECT_TRUE(answers.empty());
    pushed.silence(false);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0]->entries.size(), 1u);
}

TEST_F(Fixture, DroppedWatchIsNotAnswered) {
    const auto watch = registry.ask(registry.all().revision, 20s, note());
    registry.drop(watch);
    registry.change(entry("a"));
    run();
    EXPECT_TRUE(answers.empty());
    EXPECT_EQ(registry.watches(), 0u);
}

TEST_F(Fixture, WatchersThatFollowEndUpWithTheListUnderRandomChanges) {
    Draws draws(5, "changes");
    struct Follower {
        std::set<std::string> has;
        std::optional<std::uint64_t> revision;
    };
    std::vector<Follower> followers(5);
    std::function<void(std::size_t)> follow = [&](std::size_t i) {
        registry.ask(followers[i].revision, 3s, [&, i](const ListAnswer* list) {
            Follower& follower = followers[i];
            if (list) {
                if (list->all) follower.has.clear();
                for (const Listing& e : list->entries) {
                    if (e.state == Availability::Gone) {
                        follower.has.erase(e.uid);
                    } else {
                        follower.has.insert(e.uid);
                    }
                }
                follower.revision = list->revision;
            }
            time.add(time.now() + (list ? 1ms : 500ms), [&, i] { follow(i); });
        });
    };
    for (std::size_t i = 0; i < followers.size(); ++i) follow(i);
    std::set<std::string> truth;
    for (int i = 0; i < 2000; ++i) {
        time.add(Time{std::chrono::milliseconds(static_cast<std::int64_t>(draws.between(0, 60'000)))}, [&] {
            const std::string uid = "s-" + std::to_string(draws.below(40));
            const bool there = truth.contains(uid);
            registry.change(entry(uid, there ? Availability::Gone : Availability::Ready));
            there ? truth.erase(uid) : truth.insert(uid).second;
        });
    }
    for (int i = 0; i < 20; ++i) {
        const auto begin = 1s + i * 2500ms;
        time.add(Time{begin}, [&] { registry.silence(true); });
        time.add(Time{begin + 700ms}, [&] { registry.silence(false); });
    }
    while (time.now() < Time{70s} && time.run_one()) {
    }
    ASSERT_GT(truth.size(), 5u);
    for (const Follower& follower : followers) EXPECT_EQ(follower.has, truth);
}

}  // namespace
}  // namespace martenford::emulator
