// The Connection field, by which a sender names further fields that concern one connection alone.
#include <doctest/doctest.h>

#include <string>

#include "hop_world.h"

using namespace martenford;
using namespace martenford::hop_world;

namespace {

constexpr char kTenant[] = "tenant-one";
constexpr char kKey[] = "key-one";

/// The routes of World, with a tenant.
std::shared_ptr<const mesh_config::RouteTable> routes_with_tenant() {
    mesh_config::Config config;
    config.clusters = {{"s", "/health", 100}};
    mesh_config::Rule rule;
    rule.name = "o";
    rule.route_kind = "non_idempotent";
    rule.matcher.path_prefix = "/o/";
    rule.route_action = {"s", std::nullopt, 400, 3};
    config.listeners = {{"h", {rule}}};
    mesh_config::Tenant tenant;
    tenant.name = kTenant;
    tenant.api_keys = {kKey};
    config.tenants = {tenant};
    return std::make_shared<const mesh_config::RouteTable>(2, config);
}

/// A request with fields of the client's own in the system's place.
std::string request_with(const std::string& connection_fields) {
    return World::request_text("a", false,
                               "Api-Key: " + std::string(kKey) +
                                   "\r\nTenant-Name: forged\r\nCaller-Service: forged\r\nX-Hop: 1\r\n" +
                                   connection_fields + "Content-Length: 2\r\n\r\nhi");
}

}  // namespace

// Guards against a client that takes away, by its Connection field, what the proxies set or what the request
// needs.
TEST_CASE("a client's Connection field removes the client's own fields alone") {
    for (const std::string named :
         {"", "Tenant-Name", "Caller-Service, Tenant-Name", "tenant-name,CALLER-SERVICE", "Attempt-Id",
          "Api-Key, Host, Time-Remaining", "Expected-Instance, Mesh-Hop",
          "Content-Length, Transfer-Encoding"}) {
        for (const bool two_lines : {false, true}) {
            CAPTURE(named);
            CAPTURE(two_lines);
            World world(1, 1);
            world.set_routes(routes_with_tenant());
            const std::string separator = two_lines ? "\r\nConnection: " : named.empty() ? "" : ", ";
            const auto response =
                world.send_once(request_with("Connection: keep-alive" + separator + named + "\r\n"));
            REQUIRE(response);
            CHECK(response->status == 200);
            const auto& seen = world.inbound_proxies[0]->endpoint.last_request;
            CHECK(seen["Tenant-Name"] == kTenant);
            CHECK(seen["Caller-Service"] == "caller");
            CHECK(seen["Attempt-Id"] == "a");
            CHECK(seen["Host"] == "h");
            CHECK(seen.count("Time-Remaining") == 1);
            CHECK(seen["Expected-Instance"] == "i-1");
            CHECK(seen.count("Api-Key") == 0);
            CHECK(seen.body() == "hi");
        }
    }
}

TEST_CASE("a field that a client's Connection field names is not passed on, on whichever line it stands") {
    for (const std::string connection :
         {"Connection: X-Hop\r\n", "Connection: close\r\nConnection: x-hop\r\n"}) {
        CAPTURE(connection);
        World world(1, 1);
        world.set_routes(routes_with_tenant());
        REQUIRE(world.send_once(request_with(connection)));
        CHECK(world.inbound_proxies[0]->endpoint.last_request.count("X-Hop") == 0);
    }
}

// Guards against a success without its seal, or withheld for want of its id.
TEST_CASE("an endpoint's Connection field does not remove the fields by which its answer is known") {
    World world(1, 1);
    world.inbound_proxies[0]->endpoint.script = [](const std::string& id, int) {
        return Endpoint::Script{
            response_text("200 OK", id, "Server-Seal: s\r\nConnection: Server-Seal, Attempt-Id\r\n", "ok")};
    };
    const auto response = world.send_once(World::request_text("a", false));
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->seal == "s");
    CHECK(response->id == "a");
}
