// What members say, as bytes: it comes back as it was, and nothing that is not so does harm. What they claim:
// against a plain model.
#include "fleet/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

#include "fleet/fleet.h"
#include "framing/frame.h"
#include "peers/queue.h"

namespace martenford::fleet {
namespace {

std::string name(std::size_t most = 20) {
    const auto size = *rc::gen::inRange<std::size_t>(1, most);
    return *rc::gen::container<std::string>(size, rc::gen::inRange('a', 'z'));
}

LocalMember local_member() {
    LocalMember self;
    self.id.name = "self";
    self.id.boot = 1;
    self.address = "10.0.0.1:1";
    return self;
}

MemberUpdate any_update() {
    MemberUpdate update;
    update.id = {name(), *rc::gen::inRange<std::uint64_t>(1, 1'000'000)};
    update.address = name();
    update.incarnation = *rc::gen::inRange<std::uint64_t>(0, kMaxIncarnation);
    update.state = static_cast<State>(*rc::gen::inRange<std::uint32_t>(0, kStateCount));
    update.evidence = static_cast<Evidence>(*rc::gen::inRange<std::uint32_t>(0, kEvidenceCount));
    update.reported_by = name();
    update.successor = *rc::gen::arbitrary<bool>();
    return update;
}

Message any_message() {
    Message message;
    message.kind = static_cast<Message::Kind>(*rc::gen::inRange<std::uint32_t>(0, kMessageKindCount));
    message.seq = *rc::gen::arbitrary<std::uint64_t>();
    message.to = {name(), *rc::gen::arbitrary<std::uint64_t>()};
    message.address = name();
    message.digest = *rc::gen::arbitrary<std::uint64_t>();
    message.want_list = *rc::gen::arbitrary<bool>();
    const auto updates = *rc::gen::inRange(0, 6);
    for (int i = 0; i < updates; ++i) message.updates.push_back(any_update());
    return message;
}

FrameBody read_back(const std::string& frame) {
    framing::FrameReader reader;
    reader.feed(frame);
    const auto message = reader.next();
    if (!message) throw framing::FrameError("not whole");
    return parse_frame_body(*message);
}

RC_GTEST_PROP(FleetWire, MessagesRoundTrip, ()) {
    const Message sent = any_message();
    const FrameBody body = read_back(frame_of(sent));
    const auto& got = std::get<Message>(body);
    RC_ASSERT(got.kind == sent.kind && got.seq == sent.seq && got.to == sent.to);
    RC_ASSERT(got.address == sent.address && got.digest == sent.digest && got.want_list == sent.want_list);
    RC_ASSERT(got.updates.size() == sent.updates.size());
    for (std::size_t i = 0; i < got.updates.size(); ++i) {
        const MemberUpdate &a = got.updates[i], &b = sent.updates[i];
        RC_ASSERT(a.id == b.id && a.address == b.address && a.incarnation == b.incarnation);
        RC_ASSERT(a.state == b.state && a.evidence == b.evidence && a.reported_by == b.reported_by &&
                  a.successor == b.successor);
    }
}

/// The checksum does not stand in the way here: what is inside is damaged.
RC_GTEST_PROP(FleetWire, DamagedMessagesAreRejectedOrWithinLimits, ()) {
    std::string frame = frame_of(any_message());
    std::string bytes = frame.substr(framing::kFrameHeaderBytes);
    const auto times = *rc::gen::inRange(1, 6);
    for (int i = 0; i < times && !bytes.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes[at] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                bytes.erase(at);
                break;
            default:
                bytes.insert(at, 1, *rc::gen::arbitrary<char>());
        }
    }
    Fleet fleet(ProtocolOptions{}, {"10.0.0.9:1"}, local_member(), 5);
    fleet.start(Time{1s});
    try {
        const FrameBody body = parse_frame_body(bytes);
        if (const auto* message = std::get_if<Message>(&body)) {
            RC_ASSERT(message->updates.size() <= kMaxUpdates);
            for (const MemberUpdate& update : message->updates) {
                RC_ASSERT(update.id.boot != 0 && !update.id.name.empty() &&
                          update.id.name.size() <= kMaxNameBytes);
                RC_ASSERT(update.address.size() <= kMaxNameBytes && update.incarnation <= kMaxIncarnation);
            }
            fleet.receive(Time{1s}, {"other", 2}, "10.0.0.2:1", *message);
            fleet.tick(Time{1100ms});
            RC_ASSERT(fleet.members().size() <= 1 + kMaxUpdates);
            for (const auto& send : fleet.take_outgoing())
                RC_ASSERT(frame_of(send.message).size() <= framing::kMaxFrameBytes);
        }
    } catch (const framing::FrameError&) {
    }
}

TEST(FleetWire, LimitsOnNamesAndUpdatesHold) {
    Message message;
    MemberUpdate update;
    update.id = {std::string(kMaxNameBytes + 1, 'n'), 1};
    update.address = "a:1";
    message.updates = {update};
    EXPECT_THROW(read_back(frame_of(message)), framing::FrameError);
    update.id.name = "a b";  // it would break the lines of the console
    message.updates = {update};
    EXPECT_THROW(read_back(frame_of(message)), framing::FrameError);
    update.id.name = "n";
    message.updates.assign(kMaxUpdates + 1, update);
    EXPECT_THROW(read_back(frame_of(message)), framing::FrameError);
    // The longest message there is goes into one frame: nothing of the network may end the program.
    const std::string longest(kMaxNameBytes, 'n');
    update.id = {longest, ~std::uint64_t{0}};
    update.address = update.zone = update.version = update.reported_by = longest;
    update.incarnation = kMaxIncarnation;
    update.successor = true;
    message.to = update.id;
    message.address = longest;
    message.updates.assign(kMaxUpdates, update);
    EXPECT_NO_THROW(read_back(frame_of(message)));
}

/// Which of two claims about one member stands, as a table.
struct Held {
    State state;
    std::uint64_t incarnation;
};
bool supersedes(const Held& held, const MemberUpdate& update) {
    const bool here = held.state == State::Alive || held.state == State::Suspect;
    switch (update.state) {
        case State::Alive:
            return update.incarnation > held.incarnation && held.state != State::Left;
        case State::Suspect:
        case State::Dead:  // heard from another, a death is a doubt at first
            return (here && update.incarnation >= held.incarnation &&
                    !(held.state == State::Suspect && update.incarnation == held.incarnation)) ||
                   (update.state == State::Suspect && held.state == State::Dead &&
                    update.incarnation > held.incarnation);
        case State::Left:
            return held.state != State::Left && update.incarnation >= held.incarnation;
    }
    return false;
}

RC_GTEST_PROP(FleetUpdates, FollowThePrecedenceTable, ()) {
    Fleet fleet(ProtocolOptions{}, {}, local_member(), 5);
    const Time now{1s};
    fleet.start(now);
    std::map<Id, Held> model;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        MemberUpdate update;
        update.id = {"n" + std::to_string(*rc::gen::inRange(0, 4)), 7};
        update.address = update.id.name + ":1";
        update.incarnation = *rc::gen::inRange<std::uint64_t>(0, 4);
        update.state = static_cast<State>(*rc::gen::inRange<std::uint32_t>(0, kStateCount));
        update.reported_by = "w" + std::to_string(*rc::gen::inRange(0, 3));
        Message gossip;
        gossip.updates = {update};
        fleet.receive(now, {"teller", 9}, "10.0.0.3:1", gossip);
        const auto it = model.find(update.id);
        const State becomes = update.state == State::Dead ? State::Suspect : update.state;
        if (it == model.end()) {
            model[update.id] = {update.state, update.incarnation};
        } else if (supersedes(it->second, update)) {
            it->second = {becomes, update.incarnation};
        }
    }
    std::map<Id, Held> held;
    for (const MemberView& view : fleet.members()) {
        if (view.id.name == "self") continue;
        const State state = view.state == ObservedState::Alive  ? State::Alive
                            : view.state == ObservedState::Dead ? State::Dead
                            : view.state == ObservedState::Left ? State::Left
                                                                : State::Suspect;
        held[view.id] = {state, view.incarnation};
    }
    RC_ASSERT(held.size() == model.size());
    std::size_t live = 1;
    for (const auto& [id, expected] : model) {
        RC_ASSERT(held.at(id).state == expected.state);
        RC_ASSERT(held.at(id).incarnation == expected.incarnation);
        live += expected.state == State::Alive || expected.state == State::Suspect ? 1 : 0;
    }
    RC_ASSERT(fleet.live_count() == live);
}

RC_GTEST_PROP(FleetQueue, StaysBoundedAndYieldsWholeFramesByPriority, ()) {
    peers::SendQueue queue(4000);
    const auto steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
        queue.put(any_message());
        RC_ASSERT(queue.bytes() <= 4000u);
    }
    framing::FrameReader reader;
    std::size_t taken = 0;
    int rank = 0;
    while (!queue.empty()) {
        const std::string some = queue.take(500);
        RC_ASSERT(!some.empty());
        taken += some.size();
        reader.feed(some);
        while (const auto bytes = reader.next()) {
            const auto kind = std::get<Message>(parse_frame_body(*bytes)).kind;
            const int now = kind <= Message::Kind::Nack                                           ? 0
                            : kind == Message::Kind::Gossip || kind == Message::Kind::LinkClosing ? 1
                                                                                                  : 2;
            RC_ASSERT(now >= rank);
            rank = now;
        }
    }
    RC_ASSERT(reader.empty() && taken <= 4000u);
}

TEST(FleetSuspicion, TimeoutShrinksWithConfirmationsDownToItsMinimum) {
    const Time since{100s};
    Suspicion suspicion(since, 3s, 9s, 3);
    EXPECT_TRUE(suspicion.confirm("a"));
    EXPECT_EQ(suspicion.deadline(), since + 9s);
    EXPECT_FALSE(suspicion.confirm("a"));
    EXPECT_EQ(suspicion.deadline(), since + 9s);
    Time before = suspicion.deadline();
    for (const char* by : {"b", "c", "d"}) {
        EXPECT_TRUE(suspicion.confirm(by));
        EXPECT_LT(suspicion.deadline(), before);
        before = suspicion.deadline();
    }
    EXPECT_EQ(before, since + 3s);
    EXPECT_FALSE(suspicion.confirm("e"));
    suspicion.postpone(2s);
    EXPECT_EQ(suspicion.deadline(), since + 5s);
    // With nobody else to ask it has the least.
    EXPECT_EQ(Suspicion(since, 3s, 9s, 0).deadline(), since + 3s);
}

TEST(FleetGossipQueue, ANewerUpdateReplacesTheOlderAndEachIsSentUpToTheLimit) {
    GossipQueue queue;
    MemberUpdate update;
    update.id = {"a", 1};
    queue.add(update);
    update.incarnation = 2;
    queue.add(update);
    EXPECT_EQ(queue.size(), 1u);
    for (int i = 0; i < 3; ++i) {
        const auto sent = queue.take(10, 3);
        ASSERT_EQ(sent.size(), 1u);
        EXPECT_EQ(sent[0].incarnation, 2u);
    }
    EXPECT_TRUE(queue.empty());
    for (std::uint64_t i = 0; i < GossipQueue::kMaxSize + 50; ++i) {
        update.id.boot = i + 1;
        queue.add(update);
    }
    EXPECT_EQ(queue.size(), GossipQueue::kMaxSize);
}

}  // namespace
}  // namespace martenford::fleet
