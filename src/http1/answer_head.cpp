#include "http1/answer_head.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace martenford {
namespace {

using StringView = boost::beast::string_view;

bool is_digit(char character) {
    return std::isdigit(static_cast<unsigned char>(character)) != 0;
}

/// Whether `text` begins with the version and the status code of an answer: "HTTP/1.1 200".
bool begins_with_status_line(std::string_view text) {
    constexpr std::string_view kVersion = "HTTP/1.";
    constexpr std::size_t kMinorVersionAt = kVersion.size();
    constexpr std::size_t kCodeAt = kMinorVersionAt + 2;
    constexpr std::size_t kEnd = kCodeAt + 3;
    if (text.size() < kEnd || !text.starts_with(kVersion) || text[kMinorVersionAt + 1] != ' ') return false;
    return is_digit(text[kMinorVersionAt]) &&
           std::all_of(text.begin() + kCodeAt, text.begin() + kEnd, is_digit);
}

bool has_status_line(StringView view) {
    const std::string_view text(view.data(), view.size());
    for (auto at = text.find("HTTP/"); at != std::string_view::npos; at = text.find("HTTP/", at + 1)) {
        if (begins_with_status_line(text.substr(at))) return true;
    }
    return false;
}

}  // namespace

bool is_one_answer(const http::response_header<>& head, FieldNames stand_once) {
    if (has_status_line(head.reason())) return false;
    const bool has_joined_value = std::any_of(
        head.begin(), head.end(), [](const auto& field) { return has_status_line(field.value()); });
    if (has_joined_value || head.count(http::field::content_length) > 1) return false;
    return std::all_of(stand_once.begin(), stand_once.end(), [&head](std::string_view name) {
        return head.count(StringView(name.data(), name.size())) <= 1;
    });
}

}  // namespace martenford
