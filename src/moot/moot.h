// The agreed register: one value, kept by a majority of the voters' disks, changed by one leader at a time.
// An election as in Raft (Ongaro and Ousterhout, 2014) with pre-vote and check-quorum; the log is one entry
// long, since each entry holds the whole value. docs/mesh.md tells why. Pure: messages and time come in;
// messages, what is to be persisted and what is committed come out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduler.h"

namespace martenford::moot {

using MemberId = std::uint64_t;
using Term = std::uint64_t;

/// A disk that may vote. A machine that lost its disk comes back as another member at the same address.
struct Member {
    MemberId id = 0;
    std::string address;  ///< "ip:port" where it hears messages
    bool operator==(const Member&) const = default;
};

struct Stamp {
    Term term = 0;
    std::uint64_t index = 0;
    auto operator<=>(const Stamp&) const = default;
};

struct Entry {
    Stamp stamp;
    std::vector<Member> voters;  ///< in force from the moment that the entry is held
    std::string value;
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
    Stamp newest;                ///< the sender's; of an Ack: what it holds now
    Stamp committed;             ///< Append
    std::uint64_t round = 0;     ///< Append and its Ack: to tell which question an answer is to
    std::optional<Entry> entry;  ///< Append: where the receiver lacks it
};

struct Options {
    Duration heartbeat = 100ms;
    Duration election_least =
        500ms;               ///< silence of the leader after which another stands, drawn up to twice this
    Duration lease = 900ms;  ///< a leader that a majority hasn't answered for so long is none
    Duration replace_after = 2500ms;  ///< a voter silent for so long gives its place to a learner
    std::size_t voters = 3;           ///< places
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
    /// What take_persist() gave could not be written: nothing that follows from it may go out, and this one
    /// does not lead until a write succeeds.
    void disk_failed(Time now);
    void disk_works() { disk_broken_ = false; }

    // ---- outputs
    /// True: disk() is to be persisted before the messages go out.
    bool take_persist() { return std::exchange(dirty_, false); }
    std::vector<Message> take_messages() { return std::exchange(out_, {}); }

    bool has_output() const { return dirty_ || !out_.empty(); }

    // ---- what is
    const Disk& disk() const { return disk_; }
    Role role() const { return role_; }
    /// Leads, has its own entry committed, and a majority has answered within the lease.
    bool leads(Time now) const;
    /// Whether the last message of a leader is younger than this, or this one leads.
    bool in_touch(Time now, Duration within) const;
    std::optional<Member> leader() const { return leader_; }
    bool is_confirmed(std::uint64_t round) const { return confirmed_ >= round && role_ == Role::Leader; }
    /// Its value is committed, in the term in which it was proposed.
    bool is_committed(const Stamp& stamp) const { return disk_.committed.stamp >= stamp; }
    /// False for good once another leader may have replaced it.
    bool still_possible(const Stamp& stamp) const {
        return role_ == Role::Leader && disk_.term == stamp.term;
    }
    bool is_voter() const { return is_voter(self_.id); }
    std::optional<Time> leading_since() const { return led_since_; }
    std::size_t learners() const;

  private:
    struct Peer {
        Member member;
        Stamp holds;
        Time acked{};  // when its last answer came
        std::uint64_t round = 0;
        Time sent_entry{};  // when an entry was last sent; not again at once
        Stamp entry_sent;
        Time met{};
    };

    bool is_voter(MemberId id) const;
    std::size_t majority() const { return disk_.newest.voters.size() / 2 + 1; }
    void become_follower(Time now, Term term, std::optional<Member> leader);
    void stand(Time now, bool pre);
    void count_votes(Time now);
    void lead(Time now);
    void append(Time now, std::vector<Member> voters, std::string value);
    void send_appends(Time now);
    void send_append(Time now, Peer& peer);
    void advance(Time now);
    void change_members(Time now);
    void draw_election(Time now);
    void send(Message message, MemberId to);
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
    Time heard_{};  // of the leader
    bool heard_any_ = false;
    Time election_at_{};
    Time next_beat_{};
    bool pre_ = false;
    std::map<MemberId, bool> votes_;
    std::map<MemberId, Peer> peers_;
    std::uint64_t round_ = 0, confirmed_ = 0;
    Time quorum_at_{};
    std::optional<Time> led_since_;
    bool dirty_ = false, disk_broken_ = false;
    std::vector<Message> out_;
};

}  // namespace martenford::moot
