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

Self one_self() {
    Self self;
    self.id.name = "self";
    self.id.boot = 1;
    self.address = "10.0.0.1:1";
    return self;
}

Claim any_claim() {
    Claim claim;
    claim.id = {name(), *rc::gen::inRange<std::uint64_t>(1, 1'000'000)};
    claim.address = name();
    claim.incarnation = *rc::gen::inRange<std::uint64_t>(0, kMostIncarnation);
    claim.state = static_cast<State>(*rc::gen::inRange<std::uint32_t>(0, kStates));
    claim.evidence = static_cast<Evidence>(*rc::gen::inRange<std::uint32_t>(0, kEvidences));
    claim.by = name();
    claim.heir = *rc::gen::arbitrary<bool>();
    return claim;
}

Message any_message() {
    Message message;
    message.kind = static_cast<Message::Kind>(*rc::gen::inRange<std::uint32_t>(0, kKinds));
    message.seq = *rc::gen::arbitrary<std::uint64_t>();
    message.to = {name(), *rc::gen::arbitrary<std::uint64_t>()};
    message.address = name();
    message.digest = *rc::gen::arbitrary<std::uint64_t>();
    message.want = *rc::gen::arbitrary<bool>();
    const auto claims = *rc::gen::inRange(0, 6);
    for (int i = 0; i < claims; ++i) message.claims.push_back(any_claim());
    return message;
}

Said read_back(const std::string& frame) {
    framing::FrameReader reader;
    reader.feed(frame);
    const auto message = reader.next();
    if (!message) throw framing::FrameError("not whole");
    return read_said(*message);
}

RC_GTEST_PROP(FleetWire, AMessageComesBackAsItWas, ()) {
    const Message sent = any_message();
    const Said said = read_back(frame_of(sent));
    const auto& got = std::get<Message>(said);
    RC_ASSERT(got.kind == sent.kind && got.seq == sent.seq && got.to == sent.to);
    RC_ASSERT(got.address == sent.address && got.digest == sent.digest && got.want == sent.want);
    RC_ASSERT(got.claims.size() == sent.claims.size());
    for (std::size_t i = 0; i < got.claims.size(); ++i) {
        const Claim &a = got.claims[i], &b = sent.claims[i];
        RC_ASSERT(a.id == b.id && a.address == b.address && a.incarnation == b.incarnation);
        RC_ASSERT(a.state == b.state && a.evidence == b.evidence && a.by == b.by && a.heir == b.heir);
    }
}

/// The checksum does not stand in the way here: what is inside is damaged.
RC_GTEST_PROP(FleetWire, ADamagedMessageIsRefusedOrWithinItsBoundsAndHarmsNoMember, ()) {
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
    Fleet fleet(Pace{}, {"10.0.0.9:1"}, one_self(), 5);
    fleet.start(Time{1s});
    try {
        const Said said = read_said(bytes);
        if (const auto* message = std::get_if<Message>(&said)) {
            RC_ASSERT(message->claims.size() <= kMostClaims);
            for (const Claim& claim : message->claims) {
                RC_ASSERT(claim.id.boot != 0 && !claim.id.name.empty() && claim.id.name.size() <= kMostName);
                RC_ASSERT(claim.address.size() <= kMostName && claim.incarnation <= kMostIncarnation);
            }
            fleet.receive(Time{1s}, {"other", 2}, "10.0.0.2:1", *message);
            fleet.tick(Time{1100ms});
            RC_ASSERT(fleet.members().size() <= 1 + kMostClaims);
            for (const auto& send : fleet.take_sends())
                RC_ASSERT(frame_of(send.message).size() <= framing::kMaxFrameBytes);
        }
    } catch (const framing::FrameError&) {
    }
}

TEST(FleetWire, BoundsOnNamesAndClaimsHold) {
    Message message;
    Claim claim;
    claim.id = {std::string(kMostName + 1, 'n'), 1};
    claim.address = "a:1";
    message.claims = {claim};
    EXPECT_THROW(read_back(frame_of(message)), framing::FrameError);
    claim.id.name = "a b";  // it would break the lines of the console
    message.claims = {claim};
    EXPECT_THROW(read_back(frame_of(message)), framing::FrameError);
    claim.id.name = "n";
    message.claims.assign(kMostClaims + 1, claim);
    EXPECT_THROW(read_back(frame_of(message)), framing::FrameError);
    // The longest message there is goes into one frame: nothing of the network may end the program.
    const std::string longest(kMostName, 'n');
    claim.id = {longest, ~std::uint64_t{0}};
    claim.address = claim.zone = claim.version = claim.by = longest;
    claim.incarnation = kMostIncarnation;
    claim.heir = true;
    message.to = claim.id;
    message.address = longest;
    message.claims.assign(kMostClaims, claim);
    EXPECT_NO_THROW(read_back(frame_of(message)));
}

/// Which of two claims about one member stands, as a table.
struct Held {
    State state;
    std::uint64_t incarnation;
};
bool takes_over(const Held& held, const Claim& claim) {
    const bool here = held.state == State::Alive || held.state == State::Suspect;
    switch (claim.state) {
        case State::Alive:
            return claim.incarnation > held.incarnation && held.state != State::Left;
        case State::Suspect:
        case State::Dead:  // heard from another, a death is a doubt at first
            return (here && claim.incarnation >= held.incarnation &&
                    !(held.state == State::Suspect && claim.incarnation == held.incarnation)) ||
                   (claim.state == State::Suspect && held.state == State::Dead &&
                    claim.incarnation > held.incarnation);
        case State::Left:
            return held.state != State::Left && claim.incarnation >= held.incarnation;
    }
    return false;
}

RC_GTEST_PROP(FleetClaims, StandAsThePlainTableSays, ()) {
    Fleet fleet(Pace{}, {}, one_self(), 5);
    const Time now{1s};
    fleet.start(now);
    std::map<Id, Held> model;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        Claim claim;
        claim.id = {"n" + std::to_string(*rc::gen::inRange(0, 4)), 7};
        claim.address = claim.id.name + ":1";
        claim.incarnation = *rc::gen::inRange<std::uint64_t>(0, 4);
        claim.state = static_cast<State>(*rc::gen::inRange<std::uint32_t>(0, kStates));
        claim.by = "w" + std::to_string(*rc::gen::inRange(0, 3));
        Message news;
        news.claims = {claim};
        fleet.receive(now, {"teller", 9}, "10.0.0.3:1", news);
        const auto it = model.find(claim.id);
        const State becomes = claim.state == State::Dead ? State::Suspect : claim.state;
        if (it == model.end()) {
            model[claim.id] = {claim.state, claim.incarnation};
        } else if (takes_over(it->second, claim)) {
            it->second = {becomes, claim.incarnation};
        }
    }
    std::map<Id, Held> held;
    for (const View& view : fleet.members()) {
        if (view.id.name == "self") continue;
        const State state = view.sight == Sight::Alive  ? State::Alive
                            : view.sight == Sight::Dead ? State::Dead
                            : view.sight == Sight::Left ? State::Left
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
    RC_ASSERT(fleet.live() == live);
}

RC_GTEST_PROP(FleetQueue, KeepsItsBoundAndGivesWholeFramesTheUrgentFirst, ()) {
    peers::Queue queue(4000);
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
            const auto kind = std::get<Message>(read_said(*bytes)).kind;
            const int now = kind <= Message::Kind::Nack                                 ? 0
                            : kind == Message::Kind::News || kind == Message::Kind::Bye ? 1
                                                                                        : 2;
            RC_ASSERT(now >= rank);
            rank = now;
        }
    }
    RC_ASSERT(reader.empty() && taken <= 4000u);
}

TEST(FleetSuspicion, ShrinksAsIndependentAccusersConfirmAndNeverBelowItsLeast) {
    const Time since{100s};
    Suspicion suspicion(since, 3s, 9s, 3);
    EXPECT_TRUE(suspicion.accused_by("a"));
    EXPECT_EQ(suspicion.deadline(), since + 9s);
    EXPECT_FALSE(suspicion.accused_by("a"));
    EXPECT_EQ(suspicion.deadline(), since + 9s);
    Time before = suspicion.deadline();
    for (const char* by : {"b", "c", "d"}) {
        EXPECT_TRUE(suspicion.accused_by(by));
        EXPECT_LT(suspicion.deadline(), before);
        before = suspicion.deadline();
    }
    EXPECT_EQ(before, since + 3s);
    EXPECT_FALSE(suspicion.accused_by("e"));
    suspicion.postpone(2s);
    EXPECT_EQ(suspicion.deadline(), since + 5s);
    // With nobody else to ask it has the least.
    EXPECT_EQ(Suspicion(since, 3s, 9s, 0).deadline(), since + 3s);
}

TEST(FleetRumours, ANewerOneTakesTheOldersPlaceAndEachIsToldSoOften) {
    Rumours rumours;
    Claim claim;
    claim.id = {"a", 1};
    rumours.add(claim);
    claim.incarnation = 2;
    rumours.add(claim);
    EXPECT_EQ(rumours.size(), 1u);
    for (int i = 0; i < 3; ++i) {
        const auto told = rumours.take(10, 3);
        ASSERT_EQ(told.size(), 1u);
        EXPECT_EQ(told[0].incarnation, 2u);
    }
    EXPECT_TRUE(rumours.empty());
    for (std::uint64_t i = 0; i < Rumours::kMost + 50; ++i) {
        claim.id.boot = i + 1;
        rumours.add(claim);
    }
    EXPECT_EQ(rumours.size(), Rumours::kMost);
}

}  // namespace
}  // namespace martenford::fleet
