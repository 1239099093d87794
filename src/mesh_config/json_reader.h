// Reads structs that are described with BOOST_DESCRIBE_STRUCT from JSON (and from TOML that was turned into
// JSON), and names the path of the first error. One overload of read() for each type of field. An absent
// field keeps its default, a field of another type is an error, and a field that the struct does not have is
// ignored.
#pragma once

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "mesh_config/config_error.h"

namespace martenford::mesh_config {

/// Keeps the order of members, so a stored document is given back as it was sent.
using Json = nlohmann::ordered_json;

template <class T>
concept Described = boost::describe::has_describe_members<T>::value;

// Each returns the error, or nothing if `to` was read. `path` is the field's path in the document.

inline std::optional<ConfigError> read(const Json& from, std::string& to, const std::string& path) {
    if (!from.is_string()) return ConfigError{path, "a text is wanted"};
    to = from.get<std::string>();
    return std::nullopt;
}

inline std::optional<ConfigError> read(const Json& from, bool& to, const std::string& path) {
    if (!from.is_boolean()) return ConfigError{path, "true or false is wanted"};
    to = from.get<bool>();
    return std::nullopt;
}

inline std::optional<ConfigError> read(const Json& from, std::int64_t& to, const std::string& path) {
    if (from.is_number_unsigned() && from.get<std::uint64_t>() > INT64_MAX)
        return ConfigError{path, "it is too large"};
    if (!from.is_number_integer()) return ConfigError{path, "a whole number is wanted"};
    to = from.get<std::int64_t>();
    return std::nullopt;
}

inline std::optional<ConfigError> read(const Json& from, double& to, const std::string& path) {
    if (!from.is_number()) return ConfigError{path, "a number is wanted"};
    to = from.get<double>();
    return std::nullopt;
}

template <Described T>
std::optional<ConfigError> read(const Json& from, T& to, const std::string& path);

template <class T>
std::optional<ConfigError> read(const Json& from, std::optional<T>& to, const std::string& path) {
    return read(from, to.emplace(), path);
}

template <class T>
std::optional<ConfigError> read(const Json& from, std::vector<T>& to, const std::string& path) {
    if (!from.is_array()) return ConfigError{path, "a list is wanted"};
    to.clear();
    for (std::size_t i = 0; i < from.size(); ++i) {
        if (auto error = read(from[i], to.emplace_back(), path + "[" + std::to_string(i) + "]")) return error;
    }
    return std::nullopt;
}

/// Fields are read in the order of their description.
template <Described T>
std::optional<ConfigError> read(const Json& from, T& to, const std::string& path) {
    if (!from.is_object()) return ConfigError{path, "an object is wanted"};
    std::optional<ConfigError> error;
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_public>>(
        [&](auto member) {
            if (error) return;
            const auto found = from.find(member.name);
            if (found == from.end()) return;
            error = read(*found, to.*member.pointer, path.empty() ? member.name : path + "." + member.name);
        });
    return error;
}

}  // namespace martenford::mesh_config
