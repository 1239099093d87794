// Failure detection and membership of a fleet, as seen by one member. No socket, clock or thread: the caller
// passes in the time and received messages, and takes out messages to send and events.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with the three extensions of Lifeguard (Dadgar, Phillips,
// Currey 2018): a member in bad local health extends its own timeouts, suspicion timeouts shrink with
// independent confirmations, and whoever probes a suspect tells it of the suspicion. Our own additions and
// the reasons for them are in docs/fleet.md.
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
    bool successor = false;  ///< takes over from an earlier process of this name
};

/// The state of a member as shown to operators. It refines State by local observations.
enum class ObservedState {
    Alive,
    Suspect,
    Stalled,  ///< suspect whose connection is open but carries no messages
    /// Reachable through other members only.
    Unreachable,
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
    std::string reported_by;  ///< the member that reported the state
    /// Another live process has its name, and neither is the successor of the other.
    bool name_conflict = false;
    std::uint32_t stalled_ms = 0;  ///< length of its last event-loop stall, as it reported
};

/// An event for operators' logs.
struct FleetEvent {
    enum class Kind {
        Joined,
        Left,
        Died,          ///< one member died
        MassLoss,      ///< several died together: a partition, a zone failure or a bad rollout
        Returned,      ///< a member that was declared dead is alive
        NameConflict,  ///< two live processes have the same name
        OwnStall,      ///< this process stalled
        OwnSuspicion   ///< this process was suspected and refuted it
    };
    Kind kind = Kind::Joined;
    Time at{};
    std::vector<Id> subjects;
    std::size_t live_before = 0;  ///< for MassLoss: live members before the loss
    std::string detail;
};
const char* name_of(FleetEvent::Kind kind);

/// A member's new state. Reported at once, whereas FleetEvents of deaths wait to be grouped.
struct StateChange {
    Id id;
    State state = State::Alive;
};

class Fleet {
  public:
    /// Limit on known members, dead ones included: three times the largest fleet that was simulated.
    static constexpr std::size_t kMaxMembers = 10'000;

    struct Outgoing {
        std::string address;
        Id to;  ///< boot 0: any process at the address
        Message message;
    };
    struct Stats {
        std::uint64_t probes = 0, failed_probes = 0, refutations = 0, suspicions = 0, stalls = 0, syncs = 0,
                      deaths = 0, ignored = 0;
    };

    Fleet(const ProtocolOptions& options, std::vector<std::string> seeds, LocalMember self,
          std::uint64_t seed);

    void start(Time now);
    /// The time at which tick() must be called next.
    Time next_tick() const;
    void tick(Time now);
    /// `from` is the sender's id from the link's hello, `address` the address that it advertises there.
    void receive(Time now, const Id& from, const std::string& address, const Message& message);
    /// A link to the address could not be established.
    void connect_failed(Time now, const std::string& address, Evidence evidence);
    /// An established link ended without notice. Members at its address are probed at once.
    void link_lost(Time now, const std::string& address);
    /// The peer announced that it closes the link or has no room for one. This proves that it is alive, but
    /// messages in flight to it may be lost.
    void link_closed_by_peer(Time now, const Id& id);
    /// The message could not be sent because there was no room for another link. A probe that was never sent
    /// says nothing about its target.
    void send_failed(Time now, const Message& message);
    /// A member with this id answered at the address. An address has one listener, so any other member known
    /// there is dead.
    void peer_identified(Time now, const std::string& address, const Id& id);
    /// Records whether a link to the member is open. Gossip prefers members with an open link: with a link
    /// opened for each message, a fleet that has much to gossip spends its time on dialling.
    void set_connected(const Id& id, bool connected);
    /// Returns up to `count` other live members in random order, those with an open link first.
    struct MemberAddress {
        Id id;
        std::string address;
    };
    std::vector<MemberAddress> sample_peers(std::size_t count);
    /// Announces to some members that this one leaves; gossip carries it to the others. Nothing is probed
    /// afterwards.
    void leave(Time now);

    /// Return what has accumulated since the last call, in order.
    std::vector<Outgoing> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<FleetEvent> take_events() { return std::exchange(events_, {}); }

    std::vector<StateChange> take_state_changes() { return std::exchange(state_changes_, {}); }

    const LocalMember& self() const { return self_; }
    std::uint64_t incarnation() const { return incarnation_; }
    /// Sorted by name; includes this member.
    std::vector<MemberView> members() const;
    std::size_t live_count() const { return ring_.size() + 1; }
    bool joined() const { return joined_; }
    /// Lifeguard's local health: 0 is healthy, at most kMaxHealthScore. Timeouts are multiplied by 1 + score.
    int health_score() const { return health_score_; }
    /// Whether it has stalled and suspects nobody until it has heard from other members.
    bool recovering_from_stall() const { return stall_recovery_since_.has_value(); }
    const Stats& stats() const { return stats_; }
    /// A hash over the live members and their incarnations; equal where two members know the same.
    std::uint64_t digest() const;

  private:
    struct Member {
        MemberUpdate record;
        Time since{};
        std::optional<Suspicion> suspicion;
        std::size_t ring_index = kNotInRing;  ///< index in ring_
        std::uint32_t stalled_ms = 0;
        /// Last message from it, direct or through a helper; zero while it is known from gossip only.
        Time last_heard{};
        Time last_answered{}, last_probed{};
        Time conflict_check_since{};        ///< another member with its name is live since then
        std::uint32_t indirect_streak = 0;  ///< consecutive answers through helpers only
        bool name_conflict = false;
        bool final_check_sent = false;  ///< see send_final_checks()
    };
    struct Probe {
        Id target;
        Time indirect_at{}, ends_at{};
        bool indirect_sent = false;
        std::size_t nacks_expected = 0, nacks = 0;
        Evidence evidence = Evidence::Silent;
    };
    struct RelayedProbe {  ///< a probe on behalf of another member
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
    std::map<std::string, std::set<Id>> by_address_;  ///< live members only
    std::vector<Member*> ring_;                       ///< alive and suspect members, shuffled
    std::size_t next_probe_ = 0;                      ///< index in ring_ of the next member to probe
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::uint64_t, RelayedProbe> relayed_probes_;
    std::set<std::pair<Time, Id>> suspect_deadlines_;
    std::deque<std::pair<Time, Id>> departed_;  ///< dead and left members, by the time of their departure
    GossipQueue gossip_queue_;

    Time probe_at_{}, gossip_at_{}, sync_at_{}, reconnect_at_{}, expected_tick_{};
    Duration reconnect_pause_{};
    std::optional<Time> stall_recovery_since_;
    std::set<Id> heard_since_stall_;
    std::deque<Id> recently_heard_;  ///< most recent last
    std::set<Id> connected_;
    std::size_t join_attempts_ = 0;
    std::deque<Time> member_lists_sent_;

    std::vector<Id> unreported_deaths_;  ///< deaths that no event has reported yet
    Time first_death_at_{}, last_death_at_{}, report_deaths_at_{};
    std::size_t live_before_deaths_ = 0;
    std::size_t deaths_not_listening_ = 0;

    std::vector<Outgoing> outgoing_;
    std::vector<FleetEvent> events_;
    std::vector<StateChange> state_changes_;
    Stats stats_;
};

}  // namespace martenford::fleet
