// The rules that tests and benchmarks of the module go by where their own figures don't matter.
#pragma once

#include "martenford/decision/balancer.h"

namespace martenford::standins {

inline decision::Rules usual_rules() {
    using namespace std::chrono_literals;
    decision::Rules rules;
    rules.answer_slack = 20ms;
    rules.ask_every = 6s;
    rules.drain_grace = 1s;
    rules.cold_from = 0.4;
    rules.ramp_time = 6s;
    rules.fall_multiple = 3.0;
    rules.tip_after = 1s;
    return rules;
}

}  // namespace martenford::standins
