#include "controller/inbound_connections.h"

#include <utility>

namespace martenford::controller {

InboundConnections::InboundConnections(EventLoop& loop, ListeningSocket socket, Handlers handlers)
    : handlers_(std::move(handlers)),
      listener_(loop, std::move(socket), [this](const auto& channel) { accept(channel); }) {}

void InboundConnections::send(ConnectionId connection, const rpc::Message& message) {
    const auto found = channels_.find(connection);
    if (found == channels_.end()) return;
    // A failed send closes the channel and erases it from the map while it is still running.
    const std::shared_ptr<rpc::Channel> channel = found->second;
    channel->send(message);
}

void InboundConnections::accept(const std::shared_ptr<rpc::Channel>& channel) {
    if (channels_.size() >= kMaxInboundConnections) {
        channel->close();
        return;
    }
    const ConnectionId id = ++last_id_;
    channels_[id] = channel;
    channel->start(
        [this, id](rpc::Message&& message) {
            // One buffer may hold several messages: an answer to the first may have closed the connection.
            if (channels_.contains(id)) handlers_.on_message(id, std::move(message));
        },
        [this, id] {
            channels_.erase(id);
            handlers_.on_closed(id);
        });
}

}  // namespace martenford::controller
