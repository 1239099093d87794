// The section [telemetry] of our own configuration.
#pragma once

#include "telemetry/causes.h"
#include "telemetry/tail_sampler.h"

namespace martenford::telemetry {

struct Options {
    TailSampler::Options sampler;
    CauseAnalyzer::Options causes;
};

}  // namespace martenford::telemetry
