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

inline constexpr Duration kTick = 20ms, kHello = 500ms;  // as controller's
inline constexpr Duration kSaveAgain = 200ms;
inline constexpr Duration kInTouch = 700ms;
inline constexpr Duration kCatchUp = 4s;  // a machine counts as lost until so long after its return
inline constexpr Duration kLeaveGrace = 5s;
inline constexpr Duration kCallAgain = 1s;  // an operator's call without an answer
inline constexpr Duration kLongestCall = 4s;
inline constexpr std::size_t kStepsKept = 60;

/// Returns whether more than half of `voters` have it.
bool holds_majority(const std::vector<Member>& voters, const std::function<bool(MemberId)>& has);
/// Returns whether a majority of each configuration of `entry` has it.
bool is_quorum(const LogEntry& entry, const std::function<bool(MemberId)>& has);
bool same_voters(const LogEntry& a, const LogEntry& b);

std::string text_of(const LogPosition& position);
std::string text_of(const LogEntry& entry);
std::string text_of(const Message& message);

}  // namespace martenford::explorer
