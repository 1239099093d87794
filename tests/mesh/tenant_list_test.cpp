// Who may send requests where a configuration has a list of tenants, an empty one, or none.
#include <doctest/doctest.h>

#include <string>

#include "hop_world.h"
#include "mesh_config/mesh_config.h"

using namespace martenford;
using namespace martenford::hop_world;
using mesh_config::Json;

namespace {

using Tenants = std::optional<std::vector<mesh_config::Tenant>>;

constexpr char kHeldKey[] = "held";
constexpr char kDroppedKey[] = "dropped";

mesh_config::Rule rule_of(const std::string& name, const std::string& prefix, bool keyless) {
    mesh_config::Rule rule;
    rule.name = name;
    rule.route_kind = "non_idempotent";
    rule.matcher.path_prefix = prefix;
    rule.keyless = keyless;
    rule.route_action = {"s", std::nullopt, 400, 3};
    return rule;
}

/// "/o/" wants a tenant's key where there are tenants, "/r/" never.
std::shared_ptr<const mesh_config::RouteTable> routes_with(mesh_config::Version version,
                                                           const Tenants& tenants) {
    mesh_config::Config config;
    config.clusters = {{"s", "/health", 100}};
    config.listeners = {{"h", {rule_of("o", "/o/", false), rule_of("r", "/r/", true)}}};
    config.tenants = tenants;
    return std::make_shared<const mesh_config::RouteTable>(version, config);
}

Tenants tenant_with_key() {
    mesh_config::Tenant tenant;
    tenant.name = "tenant-one";
    tenant.api_keys = {kHeldKey};
    return std::vector{tenant};
}

class TenantWorld {
  public:
    TenantWorld(const Tenants& tenants, bool contract) : world(1, 1) {
        world.settings().tenants = contract;
        world.set_routes(routes_with(2, tenants));
    }
    unsigned status(const std::string& key, bool keyless_route = false) {
        const std::string id = "a" + std::to_string(++last_id_);
        const std::string field = key.empty() ? "" : "Api-Key: " + key + "\r\n";
        const auto response =
            world.send_once(World::request_text(id, keyless_route, field + "Content-Length: 2\r\n\r\nhi"));
        if (response && response->status != 200) CHECK(world.history.executions[id] == 0);
        return response ? response->status : 0;
    }
    World world;

  private:
    int last_id_ = 0;
};

Json changed(const Json& document, const char* change) {
    const auto result = mesh_config::apply_change(document, Json::parse(change));
    REQUIRE(std::holds_alternative<Json>(result));
    return std::get<Json>(result);
}

mesh_config::Config config_of(const Json& document) {
    const auto result = mesh_config::read_config(document);
    REQUIRE(std::holds_alternative<mesh_config::Config>(result));
    return std::get<mesh_config::Config>(result);
}

}  // namespace

// Guards against a route that opens to everybody once the last tenant is taken away.
TEST_CASE("tenants: once the last one is gone no key is served, and no request without one") {
    for (const bool contract : {true, false}) {
        CAPTURE(contract);
        TenantWorld none_left(std::vector<mesh_config::Tenant>{}, contract);
        for (const char* key : {kDroppedKey, kHeldKey, ""}) CHECK(none_left.status(key) == 401);
        for (const char* key : {kDroppedKey, ""}) CHECK(none_left.status(key, true) == 200);
    }
}

TEST_CASE("tenants: a key is served if a tenant holds it; a configuration without a list wants none") {
    TenantWorld one(tenant_with_key(), true);
    CHECK(one.status(kHeldKey) == 200);
    for (const char* key : {kDroppedKey, ""}) CHECK(one.status(key) == 401);
    TenantWorld no_list(std::nullopt, true);
    CHECK(no_list.status("") == 200);
    // The list may have gone as a whole, with the keys in it.
    CHECK(no_list.status(kDroppedKey) == 401);
    TenantWorld no_contract(std::nullopt, false);
    CHECK(no_contract.status(kDroppedKey) == 200);
}

// Guards against the same on the hop, where a proxy of an older configuration knows of no tenants.
TEST_CASE("tenants: a request that a newer configuration wants a key for is not run without a tenant") {
    for (const bool caller_learns : {false, true}) {
        CAPTURE(caller_learns);
        TenantWorld mesh(std::nullopt, true);
        mesh.world.inbound_proxies[0]->routes = routes_with(3, tenant_with_key());
        if (caller_learns) {
            mesh.world.loop().add(mesh.world.loop().now() + 30ms,
                                  [&] { mesh.world.set_routes(routes_with(3, tenant_with_key())); });
        }
        CHECK(mesh.status("") == 503);
        CHECK(mesh.status("", true) == 200);
    }
}

TEST_CASE(
    "tenants: a change that removes the last one leaves an empty list; one that adds nothing adds none") {
    const Json with_one = Json::parse(
        R"({"version":"1","base_version":"0","listeners":[],"clusters":[],"tenants":[{"name":"t","api_keys":["a"]}]})");
    const auto emptied = config_of(changed(with_one, R"({"version":"2","removals":{"tenants":["t"]}})"));
    REQUIRE(emptied.tenants.has_value());
    CHECK(emptied.tenants->empty());
    const Json without = Json::parse(R"({"version":"1","base_version":"0","listeners":[],"clusters":[]})");
    CHECK_FALSE(config_of(without).tenants.has_value());
    CHECK_FALSE(
        config_of(changed(without, R"({"version":"2","upserts":{"tenants":[]}})")).tenants.has_value());
    CHECK_FALSE(
        config_of(changed(without, R"({"version":"2","removals":{"tenants":["t"]}})")).tenants.has_value());
}
