// The agreed register: one value, kept by a majority of the voters' disks, changed by one leader at a time.
// An election as in Raft (Ongaro and Ousterhout, 2014) with pre-vote and check-quorum; the log is one entry
// long, since each entry holds the whole value. Members are changed by joint consensus (section 6 there).
// docs/mesh.md tells why, docs/control.md what holds. Pure: messages and time come in; messages, what is to
// be persisted and what is committed come out.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduler.h"
#include "raft/voter_selection.h"

namespace martenford::raft {

using Term = std::uint64_t;

struct LogPosition {
    Term term = 0;
    std::uint64_t index = 0;
    auto operator<=>(const LogPosition&) const = default;
};

struct LogEntry {
    LogPosition position;
    std::vector<Member> voters;  ///< in force from the moment that the entry is held
    std::string value;
    std::vector<Member>
        outgoing_voters{};  ///< the set before, while it changes: then a majority of each is wanted
};

/// What must be on disk before any message of the same turn goes out.
struct PersistentState {
    MemberId self_id = 0;
    Term term = 0;
    MemberId voted_for = 0;    ///< in that term; 0: nobody
    LogEntry last_entry;       ///< the highest that was accepted; committed or not
    LogEntry committed_entry;  ///< the highest known to be committed; may lag
};

struct Message {
    enum class Kind : std::uint8_t {
        RequestVote,
        RequestVoteReply,
        AppendEntries,
        AppendEntriesReply,
        TimeoutNow
    };
    Kind kind = Kind::AppendEntries;
    Member from;
    MemberId to = 0;
    Term term = 0;
    bool pre_vote = false;             ///< AskVote, Vote: would it win, without a new term
    bool granted = false;              ///< Vote, Ack
    bool leadership_transfer = false;  ///< AskVote: the leader gave the lead away
    bool leaving = false;              ///< Ack: the sender gives its place away before it ends
    bool has_quorum = false;           ///< Append: a majority has answered the sender within its lease
    LogPosition last_position;         ///< the sender's; of an Ack: what it holds now
    LogPosition commit_position;       ///< Append
    std::uint64_t round = 0;           ///< Append and its Ack: to tell which question an answer is to
    std::uint64_t sent_at = 0;         ///< Append: when, by the sender's steady clock; its Ack brings it back
    std::uint64_t contact_sequence =
        0;                          ///< Ack: a question of the follower's own; the next Append brings it back
    std::optional<LogEntry> entry;  ///< Append: where the receiver lacks it
};

struct RaftOptions {
    Duration heartbeat = 100ms;
    Duration min_election_timeout =
        500ms;  ///< silence of the leader after which another stands, drawn up to twice this
    Duration leader_lease =
        900ms;  ///< a leader whose questions of this long no majority has answered is none
    Duration replace_voter_after = 1500ms;  ///< a voter silent for so long gives its place to a learner
    Duration initial_membership_wait =
        2s;  ///< before the first value, a set that bears too little is waited on for so long
    FaultTolerance fault_tolerance;  ///< what must be borne, from the settings
};

class RaftNode {
  public:
    enum class Role { Follower, Candidate, Leader };

    /// `self.id` is disk.self. Random numbers come from `seed`.
    RaftNode(Member self, PersistentState disk, const RaftOptions& options, std::uint64_t seed);

    // ---- events: each may fill the outputs below
    void tick(Time now);
    void receive(Time now, const Message& message);
    /// Another member that was heard of; it is sent what is committed, and may take a voter's place.
    void add_known_member(Time now, const Member& member);
    /// Proposes a value; only a leader whose own entry is committed takes one, one at a time. Nothing: not
    /// now.
    std::optional<LogPosition> propose(Time now, std::string value);
    /// A number that is_confirmed() once a majority has answered a question sent after this call.
    std::uint64_t request_read_index(Time now);
    /// Gives the lead to the follower that has most, if there is one.
    void transfer_leadership(Time now);
    /// This one is to end: the lead and the place go to others first.
    void leave(Time now);
    /// What take_persist() gave could not be written: nothing that follows from it may go out, and this one
    /// does not lead until a write succeeds.
    void on_persist_failed(Time now);
    /// What take_persist() gave is on disk. This one's own copy counts from then on.
    void on_persisted(Time now);

    // ---- outputs
    /// True: disk() is to be persisted before the messages go out.
    bool take_persist_request() {
        persisting_position_ = state_.last_entry.position;
        return std::exchange(must_persist_, false);
    }
    std::vector<Message> take_messages() { return std::exchange(outgoing_messages_, {}); }

    bool has_output() const { return must_persist_ || !outgoing_messages_.empty(); }

    // ---- what is
    const PersistentState& persistent_state() const { return state_; }
    Role role() const { return role_; }
    /// Leads, has its own entry committed, and a majority has answered within the lease.
    bool has_leader_lease(Time now) const;
    /// Whether it leads, or a leader with a majority behind it has answered a question that this one sent
    /// within this time. An answer that was read late, out of a full buffer, is as old as its question.
    bool has_quorum_contact(Time now, Duration within) const;
    std::optional<Member> leader() const { return leader_; }
    bool is_read_confirmed(std::uint64_t round) const {
        return confirmed_round_ >= round && role_ == Role::Leader;
    }
    /// Its value is committed, and copies of it outlive all that may be lost: what a 200 waits for.
    bool is_durable(const LogPosition& stamp) const;
    /// False for good once another leader may have replaced it.
    bool may_still_commit(const LogPosition& stamp) const {
        return role_ == Role::Leader && state_.term == stamp.term;
    }
    bool is_voter() const { return is_voter(self_.id); }
    /// After leave(): a set without this one is in force, and a majority of it has all.
    bool has_left() const;
    /// Whether each loss that is to be borne leaves a majority of the voters.
    bool tolerates_failures() const {
        return raft::tolerates_failures(voters_with_locations(), options_.fault_tolerance);
    }
    std::optional<Time> leader_since() const { return leader_since_; }
    std::size_t learner_count() const;

  private:
    struct Peer {
        Member member;
        LogPosition match_position;
        Time acknowledged_at{};  // when the last question was sent that it answered: not when its answer was
                                 // read
        std::uint64_t round = 0, contact_sequence = 0;
        bool leaving = false;
        Time entry_sent_at{};  // when an entry was last sent; not again at once
        LogPosition entry_sent_position;
        Time last_seen_at{};
    };
    struct Quorum {  // of what a majority of each set in force has
        bool has_last_entry = false;
        std::uint64_t round = 0;
        Time acknowledged_at{};
    };

    bool is_voter(MemberId id) const;
    /// With their places as they told them last.
    std::vector<Member> voters_with_locations() const;
    Member with_known_location(const Member& member) const;
    bool is_majority(const std::map<MemberId, bool>& yes) const;
    Quorum quorum(Time now) const;
    bool is_single_voter() const {
        const auto& entry = state_.last_entry;
        return entry.outgoing_voters.empty() && entry.voters.size() == 1 &&
               entry.voters.front().id == self_.id;
    }
    bool is_live(Time now, const Peer& peer) const;
    bool awaits_initial_members(Time now) const;
    void add_configured_members();
    void leave_joint_consensus(Time now);
    void become_follower(Time now, Term term, std::optional<Member> leader);
    void start_election(Time now, bool pre, bool handed = false);
    void count_votes(Time now);
    void become_leader(Time now);
    void append(Time now, std::vector<Member> voters, std::vector<Member> outgoing, std::string value);
    void broadcast_append_entries(Time now);
    void send_append_entries(Time now, Peer& peer);
    void advance_commit(Time now);
    void propose_membership_change(Time now);
    void reply_to_leader(Time now);
    void reset_election_timeout(Time now);
    void send(Message message, MemberId to);
    void send_to_voters(const Message& message);
    std::uint64_t next_random();

    void on_request_vote(Time now, const Message& message);
    void on_request_vote_reply(Time now, const Message& message);
    void on_append_entries(Time now, const Message& message);
    void on_append_entries_reply(Time now, const Message& message);

    Member self_;
    PersistentState state_;
    RaftOptions options_;
    std::uint64_t random_state_;
    Role role_ = Role::Follower;
    std::optional<Member> leader_;
    Time leader_last_seen_{};  // of the leader, when it was read
    bool has_seen_leader_ = false;
    Time quorum_contact_at_{};  // when the last question was sent that a leader with a majority answered
    std::uint64_t contact_sequence_ = 0, leader_round_ = 0, leader_sent_at_ = 0;
    std::deque<Time> contact_sent_at_;  // when the last ones, up to ask_, were sent
    Time election_deadline_{};
    Time next_heartbeat_at_{}, next_membership_check_at_{};
    std::vector<VoterCandidate> evaluated_candidates_;  // of these the set in force was the best
    Time election_started_at_{};
    bool in_pre_vote_ = false;
    std::map<MemberId, bool> votes_;
    std::map<MemberId, Peer> peers_;
    std::uint64_t round_ = 0, confirmed_round_ = 0;
    Time quorum_acknowledged_at_{};
    std::optional<Time> leader_since_;
    LogPosition persisting_position_,
        persisted_position_;  // of the entry that was given to be persisted; that is on disk
    bool must_persist_ = false, persist_failed_ = false, leaving_ = false;
    std::vector<Message> outgoing_messages_;
};

}  // namespace martenford::raft
