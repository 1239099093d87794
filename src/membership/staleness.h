// Detects that the list of endpoints is outdated, by the results of attempts. No I/O: results, lists and
// times come in, requests to ask discovery again go out. The reasons are in docs/daily-running.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/scheduler.h"
#include "martenford/decision/balancer.h"

namespace martenford {

/// A dead watch looks like one without changes. The difference is that endpoints listed as ready accept no
/// requests any more while others serve as before.
class Staleness {
  public:
    /// `replicas` is the number of sidecars that may ask discovery at the same time; it must bear them all.
    explicit Staleness(std::uint32_t replicas);

    /// Records the result of an attempt at a listed endpoint. Returns true if discovery should be asked
    /// again: only if it has been silent for a while, and at most every 2 s to 16 s.
    bool attempt_ended(decision::EndpointId id, decision::Status status, Time now);
    /// Discovery has answered; `changed`: the list changed.
    void discovery_answered(bool changed, Time now);

    std::size_t suspects() const { return runs_.size(); }

  private:
    /// Consecutive attempts that an endpoint did not accept, and what other endpoints did meanwhile.
    struct FailureRun {
        Time since{};
        Time last{};
        int connect_failures = 0;  // connections that failed
        int rejections = 0;        // requests that it rejected without running them
        std::uint64_t served_at_start = 0, rejections_at_start = 0;  // totals when the run began
    };
    bool indicates_stale_list(const FailureRun& run, Time now) const;

    const Duration initial_wait_;
    Duration wait_;
    Time last_answer_at_{}, last_request_at_{};
    bool requested_ = false;
    std::uint64_t served_ = 0, rejected_ = 0;  // totals of all endpoints
    std::unordered_map<decision::EndpointId, FailureRun> runs_;
};

}  // namespace martenford
