#include "controller/quota_service.h"

#include <variant>

#include "mesh_config/mesh_config.h"

namespace martenford::controller {

rpc::RegisterResponse QuotaService::respond(Time now, const rpc::RegisterRequest& request) {
    const std::string& node = request.registration.node;
    allocator_.report_demand(now, node, request.applied_response, request.demands, request.known_proxies);

    const registry::Registry& registry = sources_.registry;
    rpc::RegisterResponse response;
    if (sources_.raft.has_leader_lease(now)) {
        response.from_leader = true;
        response.quota_leases =
            allocator_.allocate(now, *sources_.raft.leader_since(), node, quotas_in_force(), registry.size(),
                                registry.size() - registry.live_count());
    }
    response.response_number = allocator_.response_number();
    response.request_sent_at = request.sent_at;
    response.live_proxies = static_cast<std::uint32_t>(registry.live_count());
    return response;
}

const std::map<std::string, quota::Quota>& QuotaService::quotas_in_force() {
    const rpc::ConfigRecord& record = sources_.config_service.record();
    if (record.version != quotas_version_) {
        quotas_version_ = record.version;
        quotas_ = read_quotas(record.document);
    }
    return quotas_;
}

std::map<std::string, quota::Quota> read_quotas(const std::string& document) {
    std::map<std::string, quota::Quota> quotas;
    const auto json = mesh_config::Json::parse(document, nullptr, false);
    if (json.is_discarded()) return quotas;
    const auto result = mesh_config::read_config(json);
    const auto* config = std::get_if<mesh_config::Config>(&result);
    if (!config) return quotas;
    for (const auto& tenant : mesh_config::tenants_of(*config))
        quotas[tenant.name] = {tenant.rate_per_s, tenant.burst};
    return quotas;
}

}  // namespace martenford::controller
