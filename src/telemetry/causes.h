// Finds what explains the bad requests of the last minutes: the values of attributes (an endpoint, a zone, a
// caller) that are over-represented among them, tested for significance and corrected for multiple testing.
// No I/O; memory is bounded whatever names occur.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/scheduler.h"

namespace martenford::telemetry {

class CauseAnalyzer {
  public:
    struct Options {
        Duration step = 10s;           ///< length of one counting interval; kSteps of them are kept
        std::size_t max_values = 512;  ///< per attribute; the least frequent value is evicted
        std::size_t min_bad = 5;       ///< a value with fewer bad requests is not reported
        double max_false_discovery_rate =
            0.01;  ///< share of reported causes that may be due to chance (Benjamini, Hochberg 1995)
    };
    static constexpr std::size_t kSteps = 32;

    struct Attribute {
        std::string_view name, value;
    };
    struct Cause {
        std::string name, value;
        std::uint64_t bad = 0, all = 0;            ///< requests with this value
        std::uint64_t rest_bad = 0, rest_all = 0;  ///< requests with another value of the attribute
        double excess = 0.0;       ///< bad requests beyond the share of the rest: what this value explains
        double g_statistic = 0.0;  ///< see explain()
        double p_value = 1.0;  ///< probability of such an excess by chance, corrected for multiple testing
    };

    /// `names`: the attributes, in the order in which requests pass their values.
    CauseAnalyzer(std::vector<std::string> names, const Options& options);

    /// Counts one request. `values` has a value for each attribute, empty if there is none. Times must not
    /// decrease.
    void observe(Time now, const std::vector<std::string_view>& values, bool bad);

    /// Returns the significant values of the last `since`, best explanation first, ordered by the G
    /// statistic: the likelihood gained by telling requests apart by this value. A zone with one bad endpoint
    /// has the same excess of bad requests as that endpoint, but among more requests, and so gains less; a
    /// bad zone gains more than each of its endpoints.
    std::vector<Cause> explain(Time now, Duration since, std::size_t max_causes) const;

    std::uint64_t evicted() const { return evicted_; }

  private:
    struct Counts {
        std::uint32_t all = 0, bad = 0;
    };
    struct Value {
        std::array<Counts, kSteps> steps{};
        std::int64_t last = 0;   // newest step with counts
        std::uint64_t seen = 0;  // halved from time to time, see evict_rarest()
    };
    struct Table {
        std::string name;
        std::unordered_map<std::string, Value> values;
        Value total;
        std::size_t evicted_since_aging = 0;  // evictions since the counts were last halved
    };

    void count(Value& value, std::int64_t step, bool bad) const;
    Counts sum(const Value& value, std::int64_t from, std::int64_t to) const;
    void evict_rarest(Table& table);

    Options options_;
    std::vector<Table> tables_;
    std::uint64_t evicted_ = 0;
};

/// Probability that at least `bad` of `all` requests drawn from `total` are among its `total_bad` bad ones:
/// Fisher's exact test, one-sided.
double fisher_p_value(std::uint64_t bad, std::uint64_t all, std::uint64_t total_bad, std::uint64_t total);

}  // namespace martenford::telemetry
