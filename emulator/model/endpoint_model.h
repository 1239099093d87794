// One endpoint's queue, cores and troubles. Pure: time and events come in, what has ended comes out.
//
// Work is in seconds of one undisturbed core. Requests in work share the cores evenly (processor sharing),
// each getting one core at most; those beyond the slots wait in order of arrival; beyond the waiting room
// they are turned away. With as many slots as cores and a long room this is the M/M/c queue of the textbooks.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/scheduler.h"

namespace martenford::emulator {

/// What a caller that leaves ends at the endpoint.
enum class CancelReach { Nothing, Waiting, All };

struct EndpointTraits {
    double cores = 1.0;
    std::uint32_t slots = 20;     ///< requests in work, those that wait for the next tier included
    std::uint32_t queue = 40;     ///< requests that wait for a slot
    double speed = 1.0;           ///< of a core, against the one that work is told for
    double cold_from = 1.0;       ///< share of its capacity just after a start
    Duration warm_up{};           ///< from there it grows evenly to the whole in this time
    std::uint32_t thrash_at = 0;  ///< requests in work or waiting from which it may thrash; 0: never
    Duration thrash_after{};      ///< once there have been more for this long without a break
    double thrash_slower = 1.0;   ///< it is so many times slower
    Duration thrash_rest{};       ///< until no more than `thrash_rest_at` were there for this long
    std::uint32_t thrash_rest_at = 0;
    Duration thrash_most{};  ///< or this time is up; 0: never by itself
    CancelReach cancel = CancelReach::Waiting;
    bool drops_expired = false;      ///< what waits past its deadline is dropped unrun
    std::uint32_t connections = 40;  ///< open ones at most
    Duration connection_cost{};      ///< work that a new connection takes, before its first request's
};

class EndpointModel {
  public:
    using JobId = std::uint64_t;
    struct Ended {
        enum class Kind { Started, PhaseDone, Expired };
        JobId job = 0;
        Kind kind = Kind::PhaseDone;
    };

    EndpointModel(const EndpointTraits& traits, Time started, bool cold);

    /// Takes a request with this much work for its first phase; false: turned away, its room is full.
    /// Call advance(now) before, and after, any of these.
    bool arrive(Time now, JobId job, Duration work, Time expires);
    /// The request goes on, in the slot that it kept, after its phase was done.
    void resume(JobId job, Duration work);
    /// The request is over, whatever it was doing. Unknown ones are passed over.
    void finish(JobId job);
    /// Its caller has left; true where that ends it here.
    bool cancel(JobId job);

    /// Moves to `now`, which never goes back, and appends what has started and ended on the way, in order.
    void advance(Time now, std::vector<Ended>& out);
    /// When something may next end or change by itself.
    std::optional<Time> next_due() const;

    // Troubles. Factors multiply; a freeze stops all work, the longest one counts.
    void slow_down(double factor) { slowness_ *= factor; }
    void speed_up(double factor) { slowness_ /= factor; }
    void freeze_until(Time end) { frozen_until_ = std::max(frozen_until_, end); }
    void force_thrash() { begin_thrash(); }

    /// Work that it can do in a second, by its age and troubles; freezes not counted.
    double capacity() const;
    /// The same by its age alone: what the rule on cold endpoints goes by.
    double warm_capacity(Time at) const;
    bool cold(Time at) const { return cold_ && at < started_ + traits_.warm_up; }
    bool thrashing() const { return thrashing_; }
    bool frozen() const { return at_ < frozen_until_; }
    std::uint32_t in_work() const { return slots_used_; }
    std::uint32_t waiting() const { return waiting_; }
    /// Core seconds of work done since the start.
    double work_done() const { return work_done_; }
    const EndpointTraits& traits() const { return traits_; }

  private:
    enum class Stage { Waiting, Running, Suspended };
    struct Job {
        Stage stage = Stage::Waiting;
        double work = 0.0;     // of the phase, in core seconds; while waiting
        double ends_at = 0.0;  // of the shared service; while running
        Time expires{};
    };

    double rate_each() const;  // service that each request in work gets in a second
    double warm_share(Time at) const;
    std::optional<Time> boundary() const;
    void run_until(Time to);
    void settle(std::vector<Ended>& out);
    void start_waiting(std::vector<Ended>& out);
    void watch_backlog();
    void begin_thrash();
    std::uint32_t backlog() const { return static_cast<std::uint32_t>(running_.size()) + waiting_; }

    EndpointTraits traits_;
    Time started_;
    bool cold_;
    Time at_;
    double service_ = 0.0;  // what a request that was always in work would have got by now
    double work_done_ = 0.0;
    std::unordered_map<JobId, Job> jobs_;         // looked up only, never walked
    std::set<std::pair<double, JobId>> running_;  // by the service at which each ends
    std::deque<JobId> line_;                      // those that wait; ones that left are skipped
    std::uint32_t waiting_ = 0, slots_used_ = 0;
    double slowness_ = 1.0;
    Time frozen_until_{};
    bool thrashing_ = false;
    Time thrash_began_{};
    std::optional<Time> over_since_, rested_since_;
};

}  // namespace martenford::emulator
