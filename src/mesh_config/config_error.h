// What is wrong with a document or a settings file, and where.
#pragma once

#include <string>

namespace martenford::mesh_config {

struct ConfigError {
    /// Of the field: "listeners[2].rule_set[0].route_action.timeout_ms"; empty: the document.
    std::string path;
    std::string message;

    /// "path: message", as operators are answered.
    [[nodiscard]] std::string text() const { return path.empty() ? message : path + ": " + message; }
};

}  // namespace martenford::mesh_config
