// The event loop: Asio for sockets, and timers that fire only after all ready sockets have been read.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

#include "core/byte_budget.h"
#include "core/log.h"
#include "core/scheduler.h"

namespace martenford {

namespace asio = boost::asio;

class EventLoop : public Scheduler {
  public:
    EventLoop() = default;
    /// Pending callbacks may own timers that unregister themselves when destroyed: those must find the table
    /// empty.
    ~EventLoop() override { const auto pending = std::exchange(timers_, {}); }

    asio::io_context& io() { return io_; }
    /// The budget of all readers on this loop: what a connection keeps of its peer's bytes while it waits for
    /// more of them. Where it has no room, that connection's exchange ends.
    const std::shared_ptr<ByteBudget>& received_bytes() const { return received_bytes_; }
    /// The monotonic clock, in the time type of the decision module.
    static Time monotonic();
    Time now() const override { return monotonic(); }
    Key add(Time when, std::function<void()> callback) override;
    void remove(const Key& key) override { timers_.erase(key); }
    /// Runs until stop().
    void run();
    void stop() { stopped_ = true; }
    /// Allows run() to be called again after stop().
    void resume() {
        stopped_ = false;
        io_.restart();  // it has stopped if nothing was left to wait for when run() returned
    }

  private:
    /// In bytes, unless the program sets another limit.
    static constexpr std::size_t kMaxReceivedBytes = 64 * 1024 * 1024;

    void fire_due();

    std::shared_ptr<ByteBudget> received_bytes_ = std::make_shared<ByteBudget>(kMaxReceivedBytes);
    std::map<Key, std::function<void()>>
        timers_;  // declared before io_ to outlive it: its handlers own timers
    std::uint64_t last_id_ = 0;
    bool stopped_ = false;
    asio::io_context io_{1};
};

}  // namespace martenford
