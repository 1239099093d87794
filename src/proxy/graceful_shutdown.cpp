#include "proxy/graceful_shutdown.h"

#include <chrono>
#include <string>
#include <utility>

#include "event_log/event_log.h"

namespace martenford::proxy {
namespace {

/// Left of the grace period for the process to end by itself.
constexpr Duration kExitMargin = 200ms;
/// The endpoint is used for this part of the grace period: clients still come until they have seen that the
/// proxy is not ready.
constexpr int kEndpointShareOfGrace = 4;

}  // namespace

void GracefulShutdown::begin() {
    if (std::exchange(in_progress_, true)) return;
    event_log::log_event(event_log::Event::Stopping, "stopping");
    began_at_ = parts_.loop.now();
    parts_.local_endpoint.begin_shutdown(grace_ / kEndpointShareOfGrace);
    const auto done = [this] {
        if (--listeners_draining_ == 0) finish(true);
    };
    listeners_draining_ = 2;
    parts_.outbound.drain(done);
    parts_.inbound.drain(done);
    parts_.loop.add(began_at_ + grace_ - kExitMargin, [this] { finish(false); });
}

void GracefulShutdown::finish(bool drained) {
    const ClientBacklog clients = parts_.outbound.backlog();
    const ClientBacklog proxies = parts_.inbound.backlog();
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(parts_.loop.now() - began_at_);
    event_log::log_event(event_log::Event::Stopped, "stopped",
                         {{"drained", drained ? "yes" : "no"},
                          {"after_ms", std::to_string(took.count())},
                          {"client_requests", std::to_string(clients.requests)},
                          {"client_bytes", std::to_string(clients.unsent_bytes)},
                          {"proxy_requests", std::to_string(proxies.requests)},
                          {"proxy_bytes", std::to_string(proxies.unsent_bytes)}});
    const std::size_t cut = clients.awaited_answers + proxies.awaited_answers;
    if (cut > 0) {
        event_log::log_event(event_log::Event::AnswersCut, "answers cut by the exit",
                             {{"clients", std::to_string(clients.awaited_answers)},
                              {"proxies", std::to_string(proxies.awaited_answers)}});
    }
    parts_.loop.stop();
}

}  // namespace martenford::proxy
