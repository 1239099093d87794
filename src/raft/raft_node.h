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
#include "moot/placement.h"

namespace martenford::moot {

using Term = std::uint64_t;

struct Stamp {
    Term term = 0;
    std::uint64_t index = 0;
    auto operator<=>(const Stamp&) const = default;
};

struct Entry {
    Stamp stamp;
    std::vector<Member> voters;  ///< in force from the moment that the entry is held
    std::string value;
    std::vector<Member> outgoing{};  ///< the set before, while it changes: then a majority of each is wanted
};

/// What must be on disk before any message of the same turn goes out.
struct Disk {
    MemberId self = 0;
    Term term = 0;
    MemberId voted_for = 0;  ///< in that term; 0: nobody
    Entry newest;            ///< the highest that was accepted; committed or not
    Entry committed;         ///< the highest known to be committed; may lag
};

struct Message {
    enum class Kind : std::uint8_t { AskVote, Vote, Append, Ack, TakeOver };
    Kind kind = Kind::Append;
    Member from;
    MemberId to = 0;
    Term term = 0;
    bool pre = false;            ///< AskVote, Vote: would it win, without a new term
    bool yes = false;            ///< Vote, Ack
    bool handed = false;         ///< AskVote: the leader gave the lead away
    bool leaving = false;        ///< Ack: the sender gives its place away before it ends
    bool leads = false;          ///< Append: a majority has answered the sender within its lease
    Stamp newest;                ///< the sender's; of an Ack: what it holds now
    Stamp committed;             ///< Append
    std::uint64_t round = 0;     ///< Append and its Ack: to tell which question an answer is to
    std::uint64_t asked = 0;     ///< Append: when, by the sender's steady clock; its Ack brings it back
    std::uint64_t ask = 0;       ///< Ack: a question of the follower's own; the next Append brings it back
    std::optional<Entry> entry;  ///< Append: where the receiver lacks it
};

struct Options {
    Duration heartbeat = 100ms;
    Duration election_least =
        500ms;               ///< silence of the leader after which another stands, drawn up to twice this
    Duration lease = 900ms;  ///< a leader whose questions of this long no majority has answered is none
    Duration replace_after = 1500ms;  ///< a voter silent for so long gives its place to a learner
    Duration growth = 2s;  ///< before the first value, a set that bears too little is waited on for so long
    Tolerance tolerance;   ///< what must be borne, from the settings
};

class Moot {
  public:
    enum class Role { Follower, Candidate, Leader };

    /// `self.id` is disk.self. Random numbers come from `seed`.
    Moot(Member self, Disk disk, const Options& options, std::uint64_t seed);

    // ---- events: each may fill the outputs below
    void tick(Time now);
    void receive(Time now, const Message& message);
    /// Another member that was heard of; it is sent what is committed, and may take a voter's place.
    void met(Time now, const Member& member);
    /// Proposes a value; only a leader whose own entry is committed takes one, one at a time. Nothing: not
    /// now.
    std::optional<Stamp> propose(Time now, std::string value);
    /// A number that is_confirmed() once a majority has answered a question sent after this call.
    std::uint64_t ask_confirmation(Time now);
    /// Gives the lead to the follower that has most, if there is one.
    void hand_over(Time now);
    /// This one is to end: the lead and the place go to others first.
    void leave(Time now);
    /// What take_persist() gave could not be written: nothing that follows from it may go out, and this one
    /// does not lead until a write succeeds.
    void disk_failed(Time now);
    /// What take_persist() gave is on disk. This one's own copy counts from then on.
    void persisted(Time now);

    // ---- outputs
    /// True: disk() is to be persisted before the messages go out.
    bool take_persist() {
        taken_ = disk_.newest.stamp;
        return std::exchange(dirty_, false);
    }
    std::vector<Message> take_messages() { return std::exchange(out_, {}); }

    bool has_output() const { return dirty_ || !out_.empty(); }

    // ---- what is
    const Disk& disk() const { return disk_; }
    Role role() const { return role_; }
    /// Leads, has its own entry committed, and a majority has answered within the lease.
    bool leads(Time now) const;
    /// Whether it leads, or a leader with a majority behind it has answered a question that this one sent
    /// within this time. An answer that was read late, out of a full buffer, is as old as its question.
    bool in_touch(Time now, Duration within) const;
    std::optional<Member> leader() const { return leader_; }
    bool is_confirmed(std::uint64_t round) const { return confirmed_ >= round && role_ == Role::Leader; }
    /// Its value is committed, and copies of it outlive all that may be lost: what a 200 waits for.
    bool is_durable(const Stamp& stamp) const;
    /// False for good once another leader may have replaced it.
    bool still_possible(const Stamp& stamp) const {
        return role_ == Role::Leader && disk_.term == stamp.term;
    }
    bool is_voter() const { return is_voter(self_.id); }
    /// After leave(): a set without this one is in force, and a majority of it has all.
    bool has_left() const;
    /// Whether each loss that is to be borne leaves a majority of the voters.
    bool bears_losses() const { return moot::bears_losses(voters(), options_.tolerance); }
    std::optional<Time> leading_since() const { return led_since_; }
    std::size_t learners() const;

  private:
    struct Peer {
        Member member;
        Stamp holds;
        Time answered{};  // when the last question was sent that it answered: not when its answer was read
        std::uint64_t round = 0, ask = 0;
        bool leaving = false;
        Time sent_entry{};  // when an entry was last sent; not again at once
        Stamp entry_sent;
        Time met{};
    };
    struct Quorum {  // of what a majority of each set in force has
        bool holds = false;
        std::uint64_t round = 0;
        Time answered{};
    };

    bool is_voter(MemberId id) const;
    /// With their places as they told them last.
    std::vector<Member> voters() const;
    Member known(const Member& member) const;
    bool is_majority(const std::map<MemberId, bool>& yes) const;
    Quorum quorum(Time now) const;
    bool is_alone() const {
        const auto& entry = disk_.newest;
        return entry.outgoing.empty() && entry.voters.size() == 1 && entry.voters.front().id == self_.id;
    }
    bool is_live(Time now, const Peer& peer) const;
    bool lacks_members(Time now) const;
    void learn_members();
    void finish_change(Time now);
    void become_follower(Time now, Term term, std::optional<Member> leader);
    void stand(Time now, bool pre, bool handed = false);
    void count_votes(Time now);
    void lead(Time now);
    void append(Time now, std::vector<Member> voters, std::vector<Member> outgoing, std::string value);
    void send_appends(Time now);
    void send_append(Time now, Peer& peer);
    void advance(Time now);
    void change_members(Time now);
    void answer_leader(Time now);
    void draw_election(Time now);
    void send(Message message, MemberId to);
    void send_to_voters(const Message& message);
    std::uint64_t random();

    void on_ask_vote(Time now, const Message& message);
    void on_vote(Time now, const Message& message);
    void on_append(Time now, const Message& message);
    void on_ack(Time now, const Message& message);

    Member self_;
    Disk disk_;
    Options options_;
    std::uint64_t random_;
    Role role_ = Role::Follower;
    std::optional<Member> leader_;
    Time heard_{};  // of the leader, when it was read
    bool heard_any_ = false;
    Time contact_{};  // when the last question was sent that a leader with a majority answered
    std::uint64_t ask_ = 0, leaders_round_ = 0, leaders_asked_ = 0;
    std::deque<Time> asks_;  // when the last ones, up to ask_, were sent
    Time election_at_{};
    Time next_beat_{}, next_change_{};
    std::vector<Candidate> weighed_;  // of these the set in force was the best
    Time stood_{};
    bool pre_ = false;
    std::map<MemberId, bool> votes_;
    std::map<MemberId, Peer> peers_;
    std::uint64_t round_ = 0, confirmed_ = 0;
    Time quorum_at_{};
    std::optional<Time> led_since_;
    Stamp taken_, saved_;  // of the entry that was given to be persisted; that is on disk
    bool dirty_ = false, disk_broken_ = false, leaving_ = false;
    std::vector<Message> out_;
};

}  // namespace martenford::moot
