// The endpoint beside this proxy: what its heartbeats, its health check and the attempts sent to it say about
// it. Keeps the connections to it (EndpointTable), the admission controller and the proxy's registration
// current. Does no I/O of its own; all calls are made on the proxy's loop.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "admission/admission_controller.h"
#include "control_api/control_api.h"
#include "core/address.h"
#include "core/endpoint_client.h"
#include "core/endpoint_table.h"
#include "core/scheduler.h"
#include "proxy/heartbeat.h"
#include "registry/registry.h"

namespace martenford::proxy {

/// Why an endpoint is no longer registered.
enum class EndpointRemoval { Deregistered, Unreachable, MissedHeartbeats, ShuttingDown };

class LocalEndpoint {
  public:
    struct Options {
        Duration heartbeat_interval{};         ///< as endpoints are configured to send them
        std::optional<Address> probe_address;  ///< of the endpoint's health check; none: no probe at start
        registry::ProxyRegistration identity;  ///< of this proxy, without an endpoint
    };
    /// What it acts on. Outlives it.
    struct Dependencies {
        Scheduler& scheduler;
        EndpointTable& placement;  ///< of the connections to the endpoint
        EndpointClient& back;      ///< for health probes
        admission::AdmissionController& admission;
        /// The registration has changed in a field that other proxies use; its `seq` has risen.
        std::function<void()> on_registration_changed;
    };
    LocalEndpoint(Options options, Dependencies dependencies);

    /// The proxy and its endpoint, as controllers are to register them.
    [[nodiscard]] const registry::ProxyRegistration& registration() const { return registration_; }

    /// A heartbeat of the instance `call.id`. Returns 400 with the reason if it is malformed, else 200: also
    /// for one that is ignored because it is out of order, of a past instance, or of an instance that is new
    /// after begin_shutdown().
    [[nodiscard]] control_api::Response handle_heartbeat(const control_api::Call& call);
    /// The instance `call.id` ends. Returns 200 in any case.
    [[nodiscard]] control_api::Response handle_deregister(const control_api::Call& call);

    /// Sends a health probe unless an endpoint is known or has ever sent a heartbeat. A proxy that has just
    /// started needs not wait for the next heartbeat of an endpoint that runs already. Failed probes are
    /// repeated, kMaxHealthProbes in all.
    void probe_if_unknown();
    /// An attempt at the endpoint has ended. Connection failures in a row remove the endpoint.
    void handle_attempt_end(decision::Status status);
    /// Removes an endpoint whose heartbeats are missing. Called at least every 100 ms.
    void check_heartbeats();
    /// The proxy shuts down: the present endpoint is used for `remove_after` more, and no other is accepted.
    void begin_shutdown(Duration remove_after);

  private:
    /// Returns false if the heartbeat of another instance than the present one is to be ignored.
    [[nodiscard]] bool accept_instance(const control_api::Call& call, const Address& address);
    void apply(const std::string& instance_id, const Heartbeat& heartbeat);
    void handle_probe_result(EndpointId id, const Result& result);
    void adopt_probed(EndpointId id, std::string instance_id);
    void remove(EndpointRemoval reason);
    void remember_past_instance(const std::string& instance_id);
    void publish_change();

    const Options options_;
    Dependencies dependencies_;
    registry::ProxyRegistration registration_;
    EndpointId endpoint_id_{};
    std::uint32_t last_endpoint_id_ = 0;
    std::int64_t last_sequence_number_ = -1;  // of the present instance's heartbeats; -1: none yet
    Time last_heartbeat_at_{};
    int connect_failures_ = 0;  // in a row
    int probes_sent_ = 0;
    bool shutting_down_ = false;
    std::set<std::string> past_instances_;
    std::deque<std::string> past_instances_by_age_;  // the oldest first
    Timer timer_;                                    // the next probe, or the removal at shutdown
};

}  // namespace martenford::proxy
