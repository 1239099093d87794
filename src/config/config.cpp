#include "config/config.h"

#include <charconv>
#include <cstdlib>

#include "config/read_settings.h"

namespace martenford {

using namespace martenford::decision::json;

namespace {

constexpr std::size_t kMinSockets = 64;

/// A variable, if one is named, overrides the field beside it, or stands in for it.
std::string text(const object& from, const char* variable, std::string_view field) {
    if (const char* value = variable ? std::getenv(variable) : nullptr; value && *value) return value;
    return std::string(require_string(from, field));
}

Address address(const object& from, const char* variable, std::string_view field) {
    const std::string value = text(from, variable, field);
    if (const auto parsed = parse_address(value)) return *parsed;
    throw_field_error("field '" + std::string(field) + "' is no address: '" + value + "'");
}

std::vector<std::string> names(const object& from, std::string_view field) {
    std::vector<std::string> result;
    for (const element& item : elements(from, field)) {
        result.emplace_back(as<std::string_view>(item, field, "an array of texts"));
    }
    return result;
}

/// Hexadecimal digits, 64 bits of them.
std::uint64_t read_seed(const object& from) {
    const std::string_view digits = require_string(from, "seed");
    std::uint64_t seed = 0;
    const char* end = digits.data() + digits.size();
    const auto [stop, fault] = std::from_chars(digits.data(), end, seed, 16);
    if (fault != std::errc{} || stop != end)
        throw_field_error("field 'seed' is no hexadecimal number of 64 bits");
    return seed;
}

/// Loads the file and reads it by `read`; what is wrong with it names the field.
template <typename Read>
auto with_config_file(Read read) {
    const char* path = std::getenv("PROXY_CONFIG");
    if (!path || !*path) throw ConfigError("PROXY_CONFIG is not set");
    simdjson::dom::parser parser;
    element root;
    if (const auto error = parser.load(path).get(root)) {
        throw ConfigError(std::string(path) + ": " + simdjson::error_message(error));
    }
    try {
        return read(as<object>(root, "PROXY_CONFIG", "an object"));
    } catch (const FieldError& error) {
        throw ConfigError(std::string(path) + ": " + error.what());
    } catch (const std::invalid_argument& error) {  // settings that make no sense
        throw ConfigError(std::string(path) + ": " + error.what());
    }
}

Config read_all(const object& top) {
    Config result;
    result.name = text(top, "PROXY_NAME", "name");
    result.listen = address(top, "PROXY_LISTEN", "listen");
    result.discovery = address(top, "PROXY_DISCOVERY", "discovery");
    const char* console = std::getenv("PROXY_CONSOLE");
    if ((console && *console) || find(top, "console"))
        result.console = address(top, "PROXY_CONSOLE", "console");
    result.seed = read_seed(top);
    if (find(top, "limits")) {
        result.sockets = u32_or(require_object(top, "limits"), "sockets", 1024);
        if (result.sockets < kMinSockets) throw_field_error("field 'limits.sockets' is too small");
    }
    const auto settings = require_object(top, "settings");
    result.settings = read_settings(settings);
    result.names = {names(settings, "dcs"), names(settings, "kinds")};
    if (find(top, "known")) result.known = parse_targets(require_object(top, "known"), result.names);
    return result;
}

}  // namespace

Config read_config() {
    return with_config_file(read_all);
}

Address reload_discovery_address() {
    return with_config_file([](const object& top) {
        const Config whole = read_all(top);
        decision::validate(whole.settings);
        // The variable is the start's: only the file can have changed since.
        return address(top, nullptr, "discovery");
    });
}

}  // namespace martenford
