#include "membership/membership.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace {

using namespace martenford;
using decision::Availability;
using decision::DiscoveryUpdate;

Target target(const std::string& uid, Availability state = Availability::Ready, std::int64_t boot_ms = 0) {
    Target result;
    result.uid = uid;
    result.address = {boost::asio::ip::address_v4(uid_hash(uid)), 8443};
    result.endpoint.availability = state;
    result.boot_ms = boot_ms;
    return result;
}

TargetList list(std::uint64_t revision, bool all, std::vector<Target> targets) {
    TargetList result;
    result.revision = revision;
    result.all = all;
    result.targets = std::move(targets);
    return result;
}

std::vector<Target> fleet(int from, int to) {
    std::vector<Target> result;
    for (int i = from; i < to; ++i) result.push_back(target("s-" + std::to_string(i)));
    return result;
}

std::vector<Target> gone(int from, int to) {
    std::vector<Target> result;
    for (int i = from; i < to; ++i) result.push_back(target("s-" + std::to_string(i), Availability::Gone));
    return result;
}

constexpr Time kStart{1h};

class MembershipWithRemovalDelay : public ::testing::Test {
  protected:
    MembershipWithRemovalDelay() : membership({0.5, 10, 400ms}) {
        membership.apply_list(list(1, true, fleet(0, 100)), false, kStart, Time{});
    }
    Membership membership;
};

TEST(Membership, UidsWithTheSameHashKeepDistinctIds) {
    const std::string first = "costarring", second = "liquid";
    ASSERT_EQ(uid_hash(first), uid_hash(second));
    Membership membership({});
    const auto update =
        membership.apply_list(list(1, true, {target(first), target(second)}), false, kStart, Time{});
    ASSERT_EQ(update.discovered.endpoints->size(), 2u);
    const auto a = membership.id_of(first), b = membership.id_of(second);
    ASSERT_TRUE(a && b);
    EXPECT_NE(*a, *b);
    EXPECT_EQ(static_cast<std::uint32_t>(*a), uid_hash(first));
    EXPECT_EQ(membership.stats().hash_collisions, 1u);
    // The first goes and returns: neither gets the other's id.
    auto next = membership.apply_list(list(2, false, {target(first, Availability::Gone)}), false, kStart + 1s,
                                      Time{});
    ASSERT_EQ(next.removed, std::vector{*a});
    EXPECT_EQ(membership.id_of(second), b);
    next = membership.apply_list(list(3, false, {target(first)}), false, kStart + 2s, Time{});
    ASSERT_EQ(next.placed.size(), 1u);
    EXPECT_EQ(next.placed[0].id, *a);
    EXPECT_EQ(next.placed[0].address, target(first).address);
}

TEST(Membership, AnIdIsReservedBeforeAnotherUidGetsIt) {
    const std::string first = "costarring", second = "liquid";
    Membership membership({});
    membership.apply_list(list(1, true, {target(first)}), false, kStart, Time{});
    const auto id = membership.id_of(first);
    membership.apply_list(list(2, false, {target(first, Availability::Gone)}), false, kStart, Time{});
    // An attempt at the first may still refer to the id.
    membership.apply_list(list(3, false, {target(second)}), false, kStart + 59s, Time{});
    EXPECT_NE(membership.id_of(second), id);
    membership.apply_list(list(4, false, {target(second, Availability::Gone)}), false, kStart + 59s, Time{});
    membership.apply_list(list(5, false, {target("other")}), false, kStart + 200s, Time{});
    membership.apply_list(list(6, false, {target(second)}), false, kStart + 200s, Time{});
    EXPECT_EQ(membership.id_of(second), id);
}

TEST(Membership, AStartTimeIsConvertedOnce) {
    Membership membership({});
    const auto started = [&](std::uint64_t revision, std::int64_t boot, Time epoch) {
        return membership
            .apply_list(list(revision, revision == 1, {target("a", Availability::Ready, boot)}), false,
                        kStart, epoch)
            .discovered.endpoints->at(0)
            .started;
    };
    const auto first = started(1, 5'000, Time{});
    EXPECT_EQ(first, Time{5s});
    // The two clocks drift apart: that is not a new start.
    EXPECT_EQ(started(2, 5'000, Time{3ms}), first);
    EXPECT_EQ(started(3, 6'000, Time{3ms}), Time{6s} + 3ms);
}

TEST(Membership, DeltasWithoutAListAndOlderOnesAreRejected) {
    Membership membership({});
    auto update = membership.apply_list(list(5, false, fleet(0, 3)), false, kStart, Time{});
    EXPECT_EQ(update.discovered.kind, DiscoveryUpdate::Kind::Failed);
    EXPECT_TRUE(update.need_full_list);
    EXPECT_EQ(membership.size(), 0u);
    membership.apply_list(list(5, true, fleet(0, 3)), false, kStart, Time{});
    // Outdated on arrival, or from a discovery that restarted its revisions.
    update = membership.apply_list(list(4, false, gone(0, 3)), false, kStart, Time{});
    EXPECT_EQ(update.discovered.kind, DiscoveryUpdate::Kind::Failed);
    EXPECT_TRUE(update.need_full_list);
    EXPECT_FALSE(membership.revision());
    EXPECT_EQ(membership.size(), 3u);
    EXPECT_EQ(membership.stats().stale_lists, 1u);
    // The same revision again changes nothing.
    membership.apply_list(list(5, true, fleet(0, 3)), false, kStart, Time{});
    update = membership.apply_list(list(5, false, fleet(0, 2)), false, kStart, Time{});
    EXPECT_TRUE(update.removed.empty());
    EXPECT_EQ(membership.size(), 3u);
}

TEST(Membership, UnreadableEntriesKeepTheirEndpoints) {
    Membership membership({});
    membership.apply_list(list(1, true, fleet(0, 3)), false, kStart, Time{});
    auto full_list = list(2, true, fleet(0, 2));
    full_list.unreadable = {"s-2"};
    const auto update = membership.apply_list(full_list, false, kStart, Time{});
    EXPECT_EQ(update.discovered.endpoints->size(), 3u);
    EXPECT_TRUE(update.removed.empty());
    EXPECT_EQ(membership.ready(), 3u);
}

TEST_F(MembershipWithRemovalDelay, RemovingOverHalfIsDelayedAndTheFullListRequested) {
    const auto update = membership.apply_list(list(2, false, gone(0, 60)), false, kStart + 1s, Time{});
    EXPECT_TRUE(update.need_full_list);
    EXPECT_NE(update.log_text.find("60 of 100"), std::string::npos) << update.log_text;
    EXPECT_TRUE(update.removed.empty());
    EXPECT_TRUE(update.discovered.endpoints->empty());
    EXPECT_EQ(membership.ready(), 100u);
    EXPECT_EQ(membership.pending_removals(), 60u);
    EXPECT_EQ(membership.next_due(), kStart + 1400ms);
    // Not contradicted: applied when the delay ends.
    EXPECT_EQ(membership.apply_due_removals(kStart + 1399ms).discovered.kind, DiscoveryUpdate::Kind::Failed);
    const auto later = membership.apply_due_removals(kStart + 1400ms);
    EXPECT_EQ(later.discovered.kind, DiscoveryUpdate::Kind::Delta);
    EXPECT_EQ(later.removed.size(), 60u);
    EXPECT_EQ(membership.ready(), 40u);
    EXPECT_FALSE(membership.next_due());
}

TEST_F(MembershipWithRemovalDelay, AnEmptyListIsDelayedUntilASecondConfirmsIt) {
    auto update = membership.apply_list(list(2, true, {}), false, kStart, Time{});
    EXPECT_TRUE(update.need_full_list);
    EXPECT_EQ(update.discovered.kind, DiscoveryUpdate::Kind::Full);
    // A full list replaces the decision module's, so it contains the endpoints with pending removals.
    EXPECT_EQ(update.discovered.endpoints->size(), 100u);
    update = membership.apply_list(list(2, true, {}), false, kStart + 20ms, Time{});
    EXPECT_FALSE(update.need_full_list);
    EXPECT_EQ(update.removed.size(), 100u);
    EXPECT_FALSE(membership.has_ready());
    EXPECT_FALSE(membership.next_due());
}

TEST_F(MembershipWithRemovalDelay, ATruncatedListRemovesNobody) {
    membership.apply_list(list(2, true, fleet(0, 10)), false, kStart, Time{});
    const auto update = membership.apply_list(list(2, true, fleet(0, 100)), false, kStart + 20ms, Time{});
    EXPECT_TRUE(update.removed.empty());
    EXPECT_EQ(update.discovered.endpoints->size(), 100u);
    EXPECT_EQ(membership.stats().relisted, 90u);
    EXPECT_FALSE(membership.next_due());
}

TEST_F(MembershipWithRemovalDelay, FurtherRemovalsDoNotExtendTheDelay) {
    membership.apply_list(list(2, false, gone(0, 60)), false, kStart, Time{});
    membership.apply_list(list(3, false, gone(60, 90)), false, kStart + 300ms, Time{});
    EXPECT_EQ(membership.next_due(), kStart + 400ms);
    EXPECT_EQ(membership.pending_removals(), 90u);
    EXPECT_EQ(membership.apply_due_removals(kStart + 400ms).removed.size(), 90u);
    EXPECT_EQ(membership.ready(), 10u);
}

TEST_F(MembershipWithRemovalDelay, DrainsAreNeverDelayed) {
    std::vector<Target> draining;
    for (int i = 0; i < 100; ++i)
        draining.push_back(target("s-" + std::to_string(i), Availability::Draining));
    const auto update = membership.apply_list(list(2, false, draining), false, kStart, Time{});
    EXPECT_FALSE(update.need_full_list);
    EXPECT_EQ(membership.ready(), 0u);
    for (const auto& placed : update.placed) EXPECT_FALSE(placed.ready);
    // And draining endpoints are removed without delay.
    EXPECT_EQ(membership.apply_list(list(3, false, gone(0, 100)), false, kStart, Time{}).removed.size(),
              100u);
}

TEST_F(MembershipWithRemovalDelay, RemovingExactlyHalfIsAppliedAtOnce) {
    EXPECT_EQ(membership.apply_list(list(2, false, gone(0, 50)), false, kStart, Time{}).removed.size(), 50u);
    EXPECT_EQ(membership.stats().delayed_lists, 0u);
}

/// Random lists against a reference model. The decision module always has what the model has, apart from
/// pending removals, and no removal is delayed for longer than removal_delay.
TEST(Membership, MatchesAModelUnderRandomLists) {
    std::mt19937_64 random(11);
    const Duration removal_delay = 400ms;
    Membership membership({0.5, 10, removal_delay});
    std::map<std::string, Availability> listed;  // as discovery last listed
    std::map<EndpointId, Availability> module;
    std::map<std::string, Time> removed_at;
    Time now = kStart;
    std::uint64_t revision = 1;
    const auto apply = [&](const Membership::Update& update) {
        if (update.discovered.kind == DiscoveryUpdate::Kind::Failed) return;
        if (update.discovered.kind != DiscoveryUpdate::Kind::Delta) module.clear();
        for (const auto& e : *update.discovered.endpoints) {
            if (e.availability == Availability::Gone) {
                module.erase(e.id);
            } else {
                module[e.id] = e.availability;
            }
        }
    };
    std::uint64_t full_lists = 0;
    for (int step = 0; step < 4'000; ++step) {
        now += std::chrono::milliseconds(random() % 200);
        if (const auto due = membership.next_due(); due && *due <= now)
            apply(membership.apply_due_removals(now));
        std::vector<Target> targets;
        const bool all = !membership.revision() || random() % 8 == 0;
        const bool mass = random() % 30 == 0;  // removes most at once
        const int many = mass ? 300 : random() % 10 == 0 ? 60 : 4;
        std::set<std::string> touched;
        for (int i = 0; i < many; ++i) {
            const std::string uid = "s-" + std::to_string(random() % 100);
            if (!touched.insert(uid).second) continue;
            const auto what = mass ? 3 : random() % 4;
            const auto state = what < 2    ? Availability::Ready
                               : what == 2 ? Availability::Draining
                                           : Availability::Gone;
            if (state == Availability::Gone) {
                if (listed.erase(uid) > 0) removed_at.insert_or_assign(uid, now);
            } else {
                listed[uid] = state;
                removed_at.erase(uid);
            }
            if (!all) targets.push_back(target(uid, state));
        }
        if (all) {
            ++full_lists;
            for (const auto& [uid, state] : listed) targets.push_back(target(uid, state));
        }
        apply(membership.apply_list(list(++revision, all, targets), false, now, Time{}));
        for (const auto& [uid, state] : listed) {
            const auto id = membership.id_of(uid);
            ASSERT_TRUE(id) << uid << " at step " << step;
            ASSERT_EQ(module.at(*id), state) << uid << " at step " << step;
        }
        std::size_t late = 0;
        for (const auto& [uid, at] : removed_at) {
            const auto id = membership.id_of(uid);
            if (!id || !module.contains(*id)) continue;
            ++late;
            ASSERT_LE(now, at + removal_delay) << uid << " at step " << step;
        }
        ASSERT_EQ(module.size(), listed.size() + late);
        ASSERT_EQ(membership.size(), module.size());
    }
    EXPECT_GT(full_lists, 100u);
    EXPECT_GT(membership.stats().delayed_lists, 20u);
}

}  // namespace
