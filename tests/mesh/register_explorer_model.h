// What all parts of the explorer share: timing of the modelled controller, quorums, and texts for traces.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "raft/raft_node.h"

namespace martenford::explorer {

using raft::LogEntry;
using raft::LogPosition;
using raft::Member;
using raft::MemberId;
using raft::Message;
using raft::PersistentState;
using raft::RaftNode;
using raft::Term;

// The controller's:
inline constexpr Duration kTickInterval = 20ms;        ///< between calls of RaftNode::tick()
inline constexpr Duration kAnnounceInterval = 500ms;   ///< between announcements to all other machines
inline constexpr Duration kSaveRetryInterval = 200ms;  ///< after a write that failed
inline constexpr Duration kMaxContactAge = 700ms;      ///< of has_quorum_contact()
inline constexpr Duration kLeaveTimeout = 5s;          ///< after which a leaving process ends in any case
// The model's:
inline constexpr Duration kCatchUpTime = 4s;  ///< after its return, until a machine counts as recovered
inline constexpr Duration kCallRetryInterval =
    1s;                                       ///< after which an operator repeats a call without an answer
inline constexpr Duration kCallTimeout = 4s;  ///< after which a machine answers a call with 503
inline constexpr std::size_t kMaxSteps = 60;  ///< kept of a schedule, to be shown with a violation

/// Returns whether more than half of `voters` have it.
bool holds_majority(const std::vector<Member>& voters, const std::function<bool(MemberId)>& has);
/// Returns whether a majority of each configuration of `entry` has it.
bool is_quorum(const LogEntry& entry, const std::function<bool(MemberId)>& has);
bool same_voters(const LogEntry& a, const LogEntry& b);

std::string text_of(const LogPosition& position);
std::string text_of(const LogEntry& entry);
std::string text_of(const Message& message);

}  // namespace martenford::explorer
