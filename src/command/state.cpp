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

constexpr int kNo = 1, kBadUse = 2, kNotFar = 3;
constexpr const char* kHint = "is [state] on?";
constexpr std::chrono::milliseconds kLookAgain{50};

std::optional<std::string> ask(const Address& where, const std::string& call) {
    return ask_console("state", where, "state " + call, kHint);
}

void print(const StateWords& words, const std::string& reply) {
    words.json ? print_json(reply) : print_table(reply);
}

int write(const StateWords& words, const Address& where) {
    std::string value = words.value;
    std::uint64_t expires_ms = std::uint64_t{words.expires_s} * 1000;
    if (words.what == "settle" && value.empty()) {
        // What has the word stays, for as long as it would have; what was beside it is written over.
        const auto reply = ask(where, "get " + percent_encode(words.table));
        if (!reply) return kNo;
        std::istringstream lines(*reply);
        for (std::string line; std::getline(lines, line);) {
            std::map<std::string, std::string> fields;
            for (auto& [name, text] : fields_of(line)) fields.emplace(name, text);
            if (fields["key"] != words.key || fields["standing"] != "1") continue;
            value = fields["value"];
            if (expires_ms == 0 && fields["expires_s"] != "never")
                expires_ms = std::stoull(fields["expires_s"]) * 1000;
        }
        if (value.empty()) {
            log("state: nothing stands there: settle it with a value, or delete it");
            return kBadUse;
        }
    }
    std::string call = fmt::format("{} {} {}", words.what == "delete" ? "delete" : "put",
                                   percent_encode(words.table), percent_encode(words.key));
    if (words.what != "delete") call += " " + percent_encode(value);
    call += fmt::format(" within={}", words.within_s * 1000);
    call += words.reach == "majority" ? " majority" : fmt::format(" others={}", words.reach);
    if (expires_ms > 0) call += fmt::format(" expires={}", expires_ms);
    if (!words.reason.empty()) call += " " + percent_encode("reason=" + words.reason);
    const auto reply = ask(where, call);
    if (!reply) return kNo;
    if (const std::string why = field_of(*reply, "refused"); !why.empty()) {
        log("state: refused: " + why);
        return kNo;
    }
    const std::string ticket = field_of(*reply, "ticket");
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(words.within_s + 1);
    for (;;) {
        const auto outcome = ask(where, "outcome " + ticket);
        if (!outcome) return kNo;
        if (field_of(*outcome, "waits").empty()) {
            const bool reached = field_of(*outcome, "reached") == "1";
            const std::string got = field_of(*outcome, "got"), wanted = field_of(*outcome, "wanted");
            if (words.json) {
                print_json(*outcome);
            } else {
                std::cout << (reached ? "written; " : "written here; ") << got
                          << " others are known to have it"
                          << (reached ? "" : ", of " + wanted + " wanted: it may have got further") << "\n";
            }
            return reached ? 0 : kNotFar;
        }
        if (std::chrono::steady_clock::now() > until) return kNotFar;
        std::this_thread::sleep_for(kLookAgain);
    }
}

int diff(const StateWords& words, const Address& where) {
    const auto other = parse_address(words.other);
    if (!other) {
        log("state: '" + words.other + "' is no address");
        return kBadUse;
    }
    std::map<std::string, std::string> sides[2];
    const Address* const consoles[] = {&where, &*other};
    for (int i = 0; i < 2; ++i) {
        const auto reply = ask(*consoles[i], "get");
        if (!reply) return kNo;
        std::istringstream lines(*reply);
        for (std::string line; std::getline(lines, line);) {
            std::map<std::string, std::string> fields;
            for (auto& [name, text] : fields_of(line)) fields.emplace(name, text);
            sides[i][fields["table"] + " " + fields["key"]] =
                fmt::format("{} by {} ({}.{}), {} versions", fields["value"], fields["by"], fields["writer"],
                            fields["count"], fields["versions"]);
        }
    }
    bool differ = false;
    const auto tell = [&](const std::string& key, const std::string& a, const std::string& b) {
        differ = true;
        std::cout << key << "\n  here:  " << a << "\n  there: " << b << "\n";
    };
    for (const auto& [key, value] : sides[0]) {
        const auto it = sides[1].find(key);
        if (it == sides[1].end()) {
            tell(key, value, "-");
        } else if (it->second != value) {
            tell(key, value, it->second);
        }
    }
    for (const auto& [key, value] : sides[1]) {
        if (!sides[0].contains(key)) tell(key, "-", value);
    }
    return differ ? kNo : 0;
}

}  // namespace

int ask_state(const StateWords& words) {
    const auto address = console_address("state", words.console);
    if (!address) return kBadUse;
    if (words.what == "put" || words.what == "delete" || words.what == "settle")
        return write(words, *address);
    if (words.what == "diff") return diff(words, *address);
    const auto reply = ask(*address, words.what == "get" ? "get " + percent_encode(words.table) : words.what);
    if (!reply) return kNo;
    if (const std::string why = field_of(*reply, "refused"); !why.empty()) {
        log("state: " + why);
        return kNo;
    }
    if (words.key.empty()) {
        print(words, *reply);
        return 0;
    }
    std::string only;
    std::istringstream lines(*reply);
    for (std::string line; std::getline(lines, line);) {
        if (field_of(line, "key") == words.key) only += line + "\n";
    }
    print(words, only);
    return only.empty() ? kNo : 0;
}

}  // namespace martenford
