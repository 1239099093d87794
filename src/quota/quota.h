// Quotas of tenants, as leases: the leader of the core grants each proxy a share of a tenant's rate by what
// it is asked for, so that the shares never sum up to more than the rate, whoever stands still, is cut off or
// restarts. A proxy that nobody tells anything falls to a small floor. Pure; the steady clock alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduler.h"

namespace martenford::quota {

/// What a proxy tells of one tenant.
struct QuotaDemand {
    std::string tenant;
    double rate_per_s = 0;                 ///< requests a second that were asked of it lately
    double leased_rate_per_s = 0;          ///< requests a second that its lease allows it now
    std::uint32_t lease_remaining_ms = 0;  ///< for how much longer
};

struct QuotaLease {
    std::string tenant;
    double rate_per_s = 0;
    double burst = 0;  ///< requests at once on top
    std::uint32_t lease_ms = 0;
};

/// What a tenant may do over all proxies.
struct Quota {
    double rate_per_s = 0;
    double burst = 0;
};

/// The granting side. Every controller hears the demands; the leader alone grants.
class QuotaAllocator {
  public:
    struct Options {
        Duration lease = 2600ms;  ///< outlasts an election and a round of announcements
        // A new leader raises nothing at first. What the last one granted it knows from the proxies that hear
        // both; the lease of one that hears it alone is a share of a rate, runs out soon, and is within the
        // rule's slack.
        Duration settle_after_election = 200ms;  ///< from when it leads
        Duration min_listening_time = 300ms;     ///< from when it first heard a proxy
        Duration forget_after = 4s;              ///< a proxy that hasn't asked for so long has no share
        // The rule's figures: in any window a tenant may have (rate x window + burst) x (1 + overshoot) +
        // slack.
        Duration window = 5s;
        double overshoot = 0.1, slack = 20;
        double unheard_share = 0.8;  ///< of an even share, for a proxy that is known and not heard
        double usable_slack =
            0.7;  ///< of what the rule allows beyond the quota; the rest is for floors and chance
    };
    explicit QuotaAllocator(const Options& options) : options_(options) {}

    /// What a proxy (by node and life) tells; heard by every controller. `taken` is the number of the last
    /// answer of this allocator that it has taken in.
    void report_demand(Time now, const std::string& proxy, std::uint64_t taken,
                       const std::vector<QuotaDemand>& demands);
    /// The number of the answer that grant() gives next or gave last.
    std::uint64_t response_number() const { return response_number_; }
    /// The leader's answer to it: shares for what it asked for.
    /// `proxies` are known, of which `silent` were not heard within their lease: for those an even share is
    /// kept, since they may be cut off and serve on by it.
    std::vector<QuotaLease> allocate(Time now, Time leading_since, const std::string& proxy,
                                     const std::map<std::string, Quota>& quotas, std::size_t proxies,
                                     std::size_t silent);

  private:
    struct Share {
        double wanted_rate = 0;
        double outstanding_rate = 0;  // the most that it may hold until `until`
        double granted_rate = 0;      // last, in the answer of this number
        std::uint64_t response_number = 0;
        Time expires_at{};
        Time reported_at{};
    };
    Options options_;
    std::uint64_t response_number_ = 0;
    Time listening_since_{};
    std::map<std::string, std::map<std::string, Share>> shares_by_tenant_;  // tenant, proxy
};

/// The proxy's side: one bucket a tenant.
class QuotaLimiter {
  public:
    /// Of a proxy that has no lease: a part of an even share, small enough that as many as may be cut off at
    /// once stay within the rule's overshoot beside the others' leases.
    struct FallbackShare {
        double after_lease =
            0.8;  ///< for `keep` after its last lease: the allocator keeps as much for those that it knows
        Duration after_lease_for = 14s;  ///< shorter than the registry remember a proxy that is not heard
        double otherwise = 0.25;         ///< later, and before its first lease
        double min_burst = 1;            ///< at least
    };
    explicit QuotaLimiter(const FallbackShare& floor) : fallback_(floor) {}
    /// Whether a request of this tenant may be taken now; counts it as asked for. `proxies`: how many there
    /// are, as far as is known. A quota of 0 is no limit.
    bool admit(Time now, const std::string& tenant, const Quota& quota, std::size_t proxies);
    /// `asked`: when the question was sent that this answers. A lease counts from then, so that one that is
    /// read late, after a freeze or a jam, ends when its allocator holds it for ended.
    void apply_leases(Time now, const std::vector<QuotaLease>& grants, Time asked);
    /// To be told: of each tenant that has a quota, whether it asked or not.
    std::vector<QuotaDemand> demands(Time now, const std::vector<std::string>& tenants);
    /// When a tenant that is refused now may be taken again.
    Duration time_until_next(Time now, const std::string& tenant);

  private:
    struct Bucket {
        double tokens = 0, leased_rate = 0, leased_burst = 0;
        Time refilled_at{}, lease_expires_at{};
        double requests_since_report = 0;  // since the last demands()
        double smoothed_rate = 0;          // smoothed
        Time last_used_at{};
        double fallback_rate = 0, fallback_burst = 1;
    };
    void refill(Time now, Bucket& bucket);
    FallbackShare fallback_;
    Time reported_at_{};
    std::unordered_map<std::string, Bucket> buckets_;
};

}  // namespace martenford::quota
