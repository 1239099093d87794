#include "command/why.h"

#include <iostream>

#include "command/console_client.h"
#include "config/units.h"
#include "core/log.h"

namespace martenford {

namespace {

constexpr int kExitFailure = 1, kExitUsage = 2;

int usage_error(const std::string& what) {
    log("why: " + what);
    return kExitUsage;
}

}  // namespace

int run_why(const WhyOptions& options) {
    const auto address = console_address("why", options.console);
    if (!address) return kExitUsage;
    const auto since = parse_duration(options.since);
    if (!since || *since < 1s)
        return usage_error("'" + options.since + "' is no time of a second or more, such as 5m");
    std::string call =
        "why " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(*since).count());
    if (!options.id.empty()) call = "story " + options.id;
    if (options.slowest > 0) call = "slowest " + std::to_string(options.slowest) + " " + options.klass;
    if (options.latencies) call = "latencies";

    const auto reply = call_console("why", *address, call, "is [telemetry] on?");
    if (!reply) return kExitFailure;
    std::cout << *reply;
    return 0;
}

}  // namespace martenford
