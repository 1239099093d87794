// Claims that still have to be told: each goes out a number of times that grows with the logarithm of the
// fleet, the least told first, and a newer one about the same member takes the place of the older. After Das,
// Gupta, Motivala, "SWIM" (2002), section 4.1.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "fleet/wire.h"

namespace martenford::fleet {

class Rumours {
  public:
    /// Held at most; over it the most told goes first.
    static constexpr std::size_t kMost = 4096;

    /// `told`: as though it had gone out so often already; behind what is new, and the sooner over.
    void add(const Claim& claim, std::size_t told = 0) {
        remove(claim.id);
        const Order order{told, ~++serial_};
        claims_.emplace(claim.id, Held{claim, order});
        by_order_.emplace(order, claim.id);
        if (claims_.size() > kMost) remove(std::prev(by_order_.end())->second);
    }
    /// Up to `most` of them for one message; `times`: how often each is told in all. The one about `first`
    /// goes with them, told or not, so that whoever is suspected hears of it.
    std::vector<Claim> take(std::size_t most, std::size_t times, const Id* first = nullptr) {
        std::vector<Claim> result;
        std::vector<Id> told;
        const auto add = [&](const Id& id) {
            result.push_back(claims_.at(id).claim);
            told.push_back(id);
        };
        if (first && claims_.contains(*first)) add(*first);
        for (auto it = by_order_.begin(); it != by_order_.end() && result.size() < most; ++it) {
            if (!first || it->second != *first) add(it->second);
        }
        for (const Id& id : told) {
            Held& held = claims_.at(id);
            by_order_.erase(held.order);
            if (++held.order.first >= times) {
                claims_.erase(id);
            } else {
                by_order_.emplace(held.order, id);
            }
        }
        return result;
    }
    void remove(const Id& id) {
        const auto it = claims_.find(id);
        if (it == claims_.end()) return;
        by_order_.erase(it->second.order);
        claims_.erase(it);
    }
    bool empty() const { return claims_.empty(); }
    std::size_t size() const { return claims_.size(); }

  private:
    /// Times told, then the newest first.
    using Order = std::pair<std::size_t, std::uint64_t>;
    struct Held {
        Claim claim;
        Order order;
    };
    std::map<Id, Held> claims_;
    std::map<Order, Id> by_order_;
    std::uint64_t serial_ = 0;
};

}  // namespace martenford::fleet
