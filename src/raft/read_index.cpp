// RaftNode: what may be served. Read index ([Diss] 6.4), the leader's lease (6.4.1) and a follower's contact
// with a leader that has a quorum.
//
// Linearizable reads: a leader may have been replaced without knowing. A majority's replies to a heartbeat
// round that started after the read prove that it was still the leader then, since each of them would have
// refused it otherwise.
#include "raft/raft_node.h"

namespace martenford::raft {

namespace {
/// Contact requests whose send times are kept: at one per heartbeat of 100 ms, those of about six seconds.
constexpr std::size_t kMaxContactRequests = 64;
}  // namespace

std::uint64_t RaftNode::request_read_index(Time now) {
    if (role_ == Role::Leader) broadcast_append_entries(now);
    if (is_single_voter()) confirmed_heartbeat_round_ = heartbeat_round_;
    return heartbeat_round_;
}

bool RaftNode::has_leader_lease(Time now) const {
    // Until an entry of its own term is committed, a leader does not know which entries are ([Raft] 5.4.2).
    return role_ == Role::Leader && !persist_failed_ && state_.committed_entry.position.term == state_.term &&
           (is_single_voter() || now - quorum_acknowledged_at_ < options_.leader_lease);
}

bool RaftNode::has_quorum_contact(Time now, Duration within) const {
    if (role_ == Role::Leader) return has_leader_lease(now);
    return leader_ && quorum_contact_at_ != Time{} && now - quorum_contact_at_ < within;
}

std::optional<Time> RaftNode::contact_request_sent_at(std::uint64_t sequence) const {
    // In requests; huge for a later one, by wrap-around.
    const std::uint64_t age = contact_sequence_ - sequence;
    if (age >= contact_sent_at_.size()) return std::nullopt;
    return contact_sent_at_[contact_sent_at_.size() - 1 - static_cast<std::size_t>(age)];
}

std::uint64_t RaftNode::next_contact_request(Time now) {
    contact_sent_at_.push_back(now);
    if (contact_sent_at_.size() > kMaxContactRequests) contact_sent_at_.pop_front();
    return ++contact_sequence_;
}

}  // namespace martenford::raft
