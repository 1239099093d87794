// Words of a call on one line: what would end a word or a line is written as %XX.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace martenford {

inline std::string percent_encode(std::string_view text) {
    constexpr char kDigits[] = "0123456789abcdef";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte > ' ' && byte <= '~' && c != '%') {
            result += c;
        } else {
            result += '%';
            result += kDigits[byte >> 4];
            result += kDigits[byte & 15];
        }
    }
    return result;
}

/// Nothing where a % is followed by no two digits.
inline std::optional<std::string> percent_decode(std::string_view text) {
    const auto digit = [](char c) {
        return c >= '0' && c <= '9'   ? c - '0'
               : c >= 'a' && c <= 'f' ? c - 'a' + 10
               : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                      : -1;
    };
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        if (i + 2 >= text.size() || digit(text[i + 1]) < 0 || digit(text[i + 2]) < 0) return std::nullopt;
        result += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
        i += 2;
    }
    return result;
}

/// The first word, and the rest.
inline std::pair<std::string_view, std::string_view> split_first_word(std::string_view line) {
    const std::size_t end = std::min(line.find(' '), line.size());
    return {line.substr(0, end), line.substr(std::min(end + 1, line.size()))};
}

}  // namespace martenford
