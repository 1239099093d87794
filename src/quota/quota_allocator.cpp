#include "quota/quota_allocator.h"

#include <algorithm>
#include <chrono>

namespace martenford::quota {

namespace {

// Fraction of a quota that every active proxy is reckoned to want on top of what it reports, so that its
// first requests after a pause find a share.
constexpr double kMinDemandShare = 0.02;
// Factor on the reported rate: demand may rise by as much before the next report.
constexpr double kDemandHeadroom = 1.3;
// Tenants that shares are kept of, and bytes of a tenant's name; both bound the memory.
constexpr std::size_t kMaxTenants = 20000;
constexpr std::size_t kMaxTenantNameBytes = 256;
// No report counts as more proxies than the registry holds at most.
constexpr std::size_t kMaxProxies = 20000;
// Against a division by zero where nobody wants anything. Requests per second.
constexpr double kMinTotalRate = 1e-9;

double seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
}

double as_divisor(std::size_t count) {
    return static_cast<double>(std::max<std::size_t>(count, 1));
}

double demanded_rate(double wanted_rate, const Quota& available) {
    return wanted_rate + kMinDemandShare * available.rate_per_s;
}

/// A proxy's fair share, in requests per second. If the demand of all fits in the quota, each gets what it
/// wants and an equal part of the rest; otherwise each gets a share in proportion to its demand.
double fair_rate(double wanted_rate, double total_wanted_rate, std::size_t active_proxies,
                 const Quota& available) {
    if (total_wanted_rate <= available.rate_per_s) {
        const double unclaimed = available.rate_per_s - total_wanted_rate;
        return demanded_rate(wanted_rate, available) + unclaimed / as_divisor(active_proxies);
    }
    return available.rate_per_s * demanded_rate(wanted_rate, available) /
           std::max(total_wanted_rate, kMinTotalRate);
}

}  // namespace

void QuotaAllocator::update_share(Time now, Share& share, std::uint64_t acknowledged,
                                  const QuotaDemand& demand) {
    share.wanted_rate = demand.rate_per_s * kDemandHeadroom;
    share.reported_at = now;
    // Once the proxy has applied the last response, the larger rate before it is not in use any more.
    const bool applied_last = share.response_number != 0 && acknowledged >= share.response_number;
    if (applied_last) share.outstanding_rate = share.granted_rate;
    // Leases of the previous leader are known only by what the proxy reports.
    const Time reported_expiry = now + std::chrono::milliseconds(demand.lease_remaining_ms);
    if (demand.leased_rate_per_s <= 0 || reported_expiry <= share.expires_at) return;
    share.outstanding_rate = std::max(demand.leased_rate_per_s, leased_rate(now, share));
    share.expires_at = reported_expiry;
}

void QuotaAllocator::forget_inactive(Time now) {
    for (auto& [tenant, shares] : shares_by_tenant_) {
        std::erase_if(shares, [&](const auto& entry) {
            const Share& share = entry.second;
            return now - share.reported_at > options_.forget_after && now >= share.expires_at;
        });
    }
}

void QuotaAllocator::report_demand(Time now, const std::string& proxy, std::uint64_t acknowledged,
                                   const std::vector<QuotaDemand>& demands, std::size_t known_proxies) {
    if (listening_since_ == Time{}) listening_since_ = now;
    reported_proxies_ = std::max(reported_proxies_, std::min(known_proxies, kMaxProxies));
    for (auto& [tenant, shares] : shares_by_tenant_) {
        if (const auto it = shares.find(proxy); it != shares.end()) it->second.wanted_rate = 0;
    }
    for (const QuotaDemand& demand : demands) {
        if (demand.tenant.size() > kMaxTenantNameBytes) continue;
        const bool is_full = shares_by_tenant_.size() >= kMaxTenants;
        if (is_full && !shares_by_tenant_.contains(demand.tenant)) continue;
        update_share(now, shares_by_tenant_[demand.tenant][proxy], acknowledged, demand);
    }
    forget_inactive(now);
}

/// A registry is empty when its controller starts. The proxies outlive the controllers and know each other.
QuotaAllocator::FleetSize QuotaAllocator::fleet_size(Time now, std::size_t registered,
                                                     std::size_t expired) const {
    const std::size_t heard = registered - std::min(expired, registered);
    const bool counts_reported = now - listening_since_ < options_.reserve_reported_for;
    const std::size_t known = counts_reported ? std::max(registered, reported_proxies_) : registered;
    return {known, known - heard};
}

/// Whether the leases of the previous leader are known, or have expired, so that shares may be raised.
bool QuotaAllocator::has_settled(Time now, Time leading_since, const FleetSize& fleet) const {
    const Duration leading_for = now - leading_since;
    if (leading_for < options_.settle_after_election) return false;
    if (now - listening_since_ < options_.min_listening_time) return false;
    return fleet.unheard == 0 || leading_for >= options_.lease;
}

/// The quota without what is reserved for proxies that are not heard.
Quota QuotaAllocator::available_quota(const Quota& quota, const FleetSize& fleet) const {
    const double reserved =
        options_.unheard_share * static_cast<double>(fleet.unheard) / as_divisor(fleet.known);
    return {quota.rate_per_s * (1 - reserved), quota.burst * (1 - reserved)};
}

QuotaAllocator::TenantTotals QuotaAllocator::totals(Time now, const Shares& shares, const std::string& proxy,
                                                    const Quota& available) const {
    TenantTotals totals;
    for (const auto& [name, share] : shares) {
        const bool is_active = now - share.reported_at <= options_.forget_after;
        if (is_active) {
            totals.wanted_rate += demanded_rate(share.wanted_rate, available);
            ++totals.active_proxies;
        }
        if (name != proxy) totals.outstanding_elsewhere += leased_rate(now, share);
    }
    return totals;
}

/// Requests at once for a share of this rate. What the rule allows at once over all proxies is divided half
/// evenly and half in proportion to the rate: a proxy with a small share needs room for single requests too.
double QuotaAllocator::burst_for(double rate, const Quota& available, std::size_t active_proxies) const {
    const double beyond_quota =
        options_.overshoot * (available.rate_per_s * seconds(options_.window) + available.burst) +
        options_.slack;
    const double total_burst = available.burst + options_.usable_slack * beyond_quota;
    return total_burst * (0.5 / as_divisor(active_proxies) + 0.5 * rate / available.rate_per_s);
}

QuotaAllocator::Share* QuotaAllocator::find_share(const std::string& tenant, const std::string& proxy) {
    const auto shares = shares_by_tenant_.find(tenant);
    if (shares == shares_by_tenant_.end()) return nullptr;
    const auto share = shares->second.find(proxy);
    return share == shares->second.end() ? nullptr : &share->second;
}

/// The proxy's fair share, as far as other proxies' leases leave it. `settled`: whether it may be raised.
double QuotaAllocator::grantable_rate(Time now, const Share& share, const TenantTotals& total,
                                      const Quota& available, bool settled) {
    const double fair = fair_rate(share.wanted_rate, total.wanted_rate, total.active_proxies, available);
    const double unleased = std::max(0.0, available.rate_per_s - total.outstanding_elsewhere);
    const double rate = std::min(fair, unleased);
    return settled ? rate : std::min(rate, leased_rate(now, share));
}

/// The rate that the proxy may use now by its leases.
double QuotaAllocator::leased_rate(Time now, const Share& share) {
    return now < share.expires_at ? share.outstanding_rate : 0.0;
}

void QuotaAllocator::grant(Time now, Share& share, double rate) const {
    // Until the proxy acknowledges a smaller share, it may still use the larger one.
    share.outstanding_rate = std::max(rate, leased_rate(now, share));
    share.granted_rate = rate;
    share.response_number = response_number_;
    share.expires_at = now + options_.lease;
}

std::vector<QuotaLease> QuotaAllocator::allocate(Time now, Time leading_since, const std::string& proxy,
                                                 const std::map<std::string, Quota>& quotas,
                                                 std::size_t registered, std::size_t expired) {
    std::vector<QuotaLease> leases;
    ++response_number_;
    const FleetSize fleet = fleet_size(now, registered, expired);
    const bool settled = has_settled(now, leading_since, fleet);
    const auto lease_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(options_.lease).count());
    for (const auto& [tenant, quota] : quotas) {
        if (quota.rate_per_s <= 0) continue;
        Share* const share = find_share(tenant, proxy);
        if (!share) continue;
        const Quota available = available_quota(quota, fleet);
        const TenantTotals total = totals(now, shares_by_tenant_.at(tenant), proxy, available);
        const double rate = grantable_rate(now, *share, total, available, settled);
        if (rate <= 0) continue;
        grant(now, *share, rate);
        leases.push_back({tenant, rate, burst_for(rate, available, total.active_proxies), lease_ms});
    }
    return leases;
}

}  // namespace martenford::quota
