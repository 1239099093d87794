// The time that a suspect has to refute. After Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness
// for More Accurate Failure Detection" (2018), section III-B: long at first, and shorter as other members
// confirm the suspicion independently.
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
    /// `confirmations_needed` confirmations shorten the timeout to `min`; with 0 it is `min` from the start.
    Suspicion(Time since, Duration min, Duration max, std::size_t confirmations_needed)
        : since_(since), min_(min), max_(std::max(min, max)), confirmations_needed_(confirmations_needed) {}

    /// Returns false if this member has confirmed it before or enough have.
    bool confirm(const std::string& name) {
        if (confirmed_by_.size() > confirmations_needed_) return false;
        return confirmed_by_.insert(name).second;
    }
    /// Lowers the bounds, as when nobody listens at the suspect's address any more.
    void tighten(Duration min, Duration max) {
        min_ = std::min(min_, min);
        max_ = std::max(min_, std::min(max_, max));
    }
    /// Moves the start: this process stalled for that time and could not hear the suspect.
    void postpone(Duration by) { since_ += by; }

    Time since() const { return since_; }
    /// No report from elsewhere makes the suspect dead before this.
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
