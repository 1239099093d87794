#include "bootstrap/startup_wait.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

#include "event_log/event_log.h"

namespace martenford::bootstrap {
namespace {

constexpr Duration kSignalCheckInterval = 50ms;

bool is_termination_pending() {
    sigset_t pending;
    if (::sigpending(&pending) != 0) return false;
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

}  // namespace

bool wait_unless_terminated(Duration time) {
    const auto end = std::chrono::steady_clock::now() + time;
    for (;;) {
        if (is_termination_pending()) {
            event_log::log_event(event_log::Event::Stopping, "stopping before the start was complete");
            return false;
        }
        const auto left = end - std::chrono::steady_clock::now();
        if (left <= Duration{}) return true;
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(left, kSignalCheckInterval));
    }
}

}  // namespace martenford::bootstrap
