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
    Suspicion(Time since, Duration least, Duration most, std::size_t accusers)
        : since_(since), least_(least), most_(std::max(least, most)), enough_(accusers) {}

    /// False: its word is known, or enough of them are.
    bool accused_by(const std::string& name) {
        if (by_.size() > enough_) return false;
        return by_.insert(name).second;
    }
    /// Nobody listens there: what it has to wait for is shorter.
    void bound(Duration least, Duration most) {
        least_ = std::min(least_, least);
        most_ = std::max(least_, std::min(most_, most));
    }
    /// This process stood still, in which the suspect could not be heard.
    void postpone(Duration by) { since_ += by; }

    Time since() const { return since_; }
    /// Before it nobody's word makes it dead.
    Time earliest() const { return since_ + least_; }
    std::size_t accusers() const { return by_.size(); }
    Time deadline() const {
        if (enough_ == 0) return since_ + least_;
        const double confirmed = by_.empty() ? 0.0 : static_cast<double>(by_.size() - 1);
        const double part =
            std::min(1.0, std::log(confirmed + 1.0) / std::log(static_cast<double>(enough_) + 1.0));
        const auto off = static_cast<Duration::rep>(static_cast<double>((most_ - least_).count()) * part);
        return since_ + std::max(least_, most_ - Duration{off});
    }

  private:
    Time since_;
    Duration least_, most_;
    std::size_t enough_;
    std::set<std::string> by_;
};

}  // namespace martenford::fleet
