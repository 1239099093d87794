// Endpoints in a fixed order: constant-time access by rank; insertion and removal move the entries behind.
// Contains no decisions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "martenford/decision/balancer.h"

namespace martenford::decision {

/// Sorted by key and then by id. An insertion or removal costs one memmove, which takes some microseconds at
/// 10,000 entries; rank() is a binary search.
template <typename T>
class Ring {
  public:
    struct Entry {
        std::uint64_t key = 0;
        EndpointId id{};
        T* value = nullptr;
    };

    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }
    /// The value at this rank, which must be below size().
    T& operator[](std::size_t rank) const { return *entries_[rank].value; }
    /// The entry must exist.
    std::size_t rank(std::uint64_t key, EndpointId id) const {
        return static_cast<std::size_t>(find(key, id) - entries_.begin());
    }
    void insert(std::uint64_t key, EndpointId id, T& value) {
        entries_.insert(find(key, id), {key, id, &value});
    }
    /// The entry must exist.
    void erase(std::uint64_t key, EndpointId id) { entries_.erase(find(key, id)); }
    /// Replaces all entries. They may be in any order.
    void assign(std::vector<Entry>&& entries) {
        entries_ = std::move(entries);
        std::sort(entries_.begin(), entries_.end(), less);
    }

  private:
    static bool less(const Entry& a, const Entry& b) {
        return std::pair(a.key, a.id) < std::pair(b.key, b.id);
    }
    auto find(std::uint64_t key, EndpointId id) const {
        return std::lower_bound(entries_.begin(), entries_.end(), Entry{key, id, nullptr}, less);
    }
    std::vector<Entry> entries_;
};

}  // namespace martenford::decision
