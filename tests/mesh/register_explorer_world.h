// A simulated cluster of the explorer: machines with disks and clocks, links, operators and faults, in
// virtual time and from one seed.
#pragma once

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mesh/register_explorer.h"
#include "mesh/register_explorer_model.h"
#include "mesh/register_explorer_oracle.h"
#include "policy/mechanics.h"

namespace martenford::explorer {

/// What must be borne, and the machines that bear it.
struct Shape {
    const char* name;
    std::size_t machines, tolerated, zones;
    std::size_t tolerated_zones = 0;
    std::size_t uncounted = 0;  // of the machines, the last ones
};

class World {
  public:
    World(std::uint64_t seed, const Shape& shape, Counts& counts, const Options& options);

    std::optional<Violation> run();

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
    void after(Duration in, std::function<void()> what);
    void until(Duration in);
    Time local(const Machine& m) const { return now_ + m.clock; }
    Duration spread(Duration least, Duration most);
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
    std::size_t add_machine();
    Member member(std::size_t i) const;
    bool runs(std::size_t i) const;

    void start(std::size_t i);
    /// The process ends; what it wrote is in the machine's memory.
    void kill(std::size_t i);
    void power_off(std::size_t i, bool may_tear);
    void wipe_disk(std::size_t i);

    void tick(std::size_t i, std::uint64_t life);
    void hello(std::size_t i, std::uint64_t life);

    /// As controller's turn(): to disk first, then out, then to those who wait.
    void turn(std::size_t i);
    void save(std::size_t i);
    void saved(std::size_t i);
    /// What came while the process could not run.
    void work_off(std::size_t i);

    // -- links
    void carry(std::size_t from, std::size_t to, std::function<void()> what);
    bool is_cut(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }
    /// A cut link keeps some of what was sent, and brings it once it is joined.
    void hold(std::size_t from, std::size_t to, std::function<void()> what);
    void join(const std::set<std::pair<std::size_t, std::size_t>>& links);

    void send(std::size_t i);
    static std::uint64_t round_of(const Message& message);
    void deliver(std::size_t from, std::size_t to, Time sent, const Message& message);

    // -- what the oracle sees after each event
    void observe(std::size_t i);
    /// When the last question was sent that a majority of each set in force answered.
    Time contact(const Machine& m) const;
    void observe_lease(std::size_t i);

    // -- the config_service, in short: values are the tokens of all orders
    void settle(std::size_t i);
    void decide(std::size_t i, Call& call);
    void answer(std::size_t i, const Call& call, int status);

    // -- operators
    void operate(std::size_t k);
    void call(std::size_t k, bool reads, const std::string& token, const std::string& base,
              std::uint64_t number);
    void answered(const Call& call, int status);

    // -- faults
    bool may_lose_disks() const { return !stormy_ && now_ >= keep_disks_until_; }
    bool is_lost(std::size_t i) const { return machines_[i].lost_until > now_; }
    /// Whether it may be lost besides what is.
    bool may_lose(std::size_t i) const;
    void lose(std::size_t i, Duration time);
    void come_back(std::size_t i, Duration in);
    std::size_t pick();
    void count(const char* name, std::size_t i, Duration time);
    void fault();
    void freeze(std::size_t i, Duration time);
    void fault_of_all(bool loses);
    void thaw(std::size_t i);
    /// Another machine at another address takes its place; the old one may come back with its disk.
    void replace(std::size_t i, Duration time);
    void leave(std::size_t i, bool for_good, Duration time);
    void left(std::size_t i);
    void end(std::size_t i);
    void cut(std::size_t i, Duration time);
    void mend();

    void require_progress(const char* when);

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

}  // namespace martenford::explorer
