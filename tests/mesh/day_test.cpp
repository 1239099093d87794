// Real processes over loopback: three controllers and four proxies, with the endpoints in this test. Start,
// configuration, heartbeats, traffic, draining, a proxy killed and restarted, the leader killed, a
// controller's disk lost. Each machine is an address of its own (127.x.y.z). All waits are for an observed
// event, none for a fixed time.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>

#include <map>
#include <set>

#include "mesh/rig/processes.h"
#include "mesh/rig/standins.h"

using namespace martenford;
using rig::at;
using rig::Endpoint;
using rig::Port;
using rig::Response;

namespace {

class Mesh {
  public:
    Mesh() {
        for (int i = 1; i <= 3; ++i) start_controller(i, true);
        for (int i = 1; i <= 4; ++i) {
            start_proxy(i);
            start_endpoint(i, "i-" + std::to_string(i));
        }
    }
    ~Mesh() {
        endpoints.clear();  // before the loop that they use
        stopped_endpoints_.clear();
    }
    std::string controller_ip(int i) const { return processes_.ip(static_cast<std::size_t>(i)); }
    std::string proxy_ip(int i) const { return processes_.ip(100 + static_cast<std::size_t>(i)); }

    void start_controller(int i, bool first) {
        rig::Machine machine = machine_of("core-" + std::to_string(i), controller_ip(i));
        machine.first_boot = first;
        processes_.start(machine);
    }
    void start_proxy(int i) {
        rig::Machine machine = machine_of("side-" + std::to_string(i), proxy_ip(i));
        machine.service = service(i);
        processes_.start(machine);
    }
    static std::string service(int i) { return i <= 3 ? "web" : "vault"; }
    void start_endpoint(int i, const std::string& id) {
        if (endpoints[i]) {
            endpoints[i]->stop();
            stopped_endpoints_.push_back(std::move(endpoints[i]));
        }
        endpoints[i] = std::make_unique<Endpoint>(
            loop_, id, at(proxy_ip(i), Port::App),
            [this, i](const Endpoint::ReceivedRequest& received) {
                executed.insert(received.id);
                callers[i].insert(received.caller_service);
                tenants[i].insert(received.tenant);
                CHECK(received.api_key.empty());
                return Endpoint::Handling{std::string(100'000, 's')};
            },
            counters_);
    }
    void terminate(const std::string& name, int signal) {
        bool ended = false;
        processes_.terminate(
            name,
            signal == SIGTERM ? rig::Processes::Termination::Graceful : rig::Processes::Termination::Kill,
            loop_.now(), 20s, [&](int status) {
                ended = true;
                last_status = status;
            });
        wait_for("the end of " + name, [&] {
            processes_.reap(loop_.now());
            return ended;
        });
        CHECK(processes_.unexpected_exits().empty());
    }
    std::string log(const std::string& name) const { return processes_.log(name); }
    void wipe_disk(int i) { processes_.wipe("core-" + std::to_string(i)); }

    /// Sends a request on a connection of its own. The endpoints of this process run meanwhile.
    Response call(const std::string& to, const std::string& request) {
        rig::Connection connection(loop_, to);
        std::optional<Response> response;
        connection.send(request, 8s, [&](Response&& received) { response = std::move(received); });
        while (!response) poll_loop();
        for (int i = 0; i < 3; ++i) poll_loop();  // handlers of the closed connection run
        return *response;
    }
    Response post(const std::string& to, const std::string& path, const std::string& body) {
        return call(to, rig::request_text("POST", path, "x", "Content-Type: application/json\r\n", body));
    }
    Response get(const std::string& to, const std::string& path) {
        return call(to, rig::request_text("GET", path, "h.example"));
    }
    /// Sends a client's request through proxy `i`.
    Response send_request(int i, const std::string& path, const std::string& id,
                          const std::string& verb = "GET") {
        return call(at(proxy_ip(i), Port::Outbound),
                    rig::request_text(verb, path, "h.example",
                                      "Attempt-Id: " + id + "\r\nTime-Remaining: 3000\r\nApi-Key: key-1\r\n",
                                      verb == "POST" ? "{}" : ""));
    }
    Response send_heartbeat(int i, const std::string& state = "ready") {
        return post(at(proxy_ip(i), Port::Control), "/v1/instances/" + endpoints[i]->id() + "/heartbeat",
                    endpoints[i]->heartbeat_body(service(i), state));
    }
    /// Sends a configuration change to each controller in turn until one accepts or rejects it, following
    /// redirects to the leader. Returns the status; 0 after a time-out.
    int change_config(const std::string& path, const std::string& body) {
        const Time give_up = EventLoop::monotonic() + 20s;
        for (int round = 0; EventLoop::monotonic() < give_up; ++round) {
            const int i = round % 3 + 1;
            auto response = post(at(controller_ip(i), Port::Control), path, body);
            if (response.status == 307) {
                const auto at = response.head.find("Location: http://") + 17;
                const auto to = response.head.substr(at, response.head.find('/', at) - at);
                response = post(to, path, body);
                if (response.status == 200) leader_address = to;
            } else if (response.status == 200) {
                leader_address = at(controller_ip(i), Port::Control);
            }
            if (response.status == 200 || response.status == 400 || response.status == 412)
                return response.status;
            poll_loop();
        }
        return 0;
    }
    void wait_for(const std::string& what, const std::function<bool()>& condition) {
        const Time give_up = EventLoop::monotonic() + 20s;
        while (!condition()) {
            REQUIRE_MESSAGE(EventLoop::monotonic() < give_up, "timed out waiting for " << what);
            poll_loop();
        }
    }
    void poll_loop() {
        loop_.add(loop_.now() + 5ms, [this] { loop_.stop(); });
        loop_.resume();
        loop_.run();
    }

    std::map<int, std::unique_ptr<Endpoint>> endpoints;
    std::multiset<std::string> executed;
    std::map<int, std::set<std::string>> callers, tenants;  // in requests, by endpoint
    std::string leader_address;
    int last_status = 0;

  private:
    rig::Machine machine_of(const std::string& name, const std::string& ip) const {
        rig::Machine machine;
        machine.name = name;
        machine.ip = ip;
        for (int i = 1; i <= 3; ++i) machine.seeds.push_back(at(controller_ip(i), Port::Control));
        machine.top =
            "beat_interval_ms = 60000\nactive_contracts = [\"base\", \"tenants\"]\nbounds = "
            "[\"grace_s=3\"]\n";
        return machine;
    }

    rig::Processes processes_;
    EventLoop loop_;
    Counters counters_;
    std::vector<std::unique_ptr<Endpoint>> stopped_endpoints_;
};

std::string config(const std::string& version, const std::string& base, const std::string& more = "") {
    return R"({"version":")" + version + R"(","base_version":")" + base +
           R"(","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"t-1","api_keys":["key-1"],"priority":1,"rate_per_s":500,"burst":500}],)"
           R"("listeners":[{"host":"h.example","rule_set":[)"
           R"({"name":"read","route_kind":"idempotent","target_latency_ms":800,"priority":2,"matcher":{"path_prefix":"/web/"},"route_action":{"service":"web","timeout_ms":3000,"max_attempts":2}},)"
           R"({"name":"order","route_kind":"non_idempotent","target_latency_ms":800,"priority":1,"matcher":{"path_prefix":"/order/"},"route_action":{"service":"vault","timeout_ms":3000,"max_attempts":2}})" +
           more + R"(]}],"clusters":[{"name":"web"},{"name":"vault"}]})";
}

}  // namespace

TEST_CASE(
    "real processes: start, configuration, traffic, draining, a proxy and the leader killed, a disk lost") {
    Mesh mesh;
    // Without a configuration a proxy is not ready.
    mesh.wait_for("readiness to be served", [&] {
        return mesh.get(at(mesh.proxy_ip(1), Port::Readiness), "/v1/readiness").status == 503;
    });
    REQUIRE(mesh.change_config("/v1/configuration/replace", config("00000003", "00000000")) == 200);
    CHECK(mesh.change_config("/v1/configuration/replace", config("00000003", "00000000")) == 200);
    CHECK(mesh.change_config("/v1/configuration/replace", config("00000004", "00000000")) == 412);
    for (int i = 1; i <= 4; ++i)
        mesh.wait_for("an accepted heartbeat", [&] { return mesh.send_heartbeat(i).status == 200; });
    for (int i = 1; i <= 4; ++i) {
        mesh.wait_for("readiness", [&] {
            return mesh.get(at(mesh.proxy_ip(i), Port::Readiness), "/v1/readiness").status == 200;
        });
    }

    // Traffic from each proxy to each service, each request executed once; then a request without a route and
    // one without an API key.
    int number = 0;
    const auto serve = [&](int rounds, const std::string& when) {
        for (int round = 0; round < rounds; ++round) {
            for (int i = 1; i <= 4; ++i) {
                const std::string read = "read-" + std::to_string(++number),
                                  order = "order-" + std::to_string(number);
                const Response got = mesh.send_request(i, "/web/x", read),
                               put = mesh.send_request(i, "/order/x", order, "POST");
                CHECK_MESSAGE(got.status == 200, when << ": " << got.head);
                CHECK_MESSAGE(put.status == 200, when << ": " << put.head);
                CHECK(got.body.size() == 100'000);
                CHECK(got.head.find("Server-Seal: i-") != std::string::npos);
                CHECK(got.head.find("Mesh-") == std::string::npos);
                CHECK(mesh.executed.count(order) == 1);
            }
        }
    };
    const auto warm = [&] {
        bool all = true;
        for (int k = 0; k < 16; ++k) {
            const std::string id = "warm-" + std::to_string(++number);
            all &= mesh.send_request(k % 4 + 1, k % 3 ? "/web/x" : "/order/x", id, k % 3 ? "GET" : "POST")
                       .status == 200;
        }
        return all;
    };
    mesh.wait_for("registry and quota lease at every proxy", warm);
    serve(5, "before the faults");
    CHECK(mesh.send_request(1, "/nowhere/", "n-1").status == 404);
    CHECK(mesh.call(at(mesh.proxy_ip(1), Port::Outbound),
                    "GET /web/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nAttempt-Id: k-1\r\n\r\n")
              .status == 401);
    CHECK(mesh.callers[4] == std::set<std::string>{"vault", "web"});
    CHECK(mesh.tenants[4] == std::set<std::string>{"t-1"});

    // From the acknowledgement of draining on, new requests go to the other endpoints.
    REQUIRE(mesh.send_heartbeat(1, "draining").status == 200);
    const std::string drained = "Server-Seal: i-1\r";
    for (int k = 0; k < 20; ++k) {
        const Response got = mesh.send_request(2 + k % 3, "/web/x", "drain-" + std::to_string(k));
        CHECK(got.status == 200);
        CHECK(got.head.find(drained) == std::string::npos);
    }
    REQUIRE(mesh.post(at(mesh.proxy_ip(1), Port::Control), "/v1/instances/i-1/deregister", "").status == 200);

    // A killed proxy: requests go to other endpoints. It is restarted with a new instance of its endpoint.
    mesh.terminate("side-2", SIGKILL);
    for (int k = 0; k < 10; ++k)
        CHECK(mesh.send_request(3 + k % 2, "/web/x", "killed-" + std::to_string(k)).status == 200);
    mesh.start_proxy(2);
    mesh.start_endpoint(2, "i-2b");
    mesh.wait_for("the new instance's heartbeat", [&] { return mesh.send_heartbeat(2).status == 200; });
    mesh.wait_for("a request at the new instance", [&] {
        return mesh.send_request(4, "/web/x", "back-" + std::to_string(++number))
                   .head.find("Server-Seal: i-2b\r") != std::string::npos;
    });

    // The leader is killed as soon as it acknowledged a change: the change stays, and the next one is
    // accepted.
    REQUIRE(
        mesh.change_config(
            "/v1/configuration/replace",
            config(
                "00000005", "00000003",
                R"(,{"name":"late","route_kind":"idempotent","matcher":{"path_prefix":"/late/"},"route_action":{"service":"web","timeout_ms":3000}})")) ==
        200);
    int leader = 0;
    for (int i = 1; i <= 3; ++i) {
        if (mesh.leader_address.starts_with(mesh.controller_ip(i) + ":")) leader = i;
    }
    REQUIRE(leader != 0);
    mesh.terminate("core-" + std::to_string(leader), SIGKILL);
    mesh.wait_for("the new route", [&] {
        return mesh.send_request(3, "/late/x", "late-" + std::to_string(++number)).status == 200;
    });
    REQUIRE(mesh.change_config(
                "/v1/configuration/modify",
                R"({"version":"00000008","base_version":"00000005","removals":{"routes":["late"]}})") == 200);
    mesh.wait_for("the removal of the route", [&] {
        return mesh.send_request(3, "/late/x", "gone-" + std::to_string(++number)).status == 404;
    });

    // Its disk is lost: it restarts as a learner and becomes a voter; then another controller may fail.
    mesh.wipe_disk(leader);
    mesh.start_controller(leader, false);
    const int other = leader % 3 + 1;
    mesh.wait_for("a read at the controller that lost its disk, or its redirect", [&] {
        const auto response =
            mesh.get(at(mesh.controller_ip(leader), Port::Control), "/v1/configuration/read");
        return response.status == 307 || response.status == 200;
    });
    REQUIRE(
        mesh.change_config(
            "/v1/configuration/modify",
            R"({"version":"00000009","base_version":"00000008","upserts":{"clusters":[{"name":"more"}]}})") ==
        200);
    mesh.wait_for("its return as a voter", [&] {
        const std::string log = mesh.log("core-" + std::to_string(leader));
        return log.rfind("this=yes") != std::string::npos && log.rfind("this=yes") > log.rfind("MG403");
    });
    mesh.terminate("core-" + std::to_string(other), SIGKILL);
    REQUIRE(mesh.change_config(
                "/v1/configuration/modify",
                R"({"version":"0000000a","base_version":"00000009","removals":{"clusters":["more"]}})") ==
            200);
    mesh.wait_for("quota leases of the new leader", warm);
    serve(2, "after the faults");

    // SIGTERM: graceful shutdown, with exit status 0.
    mesh.terminate("side-3", SIGTERM);
    CHECK(WIFEXITED(mesh.last_status));
    CHECK(WEXITSTATUS(mesh.last_status) == 0);
    mesh.terminate("core-" + std::to_string(leader), SIGTERM);
    CHECK(WIFEXITED(mesh.last_status));
}
