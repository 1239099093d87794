// The one event loop: Asio for sockets, and timers that fire only after the sockets that are ready were read.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "loftfront/balancer.h"

namespace martenford {

using loftfront::Duration;
using loftfront::EndpointId;
using loftfront::Time;
using namespace std::chrono_literals;

namespace asio = boost::asio;

class Loop {
  public:
    using Key = std::pair<Time, std::uint64_t>;

    Loop() = default;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    /// What pending timers hold may hold timers of its own: those find the table empty.
    ~Loop() { const auto pending = std::exchange(timers_, {}); }

    asio::io_context& io() { return io_; }
    /// The monotonic clock, as the module counts time.
    static Time now();
    Key add(Time when, std::function<void()> what);
    void remove(const Key& key) { timers_.erase(key); }
    /// Runs until stop().
    void run();
    void stop() { stopped_ = true; }

  private:
    void fire_due();

    std::map<Key, std::function<void()>> timers_;  // outlives io_, whose handlers own timers
    std::uint64_t last_ = 0;
    bool stopped_ = false;
    asio::io_context io_{1};
};

/// One timer, unset when it goes.
class Timer {
  public:
    explicit Timer(Loop& loop) : loop_(loop) {}
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }
    void set(Time when, std::function<void()> what) {
        cancel();
        key_ = loop_.add(when, std::move(what));
    }
    void cancel() {
        if (key_) loop_.remove(*std::exchange(key_, std::nullopt));
    }

  private:
    Loop& loop_;
    std::optional<Loop::Key> key_;
};

/// One line on standard error. For rare events: never once a request.
void log(const std::string& line);

}  // namespace martenford
