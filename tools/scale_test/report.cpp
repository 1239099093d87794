#include "report.h"

#include <algorithm>
#include <utility>

namespace martenford::scale_test {

namespace {

/// The slope is fitted to this many of the largest sizes: below them, what a process spends by itself,
/// without any proxy, hides it.
constexpr std::size_t kMaxSlopePoints = 3;
constexpr double kMillisecond = 1e-3;  // in s
constexpr double kKilobyte = 1000;     // in bytes

/// A quantity of the slope table.
struct Quantity {
    const char* name;
    double (*value)(const Load& load, double span_s);
};
constexpr Quantity kQuantities[] = {
    {"processor %", [](const Load& load, double span_s) { return load.processor / span_s * 100; }},
    {"memory MB", [](const Load& load, double) { return load.memory; }},
    {"in kB/s", [](const Load& load, double span_s) { return load.in / span_s / kKilobyte; }},
    {"out kB/s", [](const Load& load, double span_s) { return load.out / span_s / kKilobyte; }},
    {"messages in /s", [](const Load& load, double span_s) { return load.messages_in / span_s; }},
    {"connections", [](const Load& load, double) { return load.connections; }}};

/// The first cells of each row of both tables.
std::vector<std::string> size_cells(const StepSize& size) {
    std::vector<std::string> row;
    for (const std::size_t number : {size.proxies, size.real, size.controllers, size.config.services,
                                     size.config.routes, size.config.tenants})
        row.push_back(std::to_string(number));
    return row;
}

/// The cost of one repetition to one role, in `unit`; "-" where the role was not measured.
std::string cost_cell(const EventResult& event, const char* role, double Load::*field, double unit) {
    const auto it = std::find_if(event.cost.begin(), event.cost.end(),
                                 [role](const auto& entry) { return entry.first == role; });
    if (it == event.cost.end()) return "-";
    const auto repetitions = static_cast<double>(std::max<std::size_t>(event.count, 1));
    return cell(it->second.*field / unit / repetitions);
}

}  // namespace

void Report::add_load(const StepSize& size, const PhaseLoad& phase) {
    const double s = phase.span_s;
    for (std::size_t i = 0; i < phase.load.size(); ++i) {
        const auto& [role, load] = phase.load[i];
        auto row = size_cells(size);
        row.push_back(phase.phase);
        row.push_back(role);
        for (const double value :
             {s, load.processor / s * 100, phase.low[i].second.processor / s * 100,
              phase.high[i].second.processor / s * 100, load.memory, load.peak, load.connections,
              load.in / s / kKilobyte, load.out / s / kKilobyte, load.core_out / s / kKilobyte,
              load.messages_in / s, load.messages_out / s, load.disk / s / kKilobyte})
            row.push_back(cell(value));
        loads_.rows.push_back(std::move(row));
        if (phase.phase != kIdlePhase || role == kBusiestWorker) continue;
        const SeriesKey key{size.config.services, size.config.routes, size.controllers, size.real > 0, role};
        idle_[key].push_back({static_cast<double>(size.proxies + size.real), load, s});
    }
}

void Report::add_event(const StepSize& size, const EventResult& event) {
    auto row = size_cells(size);
    row.push_back(event.name);
    for (const double value : {static_cast<double>(event.count), event.acknowledged_s, event.median_s,
                               event.max_s, event.reached_share * 100})
        row.push_back(cell(value));
    row.push_back(cost_cell(event, kLeader, &Load::processor, kMillisecond));
    row.push_back(cost_cell(event, kFollower, &Load::processor, kMillisecond));
    row.push_back(cost_cell(event, kSimulatedProxy, &Load::processor, kMillisecond));
    row.push_back(cost_cell(event, kLeader, &Load::out, kKilobyte));
    row.push_back(cost_cell(event, kLeader, &Load::core_out, kKilobyte));
    row.push_back(cost_cell(event, kSimulatedProxy, &Load::in, kKilobyte));
    row.push_back(cost_cell(event, kLeader, &Load::disk, kKilobyte));
    events_.rows.push_back(std::move(row));
}

void Report::add_slopes(Table& table, const SeriesKey& key, const std::vector<Point>& points) {
    const auto& [services, routes, controllers, has_real, role] = key;
    for (const Quantity& quantity : kQuantities) {
        std::vector<std::pair<double, double>> line;
        line.reserve(points.size());
        for (const Point& point : points)
            line.emplace_back(point.proxies, quantity.value(point.load, point.span_s));
        std::sort(line.begin(), line.end());
        const auto kept = std::min(line.size(), kMaxSlopePoints);
        line.erase(line.begin(), line.end() - static_cast<std::ptrdiff_t>(kept));
        const auto fitted = slope(line);
        if (!fitted) continue;
        table.rows.push_back({std::to_string(services), std::to_string(routes), std::to_string(controllers),
                              role, std::to_string(line.size()), quantity.name, cell(fitted->power),
                              cell(line.back().second), cell(fitted->last_rise)});
    }
}

Table Report::slopes() const {
    Table out{{"services", "routes", "controllers", "role", "steps", "quantity", "power", "last value",
               "rise per proxy"},
              {}};
    for (const auto& [key, points] : idle_) add_slopes(out, key, points);
    return out;
}

}  // namespace martenford::scale_test
