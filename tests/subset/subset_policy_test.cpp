#include "subset/subset_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <stdexcept>

#include "standins/recording_policy.h"

namespace {

using namespace martenford::decision;
using namespace std::chrono_literals;
using martenford::Counters;
using martenford::standins::RecordingPolicy;
using martenford::subset::Options;
using martenford::subset::SubsetPolicy;

struct Sidecar {
    explicit Sidecar(std::uint32_t position = 0, std::uint32_t replicas = 1, Options options = {},
                     std::uint32_t zone = 0, std::uint32_t zones = 1)
        : record(std::make_shared<RecordingPolicy::Record>()) {
        Settings settings;
        settings.position = position;
        settings.replicas = replicas;
        settings.zone = zone;
        settings.zones = zones;
        policy = std::make_unique<SubsetPolicy>(std::make_unique<RecordingPolicy>(record), settings, options,
                                                counters);
        policy->start(now, actions);
    }
    void tell(const Event& event) {
        actions.clear();
        policy->handle(now, event, actions);
    }
    void list(DiscoveryUpdate::Kind kind, EndpointList endpoints) {
        tell(DiscoveryUpdate{kind, std::make_shared<EndpointList>(std::move(endpoints))});
    }
    void outcome(Status status, int times = 1) {
        for (int i = 0; i < times; ++i) {
            record->next_actions.push_back(
                Send{"r", policy->selected().empty() ? EndpointId{} : policy->selected()[0], {}});
            tell(Request{});
            tell(Outcome{"r", 0, EndpointId{}, status, 1ms, true, std::nullopt, true});
        }
    }
    std::set<EndpointId> ready() const {
        std::set<EndpointId> result;
        for (const auto& [id, e] : record->listed) {
            if (e.availability == Availability::Ready) result.insert(id);
        }
        return result;
    }
    bool module_has_selection() const {
        const auto selected = policy->selected();
        return ready() == std::set<EndpointId>(selected.begin(), selected.end());
    }
    Counters counters;
    std::shared_ptr<RecordingPolicy::Record> record;
    std::unique_ptr<SubsetPolicy> policy;
    Time now{1h};
    std::vector<Action> actions;
};

Endpoint endpoint(std::uint32_t number, std::uint32_t zone = 0, Availability state = Availability::Ready) {
    Endpoint e;
    e.id = EndpointId{number * 2654435761u};
    e.zone = zone;
    e.availability = state;
    return e;
}

EndpointList fleet(std::uint32_t size, std::uint32_t zones = 1) {
    EndpointList result;
    for (std::uint32_t i = 0; i < size; ++i) result.push_back(endpoint(i, i % zones));
    return result;
}

TEST(SubsetPolicy, ShowsTheModuleWidthEndpoints) {
    Sidecar sidecar(3, 92, {20, 160});
    sidecar.list(DiscoveryUpdate::Kind::Full, fleet(1'000));
    EXPECT_EQ(sidecar.record->listed.size(), 20u);
    EXPECT_TRUE(sidecar.module_has_selection());
}

TEST(SubsetPolicy, FleetCoversAllEndpointsEvenly) {
    std::map<EndpointId, int> callers;
    for (std::uint32_t i = 0; i < 100; ++i) {
        Sidecar sidecar(i, 100, {20, 160});
        sidecar.list(DiscoveryUpdate::Kind::Full, fleet(1'000));
        for (const EndpointId id : sidecar.policy->selected()) ++callers[id];
    }
    ASSERT_EQ(callers.size(), 1'000u);
    for (const auto& [id, count] : callers) EXPECT_EQ(count, 2);
}

TEST(SubsetPolicy, RemovedEndpointIsReplacedByOneOther) {
    Sidecar sidecar(0, 10, {20, 160});
    sidecar.list(DiscoveryUpdate::Kind::Full, fleet(1'000));
    Endpoint lost = sidecar.record->listed.begin()->second;
    const auto before = sidecar.ready();
    lost.availability = Availability::Gone;
    sidecar.list(DiscoveryUpdate::Kind::Delta, {lost});
    EXPECT_TRUE(sidecar.module_has_selection());
    const auto after = sidecar.ready();
    EXPECT_EQ(after.size(), 20u);
    std::vector<EndpointId> fresh;
    std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(fresh));
    EXPECT_EQ(fresh.size(), 1u);
    EXPECT_LE(sidecar.record->endpoints_in_changes, 3u);
}

TEST(SubsetPolicy, OnlyDrainsWithinTheSubsetReachTheModule) {
    Sidecar sidecar(0, 10, {20, 160});
    sidecar.list(DiscoveryUpdate::Kind::Full, fleet(1'000));
    const auto selected = sidecar.policy->selected();
    Endpoint mine = sidecar.record->listed.begin()->second;
    mine.availability = Availability::Draining;
    sidecar.list(DiscoveryUpdate::Kind::Delta, {mine});
    EXPECT_EQ(sidecar.record->listed.at(mine.id).availability, Availability::Draining);
    EXPECT_TRUE(sidecar.module_has_selection());
    // Picks an endpoint from the middle of another sidecar's window.
    std::uint32_t number = 0;
    Sidecar other(5, 10, {20, 160});
    other.list(DiscoveryUpdate::Kind::Full, fleet(1'000));
    while (endpoint(number).id != other.policy->selected()[10]) ++number;
    const auto before = sidecar.record->endpoints_in_changes;
    sidecar.list(DiscoveryUpdate::Kind::Delta, {endpoint(number, 0, Availability::Draining)});
    EXPECT_EQ(sidecar.record->endpoints_in_changes, before);
    EXPECT_FALSE(sidecar.record->listed.contains(endpoint(number).id));
}

TEST(SubsetPolicy, NarrowingRemovesEndpointsAndClosesIdleConnections) {
    Sidecar sidecar(0, 1, {5, 40});
    sidecar.list(DiscoveryUpdate::Kind::Full, fleet(100));
    sidecar.outcome(Status::Reset, 10);
    sidecar.now += 1100ms;
    sidecar.tell(TimerFired{1});
    ASSERT_EQ(sidecar.policy->width(), 10u);
    ASSERT_TRUE(sidecar.module_has_selection());
    std::size_t closed = 0;
    for (int i = 0; i < 40; ++i) {
        sidecar.now += 1s;
        sidecar.outcome(Status::Ok, 5);
        closed += static_cast<std::size_t>(
            std::count_if(sidecar.actions.begin(), sidecar.actions.end(),
                          [](auto& a) { return std::holds_alternative<CloseIdleConnections>(a); }));
        // The first event in a second evaluates the previous one.
        sidecar.tell(TimerFired{1});
    }
    EXPECT_EQ(sidecar.policy->width(), 5u);
    EXPECT_TRUE(sidecar.module_has_selection());
    EXPECT_EQ(sidecar.record->listed.size(), 5u);
}

TEST(SubsetPolicy, FailingSubsetWidensUpToTheMaximum) {
    Sidecar sidecar(0, 10, {5, 40});
    sidecar.list(DiscoveryUpdate::Kind::Full, fleet(1'000));
    const auto bad = sidecar.ready();
    int seconds = 0;
    while (sidecar.policy->width() < 20 && seconds < 10) {
        sidecar.outcome(Status::ConnectFailed, 10);
        sidecar.now += 1s;
        sidecar.tell(TimerFired{1});
        ++seconds;
    }
    EXPECT_EQ(seconds, 2);
    EXPECT_EQ(sidecar.ready().size(), 20u);
    // It never exceeds the maximum width.
    for (int i = 0; i < 10; ++i) {
        sidecar.outcome(Status::ConnectFailed, 10);
        sidecar.now += 1s;
        sidecar.tell(TimerFired{1});
    }
    EXPECT_EQ(sidecar.policy->width(), 40u);
    EXPECT_TRUE(sidecar.module_has_selection());
}

TEST(SubsetPolicy, BusySidecarWidensItsSubset) {
    Sidecar sidecar(0, 10, {5, 40});
    sidecar.list(DiscoveryUpdate::Kind::Full, fleet(100));
    for (int i = 0; i < 9; ++i) {
        sidecar.record->next_actions.push_back(
            Send{"r" + std::to_string(i), sidecar.policy->selected()[0], {}});
        sidecar.tell(Request{});
    }
    sidecar.now += 1s;
    sidecar.tell(TimerFired{1});
    EXPECT_EQ(sidecar.policy->width(), 10u);
    // It does not shrink while they are in flight.
    sidecar.now += 60s;
    sidecar.tell(TimerFired{1});
    sidecar.now += 1s;
    sidecar.tell(TimerFired{1});
    EXPECT_EQ(sidecar.policy->width(), 10u);
}

/// Widening may release held calls at once. They must count as in flight.
TEST(SubsetPolicy, SendsCausedByWideningAreCounted) {
    Sidecar sidecar(0, 10, {4, 8});
    sidecar.list(DiscoveryUpdate::Kind::Full, fleet(100));
    sidecar.outcome(Status::Reset, 10);
    for (int i = 0; i < 9; ++i)
        sidecar.record->next_actions.push_back(Send{"r" + std::to_string(i), EndpointId{1}, {}});
    sidecar.now += 1100ms;
    sidecar.tell(TimerFired{1});  // widens because of the failures, and the module sends
    ASSERT_EQ(sidecar.policy->width(), 8u);
    // With nine calls in flight at a width of eight it is crowded and does not shrink.
    for (int i = 0; i < 30; ++i) {
        sidecar.now += 1s;
        sidecar.tell(TimerFired{1});
    }
    EXPECT_EQ(sidecar.policy->width(), 8u);
}

TEST(SubsetPolicy, OwnZoneComesFirst) {
    const auto zones = [](const Sidecar& sidecar) {
        std::map<std::uint32_t, int> count;
        for (const auto& [id, e] : sidecar.record->listed) ++count[e.zone];
        return count;
    };
    Sidecar even(3, 30, {12, 96}, 1, 3);
    even.list(DiscoveryUpdate::Kind::Full, fleet(300, 3));
    EXPECT_EQ(zones(even), (std::map<std::uint32_t, int>{{1, 12}}));
    // Its zone has a sixth of the endpoints but is one of three zones: it gets half of the width.
    EndpointList uneven;
    for (std::uint32_t i = 0; i < 300; ++i) uneven.push_back(endpoint(i, i % 6 == 0 ? 1 : 0));
    Sidecar small(3, 30, {12, 96}, 1, 3);
    small.list(DiscoveryUpdate::Kind::Full, uneven);
    EXPECT_EQ(zones(small)[1], 6);
    EXPECT_EQ(small.record->listed.size(), 12u);
    // All endpoints of its zone are removed.
    EndpointList gone;
    for (std::uint32_t i = 0; i < 300; ++i) {
        if (i % 3 == 1) gone.push_back(endpoint(i, 1, Availability::Gone));
    }
    even.list(DiscoveryUpdate::Kind::Delta, gone);
    EXPECT_EQ(zones(even).contains(1), false);
    EXPECT_EQ(even.record->listed.size(), 12u);
    EXPECT_TRUE(even.module_has_selection());
}

TEST(SubsetPolicy, TiersWithOneAndWithNoEndpoint) {
    Sidecar sidecar(7, 92, {20, 160});
    sidecar.list(DiscoveryUpdate::Kind::Full, {});
    EXPECT_TRUE(sidecar.record->listed.empty());
    sidecar.list(DiscoveryUpdate::Kind::Delta, fleet(1));
    EXPECT_EQ(sidecar.record->listed.size(), 1u);
    sidecar.list(DiscoveryUpdate::Kind::Delta, {endpoint(0, 0, Availability::Gone)});
    EXPECT_TRUE(sidecar.record->listed.empty());
    EXPECT_TRUE(sidecar.module_has_selection());
}

TEST(SubsetPolicy, InvalidOptionsAreRejected) {
    EXPECT_THROW(Sidecar(0, 1, {0, 10}), std::invalid_argument);
    EXPECT_THROW(Sidecar(0, 1, {20, 10}), std::invalid_argument);
}

/// Random deltas and the corresponding full lists must lead to the same selection, which the module must
/// know.
TEST(SubsetPolicy, DeltasGiveTheSameSubsetAsFullLists) {
    std::mt19937_64 random(5);
    Sidecar by_deltas(3, 7, {12, 96}, 1, 3), by_lists(3, 7, {12, 96}, 1, 3);
    std::map<std::uint32_t, Endpoint> all;
    for (int step = 0; step < 3'000; ++step) {
        EndpointList changes;
        for (std::uint64_t i = 0; i <= random() % 5; ++i) {
            const auto number = static_cast<std::uint32_t>(random() % 150);
            const auto what = random() % 10;
            const auto state = what < 6   ? Availability::Ready
                               : what < 8 ? Availability::Draining
                                          : Availability::Gone;
            const Endpoint e = endpoint(number, static_cast<std::uint32_t>(random() % 3), state);
            changes.push_back(e);
            if (state == Availability::Gone) {
                all.erase(number);
            } else {
                all[number] = e;
            }
        }
        by_deltas.list(DiscoveryUpdate::Kind::Delta, changes);
        EndpointList whole;
        for (const auto& [number, e] : all) whole.push_back(e);
        by_lists.list(DiscoveryUpdate::Kind::Full, whole);
        ASSERT_EQ(by_deltas.policy->selected(), by_lists.policy->selected()) << "step " << step;
        ASSERT_TRUE(by_deltas.module_has_selection()) << "step " << step;
        ASSERT_TRUE(by_lists.module_has_selection()) << "step " << step;
        // Selected endpoints that drain are still listed as draining, so that calls in flight continue.
        for (const auto& [id, e] : by_deltas.record->listed) {
            const auto known =
                std::find_if(all.begin(), all.end(), [&, id = id](auto& a) { return a.second.id == id; });
            ASSERT_NE(known, all.end()) << "step " << step;
            ASSERT_EQ(known->second.availability, e.availability) << "step " << step;
        }
    }
}

}  // namespace
