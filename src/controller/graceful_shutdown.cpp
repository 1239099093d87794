#include "controller/graceful_shutdown.h"

#include <algorithm>
#include <utility>

#include "event_log/event_log.h"

namespace martenford::controller {

using event_log::Event;
using event_log::log_event;

GracefulShutdown::GracefulShutdown(Scheduler& scheduler, raft::RaftNode& raft, Duration grace,
                                   Actions actions)
    : scheduler_(scheduler),
      raft_(raft),
      max_leave_time_(std::min<Duration>(kMaxLeaveTime, grace / 3)),
      actions_(std::move(actions)),
      timer_(scheduler) {}

void GracefulShutdown::begin() {
    log_event(Event::Stopping, "stopping");
    const Time now = scheduler_.now();
    deadline_ = now + max_leave_time_;
    raft_.leave(now);
    actions_.process_raft_output();
    check();
}

void GracefulShutdown::check() {
    const Time now = scheduler_.now();
    const bool has_left = raft_.has_left();
    if (!has_left && now < deadline_) {
        timer_.set(now + kLeaveCheckInterval, [this] { check(); });
        return;
    }
    if (has_left) {
        log_event(Event::VoteTransferred, "transferred its vote", {{"copies_elsewhere", "yes"}});
    } else {
        log_event(Event::VoteKept, "ends as a voter: no other took its vote in time",
                  {{"copies_elsewhere", "unknown"}});
    }
    timer_.set(now + kFinalFlushTime, [this] { actions_.stop(); });
}

}  // namespace martenford::controller
