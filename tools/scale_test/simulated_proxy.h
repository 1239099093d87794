// A simulated proxy: the control plane side of a proxy, without requests. Its parts are those of the real
// proxy (ControllerClient, registry view, upstream table, quotas, routes); its endpoint exists only as a
// registration. docs/CAPACITY.md compares what simulated and real proxies cost a controller.
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

/// State of one proxy in memory shared with the measuring process; only the proxy's process writes it.
struct Gauge {
    std::atomic<std::uint32_t> version = 0;           ///< of the configuration in force
    std::atomic<std::int64_t> in_force_since_ns = 0;  ///< since when: steady clock, ns
    std::atomic<std::uint32_t> live = 0;      ///< proxies in its registry view whose lease has not expired
    std::atomic<std::uint32_t> in_touch = 0;  ///< controllers that report quorum contact
};

/// Runs on the loop's thread.
class SimulatedProxy : private proxy::ControllerObserver {
  public:
    struct Options {
        std::string node, inbound_address, service, zone;
        std::vector<Address> controllers;  ///< the seeds' internal addresses
        Duration first_tick{};  ///< delay; differs, so that the proxies of a process don't tick together
    };
    SimulatedProxy(EventLoop& loop, const Options& options, Gauge& gauge);
    /// Registers that the endpoint has ended.
    void end_endpoint();
    /// Registers a new endpoint as ready.
    void replace_endpoint();
    /// The version of the configuration in force; 0: none.
    [[nodiscard]] std::uint32_t version() const { return controllers_.config_version(); }

  private:
    [[nodiscard]] const registry::ProxyRegistration& registration() const override { return registration_; }
    [[nodiscard]] std::vector<quota::QuotaDemand> measure_quota_demands(Time now) override;
    void on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases, Time requested_at) override;
    void on_registry_changed(const std::vector<std::string>& nodes) override;
    void on_config(std::uint32_t version, const std::string& document) override;
    void on_quorum_contact_changed(bool) override {}
    [[nodiscard]] bool is_seed(const std::string& address) const;
    void tick();

    EventLoop& loop_;
    const Options options_;
    Gauge& gauge_;
    outbound::UpstreamTable upstream_table_;
    outbound::OutboundPolicy outbound_policy_;
    quota::QuotaLimiter quota_limiter_;
    std::shared_ptr<const mesh_config::RouteTable> routes_;
    std::set<std::string> expired_;  // nodes whose lease has expired
    registry::ProxyRegistration registration_;
    std::uint32_t endpoints_ = 0;  // started so far; numbers their instance ids
    proxy::ControllerClient controllers_;
    Timer ticker_;
};

}  // namespace martenford::scale_test
