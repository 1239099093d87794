#include "telemetry/causes.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace martenford::telemetry {

namespace {

double log_choose(std::uint64_t n, std::uint64_t k) {
    const auto of = [](std::uint64_t x) { return std::lgamma(static_cast<double>(x) + 1.0); };
    return of(n) - of(k) - of(n - k);
}

/// Twice the log-likelihood that two shares of bad ones, of these `all` and of the rest, gain over one for
/// all.
double g_statistic_of(std::uint64_t bad, std::uint64_t all, std::uint64_t total_bad, std::uint64_t total) {
    const auto part = [&](std::uint64_t seen, std::uint64_t row, std::uint64_t column) {
        if (seen == 0) return 0.0;
        const double expected =
            static_cast<double>(row) * static_cast<double>(column) / static_cast<double>(total);
        return static_cast<double>(seen) * std::log(static_cast<double>(seen) / expected);
    };
    const std::uint64_t rest = total - all, rest_bad = total_bad - bad, good = total - total_bad;
    return 2.0 * (part(bad, all, total_bad) + part(all - bad, all, good) + part(rest_bad, rest, total_bad) +
                  part(rest - rest_bad, rest, good));
}

}  // namespace

double fisher_p_value(std::uint64_t bad, std::uint64_t all, std::uint64_t total_bad, std::uint64_t total) {
    const std::uint64_t max_bad = std::min(all, total_bad);
    const std::uint64_t min_bad = all + total_bad > total ? all + total_bad - total : 0;
    if (bad <= min_bad) return 1.0;
    if (bad > max_bad) return 0.0;
    // Terms of the hypergeometric distribution from `bad` up, each from the one before. They fall once they
    // are past the middle; below it the sum is near 1 and its exact value is of no interest.
    double term = std::exp(log_choose(total_bad, bad) + log_choose(total - total_bad, all - bad) -
                           log_choose(total, all));
    double sum = 0.0;
    for (std::uint64_t k = bad; k <= max_bad; ++k) {
        sum += term;
        if (term < sum * 1e-12) break;
        term *= static_cast<double>(total_bad - k) * static_cast<double>(all - k) /
                (static_cast<double>(k + 1) * static_cast<double>(total - total_bad - all + k + 1));
    }
    return std::min(sum, 1.0);
}

CauseAnalyzer::CauseAnalyzer(std::vector<std::string> names, const Options& options) : options_(options) {
    for (std::string& name : names) tables_.push_back({std::move(name), {}, {}});
}

void CauseAnalyzer::count(Value& value, std::int64_t step, bool bad) const {
    // Whatever stands between the last step and this one is older than the ring.
    const std::int64_t from = std::max(value.last + 1, step - static_cast<std::int64_t>(kSteps) + 1);
    for (std::int64_t s = from; s <= step; ++s) value.steps[static_cast<std::size_t>(s) % kSteps] = {};
    value.last = std::max(value.last, step);
    Counts& counts = value.steps[static_cast<std::size_t>(step) % kSteps];
    ++counts.all;
    counts.bad += bad ? 1 : 0;
    ++value.seen;
}

CauseAnalyzer::Counts CauseAnalyzer::sum(const Value& value, std::int64_t from, std::int64_t to) const {
    Counts result;
    const std::int64_t oldest = std::max(from, value.last - static_cast<std::int64_t>(kSteps) + 1);
    for (std::int64_t s = std::max<std::int64_t>(oldest, 0); s <= std::min(to, value.last); ++s) {
        const Counts& counts = value.steps[static_cast<std::size_t>(s) % kSteps];
        result.all += counts.all;
        result.bad += counts.bad;
    }
    return result;
}

/// Those seen least go, an eighth at a time, so that names that come once each don't make every request scan.
/// All age by half once as many have gone as there is room for: what was frequent long ago gives way too.
void CauseAnalyzer::evict_rarest(Table& table) {
    std::uint64_t fewest = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [name, value] : table.values) fewest = std::min(fewest, value.seen);
    const std::size_t to_evict = std::max<std::size_t>(1, options_.max_values / 8);
    std::size_t newly_evicted = 0;
    std::erase_if(table.values, [&](const auto& entry) {
        return newly_evicted < to_evict && entry.second.seen <= fewest && ++newly_evicted > 0;
    });
    evicted_ += newly_evicted;
    if ((table.evicted_since_aging += newly_evicted) < options_.max_values) return;
    table.evicted_since_aging = 0;
    for (auto& [name, value] : table.values) value.seen /= 2;
}

void CauseAnalyzer::observe(Time now, const std::vector<std::string_view>& values, bool bad) {
    const std::int64_t step = now.time_since_epoch() / options_.step;
    for (std::size_t i = 0; i < std::min(values.size(), tables_.size()); ++i) {
        if (values[i].empty()) continue;
        Table& table = tables_[i];
        count(table.total, step, bad);
        auto it = table.values.find(std::string(values[i]));
        if (it == table.values.end()) {
            if (table.values.size() >= options_.max_values) evict_rarest(table);
            it = table.values.try_emplace(std::string(values[i])).first;
            it->second.last = step;
        }
        count(it->second, step, bad);
    }
}

std::vector<CauseAnalyzer::Cause> CauseAnalyzer::explain(Time now, Duration since,
                                                         std::size_t max_causes) const {
    const std::int64_t to = now.time_since_epoch() / options_.step;
    const std::int64_t from = (now - since).time_since_epoch() / options_.step;
    std::vector<Cause> found;
    for (const Table& table : tables_) {
        const Counts total = sum(table.total, from, to);
        for (const auto& [name, value] : table.values) {
            const Counts counts = sum(value, from, to);
            if (counts.bad < options_.min_bad) continue;
            Cause cause{
                table.name, name, counts.bad, counts.all, total.bad - counts.bad, total.all - counts.all,
                0,          0,    1};
            // A value that all requests share has nothing to stand out against.
            if (cause.rest_all == 0) continue;
            const double share = static_cast<double>(cause.rest_bad) / static_cast<double>(cause.rest_all);
            cause.excess = static_cast<double>(cause.bad) - share * static_cast<double>(cause.all);
            cause.g_statistic = g_statistic_of(cause.bad, cause.all, total.bad, total.all);
            cause.p_value = fisher_p_value(counts.bad, counts.all, total.bad, total.all);
            found.push_back(std::move(cause));
        }
    }
    // Benjamini and Hochberg's step-up: of m looks the i-th smallest chance is corrected by m/i.
    std::sort(found.begin(), found.end(),
              [](const Cause& a, const Cause& b) { return a.p_value < b.p_value; });
    double smallest = 1.0;
    for (std::size_t i = found.size(); i-- > 0;) {
        smallest = std::min(
            smallest, found[i].p_value * static_cast<double>(found.size()) / static_cast<double>(i + 1));
        found[i].p_value = smallest;
    }
    std::erase_if(found, [&](const Cause& each) {
        return each.p_value > options_.max_false_discovery_rate || each.excess <= 0.0;
    });
    std::sort(found.begin(), found.end(), [](const Cause& a, const Cause& b) {
        return std::tuple(-a.g_statistic, a.all, a.name, a.value) <
               std::tuple(-b.g_statistic, b.all, b.name, b.value);
    });
    if (found.size() > max_causes) found.resize(max_causes);
    return found;
}

}  // namespace martenford::telemetry
