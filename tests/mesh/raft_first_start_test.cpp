// Recovery of a first start that failed: first voters that were lost before they had voted are replaced by
// new members at their addresses, and only then.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "raft/raft_node.h"

using namespace martenford;
using namespace martenford::raft;

namespace {

constexpr std::size_t kMachines = 3;

std::string address(std::size_t machine) {
    return "10.0.0." + std::to_string(machine) + ":7000";
}

/// Three machines at their first start. Each process has an id of its own: a first voter's is its machine's
/// number, that of a new member has 100 added. Messages arrive at once; all machines hear all others.
class FirstStart {
  public:
    explicit FirstStart(const FaultTolerance& tolerance = {}) {
        options_.fault_tolerance = tolerance;
        for (MemberId id = 1; id <= kMachines; ++id) first_voters_.push_back({id, address(id)});
    }
    /// With the state that the first boot gives.
    void start_first_voter(std::size_t machine) {
        PersistentState state;
        state.self_id = machine;
        state.last_entry.voters = first_voters_;
        state.committed_entry = state.last_entry;
        start(machine, state, MemberHistory::None);
    }
    /// After its disk was found empty, or damaged.
    void start_new_member(std::size_t machine, MemberHistory history) {
        PersistentState state;
        state.self_id = 100 + machine;
        start(machine, state, history);
    }
    void start(std::size_t machine, const PersistentState& state, MemberHistory history) {
        Process& process = processes_[machine];
        process.self = {state.self_id, address(machine), zones_[machine], "r"};
        process.history = history;
        process.raft = std::make_unique<RaftNode>(process.self, state, options_, machine * 7);
    }
    void end(std::size_t machine) { processes_.erase(machine); }
    void set_zone(std::size_t machine, const std::string& zone) { zones_[machine] = zone; }

    void run_for(Duration duration) {
        for (const Time until = now_ + duration; now_ < until; now_ += 10ms) {
            announce();
            for (auto& [machine, process] : processes_) process.raft->tick(now_);
            deliver();
        }
    }
    [[nodiscard]] bool has_leader() const {
        for (const auto& [machine, process] : processes_) {
            if (process.raft->has_leader_lease(now_)) return true;
        }
        return false;
    }
    [[nodiscard]] RaftNode& at(std::size_t machine) { return *processes_.at(machine).raft; }
    [[nodiscard]] std::set<MemberId> voters_of(std::size_t machine) {
        std::set<MemberId> ids;
        for (const Member& voter : at(machine).persistent_state().last_entry.voters) ids.insert(voter.id);
        return ids;
    }

  private:
    struct Process {
        Member self;
        MemberHistory history = MemberHistory::None;
        std::unique_ptr<RaftNode> raft;
    };
    void announce() {
        for (auto& [machine, process] : processes_) {
            const bool has_none = process.history == MemberHistory::None && process.raft->has_no_history();
            for (auto& [other, to] : processes_) {
                if (other == machine) continue;
                to.raft->add_known_member(now_, process.self,
                                          has_none ? MemberHistory::None : MemberHistory::Unknown);
            }
        }
    }
    void deliver() {
        for (bool more = true; more;) {
            more = false;
            for (auto& [machine, process] : processes_) {
                while (process.raft->take_persist_request()) process.raft->on_persisted(now_);
                for (const Message& message : process.raft->take_messages()) {
                    for (auto& [other, to] : processes_) {
                        if (to.self.id != message.to) continue;
                        to.raft->receive(now_, message);
                        more = true;
                    }
                }
            }
        }
    }

    RaftOptions options_;
    std::vector<Member> first_voters_;
    std::map<std::size_t, Process> processes_;
    std::map<std::size_t, std::string> zones_;
    Time now_{1s};
};

}  // namespace

// Guards against a system that never starts: two of three first voters ended before they had saved anything.
TEST_CASE("first start: new members on empty disks take the places of first voters that were lost") {
    FirstStart system;
    system.start_first_voter(1);
    system.start_new_member(2, MemberHistory::None);
    system.start_new_member(3, MemberHistory::None);
    system.run_for(5s);
    CHECK(system.has_leader());
    for (std::size_t machine = 1; machine <= kMachines; ++machine)
        CHECK(system.voters_of(machine) == std::set<MemberId>{1, 102, 103});
}

TEST_CASE("first start: a place is taken only after the statement has held for a while") {
    FirstStart system;
    system.start_first_voter(1);
    system.start_new_member(2, MemberHistory::None);
    system.start_new_member(3, MemberHistory::None);
    system.run_for(RaftOptions{}.first_start_repair_delay - 100ms);
    CHECK(system.voters_of(1) == std::set<MemberId>{1, 2, 3});
    system.run_for(200ms);
    CHECK(system.voters_of(1) == std::set<MemberId>{1, 102, 103});
}

TEST_CASE("first start: a member that does not state that its disk was empty takes no place") {
    FirstStart system;
    system.start_first_voter(1);
    system.start_new_member(2, MemberHistory::None);
    system.start_new_member(3, MemberHistory::Unknown);
    system.run_for(10s);
    CHECK_FALSE(system.has_leader());
    CHECK(system.voters_of(1) == std::set<MemberId>{1, 2, 3});
}

TEST_CASE("first start: nothing is replaced while a first voter is not heard of") {
    FirstStart system;
    system.start_first_voter(1);
    system.start_new_member(2, MemberHistory::None);
    system.run_for(10s);
    CHECK(system.voters_of(1) == std::set<MemberId>{1, 2, 3});
    system.start_first_voter(3);
    system.run_for(5s);
    CHECK(system.has_leader());
    CHECK(system.voters_of(1).contains(1));
    CHECK(system.voters_of(1).contains(3));
}

// Guards against two registers: the first voters that committed an entry lost their disks within the failures
// to survive, and the one that saw nothing of it returns.
TEST_CASE("first start: a first voter that has voted, or seen an entry, replaces nobody") {
    for (const bool has_voted : {true, false}) {
        CAPTURE(has_voted);
        FirstStart system;
        PersistentState state;
        state.self_id = 1;
        for (MemberId id = 1; id <= kMachines; ++id) state.last_entry.voters.push_back({id, address(id)});
        state.committed_entry = state.last_entry;
        if (has_voted) state.term = 1;
        if (!has_voted) state.last_entry.position = {0, 1};
        system.start(1, state, MemberHistory::None);
        system.start_new_member(2, MemberHistory::None);
        system.start_new_member(3, MemberHistory::None);
        system.run_for(10s);
        CHECK(system.voters_of(1) == std::set<MemberId>{1, 2, 3});
    }
}

TEST_CASE("first start: nothing is replaced while a member with history is heard") {
    FirstStart system;
    system.start_first_voter(1);
    system.start_new_member(2, MemberHistory::None);
    system.start_new_member(3, MemberHistory::None);
    PersistentState elsewhere;
    elsewhere.self_id = 104;
    elsewhere.term = 3;
    elsewhere.last_entry.position = {3, 9};
    system.start(4, elsewhere, MemberHistory::None);
    system.run_for(10s);
    CHECK(system.voters_of(1) == std::set<MemberId>{1, 2, 3});
    CHECK_FALSE(system.has_leader());
}

TEST_CASE("first start: nothing is replaced where the failures to survive may have taken all first voters") {
    for (const bool in_one_zone : {true, false}) {
        CAPTURE(in_one_zone);
        FirstStart system(FaultTolerance{.machines = 1, .zones = 1, .regions = 0});
        system.set_zone(1, "a");
        system.set_zone(2, "b");
        system.set_zone(3, in_one_zone ? "b" : "c");
        system.start_first_voter(1);
        system.start_new_member(2, MemberHistory::None);
        system.start_new_member(3, MemberHistory::None);
        system.run_for(5s);
        CHECK(system.has_leader() == !in_one_zone);
    }
}

TEST_CASE("may_all_fail: failures of all kinds together") {
    const std::vector<Member> members{{1, "1", "a", "x"}, {2, "2", "a", "x"}, {3, "3", "b", "y"}};
    CHECK_FALSE(may_all_fail(members, {2, 0, 0}));
    CHECK(may_all_fail(members, {3, 0, 0}));
    CHECK(may_all_fail(members, {1, 1, 0}));
    CHECK_FALSE(may_all_fail(members, {0, 1, 0}));
    CHECK(may_all_fail(members, {0, 1, 1}));
    CHECK(may_all_fail(members, {0, 0, 2}));
    std::vector<Member> uncounted = members;
    uncounted[0].loss_counted = uncounted[1].loss_counted = false;
    CHECK(may_all_fail(uncounted, {1, 0, 0}));
}
