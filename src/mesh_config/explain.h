// Explains a configuration in words, for martenford-config: what it holds, which route a request takes and
// why, and what a change from one to another means for requests. Pure. Configurations have passed validate().
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mesh_config/mesh_config.h"

namespace martenford::mesh_config {

/// A line of counts, then a line for each thing that is valid and yet likely a mistake.
[[nodiscard]] std::string summary(const Config& config);

struct RouteExplanation {
    bool found = false;
    std::string text;  ///< lines, each with its line feed
};

/// The route of a request, and the routes of its host with a shorter prefix of the path.
[[nodiscard]] RouteExplanation explain_route(const Config& config, std::string_view host,
                                             std::string_view path);

/// What changed, a line each, the most severe first: routes that become or cease to be idempotent; routes
/// that go elsewhere or are gone, and keys that end; quotas that fall, new routes and removed services; then
/// the rest.
[[nodiscard]] std::vector<std::string> explain_change(const Config& before, const Config& after);

}  // namespace martenford::mesh_config
