#include "proxy/config_document.h"

#include <variant>

namespace martenford::proxy {

std::shared_ptr<const mesh_config::RouteTable> parse_routes(std::uint32_t version,
                                                            const std::string& document) {
    const auto json = mesh_config::Json::parse(document, nullptr, false);
    if (json.is_discarded()) return nullptr;
    const auto parsed = mesh_config::read_config(json);
    const auto* config = std::get_if<mesh_config::Config>(&parsed);
    if (config == nullptr) return nullptr;
    return std::make_shared<const mesh_config::RouteTable>(version, *config);
}

std::vector<std::string> rate_limited_tenants(const mesh_config::RouteTable* routes) {
    std::vector<std::string> names;
    if (routes == nullptr) return names;
    for (const auto& tenant : routes->tenants()) {
        if (tenant.rate_per_s > 0) names.push_back(tenant.name);
    }
    return names;
}

}  // namespace martenford::proxy
