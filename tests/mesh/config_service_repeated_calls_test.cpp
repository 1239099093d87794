// Two operators, up to eight orders at once, on a core of one, three or five in virtual time: messages and
// answers are lost, doubled and late, machines are cut off, killed and restarted. What the operators saw is
// then judged by a history that knows nothing of the system.
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

struct Order {
    Version version = 0, base = 0;
    bool valid = true;
    std::string body;
};

/// What was sent and seen. Each order leaves its number in the configuration (its idle time-out).
class History {
  public:
    std::vector<Order> orders;
    std::set<std::size_t> taken, refused;  // by the answers that arrived
    std::string fault;                     // the first that was found

    void answered(std::size_t order, unsigned status) {
        if (status == 200) {
            taken.insert(order);
            acknowledged_ = std::max(acknowledged_, orders[order].version);
        }
        if (status >= 400 && status < 500) refused.insert(order);
        check(!taken.contains(order) || !refused.contains(order), "taken and refused", order);
        check(orders[order].valid || status != 200, "invalid and taken", order);
        for (const std::size_t other : taken) {
            if (other == order || status != 200) continue;
            check(orders[other].base != orders[order].base, "two on one base", order);
            check(orders[other].version != orders[order].version, "two under one number", order);
        }
    }
    Version acknowledged() const { return acknowledged_; }
    /// A configuration was read by a call that was sent when `acknowledged` was the newest.
    void was_read(const std::string& document, Version acknowledged) {
        const auto json = mesh_config::Json::parse(document);
        const auto order = json["limits"]["idle_timeout_ms"].get<std::size_t>() - 1;
        const Order& found = orders.at(order);
        check(found.valid && json["version"] == mesh_config::text_of(found.version), "read: not as sent",
              order);
        check(found.version >= acknowledged, "read: older than what was acknowledged", order);
        in_force_.insert(order);
    }
    /// At the end, when each order has had a clear answer; the last that was read is in force.
    void end(std::size_t last) {
        for (const std::size_t order : in_force_)
            check(!refused.contains(order), "refused and in force", order);
        std::map<Version, std::size_t> by_version;
        for (const std::size_t order : taken) by_version[orders[order].version] = order;
        for (const std::size_t order : in_force_) by_version[orders[order].version] = order;
        std::set<std::size_t> chain{last};
        for (Version at = orders[last].base; at != 0 && by_version.contains(at);
             at = orders[by_version[at]].base)
            chain.insert(by_version[at]);
        for (const std::size_t order : taken)
            check(chain.contains(order), "taken, and not built upon", order);
        for (const std::size_t order : refused) {
            const bool won = std::any_of(taken.begin(), taken.end(), [&](std::size_t other) {
                return orders[other].base == orders[order].base;
            });
            check(won || !orders[order].valid, "refused, and no other won", order);
        }
    }

  private:
    void check(bool holds, const std::string& what, std::size_t order) {
        if (!holds && fault.empty()) fault = what + ": order " + std::to_string(order);
    }
    Version acknowledged_ = 0;
    std::set<std::size_t> in_force_;
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

    /// The whole day; what it broke.
    std::string play() {
        for (const Time end = now_ + 20s; now_ < end;) {
            step();
            if (now_ >= next_trouble_) trouble();
            for (int who = 0; who < 2; ++who) operate(who);
        }
        // All is mended; every order is sent until its answer is clear, those that had one too.
        quiet();
        for (auto& machine : machines_) machine.raft ? void() : start(machine);
        calls_.clear();
        const auto clear = [this](std::size_t order) { return call_until_clear(order, 5s); };
        for (std::size_t order = 0; order < history.orders.size(); ++order) {
            if (!clear(order)) return "no clear answer at the end: order " + std::to_string(order);
        }
        read_until_done();
        const Version base = known_[0];
        history.orders.push_back(drawn(0, base, base + 1, true));
        if (!clear(history.orders.size() - 1) || !history.taken.contains(history.orders.size() - 1))
            return "a proper order was not taken at the end";
        read_until_done();
        history.end(history.orders.size() - 1);
        return history.fault;
    }
    History history;

  private:
    struct Machine {
        raft::Member self;
        raft::PersistentState disk;  // what is on it
        std::unique_ptr<raft::RaftNode> raft;
        std::unique_ptr<config_service::ConfigService> config_service;
        std::uint64_t life = 0;
    };
    struct Letter {
        Time at;
        std::size_t from, to;
        raft::Message message;
    };
    struct Sent {  // an order, or a read, of an operator
        std::optional<std::size_t> order;
        int who = 0;
        Version acknowledged = 0;  // when it was sent
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
        // As it comes back from the records of a real disk.
        const auto disk = rpc::disk_of(rpc::records_of(machine.disk));
        REQUIRE(disk);
        machine.raft = std::make_unique<raft::RaftNode>(machine.self, *disk, raft::RaftOptions{}, random_());
        machine.config_service = std::make_unique<config_service::ConfigService>(*machine.raft);
        machine.config_service->control_address_of = [](const raft::Member& member) {
            return std::to_string(member.id);
        };
        ++machine.life;
    }
    void stop(Machine& machine) {
        machine.config_service.reset();
        machine.raft.reset();
    }
    /// As controller's turn(): to disk, out, then to those who wait. Now and then the power goes in between.
    void turn(Machine& machine) {
        do {
            if (machine.raft->take_persist_request()) {
                if (power_cuts_ && chance(5)) return stop(machine);
                machine.disk = machine.raft->persistent_state();
                if (power_cuts_ && chance(5)) return stop(machine);
                machine.raft->on_persisted(now_);
            }
            for (auto& message : machine.raft->take_messages()) {
                const std::size_t from = machine.self.id - 1, to = message.to - 1;
                if (cut_.contains({from, to})) continue;
                for (unsigned copies = chance(loss_) ? 0 : chance(doubled_) ? 2 : 1; copies > 0; --copies)
                    letters_.push_back({now_ + delay(), from, to, message});
            }
            machine.config_service->process_pending(now_);
        } while (machine.raft->has_output());
    }
    Duration delay() { return Duration{chance(late_) ? below(1500) * 1'000'000 : below(20) * 1'000'000}; }

    void step() {
        now_ += 5ms;
        for (auto& machine : machines_) {
            if (!machine.raft) continue;
            machine.raft->tick(now_);
            turn(machine);
        }
        for (std::size_t i = 0; i < letters_.size();) {
            if (letters_[i].at > now_) {
                ++i;
                continue;
            }
            const Letter letter = std::move(letters_[i]);
            letters_[i] = std::move(letters_.back());
            letters_.pop_back();
            Machine& to = machines_[letter.to];
            if (!to.raft || cut_.contains({letter.from, letter.to})) continue;
            to.raft->receive(now_, letter.message);
            turn(to);
        }
        for (std::size_t i = 0; i < replies_.size();) {
            if (replies_[i].at > now_) {
                ++i;
                continue;
            }
            const Reply reply = std::move(replies_[i]);
            replies_.erase(replies_.begin() + static_cast<std::ptrdiff_t>(i));
            seen(reply);
        }
        for (auto& [id, call] : calls_) {
            if (now_ >= call.until) call.until = Time::max(), call.again = now_ + (call.pause *= 2);
            if (now_ >= call.again) send(id, call, below(machines_.size()));
        }
    }

    void trouble() {
        next_trouble_ = now_ + Duration{(100 + below(1500)) * 1'000'000};
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
            case 2:  // the leader is cut off: from all, or one way
            case 3:
                for (std::size_t i = 0; i < machines_.size(); ++i) {
                    if (i == leader) continue;
                    cut_.insert({leader, i});
                    if (chance(60)) cut_.insert({i, leader});
                }
                return;
            case 4:
                for (auto& machine : machines_) stop(machine);
                return;
            case 5:
                loss_ = below(30), doubled_ = below(30), late_ = below(20), answers_lost_ = below(60);
                return;
            case 6:
                power_cuts_ = !power_cuts_;
                return;
            default:
                quiet();
                for (auto& machine : machines_) machine.raft ? void() : start(machine);
        }
    }
    void quiet() {
        cut_.clear();
        loss_ = doubled_ = late_ = answers_lost_ = 0;
        power_cuts_ = false;
    }

    Order drawn(int who, Version base, Version version, bool valid) {
        const std::string mark = std::to_string(history.orders.size() + 1);
        const std::string head = R"({"version":")" + mesh_config::text_of(version) + R"(","base_version":")" +
                                 mesh_config::text_of(base) + R"(",)";
        const std::string limits = R"("limits":{"idle_timeout_ms":)" + mark + R"(,"max_body_bytes":)" +
                                   std::to_string(valid ? who : -1) + "}";
        const bool whole = base == 0 || chance(50);
        return {version, base, valid,
                head +
                    (whole ? limits + R"(,"listeners":[],"clusters":[])" : R"("upserts":{)" + limits + "}") +
                    "}"};
    }
    /// Four orders at most of each, two kinds of haste: on the newest that is known, by numbers that clash.
    void operate(int who) {
        const auto under_way = std::count_if(calls_.begin(), calls_.end(),
                                             [&](const auto& call) { return call.second.who == who; });
        if (under_way >= 4 || !chance(3)) return;
        if (chance(25)) return call(std::nullopt, who);
        if (chance(20) && !history.orders.empty()) return call(below(history.orders.size()), who);
        const Version base = known_[who];
        history.orders.push_back(drawn(who, base, base + 1 + static_cast<Version>(below(2)), !chance(10)));
        call(history.orders.size() - 1, who);
    }
    void call(std::optional<std::size_t> order, int who) {
        Sent& call = calls_[++last_call_];
        call.order = order;
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
        if (!call.order) return machine.config_service->read(now_, respond), turn(machine);
        const std::string& body = history.orders[*call.order].body;
        const bool whole = body.find("upserts") == body.npos;
        whole ? machine.config_service->replace(now_, body, respond)
              : machine.config_service->modify(now_, body, respond);
        turn(machine);
    }
    void seen(const Reply& reply) {
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
        if (call.order) {
            history.answered(*call.order, status);
            if (status == 200) known(call.who, history.orders[*call.order].version);
        } else if (status == 200) {
            history.was_read(reply.response.body, call.acknowledged);
            known(call.who, *mesh_config::parse_version(
                                mesh_config::Json::parse(reply.response.body)["version"].get<std::string>()));
        }
        calls_.erase(found);
    }
    void known(int who, Version version) { known_[who] = std::max(known_[who], version); }

    bool call_until_clear(std::optional<std::size_t> order, Duration within) {
        call(order, 0);
        for (const Time end = now_ + within; now_ < end && calls_.contains(last_call_);) step();
        return !calls_.contains(last_call_);
    }
    void read_until_done() { CHECK(call_until_clear(std::nullopt, 5s)); }

    std::vector<Machine> machines_;
    std::mt19937_64 random_;
    Time now_{1s}, next_trouble_{2s};
    unsigned loss_ = 0, doubled_ = 0, late_ = 0, answers_lost_ = 20;
    bool power_cuts_ = false;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::vector<Letter> letters_;
    std::vector<Reply> replies_;
    std::map<std::uint64_t, Sent> calls_;
    std::uint64_t last_call_ = 0;
    std::array<Version, 2> known_{};
};

}  // namespace

TEST_CASE(
    "two operators through cuts, kills and lost answers: one under each number, nothing lost or undone") {
    const char* asked = std::getenv("MARTENFORD_ORDER_DAYS");
    const std::uint64_t days = asked ? std::stoul(asked) : 100;
    std::size_t taken = 0, refused = 0, sent = 0;
    for (std::uint64_t seed = 1; seed <= days; ++seed) {
        World world(std::array{1u, 3u, 5u, 3u}[seed % 4], seed);
        const std::string fault = world.play();
        CAPTURE(seed);
        CHECK(fault == "");
        taken += world.history.taken.size();
        refused += world.history.refused.size();
        sent += world.history.orders.size();
    }
    MESSAGE(days << " days: " << sent << " orders, " << taken << " taken, " << refused << " refused");
    CHECK(taken > 4 * days);  // days on which nothing happens show nothing
    CHECK(refused > 4 * days);
}
