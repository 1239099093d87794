// A configuration in words: what it holds, which route a request takes and why, what changed between two.
// Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mesh_config/mesh_config.h"

namespace martenford::mesh_config {

/// What it holds, and what is valid and yet looks wrong.
std::string summary(const Config& config);

struct RouteExplanation {
    bool found = false;
    std::string text;
};
/// The route of a request, and those of its host that begin its path as well but are shorter.
RouteExplanation explain_route(const Config& config, std::string_view host, std::string_view path);

/// What changed, a line each, the gravest first: routes that must not be repeated any more or may be from now
/// on, routes that go elsewhere or are gone, keys that ended, quotas that fell; then the rest.
std::vector<std::string> explain_change(const Config& before, const Config& after);

}  // namespace martenford::mesh_config
