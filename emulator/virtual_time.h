// A clock that jumps from one timer to the next.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "core/scheduler.h"

namespace martenford::emulator {

class VirtualTime : public Scheduler {
  public:
    Time now() const override { return now_; }
    Key add(Time when, std::function<void()> what) override { return add(when, std::move(what), nullptr); }
    /// The same; where a guard is given, the timer does nothing once that is false.
    Key add(Time when, std::function<void()> what, std::shared_ptr<const bool> guard);
    void remove(const Key& key) override;
    /// Runs the next timer; false: there is none.
    bool run_one();
    std::uint64_t fired() const { return fired_; }
    std::size_t pending() const { return order_.size(); }

  private:
    struct Slot {
        std::uint64_t number = 0;  // of the timer that it holds; 0: none
        std::size_t place = 0;     // in the order
        std::function<void()> what;
        std::shared_ptr<const bool> guard;
    };
    static std::uint32_t slot_of(const Key& key);
    void put(std::size_t place, const Key& key);
    void rise(std::size_t place, const Key& key);
    void sink(std::size_t place, const Key& key);
    void take_out(std::size_t place);

    Time now_{};
    std::uint64_t last_ = 0, fired_ = 0;
    // A heap of what is pending and nothing else: most timers guard against what does not happen, are long
    // and are removed, and would be most of the heap if they stayed until their time.
    std::vector<Key> order_;
    // A timer's number is its place in the order of adding, and its slot in the low bits.
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_;
};

/// A part of a scheduler that can go before the rest: what it has added never runs after it.
class ScopedTime : public Scheduler {
  public:
    explicit ScopedTime(VirtualTime& whole) : whole_(whole) {}
    ~ScopedTime() override { *alive_ = false; }
    Time now() const override { return whole_.now(); }
    Key add(Time when, std::function<void()> what) override {
        return whole_.add(when, std::move(what), alive_);
    }
    void remove(const Key& key) override { whole_.remove(key); }

  private:
    VirtualTime& whole_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace martenford::emulator
