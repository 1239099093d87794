// RaftNode: recovery of a first start that failed.
//
// At the first start of the system each first voter derives its id from its address. One that ends before it
// has saved anything returns as a new member under another id, since from its own disk it cannot tell this
// start from a lost disk. Where a majority does, the first voters that are left can never elect a leader.
//
// A first voter that is left may then put the new members in the places of the first voters at the same
// addresses. It is safe if no first voter that is gone has ever voted or accepted an entry. This follows from
// what the members state and from the failures that the system is to survive:
//   - This node has never voted and never seen an entry, and none of the members that it hears has.
//   - At the address of every other first voter there is a member whose disk was empty when it started.
//   - If an entry had been committed all the same, a majority of first voters would have lost their disks,
//   and
//     those that are left would have been unreachable all the time: all first voters together have failed,
//     which is more than the failures to survive, or this does nothing.
#include <algorithm>

#include "raft/raft_node.h"

namespace martenford::raft {

bool RaftNode::has_no_history() const {
    return state_.term == 0 && state_.last_entry.position == LogPosition{};
}

const RaftNode::Peer* RaftNode::successor_without_history(Time now, const Member& voter) const {
    for (const auto& [id, peer] : peers_) {
        const bool is_heard = now - peer.last_seen_at < options_.announcement_timeout;
        if (id == voter.id || peer.member.address != voter.address || !is_heard) continue;
        const bool is_settled =
            peer.no_history_since && now - *peer.no_history_since >= options_.first_start_repair_delay;
        if (is_settled) return &peer;
    }
    return nullptr;
}

bool RaftNode::hears_member_with_history(Time now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& known) {
        const Peer& peer = known.second;
        const bool is_heard =
            peer.last_seen_at != Time{} && now - peer.last_seen_at < options_.announcement_timeout;
        return is_heard && !peer.no_history_since;
    });
}

void RaftNode::repair_failed_first_start(Time now) {
    const std::vector<Member>& first_voters = state_.last_entry.voters;
    if (!has_no_history() || !is_voter() || leaving_ || persist_failed_) return;
    if (first_voters.size() < 2 || hears_member_with_history(now)) return;
    std::vector<Member> voters;
    for (const Member& voter : first_voters) {
        if (voter.id == self_.id) {
            voters.push_back(self_);
            continue;
        }
        const Peer* successor = successor_without_history(now, voter);
        if (!successor) return;
        voters.push_back(successor->member);
    }
    if (may_all_fail(voters, options_.fault_tolerance)) return;
    state_.last_entry.voters = voters;
    state_.committed_entry = state_.last_entry;
    must_persist_ = true;
    reset_election_timeout(now);
}

}  // namespace martenford::raft
