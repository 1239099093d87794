// At-most-once memory: which attempts of requests that must not run twice were passed on to the endpoint.
//
// An attempt is named by the client's Attempt-Id. An id is recorded when its request is passed on, or when a
// caller's query fences it; from then on requests with that id are rejected. Ids are remembered for a limited
// time and number. For what is older than the memory the answer is "not known", never "not delivered".
//
// Pure: no I/O and no clock. Not thread safe; one event loop owns it.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/scheduler.h"

namespace martenford::admission {

class DeliveredAttempts {
  public:
    /// `remember_for`: how long an id is remembered. `query_delay`: upper bound of the time that a query
    /// takes from the caller's proxy to here.
    DeliveredAttempts(Duration remember_for, Duration query_delay)
        : remember_for_(remember_for), query_delay_(query_delay) {}

    [[nodiscard]] bool contains(const std::string& attempt_id) const {
        return recorded_at_.contains(attempt_id);
    }
    /// The request is being passed on, or is fenced. Forgets ids that are too old or too many.
    void record(Time now, const std::string& attempt_id);
    /// The attempt was passed on, but provably did not run: it may come again.
    void release(const std::string& attempt_id) { recorded_at_.erase(attempt_id); }
    /// Fences an attempt that was sent `age` ago. Returns true if it was never passed on here, and records
    /// it, so that a copy still on its way is rejected. Returns false if it was, or if that is not known any
    /// more.
    [[nodiscard]] bool fence(Time now, const std::string& attempt_id, Duration age);

  private:
    void forget_oldest();

    Duration remember_for_;
    Duration query_delay_;
    std::unordered_map<std::string, Time> recorded_at_;
    std::deque<std::pair<Time, std::string>> order_;  // by time; released ids stay in it
    std::optional<Time> newest_forgotten_at_;
};

}  // namespace martenford::admission
