// The figures that the platform asks for, in the form it reads. Pure.
#pragma once

#include <string>

#include "core/counters.h"

namespace martenford {

/// One line a figure, each ended by a line feed: "sidecar.NAME[.LABEL]:VALUE|c" for what only grows, "|g" for
/// what goes both ways (the line format of statsd). Figures that the platform does not name are left out.
std::string statsd(const Counters& counters);

}  // namespace martenford
