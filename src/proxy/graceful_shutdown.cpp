#include "proxy/graceful_shutdown.h"

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
    parts_.local_endpoint.begin_shutdown(grace_ / kEndpointShareOfGrace);
    const auto done = [this] {
        if (--listeners_draining_ == 0) parts_.loop.stop();
    };
    listeners_draining_ = 2;
    parts_.outbound.drain(done);
    parts_.inbound.drain(done);
    parts_.loop.add(parts_.loop.now() + grace_ - kExitMargin, [this] { parts_.loop.stop(); });
}

}  // namespace martenford::proxy
