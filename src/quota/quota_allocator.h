// The controller's side of the quota scheme (see quota.h): divides each tenant's rate among the proxies.
//
// Every controller takes the proxies' reports, only the leader allocates. A new leader therefore already
// knows the demand; what its predecessor granted it learns from the proxies, which report the leases that
// they hold, and how many proxies there are. A controller that has just started has heard few of them: it
// reserves a share for each of the others, and raises nobody's share until it has heard all or until the
// leases of its predecessor have expired.
//
// The invariant: for each tenant, the sum of what all proxies may use at any time stays at or below the rate.
// Proxies do not confirm leases by a message of their own, so a share is reckoned at the larger of the old
// and the new rate until the proxy acknowledges the response, or until the old lease expires.
//
// Pure: no I/O and no clock, the caller passes the steady time. Not thread safe; one event loop owns it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/scheduler.h"
#include "quota/quota_types.h"

namespace martenford::quota {

class QuotaAllocator {
  public:
    struct Options {
        /// Lifetime of a lease. Outlasts an election and a round of heartbeats, so that a change of leader
        /// does not send every proxy to its fallback. Cost: the share of a proxy that crashed is unused for
        /// as long.
        Duration lease = 2600ms;
        /// After an election, for this long no share is raised above what the proxy reports to hold: the
        /// predecessor's leases become known by those reports. Where a proxy has not been heard, this goes on
        /// for `lease`, after which no lease of the predecessor is valid. Cost: a rise in demand waits as
        /// long.
        Duration settle_after_election = 200ms;
        /// The same, counted from the first report that this controller ever got. Covers one that becomes the
        /// leader just after its own start. Cost: as above.
        Duration min_listening_time = 300ms;
        /// A proxy that has not reported a tenant for this long has no part in the division. Cost: until then
        /// it counts, with at least kMinDemandShare of the quota.
        Duration forget_after = 4s;

        // The platform's rule: in any `window` a tenant gets at most
        //     (rate x window + burst) x (1 + overshoot) + slack requests.
        Duration window = 5s;
        double overshoot = 0.1;  ///< fraction
        double slack = 20;       ///< requests

        /// Fraction of an even split that is reserved for each proxy that is known and whose heartbeats do
        /// not come: it may be cut off and serve on by its fallback. At least
        /// QuotaLimiter::FallbackShare::after_lease. Cost: as much of the rate is not available to the
        /// others.
        double unheard_share = 0.8;
        /// For this long after the first report a proxy counts as known if another one has reported it, even
        /// if it never was heard here. At least QuotaLimiter::FallbackShare::after_lease_for. Cost: a share
        /// stays reserved for proxies that have ended together with the controllers.
        Duration reserve_reported_for = 20s;
        /// Fraction of what the rule allows beyond rate and burst that is given out as additional burst.
        /// Cost: the rest is the margin for proxies on their fallback and for chance.
        double usable_slack = 0.7;
    };
    explicit QuotaAllocator(const Options& options) : options_(options) {}

    /// Takes a proxy's report. `proxy` names its process (node and incarnation), `acknowledged` is the number
    /// of the last response of this allocator that the proxy has applied (0: none). Tenants that are not in
    /// `demands` have no demand at this proxy any more. `known_proxies`: how many the proxy knows to exist
    /// (0: it does not say).
    void report_demand(Time now, const std::string& proxy, std::uint64_t acknowledged,
                       const std::vector<QuotaDemand>& demands, std::size_t known_proxies);

    /// The number of the response that allocate() returned last. To be sent along with it.
    [[nodiscard]] std::uint64_t response_number() const { return response_number_; }

    /// The leader's response to a report: a lease for each tenant that the proxy reported, is limited by
    /// `quotas`, and has something left. Starts a new response number.
    /// `leading_since`: when this controller became the leader. `registered`: how many proxies the registry
    /// knows, among them `expired` whose registry leases have expired.
    [[nodiscard]] std::vector<QuotaLease> allocate(Time now, Time leading_since, const std::string& proxy,
                                                   const std::map<std::string, Quota>& quotas,
                                                   std::size_t registered, std::size_t expired);

  private:
    /// One proxy's part of one tenant. Rates in requests per second.
    struct Share {
        double wanted_rate = 0;       // reported, with headroom
        double outstanding_rate = 0;  // the most that the proxy may use until `expires_at`
        double granted_rate = 0;      // in the response `response_number`
        std::uint64_t response_number = 0;
        Time expires_at{};
        Time reported_at{};
    };
    using Shares = std::map<std::string, Share>;  // by proxy

    /// Sums over the proxies of one tenant. Rates in requests per second.
    struct TenantTotals {
        double wanted_rate = 0;            // of those that reported lately
        double outstanding_elsewhere = 0;  // valid leases of all but the one that asks
        std::size_t active_proxies = 0;    // that reported lately
    };

    /// The proxies that serve or may serve, whether this controller hears them or not.
    struct FleetSize {
        std::size_t known = 0;
        std::size_t unheard = 0;  // among `known`: those whose heartbeats do not come
    };

    static void update_share(Time now, Share& share, std::uint64_t acknowledged, const QuotaDemand& demand);
    void forget_inactive(Time now);
    [[nodiscard]] FleetSize fleet_size(Time now, std::size_t registered, std::size_t expired) const;
    [[nodiscard]] bool has_settled(Time now, Time leading_since, const FleetSize& fleet) const;
    [[nodiscard]] Quota available_quota(const Quota& quota, const FleetSize& fleet) const;
    [[nodiscard]] TenantTotals totals(Time now, const Shares& shares, const std::string& proxy,
                                      const Quota& available) const;
    [[nodiscard]] double burst_for(double rate, const Quota& available, std::size_t active_proxies) const;
    [[nodiscard]] Share* find_share(const std::string& tenant, const std::string& proxy);
    [[nodiscard]] static double leased_rate(Time now, const Share& share);
    [[nodiscard]] static double grantable_rate(Time now, const Share& share, const TenantTotals& total,
                                               const Quota& available, bool settled);
    void grant(Time now, Share& share, double rate) const;

    Options options_;
    std::uint64_t response_number_ = 0;
    Time listening_since_{};
    std::size_t reported_proxies_ = 0;  // the most that any proxy has reported to know
    std::map<std::string, Shares> shares_by_tenant_;
};

}  // namespace martenford::quota
