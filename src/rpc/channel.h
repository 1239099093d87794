// One TCP connection between two of the mesh's own processes. It carries frames (framing/frame.h), each with
// one Cap'n Proto message (rpc/messages.h), in both directions.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/address.h"
#include "core/byte_budget.h"
#include "core/loop.h"
#include "framing/frame.h"
#include "rpc/messages.h"

namespace martenford::rpc {

/// A connection, open from its construction until it fails or close() is called. It is never reopened.
///
/// Ownership: by std::shared_ptr; pending reads and writes share it, so it outlives its owner until
/// they have ended. `loop` must outlive it.
///
/// Threads: all calls and all callbacks run on the loop's thread.
///
/// Failure: the channel closes itself and calls OnClosed if
/// - the peer closes the connection or does not acknowledge sent bytes within 1 s (TCP_USER_TIMEOUT),
/// - a frame is damaged or too long, or its message cannot be decoded,
/// - what has arrived of an incomplete frame does not fit into the loop's budget
/// (EventLoop::received_bytes()),
/// - more than 24 MiB wait to be sent: the peer does not read.
/// Messages that wait then are lost; messages arrive in order, each at most once.
class Channel : public std::enable_shared_from_this<Channel> {
  public:
    using OnMessage = std::function<void(Message&&)>;
    using OnClosed = std::function<void()>;
    /// A message as it goes over the connection.
    using SharedFrame = std::shared_ptr<const std::string>;

    /// Takes a connected socket. Nothing is read before start().
    Channel(EventLoop& loop, asio::ip::tcp::socket socket);

    /// Starts to read. Called once. `on_message` gets each message; it may call send() and close().
    /// `on_closed` is called once if the channel fails, and never after close().
    void start(OnMessage on_message, OnClosed on_closed);

    /// Queues a message. Does nothing if the channel is closed. Calls OnClosed before it returns if the queue
    /// is over its limit.
    void send(const Message& message) { send_frame(frame(message)); }

    /// Encodes a message once for several channels: send_frame() shares the bytes.
    static SharedFrame frame(const Message& message);
    /// Like send(), for an encoded message.
    void send_frame(SharedFrame frame);

    /// Closes the connection. No callback is called afterwards; a message handler that is running ends first.
    void close();

    bool is_open() const { return is_open_; }
    /// When bytes were last read; the time of construction before that.
    Time last_received_at() const { return last_received_at_; }
    /// The peer's address at the time of construction.
    Address peer() const { return peer_; }

  private:
    void read();
    void on_read(std::size_t size);
    void write();
    void fail();

    EventLoop& loop_;
    asio::ip::tcp::socket socket_;
    Address peer_;
    framing::FrameReader reader_{kMaxMessageBytes};
    ByteReservation reassembly_;  // of the loop's budget: what has arrived of an incomplete frame
    std::string read_buffer_;
    std::deque<SharedFrame> send_queue_;
    std::size_t queued_bytes_ = 0;
    bool is_open_ = true;
    bool is_writing_ = false;
    Time last_received_at_{};
    OnMessage on_message_;
    OnClosed on_closed_;
};

}  // namespace martenford::rpc

// Users of this header need all three classes.
#include "rpc/listener.h"
#include "rpc/reconnecting_client.h"
