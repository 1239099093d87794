// The processes of one step: how many there are, and their loopback addresses, ports, zones and names.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "figures.h"

namespace martenford::scale_test {

constexpr std::size_t kZones = 5;     ///< zones of the target deployment
constexpr std::size_t kMaxSeeds = 3;  ///< controllers that a node's settings list; it learns of the others
/// TCP port of each process's control API; below 32768, where Linux's ephemeral ports begin.
constexpr int kControlPort = 21700;
constexpr int kInternalPort = kControlPort + 8;  ///< TCP port between the mesh's own processes

/// The size of one step.
struct StepSize {
    std::size_t proxies = 0;      ///< simulated ones
    std::size_t real = 0;         ///< real proxies beside them
    std::size_t controllers = 3;  ///< all of them vote
    ConfigSize config;            ///< of the configuration
};

/// Addresses below `net`, the first half of a loopback address ("127.77").
std::string controller_ip(std::string_view net, std::size_t index);
std::string simulated_proxy_ip(std::string_view net, std::size_t index);
std::string real_proxy_ip(std::string_view net, std::size_t index);
std::string zone_name(std::size_t index);

/// Number of worker processes for `proxies` simulated proxies: one each if `own_process`. Else a multiple of
/// kZones where there are that many proxies, so that each worker's proxies are of one zone.
std::size_t worker_count(std::size_t proxies, bool own_process);

}  // namespace martenford::scale_test
