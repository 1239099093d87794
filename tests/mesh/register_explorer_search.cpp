// The exhaustive search: every order of delivery from a given start. Each node has a clock of its own, so
// that any timer may run out at any moment.
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "mesh/register_explorer.h"
#include "mesh/register_explorer_model.h"
#include "mesh/register_explorer_oracle.h"
#include "policy/mechanics.h"

namespace martenford::explorer {

namespace {

/// Depth-first search over the states of three or four nodes; a state that was visited is not expanded again.
class Search {
  public:
    Search(Start start, std::uint64_t max_states, Counts& counts) : max_states_(max_states), counts_(counts) {
        prepare(start);
    }

    std::optional<Violation> run() {
        searching_ = true;
        stack_.push_back(std::move(first_));
        visited_.insert(stack_.back().key());
        ++counts_.states;
        while (!stack_.empty() && !violating_state_) {
            const State state = std::move(stack_.back());
            stack_.pop_back();
            for (std::size_t k = 0; k < state.in_flight.size(); ++k) deliver(state, k);
            for (std::size_t i = 0; i < state.nodes.size(); ++i) expire_timers(state, i);
        }
        if (!violating_state_) return std::nullopt;
        return Violation{violating_state_->oracle.violation->first, 0,
                         violating_state_->oracle.violation->second, violating_state_->steps};
    }

  private:
    enum class PowerLoss {
        None,
        BeforeWrite,
        AfterWrite
    };  // in the save that follows; the write is lost or kept
    static std::string power_loss_text(PowerLoss power_loss) {
        return power_loss == PowerLoss::None          ? ""
               : power_loss == PowerLoss::BeforeWrite ? ", power lost before the write"
                                                      : ", power lost after the write";
    }
    struct Node {
        std::optional<RaftNode> raft;
        PersistentState disk;
        Time clock{1s};
        std::uint64_t history = 0;  // hash of its inputs, from which its state follows
        std::uint64_t sent = 0;
        bool is_running = true;
        LogEntry observed_entry;
        std::optional<LogPosition> proposed;
        std::string token;
        void mix_input(std::uint64_t input) {
            history = decision::Random(history ^ input * 0x9e3779b97f4a7c15u).next();
        }
    };
    struct InFlight {
        std::size_t to;
        Message message;
        std::uint64_t key;
    };
    struct Budget {
        int timeouts = 2, heartbeats = 0, proposals = 1, power_losses = 1, duplicates = 1, disk_losses = 0;
    };
    struct State {
        std::vector<Node> nodes;
        std::vector<InFlight> in_flight;
        Budget budget;
        Oracle oracle{{}};
        std::vector<std::string> steps;
        void record_step(std::string text) { steps.push_back(std::move(text)); }
        std::uint64_t key() const {
            std::uint64_t key = 0;
            for (const int left : {budget.disk_losses, budget.duplicates, budget.power_losses,
                                   budget.proposals, budget.heartbeats, budget.timeouts})
                key = 8 * key + static_cast<std::uint64_t>(left);
            for (const Node& node : nodes) key = decision::Random(key ^ node.history).next();
            std::uint64_t sum = 0;  // independent of their order
            for (const InFlight& one : in_flight) sum += decision::Random(one.key).next();
            return decision::Random(key ^ sum).next();
        }
    };

    /// Delivers message `k`: with each outcome of a loss of power in the save that follows, and twice.
    void deliver(const State& state, std::size_t k) {
        if (!state.nodes[state.in_flight[k].to].is_running) return;
        for (const PowerLoss power_loss : {PowerLoss::None, PowerLoss::BeforeWrite, PowerLoss::AfterWrite}) {
            if (power_loss != PowerLoss::None && state.budget.power_losses == 0) continue;
            try_step(state, [&](State& next) {
                const InFlight in_flight = next.in_flight[k];
                next.in_flight.erase(next.in_flight.begin() + static_cast<std::ptrdiff_t>(k));
                next.record_step("deliver to #" + std::to_string(in_flight.to) + ": " +
                                 text_of(in_flight.message) + power_loss_text(power_loss));
                next.budget.power_losses -= power_loss != PowerLoss::None;
                receive(next, in_flight);
                process_output(next, in_flight.to, power_loss);
            });
        }
        if (state.budget.duplicates == 0) return;
        try_step(state, [&](State& next) {
            const InFlight in_flight = next.in_flight[k];
            --next.budget.duplicates;
            next.record_step("deliver, and once more later, to #" + std::to_string(in_flight.to) + ": " +
                             text_of(in_flight.message));
            receive(next, in_flight);
            process_output(next, in_flight.to, PowerLoss::None);
        });
    }
    static void receive(State& state, const InFlight& in_flight) {
        Node& node = state.nodes[in_flight.to];
        node.mix_input(in_flight.key);
        node.raft->receive(node.clock, in_flight.message);
    }
    /// What node `i` may do next of itself: an election, a heartbeat, a proposal, or the loss of its disk.
    void expire_timers(const State& state, std::size_t i) {
        const Node& node = state.nodes[i];
        if (!node.is_running) return;
        const bool leads = node.raft->role() == RaftNode::Role::Leader;
        if (!leads && state.budget.timeouts > 0) time_out(state, i);
        if (leads && state.budget.heartbeats > 0)
            try_step(state, [&](State& next) {
                next.record_step("heartbeat of #" + std::to_string(i));
                --next.budget.heartbeats;
                advance_clock(next, i, 110ms);
                process_output(next, i, PowerLoss::None);
            });
        if (leads && state.budget.proposals > 0 && node.raft->has_leader_lease(node.clock))
            try_step(state, [&](State& next) { return propose(next, i); });
        if (state.budget.disk_losses > 0) try_step(state, [&](State& next) { lose_disk(next, i); });
    }
    void time_out(const State& state, std::size_t i) {
        for (const PowerLoss power_loss : {PowerLoss::None, PowerLoss::BeforeWrite, PowerLoss::AfterWrite}) {
            if (power_loss != PowerLoss::None && state.budget.power_losses == 0) continue;
            try_step(state, [&](State& next) {
                next.record_step("timeout of #" + std::to_string(i) + power_loss_text(power_loss));
                --next.budget.timeouts;
                next.budget.power_losses -= power_loss != PowerLoss::None;
                advance_clock(next, i, 1100ms);
                process_output(next, i, power_loss);
            });
        }
    }
    bool propose(State& next, std::size_t i) const {
        Node& leader = next.nodes[i];
        const std::string token =
            std::string(1, static_cast<char>('A' + i)) + std::to_string(next.budget.proposals) + ";";
        const auto position =
            leader.raft->propose(leader.clock, leader.raft->persistent_state().committed_entry.value + token);
        if (!position) return false;
        next.record_step("#" + std::to_string(i) + " proposes " + token);
        --next.budget.proposals;
        leader.mix_input(0x07de5);
        leader.proposed = *position;
        leader.token = token;
        process_output(next, i, PowerLoss::None);
        return true;
    }
    void lose_disk(State& next, std::size_t i) const {
        next.record_step("#" + std::to_string(i) + " loses its disk");
        --next.budget.disk_losses;
        Node& node = next.nodes[i];
        next.oracle.mark_dead(node.disk.self_id);
        const MemberId before = node.disk.self_id;
        node.disk = {};
        node.disk.self_id = before + 1000;
        restart(next, i);
    }

    /// Goes from a state to the one after `act`, unless that was visited, or `act` returns false.
    template <class Act>
    void try_step(const State& from, const Act& act) {
        if (violating_state_ || counts_.states >= max_states_) return;
        State next = from;
        if constexpr (std::is_same_v<decltype(act(next)), bool>) {
            if (!act(next)) return;
        } else {
            act(next);
        }
        ++counts_.events;
        if (next.oracle.violation) {
            violating_state_ = std::move(next);
            return;
        }
        if (!visited_.insert(next.key()).second) {
            ++counts_.revisited;
            return;
        }
        ++counts_.states;
        stack_.push_back(std::move(next));
    }
    static void advance_clock(State& state, std::size_t i, Duration time) {
        Node& node = state.nodes[i];
        node.clock += time;
        node.mix_input(static_cast<std::uint64_t>(time.count()));
        node.raft->tick(node.clock);
    }
    void restart(State& state, std::size_t i) const {
        Node& node = state.nodes[i];
        node.mix_input(0xdead);
        node.raft.emplace(member(i, node.disk.self_id), node.disk, options_, 7 + i);
        node.observed_entry = node.disk.last_entry;
        node.proposed.reset();
    }
    static Member member(std::size_t i, MemberId id) {
        Member member;
        member.id = id;
        member.address = "10.0.0." + std::to_string(i + 1) + ":7000";
        member.zone = "z";
        return member;
    }
    /// Returns whether the message only extends a lease or refuses a vote. Those are left out, as if lost, so
    /// that the search ends.
    static bool is_redundant(const Node& to, const Message& message) {
        const PersistentState& persistent = to.raft->persistent_state();
        if (message.term > persistent.term) return false;
        if (message.kind == Message::Kind::AppendEntries)
            return !message.entry && message.last_position == persistent.last_entry.position &&
                   message.commit_position == persistent.committed_entry.position;
        if (message.kind == Message::Kind::AppendEntriesReply)
            return message.last_position == persistent.committed_entry.position;
        return message.kind == Message::Kind::RequestVoteReply && !message.granted;
    }
    static void observe(State& state, Node& node) {
        const PersistentState& persistent = node.raft->persistent_state();
        if (node.raft->role() == RaftNode::Role::Leader) {
            state.oracle.on_leader(persistent.self_id, persistent.term, persistent.last_entry);
            if (node.observed_entry.position != persistent.last_entry.position &&
                !same_voters(node.observed_entry, persistent.last_entry))
                state.oracle.on_configuration_change(node.observed_entry, persistent.last_entry);
        }
        node.observed_entry = persistent.last_entry;
    }
    void send(State& state, Node& node) const {
        for (const Message& message : node.raft->take_messages()) {
            state.oracle.on_sent(message, node.disk);
            for (std::size_t k = 0; k < state.nodes.size(); ++k) {
                const MemberId id = state.nodes[k].disk.self_id;
                if (id != message.to && id != 1000 + message.to) continue;  // or the id that replaced it
                if (searching_ && is_redundant(state.nodes[k], message)) continue;
                state.in_flight.push_back({k, message, decision::Random(node.history + ++node.sent).next()});
            }
        }
    }
    static void acknowledge(State& state, Node& node) {
        if (node.proposed && !node.raft->may_still_commit(*node.proposed)) node.proposed.reset();
        if (!node.proposed || !node.raft->is_durable(*node.proposed)) return;
        std::size_t copies = 0;
        for (const Node& other : state.nodes)
            copies += other.disk.last_entry.value.find(node.token) != std::string::npos;
        state.oracle.on_acknowledged(node.token, copies, 2);
        node.proposed.reset();
    }
    /// In the order of the controller's: persists, sends, answers callers.
    void process_output(State& state, std::size_t i, PowerLoss power_loss) const {
        Node& node = state.nodes[i];
        do {
            const PersistentState& persistent = node.raft->persistent_state();
            observe(state, node);
            const bool saves = node.raft->take_persist_request();
            if (saves && power_loss != PowerLoss::BeforeWrite) {
                node.disk = persistent;
                state.oracle.on_synced(node.disk);
                if (power_loss == PowerLoss::None) node.raft->on_persisted(node.clock);
            }
            if (saves && power_loss != PowerLoss::None) {
                node.mix_input(power_loss == PowerLoss::BeforeWrite ? 0x01d : 0x4e3);
                return restart(state, i);
            }
            send(state, node);
            state.oracle.on_committed(persistent.committed_entry);
            acknowledge(state, node);
        } while (node.raft->has_output() && !state.oracle.violation);
    }
    /// Runs all nodes with one clock and every message delivered in order.
    void run_without_faults(State& state, Duration time) const {
        for (Duration elapsed{}; elapsed < time && !state.oracle.violation; elapsed += kTickInterval) {
            for (std::size_t i = 0; i < state.nodes.size(); ++i) {
                if (!state.nodes[i].is_running) continue;
                advance_clock(state, i, kTickInterval);
                for (std::size_t k = 0; k < state.nodes.size(); ++k)
                    if (k != i && state.nodes[k].is_running)
                        state.nodes[i].raft->add_known_member(state.nodes[i].clock,
                                                              member(k, state.nodes[k].disk.self_id));
                process_output(state, i, PowerLoss::None);
            }
            while (!state.in_flight.empty() && !state.oracle.violation) {
                const InFlight in_flight = state.in_flight.front();
                state.in_flight.erase(state.in_flight.begin());
                if (!state.nodes[in_flight.to].is_running) continue;
                receive(state, in_flight);
                process_output(state, in_flight.to, PowerLoss::None);
            }
        }
    }
    void prepare(Start start) {
        State& state = first_;
        state.nodes.resize(start == Start::MembershipChange ? 4 : 3);
        LogEntry entry;
        for (std::size_t i = 0; i < 3; ++i) entry.voters.push_back(member(i, 101 + i));
        state.oracle.set_initial_voters(entry);
        for (std::size_t i = 0; i < state.nodes.size(); ++i) {
            state.nodes[i].disk.self_id = 101 + i;
            if (i < 3) state.nodes[i].disk.last_entry = state.nodes[i].disk.committed_entry = entry;
            restart(state, i);
            state.nodes[i].raft->tick(state.nodes[i].clock);
        }
        state.budget = {1, 0, 0, 0, 0, 0};
        if (start == Start::SplitVote) {  // two candidates won the pre-vote and request votes
            for (const std::size_t i : {0, 1}) {
                advance_clock(state, i, 1100ms);
                process_output(state, i, PowerLoss::None);
            }
            const auto asked = std::exchange(state.in_flight, {});
            for (const InFlight& ask : asked) {
                if (ask.to != 2) continue;
                receive(state, ask);
            }
            process_output(state, 2, PowerLoss::None);
            const auto votes = std::exchange(state.in_flight, {});
            for (const InFlight& vote : votes) {
                receive(state, vote);
                process_output(state, vote.to, PowerLoss::None);
            }
            state.budget = {0, 0, 0, 1, 0, 0};
        }
        if (start == Start::MembershipChange) {
            run_without_faults(state, 3s);
            // A follower ends for good. The search starts just before the leader replaces it.
            std::size_t stopped = 0;
            while (stopped < 2 && state.nodes[stopped].raft->role() == RaftNode::Role::Leader) ++stopped;
            state.nodes[stopped].is_running = false;
            const auto before = state.oracle.configuration_changes;
            for (State next = state; next.oracle.configuration_changes == before && !next.oracle.violation;) {
                state = next;
                run_without_faults(next, kTickInterval);
            }
            state.budget = {1, 1, 0, 0, 0, 0};
        }
        state.steps.clear();
        if (state.oracle.violation) violating_state_ = state;
    }

    std::uint64_t max_states_;
    Counts& counts_;
    raft::RaftOptions options_;
    State first_;
    bool searching_ = false;
    std::vector<State> stack_;
    std::set<std::uint64_t> visited_;
    std::optional<State> violating_state_;
};

}  // namespace

std::optional<Violation> exhaustive_search(Start start, std::uint64_t max_states, Counts& counts) {
    return Search(start, max_states, counts).run();
}

}  // namespace martenford::explorer
