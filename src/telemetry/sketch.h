// Quantiles of latencies with a bounded relative error, mergeable: DDSketch (C. Masson, J. Rim, H. Lee,
// "DDSketch: a fast and fully-mergeable quantile sketch with relative-error guarantees", VLDB 2019). Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace martenford::telemetry {

class QuantileSketch {
  public:
    /// Of values above `least`; what is smaller counts as that. 1 us, in seconds: nothing of ours is timed
    /// finer.
    static constexpr double kMinValue = 1e-6;
    /// Buckets at most. At an error of 1% they span eleven orders of magnitude; beyond that the lowest are
    /// merged, and only quantiles down there lose their bound.
    static constexpr std::size_t kMaxBuckets = 1280;

    /// `relative_error`: of any quantile, above 0 and below 1.
    explicit QuantileSketch(double relative_error = 0.01);

    void add(double value, std::uint64_t times = 1);
    /// Of the same relative error; throws std::invalid_argument otherwise.
    void merge(const QuantileSketch& other);
    /// The value that `share` (0 to 1) of all are at or below, within the relative error; 0 where there is
    /// none.
    double quantile(double share) const;
    std::uint64_t count() const { return count_; }
    double sum() const { return sum_; }
    std::size_t buckets() const { return counts_.size(); }
    void clear();

  private:
    int index_of(double value) const;
    double value_of(int index) const;
    void cover_bucket(int index);

    double error_, gamma_, log_gamma_;
    std::vector<std::uint64_t> counts_;  // of the buckets from first_ on
    int first_ = 0;
    std::uint64_t count_ = 0;
    double sum_ = 0.0;
};

}  // namespace martenford::telemetry
