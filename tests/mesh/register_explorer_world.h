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

/// A cluster, and the failures that it is to tolerate.
struct Shape {
    const char* name;
    std::size_t machines, tolerated, zones;
    std::size_t tolerated_zones = 0;
    std::size_t uncounted = 0;  // machines whose loss is not counted (Member::loss_counted): the last ones
};

/// One random schedule. All that happens follows from the seed, so a violation is repeated by its seed.
class World {
  public:
    World(std::uint64_t seed, const Shape& shape, Counts& counts, const Options& options);

    /// Runs 8 s without faults, 20 s with faults and 12 s after all of them ended. Returns the first
    /// violation.
    std::optional<Violation> run();

  private:
    /// What ends the process in the midst of a save.
    enum class SaveFault { None, Kill, PowerLoss };
    /// An operator's call at a machine: a read, or an order that adds `token` to a value that ends with
    /// `base`.
    struct Call {
        std::size_t operator_number = 0;
        std::uint64_t number = 0;  // of the attempt
        bool reads = false;
        std::string token, base;
        Time deadline{};
        std::size_t acknowledged_before = 0;
        std::optional<LogPosition> proposed;
        std::optional<std::uint64_t> read_index;
        Time read_index_requested_at{};
        int confirmed_status = 0;  // HTTP status to answer once the read index is confirmed
        std::string value;
    };
    /// A machine; it has a process where `raft` is set.
    struct Machine {
        std::string address, zone;
        bool loss_counted = true;
        std::unique_ptr<RaftNode> raft;
        bool began_empty = true;  // its disk held nothing when its state was made
        std::uint64_t incarnation = 0;
        Duration clock{};        // offset of its steady clock from now_, another in each incarnation
        PersistentState synced;  // survives a loss of power
        std::optional<PersistentState> cached;  // written, not synced: survives the end of the process only
        std::optional<PersistentState> saving;  // being written
        bool suspends_in_election = false;      // is suspended as soon as it has requested votes
        bool must_save = false, suspended = false, removed = false, disk_fails = false, leaving = false;
        Duration save_delay{};
        SaveFault save_fault = SaveFault::None;  // of its next save
        Time retry_save_at{};
        std::deque<std::function<void()>> inbox;
        std::deque<Call> calls;
        Time failed_until{};
        // What the oracle's checks need of this incarnation:
        LogEntry observed_entry;
        LogPosition observed_commit;
        Time last_append_sent_at{-1h};  // send time of the latest AppendEntries that arrived
        std::map<std::pair<Term, std::uint64_t>, std::map<MemberId, Time>> requested_at;
        std::map<MemberId, Time> acknowledged_at;  // send times of the requests, by who answered
        Term acknowledged_term = 0, quorum_contact_term = 0;
        Time quorum_contact_at{};  // send time of the latest requests that a quorum answered
    };
    /// An operator: sends one order or read at a time, and again without an answer, to any machine.
    struct Operator {
        std::string token, base, known;
        bool reading = false;
        std::uint64_t number = 0;
        std::size_t made = 0;
        std::vector<std::string> acknowledged_tokens;  // sent again at times, with their bases
        std::vector<std::string> acknowledged_bases;
    };

    // -- time (register_explorer_world.cpp)
    void schedule_after(Duration in, std::function<void()> what);
    /// Runs the events of the next `in`, up to a violation.
    void run_for(Duration in);
    Time local(const Machine& m) const { return now_ + m.clock; }
    Duration random_duration(Duration least, Duration most);
    template <class... Parts>
    void record_step(const Parts&... parts) {
        std::string text;
        ((text += parts), ...);
        char time[32];
        std::snprintf(time, sizeof time, "%10.4f ",
                      std::chrono::duration<double>(now_.time_since_epoch()).count());
        steps_.push_back(time + text);
        if (steps_.size() > kMaxSteps) steps_.pop_front();
        if (options_.trace) std::puts(steps_.back().c_str());
    }
    static std::string machine_name(std::size_t i) { return "#" + std::to_string(i); }

    // -- machines
    /// Returns its index.
    std::size_t add_machine();
    Member member(std::size_t i) const;
    /// Returns whether the process is there, not suspended and not in the midst of a save.
    bool is_running(std::size_t i) const;

    void start(std::size_t i);
    /// Ends the process; what it wrote may be in the machine's memory.
    void kill(std::size_t i);
    /// Ends the process; a write that was not synced is kept, lost, or torn, which loses the disk.
    void power_off(std::size_t i, bool may_tear);
    /// The machine returns under another member id.
    void lose_disk(std::size_t i);

    void tick(std::size_t i, std::uint64_t incarnation);
    void announce(std::size_t i, std::uint64_t incarnation);

    /// In the order of the controller's: persists, sends, answers callers.
    void process_output(std::size_t i);
    void save(std::size_t i);
    void on_saved(std::size_t i);
    /// Handles what arrived while the process could not run.
    void process_inbox(std::size_t i);

    // -- links (register_explorer_world_links.cpp)
    /// Runs `what` at machine `to` once it arrives: perhaps late, twice, or never.
    void transmit(std::size_t from, std::size_t to, const std::function<void()>& what);
    bool is_cut(std::size_t from, std::size_t to) const { return cut_links_.contains({from, to}); }
    /// A cut link keeps some messages and delivers them once it is reconnected.
    void retain(std::size_t from, std::size_t to, std::function<void()> what);
    void reconnect(const std::set<std::pair<std::size_t, std::size_t>>& links);

    void send(std::size_t i);
    static std::uint64_t round_of(const Message& message);
    void deliver(std::size_t from, std::size_t to, Time sent, const Message& message);

    // -- what the oracle sees after each event
    void observe(std::size_t i);
    /// Send time of the latest requests that a majority of each configuration in force answered.
    Time quorum_contact_at(const Machine& m) const;
    void observe_lease(std::size_t i);

    // -- a model of config_service: the value is the tokens of all orders
    // (register_explorer_world_operators.cpp)
    void process_calls(std::size_t i);
    /// HTTP status of a call whose proposal or read index has an outcome; nothing otherwise.
    std::optional<int> status_of(std::size_t i, Call& call);
    void decide(std::size_t i, Call& call);
    void answer(std::size_t i, const Call& call, int status);

    // -- operators
    void run_operator(std::size_t k);
    void send_call(std::size_t k, bool reads, const std::string& token, const std::string& base,
                   std::uint64_t number);
    void on_answer(const Call& call, int status);

    // -- faults (register_explorer_world_faults.cpp)
    bool may_lose_disks() const { return !keeps_all_disks_ && now_ >= keep_disks_until_; }
    bool is_failed(std::size_t i) const { return machines_[i].failed_until > now_; }
    /// Returns whether its failure, with the present ones, is one that the cluster is to tolerate.
    bool may_fail(std::size_t i) const;
    /// Counts it as failed for `time` and the time to catch up.
    void mark_failed(std::size_t i, Duration time);
    void restart_after(std::size_t i, Duration in);
    std::size_t pick_machine();
    void count_fault(const char* name, std::size_t i, Duration time);
    /// In one schedule of seven, for a cluster of several first voters: all but one of them are lost before
    /// they have saved anything, or one of them is cut off from the start.
    void disturb_first_start(const LogEntry& first);
    void cut_off(std::size_t i, Duration time);
    void inject_fault();
    void inject_leave(std::size_t i, bool loses, Duration time);
    void slow_down_disk(std::size_t i, Duration time);
    void fail_disk(std::size_t i, Duration time);
    void lose_messages(std::size_t i, Duration time);
    void suspend(std::size_t i, Duration time);
    void inject_fault_of_all(bool loses);
    void resume(std::size_t i);
    /// Adds a machine at another address to replace it; the old one may return with its disk for a while.
    void replace(std::size_t i, Duration time);
    void leave(std::size_t i, bool for_good, Duration time);
    /// has_left() holds: checks what it left behind, and ends it.
    void on_left(std::size_t i);
    void finish_leaving(std::size_t i);
    void partition(std::size_t i, Duration time);
    void heal();

    /// Requires one leader, and a configuration of enough voters that all run.
    void require_progress(const char* when);

    struct Event {
        Time at;
        std::uint64_t sequence;
        std::function<void()> what;
        bool operator<(const Event& other) const {
            return std::pair{at, sequence} > std::pair{other.at, other.sequence};
        }
    };
    struct RetainedMessage {
        std::size_t from, to;
        std::function<void()> what;
    };

    std::uint64_t seed_;
    const Shape& shape_;
    Counts& counts_;
    Options options_;
    raft::RaftOptions raft_options_;
    decision::Random random_;
    Oracle oracle_;
    std::map<MemberId, std::size_t> machine_of_;
    std::deque<Machine> machines_;  // a deque: references stay valid while it grows
    std::vector<Operator> operators_{2};
    Time now_{1s};
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0, identities_ = 0;
    bool keeps_all_disks_ = seed_ % 3 == 2;  // no disk is lost; then any number of other faults at once
    Time keep_disks_until_{};
    double message_loss_ = 0.02;
    bool faults_ended_ = false;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::vector<RetainedMessage> retained_;
    std::map<std::size_t, std::pair<bool, Duration>> leaving_;
    std::deque<std::string> steps_;
};

}  // namespace martenford::explorer
