#include "rpc/listener.h"

#include <utility>

namespace martenford::rpc {

using boost::system::error_code;

namespace {

/// Pause after a failed accept; without one a lack of file descriptors would keep the loop busy.
constexpr Duration kAcceptRetryInterval = 50ms;

}  // namespace

Listener::Listener(EventLoop& loop, ListeningSocket socket, OnAccepted on_accepted)
    : loop_(loop), on_accepted_(std::move(on_accepted)), acceptor_(loop.io()), retry_timer_(loop) {
    const auto protocol = socket.protocol();
    acceptor_.assign(protocol, socket.release());
    accept();
}

Listener::Listener(EventLoop& loop, const Address& address, OnAccepted on_accepted)
    : Listener(loop, ListeningSocket::open_or_throw(address, PortSharing::Exclusive),
               std::move(on_accepted)) {}

void Listener::accept() {
    acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;  // `this` may be destroyed
        if (error) return retry_timer_.set(loop_.now() + kAcceptRetryInterval, [this] { accept(); });
        on_accepted_(std::make_shared<Channel>(loop_, std::move(socket)));
        accept();
    });
}

}  // namespace martenford::rpc
