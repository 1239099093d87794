// A simulated node: the control side of a proxy without its requests. The objects are the proxy's own
// (registry, upstreams, quotas, routes, the rpc's connections); what joins them follows src/proxy/proxy.cpp,
// and a run of both side by side shows whether it still does (docs/CAPACITY.md).
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/loop.h"
#include "mesh_config/mesh_config.h"
#include "outbound/outbound_policy.h"
#include "outbound/upstream_table.h"
#include "proxy/config_version_gate.h"
#include "quota/quota.h"
#include "registry/registry.h"
#include "rpc/channel.h"

namespace martenford::scale_test {

/// What one proxy shows to the process that measures. Written by its own process alone.
struct Gauge {
    std::atomic<std::uint32_t> version = 0;      ///< that it serves by
    std::atomic<std::int64_t> served_at_ns = 0;  ///< since when, by the steady clock
    std::atomic<std::uint32_t> live = 0;         ///< places that it knows and that aren't silent
    std::atomic<std::uint32_t> in_touch = 0;     ///< controllers that say that they hear the leader
};

class SimulatedProxy {
  public:
    struct Options {
        std::string node, gate, service, zone;
        std::vector<Address> controllers;  ///< the seeds' own addresses
        Duration first_tick{};             ///< so that many in one process don't tick together
    };
    SimulatedProxy(Loop& loop, const Options& options, Gauge& gauge);
    /// The endpoint beside it ends; another is there from replace() on.
    void end_endpoint();
    void replace_endpoint();
    std::uint32_t version() const { return version_; }

  private:
    struct Controller {
        std::unique_ptr<rpc::ReconnectingClient> client;
        std::uint64_t epoch = 0, seq = 0, taken = 0;
        std::uint32_t passed_over = 0;  // a version that it offered and that was not taken
        bool in_touch = false, wants = false;
        Time answered{}, named{};
    };
    void dial(const std::string& address);
    void lost(const std::string& address);
    void poll(Controller& controller);
    void announce_to(Controller& controller);
    void announce();
    void heard(const std::string& address, rpc::Message&& message);
    void serve(std::uint32_t version, const std::string& document);
    void apply(const std::vector<std::string>& nodes);
    void tick();
    void show_touch();

    Loop& loop_;
    const Options options_;
    Gauge& gauge_;
    std::map<std::string, Controller> controllers_;
    registry::RegistryView view_;
    outbound::UpstreamTable upstream_table_;
    outbound::OutboundPolicy outbound_policy_;
    quota::QuotaLimiter quota_limiter_;
    std::shared_ptr<const mesh_config::RouteTable> routes_;
    std::vector<quota::QuotaDemand> demands_;
    std::set<std::string> silent_;
    registry::ProxyRegistration registration_;
    std::uint32_t version_ = 0, endpoints_ = 0;
    Time announced_{}, demanded_{};
    proxy::ConfigVersionGate version_gate_;
    bool asking_again_ = false;
    Timer ticker_, intake_timer_;
};

}  // namespace martenford::scale_test
