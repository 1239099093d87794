#include "grpc/routes.h"

#include <algorithm>

namespace martenford::grpc {

namespace {

bool is_name(std::string_view text, bool dots) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
               (dots && c == '.');
    });
}

/// "/package.Service/Method", or "*" for the method.
bool is_path(std::string_view text) {
    const auto slash = text.rfind('/');
    if (text.empty() || text[0] != '/' || slash == 0) return false;
    const auto service = text.substr(1, slash - 1), method = text.substr(slash + 1);
    return is_name(service, true) && (method == "*" || is_name(method, false));
}

}  // namespace

Routes Routes::read(TomlReader::Table& table, const std::vector<decision::RequestClass>& classes) {
    Routes result;
    for (TomlReader::Table& entry : table.tables("route")) {
        std::string path, name;
        entry.string("path", path, true);
        if (!is_path(path)) {
            entry.reader().fail(entry.require("path"),
                                "'path' must be \"/package.Service/Method\" or \"/package.Service/*\"");
        }
        entry.string("class", name, true);
        const auto known =
            std::find_if(classes.begin(), classes.end(), [&](const auto& c) { return c.name == name; });
        if (known == classes.end()) {
            entry.reader().fail(entry.require("class"),
                                fmt::format("'class' is none of the platform's: '{}'", name));
        }
        Route route;
        route.class_index = static_cast<std::uint32_t>(known - classes.begin());
        entry.boolean("streaming", route.streaming);
        if (!result.by_path_.emplace(path, route).second) {
            entry.reader().fail(entry.require("path"), fmt::format("'{}' is there twice", path));
        }
        entry.reject_unknown_fields();
    }
    return result;
}

std::optional<Route> Routes::find(std::string_view path) const {
    if (const auto own = by_path_.find(std::string(path)); own != by_path_.end()) return own->second;
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return std::nullopt;
    const auto service = by_path_.find(std::string(path.substr(0, slash + 1)) + "*");
    return service == by_path_.end() ? std::nullopt : std::optional(service->second);
}

}  // namespace martenford::grpc
