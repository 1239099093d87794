#include "rpc/channel.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace martenford::rpc {

using boost::system::error_code;

namespace {
constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kMostQueued = 24 * 1024 * 1024;
constexpr std::size_t kMostFrames = 16;   // written at once
constexpr Duration kDialTime = 400ms;     // after which another attempt is made beside it
constexpr std::size_t kMostAttempts = 4;  // at once; the oldest, some 2 s old, is given up
constexpr Duration kPauseLeast = 100ms, kPauseMost = 400ms;
constexpr unsigned kUnacknowledged = 1000;  // ms
constexpr Duration kAcceptAgain = 50ms;
}  // namespace

Channel::Channel(Loop& loop, asio::ip::tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)), last_received_at_(loop.now()) {
    error_code ignored;
    peer_ = socket_.remote_endpoint(ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Guards against a peer behind a cut: without it a write would hang for as long as the kernel
    // retransmits.
    socket_.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUnacknowledged),
                       ignored);
}

void Channel::start(OnMessage heard, OnClosed closed) {
    on_message_ = std::move(heard);
    on_closed_ = std::move(closed);
    buffer_.resize(kReadSize);
    read();
}

std::shared_ptr<const std::string> Channel::frame(const Message& message) {
    return std::make_shared<const std::string>(framing::frame_of(encode(message), kMaxMessageBytes));
}

void Channel::send_frame(std::shared_ptr<const std::string> frame) {
    if (!is_open_) return;
    queued_bytes_ += frame->size();
    queue_.push_back(std::move(frame));
    if (queued_bytes_ > kMostQueued) return fail();
    if (!writing_) write();
}

void Channel::write() {
    if (queue_.empty() || !is_open_) return;
    writing_ = true;
    std::vector<asio::const_buffer> buffers;
    for (std::size_t i = 0; i < queue_.size() && i < kMostFrames; ++i)
        buffers.push_back(asio::buffer(*queue_[i]));
    const std::size_t count = buffers.size();
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), count](const error_code& error, std::size_t) {
                          self->writing_ = false;
                          if (!self->is_open_) return;
                          if (error) return self->fail();
                          for (std::size_t i = 0; i < count; ++i) {
                              self->queued_bytes_ -= self->queue_.front()->size();
                              self->queue_.pop_front();
                          }
                          self->write();
                      });
}

void Channel::read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                                if (!self->is_open_) return;
                                if (error) return self->fail();
                                self->last_received_at_ = self->loop_.now();
                                try {
                                    self->reader_.feed(std::string_view(self->buffer_).substr(0, size));
                                    while (const auto bytes = self->reader_.next()) {
                                        auto message = decode(*bytes);
                                        if (!message) return self->fail();
                                        self->on_message_(std::move(*message));
                                        if (!self->is_open_) return;
                                    }
                                } catch (const framing::FrameError&) {
                                    return self->fail();
                                }
                                self->read();
                            });
}

void Channel::fail() {
    const auto self = shared_from_this();
    const auto closed = std::exchange(on_closed_, nullptr);
    close();
    if (closed) closed();
}

void Channel::close() {
    if (!std::exchange(is_open_, false)) return;
    error_code ignored;
    socket_.close(ignored);
    on_closed_ = nullptr;
    // What is heard may be running now; the last handler lets it go.
    loop_.add(loop_.now(), [self = shared_from_this()] { self->on_message_ = nullptr; });
}

ReconnectingClient::ReconnectingClient(Loop& loop, const Address& to, Channel::OnMessage heard,
                                       std::function<void()> up, std::function<void()> down)
    : loop_(loop),
      address_(to),
      on_message_(std::move(heard)),
      on_connected_(std::move(up)),
      on_disconnected_(std::move(down)),
      attempt_timer_(loop),
      pause_(kPauseLeast) {
    dial();
}

ReconnectingClient::~ReconnectingClient() {
    end_attempts();
    if (channel_) channel_->close();
}

void ReconnectingClient::end_attempts() {
    error_code ignored;
    for (const Socket& attempt : attempts_) attempt->close(ignored);
    attempts_.clear();
}

void ReconnectingClient::dial() {
    if (attempts_.size() >= kMostAttempts) {
        error_code ignored;
        attempts_.front()->close(ignored);
        attempts_.pop_front();
    }
    const auto socket = std::make_shared<asio::ip::tcp::socket>(loop_.io());
    attempts_.push_back(socket);
    attempt_timer_.set(loop_.now() + kDialTime, [this] { schedule_dial(); });
    socket->async_connect(address_, [this, socket](const error_code& error) {
        if (error == asio::error::operation_aborted) return;  // this one may be gone
        const auto own = std::find(attempts_.begin(), attempts_.end(), socket);
        if (own == attempts_.end()) return;
        if (error) {
            const bool last = socket == attempts_.back();
            attempts_.erase(own);
            if (last) schedule_dial();  // an older one that ends changes nothing
            return;
        }
        attempt_timer_.cancel();
        pause_ = kPauseLeast;
        attempts_.erase(own);
        channel_ = std::make_shared<Channel>(loop_, std::move(*socket));
        end_attempts();
        channel_->start(on_message_, [this] {
            if (on_disconnected_) on_disconnected_();
            schedule_dial();
        });
        if (on_connected_) on_connected_();
    });
}

void ReconnectingClient::reconnect() {
    if (!channel_) return;
    channel_->close();
    if (on_disconnected_) on_disconnected_();
    schedule_dial();
}

void ReconnectingClient::schedule_dial() {
    channel_.reset();
    attempt_timer_.set(loop_.now() + pause_, [this] { dial(); });
    pause_ = std::min(kPauseMost, pause_ * 2);
}

Listener::Listener(Loop& loop, const Address& at, std::function<void(std::shared_ptr<Channel>)> accepted)
    : loop_(loop), on_accepted_(std::move(accepted)), acceptor_(loop.io()), retry_timer_(loop) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
}

void Listener::accept() {
    acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) return retry_timer_.set(loop_.now() + kAcceptAgain, [this] { accept(); });
        on_accepted_(std::make_shared<Channel>(loop_, std::move(socket)));
        accept();
    });
}

}  // namespace martenford::rpc
