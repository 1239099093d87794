// What processes spent and sent between two moments, by their role in the mesh. Pure.
#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "processes.h"

namespace martenford::scale_test {

using Clock = std::chrono::steady_clock;
inline double to_seconds(Clock::duration duration) {
    return std::chrono::duration<double>(duration).count();
}

/// The counters of all processes at one moment, by the process's name.
struct Snapshot {
    Clock::time_point at;
    std::map<std::string, ProcessUsage> spent;
    std::map<std::string, std::map<std::uint64_t, TcpEndpoint>> sockets;  ///< by process, then cookie
    std::set<std::uint64_t> between_controllers;                          ///< cookies
};

/// What one process spent over a span, or several of a role put together.
struct Load {
    double processor = 0;     ///< s
    double memory = 0;        ///< MB resident at the end
    double peak = 0;          ///< MB, since the process started
    double disk = 0;          ///< bytes written
    double in = 0, out = 0;   ///< bytes over TCP, payload alone
    double messages_in = 0;   ///< TCP segments with data
    double messages_out = 0;  ///< TCP segments with data
    double core_out = 0;      ///< bytes, the part of `out` from controller to controller
    double connections = 0;   ///< open at the end
};

/// Loads by role, in the order of the printed rows.
using Roles = std::vector<std::pair<std::string, Load>>;

// The roles, as the tables name them.
constexpr char kLeader[] = "leader";
constexpr char kFollower[] = "follower";
constexpr char kSimulatedProxy[] = "simulated proxy";
constexpr char kBusiestWorker[] = "busiest worker";
constexpr char kRealProxy[] = "real proxy";

/// The load of the process `name` between two snapshots; `after` must have it. Traffic of a connection that
/// closed in between is not counted. A process restarted in between counts from zero.
[[nodiscard]] Load load_between(const std::string& name, const Snapshot& before, const Snapshot& after);
/// The sum of all loads divided by `divisor`.
[[nodiscard]] Load summed(const std::vector<Load>& loads, double divisor);
/// The median of each field by itself.
[[nodiscard]] Load median_load(const std::vector<Load>& loads);
/// What an event cost: `spent` over `span_s`, less what the idle mesh (`idle` over `idle_s`) spends in that
/// time. Memory and connections stay as they are.
[[nodiscard]] Roles cost_beyond_idle(Roles spent, double span_s, const Roles& idle, double idle_s);

}  // namespace martenford::scale_test
