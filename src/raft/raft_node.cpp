#include "raft/raft_node.h"

#include <algorithm>
#include <utility>

namespace martenford::raft {

namespace {
constexpr Duration kEntryAgain = 2s;      // an entry of which nothing was heard is sent again after this
constexpr Duration kForgetLearner = 10s;  // a learner that was not heard of for so long
constexpr std::size_t kMostPeers = 64;    // others that are known: the core is few
constexpr std::size_t kMostAsks = 64;     // of this one's own questions: some seconds of heartbeats

bool has(const std::vector<Member>& members, MemberId id) {
    return std::any_of(members.begin(), members.end(), [&](const Member& m) { return m.id == id; });
}
/// Of a set of which more than half is wanted, the value that more than half reach.
template <class T>
T reached_by_majority(std::vector<T> values) {
    std::sort(values.rbegin(), values.rend());
    return values[values.size() / 2];
}
}  // namespace

RaftNode::RaftNode(Member self, PersistentState disk, const RaftOptions& options, std::uint64_t seed)
    : self_(std::move(self)), state_(std::move(disk)), options_(options), random_state_(seed) {
    // Two with one seed would stand at the same moments for ever.
    random_state_ ^= self_.id * 0xd6e8feb86659fd93;
    add_configured_members();
    persisted_position_ = state_.last_entry.position;
    contact_sequence_ = this->next_random();  // a restarted process is not taken for the one before it
}

void RaftNode::add_configured_members() {
    for (const auto* set : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        for (const Member& voter : *set) {
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
    return peer == peers_.end() || peer->second.member.zone.empty() ? member : peer->second.member;
}

std::vector<Member> RaftNode::voters_with_locations() const {
    std::vector<Member> out;
    for (const Member& voter : state_.last_entry.voters) out.push_back(with_known_location(voter));
    return out;
}

std::uint64_t RaftNode::next_random() {  // SplitMix64
    std::uint64_t z = random_state_ += 0x9e3779b97f4a7c15;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
}

bool RaftNode::is_voter(MemberId id) const {
    return has(state_.last_entry.voters, id) || has(state_.last_entry.outgoing_voters, id);
}

bool RaftNode::is_majority(const std::map<MemberId, bool>& yes) const {
    for (const auto* set : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        const auto count = std::count_if(set->begin(), set->end(), [&](const Member& m) {
            const auto it = yes.find(m.id);
            return it != yes.end() && it->second;
        });
        if (!set->empty() && static_cast<std::size_t>(count) <= set->size() / 2) return false;
    }
    return !state_.last_entry.voters.empty();
}

RaftNode::Quorum RaftNode::quorum(Time now) const {
    Quorum out{true, ~std::uint64_t{0}, Time::max()};
    for (const auto* set : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        if (set->empty()) continue;
        std::vector<bool> holds;
        std::vector<std::uint64_t> rounds;
        std::vector<Time> answered;
        for (const Member& voter : *set) {
            const auto peer = peers_.find(voter.id);
            if (voter.id == self_.id) {
                holds.push_back(persisted_position_ == state_.last_entry.position);
                rounds.push_back(round_);
                answered.push_back(now);
            } else if (peer != peers_.end()) {
                holds.push_back(peer->second.match_position == state_.last_entry.position);
                rounds.push_back(peer->second.round);
                answered.push_back(peer->second.acknowledged_at);
            } else {
                holds.push_back(false);
                rounds.push_back(0);
                answered.push_back({});
            }
        }
        out.has_last_entry = out.has_last_entry && reached_by_majority(holds);
        out.round = std::min(out.round, reached_by_majority(rounds));
        out.acknowledged_at = std::min(out.acknowledged_at, reached_by_majority(answered));
    }
    return out;
}

bool RaftNode::is_durable(const LogPosition& stamp) const {
    if (role_ != Role::Leader || state_.committed_entry.position < stamp) return false;
    std::vector<Member> holders;
    for (const Member& voter : state_.last_entry.voters) {
        const auto peer = peers_.find(voter.id);
        // What is later in this term was made from it.
        if (voter.id == self_.id ? persisted_position_ >= stamp
                                 : peer != peers_.end() && peer->second.match_position >= stamp)
            holders.push_back(with_known_location(voter));
    }
    return replicas_survive_failures(holders, voters_with_locations(), options_.fault_tolerance);
}

bool RaftNode::has_left() const {
    return leaving_ && role_ == Role::Follower && !is_voter() && state_.last_entry.outgoing_voters.empty() &&
           state_.last_entry.position == state_.committed_entry.position;
}

std::size_t RaftNode::learner_count() const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) { return !is_voter(p.first); }));
}

void RaftNode::reset_election_timeout(Time now) {
    const auto span = static_cast<std::uint64_t>(options_.min_election_timeout.count());
    election_deadline_ =
        now + options_.min_election_timeout + Duration{static_cast<Duration::rep>(next_random() % span)};
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
        if (voter.id != self_.id && !has(state_.last_entry.voters, voter.id)) send(message, voter.id);
    }
}

bool RaftNode::has_leader_lease(Time now) const {
    return role_ == Role::Leader && !persist_failed_ && state_.committed_entry.position.term == state_.term &&
           (is_single_voter() || now - quorum_acknowledged_at_ < options_.leader_lease);
}

bool RaftNode::has_quorum_contact(Time now, Duration within) const {
    if (role_ == Role::Leader) return has_leader_lease(now);
    return leader_ && quorum_contact_at_ != Time{} && now - quorum_contact_at_ < within;
}

void RaftNode::become_follower(Time now, Term term, std::optional<Member> leader) {
    if (term > state_.term) {
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

void RaftNode::tick(Time now) {
    // One that has just started would have heard a leader by now if there were one.
    if (election_deadline_ == Time{})
        election_deadline_ =
            now + options_.heartbeat +
            Duration{static_cast<Duration::rep>(
                next_random() % static_cast<std::uint64_t>(options_.min_election_timeout.count()))};
    if (role_ == Role::Leader) {
        // A leader that no majority hears is none: guards against two that both answer.
        if (!is_single_voter() && now - quorum_acknowledged_at_ >= options_.leader_lease) {
            return become_follower(now, state_.term, std::nullopt);
        }
        if (now >= next_heartbeat_at_) broadcast_append_entries(now);
        leave_joint_consensus(now);
        if (now >= next_membership_check_at_) {
            next_membership_check_at_ = now + options_.heartbeat;
            leaving_ ? transfer_leadership(now) : propose_membership_change(now);
        }
        return;
    }
    if (now >= election_deadline_ && is_voter() && !persist_failed_ && !leaving_) start_election(now, true);
}

void RaftNode::start_election(Time now, bool pre, bool handed) {
    role_ = Role::Candidate;
    leader_.reset();
    in_pre_vote_ = pre;
    election_started_at_ = now;
    votes_.clear();
    if (!pre) {
        ++state_.term;
        state_.voted_for = self_.id;
        must_persist_ = true;
    }
    votes_[self_.id] = true;
    reset_election_timeout(now);
    Message ask;
    ask.kind = Message::Kind::RequestVote;
    ask.term = pre ? state_.term + 1 : state_.term;
    ask.pre_vote = pre;
    ask.leadership_transfer = handed;
    ask.last_position = state_.last_entry.position;
    send_to_voters(ask);
    count_votes(now);
}

void RaftNode::count_votes(Time now) {
    if (!is_majority(votes_)) return;
    if (in_pre_vote_) return start_election(now, false);
    become_leader(now);
}

void RaftNode::become_leader(Time now) {
    role_ = Role::Leader;
    leader_ = self_;
    leader_since_ = now;
    quorum_acknowledged_at_ =
        election_started_at_;  // the votes are a majority's answers to a question of then
    for (auto& [id, peer] : peers_) {
        peer.match_position = {};
        peer.entry_sent_position = {};
        peer.acknowledged_at = election_started_at_;  // nobody is held silent for what another leader heard
        peer.round = peer.contact_sequence = 0;
        peer.leaving = false;
    }
    confirmed_round_ = 0;
    evaluated_candidates_.clear();
    // An entry of its own term, with the value that it found: what was uncertain is settled by this one.
    append(now, state_.last_entry.voters, state_.last_entry.outgoing_voters, state_.last_entry.value);
}

void RaftNode::append(Time now, std::vector<Member> voters, std::vector<Member> outgoing, std::string value) {
    state_.last_entry = LogEntry{{state_.term, state_.last_entry.position.index + 1},
                                 std::move(voters),
                                 std::move(value),
                                 std::move(outgoing)};
    must_persist_ = true;
    add_configured_members();
    advance_commit(now);
    broadcast_append_entries(now);
}

void RaftNode::broadcast_append_entries(Time now) {
    next_heartbeat_at_ = now + options_.heartbeat;
    ++round_;
    std::erase_if(peers_, [&](const auto& entry) {
        return !is_voter(entry.first) &&
               now - std::max(entry.second.acknowledged_at, entry.second.last_seen_at) > kForgetLearner;
    });
    for (auto& [id, peer] : peers_) send_append_entries(now, peer);
}

void RaftNode::send_append_entries(Time now, Peer& peer) {
    Message message;
    message.kind = Message::Kind::AppendEntries;
    message.term = state_.term;
    message.last_position = state_.last_entry.position;
    message.commit_position = state_.committed_entry.position;
    message.round = round_;
    message.has_quorum = has_leader_lease(now);
    message.sent_at = static_cast<std::uint64_t>(now.time_since_epoch().count());
    message.contact_sequence = peer.contact_sequence;
    const bool lacks = peer.match_position != state_.last_entry.position;
    // One that answered what was sent after the entry, and lacks it, never got it. One that answers nothing
    // may sit behind a slow link: no second copy is put into its queue soon.
    if (lacks && (peer.entry_sent_position != state_.last_entry.position ||
                  peer.acknowledged_at > peer.entry_sent_at || now - peer.entry_sent_at >= kEntryAgain)) {
        message.entry = state_.last_entry;
        peer.entry_sent_position = state_.last_entry.position;
        peer.entry_sent_at = now;
    }
    send(std::move(message), peer.member.id);
}

void RaftNode::advance_commit(Time now) {
    if (role_ != Role::Leader) return;
    const Quorum reached = quorum(now);
    confirmed_round_ = std::max(confirmed_round_, reached.round);
    quorum_acknowledged_at_ = std::max(quorum_acknowledged_at_, reached.acknowledged_at);
    if (!reached.has_last_entry || state_.committed_entry.position == state_.last_entry.position) return;
    state_.committed_entry = state_.last_entry;
    must_persist_ = true;
    next_heartbeat_at_ = now;  // the others are told at once
    if (is_voter()) return;
    // The set without this one is in force: it was the last thing to do here.
    broadcast_append_entries(now);
    transfer_leadership(now);
    become_follower(now, state_.term, std::nullopt);
}

bool RaftNode::awaits_initial_members(Time now) const {
    return state_.last_entry.value.empty() &&
           now - leader_since_.value_or(now) < options_.initial_membership_wait && !tolerates_failures();
}

std::optional<LogPosition> RaftNode::propose(Time now, std::string value) {
    if (!has_leader_lease(now) || state_.committed_entry.position != state_.last_entry.position ||
        !state_.last_entry.outgoing_voters.empty() || awaits_initial_members(now))
        return std::nullopt;
    append(now, state_.last_entry.voters, {}, std::move(value));
    return state_.last_entry.position;
}

std::uint64_t RaftNode::request_read_index(Time now) {
    if (role_ == Role::Leader) broadcast_append_entries(now);
    if (is_single_voter()) confirmed_round_ = round_;
    return round_;
}

void RaftNode::transfer_leadership(Time now) {
    if (role_ != Role::Leader) return;
    const Peer* best = nullptr;
    for (const auto& [id, peer] : peers_) {
        if (!has(state_.last_entry.voters, id) || peer.leaving ||
            now - peer.acknowledged_at > options_.leader_lease)
            continue;
        if (!best || peer.match_position > best->match_position) best = &peer;
    }
    if (!best) return;
    Message message;
    message.kind = Message::Kind::TimeoutNow;
    message.term = state_.term;
    send(std::move(message), best->member.id);
}

void RaftNode::on_persisted(Time now) {
    persist_failed_ = false;
    if (persisted_position_ == persisting_position_) return;
    persisted_position_ = persisting_position_;
    advance_commit(now);
}

void RaftNode::on_persist_failed(Time now) {
    persist_failed_ = true;
    outgoing_messages_.clear();
    if (role_ == Role::Leader) {
        transfer_leadership(now);
        auto last = std::exchange(outgoing_messages_, {});
        become_follower(now, state_.term, std::nullopt);
        outgoing_messages_ = std::move(last);
    }
    must_persist_ = true;  // tried again
}

void RaftNode::leave(Time now) {
    leaving_ = true;
    if (role_ == Role::Leader) return transfer_leadership(now);
    if (role_ == Role::Candidate) become_follower(now, state_.term, std::nullopt);
    if (leader_) reply_to_leader(now);  // it hears of it now, and not with the next heartbeat
}

bool RaftNode::is_live(Time now, const Peer& peer) const {
    if (peer.leaving || now - peer.acknowledged_at > options_.replace_voter_after) return false;
    // Another at its address that answered later than it: its disk is gone for good.
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& p) {
        return p.first != peer.member.id && p.second.member.address == peer.member.address &&
               p.second.acknowledged_at > peer.acknowledged_at &&
               now - p.second.acknowledged_at < options_.leader_lease;
    });
}

/// While a set changes, a majority of both is wanted; once that is committed, the new one alone is in force.
void RaftNode::leave_joint_consensus(Time now) {
    if (state_.last_entry.outgoing_voters.empty() || !has_leader_lease(now) ||
        state_.committed_entry.position != state_.last_entry.position)
        return;
    append(now, state_.last_entry.voters, {}, state_.last_entry.value);
}

/// Brings the set in force nearer to the one that bears what must be borne, where what is there allows it:
/// one change at a time, from a committed entry of its own term, and only while the copies in the new set are
/// enough by themselves.
void RaftNode::propose_membership_change(Time now) {
    if (!has_leader_lease(now) || state_.committed_entry.position != state_.last_entry.position ||
        !state_.last_entry.outgoing_voters.empty())
        return;
    std::vector<VoterCandidate> candidates;
    for (const Member& voter : state_.last_entry.voters) {
        const auto peer = peers_.find(voter.id);
        if (peer != peers_.end() && peer->second.leaving) continue;
        candidates.push_back({with_known_location(voter), true,
                              voter.id == self_.id || (peer != peers_.end() && is_live(now, peer->second))});
    }
    const auto holds = [&](MemberId id) {
        if (id == self_.id) return persisted_position_ == state_.last_entry.position;
        const auto peer = peers_.find(id);
        return peer != peers_.end() && peer->second.match_position == state_.last_entry.position;
    };
    for (const auto& [id, peer] : peers_) {
        if (is_voter(id) || peer.leaving || !holds(id) || now - peer.acknowledged_at > options_.leader_lease)
            continue;
        candidates.push_back({peer.member, false, true});
    }
    if (candidates == evaluated_candidates_) return;
    auto chosen = choose_voters(candidates, options_.fault_tolerance);
    const auto& voters = state_.last_entry.voters;
    if (chosen.empty() ||
        (chosen.size() == voters.size() &&
         std::all_of(chosen.begin(), chosen.end(), [&](const Member& m) { return has(voters, m.id); }))) {
        evaluated_candidates_ = std::move(candidates);
        return;
    }
    if (!has(chosen, self_.id)) return transfer_leadership(now);
    std::vector<Member> holders;
    std::copy_if(chosen.begin(), chosen.end(), std::back_inserter(holders),
                 [&](const Member& m) { return holds(m.id); });
    if (holders.size() <= chosen.size() / 2 ||
        !replicas_survive_failures(holders, chosen, options_.fault_tolerance))
        return;
    evaluated_candidates_.clear();
    append(now, std::move(chosen), voters, state_.last_entry.value);
}

void RaftNode::add_known_member(Time now, const Member& member) {
    if (member.id == self_.id || member.id == 0) return;
    const auto known = peers_.find(member.id);
    if (known == peers_.end() && peers_.size() >= kMostPeers) return;
    Peer& peer = peers_[member.id];
    peer.last_seen_at = now;
    const std::string agreed = is_voter(member.id) ? peer.member.address : member.address;
    peer.member = member;
    peer.member.address = agreed;
}

void RaftNode::receive(Time now, const Message& message) {
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
            if (message.term == state_.term && is_voter() && !persist_failed_ && !leaving_ &&
                role_ == Role::Follower)
                start_election(now, false, true);
            return;
    }
}

void RaftNode::on_request_vote(Time now, const Message& message) {
    Message vote;
    vote.kind = Message::Kind::RequestVoteReply;
    vote.pre_vote = message.pre_vote;
    // Whoever hears a leader lets nobody else stand: guards against one that was cut off and comes back.
    const bool led =
        (role_ == Role::Leader && has_leader_lease(now)) ||
        (leader_ && has_seen_leader_ && now - leader_last_seen_ < options_.min_election_timeout &&
         leader_->id != message.from.id);
    // Whoever is asked is in the set of the one that asks, also where it has not heard of that yet.
    const bool has_all = message.last_position >= state_.last_entry.position;
    if (message.pre_vote) {
        vote.granted = !led && has_all && message.term > state_.term && !persist_failed_;
        vote.term = vote.granted ? message.term : state_.term;
        return send(std::move(vote), message.from.id);
    }
    if (led && !message.leadership_transfer) {
        vote.term = state_.term;
        return send(std::move(vote), message.from.id);
    }
    if (message.term > state_.term) become_follower(now, message.term, std::nullopt);
    const bool free = state_.voted_for == 0 || state_.voted_for == message.from.id;
    vote.granted =
        message.term == state_.term && free && has_all && !persist_failed_ && role_ != Role::Leader;
    if (vote.granted && state_.voted_for == 0) {
        state_.voted_for = message.from.id;
        must_persist_ = true;
    }
    if (vote.granted) reset_election_timeout(now);
    vote.term = state_.term;
    send(std::move(vote), message.from.id);
}

void RaftNode::on_request_vote_reply(Time now, const Message& message) {
    if (!message.pre_vote && message.term > state_.term)
        return become_follower(now, message.term, std::nullopt);
    if (message.pre_vote && !message.granted && message.term > state_.term)
        return become_follower(now, message.term, std::nullopt);
    if (role_ != Role::Candidate || message.pre_vote != in_pre_vote_) return;
    if (message.term != (in_pre_vote_ ? state_.term + 1 : state_.term)) return;
    votes_[message.from.id] = message.granted;
    count_votes(now);
}

void RaftNode::reply_to_leader(Time now) {
    Message ack;
    ack.kind = Message::Kind::AppendEntriesReply;
    ack.round = leader_round_;
    ack.sent_at = leader_sent_at_;
    ack.leaving = leaving_;
    ack.granted = true;
    ack.term = state_.term;
    ack.last_position = state_.last_entry.position;
    ack.contact_sequence = ++contact_sequence_;
    contact_sent_at_.push_back(now);
    if (contact_sent_at_.size() > kMostAsks) contact_sent_at_.pop_front();
    send(std::move(ack), leader_->id);
}

void RaftNode::on_append_entries(Time now, const Message& message) {
    if (message.term < state_.term) {
        Message ack;
        ack.kind = Message::Kind::AppendEntriesReply;
        ack.round = message.round;
        ack.term = state_.term;
        return send(std::move(ack), message.from.id);
    }
    if (message.term > state_.term || role_ != Role::Follower || !leader_ || leader_->id != message.from.id)
        become_follower(now, message.term, message.from);
    leader_last_seen_ = now;
    has_seen_leader_ = true;
    reset_election_timeout(now);
    const std::uint64_t ago = contact_sequence_ - message.contact_sequence;  // of this one's own questions
    if (message.has_quorum && ago < contact_sent_at_.size())
        quorum_contact_at_ =
            std::max(quorum_contact_at_,
                     contact_sent_at_[contact_sent_at_.size() - 1 - static_cast<std::size_t>(ago)]);
    if (message.entry && message.entry->position > state_.last_entry.position) {
        state_.last_entry = *message.entry;
        must_persist_ = true;
        add_configured_members();
    }
    if (message.commit_position == state_.last_entry.position &&
        state_.committed_entry.position < state_.last_entry.position) {
        state_.committed_entry =
            state_.last_entry;  // goes to disk with the next change: it can be told again
    }
    leader_round_ = message.round;
    leader_sent_at_ = message.sent_at;
    reply_to_leader(now);
}

void RaftNode::on_append_entries_reply(Time now, const Message& message) {
    if (message.term > state_.term) return become_follower(now, message.term, std::nullopt);
    if (role_ != Role::Leader || message.term != state_.term || !message.granted) return;
    const auto found = peers_.find(message.from.id);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    if (message.round < peer.round) return;  // overtaken by a later answer
    peer.round = message.round;
    peer.match_position = message.last_position;
    peer.leaving = message.leaving;
    peer.contact_sequence = message.contact_sequence;
    const Time asked{Duration{static_cast<Duration::rep>(message.sent_at)}};
    if (asked <= now) peer.acknowledged_at = std::max(peer.acknowledged_at, asked);
    advance_commit(now);
    if (role_ != Role::Leader) return;
    leave_joint_consensus(now);
    // Told at once: the others serve what is committed.
    if (next_heartbeat_at_ <= now) {
        broadcast_append_entries(now);
    } else if (peer.match_position != state_.last_entry.position &&
               peer.entry_sent_position != state_.last_entry.position) {
        send_append_entries(now, peer);
    }
}

}  // namespace martenford::raft
