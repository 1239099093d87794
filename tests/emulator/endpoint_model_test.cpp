// The endpoint model against queueing theory, against a plain model, and in each of its troubles.
#include "emulator/model/endpoint_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <vector>

#include "config/units.h"
#include "emulator/draws.h"

namespace martenford::emulator {
namespace {

using Ended = EndpointModel::Ended;

Time at(double s) {
    return Time{from_seconds(s)};
}

/// Runs a model by itself, one event after another.
class Bench {
  public:
    explicit Bench(const EndpointTraits& traits, bool cold = false) : model(traits, Time{}, cold) {}
    bool arrive(double when, EndpointModel::JobId job, double work, double expires = 1e6) {
        run_to(when);
        const bool taken = model.arrive(at(when), job, from_seconds(work), at(expires));
        note();
        return taken;
    }
    void run_to(double when) {
        for (auto due = model.next_due(); due && *due <= at(when); due = model.next_due()) {
            now = *due;
            note();
        }
        now = at(when);
        note();
    }
    /// Ends each phase as soon as it is done.
    void note() {
        std::vector<Ended> ended;
        for (;;) {
            ended.clear();
            model.advance(now, ended);
            if (ended.empty()) return;
            for (const Ended& end : ended) {
                auto& into = end.kind == Ended::Kind::Started   ? started
                             : end.kind == Ended::Kind::Expired ? expired
                                                                : done;
                into[end.job] = seconds(now.time_since_epoch());
                if (end.kind == Ended::Kind::PhaseDone && ends) model.finish(end.job);
            }
        }
    }
    EndpointModel model;
    Time now{};
    bool ends = true;
    std::map<EndpointModel::JobId, double> started, done, expired;
};

EndpointTraits plain(double cores, std::uint32_t slots, std::uint32_t queue = 1000) {
    EndpointTraits traits;
    traits.cores = cores;
    traits.slots = slots;
    traits.queue = queue;
    return traits;
}

/// Mean wait of an M/M/c queue, by Erlang's C formula.
double erlang_wait(double arrivals, double service, int servers) {
    const double load = arrivals / service, each = load / servers;
    double sum = 0.0, term = 1.0;
    for (int k = 0; k < servers; ++k) {
        sum += term;
        term *= load / (k + 1);
    }
    const double waits = term / (1.0 - each) / (sum + term / (1.0 - each));
    return waits / (servers * service - arrivals);
}

class Queueing : public testing::TestWithParam<std::pair<int, double>> {};

TEST_P(Queueing, MeanWaitIsThatOfTheTextbook) {
    const auto [servers, utilisation] = GetParam();
    const double service = 10.0, arrivals = utilisation * servers * service;
    Bench bench(plain(servers, static_cast<std::uint32_t>(servers), 1'000'000));
    Draws gaps(11, "gaps"), works(11, "works");
    double when = 0.0, waited = 0.0;
    constexpr int kRequests = 400'000;
    for (int i = 0; i < kRequests; ++i) {
        when += gaps.exponential(1.0 / arrivals);
        ASSERT_TRUE(
            bench.arrive(when, static_cast<EndpointModel::JobId>(i), works.exponential(1.0 / service)));
        if (const auto it = bench.started.find(static_cast<EndpointModel::JobId>(i));
            it != bench.started.end()) {
            bench.started.erase(it);  // at once: it has not waited
        } else {
            waited -= when;
        }
        if (bench.started.size() > 1000) {
            for (const auto& [job, began] : bench.started) waited += began;
            bench.started.clear();
        }
        bench.done.clear();
    }
    bench.run_to(when + 1000.0);
    for (const auto& [job, began] : bench.started) waited += began;
    const double expected = erlang_wait(arrivals, service, servers);
    EXPECT_NEAR(waited / kRequests, expected, 0.05 * expected);
}

INSTANTIATE_TEST_SUITE_P(MMc, Queueing,
                         testing::Values(std::pair{1, 0.5}, std::pair{1, 0.8}, std::pair{4, 0.7},
                                         std::pair{8, 0.9}));

TEST(EndpointModel, RequestsInWorkShareTheCoresEvenly) {
    Bench bench(plain(1, 4));
    bench.arrive(0.0, 1, 1.0);
    bench.arrive(0.0, 2, 0.5);
    bench.run_to(10.0);
    EXPECT_NEAR(bench.done[2], 1.0, 1e-6);  // half the core until its 0.5 s are done
    EXPECT_NEAR(bench.done[1], 1.5, 1e-6);
}

TEST(EndpointModel, OneRequestGetsOneCoreAtMost) {
    Bench bench(plain(4, 4));
    bench.arrive(0.0, 1, 1.0);
    bench.run_to(10.0);
    EXPECT_NEAR(bench.done[1], 1.0, 1e-6);
}

TEST(EndpointModel, WaitsInOrderAndTurnsAwayBeyondItsRoom) {
    Bench bench(plain(1, 1, 2));
    EXPECT_TRUE(bench.arrive(0.0, 1, 1.0));
    EXPECT_TRUE(bench.arrive(0.0, 2, 1.0));
    EXPECT_TRUE(bench.arrive(0.0, 3, 1.0));
    EXPECT_FALSE(bench.arrive(0.0, 4, 1.0));
    bench.run_to(10.0);
    EXPECT_NEAR(bench.started[2], 1.0, 1e-6);
    EXPECT_NEAR(bench.started[3], 2.0, 1e-6);
    EXPECT_EQ(bench.started.count(4), 0u);
    EXPECT_NEAR(bench.model.work_done(), 3.0, 1e-6);
}

TEST(EndpointModel, KeepsItsSlotWhileItWaitsForTheNextTier) {
    Bench bench(plain(1, 1));
    bench.ends = false;
    bench.arrive(0.0, 1, 1.0);
    bench.arrive(0.0, 2, 1.0);
    bench.run_to(5.0);
    EXPECT_EQ(bench.started.count(2), 0u);
    EXPECT_EQ(bench.model.in_work(), 1u);
    bench.model.resume(1, 1s);
    bench.ends = true;
    bench.run_to(10.0);
    EXPECT_NEAR(bench.done[1], 6.0, 1e-6);
    EXPECT_NEAR(bench.done[2], 7.0, 1e-6);
}

TEST(EndpointModel, FreezeStopsAllWorkAndTheLongestCounts) {
    Bench bench(plain(1, 4));
    bench.arrive(0.0, 1, 1.0);
    bench.run_to(0.5);
    bench.model.freeze_until(at(2.0));
    bench.model.freeze_until(at(1.0));
    EXPECT_TRUE(bench.model.frozen());
    bench.run_to(10.0);
    EXPECT_NEAR(bench.done[1], 2.5, 1e-6);
}

TEST(EndpointModel, SlownessesMultiplyAndEndEachByItself) {
    Bench bench(plain(1, 4));
    bench.arrive(0.0, 1, 1.0);
    bench.model.slow_down(4.0);
    bench.model.slow_down(2.0);
    bench.run_to(4.0);  // 0.5 s of work done
    bench.model.speed_up(4.0);
    bench.run_to(10.0);
    EXPECT_NEAR(bench.done[1], 5.0, 1e-6);
}

TEST(EndpointModel, WarmsUpEvenlyFromItsColdShare) {
    EndpointTraits traits = plain(1, 1);
    traits.cold_from = 0.4;
    traits.warm_up = 6s;
    Bench bench(traits, true);
    EXPECT_NEAR(bench.model.warm_capacity(at(0.0)), 0.4, 1e-9);
    EXPECT_NEAR(bench.model.warm_capacity(at(3.0)), 0.7, 1e-9);
    EXPECT_NEAR(bench.model.warm_capacity(at(6.0)), 1.0, 1e-9);
    EXPECT_TRUE(bench.model.cold(at(5.9)));
    EXPECT_FALSE(bench.model.cold(at(6.0)));
    // Work done in its first 6 s is the area under that line.
    bench.arrive(0.0, 1, 4.2);
    bench.run_to(20.0);
    EXPECT_NEAR(bench.done[1], 6.0, 0.06);
}

TEST(EndpointModel, ThrashesOnABacklogThatLastsAndEndsAfterRest) {
    EndpointTraits traits = plain(1, 2, 100);
    traits.thrash_at = 4;
    traits.thrash_after = 2s;
    traits.thrash_slower = 2.0;
    traits.thrash_rest = 3s;
    traits.thrash_rest_at = 0;
    Bench bench(traits);
    for (EndpointModel::JobId i = 1; i <= 8; ++i) bench.arrive(0.0, i, 1.0);
    bench.run_to(1.9);
    EXPECT_FALSE(bench.model.thrashing());
    bench.run_to(2.1);
    EXPECT_TRUE(bench.model.thrashing());
    // Six seconds of work were left and take twice as long; then it rests for three.
    bench.run_to(14.0 + 2.9);
    EXPECT_EQ(bench.done.size(), 8u);
    EXPECT_TRUE(bench.model.thrashing());
    bench.run_to(17.1);
    EXPECT_FALSE(bench.model.thrashing());
}

TEST(EndpointModel, ShortBacklogsDoNotThrash) {
    EndpointTraits traits = plain(1, 2, 100);
    traits.thrash_at = 4;
    traits.thrash_after = 2s;
    Bench bench(traits);
    for (EndpointModel::JobId i = 1; i <= 6; ++i) bench.arrive(0.0, i, 0.5);
    bench.run_to(60.0);
    EXPECT_FALSE(bench.model.thrashing());
    EXPECT_EQ(bench.done.size(), 6u);
}

TEST(EndpointModel, CancelReachesAsFarAsItIsTold) {
    for (const auto reach : {CancelReach::Nothing, CancelReach::Waiting, CancelReach::All}) {
        EndpointTraits traits = plain(1, 1);
        traits.cancel = reach;
        Bench bench(traits);
        bench.arrive(0.0, 1, 1.0);
        bench.arrive(0.0, 2, 1.0);
        EXPECT_EQ(bench.model.cancel(1), reach == CancelReach::All);
        EXPECT_EQ(bench.model.cancel(2), reach != CancelReach::Nothing);
        bench.run_to(10.0);
        EXPECT_EQ(bench.done.count(1), reach == CancelReach::All ? 0u : 1u);
        EXPECT_EQ(bench.done.count(2), reach == CancelReach::Nothing ? 1u : 0u);
    }
}

TEST(EndpointModel, DropsWhatHasWaitedPastItsDeadlineWhereItIsToldTo) {
    EndpointTraits traits = plain(1, 1);
    traits.drops_expired = true;
    Bench bench(traits);
    bench.arrive(0.0, 1, 2.0);
    bench.arrive(0.0, 2, 1.0, 1.5);
    bench.arrive(0.0, 3, 1.0, 9.0);
    bench.run_to(10.0);
    EXPECT_NEAR(bench.expired[2], 2.0, 1e-6);
    EXPECT_NEAR(bench.done[3], 3.0, 1e-6);
}

// ---- random operations against a plain model ------------------------------------------------------

/// The same queue in the plainest way: a step of one microsecond-free interval at a time, all requests in
/// lists.
struct PlainQueue {
    struct Job {
        std::uint64_t id;
        double left;
    };
    double cores;
    std::size_t slots, room;
    double now = 0.0, frozen_until = 0.0, slowness = 1.0;
    std::list<Job> running{}, waiting{};
    std::map<std::uint64_t, double> done{};

    double rate() const {
        return running.empty() || now < frozen_until
                   ? 0.0
                   : std::min(1.0, cores / static_cast<double>(running.size())) / slowness;
    }
    void admit() {
        while (running.size() < slots && !waiting.empty())
            running.splice(running.end(), waiting, waiting.begin());
    }
    void run_to(double until) {
        while (now < until) {
            double next = until;
            if (now < frozen_until) next = std::min(next, frozen_until);
            const double speed = rate();
            for (const Job& job : running) {
                if (speed > 0.0) next = std::min(next, now + job.left / speed);
            }
            for (Job& job : running) job.left -= speed * (next - now);
            now = next;
            for (auto it = running.begin(); it != running.end();) {
                if (it->left > 1e-9) {
                    ++it;
                    continue;
                }
                done[it->id] = now;
                it = running.erase(it);
            }
            admit();
        }
    }
    bool arrive(std::uint64_t id, double work) {
        if (running.size() >= slots && waiting.size() >= room) return false;
        waiting.push_back({id, work});
        admit();
        return true;
    }
    bool cancel(std::uint64_t id) {
        for (auto* list : {&running, &waiting}) {
            for (auto it = list->begin(); it != list->end(); ++it) {
                if (it->id != id) continue;
                list->erase(it);
                admit();
                return true;
            }
        }
        return false;
    }
};

TEST(EndpointModel, AgreesWithAPlainModelUnderRandomOperations) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Draws draws(seed, "operations");
        EndpointTraits traits =
            plain(static_cast<double>(1 + draws.below(3)), static_cast<std::uint32_t>(1 + draws.below(5)),
                  static_cast<std::uint32_t>(draws.below(6)));
        traits.cancel = CancelReach::All;
        Bench bench(traits);
        PlainQueue plain_queue{traits.cores, traits.slots, traits.queue};
        double when = 0.0;
        std::uint64_t last = 0;
        for (int step = 0; step < 400; ++step) {
            when += draws.exponential(0.3);
            plain_queue.run_to(when);
            bench.run_to(when);
            const double what = draws.unit();
            if (what < 0.7) {
                const double work = draws.exponential(0.5) + 0.001;
                ++last;
                ASSERT_EQ(bench.arrive(when, last, work), plain_queue.arrive(last, work))
                    << seed << " " << step;
            } else if (what < 0.85 && last > 0) {
                const std::uint64_t id = 1 + draws.below(last);
                ASSERT_EQ(bench.model.cancel(id), plain_queue.cancel(id)) << seed << " " << step;
                bench.note();
            } else if (what < 0.93) {
                const double until = when + draws.unit();
                bench.model.freeze_until(at(until));
                plain_queue.frozen_until = std::max(plain_queue.frozen_until, until);
            } else {
                const double factor = draws.between(0.5, 2.0);
                bench.model.slow_down(factor);
                plain_queue.slowness *= factor;
            }
            ASSERT_EQ(bench.model.in_work(), plain_queue.running.size()) << seed << " " << step;
            ASSERT_EQ(bench.model.waiting(), plain_queue.waiting.size()) << seed << " " << step;
        }
        ASSERT_EQ(bench.done.size(), plain_queue.done.size()) << seed;
        for (const auto& [id, when_done] : plain_queue.done)
            ASSERT_NEAR(bench.done.at(id), when_done, 1e-4) << seed;
        ASSERT_GT(bench.done.size(), 20u);
    }
}

}  // namespace
}  // namespace martenford::emulator
