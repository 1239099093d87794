// Soft state: registry under leases, quotas as shares.
#include <doctest/doctest.h>

#include <deque>

#include "policy/mechanics.h"
#include "quota/quota.h"
#include "registry/registry.h"

using namespace martenford;
using namespace martenford::registry;
using namespace martenford::quota;

namespace {

ProxyRegistration place(const std::string& node, std::uint64_t life, std::uint64_t seq,
                        const std::string& instance = "i") {
    ProxyRegistration p;
    p.node = node;
    p.incarnation = life;
    p.seq = seq;
    p.instance_id = instance;
    p.state = EndpointState::Ready;
    return p;
}

}  // namespace

TEST_CASE("registry: late words of an earlier life or an earlier change are passed over") {
    Registry registry(1, {});
    Time now{10s};
    CHECK(registry.renew_lease(now, place("a", 7, 3)));
    CHECK_FALSE(registry.renew_lease(now, place("a", 7, 2, "old")));
    CHECK(registry.renew_lease(now, place("a", 8, 1, "new")));
    CHECK_FALSE(registry.renew_lease(now, place("a", 7, 9, "old")));
    CHECK(registry.delta_since(0, 0).registrations.front().instance_id == "new");
}

TEST_CASE("registry: a reader gets what it lacks, and all of it from another life of the controller") {
    Registry registry(5, {});
    Time now{10s};
    registry.renew_lease(now, place("a", 1, 1));
    const auto all = registry.delta_since(4, 99);
    CHECK(all.is_snapshot);
    registry.renew_lease(now, place("b", 1, 1));
    const auto some = registry.delta_since(5, all.seq);
    CHECK_FALSE(some.is_snapshot);
    REQUIRE(some.registrations.size() == 1);
    CHECK(some.registrations.front().node == "b");
    for (int i = 0; i < 250; ++i) registry.tick(now += 100ms);
    const auto gone = registry.delta_since(5, some.seq);
    CHECK(gone.removed_nodes.size() == 2);
}

TEST_CASE("registry: a controller that stood still doesn't take that for everybody's silence") {
    Registry registry(1, {});
    Time now{10s};
    registry.tick(now);
    registry.renew_lease(now, place("a", 1, 1));
    registry.tick(now += 5s);
    CHECK(registry.live_count() == 1);
    for (int i = 0; i < 30; ++i) registry.tick(now += 100ms);
    CHECK(registry.live_count() == 0);
}

TEST_CASE("registry: silent only where all that know a proxy say so; the last word of it is kept") {
    RegistryView view;
    Time now{10s};
    Registry one(1, {}), two(2, {});
    one.renew_lease(now, place("a", 1, 1));
    two.renew_lease(now, place("a", 1, 1));
    view.apply(now, "one", one.delta_since(0, 0));
    view.apply(now, "two", two.delta_since(0, 0));
    for (int i = 0; i < 20; ++i) one.tick(now += 100ms);
    view.apply(now, "one", one.delta_since(1, 1));
    CHECK_FALSE(view.entries().at("a").lease_expired);
    view.remove_controller("two");
    CHECK(view.entries().at("a").lease_expired);
    view.remove_controller("one");
    CHECK(view.entries().contains("a"));
}

TEST_CASE(
    "quotas: whoever leads, restarts or is not heard, the shares sum up to no more than the rule allows") {
    // Twelve proxies, a hot tenant, announcements that get lost, a leader that changes every few seconds.
    const std::map<std::string, Quota> quotas{{"t", {50, 50}}};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        decision::Random random(seed);
        std::vector<QuotaLimiter> proxies(12, QuotaLimiter({}));
        std::vector<std::uint64_t> taken(12);
        std::vector<QuotaAllocator> leaders(2, QuotaAllocator({}));
        Time now{10s}, since = now;
        std::size_t leader = 0;
        std::deque<Time> admitted;
        std::size_t most = 0;
        for (int step = 0; step < 6000; ++step, now += 10ms) {
            if (step % 700 == 699) {
                leader = 1 - leader;
                since = now + 700ms;  // nobody leads for a while
                std::fill(taken.begin(), taken.end(), 0);
            }
            for (std::size_t i = 0; i < proxies.size(); ++i) {
                // Twenty times the quota is asked for.
                for (int k = 0; k < 2; ++k) {
                    if (random.unit() < 0.4 && proxies[i].admit(now, "t", {50, 50}, 12))
                        admitted.push_back(now);
                }
                if ((step + static_cast<int>(i) * 4) % 50 != 0 || random.unit() < 0.1) continue;
                const auto demands = proxies[i].demands(now, {"t"});
                const std::string name = "s" + std::to_string(i);
                for (auto& allocator : leaders)
                    allocator.report_demand(now, name, &allocator == &leaders[leader] ? taken[i] : 0,
                                            demands);
                if (now < since) continue;
                const auto grants = leaders[leader].allocate(now, since, name, quotas, 12, 0);
                if (random.unit() < 0.1) continue;  // the answer is lost
                proxies[i].apply_leases(now, grants, now);
                taken[i] = leaders[leader].response_number();
            }
            while (!admitted.empty() && admitted.front() <= now - 5s) admitted.pop_front();
            if (step > 600) most = std::max(most, admitted.size());
        }
        CHECK(static_cast<double>(most) <= (50 * 5 + 50) * 1.1 + 20);
        CAPTURE(most);
        CHECK(most >= 220);
        if (getenv("SHOW")) printf("most %zu\n", most);  // and what is allowed is given
    }
}

TEST_CASE("quotas: a proxy that nobody tells anything falls to its floor when its lease ends") {
    QuotaLimiter scale({});
    Time now{10s};
    scale.apply_leases(now, {{"t", 100, 10, 1600}}, now);
    int admitted = 0;
    for (int i = 0; i < 160; ++i, now += 10ms) admitted += scale.admit(now, "t", {100, 10}, 12);
    CHECK(admitted >= 150);
    now += 30s;
    admitted = 0;
    for (int i = 0; i < 1000; ++i, now += 10ms) admitted += scale.admit(now, "t", {100, 10}, 12);
    CHECK(admitted >= 20);  // a quarter of an even share of 100 a second, for 10 s
    CHECK(admitted <= 25);
    CHECK(scale.admit(now, "unlimited", {0, 0}, 12));
}

TEST_CASE("quotas: proxies that are cut off serve on by what is kept for them, within the rule") {
    const std::map<std::string, Quota> quotas{{"t", {50, 50}}};
    std::vector<QuotaLimiter> proxies(12, QuotaLimiter({}));
    std::vector<std::uint64_t> taken(12);
    QuotaAllocator leader({});
    Time now{10s};
    const Time since = now, cut = now + 10s;
    std::deque<Time> admitted;
    std::size_t most = 0, by_cut = 0;
    for (int step = 0; step < 2400; ++step, now += 10ms) {
        for (std::size_t i = 0; i < proxies.size(); ++i) {
            const bool away = i < 4 && now >= cut;
            if (step % 2 == 0 && proxies[i].admit(now, "t", {50, 50}, 12)) {
                admitted.push_back(now);
                by_cut += away;
            }
            if ((step + static_cast<int>(i) * 4) % 50 != 0 || away) continue;
            const std::string name = "s" + std::to_string(i);
            leader.report_demand(now, name, taken[i], proxies[i].demands(now, {"t"}));
            proxies[i].apply_leases(
                now, leader.allocate(now, since, name, quotas, 12, now >= cut + 1600ms ? 4 : 0), now);
            taken[i] = leader.response_number();
        }
        while (!admitted.empty() && admitted.front() <= now - 5s) admitted.pop_front();
        most = std::max(most, admitted.size());
    }
    CHECK(static_cast<double>(most) <= (50 * 5 + 50) * 1.1 + 20);
    CHECK(by_cut >= 150);  // four of twelve for 14 s: an even share is 230
}
