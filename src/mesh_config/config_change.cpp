#include "mesh_config/config_change.h"

#include <optional>
#include <string>

namespace martenford::mesh_config {

namespace {

using Result = std::optional<ConfigError>;

/// `services` is the name of the list `clusters` that operators see.
std::string list_name(const std::string& name) {
    return name == "services" ? "clusters" : name;
}

void upsert_named(Json& items, const Json& item) {
    for (Json& existing : items) {
        if (existing.value("name", "") == item.value("name", "")) {
            existing = item;
            return;
        }
    }
    items.push_back(item);
}

void remove_named(Json& items, const std::string& name) {
    for (auto it = items.begin(); it != items.end(); ++it) {
        if (it->value("name", "") == name) {
            items.erase(it);
            return;
        }
    }
}

void remove_route(Json& listeners, const std::string& name) {
    for (Json& listener : listeners) {
        if (listener.contains("rule_set")) remove_named(listener["rule_set"], name);
    }
}

void remove_listener(Json& listeners, const Json& host) {
    for (auto it = listeners.begin(); it != listeners.end(); ++it) {
        if (it->value("host", "") == host.get<std::string>()) {
            listeners.erase(it);
            return;
        }
    }
}

/// Replaces the route at its position. A route that moves to another host, and a new one, goes to the end of
/// the last listener of `host`, which is added if there is none.
void upsert_route(Json& listeners, const std::string& host, const Json& rule) {
    const std::string name = rule.value("name", "");
    Json* target = nullptr;
    for (Json& listener : listeners) {
        if (listener.value("host", "") != host) continue;
        target = &listener;
        for (Json& existing : listener["rule_set"]) {
            if (existing.value("name", "") != name) continue;
            existing = rule;
            return;
        }
    }
    remove_route(listeners, name);
    if (!target) {
        listeners.push_back(Json{{"host", host}, {"rule_set", Json::array()}});
        target = &listeners.back();
    }
    (*target)["rule_set"].push_back(rule);
}

Result remove_items(Json& document, const std::string& from, const Json& names) {
    const bool routes = from == "routes" || from == "rules";
    const std::string list = list_name(from);
    if (!routes && list != "clusters" && list != "tenants" && list != "listeners")
        return ConfigError{"removals." + from, "unknown"};
    for (const Json& name : names) {
        if (routes) {
            remove_route(document["listeners"], name.get<std::string>());
        } else if (list == "listeners") {
            remove_listener(document["listeners"], name);
        } else if (document.contains(list)) {
            remove_named(document[list], name.get<std::string>());
        }
    }
    return std::nullopt;
}

void upsert_listeners(Json& document, const Json& listeners) {
    for (const Json& listener : listeners) {
        for (const Json& rule : listener.at("rule_set"))
            upsert_route(document["listeners"], listener.at("host").get<std::string>(), rule);
    }
}

Result upsert_items(Json& document, const std::string& into, const Json& items) {
    const std::string list = list_name(into);
    if (list == "listeners") {
        upsert_listeners(document, items);
    } else if (list == "clusters" || list == "tenants") {
        // An empty list is not the same as none: nothing is added by nothing.
        if (items.empty()) return std::nullopt;
        if (!document.contains(list)) document[list] = Json::array();
        for (const Json& item : items) upsert_named(document[list], item);
    } else if (list == "limits") {
        document["limits"].update(items);
    } else {
        return ConfigError{"upserts." + into, "unknown"};
    }
    return std::nullopt;
}

/// Throws nlohmann::json::exception at a member of an unexpected type.
Result apply_items(Json& document, const Json& change) {
    const Json upserts = change.value("upserts", Json::object());
    const Json removals = change.value("removals", Json::object());
    if (!upserts.is_object()) return ConfigError{"upserts", "an object is wanted"};
    if (!removals.is_object()) return ConfigError{"removals", "an object is wanted"};
    for (const auto& [from, names] : removals.items()) {
        if (auto error = remove_items(document, from, names)) return error;
    }
    for (const auto& [into, items] : upserts.items()) {
        if (auto error = upsert_items(document, into, items)) return error;
    }
    return std::nullopt;
}

}  // namespace

std::variant<Json, ConfigError> apply_change(const Json& document, const Json& change) {
    if (!change.is_object()) return ConfigError{"", "an object is wanted"};
    Json result = document;
    // Members of an unexpected type are found by the library, which throws; checking each before would double
    // its checks. Its text is part of the answer.
    try {
        if (auto error = apply_items(result, change)) return *error;
    } catch (const nlohmann::json::exception& error) {
        return ConfigError{"", std::string("the change can't be read: ") + error.what()};
    }
    result["version"] = change.value("version", Json());
    if (change.contains("base_version")) result["base_version"] = change["base_version"];
    return result;
}

}  // namespace martenford::mesh_config
