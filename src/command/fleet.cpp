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

constexpr int kNo = 1, kBadUse = 2;
constexpr std::chrono::milliseconds kWatchEvery{500};
constexpr const char* kHint = "is [fleet] on?";

}  // namespace

int ask_fleet(const FleetWords& words) {
    const auto address = console_address("fleet", words.console);
    if (!address) return kBadUse;
    if (words.what != "watch") {
        const auto reply = ask_console("fleet", *address, "fleet " + words.what, kHint);
        if (!reply) return kNo;
        words.json ? print_json(*reply) : print_table(*reply);
        return 0;
    }
    for (std::string last = "0";; std::this_thread::sleep_for(kWatchEvery)) {
        const auto reply = ask_console("fleet", *address, "fleet events " + last, kHint);
        if (!reply) return kNo;
        std::istringstream lines(*reply);
        for (std::string line; std::getline(lines, line);) {
            const auto fields = fields_of(line);
            if (!fields.empty() && fields[0].first == "number") last = fields[0].second;
            if (!words.json) std::cout << line.substr(line.find(' ') + 1) << std::endl;
        }
        if (words.json) print_json(*reply);
    }
}

}  // namespace martenford
