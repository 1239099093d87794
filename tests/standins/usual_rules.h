// Rules for tests and benchmarks of the decision module that need no particular values.
#pragma once

#include "martenford/decision/balancer.h"

namespace martenford::standins {

inline decision::Rules default_rules() {
    using namespace std::chrono_literals;
    decision::Rules rules;
    rules.answer_slack = 20ms;
    rules.subscribe_interval = 6s;
    rules.drain_grace = 1s;
    rules.cold_capacity_share = 0.4;
    rules.warm_up_time = 6s;
    rules.overload_multiple = 3.0;
    rules.overload_time = 1s;
    return rules;
}

}  // namespace martenford::standins
