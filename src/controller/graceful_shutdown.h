// Graceful shutdown of a controller after SIGTERM: leadership and vote go to others first, so that the
// cluster keeps its fault tolerance; where nobody can take them, the process ends all the same.
#pragma once

#include <functional>

#include "core/scheduler.h"
#include "raft/raft_node.h"

namespace martenford::controller {

/// Longest wait for others to take leadership and vote. The platform kills the process after `grace`; a third
/// of that is the limit where it is shorter, so that connections still close in order.
inline constexpr Duration kMaxLeaveTime = 2s;
/// Interval at which the shutdown looks whether the vote has been handed over.
inline constexpr Duration kLeaveCheckInterval = 20ms;
/// After the vote was transferred or the time is over: what was sent last is still written to its
/// connections.
inline constexpr Duration kFinalFlushTime = 50ms;

class GracefulShutdown {
  public:
    struct Actions {
        std::function<void()> process_raft_output;
        std::function<void()> stop;  ///< ends the loop
    };

    /// `grace` is the settings' time between SIGTERM and SIGKILL.
    GracefulShutdown(Scheduler& scheduler, raft::RaftNode& raft, Duration grace, Actions actions);

    /// Starts to leave; called once. `stop` is called within kMaxLeaveTime and kFinalFlushTime.
    void begin();

  private:
    void check();

    Scheduler& scheduler_;
    raft::RaftNode& raft_;
    const Duration max_leave_time_;
    Actions actions_;
    Time deadline_{};
    Timer timer_;
};

}  // namespace martenford::controller
