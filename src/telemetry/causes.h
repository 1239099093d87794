// What explains the bad requests of the last minutes: which values of which attributes (an endpoint, a zone,
// a caller) stand over-represented among them, tested against chance and corrected for having looked at many.
// Pure; the memory is bounded whatever names come.
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
        Duration step = 10s;           ///< counts are kept by such stretches, `kSteps` of them
        std::size_t max_values = 512;  ///< of one attribute; the one seen least gives way
        std::size_t min_bad = 5;       ///< fewer bad requests with a value say nothing of it
        double max_false_discovery_rate =
            0.01;  ///< share of named causes that may be chance (Benjamini, Hochberg 1995)
    };
    static constexpr std::size_t kSteps = 32;

    struct Attribute {
        std::string_view name, value;
    };
    struct Cause {
        std::string name, value;
        std::uint64_t bad = 0, all = 0;            ///< of requests with this value
        std::uint64_t rest_bad = 0, rest_all = 0;  ///< of those with another value of the attribute
        double excess = 0.0;       ///< bad ones beyond what the rest's share would give: what it explains
        double g_statistic = 0.0;  ///< the G statistic
        double p_value = 1.0;      ///< that a value stands out so by itself, corrected
    };

    /// `names`: the attributes, in the order in which requests give their values.
    CauseAnalyzer(std::vector<std::string> names, const Options& options);

    /// One request: a value for each attribute, empty where it has none. Times must not go back.
    void observe(Time now, const std::vector<std::string_view>& values, bool bad);

    /// What stands out over the last `since`, what explains most first: by the likelihood that telling
    /// requests apart by this value gains over not doing so (the G statistic). A zone with one bad endpoint
    /// has as many bad requests too many as that endpoint, in more requests, and gains less; a bad zone gains
    /// more than each of its endpoints.
    std::vector<Cause> explain(Time now, Duration since, std::size_t max_causes) const;

    std::uint64_t evicted() const { return evicted_; }

  private:
    struct Counts {
        std::uint32_t all = 0, bad = 0;
    };
    struct Value {
        std::array<Counts, kSteps> steps{};
        std::int64_t last = 0;   // the newest step it has counts of
        std::uint64_t seen = 0;  // ages, see evict_rarest()
    };
    struct Table {
        std::string name;
        std::unordered_map<std::string, Value> values;
        Value total;
        std::size_t evicted_since_aging = 0;  // since all aged
    };

    void count(Value& value, std::int64_t step, bool bad) const;
    Counts sum(const Value& value, std::int64_t from, std::int64_t to) const;
    void evict_rarest(Table& table);

    Options options_;
    std::vector<Table> tables_;
    std::uint64_t evicted_ = 0;
};

/// The chance that at least `bad` of `all` requests drawn from `total` are among its `total_bad` bad ones:
/// Fisher's exact test, one-sided.
double fisher_p_value(std::uint64_t bad, std::uint64_t all, std::uint64_t total_bad, std::uint64_t total);

}  // namespace martenford::telemetry
