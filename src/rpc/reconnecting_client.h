// The client's side of a connection between the mesh's own processes: connects again whenever it ends.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "core/address.h"
#include "core/loop.h"
#include "rpc/channel.h"

namespace martenford::rpc {

/// Keeps a connection to one address. After a failed attempt or the end of a connection it connects again,
/// with a backoff of 100 ms to 400 ms that starts anew at each success.
///
/// An attempt that is not answered within 400 ms goes on while the next one is made beside it; the first to
/// succeed wins, and at most four run at once. So a link whose round trip exceeds 400 ms still connects, and
/// a lost SYN is not waited for.
///
/// Ownership: the owner keeps it; no callback is called after its destruction. `loop` must outlive it.
/// Threads: all calls and all callbacks run on the loop's thread.
class ReconnectingClient {
  public:
    using OnConnected = std::function<void()>;
    using OnDisconnected = std::function<void()>;

    /// Makes the first attempt at once. `on_connected` is called with each new connection, `on_disconnected`
    /// at the end of each. A callback must not destroy the client.
    ReconnectingClient(EventLoop& loop, Address address, Channel::OnMessage on_message,
                       OnConnected on_connected, OnDisconnected on_disconnected);
    ~ReconnectingClient();
    ReconnectingClient(const ReconnectingClient&) = delete;
    ReconnectingClient& operator=(const ReconnectingClient&) = delete;

    const Address& address() const { return address_; }
    bool is_connected() const { return channel_ && channel_->is_open(); }

    /// Drops the message if there is no connection. Messages that wait when a connection ends are lost.
    void send(const Message& message) {
        if (is_connected()) channel_->send(message);
    }

    /// Ends the connection and connects again after the backoff. Calls OnDisconnected. Does nothing without a
    /// connection.
    void reconnect();

    /// When bytes were last read on the present connection; Time{} without one.
    Time last_received_at() const { return channel_ ? channel_->last_received_at() : Time{}; }

  private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    void start_attempt();
    void on_attempt_done(const Socket& socket, const boost::system::error_code& error);
    void schedule_attempt();
    void cancel_attempts();

    EventLoop& loop_;
    const Address address_;
    Channel::OnMessage on_message_;
    OnConnected on_connected_;
    OnDisconnected on_disconnected_;
    std::deque<Socket> attempts_;  // oldest first
    std::shared_ptr<Channel> channel_;
    Timer attempt_timer_;  // the next attempt
    Duration backoff_;
};

}  // namespace martenford::rpc
