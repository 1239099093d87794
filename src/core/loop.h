// The one event loop: Asio for sockets, and timers that fire only after the sockets that are ready were read.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>

#include "core/log.h"
#include "core/scheduler.h"

namespace martenford {

namespace asio = boost::asio;

class EventLoop : public Scheduler {
  public:
    EventLoop() = default;
    /// What pending timers hold may hold timers of its own: those find the table empty.
    ~EventLoop() override { const auto pending = std::exchange(timers_, {}); }

    asio::io_context& io() { return io_; }
    /// The monotonic clock, as the module counts time.
    static Time monotonic();
    Time now() const override { return monotonic(); }
    Key add(Time when, std::function<void()> callback) override;
    void remove(const Key& key) override { timers_.erase(key); }
    /// Runs until stop().
    void run();
    void stop() { stopped_ = true; }
    /// After stop(): run() may be called again.
    void resume() { stopped_ = false; }

  private:
    void fire_due();

    std::map<Key, std::function<void()>> timers_;  // outlives io_, whose handlers own timers
    std::uint64_t last_id_ = 0;
    bool stopped_ = false;
    asio::io_context io_{1};
};

}  // namespace martenford
