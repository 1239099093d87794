// The phases of one step: start, idle, configuration changes, churn of endpoints, loss of a zone, and return
// of all controllers.
#pragma once

#include "options.h"
#include "report.h"
#include "topology.h"

namespace martenford::scale_test {

/// Whether the mesh met the target at one size: all proxies knew all others, and each configuration was in
/// force everywhere in time.
enum class Target { Met, Missed };

/// Runs all wanted phases at one size, adds their rows to the report and writes its progress to stderr.
/// Throws std::runtime_error where the mesh can't be started. Ends the processes that it started.
[[nodiscard]] Target run_step(const Options& options, const StepSize& size, Report& report);

}  // namespace martenford::scale_test
