// The names of the requests that a connection has carried. Does no I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace martenford {

/// Stores hashes. Two names with the same hash count as one name, which costs a new connection and nothing
/// else. Bounded: a connection whose record is full carries no further request.
class ExchangeRecord {
  public:
    /// 8 KiB of hashes. A new connection per thousand requests is no noticeable load.
    static constexpr std::size_t kMaxExchanges = 1024;

    /// An empty name is not recorded.
    void add(std::string_view name) {
        if (!name.empty()) digests_.push_back(digest_of(name));
    }
    [[nodiscard]] bool contains(std::string_view name) const {
        if (name.empty()) return false;
        return std::find(digests_.begin(), digests_.end(), digest_of(name)) != digests_.end();
    }
    [[nodiscard]] bool full() const { return digests_.size() >= kMaxExchanges; }

  private:
    static std::size_t digest_of(std::string_view name) { return std::hash<std::string_view>{}(name); }

    std::vector<std::size_t> digests_;
};

}  // namespace martenford
