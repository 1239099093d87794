// Changes of the registry, as they reach a proxy's connections and its load balancing policy.
#include "proxy/upstream_updates.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace martenford;
using proxy::UpstreamUpdates;
using Effect = UpstreamUpdates::Effect;

namespace {

struct RecordingPlacement : EndpointTable {
    void set_endpoint(EndpointId id, const Address& address, bool) override { placed[id] = text_of(address); }
    void remove(EndpointId id) override { placed.erase(id); }

    std::map<EndpointId, std::string> placed;
};

struct Fixture {
    Effect apply(const registry::ProxyRegistration& registration) {
        registry::RegistryDelta delta;
        delta.epoch = 1;
        delta.seq = ++seq;
        delta.is_snapshot = seq == 1;
        delta.registrations.push_back(registration);
        return updates.apply(view, view.apply(Time{1000s} + seq * 1ms, "controller", delta));
    }
    static registry::ProxyRegistration endpoint(std::uint64_t incarnation, std::uint64_t change,
                                                const std::string& address = "127.0.0.1:9000") {
        registry::ProxyRegistration registration;
        registration.node = "n";
        registration.incarnation = incarnation;
        registration.seq = change;
        registration.inbound_address = address;
        registration.service = "web";
        registration.zone = "z";
        registration.instance_id = "i";
        registration.state = registry::EndpointState::Ready;
        registration.slots = 4;
        return registration;
    }

    EventLoop loop;
    bootstrap::Settings settings;
    proxy::RequestTotals totals;
    quota::QuotaLimiter quota{{}};
    outbound::OutboundPolicy policy{{"z"}, 1};
    proxy::OutboundServerProtocol server{settings, policy, quota, totals, [] { return std::size_t{1}; }};
    proxy::HopClientProtocol hop{policy, server, loop};
    RecordingPlacement connections;
    UpstreamUpdates updates{connections, hop, policy};
    registry::RegistryView view;
    std::uint64_t seq = 0;
};

}  // namespace

TEST_CASE("upstream updates: a registered endpoint is connected to and ready, and removed when it leaves") {
    Fixture fixture;
    CHECK_FALSE(fixture.policy.any_ready());
    CHECK(fixture.apply(Fixture::endpoint(1, 1)) == Effect::None);
    CHECK(fixture.connections.placed.size() == 1);
    CHECK(fixture.connections.placed.begin()->second == "127.0.0.1:9000");
    CHECK(fixture.policy.any_ready());
    // Its proxy is alive and reports it as absent: requests there end by themselves.
    auto left = Fixture::endpoint(1, 2);
    left.state = registry::EndpointState::Absent;
    CHECK(fixture.apply(left) == Effect::None);
    CHECK(fixture.connections.placed.empty());
    CHECK_FALSE(fixture.policy.any_ready());
}

TEST_CASE("upstream updates: requests are withdrawn from a proxy that restarted or whose lease expired") {
    Fixture fixture;
    CHECK(fixture.apply(Fixture::endpoint(1, 1)) == Effect::None);
    const EndpointId first = fixture.connections.placed.begin()->first;
    CHECK(fixture.apply(Fixture::endpoint(2, 1)) == Effect::RequestsWithdrawn);
    REQUIRE(fixture.connections.placed.size() == 1);
    CHECK(fixture.connections.placed.begin()->first != first);
    auto expired = Fixture::endpoint(2, 1);
    expired.lease_expired = true;
    CHECK(fixture.apply(expired) == Effect::RequestsWithdrawn);
    CHECK(fixture.apply(expired) == Effect::None);  // once
    CHECK(fixture.connections.placed.size() == 1);
}

TEST_CASE("upstream updates: an endpoint whose address can't be parsed is not used") {
    Fixture fixture;
    CHECK(fixture.apply(Fixture::endpoint(1, 1, "nowhere")) == Effect::None);
    CHECK(fixture.connections.placed.empty());
    CHECK_FALSE(fixture.policy.any_ready());
}
