// The measuring tool: what it makes of figures, the configurations that it puts, and that a simulated proxy
// says to a controller what a proxy says.
#include <doctest/doctest.h>

#include <cmath>

#include "figures.h"
#include "mesh_config/mesh_config.h"
#include "simulated_proxy.h"

using namespace martenford;
using namespace martenford::scale_test;

TEST_CASE("slopes, quantiles and tables are those of their points") {
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

TEST_CASE("scale test: configurations have the requested size, and differ") {
    const Shape shape{71, 100, 12};
    const auto read = mesh_config::read_config(mesh_config::Json::parse(configuration(shape, 2, 1)));
    const auto* config = std::get_if<mesh_config::Config>(&read);
    REQUIRE(config);
    std::size_t routes = 0;
    for (const auto& listener : config->listeners) routes += listener.rule_set.size();
    CHECK(routes == 100);
    CHECK(config->clusters.size() == 71);
    CHECK(config->tenants.size() == 12);
    CHECK(config->listeners[0].rule_set[0].route_action.timeout_ms !=
          std::get<mesh_config::Config>(
              mesh_config::read_config(mesh_config::Json::parse(configuration(shape, 3, 2))))
              .listeners[0]
              .rule_set[0]
              .route_action.timeout_ms);
}

TEST_CASE(
    "a simulated proxy registers, polls, fetches a newer configuration and registers with its version") {
    Loop loop;
    const Address at = *parse_address("127.0.93.1:21790");  // no other test listens here
    std::vector<std::shared_ptr<rpc::Channel>> channels;
    std::vector<rpc::WatchRequest> polls;
    std::set<std::uint32_t> registered;  // versions, by its registrations
    rpc::Listener listener(loop, at, [&](std::shared_ptr<rpc::Channel> channel) {
        channels.push_back(channel);
        channel->start(
            [&, channel = channel.get()](rpc::Message&& message) {
                if (const auto* registration = std::get_if<rpc::RegisterRequest>(&message)) {
                    CHECK(registration->registration.service == "web");
                    CHECK(registration->registration.state == registry::EndpointState::Ready);
                    if (registration->config_version == 7) CHECK(registration->demands.size() == 2);
                    registered.insert(registration->config_version);
                    channel->send(rpc::RegisterResponse{1, {}, true, 1});
                } else if (const auto* poll = std::get_if<rpc::WatchRequest>(&message)) {
                    polls.push_back(*poll);
                    rpc::WatchResponse response;
                    response.registry = {5, polls.size(), polls.size() == 1, {}, {}};
                    registry::ProxyRegistration other;
                    other.node = "other";
                    other.incarnation = 1;
                    if (polls.size() == 1) response.registry.registrations.push_back(other);
                    response.config_version = 7;
                    response.has_quorum_contact = true;
                    if (poll->wants_config) response.config = configuration({3, 3, 2}, 7, 0);
                    if (poll->config_version < 7) channel->send(response);
                }
                if (registered.contains(7)) loop.stop();
            },
            [] {});
    });
    Gauge gauge;
    SimulatedProxy proxy(loop, {"proxy-1", "127.0.94.1:1", "web", "zone-1", {at}, {}}, gauge);
    loop.add(loop.now() + 5s, [&] { loop.stop(); });
    loop.run();
    REQUIRE(polls.size() >= 3);  // without a version; asking for the announced document; with it
    CHECK(polls[0].config_version == 0);
    CHECK_FALSE(polls[0].wants_config);
    CHECK(polls[1].wants_config);
    CHECK(polls[1].epoch == 5);
    CHECK(polls[2].config_version == 7);
    CHECK(gauge.version == 7);
    CHECK(gauge.in_touch == 1);
    CHECK(gauge.live == 1);
}
