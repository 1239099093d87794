// Time and timers, as the engine and all models see them: implemented by the event loop or by a simulated
// clock.
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

/// A monotonic clock with timers. Single-threaded: callbacks run one after another.
class Scheduler {
  public:
    /// Sorted by time; timers for the same time run in the order in which they were added.
    using Key = std::pair<Time, std::uint64_t>;

    Scheduler() = default;
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;
    virtual ~Scheduler() = default;

    virtual Time now() const = 0;
    /// Calls `callback` once, at `when` or as soon as possible after it.
    virtual Key add(Time when, std::function<void()> callback) = 0;
    /// Does nothing if the timer has fired or was removed.
    virtual void remove(const Key& key) = 0;
};

/// A single timer, cancelled by its destructor.
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
