// What is held of a body on its way, against a plain model.
#include "core/pipe.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace {

using martenford::Pipe;

TEST(Pipe, NotifiesEachSideOfTheOther) {
    Pipe pipe(4);
    int room = 0, more = 0;
    pipe.on_writable([&] { ++room; });
    pipe.on_readable([&] { ++more; });
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
    EXPECT_EQ(pipe.state(), Pipe::State::Complete);
}

TEST(Pipe, EndsOnceAndAcceptsNothingAfterwards) {
    Pipe pipe(4);
    pipe.put("ab");
    pipe.fail();
    pipe.finish();
    pipe.put("cd");
    EXPECT_EQ(pipe.state(), Pipe::State::Failed);
    EXPECT_EQ(pipe.take(), "ab");
}

TEST(Pipe, ReaderThatStopsFreesTheBufferAndNotifiesTheWriterOnce) {
    Pipe pipe(4);
    int told = 0;
    pipe.on_writable([&] { told += pipe.reader_closed() ? 1 : 0; });
    pipe.put("abcd");
    pipe.stop_reading();
    pipe.stop_reading();
    pipe.put("ef");
    EXPECT_TRUE(pipe.empty());
    EXPECT_EQ(told, 1);
}

TEST(Pipe, MayBeEndedInsideANotification) {
    Pipe pipe(4);
    pipe.on_writable([&] { pipe.finish(); });
    pipe.on_readable([&] { pipe.on_readable(nullptr); });
    pipe.put("ab");
    EXPECT_EQ(pipe.take(), "ab");
    EXPECT_EQ(pipe.state(), Pipe::State::Complete);
}

TEST(Pipe, DeliversPiecesInOrderWithinItsLimit) {
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        const std::size_t max_bytes = 1 + random() % 50;
        Pipe pipe(max_bytes);
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
            ASSERT_EQ(pipe.reader_closed(), stopped);
            ASSERT_TRUE(put.starts_with(taken));
            ASSERT_LE(put.size() - taken.size(), max_bytes + 20);
        }
        if (!stopped) {
            EXPECT_EQ(taken + pipe.take(), put);
        }
    }
}

}  // namespace
