#include "admission/wait_estimator.h"

#include <algorithm>

namespace martenford::admission {

namespace {

// Weight of a new service time: 1 / 16. A change is followed within some dozen requests.
constexpr int kServiceTimeWeightDivisor = 16;
// Weight of a new wait in the kind's factor, and the most that the factor grows to, so that a single outlier
// does not close the queue for the kind.
constexpr double kWaitFactorGain = 0.1;
constexpr double kMaxWaitFactor = 4;
// Kinds of requests with statistics; bounds the memory. There are as many as routes: beyond this all start
// anew.
constexpr std::size_t kMaxKinds = 512;
// Estimates below this are compared as this.
constexpr Duration kMinExpectedWait = 1ms;

Duration scaled_by(double factor, Duration duration) {
    return Duration{static_cast<Duration::rep>(factor * static_cast<double>(duration.count()))};
}

}  // namespace

Duration WaitEstimator::service_time(std::uint32_t kind) const {
    const auto it = by_kind_.find(kind);
    return it == by_kind_.end() ? service_time_ : it->second.service_time;
}

Duration WaitEstimator::wait_behind(std::size_t ahead, std::uint32_t slots) const {
    const double turns =
        (static_cast<double>(ahead) + 1.0) / static_cast<double>(std::max<std::uint32_t>(slots, 1));
    return scaled_by(turns, service_time_);
}

Duration WaitEstimator::wait_behind(std::size_t ahead, std::uint32_t slots, std::uint32_t kind) const {
    const auto it = by_kind_.find(kind);
    const double factor = it == by_kind_.end() ? 1.0 : it->second.wait_factor;
    return scaled_by(factor, wait_behind(ahead, slots));
}

void WaitEstimator::record_service_time(std::uint32_t kind, Duration took) {
    service_time_ += (took - service_time_) / kServiceTimeWeightDivisor;
    if (by_kind_.size() >= kMaxKinds) by_kind_.clear();
    const auto [it, added] = by_kind_.try_emplace(kind, KindStatistics{took, 1});
    if (added) return;
    it->second.service_time += (took - it->second.service_time) / kServiceTimeWeightDivisor;
}

void WaitEstimator::record_wait(std::uint32_t kind, Duration waited, Duration expected) {
    const auto it = by_kind_.find(kind);
    if (it == by_kind_.end()) return;
    const double ratio = static_cast<double>(waited.count()) /
                         static_cast<double>(std::max<Duration>(expected, kMinExpectedWait).count());
    double& factor = it->second.wait_factor;
    factor = std::clamp(factor + (factor * ratio - factor) * kWaitFactorGain, 1.0, kMaxWaitFactor);
}

}  // namespace martenford::admission
