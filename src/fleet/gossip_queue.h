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

class GossipQueue {
  public:
    /// Held at most; over it the most told goes first.
    static constexpr std::size_t kMaxSize = 4096;

    /// `told`: as though it had gone out so often already; behind what is new, and the sooner over.
    void add(const MemberUpdate& update, std::size_t transmits = 0) {
        remove(update.id);
        const Order order{transmits, ~++serial_};
        entries_.emplace(update.id, Entry{update, order});
        by_order_.emplace(order, update.id);
        if (entries_.size() > kMaxSize) remove(std::prev(by_order_.end())->second);
    }
    /// Up to `most` of them for one message; `times`: how often each is told in all. The one about `first`
    /// goes with them, told or not, so that whoever is suspected hears of it.
    std::vector<MemberUpdate> take(std::size_t max_updates, std::size_t transmit_limit,
                                   const Id* first = nullptr) {
        std::vector<MemberUpdate> result;
        std::vector<Id> taken;
        const auto add = [&](const Id& id) {
            result.push_back(entries_.at(id).update);
            taken.push_back(id);
        };
        if (first && entries_.contains(*first)) add(*first);
        for (auto it = by_order_.begin(); it != by_order_.end() && result.size() < max_updates; ++it) {
            if (!first || it->second != *first) add(it->second);
        }
        for (const Id& id : taken) {
            Entry& entry = entries_.at(id);
            by_order_.erase(entry.order);
            if (++entry.order.first >= transmit_limit) {
                entries_.erase(id);
            } else {
                by_order_.emplace(entry.order, id);
            }
        }
        return result;
    }
    void remove(const Id& id) {
        const auto it = entries_.find(id);
        if (it == entries_.end()) return;
        by_order_.erase(it->second.order);
        entries_.erase(it);
    }
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

  private:
    /// Times told, then the newest first.
    using Order = std::pair<std::size_t, std::uint64_t>;
    struct Entry {
        MemberUpdate update;
        Order order;
    };
    std::map<Id, Entry> entries_;
    std::map<Order, Id> by_order_;
    std::uint64_t serial_ = 0;
};

}  // namespace martenford::fleet
