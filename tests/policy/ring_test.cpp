// The ring against a plain sorted list, under random changes.
#include "policy/ring.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "policy/mechanics.h"

namespace martenford::decision {
namespace {

using Plain = std::map<std::pair<std::uint64_t, EndpointId>, int*>;

void expect_alike(const Ring<int>& ring, const Plain& plain) {
    ASSERT_EQ(ring.size(), plain.size());
    std::size_t rank = 0;
    for (const auto& [place, what] : plain) {
        ASSERT_EQ(&ring[rank], what);
        ASSERT_EQ(ring.rank(place.first, place.second), rank);
        ++rank;
    }
}

TEST(Ring, AgreesWithASortedListUnderRandomChanges) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        Ring<int> ring;
        Plain plain;
        std::vector<std::unique_ptr<int>> owned;
        for (int step = 0; step < 500; ++step) {
            if (plain.empty() || random.unit() < 0.6) {
                // Few keys, so that many are alike and the id decides.
                const std::uint64_t key = random.below(20);
                const EndpointId id{static_cast<std::uint32_t>(step)};
                owned.push_back(std::make_unique<int>(step));
                ring.insert(key, id, *owned.back());
                plain[{key, id}] = owned.back().get();
            } else {
                auto it = plain.begin();
                std::advance(it, static_cast<std::ptrdiff_t>(random.below(plain.size())));
                ring.erase(it->first.first, it->first.second);
                plain.erase(it);
            }
            if (step % 50 == 0) expect_alike(ring, plain);
        }
        expect_alike(ring, plain);
        std::vector<Ring<int>::Place> places;
        for (const auto& [place, what] : plain) places.push_back({place.first, place.second, what});
        std::reverse(places.begin(), places.end());
        Ring<int> anew;
        anew.assign(std::move(places));
        expect_alike(anew, plain);
    }
}

}  // namespace
}  // namespace martenford::decision
