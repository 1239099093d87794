// Typed access to the fields of a JSON object; what is missing or wrong is named. No decisions.
#pragma once

#include <simdjson.h>

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "martenford/decision/balancer.h"

namespace martenford::decision::json {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

/// Malformed input: the text names the field.
struct FieldError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[noreturn]] inline void throw_field_error(const std::string& what) {
    throw FieldError(what);
}

/// The value of a field; nothing where it is absent or null.
inline std::optional<element> find(const object& from, std::string_view name) {
    element value;
    if (from[name].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

inline element require(const object& from, std::string_view name) {
    if (auto value = find(from, name)) return *value;
    throw_field_error("field '" + std::string(name) + "' is missing");
}

template <typename T>
T as(const element& value, std::string_view name, const char* kind) {
    T result;
    if (value.get(result) != simdjson::SUCCESS)
        throw_field_error("field '" + std::string(name) + "' is not " + kind);
    return result;
}

inline std::uint64_t to_unsigned(const element& value, std::string_view name,
                                 std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
    const auto number = as<std::uint64_t>(value, name, "a whole number of 0 or more");
    if (number > max) throw_field_error("field '" + std::string(name) + "' is out of range");
    return number;
}
constexpr std::uint64_t kMaxU32 = std::numeric_limits<std::uint32_t>::max();

inline std::uint32_t require_u32(const object& from, std::string_view name, std::uint64_t max = kMaxU32) {
    return static_cast<std::uint32_t>(to_unsigned(require(from, name), name, max));
}
inline std::uint32_t u32_or(const object& from, std::string_view name, std::uint32_t fallback) {
    const auto value = find(from, name);
    return value ? static_cast<std::uint32_t>(to_unsigned(*value, name, kMaxU32)) : fallback;
}
inline Duration to_duration(const element& value, std::string_view name) {
    return Duration{as<std::int64_t>(value, name, "a time in whole nanoseconds")};
}
inline Duration to_nonnegative_duration(const element& value, std::string_view name) {
    const Duration span = to_duration(value, name);
    if (span < Duration{}) throw_field_error("field '" + std::string(name) + "' is a negative span");
    return span;
}
inline Duration require_duration(const object& from, std::string_view name) {
    return to_nonnegative_duration(require(from, name), name);
}
inline Duration duration_or_zero(const object& from, std::string_view name) {
    const auto value = find(from, name);
    return value ? to_nonnegative_duration(*value, name) : Duration{};
}
inline Time require_time(const object& from, std::string_view name) {
    return Time{to_duration(require(from, name), name)};
}
inline double require_number(const object& from, std::string_view name) {
    return as<double>(require(from, name), name, "a number");
}
inline double number_or(const object& from, std::string_view name, double fallback) {
    const auto value = find(from, name);
    return value ? as<double>(*value, name, "a number") : fallback;
}
inline bool bool_or(const object& from, std::string_view name, bool fallback) {
    const auto value = find(from, name);
    return value ? as<bool>(*value, name, "true or false") : fallback;
}
inline std::string_view require_string(const object& from, std::string_view name) {
    return as<std::string_view>(require(from, name), name, "a text");
}
inline object require_object(const object& from, std::string_view name) {
    return as<object>(require(from, name), name, "an object");
}
/// An absent array reads as an empty one.
inline std::vector<element> elements(const object& from, std::string_view name) {
    std::vector<element> result;
    if (const auto value = find(from, name)) {
        for (const element item : as<array>(*value, name, "an array")) result.push_back(item);
    }
    return result;
}

/// How many names a list gives; one where it is absent or empty, as everything has some zone, kind and tier.
inline std::uint32_t count_or_one(const object& from, std::string_view name) {
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(elements(from, name).size()));
}

template <typename T>
T enum_value(std::string_view text, std::string_view name,
             std::initializer_list<std::pair<std::string_view, T>> values) {
    for (const auto& [name_text, meaning] : values) {
        if (name_text == text) return meaning;
    }
    throw_field_error("field '" + std::string(name) + "' has an unknown word");
}

}  // namespace martenford::decision::json
