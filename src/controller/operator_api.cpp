#include "controller/operator_api.h"

#include <utility>

#include "core/address.h"
#include "event_log/event_log.h"
#include "mesh_config/mesh_config.h"

namespace martenford::controller {
namespace {

using control_api::Call;
using control_api::CallName;
using control_api::Respond;
using event_log::Event;
using event_log::log_event;

void log_decision(bool accepted, std::uint32_t version, const std::string& reason) {
    const std::string version_text = mesh_config::text_of(version);
    if (accepted) {
        log_event(Event::ConfigAccepted, "configuration accepted", {{"version", version_text}});
    } else {
        log_event(Event::ConfigRejected, "configuration rejected",
                  {{"version", version_text}, {"why", reason}});
    }
}

}  // namespace

std::map<CallName, control_api::Handler> operator_call_handlers(const Scheduler& clock,
                                                                config_service::ConfigService& service,
                                                                const std::function<void()>& after_submit) {
    return {{CallName::Replace,
             [&clock, &service, after_submit](Call&& call, Respond respond) {
                 service.replace(clock.now(), call.body, std::move(respond));
                 after_submit();
             }},
            {CallName::Modify,
             [&clock, &service, after_submit](Call&& call, Respond respond) {
                 service.modify(clock.now(), call.body, std::move(respond));
                 after_submit();
             }},
            {CallName::Read, [&clock, &service, after_submit](Call&&, Respond respond) {
                 service.read(clock.now(), std::move(respond));
                 after_submit();
             }}};
}

void connect_config_service(config_service::ConfigService& service, std::uint16_t control_port) {
    service.on_decided = log_decision;
    service.control_address_of = [control_port](const raft::Member& leader) {
        return operator_api_url(leader, control_port);
    };
}

std::string operator_api_url(const raft::Member& leader, std::uint16_t control_port) {
    const auto address = parse_address(leader.address);
    if (!address) return "";
    return "http://" + address->address().to_string() + ":" + std::to_string(control_port);
}

}  // namespace martenford::controller
