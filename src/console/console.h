// The address where operators call: one line a connection, one reply, and the connection ends.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "console/console_commands.h"
#include "core/address.h"
#include "core/counters.h"
#include "core/loop.h"

namespace martenford {

class Console {
  public:
    /// Connections held at most; whoever said least for longest makes room for the next.
    static constexpr std::size_t kMaxConnections = 16;

    /// Listens at once. Throws boost::system::system_error where it can't.
    Console(EventLoop& loop, const Address& listen, ConsoleCommands commands, Counters& counters);
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
