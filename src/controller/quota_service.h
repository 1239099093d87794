// Answers the proxies' registrations with quota leases: the tenants' limits of the configuration in force,
// allocated by the leader alone. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "config_service/config_service.h"
#include "core/scheduler.h"
#include "quota/quota.h"
#include "raft/raft_node.h"
#include "registry/registry.h"
#include "rpc/messages.h"

namespace martenford::controller {

class QuotaService {
  public:
    /// What quotas depend on. All of it outlives the service.
    struct Sources {
        const registry::Registry& registry;
        config_service::ConfigService& config_service;
        const raft::RaftNode& raft;
    };

    QuotaService(const quota::QuotaAllocator::Options& options, Sources sources)
        : sources_(sources), allocator_(options) {}

    /// Records the proxy's demands, on every controller, so that a new leader knows them; without the
    /// leader's lease the response has no quota leases and `from_leader` is false.
    [[nodiscard]] rpc::RegisterResponse respond(Time now, const rpc::RegisterRequest& request);

  private:
    const std::map<std::string, quota::Quota>& quotas_in_force();

    Sources sources_;
    quota::QuotaAllocator allocator_;
    std::map<std::string, quota::Quota> quotas_;  // by tenant, of `quotas_version_`
    std::uint32_t quotas_version_ = 0;            // 0: no configuration yet
};

/// The tenants' quotas of a configuration; none where the document can't be read.
[[nodiscard]] std::map<std::string, quota::Quota> read_quotas(const std::string& document);

}  // namespace martenford::controller
