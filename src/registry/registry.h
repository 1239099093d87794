// Who is there: proxies and the endpoints beside them. Soft state: each proxy tells its own place again and
// again, under a lease; a controller keeps the registry and tells what changed; a proxy reads them from
// several controllers. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduler.h"

namespace martenford::registry {

enum class EndpointState : std::uint8_t { Absent, Ready, Draining };  ///< of the endpoint beside a proxy

/// A proxy and the endpoint beside it, as the proxy tells it.
struct ProxyRegistration {
    std::string node;               ///< the proxy's machine, by name
    std::uint64_t incarnation = 0;  ///< drawn at each start of the proxy
    std::uint64_t seq = 0;          ///< rises with each change within a life
    std::string inbound_address;    ///< "ip:port" where other proxies bring requests
    std::string service, zone;
    std::string instance_id;  ///< the endpoint's id; empty: none is known
    EndpointState state = EndpointState::Absent;
    std::uint32_t slots = 0;
    std::uint32_t cold_left_ms = 0;  ///< when it was told
    bool lease_expired = false;      ///< its lease has run out: set by the controller that tells it
};

/// What has changed since a reader last asked.
struct RegistryDelta {
    std::uint64_t epoch = 0;  ///< of the controller's life; another one: `places` are all there are
    std::uint64_t seq = 0;
    bool is_snapshot = false;
    std::vector<ProxyRegistration> registrations;
    std::vector<std::string> removed_nodes;  ///< nodes
};

/// The registry of one controller.
class Registry {
  public:
    struct Options {
        Duration lease = 1600ms;          ///< a proxy that hasn't told for so long is silent
        Duration remove_after = 20s;      ///< and after this long it is gone
        std::size_t max_proxies = 20000;  ///< places; more are refused, and counted
    };
    Registry(std::uint64_t epoch, const Options& options) : epoch_(epoch), options_(options) {}

    /// True where something changed that readers are to hear of.
    bool renew_lease(Time now, const ProxyRegistration& place);
    /// Leases that have run out. True as above.
    bool tick(Time now);
    /// What a reader that has `seq` of `epoch` lacks.
    RegistryDelta delta_since(std::uint64_t epoch, std::uint64_t seq) const;
    std::uint64_t seq() const { return seq_; }
    std::uint64_t epoch() const { return epoch_; }
    /// Proxies heard of within their lease.
    std::size_t live_count() const;
    std::size_t size() const { return leases_.size(); }
    std::uint64_t rejected_count() const { return rejected_count_; }
    template <class F>
    void for_each(F&& f) const {
        for (const auto& [node, held] : leases_) f(held.registration);
    }

  private:
    struct Lease {
        ProxyRegistration registration;
        Time renewed_at{};
        std::uint64_t changed_at_seq = 0;  // our seq when it last did
        std::uint64_t previous_incarnation = 0;
    };
    void mark_changed(Lease& held);

    const std::uint64_t epoch_;
    Options options_;
    std::uint64_t seq_ = 1;
    std::uint64_t rejected_count_ = 0;
    std::map<std::string, Lease> leases_;
    std::map<std::uint64_t, std::string>
        removed_by_seq_;  // by seq; the oldest are dropped: then readers get all
    std::uint64_t removals_forgotten_up_to_ = 0;
    Time last_tick_{};
};

/// The registry as a proxy has them from several controllers.
class RegistryView {
  public:
    struct Entry {
        ProxyRegistration registration;
        std::set<std::string> expired_at;  ///< controllers that have it as silent
        std::set<std::string> known_at;
        Time updated_at{};
        bool lease_expired = false;  ///< all that know it say so
        std::uint64_t previous_incarnation = 0;
    };
    /// News from a controller. Gives the nodes that changed.
    std::vector<std::string> apply(Time now, const std::string& controller, const RegistryDelta& news);
    /// A controller that isn't heard any more has no say on who is silent.
    std::vector<std::string> remove_controller(const std::string& controller);
    const std::map<std::string, Entry>& entries() const { return entries_; }

  private:
    bool update_expiry(Entry& known);
    std::map<std::string, Entry> entries_;
};

}  // namespace martenford::registry
