// A proxy's links to the controllers. Registers the proxy with every controller, follows registry and
// configuration by long polls, and decides which configuration version to fetch and accept. What is done with
// registry, configuration and quota leases is the observer's. All on one loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/loop.h"
#include "proxy/config_version_gate.h"
#include "quota/quota.h"
#include "registry/registry.h"
#include "rpc/channel.h"

namespace martenford::proxy {

/// Period in which an owner calls ControllerClient::tick(): bounds how late its time-outs are noticed.
inline constexpr Duration kTickInterval = 100ms;

/// What a ControllerClient works for. Calls come on the loop, also from within the client's own methods.
class ControllerObserver {
  public:
    virtual ~ControllerObserver() = default;
    /// Returns the proxy's registration, as it is to be sent now.
    [[nodiscard]] virtual const registry::ProxyRegistration& registration() const = 0;
    /// Returns the demand of each rate-limited tenant, and starts a new measurement of it.
    [[nodiscard]] virtual std::vector<quota::QuotaDemand> measure_quota_demands(Time now) = 0;
    /// Leases from the leader. They count from `requested_at`, when the request that they answer was sent.
    virtual void on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases,
                                 Time requested_at) = 0;
    /// A controller has answered a poll, or its connection has ended. `nodes`: those whose entry in the
    /// registry view changed; may be empty.
    virtual void on_registry_changed(const std::vector<std::string>& nodes) = 0;
    /// A configuration to put in force. The observer confirms one that is valid by set_config_version()
    /// before, and register_with_new_demands() after it is in force; otherwise it does neither.
    virtual void on_config(std::uint32_t version, const std::string& document) = 0;
    /// Contact with a quorum of the controllers was lost or restored.
    virtual void on_quorum_contact_changed(bool has_contact) = 0;
};

class ControllerClient {
  public:
    /// Returns true for an address ("ip:port") to which the link is kept however long it is down.
    using IsSeed = std::function<bool(const std::string& address)>;

    /// @param observer outlives the client.
    ControllerClient(EventLoop& loop, IsSeed is_seed, ControllerObserver& observer);

    /// Opens a link to a controller ("ip:port"), unless there is one, the address is malformed or there are
    /// kMaxControllers. The controllers name each other: those named in a response are connected as well.
    void connect(const std::string& address);
    /// Sends the registration to all controllers now. Once every kRegisterInterval this happens anyway.
    void register_now();
    /// The same, with demands measured anew: tenants of a new configuration have no quota lease yet.
    void register_with_new_demands();
    /// The version that is in force here from now on.
    void set_config_version(std::uint32_t version) { config_version_ = version; }
    /// Periodic registration, time-outs and quorum contact. Called every kTickInterval.
    void tick();

    [[nodiscard]] std::uint32_t config_version() const { return config_version_; }
    /// The proxies, as the controllers that are connected have them.
    [[nodiscard]] const registry::RegistryView& view() const { return view_; }
    /// Returns the number of connected controllers whose last response said that they have quorum contact.
    [[nodiscard]] std::size_t quorum_contact_count() const;

  private:
    struct Controller {
        std::unique_ptr<rpc::ReconnectingClient> client;
        std::uint64_t registry_epoch = 0;  // of its registry, as last received
        std::uint64_t registry_seq = 0;    // within the epoch
        // Number of its last RegisterResponse; 0: none on this connection.
        std::uint64_t applied_response = 0;
        bool has_quorum_contact = false;
        bool wants_config = false;                 // the next poll asks for the document
        std::uint32_t postponed_version = 0;       // it offered this one, which is not accepted yet
        Time last_response_at{}, last_named_at{};  // by a seed, a response or itself
    };

    void handle_connected(const std::string& address);
    void handle_disconnected(const std::string& address);
    void handle_message(const std::string& address, rpc::Message&& message);
    void handle_register_response(Controller& controller, const rpc::RegisterResponse& response);
    void handle_watch_response(const std::string& address, Controller& controller,
                               const rpc::WatchResponse& response);
    void send_watch_request(const Controller& controller) const;
    void send_register_request(Controller& controller, const std::vector<quota::QuotaDemand>& demands);
    const std::vector<quota::QuotaDemand>& current_demands();
    void schedule_postponed_polls(Time now);
    /// Returns true if the link is to be closed for good.
    [[nodiscard]] bool is_forgotten(const std::string& address, const Controller& controller, Time now) const;

    EventLoop& loop_;
    const IsSeed is_seed_;
    ControllerObserver& observer_;
    std::map<std::string, Controller> controllers_;  // by "ip:port"
    registry::RegistryView view_;
    std::uint32_t config_version_ = 0;  // in force here; 0: none
    ConfigVersionGate version_gate_;
    std::vector<quota::QuotaDemand> demands_;
    Time registered_at_{}, demands_measured_at_{};
    bool has_quorum_contact_ = false;
    bool postponed_polls_scheduled_ = false;
    Timer postponed_poll_timer_;
};

}  // namespace martenford::proxy
