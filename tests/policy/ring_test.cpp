// Compares Ring with a std::map under random changes.
#include "policy/ring.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "policy/mechanics.h"

namespace martenford::decision {
namespace {

using Reference = std::map<std::pair<std::uint64_t, EndpointId>, int*>;

void expect_equal(const Ring<int>& ring, const Reference& reference) {
    ASSERT_EQ(ring.size(), reference.size());
    std::size_t rank = 0;
    for (const auto& [entry, value] : reference) {
        ASSERT_EQ(&ring[rank], value);
        ASSERT_EQ(ring.rank(entry.first, entry.second), rank);
        ++rank;
    }
}

TEST(Ring, MatchesASortedMapUnderRandomChanges) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        Ring<int> ring;
        Reference reference;
        std::vector<std::unique_ptr<int>> owned;
        for (int step = 0; step < 500; ++step) {
            if (reference.empty() || random.unit() < 0.6) {
                // Few keys, so that many are equal and the id decides the order.
                const std::uint64_t key = random.below(20);
                const EndpointId id{static_cast<std::uint32_t>(step)};
                owned.push_back(std::make_unique<int>(step));
                ring.insert(key, id, *owned.back());
                reference[{key, id}] = owned.back().get();
            } else {
                auto it = reference.begin();
                std::advance(it, static_cast<std::ptrdiff_t>(random.below(reference.size())));
                ring.erase(it->first.first, it->first.second);
                reference.erase(it);
            }
            if (step % 50 == 0) expect_equal(ring, reference);
        }
        expect_equal(ring, reference);
        std::vector<Ring<int>::Entry> entries;
        for (const auto& [entry, value] : reference) entries.push_back({entry.first, entry.second, value});
        std::reverse(entries.begin(), entries.end());
        Ring<int> rebuilt;
        rebuilt.assign(std::move(entries));
        expect_equal(rebuilt, reference);
    }
}

}  // namespace
}  // namespace martenford::decision
