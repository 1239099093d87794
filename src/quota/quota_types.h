// The records of the quota scheme (see quota.h). Data only; rpc/messages.h maps the first two to the wire.
#pragma once

#include <cstdint>
#include <string>

namespace martenford::quota {

/// A tenant's limit over all proxies together.
struct Quota {
    double rate_per_s = 0;  ///< requests per second; 0 or less: not limited
    double burst = 0;       ///< requests that may come at once beyond the rate
};

/// What a proxy reports of one tenant.
struct QuotaDemand {
    std::string tenant;
    double rate_per_s = 0;                 ///< requests per second received lately, admitted or not; smoothed
    double leased_rate_per_s = 0;          ///< requests per second that its lease allows; 0: no valid lease
    std::uint32_t lease_remaining_ms = 0;  ///< ms until that lease expires
};

/// A proxy's share of a tenant's quota, for a limited time.
struct QuotaLease {
    std::string tenant;
    double rate_per_s = 0;       ///< requests per second
    double burst = 0;            ///< requests at once beyond the rate
    std::uint32_t lease_ms = 0;  ///< ms from when the proxy sent the request that this answers
};

}  // namespace martenford::quota
