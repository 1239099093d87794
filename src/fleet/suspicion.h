// How long a suspect has to refute. After Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for
// More Accurate Failure Detection" (2018), section III-B: long at first, and shorter as others say the same
// by themselves.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <set>
#include <string>

#include "core/scheduler.h"
#include "fleet/wire.h"

namespace martenford::fleet {

class Suspicion {
  public:
    /// `accusers`: that shorten it to `least`; none: it is that short at once.
    Suspicion(Time since, Duration min, Duration max, std::size_t confirmations_needed)
        : since_(since), min_(min), max_(std::max(min, max)), confirmations_needed_(confirmations_needed) {}

    /// False: its word is known, or enough of them are.
    bool confirm(const std::string& name) {
        if (confirmed_by_.size() > confirmations_needed_) return false;
        return confirmed_by_.insert(name).second;
    }
    /// Nobody listens there: what it has to wait for is shorter.
    void tighten(Duration min, Duration max) {
        min_ = std::min(min_, min);
        max_ = std::max(min_, std::min(max_, max));
    }
    /// This process stood still, in which the suspect could not be heard.
    void postpone(Duration by) { since_ += by; }

    Time since() const { return since_; }
    /// Before it nobody's word makes it dead.
    Time earliest_deadline() const { return since_ + min_; }
    std::size_t confirmations() const { return confirmed_by_.size(); }
    Time deadline() const {
        if (confirmations_needed_ == 0) return since_ + min_;
        const double independent =
            confirmed_by_.empty() ? 0.0 : static_cast<double>(confirmed_by_.size() - 1);
        const double fraction = std::min(
            1.0, std::log(independent + 1.0) / std::log(static_cast<double>(confirmations_needed_) + 1.0));
        const auto reduction =
            static_cast<Duration::rep>(static_cast<double>((max_ - min_).count()) * fraction);
        return since_ + std::max(min_, max_ - Duration{reduction});
    }

  private:
    Time since_;
    Duration min_, max_;
    std::size_t confirmations_needed_;
    std::set<std::string> confirmed_by_;
};

}  // namespace martenford::fleet
