#include "telemetry/sketch.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace martenford::telemetry {

QuantileSketch::QuantileSketch(double relative_error)
    : error_(relative_error),
      gamma_((1.0 + relative_error) / (1.0 - relative_error)),
      log_gamma_(std::log(gamma_)) {
    if (!(relative_error > 0.0 && relative_error < 1.0)) throw std::invalid_argument("relative_error");
}

/// Bucket i holds the values in (gamma^(i-1), gamma^i].
int QuantileSketch::index_of(double value) const {
    return static_cast<int>(std::ceil(std::log(std::max(value, kMinValue)) / log_gamma_));
}

/// The value whose relative distance to both ends of the bucket is the error.
double QuantileSketch::value_of(int index) const {
    return 2.0 * std::exp(log_gamma_ * index) / (gamma_ + 1.0);
}

void QuantileSketch::cover_bucket(int index) {
    if (counts_.empty()) first_ = index;
    const int last = first_ + static_cast<int>(counts_.size()) - 1;
    int low = std::min(first_, index);
    const int high = counts_.empty() ? index : std::max(last, index);
    low = std::max(low, high - static_cast<int>(kMaxBuckets) + 1);
    if (counts_.empty() || low < first_) {
        counts_.insert(counts_.begin(), static_cast<std::size_t>(counts_.empty() ? 0 : first_ - low), 0);
        first_ = low;
    } else if (low > first_) {
        // The lowest become one.
        const auto merged = std::min(static_cast<std::size_t>(low - first_), counts_.size());
        std::uint64_t below = 0;
        for (std::size_t i = 0; i < merged; ++i) below += counts_[i];
        counts_.erase(counts_.begin(), counts_.begin() + static_cast<std::ptrdiff_t>(merged));
        if (counts_.empty()) counts_.push_back(0);
        counts_.front() += below;
        first_ = low;
    }
    counts_.resize(std::max(counts_.size(), static_cast<std::size_t>(high - first_ + 1)), 0);
}

void QuantileSketch::add(double value, std::uint64_t times) {
    if (times == 0 || std::isnan(value)) return;
    int index = index_of(value);
    if (index < first_ || index >= first_ + static_cast<int>(counts_.size())) {
        cover_bucket(index);
        index = std::max(index, first_);
    }
    counts_[static_cast<std::size_t>(index - first_)] += times;
    count_ += times;
    sum_ += value * static_cast<double>(times);
}

void QuantileSketch::merge(const QuantileSketch& other) {
    if (other.error_ != error_) throw std::invalid_argument("sketches of different errors");
    if (other.counts_.empty()) return;
    cover_bucket(other.first_ + static_cast<int>(other.counts_.size()) - 1);
    cover_bucket(
        std::max(other.first_, first_ + static_cast<int>(counts_.size()) - static_cast<int>(kMaxBuckets)));
    for (std::size_t i = 0; i < other.counts_.size(); ++i) {
        const int index = std::max(first_, other.first_ + static_cast<int>(i));
        counts_[static_cast<std::size_t>(index - first_)] += other.counts_[i];
    }
    count_ += other.count_;
    sum_ += other.sum_;
}

double QuantileSketch::quantile(double share) const {
    if (count_ == 0) return 0.0;
    const double rank = std::clamp(share, 0.0, 1.0) * static_cast<double>(count_ - 1);
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        seen += counts_[i];
        if (static_cast<double>(seen) > rank) return value_of(first_ + static_cast<int>(i));
    }
    return value_of(first_ + static_cast<int>(counts_.size()) - 1);
}

void QuantileSketch::clear() {
    counts_.clear();
    first_ = 0;
    count_ = 0;
    sum_ = 0.0;
}

}  // namespace martenford::telemetry
