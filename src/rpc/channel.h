// Connections between the mesh's own processes: frames with Cap'n Proto messages, both ways on one
// connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/address.h"
#include "core/loop.h"
#include "framing/frame.h"
#include "rpc/messages.h"

namespace martenford::rpc {

/// One connection. Closes itself where the peer doesn't speak as agreed, doesn't read (kMostQueued bytes
/// wait) or doesn't acknowledge for a second (TCP_USER_TIMEOUT).
class Channel : public std::enable_shared_from_this<Channel> {
  public:
    using OnMessage = std::function<void(Message&&)>;
    using OnClosed = std::function<void()>;

    Channel(Loop& loop, asio::ip::tcp::socket socket);
    void start(OnMessage heard, OnClosed closed);
    void send(const Message& message) { send_frame(frame(message)); }
    /// The bytes of a message, for one that goes to many.
    static std::shared_ptr<const std::string> frame(const Message& message);
    void send_frame(std::shared_ptr<const std::string> frame);
    /// Calls nothing any more.
    void close();
    bool is_open() const { return is_open_; }
    Time last_received_at() const { return last_received_at_; }
    Address peer() const { return peer_; }

  private:
    void read();
    void write();
    void fail();

    Loop& loop_;
    asio::ip::tcp::socket socket_;
    Address peer_;
    framing::FrameReader reader_{kMaxMessageBytes};
    std::string buffer_;
    std::deque<std::shared_ptr<const std::string>> queue_;
    std::size_t queued_bytes_ = 0;
    bool is_open_ = true, writing_ = false;
    Time last_received_at_{};
    OnMessage on_message_;
    OnClosed on_closed_;
};

/// Keeps a connection to one address: dials again, with a pause, whenever it ends. An attempt that takes long
/// goes on beside the next ones: behind a link whose queue is longer than the time for one, none would ever
/// come up; and one whose opening packet was lost is not waited for.
class ReconnectingClient {
  public:
    ReconnectingClient(Loop& loop, const Address& to, Channel::OnMessage heard, std::function<void()> up,
                       std::function<void()> down);
    ~ReconnectingClient();
    const Address& address() const { return address_; }
    bool is_connected() const { return channel_ && channel_->is_open(); }
    /// Dropped where there is no connection.
    void send(const Message& message) {
        if (is_connected()) channel_->send(message);
    }
    /// Ends the connection, and dials anew after the pause.
    void reconnect();
    Time last_received_at() const { return channel_ ? channel_->last_received_at() : Time{}; }

  private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    void dial();
    void schedule_dial();
    void end_attempts();

    Loop& loop_;
    const Address address_;
    Channel::OnMessage on_message_;
    std::function<void()> on_connected_, on_disconnected_;
    std::deque<Socket> attempts_;  // the oldest first
    std::shared_ptr<Channel> channel_;
    Timer attempt_timer_;
    Duration pause_;
};

/// Accepts connections.
class Listener {
  public:
    /// Throws boost::system::system_error where it can't listen.
    Listener(Loop& loop, const Address& at, std::function<void(std::shared_ptr<Channel>)> accepted);

  private:
    void accept();
    Loop& loop_;
    std::function<void(std::shared_ptr<Channel>)> on_accepted_;
    asio::ip::tcp::acceptor acceptor_;
    Timer retry_timer_;
};

}  // namespace martenford::rpc
