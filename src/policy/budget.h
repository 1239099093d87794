// Limits on retries: a token bucket that successful calls refill, and a limit relative to the requests
// accepted. Where many sidecars share one budget, each bucket gets a share of the capacity.
#pragma once

#include <algorithm>
#include <optional>

#include "martenford/decision/balancer.h"
#include "policy/mechanics.h"

namespace martenford::decision {

constexpr double kBucketCapacity = 100.0;  // tokens; from "Retries Done Right"
constexpr double kRetryCost = 10.0;  // tokens per retry: retries add at most a tenth to the load; same source

/// Token bucket: successful calls earn tokens, retries spend them.
class RetryBudget {
  public:
    /// Starts full.
    explicit RetryBudget(double capacity = kBucketCapacity) : RetryBudget(capacity, capacity) {}
    RetryBudget(double capacity, double initial) : capacity_(capacity), tokens_(initial) {}
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

/// Enforces the AttemptBudget of the settings, if there is one, on attempts after a request's first. Unlike
/// the RetryBudget, which depends on successful calls, it depends on accepted requests in a sliding window.
/// At the window's edge it counts to its own disadvantage: retries are included, requests are not.
class AttemptBudgetLimiter {
  public:
    explicit AttemptBudgetLimiter(const std::optional<AttemptBudget>& budget)
        : budget_(budget), requests_(budget ? budget->look_back : Duration{}), retries_(requests_) {}
    void record_request(Time now) { requests_.add(now); }
    void record_retry(Time now) { retries_.add(now); }
    void forget_retry(Time sent_at) { retries_.remove(sent_at); }  // the retry was never sent
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
