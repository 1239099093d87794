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

std::optional<Violation> exhaustive_search(Start start, std::uint64_t most_states, Counts& counts) {
    return Search(start, most_states, counts).run();
}

}  // namespace martenford::explorer
