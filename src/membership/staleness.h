// Whether the list of endpoints looks older than what attempts meet. Pure: outcomes, lists and times come in,
// the wish to ask discovery again goes out. docs/daily-running.md has the reasons.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/scheduler.h"
#include "martenford/decision/balancer.h"

namespace martenford {

/// A watch that has gone silent looks like one with nothing to tell. What tells them apart is endpoints that
/// are listed as ready and take nothing any more, while others serve as ever.
class Staleness {
  public:
    /// `replicas`: sidecars that may come to the same conclusion at one time; discovery must bear them all.
    explicit Staleness(std::uint32_t replicas);

    /// How an attempt at a listed endpoint ended. True: discovery is worth asking again, not before `told`
    /// has been silent for a while and no oftener than every 2 s to 16 s.
    bool attempt_ended(decision::EndpointId id, decision::Status status, Time now);
    /// Discovery has answered; `changed`: with news.
    void discovery_answered(bool changed, Time now);

    std::size_t suspects() const { return runs_.size(); }

  private:
    /// Attempts in a row that an endpoint took nothing of, with what the others did meanwhile.
    struct FailureRun {
        Time since{};
        Time last{};
        int connect_failures = 0;                                    // connections that did not come up
        int rejections = 0;                                          // answered so, without having run
        std::uint64_t served_at_start = 0, rejections_at_start = 0;  // by all, when the run began
    };
    bool indicates_stale_list(const FailureRun& run, Time now) const;

    const Duration initial_wait_;
    Duration wait_;
    Time last_answer_at_{}, last_request_at_{};
    bool requested_ = false;
    std::uint64_t served_ = 0, rejected_ = 0;  // by all
    std::unordered_map<decision::EndpointId, FailureRun> runs_;
};

}  // namespace martenford
