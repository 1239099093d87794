#include "mesh/register_explorer.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "policy/mechanics.h"
#include "raft/raft_node.h"

namespace martenford::explorer {

using raft::LogEntry;
using raft::LogPosition;
using raft::Member;
using raft::MemberId;
using raft::Message;
using raft::PersistentState;
using raft::RaftNode;
using raft::Term;

namespace {

constexpr Duration kTick = 20ms, kHello = 500ms;  // as controller's
constexpr Duration kSaveAgain = 200ms;
constexpr Duration kInTouch = 700ms;
constexpr Duration kCatchUp = 4s;  // a machine counts as lost until so long after its return
constexpr Duration kLeaveGrace = 5s;
constexpr Duration kCallAgain = 1s;  // an operator's call without an answer
constexpr Duration kLongestCall = 4s;
constexpr std::size_t kStepsKept = 60;

bool holds_majority(const std::vector<Member>& voters, const std::function<bool(MemberId)>& has) {
    const auto count =
        std::count_if(voters.begin(), voters.end(), [&](const Member& m) { return has(m.id); });
    return static_cast<std::size_t>(count) >= voters.size() / 2 + 1;
}
bool is_quorum(const LogEntry& entry, const std::function<bool(MemberId)>& has) {
    return holds_majority(entry.voters, has) &&
           (entry.outgoing_voters.empty() || holds_majority(entry.outgoing_voters, has));
}
bool same_voters(const LogEntry& a, const LogEntry& b) {
    return a.voters == b.voters && a.outgoing_voters == b.outgoing_voters;
}

/// What must be borne, and the machines that bear it.
struct Shape {
    const char* name;
    std::size_t machines, tolerated, zones;
    std::size_t tolerated_zones = 0;
    std::size_t uncounted = 0;  // of the machines, the last ones
};
constexpr Shape kShapes[] = {
    {"3 machines, f=1", 3, 1, 1},
    {"4 machines, f=1", 4, 1, 1},
    {"5 machines, f=2", 5, 2, 1},
    {"5 machines, f=1", 5, 1, 1},
    {"5 machines in 3 zones, f=1 or a zone", 5, 1, 3, 1},
    {"6 machines in 3 zones, f=2 or a zone", 6, 2, 3, 1},
    {"5 machines of which 1 doesn't count, f=1", 5, 1, 1, 0, 1},
    {"2 machines, f=0", 2, 0, 1},
};

std::string text_of(const LogPosition& stamp) {
    return std::to_string(stamp.term) + "." + std::to_string(stamp.index);
}
std::string text_of(const LogEntry& entry) {
    std::string text = text_of(entry.position) + " {";
    for (const Member& m : entry.voters) text += " " + std::to_string(m.id);
    if (!entry.outgoing_voters.empty()) text += " |";
    for (const Member& m : entry.outgoing_voters) text += " " + std::to_string(m.id);
    return text + " } '" +
           (entry.value.size() > 24 ? "..." + entry.value.substr(entry.value.size() - 24) : entry.value) +
           "'";
}
std::string text_of(const Message& message) {
    static const char* const kinds[] = {"AskVote", "Vote", "Append", "Ack", "TakeOver"};
    const auto kind = static_cast<std::size_t>(message.kind);
    return std::string(kind < std::size(kinds) ? kinds[kind] : "?") + (message.pre_vote ? " pre" : "") +
           " term " + std::to_string(message.term) + (message.granted ? " yes" : "") + " newest " +
           text_of(message.last_position) + " committed " + text_of(message.commit_position) + " round " +
           std::to_string(message.round) + (message.entry ? " entry " + text_of(*message.entry) : "");
}

// ---- the oracle: knows every disk and every word that went out,

class Oracle {
  public:
    explicit Oracle(const std::set<Invariant>& ignored) : ignored_(ignored) {}

    std::optional<std::pair<Invariant, std::string>> broken;
    void fail(Invariant invariant, std::string what) {
        if (!broken && !ignored_.contains(invariant)) broken = {invariant, std::move(what)};
    }
    bool require(bool holds, Invariant invariant, const std::string& what) {
        if (!holds) fail(invariant, what);
        return holds;
    }

    void first_voters(const LogEntry& entry) { saw(entry); }
    /// It can never vote or answer again.
    void dead(MemberId id) { dead_.insert(id); }
    void synced(const PersistentState& disk) {
        Acceptance& acceptance = accepted_[disk.last_entry.position];
        acceptance.by.insert(disk.self_id);
        acceptance.value = disk.last_entry.value;
        saw(disk.last_entry);
    }

    /// A message leaves the process whose disk holds `disk` for sure.
    void sent(const Message& message, const PersistentState& disk) {
        const MemberId id = message.from.id;
        const bool vote =
            message.kind == Message::Kind::RequestVoteReply && message.granted && !message.pre_vote;
        const bool stands = message.kind == Message::Kind::RequestVote && !message.pre_vote;
        if (vote || stands) {
            const MemberId whom = vote ? message.to : id;
            require(members_.contains(id), Invariant::NoVoteWithoutMembership,
                    std::to_string(id) + " votes in term " + std::to_string(message.term) +
                        " and was never let in");
            const auto [it, fresh] = votes_.emplace(std::pair{id, message.term}, whom);
            require(it->second == whom, Invariant::OneVoteATerm,
                    std::to_string(id) + " votes for " + std::to_string(whom) + " and for " +
                        std::to_string(it->second) + " in term " + std::to_string(message.term));
            require(disk.term > message.term || (disk.term == message.term && disk.voted_for == whom),
                    Invariant::PersistedBeforeSent, "a vote that is not on disk: " + text_of(message));
        }
        const bool ack = message.kind == Message::Kind::AppendEntriesReply && message.granted;
        if (ack) {
            require(disk.term >= message.term && disk.last_entry.position >= message.last_position,
                    Invariant::PersistedBeforeSent,
                    "an acknowledgement of what is not on disk: " + text_of(message) + ", on disk " +
                        text_of(disk.last_entry) + " term " + std::to_string(disk.term));
        }
    }

    void leads(MemberId id, Term term, const LogEntry& entry) {
        const auto [it, fresh] = leaders_.emplace(term, id);
        elections += fresh;
        if (!fresh && it->second == id) return;
        require(is_quorum(entry,
                          [&](MemberId voter) {
                              const auto vote = votes_.find({voter, term});
                              return voter == id || (vote != votes_.end() && vote->second == id);
                          }),
                Invariant::ElectedByMajority,
                std::to_string(id) + " leads in term " + std::to_string(term) + " without the votes of " +
                    text_of(entry));
        require(it->second == id, Invariant::OneLeaderATerm,
                std::to_string(it->second) + " and " + std::to_string(id) + " lead in term " +
                    std::to_string(term));
    }

    bool on_majority(const LogEntry& entry) const {
        if (entry.position == LogPosition{}) return true;
        const auto it = accepted_.find(entry.position);
        return it != accepted_.end() &&
               is_quorum(entry, [&](MemberId id) { return it->second.by.contains(id); });
    }
    /// A process serves this as committed.
    void committed(const LogEntry& entry) {
        if (entry.position == LogPosition{}) return;
        const auto known = chain_.lower_bound(entry.position);
        if (known != chain_.end() && known->first == entry.position) {
            require(known->second == entry.value, Invariant::CommittedNeverLost,
                    "two values are committed as " + text_of(entry.position));
            return;
        }
        require(on_majority(entry), Invariant::CommittedOnMajority,
                text_of(entry) + " is called committed, and no majority ever had it on disk");
        if (known != chain_.end())
            require(known->second.starts_with(entry.value), Invariant::CommittedNeverLost,
                    text_of(known->first) + " was committed without " + text_of(entry));
        if (known != chain_.begin()) {
            const auto& before = *std::prev(known);
            require(entry.value.starts_with(before.second), Invariant::CommittedNeverLost,
                    text_of(entry) + " is committed without what " + text_of(before.first) +
                        " had: " + before.second);
        }
        for (const std::string& token : refused_) {
            require(entry.value.find(token) == std::string::npos, Invariant::LoserNeverInForce,
                    token + " was refused and is in force");
        }
        chain_[entry.position] = entry.value;
        if (entry.position == chain_.rbegin()->first) in_force_ = entry;
    }

    /// A leader goes from one entry to the next.
    void changed_members(const LogEntry& from, const LogEntry& to) {
        ++changes;
        require(on_majority(from), Invariant::ChangeOnCommitted,
                text_of(to) + " changes the members on top of the uncommitted " + text_of(from));
        std::vector<MemberId> all;
        const auto add = [&](const std::vector<Member>& members) {
            for (const Member& m : members) {
                if (std::find(all.begin(), all.end(), m.id) == all.end()) all.push_back(m.id);
            }
        };
        for (const LogEntry* entry : {&from, &to}) {
            add(entry->voters);
            add(entry->outgoing_voters);
        }
        const auto at = [&](MemberId id) {
            return static_cast<std::size_t>(std::find(all.begin(), all.end(), id) - all.begin());
        };
        for (std::size_t mask = 0; mask < std::size_t{1} << all.size(); ++mask) {
            const auto one = [&](MemberId id) { return (mask >> at(id) & 1) != 0 && !dead_.contains(id); };
            const auto other = [&](MemberId id) { return (mask >> at(id) & 1) == 0 && !dead_.contains(id); };
            if (is_quorum(from, one) && is_quorum(to, other))
                return fail(Invariant::QuorumsMeet,
                            "two majorities apart: " + text_of(from) + " to " + text_of(to));
        }
    }

    /// The operator is told 200 while so many disks of machines that are not lost hold it.
    void acknowledged(const std::string& token, std::size_t copies, std::size_t needed) {
        require(copies >= needed, Invariant::EnoughCopies,
                token + " is acknowledged with " + std::to_string(copies) + " copies on disks, " +
                    std::to_string(needed) + " are needed");
        require(chain_.empty() || chain_.rbegin()->second.find(token) != std::string::npos,
                Invariant::AcknowledgedReadable, token + " is acknowledged and not what is in force");
        if (std::find(acknowledged_.begin(), acknowledged_.end(), token) == acknowledged_.end())
            acknowledged_.push_back(token);
    }
    void left(MemberId id) {
        const auto same = [&](const Member& m) { return m.id == id; };
        for (const auto* set : {&in_force_.voters, &in_force_.outgoing_voters})
            require(std::none_of(set->begin(), set->end(), same), Invariant::LeaverGivesFirst,
                    std::to_string(id) + " says that it has left " + text_of(in_force_));
    }
    void refused(const std::string& token) {
        require(std::find(acknowledged_.begin(), acknowledged_.end(), token) == acknowledged_.end(),
                Invariant::ResendNeverRefused, token + " was acknowledged and is refused");
        for (const auto& [stamp, value] : chain_) {
            require(value.find(token) == std::string::npos, Invariant::ResendNeverRefused,
                    token + " is refused and in force since " + text_of(stamp));
        }
        refused_.insert(token);
    }
    std::size_t acknowledgements() const { return acknowledged_.size(); }
    const std::vector<std::string>& all_acknowledged() const { return acknowledged_; }
    /// An answer to a read that was asked when the first `before` orders had been acknowledged.
    void read(const std::string& value, std::size_t before) {
        for (std::size_t i = 0; i < before; ++i) {
            if (!require(value.find(acknowledged_[i]) != std::string::npos, Invariant::AcknowledgedReadable,
                         acknowledged_[i] + " was acknowledged before a read that doesn't show it"))
                return;
        }
    }
    std::uint64_t elections = 0, changes = 0;

  private:
    void saw(const LogEntry& entry) {
        for (const Member& m : entry.voters) members_.insert(m.id);
    }
    std::set<Invariant> ignored_;
    std::set<MemberId> members_, dead_;
    struct Acceptance {
        std::set<MemberId> by;  // whose disks held it, lost since or not
        std::string value;
    };
    std::map<LogPosition, Acceptance> accepted_;
    std::map<std::pair<MemberId, Term>, MemberId> votes_;
    std::map<Term, MemberId> leaders_;
    std::map<LogPosition, std::string> chain_;
    LogEntry in_force_;
    std::vector<std::string> acknowledged_;
    std::set<std::string> refused_;
};

// ---- a world of machines

class World {
  public:
    World(std::uint64_t seed, const Shape& shape, Counts& counts, const Options& options)
        : seed_(seed),
          shape_(shape),
          counts_(counts),
          options_(options),
          random_(seed * 0x9e3779b97f4a7c15u + 7),
          oracle_(options.ignored) {
        register_options_.fault_tolerance = {shape.tolerated, shape.tolerated_zones, 0};
        LogEntry first;
        for (std::size_t i = 0; i < shape.machines; ++i) add_machine();
        for (std::size_t i = 0; i < std::min<std::size_t>({3, shape.machines, 2 * shape.tolerated + 1}); ++i)
            first.voters.push_back(member(i));
        oracle_.first_voters(first);
        for (std::size_t i = 0; i < shape.machines; ++i) {
            if (i < first.voters.size()) {
                machines_[i].synced.last_entry = machines_[i].synced.committed_entry = first;
            }
            // In half of the schedules the others come later than the seeds, and than the first orders.
            const bool late = seed / 8 % 2 == 0 && i >= first.voters.size();
            const Duration at = late ? spread(3s, 4s) : spread(0s, 300ms);
            after(at, [this, i] { start(i); });
        }
    }

    std::optional<Violation> run() {
        // 1. All is well: the set becomes whole, and in half of the schedules takes orders at once.
        const bool early = seed_ / 16 % 2 == 0;
        for (std::size_t k = 0; early && k < operators_.size(); ++k) operate(k);
        until(8s);
        require_progress("at the start");
        // 2. Trouble, and orders in it.
        for (std::size_t k = 0; !early && k < operators_.size(); ++k) operate(k);
        const Time end = now_ + 20s;
        while (now_ < end && !oracle_.broken) {
            until(Duration{static_cast<Duration::rep>((0.05 + random_.unit() * random_.unit() * 2.5) * 1e9)});
            fault();
        }
        // 3. All mended: one leads, the set is whole, orders are taken.
        loss_ = 0;
        quiet_ = true;
        mend();
        until(9s);
        require_progress("after all was mended");
        const std::size_t before = oracle_.acknowledgements();
        until(3s);
        if (oracle_.acknowledgements() == before)
            oracle_.fail(Invariant::Progress, "no order is acknowledged in calm");
        ++counts_.schedules;
        counts_.elections += oracle_.elections;
        counts_.changes_of_members += oracle_.changes;
        counts_.acknowledged += oracle_.acknowledgements();
        if (!oracle_.broken) return std::nullopt;
        return Violation{oracle_.broken->first,
                         seed_,
                         std::string(shape_.name) + ": " + oracle_.broken->second,
                         {steps_.begin(), steps_.end()}};
    }

  private:
    enum class Kept { Old, New, Torn };  // of a write that a loss of power struck
    struct Call {
        std::size_t operator_number = 0;
        std::uint64_t number = 0;  // of the try
        bool reads = false;
        std::string token, base;
        Time until{};
        std::size_t acknowledged_before = 0;
        std::optional<LogPosition> proposed;
        std::optional<std::uint64_t> confirmation;
        Time confirmation_asked{};
        int decided = 0;  // status once confirmed
        std::string value;
    };
    struct Machine {
        std::string address, zone;
        bool counts = true;
        std::unique_ptr<RaftNode> raft;
        std::uint64_t life = 0;
        Duration clock{};                       // its steady clock's distance from the world's, by life
        PersistentState synced;                 // survives a loss of power
        std::optional<PersistentState> cached;  // written, not synced: survives the process only
        std::optional<PersistentState> saving;  // being written
        Time free_at{};
        bool freezes_standing = false;  // the moment that it has asked for votes
        bool unsaved = false, frozen = false, gone = false, fails = false, leaving = false;
        Duration slow{};
        int strike = 0;  // the next save is struck: 1 the process, 2 the power
        Time save_again{};
        std::deque<std::function<void()>> inbox;
        std::deque<Call> calls;
        Time lost_until{};
        // What the oracle keeps of a life
        LogEntry seen_newest;
        LogPosition seen_committed;
        Time appended{-1h};  // when the newest of the leader's messages that arrived was sent
        std::map<std::pair<Term, std::uint64_t>, std::map<MemberId, Time>> asked;
        std::map<MemberId, Time> answered;  // when the question was sent
        Term answered_term = 0, contact_term = 0;
        Time contact{};  // with a majority of the set that was in force then
    };
    struct Operator {
        std::string token, base, known;
        bool reading = false;
        std::uint64_t number = 0;
        std::size_t made = 0;
        std::vector<std::string> done;  // acknowledged ones, with their base: sent again at times
        std::vector<std::string> done_base;
    };

    // -- time
    void after(Duration in, std::function<void()> what) {
        events_.push({now_ + in, ++sequence_, std::move(what)});
    }
    void until(Duration in) {
        const Time end = now_ + in;
        while (!events_.empty() && events_.top().at <= end && !oracle_.broken) {
            auto what = std::move(const_cast<Event&>(events_.top()).what);
            now_ = events_.top().at;
            events_.pop();
            ++counts_.events;
            what();
        }
        if (now_ < end) now_ = end;
    }
    Time local(const Machine& m) const { return now_ + m.clock; }
    Duration spread(Duration least, Duration most) {
        return least + Duration{static_cast<Duration::rep>(random_.unit() *
                                                           static_cast<double>((most - least).count()))};
    }
    template <class... Parts>
    void note(const Parts&... parts) {
        std::string text;
        ((text += parts), ...);
        char time[32];
        std::snprintf(time, sizeof time, "%10.4f ",
                      std::chrono::duration<double>(now_.time_since_epoch()).count());
        steps_.push_back(time + text);
        if (steps_.size() > kStepsKept) steps_.pop_front();
        if (options_.trace) std::puts(steps_.back().c_str());
    }
    static std::string named(std::size_t i) { return "#" + std::to_string(i); }

    // -- machines
    std::size_t add_machine() {
        Machine machine;
        const std::size_t i = machines_.size();
        machine.address = "10.0.0." + std::to_string(i + 1) + ":7000";
        machine.zone = "z" + std::to_string(i % shape_.zones);
        machine.counts = i + shape_.uncounted < shape_.machines || i >= shape_.machines;
        machine.synced.self_id = 100 + ++identities_;
        machine_of_[machine.synced.self_id] = i;
        machines_.push_back(std::move(machine));
        return i;
    }
    Member member(std::size_t i) const {
        const Machine& m = machines_[i];
        Member member;
        member.id = m.synced.self_id;
        member.address = m.address;
        member.zone = m.zone;
        member.region = "r";
        member.loss_counted = m.counts;
        return member;
    }
    bool runs(std::size_t i) const {
        return machines_[i].raft && !machines_[i].frozen && !machines_[i].saving;
    }

    void start(std::size_t i) {
        Machine& m = machines_[i];
        if (m.raft || m.gone) return;
        ++m.life;
        const PersistentState disk = m.cached ? *m.cached : m.synced;
        note("start ", named(i), " ", std::to_string(disk.self_id), " newest ", text_of(disk.last_entry));
        // What a process finds may have been written by the one before it and not be synced: it syncs it
        // first.
        m.synced = disk;
        m.cached.reset();
        oracle_.synced(m.synced);
        m.clock = spread(0s, 100s);
        m.raft = std::make_unique<RaftNode>(member(i), disk, register_options_, random_.next());
        m.seen_newest = disk.last_entry;
        m.seen_committed = {};
        m.appended = Time{-1h};
        m.unsaved = m.leaving = m.frozen = m.freezes_standing = false;
        m.save_again = {};
        m.asked.clear();
        m.answered.clear();
        for (const Duration at : {spread(0ms, kTick)}) after(at, [this, i, life = m.life] { tick(i, life); });
        after(spread(0ms, 100ms), [this, i, life = m.life] { hello(i, life); });
    }
    /// The process ends; what it wrote is in the machine's memory.
    void kill(std::size_t i) {
        Machine& m = machines_[i];
        if (!m.raft) return;
        m.raft.reset();
        if (m.saving && random_.unit() < 0.5) m.cached = m.saving;
        m.saving.reset();
        m.inbox.clear();
        m.calls.clear();
        m.frozen = m.leaving = false;
        m.strike = 0;
    }
    void power_off(std::size_t i, bool may_tear) {
        Machine& m = machines_[i];
        std::optional<PersistentState> written = m.saving ? m.saving : m.cached;
        kill(i);
        m.cached.reset();
        if (!written) return;
        const double kept = random_.unit();
        if (kept < 0.35) {
            m.synced = *written;
            oracle_.synced(m.synced);
        } else if (kept < 0.6 && may_tear) {
            note("torn ", named(i));
            wipe_disk(i);
        }
    }
    void wipe_disk(std::size_t i) {
        Machine& m = machines_[i];
        oracle_.dead(m.synced.self_id);
        m.cached.reset();
        m.synced = {};
        m.synced.self_id = 1000 + ++identities_;
        machine_of_[m.synced.self_id] = i;
    }

    void tick(std::size_t i, std::uint64_t life) {
        Machine& m = machines_[i];
        if (m.life != life || !m.raft) return;
        after(kTick, [this, i, life] { tick(i, life); });
        if (!runs(i)) return;
        m.raft->tick(local(m));
        turn(i);
        if (m.raft && m.leaving && runs(i) && m.raft->has_left()) left(i);
    }
    void hello(std::size_t i, std::uint64_t life) {
        Machine& m = machines_[i];
        if (m.life != life || !m.raft) return;
        after(kHello, [this, i, life] { hello(i, life); });
        if (!runs(i)) return;
        const Member self = member(i);
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (k != i)
                carry(i, k, [this, k, self] {
                    Machine& to = machines_[k];
                    if (self.address == to.address && self.id != to.synced.self_id) return;
                    to.raft->add_known_member(local(to), self);
                    turn(k);
                });
        }
    }

    /// As controller's turn(): to disk first, then out, then to those who wait.
    void turn(std::size_t i) {
        Machine& m = machines_[i];
        for (int times = 0; m.raft && runs(i); ++times) {
            observe(i);
            if (oracle_.broken) return;
            m.unsaved |= m.raft->take_persist_request();
            if (m.unsaved) {
                if (local(m) >= m.save_again && !m.fails) {
                    save(i);
                    if (!m.raft || m.saving) return;  // goes on once it is synced
                } else {
                    if (local(m) >= m.save_again) m.save_again = local(m) + kSaveAgain;
                    m.raft->on_persist_failed(local(m));
                }
            }
            send(i);
            settle(i);
            if (!m.raft->has_output() || m.unsaved) return;
            if (times > 50) return oracle_.fail(Invariant::Progress, named(i) + " never comes to rest");
        }
    }
    void save(std::size_t i) {
        Machine& m = machines_[i];
        m.saving = m.raft->persistent_state();
        if (const int strike = std::exchange(m.strike, 0)) {
            note(strike == 1 ? "killed in a save " : "power lost in a save ", named(i));
            strike == 1 ? kill(i) : power_off(i, may_lose_disks() && m.lost_until > now_);
            come_back(i, spread(50ms, 3s));
            return;
        }
        const Duration takes = m.slow != Duration{}    ? spread(m.slow / 4, m.slow)
                               : random_.unit() < 0.15 ? spread(1ms, 40ms)
                                                       : Duration{};
        if (takes == Duration{}) return saved(i);
        after(takes, [this, i, life = m.life] {
            Machine& later = machines_[i];
            if (later.life != life || !later.raft || !later.saving) return;
            saved(i);
            send(i);
            settle(i);
            turn(i);
            work_off(i);
        });
    }
    void saved(std::size_t i) {
        Machine& m = machines_[i];
        m.synced = std::move(*m.saving);
        m.saving.reset();
        m.cached.reset();
        m.unsaved = false;
        oracle_.synced(m.synced);
        m.raft->on_persisted(local(m));
    }
    /// What came while the process could not run.
    void work_off(std::size_t i) {
        Machine& m = machines_[i];
        while (runs(i) && !m.inbox.empty() && !oracle_.broken) {
            auto what = std::move(m.inbox.front());
            m.inbox.pop_front();
            what();
        }
    }

    // -- links
    void carry(std::size_t from, std::size_t to, std::function<void()> what) {
        const auto arrive = [this, from, to](std::function<void()> it, Duration in) {
            after(in, [this, from, to, it = std::move(it)] {
                Machine& m = machines_[to];
                if (!m.raft) return;
                if (is_cut(from, to)) return hold(from, to, it);
                if (!runs(to)) return m.inbox.push_back(it);
                it();
            });
        };
        if (random_.unit() < loss_) return;
        if (!quiet_ && random_.unit() < 0.03)
            arrive(what, random_.unit() < 0.7 ? spread(0ms, 500ms) : spread(1s, 20s));  // once more
        arrive(what, !quiet_ && random_.unit() < 0.05 ? spread(20ms, 800ms) : spread(0ms, 15ms));
    }
    bool is_cut(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }
    /// A cut link keeps some of what was sent, and brings it once it is joined.
    void hold(std::size_t from, std::size_t to, std::function<void()> what) {
        if (random_.unit() < 0.6 && held_.size() < 2000) held_.push_back({from, to, std::move(what)});
    }
    void join(const std::set<std::pair<std::size_t, std::size_t>>& links) {
        for (const auto& link : links) cuts_.erase(link);
        auto all = std::exchange(held_, {});
        for (auto& one : all) {
            if (is_cut(one.from, one.to)) {
                held_.push_back(std::move(one));
            } else {
                after(spread(0ms, 30ms), [this, to = one.to, what = std::move(one.what)] {
                    Machine& m = machines_[to];
                    if (!m.raft) return;
                    if (!runs(to)) return m.inbox.push_back(what);
                    what();
                });
            }
        }
    }

    void send(std::size_t i) {
        Machine& m = machines_[i];
        bool stands = false;
        for (Message& message : m.raft->take_messages()) {
            stands |= message.kind == Message::Kind::RequestVote && !message.pre_vote;
            oracle_.sent(message, m.synced);
            if (message.kind == Message::Kind::AppendEntries ||
                (message.kind == Message::Kind::RequestVote && !message.pre_vote)) {
                m.asked[{message.term, round_of(message)}][message.to] = now_;
                if (m.asked.size() > 400) m.asked.erase(m.asked.begin());
            }
            // By address: what was meant for a lost identity reaches the one that came after it there.
            const auto to = machine_of_.find(message.to);
            if (to == machine_of_.end()) continue;
            carry(i, to->second,
                  [this, i, k = to->second, sent = now_, message] { deliver(i, k, sent, message); });
        }
        if (stands && std::exchange(m.freezes_standing, false)) freeze(i, spread(300ms, 1100ms));
    }
    static std::uint64_t round_of(const Message& message) {
        return message.kind == Message::Kind::AppendEntries ||
                       message.kind == Message::Kind::AppendEntriesReply
                   ? message.round
                   : 0;
    }
    void deliver(std::size_t from, std::size_t to, Time sent, const Message& message) {
        Machine& m = machines_[to];
        ++counts_.messages;
        note(named(from), " to ", named(to), ": ", text_of(message));
        m.raft->receive(local(m), message);
        const bool answers = message.granted && !message.pre_vote &&
                             (message.kind == Message::Kind::AppendEntriesReply ||
                              message.kind == Message::Kind::RequestVoteReply);
        if (answers && message.term == m.raft->persistent_state().term) {
            if (m.answered_term != message.term) m.answered.clear();
            m.answered_term = message.term;
            const auto round = m.asked.find({message.term, round_of(message)});
            if (round != m.asked.end()) {
                if (const auto asked = round->second.find(message.from.id); asked != round->second.end()) {
                    Time& answered = m.answered[message.from.id];
                    answered = std::max(answered, asked->second);
                }
            }
        }
        if (message.kind == Message::Kind::AppendEntries && message.term >= m.raft->persistent_state().term)
            m.appended = std::max(m.appended, sent);
        turn(to);
    }

    // -- what the oracle sees after each event
    void observe(std::size_t i) {
        Machine& m = machines_[i];
        const RaftNode& raft = *m.raft;
        const PersistentState& disk = raft.persistent_state();
        if (raft.role() == RaftNode::Role::Leader) {
            oracle_.leads(disk.self_id, disk.term, disk.last_entry);
            if (m.seen_newest.position != disk.last_entry.position &&
                !same_voters(m.seen_newest, disk.last_entry)) {
                note(named(i), " changes the members: ", text_of(disk.last_entry));
                oracle_.changed_members(m.seen_newest, disk.last_entry);
            }
        }
        m.seen_newest = disk.last_entry;
        if (m.seen_committed != disk.committed_entry.position && !m.unsaved) {
            m.seen_committed = disk.committed_entry.position;
        }
        observe_lease(i);
    }
    /// When the last question was sent that a majority of each set in force answered.
    Time contact(const Machine& m) const {
        const PersistentState& disk = m.raft->persistent_state();
        Time best{};
        if (m.answered_term != disk.term) {
            return is_quorum(disk.last_entry, [&](MemberId id) { return id == disk.self_id; }) ? now_ : best;
        }
        std::vector<Time> times{now_};
        for (const auto& [id, asked] : m.answered) times.push_back(asked);
        for (const Time time : times) {
            const bool reached =
                time > best && is_quorum(disk.last_entry, [&](MemberId id) {
                    const auto it = m.answered.find(id);
                    return id == disk.self_id || (it != m.answered.end() && it->second >= time);
                });
            if (reached) best = time;
        }
        return best;
    }
    void observe_lease(std::size_t i) {
        Machine& m = machines_[i];
        const RaftNode& raft = *m.raft;
        if (raft.role() == RaftNode::Role::Leader) {
            if (m.contact_term != raft.persistent_state().term) m.contact = {};
            m.contact_term = raft.persistent_state().term;
            m.contact = std::max(m.contact, contact(m));
        }
        if (raft.has_leader_lease(local(m))) {
            oracle_.require(now_ - m.contact <= register_options_.leader_lease, Invariant::NoStaleLease,
                            named(i) + " says that it leads in term " +
                                std::to_string(raft.persistent_state().term) +
                                ", and no majority answered a question of the last 900 ms");
        } else if (raft.role() != RaftNode::Role::Leader && raft.has_quorum_contact(local(m), kInTouch)) {
            oracle_.require(
                now_ - m.appended <= kInTouch, Invariant::NoStaleTouch,
                named(i) +
                    " says that it is in touch, and no leader's message that was sent in the last "
                    "700 ms reached it");
        }
    }

    // -- the config_service, in short: values are the tokens of all orders
    void settle(std::size_t i) {
        Machine& m = machines_[i];
        RaftNode& raft = *m.raft;
        const Time now = local(m);
        oracle_.committed(raft.persistent_state().committed_entry);
        while (!m.calls.empty() && !oracle_.broken) {
            Call& call = m.calls.front();
            std::optional<int> status;
            if (call.proposed) {
                if (!raft.may_still_commit(*call.proposed)) {
                    status = 503;
                } else if (raft.is_durable(*call.proposed)) {
                    status = 200;
                    call.value = raft.persistent_state().committed_entry.value;
                }
            } else if (call.confirmation) {
                if (raft.is_read_confirmed(*call.confirmation)) {
                    status = call.decided;
                    oracle_.require(std::max(m.contact, contact(m)) >= call.confirmation_asked,
                                    Invariant::NoStaleConfirmation,
                                    named(i) + " is confirmed by answers to questions from before it asked");
                }
            }
            if (!status && !call.proposed && !raft.has_leader_lease(now)) status = 307;
            if (!status && now >= call.until) status = 503;
            if (!status && !call.proposed && !call.confirmation) {
                decide(i, call);
                if (call.proposed || call.confirmation) continue;
            }
            if (!status) return;
            const Call done = std::move(call);
            m.calls.pop_front();
            answer(i, done, *status);
        }
    }
    void decide(std::size_t i, Call& call) {
        RaftNode& raft = *machines_[i].raft;
        const Time now = local(machines_[i]);
        const std::string& value = raft.persistent_state().committed_entry.value;
        if (call.reads || value.find(call.token) != std::string::npos) {
            call.decided = 200;
        } else if (!value.ends_with(call.base) || (call.base.empty() && !value.empty())) {
            call.decided = 412;
        } else {
            call.proposed = raft.propose(now, value + call.token);
            return;
        }
        call.value = value;
        call.confirmation = raft.request_read_index(now);
        call.confirmation_asked = now_;
    }
    void answer(std::size_t i, const Call& call, int status) {
        if (call.reads && status == 200) {
            ++counts_.reads;
            oracle_.read(call.value, call.acknowledged_before);
        } else if (status == 200) {
            note(named(i), " acknowledges ", call.token);
            std::size_t copies = 0, lost = 0;
            for (std::size_t k = 0; k < machines_.size(); ++k) {
                if (machines_[k].gone) continue;
                lost += is_lost(k) && machines_[k].counts;
                copies +=
                    !is_lost(k) && machines_[k].synced.last_entry.value.find(call.token) != std::string::npos;
            }
            // What is lost can't be lost once more; where more is lost than is to be borne, nothing is asked.
            oracle_.acknowledged(
                call.token, copies,
                lost > shape_.tolerated ? 0 : std::max<std::size_t>(1, shape_.tolerated + 1 - lost));
        } else if (status == 412) {
            ++counts_.refused;
            note(named(i), " refuses ", call.token, " on ", call.base, " at ", call.value);
            oracle_.refused(call.token);
        } else {
            ++counts_.unclear;
        }
        if (!quiet_ && random_.unit() < 0.15) return;  // the answer is lost
        after(spread(0ms, 15ms), [this, call, status] { answered(call, status); });
    }

    // -- operators
    void operate(std::size_t k) {
        Operator& o = operators_[k];
        if (o.token.empty() && !o.reading) {
            if (!o.done.empty() && random_.unit() < 0.15) {  // an old one again
                const std::size_t which = random_.below(o.done.size());
                call(k, false, o.done[which], o.done_base[which], 0);
            }
            if (random_.unit() < 0.25) {
                o.reading = true;
            } else {
                o.token = std::string(1, static_cast<char>('A' + k)) + std::to_string(++o.made) + ";";
                o.base = o.known;
            }
        }
        const std::uint64_t number = ++o.number;
        call(k, o.reading, o.token, o.base, number);
        after(kCallAgain, [this, k, number] {
            if (operators_[k].number == number) operate(k);  // once more, to any
        });
    }
    void call(std::size_t k, bool reads, const std::string& token, const std::string& base,
              std::uint64_t number) {
        std::vector<std::size_t> up, leading;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (!machines_[i].raft) continue;
            up.push_back(i);
            if (machines_[i].raft->role() == RaftNode::Role::Leader) leading.push_back(i);
        }
        if (up.empty()) return;
        const auto& from = leading.empty() || random_.unit() < 0.1 ? up : leading;
        const std::size_t i = from[random_.below(from.size())];
        Call call;
        call.operator_number = k;
        call.number = number;
        call.reads = reads;
        call.token = token;
        call.base = base;
        call.acknowledged_before = oracle_.acknowledgements();
        after(spread(0ms, 15ms), [this, i, call] {
            Machine& m = machines_[i];
            const auto come = [this, i, call] {
                Machine& there = machines_[i];
                there.calls.push_back(call);
                there.calls.back().until = local(there) + kLongestCall;
                settle(i);
                turn(i);
            };
            if (!m.raft) return;
            runs(i) ? come() : m.inbox.push_back(come);
        });
    }
    void answered(const Call& call, int status) {
        Operator& o = operators_[call.operator_number];
        if (call.number != o.number) {  // of an old try, or of an old order that was sent again
            return;
        }
        ++o.number;
        Duration next = spread(20ms, 400ms);
        if (status == 200 && call.reads) {
            o.reading = false;
            const auto last =
                call.value.size() < 2 ? std::string::npos : call.value.rfind(';', call.value.size() - 2);
            o.known = last == std::string::npos ? call.value : call.value.substr(last + 1);
        } else if (status == 200) {
            o.done.push_back(o.token);
            o.done_base.push_back(o.base);
            o.known = std::exchange(o.token, "");
        } else if (status == 412) {
            o.token.clear();
            o.reading = true;
        } else {
            next = spread(50ms, 200ms);
        }
        after(next, [this, k = call.operator_number, number = o.number] {
            if (operators_[k].number == number) operate(k);
        });
    }

    // -- faults
    bool may_lose_disks() const { return !stormy_ && now_ >= keep_disks_until_; }
    bool is_lost(std::size_t i) const { return machines_[i].lost_until > now_; }
    /// Whether it may be lost besides what is.
    bool may_lose(std::size_t i) const {
        if (machines_[i].gone) return false;
        if (!machines_[i].counts) return true;
        std::size_t lost = 0;
        std::set<std::string> zones;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (!machines_[k].counts || (k != i && !is_lost(k))) continue;
            ++lost;
            zones.insert(machines_[k].zone);
        }
        return lost <= shape_.tolerated || zones.size() <= shape_.tolerated_zones;
    }
    void lose(std::size_t i, Duration time) {
        machines_[i].lost_until = std::max(machines_[i].lost_until, now_ + time + kCatchUp);
    }
    void come_back(std::size_t i, Duration in) {
        lose(i, in);
        after(in, [this, i] { start(i); });
    }
    std::size_t pick() {
        std::vector<std::size_t> there, leading;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (!machines_[i].raft) continue;
            there.push_back(i);
            if (machines_[i].raft->role() == RaftNode::Role::Leader) leading.push_back(i);
        }
        if (there.empty()) return 0;
        const auto& from = leading.empty() || random_.unit() < 0.6 ? there : leading;
        return from[random_.below(from.size())];
    }
    void count(const char* name, std::size_t i, Duration time) {
        ++counts_.faults[name];
        note("FAULT ", name, " ", named(i), " for ", std::to_string(time.count() / 1'000'000), " ms");
    }
    void fault() {
        const std::size_t i = pick();
        Machine& m = machines_[i];
        if (!m.raft) return;
        const bool loses = may_lose_disks();
        const Duration time = random_.unit() < 0.2 ? spread(3s, 9s) : spread(50ms, 2s);
        if (random_.unit() < 0.07) return fault_of_all(loses);
        if (!may_lose(i) && !stormy_) return;
        const double what = random_.unit();
        if (what < 0.1) {
            count("kill", i, time);
            kill(i);
            come_back(i, time);
        } else if (what < 0.2) {
            count("power", i, time);
            power_off(i, loses);
            come_back(i, time);
        } else if (what < 0.3) {
            count("strike", i, time);
            lose(i, 0s);
            m.strike = random_.unit() < 0.3 ? 1 : 2;
        } else if (what < 0.4 && loses) {
            count("wipe", i, time);
            power_off(i, false);
            wipe_disk(i);
            come_back(i, time);
        } else if (what < 0.45 && loses) {
            count("replace", i, time);
            replace(i, time);
        } else if (what < 0.55) {
            const bool for_good = loses && random_.unit() < 0.5;
            count(for_good ? "leave for good" : "leave", i, time);
            leave(i, for_good, time);
        } else if (what < 0.7) {
            cut(i, time);
        } else if (what < 0.75) {
            // As long as it takes the others to choose another, and no longer than the lease.
            freeze(i, random_.unit() < 0.4 ? spread(550ms, 950ms) : time);
        } else if (what < 0.8) {
            count("freeze in an election", i, time);
            lose(i, time);
            m.freezes_standing = true;
        } else if (what < 0.88) {
            count("slow disk", i, time);
            m.slow = spread(20ms, 1500ms);
            lose(i, time);
            after(time, [this, i] { machines_[i].slow = {}; });
        } else if (what < 0.95) {
            count("failing disk", i, time);
            m.fails = true;
            lose(i, time);
            after(time, [this, i] { machines_[i].fails = false; });
        } else {
            count("lossy links", i, time);
            loss_ = 0.1 + random_.unit() * 0.3;
            keep_disks_until_ = now_ + time + kCatchUp;  // all are lost in that time
            after(time, [this] { loss_ = 0.02; });
        }
    }
    void freeze(std::size_t i, Duration time) {
        count("freeze", i, time);
        machines_[i].frozen = true;
        lose(i, time);
        after(time, [this, i, life = machines_[i].life] {
            if (machines_[i].life == life) thaw(i);
        });
    }
    void fault_of_all(bool loses) {
        const bool power = random_.unit() < 0.6;
        count(power ? "power of all" : "kill of all", 0, 0ms);
        std::set<std::size_t> wiped;
        if (loses && power && random_.unit() < 0.5) {
            for (std::size_t n = 0; n < shape_.tolerated; ++n) {
                const std::size_t i = random_.below(machines_.size());
                if (machines_[i].gone || !may_lose(i)) continue;
                lose(i, 0s);
                wiped.insert(i);
                ++counts_.faults["wipe with power of all"];
            }
        }
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (machines_[i].gone) continue;
            power ? power_off(i, false) : kill(i);
            if (wiped.contains(i)) wipe_disk(i);
            come_back(i, spread(50ms, 1s));
        }
    }
    void thaw(std::size_t i) {
        Machine& m = machines_[i];
        if (!m.raft || !m.frozen) return;
        m.frozen = false;
        note("thaw ", named(i), " with ", std::to_string(m.inbox.size()), " in its inbox");
        if (runs(i)) observe_lease(i);
        work_off(i);
    }
    /// Another machine at another address takes its place; the old one may come back with its disk.
    void replace(std::size_t i, Duration time) {
        kill(i);
        power_off(i, false);
        machines_[i].gone = true;
        const bool returns = random_.unit() < 0.5;
        if (!returns) oracle_.dead(machines_[i].synced.self_id);
        const std::size_t next = add_machine();
        machines_[next].zone = machines_[i].zone;
        machines_[next].counts = machines_[i].counts;
        machines_[i].lost_until = {};
        lose(next, time);
        after(time, [this, next] { start(next); });
        if (!returns) return;
        after(time + spread(6s, 12s), [this, i] {
            if (quiet_) return;
            ++counts_.faults["old disk returns"];
            machines_[i].gone = false;
            machines_[i].counts = false;  // what it has is not needed
            start(i);
            after(spread(1s, 4s), [this, i] {
                kill(i);
                machines_[i].gone = true;
            });
        });
    }
    void leave(std::size_t i, bool for_good, Duration time) {
        Machine& m = machines_[i];
        if (m.leaving || !runs(i)) return;
        m.leaving = true;
        lose(i, kLeaveGrace + time);
        std::optional<std::size_t> next;
        if (for_good) {
            next = add_machine();
            Machine& leaver = machines_[i];
            machines_[*next].zone = leaver.zone;
            machines_[*next].counts = leaver.counts;
            lose(*next, kLeaveGrace + time);
            after(spread(0s, 1s), [this, n = *next] { start(n); });
        }
        leaving_[i] = {for_good, time};
        machines_[i].raft->leave(local(machines_[i]));
        turn(i);
        after(kLeaveGrace, [this, i, life = machines_[i].life] {
            if (machines_[i].life == life && machines_[i].leaving) end(i);
        });
    }
    void left(std::size_t i) {
        note(named(i), " has left");
        oracle_.left(machines_[i].synced.self_id);
        if (!stormy_) {
            std::size_t others = 0;
            for (std::size_t k = 0; k < machines_.size(); ++k)
                others += k != i && machines_[k].raft && machines_[k].counts;
            for (const std::string& token : oracle_.all_acknowledged()) {
                std::size_t copies = 0;
                for (std::size_t k = 0; k < machines_.size(); ++k)
                    copies += k != i && !machines_[k].gone &&
                              machines_[k].synced.last_entry.value.find(token) != std::string::npos;
                oracle_.require(copies >= std::min(shape_.tolerated + 1, others), Invariant::LeaverGivesFirst,
                                named(i) + " says that it has left, and " + token + " is on " +
                                    std::to_string(copies) + " other disks");
            }
        }
        end(i);
    }
    void end(std::size_t i) {
        const auto [for_good, time] = leaving_[i];
        kill(i);
        if (!for_good) return come_back(i, quiet_ ? 50ms : time);
        machines_[i].gone = true;
        machines_[i].lost_until = {};
        oracle_.dead(machines_[i].synced.self_id);
    }
    void cut(std::size_t i, Duration time) {
        const double way = random_.unit();
        const char* name = way < 0.5   ? "cut"
                           : way < 0.7 ? "cut of what it says"
                           : way < 0.9 ? "cut of what it hears"
                                       : "cut in turn";
        // One that ends in the moment of an election: the others stand after 500 to 1000 ms of silence.
        if (random_.unit() < 0.3) time = spread(450ms, 1150ms);
        count(name, i, time);
        lose(i, time);
        std::set<std::pair<std::size_t, std::size_t>> out, in;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (k == i) continue;
            out.insert({i, k});
            in.insert({k, i});
        }
        if (way < 0.7 || way >= 0.9) cuts_.insert(out.begin(), out.end());
        if (way < 0.5 || (way >= 0.7 && way < 0.9)) cuts_.insert(in.begin(), in.end());
        if (way < 0.9) {
            after(time, [this, out, in] {
                join(out);
                join(in);
            });
            return;
        }
        after(time / 2, [this, out, in] {
            join(out);
            if (!quiet_) cuts_.insert(in.begin(), in.end());
        });
        after(time, [this, in] { join(in); });
    }
    void mend() {
        note("all is mended");
        join(std::exchange(cuts_, {}));
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            Machine& m = machines_[i];
            m.slow = {};
            m.fails = false;
            m.strike = 0;
            m.freezes_standing = false;
            if (m.frozen) thaw(i);
            start(i);
        }
    }

    void require_progress(const char* when) {
        if (oracle_.broken) return;
        std::vector<std::size_t> leading;
        std::size_t there = 0;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const Machine& m = machines_[i];
            if (!m.raft) continue;
            there += m.counts;
            if (m.raft->has_leader_lease(local(m))) leading.push_back(i);
        }
        if (!oracle_.require(leading.size() == 1, Invariant::Progress,
                             std::to_string(leading.size()) + " machines lead " + when))
            return;
        const LogEntry& entry = machines_[leading.front()].raft->persistent_state().last_entry;
        const std::size_t whole = std::min(2 * shape_.tolerated + 1, there);
        oracle_.require(entry.voters.size() >= whole && entry.outgoing_voters.empty(), Invariant::Progress,
                        "the set is not whole " + std::string(when) + ": " + text_of(entry));
        for (const Member& voter : entry.voters) {
            const bool up = std::any_of(machines_.begin(), machines_.end(), [&](const Machine& m) {
                return m.raft && m.counts && m.synced.self_id == voter.id;
            });
            oracle_.require(
                up, Invariant::Progress,
                "a voter that is gone or doesn't count " + std::string(when) + ": " + text_of(entry));
        }
    }

    struct Event {
        Time at;
        std::uint64_t sequence;
        std::function<void()> what;
        bool operator<(const Event& other) const {
            return std::pair{at, sequence} > std::pair{other.at, other.sequence};
        }
    };
    struct Held {
        std::size_t from, to;
        std::function<void()> what;
    };

    std::uint64_t seed_;
    const Shape& shape_;
    Counts& counts_;
    Options options_;
    raft::RaftOptions register_options_;
    decision::Random random_;
    Oracle oracle_;
    std::map<MemberId, std::size_t> machine_of_;
    std::deque<Machine> machines_;  // references hold while it grows
    std::vector<Operator> operators_{2};
    Time now_{1s};
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0, identities_ = 0;
    bool stormy_ = seed_ % 3 == 2;  // nothing is lost from a disk: then all else may happen at once
    Time keep_disks_until_{};
    double loss_ = 0.02;
    bool quiet_ = false;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<Held> held_;
    std::map<std::size_t, std::pair<bool, Duration>> leaving_;
    std::deque<std::string> steps_;
};

// ---- the exhaustive search: each node has a clock of its own, so that any timer may run out at any moment

class Search {
  public:
    Search(Start start, std::uint64_t most_states, Counts& counts) : most_(most_states), counts_(counts) {
        prepare(start);
    }

    std::optional<Violation> run() {
        searching_ = true;
        std::vector<State> stack;
        stack.push_back(std::move(first_));
        seen_.insert(stack.back().key());
        ++counts_.states;
        while (!stack.empty() && !found_) {
            const State state = std::move(stack.back());
            stack.pop_back();
            for (std::size_t k = 0; k < state.flying.size(); ++k) {
                const bool up = state.nodes[state.flying[k].to].up;
                if (!up) continue;
                for (const Strike strike : {Strike::None, Strike::Old, Strike::New}) {
                    if (strike != Strike::None && state.left.strikes == 0) continue;
                    step(stack, state, [&](State& next) {
                        const Flying flying = next.flying[k];
                        next.flying.erase(next.flying.begin() + static_cast<std::ptrdiff_t>(k));
                        next.note("deliver to #" + std::to_string(flying.to) + ": " +
                                  text_of(flying.message) + word(strike));
                        next.left.strikes -= strike != Strike::None;
                        next.nodes[flying.to].mix(flying.key);
                        next.nodes[flying.to].raft->receive(next.nodes[flying.to].clock, flying.message);
                        settle(next, flying.to, strike);
                    });
                }
                if (state.left.duplicates == 0) continue;
                step(stack, state, [&](State& next) {
                    const Flying flying = next.flying[k];
                    --next.left.duplicates;
                    next.note("deliver, and once more later, to #" + std::to_string(flying.to) + ": " +
                              text_of(flying.message));
                    next.nodes[flying.to].mix(flying.key);
                    next.nodes[flying.to].raft->receive(next.nodes[flying.to].clock, flying.message);
                    settle(next, flying.to, Strike::None);
                });
            }
            for (std::size_t i = 0; i < state.nodes.size(); ++i) {
                const Node& node = state.nodes[i];
                if (!node.up) continue;
                const bool leads = node.raft->role() == RaftNode::Role::Leader;
                if (!leads && state.left.timeouts > 0)
                    for (const Strike strike : {Strike::None, Strike::Old, Strike::New}) {
                        if (strike != Strike::None && state.left.strikes == 0) continue;
                        step(stack, state, [&](State& next) {
                            next.note("timeout of #" + std::to_string(i) + word(strike));
                            --next.left.timeouts;
                            next.left.strikes -= strike != Strike::None;
                            wait(next, i, 1100ms);
                            settle(next, i, strike);
                        });
                    }
                if (leads && state.left.beats > 0)
                    step(stack, state, [&](State& next) {
                        next.note("heartbeat of #" + std::to_string(i));
                        --next.left.beats;
                        wait(next, i, 110ms);
                        settle(next, i, Strike::None);
                    });
                if (leads && state.left.orders > 0 && node.raft->has_leader_lease(node.clock))
                    step(stack, state, [&](State& next) {
                        Node& leader = next.nodes[i];
                        const std::string token = std::string(1, static_cast<char>('A' + i)) +
                                                  std::to_string(next.left.orders) + ";";
                        const auto stamp = leader.raft->propose(
                            leader.clock, leader.raft->persistent_state().committed_entry.value + token);
                        if (!stamp) return false;
                        next.note("#" + std::to_string(i) + " proposes " + token);
                        --next.left.orders;
                        leader.mix(0x07de5);
                        leader.proposed = *stamp;
                        leader.token = token;
                        settle(next, i, Strike::None);
                        return true;
                    });
                if (state.left.wipes > 0)
                    step(stack, state, [&](State& next) {
                        next.note("#" + std::to_string(i) + " loses its disk");
                        --next.left.wipes;
                        Node& wiped = next.nodes[i];
                        next.oracle.dead(wiped.disk.self_id);
                        const MemberId before = wiped.disk.self_id;
                        wiped.disk = {};
                        wiped.disk.self_id = before + 1000;
                        restart(next, i);
                    });
            }
        }
        if (!found_) return std::nullopt;
        return Violation{found_->oracle.broken->first, 0, found_->oracle.broken->second, found_->steps};
    }

  private:
    enum class Strike { None, Old, New };  // power is lost in the save, and the write is lost or kept
    static std::string word(Strike strike) {
        return strike == Strike::None  ? ""
               : strike == Strike::Old ? ", power lost before the write"
                                       : ", power lost after the write";
    }
    struct Node {
        std::optional<RaftNode> raft;
        PersistentState disk;
        Time clock{1s};
        std::uint64_t history = 0;  // of its inputs: what it is follows from them
        std::uint64_t sent = 0;
        bool up = true;
        LogEntry seen_newest;
        std::optional<LogPosition> proposed;
        std::string token;
        void mix(std::uint64_t input) {
            history = decision::Random(history ^ input * 0x9e3779b97f4a7c15u).next();
        }
    };
    struct Flying {
        std::size_t to;
        Message message;
        std::uint64_t key;
    };
    struct Left {
        int timeouts = 2, beats = 0, orders = 1, strikes = 1, duplicates = 1, wipes = 0;
    };
    struct State {
        std::vector<Node> nodes;
        std::vector<Flying> flying;
        Left left;
        Oracle oracle{{}};
        std::vector<std::string> steps;
        void note(std::string text) { steps.push_back(std::move(text)); }
        std::uint64_t key() const {
            std::uint64_t key = static_cast<std::uint64_t>(
                left.timeouts +
                8 * (left.beats +
                     8 * (left.orders + 8 * (left.strikes + 8 * (left.duplicates + 8 * left.wipes)))));
            for (const Node& node : nodes) key = decision::Random(key ^ node.history).next();
            std::uint64_t sum = 0;  // in any order
            for (const Flying& one : flying) sum += decision::Random(one.key).next();
            return decision::Random(key ^ sum).next();
        }
    };

    template <class Act>
    void step(std::vector<State>& stack, const State& from, const Act& act) {
        if (found_ || counts_.states >= most_) return;
        State next = from;
        if constexpr (std::is_same_v<decltype(act(next)), bool>) {
            if (!act(next)) return;
        } else {
            act(next);
        }
        ++counts_.events;
        if (next.oracle.broken) {
            found_ = std::move(next);
            return;
        }
        if (!seen_.insert(next.key()).second) {
            ++counts_.repeated;
            return;
        }
        ++counts_.states;
        stack.push_back(std::move(next));
    }
    static void wait(State& state, std::size_t i, Duration time) {
        Node& node = state.nodes[i];
        node.clock += time;
        node.mix(static_cast<std::uint64_t>(time.count()));
        node.raft->tick(node.clock);
    }
    void restart(State& state, std::size_t i) const {
        Node& node = state.nodes[i];
        node.mix(0xdead);
        node.raft.emplace(Member(member(i, node.disk.self_id)), node.disk, options_, 7 + i);
        node.seen_newest = node.disk.last_entry;
        node.proposed.reset();
    }
    static Member member(std::size_t i, MemberId id) {
        Member member;
        member.id = id;
        member.address = "10.0.0." + std::to_string(i + 1) + ":7000";
        member.zone = "z";
        return member;
    }
    /// What only keeps a lease alive, or refuses a vote: left out (a message may always be lost), so that the
    /// search ends.
    static bool tells_nothing(const Node& to, const Message& message) {
        const PersistentState& held = to.raft->persistent_state();
        if (message.term > held.term) return false;
        if (message.kind == Message::Kind::AppendEntries)
            return !message.entry && message.last_position == held.last_entry.position &&
                   message.commit_position == held.committed_entry.position;
        if (message.kind == Message::Kind::AppendEntriesReply)
            return message.last_position == held.committed_entry.position;
        return message.kind == Message::Kind::RequestVoteReply && !message.granted;
    }
    /// As controller's turn().
    void settle(State& state, std::size_t i, Strike strike) const {
        Node& node = state.nodes[i];
        do {
            const PersistentState& held = node.raft->persistent_state();
            if (node.raft->role() == RaftNode::Role::Leader) {
                state.oracle.leads(held.self_id, held.term, held.last_entry);
                if (node.seen_newest.position != held.last_entry.position &&
                    !same_voters(node.seen_newest, held.last_entry))
                    state.oracle.changed_members(node.seen_newest, held.last_entry);
            }
            node.seen_newest = held.last_entry;
            const bool saves = node.raft->take_persist_request();
            if (saves && strike != Strike::Old) {
                node.disk = held;
                state.oracle.synced(node.disk);
                if (strike == Strike::None) node.raft->on_persisted(node.clock);
            }
            if (saves && strike != Strike::None) {
                node.mix(strike == Strike::Old ? 0x01d : 0x4e3);
                return restart(state, i);
            }
            for (Message& message : node.raft->take_messages()) {
                state.oracle.sent(message, node.disk);
                for (std::size_t k = 0; k < state.nodes.size(); ++k) {
                    const MemberId id = state.nodes[k].disk.self_id;
                    if (id != message.to && id != 1000 + message.to) continue;  // or what came after it
                    if (searching_ && tells_nothing(state.nodes[k], message)) continue;
                    state.flying.push_back({k, message, decision::Random(node.history + ++node.sent).next()});
                }
            }
            state.oracle.committed(held.committed_entry);
            if (node.proposed && !node.raft->may_still_commit(*node.proposed)) node.proposed.reset();
            if (node.proposed && node.raft->is_durable(*node.proposed)) {
                std::size_t copies = 0;
                for (const Node& other : state.nodes)
                    copies += other.disk.last_entry.value.find(node.token) != std::string::npos;
                state.oracle.acknowledged(node.token, copies, 2);
                node.proposed.reset();
            }
        } while (node.raft->has_output() && !state.oracle.broken);
    }
    /// All goes well for a while; every node has one clock.
    void calm(State& state, Duration time) const {
        for (Duration gone{}; gone < time && !state.oracle.broken; gone += kTick) {
            for (std::size_t i = 0; i < state.nodes.size(); ++i) {
                if (!state.nodes[i].up) continue;
                wait(state, i, kTick);
                for (std::size_t k = 0; k < state.nodes.size(); ++k)
                    if (k != i && state.nodes[k].up)
                        state.nodes[i].raft->add_known_member(state.nodes[i].clock,
                                                              member(k, state.nodes[k].disk.self_id));
                settle(state, i, Strike::None);
            }
            while (!state.flying.empty() && !state.oracle.broken) {
                const Flying flying = state.flying.front();
                state.flying.erase(state.flying.begin());
                Node& node = state.nodes[flying.to];
                if (!node.up) continue;
                node.mix(flying.key);
                node.raft->receive(node.clock, flying.message);
                settle(state, flying.to, Strike::None);
            }
        }
    }
    void prepare(Start start) {
        State& state = first_;
        state.nodes.resize(start == Start::ChangeOfMembers ? 4 : 3);
        LogEntry entry;
        for (std::size_t i = 0; i < 3; ++i) entry.voters.push_back(member(i, 101 + i));
        state.oracle.first_voters(entry);
        for (std::size_t i = 0; i < state.nodes.size(); ++i) {
            state.nodes[i].disk.self_id = 101 + i;
            if (i < 3) state.nodes[i].disk.last_entry = state.nodes[i].disk.committed_entry = entry;
            restart(state, i);
            state.nodes[i].raft->tick(state.nodes[i].clock);
        }
        state.left = {1, 0, 0, 0, 0, 0};
        if (start == Start::Rivals) {  // two won the vote before the vote, and stand
            for (const std::size_t i : {0, 1}) {
                wait(state, i, 1100ms);
                settle(state, i, Strike::None);
            }
            const auto asked = std::exchange(state.flying, {});
            for (const Flying& ask : asked) {
                if (ask.to != 2) continue;
                state.nodes[2].mix(ask.key);
                state.nodes[2].raft->receive(state.nodes[2].clock, ask.message);
            }
            settle(state, 2, Strike::None);
            const auto votes = std::exchange(state.flying, {});
            for (const Flying& vote : votes) {
                state.nodes[vote.to].mix(vote.key);
                state.nodes[vote.to].raft->receive(state.nodes[vote.to].clock, vote.message);
                settle(state, vote.to, Strike::None);
            }
            state.left = {0, 0, 0, 1, 0, 0};
        }
        if (start == Start::ChangeOfMembers) {
            calm(state, 3s);
            // One that doesn't lead ends for good; the state just before its place is given to another.
            std::size_t gone = 0;
            while (gone < 2 && state.nodes[gone].raft->role() == RaftNode::Role::Leader) ++gone;
            state.nodes[gone].up = false;
            const auto before = state.oracle.changes;
            for (State next = state; next.oracle.changes == before && !next.oracle.broken;) {
                state = next;
                calm(next, kTick);
            }
            state.left = {1, 1, 0, 0, 0, 0};
        }
        state.steps.clear();
        if (state.oracle.broken) found_ = state;
    }

    std::uint64_t most_;
    Counts& counts_;
    raft::RaftOptions options_;
    State first_;
    bool searching_ = false;
    std::set<std::uint64_t> seen_;
    std::optional<State> found_;
};

}  // namespace

const char* name_of(Invariant invariant) {
    static const char* const names[kInvariants] = {
        "one leader a term",
        "elected by a majority",
        "one vote a term",
        "persisted before sent",
        "no vote without membership",
        "committed is on a majority of disks",
        "committed is never lost",
        "a 200 has enough copies",
        "the acknowledged is readable",
        "the loser of a race is never in force",
        "a resent order is never refused",
        "no stale lease",
        "no stale touch",
        "no stale confirmation",
        "a change of members only on a committed entry",
        "old and new majorities meet",
        "a leaver gives its copy first",
        "progress in calm",
    };
    return names[static_cast<std::size_t>(invariant)];
}

std::string Counts::text() const {
    std::string text = "schedules " + std::to_string(schedules) + ", events " + std::to_string(events) +
                       ", messages " + std::to_string(messages) + ", terms led " + std::to_string(elections) +
                       ", changes of members " + std::to_string(changes_of_members) +
                       ", orders acknowledged " + std::to_string(acknowledged) + ", refused " +
                       std::to_string(refused) + ", unclear " + std::to_string(unclear) + ", reads " +
                       std::to_string(reads) + ", states " + std::to_string(states) + ", states met again " +
                       std::to_string(repeated) + "; faults:";
    for (const auto& [name, times] : faults) text += " " + name + " " + std::to_string(times) + ",";
    if (!faults.empty()) text.pop_back();
    return text;
}

std::optional<Violation> random_schedule(std::uint64_t seed, Counts& counts, const Options& options) {
    return World(seed, kShapes[seed % std::size(kShapes)], counts, options).run();
}

std::optional<Violation> exhaustive_search(Start start, std::uint64_t most_states, Counts& counts) {
    return Search(start, most_states, counts).run();
}

}  // namespace martenford::explorer
