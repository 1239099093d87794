// Tests of tools/scale_test: statistics, loads and tables, generated configurations, and the messages of a
// simulated proxy to a controller.
#include <doctest/doctest.h>

#include <cmath>

#include "figures.h"
#include "load.h"
#include "mesh_config/mesh_config.h"
#include "report.h"
#include "simulated_proxy.h"
#include "topology.h"

using namespace martenford;
using namespace martenford::scale_test;

TEST_CASE("slope, quantile and table text match hand-computed values") {
    const auto squared = slope({{10, 200}, {20, 800}, {40, 3200}, {0, 7}, {80, 0}});
    REQUIRE(squared);
    CHECK(squared->power == doctest::Approx(2));
    CHECK(squared->last_rise == doctest::Approx(120));
    CHECK_FALSE(slope({{10, 1}, {0, 5}}));
    CHECK_FALSE(slope({{10, 1}, {10, 2}}));
    CHECK(quantile({4, 1, 3, 2}, 0.5) == doctest::Approx(2.5));
    CHECK(quantile({4, 1, std::nan(""), 3, 2}, 1) == 4);
    CHECK(std::isnan(median({})));
    const Table table{{"a", "long"}, {{"100", "1"}, {"2", cell(std::nan(""))}}};
    CHECK(table.text() == "  a  long\n100     1\n  2     -\n");
    CHECK(table.tsv(false) == "100\t1\n2\t-\n");
}

TEST_CASE("the load between two snapshots counts open connections, and restarted processes from zero") {
    Snapshot before, after;
    before.spent["a"] = {2, 10, 20, 1000};
    after.spent["a"] = {5, 11, 21, 4000};
    before.sockets["a"][1].bytes_out = 100;
    before.sockets["a"][9].bytes_out = 700;  // closed in between
    after.sockets["a"][1].bytes_out = 150;
    after.sockets["a"][2].bytes_out = 30;  // opened in between
    after.between_controllers.insert(2);
    const Load load = load_between("a", before, after);
    CHECK(load.processor == 3);
    CHECK(load.disk == 3000);
    CHECK(load.memory == 11);
    CHECK(load.peak == 21);
    CHECK(load.connections == 2);
    CHECK(load.out == 80);
    CHECK(load.core_out == 30);
    after.spent["a"] = {1, 11, 21, 500};  // less than before: another process
    CHECK(load_between("a", before, after).processor == 1);
    CHECK(load_between("a", before, after).disk == 500);
}

TEST_CASE("the cost of an event is the load beyond what the idle mesh spends in the same time") {
    Load spent, idle;
    spent.processor = 10;
    spent.memory = 50;
    idle.processor = 2;
    idle.memory = 40;
    const Roles cost = cost_beyond_idle({{kLeader, spent}, {kFollower, spent}}, 6, {{kLeader, idle}}, 3);
    CHECK(cost[0].second.processor == 6);
    CHECK(cost[0].second.memory == 50);
    CHECK(cost[1].second.processor == 10);
}

TEST_CASE("report rows have a cell for each column, and slopes use the idle phase alone") {
    Report report;
    for (const std::size_t proxies : {10, 20}) {
        Load load;
        load.processor = static_cast<double>(proxies);
        const Roles roles{{kLeader, load}, {kBusiestWorker, load}};
        report.add_load({proxies, 0, 3, {71, 100, 12}}, {kIdlePhase, 2, roles, roles, roles});
        report.add_load({proxies, 0, 3, {71, 100, 12}}, {"churn", 2, roles, roles, roles});
    }
    EventResult event{"start", 2};
    Load cost;
    cost.processor = 1;
    event.cost = {{kLeader, cost}};
    report.add_event({10, 0, 3, {71, 100, 12}}, event);
    REQUIRE(report.loads().rows.size() == 8);
    for (const auto& row : report.loads().rows) CHECK(row.size() == report.loads().head.size());
    REQUIRE(report.events().rows.size() == 1);
    const auto& row = report.events().rows[0];
    REQUIRE(row.size() == report.events().head.size());
    CHECK(row[8] == "-");     // ack_s: not measured
    CHECK(row[12] == "500");  // leader_ms of one of two repetitions
    CHECK(row[13] == "-");    // follower_ms: the role is missing
    const Table slopes = report.slopes();
    REQUIRE(slopes.rows.size() == 1);  // of the leader's processor time; all else is zero
    CHECK(slopes.rows[0] ==
          std::vector<std::string>{"71", "100", "3", "leader", "2", "processor %", "1", "1000", "50"});
}

TEST_CASE("each worker has proxies of one zone") {
    CHECK(worker_count(2, false) == 2);
    for (const std::size_t proxies : {5, 86, 1000, 1200, 2500})
        CHECK(worker_count(proxies, false) % kZones == 0);
    CHECK(worker_count(86, true) == 86);
}

TEST_CASE("generated configurations are valid, have the requested size and differ by version") {
    const ConfigSize size{71, 100, 12};
    const auto read = mesh_config::read_config(mesh_config::Json::parse(configuration(size, 2, 1)));
    const auto* config = std::get_if<mesh_config::Config>(&read);
    REQUIRE(config);
    std::size_t routes = 0;
    for (const auto& listener : config->listeners) routes += listener.rule_set.size();
    CHECK(routes == 100);
    CHECK(config->clusters.size() == 71);
    CHECK(mesh_config::tenants_of(*config).size() == 12);
    CHECK(config->listeners[0].rule_set[0].route_action.timeout_ms !=
          std::get<mesh_config::Config>(
              mesh_config::read_config(mesh_config::Json::parse(configuration(size, 3, 2))))
              .listeners[0]
              .rule_set[0]
              .route_action.timeout_ms);
}

TEST_CASE("a simulated proxy registers, watches, fetches a newer configuration and reports it in force") {
    EventLoop loop;
    const Address at = *parse_address("127.0.93.1:21790");  // no other test listens here
    std::vector<std::shared_ptr<rpc::Channel>> channels;
    std::vector<rpc::WatchRequest> watch_requests;
    std::set<std::uint32_t> registered_versions;
    rpc::Listener listener(loop, at, [&](std::shared_ptr<rpc::Channel> channel) {
        channels.push_back(channel);
        channel->start(
            [&, channel = channel.get()](rpc::Message&& message) {
                if (const auto* request = std::get_if<rpc::RegisterRequest>(&message)) {
                    CHECK(request->registration.service == "web");
                    CHECK(request->registration.state == registry::EndpointState::Ready);
                    if (request->config_version == 7) CHECK(request->demands.size() == 2);
                    registered_versions.insert(request->config_version);
                    channel->send(rpc::RegisterResponse{1, {}, true, 1});
                } else if (const auto* watch = std::get_if<rpc::WatchRequest>(&message)) {
                    watch_requests.push_back(*watch);
                    rpc::WatchResponse response;
                    response.registry = {5, watch_requests.size(), watch_requests.size() == 1, {}, {}};
                    registry::ProxyRegistration registration;
                    registration.node = "other";
                    registration.incarnation = 1;
                    if (watch_requests.size() == 1) response.registry.registrations.push_back(registration);
                    response.config_version = 7;
                    response.has_quorum_contact = true;
                    if (watch->wants_config) response.config = configuration({3, 3, 2}, 7, 0);
                    if (watch->config_version < 7) channel->send(response);
                }
                if (registered_versions.contains(7)) loop.stop();
            },
            [] {});
    });
    Gauge gauge;
    SimulatedProxy proxy(loop, {"proxy-1", "127.0.94.1:1", "web", "zone-1", {at}, {}}, gauge);
    loop.add(loop.now() + 5s, [&] { loop.stop(); });
    loop.run();
    REQUIRE(watch_requests.size() >= 3);  // has no version; learns of version 7 and wants it; has it
    CHECK(watch_requests[0].config_version == 0);
    CHECK_FALSE(watch_requests[0].wants_config);
    CHECK(watch_requests[1].wants_config);
    CHECK(watch_requests[1].epoch == 5);
    CHECK(watch_requests[2].config_version == 7);
    CHECK(gauge.version == 7);
    CHECK(gauge.in_touch == 1);
    CHECK(gauge.live == 1);
}
