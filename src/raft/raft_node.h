// A replicated register: one value on the disks of a majority of voters, changed by one leader at a time.
//
// The algorithm is Raft. The comments of this package cite
//   [Raft]  D. Ongaro, J. Ousterhout: In Search of an Understandable Consensus Algorithm, USENIX ATC 2014.
//   [Diss]  D. Ongaro: Consensus: Bridging Theory and Practice, Stanford 2014.
//
// What is taken from them, and where it is:
//   election.cpp     election restricted to up-to-date candidates ([Raft] 5.2, 5.4.1), pre-vote ([Diss] 9.6)
//   replication.cpp  replication and commit, an entry of the leader's own term first ([Raft] 5.3, 5.4.2)
//   membership.cpp   joint consensus ([Raft] 6), leadership transfer ([Diss] 3.10)
//   read_index.cpp   read index and leader lease ([Diss] 6.4, 6.4.1)
//   first_start.cpp  recovery of a first start that failed; not from them
//   raft_node.cpp    the events, and check-quorum: a leader that no majority answers steps down ([Diss] 6.2)
//
// What differs from them:
//   - The log is one entry long. Each entry holds the whole value and the voter configuration, so a later one
//     replaces it. There is no log matching, no compaction and no InstallSnapshot: a node that lacks the last
//     entry is sent it.
//   - Voters are replaced without an operator: the leader moves to the configuration that tolerates the
//     failures that the settings ask for (voter_selection.h). Members that do not vote are learners.
//   - Times of contact count from when a request was sent, not from when its reply was read. A process that
//     was suspended and wakes to a buffer full of old replies must not take them for a current lease.
//
// RaftNode is pure: no I/O, no clock, no threads. The caller passes in time and messages. After each event it
// takes the outputs in this order, which the safety of the algorithm rests on:
//   1. take_persist_request(): if true, write persistent_state() to disk and sync it. Then call
//      on_persisted(), or on_persist_failed() if that failed; either may produce further outputs.
//   2. take_messages(): send them. Votes and acknowledgements are promises that the disk must hold first.
//   3. Answer callers, when nothing is left to persist: is_durable() and may_still_commit() for proposals,
//      is_read_confirmed() for reads.
//   4. Start over while has_output().
// One node is used from one thread. `Time` is the process's steady clock; clocks of nodes are never compared.
// What must hold, and how it is tested: docs/control.md, docs/control-explorer.md.
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

/// Counts elections; at most one leader per term ([Raft] 5.1). 0: none yet.
using Term = std::uint64_t;

/// Identifies an entry. Positions are ordered as logs are in [Raft] 5.4.1: by term, then by index.
struct LogPosition {
    Term term = 0;            ///< of the leader that created the entry
    std::uint64_t index = 0;  ///< one more than that of the entry it replaced
    auto operator<=>(const LogPosition&) const = default;
};

/// The value and the voter configuration, as one leader proposed them.
struct LogEntry {
    LogPosition position;
    std::vector<Member> voters;  ///< in force as soon as a node has the entry, committed or not ([Raft] 6)
    std::string value;
    /// The voters before, during joint consensus: a decision then takes a majority of each. Empty otherwise.
    std::vector<Member> outgoing_voters{};
};

/// What must be on disk before any message of the same event goes out ([Raft] figure 2, persistent state).
struct PersistentState {
    MemberId self_id = 0;
    Term term = 0;
    MemberId voted_for = 0;    ///< the candidate that got this node's vote in `term`; 0: none
    LogEntry last_entry;       ///< the accepted entry with the highest position; committed or not
    LogEntry committed_entry;  ///< the entry with the highest position known to be committed; may lag behind
};

/// All messages between nodes; which fields are used depends on the kind.
struct Message {
    enum class Kind : std::uint8_t {
        RequestVote,         ///< a candidate asks for a vote or a pre-vote ([Raft] 5.2, [Diss] 9.6)
        RequestVoteReply,    ///< grants or refuses it
        AppendEntries,       ///< the leader's heartbeat, with the last entry if the receiver lacks it
        AppendEntriesReply,  ///< acknowledges it, or refuses a leader of an earlier term
        TimeoutNow           ///< the leader asks the receiver to start an election at once ([Diss] 3.10)
    };
    Kind kind = Kind::AppendEntries;
    Member from;      ///< the sender
    MemberId to = 0;  ///< the receiver; a node ignores messages to another id at its address
    /// The sender's term. Of a pre-vote request, and of the reply that grants it: the term that the candidate
    /// would start.
    Term term = 0;
    /// RequestVote and its reply: asks whether the receiver would vote, without starting a term.
    bool pre_vote = false;
    /// RequestVoteReply: the vote is given. AppendEntriesReply: the leader is accepted.
    bool granted = false;
    /// RequestVote: the leader asked for this election, so receivers vote although they still hear the
    /// leader.
    bool leadership_transfer = false;
    bool leaving = false;  ///< AppendEntriesReply: the sender shuts down and is to be replaced as a voter
    /// AppendEntries: a majority has answered the leader within its lease, and its term has a committed
    /// entry.
    bool has_quorum = false;
    /// Of the sender's last entry; of an AppendEntriesReply: what it acknowledges.
    LogPosition last_position;
    LogPosition commit_position;  ///< AppendEntries: of the leader's committed entry
    /// AppendEntries: number of the leader's heartbeat round; its reply returns it.
    std::uint64_t round = 0;
    /// AppendEntries: when it was sent, by the leader's steady clock in nanoseconds; its reply returns it.
    std::uint64_t sent_at = 0;
    /// AppendEntriesReply: number of a contact request of the follower; the leader's next AppendEntries
    /// returns it, see has_quorum_contact().
    std::uint64_t contact_sequence = 0;
    std::optional<LogEntry> entry;  ///< AppendEntries: the leader's last entry, if the receiver may lack it
};

/// Timing and the failures to tolerate. The defaults are those of the controller.
struct RaftOptions {
    Duration heartbeat = 100ms;  ///< interval between a leader's heartbeats
    /// Least time without a message of the leader before a follower starts an election; each timeout is drawn
    /// between this and twice this ([Raft] 5.2).
    Duration min_election_timeout = 500ms;
    /// A leader steps down when no majority has answered a request that was sent within this time.
    Duration leader_lease = 900ms;
    /// A voter that has not answered for this long may be replaced by a learner.
    Duration replace_voter_after = 1500ms;
    /// Before the first value, a leader refuses proposals for at most this long while the voters do not
    /// tolerate the failures below: more members may still come.
    Duration initial_membership_wait = 2s;
    /// A member is heard if it has announced itself within this time.
    Duration announcement_timeout = 2s;
    /// Members in the places of first voters must have stated for so long that they have no history.
    Duration first_start_repair_delay = 1s;
    FaultTolerance fault_tolerance;  ///< which failures the voters are chosen to survive
};

/// What a member states of itself when it announces itself.
enum class MemberHistory : std::uint8_t {
    Unknown,  ///< it states nothing
    None      ///< its disk was empty at its first start; it has never voted and never accepted an entry
};

class RaftNode {
  public:
    enum class Role { Follower, Candidate, Leader };

    /// `self.id` equals `disk.self_id`; `disk` is what persistent_state() last gave, or the initial voters.
    /// `seed` is that of the election timeouts.
    RaftNode(Member self, PersistentState disk, const RaftOptions& options, std::uint64_t seed);

    // ---- Events. Each may produce the outputs below.

    /// Runs what is due: elections, heartbeats, membership changes. Called every few tens of milliseconds.
    void tick(Time now);
    /// Handles a message of another node. Ignores one that is addressed to another id.
    void receive(Time now, const Message& message);
    /// Adds or refreshes a member that this node learned of outside of Raft. A leader replicates to it as to
    /// a learner, may make it a voter, and forgets a learner after ten seconds without a sign of it.
    void add_known_member(Time now, const Member& member, MemberHistory history = MemberHistory::Unknown);
    /// Proposes a value and returns the position of its entry, or nothing if this node cannot take one now:
    /// it has no leader lease, an entry or a membership change is not committed yet, or members are awaited.
    std::optional<LogPosition> propose(Time now, std::string value);
    /// Starts a heartbeat round, as leader, and returns its number. Once is_read_confirmed() holds for it,
    /// this node was still the leader when it was called, so its committed value may be served ([Diss] 6.4).
    std::uint64_t request_read_index(Time now);
    /// Asks the live voter with the highest match position to take over ([Diss] 3.10). No-op if there is
    /// none.
    void transfer_leadership(Time now);
    /// Starts a graceful shutdown: this node gives up leadership, stops standing for election and asks the
    /// leader to replace it as a voter. Ends when has_left() holds.
    void leave(Time now);
    /// The state could not be written. Drops all messages that depend on it; a leader hands over. This node
    /// neither leads nor votes until a write succeeds. The state is output again.
    void on_persist_failed(Time now);
    /// The state of the last take_persist_request() is on disk. The node's own copy counts from here on.
    void on_persisted(Time now);

    // ---- Outputs, to be taken after each event; the order is in the file's comment.

    /// Returns whether persistent_state() is to be written before the messages go out.
    bool take_persist_request() {
        persisting_position_ = state_.last_entry.position;
        return std::exchange(must_persist_, false);
    }
    /// Returns the messages to send, in the order of their creation.
    std::vector<Message> take_messages() { return std::exchange(outgoing_messages_, {}); }
    bool has_output() const { return must_persist_ || !outgoing_messages_.empty(); }

    // ---- State.

    const PersistentState& persistent_state() const { return state_; }
    Role role() const { return role_; }
    /// Returns whether this node leads, has committed an entry of its own term, and a majority has answered a
    /// request that it sent within the lease ([Diss] 6.4.1).
    bool has_leader_lease(Time now) const;
    /// Returns whether this node is the leader with a lease, or received an AppendEntries of a leader with
    /// quorum that returns a contact request which this node sent less than `within` ago. Measured from the
    /// send time, so a reply that is read late does not extend it.
    bool has_quorum_contact(Time now, Duration within) const;
    /// The leader of this term, where it is known.
    std::optional<Member> leader() const { return leader_; }
    /// Returns whether a majority has answered the heartbeat round of request_read_index(), or a later one.
    bool is_read_confirmed(std::uint64_t heartbeat_round) const {
        return confirmed_heartbeat_round_ >= heartbeat_round && role_ == Role::Leader;
    }
    /// Returns whether the entry of propose() is committed, and enough voters hold it that it survives the
    /// failures to tolerate. A configuration that still grows may commit with fewer copies; clients are
    /// answered only when this holds.
    bool is_durable(const LogPosition& position) const;
    /// Returns whether this node still leads the term of the proposal. Once false, it stays false: another
    /// leader may have replaced the entry, and its outcome is unknown.
    bool may_still_commit(const LogPosition& position) const {
        return role_ == Role::Leader && state_.term == position.term;
    }
    /// Returns whether this node is in a voter configuration in force, the outgoing one included.
    bool is_voter() const { return is_voter(self_.id); }
    /// After leave(): returns whether a committed configuration without this node is in force.
    bool has_left() const;
    /// Returns whether the voters keep a majority through each of the failures to tolerate.
    bool tolerates_failures() const {
        return raft::tolerates_failures(voters_with_locations(), options_.fault_tolerance);
    }
    /// When this node became leader; nothing if it is not.
    std::optional<Time> leader_since() const { return leader_since_; }
    /// Returns whether this node, since its state was made, has never voted and never accepted an entry.
    bool has_no_history() const;
    /// Number of other members known to this node that are not voters.
    std::size_t learner_count() const;

  private:
    /// What a node knows of another one. All but `member` and `last_seen_at` is the leader's.
    struct Peer {
        Member member;
        LogPosition match_position;          // of the entry that it acknowledged last
        Time acknowledged_at{};              // send time of the latest request that it answered
        std::uint64_t heartbeat_round = 0;   // of the latest request that it answered
        std::uint64_t contact_sequence = 0;  // of its latest contact request
        bool leaving = false;
        Time entry_sent_at{};  // when an entry was last sent to it
        LogPosition entry_sent_position;
        Time last_seen_at{};  // of add_known_member()
        /// Since when it has stated MemberHistory::None; nothing if its last announcement did not.
        std::optional<Time> no_history_since;
    };
    /// What one voter, or a majority of each configuration in force, has acknowledged.
    struct Progress {
        bool has_last_entry = false;
        std::uint64_t heartbeat_round = 0;
        Time acknowledged_at{};  // send time of the request
    };
    /// PreVote: asks whether an election could be won, without a new term ([Diss] 9.6).
    /// LeadershipTransfer: an election at the leader's request, without a pre-vote ([Diss] 3.10).
    enum class ElectionKind : std::uint8_t { PreVote, Vote, LeadershipTransfer };

    // raft_node.cpp
    void send(Message message, MemberId to);
    void send_to_voters(const Message& message);
    std::uint64_t next_random();
    /// Returns a random duration from zero to `limit`, without `limit`.
    Duration random_below(Duration limit);
    void tick_leader(Time now);

    // election.cpp
    void reset_election_timeout(Time now);
    void become_follower(Time now, Term term, std::optional<Member> leader);
    void start_election(Time now, ElectionKind kind);
    void count_votes(Time now);
    void become_leader(Time now);
    /// Returns whether a majority of each configuration in force has a true in `votes`.
    bool is_majority(const std::map<MemberId, bool>& votes) const;
    /// Returns whether this node leads with a lease, or has heard a leader other than `candidate` within the
    /// least election timeout.
    bool hears_other_leader(Time now, MemberId candidate) const;
    void on_request_vote(Time now, const Message& message);
    void on_request_vote_reply(Time now, const Message& message);
    void on_timeout_now(Time now, const Message& message);

    // replication.cpp
    /// Replaces the last entry, as leader, and sends it.
    void append(Time now, std::vector<Member> voters, std::vector<Member> outgoing_voters, std::string value);
    /// Starts a heartbeat round.
    void broadcast_append_entries(Time now);
    void send_append_entries(Time now, Peer& peer);
    void advance_commit(Time now);
    Progress voter_progress(Time now, MemberId id) const;
    Progress quorum_progress(Time now) const;
    /// Position of the entry that a member is known to have on disk; nothing if the member is unknown.
    std::optional<LogPosition> replicated_position(MemberId id) const;
    bool is_last_entry_committed() const {
        return state_.committed_entry.position == state_.last_entry.position;
    }
    void reply_to_leader(Time now);
    void on_append_entries(Time now, const Message& message);
    void on_append_entries_reply(Time now, const Message& message);

    // membership.cpp
    bool is_voter(MemberId id) const;
    bool is_single_voter() const;
    bool in_joint_consensus() const { return !state_.last_entry.outgoing_voters.empty(); }
    /// The voters, with the locations that they last reported.
    std::vector<Member> voters_with_locations() const;
    Member with_known_location(const Member& member) const;
    /// Makes peers of all members of the configurations in force.
    void add_configured_members();
    bool is_live(Time now, const Peer& peer) const;
    bool awaits_initial_members(Time now) const;
    std::vector<VoterCandidate> voter_candidates(Time now) const;
    void propose_membership_change(Time now);
    void leave_joint_consensus(Time now);

    // first_start.cpp
    /// Puts new members in the places of the first voters, if these were lost before they had voted.
    void repair_failed_first_start(Time now);
    /// The member at the address of `voter` that has stated for long enough to have no history; or null.
    const Peer* successor_without_history(Time now, const Member& voter) const;
    bool hears_member_with_history(Time now) const;

    // read_index.cpp
    /// When this node sent a contact request; nothing if it is too old, or of a process before this one.
    std::optional<Time> contact_request_sent_at(std::uint64_t sequence) const;
    /// Numbers a contact request that is sent now.
    std::uint64_t next_contact_request(Time now);

    Member self_;
    PersistentState state_;
    RaftOptions options_;
    std::uint64_t random_state_;
    Role role_ = Role::Follower;
    std::map<MemberId, Peer> peers_;  // all other members known; add_known_member() adds none above kMaxPeers
    std::vector<Message> outgoing_messages_;

    // Persistence
    bool must_persist_ = false;
    bool persist_failed_ = false;
    LogPosition persisting_position_;  // of the last entry in the state that was given to be written
    LogPosition persisted_position_;   // of the last entry on disk

    // Election
    Time election_deadline_{};  // Time{}: not drawn yet
    Time election_started_at_{};
    bool in_pre_vote_ = false;
    std::map<MemberId, bool> votes_;  // as candidate: the replies, by voter

    // Follower
    std::optional<Member> leader_;
    bool has_seen_leader_ = false;
    Time leader_last_seen_{};           // when a message of the leader was last read
    std::uint64_t leader_round_ = 0;    // of its last message, for the reply
    std::uint64_t leader_sent_at_ = 0;  // of its last message, for the reply
    Time quorum_contact_at_{};  // send time of the latest contact request that a leader with quorum returned
    std::uint64_t contact_sequence_ = 0;  // of the latest contact request
    std::deque<Time> contact_sent_at_;    // send times of the latest ones; the last is contact_sequence_'s
    bool leaving_ = false;

    // Leader
    std::optional<Time> leader_since_;
    Time next_heartbeat_at_{};
    Time next_membership_check_at_{};
    std::uint64_t heartbeat_round_ = 0;            // the last one that was started
    std::uint64_t confirmed_heartbeat_round_ = 0;  // the last one that a majority answered
    Time quorum_acknowledged_at_{};  // send time of the latest requests that a majority answered
    std::vector<VoterCandidate> evaluated_candidates_;  // for which the voters in force were the best choice
};

}  // namespace martenford::raft
