// Tests of tools/scale_test: statistics and tables, generated configurations, and the messages of a simulated
// proxy to a controller.
#include <doctest/doctest.h>

#include <cmath>

#include "figures.h"
#include "mesh_config/mesh_config.h"
#include "simulated_proxy.h"

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

TEST_CASE("generated configurations are valid, have the requested size and differ by version") {
    const ConfigSize size{71, 100, 12};
    const auto read = mesh_config::read_config(mesh_config::Json::parse(configuration(size, 2, 1)));
    const auto* config = std::get_if<mesh_config::Config>(&read);
    REQUIRE(config);
    std::size_t routes = 0;
    for (const auto& listener : config->listeners) routes += listener.rule_set.size();
    CHECK(routes == 100);
    CHECK(config->clusters.size() == 71);
    CHECK(config->tenants.size() == 12);
    CHECK(config->listeners[0].rule_set[0].route_action.timeout_ms !=
          std::get<mesh_config::Config>(
              mesh_config::read_config(mesh_config::Json::parse(configuration(size, 3, 2))))
              .listeners[0]
              .rule_set[0]
              .route_action.timeout_ms);
}

TEST_CASE("a simulated proxy registers, watches, fetches a newer configuration and reports it in force") {
    Loop loop;
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
