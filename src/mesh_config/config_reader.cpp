#include "mesh_config/config_reader.h"

#include <cstddef>

#include "mesh_config/validation.h"

namespace martenford::mesh_config {

namespace {

/// Levels of nesting. The deepest field of the schema, a split of a route, is at level 7; the rest is room
/// for fields that a later schema adds and this one ignores.
constexpr int kMaxJsonDepth = 64;

/// Values of a document, at most. An empty object takes 3 bytes of a document and some 90 of memory once it
/// is parsed, so that one document could otherwise take all memory of a controller. A route has about 15
/// values.
constexpr std::size_t kMaxJsonValues = 1'000'000;

/// Returns the index of the closing quote of the string that begins at `opening_quote`, or the text's size or
/// more.
std::size_t skip_string(std::string_view text, std::size_t opening_quote) {
    std::size_t at = opening_quote + 1;
    for (; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\') ++at;
    }
    return at;
}

/// Whether parsing the text would take too much stack or too much memory. Each value but the first of an
/// array or an object follows a comma.
bool is_too_complex(std::string_view text) {
    int depth = 0;
    std::size_t values = 1;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (c == '"') at = skip_string(text, at);
        if (c == '}' || c == ']') --depth;
        const bool opens = c == '{' || c == '[';
        if (!opens && c != ',') continue;
        if (++values > kMaxJsonValues) return true;
        if (opens && ++depth > kMaxJsonDepth) return true;
    }
    return false;
}

}  // namespace

std::optional<Json> parse_object(std::string_view text) {
    if (is_too_complex(text)) return std::nullopt;
    Json parsed = Json::parse(text, nullptr, false);
    if (!parsed.is_object()) return std::nullopt;
    return parsed;
}

std::variant<Config, ConfigError> read_config(const Json& document) {
    Config config;
    if (auto error = read(document, config, "")) return *error;
    if (!parse_version(config.version)) return ConfigError{"version", "eight hexadecimal digits are wanted"};
    if (!document.contains("listeners") || !document.contains("clusters"))
        return ConfigError{"", "listeners and clusters are wanted"};
    if (auto error = validate(config)) return *error;
    return config;
}

}  // namespace martenford::mesh_config
