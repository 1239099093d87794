// Registry and RegistryView: leases, deltas and snapshots, and the merge of several controllers' registries.
#include "registry/registry.h"

#include <doctest/doctest.h>

#include "registry/registry_view.h"

using namespace martenford;
using namespace martenford::registry;

namespace {

ProxyRegistration ready_proxy(const std::string& node, std::uint64_t incarnation, std::uint64_t seq,
                              const std::string& instance = "i") {
    ProxyRegistration registration;
    registration.node = node;
    registration.incarnation = incarnation;
    registration.seq = seq;
    registration.instance_id = instance;
    registration.state = EndpointState::Ready;
    return registration;
}

}  // namespace

TEST_CASE("registry: a late heartbeat of an earlier incarnation or sequence number is ignored") {
    Registry registry(1, {});
    Time now{10s};
    CHECK(registry.renew_lease(now, ready_proxy("a", 7, 3)));
    CHECK_FALSE(registry.renew_lease(now, ready_proxy("a", 7, 2, "old")));
    CHECK(registry.renew_lease(now, ready_proxy("a", 8, 1, "new")));
    CHECK_FALSE(registry.renew_lease(now, ready_proxy("a", 7, 9, "old")));
    CHECK(registry.delta_since(0, 0).registrations.front().instance_id == "new");
}

TEST_CASE("registry: a reader gets a delta, and a snapshot if its epoch is not the controller's") {
    Registry registry(5, {});
    Time now{10s};
    registry.renew_lease(now, ready_proxy("a", 1, 1));
    const auto snapshot = registry.delta_since(4, 99);
    CHECK(snapshot.is_snapshot);
    registry.renew_lease(now, ready_proxy("b", 1, 1));
    const auto delta = registry.delta_since(5, snapshot.seq);
    CHECK_FALSE(delta.is_snapshot);
    REQUIRE(delta.registrations.size() == 1);
    CHECK(delta.registrations.front().node == "b");
    for (int i = 0; i < 250; ++i) registry.tick(now += 100ms);
    const auto after_removal = registry.delta_since(5, delta.seq);
    CHECK(after_removal.removed_nodes.size() == 2);
}

TEST_CASE("registry: a suspension of the controller itself does not expire the leases") {
    Registry registry(1, {});
    Time now{10s};
    registry.tick(now);
    registry.renew_lease(now, ready_proxy("a", 1, 1));
    registry.tick(now += 5s);
    CHECK(registry.live_count() == 1);
    for (int i = 0; i < 30; ++i) registry.tick(now += 100ms);
    CHECK(registry.live_count() == 0);
}

TEST_CASE(
    "registry view: a lease is expired only if all controllers agree; losing the last one keeps the entry") {
    RegistryView view;
    Time now{10s};
    Registry one(1, {}), two(2, {});
    one.renew_lease(now, ready_proxy("a", 1, 1));
    two.renew_lease(now, ready_proxy("a", 1, 1));
    CHECK(view.apply(now, "one", one.delta_since(0, 0)) == std::vector<std::string>{"a"});
    CHECK(view.apply(now, "two", two.delta_since(0, 0)).empty());
    for (int i = 0; i < 20; ++i) one.tick(now += 100ms);
    CHECK(view.apply(now, "one", one.delta_since(1, 1)).empty());
    CHECK_FALSE(view.entries().at("a").lease_expired);
    CHECK(view.remove_controller("two") == std::vector<std::string>{"a"});
    CHECK(view.entries().at("a").lease_expired);
    CHECK(view.remove_controller("one").empty());
    CHECK(view.entries().contains("a"));
}
