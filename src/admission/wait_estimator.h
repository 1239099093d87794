// Estimates how long a request will wait for a slot and run, from what was measured of earlier ones.
//
// Service times are exponentially weighted averages, of all requests and by kind of request. The wait is the
// number of requests ahead times the average service time, divided by the slots; a factor by kind corrects it
// by how much longer those of that kind really waited, because requests of higher priority overtook them.
//
// Pure: no I/O and no clock. Not thread safe; one event loop owns it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/scheduler.h"

namespace martenford::admission {

class WaitEstimator {
  public:
    /// Average time that the endpoint takes for a request of this kind; of all requests, if none of this kind
    /// was measured yet.
    [[nodiscard]] Duration service_time(std::uint32_t kind) const;
    /// Wait behind `ahead` queued requests where `slots` run concurrently and all are taken.
    [[nodiscard]] Duration wait_behind(std::size_t ahead, std::uint32_t slots) const;
    /// The same, corrected for the kind.
    [[nodiscard]] Duration wait_behind(std::size_t ahead, std::uint32_t slots, std::uint32_t kind) const;

    /// A request was served within `took`.
    void record_service_time(std::uint32_t kind, Duration took);
    /// A request left the queue after `waited`, where `expected` was estimated when it came.
    void record_wait(std::uint32_t kind, Duration waited, Duration expected);

  private:
    struct KindStatistics {
        Duration service_time{};
        double wait_factor = 1;  // real wait / estimated wait
    };
    Duration service_time_ = 150ms;  // of all kinds; assumed until the first was measured
    std::unordered_map<std::uint32_t, KindStatistics> by_kind_;
};

}  // namespace martenford::admission
