// Logs changes of this controller's Raft role and of the voters.
#pragma once

#include <functional>
#include <vector>

#include "bootstrap/settings.h"
#include "raft/raft_node.h"

namespace martenford::controller {

/// For so long a new member waits for a leader before it says that it knows no voter; and between two such
/// lines.
inline constexpr Duration kUnknownVotersLogInterval = 10s;

class RaftStatusLog {
  public:
    using OnNewVoters = std::function<void(const std::vector<raft::Member>&)>;

    /// `tolerance` is as configured, for the warning that the voters don't meet it.
    RaftStatusLog(const raft::RaftNode& raft, raft::FaultTolerance tolerance, OnNewVoters on_new_voters)
        : raft_(raft), tolerance_(tolerance), on_new_voters_(std::move(on_new_voters)) {}

    /// Logs what has changed since the last call, and reports a new set of voters. During joint consensus
    /// (Raft section 6) the set is not reported yet: while the outgoing voters still count, the new ones
    /// alone say nothing about the losses that are tolerated.
    void update(Time now);

  private:
    /// A first start of which no controller has left a trace cannot be told from lost disks: a person must.
    void log_unknown_voters(Time now);
    void log_role();
    void log_voters();

    const raft::RaftNode& raft_;
    const raft::FaultTolerance tolerance_;
    OnNewVoters on_new_voters_;
    bool was_leader_ = false;
    std::vector<raft::Member> voters_;
    Time next_unknown_voters_log_at_{};  // Time{}: not drawn up yet
};

}  // namespace martenford::controller
