// The result tables: loads by role, events, and how the idle load grows with the number of proxies. Their
// columns are those of docs/capacity/*.tsv. Pure.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "figures.h"
#include "load.h"
#include "topology.h"

namespace martenford::scale_test {

/// The name of the idle phase in the load table; slopes() uses its rows alone.
constexpr char kIdlePhase[] = "idle";

constexpr double kNotMeasured = std::numeric_limits<double>::quiet_NaN();

/// One row of the event table. A time is kNotMeasured also where it was not reached.
struct EventResult {
    std::string name;
    std::size_t count = 1;                 ///< repetitions; costs are divided by it
    double acknowledged_s = kNotMeasured;  ///< until a controller acknowledged the configuration
    double median_s = kNotMeasured;        ///< until half of the proxies were reached
    double max_s = kNotMeasured;           ///< until all were reached
    double reached_share = 1;              ///< of the proxies, 0 to 1
    Roles cost = {};                       ///< of all repetitions; empty: not measured
};

/// One phase's load by role over `span_s` seconds. `low` and `high` have the same roles: the extremes of the
/// processor time over the windows.
struct PhaseLoad {
    std::string phase;
    double span_s = 0;
    Roles load, low, high;
};

class Report {
  public:
    void add_load(const StepSize& size, const PhaseLoad& phase);
    void add_event(const StepSize& size, const EventResult& event);

    [[nodiscard]] const Table& loads() const { return loads_; }
    [[nodiscard]] const Table& events() const { return events_; }
    /// How the idle load rises with the number of proxies, by role and quantity.
    [[nodiscard]] Table slopes() const;

  private:
    /// An idle load at one number of proxies.
    struct Point {
        double proxies = 0;
        Load load;
        double span_s = 0;
    };
    /// Services, routes, controllers, whether there are real proxies, role.
    using SeriesKey = std::tuple<std::size_t, std::size_t, std::size_t, bool, std::string>;

    static void add_slopes(Table& table, const SeriesKey& key, const std::vector<Point>& points);

    Table loads_{{"proxies", "real",    "controllers", "services",      "routes",   "tenants",   "phase",
                  "role",    "s",       "cpu%",        "cpu_low",       "cpu_high", "MB",        "peakMB",
                  "conns",   "in_kB/s", "out_kB/s",    "core_out_kB/s", "msg_in/s", "msg_out/s", "disk_kB/s"},
                 {}};
    Table events_{{"proxies", "real", "controllers", "services", "routes", "tenants", "event", "n", "ack_s",
                   "p50_s", "max_s", "reached%", "leader_ms", "follower_ms", "proxy_ms", "leader_out_kB",
                   "core_out_kB", "proxy_in_kB", "leader_disk_kB"},
                  {}};
    std::map<SeriesKey, std::vector<Point>> idle_;
};

}  // namespace martenford::scale_test
