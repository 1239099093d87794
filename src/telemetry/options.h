// Options of the [telemetry] section of the program's own configuration file.
#pragma once

#include "telemetry/causes.h"
#include "telemetry/tail_sampler.h"

namespace martenford::telemetry {

struct Options {
    TailSampler::Options sampler;
    CauseAnalyzer::Options causes;
};

}  // namespace martenford::telemetry
