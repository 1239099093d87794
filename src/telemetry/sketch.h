// Mergeable latency quantiles with a bounded relative error: DDSketch (C. Masson, J. Rim, H. Lee, "DDSketch:
// a fast and fully-mergeable quantile sketch with relative-error guarantees", VLDB 2019).
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace martenford::telemetry {

class QuantileSketch {
  public:
    /// Smaller values count as this one. 1 us, in seconds; latencies are not measured more finely.
    static constexpr double kMinValue = 1e-6;
    /// Maximum number of buckets. With an error of 1% they span eleven orders of magnitude; beyond that the
    /// lowest buckets are merged, and only quantiles in that range lose their error bound.
    static constexpr std::size_t kMaxBuckets = 1280;

    /// `relative_error` of any quantile, between 0 and 1 exclusive.
    explicit QuantileSketch(double relative_error = 0.01);

    void add(double value, std::uint64_t times = 1);
    /// Throws std::invalid_argument if `other` has a different relative error.
    void merge(const QuantileSketch& other);
    /// The value that a `share` (0 to 1) of all values are at or below, within the relative error; 0 if there
    /// are no values.
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
