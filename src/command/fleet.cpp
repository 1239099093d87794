#include "command/fleet.h"

#include <fmt/format.h>

#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <vector>

#include "command/console_client.h"

namespace martenford {

namespace {

constexpr int kNo = 1, kBadUse = 2;
constexpr std::chrono::milliseconds kWatchEvery{500};
constexpr const char* kHint = "is [fleet] on?";

/// "name=n3 state=alive a b" as its fields, in order; what has no '=' is text.
std::vector<std::pair<std::string, std::string>> fields_of(const std::string& line) {
    std::vector<std::pair<std::string, std::string>> result;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != word.npos && (result.empty() || result.back().first != "text")) {
            result.emplace_back(word.substr(0, equals), word.substr(equals + 1));
        } else if (!result.empty() && result.back().first == "text") {
            result.back().second += " " + word;
        } else {
            result.emplace_back("text", word);
        }
    }
    return result;
}

void print_json(const std::string& reply) {
    std::istringstream lines(reply);
    for (std::string line; std::getline(lines, line);) {
        nlohmann::ordered_json object;
        for (const auto& [key, value] : fields_of(line)) object[key] = value;
        std::cout << object.dump() << "\n";
    }
    std::cout << std::flush;
}

/// As a table: the columns of the first line that has each.
void print_table(const std::string& reply) {
    std::vector<std::string> columns;
    std::map<std::string, std::size_t> widths;
    std::vector<std::map<std::string, std::string>> rows;
    std::istringstream lines(reply);
    for (std::string line; std::getline(lines, line);) {
        auto& row = rows.emplace_back();
        for (const auto& [key, value] : fields_of(line)) {
            if (!widths.contains(key)) columns.push_back(key);
            widths[key] = std::max({widths[key], key.size(), value.size()});
            row[key] = value;
        }
    }
    std::string head;
    for (const std::string& column : columns) head += fmt::format("{:<{}}  ", column, widths[column]);
    std::cout << head << "\n";
    for (auto& row : rows) {
        std::string text;
        for (const std::string& column : columns)
            text += fmt::format("{:<{}}  ", row[column], widths[column]);
        std::cout << text.substr(0, text.find_last_not_of(' ') + 1) << "\n";
    }
}

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
