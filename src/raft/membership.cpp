// RaftNode: members and changes of the voters by joint consensus ([Raft] 6), leadership transfer
// ([Diss] 3.10).
//
// A change goes through two entries. The first has the new voters and, as outgoing_voters, the old ones: from
// then on a vote or a commit takes a majority of both, so the old and the new majority cannot decide apart.
// Once it is committed, the second entry drops the old ones. A change starts only from a committed
// configuration.
#include <algorithm>
#include <iterator>
#include <utility>

#include "raft/member_list.h"
#include "raft/raft_node.h"

namespace martenford::raft {

namespace {
/// Bound of the members that a node learns of outside of the configuration; voters come from a few machines.
constexpr std::size_t kMaxPeers = 64;
}  // namespace

void RaftNode::add_known_member(Time now, const Member& member, MemberHistory history) {
    if (member.id == self_.id || member.id == 0) return;
    if (!peers_.contains(member.id) && peers_.size() >= kMaxPeers) return;
    Peer& peer = peers_[member.id];
    peer.last_seen_at = now;
    if (history == MemberHistory::Unknown) {
        peer.no_history_since.reset();
    } else if (!peer.no_history_since) {
        peer.no_history_since = now;
    }
    // A voter's address is that of the configuration, on which all nodes agree.
    const std::string address = is_voter(member.id) ? peer.member.address : member.address;
    peer.member = member;
    peer.member.address = address;
}

void RaftNode::add_configured_members() {
    for (const auto* voters : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        for (const Member& voter : *voters) {
            if (voter.id == self_.id) continue;
            Member& member = peers_[voter.id].member;
            if (member.id == 0) member = voter;
            member.address = voter.address;
        }
    }
}

Member RaftNode::with_known_location(const Member& member) const {
    if (member.id == self_.id) return self_;
    const auto peer = peers_.find(member.id);
    if (peer == peers_.end() || peer->second.member.zone.empty()) return member;
    return peer->second.member;
}

std::vector<Member> RaftNode::voters_with_locations() const {
    std::vector<Member> voters;
    for (const Member& voter : state_.last_entry.voters) voters.push_back(with_known_location(voter));
    return voters;
}

bool RaftNode::is_voter(MemberId id) const {
    return contains_member(state_.last_entry.voters, id) ||
           contains_member(state_.last_entry.outgoing_voters, id);
}

bool RaftNode::is_single_voter() const {
    const auto& voters = state_.last_entry.voters;
    return !in_joint_consensus() && voters.size() == 1 && voters.front().id == self_.id;
}

std::size_t RaftNode::learner_count() const {
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [&](const auto& known) { return !is_voter(known.first); }));
}

bool RaftNode::awaits_initial_members(Time now) const {
    return state_.last_entry.value.empty() &&
           now - leader_since_.value_or(now) < options_.initial_membership_wait && !tolerates_failures();
}

bool RaftNode::is_live(Time now, const Peer& peer) const {
    if (peer.leaving || now - peer.acknowledged_at > options_.replace_voter_after) return false;
    // Another member at its address answered a later request: the machine came back without its disk, and
    // this id will not return.
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& known) {
        const auto& [id, other] = known;
        return id != peer.member.id && other.member.address == peer.member.address &&
               other.acknowledged_at > peer.acknowledged_at &&
               now - other.acknowledged_at < options_.leader_lease;
    });
}

std::vector<VoterCandidate> RaftNode::voter_candidates(Time now) const {
    std::vector<VoterCandidate> candidates;
    for (const Member& voter : state_.last_entry.voters) {
        const auto peer = peers_.find(voter.id);
        if (peer != peers_.end() && peer->second.leaving) continue;
        const bool live = voter.id == self_.id || (peer != peers_.end() && is_live(now, peer->second));
        candidates.push_back({with_known_location(voter), true, live});
    }
    // Of the learners, those that have caught up ([Diss] 4.2.1).
    for (const auto& [id, peer] : peers_) {
        if (is_voter(id) || peer.leaving || peer.match_position != state_.last_entry.position) continue;
        if (now - peer.acknowledged_at > options_.leader_lease) continue;
        candidates.push_back({peer.member, false, true});
    }
    return candidates;
}

/// Moves towards the voters that tolerate the failures of the settings, with the members that there are: one
/// change at a time, from a committed entry of the own term, and only if the members of the new configuration
/// that have the last entry already are enough to keep it.
void RaftNode::propose_membership_change(Time now) {
    if (in_joint_consensus() || !has_leader_lease(now) || !is_last_entry_committed()) return;
    auto candidates = voter_candidates(now);
    if (candidates == evaluated_candidates_) return;
    auto chosen = choose_voters(candidates, options_.fault_tolerance);
    const auto& voters = state_.last_entry.voters;
    const bool unchanged = chosen.size() == voters.size() &&
                           std::all_of(chosen.begin(), chosen.end(), [&](const Member& member) {
                               return contains_member(voters, member.id);
                           });
    if (chosen.empty() || unchanged) {
        evaluated_candidates_ = std::move(candidates);
        return;
    }
    // A leader does not remove itself; one that stays does.
    if (!contains_member(chosen, self_.id)) return transfer_leadership(now);
    std::vector<Member> holders;
    std::copy_if(chosen.begin(), chosen.end(), std::back_inserter(holders), [&](const Member& member) {
        return replicated_position(member.id) == state_.last_entry.position;
    });
    if (holders.size() <= chosen.size() / 2 ||
        !replicas_survive_failures(holders, chosen, options_.fault_tolerance))
        return;
    evaluated_candidates_.clear();
    append(now, std::move(chosen), voters, state_.last_entry.value);
}

/// Once the joint configuration is committed, the new voters alone are in force ([Raft] 6).
void RaftNode::leave_joint_consensus(Time now) {
    if (!in_joint_consensus() || !has_leader_lease(now) || !is_last_entry_committed()) return;
    append(now, state_.last_entry.voters, {}, state_.last_entry.value);
}

void RaftNode::transfer_leadership(Time now) {
    if (role_ != Role::Leader) return;
    const Peer* successor = nullptr;
    for (const auto& [id, peer] : peers_) {
        if (!contains_member(state_.last_entry.voters, id) || peer.leaving) continue;
        if (now - peer.acknowledged_at > options_.leader_lease) continue;
        if (!successor || peer.match_position > successor->match_position) successor = &peer;
    }
    if (!successor) return;
    Message message;
    message.kind = Message::Kind::TimeoutNow;
    message.term = state_.term;
    send(std::move(message), successor->member.id);
}

void RaftNode::leave(Time now) {
    leaving_ = true;
    if (role_ == Role::Leader) return transfer_leadership(now);
    if (role_ == Role::Candidate) become_follower(now, state_.term, std::nullopt);
    if (leader_) reply_to_leader(now);  // so that the leader learns of it before its next heartbeat
}

bool RaftNode::has_left() const {
    return leaving_ && role_ == Role::Follower && !is_voter() && !in_joint_consensus() &&
           is_last_entry_committed();
}

}  // namespace martenford::raft
