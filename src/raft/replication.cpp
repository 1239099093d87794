// RaftNode: replication of the last entry and its commit ([Raft] 5.3, 5.4.2).
//
// An entry holds the whole value, so the log is its last entry, and an entry with a higher position replaces
// it. A position identifies one entry: only the one leader of a term creates entries in it, with rising
// indexes. Commit: a leader counts copies of its last entry only, which is always of its own term
// ([Raft] 5.4.2), on a majority of each configuration in force. Its own copy counts once it is on disk.
#include <algorithm>
#include <limits>
#include <utility>

#include "raft/member_list.h"
#include "raft/raft_node.h"

namespace martenford::raft {

namespace {
/// An entry that was sent and not acknowledged is sent again after this time. Longer than a heartbeat, since
/// an entry may be large and the link slow: a second copy would queue behind the first.
constexpr Duration kEntryResendInterval = 2s;
/// A learner that was not heard of for this time is forgotten.
constexpr Duration kLearnerForgetTimeout = 10s;

/// Returns the highest value that more than half of `values` reach. `values` is not empty.
template <class T>
T majority_value(std::vector<T> values) {
    std::sort(values.rbegin(), values.rend());
    return values[values.size() / 2];
}
}  // namespace

std::optional<LogPosition> RaftNode::propose(Time now, std::string value) {
    if (!has_leader_lease(now) || !is_last_entry_committed() || in_joint_consensus() ||
        awaits_initial_members(now))
        return std::nullopt;
    append(now, state_.last_entry.voters, {}, std::move(value));
    return state_.last_entry.position;
}

void RaftNode::append(Time now, std::vector<Member> voters, std::vector<Member> outgoing_voters,
                      std::string value) {
    state_.last_entry = LogEntry{{state_.term, state_.last_entry.position.index + 1},
                                 std::move(voters),
                                 std::move(value),
                                 std::move(outgoing_voters)};
    must_persist_ = true;
    add_configured_members();
    advance_commit(now);
    broadcast_append_entries(now);
}

void RaftNode::broadcast_append_entries(Time now) {
    next_heartbeat_at_ = now + options_.heartbeat;
    ++heartbeat_round_;
    std::erase_if(peers_, [&](const auto& known) {
        const auto& [id, peer] = known;
        return !is_voter(id) &&
               now - std::max(peer.acknowledged_at, peer.last_seen_at) > kLearnerForgetTimeout;
    });
    for (auto& [id, peer] : peers_) send_append_entries(now, peer);
}

void RaftNode::send_append_entries(Time now, Peer& peer) {
    Message message;
    message.kind = Message::Kind::AppendEntries;
    message.term = state_.term;
    message.last_position = state_.last_entry.position;
    message.commit_position = state_.committed_entry.position;
    message.round = heartbeat_round_;
    message.has_quorum = has_leader_lease(now);
    message.sent_at = static_cast<std::uint64_t>(now.time_since_epoch().count());
    message.contact_sequence = peer.contact_sequence;
    const bool lacks_entry = peer.match_position != state_.last_entry.position;
    const bool never_sent = peer.entry_sent_position != state_.last_entry.position;
    // It answered a request that was sent after the entry and still lacks it: the entry was lost. A peer that
    // answers nothing may be behind a slow link, so it is not sent another copy soon.
    const bool lost = peer.acknowledged_at > peer.entry_sent_at;
    const bool overdue = now - peer.entry_sent_at >= kEntryResendInterval;
    if (lacks_entry && (never_sent || lost || overdue)) {
        message.entry = state_.last_entry;
        peer.entry_sent_position = state_.last_entry.position;
        peer.entry_sent_at = now;
    }
    send(std::move(message), peer.member.id);
}

RaftNode::Progress RaftNode::voter_progress(Time now, MemberId id) const {
    Progress progress;
    if (id == self_.id) {
        progress.has_last_entry = persisted_position_ == state_.last_entry.position;
        progress.heartbeat_round = heartbeat_round_;
        progress.acknowledged_at = now;
        return progress;
    }
    const auto peer = peers_.find(id);
    if (peer == peers_.end()) return progress;
    progress.has_last_entry = peer->second.match_position == state_.last_entry.position;
    progress.heartbeat_round = peer->second.heartbeat_round;
    progress.acknowledged_at = peer->second.acknowledged_at;
    return progress;
}

RaftNode::Progress RaftNode::quorum_progress(Time now) const {
    Progress quorum{true, std::numeric_limits<std::uint64_t>::max(), Time::max()};
    // In joint consensus a majority of both configurations is needed ([Raft] 6).
    for (const auto* voters : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        if (voters->empty()) continue;
        std::vector<bool> has_last_entry;
        std::vector<std::uint64_t> heartbeat_rounds;
        std::vector<Time> acknowledged_at;
        for (const Member& voter : *voters) {
            const Progress progress = voter_progress(now, voter.id);
            has_last_entry.push_back(progress.has_last_entry);
            heartbeat_rounds.push_back(progress.heartbeat_round);
            acknowledged_at.push_back(progress.acknowledged_at);
        }
        quorum.has_last_entry = quorum.has_last_entry && majority_value(has_last_entry);
        quorum.heartbeat_round = std::min(quorum.heartbeat_round, majority_value(heartbeat_rounds));
        quorum.acknowledged_at = std::min(quorum.acknowledged_at, majority_value(acknowledged_at));
    }
    return quorum;
}

void RaftNode::advance_commit(Time now) {
    if (role_ != Role::Leader) return;
    const Progress quorum = quorum_progress(now);
    confirmed_heartbeat_round_ = std::max(confirmed_heartbeat_round_, quorum.heartbeat_round);
    quorum_acknowledged_at_ = std::max(quorum_acknowledged_at_, quorum.acknowledged_at);
    if (!quorum.has_last_entry || is_last_entry_committed()) return;
    state_.committed_entry = state_.last_entry;
    must_persist_ = true;
    next_heartbeat_at_ = now;  // followers serve what is committed: they are notified at once
    if (is_voter()) return;
    // The committed configuration is without this leader, which steps down only now ([Raft] 6).
    broadcast_append_entries(now);
    transfer_leadership(now);
    become_follower(now, state_.term, std::nullopt);
}

std::optional<LogPosition> RaftNode::replicated_position(MemberId id) const {
    if (id == self_.id) return persisted_position_;
    const auto peer = peers_.find(id);
    if (peer == peers_.end()) return std::nullopt;
    return peer->second.match_position;
}

bool RaftNode::is_durable(const LogPosition& position) const {
    if (role_ != Role::Leader || state_.committed_entry.position < position) return false;
    std::vector<Member> holders;
    for (const Member& voter : state_.last_entry.voters) {
        // A later entry of this term was made from this one and contains its value.
        if (replicated_position(voter.id) >= position) holders.push_back(with_known_location(voter));
    }
    return replicas_survive_failures(holders, voters_with_locations(), options_.fault_tolerance);
}

void RaftNode::on_append_entries(Time now, const Message& message) {
    if (message.term < state_.term) {
        // Refused; the leader of the earlier term steps down when it sees this term ([Raft] 5.1).
        Message refusal;
        refusal.kind = Message::Kind::AppendEntriesReply;
        refusal.round = message.round;
        refusal.term = state_.term;
        return send(std::move(refusal), message.from.id);
    }
    if (message.term > state_.term || role_ != Role::Follower || !leader_ || leader_->id != message.from.id)
        become_follower(now, message.term, message.from);
    leader_last_seen_ = now;
    has_seen_leader_ = true;
    reset_election_timeout(now);
    const auto contact_sent_at = contact_request_sent_at(message.contact_sequence);
    if (message.has_quorum && contact_sent_at)
        quorum_contact_at_ = std::max(quorum_contact_at_, *contact_sent_at);
    // Messages may be reordered: an entry never replaces a newer one.
    if (message.entry && message.entry->position > state_.last_entry.position) {
        state_.last_entry = *message.entry;
        must_persist_ = true;
        add_configured_members();
    }
    // Only if this is the very entry that the leader has committed: a later commit says nothing of an earlier
    // entry, which another leader may have replaced.
    if (message.commit_position == state_.last_entry.position &&
        state_.committed_entry.position < state_.last_entry.position) {
        // Written with the next change; the leader repeats its commit position with each heartbeat.
        state_.committed_entry = state_.last_entry;
    }
    leader_round_ = message.round;
    leader_sent_at_ = message.sent_at;
    reply_to_leader(now);
}

void RaftNode::reply_to_leader(Time now) {
    Message reply;
    reply.kind = Message::Kind::AppendEntriesReply;
    reply.round = leader_round_;
    reply.sent_at = leader_sent_at_;
    reply.leaving = leaving_;
    reply.granted = true;
    reply.term = state_.term;
    reply.last_position = state_.last_entry.position;
    reply.contact_sequence = next_contact_request(now);
    send(std::move(reply), leader_->id);
}

void RaftNode::on_append_entries_reply(Time now, const Message& message) {
    if (message.term > state_.term) return become_follower(now, message.term, std::nullopt);
    if (role_ != Role::Leader || message.term != state_.term || !message.granted) return;
    const auto found = peers_.find(message.from.id);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    if (message.round < peer.heartbeat_round) return;  // overtaken by a later reply
    peer.heartbeat_round = message.round;
    peer.match_position = message.last_position;
    peer.leaving = message.leaving;
    peer.contact_sequence = message.contact_sequence;
    // The lease counts from the send time: between it and now the peer may have answered another leader.
    const Time request_sent_at{Duration{static_cast<Duration::rep>(message.sent_at)}};
    if (request_sent_at <= now) peer.acknowledged_at = std::max(peer.acknowledged_at, request_sent_at);
    advance_commit(now);
    if (role_ != Role::Leader) return;
    leave_joint_consensus(now);
    if (next_heartbeat_at_ <= now) {
        broadcast_append_entries(now);  // advance_commit() committed an entry
    } else if (peer.match_position != state_.last_entry.position &&
               peer.entry_sent_position != state_.last_entry.position) {
        send_append_entries(now, peer);
    }
}

}  // namespace martenford::raft
