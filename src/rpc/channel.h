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
#include "passage/messages.h"

namespace martenford::passage {

/// One connection. Closes itself where the peer doesn't speak as agreed, doesn't read (kMostQueued bytes
/// wait) or doesn't acknowledge for a second (TCP_USER_TIMEOUT).
class Channel : public std::enable_shared_from_this<Channel> {
  public:
    using Heard = std::function<void(Message&&)>;
    using Closed = std::function<void()>;

    Channel(Loop& loop, asio::ip::tcp::socket socket);
    void start(Heard heard, Closed closed);
    void send(const Message& message) { send_frame(frame(message)); }
    /// The bytes of a message, for one that goes to many.
    static std::shared_ptr<const std::string> frame(const Message& message);
    void send_frame(std::shared_ptr<const std::string> frame);
    /// Calls nothing any more.
    void close();
    bool open() const { return open_; }
    Time heard_at() const { return heard_at_; }
    Address peer() const { return peer_; }

  private:
    void read();
    void write();
    void fail();

    Loop& loop_;
    asio::ip::tcp::socket socket_;
    Address peer_;
    framing::FrameReader reader_{kMostMessage};
    std::string buffer_;
    std::deque<std::shared_ptr<const std::string>> queue_;
    std::size_t queued_ = 0;
    bool open_ = true, writing_ = false;
    Time heard_at_{};
    Heard heard_;
    Closed closed_;
};

/// Keeps a connection to one address: dials again, with a pause, whenever it ends. An attempt that takes long
/// goes on beside the next ones: behind a link whose queue is longer than the time for one, none would ever
/// come up; and one whose opening packet was lost is not waited for.
class Dialer {
  public:
    Dialer(Loop& loop, const Address& to, Channel::Heard heard, std::function<void()> up,
           std::function<void()> down);
    ~Dialer();
    const Address& address() const { return to_; }
    bool up() const { return channel_ && channel_->open(); }
    /// Dropped where there is no connection.
    void send(const Message& message) {
        if (up()) channel_->send(message);
    }
    /// Ends the connection, and dials anew after the pause.
    void renew();
    Time heard_at() const { return channel_ ? channel_->heard_at() : Time{}; }

  private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    void dial();
    void again();
    void end_attempts();

    Loop& loop_;
    const Address to_;
    Channel::Heard heard_;
    std::function<void()> up_, down_;
    std::deque<Socket> attempts_;  // the oldest first
    std::shared_ptr<Channel> channel_;
    Timer limit_;
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
    std::function<void(std::shared_ptr<Channel>)> accepted_;
    asio::ip::tcp::acceptor acceptor_;
    Timer again_;
};

}  // namespace martenford::passage
