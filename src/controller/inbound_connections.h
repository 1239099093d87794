// The connections that proxies and other controllers have opened to this controller.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "controller/watchers.h"
#include "core/listening_socket.h"
#include "core/loop.h"
#include "rpc/channel.h"

namespace martenford::controller {

/// Further connections are closed at once: twice the 2,000 proxies of the largest mesh that is planned for.
inline constexpr std::size_t kMaxInboundConnections = 4096;

class InboundConnections {
  public:
    struct Handlers {
        std::function<void(ConnectionId, rpc::Message&&)> on_message;
        std::function<void(ConnectionId)> on_closed;
    };

    /// Accepts from now on.
    InboundConnections(EventLoop& loop, ListeningSocket socket, Handlers handlers);

    /// No-op where the connection is gone.
    void send(ConnectionId connection, const rpc::Message& message);

  private:
    void accept(const std::shared_ptr<rpc::Channel>& channel);

    Handlers handlers_;
    std::map<ConnectionId, std::shared_ptr<rpc::Channel>> channels_;
    ConnectionId last_id_ = 0;
    rpc::Listener listener_;
};

}  // namespace martenford::controller
