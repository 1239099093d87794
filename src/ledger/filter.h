// A Bloom filter (B. Bloom, 1970) over texts: whether an archive can hold an id, without reading it. The
// probes follow from two hashes (A. Kirsch, M. Mitzenmacher, "Less Hashing, Same Performance", 2006).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace martenford::ledger {

class BloomFilter {
  public:
    /// One false "it may" in some 120 at this size: 10 bits a text and 7 probes.
    static constexpr std::uint64_t kBitsPerText = 10;
    static constexpr int kProbes = 7;

    /// For so many texts.
    explicit BloomFilter(std::size_t texts) : bytes_((texts * kBitsPerText + 64 + 7) / 8, '\0') {}
    void add(std::string_view text) {
        for_each_probe(text, bytes_.size(), [&](std::uint64_t bit) {
            bytes_[bit / 8] = static_cast<char>(static_cast<unsigned char>(bytes_[bit / 8]) | 1u << bit % 8);
            return true;
        });
    }
    const std::string& bytes() const { return bytes_; }
    /// Whether the text may have been added; false is certain. `at(i)` gives byte i of a filter of `size`
    /// bytes, so that a file needs no whole reading.
    template <typename At>
    static bool may_contain(std::string_view text, std::size_t size, At at) {
        return size > 0 && for_each_probe(text, size, [&](std::uint64_t bit) {
                   return (at(bit / 8) >> bit % 8 & 1u) != 0;
               });
    }

  private:
    template <typename Probe>
    static bool for_each_probe(std::string_view text, std::size_t size, Probe probe) {
        const auto [first, second] = hashes(text);
        for (int i = 0; i < kProbes; ++i) {
            if (!probe((first + static_cast<std::uint64_t>(i) * second) % (size * 8))) return false;
        }
        return true;
    }
    static std::pair<std::uint64_t, std::uint64_t> hashes(std::string_view text);
    std::string bytes_;
};

}  // namespace martenford::ledger
