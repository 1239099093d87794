// The address where operators call: one line a connection, one reply, and the connection ends.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "console/calls.h"
#include "core/address.h"
#include "core/counters.h"
#include "core/loop.h"

namespace martenford {

class Console {
  public:
    /// Connections held at most; whoever said least for longest makes room for the next.
    static constexpr std::size_t kMostCallers = 16;

    /// Listens at once. Throws boost::system::system_error where it can't.
    Console(EventLoop& loop, const Address& listen, Calls calls, Counters& counters);
    ~Console();
    Address listens_at() const { return acceptor_.local_endpoint(); }

  private:
    class Caller;
    using Callers = std::list<std::shared_ptr<Caller>>;

    void accept();

    EventLoop& loop_;
    Calls calls_;
    asio::ip::tcp::acceptor acceptor_;
    Timer again_;
    Callers callers_;
    Counter &answered_, &cut_off_;
};

}  // namespace martenford
