// Reading structs that Boost.Describe knows: from JSON and from TOML, with the path of what is wrong.
#pragma once

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace martenford::mesh_config {

using Json = nlohmann::ordered_json;

/// What is wrong, and where: "listeners[2].rule_set[0].route_action.timeout_ms".
struct ConfigError {
    std::string path;
    std::string message;
    std::string text() const { return path.empty() ? message : path + ": " + message; }
};

template <class T>
concept Described = boost::describe::has_describe_members<T>::value;

// One overload for each kind of field. A field that is absent keeps its default; one of another type is a
// problem, one that the struct does not know is passed over.
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
        if (auto problem = read(from[i], to.emplace_back(), path + "[" + std::to_string(i) + "]"))
            return problem;
    }
    return std::nullopt;
}
template <Described T>
std::optional<ConfigError> read(const Json& from, T& to, const std::string& path) {
    if (!from.is_object()) return ConfigError{path, "an object is wanted"};
    std::optional<ConfigError> problem;
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_public>>(
        [&](auto member) {
            if (problem) return;
            const auto found = from.find(member.name);
            if (found == from.end()) return;
            problem = read(*found, to.*member.pointer, path.empty() ? member.name : path + "." + member.name);
        });
    return problem;
}

}  // namespace martenford::mesh_config
