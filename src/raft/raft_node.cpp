// RaftNode: construction, the events and the sending of messages.
#include "raft/raft_node.h"

#include <utility>

#include "raft/member_list.h"

namespace martenford::raft {

RaftNode::RaftNode(Member self, PersistentState disk, const RaftOptions& options, std::uint64_t seed)
    : self_(std::move(self)), state_(std::move(disk)), options_(options), random_state_(seed) {
    // Nodes with the same seed would draw the same election timeouts and split every vote.
    random_state_ ^= self_.id * 0xd6e8feb86659fd93;
    add_configured_members();
    persisted_position_ = state_.last_entry.position;
    // Starts at random, so that a leader's reply to the process before this one is not taken for one to this
    // one.
    contact_sequence_ = next_random();
}

std::uint64_t RaftNode::next_random() {  // SplitMix64
    std::uint64_t z = random_state_ += 0x9e3779b97f4a7c15;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
}

Duration RaftNode::random_below(Duration limit) {
    return Duration{static_cast<Duration::rep>(next_random() % static_cast<std::uint64_t>(limit.count()))};
}

void RaftNode::tick(Time now) {
    // The first timeout is shorter than the later ones: a leader, if there is one, sends within a heartbeat.
    if (election_deadline_ == Time{})
        election_deadline_ = now + options_.heartbeat + random_below(options_.min_election_timeout);
    if (role_ == Role::Leader) return tick_leader(now);
    repair_failed_first_start(now);
    if (now >= election_deadline_ && is_voter() && !persist_failed_ && !leaving_)
        start_election(now, ElectionKind::PreVote);
}

void RaftNode::tick_leader(Time now) {
    // Check-quorum ([Diss] 6.2): a leader that is partitioned from the majority stops answering, since
    // another one may have been elected there.
    if (!is_single_voter() && now - quorum_acknowledged_at_ >= options_.leader_lease)
        return become_follower(now, state_.term, std::nullopt);
    if (now >= next_heartbeat_at_) broadcast_append_entries(now);
    leave_joint_consensus(now);
    if (now < next_membership_check_at_) return;
    next_membership_check_at_ = now + options_.heartbeat;
    if (leaving_) return transfer_leadership(now);
    propose_membership_change(now);
}

void RaftNode::receive(Time now, const Message& message) {
    // A node that lost its disk returns under another id at the same address. It must not answer for the id
    // before it, whose votes and acknowledgements are gone.
    if (message.to != self_.id) return;
    switch (message.kind) {
        case Message::Kind::RequestVote:
            return on_request_vote(now, message);
        case Message::Kind::RequestVoteReply:
            return on_request_vote_reply(now, message);
        case Message::Kind::AppendEntries:
            return on_append_entries(now, message);
        case Message::Kind::AppendEntriesReply:
            return on_append_entries_reply(now, message);
        case Message::Kind::TimeoutNow:
            return on_timeout_now(now, message);
    }
}

void RaftNode::on_persisted(Time now) {
    persist_failed_ = false;
    if (persisted_position_ == persisting_position_) return;
    persisted_position_ = persisting_position_;
    advance_commit(now);  // the node's own copy may complete the majority
}

void RaftNode::on_persist_failed(Time now) {
    persist_failed_ = true;
    outgoing_messages_.clear();
    if (role_ == Role::Leader) {
        // The request to take over promises nothing that would have to be on disk.
        transfer_leadership(now);
        auto transfer_messages = std::exchange(outgoing_messages_, {});
        become_follower(now, state_.term, std::nullopt);
        outgoing_messages_ = std::move(transfer_messages);
    }
    must_persist_ = true;  // the caller tries again
}

void RaftNode::send(Message message, MemberId to) {
    message.from = self_;
    message.to = to;
    outgoing_messages_.push_back(std::move(message));
}

void RaftNode::send_to_voters(const Message& message) {
    for (const Member& voter : state_.last_entry.voters) {
        if (voter.id != self_.id) send(message, voter.id);
    }
    for (const Member& voter : state_.last_entry.outgoing_voters) {
        if (voter.id != self_.id && !contains_member(state_.last_entry.voters, voter.id))
            send(message, voter.id);
    }
}

}  // namespace martenford::raft
