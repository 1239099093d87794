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
#include "fleet/gossip_queue.h"
#include "fleet/options.h"
#include "fleet/suspicion.h"
#include "fleet/wire.h"

namespace martenford::fleet {

struct LocalMember {
    Id id;
    std::string address, zone, version;
    bool successor = false;  ///< an earlier process of this name hands over to this one
};

/// What this member believes of another.
enum class ObservedState {
    Alive,
    Suspect,
    Stalled,      ///< suspect, and its connection stands while nobody speaks on it
    Unreachable,  ///< not from here, but others reach it
    Left,
    Dead
};
const char* name_of(ObservedState state);

struct MemberView {
    Id id;
    std::string address, zone, version;
    std::uint64_t incarnation = 0;
    ObservedState state = ObservedState::Alive;
    Time since{};
    std::string reported_by;       ///< who said so; itself where it was heard
    bool name_conflict = false;    ///< another live process has its name, and neither is the other's heir
    std::uint32_t stalled_ms = 0;  ///< it said that its loop stood still for so long of late
};

/// Something to tell people.
struct FleetEvent {
    enum class Kind {
        Joined,
        Left,
        Died,          ///< alone
        MassLoss,      ///< several together: a partition, a zone, or a rollout that went wrong
        Returned,      ///< it had been called dead, and was not
        NameConflict,  ///< two live processes under one name
        OwnStall,      ///< this process itself stood still
        OwnSuspicion   ///< this process itself was suspected, and has refuted it
    };
    Kind kind = Kind::Joined;
    Time at{};
    std::vector<Id> subjects;
    std::size_t live_before = 0;  ///< LostAtOnce: members before
    std::string detail;
};
const char* name_of(FleetEvent::Kind kind);

/// A state that this member now holds another in. At once, where a Change waits for what belongs together.
struct StateChange {
    Id id;
    State state = State::Alive;
};

class Fleet {
  public:
    /// Members held at most, the dead among them: three times the largest fleet that was played.
    static constexpr std::size_t kMaxMembers = 10'000;

    struct Outgoing {
        std::string address;
        Id to;  ///< boot 0: whoever is there
        Message message;
    };
    struct Stats {
        std::uint64_t probes = 0, failed_probes = 0, refutations = 0, suspicions = 0, stalls = 0, syncs = 0,
                      deaths = 0, ignored = 0;
    };

    Fleet(const ProtocolOptions& options, std::vector<std::string> seeds, LocalMember self,
          std::uint64_t seed);

    void start(Time now);
    /// When tick() is wanted next.
    Time next_tick() const;
    void tick(Time now);
    /// `from` as its link's hello says, `address` where it says that it is reached.
    void receive(Time now, const Id& from, const std::string& address, const Message& message);
    /// A link can't be had.
    void connect_failed(Time now, const std::string& address, Evidence evidence);
    /// One that stood has ended, and nobody had said that it would: whoever is there is asked at once.
    void link_lost(Time now, const std::string& address);
    /// This one said that it ends the link, or that it has no room for one: it lives, and what was on the way
    /// to it may be lost.
    void link_closed_by_peer(Time now, const Id& id);
    /// There was no room for a link, and this message never left: its silence says nothing of anybody.
    void send_failed(Time now, const Message& message);
    /// This one answered where this address was called: an address has one listener, so whoever was known
    /// there before has gone.
    void peer_identified(Time now, const std::string& address, const Id& id);
    /// A connection with it stands, or no longer does. Who is told of news is chosen among these first: on
    /// links that come up for one message each, a fleet with much to say spends itself on dialling.
    void set_connected(const Id& id, bool connected);
    /// Up to so many live others, by chance, those with a link first.
    struct MemberAddress {
        Id id;
        std::string address;
    };
    std::vector<MemberAddress> sample_peers(std::size_t count);
    /// Says so to some, and to the rest through them; nothing is probed from here on.
    void leave(Time now);

    /// What is to be sent, in order; emptied by the call.
    std::vector<Outgoing> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<FleetEvent> take_events() { return std::exchange(events_, {}); }

    std::vector<StateChange> take_state_changes() { return std::exchange(state_changes_, {}); }

    const LocalMember& self() const { return self_; }
    std::uint64_t incarnation() const { return incarnation_; }
    /// Sorted by name, itself among them.
    std::vector<MemberView> members() const;
    std::size_t live_count() const { return ring_.size() + 1; }
    bool joined() const { return joined_; }
    /// 0: sound; up to kWorstHealth, by which its patience is stretched.
    int health_score() const { return health_score_; }
    /// It stood still, and accuses nobody until it has heard from others.
    bool recovering_from_stall() const { return stall_recovery_since_.has_value(); }
    const Stats& stats() const { return stats_; }
    /// Of who is here, and by which incarnation; alike where two members know the same.
    std::uint64_t digest() const;

  private:
    struct Member {
        MemberUpdate record;
        Time since{};
        std::optional<Suspicion> suspicion;
        std::size_t ring_index = kNotInRing;  ///< in ring_
        std::uint32_t stalled_ms = 0;
        Time last_heard{};  ///< a word of its own, or an answer through a helper; zero: it is hearsay
        Time last_answered{}, last_probed{};
        Time conflict_check_since{};        ///< another with its name is alive since then
        std::uint32_t indirect_streak = 0;  ///< answers in a row that came through helpers alone
        bool name_conflict = false;
        bool final_check_sent = false;  ///< before it is held dead
    };
    struct Probe {
        Id target;
        Time indirect_at{}, ends_at{};
        bool indirect_sent = false;
        std::size_t nacks_expected = 0, nacks = 0;
        Evidence evidence = Evidence::Silent;
    };
    struct RelayedProbe {  ///< a probe made for another
        std::string requester_address;
        Id requester;
        Id target;
        std::uint64_t requester_seq = 0;
        Time expires_at{};
    };
    static constexpr std::size_t kNotInRing = static_cast<std::size_t>(-1);

    void on_own_stall(Time now, Duration delay);
    void probe_next(Time now);
    void probe(Time now, Member& member);
    void send_ping_requests(Time now, std::uint64_t seq, Probe& probe);
    void probe_failed(Time now, const Probe& probe);
    void suspect(Time now, Member& member, Evidence evidence);
    void ack_received(Time now, const Id& from, const Message& message);
    void gossip(Time now);
    void sync(Time now);
    void send_member_list(Time now, const std::string& address, const Id& to, bool want);
    void reconnect(Time now);
    void apply_update(Time now, const MemberUpdate& update);
    void apply_update_about_self(Time now, const MemberUpdate& update);
    void refute(Time now, std::uint64_t above);
    void start_conflict_check(Time now, Member& member);
    void detect_name_conflict(Time now, Member& member);
    void set_state(Time now, Member& member, const MemberUpdate& update);
    void add_to_ring(Member& member);
    void remove_from_ring(Member& member);
    void remove_departed(Time now);
    void report_deaths(Time now);
    void note_heard_since_stall(Time now, const Id& from);
    void probe_answered(Time now, const Id& target, bool direct, std::uint32_t stalled_ms);
    void add_event(FleetEvent::Kind kind, Time now, std::vector<Id> subjects, std::string detail = {},
                   std::size_t live_before = 0);
    MemberUpdate own_update(State state = State::Alive) const;
    void send(const std::string& address, const Id& to, Message message);
    void attach_updates(Message& message, const Id* to);
    std::size_t transmit_limit() const;
    std::uint64_t random_below(std::uint64_t below) { return below ? random_() % below : 0; }
    std::vector<Member*> random_members(std::size_t count, const Id* except, bool only_heard = false);
    std::vector<Member*> connected_first(std::size_t count);
    std::vector<Member*> choose_helpers(Time now, const Id& except);
    void record_contact(Time now, Member& member);
    void probe_unheard_members(Time now);
    void send_final_checks(Time now);
    Duration scaled_by_health(Duration d) const { return d * (1 + health_score_); }
    void degrade_health(int steps);
    static std::uint64_t hash_of(const MemberUpdate& update);

    const ProtocolOptions options_;
    const std::vector<std::string> seeds_;
    LocalMember self_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_ = 0, seq_ = 0, digest_ = 0;
    bool started_ = false, joined_ = false, leaving_ = false;
    int health_score_ = 0;
    std::uint32_t stalled_ms_ = 0;
    Time report_stall_until_{};

    std::map<Id, Member> members_;
    std::map<std::string, std::set<Id>> by_address_;  ///< those in the ring
    std::vector<Member*> ring_;                       ///< alive or suspect, in an order of chance
    std::size_t next_probe_ = 0;                      ///< of ring_: who is probed next
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, RelayedProbe> relayed_probes_;
    std::set<std::pair<Time, Id>> suspect_deadlines_;
    std::deque<std::pair<Time, Id>> departed_;  ///< dead or left, to be forgotten
    GossipQueue gossip_queue_;

    Time probe_at_{}, gossip_at_{}, sync_at_{}, reconnect_at_{}, expected_tick_{};
    Duration reconnect_pause_{};
    std::optional<Time> stall_recovery_since_;
    std::set<Id> heard_since_stall_;
    std::deque<Id> recently_heard_;  ///< heard last, the latest last
    std::set<Id> connected_;
    std::size_t join_attempts_ = 0;
    std::deque<Time> member_lists_sent_;

    std::vector<Id> unreported_deaths_;  ///< died of late, not told of yet
    Time first_death_at_{}, last_death_at_{}, report_deaths_at_{};
    std::size_t live_before_deaths_ = 0;
    std::size_t deaths_not_listening_ = 0;

    std::vector<Outgoing> outgoing_;
    std::vector<FleetEvent> events_;
    std::vector<StateChange> state_changes_;
    Stats stats_;
};

}  // namespace martenford::fleet
