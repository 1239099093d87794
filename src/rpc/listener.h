// The server's side of connections between the mesh's own processes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "core/address.h"
#include "core/listening_socket.h"
#include "core/loop.h"
#include "rpc/channel.h"

namespace martenford::rpc {

/// Listens on one address and hands out a Channel for each connection. A failed accept, such as for want of
/// file descriptors, is repeated after 50 ms.
///
/// Ownership: the owner keeps it; its destruction ends listening and leaves the channels alone. `loop` must
/// outlive it.
/// Threads: all calls and the callback run on the loop's thread.
class Listener {
  public:
    /// Gets a channel that is not started yet. A channel that is neither kept nor started closes its
    /// connection.
    using OnAccepted = std::function<void(std::shared_ptr<Channel>)>;

    /// Starts to accept.
    Listener(EventLoop& loop, ListeningSocket socket, OnAccepted on_accepted);
    /// Listens first. Throws boost::system::system_error if the address cannot be listened on.
    Listener(EventLoop& loop, const Address& address, OnAccepted on_accepted);

  private:
    void accept();

    EventLoop& loop_;
    OnAccepted on_accepted_;
    asio::ip::tcp::acceptor acceptor_;
    Timer retry_timer_;
};

}  // namespace martenford::rpc
