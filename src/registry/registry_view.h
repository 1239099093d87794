// A proxy's merged view of the registries of several controllers.
//
// Each controller hears the proxies for itself, so their registries differ: one may be cut off, freshly
// started or late. The view keeps for each node the newest registration, and by which controllers it is known
// and regarded as expired. A node is expired only if all controllers that know it agree. A node is forgotten
// only if the last controller that knows it says that it was removed; losing contact with a controller, or a
// snapshot of one that has just started, forgets nothing. A proxy that reaches no controller goes on with
// what it had.
//
// Pure: no I/O and no clock. Not thread safe; one event loop owns it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/scheduler.h"
#include "registry/registration.h"

namespace martenford::registry {

class RegistryView {
  public:
    struct Entry {
        ProxyRegistration registration;    ///< the newest; its own `lease_expired` is one controller's alone
        std::set<std::string> expired_at;  ///< controllers at which the lease has expired; part of known_at
        std::set<std::string> known_at;    ///< controllers that have the node
        Time updated_at{};
        bool lease_expired = false;  ///< at all controllers that know the node
        std::uint64_t previous_incarnation = 0;
    };

    /// Merges what a controller reported. Returns the nodes that changed, were added or were removed, perhaps
    /// one twice.
    [[nodiscard]] std::vector<std::string> apply(Time now, const std::string& controller,
                                                 const RegistryDelta& delta);

    /// Contact with a controller is lost: whether a lease has expired is decided by the others. Entries that
    /// it alone knows stay as they are. Returns the nodes that changed.
    [[nodiscard]] std::vector<std::string> remove_controller(const std::string& controller);

    /// By node.
    [[nodiscard]] const std::map<std::string, Entry>& entries() const { return entries_; }

  private:
    bool merge(Time now, const std::string& controller, const ProxyRegistration& registration);
    bool forget(const std::string& controller, const std::string& node);
    [[nodiscard]] std::vector<std::string> missing_in_snapshot(const std::string& controller,
                                                               const RegistryDelta& snapshot) const;
    static bool update_expiry(Entry& entry);

    std::map<std::string, Entry> entries_;
};

}  // namespace martenford::registry
