// The pure half of the journal: lives, frames, batches and the outbox, each against a plain model.
#include "ledger/request_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include "ledger/frame.h"
#include "ledger/group_commit.h"
#include "ledger/pending_records.h"

namespace {

using namespace martenford::ledger;
using martenford::Duration;
using martenford::Time;
using namespace std::chrono_literals;

// ---- generators -------------------------------------------------------------------------------------

Record record_of(std::uint64_t sequence, std::int64_t at, decltype(Record::payload) what) {
    return Record{sequence, 7, at, at * 1'000'000, false, std::move(what)};
}

rc::Gen<Record> any_record() {
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange<std::uint32_t>(0, 4),
                       rc::gen::inRange(1, kEndingCount), rc::gen::inRange(1, kFinalAnswerCount),
                       rc::gen::inRange<std::int64_t>(1, 50)),
        [](const auto& drawn) {
            const auto [kind, attempt, ending, answer, at] = drawn;
            switch (kind) {
                case 0:
                case 1:
                    return record_of(
                        1, at,
                        Intent{attempt, "r", "debit", "k", "d", "s-" + std::to_string(attempt), "a:1"});
                case 2:
                    return record_of(1, at, Written{attempt});
                case 3:
                    return record_of(1, at, Ended{attempt, static_cast<Ending>(ending)});
                default:
                    return record_of(1, at, Answered{static_cast<FinalAnswer>(answer)});
            }
        });
}

RequestHistory history_of(const std::vector<Record>& records) {
    RequestHistory history;
    for (const Record& record : records) history.merge(record);
    return history;
}

// ---- lives ------------------------------------------------------------------------------------------

RC_GTEST_PROP(RequestHistory, IsTheSameInAnyOrderAndHoweverOftenItIsTold, ()) {
    const auto records = *rc::gen::container<std::vector<Record>>(any_record());
    auto shuffled = records;
    for (const Record& record : records) {
        if (*rc::gen::arbitrary<bool>()) shuffled.push_back(record);
    }
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
    RC_ASSERT(history_of(shuffled) == history_of(records));
}

/// A sidecar's own story of one request, in order, as the recorder tells it; and what truly happened.
struct SimulatedRequest {
    std::vector<Record> records;
    std::vector<bool> may_have_run;  // truly, by the time that the first i records were durable and no more
};

SimulatedRequest simulate(std::mt19937_64& random) {
    SimulatedRequest simulated;
    std::int64_t at = 1;
    bool ran = false;
    const auto append = [&](decltype(Record::payload) what) {
        simulated.records.push_back(record_of(simulated.records.size() + 1, at++, std::move(what)));
    };
    const auto attempts = 1 + random() % 3;
    for (std::uint32_t n = 0; n < attempts; ++n) {
        append(Intent{n, "r", "debit", "", "", "s", "a"});
        const auto ending = static_cast<Ending>(1 + random() % (kEndingCount - 1));
        const bool out = effect_of(ending) != Effect::NeverRan;
        simulated.may_have_run.resize(simulated.records.size(), ran);
        ran |= out;  // from here on bytes may be out, whatever is told of it
        simulated.may_have_run.back() = ran;
        if (out && random() % 2) append(Written{n});
        append(Ended{n, ending});
        simulated.may_have_run.resize(simulated.records.size(), ran);
        if (out) break;  // an unsafe call goes again only after proof that it never ran
    }
    append(Answered{ran ? FinalAnswer::Failed : FinalAnswer::Refused});
    simulated.may_have_run.resize(simulated.records.size(), ran);
    return simulated;
}

TEST(RequestHistory, WhatPossiblyRanIsNeverConcludedAsNeverRunAtAnyCut) {
    std::mt19937_64 random(24);
    for (int round = 0; round < 200'000; ++round) {
        const SimulatedRequest simulated = simulate(random);
        RequestHistory history;
        for (std::size_t cut = 0; cut < simulated.records.size(); ++cut) {
            history.merge(simulated.records[cut]);
            if (simulated.may_have_run[cut]) {
                ASSERT_NE(history.effect(), Effect::NeverRan)
                    << "round " << round << " cut after " << cut + 1;
            }
        }
        ASSERT_TRUE(history.is_complete());
        ASSERT_FALSE(history.contradicts_itself()) << history.reason();
        ASSERT_EQ(history.effect() == Effect::NeverRan, !simulated.may_have_run.back());
    }
}

TEST(RequestHistory, GivesTheReasonThatDecides) {
    struct Case {
        std::vector<decltype(Record::payload)> payloads;
        Effect effect;
        const char* reason;
    };
    const Intent first{0, "r", "debit", "", "", "s", "a"}, second{1, "r", "debit", "", "", "t", "b"};
    const std::vector<Case> cases{
        {{}, Effect::NeverRan, "no attempt is known"},
        {{first}, Effect::MayHaveRun, "attempt 0 was about to be sent and its ending is not known"},
        {{first, Written{0}}, Effect::MayHaveRun, "attempt 0 was written whole and its ending is not known"},
        {{first, Ended{0, Ending::Full}}, Effect::NeverRan, "attempt 0 ended: full"},
        {{first, Ended{0, Ending::Full}, second},
         Effect::MayHaveRun,
         "attempt 1 was about to be sent and its ending is not known"},
        {{first, Ended{0, Ending::Timeout}}, Effect::MayHaveRun, "attempt 0 ended: timeout"},
        {{first, Ended{0, Ending::Served}, Answered{FinalAnswer::Served}},
         Effect::Ran,
         "attempt 0 ended: served"},
        // Two that contradict each other: the worse stays.
        {{first, Ended{0, Ending::NotSent}, Ended{0, Ending::Reset}},
         Effect::MayHaveRun,
         "attempt 0 ended: reset"},
        {{first, Ended{0, Ending::Reset}, Ended{0, Ending::NotSent}},
         Effect::MayHaveRun,
         "attempt 0 ended: reset"},
    };
    for (const Case& each : cases) {
        RequestHistory history;
        std::int64_t at = 1;
        for (const auto& what : each.payloads) history.merge(record_of(1, at++, what));
        EXPECT_EQ(history.effect(), each.effect) << each.reason;
        EXPECT_EQ(history.reason(), each.reason);
    }
}

TEST(RequestHistory, TakesTheTimeFromTheClockThatNeverSteps) {
    Record early = record_of(1, 5000, Intent{0, "r", "debit", "", "", "s", "a"});
    Record late =
        record_of(2, 1000, Intent{1, "r", "debit", "", "", "s", "a"});  // the wall clock stepped back
    late.mono_ns = early.mono_ns + 1;
    EXPECT_EQ(history_of({early, late}).taken_ms(), 5000);
    EXPECT_EQ(history_of({late, early}).taken_ms(), 5000);
}

// ---- frames -----------------------------------------------------------------------------------------

RC_GTEST_PROP(Frame, ComesBackAsItWasInWhateverPieces, ()) {
    const auto records = *rc::gen::container<std::vector<Record>>(any_record());
    std::string bytes;
    for (const Record& record : records) bytes += frame_of(ToWriter{record});
    FrameReader reader;
    std::vector<Record> read;
    for (std::size_t at = 0; at < bytes.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        reader.feed(std::string_view(bytes).substr(at, size));
        at += size;
        while (const auto message = reader.next()) read.push_back(std::get<Record>(read_to_writer(*message)));
    }
    RC_ASSERT(read == records);
    RC_ASSERT(reader.empty());
}

TEST(Frame, AFlippedBitIsNeverTakenForARecord) {
    const std::string whole =
        frame_of(ToWriter{record_of(1, 2, Intent{0, "r1", "debit", "key", "", "s-1", "a:1"})});
    int caught = 0;
    for (std::size_t bit = 0; bit < whole.size() * 8; ++bit) {
        std::string bytes = whole;
        bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ 1 << bit % 8);
        FrameReader reader;
        reader.feed(bytes);
        try {
            EXPECT_FALSE(reader.next()) << bit;  // a longer length: more is waited for
        } catch (const FrameError&) {
            ++caught;
        }
    }
    EXPECT_GT(caught, static_cast<int>(whole.size()) * 7);
}

TEST(Frame, ARecordThatSaysNothingKnownIsRefused) {
    EXPECT_THROW(read_to_writer(""), FrameError);
    EXPECT_THROW(read_to_writer("\xff\xff"), FrameError);
    Record beyond = record_of(1, 1, Ended{0, static_cast<Ending>(kEndingCount)});
    const std::string frame = frame_of(ToWriter{beyond});
    EXPECT_THROW(read_to_writer(std::string_view(frame).substr(kFrameHeaderBytes)), FrameError);
    EXPECT_THROW(
        frame_of(ToWriter{record_of(1, 1, Intent{0, std::string(kMaxFrameBytes, 'x'), "", "", "", "", ""})}),
        FrameError);
}

// ---- batches ----------------------------------------------------------------------------------------

TEST(GroupCommit, IsClosedByCountBytesDelayOrAnUrgentOne) {
    const GroupCommit::Options options{3, 100, 5ms};
    const Time start{1s};
    struct Case {
        std::vector<std::pair<std::size_t, bool>> records;  // bytes, urgent
        Duration due;
    };
    for (const Case& each : {Case{{{10, false}}, 5ms}, Case{{{10, false}, {10, true}}, 0ms},
                             Case{{{10, false}, {10, false}, {10, false}}, 0ms}, Case{{{100, false}}, 0ms}}) {
        GroupCommit commit(options);
        EXPECT_FALSE(commit.next_due());
        for (const auto& [bytes, urgent] : each.records) commit.add(bytes, urgent, start);
        EXPECT_EQ(*commit.next_due(), start + each.due);
        EXPECT_EQ(commit.due(start), each.due == 0ms);
        EXPECT_TRUE(commit.due(start + 5ms));
        commit.reset();
        EXPECT_FALSE(commit.due(start + 1h));
        commit.add(1, false, start + 1s);
        EXPECT_EQ(*commit.next_due(), start + 1s + 5ms);  // what was urgent before is over
    }
}

// ---- the outbox -------------------------------------------------------------------------------------

TEST(PendingRecords, DecidesByLevelPolicyAndTheWritersHealth) {
    using Decision = PendingRecords::SendDecision;
    PendingRecords::Options options;
    PendingRecords pending(options);
    const Time t{100s};
    const auto expect = [&](const char* when, Decision sync, Decision async, Decision send_on_outage) {
        EXPECT_EQ(pending.decide(Durability::Sync, OutagePolicy::Refuse), sync) << when;
        EXPECT_EQ(pending.decide(Durability::Group, OutagePolicy::Refuse), sync) << when;
        EXPECT_EQ(pending.decide(Durability::Async, OutagePolicy::Refuse), async) << when;
        EXPECT_EQ(pending.decide(Durability::Group, OutagePolicy::SendUnjournaled), send_on_outage) << when;
        EXPECT_EQ(pending.decide(Durability::Off, OutagePolicy::Refuse), Decision::Send) << when;
    };
    expect("before a start", Decision::Hold, Decision::Send, Decision::Hold);
    pending.writer_started(t);
    expect("while it starts", Decision::Hold, Decision::Send, Decision::Hold);
    pending.writer_ready(t);
    expect("up", Decision::Hold, Decision::Send, Decision::Hold);
    pending.writer_failing("full", t);
    expect("in trouble", Decision::Refuse, Decision::Refuse, Decision::SendUnjournaled);
    pending.acknowledged(0, t);
    expect("up again", Decision::Hold, Decision::Send, Decision::Hold);
    pending.writer_lost("killed", t + options.stable_after);
    expect("lost after a steady run", Decision::Hold, Decision::Send, Decision::Hold);
    EXPECT_EQ(*pending.restart_at(), t + options.stable_after);  // it had run for long: at once
    pending.writer_started(t + options.stable_after);
    expect("started again", Decision::Hold, Decision::Send, Decision::Hold);
    pending.writer_lost("dies young", t + options.stable_after);
    expect("it died young", Decision::Refuse, Decision::Refuse, Decision::SendUnjournaled);
    pending.writer_started(t + options.stable_after);
    expect("started again after it died young", Decision::Refuse, Decision::Refuse,
           Decision::SendUnjournaled);
}

TEST(PendingRecords, ABackoffGrowsToItsBoundAndIsForgottenAfterASteadyRun) {
    PendingRecords::Options options;
    PendingRecords pending(options);
    Time t{1s};
    std::vector<Duration> waits;
    for (int i = 0; i < 9; ++i) {
        pending.writer_started(t);
        pending.writer_lost("dead", t);
        waits.push_back(*pending.restart_at() - t);
        t = *pending.restart_at();
    }
    EXPECT_EQ(waits.front(), options.min_backoff);
    EXPECT_TRUE(std::is_sorted(waits.begin(), waits.end()));
    EXPECT_EQ(waits.back(), options.max_backoff);
    pending.writer_started(t);
    pending.writer_ready(t);
    pending.writer_lost("dead", t + options.stable_after);
    EXPECT_EQ(*pending.restart_at(), t + options.stable_after);
}

/// Against a plain model: every record that was taken is acknowledged once by some writer in order, or still
/// waits; nothing is handed to a writer before what stands ahead of it, and bounds hold.
TEST(PendingRecords, LosesNothingOverAnyOrderOfEvents) {
    std::mt19937_64 random(7);
    PendingRecords::Options options;
    options.max_records = 64;
    options.max_bytes = 64 * 40;
    for (int seed = 0; seed < 200; ++seed) {
        PendingRecords pending(options);
        Time now{1s};
        std::uint64_t next = 0, durable = 0, with_writer = 0;
        std::vector<std::uint64_t> taken;
        for (int step = 0; step < 1000; ++step) {
            now += Duration{static_cast<Duration::rep>(random() % 300'000'000)};
            switch (random() % 8) {
                case 0:
                case 1:
                case 2: {
                    std::string frame(8, '\0');
                    const std::uint64_t sequence = next + 1;
                    std::copy_n(reinterpret_cast<const char*>(&sequence), 8, frame.begin());
                    if (pending.put(sequence, frame)) {
                        taken.push_back(++next);
                    } else {
                        ASSERT_EQ(pending.records(), options.max_records);
                    }
                    break;
                }
                case 3:
                    if (pending.health() == PendingRecords::Health::Down && now >= *pending.restart_at()) {
                        pending.writer_started(now);
                        with_writer = durable;
                    }
                    break;
                case 4:
                    if (pending.health() == PendingRecords::Health::Starting) pending.writer_ready(now);
                    break;
                case 5: {
                    const std::string bytes = pending.take_unsent(1 + random() % 100, now);
                    ASSERT_TRUE(bytes.empty() || pending.health() == PendingRecords::Health::Up);
                    for (std::size_t at = 0; at < bytes.size(); at += 8) {
                        std::uint64_t sequence = 0;
                        std::copy_n(bytes.data() + at, 8, reinterpret_cast<char*>(&sequence));
                        ASSERT_EQ(sequence, ++with_writer);
                    }
                    break;
                }
                case 6:
                    if (with_writer > durable && pending.health() == PendingRecords::Health::Up) {
                        durable += 1 + random() % (with_writer - durable);
                        pending.acknowledged(durable, now);
                    }
                    break;
                default:
                    if (pending.is_unresponsive(now) ||
                        (random() % 10 == 0 && pending.health() != PendingRecords::Health::Down)) {
                        pending.writer_lost("chance", now);
                    }
            }
            ASSERT_EQ(pending.records(), next - durable);
            ASSERT_EQ(pending.acknowledged_up_to(), durable);
            ASSERT_LE(pending.bytes(), options.max_bytes);
        }
    }
}

}  // namespace
