// The simulated clock against a sorted map that does the same slowly.
#include "emulator/virtual_time.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>

namespace {

using namespace martenford::emulator;
using martenford::Scheduler;
using martenford::Time;
using namespace std::chrono_literals;

TEST(VirtualTime, RunsWhatASortedMapWouldUnderRandomAddingAndRemoving) {
    std::mt19937_64 random(20);
    VirtualTime time;
    std::map<Scheduler::Key, int> expected;  // keys order by time, then by adding
    std::optional<int> ran;
    int last = 0;
    for (int step = 0; step < 20'000; ++step) {
        const auto what = random() % 10;
        if (what < 5) {
            const int number = ++last;
            const Time when = time.now() + std::chrono::milliseconds(random() % 50);
            expected.emplace(time.add(when, [&ran, number] { ran = number; }), number);
        } else if (what < 8 && !expected.empty()) {
            const auto victim =
                std::next(expected.begin(), static_cast<std::ptrdiff_t>(random() % expected.size()));
            time.remove(victim->first);
            time.remove(victim->first);  // the second time it is not there
            expected.erase(victim);
        } else if (!expected.empty()) {
            const auto next = expected.begin();
            ran.reset();
            ASSERT_TRUE(time.run_one());
            ASSERT_EQ(ran, next->second) << "step " << step;
            ASSERT_EQ(time.now(), next->first.first);
            expected.erase(next);
        }
        ASSERT_EQ(time.pending(), expected.size());
    }
    EXPECT_GT(time.fired(), 2'000u);
}

TEST(VirtualTime, WhatIsRemovedIsGoneBeforeItsTime) {
    VirtualTime time;
    for (int i = 0; i < 1'000; ++i) time.remove(time.add(time.now() + 1h, [] { FAIL(); }));
    EXPECT_EQ(time.pending(), 0u);
    EXPECT_FALSE(time.run_one());
}

TEST(VirtualTime, ATimerThatGoesMayTakeOthersWithIt) {
    struct Holder {
        martenford::Timer inner;
        explicit Holder(Scheduler& scheduler) : inner(scheduler) {}
    };
    VirtualTime time;
    auto holder = std::make_shared<Holder>(time);
    holder->inner.set(time.now() + 2s, [] { FAIL() << "its holder is gone"; });
    const auto outer = time.add(time.now() + 1s, [holder] { FAIL() << "was removed"; });
    holder.reset();
    int later = 0;
    time.add(time.now() + 3s, [&] { ++later; });
    time.remove(outer);
    EXPECT_EQ(time.pending(), 1u);
    while (time.run_one()) {
    }
    EXPECT_EQ(later, 1);
}

TEST(VirtualTime, NothingOfAScopeRunsAfterIt) {
    VirtualTime time;
    int ran = 0;
    {
        ScopedTime scope(time);
        scope.add(time.now() + 1s, [&] { ++ran; });
        scope.add(time.now() + 2s, [&] { ran += 100; });
        ASSERT_TRUE(time.run_one());
    }
    EXPECT_EQ(ran, 1);
    EXPECT_TRUE(time.run_one());  // its turn comes, and nothing is done
    EXPECT_EQ(ran, 1);
    EXPECT_FALSE(time.run_one());
}

}  // namespace
