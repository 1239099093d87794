// The operator's calls on a core of three in virtual time, as whole exchanges.
#include "config_service/config_service.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

#include "approved.h"

using namespace martenford;

namespace {

/// Three registers and their clerks; messages arrive at once unless a machine is cut off.
class Core {
  public:
    Core() {
        std::vector<raft::Member> voters;
        for (std::size_t i = 0; i < 3; ++i)
            voters.push_back({i + 1, "10.0.0." + std::to_string(i + 1) + ":7000"});
        for (std::size_t i = 0; i < 3; ++i) {
            raft::PersistentState disk;
            disk.self_id = i + 1;
            disk.last_entry.voters = disk.committed_entry.voters = voters;
            auto& machine = machines_[i];
            machine.raft = std::make_unique<raft::RaftNode>(voters[i], disk, raft::RaftOptions{}, i + 11);
            machine.config_service = std::make_unique<config_service::ConfigService>(*machine.raft);
            machine.config_service->control_address_of = [](const raft::Member& m) {
                return "http://" + m.address.substr(0, m.address.find(':')) + ":8000";
            };
        }
        run(3s);
    }
    void run(Duration time) {
        for (const Time until = now_ + time; now_ < until; now_ += 10ms) {
            for (auto& machine : machines_) machine.raft->tick(now_);
            deliver();
        }
    }
    std::size_t leader() const {
        for (std::size_t i = 0; i < 3; ++i) {
            if (machines_[i].raft->has_leader_lease(now_)) return i;
        }
        return 3;
    }
    void cut(std::size_t i, bool is) { machines_[i].cut = is; }

    /// A call and its answer, added to the transcript.
    unsigned call(std::size_t at, const std::string& who, const std::string& what,
                  const std::string& body = "") {
        std::optional<control_api::Response> answer;
        const auto respond = [&answer](control_api::Response&& response) { answer = std::move(response); };
        config_service::ConfigService& config_service = *machines_[at].config_service;
        if (what == "replace") config_service.replace(now_, body, respond);
        if (what == "modify") config_service.modify(now_, body, respond);
        if (what == "read") config_service.read(now_, respond);
        for (int i = 0; i < 600 && !answer; ++i) run(10ms);
        transcript += who + ": " + what + (body.empty() ? "" : " " + body) + "\n";
        if (!answer) {
            transcript += "  -> no answer\n";
            return 0;
        }
        transcript += "  -> " + std::to_string(answer->status);
        // Which machine leads is drawn: its address is not part of what was approved.
        if (!answer->location.empty())
            transcript += " to the leader, " + answer->location.substr(answer->location.rfind(":8000") + 5);
        if (!answer->body.empty()) transcript += " " + answer->body;
        transcript += "\n";
        return answer->status;
    }
    std::string transcript;

  private:
    struct Machine {
        std::unique_ptr<raft::RaftNode> raft;
        std::unique_ptr<config_service::ConfigService> config_service;
        bool cut = false;
    };
    void deliver() {
        for (bool more = true; more;) {
            more = false;
            for (auto& from : machines_) {
                while (from.raft->take_persist_request()) from.raft->on_persisted(now_);
                for (const auto& message : from.raft->take_messages()) {
                    Machine& to = machines_[message.to - 1];
                    if (from.cut != to.cut) continue;
                    to.raft->receive(now_, message);
                    more = true;
                }
            }
            for (auto& machine : machines_) machine.config_service->process_pending(now_);
        }
    }
    Time now_{1s};
    std::array<Machine, 3> machines_;
};

std::string config(const std::string& version, const std::string& base, const std::string& service = "huvo",
                   int timeout = 3000, const std::string& prefix = "/a/") {
    return R"({"version":")" + version + R"(","base_version":")" + base +
           R"(","listeners":[{"host":"h.example","rule_set":[{"name":"r-1","route_kind":"idempotent","matcher":{"path_prefix":")" +
           prefix + R"("},"route_action":{"service":")" + service + R"(","timeout_ms":)" +
           std::to_string(timeout) + R"(,"max_attempts":2}}]}],"clusters":[{"name":"huvo"}]})";
}

}  // namespace

TEST_CASE("an operator's day: taken, resent, raced, invalid, changed by name, read") {
    Core core;
    const std::size_t leader = core.leader(), other = (leader + 1) % 3;
    REQUIRE(leader < 3);
    core.call(leader, "operator", "read");
    core.call(other, "operator", "replace", config("00000003", "00000000"));
    core.call(leader, "operator", "replace", config("00000003", "00000000"));
    core.call(leader, "operator, resent", "replace", config("00000003", "00000000"));
    core.call(leader, "one of two", "replace", config("00000005", "00000003"));
    core.call(leader, "the other", "replace", config("00000006", "00000003", "huvo", 2000));
    core.call(leader, "operator, resent late", "replace", config("00000003", "00000000"));
    core.call(leader, "unknown service", "replace", config("00000007", "00000005", "nobody"));
    core.call(leader, "no timeout", "replace", config("00000007", "00000005", "huvo", 0));
    core.call(leader, "long timeout", "replace", config("00000007", "00000005", "huvo", 600001));
    core.call(leader, "bare prefix", "replace", config("00000007", "00000005", "huvo", 3000, "a/"));
    core.call(leader, "old version", "replace", config("00000004", "00000005"));
    core.call(leader, "cut short", "replace", config("00000007", "00000005").substr(0, 120));
    core.call(
        leader, "operator", "modify",
        R"({"version":"00000009","base_version":"00000005","upserts":{"listeners":[{"host":"h.example","rule_set":[{"name":"r-2","route_kind":"non_idempotent","matcher":{"path_prefix":"/b/"},"route_action":{"service":"huvo","timeout_ms":1000}}]}]},"removals":{"routes":["r-1"]}})");
    core.call(leader, "operator", "read");
    approve("operator", core.transcript);
}

TEST_CASE("every rejection of a change keeps its status, its body and its place in the order of checks") {
    Core core;
    const std::size_t leader = core.leader();
    const auto replace = [&](const std::string& who, const std::string& body) {
        core.call(leader, who, "replace", body);
    };
    const auto modify = [&](const std::string& who, const std::string& body) {
        core.call(leader, who, "modify", body);
    };
    const std::string empty = R"("listeners":[],"clusters":[]})";
    modify("modify before any configuration", R"({"version":"1","upserts":{"clusters":[{"name":"x"}]}})");
    replace("no object", "[1]");
    replace("empty body", "");
    replace("version missing", "{" + empty);
    replace("version a number", R"({"version":3,)" + empty);
    replace("version too long", R"({"version":"000000003",)" + empty);
    replace("version not hexadecimal", R"({"version":"0x3",)" + empty);
    replace("version 0", R"({"version":"0",)" + empty);
    replace("version 0 and bad base", R"({"version":"0","base_version":"zz",)" + empty);
    replace("base not hexadecimal", R"({"version":"3","base_version":"zz",)" + empty);
    replace("base null", R"({"version":"3","base_version":null,)" + empty);
    replace("base false", R"({"version":"3","base_version":false,)" + empty);
    replace("base 1", R"({"version":"3","base_version":1,)" + empty);
    replace("bad version before bad base", R"({"version":"zz","base_version":"zz",)" + empty);
    replace("wrong base before unknown member type",
            R"({"version":"3","base_version":"9","limits":7,)" + empty);
    replace("no lists", R"({"version":"3"})");
    replace("limits of another type", R"({"version":"3","limits":7,)" + empty);
    replace("base the number 0.0", R"({"version":"3","base_version":0.0,)" + empty);
    replace("accepted: short version, no base", R"({"version":"3",)" + empty);
    replace("wrong base before old version", R"({"version":"2","base_version":"9",)" + empty);
    replace("same version", R"({"version":"3","base_version":"3",)" + empty);
    replace("old version before invalid document", R"({"version":"2","base_version":"3"})");
    const auto next = [](const std::string& more) {
        return R"({"version":"5","base_version":"3",)" + more + "}";
    };
    modify("removal from an unknown list", next(R"("removals":{"cats":["a"]})"));
    modify("upsert into an unknown list", next(R"("upserts":{"cats":["a"]})"));
    modify("upserts no object", next(R"("upserts":[])"));
    modify("removals no object", next(R"("removals":3)"));
    modify("upserts checked before removals", next(R"("upserts":[],"removals":3)"));
    modify("a name that is a number", next(R"("removals":{"routes":[1]})"));
    modify("a listener without a host", next(R"("upserts":{"listeners":[{"rule_set":[{"name":"r"}]}]})"));
    modify("a service without a name", next(R"("upserts":{"services":[{}]})"));
    modify("a limit of another type", next(R"("upserts":{"limits":{"idle_timeout_ms":"x"}})"));
    modify("limits no object", next(R"("upserts":{"limits":3})"));
    modify("two tenants with one key",
           next(R"("upserts":{"tenants":[{"name":"t","api_keys":["a"]},{"name":"u","api_keys":["a"]}]})"));
    modify("accepted: nothing but a version", R"({"version":"6","base_version":"3"})");
    modify("accepted: services, tenants, limits",
           R"({"version":"00000007","base_version":"6","upserts":{)"
           R"("services":[{"name":"y"}],"tenants":[{"name":"t","api_keys":["a"],"rate_per_s":1.5}],)"
           R"("limits":{"idle_timeout_ms":9}}})");
    modify("accepted: removals by both names of a list",
           R"({"version":"8","base_version":"7","removals":{)"
           R"("services":["y","none"],"tenants":["t"],"listeners":["none"],"rules":["none"]}})");
    core.call(leader, "operator", "read");
    approve("operator_rejections", core.transcript);
}

TEST_CASE("a leader that is cut off answers nothing that it can't be sure of") {
    Core core;
    const std::size_t old = core.leader();
    REQUIRE(core.call(old, "operator", "replace", config("00000003", "00000000")) == 200);
    core.cut(old, true);
    // Taken in, but never on a majority: no 200; and what is current there is not said either.
    const unsigned answer = core.call(old, "operator", "replace", config("00000004", "00000003"));
    CHECK(answer != 200);
    CHECK(answer != 412);
    CHECK(core.call(old, "operator", "read") != 200);
    core.run(2s);
    const std::size_t fresh = core.leader();
    REQUIRE(fresh < 3);
    CHECK(fresh != old);
    CHECK(core.call(fresh, "operator", "replace", config("00000005", "00000003")) == 200);
    core.cut(old, false);
    core.run(3s);
    // What was refused by the cut is not in force anywhere.
    CHECK(core.call(core.leader(), "operator", "replace", config("00000004", "00000003")) == 412);
}

TEST_CASE(
    "thousands of changes later: a call that is known is taken still, one that is forgotten is never "
    "refused") {
    Core core;
    const std::size_t leader = core.leader();
    const auto version = [](std::uint32_t i) { return mesh_config::text_of(i * 3); };
    constexpr std::uint32_t kChanges = 4200;
    for (std::uint32_t i = 1; i <= kChanges; ++i)
        REQUIRE(core.call(leader, "", "replace", config(version(i), version(i - 1))) == 200);
    const auto sent = [&](std::uint32_t i, int timeout = 3000) {
        return core.call(leader, "", "replace", config(version(i), version(i - 1), "huvo", timeout));
    };
    CHECK(sent(1) == 503);
    CHECK(sent(kChanges - 4096) == 503);
    CHECK(sent(kChanges - 4095) == 200);
    CHECK(sent(kChanges - 4095, 2000) == 412);
    CHECK(sent(kChanges) == 200);
}

TEST_CASE("a body that is nested without end is refused, and the leader lives") {
    Core core;
    const std::string deep = R"({"version":"00000003","base_version":0,"listeners":[],"clusters":[],"x":)" +
                             std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}";
    CHECK(core.call(core.leader(), "", "replace", deep) == 400);
    CHECK(core.call(core.leader(), "", "replace", config("00000003", "00000000")) == 200);
}
