// Two operators with up to eight changes in flight, on a Raft group of one, three or five in virtual time:
// messages and answers are lost, duplicated and delayed, machines are partitioned, killed and restarted. What
// the operators saw is checked by a history that knows nothing of the implementation.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "config_service/config_service.h"

using namespace martenford;

namespace {

using Version = mesh_config::Version;

struct Change {
    Version version = 0, base = 0;
    bool valid = true;
    std::string body;
};

/// What was sent and answered. Each change leaves its index in the configuration, as the idle time-out.
class History {
  public:
    std::vector<Change> changes;
    std::set<std::size_t> accepted, rejected;  // by the answers that arrived
    std::string violation;                     // the first one; empty: none

    void answered(std::size_t change, unsigned status) {
        if (status == 200) {
            accepted.insert(change);
            acknowledged_ = std::max(acknowledged_, changes[change].version);
        }
        if (status >= 400 && status < 500) rejected.insert(change);
        check(!accepted.contains(change) || !rejected.contains(change), "accepted and rejected", change);
        check(changes[change].valid || status != 200, "invalid and accepted", change);
        for (const std::size_t other : accepted) {
            if (other == change || status != 200) continue;
            check(changes[other].base != changes[change].base, "two on one base", change);
            check(changes[other].version != changes[change].version, "two under one number", change);
        }
    }
    Version acknowledged() const { return acknowledged_; }
    /// A read that was sent when `acknowledged` was the newest acknowledged version returned this document.
    void was_read(const std::string& document, Version acknowledged) {
        const auto json = mesh_config::Json::parse(document);
        const auto change = json["limits"]["idle_timeout_ms"].get<std::size_t>() - 1;
        const Change& found = changes.at(change);
        check(found.valid && json["version"] == mesh_config::text_of(found.version), "read: not as sent",
              change);
        check(found.version >= acknowledged, "read: older than what was acknowledged", change);
        read_changes_.insert(change);
    }
    /// At the end, when each change has had a definite answer. `last` is the one that was read last.
    void finish(std::size_t last) {
        for (const std::size_t change : read_changes_)
            check(!rejected.contains(change), "rejected and in force", change);
        std::map<Version, std::size_t> by_version;
        for (const std::size_t change : accepted) by_version[changes[change].version] = change;
        for (const std::size_t change : read_changes_) by_version[changes[change].version] = change;
        std::set<std::size_t> chain{last};
        for (Version at = changes[last].base; at != 0 && by_version.contains(at);
             at = changes[by_version[at]].base)
            chain.insert(by_version[at]);
        for (const std::size_t change : accepted)
            check(chain.contains(change), "accepted, and not built upon", change);
        for (const std::size_t change : rejected) {
            const bool won = std::any_of(accepted.begin(), accepted.end(), [&](std::size_t other) {
                return changes[other].base == changes[change].base;
            });
            check(won || !changes[change].valid, "rejected, and no other won", change);
        }
    }

  private:
    void check(bool holds, const std::string& what, std::size_t change) {
        if (!holds && violation.empty()) violation = what + ": change " + std::to_string(change);
    }
    Version acknowledged_ = 0;
    std::set<std::size_t> read_changes_;
};

class World {
  public:
    World(std::size_t machines, std::uint64_t seed) : machines_(machines), random_(seed) {
        std::vector<raft::Member> voters;
        for (std::size_t i = 0; i < machines; ++i)
            voters.push_back({i + 1, "10.0.0." + std::to_string(i + 1) + ":7000"});
        for (std::size_t i = 0; i < machines; ++i) {
            machines_[i].self = voters[i];
            machines_[i].disk.self_id = i + 1;
            machines_[i].disk.last_entry.voters = machines_[i].disk.committed_entry.voters = voters;
            start(machines_[i]);
        }
    }

    /// Plays 20 s of virtual time; returns the first violation.
    std::string play() {
        for (const Time end = now_ + 20s; now_ < end;) {
            step();
            if (now_ >= next_fault_) inject_fault();
            for (int who = 0; who < 2; ++who) act(who);
        }
        // All faults end; every change is sent until its answer is definite, also those that had one.
        heal();
        for (auto& machine : machines_) machine.raft ? void() : start(machine);
        calls_.clear();
        const auto definite = [this](std::size_t change) { return call_until_definite(change, 5s); };
        for (std::size_t change = 0; change < history.changes.size(); ++change) {
            if (!definite(change)) return "no definite answer at the end: change " + std::to_string(change);
        }
        read_until_done();
        const Version base = known_[0];
        history.changes.push_back(random_change(0, base, base + 1, true));
        if (!definite(history.changes.size() - 1) || !history.accepted.contains(history.changes.size() - 1))
            return "a proper change was not accepted at the end";
        read_until_done();
        history.finish(history.changes.size() - 1);
        return history.violation;
    }
    History history;

  private:
    struct Machine {
        raft::Member self;
        raft::PersistentState disk;  // what is on its disk
        std::unique_ptr<raft::RaftNode> raft;
        std::unique_ptr<config_service::ConfigService> config_service;
        std::uint64_t incarnation = 0;
    };
    struct Envelope {
        Time at;
        std::size_t from, to;
        raft::Message message;
    };
    struct Sent {  // a change, or a read, of an operator
        std::optional<std::size_t> change;
        int who = 0;
        Version acknowledged = 0;  // the newest acknowledged version when it was sent
        Time until{}, again{};
        unsigned redirects = 0;
        Duration pause = 50ms;
        std::uint64_t attempt = 0;
    };
    struct Reply {
        Time at;
        std::uint64_t call, attempt;
        control_api::Response response;
    };

    std::uint64_t below(std::uint64_t n) { return random_() % n; }
    bool chance(unsigned percent) { return below(100) < percent; }

    void start(Machine& machine) {
        // Through the encoding that a real disk has.
        const auto disk = rpc::from_records(rpc::to_records(machine.disk));
        REQUIRE(disk);
        machine.raft = std::make_unique<raft::RaftNode>(machine.self, *disk, raft::RaftOptions{}, random_());
        machine.config_service = std::make_unique<config_service::ConfigService>(*machine.raft);
        machine.config_service->control_address_of = [](const raft::Member& member) {
            return std::to_string(member.id);
        };
        ++machine.incarnation;
    }
    void stop(Machine& machine) {
        machine.config_service.reset();
        machine.raft.reset();
    }
    /// As the controller processes Raft output: persist, send, then answer pending calls. Power is lost in
    /// between at times.
    void process_output(Machine& machine) {
        do {
            if (machine.raft->take_persist_request()) {
                if (power_cuts_ && chance(5)) return stop(machine);
                machine.disk = machine.raft->persistent_state();
                if (power_cuts_ && chance(5)) return stop(machine);
                machine.raft->on_persisted(now_);
            }
            for (auto& message : machine.raft->take_messages()) {
                const std::size_t from = machine.self.id - 1, to = message.to - 1;
                if (partitioned_.contains({from, to})) continue;
                for (unsigned copies = chance(loss_) ? 0 : chance(duplicated_) ? 2 : 1; copies > 0; --copies)
                    in_flight_.push_back({now_ + delay(), from, to, message});
            }
            machine.config_service->process_pending(now_);
        } while (machine.raft->has_output());
    }
    Duration delay() { return Duration{chance(delayed_) ? below(1500) * 1'000'000 : below(20) * 1'000'000}; }

    void step() {
        now_ += 5ms;
        for (auto& machine : machines_) {
            if (!machine.raft) continue;
            machine.raft->tick(now_);
            process_output(machine);
        }
        for (std::size_t i = 0; i < in_flight_.size();) {
            if (in_flight_[i].at > now_) {
                ++i;
                continue;
            }
            const Envelope envelope = std::move(in_flight_[i]);
            in_flight_[i] = std::move(in_flight_.back());
            in_flight_.pop_back();
            Machine& to = machines_[envelope.to];
            if (!to.raft || partitioned_.contains({envelope.from, envelope.to})) continue;
            to.raft->receive(now_, envelope.message);
            process_output(to);
        }
        for (std::size_t i = 0; i < replies_.size();) {
            if (replies_[i].at > now_) {
                ++i;
                continue;
            }
            const Reply reply = std::move(replies_[i]);
            replies_.erase(replies_.begin() + static_cast<std::ptrdiff_t>(i));
            on_reply(reply);
        }
        for (auto& [id, call] : calls_) {
            if (now_ >= call.until) call.until = Time::max(), call.again = now_ + (call.pause *= 2);
            if (now_ >= call.again) send(id, call, below(machines_.size()));
        }
    }

    void inject_fault() {
        next_fault_ = now_ + Duration{(100 + below(1500)) * 1'000'000};
        const std::size_t any = below(machines_.size());
        std::size_t leader = any;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (machines_[i].raft && machines_[i].raft->has_leader_lease(now_)) leader = i;
        }
        switch (below(9)) {
            case 0:
                return stop(machines_[leader]);
            case 1:
                return stop(machines_[any]);
            case 2:  // the leader is partitioned: both ways, or one way
            case 3:
                for (std::size_t i = 0; i < machines_.size(); ++i) {
                    if (i == leader) continue;
                    partitioned_.insert({leader, i});
                    if (chance(60)) partitioned_.insert({i, leader});
                }
                return;
            case 4:
                for (auto& machine : machines_) stop(machine);
                return;
            case 5:
                loss_ = below(30), duplicated_ = below(30), delayed_ = below(20), answers_lost_ = below(60);
                return;
            case 6:
                power_cuts_ = !power_cuts_;
                return;
            default:
                heal();
                for (auto& machine : machines_) machine.raft ? void() : start(machine);
        }
    }
    void heal() {
        partitioned_.clear();
        loss_ = duplicated_ = delayed_ = answers_lost_ = 0;
        power_cuts_ = false;
    }

    Change random_change(int who, Version base, Version version, bool valid) {
        const std::string mark = std::to_string(history.changes.size() + 1);
        const std::string head = R"({"version":")" + mesh_config::text_of(version) + R"(","base_version":")" +
                                 mesh_config::text_of(base) + R"(",)";
        const std::string limits = R"("limits":{"idle_timeout_ms":)" + mark + R"(,"max_body_bytes":)" +
                                   std::to_string(valid ? who : -1) + "}";
        const bool is_replace = base == 0 || chance(50);
        return {
            version, base, valid,
            head +
                (is_replace ? limits + R"(,"listeners":[],"clusters":[])" : R"("upserts":{)" + limits + "}") +
                "}"};
    }
    /// At most four calls in flight for each operator, on its newest known version, with versions
    /// that conflict.
    void act(int who) {
        const auto under_way = std::count_if(calls_.begin(), calls_.end(),
                                             [&](const auto& call) { return call.second.who == who; });
        if (under_way >= 4 || !chance(3)) return;
        if (chance(25)) return call(std::nullopt, who);
        if (chance(20) && !history.changes.empty()) return call(below(history.changes.size()), who);
        const Version base = known_[who];
        history.changes.push_back(
            random_change(who, base, base + 1 + static_cast<Version>(below(2)), !chance(10)));
        call(history.changes.size() - 1, who);
    }
    void call(std::optional<std::size_t> change, int who) {
        Sent& call = calls_[++last_call_];
        call.change = change;
        call.who = who;
        send(last_call_, call, below(machines_.size()));
    }
    void send(std::uint64_t id, Sent& call, std::size_t to) {
        call.acknowledged = history.acknowledged();
        call.until = now_ + 1s;
        call.again = Time::max();
        const std::uint64_t attempt = ++call.attempt;
        Machine& machine = machines_[to];
        if (!machine.raft || chance(loss_)) return;
        const auto respond = [this, id, attempt](control_api::Response&& response) {
            if (chance(answers_lost_)) return;
            replies_.push_back({now_ + delay(), id, attempt, std::move(response)});
        };
        if (!call.change) return machine.config_service->read(now_, respond), process_output(machine);
        const std::string& body = history.changes[*call.change].body;
        const bool is_replace = body.find("upserts") == body.npos;
        is_replace ? machine.config_service->replace(now_, body, respond)
                   : machine.config_service->modify(now_, body, respond);
        process_output(machine);
    }
    void on_reply(const Reply& reply) {
        const auto found = calls_.find(reply.call);
        if (found == calls_.end() || found->second.attempt != reply.attempt) return;
        Sent& call = found->second;
        const unsigned status = reply.response.status;
        if (status == 307 && ++call.redirects <= 2)
            return send(reply.call, call, std::stoul(reply.response.location) - 1);
        if (status >= 500 || status == 307) {
            call.redirects = 0;
            call.until = Time::max();
            call.again = now_ + call.pause;
            return;
        }
        if (call.change) {
            history.answered(*call.change, status);
            if (status == 200) learn_version(call.who, history.changes[*call.change].version);
        } else if (status == 200) {
            history.was_read(reply.response.body, call.acknowledged);
            learn_version(call.who,
                          *mesh_config::parse_version(
                              mesh_config::Json::parse(reply.response.body)["version"].get<std::string>()));
        }
        calls_.erase(found);
    }
    void learn_version(int who, Version version) { known_[who] = std::max(known_[who], version); }

    bool call_until_definite(std::optional<std::size_t> change, Duration within) {
        call(change, 0);
        for (const Time end = now_ + within; now_ < end && calls_.contains(last_call_);) step();
        return !calls_.contains(last_call_);
    }
    void read_until_done() { CHECK(call_until_definite(std::nullopt, 5s)); }

    std::vector<Machine> machines_;
    std::mt19937_64 random_;
    Time now_{1s}, next_fault_{2s};
    unsigned loss_ = 0, duplicated_ = 0, delayed_ = 0, answers_lost_ = 20;
    bool power_cuts_ = false;
    std::set<std::pair<std::size_t, std::size_t>> partitioned_;
    std::vector<Envelope> in_flight_;
    std::vector<Reply> replies_;
    std::map<std::uint64_t, Sent> calls_;
    std::uint64_t last_call_ = 0;
    std::array<Version, 2> known_{};
};

}  // namespace

TEST_CASE(
    "two operators through partitions, kills and lost answers: one change per version, none lost or undone") {
    const char* days_text = std::getenv("MARTENFORD_ORDER_DAYS");
    const std::uint64_t days = days_text ? std::stoul(days_text) : 100;
    std::size_t accepted = 0, rejected = 0, sent = 0;
    for (std::uint64_t seed = 1; seed <= days; ++seed) {
        World world(std::array{1u, 3u, 5u, 3u}[seed % 4], seed);
        const std::string violation = world.play();
        CAPTURE(seed);
        CHECK(violation == "");
        accepted += world.history.accepted.size();
        rejected += world.history.rejected.size();
        sent += world.history.changes.size();
    }
    MESSAGE(days << " days: " << sent << " changes, " << accepted << " accepted, " << rejected
                 << " rejected");
    CHECK(accepted > 4 * days);  // a run without both shows nothing
    CHECK(rejected > 4 * days);
}
