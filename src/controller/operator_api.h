// Connects the operator's HTTP calls with the configuration service.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "config_service/config_service.h"
#include "control_api/control_api.h"
#include "core/scheduler.h"
#include "raft/raft_node.h"

namespace martenford::controller {

/// Limit on open connections to the operator API.
inline constexpr std::size_t kMaxOperatorConnections = 512;

/// Handlers that submit each call to `service`, then call `after_submit`. `clock` and `service` outlive them.
[[nodiscard]] std::map<control_api::CallName, control_api::Handler> operator_call_handlers(
    const Scheduler& clock, config_service::ConfigService& service,
    const std::function<void()>& after_submit);

/// Logs every decision of the service, and lets it redirect calls to the leader (HTTP 307), whose operator
/// API has the same port as this one's.
void connect_config_service(config_service::ConfigService& service, std::uint16_t control_port);

/// Base URL of the operator API on the machine of `leader`; empty if its address can't be parsed.
[[nodiscard]] std::string operator_api_url(const raft::Member& leader, std::uint16_t control_port);

}  // namespace martenford::controller
