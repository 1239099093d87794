// Detection of an outdated endpoint list by failing attempts.
#include "membership/staleness.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace martenford {
namespace {

using decision::Status;

constexpr EndpointId kGone{1}, kSound{2};
constexpr struct {
    char letter;
    EndpointId id;
    Status status;
} kLetters[] = {{'c', kGone, Status::ConnectFailed}, {'t', kGone, Status::Rejected},
                {'e', kGone, Status::Error},         {'o', kGone, Status::Ok},
                {'m', kGone, Status::NotSent},       {'O', kSound, Status::Ok},
                {'T', kSound, Status::Rejected}};

/// Performs one step each 100 ms. c, t: the first endpoint refuses the connection, rejects the request; e, o:
/// it fails, serves; m: an attempt was never sent; O, T: the other endpoint serves, rejects; '.': nothing; n,
/// w: discovery answers with changes, without. Returns the number of requests to ask discovery again.
int count_requests(const std::string& steps, std::uint32_t replicas = 2) {
    Staleness staleness(replicas);
    Time now{1h};
    int result = 0;
    for (const char step : steps) {
        now += 100ms;
        if (step == 'n' || step == 'w') staleness.discovery_answered(step == 'n', now);
        for (const auto& [letter, id, status] : kLetters) {
            if (letter == step) result += staleness.attempt_ended(id, status, now);
        }
    }
    return result;
}

TEST(Staleness, IsDetectedWhenEndpointsRefuseWhileOthersServe) {
    const struct {
        const char* steps;
        int requests;
        const char* why;
    } table[] = {
        {"cOcOc", 1, "refuses connections while another serves"},
        {"tOtOtOt", 1, "rejects all while another serves"},
        {"tOcOt", 0, "too few of either"},
        {"cOc", 1, "200 ms after the first"},
        {"cc", 0, "too soon: a restart ends before a list could report it"},
        {"c.c.c.c", 0, "nobody serves: the network, or all endpoints"},
        {"cOoOcO", 0, "it served in between"},
        {"cOeOcO", 0, "an error shows that it accepts requests"},
        {"tOTtOTtOTtOTtOT", 0, "others reject as much: load"},
        {"mOmOmOmOmO", 0, "what was never sent shows nothing"},
        {"wcOcOcOcOc", 0, "discovery has answered within 2 s"},
        {"ncOtOnOcO", 0, "a changed list ends a run"},
        {"cOcOcOcOcOcOcOcOcOcO", 1, "not again within 2 s"},
    };
    for (const auto& row : table)
        EXPECT_EQ(count_requests(row.steps), row.requests) << row.steps << ": " << row.why;
}

TEST(Staleness, BacksOffUntilTheListChanges) {
    std::string minute;
    for (int i = 0; i < 300; ++i) minute += "cO";
    EXPECT_EQ(count_requests(minute), 6) << "after 0, 2, 6, 14, 30, 46 s";
    EXPECT_EQ(count_requests(minute, 1000), 1) << "a thousand replicas leave discovery 100 s";
    EXPECT_EQ(count_requests(minute + "n" + minute), 12);
}

TEST(Staleness, StaysBoundedAndRateLimitedUnderRandomInput) {
    std::mt19937 random(7);
    Staleness staleness(2);
    Time now{1h}, last{};
    for (int i = 0; i < 200'000; ++i) {
        now += 1ms * (random() % 20);
        if (random() % 500 == 0) {
            staleness.discovery_answered(random() % 2 == 0, now);
            last = {};
        }
        const auto status = static_cast<Status>(random() % 8);
        if (staleness.attempt_ended(EndpointId{static_cast<std::uint32_t>(random() % 5000)}, status, now)) {
            EXPECT_GE(now - last, 2s);
            last = now;
        }
        ASSERT_LE(staleness.suspects(), 256u);
    }
}

}  // namespace
}  // namespace martenford
