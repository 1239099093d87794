// Time and timers, as the engine and every model see them: a real loop or a simulated clock stands behind.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "martenford/decision/balancer.h"

namespace martenford {

using decision::Duration;
using decision::EndpointId;
using decision::Time;
using namespace std::chrono_literals;

/// A clock that never goes back, and what is to be done when. One thread; callbacks run one after another.
class Scheduler {
  public:
    /// Orders by time; timers due at one instant run in the order in which they were added.
    using Key = std::pair<Time, std::uint64_t>;

    Scheduler() = default;
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;
    virtual ~Scheduler() = default;

    virtual Time now() const = 0;
    /// Calls `what` once, at `when` or as soon as it can be after it.
    virtual Key add(Time when, std::function<void()> callback) = 0;
    /// No-op where the timer has fired or is gone.
    virtual void remove(const Key& key) = 0;
};

/// One timer, unset when it goes.
class Timer {
  public:
    explicit Timer(Scheduler& scheduler) : scheduler_(scheduler) {}
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }
    void set(Time when, std::function<void()> callback) {
        cancel();
        key_ = scheduler_.add(when, std::move(callback));
    }
    void cancel() {
        if (key_) scheduler_.remove(*std::exchange(key_, std::nullopt));
    }

  private:
    Scheduler& scheduler_;
    std::optional<Scheduler::Key> key_;
};

}  // namespace martenford
