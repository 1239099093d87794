// Waiting during a program's start, between start_program() and ProcessSignals.
#pragma once

#include "core/scheduler.h"

namespace martenford::bootstrap {

/// Time between two attempts at something that a start can't do without.
inline constexpr Duration kStartRetryInterval = 50ms;

/// Returns true after `time`, or false as soon as SIGTERM or SIGINT has come: the caller then ends the
/// process with exit code 0. The signals are held back meanwhile and stay pending.
[[nodiscard]] bool wait_unless_terminated(Duration time);

}  // namespace martenford::bootstrap
