// Figures that every front, back and stand-in of one keeps to, in one place.
#pragma once

#include "core/scheduler.h"

namespace martenford {

/// An answer sent later than this before its client's end misses it: fronts take it off a caller's time.
constexpr Duration kResponseTransitTime = 5ms;
/// Share of an endpoint's idle limit after which a back closes an idle connection: from there on the endpoint
/// may close it, unseen by us.
constexpr double kIdleTimeoutShare = 0.8;

}  // namespace martenford
