#include "admission/delivered_attempts.h"

namespace martenford::admission {

namespace {
// Ids remembered at once; bounds the memory. At 60 s that is 333 non-idempotent requests per second beside
// one endpoint.
constexpr std::size_t kMaxAttempts = 20000;
}  // namespace

void DeliveredAttempts::record(Time now, const std::string& attempt_id) {
    recorded_at_[attempt_id] = now;
    order_.emplace_back(now, attempt_id);
    while (order_.size() > kMaxAttempts || now - order_.front().first > remember_for_) forget_oldest();
}

void DeliveredAttempts::forget_oldest() {
    const auto& [at, attempt_id] = order_.front();
    // The id may have been released and recorded again since: then a later entry stands for it.
    const auto it = recorded_at_.find(attempt_id);
    if (it != recorded_at_.end() && it->second == at) recorded_at_.erase(it);
    newest_forgotten_at_ = at;
    order_.pop_front();
}

bool DeliveredAttempts::fence(Time now, const std::string& attempt_id, Duration age) {
    if (contains(attempt_id)) return false;
    const Time earliest_delivery = now - age - query_delay_;
    if (newest_forgotten_at_ && earliest_delivery <= *newest_forgotten_at_) return false;
    record(now, attempt_id);
    return true;
}

}  // namespace martenford::admission
