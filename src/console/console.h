// The operators' console: a connection carries one command line and one reply, then it ends.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "console/console_commands.h"
#include "core/address.h"
#include "core/counters.h"
#include "core/listening_socket.h"
#include "core/loop.h"

namespace martenford {

class Console {
  public:
    /// Maximum number of connections; the oldest one is closed to make room for a new one.
    static constexpr std::size_t kMaxConnections = 16;

    /// Accepts connections from now on.
    Console(EventLoop& loop, ListeningSocket socket, ConsoleCommands commands, Counters& counters);
    ~Console();
    Address listens_at() const { return acceptor_.local_endpoint(); }

  private:
    class Connection;
    using Connections = std::list<std::shared_ptr<Connection>>;

    void accept();

    EventLoop& loop_;
    ConsoleCommands commands_;
    asio::ip::tcp::acceptor acceptor_;
    Timer accept_timer_;
    Connections connections_;
    Counter &answered_, &cut_off_;
};

}  // namespace martenford
