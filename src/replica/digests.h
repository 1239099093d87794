// Sums over ranges of places, from which two copies find where they differ: a tree of 16 branches a level, as
// Merkle's, whose sums add, so that a change costs one addition a level. Against the plain version vector, it
// also sees what a disk or a defect has lost. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

namespace martenford::replica {

class Digests {
  public:
    static constexpr std::uint32_t kBranchBits = 4, kBranches = 1 << kBranchBits;
    /// 16 to the fifth: at 100,000 entries a range of the last level holds one in ten.
    static constexpr std::uint32_t kLevels = 5;

    struct Sum {
        std::uint64_t sum = 0, count = 0;
        bool operator==(const Sum&) const = default;
    };

    void add(std::uint64_t position, std::uint64_t hash) { change(position, mix(position, hash), 1); }
    void remove(std::uint64_t position, std::uint64_t hash) {
        change(position, ~mix(position, hash) + 1, ~0ull);
    }
    Sum sum_of(std::uint32_t level, std::uint64_t prefix) const {
        if (level == 0) return root_;
        const auto it = levels_[level - 1].find(prefix);
        return it == levels_[level - 1].end() ? Sum{} : it->second;
    }
    static std::uint64_t prefix_of(std::uint32_t level, std::uint64_t position) {
        return level == 0 ? 0 : position >> (64 - kBranchBits * level);
    }
    /// The first and the last place of a range.
    static std::uint64_t first_of(std::uint32_t level, std::uint64_t prefix) {
        return level == 0 ? 0 : prefix << (64 - kBranchBits * level);
    }
    static std::uint64_t last_of(std::uint32_t level, std::uint64_t prefix) {
        return level == 0 ? ~0ull : first_of(level, prefix) | (~0ull >> (kBranchBits * level));
    }

  private:
    /// So that two entries that swapped their hashes do not add up to the same.
    static std::uint64_t mix(std::uint64_t position, std::uint64_t hash) {
        std::uint64_t x =
            (position ^ (hash << 31 | hash >> 33)) * 0x9e3779b97f4a7c15ull;  // as splitmix64 does
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
        return x ^ (x >> 31);
    }
    void change(std::uint64_t position, std::uint64_t delta, std::uint64_t count) {
        root_.sum += delta;
        root_.count += count;
        for (std::uint32_t level = 1; level <= kLevels; ++level) {
            const auto it = levels_[level - 1].try_emplace(prefix_of(level, position)).first;
            it->second.sum += delta;
            it->second.count += count;
            if (it->second.count == 0) levels_[level - 1].erase(it);
        }
    }
    Sum root_;
    std::array<std::unordered_map<std::uint64_t, Sum>, kLevels> levels_;
};

}  // namespace martenford::replica
