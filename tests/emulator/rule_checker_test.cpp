// The rule checker: what it must call a breach, and what it must not.
#include "emulator/model/rule_checker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/units.h"

namespace martenford::emulator {
namespace {

using decision::Availability;
using decision::Idempotency;

Time at(double s) {
    return Time{from_seconds(s)};
}

constexpr std::uint32_t kSafe = 0, kKeyed = 1, kUnsafe = 2;

std::vector<decision::RequestClass> classes() {
    std::vector<decision::RequestClass> result(3);
    result[kSafe].idempotency = Idempotency::Idempotent;
    result[kKeyed].idempotency = Idempotency::Deduplicated;
    result[kKeyed].dedup_window = 6s;
    result[kUnsafe].idempotency = Idempotency::NonIdempotent;
    return result;
}

struct Rules : testing::Test {
    RuleChecker checker{RuleFigures{}, classes()};
    std::uint64_t breaches(Rule rule) const { return checker.verdict(rule).breaches; }
    std::size_t send(double when, std::uint32_t node = 0, std::uint32_t pod = 0) {
        return checker.attempt("r", node, pod, at(when), at(when));
    }
};

// ---- no request is lost ---------------------------------------------------------------------------

TEST_F(Rules, OneAnswerInTimeKeepsThem) {
    checker.taken("r", 0, kSafe, at(0), at(1));
    const auto n = send(0.1);
    checker.attempt_over("r", n, RuleChecker::Ran::Maybe);
    checker.served("r", at(0.5), true);
    checker.finish(at(100));
    EXPECT_TRUE(checker.all_kept());
}

TEST_F(Rules, SecondAnswerIsABreach) {
    checker.taken("r", 0, kSafe, at(0), at(1));
    checker.served("r", at(0.5), true);
    checker.failed("r", at(0.6));
    EXPECT_EQ(breaches(Rule::NoneLost), 1u);
}

TEST_F(Rules, LateAnswerIsABreachBeyondTheSlack) {
    checker.taken("r", 0, kSafe, at(0), at(1));
    checker.failed("r", at(1.019));
    EXPECT_TRUE(checker.all_kept());
    checker.taken("s", 0, kSafe, at(2), at(3));
    checker.failed("s", at(3.021));
    EXPECT_EQ(breaches(Rule::NoneLost), 1u);
}

TEST_F(Rules, NoAnswerIsABreachHoweverItsClientLeaves) {
    checker.taken("r", 0, kSafe, at(0), at(1));
    checker.taken("s", 0, kSafe, at(0), at(1));
    checker.left("s", at(1.1));
    EXPECT_EQ(breaches(Rule::NoneLost), 1u);
    checker.finish(at(2));
    EXPECT_EQ(breaches(Rule::NoneLost), 2u);
}

TEST_F(Rules, ClientThatLeavesInTimeIsOwedNothing) {
    checker.taken("r", 0, kSafe, at(0), at(1));
    checker.left("r", at(0.4));
    checker.finish(at(9));
    EXPECT_TRUE(checker.all_kept());
}

TEST_F(Rules, WhatAKilledSidecarHeldIsNotLost) {
    checker.taken("r", 3, kSafe, at(0), at(1));
    checker.sidecar_died(3);
    checker.finish(at(9));
    EXPECT_TRUE(checker.all_kept());
}

TEST_F(Rules, ServedWithSomethingElseIsABreach) {
    checker.taken("r", 0, kSafe, at(0), at(1));
    checker.served("r", at(0.5), false);
    EXPECT_EQ(breaches(Rule::NoneLost), 1u);
}

TEST_F(Rules, AttemptSentAfterTheAnswerIsABreachAndOneOnItsWayIsNot) {
    checker.taken("r", 0, kSafe, at(0), at(1));
    checker.refused("r", at(0.5));
    checker.attempt("r", 0, 0, at(0.49), at(0.51));
    EXPECT_TRUE(checker.all_kept());
    checker.attempt("r", 0, 0, at(0.52), at(0.53));
    EXPECT_EQ(breaches(Rule::NoneLost), 1u);
}

// ---- no effect happens twice ----------------------------------------------------------------------

TEST_F(Rules, UnsafeRequestGoesAgainOnlyAfterProofThatItNeverRan) {
    checker.taken("r", 0, kUnsafe, at(0), at(5));
    checker.attempt_over("r", send(0.1), RuleChecker::Ran::Never);
    checker.attempt_over("r", send(0.2), RuleChecker::Ran::Maybe);
    EXPECT_TRUE(checker.all_kept());
    send(0.3);
    EXPECT_EQ(breaches(Rule::NoDoubleEffect), 1u);
}

TEST_F(Rules, UnsafeRequestMayNotGoAgainWhileOneIsOut) {
    checker.taken("r", 0, kUnsafe, at(0), at(5));
    send(0.1);
    send(0.2);
    EXPECT_EQ(breaches(Rule::NoDoubleEffect), 1u);
}

TEST_F(Rules, RefusalOfWhatMayHaveRunIsABreachUnlessItIsSafe) {
    checker.taken("r", 0, kUnsafe, at(0), at(5));
    checker.attempt_over("r", send(0.1), RuleChecker::Ran::Maybe);
    checker.refused("r", at(0.2));
    EXPECT_EQ(breaches(Rule::NoDoubleEffect), 1u);
    checker.taken("s", 0, kSafe, at(0), at(5));
    checker.attempt_over("s", checker.attempt("s", 0, 0, at(0.1), at(0.1)), RuleChecker::Ran::Maybe);
    checker.refused("s", at(0.2));
    EXPECT_EQ(breaches(Rule::NoDoubleEffect), 1u);
}

TEST_F(Rules, TurnAwayThatCameTooLateIsNoProof) {
    // The sidecar had given the attempt up before: it can't know.
    checker.taken("r", 0, kUnsafe, at(0), at(5));
    const auto n = send(0.1);
    checker.attempt_over("r", n, RuleChecker::Ran::Maybe);
    checker.attempt_over("r", n, RuleChecker::Ran::Never);
    send(0.3);
    EXPECT_EQ(breaches(Rule::NoDoubleEffect), 1u);
}

TEST_F(Rules, KeyedRequestGoesAgainWithinItsPodAndWindowAlone) {
    checker.taken("r", 0, kKeyed, at(0), at(20));
    checker.attempt_over("r", send(0.1, 0, 7), RuleChecker::Ran::Maybe);
    checker.attempt_over("r", send(6.0, 1, 7), RuleChecker::Ran::Maybe);
    EXPECT_TRUE(checker.all_kept());
    checker.attempt_over("r", send(6.2, 2, 7), RuleChecker::Ran::Maybe);  // 6.1 s after the first
    EXPECT_EQ(breaches(Rule::NoDoubleEffect), 1u);
    checker.taken("s", 0, kKeyed, at(0), at(20));
    checker.attempt_over("s", checker.attempt("s", 0, 7, at(1), at(1)), RuleChecker::Ran::Maybe);
    checker.attempt("s", 5, 8, at(2), at(2));
    EXPECT_EQ(breaches(Rule::NoDoubleEffect), 2u);
}

// ---- drains are kept ------------------------------------------------------------------------------

TEST_F(Rules, NothingNewGoesToADrainingEndpointPastTheGrace) {
    checker.told(0, 4, Availability::Draining, at(10));
    checker.told(0, 4, Availability::Gone, at(10.9));  // the first word counts
    checker.taken("r", 0, kSafe, at(10), at(15));
    send(10.99, 4);
    EXPECT_TRUE(checker.all_kept());
    send(11.01, 4);
    EXPECT_EQ(breaches(Rule::DrainsKept), 1u);
    // Another sidecar has not been told.
    checker.taken("s", 1, kSafe, at(10), at(15));
    checker.attempt("s", 4, 0, at(12), at(12));
    EXPECT_EQ(breaches(Rule::DrainsKept), 1u);
}

TEST_F(Rules, EndpointThatIsBackMayBeSentTo) {
    checker.told(0, 4, Availability::Gone, at(1));
    checker.told(0, 4, Availability::Ready, at(5));
    checker.taken("r", 0, kSafe, at(9), at(15));
    send(10, 4);
    EXPECT_TRUE(checker.all_kept());
}

// ---- a cold endpoint is not pushed over -----------------------------------------------------------

TEST_F(Rules, ColdEndpointFallsOverWhenPushedByThoseWhoKnow) {
    for (const std::uint32_t sidecar : {0u, 1u, 2u}) checker.told(sidecar, 4, Availability::Ready, at(0));
    bool fell = false;
    for (int i = 0; i < 40 && !fell; ++i) {
        fell = checker.cold_work(static_cast<std::uint32_t>(i % 3), 4, 0.1, 0.5, at(1 + i * 0.01));
    }
    EXPECT_TRUE(fell);
    EXPECT_EQ(breaches(Rule::ColdSpared), 1u);
}

TEST_F(Rules, ColdEndpointFallsOverWithoutABreachWhenTheOthersCouldNotKnow) {
    checker.told(0, 4, Availability::Ready, at(0));
    bool fell = false;
    for (int i = 0; i < 40 && !fell; ++i) {
        fell = checker.cold_work(static_cast<std::uint32_t>(i % 3), 4, 0.1, 0.5, at(1 + i * 0.01));
    }
    EXPECT_TRUE(fell);
    EXPECT_TRUE(checker.all_kept());
}

TEST_F(Rules, SteadyLoadWithinTheMultipleIsNoPush) {
    checker.told(0, 4, Availability::Ready, at(0));
    for (int i = 0; i < 200; ++i) EXPECT_FALSE(checker.cold_work(0, 4, 0.1, 0.5, at(i * 0.08)));
    EXPECT_TRUE(checker.all_kept());
}

TEST_F(Rules, RequestsThatAreOverAreForgotten) {
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "r" + std::to_string(i);
        checker.taken(id, 0, kSafe, at(i), at(i + 1));
        checker.served(id, at(i + 0.5), true);
    }
    EXPECT_EQ(checker.open(), 0u);
}

}  // namespace
}  // namespace martenford::emulator
