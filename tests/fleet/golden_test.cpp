// What members of a fleet say against bytes that an earlier commit wrote: tests/golden/README.md.
#include "golden.h"

#include <gtest/gtest.h>

#include "fleet/wire.h"
#include "framing/frame.h"

namespace martenford::fleet {
namespace {

std::string path_of(const std::string& name) {
    return std::string(GOLDEN_DIR) + "/fleet/" + name;
}

/// The fixture's message, after it was seen that both `now` and what was read are written as it is.
template <class Kind>
Kind read_back(const std::string& file, const Kind& now) {
    const std::string bytes = golden::kept(path_of(file), frame_of(now));
    EXPECT_EQ(frame_of(now), bytes) << file;
    framing::FrameReader reader;
    reader.feed(bytes);
    const auto inside = reader.next();
    if (!inside) throw framing::FrameError("not whole");
    const auto read = std::get<Kind>(parse_frame_body(*inside));
    EXPECT_TRUE(reader.empty());
    EXPECT_EQ(frame_of(read), bytes) << file;
    return read;
}

TEST(GoldenFleetMessages, Hello) {
    const auto read =
        read_back("hello.bin", Hello{"fleet-a", {"sidecar-a", 11}, "10.5.0.1:7000", "1.2.3", 12, 13});
    EXPECT_EQ(read.fleet, "fleet-a");
    EXPECT_EQ(read.id.name, "sidecar-a");
    EXPECT_EQ(read.id.boot, 11u);
    EXPECT_EQ(read.address, "10.5.0.1:7000");
    EXPECT_EQ(read.version, "1.2.3");
    EXPECT_EQ(read.oldest, 12u);
    EXPECT_EQ(read.newest, 13u);
}

TEST(GoldenFleetMessages, EveryKindWithUpdatesOfEveryState) {
    const char* names[] = {"ping", "ask", "ack", "nack", "news", "compare", "entries", "bye"};
    ASSERT_EQ(std::size(names), kMessageKindCount);
    for (std::uint32_t kind = 0; kind < kMessageKindCount; ++kind) {
        SCOPED_TRACE(names[kind]);
        Message now;
        now.kind = static_cast<Message::Kind>(kind);
        now.seq = 21;
        now.to = {"sidecar-b", 22};
        now.address = "10.5.0.2:7000";
        now.digest = 0xfedcba9876543210;
        now.want_list = true;
        now.stalled_ms = 23;
        for (std::uint32_t number = 0; number < kStateCount * kEvidenceCount; ++number) {
            const std::string digits = std::to_string(number);
            now.updates.push_back({{"sidecar-" + digits, 31 + number},
                                   "10.5.1." + digits + ":7000",
                                   "zone-" + digits,
                                   "2.0." + digits,
                                   51 + number,
                                   static_cast<State>(number / kEvidenceCount),
                                   static_cast<Evidence>(number % kEvidenceCount),
                                   "by-" + digits,
                                   true});
        }
        const auto read = read_back(std::string("message-") + names[kind] + ".bin", now);
        EXPECT_EQ(static_cast<std::uint32_t>(read.kind), kind);
        EXPECT_EQ(read.seq, 21u);
        EXPECT_EQ(read.to.name, "sidecar-b");
        EXPECT_EQ(read.to.boot, 22u);
        EXPECT_EQ(read.address, "10.5.0.2:7000");
        EXPECT_EQ(read.digest, 0xfedcba9876543210u);
        EXPECT_TRUE(read.want_list);
        EXPECT_EQ(read.stalled_ms, 23u);
        ASSERT_EQ(read.updates.size(), 12u);
        for (std::uint32_t number = 0; number < 12; ++number) {
            const std::string digits = std::to_string(number);
            const MemberUpdate& update = read.updates[number];
            EXPECT_EQ(update.id.name, "sidecar-" + digits);
            EXPECT_EQ(update.id.boot, 31 + number);
            EXPECT_EQ(update.address, "10.5.1." + digits + ":7000");
            EXPECT_EQ(update.zone, "zone-" + digits);
            EXPECT_EQ(update.version, "2.0." + digits);
            EXPECT_EQ(update.incarnation, 51 + number);
            EXPECT_EQ(static_cast<std::uint32_t>(update.state), number / 3);
            EXPECT_EQ(static_cast<std::uint32_t>(update.evidence), number % 3);
            EXPECT_EQ(update.reported_by, "by-" + digits);
            EXPECT_TRUE(update.successor);
        }
    }
}

TEST(GoldenFleetMessages, PayloadOfAnotherPackage) {
    EXPECT_EQ(read_back("carried.bin", Payload{std::string("state\0\xff", 7)}).bytes,
              std::string("state\0\xff", 7));
}

TEST(GoldenFleetMessages, EnumValues) {
    EXPECT_EQ(static_cast<int>(Message::Kind::Ping), 0);
    EXPECT_EQ(static_cast<int>(Message::Kind::PingRequest), 1);
    EXPECT_EQ(static_cast<int>(Message::Kind::Ack), 2);
    EXPECT_EQ(static_cast<int>(Message::Kind::Nack), 3);
    EXPECT_EQ(static_cast<int>(Message::Kind::Gossip), 4);
    EXPECT_EQ(static_cast<int>(Message::Kind::SyncRequest), 5);
    EXPECT_EQ(static_cast<int>(Message::Kind::MemberList), 6);
    EXPECT_EQ(static_cast<int>(Message::Kind::LinkClosing), 7);
    EXPECT_EQ(static_cast<int>(State::Alive), 0);
    EXPECT_EQ(static_cast<int>(State::Suspect), 1);
    EXPECT_EQ(static_cast<int>(State::Left), 2);
    EXPECT_EQ(static_cast<int>(State::Dead), 3);
    EXPECT_EQ(static_cast<int>(Evidence::Silent), 0);
    EXPECT_EQ(static_cast<int>(Evidence::Stalled), 1);
    EXPECT_EQ(static_cast<int>(Evidence::Gone), 2);
}

}  // namespace
}  // namespace martenford::fleet
