#include "quota/quota_limiter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace martenford::quota {

namespace {

// A tenant that was neither seen nor configured for this long, and has no lease, is forgotten.
constexpr Duration kTenantIdleTimeout = 30s;
// A proxy that has just started knows few others. An even split over fewer than this would be too much.
constexpr std::size_t kMinAssumedProxies = 8;
// Requests per second that time_until_next() reckons with at least, so that its answer stays within 20 s.
constexpr double kMinRefillRate = 0.05;
// Seconds over which demand is counted: assumed for the first report, and the least for later ones, so that
// two reports in quick succession do not show a rate of a single request as a high one.
constexpr double kFirstReportInterval = 1.0;
constexpr double kMinReportInterval = 0.05;
// The most requests that a new bucket admits at once. What the tenant has spent lately, here before a restart
// or elsewhere, is not known then.
constexpr double kMaxInitialTokens = 1;

double seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
}

}  // namespace

/// `burst_share`: this proxy's part of the tenant's burst, in requests.
void QuotaLimiter::start_if_new(Time now, Bucket& bucket, double burst_share) {
    if (bucket.refilled_at != Time{}) return;
    bucket.tokens = std::min(kMaxInitialTokens, burst_share);
    bucket.refilled_at = now;
}

void QuotaLimiter::refill(Time now, Bucket& bucket) {
    const bool is_leased = now < bucket.lease_expires_at;
    const double rate = is_leased ? bucket.leased_rate : bucket.fallback_rate;
    const double burst = is_leased ? std::max(bucket.leased_burst, 1.0) : bucket.fallback_burst;
    bucket.tokens = std::min(burst, bucket.tokens + rate * seconds(now - bucket.refilled_at));
    bucket.refilled_at = now;
}

void QuotaLimiter::update_fallback(Time now, Bucket& bucket, const Quota& quota, std::size_t proxies) const {
    const bool had_lease_lately =
        bucket.lease_expires_at != Time{} && now < bucket.lease_expires_at + fallback_.after_lease_for;
    const double fraction = (had_lease_lately ? fallback_.after_lease : fallback_.otherwise) /
                            static_cast<double>(std::max(proxies, kMinAssumedProxies));
    bucket.fallback_rate = quota.rate_per_s * fraction;
    bucket.fallback_burst = std::max(fallback_.min_burst, quota.burst * fraction);
}

bool QuotaLimiter::admit(Time now, const std::string& tenant, const Quota& quota, std::size_t proxies) {
    if (quota.rate_per_s <= 0) return true;
    Bucket& bucket = buckets_[tenant];
    start_if_new(now, bucket, quota.burst / static_cast<double>(std::max(proxies, kMinAssumedProxies)));
    update_fallback(now, bucket, quota, proxies);
    refill(now, bucket);
    bucket.requests_since_report += 1;
    bucket.last_used_at = now;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
}

void QuotaLimiter::apply_leases(Time now, const std::vector<QuotaLease>& leases, Time requested_at) {
    for (const QuotaLease& lease : leases) {
        const Time expires_at = requested_at + std::chrono::milliseconds(lease.lease_ms);
        if (expires_at <= now) continue;
        Bucket& bucket = buckets_[lease.tenant];
        start_if_new(now, bucket, lease.burst);
        refill(now, bucket);
        bucket.leased_rate = lease.rate_per_s;
        bucket.leased_burst = std::max(lease.burst, 1.0);
        bucket.lease_expires_at = expires_at;
    }
}

Duration QuotaLimiter::time_until_next(Time now, const std::string& tenant) const {
    const auto it = buckets_.find(tenant);
    if (it == buckets_.end()) return {};
    const Bucket& bucket = it->second;
    const bool is_leased = now < bucket.lease_expires_at;
    const double rate = std::max(is_leased ? bucket.leased_rate : bucket.fallback_rate, kMinRefillRate);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - bucket.tokens) / rate));
}

QuotaDemand QuotaLimiter::report(Time now, const std::string& tenant, Bucket& bucket, double interval_s) {
    const double rate = bucket.requests_since_report / interval_s;
    bucket.requests_since_report = 0;
    // Fast attack, slow decay: a tenant whose requests come in bursts keeps its share between them.
    const bool is_rising = rate > bucket.smoothed_rate;
    bucket.smoothed_rate =
        is_rising ? (rate + bucket.smoothed_rate) / 2 : bucket.smoothed_rate * 0.9 + rate * 0.1;
    if (now >= bucket.lease_expires_at) return {tenant, bucket.smoothed_rate, 0.0, 0};
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(bucket.lease_expires_at - now);
    return {tenant, bucket.smoothed_rate, bucket.leased_rate, static_cast<std::uint32_t>(remaining.count())};
}

std::vector<QuotaDemand> QuotaLimiter::demands(Time now, const std::vector<std::string>& tenants) {
    const double interval_s = reported_at_ == Time{}
                                  ? kFirstReportInterval
                                  : std::max(kMinReportInterval, seconds(now - reported_at_));
    reported_at_ = now;
    for (const std::string& tenant : tenants) buckets_[tenant].last_used_at = now;
    std::erase_if(buckets_, [&](const auto& entry) {
        const Bucket& bucket = entry.second;
        return now - bucket.last_used_at > kTenantIdleTimeout && now >= bucket.lease_expires_at;
    });
    std::vector<QuotaDemand> demands;
    demands.reserve(buckets_.size());
    for (auto& [tenant, bucket] : buckets_) demands.push_back(report(now, tenant, bucket, interval_s));
    return demands;
}

}  // namespace martenford::quota
