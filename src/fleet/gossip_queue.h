// Membership updates that are still to be gossiped. Each is sent a number of times that grows with the
// logarithm of the fleet size, the least sent first, and a newer update about a member replaces the older
// one. After Das, Gupta, Motivala, "SWIM" (2002), section 4.1.
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
    /// Size limit; beyond it the update that was sent most often is dropped.
    static constexpr std::size_t kMaxSize = 4096;

    /// `transmits` is the number of transmissions to count as already done: the update then queues behind new
    /// ones and is dropped sooner.
    void add(const MemberUpdate& update, std::size_t transmits = 0) {
        remove(update.id);
        const Order order{transmits, ~++serial_};
        entries_.emplace(update.id, Entry{update, order});
        by_order_.emplace(order, update.id);
        if (entries_.size() > kMaxSize) remove(std::prev(by_order_.end())->second);
    }
    /// Returns up to `max_updates` for one message. `transmit_limit` is the number of times each update is
    /// sent in all. An update about `first` is always included, however often it was sent, so that a suspect
    /// hears of the suspicion.
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
    /// Number of transmissions, then newest first.
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
