// Who is alive, in virtual time: the program's own protocol over modelled links, each play from one seed.
#include "fleet/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "emulator/fleet_model.h"

namespace martenford::emulator {
namespace {

using fleet::FleetEvent;
using fleet::Id;
using fleet::Message;
using fleet::ObservedState;
using fleet::State;

/// A member that another came to hold dead, in spite of its being up, reachable and awake all the while.
std::size_t false_deaths(const FleetModel& model, const std::set<std::size_t>& excused = {}) {
    return static_cast<std::size_t>(
        std::count_if(model.seen().begin(), model.seen().end(), [&](const auto& s) {
            return s.state == State::Dead && model.is_up(s.subject) && !excused.contains(s.subject);
        }));
}

/// When the last of those that are up came to hold it dead; 0 where not all have.
Duration time_until_all_detected(const FleetModel& model, std::size_t subject, Time since) {
    std::set<std::size_t> observers;
    Time last = since;
    for (const auto& s : model.seen()) {
        if (s.subject != subject || s.state != State::Dead || s.at < since || !model.is_up(s.observer))
            continue;
        observers.insert(s.observer);
        last = std::max(last, s.at);
    }
    std::size_t up = 0;
    for (std::size_t i = 0; i < model.size(); ++i) up += model.is_up(i) ? 1 : 0;
    return observers.size() == up ? last - since : Duration{};
}

bool event_reported(const FleetModel& model, FleetEvent::Kind kind, std::size_t min_observers,
                    std::size_t min_subjects = 1) {
    std::set<std::size_t> observers;
    for (const auto& [observer, event] : model.changes()) {
        if (event.kind == kind && event.subjects.size() >= min_subjects) observers.insert(observer);
    }
    return observers.size() >= min_observers;
}

FleetModel::Options options_for(std::size_t members, std::uint64_t seed = 1) {
    FleetModel::Options options;
    options.members = members;
    options.seed = seed;
    return options;
}

/// All started within 100 ms, and of one mind.
void settle(FleetModel& model) {
    model.start_all(100ms);
    model.run_until(model.now() + 100ms);
    ASSERT_TRUE(model.run_until([&] { return model.all_agree(); }, 20s));
}

class FleetSize : public ::testing::TestWithParam<std::size_t> {};

TEST_P(FleetSize, ConvergesAfterConcurrentStartAndDetectsACrash) {
    FleetModel model(options_for(GetParam()));
    settle(model);
    model.run_until(model.now() + 5s);
    const Time killed = model.now();
    model.kill(GetParam() - 1);
    ASSERT_TRUE(model.run_until([&] { return model.all_agree(); }, 10s));
    const Duration all = time_until_all_detected(model, GetParam() - 1, killed);
    EXPECT_GT(all, Duration{});
    EXPECT_LT(all, 4s);
    EXPECT_EQ(false_deaths(model), 0u);
}
INSTANTIATE_TEST_SUITE_P(Fleet, FleetSize, ::testing::Values(2, 3, 5, 30, 300));

// Each seed is joined by others before it has asked the other seed.
TEST(Fleet, TwoSeedsThatStartAtOnceAreOneFleetSoon) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        FleetModel::Options options = options_for(12, seed);
        options.seeds = 2;
        FleetModel model(options);
        model.start_all(100ms);
        model.run_until(model.now() + 100ms);
        EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 1200ms)) << "seed " << seed;
    }
}

TEST(Fleet, DetectsAnIsolatedMember) {
    FleetModel model(options_for(30));
    settle(model);
    const Time cut = model.now();
    model.cut_apart({7});
    ASSERT_TRUE(model.run_until(
        [&] {
            for (std::size_t i = 0; i < 30; ++i) {
                if (i != 7 && model.fleet(i).live_count() != 29) return false;
            }
            return true;
        },
        12s));
    EXPECT_GT(model.now() - cut, 2s);   // shorter stalls are borne
    model.run_until(model.now() + 3s);  // until it is told of
    model.cut_apart({7}, false);
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 20s));
    EXPECT_TRUE(event_reported(model, FleetEvent::Kind::Returned, 29));
}

TEST(Fleet, StallsWithinToleranceCauseNoDeaths) {
    FleetModel model(options_for(30, 5));
    settle(model);
    for (int round = 0; round < 20; ++round) {
        model.stall(static_cast<std::size_t>(round) % 30, 2s);
        model.run_until(model.now() + 1500ms);
    }
    EXPECT_EQ(false_deaths(model), 0u);
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 10s));
}

TEST(Fleet, RepeatedShortStallsCauseNoDeaths) {
    FleetModel model(options_for(15, 6));
    settle(model);
    for (int round = 0; round < 20; ++round) {
        model.stall(4, 1s);
        model.run_until(model.now() + 3s);
    }
    EXPECT_EQ(false_deaths(model), 0u);
}

TEST(Fleet, HalfTheFleetResumedTogetherDeclaresNoRunningMemberDead) {
    FleetModel model(options_for(30, 7));
    settle(model);
    std::set<std::size_t> half;
    for (std::size_t i = 0; i < 15; ++i) {
        half.insert(i);
        model.stall(i, 10s);
    }
    model.run_until(model.now() + 10s);
    ASSERT_TRUE(model.run_until([&] { return model.all_agree(); }, 20s));
    // Those that slept may be called dead; they call nobody so on waking.
    EXPECT_EQ(false_deaths(model, half), 0u);
    EXPECT_TRUE(event_reported(model, FleetEvent::Kind::OwnStall, 15));
    EXPECT_TRUE(event_reported(model, FleetEvent::Kind::MassLoss, 10, 12));
}

TEST(Fleet, AMemberThatReceivesNothingDoesNotSpreadFalseDeaths) {
    FleetModel model(options_for(20, 8));
    settle(model);
    for (std::size_t i = 0; i < 20; ++i) {
        if (i != 3) model.cut(i, 3);  // what it says still arrives
    }
    model.run_until(model.now() + 30s);
    for (const auto& seen : model.seen()) {
        if (seen.state == State::Dead && seen.observer != 3) {
            EXPECT_EQ(seen.subject, 3u);
        }
    }
    for (std::size_t i = 0; i < 20; ++i) {
        if (i != 3) model.cut(i, 3, false);
    }
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 20s));
}

TEST(Fleet, ABrokenLinkMakesAMemberUnreachableNotDead) {
    FleetModel model(options_for(10, 9));
    settle(model);
    model.cut(2, 5);
    model.cut(5, 2);
    ASSERT_TRUE(model.run_until(
        [&] {
            const auto views = model.fleet(2).members();
            return std::any_of(views.begin(), views.end(), [](const auto& v) {
                return v.id.name == "n5" && v.state == ObservedState::Unreachable;
            });
        },
        15s));
    model.run_until(model.now() + 20s);
    EXPECT_EQ(false_deaths(model), 0u);
    EXPECT_EQ(model.fleet(2).live_count(), 10u);
}

TEST(Fleet, APartitionIsReportedAsMassLossOnBothSidesAndHeals) {
    FleetModel model(options_for(30, 10));
    settle(model);
    std::set<std::size_t> side;
    for (std::size_t i = 0; i < 12; ++i) side.insert(i);
    model.cut_apart(side);
    ASSERT_TRUE(model.run_until(
        [&] { return model.fleet(0).live_count() == 12 && model.fleet(29).live_count() == 18; }, 20s));
    model.run_until(model.now() + 6s);
    EXPECT_TRUE(event_reported(model, FleetEvent::Kind::MassLoss, 25, 11));
    model.cut_apart(side, false);
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 30s));
}

TEST(Fleet, AHundredOfThreeHundredLeavingGracefullyAreNotDead) {
    FleetModel model(options_for(300, 11));
    settle(model);
    for (std::size_t i = 200; i < 300; ++i) model.leave(i);
    ASSERT_TRUE(
        model.run_until([&] { return model.fleet(0).live_count() == 200 && model.all_agree(); }, 20s));
    for (std::size_t i = 0; i < 200; ++i) {
        for (const auto& view : model.fleet(i).members()) {
            if (view.state == ObservedState::Dead) ADD_FAILURE() << i << " holds " << view.id.name << " dead";
        }
    }
}

TEST(Fleet, ARestartIsANewMemberWithoutNameConflict) {
    FleetModel model(options_for(10, 12));
    settle(model);
    const Id before = model.fleet(4).self().id;
    model.kill(4);
    model.start(4);
    ASSERT_TRUE(model.run_until([&] { return model.all_agree(); }, 20s));
    EXPECT_NE(model.fleet(4).self().id, before);
    EXPECT_FALSE(event_reported(model, FleetEvent::Kind::NameConflict, 1));
}

TEST(Fleet, JoinsOnceTheSeedsStart) {
    FleetModel model(options_for(8, 13));
    for (std::size_t i = 3; i < 8; ++i) model.start(i);
    model.run_until(model.now() + 20s);
    EXPECT_EQ(model.fleet(5).live_count(), 1u);
    for (std::size_t i = 0; i < 3; ++i) model.start(i);
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 20s));
}

TEST(Fleet, StaleEntriesFromASeedAreDiscarded) {
    FleetModel model(options_for(6, 14));
    settle(model);
    Message stale;
    stale.kind = Message::Kind::MemberList;
    for (int i = 0; i < 100; ++i) {
        fleet::MemberUpdate update;
        update.id = {"old" + std::to_string(i), 77};
        update.address = "10.9.9." + std::to_string(i) + ":1";
        update.incarnation = 3;
        stale.updates.push_back(update);
    }
    model.inject(2, model.fleet(0).self().id, FleetModel::address_of(0), stale);
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 120s));
    EXPECT_EQ(false_deaths(model), 0u);
}

TEST(Fleet, AnExhaustedIncarnationStartsANewMemberId) {
    FleetModel model(options_for(6, 15));
    settle(model);
    const Id before = model.fleet(1).self().id;
    Message lie;
    lie.kind = Message::Kind::Gossip;
    fleet::MemberUpdate update;
    update.id = before;
    update.address = FleetModel::address_of(1);
    update.incarnation = fleet::kMaxIncarnation;
    update.state = State::Suspect;
    update.reported_by = "n0";
    lie.updates.push_back(update);
    model.inject(1, model.fleet(0).self().id, FleetModel::address_of(0), lie);
    EXPECT_NE(model.fleet(1).self().id, before);
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 30s));
}

/// Faults of every kind from one seed; then quiet, and all of one mind within a bound.
class FaultSchedules : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(FaultSchedules, Converge) {
    FleetModel model(options_for(12, GetParam()));
    settle(model);
    model.set_drop(0.02);
    std::mt19937_64 random(GetParam());
    const auto any = [&] { return static_cast<std::size_t>(random() % 12); };
    for (int step = 0; step < 40; ++step) {
        const std::size_t target = any();
        switch (random() % 8) {
            case 0:
                model.kill(target);
                break;
            case 1:
            case 2:
                if (!model.is_up(target)) model.start(target);
                break;
            case 3:
                model.stall(target, Duration{static_cast<Duration::rep>(random() % 4'000) * 1'000'000});
                break;
            case 4:
                model.cut(target, any());
                break;
            case 5:
                model.cut_apart({target, any(), any()}, random() % 2 == 0);
                break;
            case 6:
                model.set_drop(static_cast<double>(random() % 30) / 100.0);
                break;
            case 7:
                model.leave(target);
                break;
        }
        model.run_until(model.now() + Duration{static_cast<Duration::rep>(random() % 2'000) * 1'000'000});
    }
    model.set_drop(0.0);
    for (std::size_t a = 0; a < 12; ++a) {
        for (std::size_t b = 0; b < 12; ++b) model.cut(a, b, false);
    }
    model.run_until(model.now() + 5s);  // until the last stall and leave are over
    for (std::size_t i = 0; i < 12; ++i) {
        if (!model.is_up(i)) model.start(i);
    }
    EXPECT_TRUE(model.run_until([&] { return model.all_agree(); }, 40s)) << "seed " << GetParam();
}
INSTANTIATE_TEST_SUITE_P(Fleet, FaultSchedules, ::testing::Range<std::uint64_t>(1, 41));

}  // namespace
}  // namespace martenford::emulator
