// One key's state: that copies become one whatever the order, that nothing overwritten comes back, and that
// the explorer would see it if it did.
#include "replica/entry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "explorer.h"
#include "framing/frame.h"
#include "replica/digests.h"
#include "replica/tables.h"

namespace martenford::replica {
namespace {

/// A few copies of one key that write and merge as `steps` say, from which any two are drawn.
std::vector<Entry> copies_after(ConflictRule rule, const std::vector<std::uint8_t>& steps) {
    constexpr std::size_t kCopies = 4;
    std::vector<Entry> copies(kCopies, Entry{rule, {}, {}});
    std::vector<std::uint64_t> counts(kCopies);
    Timestamp timestamp = 0;
    for (const std::uint8_t step : steps) {
        const std::size_t who = step % kCopies, other = step / kCopies % kCopies;
        if (step < 128) {
            merge(copies[who], copies[other]);
            continue;
        }
        Version version;
        version.dot = {who + 1, ++counts[who]};
        version.timestamp = ++timestamp;
        version.rank = step / 16 % 4;
        version.deleted = rule != ConflictRule::Greatest && step % 5 == 0;
        version.value = std::to_string(step);
        copies[who].write(version);
    }
    return copies;
}

Entry merged(Entry a, const Entry& b) {
    merge(a, b);
    return a;
}

const auto kAllRules = {ConflictRule::Latest, ConflictRule::Safer, ConflictRule::Greatest,
                        ConflictRule::Present};

RC_GTEST_PROP(EntryMerge, IsCommutativeAssociativeAndIdempotent, (const std::vector<std::uint8_t>& steps)) {
    for (const ConflictRule rule : kAllRules) {
        const auto c = copies_after(rule, steps);
        RC_ASSERT(merged(c[0], c[1]) == merged(c[1], c[0]));
        RC_ASSERT(merged(merged(c[0], c[1]), c[2]) == merged(c[0], merged(c[1], c[2])));
        RC_ASSERT(merged(c[3], c[3]) == c[3]);
        RC_ASSERT(merged(merged(c[0], c[1]), c[1]) == merged(c[0], c[1]));
    }
}

RC_GTEST_PROP(EntryMerge, SurvivesSerialization, (const std::vector<std::uint8_t>& steps)) {
    Message message;
    message.kind = Message::Kind::Page;
    for (const ConflictRule rule : kAllRules) {
        for (const Entry& entry : copies_after(rule, steps)) {
            if (!entry.versions.empty()) message.entries.push_back({{"overrides", "e"}, entry});
        }
    }
    const Message read = read_message(bytes_of(message));
    RC_ASSERT(read.entries.size() == message.entries.size());
    for (std::size_t i = 0; i < read.entries.size(); ++i)
        RC_ASSERT(read.entries[i].entry == message.entries[i].entry);
}

RC_GTEST_PROP(MessageReader, ParsesOrRejectsAnyBytes, (const std::string& bytes)) {
    try {
        const Message message = read_message(bytes);
        RC_ASSERT(message.entries.size() <= bytes.size());
    } catch (const framing::FrameError&) {
    }
}

RC_GTEST_PROP(DigestTree, IsIndependentOfOrder, (std::vector<std::pair<std::uint64_t, std::uint64_t>> all)) {
    Digests one, other;
    for (const auto& [position, hash] : all) one.add(position, hash);
    for (auto it = all.rbegin(); it != all.rend(); ++it) {
        other.add(it->first, it->second + 1);
        other.add(it->first, it->second);
        other.remove(it->first, it->second + 1);
    }
    RC_ASSERT(one.sum_of(0, 0) == other.sum_of(0, 0));
    std::uint64_t sum = 0;
    for (std::uint64_t prefix = 0; prefix < Digests::kBranches; ++prefix) {
        RC_ASSERT(one.sum_of(1, prefix) == other.sum_of(1, prefix));
        sum += one.sum_of(1, prefix).sum;
    }
    RC_ASSERT(sum == one.sum_of(0, 0).sum);
}

Version version_of(std::uint64_t writer, std::uint64_t count, Timestamp timestamp, std::uint64_t rank = 0) {
    Version version;
    version.dot = {writer, count};
    version.timestamp = timestamp;
    version.rank = rank;
    return version;
}

TEST(EntryRules, ResolveConcurrentVersions) {
    struct Case {
        ConflictRule rule;
        bool first_deleted;
        std::uint64_t winner;  ///< 0: nothing
        bool conflict;
    };
    // The first has the greater rank, the second the greater stamp.
    for (const Case& c :
         {Case{ConflictRule::Latest, false, 2, true}, Case{ConflictRule::Safer, false, 1, true},
          Case{ConflictRule::Greatest, false, 1, false}, Case{ConflictRule::Present, true, 2, true},
          Case{ConflictRule::Safer, true, 0, true}}) {
        Entry a{c.rule, {}, {}}, b{c.rule, {}, {}};
        Version first = version_of(1, 1, 10, 9);
        first.deleted = c.first_deleted;
        a.write(first);
        b.write(version_of(2, 1, 11, 1));
        merge(a, b);
        const Version* winner = a.resolve(0);
        EXPECT_EQ(winner ? winner->dot.writer : 0, c.winner) << name_of(c.rule);
        EXPECT_EQ(a.conflicting(0), c.conflict) << name_of(c.rule);
    }
}

TEST(EntryRules, WriteThatHasSeenBothSiblingsResolvesTheConflict) {
    Entry a, b;
    a.write(version_of(1, 1, 10));
    b.write(version_of(2, 1, 11));
    merge(a, b);
    Entry stale = a;
    a.write(version_of(1, 2, 12));
    merge(stale, a);
    merge(b, stale);
    EXPECT_EQ(b.versions.size(), 1u);
    EXPECT_EQ(b.resolve(0)->dot, (Dot{1, 2}));
}

TEST(EntryRules, ExpiredVersionYieldsToItsSibling) {
    Entry a, b;
    Version exclude = version_of(1, 1, 10, 9);
    exclude.expires = 1000;
    a.rule = b.rule = ConflictRule::Safer;
    a.write(exclude);
    b.write(version_of(2, 1, 11, 1));
    merge(a, b);
    EXPECT_EQ(a.resolve(999)->dot.writer, 1u);
    EXPECT_EQ(a.resolve(1000)->dot.writer, 2u);
}

TEST(Clock, StaysMonotonicAndRejectsTimestampsFarAhead) {
    HybridClock clock;
    const Timestamp first = clock.next(100'000);
    EXPECT_GT(clock.next(99'000), first);
    EXPECT_TRUE(clock.observe(timestamp_of(105'000), 100'000));
    EXPECT_GT(clock.next(100'000), timestamp_of(105'000));
    EXPECT_FALSE(clock.observe(timestamp_of(100'000 + 3'600'000), 100'000));
    EXPECT_EQ(clock.next(50'000), 0u);  // an hour back: others would not take it
}

// ---- every order --------------------------------------------------------------------------------------

TEST(Explorer, NoEventOrderViolatesAnInvariant) {
    for (const ConflictRule rule : kAllRules) {
        Explorer explorer(rule, {}, {.writes = 2, .deletes = 1, .crashes = 1, .deliveries = 3});
        EXPECT_EQ(explorer.run(), "") << name_of(rule);
        EXPECT_GT(explorer.states(), 1'000u);
        RecordProperty(std::string("states_") + name_of(rule), static_cast<int>(explorer.states()));
    }
    Explorer horizons(ConflictRule::Latest, {},
                      {.writes = 2, .deletes = 1, .crashes = 0, .horizons = 1, .deliveries = 4});
    EXPECT_EQ(horizons.run(), "");
    RecordProperty("states_horizons", static_cast<int>(horizons.states()));
}

struct Defect {
    const char* name;
    ConflictRule rule;
    Mechanism mechanism;
    Explorer::Bounds bounds;
};

std::vector<Defect> defects() {
    const Explorer::Bounds plain{.writes = 2, .deletes = 1, .crashes = 1, .deliveries = 3};
    const Explorer::Bounds with_horizon{
        .writes = 2, .deletes = 1, .crashes = 0, .horizons = 1, .deliveries = 4};
    std::vector<Defect> all;
    const auto add = [&](const char* name, const Explorer::Bounds& bounds,
                         ConflictRule rule = ConflictRule::Latest) -> Mechanism& {
        all.push_back({name, rule, {}, bounds});
        return all.back().mechanism;
    };
    add("all versions are kept", plain).merge = [](Entry& a, const Entry& b, const Horizons&) {
        for (const Version& v : b.versions) {
            if (!a.find(v.dot)) a.versions.push_back(v);
        }
        std::sort(a.versions.begin(), a.versions.end(),
                  [](const Version& x, const Version& y) { return x.dot < y.dot; });
        return true;
    };
    add("the last to come wins", plain).merge = [](Entry& a, const Entry& b, const Horizons&) {
        a = b;
        return true;
    };
    add("the greatest stamp alone is kept", plain).merge = [](Entry& a, const Entry& b, const Horizons&) {
        if (b.latest_timestamp() > a.latest_timestamp()) a = b;
        return true;
    };
    add("what the other knows is not learnt", plain).merge = [](Entry& a, const Entry& b, const Horizons& h) {
        const auto context = a.context;
        const bool changed = merge(a, b, h);
        a.context = context;
        return changed;
    };
    add("a context without its versions", plain).merge = [](Entry& a, const Entry& b, const Horizons&) {
        Entry local = a;
        merge(local, b);
        local.versions = a.versions;
        a = local;
        return true;
    };
    add("a write forgets what it saw", plain).write = [](Entry& entry, Version v) {
        entry.context.clear();
        entry.write(std::move(v));
    };
    add("a write keeps what it saw", plain).write = [](Entry& entry, Version v) {
        auto before = entry.versions;
        entry.write(std::move(v));
        for (Version& each : before) entry.versions.push_back(std::move(each));
        std::sort(entry.versions.begin(), entry.versions.end(),
                  [](const Version& x, const Version& y) { return x.dot < y.dot; });
    };
    add("a dot is given twice", plain).new_writer = false;
    add("tombstones are dropped at once", plain).keep_tombstones = false;
    add("the horizon says nothing", with_horizon).merge = [](Entry& a, const Entry& b, const Horizons&) {
        return merge(a, b);
    };
    add("a minority's horizon advances", with_horizon).needs_majority = false;
    add("the rank decides nothing", plain, ConflictRule::Greatest).merge = [](Entry& a, const Entry& b,
                                                                              const Horizons&) {
        if (a.versions.empty()) a = b;
        return true;
    };
    return all;
}

class ExplorerDefects : public testing::TestWithParam<std::size_t> {};
TEST_P(ExplorerDefects, IsFound) {
    const Defect defect = defects()[GetParam()];
    Explorer explorer(defect.rule, defect.mechanism, defect.bounds);
    EXPECT_NE(explorer.run(), "") << defect.name;
}
INSTANTIATE_TEST_SUITE_P(All, ExplorerDefects, testing::Range<std::size_t>(0, 12));

}  // namespace
}  // namespace martenford::replica
