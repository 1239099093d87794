// The data plane's process: a proxy beside one endpoint. Forwards its clients' requests to the proxies of
// other endpoints (outbound), and admits what other proxies send to its own endpoint (inbound). Composes
// the classes of this folder; each decision is in one of them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bootstrap/program.h"
#include "bootstrap/settings.h"
#include "control_api/control_api.h"
#include "core/counters.h"
#include "core/loop.h"
#include "proxy/controller_client.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/local_endpoint.h"
#include "proxy/traffic.h"

namespace martenford::proxy {

/// The sockets of `listen_addrs`, each listening.
struct ProxySockets {
    ListeningSocket outbound;
    ListeningSocket inbound;
    ListeningSocket control;
    ListeningSocket readiness;
};

class Proxy : private ControllerObserver {
  public:
    /// Serves on the sockets and connects to the seeds. The settings outlive it and must have the `inbound`,
    /// `outbound`, `readiness` and `control` addresses.
    Proxy(const bootstrap::Settings& settings, ProxySockets sockets);
    /// Returns once SIGTERM or SIGINT has ended it gracefully.
    void run() { loop_.run(); }

  private:
    [[nodiscard]] const registry::ProxyRegistration& registration() const override;
    [[nodiscard]] std::vector<quota::QuotaDemand> measure_quota_demands(Time now) override;
    void on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases, Time requested_at) override;
    void on_registry_changed(const std::vector<std::string>& nodes) override;
    void on_config(std::uint32_t version, const std::string& document) override;
    void on_quorum_contact_changed(bool has_contact) override;

    [[nodiscard]] std::map<control_api::CallName, control_api::Handler> endpoint_calls();
    [[nodiscard]] std::map<control_api::CallName, control_api::Handler> readiness_calls();
    void connect_seeds(const bootstrap::Settings& settings);
    void tick();

    const bootstrap::Settings& settings_;
    EventLoop loop_;
    Counters control_counters_, readiness_counters_;
    const std::uint64_t incarnation_;
    OutboundTraffic outbound_;
    InboundTraffic inbound_;
    control_api::ApiServer control_server_, readiness_server_;
    bootstrap::ProcessSignals signals_;
    Timer ticker_;
    LocalEndpoint local_endpoint_;
    ControllerClient controllers_;
    GracefulShutdown shutdown_;
    Time totals_logged_at_{};
};

}  // namespace martenford::proxy
