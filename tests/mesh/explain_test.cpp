// martenford-config's explanations, as a transcript.
#include "mesh_config/explain.h"

#include <doctest/doctest.h>

#include "approved.h"

using namespace martenford::mesh_config;

namespace {

Config read(const char* text) {
    const auto config = read_config(Json::parse(text));
    REQUIRE(std::holds_alternative<Config>(config));
    return std::get<Config>(config);
}

}  // namespace

TEST_CASE("martenford-config: what a configuration holds, where requests go, what a change means") {
    const Config before = read(
        R"({"version":"3","base_version":"0","tenants":[{"name":"t","api_keys":["a","b"],"rate_per_s":10,"burst":5}],
        "listeners":[{"host":"h","rule_set":[
          {"name":"read","route_kind":"idempotent","target_latency_ms":900,"matcher":{"path_prefix":"/a/"},"route_action":{"service":"x","timeout_ms":500,"max_attempts":2}},
          {"name":"post","route_kind":"idempotent","matcher":{"path_prefix":"/a/b/"},"route_action":{"weighted_split":[{"service":"x","weight":9},{"service":"y","weight":1}],"timeout_ms":500}},
          {"name":"old","route_kind":"download","keyless":true,"matcher":{"path_prefix":"/c/"},"route_action":{"service":"x","timeout_ms":500}}]}],
        "clusters":[{"name":"x"},{"name":"y"},{"name":"idle"}]})");
    const Config after = read(
        R"({"version":"5","base_version":"3","tenants":[{"name":"t","api_keys":["b","c"],"rate_per_s":4,"burst":5},{"name":"u","api_keys":[]}],
        "listeners":[{"host":"h","rule_set":[
          {"name":"read","route_kind":"idempotent","target_latency_ms":400,"matcher":{"path_prefix":"/a/"},"route_action":{"service":"y","timeout_ms":500,"max_attempts":3}},
          {"name":"post","route_kind":"non_idempotent","matcher":{"path_prefix":"/a/b/"},"route_action":{"service":"x","timeout_ms":500}},
          {"name":"fresh","route_kind":"idempotent","matcher":{"path_prefix":"/d/"},"route_action":{"service":"y","timeout_ms":500}}]}],
        "clusters":[{"name":"x"},{"name":"y"}]})");
    std::string text = summary(before) + summary(after);
    for (const char* path : {"/a/b/c", "/a/x?y=/a/b/", "/nowhere"})
        text += std::string(path) + "\n" + explain_route(before, "h", path).text;
    text += "other host\n" + explain_route(before, "other", "/a/").text;
    for (const std::string& line : explain_change(before, after)) text += line + "\n";
    text += explain_change(after, after).front() + "\n";
    approve("config_tool", text);
}
