#include "mesh/rig/processor_quota.h"

#include <csignal>
#include <ctime>
#include <utility>

namespace martenford::rig {

/// Of all threads since the process's start; 0 if it has ended.
Duration ProcessorQuota::processor_time(pid_t process) {
    clockid_t clock{};
    timespec spent{};
    if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &spent) != 0) return {};
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(spent.tv_sec) +
                                                std::chrono::nanoseconds(spent.tv_nsec));
}

void ProcessorQuota::enforce(Time now, const std::vector<pid_t>& processes) {
    if (per_period_ == Duration{}) return;
    if (now >= period_end_) {
        period_end_ = now + kPeriod;
        begin_period(processes);
    }
    for (const pid_t process : processes) {
        // One that was started in this period has its whole quota.
        Account& account = accounts_[process];
        if (account.stopped || suspended_.contains(process)) continue;
        if (processor_time(process) - account.spent_before < per_period_) continue;
        ::kill(process, SIGSTOP);
        account.stopped = true;
        ++stops_;
    }
}

void ProcessorQuota::begin_period(const std::vector<pid_t>& processes) {
    std::map<pid_t, Account> accounts;
    for (const pid_t process : processes) {
        const auto known = accounts_.find(process);
        const bool was_stopped = known != accounts_.end() && known->second.stopped;
        if (was_stopped && !suspended_.contains(process)) ::kill(process, SIGCONT);
        accounts[process].spent_before = processor_time(process);
    }
    accounts_ = std::move(accounts);
}

void ProcessorQuota::suspend(pid_t process) {
    suspended_.insert(process);
    ::kill(process, SIGSTOP);
}

void ProcessorQuota::resume(pid_t process) {
    if (suspended_.erase(process) > 0) ::kill(process, SIGCONT);
    accounts_[process].stopped = false;
}

}  // namespace martenford::rig
