// A simulated node: the control side of a proxy without its requests. The objects are the proxy's own
// (ControllerClient, registry view, upstream table, quotas, routes); its endpoint is a registration alone. A
// run of simulated and real proxies side by side shows whether both cost a controller the same
// (docs/CAPACITY.md).
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/loop.h"
#include "mesh_config/mesh_config.h"
#include "outbound/outbound_policy.h"
#include "outbound/upstream_table.h"
#include "proxy/controller_client.h"
#include "quota/quota.h"
#include "registry/registry.h"

namespace martenford::scale_test {

/// What one proxy shows to the process that measures. Written by its own process alone.
struct Gauge {
    std::atomic<std::uint32_t> version = 0;      ///< of the configuration in force
    std::atomic<std::int64_t> served_at_ns = 0;  ///< since when, by the steady clock
    std::atomic<std::uint32_t> live = 0;         ///< proxies that it knows and whose lease has not expired
    std::atomic<std::uint32_t> in_touch = 0;     ///< controllers that say that they have quorum contact
};

class SimulatedProxy : private proxy::ControllerObserver {
  public:
    struct Options {
        std::string node, gate, service, zone;
        std::vector<Address> controllers;  ///< the seeds' own addresses
        Duration first_tick{};             ///< so that many in one process don't tick together
    };
    SimulatedProxy(Loop& loop, const Options& options, Gauge& gauge);
    /// The endpoint beside it ends; another is there from replace_endpoint() on.
    void end_endpoint();
    void replace_endpoint();
    std::uint32_t version() const { return controllers_.config_version(); }

  private:
    [[nodiscard]] const registry::ProxyRegistration& registration() const override { return registration_; }
    [[nodiscard]] std::vector<quota::QuotaDemand> measure_quota_demands(Time now) override;
    void on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases, Time requested_at) override;
    void on_registry_changed(const std::vector<std::string>& nodes) override;
    void on_config(std::uint32_t version, const std::string& document) override;
    void on_quorum_contact_changed(bool) override {}
    [[nodiscard]] bool is_seed(const std::string& address) const;
    void tick();

    Loop& loop_;
    const Options options_;
    Gauge& gauge_;
    outbound::UpstreamTable upstream_table_;
    outbound::OutboundPolicy outbound_policy_;
    quota::QuotaLimiter quota_limiter_;
    std::shared_ptr<const mesh_config::RouteTable> routes_;
    std::set<std::string> expired_;  // nodes whose lease has expired
    registry::ProxyRegistration registration_;
    std::uint32_t endpoints_ = 0;  // that there were
    proxy::ControllerClient controllers_;
    Timer ticker_;
};

}  // namespace martenford::scale_test
