#include "rpc/reconnecting_client.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace martenford::rpc {

using boost::system::error_code;

namespace {

/// How long an attempt runs before the next is made beside it.
constexpr Duration kAttemptTimeout = 400ms;

/// Attempts at once. When another would exceed it the oldest, which has run for some 2 s, is given up.
constexpr std::size_t kMaxAttempts = 4;

/// The pause before the next attempt doubles from the minimum to the maximum. The maximum is short, since a
/// controller that has restarted is to be reached soon.
constexpr Duration kMinBackoff = 100ms;
constexpr Duration kMaxBackoff = 400ms;

}  // namespace

ReconnectingClient::ReconnectingClient(EventLoop& loop, Address address, Channel::OnMessage on_message,
                                       OnConnected on_connected, OnDisconnected on_disconnected)
    : loop_(loop),
      address_(std::move(address)),
      on_message_(std::move(on_message)),
      on_connected_(std::move(on_connected)),
      on_disconnected_(std::move(on_disconnected)),
      attempt_timer_(loop),
      backoff_(kMinBackoff) {
    start_attempt();
}

ReconnectingClient::~ReconnectingClient() {
    cancel_attempts();
    if (channel_) channel_->close();
}

void ReconnectingClient::cancel_attempts() {
    error_code ignored;
    for (const Socket& attempt : attempts_) attempt->close(ignored);
    attempts_.clear();
}

void ReconnectingClient::start_attempt() {
    if (attempts_.size() >= kMaxAttempts) {
        error_code ignored;
        attempts_.front()->close(ignored);
        attempts_.pop_front();
    }
    const auto socket = std::make_shared<asio::ip::tcp::socket>(loop_.io());
    attempts_.push_back(socket);
    attempt_timer_.set(loop_.now() + kAttemptTimeout, [this] { schedule_attempt(); });
    socket->async_connect(address_, [this, socket](const error_code& error) {
        if (error == asio::error::operation_aborted) return;  // `this` may be destroyed
        on_attempt_done(socket, error);
    });
}

void ReconnectingClient::on_attempt_done(const Socket& socket, const error_code& error) {
    const auto attempt = std::find(attempts_.begin(), attempts_.end(), socket);
    if (attempt == attempts_.end()) return;
    if (error) {
        // The timer runs for the newest attempt; the failure of an older one changes nothing.
        const bool is_newest = socket == attempts_.back();
        attempts_.erase(attempt);
        if (is_newest) schedule_attempt();
        return;
    }
    attempt_timer_.cancel();
    backoff_ = kMinBackoff;
    attempts_.erase(attempt);
    channel_ = std::make_shared<Channel>(loop_, std::move(*socket));
    cancel_attempts();
    channel_->start(on_message_, [this] {
        if (on_disconnected_) on_disconnected_();
        schedule_attempt();
    });
    if (on_connected_) on_connected_();
}

void ReconnectingClient::reconnect() {
    if (!channel_) return;
    channel_->close();
    if (on_disconnected_) on_disconnected_();
    schedule_attempt();
}

void ReconnectingClient::schedule_attempt() {
    channel_.reset();
    attempt_timer_.set(loop_.now() + backoff_, [this] { start_attempt(); });
    backoff_ = std::min(kMaxBackoff, backoff_ * 2);
}

}  // namespace martenford::rpc
