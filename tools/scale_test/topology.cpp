#include "topology.h"

#include <algorithm>

namespace martenford::scale_test {

namespace {

/// With more, the worker's processor core would be the limit and not the controller's.
constexpr std::size_t kMaxProxiesPerWorker = 200;
/// Addresses used of each /24, from .1 on.
constexpr std::size_t kAddressesPerSubnet = 250;

}  // namespace

std::string controller_ip(std::string_view net, std::size_t index) {
    return std::string(net) + ".0." + std::to_string(index + 1);
}

std::string simulated_proxy_ip(std::string_view net, std::size_t index) {
    return std::string(net) + "." + std::to_string(1 + index / kAddressesPerSubnet) + "." +
           std::to_string(1 + index % kAddressesPerSubnet);
}

std::string real_proxy_ip(std::string_view net, std::size_t index) {
    return std::string(net) + ".100." + std::to_string(1 + index);
}

std::string zone_name(std::size_t index) {
    return "zone-" + std::to_string(index % kZones);
}

std::size_t worker_count(std::size_t proxies, bool own_process) {
    if (own_process) return proxies;
    const std::size_t rounded = (proxies / kMaxProxiesPerWorker + kZones - 1) / kZones * kZones;
    return std::min(proxies, std::max(kZones, rounded));
}

}  // namespace martenford::scale_test
