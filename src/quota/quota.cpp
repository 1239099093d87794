#include "scales/scales.h"

#include <algorithm>
#include <chrono>

namespace martenford::scales {

namespace {
double seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
}
constexpr double kLeastWish = 0.02;  // of a quota: who has not asked yet gets this much of what is there
constexpr double kHeadroom = 1.3;    // over what was asked for lately
constexpr Duration kForgetTenant = 30s;
constexpr std::size_t kMostTenants = 20000, kMostName = 256;  // that demands are kept of
constexpr std::size_t kFewestStalls = 8;                      // one that has just started knows of few
}  // namespace

void Grantor::heard(Time now, const std::string& stall, std::uint64_t taken,
                    const std::vector<Demand>& demands) {
    if (listening_since_ == Time{}) listening_since_ = now;
    for (auto& [tenant, shares] : by_tenant_) {
        if (const auto it = shares.find(stall); it != shares.end()) it->second.wanted = 0;
    }
    for (const Demand& demand : demands) {
        if (demand.tenant.size() > kMostName ||
            (by_tenant_.size() >= kMostTenants && !by_tenant_.contains(demand.tenant)))
            continue;
        Share& share = by_tenant_[demand.tenant][stall];
        share.wanted = demand.per_s * kHeadroom;
        share.heard = now;
        // Once it has taken the last answer, that is all it holds.
        if (share.number != 0 && taken >= share.number) share.out = share.granted;
        // What another leader granted is known by what the stall says.
        const Time held_until = now + std::chrono::milliseconds(demand.held_ms);
        if (demand.held > 0 && held_until > share.until) {
            share.out = std::max(demand.held, now < share.until ? share.out : 0.0);
            share.until = held_until;
        }
    }
    for (auto& [tenant, shares] : by_tenant_) {
        std::erase_if(shares, [&](const auto& s) {
            return now - s.second.heard > options_.forget && now >= s.second.until;
        });
    }
}

std::vector<Grant> Grantor::grant(Time now, Time leading_since, const std::string& stall,
                                  const std::map<std::string, Quota>& quotas, std::size_t stalls,
                                  std::size_t silent) {
    std::vector<Grant> grants;
    ++number_;
    const bool settled =
        now - leading_since >= options_.settle && now - listening_since_ >= options_.listened;
    const double kept =
        stalls == 0 ? 0.0 : options_.kept * static_cast<double>(silent) / static_cast<double>(stalls);
    for (const auto& [tenant, whole] : quotas) {
        if (whole.per_s <= 0) continue;
        const Quota quota{whole.per_s * (1 - kept), whole.burst * (1 - kept)};
        const auto known = by_tenant_.find(tenant);
        if (known == by_tenant_.end()) continue;
        auto& shares = known->second;
        const auto own = shares.find(stall);
        if (own == shares.end()) continue;
        double wanted = 0, others_out = 0;
        std::size_t askers = 0;
        for (const auto& [name, share] : shares) {
            const bool live = now - share.heard <= options_.forget;
            if (live) {
                wanted += share.wanted + kLeastWish * quota.per_s;
                ++askers;
            }
            if (name != stall && now < share.until) others_out += share.out;
        }
        // Where there is enough, the rest is spread evenly; where not, each gets in proportion to its wish,
        // of which no more than twice an even share counts.
        double fair = 0;
        if (wanted <= quota.per_s) {
            fair = own->second.wanted + kLeastWish * quota.per_s +
                   (quota.per_s - wanted) / static_cast<double>(std::max<std::size_t>(askers, 1));
        } else {
            double sum = 0;
            for (const auto& [name, share] : shares) {
                if (now - share.heard <= options_.forget) sum += share.wanted + kLeastWish * quota.per_s;
            }
            fair = quota.per_s * (own->second.wanted + kLeastWish * quota.per_s) / std::max(sum, 1e-9);
        }
        Share& share = own->second;
        const double held = now < share.until ? share.out : 0.0;
        double rate = std::min(fair, std::max(0.0, quota.per_s - others_out));
        if (!settled) rate = std::min(rate, held);  // renewed at most
        if (rate <= 0) continue;
        // Until the stall says that it has taken the smaller one, it may use the larger.
        share.out = std::max(rate, held);
        share.granted = rate;
        share.number = number_;
        share.until = now + options_.lease;
        // What may be taken at once over all stalls, half of it evenly, half by rate.
        const double at_once =
            quota.burst + options_.slack_used *
                              (options_.overshoot * (quota.per_s * seconds(options_.window) + quota.burst) +
                               options_.slack);
        const double burst = at_once * (0.5 / static_cast<double>(std::max<std::size_t>(askers, 1)) +
                                        0.5 * rate / quota.per_s);
        grants.push_back(
            {tenant, rate, burst,
             static_cast<std::uint32_t>(
                 std::chrono::duration_cast<std::chrono::milliseconds>(options_.lease).count())});
    }
    return grants;
}

void Scale::fill(Time now, Bucket& bucket) {
    const bool leased = now < bucket.until;
    const double rate = leased ? bucket.rate : bucket.floor_rate;
    const double burst = leased ? std::max(bucket.burst, 1.0) : bucket.floor_burst;
    if (bucket.filled == Time{}) {
        bucket.tokens = burst;
        bucket.filled = now;
    }
    bucket.tokens = std::min(burst, bucket.tokens + rate * seconds(now - bucket.filled));
    bucket.filled = now;
}

bool Scale::admits(Time now, const std::string& tenant, const Quota& quota, std::size_t stalls) {
    if (quota.per_s <= 0) return true;
    Bucket& bucket = buckets_[tenant];
    const bool lately = bucket.until != Time{} && now < bucket.until + floor_.keep;
    const double part =
        (lately ? floor_.kept : floor_.share) / static_cast<double>(std::max(stalls, kFewestStalls));
    bucket.floor_rate = quota.per_s * part;
    bucket.floor_burst = std::max(floor_.burst, quota.burst * part);
    fill(now, bucket);
    bucket.asked += 1;
    bucket.last_asked = now;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
}

void Scale::granted(Time now, const std::vector<Grant>& grants, Time asked) {
    for (const Grant& grant : grants) {
        const Time until = asked + std::chrono::milliseconds(grant.lease_ms);
        if (until <= now) continue;
        Bucket& bucket = buckets_[grant.tenant];
        fill(now, bucket);
        const bool fresh = now >= bucket.until;
        bucket.rate = grant.per_s;
        bucket.burst = std::max(grant.burst, 1.0);
        bucket.until = until;
        if (fresh) bucket.tokens = std::max(bucket.tokens, bucket.burst / 2);
    }
}

Duration Scale::until_next(Time now, const std::string& tenant) {
    const auto it = buckets_.find(tenant);
    if (it == buckets_.end()) return {};
    const Bucket& bucket = it->second;
    const double rate = std::max(now < bucket.until ? bucket.rate : bucket.floor_rate, 0.05);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - bucket.tokens) / rate));
}

std::vector<Demand> Scale::demands(Time now, const std::vector<std::string>& tenants) {
    std::vector<Demand> out;
    const double span = told_ == Time{} ? 1.0 : std::max(0.05, seconds(now - told_));
    told_ = now;
    for (const std::string& tenant : tenants) buckets_[tenant].last_asked = now;
    std::erase_if(buckets_, [&](const auto& b) {
        return now - b.second.last_asked > kForgetTenant && now >= b.second.until;
    });
    for (auto& [tenant, bucket] : buckets_) {
        const double rate = bucket.asked / span;
        bucket.asked = 0;
        // Quick up, slow down: a share that was wanted is wanted again.
        bucket.per_s = rate > bucket.per_s ? (rate + bucket.per_s) / 2 : bucket.per_s * 0.9 + rate * 0.1;
        const bool leased = now < bucket.until;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(bucket.until - now).count();
        out.push_back({tenant, bucket.per_s, leased ? bucket.rate : 0.0,
                       leased ? static_cast<std::uint32_t>(left) : 0u});
    }
    return out;
}

}  // namespace martenford::scales
