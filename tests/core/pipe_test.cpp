// What is held of a body on its way, against a plain model.
#include "core/pipe.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace {

using martenford::Pipe;

TEST(Pipe, TellsEachSideOfTheOther) {
    Pipe pipe(4);
    int room = 0, more = 0;
    pipe.on_room([&] { ++room; });
    pipe.on_more([&] { ++more; });
    pipe.put("abcdef");
    EXPECT_EQ(more, 1);
    EXPECT_FALSE(pipe.has_room());
    EXPECT_EQ(pipe.take(), "abcdef");
    EXPECT_EQ(room, 1);
    EXPECT_EQ(pipe.take(), "");
    EXPECT_EQ(room, 1);
    pipe.put("");
    EXPECT_EQ(more, 1);
    pipe.finish();
    EXPECT_EQ(more, 2);
    EXPECT_EQ(pipe.state(), Pipe::State::Whole);
}

TEST(Pipe, EndsOnceAndTakesNothingAfterThat) {
    Pipe pipe(4);
    pipe.put("ab");
    pipe.fail();
    pipe.finish();
    pipe.put("cd");
    EXPECT_EQ(pipe.state(), Pipe::State::Broken);
    EXPECT_EQ(pipe.take(), "ab");
}

TEST(Pipe, AReaderThatStopsFreesWhatIsHeldAndIsToldOnce) {
    Pipe pipe(4);
    int told = 0;
    pipe.on_room([&] { told += pipe.unread() ? 1 : 0; });
    pipe.put("abcd");
    pipe.stop_reading();
    pipe.stop_reading();
    pipe.put("ef");
    EXPECT_TRUE(pipe.empty());
    EXPECT_EQ(told, 1);
}

TEST(Pipe, MayBeEndedFromWithinWhatItTells) {
    Pipe pipe(4);
    pipe.on_room([&] { pipe.finish(); });
    pipe.on_more([&] { pipe.on_more(nullptr); });
    pipe.put("ab");
    EXPECT_EQ(pipe.take(), "ab");
    EXPECT_EQ(pipe.state(), Pipe::State::Whole);
}

TEST(Pipe, GivesWhatWasPutInOrderWithinItsBound) {
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        const std::size_t most = 1 + random() % 50;
        Pipe pipe(most);
        std::string put, taken;
        bool stopped = false, ended = false;
        for (int step = 0; step < 200; ++step) {
            switch (random() % 12) {
                case 0:
                    if (random() % 30 == 0) {
                        pipe.stop_reading();
                        stopped = true;
                    }
                    break;
                case 1:
                    if (random() % 30 == 0) {
                        random() % 2 ? pipe.finish() : pipe.fail();
                        ended = true;
                    }
                    break;
                case 2:
                case 3:
                case 4:
                    taken += pipe.take();
                    break;
                default:
                    if (!pipe.has_room()) break;
                    const std::string piece(random() % 20, static_cast<char>('a' + step % 26));
                    pipe.put(std::string(piece));
                    if (!stopped && !ended) put += piece;
            }
            ASSERT_EQ(pipe.state() != Pipe::State::Open, ended);
            ASSERT_EQ(pipe.unread(), stopped);
            ASSERT_TRUE(put.starts_with(taken));
            ASSERT_LE(put.size() - taken.size(), most + 20);
        }
        if (!stopped) {
            EXPECT_EQ(taken + pipe.take(), put);
        }
    }
}

}  // namespace
