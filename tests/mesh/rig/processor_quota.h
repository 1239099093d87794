// A processor quota for processes of a test: full speed until it is spent, then nothing to the end of each
// period, as under a container's CPU limit.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rig {

class ProcessorQuota {
  public:
    static constexpr Duration kPeriod = 100ms;
    /// enforce() wants to be called this often: a process overspends by up to this much.
    static constexpr Duration kCheckInterval = 1ms;

    /// @param per_period processor time of each process in a period; 0: no quota
    explicit ProcessorQuota(Duration per_period) : per_period_(per_period) {}

    /// Stops the processes that have spent their quota, and at the start of a period lets all go on. Does
    /// nothing to suspended ones.
    void enforce(Time now, const std::vector<pid_t>& processes);
    /// The process is stopped by somebody else until resume(), which also lets it go on.
    void suspend(pid_t process);
    void resume(pid_t process);
    /// How often a process was stopped.
    [[nodiscard]] std::size_t stops() const { return stops_; }

  private:
    struct Account {
        Duration spent_before{};  // the period began
        bool stopped = false;
    };
    static Duration processor_time(pid_t process);
    void begin_period(const std::vector<pid_t>& processes);

    const Duration per_period_;
    Time period_end_{};
    std::map<pid_t, Account> accounts_;
    std::set<pid_t> suspended_;
    std::size_t stops_ = 0;
};

}  // namespace martenford::rig
