// ConfigService on a Raft group of three in virtual time: complete exchanges of an operator, as approved
// transcripts.
#include "config_service/config_service.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

#include "approved.h"

using namespace martenford;

namespace {

/// Three Raft nodes, each with its ConfigService. Messages arrive at once unless a machine is partitioned.
class RaftGroup {
  public:
    RaftGroup() {
        std::vector<raft::Member> voters;
        for (std::size_t i = 0; i < 3; ++i)
            voters.push_back({i + 1, "10.0.0." + std::to_string(i + 1) + ":7000"});
        for (std::size_t i = 0; i < 3; ++i) {
            raft::PersistentState state;
            state.self_id = i + 1;
            state.last_entry.voters = state.committed_entry.voters = voters;
            auto& machine = machines_[i];
            machine.raft = std::make_unique<raft::RaftNode>(voters[i], state, raft::RaftOptions{}, i + 11);
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
    void set_partitioned(std::size_t i, bool partitioned) { machines_[i].partitioned = partitioned; }

    /// Sends a call to machine `at`, adds it and its answer to the transcript, and returns the status; 0: no
    /// answer.
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
        // The leader is elected at random: its address is no part of the transcript.
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
        bool partitioned = false;
    };
    void deliver() {
        for (bool more = true; more;) {
            more = false;
            for (auto& from : machines_) {
                while (from.raft->take_persist_request()) from.raft->on_persisted(now_);
                for (const auto& message : from.raft->take_messages()) {
                    Machine& to = machines_[message.to - 1];
                    if (from.partitioned != to.partitioned) continue;
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

TEST_CASE("an operator's changes: accepted, repeated, conflicting, invalid, by name; and a read") {
    RaftGroup group;
    const std::size_t leader = group.leader(), other = (leader + 1) % 3;
    REQUIRE(leader < 3);
    group.call(leader, "operator", "read");
    group.call(other, "operator", "replace", config("00000003", "00000000"));
    group.call(leader, "operator", "replace", config("00000003", "00000000"));
    group.call(leader, "operator, resent", "replace", config("00000003", "00000000"));
    group.call(leader, "one of two", "replace", config("00000005", "00000003"));
    group.call(leader, "the other", "replace", config("00000006", "00000003", "huvo", 2000));
    group.call(leader, "operator, resent late", "replace", config("00000003", "00000000"));
    group.call(leader, "unknown service", "replace", config("00000007", "00000005", "nobody"));
    group.call(leader, "no timeout", "replace", config("00000007", "00000005", "huvo", 0));
    group.call(leader, "long timeout", "replace", config("00000007", "00000005", "huvo", 600001));
    group.call(leader, "bare prefix", "replace", config("00000007", "00000005", "huvo", 3000, "a/"));
    group.call(leader, "old version", "replace", config("00000004", "00000005"));
    group.call(leader, "cut short", "replace", config("00000007", "00000005").substr(0, 120));
    group.call(
        leader, "operator", "modify",
        R"({"version":"00000009","base_version":"00000005","upserts":{"listeners":[{"host":"h.example","rule_set":[{"name":"r-2","route_kind":"non_idempotent","matcher":{"path_prefix":"/b/"},"route_action":{"service":"huvo","timeout_ms":1000}}]}]},"removals":{"routes":["r-1"]}})");
    group.call(leader, "operator", "read");
    approve("operator", group.transcript);
}

TEST_CASE("every rejection of a change keeps its status, its body and its position in the order of checks") {
    RaftGroup group;
    const std::size_t leader = group.leader();
    const auto replace = [&](const std::string& who, const std::string& body) {
        group.call(leader, who, "replace", body);
    };
    const auto modify = [&](const std::string& who, const std::string& body) {
        group.call(leader, who, "modify", body);
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
    group.call(leader, "operator", "read");
    approve("operator_rejections", group.transcript);
}

TEST_CASE("a partitioned leader gives neither 200 nor 412") {
    RaftGroup group;
    const std::size_t old_leader = group.leader();
    REQUIRE(group.call(old_leader, "operator", "replace", config("00000003", "00000000")) == 200);
    group.set_partitioned(old_leader, true);
    // Appended, but never on a majority: no 200. Nor is its committed version known to be current: no 412.
    const unsigned answer = group.call(old_leader, "operator", "replace", config("00000004", "00000003"));
    CHECK(answer != 200);
    CHECK(answer != 412);
    CHECK(group.call(old_leader, "operator", "read") != 200);
    group.run(2s);
    const std::size_t new_leader = group.leader();
    REQUIRE(new_leader < 3);
    CHECK(new_leader != old_leader);
    CHECK(group.call(new_leader, "operator", "replace", config("00000005", "00000003")) == 200);
    group.set_partitioned(old_leader, false);
    group.run(3s);
    // The change that the partitioned leader could not commit is not in force anywhere.
    CHECK(group.call(group.leader(), "operator", "replace", config("00000004", "00000003")) == 412);
}

TEST_CASE(
    "after thousands of changes: a repeated call in the history gets 200, one before the history never a "
    "rejection") {
    RaftGroup group;
    const std::size_t leader = group.leader();
    const auto version = [](std::uint32_t i) { return mesh_config::text_of(i * 3); };
    constexpr std::uint32_t kChanges = 4200;
    for (std::uint32_t i = 1; i <= kChanges; ++i)
        REQUIRE(group.call(leader, "", "replace", config(version(i), version(i - 1))) == 200);
    const auto sent = [&](std::uint32_t i, int timeout = 3000) {
        return group.call(leader, "", "replace", config(version(i), version(i - 1), "huvo", timeout));
    };
    CHECK(sent(1) == 503);
    CHECK(sent(kChanges - 4096) == 503);
    CHECK(sent(kChanges - 4095) == 200);
    CHECK(sent(kChanges - 4095, 2000) == 412);
    CHECK(sent(kChanges) == 200);
}

TEST_CASE("a body nested a million deep is rejected, and the leader goes on") {
    RaftGroup group;
    const std::string deep = R"({"version":"00000003","base_version":0,"listeners":[],"clusters":[],"x":)" +
                             std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}";
    CHECK(group.call(group.leader(), "", "replace", deep) == 400);
    CHECK(group.call(group.leader(), "", "replace", config("00000003", "00000000")) == 200);
}

// Guards against a controller over its memory limit: 8 MB of empty objects took 240 MB once they were parsed,
// on each controller that the operator sent them to.
TEST_CASE("a body with more values than a configuration has is rejected, and the leader goes on") {
    RaftGroup group;
    std::string wide =
        R"({"version":"00000003","base_version":"00000000","listeners":[],"clusters":[],"x":[{})";
    for (int i = 0; i < 1'000'000; ++i) wide += ",{}";
    wide += "]}";
    CHECK(group.call(group.leader(), "", "replace", wide) == 400);
    const std::string commas_in_text = R"({"version":"00000003","base_version":"00000000","x":")" +
                                       std::string(2'000'000, ',') + R"(","listeners":[],"clusters":[]})";
    CHECK(group.call(group.leader(), "", "replace", commas_in_text) == 200);
}

TEST_CASE("parse_change_request: types at the edge, and errors with the version where it was readable") {
    using namespace config_service;
    const auto parse = [](const char* body) { return parse_change_request(CallKind::Replace, body); };
    const auto accepted = [&](const char* body) {
        const auto parsed = parse(body);
        REQUIRE(std::holds_alternative<ChangeRequest>(parsed));
        return std::get<ChangeRequest>(parsed);
    };
    CHECK(accepted(R"({"version":"1f","base_version":"1e"})").version == 0x1f);
    CHECK(accepted(R"({"version":"1f","base_version":"1e"})").base_version == 0x1e);
    CHECK(accepted(R"({"version":"ffffffff"})").base_version == 0);
    CHECK(accepted(R"({"version":"1","base_version":0})").base_version == 0);
    CHECK(std::holds_alternative<ReplaceDocument>(accepted(R"({"version":"1"})").operation));
    const auto modify = parse_change_request(CallKind::Modify, R"({"version":"1"})");
    CHECK(std::holds_alternative<ModifyDocument>(std::get<ChangeRequest>(modify).operation));

    const auto fails = [&](const char* body, RequestError::Code code, std::optional<std::uint32_t> version) {
        CAPTURE(body);
        const auto parsed = parse(body);
        REQUIRE(std::holds_alternative<RequestError>(parsed));
        CHECK(std::get<RequestError>(parsed).code == code);
        CHECK(requested_version(parsed) == version);
    };
    using Code = RequestError::Code;
    fails("", Code::NotAnObject, std::nullopt);
    fails("[]", Code::NotAnObject, std::nullopt);
    fails(R"({"version":"1")", Code::NotAnObject, std::nullopt);
    fails("{}", Code::InvalidVersion, std::nullopt);
    fails(R"({"version":1})", Code::InvalidVersion, std::nullopt);
    fails(R"({"version":"123456789"})", Code::InvalidVersion, std::nullopt);
    fails(R"({"version":"1","base_version":"x"})", Code::InvalidBaseVersion, 1);
    fails(R"({"version":"1","base_version":2})", Code::InvalidBaseVersion, 1);
}
