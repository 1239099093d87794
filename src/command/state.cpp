#include "command/state.h"

#include <fmt/format.h>

#include <chrono>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

#include "command/console_client.h"
#include "command/lines.h"
#include "core/log.h"
#include "core/words.h"

namespace martenford {

namespace {

constexpr int kExitFailure = 1, kExitUsage = 2, kExitPartial = 3;
constexpr const char* kHint = "is [state] on?";
constexpr std::chrono::milliseconds kPollInterval{50};

std::optional<std::string> call_state(const Address& where, const std::string& call) {
    return call_console("state", where, "state " + call, kHint);
}

void print(const StateOptions& options, const std::string& reply) {
    options.json ? print_json(reply) : print_table(reply);
}

int write(const StateOptions& options, const Address& where) {
    std::string value = options.value;
    std::uint64_t expires_ms = std::uint64_t{options.expires_s} * 1000;
    if (options.what == "settle" && value.empty()) {
        // What has the word stays, for as long as it would have; what was beside it is written over.
        const auto reply = call_state(where, "get " + percent_encode(options.table));
        if (!reply) return kExitFailure;
        std::istringstream lines(*reply);
        for (std::string line; std::getline(lines, line);) {
            std::map<std::string, std::string> fields;
            for (auto& [name, text] : fields_of(line)) fields.emplace(name, text);
            if (fields["key"] != options.key || fields["standing"] != "1") continue;
            value = fields["value"];
            if (expires_ms == 0 && fields["expires_s"] != "never")
                expires_ms = std::stoull(fields["expires_s"]) * 1000;
        }
        if (value.empty()) {
            log("state: nothing stands there: settle it with a value, or delete it");
            return kExitUsage;
        }
    }
    std::string call = fmt::format("{} {} {}", options.what == "delete" ? "delete" : "put",
                                   percent_encode(options.table), percent_encode(options.key));
    if (options.what != "delete") call += " " + percent_encode(value);
    call += fmt::format(" within={}", options.within_s * 1000);
    call += options.reach == "majority" ? " majority" : fmt::format(" others={}", options.reach);
    if (expires_ms > 0) call += fmt::format(" expires={}", expires_ms);
    if (!options.reason.empty()) call += " " + percent_encode("reason=" + options.reason);
    const auto reply = call_state(where, call);
    if (!reply) return kExitFailure;
    if (const std::string why = field_of(*reply, "refused"); !why.empty()) {
        log("state: refused: " + why);
        return kExitFailure;
    }
    const std::string ticket = field_of(*reply, "ticket");
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(options.within_s + 1);
    for (;;) {
        const auto outcome = call_state(where, "outcome " + ticket);
        if (!outcome) return kExitFailure;
        if (field_of(*outcome, "waits").empty()) {
            const bool reached = field_of(*outcome, "reached") == "1";
            const std::string got = field_of(*outcome, "got"), wanted = field_of(*outcome, "wanted");
            if (options.json) {
                print_json(*outcome);
            } else {
                std::cout << (reached ? "written; " : "written here; ") << got
                          << " others are known to have it"
                          << (reached ? "" : ", of " + wanted + " wanted: it may have got further") << "\n";
            }
            return reached ? 0 : kExitPartial;
        }
        if (std::chrono::steady_clock::now() > until) return kExitPartial;
        std::this_thread::sleep_for(kPollInterval);
    }
}

int diff(const StateOptions& options, const Address& where) {
    const auto other = parse_address(options.other);
    if (!other) {
        log("state: '" + options.other + "' is no address");
        return kExitUsage;
    }
    std::map<std::string, std::string> copies[2];
    const Address* const consoles[] = {&where, &*other};
    for (int i = 0; i < 2; ++i) {
        const auto reply = call_state(*consoles[i], "get");
        if (!reply) return kExitFailure;
        std::istringstream lines(*reply);
        for (std::string line; std::getline(lines, line);) {
            std::map<std::string, std::string> fields;
            for (auto& [name, text] : fields_of(line)) fields.emplace(name, text);
            copies[i][fields["table"] + " " + fields["key"]] =
                fmt::format("{} by {} ({}.{}), {} versions", fields["value"], fields["by"], fields["writer"],
                            fields["count"], fields["versions"]);
        }
    }
    bool differ = false;
    const auto print_difference = [&](const std::string& key, const std::string& a, const std::string& b) {
        differ = true;
        std::cout << key << "\n  here:  " << a << "\n  there: " << b << "\n";
    };
    for (const auto& [key, value] : copies[0]) {
        const auto it = copies[1].find(key);
        if (it == copies[1].end()) {
            print_difference(key, value, "-");
        } else if (it->second != value) {
            print_difference(key, value, it->second);
        }
    }
    for (const auto& [key, value] : copies[1]) {
        if (!copies[0].contains(key)) print_difference(key, "-", value);
    }
    return differ ? kExitFailure : 0;
}

}  // namespace

int run_state(const StateOptions& options) {
    const auto address = console_address("state", options.console);
    if (!address) return kExitUsage;
    if (options.what == "put" || options.what == "delete" || options.what == "settle")
        return write(options, *address);
    if (options.what == "diff") return diff(options, *address);
    const auto reply =
        call_state(*address, options.what == "get" ? "get " + percent_encode(options.table) : options.what);
    if (!reply) return kExitFailure;
    if (const std::string why = field_of(*reply, "refused"); !why.empty()) {
        log("state: " + why);
        return kExitFailure;
    }
    if (options.key.empty()) {
        print(options, *reply);
        return 0;
    }
    std::string only;
    std::istringstream lines(*reply);
    for (std::string line; std::getline(lines, line);) {
        if (field_of(line, "key") == options.key) only += line + "\n";
    }
    print(options, only);
    return only.empty() ? kExitFailure : 0;
}

}  // namespace martenford
