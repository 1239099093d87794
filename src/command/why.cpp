#include "command/why.h"

#include <iostream>

#include "command/console_client.h"
#include "config/units.h"
#include "core/log.h"

namespace martenford {

namespace {

constexpr int kNo = 1, kBadUse = 2;

int bad_use(const std::string& what) {
    log("why: " + what);
    return kBadUse;
}

}  // namespace

int ask_why(const WhyWords& words) {
    const auto address = console_address("why", words.console);
    if (!address) return kBadUse;
    const auto since = parse_duration(words.since);
    if (!since || *since < 1s)
        return bad_use("'" + words.since + "' is no time of a second or more, such as 5m");
    std::string call =
        "why " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(*since).count());
    if (!words.id.empty()) call = "story " + words.id;
    if (words.slowest > 0) call = "slowest " + std::to_string(words.slowest) + " " + words.klass;
    if (words.latencies) call = "latencies";

    const auto reply = ask_console("why", *address, call, "is [telemetry] on?");
    if (!reply) return kNo;
    std::cout << *reply;
    return 0;
}

}  // namespace martenford
