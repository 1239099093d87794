// Choice of voters, replicas of acknowledged entries, graceful shutdown, and leader leases of suspended
// processes.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "raft/raft_node.h"

using namespace martenford;
using namespace martenford::raft;

namespace {

Member member(MemberId id, const std::string& zone, const std::string& region = "r") {
    return {id, "10.0.0." + std::to_string(id) + ":7000", zone, region};
}
VoterCandidate voter(MemberId id, const std::string& zone, bool live = true) {
    return {member(id, zone), true, live};
}
VoterCandidate learner(MemberId id, const std::string& zone, const std::string& region = "r") {
    return {member(id, zone, region), false, true};
}
std::set<MemberId> chosen_ids(const std::vector<VoterCandidate>& candidates,
                              const FaultTolerance& tolerance) {
    std::set<MemberId> ids;
    for (const Member& m : choose_voters(candidates, tolerance)) ids.insert(m.id);
    return ids;
}

/// Nodes 1 to `machines`, of which the first `seeds` are the initial voters, each in a zone of its own.
/// Messages arrive at once, except to and from partitioned or suspended nodes.
class Cluster {
  public:
    Cluster(std::size_t machines, std::size_t seeds, const FaultTolerance& tolerance) {
        options_.fault_tolerance = tolerance;
        std::vector<Member> initial_voters;
        for (MemberId id = 1; id <= seeds; ++id) initial_voters.push_back({id, member(id, "").address});
        for (MemberId id = 1; id <= machines; ++id) {
            PersistentState disk;
            disk.self_id = id;
            if (id <= seeds) disk.last_entry.voters = disk.committed_entry.voters = initial_voters;
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
    /// Starts or ends a partition of this node from all others.
    void partition(MemberId id, bool partitioned) { machines_.at(id).partitioned = partitioned; }
    /// Suspends the process; messages to it stay unread until resume().
    void suspend(MemberId id) { machines_.at(id).suspended = true; }
    void resume(MemberId id) {
        Machine& machine = machines_.at(id);
        machine.suspended = false;
        for (const Message& message : std::exchange(machine.unread, {})) machine.raft->receive(now_, message);
        persist(machine);
    }
    void run_for(Duration duration) {
        for (const Time until = now_ + duration; now_ < until; now_ += 10ms) {
            for (auto& [id, machine] : machines_) {
                if (machine.suspended) continue;
                for (auto& [other, to] : machines_) {
                    if (other != id && !to.partitioned && !machine.partitioned && !to.suspended)
                        to.raft->add_known_member(now_, member(id, "z" + std::to_string(id)));
                }
                machine.raft->tick(now_);
            }
            deliver();
        }
    }
    std::optional<MemberId> leader() {
        for (auto& [id, machine] : machines_) {
            if (!machine.suspended && machine.raft->has_leader_lease(now_)) return id;
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
        bool partitioned = false, suspended = false;
        std::vector<Message> unread;
    };
    void persist(Machine& machine) {
        while (machine.raft->take_persist_request()) machine.raft->on_persisted(now_);
    }
    void deliver() {
        for (bool more = true; more;) {
            more = false;
            for (auto& [id, machine] : machines_) {
                if (machine.suspended) continue;
                persist(machine);
                for (Message& message : machine.raft->take_messages()) {
                    const auto to = machines_.find(message.to);
                    if (to == machines_.end() || to->second.partitioned || machine.partitioned) continue;
                    if (to->second.suspended) {
                        to->second.unread.push_back(message);
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

TEST_CASE("choose_voters: as few voters as tolerate the failures, spread over zones and regions") {
    using Ids = std::set<MemberId>;
    const std::vector<VoterCandidate> five{voter(1, "a"), voter(2, "b"), voter(3, "c"), learner(4, "a"),
                                           learner(5, "b")};
    CHECK(chosen_ids(five, {1, 0, 0}) == Ids{1, 2, 3});
    CHECK(chosen_ids(five, {2, 0, 0}) == Ids{1, 2, 3, 4, 5});
    CHECK(chosen_ids(five, {2, 1, 0}) == Ids{1, 2, 3, 4, 5});
    CHECK(chosen_ids(five, {0, 1, 0}) == Ids{1, 2, 3});
    // Two of three voters in one zone do not tolerate its loss; a third zone does.
    CHECK(chosen_ids({voter(1, "a"), voter(2, "a"), voter(3, "b"), learner(4, "c")}, {1, 1, 0}).contains(4));
    // Fewer machines than 2f+1: all of them vote.
    CHECK(chosen_ids({voter(1, "a"), voter(2, "b"), voter(3, "c")}, {2, 0, 0}) == Ids{1, 2, 3});
    CHECK(chosen_ids({voter(1, "a"), voter(2, "b")}, {1, 0, 0}) == Ids{1, 2});
    // A voter that does not answer is replaced only by a live machine: its disk may return.
    CHECK(chosen_ids({voter(1, "a"), voter(2, "b"), voter(3, "c", false), learner(4, "c")}, {1, 0, 0}) ==
          Ids{1, 2, 4});
    CHECK(chosen_ids({voter(1, "a"), voter(2, "b"), voter(3, "c", false)}, {1, 0, 0}) == Ids{1, 2, 3});
    // A machine whose loss is not counted does not vote beside others.
    auto uncounted = voter(1, "a");
    uncounted.member.loss_counted = false;
    CHECK(chosen_ids({uncounted, voter(2, "b"), voter(3, "c"), learner(4, "a")}, {1, 0, 0}) == Ids{2, 3, 4});
    // Three regions tolerate the loss of one only if it has no majority.
    CHECK(tolerates_failures(choose_voters({learner(1, "a", "x"), learner(2, "b", "x"), learner(3, "c", "x"),
                                            learner(4, "d", "y"), learner(5, "e", "z")},
                                           {1, 0, 1}),
                             {1, 0, 1}));
}

TEST_CASE("replicas_survive_failures: no failure that the voters survive takes all replicas") {
    const std::vector<Member> voters{member(1, "a"), member(2, "a"), member(3, "b")};
    CHECK_FALSE(replicas_survive_failures({voters[0]}, voters, {1, 0, 0}));
    CHECK(replicas_survive_failures({voters[0], voters[1]}, voters, {1, 0, 0}));
    CHECK_FALSE(replicas_survive_failures({voters[0], voters[1]}, voters, {1, 1, 0}));
    CHECK(replicas_survive_failures({voters[0], voters[2]}, voters, {1, 1, 0}));
    CHECK_FALSE(replicas_survive_failures({voters[0], voters[2]}, voters, {2, 0, 0}));
    CHECK(replicas_survive_failures({voters[0]}, {voters[0]},
                                    {1, 0, 0}));  // no replica can survive the loss of all voters
}

TEST_CASE("with two failures to tolerate, three initial voters become five before a proposal is accepted") {
    Cluster cluster(5, 3, {2, 0, 0});
    cluster.run_for(400ms);
    bool accepted_early = false;
    for (int i = 0; i < 200 && !cluster.leader(); ++i) cluster.run_for(10ms);
    REQUIRE(cluster.leader());
    if (cluster.voters(*cluster.leader()).size() < 5)
        accepted_early = cluster.at(*cluster.leader()).propose(cluster.now(), "x").has_value();
    CHECK_FALSE(accepted_early);
    cluster.run_for(1s);
    const MemberId leader = *cluster.leader();
    CHECK(cluster.voters(leader).size() == 5);
    // Two fail at once, the leader among them: the others go on with the acknowledged value.
    const auto position = cluster.at(leader).propose(cluster.now(), "acknowledged");
    REQUIRE(position);
    cluster.run_for(100ms);
    CHECK(cluster.at(leader).is_durable(*position));
    cluster.end(leader);
    cluster.end(leader % 5 + 1);
    cluster.run_for(3s);
    REQUIRE(cluster.leader());
    CHECK(cluster.at(*cluster.leader()).persistent_state().committed_entry.value == "acknowledged");
}

TEST_CASE(
    "an entry is durable only on enough replicas for the failures to tolerate, although a majority commits "
    "it") {
    Cluster cluster(3, 3, {2, 0, 0});
    cluster.run_for(4s);  // no others join: after the initial wait, proposals are accepted
    const MemberId leader = *cluster.leader(), down = leader % 3 + 1;
    cluster.partition(down, true);
    const auto position = cluster.at(leader).propose(cluster.now(), "x");
    REQUIRE(position);
    cluster.run_for(300ms);
    CHECK(cluster.at(leader).persistent_state().committed_entry.value == "x");
    CHECK_FALSE(cluster.at(leader).is_durable(*position));
    cluster.partition(down, false);
    cluster.run_for(300ms);
    CHECK(cluster.at(leader).is_durable(*position));
}

TEST_CASE("a leaving leader transfers leadership and its vote before it ends, and returns with its disk") {
    Cluster cluster(4, 3, {1, 0, 0});
    cluster.run_for(4s);
    const MemberId leader = *cluster.leader();
    cluster.at(leader).leave(cluster.now());
    CHECK_FALSE(cluster.at(leader).has_left());
    cluster.run_for(500ms);
    REQUIRE(cluster.at(leader).has_left());
    const PersistentState disk = cluster.at(leader).persistent_state();
    cluster.end(leader);
    cluster.run_for(500ms);
    const MemberId next = *cluster.leader();
    CHECK(cluster.voters(next).size() == 3);  // the fourth machine replaced it
    CHECK_FALSE(cluster.voters(next).contains(leader));
    // Another voter fails: two of three are left.
    const auto left = cluster.voters(next);
    const MemberId second = *std::find_if(left.begin(), left.end(), [&](MemberId id) { return id != next; });
    cluster.partition(second, true);
    REQUIRE(cluster.at(next).propose(cluster.now(), "x"));
    cluster.run_for(200ms);
    CHECK(cluster.at(next).persistent_state().committed_entry.value == "x");
    cluster.start(disk, "z" + std::to_string(leader));
    cluster.run_for(2s);
    CHECK(cluster.voters(*cluster.leader()).contains(leader));  // instead of the partitioned voter
}

TEST_CASE("a resumed process takes no lease and no contact from replies that waited in its buffer") {
    Cluster cluster(3, 3, {1, 0, 0});
    cluster.run_for(3s);
    const MemberId old = *cluster.leader();
    cluster.suspend(old);
    cluster.run_for(20s);
    cluster.resume(old);
    CHECK_FALSE(cluster.at(old).has_leader_lease(cluster.now()));
    CHECK_FALSE(cluster.at(old).propose(cluster.now(), "x"));
    // A resumed follower has contact only once a request of its own was answered.
    const MemberId follower = *cluster.leader() % 3 + 1;
    cluster.suspend(follower);
    cluster.run_for(5s);
    cluster.resume(follower);
    CHECK_FALSE(cluster.at(follower).has_quorum_contact(cluster.now(), 700ms));
    cluster.run_for(300ms);
    CHECK(cluster.at(follower).has_quorum_contact(cluster.now(), 700ms));
}

TEST_CASE("a single voter's entry is durable once it is on its own disk") {
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
    const auto position = raft.propose(now, "x");
    REQUIRE(position);
    CHECK_FALSE(raft.is_durable(*position));
    REQUIRE(raft.take_persist_request());
    CHECK_FALSE(raft.is_durable(*position));
    raft.on_persisted(now);
    CHECK(raft.is_durable(*position));
}
