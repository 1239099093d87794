// RaftNode: leader election ([Raft] 5.2, 5.4.1) with pre-vote ([Diss] 9.6).
//
// Election safety, at most one leader per term: a node gives one vote per term, persists it before the reply
// goes out, and a leader needs a majority of each configuration in force. Leader completeness, a leader has
// every committed entry: a vote goes only to a candidate whose last entry is at least as new as the voter's
// ([Raft] 5.4.1). A committed entry is on a majority, which meets every majority of votes.
#include <algorithm>
#include <utility>

#include "raft/raft_node.h"

namespace martenford::raft {

void RaftNode::reset_election_timeout(Time now) {
    election_deadline_ = now + options_.min_election_timeout + random_below(options_.min_election_timeout);
}

void RaftNode::become_follower(Time now, Term term, std::optional<Member> leader) {
    if (term > state_.term) {
        // On disk before the next message: a node that restarted must not vote twice in this term, nor accept
        // entries of an earlier one.
        state_.term = term;
        state_.voted_for = 0;
        must_persist_ = true;
    }
    role_ = Role::Follower;
    leader_since_.reset();
    leader_ = std::move(leader);
    votes_.clear();
    reset_election_timeout(now);
}

void RaftNode::start_election(Time now, ElectionKind kind) {
    role_ = Role::Candidate;
    leader_.reset();
    in_pre_vote_ = kind == ElectionKind::PreVote;
    election_started_at_ = now;
    votes_.clear();
    if (!in_pre_vote_) {
        ++state_.term;
        // A candidate votes for itself; like any vote, on disk before the requests go out.
        state_.voted_for = self_.id;
        must_persist_ = true;
    }
    votes_[self_.id] = true;
    reset_election_timeout(now);
    Message request;
    request.kind = Message::Kind::RequestVote;
    request.term = in_pre_vote_ ? state_.term + 1 : state_.term;
    request.pre_vote = in_pre_vote_;
    request.leadership_transfer = kind == ElectionKind::LeadershipTransfer;
    request.last_position = state_.last_entry.position;
    send_to_voters(request);
    count_votes(now);
}

void RaftNode::count_votes(Time now) {
    if (!is_majority(votes_)) return;
    if (in_pre_vote_) return start_election(now, ElectionKind::Vote);
    become_leader(now);
}

bool RaftNode::is_majority(const std::map<MemberId, bool>& votes) const {
    for (const auto* voters : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        const auto granted = std::count_if(voters->begin(), voters->end(), [&](const Member& voter) {
            const auto vote = votes.find(voter.id);
            return vote != votes.end() && vote->second;
        });
        if (!voters->empty() && static_cast<std::size_t>(granted) <= voters->size() / 2) return false;
    }
    return !state_.last_entry.voters.empty();
}

void RaftNode::become_leader(Time now) {
    role_ = Role::Leader;
    leader_ = self_;
    leader_since_ = now;
    // The votes are a majority's replies to requests that were sent then.
    quorum_acknowledged_at_ = election_started_at_;
    for (auto& [id, peer] : peers_) {
        peer.match_position = {};
        peer.entry_sent_position = {};
        // What a peer answered to an earlier leader is unknown here; it is not taken for failed because of
        // that.
        peer.acknowledged_at = election_started_at_;
        peer.heartbeat_round = 0;
        peer.contact_sequence = 0;
        peer.leaving = false;
    }
    confirmed_heartbeat_round_ = 0;
    evaluated_candidates_.clear();
    // An entry of the own term, with the value of the last entry that was found ([Raft] 5.4.2): whether an
    // entry of an earlier term is committed cannot be determined by counting copies. Once this one is
    // committed, what it contains is. It takes the last entry and not the committed one, which may lag
    // behind.
    append(now, state_.last_entry.voters, state_.last_entry.outgoing_voters, state_.last_entry.value);
}

bool RaftNode::hears_other_leader(Time now, MemberId candidate) const {
    if (has_leader_lease(now)) return true;
    return leader_ && has_seen_leader_ && now - leader_last_seen_ < options_.min_election_timeout &&
           leader_->id != candidate;
}

void RaftNode::on_request_vote(Time now, const Message& message) {
    Message reply;
    reply.kind = Message::Kind::RequestVoteReply;
    reply.pre_vote = message.pre_vote;
    // A node that hears a leader refuses all others ([Diss] 4.2.3): a candidate that returns from a
    // partition, or that was removed, must not depose a leader that works.
    const bool leader_active = hears_other_leader(now, message.from.id);
    // Leader completeness ([Raft] 5.4.1). That this node is a voter is not asked: the candidate has it in its
    // configuration, which may be newer than the one known here.
    const bool up_to_date = message.last_position >= state_.last_entry.position;
    if (message.pre_vote) {
        reply.granted = !leader_active && up_to_date && message.term > state_.term && !persist_failed_;
        reply.term = reply.granted ? message.term : state_.term;
        return send(std::move(reply), message.from.id);
    }
    if (leader_active && !message.leadership_transfer) {
        reply.term = state_.term;
        return send(std::move(reply), message.from.id);
    }
    if (message.term > state_.term) become_follower(now, message.term, std::nullopt);
    // Election safety: one vote per term. The same candidate may ask again, since the reply may have been
    // lost.
    const bool vote_free = state_.voted_for == 0 || state_.voted_for == message.from.id;
    reply.granted =
        message.term == state_.term && vote_free && up_to_date && !persist_failed_ && role_ != Role::Leader;
    if (reply.granted && state_.voted_for == 0) {
        state_.voted_for = message.from.id;
        must_persist_ = true;
    }
    if (reply.granted) reset_election_timeout(now);
    reply.term = state_.term;
    send(std::move(reply), message.from.id);
}

void RaftNode::on_request_vote_reply(Time now, const Message& message) {
    // The reply that grants a pre-vote bears the term that the candidate would start, which is not yet in
    // use.
    const bool in_use = !message.pre_vote || !message.granted;
    if (in_use && message.term > state_.term) return become_follower(now, message.term, std::nullopt);
    if (role_ != Role::Candidate || message.pre_vote != in_pre_vote_) return;
    if (message.term != (in_pre_vote_ ? state_.term + 1 : state_.term)) return;
    votes_[message.from.id] = message.granted;
    count_votes(now);
}

void RaftNode::on_timeout_now(Time now, const Message& message) {
    if (message.term != state_.term || role_ != Role::Follower) return;
    if (is_voter() && !persist_failed_ && !leaving_) start_election(now, ElectionKind::LeadershipTransfer);
}

}  // namespace martenford::raft
