// What retries may cost: tokens that served calls earn, and a ration by what was taken. Where one bucket
// stands for many sidecars, its capacity is a share.
#pragma once

#include <algorithm>
#include <optional>

#include "martenford/decision/balancer.h"
#include "policy/mechanics.h"

namespace martenford::decision {

constexpr double kBucketCapacity = 100.0;  // tokens; the source's figure
constexpr double kRetryCost = 10.0;        // tokens a retry; retries add at most a tenth (the source's)

/// Served calls earn, retries spend.
class RetryBudget {
  public:
    /// Starts full, with `capacity` tokens.
    explicit RetryBudget(double capacity = kBucketCapacity) : capacity_(capacity), tokens_(capacity) {}
    void earn() { tokens_ = std::min(capacity_, tokens_ + 1.0); }
    bool spend() {
        if (tokens_ < kRetryCost) return false;
        tokens_ -= kRetryCost;
        return true;
    }
    void refund() { tokens_ = std::min(capacity_, tokens_ + kRetryCost); }

  private:
    double capacity_, tokens_;
};

/// The ration of attempts after a request's first, where the settings tell one. It stands beside the retry
/// budget, which goes by what was served: this one goes by what was taken, in a sliding window whose edge is
/// read against us both ways.
class AttemptBudgetLimiter {
  public:
    explicit AttemptBudgetLimiter(const std::optional<AttemptBudget>& budget)
        : budget_(budget), requests_(budget ? budget->look_back : Duration{}), retries_(requests_) {}
    void record_request(Time now) { requests_.add(now); }
    void record_retry(Time now) { retries_.add(now); }
    void forget_retry(Time sent_at) { retries_.remove(sent_at); }  // it turned out never to have been sent
    bool allows_retry(Time now) {
        if (!budget_) return true;
        return retries_.count(now, true) + 1.0 <=
               budget_->floor + budget_->ratio * requests_.count(now, false);
    }

  private:
    std::optional<AttemptBudget> budget_;
    SlidingWindow requests_, retries_;
};

}  // namespace martenford::decision
