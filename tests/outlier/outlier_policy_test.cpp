#include "outlier/outlier_policy.h"

#include <gtest/gtest.h>

#include <random>
#include <stdexcept>

#include "standins/recording_policy.h"

namespace {

using namespace martenford::decision;
using namespace std::chrono_literals;
using martenford::Counters;
using martenford::outlier::Options;
using martenford::outlier::OutlierPolicy;
using martenford::standins::RecordingPolicy;

struct Sidecar {
    explicit Sidecar(Options options = {}, std::uint32_t size = 30)
        : record(std::make_shared<RecordingPolicy::Record>()),
          policy(std::make_unique<RecordingPolicy>(record), options, counters) {
        policy.start(now, actions);
        EndpointList list;
        for (std::uint32_t i = 0; i < size; ++i) list.push_back(endpoint(i));
        tell(DiscoveryUpdate{DiscoveryUpdate::Kind::Full, std::make_shared<EndpointList>(list)});
    }
    static Endpoint endpoint(std::uint32_t id) {
        Endpoint e;
        e.id = EndpointId{id};
        return e;
    }
    void tell(const Event& event) {
        actions.clear();
        policy.handle(now, event, actions);
    }
    void change(Endpoint e) {
        tell(DiscoveryUpdate{DiscoveryUpdate::Kind::Delta, std::make_shared<EndpointList>(EndpointList{e})});
    }
    void outcome(std::uint32_t id, Status status) {
        tell(Outcome{"r", 0, EndpointId{id}, status, 1ms, true, std::nullopt, true});
    }
    /// Failures of an endpoint that gets one call a minute.
    void fail(std::uint32_t id, int times) {
        for (int i = 0; i < times; ++i) {
            now += 60s;
            outcome(id, Status::Error);
        }
    }
    Availability seen(std::uint32_t id) const { return record->listed.at(EndpointId{id}).availability; }
    Counters counters;
    std::shared_ptr<RecordingPolicy::Record> record;
    OutlierPolicy policy;
    Time now{1h};
    std::vector<Action> actions;
};

TEST(Outlier, EndpointThatFailsOncePerMinuteIsEjectedAndReadmitted) {
    Sidecar sidecar;
    sidecar.fail(7, 2);
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
    sidecar.fail(7, 1);
    EXPECT_EQ(sidecar.seen(7), Availability::Draining);  // calls in flight continue
    EXPECT_TRUE(sidecar.policy.ejected(EndpointId{7}));
    sidecar.now += 59s;
    sidecar.tell(TimerFired{1});
    EXPECT_EQ(sidecar.seen(7), Availability::Draining);
    sidecar.now += 1s;
    sidecar.tell(TimerFired{1});
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
    // The first failure after the readmission ejects it for twice as long.
    sidecar.fail(7, 1);
    EXPECT_EQ(sidecar.seen(7), Availability::Draining);
    sidecar.now += 119s;
    sidecar.tell(TimerFired{1});
    EXPECT_EQ(sidecar.seen(7), Availability::Draining);
    sidecar.now += 1s;
    sidecar.tell(TimerFired{1});
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
}

TEST(Outlier, EndpointThatOthersEjectedIsEjectedAtItsFirstFailure) {
    Sidecar sidecar;
    std::vector<std::uint32_t> reported;
    sidecar.policy.on_ejected(
        [&](EndpointId id, std::uint32_t) { reported.push_back(static_cast<std::uint32_t>(id)); });
    sidecar.policy.note_peer_ejection(EndpointId{7});
    sidecar.policy.note_peer_ejection(EndpointId{99});  // not in the list
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
    sidecar.outcome(7, Status::Error);
    EXPECT_EQ(sidecar.seen(7), Availability::Draining);
    EXPECT_EQ(reported, std::vector<std::uint32_t>{7});
    // Successes here outweigh reports of others.
    sidecar.policy.note_peer_ejection(EndpointId{8});
    sidecar.outcome(8, Status::Ok);
    sidecar.outcome(8, Status::Ok);
    sidecar.fail(8, 1);
    EXPECT_EQ(sidecar.seen(8), Availability::Ready);
}

TEST(Outlier, BurstOfFailuresCountsOnce) {
    Sidecar sidecar;
    for (int i = 0; i < 100; ++i) {
        sidecar.now += 50ms;
        sidecar.outcome(7, Status::Timeout);
    }
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
}

TEST(Outlier, SuccessesTakeFailuresOff) {
    Sidecar sidecar;
    for (int i = 0; i < 50; ++i) {
        sidecar.fail(7, 1);
        sidecar.now += 60s;
        sidecar.outcome(7, Status::Ok);
    }
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
}

TEST(Outlier, RejectedCancelledAndUnsentCallsAreNoFailures) {
    Sidecar sidecar;
    for (const Status status : {Status::Rejected, Status::Cancelled, Status::NotSent}) {
        for (int i = 0; i < 10; ++i) {
            sidecar.now += 60s;
            sidecar.outcome(7, status);
        }
    }
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
}

TEST(Outlier, EjectedShareIsLimited) {
    Sidecar sidecar({}, 9);
    for (int round = 0; round < 3; ++round) {
        sidecar.now += 11s;
        for (std::uint32_t id = 0; id < 9; ++id) sidecar.outcome(id, Status::ConnectFailed);
    }
    EXPECT_EQ(sidecar.policy.ejected_now(), 3u);
    std::size_t ready = 0;
    for (std::uint32_t id = 0; id < 9; ++id) ready += sidecar.seen(id) == Availability::Ready ? 1 : 0;
    EXPECT_EQ(ready, 6u);
    // The only endpoint of a tier is never ejected.
    Sidecar alone({}, 1);
    alone.fail(0, 20);
    EXPECT_EQ(alone.seen(0), Availability::Ready);
}

TEST(Outlier, DrainDuringAnEjectionIsKeptAndARestartClearsIt) {
    Sidecar sidecar;
    sidecar.fail(7, 3);
    Endpoint e = Sidecar::endpoint(7);
    e.availability = Availability::Draining;
    sidecar.change(e);
    sidecar.now += 10min;
    sidecar.tell(TimerFired{1});
    EXPECT_EQ(sidecar.seen(7), Availability::Draining);
    e.availability = Availability::Ready;
    e.started = sidecar.now;
    sidecar.change(e);
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
    sidecar.fail(7, 2);
    EXPECT_EQ(sidecar.seen(7), Availability::Ready);
    // Removed during an ejection: it is not readmitted.
    sidecar.fail(7, 1);
    ASSERT_TRUE(sidecar.policy.ejected(EndpointId{7}));
    e.availability = Availability::Gone;
    sidecar.change(e);
    sidecar.now += 10min;
    sidecar.tell(TimerFired{1});
    EXPECT_FALSE(sidecar.record->listed.contains(EndpointId{7}));
    EXPECT_EQ(sidecar.policy.ejected_now(), 0u);
}

TEST(Outlier, InvalidOptionsAreRejected) {
    Options options;
    options.failure_threshold = 0;
    EXPECT_THROW(Sidecar{options}, std::invalid_argument);
    options.failure_threshold = 3;
    options.max_ejected_share = 1.5;
    EXPECT_THROW(Sidecar{options}, std::invalid_argument);
}

/// Random outcomes, lists and times: ejections are shown as draining, listed drains stay, and no endpoint
/// stays ejected for longer than the maximum.
TEST(Outlier, KeepsItsLimitsUnderRandomEvents) {
    Options options;
    options.max_ejection_time = 300s;
    Sidecar sidecar(options, 30);
    std::mt19937_64 random(3);
    std::map<std::uint32_t, Endpoint> listed;
    for (std::uint32_t i = 0; i < 30; ++i) listed[i] = Sidecar::endpoint(i);
    std::map<std::uint32_t, Time> out_since;
    std::size_t ejections = 0;
    for (int step = 0; step < 20'000; ++step) {
        sidecar.now += std::chrono::seconds(random() % 8);
        const auto id = static_cast<std::uint32_t>(random() % 30);
        const auto what = random() % 20;
        // Due readmissions come first, even if the next event ejects the endpoint again.
        sidecar.tell(TimerFired{1});
        std::erase_if(out_since, [&](const auto& o) { return !sidecar.policy.ejected(EndpointId{o.first}); });
        if (what < 16) {
            sidecar.outcome(id, id % 3 == 0 && what < 14 ? Status::Reset : Status::Ok);
        } else {
            Endpoint e = Sidecar::endpoint(id);
            e.availability = what == 16   ? Availability::Draining
                             : what == 17 ? Availability::Gone
                                          : Availability::Ready;
            if (what == 19)
                e.started = sidecar.now;
            else if (listed.contains(id))
                e.started = listed[id].started;
            sidecar.change(e);
            if (what == 17) {
                listed.erase(id);
            } else {
                listed[id] = e;
            }
        }
        std::size_t ready = 0, out = 0;
        for (const auto& [number, e] : listed) {
            const bool is_ready = e.availability == Availability::Ready;
            const bool is_out = sidecar.policy.ejected(EndpointId{number});
            ready += is_ready ? 1 : 0;
            out += is_out ? 1 : 0;
            ASSERT_EQ(sidecar.seen(number), is_ready && is_out ? Availability::Draining : e.availability);
            if (!is_out) {
                out_since.erase(number);
            } else if (out_since.emplace(number, sidecar.now).second) {
                ++ejections;
            } else {
                ASSERT_LE(sidecar.now - out_since[number], 300s) << number;
            }
        }
        ASSERT_EQ(out, sidecar.policy.ejected_now());
    }
    EXPECT_GT(ejections, 20u);
}

}  // namespace
