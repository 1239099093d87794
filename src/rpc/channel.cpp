#include "rpc/channel.h"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "core/socket_buffers.h"

namespace martenford::rpc {

using boost::system::error_code;

namespace {

/// Bytes read at once. Most messages are some hundred bytes; a configuration takes several reads.
constexpr std::size_t kReadBufferBytes = 16 * 1024;

/// Bytes that may wait for the peer. One message of the longest kind (16 MiB) and half of another fit.
constexpr std::size_t kMaxQueuedBytes = 24 * 1024 * 1024;

/// Frames in one write; bounds the list of buffers for the system call.
constexpr std::size_t kMaxFramesPerWrite = 16;

/// TCP_USER_TIMEOUT in milliseconds: how long sent bytes may stay without acknowledgement. Without it a write
/// to a peer behind a network partition would wait for as long as the kernel retransmits, which is minutes.
constexpr int kTcpUserTimeoutMs = 1000;

using TcpUserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

Channel::Channel(EventLoop& loop, asio::ip::tcp::socket socket)
    : loop_(loop),
      socket_(std::move(socket)),
      reassembly_(loop.received_bytes()),
      last_received_at_(loop.now()) {
    // Errors are ignored here: a connection that is gone already shows it at the first read.
    error_code ignored;
    peer_ = socket_.remote_endpoint(ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(TcpUserTimeout(kTcpUserTimeoutMs), ignored);
    limit_socket_buffers(socket_);
}

void Channel::start(OnMessage on_message, OnClosed on_closed) {
    on_message_ = std::move(on_message);
    on_closed_ = std::move(on_closed);
    read_buffer_.resize(kReadBufferBytes);
    read();
}

Channel::SharedFrame Channel::frame(const Message& message) {
    return std::make_shared<const std::string>(framing::encode_frame(encode(message), kMaxMessageBytes));
}

void Channel::send_frame(SharedFrame frame) {
    if (!is_open_) return;
    queued_bytes_ += frame->size();
    send_queue_.push_back(std::move(frame));
    if (queued_bytes_ > kMaxQueuedBytes) return fail();
    if (!is_writing_) write();
}

void Channel::write() {
    if (send_queue_.empty() || !is_open_) return;
    is_writing_ = true;
    std::vector<asio::const_buffer> buffers;
    for (std::size_t i = 0; i < send_queue_.size() && i < kMaxFramesPerWrite; ++i)
        buffers.push_back(asio::buffer(*send_queue_[i]));
    const std::size_t frame_count = buffers.size();
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), frame_count](const error_code& error, std::size_t) {
                          self->is_writing_ = false;
                          if (!self->is_open_) return;
                          if (error) return self->fail();
                          for (std::size_t i = 0; i < frame_count; ++i) {
                              self->queued_bytes_ -= self->send_queue_.front()->size();
                              self->send_queue_.pop_front();
                          }
                          self->write();
                      });
}

void Channel::read() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                                if (!self->is_open_) return;
                                if (error) return self->fail();
                                self->on_read(size);
                            });
}

void Channel::on_read(std::size_t size) {
    last_received_at_ = loop_.now();
    try {
        reader_.feed({read_buffer_.data(), size});
        while (const auto bytes = reader_.next()) {
            auto message = decode(*bytes);
            if (!message) return fail();
            on_message_(std::move(*message));
            if (!is_open_) return;  // the handler closed the channel
        }
        if (!reassembly_.resize(reader_.held_bytes())) return fail();
    } catch (const framing::FrameError&) {
        return fail();
    }
    read();
}

void Channel::fail() {
    const auto self = shared_from_this();  // OnClosed may drop the owner's pointer
    const auto on_closed = std::exchange(on_closed_, nullptr);
    close();
    if (on_closed) on_closed();
}

void Channel::close() {
    if (!std::exchange(is_open_, false)) return;
    reassembly_.release();
    error_code ignored;
    socket_.close(ignored);
    on_closed_ = nullptr;
    // The message handler may be the caller, so it is released in a later turn of the loop, not under itself.
    loop_.add(loop_.now(), [self = shared_from_this()] { self->on_message_ = nullptr; });
}

}  // namespace martenford::rpc
