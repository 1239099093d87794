#include "quota/quota.h"

#include <algorithm>
#include <chrono>

namespace martenford::quota {

namespace {
double seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
}
constexpr double kLeastWish = 0.02;  // of a quota: who has not asked yet gets this much of what is there
constexpr double kHeadroom = 1.3;    // over what was asked for lately
constexpr Duration kForgetTenant = 30s;
constexpr std::size_t kMostTenants = 20000, kMostName = 256;  // that demands are kept of
constexpr std::size_t kFewestProxies = 8;                     // one that has just started knows of few
}  // namespace

void QuotaAllocator::report_demand(Time now, const std::string& proxy, std::uint64_t taken,
                                   const std::vector<QuotaDemand>& demands) {
    if (listening_since_ == Time{}) listening_since_ = now;
    for (auto& [tenant, shares] : shares_by_tenant_) {
        if (const auto it = shares.find(proxy); it != shares.end()) it->second.wanted_rate = 0;
    }
    for (const QuotaDemand& demand : demands) {
        if (demand.tenant.size() > kMostName ||
            (shares_by_tenant_.size() >= kMostTenants && !shares_by_tenant_.contains(demand.tenant)))
            continue;
        Share& share = shares_by_tenant_[demand.tenant][proxy];
        share.wanted_rate = demand.rate_per_s * kHeadroom;
        share.reported_at = now;
        // Once it has taken the last answer, that is all it holds.
        if (share.response_number != 0 && taken >= share.response_number)
            share.outstanding_rate = share.granted_rate;
        // What another leader granted is known by what the proxy says.
        const Time held_until = now + std::chrono::milliseconds(demand.lease_remaining_ms);
        if (demand.leased_rate_per_s > 0 && held_until > share.expires_at) {
            share.outstanding_rate =
                std::max(demand.leased_rate_per_s, now < share.expires_at ? share.outstanding_rate : 0.0);
            share.expires_at = held_until;
        }
    }
    for (auto& [tenant, shares] : shares_by_tenant_) {
        std::erase_if(shares, [&](const auto& s) {
            return now - s.second.reported_at > options_.forget_after && now >= s.second.expires_at;
        });
    }
}

std::vector<QuotaLease> QuotaAllocator::allocate(Time now, Time leading_since, const std::string& proxy,
                                                 const std::map<std::string, Quota>& quotas,
                                                 std::size_t proxies, std::size_t silent) {
    std::vector<QuotaLease> grants;
    ++response_number_;
    const bool settled = now - leading_since >= options_.settle_after_election &&
                         now - listening_since_ >= options_.min_listening_time;
    const double kept =
        proxies == 0 ? 0.0
                     : options_.unheard_share * static_cast<double>(silent) / static_cast<double>(proxies);
    for (const auto& [tenant, whole] : quotas) {
        if (whole.rate_per_s <= 0) continue;
        const Quota quota{whole.rate_per_s * (1 - kept), whole.burst * (1 - kept)};
        const auto known = shares_by_tenant_.find(tenant);
        if (known == shares_by_tenant_.end()) continue;
        auto& shares = known->second;
        const auto own = shares.find(proxy);
        if (own == shares.end()) continue;
        double wanted = 0, others_out = 0;
        std::size_t askers = 0;
        for (const auto& [name, share] : shares) {
            const bool live = now - share.reported_at <= options_.forget_after;
            if (live) {
                wanted += share.wanted_rate + kLeastWish * quota.rate_per_s;
                ++askers;
            }
            if (name != proxy && now < share.expires_at) others_out += share.outstanding_rate;
        }
        // Where there is enough, the rest is spread evenly; where not, each gets in proportion to its wish,
        // of which no more than twice an even share counts.
        double fair = 0;
        if (wanted <= quota.rate_per_s) {
            fair = own->second.wanted_rate + kLeastWish * quota.rate_per_s +
                   (quota.rate_per_s - wanted) / static_cast<double>(std::max<std::size_t>(askers, 1));
        } else {
            double sum = 0;
            for (const auto& [name, share] : shares) {
                if (now - share.reported_at <= options_.forget_after)
                    sum += share.wanted_rate + kLeastWish * quota.rate_per_s;
            }
            fair = quota.rate_per_s * (own->second.wanted_rate + kLeastWish * quota.rate_per_s) /
                   std::max(sum, 1e-9);
        }
        Share& share = own->second;
        const double held = now < share.expires_at ? share.outstanding_rate : 0.0;
        double rate = std::min(fair, std::max(0.0, quota.rate_per_s - others_out));
        if (!settled) rate = std::min(rate, held);  // renewed at most
        if (rate <= 0) continue;
        // Until the proxy says that it has taken the smaller one, it may use the larger.
        share.outstanding_rate = std::max(rate, held);
        share.granted_rate = rate;
        share.response_number = response_number_;
        share.expires_at = now + options_.lease;
        // What may be taken at once over all proxies, half of it evenly, half by rate.
        const double at_once =
            quota.burst +
            options_.usable_slack *
                (options_.overshoot * (quota.rate_per_s * seconds(options_.window) + quota.burst) +
                 options_.slack);
        const double burst = at_once * (0.5 / static_cast<double>(std::max<std::size_t>(askers, 1)) +
                                        0.5 * rate / quota.rate_per_s);
        grants.push_back(
            {tenant, rate, burst,
             static_cast<std::uint32_t>(
                 std::chrono::duration_cast<std::chrono::milliseconds>(options_.lease).count())});
    }
    return grants;
}

void QuotaLimiter::refill(Time now, Bucket& bucket) {
    const bool leased = now < bucket.lease_expires_at;
    const double rate = leased ? bucket.leased_rate : bucket.fallback_rate;
    const double burst = leased ? std::max(bucket.leased_burst, 1.0) : bucket.fallback_burst;
    if (bucket.refilled_at == Time{}) {
        bucket.tokens = burst;
        bucket.refilled_at = now;
    }
    bucket.tokens = std::min(burst, bucket.tokens + rate * seconds(now - bucket.refilled_at));
    bucket.refilled_at = now;
}

bool QuotaLimiter::admit(Time now, const std::string& tenant, const Quota& quota, std::size_t proxies) {
    if (quota.rate_per_s <= 0) return true;
    Bucket& bucket = buckets_[tenant];
    const bool lately =
        bucket.lease_expires_at != Time{} && now < bucket.lease_expires_at + fallback_.after_lease_for;
    const double part = (lately ? fallback_.after_lease : fallback_.otherwise) /
                        static_cast<double>(std::max(proxies, kFewestProxies));
    bucket.fallback_rate = quota.rate_per_s * part;
    bucket.fallback_burst = std::max(fallback_.min_burst, quota.burst * part);
    refill(now, bucket);
    bucket.requests_since_report += 1;
    bucket.last_used_at = now;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
}

void QuotaLimiter::apply_leases(Time now, const std::vector<QuotaLease>& grants, Time asked) {
    for (const QuotaLease& grant : grants) {
        const Time until = asked + std::chrono::milliseconds(grant.lease_ms);
        if (until <= now) continue;
        Bucket& bucket = buckets_[grant.tenant];
        refill(now, bucket);
        const bool fresh = now >= bucket.lease_expires_at;
        bucket.leased_rate = grant.rate_per_s;
        bucket.leased_burst = std::max(grant.burst, 1.0);
        bucket.lease_expires_at = until;
        if (fresh) bucket.tokens = std::max(bucket.tokens, bucket.leased_burst / 2);
    }
}

Duration QuotaLimiter::time_until_next(Time now, const std::string& tenant) {
    const auto it = buckets_.find(tenant);
    if (it == buckets_.end()) return {};
    const Bucket& bucket = it->second;
    const double rate =
        std::max(now < bucket.lease_expires_at ? bucket.leased_rate : bucket.fallback_rate, 0.05);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - bucket.tokens) / rate));
}

std::vector<QuotaDemand> QuotaLimiter::demands(Time now, const std::vector<std::string>& tenants) {
    std::vector<QuotaDemand> out;
    const double span = reported_at_ == Time{} ? 1.0 : std::max(0.05, seconds(now - reported_at_));
    reported_at_ = now;
    for (const std::string& tenant : tenants) buckets_[tenant].last_used_at = now;
    std::erase_if(buckets_, [&](const auto& b) {
        return now - b.second.last_used_at > kForgetTenant && now >= b.second.lease_expires_at;
    });
    for (auto& [tenant, bucket] : buckets_) {
        const double rate = bucket.requests_since_report / span;
        bucket.requests_since_report = 0;
        // Quick up, slow down: a share that was wanted is wanted again.
        bucket.smoothed_rate = rate > bucket.smoothed_rate ? (rate + bucket.smoothed_rate) / 2
                                                           : bucket.smoothed_rate * 0.9 + rate * 0.1;
        const bool leased = now < bucket.lease_expires_at;
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(bucket.lease_expires_at - now).count();
        out.push_back({tenant, bucket.smoothed_rate, leased ? bucket.leased_rate : 0.0,
                       leased ? static_cast<std::uint32_t>(left) : 0u});
    }
    return out;
}

}  // namespace martenford::quota
