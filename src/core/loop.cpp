#include "core/loop.h"

namespace martenford {

namespace {
constexpr int kMaxHandlersPerTurn = 1000;  // run in one turn at most, so that timers fire under any load
}

Time EventLoop::monotonic() {
    return Time{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

EventLoop::Key EventLoop::add(Time when, std::function<void()> callback) {
    const Key key{when, ++last_id_};
    timers_.emplace(key, std::move(callback));
    return key;
}

void EventLoop::run() {
    const auto guard = asio::make_work_guard(io_);
    while (!stopped_) {
        if (timers_.empty()) {
            io_.run_one();
        } else {
            const auto next = timers_.begin()->first.first.time_since_epoch();
            io_.run_one_until(std::chrono::steady_clock::time_point{next});
        }
        // Guards against a process that got no core for a while and then takes an answer that is already here
        // for one that never came: all that is ready is read before any time-out is looked at.
        for (int i = 0; i < kMaxHandlersPerTurn && !stopped_ && io_.poll_one() > 0; ++i) {
        }
        fire_due();
    }
}

void EventLoop::fire_due() {
    const Time until = now();
    while (!stopped_ && !timers_.empty() && timers_.begin()->first.first <= until) {
        const auto node = timers_.extract(timers_.begin());
        node.mapped()();
    }
}

}  // namespace martenford
