// Limits what the kernel buffers for a connection. What has arrived and is not read counts as the process's
// own memory on some platforms, and the kernel lets each buffer grow to megabytes unless it is told.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace martenford {

/// In bytes. Guards against megabytes queued for a slow reader, a third of which must drain before the next
/// write: with the kernel's default size that takes longer than the stall timeouts allow.
inline constexpr int kSendBufferBytes = 64 * 1024;
/// In bytes; Linux takes twice as much, for its own overhead. Not below a segment of the loopback interface
/// (64 KB): a sender then waits for its timer instead of for the window.
inline constexpr int kReceiveBufferBytes = 64 * 1024;

/// Call it before the connection is established where possible: what the peer has been offered by then is not
/// taken back. A socket that cannot be limited is one whose connection is gone: the next read says so.
inline void limit_socket_buffers(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::socket::send_buffer_size(kSendBufferBytes), ignored);
    socket.set_option(boost::asio::ip::tcp::socket::receive_buffer_size(kReceiveBufferBytes), ignored);
}

/// Opens a socket that is about to connect to `address`, with its buffers limited. An error is left to the
/// connect, which opens the socket if it is closed.
inline void open_with_limited_buffers(boost::asio::ip::tcp::socket& socket,
                                      const boost::asio::ip::tcp::endpoint& address) {
    boost::system::error_code error;
    socket.open(address.protocol(), error);
    if (!error) limit_socket_buffers(socket);
}

}  // namespace martenford
