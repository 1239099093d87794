// Who votes, what a 200 waits for, and how old a contact is: the register's answers to the worst days.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "quota/quota.h"
#include "raft/raft_node.h"

using namespace martenford;
using namespace martenford::raft;

namespace {

Member member(MemberId id, const std::string& zone, const std::string& region = "r") {
    return {id, "10.0.0." + std::to_string(id) + ":7000", zone, region};
}
VoterCandidate voting(MemberId id, const std::string& zone, bool live = true) {
    return {member(id, zone), true, live};
}
VoterCandidate fresh(MemberId id, const std::string& zone, const std::string& region = "r") {
    return {member(id, zone, region), false, true};
}
std::set<MemberId> chosen(const std::vector<VoterCandidate>& candidates, const FaultTolerance& tolerance) {
    std::set<MemberId> ids;
    for (const Member& m : choose_voters(candidates, tolerance)) ids.insert(m.id);
    return ids;
}

/// Registers that hear each other at once, but for those that are silenced, held up or frozen.
class Core {
  public:
    Core(std::size_t machines, std::size_t seeds, const FaultTolerance& tolerance) {
        options_.fault_tolerance = tolerance;
        std::vector<Member> first;
        for (MemberId id = 1; id <= seeds; ++id) first.push_back({id, member(id, "").address});
        for (MemberId id = 1; id <= machines; ++id) {
            PersistentState disk;
            disk.self_id = id;
            if (id <= seeds) disk.last_entry.voters = disk.committed_entry.voters = first;
            start(disk, "z" + std::to_string(id));
        }
    }
    void start(const PersistentState& disk, const std::string& zone) {
        Machine& machine = machines_[disk.self_id];
        machine.raft =
            std::make_unique<RaftNode>(member(disk.self_id, zone), disk, options_, disk.self_id * 7);
    }
    RaftNode& at(MemberId id) { return *machines_.at(id).raft; }
    void end(MemberId id) { machines_.erase(id); }
    void cut(MemberId id, bool is) { machines_.at(id).cut = is; }
    /// Its process stands still: what comes waits, and it hears all of it as it wakes.
    void freeze(MemberId id) { machines_.at(id).frozen = true; }
    void wake(MemberId id) {
        Machine& machine = machines_.at(id);
        machine.frozen = false;
        for (const Message& message : std::exchange(machine.waiting, {}))
            machine.raft->receive(now_, message);
        persist(machine);
    }
    void run(Duration time) {
        for (const Time until = now_ + time; now_ < until; now_ += 10ms) {
            for (auto& [id, machine] : machines_) {
                if (machine.frozen) continue;
                for (auto& [other, to] : machines_) {
                    if (other != id && !to.cut && !machine.cut && !to.frozen)
                        to.raft->add_known_member(now_, member(id, "z" + std::to_string(id)));
                }
                machine.raft->tick(now_);
            }
            deliver();
        }
    }
    std::optional<MemberId> leader() {
        for (auto& [id, machine] : machines_) {
            if (!machine.frozen && machine.raft->has_leader_lease(now_)) return id;
        }
        return std::nullopt;
    }
    std::set<MemberId> voters(MemberId id) {
        std::set<MemberId> ids;
        for (const Member& m : at(id).persistent_state().last_entry.voters) ids.insert(m.id);
        return ids;
    }
    Time now() const { return now_; }

  private:
    struct Machine {
        std::unique_ptr<RaftNode> raft;
        bool cut = false, frozen = false;
        std::vector<Message> waiting;
    };
    void persist(Machine& machine) {
        while (machine.raft->take_persist_request()) machine.raft->on_persisted(now_);
    }
    void deliver() {
        for (bool more = true; more;) {
            more = false;
            for (auto& [id, machine] : machines_) {
                if (machine.frozen) continue;
                persist(machine);
                for (Message& message : machine.raft->take_messages()) {
                    const auto to = machines_.find(message.to);
                    if (to == machines_.end() || to->second.cut || machine.cut) continue;
                    if (to->second.frozen) {
                        to->second.waiting.push_back(message);
                        continue;
                    }
                    to->second.raft->receive(now_, message);
                    more = true;
                }
            }
        }
    }
    RaftOptions options_;
    std::map<MemberId, Machine> machines_;
    Time now_{1s};
};

}  // namespace

TEST_CASE("voters: as many as the losses that must be borne ask for, spread, and no more") {
    using Ids = std::set<MemberId>;
    const std::vector<VoterCandidate> five{voting(1, "a"), voting(2, "b"), voting(3, "c"), fresh(4, "a"),
                                           fresh(5, "b")};
    CHECK(chosen(five, {1, 0, 0}) == Ids{1, 2, 3});
    CHECK(chosen(five, {2, 0, 0}) == Ids{1, 2, 3, 4, 5});
    CHECK(chosen(five, {2, 1, 0}) == Ids{1, 2, 3, 4, 5});
    CHECK(chosen(five, {0, 1, 0}) == Ids{1, 2, 3});
    // Two in one zone can't bear its loss; a third zone can.
    CHECK(chosen({voting(1, "a"), voting(2, "a"), voting(3, "b"), fresh(4, "c")}, {1, 1, 0}).contains(4));
    // Fewer machines than places: all that there are.
    CHECK(chosen({voting(1, "a"), voting(2, "b"), voting(3, "c")}, {2, 0, 0}) == Ids{1, 2, 3});
    CHECK(chosen({voting(1, "a"), voting(2, "b")}, {1, 0, 0}) == Ids{1, 2});
    // A silent voter goes for a live machine, and for nobody else: its disk may come back.
    CHECK(chosen({voting(1, "a"), voting(2, "b"), voting(3, "c", false), fresh(4, "c")}, {1, 0, 0}) ==
          Ids{1, 2, 4});
    CHECK(chosen({voting(1, "a"), voting(2, "b"), voting(3, "c", false)}, {1, 0, 0}) == Ids{1, 2, 3});
    // One whose loss isn't counted never votes beside those whose loss is.
    auto uncounted = voting(1, "a");
    uncounted.member.loss_counted = false;
    CHECK(chosen({uncounted, voting(2, "b"), voting(3, "c"), fresh(4, "a")}, {1, 0, 0}) == Ids{2, 3, 4});
    // Three regions bear the loss of one only where no majority lies in it.
    CHECK(tolerates_failures(choose_voters({fresh(1, "a", "x"), fresh(2, "b", "x"), fresh(3, "c", "x"),
                                            fresh(4, "d", "y"), fresh(5, "e", "z")},
                                           {1, 0, 1}),
                             {1, 0, 1}));
}

TEST_CASE("copies: enough where no loss that the voters outlive takes all of them") {
    const std::vector<Member> voters{member(1, "a"), member(2, "a"), member(3, "b")};
    CHECK_FALSE(replicas_survive_failures({voters[0]}, voters, {1, 0, 0}));
    CHECK(replicas_survive_failures({voters[0], voters[1]}, voters, {1, 0, 0}));
    CHECK_FALSE(replicas_survive_failures({voters[0], voters[1]}, voters, {1, 1, 0}));
    CHECK(replicas_survive_failures({voters[0], voters[2]}, voters, {1, 1, 0}));
    CHECK_FALSE(replicas_survive_failures({voters[0], voters[2]}, voters, {2, 0, 0}));
    CHECK(replicas_survive_failures({voters[0]}, {voters[0]},
                                    {1, 0, 0}));  // no copy can outlive the loss of all
}

TEST_CASE("five machines of which two may go: the three seeds take in the others before anything is taken") {
    Core core(5, 3, {2, 0, 0});
    core.run(400ms);
    bool early = false;
    for (int i = 0; i < 200 && !core.leader(); ++i) core.run(10ms);
    REQUIRE(core.leader());
    if (core.voters(*core.leader()).size() < 5)
        early = core.at(*core.leader()).propose(core.now(), "x").has_value();
    CHECK_FALSE(early);
    core.run(1s);
    const MemberId leader = *core.leader();
    CHECK(core.voters(leader).size() == 5);
    // Two go at once, the leader among them: the rest goes on with what was taken.
    const auto stamp = core.at(leader).propose(core.now(), "taken");
    REQUIRE(stamp);
    core.run(100ms);
    CHECK(core.at(leader).is_durable(*stamp));
    core.end(leader);
    core.end(leader % 5 + 1);
    core.run(3s);
    REQUIRE(core.leader());
    CHECK(core.at(*core.leader()).persistent_state().committed_entry.value == "taken");
}

TEST_CASE("a 200 waits for copies that outlive what may be lost, also where fewer are a majority") {
    Core core(3, 3, {2, 0, 0});
    core.run(4s);  // no others come: taken all the same, on all three
    const MemberId leader = *core.leader(), away = leader % 3 + 1;
    core.cut(away, true);
    const auto stamp = core.at(leader).propose(core.now(), "x");
    REQUIRE(stamp);
    core.run(300ms);
    CHECK(core.at(leader).persistent_state().committed_entry.value == "x");
    CHECK_FALSE(core.at(leader).is_durable(*stamp));
    core.cut(away, false);
    core.run(300ms);
    CHECK(core.at(leader).is_durable(*stamp));
}

TEST_CASE("one that is to end gives lead, copy and place away first, and comes back as it left") {
    Core core(4, 3, {1, 0, 0});
    core.run(4s);
    const MemberId leader = *core.leader();
    core.at(leader).leave(core.now());
    CHECK_FALSE(core.at(leader).has_left());
    core.run(500ms);
    REQUIRE(core.at(leader).has_left());
    const PersistentState disk = core.at(leader).persistent_state();
    core.end(leader);
    core.run(500ms);
    const MemberId next = *core.leader();
    CHECK(core.voters(next).size() == 3);  // the fourth has its place
    CHECK_FALSE(core.voters(next).contains(leader));
    // Another may go now: two of three are left.
    const auto left = core.voters(next);
    const MemberId second = *std::find_if(left.begin(), left.end(), [&](MemberId id) { return id != next; });
    core.cut(second, true);
    REQUIRE(core.at(next).propose(core.now(), "x"));
    core.run(200ms);
    CHECK(core.at(next).persistent_state().committed_entry.value == "x");
    core.start(disk, "z" + std::to_string(leader));
    core.run(2s);
    CHECK(core.voters(*core.leader()).contains(leader));  // in the place of the one that is cut off
}

TEST_CASE("a leader that wakes from a freeze into a buffer of old answers leads nothing") {
    Core core(3, 3, {1, 0, 0});
    core.run(3s);
    const MemberId old = *core.leader();
    core.freeze(old);
    core.run(20s);
    core.wake(old);
    CHECK_FALSE(core.at(old).has_leader_lease(core.now()));
    CHECK_FALSE(core.at(old).propose(core.now(), "x"));
    // And a follower that wakes is in touch only once a question of its own was answered.
    const MemberId follower = *core.leader() % 3 + 1;
    core.freeze(follower);
    core.run(5s);
    core.wake(follower);
    CHECK_FALSE(core.at(follower).has_quorum_contact(core.now(), 700ms));
    core.run(300ms);
    CHECK(core.at(follower).has_quorum_contact(core.now(), 700ms));
}

TEST_CASE("a lone voter's own copy counts once it is on disk") {
    PersistentState disk;
    disk.self_id = 1;
    disk.last_entry.voters = disk.committed_entry.voters = {{1, "10.0.0.1:7000"}};
    RaftNode raft(disk.last_entry.voters.front(), disk, {}, 1);
    Time now{1s};
    for (int i = 0; i < 300; ++i) {
        raft.tick(now += 10ms);
        if (raft.take_persist_request()) raft.on_persisted(now);
    }
    REQUIRE(raft.has_leader_lease(now));
    const auto stamp = raft.propose(now, "x");
    REQUIRE(stamp);
    CHECK_FALSE(raft.is_durable(*stamp));
    REQUIRE(raft.take_persist_request());
    CHECK_FALSE(raft.is_durable(*stamp));
    raft.on_persisted(now);
    CHECK(raft.is_durable(*stamp));
}

TEST_CASE("a quota's lease that is read late counts from its question") {
    const quota::Quota quota{100, 10};
    quota::QuotaLimiter late({}), prompt({});
    const Time asked{10s}, read{12500ms};
    prompt.apply_leases(asked, {{"t", 100, 10, 2600}}, asked);
    late.apply_leases(read, {{"t", 100, 10, 2600}}, asked);
    const auto held = [&](quota::QuotaLimiter& scale, Time now) {
        scale.admit(now, "t", quota, 10);
        const auto demands = scale.demands(now, {"t"});
        return demands.front().lease_remaining_ms;
    };
    CHECK(held(late, read) <= 100);
    late.apply_leases(read + 1s, {{"t", 100, 10, 2600}}, asked);
    CHECK(held(late, read + 1s) == 0);
    CHECK(held(prompt, asked) == 2600);
}
