// The field `grpc-timeout` (PROTOCOL-HTTP2.md, Requests): at most eight digits and a unit. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/scheduler.h"

namespace martenford::grpc {

/// Nothing where the text is no such time. Times over a day count as a day: no class waits for that long.
std::optional<Duration> parse_timeout(std::string_view text);

/// In the finest unit that eight digits hold, rounded down: an endpoint must not be told more than there is.
/// At least a nanosecond: 0 would be no deadline to some, and a passed one to others.
std::string show_timeout(Duration left);

/// The time that a call has: the client's where it gave one that is shorter, else its class's.
Duration allowed(const std::optional<Duration>& told, Duration of_class);

}  // namespace martenford::grpc
