// Exports the metrics that the platform collects, in the format it reads.
#pragma once

#include <string>

#include "core/counters.h"

namespace martenford {

/// One line per metric, terminated by a line feed: "sidecar.NAME[.LABEL]:VALUE|c" for counters and "|g" for
/// gauges (the line format of statsd). Metrics that the platform does not collect are left out.
std::string statsd(const Counters& counters);

}  // namespace martenford
