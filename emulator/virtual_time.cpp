#include "emulator/virtual_time.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace martenford::emulator {

namespace {
constexpr std::uint64_t kMostPending = 1 << 24;  // timers at once; leaves 40 bits for the order of adding
constexpr std::size_t kBranches = 4;             // of the heap: flatter than two, and four keys share a line
}  // namespace

std::uint32_t VirtualTime::slot_of(const Key& key) {
    return static_cast<std::uint32_t>(key.second % kMostPending);
}

void VirtualTime::put(std::size_t place, const Key& key) {
    order_[place] = key;
    slots_[slot_of(key)].place = place;
}

void VirtualTime::rise(std::size_t place, const Key& key) {
    while (place > 0) {
        const std::size_t above = (place - 1) / kBranches;
        if (order_[above] < key) break;
        put(place, order_[above]);
        place = above;
    }
    put(place, key);
}

void VirtualTime::sink(std::size_t place, const Key& key) {
    for (;;) {
        const std::size_t first = place * kBranches + 1;
        if (first >= order_.size()) break;
        const auto begin = order_.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end =
            order_.begin() + static_cast<std::ptrdiff_t>(std::min(first + kBranches, order_.size()));
        const auto least = std::min_element(begin, end);
        if (key < *least) break;
        put(place, *least);
        place = static_cast<std::size_t>(least - order_.begin());
    }
    put(place, key);
}

void VirtualTime::take_out(std::size_t place) {
    const Key last = order_.back();
    order_.pop_back();
    if (place == order_.size()) return;
    if (place > 0 && last < order_[(place - 1) / kBranches]) {
        rise(place, last);
    } else {
        sink(place, last);
    }
}

Scheduler::Key VirtualTime::add(Time when, std::function<void()> what, std::shared_ptr<const bool> guard) {
    std::uint32_t slot = static_cast<std::uint32_t>(slots_.size());
    if (free_.empty()) {
        if (slots_.size() >= kMostPending) throw std::length_error("too many timers are pending");
        slots_.emplace_back();
    } else {
        slot = free_.back();
        free_.pop_back();
    }
    const Key key{std::max(when, now_), ++last_ * kMostPending + slot};  // what is overdue is due now
    slots_[slot].number = key.second;
    slots_[slot].what = std::move(what);
    slots_[slot].guard = std::move(guard);
    order_.push_back(key);
    rise(order_.size() - 1, key);
    return key;
}

void VirtualTime::remove(const Key& key) {
    const std::uint32_t slot = slot_of(key);
    if (slot >= slots_.size() || slots_[slot].number != key.second) return;
    slots_[slot].number = 0;
    take_out(slots_[slot].place);
    // What it held may remove timers of its own as it goes: last, and from here.
    const auto gone = std::exchange(slots_[slot].what, nullptr);
    slots_[slot].guard.reset();
    free_.push_back(slot);
}

bool VirtualTime::run_one() {
    if (order_.empty()) return false;
    const Key key = order_.front();
    const std::uint32_t slot = slot_of(key);
    take_out(0);
    const auto what = std::move(slots_[slot].what);
    const auto guard = std::move(slots_[slot].guard);
    slots_[slot].what = nullptr;
    slots_[slot].number = 0;
    free_.push_back(slot);
    now_ = key.first;
    ++fired_;
    if (!guard || *guard) what();
    return true;
}

}  // namespace martenford::emulator
