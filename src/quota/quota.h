// Rate limits per tenant, enforced by many proxies together.
//
// How it works, end to end:
//   1. Each proxy counts the requests of each tenant and reports the rate in its heartbeats (QuotaDemand) to
//      every controller.
//   2. The controller that leads the Raft group answers with leases (QuotaLease): a share of the tenant's
//      rate for this proxy, for a short time. QuotaAllocator ensures that the outstanding leases of a tenant
//      never sum up to more than its rate, also across lost answers, restarts and changes of leader.
//   3. The proxy admits requests by a token bucket with the leased rate (QuotaLimiter). Without a valid lease
//      it falls back to a fraction of an even split, so that a partition neither stops a tenant nor
//      multiplies its rate.
// The scheme is that of leased client-side capacity as in Google's Doorman.
//
// All times are those of the process's steady clock; only durations cross the wire.
#pragma once

#include "quota/quota_allocator.h"
#include "quota/quota_limiter.h"
#include "quota/quota_types.h"
