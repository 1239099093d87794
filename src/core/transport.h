// Constants shared by all listeners, endpoint clients and their simulated counterparts.
#pragma once

#include "core/scheduler.h"

namespace martenford {

/// An answer sent later than this before its client's deadline arrives too late. Listeners subtract it from
/// the caller's timeout.
constexpr Duration kResponseTransitTime = 5ms;
/// Fraction of an endpoint's idle timeout after which an idle connection to it is closed. Later the endpoint
/// may be closing it while a request is already on its way.
constexpr double kIdleTimeoutShare = 0.8;

}  // namespace martenford
