// The controller's parts, each by itself in virtual time: the order of Raft's effects around a failed write,
// long polls, the state at the start, connections to peers, the graceful shutdown.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config_service/config_service.h"
#include "controller/graceful_shutdown.h"
#include "controller/initial_state.h"
#include "controller/operator_api.h"
#include "controller/peers.h"
#include "controller/quota_service.h"
#include "controller/raft_driver.h"
#include "controller/watchers.h"
#include "mesh_config/mesh_config.h"
#include "registry/registry.h"
#include "rpc/messages.h"

using namespace martenford;
using namespace martenford::controller;

namespace {

const std::vector<std::string> kSeedAddresses{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"};

class VirtualScheduler final : public Scheduler {
  public:
    Time now() const override { return now_; }
    Key add(Time when, std::function<void()> what) override {
        const Key key{when, ++last_};
        timers_[key] = std::move(what);
        return key;
    }
    void remove(const Key& key) override { timers_.erase(key); }
    /// Runs the timers that become due within `time`, each at its own time.
    void advance(Duration time) {
        const Time until = now_ + time;
        while (!timers_.empty() && timers_.begin()->first.first <= until) {
            auto timer = timers_.extract(timers_.begin());
            now_ = std::max(now_, timer.key().first);
            timer.mapped()();
        }
        now_ = until;
    }

  private:
    Time now_ = Time{} + 1h;
    std::uint64_t last_ = 0;
    std::map<Key, std::function<void()>> timers_;
};

raft::PersistentState state_with_voters(raft::MemberId self, const std::vector<raft::Member>& voters) {
    raft::PersistentState state;
    state.self_id = self;
    state.last_entry.voters = state.committed_entry.voters = voters;
    return state;
}

StartConditions conditions_of(std::size_t seed, bool first_boot) {
    return {kSeedAddresses[seed], kSeedAddresses, first_boot};
}

registry::ProxyRegistration registration_of(const std::string& node) {
    registry::ProxyRegistration registration;
    registration.node = node;
    registration.incarnation = registration.seq = 1;
    registration.inbound_address = "10.0.1.1:8000";
    registration.service = "cart";
    return registration;
}

/// A controller that is the only voter, whose disk can fail. It records what the driver does.
class SingleVoter {
  public:
    explicit SingleVoter(const std::vector<raft::Member>& voters = {{1, kSeedAddresses[0]}})
        : raft({1, kSeedAddresses[0]}, state_with_voters(1, voters), options(), 7), service(raft) {}

    void run(Duration time) {
        for (const Time until = scheduler.now() + time; scheduler.now() < until;) {
            scheduler.advance(10ms);
            raft.tick(scheduler.now());
            driver.process_output();
        }
    }
    /// The status of the operator's call, once it is answered; 0: not yet.
    unsigned replace(std::uint32_t version) {
        auto status = std::make_shared<unsigned>(0);
        const std::string document =
            R"({"version":")" + mesh_config::text_of(version) + R"(","base_version":")" +
            mesh_config::text_of(service.record().version) +
            R"(","listeners":[],"clusters":[],"tenants":[{"name":"a","rate_per_s":5,"burst":2}]})";
        service.replace(scheduler.now(), document,
                        [status](control_api::Response&& response) { *status = response.status; });
        driver.process_output();
        run(100ms);
        return *status;
    }
    std::size_t count(const std::string& effect) const {
        return static_cast<std::size_t>(std::count(effects.begin(), effects.end(), effect));
    }

    VirtualScheduler scheduler;
    bool disk_fails = false;
    std::vector<std::string> effects;
    std::vector<Time> persisted_at;
    raft::RaftNode raft;
    config_service::ConfigService service;
    RaftDriver driver{scheduler,
                      raft,
                      {[this](const raft::PersistentState&) -> std::optional<durable_store::StorageError> {
                           effects.emplace_back("persist");
                           persisted_at.push_back(scheduler.now());
                           if (disk_fails)
                               return durable_store::StorageError{durable_store::StorageError::Code::DiskFull,
                                                                  "save", "no space"};
                           return std::nullopt;
                       },
                       [this](const raft::Message&) { effects.emplace_back("send"); },
                       [this] { effects.emplace_back("notify"); },
                       [this] {
                           effects.emplace_back("answer");
                           service.process_pending(scheduler.now());
                       },
                       [this] { effects.emplace_back("idle"); }}};

  private:
    static raft::RaftOptions options() {
        raft::RaftOptions options;
        options.fault_tolerance.machines = 0;
        return options;
    }
};

class RecordingLink final : public PeerLink {
  public:
    explicit RecordingLink(std::vector<rpc::Message>& sent) : sent_(sent) {}
    void send(const rpc::Message& message) override { sent_.push_back(message); }

  private:
    std::vector<rpc::Message>& sent_;
};

/// Peers of a member at the first seed's address, which votes alone; the second seed is a seed only.
struct PeersFixture {
    Time now = Time{} + 1h;
    raft::Member self{1, kSeedAddresses[0]};
    raft::RaftNode raft{self, state_with_voters(1, {self}), {}, 7};
    std::map<std::string, std::vector<rpc::Message>> sent;  // by address of the links that were opened
    Peers peers{self,
                raft,
                {[this](const std::string& address, const Address&) {
                     return std::make_unique<RecordingLink>(sent[address]);
                 },
                 [](const std::string& address) { return address == kSeedAddresses[1]; }}};
};

struct WatchersFixture {
    SingleVoter controller;
    registry::Registry registry{42, {}};
    std::vector<std::pair<ConnectionId, rpc::WatchResponse>> answers;
    Watchers watchers{controller.scheduler,
                      {registry, controller.service, controller.raft,
                       [](Time) {
                           return std::vector<raft::Member>{{1, kSeedAddresses[0]}};
                       }},
                      [this](ConnectionId connection, const rpc::WatchResponse& response) {
                          answers.emplace_back(connection, response);
                      }};

    WatchersFixture() {
        controller.run(3s);
        watchers.tick();
    }
    rpc::WatchRequest up_to_date() {
        return {registry.epoch(), registry.seq(), controller.service.record().version, true};
    }
    void run(Duration time) {
        for (const Time until = controller.scheduler.now() + time; controller.scheduler.now() < until;) {
            controller.run(10ms);
            watchers.tick();
        }
    }
};

}  // namespace

TEST_CASE("initial state: at the first boot every seed computes the same voters and its own id among them") {
    std::set<raft::MemberId> ids;
    std::vector<raft::Member> voters;
    for (std::size_t seed = 0; seed < kSeedAddresses.size(); ++seed) {
        const InitialState initial = initial_state({}, conditions_of(seed, true), 99);
        CHECK(initial.origin == StateOrigin::FirstBoot);
        CHECK(initial.damage == StorageDamage::None);
        REQUIRE(initial.state.last_entry.voters.size() == 3);
        if (seed == 0) voters = initial.state.last_entry.voters;
        CHECK(initial.state.last_entry.voters == voters);
        CHECK(initial.state.committed_entry.voters == voters);
        CHECK(initial.state.self_id == voters[seed].id);
        CHECK(voters[seed].address == kSeedAddresses[seed]);
        ids.insert(initial.state.self_id);
    }
    CHECK(ids.size() == 3);
    CHECK_FALSE(ids.contains(0));
}

TEST_CASE("initial state: at the first boot a controller that is no seed has its own id and no vote") {
    const InitialState initial = initial_state({}, {"10.0.0.9:7000", kSeedAddresses, true}, 99);
    CHECK(initial.origin == StateOrigin::FirstBoot);
    CHECK(initial.state.self_id == 99);
    CHECK(initial.state.last_entry.voters.size() == 3);
}

TEST_CASE("initial state: an empty disk after the first boot is a new member without voters") {
    const InitialState initial = initial_state({}, conditions_of(0, false), 99);
    CHECK(initial.origin == StateOrigin::NewMember);
    CHECK(initial.state.self_id == 99);
    CHECK(initial.state.last_entry.voters.empty());
}

TEST_CASE("initial state: what was saved is loaded; the settings' first boot does not go before it") {
    raft::PersistentState saved = state_with_voters(5, {{5, kSeedAddresses[0]}, {6, kSeedAddresses[1]}});
    saved.term = 4;
    saved.voted_for = 6;
    const InitialState initial = initial_state({rpc::to_records(saved), false}, conditions_of(0, true), 99);
    CHECK(initial.origin == StateOrigin::Loaded);
    CHECK(initial.state.self_id == 5);
    CHECK(initial.state.term == 4);
    CHECK(initial.state.voted_for == 6);
    CHECK(initial.state.last_entry.voters == saved.last_entry.voters);
}

TEST_CASE("initial state: damaged records are a new member, also at the first boot: its vote is forgotten") {
    const durable_store::LoadResult unreadable{{}, true};
    const InitialState after_damage = initial_state(unreadable, conditions_of(0, true), 99);
    CHECK(after_damage.origin == StateOrigin::NewMember);
    CHECK(after_damage.damage == StorageDamage::UnreadableRecord);
    CHECK(after_damage.state.self_id == 99);
    CHECK(after_damage.state.last_entry.voters.empty());

    const durable_store::LoadResult inconsistent{{{"state", "no state"}}, false};
    const InitialState after_mismatch = initial_state(inconsistent, conditions_of(0, true), 99);
    CHECK(after_mismatch.origin == StateOrigin::NewMember);
    CHECK(after_mismatch.damage == StorageDamage::InconsistentRecords);
    CHECK(after_mismatch.state.last_entry.voters.empty());
}

TEST_CASE("initial state: what is left of a first boot that saved no state is the first boot again") {
    StartConditions conditions = conditions_of(1, false);
    conditions.first_boot_incomplete = true;
    const raft::MemberId first_voter = initial_state({}, conditions_of(1, true), 99).state.self_id;
    const durable_store::LoadResult torn{{}, true};
    const InitialState initial = initial_state(torn, conditions, 99);
    CHECK(initial.origin == StateOrigin::FirstBoot);
    CHECK(initial.state.self_id == first_voter);
    const raft::PersistentState saved = state_with_voters(5, {{5, kSeedAddresses[0]}});
    CHECK(initial_state({rpc::to_records(saved), false}, conditions, 99).state.self_id == 5);
}

TEST_CASE("raft driver: state is persisted before messages are sent, watchers notified and calls answered") {
    SingleVoter candidate({{1, kSeedAddresses[0]}, {2, kSeedAddresses[1]}, {3, kSeedAddresses[2]}});
    candidate.run(2s);
    REQUIRE(candidate.count("send") > 0);
    // The pre-vote changes nothing on disk. Another's request for a vote in a new term does: the vote itself.
    candidate.effects.clear();
    raft::Message request;
    request.kind = raft::Message::Kind::RequestVote;
    request.from = {2, kSeedAddresses[1]};
    request.to = 1;
    request.term = 9;
    request.leadership_transfer = true;
    candidate.raft.receive(candidate.scheduler.now(), request);
    candidate.driver.process_output();
    CHECK(candidate.effects == std::vector<std::string>{"persist", "send", "notify", "answer", "idle"});
}

TEST_CASE("raft driver: a failed write keeps messages back and is repeated after the retry delay") {
    SingleVoter voter({{1, kSeedAddresses[0]}, {2, kSeedAddresses[1]}, {3, kSeedAddresses[2]}});
    voter.disk_fails = true;
    raft::Message request;
    request.kind = raft::Message::Kind::RequestVote;
    request.from = {2, kSeedAddresses[1]};
    request.to = 1;
    request.term = 9;
    request.leadership_transfer = true;
    voter.raft.receive(voter.scheduler.now(), request);
    voter.driver.process_output();
    CHECK(voter.effects == std::vector<std::string>{"persist", "notify", "answer", "idle"});
    voter.run(1s);
    CHECK(voter.count("send") == 0);
    REQUIRE(voter.persisted_at.size() > 2);
    for (std::size_t i = 1; i < voter.persisted_at.size(); ++i) {
        CHECK(voter.persisted_at[i] - voter.persisted_at[i - 1] >= kPersistRetryDelay);
        CHECK(voter.persisted_at[i] - voter.persisted_at[i - 1] < kPersistRetryDelay + 20ms);
    }
    voter.disk_fails = false;
    voter.run(2s);
    CHECK(voter.count("send") > 0);
}

TEST_CASE("raft driver: a change is acknowledged only after a write that succeeded") {
    SingleVoter leader;
    leader.run(3s);
    REQUIRE(leader.replace(1) == 200);
    leader.disk_fails = true;
    CHECK(leader.replace(2) != 200);
    CHECK(leader.service.record().version == 1);
}

TEST_CASE("raft driver: a call from within an effect does not nest") {
    VirtualScheduler scheduler;
    raft::RaftNode raft({1, kSeedAddresses[0]}, state_with_voters(1, {{1, kSeedAddresses[0]}}), {}, 7);
    int depth = 0;
    int deepest = 0;
    RaftDriver* self = nullptr;
    RaftDriver driver(scheduler, raft,
                      {[](const raft::PersistentState&) { return std::nullopt; }, [](const auto&) {}, [] {},
                       [&] {
                           deepest = std::max(deepest, ++depth);
                           self->process_output();
                           --depth;
                       },
                       [] {}});
    self = &driver;
    driver.process_output();
    CHECK(deepest == 1);
}

TEST_CASE("watchers: a request that lacks an update is answered at once") {
    WatchersFixture fixture;
    REQUIRE(fixture.controller.replace(3) == 200);
    rpc::WatchRequest request = fixture.up_to_date();
    request.config_version = 0;
    fixture.watchers.handle(1, request);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].first == 1);
    CHECK(fixture.answers[0].second.config_version == 3);
    CHECK_FALSE(fixture.answers[0].second.config.empty());
    CHECK(fixture.answers[0].second.has_quorum_contact);
    CHECK(fixture.answers[0].second.controllers.size() == 1);

    request = fixture.up_to_date();
    request.epoch = 7;
    fixture.watchers.handle(2, request);
    REQUIRE(fixture.answers.size() == 2);
    CHECK(fixture.answers[1].second.registry.is_snapshot);
    CHECK(fixture.answers[1].second.config.empty());
}

TEST_CASE("watchers: without an update a request is answered after the timeout, not before") {
    WatchersFixture fixture;
    fixture.watchers.handle(1, fixture.up_to_date());
    fixture.run(kWatchTimeout - 10ms);
    CHECK(fixture.answers.empty());
    fixture.run(10ms);
    CHECK(fixture.answers.size() == 1);
    fixture.run(2 * kWatchTimeout);
    CHECK(fixture.answers.size() == 1);
}

TEST_CASE("watchers: changes of the registry within the batch delay cost each watcher one answer") {
    WatchersFixture fixture;
    VirtualScheduler& scheduler = fixture.controller.scheduler;
    fixture.watchers.handle(1, fixture.up_to_date());
    fixture.watchers.handle(2, fixture.up_to_date());
    for (const std::string node : {"p1", "p2"}) {
        REQUIRE(fixture.registry.renew_lease(scheduler.now(), registration_of(node)));
        fixture.watchers.notify_registry_changed();
        scheduler.advance(kWatchBatchDelay / 3);
    }
    CHECK(fixture.answers.empty());
    scheduler.advance(kWatchBatchDelay);
    REQUIRE(fixture.answers.size() == 2);
    for (const auto& [connection, response] : fixture.answers) {
        CHECK(response.registry.registrations.size() == 2);
    }
    CHECK(fixture.watchers.pending_count() == 0);
}

TEST_CASE("watchers: a new configuration is answered at once, and only its change is") {
    WatchersFixture fixture;
    fixture.watchers.notify_if_config_changed();
    fixture.watchers.handle(1, fixture.up_to_date());
    fixture.watchers.notify_if_config_changed();
    CHECK(fixture.answers.empty());
    REQUIRE(fixture.controller.replace(1) == 200);
    fixture.watchers.notify_if_config_changed();
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].second.config_version == 1);
}

TEST_CASE("watchers: lost contact with a quorum is answered before the timeout; a closed connection is not") {
    WatchersFixture fixture;
    fixture.watchers.handle(1, fixture.up_to_date());
    fixture.watchers.handle(2, fixture.up_to_date());
    fixture.watchers.remove(2);
    // The disk fails: no longer leader, so after the next tick out of contact.
    fixture.controller.disk_fails = true;
    fixture.controller.raft.on_persist_failed(fixture.controller.scheduler.now());
    fixture.run(kQuorumContactMaxAge + 50ms);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].first == 1);
    CHECK_FALSE(fixture.answers[0].second.has_quorum_contact);
}

TEST_CASE("peers: a Hello makes the sender and those that it knows peers, each with one link") {
    PeersFixture fixture;
    const raft::Member other{2, kSeedAddresses[1]};
    const rpc::Hello hello{other, {fixture.self, other, {3, kSeedAddresses[2]}}};
    fixture.peers.on_hello(fixture.now, hello);
    fixture.peers.on_hello(fixture.now, hello);
    CHECK(fixture.sent.size() == 2);
    CHECK(fixture.peers.contains(kSeedAddresses[1]));
    CHECK(fixture.peers.contains(kSeedAddresses[2]));
    CHECK_FALSE(fixture.peers.contains(kSeedAddresses[0]));
    // Only who has introduced itself is passed on to others.
    CHECK(fixture.peers.known_controllers(fixture.now) == std::vector<raft::Member>{fixture.self, other});
    CHECK(fixture.peers.known_controllers(fixture.now + kKnownControllerMaxAge) ==
          std::vector<raft::Member>{fixture.self});
}

TEST_CASE("peers: a Hello from a member that had this address before is ignored") {
    PeersFixture fixture;
    fixture.peers.on_hello(fixture.now, {{8, kSeedAddresses[0]}, {{3, kSeedAddresses[2]}}});
    CHECK(fixture.sent.empty());
}

TEST_CASE("peers: a Raft message goes to the member's last known address; without one it is dropped") {
    PeersFixture fixture;
    raft::Message message;
    message.to = 5;
    fixture.peers.send(fixture.now, message);
    CHECK(fixture.sent.empty());
    fixture.peers.learn_address({5, kSeedAddresses[2]});
    fixture.peers.send(fixture.now, message);
    REQUIRE(fixture.sent[kSeedAddresses[2]].size() == 1);
    CHECK(std::holds_alternative<raft::Message>(fixture.sent[kSeedAddresses[2]][0]));
}

TEST_CASE("peers: Hellos are sent at their interval; an unresponsive peer is forgotten unless it is a seed") {
    PeersFixture fixture;
    fixture.peers.connect(fixture.now, kSeedAddresses[1]);
    fixture.peers.connect(fixture.now, kSeedAddresses[2]);
    for (Duration passed{}; passed <= kPeerForgetAfter; passed += kHelloInterval / 2) {
        fixture.peers.tick(fixture.now + passed);
    }
    CHECK(fixture.sent[kSeedAddresses[1]].size() == kPeerForgetAfter / kHelloInterval + 1);
    CHECK(fixture.peers.contains(kSeedAddresses[2]));
    fixture.peers.tick(fixture.now + kPeerForgetAfter + kHelloInterval);
    CHECK_FALSE(fixture.peers.contains(kSeedAddresses[2]));
    CHECK(fixture.peers.contains(kSeedAddresses[1]));
}

TEST_CASE("peers: there are at most kMaxControllers links, and none to what is no address") {
    PeersFixture fixture;
    fixture.peers.connect(fixture.now, "no address");
    CHECK(fixture.sent.empty());
    for (std::size_t i = 0; i < 2 * kMaxControllers; ++i) {
        fixture.peers.connect(fixture.now, "10.0.2." + std::to_string(i) + ":7000");
    }
    CHECK(fixture.sent.size() == kMaxControllers);
}

TEST_CASE(
    "quota service: the leader answers with leases of the configuration in force, a follower with none") {
    SingleVoter leader;
    registry::Registry registry{42, {}};
    QuotaService service({}, {registry, leader.service, leader.raft});
    rpc::RegisterRequest request;
    request.registration = registration_of("p1");
    request.demands = {{"a", 5, 0, 0}};
    request.sent_at = 77;
    const auto respond = [&] {
        registry.renew_lease(leader.scheduler.now(), request.registration);
        return service.respond(leader.scheduler.now(), request);
    };
    const rpc::RegisterResponse as_follower = respond();
    CHECK_FALSE(as_follower.from_leader);
    CHECK(as_follower.quota_leases.empty());
    CHECK(as_follower.request_sent_at == 77);
    CHECK(as_follower.live_proxies == 1);

    leader.run(3s);
    REQUIRE(leader.replace(1) == 200);
    for (int i = 0; i < 4; ++i) {
        leader.run(500ms);
        static_cast<void>(respond());
    }
    const rpc::RegisterResponse as_leader = respond();
    CHECK(as_leader.from_leader);
    REQUIRE(as_leader.quota_leases.size() == 1);
    CHECK(as_leader.quota_leases[0].tenant == "a");
    CHECK(as_leader.quota_leases[0].rate_per_s > 0);
}

TEST_CASE("quota service: a leader that was frozen for longer than its lease grants nothing") {
    const std::vector<raft::Member> voters{{1, kSeedAddresses[0]}, {2, kSeedAddresses[1]}};
    std::vector<std::unique_ptr<raft::RaftNode>> nodes;
    for (const raft::Member& voter : voters) {
        nodes.push_back(std::make_unique<raft::RaftNode>(voter, state_with_voters(voter.id, voters),
                                                         raft::RaftOptions{}, voter.id));
    }
    Time now = Time{} + 1h;
    for (const Time until = now + 5s; now < until; now += 10ms) {
        for (auto& node : nodes) {
            node->tick(now);
            if (node->take_persist_request()) node->on_persisted(now);
            for (const raft::Message& message : node->take_messages()) {
                nodes.at(message.to - 1)->receive(now, message);
            }
        }
    }
    raft::RaftNode& leader = nodes[0]->has_leader_lease(now) ? *nodes[0] : *nodes[1];
    REQUIRE(leader.has_leader_lease(now));
    config_service::ConfigService config_service(leader);
    registry::Registry registry{42, {}};
    QuotaService service({}, {registry, config_service, leader});
    rpc::RegisterRequest request;
    request.registration = registration_of("p1");
    CHECK(service.respond(now, request).from_leader);
    const rpc::RegisterResponse after_freeze = service.respond(now + 10s, request);
    CHECK_FALSE(after_freeze.from_leader);
    CHECK(after_freeze.quota_leases.empty());
}

TEST_CASE("quota service: a document that can't be read has no quotas") {
    CHECK(read_quotas("").empty());
    CHECK(read_quotas("{").empty());
    CHECK(read_quotas("[]").empty());
}

TEST_CASE("graceful shutdown: a voter that nobody replaces ends at its deadline, a third of a short grace") {
    for (const Duration grace : {Duration{60s}, Duration{3s}}) {
        CAPTURE(grace.count());
        SingleVoter voter;
        voter.run(3s);
        bool stopped = false;
        GracefulShutdown shutdown(voter.scheduler, voter.raft, grace,
                                  {[&] { voter.driver.process_output(); }, [&] { stopped = true; }});
        const Duration longest = std::min<Duration>(kMaxLeaveTime, grace / 3);
        shutdown.begin();
        voter.scheduler.advance(longest);
        CHECK_FALSE(stopped);
        voter.scheduler.advance(kLeaveCheckInterval + kFinalFlushTime);
        CHECK(stopped);
    }
}

TEST_CASE("graceful shutdown: a member without a vote ends after the final flush") {
    SingleVoter member({{2, kSeedAddresses[1]}});
    bool stopped = false;
    GracefulShutdown shutdown(member.scheduler, member.raft, 60s,
                              {[&] { member.driver.process_output(); }, [&] { stopped = true; }});
    shutdown.begin();
    member.scheduler.advance(kFinalFlushTime - 1ms);
    CHECK_FALSE(stopped);
    member.scheduler.advance(1ms);
    CHECK(stopped);
}

TEST_CASE("operator API: calls are redirected to the leader's machine at this one's control port") {
    CHECK(operator_api_url({2, "10.0.0.2:7000"}, 8001) == "http://10.0.0.2:8001");
    CHECK(operator_api_url({2, ""}, 8001).empty());
}
