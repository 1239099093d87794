// The proxy's side of the quota scheme (see quota.h): one token bucket per tenant.
//
// The bucket fills at the leased rate while the lease is valid and at the fallback rate otherwise, and in no
// other way: a lease brings no tokens, since those that it would bring may have been spent under the lease
// before. It holds at most the burst, and admitting a request takes one token.
//
// Pure: no I/O and no clock, the caller passes the steady time. Not thread safe; one event loop owns it.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduler.h"
#include "quota/quota_types.h"

namespace martenford::quota {

class QuotaLimiter {
  public:
    /// What a proxy without a valid lease admits: a fraction of an even split of the tenant's rate and burst
    /// over all proxies. Small enough that as many proxies as may be cut off at once stay, together with the
    /// others' leases, within the platform's rule.
    struct FallbackShare {
        /// Fraction of an even split, for `after_lease_for` after the last lease expired. At most
        /// QuotaAllocator::Options::unheard_share, which reserves it. Cost: none beyond that reservation.
        double after_lease = 0.8;
        /// Shorter than registry::Registry::Options::remove_after (20 s), which ends the reservation. Cost: a
        /// longer one would overrun the tenant's rate, a shorter one serves less in a long partition.
        Duration after_lease_for = 14s;
        /// Fraction of an even split later than that, and before the first lease. Nothing reserves it: it is
        /// covered by the rule's overshoot and slack.
        double otherwise = 0.25;
        /// Requests. Below 1 a tenant with a small quota could never send one.
        double min_burst = 1;
    };
    explicit QuotaLimiter(const FallbackShare& fallback) : fallback_(fallback) {}

    /// Whether a request of this tenant is admitted now. Counts it as demand either way. `proxies`: how many
    /// this proxy knows to exist, itself included. A quota with a rate of 0 is no limit.
    bool admit(Time now, const std::string& tenant, const Quota& quota, std::size_t proxies);

    /// Takes the leader's response to a report that was sent at `requested_at`. Leases count from then, not
    /// from `now`: one that is read late, after a suspension or a congested link, expires here no later than
    /// at the allocator. Leases that have expired by `now` are ignored.
    void apply_leases(Time now, const std::vector<QuotaLease>& leases, Time requested_at);

    /// The report for the next heartbeat: `tenants` (those that have a quota), whether they sent requests or
    /// not, and those seen lately. Ends the interval over which demand is counted.
    [[nodiscard]] std::vector<QuotaDemand> demands(Time now, const std::vector<std::string>& tenants);

    /// How long until the tenant's bucket has a token again, for Retry-After. 0 for a tenant never seen; 0 or
    /// less if it has one.
    [[nodiscard]] Duration time_until_next(Time now, const std::string& tenant) const;

  private:
    /// Rates in requests per second, bursts and tokens in requests.
    struct Bucket {
        double tokens = 0;
        double leased_rate = 0;
        double leased_burst = 0;
        Time refilled_at{};
        Time lease_expires_at{};
        double requests_since_report = 0;
        double smoothed_rate = 0;
        Time last_used_at{};
        double fallback_rate = 0;
        double fallback_burst = 1;
    };
    void update_fallback(Time now, Bucket& bucket, const Quota& quota, std::size_t proxies) const;
    static void start_if_new(Time now, Bucket& bucket, double burst_share);
    static void refill(Time now, Bucket& bucket);
    static QuotaDemand report(Time now, const std::string& tenant, Bucket& bucket, double interval_s);

    FallbackShare fallback_;
    Time reported_at_{};
    std::unordered_map<std::string, Bucket> buckets_;  // by tenant
};

}  // namespace martenford::quota
