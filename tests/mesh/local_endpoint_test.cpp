// The endpoint beside a proxy: heartbeats as they are parsed, and what the proxy makes of them, of health
// probes and of failed attempts. In virtual time, with the real admission controller and no sockets.
#include "proxy/local_endpoint.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "http1/protocol.h"

using namespace martenford;
using proxy::LocalEndpoint;
using registry::EndpointState;

namespace {

constexpr Duration kHeartbeatInterval = 1000ms;

struct VirtualScheduler : Scheduler {
    Time now() const override { return time; }
    Key add(Time when, std::function<void()> what) override {
        const Key key{when, ++last};
        timers[key] = std::move(what);
        return key;
    }
    void remove(const Key& key) override { timers.erase(key); }
    void run_until(Time end) {
        while (!timers.empty() && timers.begin()->first.first <= end) {
            auto timer = timers.extract(timers.begin());
            time = std::max(time, timer.key().first);
            timer.mapped()();
        }
        time = end;
    }

    Time time{1000s};
    std::uint64_t last = 0;
    std::map<Key, std::function<void()>> timers;
};

struct RecordingPlacement : EndpointTable {
    void set_endpoint(EndpointId id, const Address& address, bool) override { placed[id] = text_of(address); }
    void remove(EndpointId id) override { placed.erase(id); }

    std::map<EndpointId, std::string> placed;
};

struct ProbeDouble : EndpointClient {
    Handle send(EndpointId, std::shared_ptr<const Message>, Time, Done) override { return {}; }
    void probe(EndpointId id, Done done) override { probes.emplace_back(id, std::move(done)); }
    void close_idle_connections(EndpointId) override {}
    void answer_last(const std::string& instance_id) {
        auto head = std::make_shared<HttpAnswerHead>();
        head->fields.set("Instance-Id", instance_id);
        Result result;
        result.status = decision::Status::Ok;
        result.head = head;
        std::exchange(probes.back().second, nullptr)(std::move(result));
    }
    void fail_last() { std::exchange(probes.back().second, nullptr)(Result{}); }

    std::vector<std::pair<EndpointId, Done>> probes;
};

struct Beside {
    explicit Beside(std::optional<Address> probe_address = {})
        : endpoint({kHeartbeatInterval, std::move(probe_address), {}},
                   {scheduler, placement, back, admission, [this] { ++changes; }}) {}

    control_api::Response heartbeat(const std::string& id, int sequence_number,
                                    const std::string& state = "ready", int slots = 8) {
        return endpoint.handle_heartbeat(
            {control_api::CallName::Heartbeat, id, body(sequence_number, state, std::to_string(slots))});
    }
    static std::string body(int sequence_number, const std::string& state, const std::string& slots) {
        return R"({"address":"127.0.0.1:9000","node_info":{"service":"web","slots":)" + slots +
               R"(},"status":{"state":")" + state + R"(","call_seq":)" + std::to_string(sequence_number) +
               "}}";
    }
    control_api::Response raw(const std::string& body) {
        return endpoint.handle_heartbeat({control_api::CallName::Heartbeat, "a", body});
    }
    control_api::Response deregister(const std::string& id) {
        return endpoint.handle_deregister({control_api::CallName::Deregister, id, ""});
    }
    const registry::ProxyRegistration& registration() const { return endpoint.registration(); }

    VirtualScheduler scheduler;
    RecordingPlacement placement;
    ProbeDouble back;
    admission::AdmissionController admission{{}};
    int changes = 0;
    LocalEndpoint endpoint;
};

}  // namespace

TEST_CASE("a first heartbeat registers the endpoint, places it and opens admission") {
    Beside beside;
    const auto response = beside.heartbeat("a", 1);
    CHECK(response.status == 200);
    CHECK(response.body == "{}");
    CHECK(beside.registration().instance_id == "a");
    CHECK(beside.registration().state == EndpointState::Ready);
    CHECK(beside.registration().service == "web");
    CHECK(beside.registration().slots == 8);
    CHECK(beside.registration().seq == 1);
    CHECK(beside.admission.instance_id() == "a");
    CHECK(beside.placement.placed == std::map<EndpointId, std::string>{{EndpointId{1}, "127.0.0.1:9000"}});
    CHECK(beside.changes == 1);
    // One that says the same again changes nothing that others go by.
    CHECK(beside.heartbeat("a", 2).status == 200);
    CHECK(beside.changes == 1);
    CHECK(beside.registration().seq == 1);
}

TEST_CASE("a malformed heartbeat is rejected with 400 and the reason, and changes nothing") {
    Beside beside;
    const std::string no_object = R"({"error":"no JSON object"})";
    const std::string incomplete = R"({"error":"a field is missing or of another type"})";
    const std::string out_of_range = R"({"error":"a field is out of range"})";
    const std::pair<std::string, std::string> cases[] = {
        {"", no_object},
        {"{", no_object},
        {"[]", no_object},
        {"{}", incomplete},
        {R"({"address":"127.0.0.1:9000","node_info":[],"status":{}})", incomplete},
        {Beside::body(1, "ready", "\"8\""), incomplete},
        {Beside::body(1, "ready", "0"), out_of_range},
        {Beside::body(1, "ready", "100001"), out_of_range},
        {Beside::body(1, "asleep", "8"), out_of_range},
        {R"({"address":"nowhere","node_info":{"service":"web","slots":8},"status":{"state":"ready","call_seq":1}})",
         out_of_range}};
    for (const auto& [body, reason] : cases) {
        CAPTURE(body);
        const auto response = beside.raw(body);
        CHECK(response.status == 400);
        CHECK(response.body == reason);
    }
    CHECK(beside.changes == 0);
    CHECK(beside.placement.placed.empty());
    CHECK(beside.raw(Beside::body(1, "ready", "100000")).status == 200);
}

TEST_CASE("remaining warm-up is optional and at most an hour") {
    const auto parse = [](const std::string& cold) {
        const auto parsed = proxy::parse_heartbeat(
            R"({"address":"127.0.0.1:9000","node_info":{"service":"web","slots":8},"status":{"state":"ready","call_seq":1)" +
            cold + "}}");
        REQUIRE(std::holds_alternative<proxy::Heartbeat>(parsed));
        return std::get<proxy::Heartbeat>(parsed).cold_left_ms;
    };
    CHECK(parse("") == 0);
    CHECK(parse(R"(,"cold_left_ms":1500)") == 1500);
    CHECK(parse(R"(,"cold_left_ms":-1)") == 0);
    CHECK(parse(R"(,"cold_left_ms":3600001)") == 3'600'000);
    CHECK(parse(R"(,"cold_left_ms":"x")") == 0);
}

TEST_CASE("a heartbeat that arrives out of order keeps the endpoint alive, and its content is ignored") {
    Beside beside;
    beside.heartbeat("a", 5, "draining");
    REQUIRE(beside.registration().state == EndpointState::Draining);
    beside.scheduler.run_until(beside.scheduler.now() + 2500ms);
    CHECK(beside.heartbeat("a", 4, "ready", 16).status == 200);
    CHECK(beside.heartbeat("a", 5, "ready", 16).status == 200);
    CHECK(beside.registration().state == EndpointState::Draining);
    CHECK(beside.registration().slots == 8);
    CHECK(beside.changes == 1);
    beside.scheduler.run_until(beside.scheduler.now() + 2500ms);
    beside.endpoint.check_heartbeats();
    CHECK(beside.registration().state == EndpointState::Draining);
}

TEST_CASE("an endpoint is removed after 2.6 heartbeat intervals without a heartbeat, and not at 2.6") {
    Beside beside;
    beside.heartbeat("a", 1);
    beside.scheduler.run_until(beside.scheduler.now() + 2600ms);
    beside.endpoint.check_heartbeats();
    CHECK(beside.registration().state == EndpointState::Ready);
    beside.scheduler.run_until(beside.scheduler.now() + 1ms);
    beside.endpoint.check_heartbeats();
    CHECK(beside.registration().state == EndpointState::Absent);
    CHECK(beside.registration().instance_id.empty());
    CHECK(beside.registration().seq == 2);
    CHECK(beside.placement.placed.empty());
    beside.endpoint.check_heartbeats();
    CHECK(beside.changes == 2);
    // It only paused: the same instance may come back, with any number.
    beside.heartbeat("a", 1);
    CHECK(beside.registration().instance_id == "a");
    CHECK(beside.changes == 3);
}

TEST_CASE("heartbeats of an instance that was deregistered or replaced are ignored") {
    Beside beside;
    beside.heartbeat("a", 1);
    beside.heartbeat("b", 1);
    CHECK(beside.registration().instance_id == "b");
    CHECK(beside.heartbeat("a", 2).status == 200);
    CHECK(beside.registration().instance_id == "b");
    CHECK(beside.deregister("a").status == 200);
    CHECK(beside.registration().instance_id == "b");
    CHECK(beside.deregister("b").body == "{}");
    CHECK(beside.registration().state == EndpointState::Absent);
    CHECK(beside.heartbeat("b", 3).status == 200);
    CHECK(beside.registration().state == EndpointState::Absent);
    CHECK(beside.changes == 3);
}

TEST_CASE("after SIGTERM the present endpoint stays for a while, and an unknown instance is ignored") {
    Beside beside;
    beside.heartbeat("a", 1);
    beside.endpoint.begin_shutdown(1500ms);
    CHECK(beside.heartbeat("b", 1).status == 200);
    CHECK(beside.registration().instance_id == "a");
    beside.heartbeat("a", 2, "ready", 4);
    CHECK(beside.registration().slots == 4);
    beside.scheduler.run_until(beside.scheduler.now() + 1499ms);
    CHECK(beside.registration().state == EndpointState::Ready);
    beside.scheduler.run_until(beside.scheduler.now() + 1ms);
    CHECK(beside.registration().state == EndpointState::Absent);
    // It goes on sending heartbeats, and is not registered again.
    const int changes = beside.changes;
    CHECK(beside.heartbeat("a", 3).status == 200);
    CHECK(beside.registration().state == EndpointState::Absent);
    CHECK(beside.changes == changes);
}

TEST_CASE("two connection failures in a row remove the endpoint, from the loop and not amid the attempt") {
    Beside beside;
    beside.heartbeat("a", 1);
    const auto end = [&](decision::Status status) { beside.endpoint.handle_attempt_end(status); };
    end(decision::Status::ConnectFailed);
    end(decision::Status::Ok);
    end(decision::Status::ConnectFailed);
    beside.heartbeat("a", 2);  // resets the count as well
    end(decision::Status::ConnectFailed);
    end(decision::Status::Error);
    beside.scheduler.run_until(beside.scheduler.now());
    CHECK(beside.registration().state == EndpointState::Ready);
    end(decision::Status::ConnectFailed);
    CHECK(beside.registration().state == EndpointState::Ready);
    beside.scheduler.run_until(beside.scheduler.now());
    CHECK(beside.registration().state == EndpointState::Absent);
}

TEST_CASE("an endpoint that runs already is found by its health check") {
    Beside beside(parse_address("127.0.0.1:9000"));
    beside.endpoint.probe_if_unknown();
    REQUIRE(beside.back.probes.size() == 1);
    beside.back.answer_last("a");
    CHECK(beside.registration().instance_id == "a");
    CHECK(beside.registration().slots == 4);
    CHECK(beside.admission.instance_id() == "a");
    CHECK(beside.changes == 1);
    // Its heartbeat gives the rest.
    beside.heartbeat("a", 1);
    CHECK(beside.registration().slots == 8);
    beside.endpoint.probe_if_unknown();
    CHECK(beside.back.probes.size() == 1);
}

TEST_CASE("failed health probes are repeated every 250 ms, four in all, and stop at a heartbeat") {
    Beside beside(parse_address("127.0.0.1:9000"));
    beside.endpoint.probe_if_unknown();
    for (std::size_t sent = 1; sent <= 4; ++sent) {
        CHECK(beside.back.probes.size() == sent);
        beside.back.fail_last();
        CHECK(beside.placement.placed.empty());
        beside.scheduler.run_until(beside.scheduler.now() + 249ms);
        CHECK(beside.back.probes.size() == sent);
        beside.scheduler.run_until(beside.scheduler.now() + 1ms);
    }
    CHECK(beside.back.probes.size() == 4);

    Beside informed(parse_address("127.0.0.1:9000"));
    informed.endpoint.probe_if_unknown();
    informed.heartbeat("b", 1);
    informed.back.answer_last("a");  // late: the heartbeat is newer
    CHECK(informed.registration().instance_id == "b");
    CHECK(informed.placement.placed.size() == 1);
    informed.endpoint.probe_if_unknown();
    CHECK(informed.back.probes.size() == 1);

    Beside without_address;
    without_address.endpoint.probe_if_unknown();
    CHECK(without_address.back.probes.empty());
}
