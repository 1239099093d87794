// Graceful shutdown of a proxy after SIGTERM: readiness fails, clients leave, what was accepted is answered.
#pragma once

#include "core/loop.h"
#include "proxy/local_endpoint.h"
#include "proxy/traffic.h"

namespace martenford::proxy {

class GracefulShutdown {
  public:
    /// What it ends. Outlives it.
    struct Parts {
        EventLoop& loop;
        OutboundTraffic& outbound;
        InboundTraffic& inbound;
        LocalEndpoint& local_endpoint;
    };
    /// @param grace from SIGTERM to the platform's SIGKILL.
    GracefulShutdown(Parts parts, Duration grace) : parts_(parts), grace_(grace) {}

    /// Drains both ways, and stops the loop once both are drained, in any case shortly before `grace` is
    /// over. Later calls do nothing.
    void begin();
    [[nodiscard]] bool in_progress() const { return in_progress_; }

  private:
    Parts parts_;
    Duration grace_;
    void finish(bool drained);

    bool in_progress_ = false;
    Time began_at_{};
    int listeners_draining_ = 0;
};

}  // namespace martenford::proxy
