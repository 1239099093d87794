// Who of a fleet is alive, as one member sees it. Pure: time and messages come in, messages and changes go
// out; no socket, clock or thread.
//
// The protocol is SWIM's (Das, Gupta, Motivala 2002) with Lifeguard's three parts (Dadgar, Phillips, Currey
// 2018): own health stretches own patience, suspicions shorten as independent accusers confirm, and a suspect
// is told so by whoever probes it. What is added, and why, is in docs/fleet.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduler.h"
#include "fleet/options.h"
#include "fleet/gossip_queue.h"
#include "fleet/suspicion.h"
#include "fleet/wire.h"

namespace martenford::fleet {

struct Self {
    Id id;
    std::string address, zone, version;
    bool heir = false;  ///< an earlier process of this name hands over to this one
};

/// What this member believes of another.
enum class Sight {
    Alive,
    Suspect,
    Stalled,      ///< suspect, and its connection stands while nobody speaks on it
    Unreachable,  ///< not from here, but others reach it
    Left,
    Dead
};
const char* name_of(Sight sight);

struct View {
    Id id;
    std::string address, zone, version;
    std::uint64_t incarnation = 0;
    Sight sight = Sight::Alive;
    Time since{};
    std::string by;                ///< who said so; itself where it was heard
    bool doubled = false;          ///< another live process has its name, and neither is the other's heir
    std::uint32_t stalled_ms = 0;  ///< it said that its loop stood still for so long of late
};

/// Something to tell people.
struct Change {
    enum class What {
        Joined,
        Left,
        Died,        ///< alone
        LostAtOnce,  ///< several together: a partition, a zone, or a rollout that went wrong
        Returned,    ///< it had been called dead, and was not
        Doubled,     ///< two live processes under one name
        Stood,       ///< this process itself stood still
        Accused      ///< this process itself was suspected, and has refuted it
    };
    What what = What::Joined;
    Time at{};
    std::vector<Id> who;
    std::size_t of = 0;  ///< LostAtOnce: members before
    std::string detail;
};
const char* name_of(Change::What what);

/// A state that this member now holds another in. At once, where a Change waits for what belongs together.
struct Turn {
    Id id;
    State state = State::Alive;
};

class Fleet {
  public:
    /// Members held at most, the dead among them: three times the largest fleet that was played.
    static constexpr std::size_t kMostMembers = 10'000;

    struct Send {
        std::string address;
        Id to;  ///< boot 0: whoever is there
        Message message;
    };
    struct Figures {
        std::uint64_t probes = 0, failed_probes = 0, refutations = 0, accusations = 0, stalls = 0,
                      exchanges = 0, deaths = 0, ignored = 0;
    };

    Fleet(const Pace& pace, std::vector<std::string> seeds, Self self, std::uint64_t seed);

    void start(Time now);
    /// When tick() is wanted next.
    Time next() const;
    void tick(Time now);
    /// `from` as its link's hello says, `address` where it says that it is reached.
    void receive(Time now, const Id& from, const std::string& address, const Message& message);
    /// A link can't be had.
    void no_link(Time now, const std::string& address, Evidence evidence);
    /// One that stood has ended, and nobody had said that it would: whoever is there is asked at once.
    void link_ended(Time now, const std::string& address);
    /// This one said that it ends the link, or that it has no room for one: it lives, and what was on the way
    /// to it may be lost.
    void parted(Time now, const Id& id);
    /// There was no room for a link, and this message never left: its silence says nothing of anybody.
    void unsent(Time now, const Message& message);
    /// This one answered where this address was called: an address has one listener, so whoever was known
    /// there before has gone.
    void found_at(Time now, const std::string& address, const Id& id);
    /// A connection with it stands, or no longer does. Who is told of news is chosen among these first: on
    /// links that come up for one message each, a fleet with much to say spends itself on dialling.
    void linked(const Id& id, bool stands);
    /// Up to so many live others, by chance, those with a link first.
    struct Place {
        Id id;
        std::string address;
    };
    std::vector<Place> near(std::size_t count);
    /// Says so to some, and to the rest through them; nothing is probed from here on.
    void leave(Time now);

    /// What is to be sent, in order; emptied by the call.
    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

    std::vector<Turn> take_turns() { return std::exchange(turns_, {}); }

    const Self& self() const { return self_; }
    std::uint64_t incarnation() const { return incarnation_; }
    /// Sorted by name, itself among them.
    std::vector<View> members() const;
    std::size_t live() const { return ring_.size() + 1; }
    bool joined() const { return joined_; }
    /// 0: sound; up to kWorstHealth, by which its patience is stretched.
    int health() const { return health_; }
    /// It stood still, and accuses nobody until it has heard from others.
    bool distrusts_itself() const { return distrust_since_.has_value(); }
    const Figures& figures() const { return figures_; }
    /// Of who is here, and by which incarnation; alike where two members know the same.
    std::uint64_t digest() const;

  private:
    struct Member {
        Claim claim;
        Time since{};
        std::optional<Suspicion> suspicion;
        std::size_t place = kNowhere;  ///< in ring_
        std::uint32_t stalled_ms = 0;
        Time heard{};  ///< a word of its own, or an answer through a helper; zero: it is hearsay
        Time answered{}, probed{};
        Time paired{};               ///< another with its name is alive since then
        std::uint32_t indirect = 0;  ///< answers in a row that came through helpers alone
        bool doubled = false;
        bool asked_about = false;  ///< before it is held dead
    };
    struct Probe {
        Id target;
        Time ask_at{}, end_at{};
        bool asked = false;
        std::size_t nacks_due = 0, nacks = 0;
        Evidence evidence = Evidence::Silent;
    };
    struct Errand {  ///< a probe made for another
        std::string address;
        Id to;
        Id about;
        std::uint64_t seq = 0;
        Time until{};
    };
    static constexpr std::size_t kNowhere = static_cast<std::size_t>(-1);

    void stood(Time now, Duration late);
    void probe_next(Time now);
    void probe(Time now, Member& member);
    void ask_helpers(Time now, std::uint64_t seq, Probe& probe);
    void probe_failed(Time now, const Probe& probe);
    void accuse(Time now, Member& member, Evidence evidence);
    void acknowledged(Time now, const Id& from, const Message& message);
    void gossip(Time now);
    void compare(Time now);
    void send_entries(Time now, const std::string& address, const Id& to, bool want);
    void reconnect(Time now);
    void take(Time now, const Claim& claim);
    void take_of_self(Time now, const Claim& claim);
    void refute(Time now, std::uint64_t above);
    void pair_up(Time now, Member& member);
    void check_pairs(Time now, Member& member);
    void set_state(Time now, Member& member, const Claim& claim);
    void into_ring(Member& member);
    void out_of_ring(Member& member);
    void forget(Time now);
    void settle_losses(Time now);
    void heard_from(Time now, const Id& from);
    void answered(Time now, const Id& target, bool direct, std::uint32_t stalled_ms);
    void change(Change::What what, Time now, std::vector<Id> who, std::string detail = {},
                std::size_t of = 0);
    Claim own_claim(State state = State::Alive) const;
    void send(const std::string& address, const Id& to, Message message);
    void add_claims(Message& message, const Id* to);
    std::size_t times_told() const;
    std::uint64_t draw(std::uint64_t below) { return below ? random_() % below : 0; }
    std::vector<Member*> some(std::size_t count, const Id* but, bool heard = false);
    std::vector<Member*> nearest(std::size_t count);
    std::vector<Member*> helpers(Time now, const Id& but);
    void heard(Time now, Member& member);
    void look_round(Time now);
    void ask_about_suspects(Time now);
    Duration stretched(Duration d) const { return d * (1 + health_); }
    void worse(int by);
    static std::uint64_t hash_of(const Claim& claim);

    const Pace pace_;
    const std::vector<std::string> seeds_;
    Self self_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_ = 0, seq_ = 0, digest_ = 0;
    bool started_ = false, joined_ = false, leaving_ = false;
    int health_ = 0;
    std::uint32_t stalled_ms_ = 0;
    Time stalled_until_shown_{};

    std::map<Id, Member> members_;
    std::map<std::string, std::set<Id>> by_address_;  ///< those in the ring
    std::vector<Member*> ring_;                       ///< alive or suspect, in an order of chance
    std::size_t at_ = 0;                              ///< of ring_: who is probed next
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, Errand> errands_;
    std::set<std::pair<Time, Id>> suspects_;
    std::deque<std::pair<Time, Id>> gone_;  ///< dead or left, to be forgotten
    Rumours rumours_;

    Time probe_at_{}, gossip_at_{}, compare_at_{}, reconnect_at_{}, due_{};
    Duration reconnect_pause_{};
    std::optional<Time> distrust_since_;
    std::set<Id> heard_since_;
    std::deque<Id> recent_;  ///< heard last, the latest last
    std::set<Id> linked_;
    std::size_t join_tries_ = 0;
    std::deque<Time> entries_sent_;

    std::vector<Id> lost_;  ///< died of late, not told of yet
    Time lost_since_{}, lost_at_{}, settle_at_{};
    std::size_t lost_of_ = 0;
    std::size_t lost_gone_ = 0;

    std::vector<Send> sends_;
    std::vector<Change> changes_;
    std::vector<Turn> turns_;
    Figures figures_;
};

}  // namespace martenford::fleet
