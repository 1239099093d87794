// Endpoints in a fixed order, found by rank in constant time and put in or taken out by moving what lies
// behind. No decisions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "martenford/decision/balancer.h"

namespace martenford::decision {

/// In the order of a key and, where keys are alike, of the id. A change costs one move of memory: some
/// microseconds at 10,000 places; a rank costs a search by halves.
template <typename T>
class Ring {
  public:
    struct Place {
        std::uint64_t key = 0;
        EndpointId id{};
        T* what = nullptr;
    };

    std::size_t size() const { return places_.size(); }
    bool empty() const { return places_.empty(); }
    /// At this rank, from 0 below size().
    T& operator[](std::size_t rank) const { return *places_[rank].what; }
    /// Of a place that is there.
    std::size_t rank(std::uint64_t key, EndpointId id) const {
        return static_cast<std::size_t>(find(key, id) - places_.begin());
    }
    void insert(std::uint64_t key, EndpointId id, T& what) {
        places_.insert(find(key, id), {key, id, &what});
    }
    /// Of a place that is there.
    void erase(std::uint64_t key, EndpointId id) { places_.erase(find(key, id)); }
    /// All places anew, given in any order.
    void assign(std::vector<Place>&& places) {
        places_ = std::move(places);
        std::sort(places_.begin(), places_.end(), before);
    }

  private:
    static bool before(const Place& a, const Place& b) {
        return std::pair(a.key, a.id) < std::pair(b.key, b.id);
    }
    auto find(std::uint64_t key, EndpointId id) const {
        return std::lower_bound(places_.begin(), places_.end(), Place{key, id, nullptr}, before);
    }
    std::vector<Place> places_;
};

}  // namespace martenford::decision
