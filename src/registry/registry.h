// The registry of one controller: which proxies are present and what they report of their endpoints.
//
// Soft state under leases: nothing is stored, each proxy repeats its registration in every heartbeat, and
// each controller keeps its own registry of the heartbeats that it receives. Two steps follow when heartbeats
// stop:
//   1. after `lease` the entry is marked expired, and readers use the proxy only as a last resort;
//   2. after `remove_after` the entry is removed.
// Readers (proxies, see registry_view.h) poll with the epoch and sequence number that they have, and get a
// delta or, where that is not possible, a snapshot.
//
// Pure: no I/O and no clock, the caller passes the steady time. Not thread safe; one event loop owns it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "core/scheduler.h"
#include "registry/registration.h"
#include "registry/registry_view.h"  // for those that include registry.h alone

namespace martenford::registry {

class Registry {
  public:
    struct Options {
        /// Without a heartbeat for this long an entry is marked expired. Proxies send one every 500 ms:
        /// two may get lost.
        Duration lease = 1600ms;
        /// Without a heartbeat for this long an entry is removed. Longer than a proxy goes on by its quota's
        /// fallback (QuotaLimiter::FallbackShare::after_lease_for, 14 s), so that its share stays reserved.
        Duration remove_after = 20s;
        /// Entries; registrations beyond are rejected and counted. Bounds the memory.
        std::size_t max_proxies = 20000;
    };
    /// `epoch`: random number, drawn at each start of the controller's process.
    Registry(std::uint64_t epoch, const Options& options) : epoch_(epoch), options_(options) {}

    /// Takes a heartbeat and renews the proxy's lease. Passes over what is outdated: an earlier incarnation,
    /// or a lower sequence number of the same one. Rejects, and counts, names over the length limit and
    /// proxies beyond `max_proxies`. Returns true if `seq()` rose, so that waiting readers are to be
    /// answered.
    bool renew_lease(Time now, const ProxyRegistration& registration);

    /// Marks entries whose lease has run out and removes old ones; call it every 100 ms or so. If it was not
    /// called for longer than 700 ms, this process was suspended and could not read heartbeats: every
    /// lease then gets at least half its length from now on.
    /// Returns true if `seq()` rose, as above.
    bool tick(Time now);

    /// What a reader lacks that has everything up to `seq` of `epoch`. A snapshot if the epoch is another one
    /// (the controller restarted), if `seq` is in the future, or if it is older than the remembered removals.
    [[nodiscard]] RegistryDelta delta_since(std::uint64_t epoch, std::uint64_t seq) const;

    /// Sequence number of the last change, of whichever entry.
    [[nodiscard]] std::uint64_t seq() const { return seq_; }
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    /// Entries whose lease has not expired.
    [[nodiscard]] std::size_t live_count() const;
    /// All entries, expired ones as well.
    [[nodiscard]] std::size_t size() const { return leases_.size(); }
    /// Registrations rejected since the start, by the length of a name or by `max_proxies`.
    [[nodiscard]] std::uint64_t rejected_count() const { return rejected_count_; }

    /// Calls `visit` with each registration, in order of node names.
    template <class F>
    void for_each(F&& visit) const {
        for (const auto& [node, lease] : leases_) visit(lease.registration);
    }

  private:
    struct Lease {
        ProxyRegistration registration;
        Time renewed_at{};
        std::uint64_t changed_at_seq = 0;  // the registry's seq_ at the last change of this entry
        std::uint64_t previous_incarnation = 0;
    };
    bool add(Time now, const ProxyRegistration& registration);
    void mark_changed(Lease& lease);
    void forgive_suspension(Time now);
    void trim_removals();

    const std::uint64_t epoch_;
    Options options_;
    std::uint64_t seq_ = 1;
    std::uint64_t rejected_count_ = 0;
    std::map<std::string, Lease> leases_;  // by node
    // Node by the sequence number of its removal. The oldest are dropped; a reader that is further behind
    // gets a snapshot.
    std::map<std::uint64_t, std::string> removed_by_seq_;
    std::uint64_t removals_forgotten_up_to_ = 0;
    Time last_tick_{};
};

}  // namespace martenford::registry
