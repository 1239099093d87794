#include "command/lines.h"

#include <fmt/format.h>

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "core/words.h"

namespace martenford {

LineFields fields_of(const std::string& line) {
    LineFields result;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != word.npos && (result.empty() || result.back().first != "text")) {
            const std::string value = word.substr(equals + 1);
            result.emplace_back(word.substr(0, equals), percent_decode(value).value_or(value));
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

std::string field_of(const std::string& reply, const std::string& name) {
    std::istringstream lines(reply);
    for (std::string line; std::getline(lines, line);) {
        for (const auto& [key, value] : fields_of(line)) {
            if (key == name) return value;
        }
    }
    return {};
}

}  // namespace martenford
