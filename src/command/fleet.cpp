#include "command/fleet.h"

#include <fmt/format.h>

#include <chrono>
#include <iostream>
#include <sstream>
#include <thread>

#include "command/console_client.h"
#include "command/lines.h"

namespace martenford {

namespace {

constexpr int kExitFailure = 1, kExitUsage = 2;
constexpr std::chrono::milliseconds kWatchInterval{500};
constexpr const char* kHint = "is [fleet] on?";

}  // namespace

int run_fleet(const FleetOptions& options) {
    const auto address = console_address("fleet", options.console);
    if (!address) return kExitUsage;
    if (options.what != "watch") {
        const auto reply = call_console("fleet", *address, "fleet " + options.what, kHint);
        if (!reply) return kExitFailure;
        options.json ? print_json(*reply) : print_table(*reply);
        return 0;
    }
    for (std::string last = "0";; std::this_thread::sleep_for(kWatchInterval)) {
        const auto reply = call_console("fleet", *address, "fleet events " + last, kHint);
        if (!reply) return kExitFailure;
        std::istringstream lines(*reply);
        for (std::string line; std::getline(lines, line);) {
            const auto fields = fields_of(line);
            if (!fields.empty() && fields[0].first == "number") last = fields[0].second;
            if (!options.json) std::cout << line.substr(line.find(' ') + 1) << std::endl;
        }
        if (options.json) print_json(*reply);
    }
}

}  // namespace martenford
