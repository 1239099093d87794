#include "mesh/rig/play_operator.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace martenford::rig {

using mesh_config::Json;

namespace {

/// After this an operator abandons a change and reads the configuration instead.
constexpr Duration kChangeTimeout = 8s;
constexpr Duration kInitialBackoff = 50ms;
constexpr Duration kMaxBackoff = 400ms;

constexpr const char* kFirstConfig =
    R"({"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("listeners":[{"host":"h.example","rule_set":[)"
    R"({"name":"read","route_kind":"idempotent","target_latency_ms":800,"priority":2,"matcher":{"path_prefix":"/web/"},"route_action":{"service":"web","timeout_ms":3000,"max_attempts":3}},)"
    R"({"name":"order","route_kind":"non_idempotent","target_latency_ms":800,"priority":1,"matcher":{"path_prefix":"/order/"},"route_action":{"service":"vault","timeout_ms":3000,"max_attempts":3}}]}],)"
    R"("clusters":[{"name":"web"},{"name":"vault"}]})";

std::string hexadecimal(std::uint32_t version) {
    std::ostringstream out;
    out << std::hex << std::setw(8) << std::setfill('0') << version;
    return out.str();
}

/// Returns a route of its own for a change.
Json marker_rule(const std::string& marker) {
    return {{"name", marker},
            {"route_kind", "idempotent"},
            {"target_latency_ms", 800},
            {"priority", 2},
            {"matcher", {{"path_prefix", "/" + marker + "/"}}},
            {"route_action", {{"service", "web"}, {"timeout_ms", 3000}, {"max_attempts", 3}}}};
}

bool is_rejection(int status) {
    return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

}  // namespace

ConfigRead parse_config_read(const Response& response, Time sent) {
    ConfigRead read{sent, EventLoop::monotonic(), response.status, 0, {}};
    const Json document = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || document.is_discarded()) return read;
    read.version =
        static_cast<std::uint32_t>(std::stoul(document.value("version", std::string("0")), nullptr, 16));
    for (const auto& listener : document.value("listeners", Json::array())) {
        for (const auto& rule : listener.value("rule_set", Json::array())) {
            const auto name = rule.value("name", std::string());
            if (name.starts_with("mark-")) read.markers.insert(name);
        }
    }
    return read;
}

void Operator::after(Duration delay, std::function<void()> action) {
    EventLoop& loop = environment_.loop();
    loop.add(loop.now() + delay, std::move(action));
}

void Operator::read_config() {
    if (environment_.stopping()) {
        idle_ = true;
        return;
    }
    idle_ = false;
    const Time sent = environment_.loop().now();
    environment_.call_controller(
        "GET", "/v1/configuration/read", "", kCallTimeout, [this, sent](Response&& response) {
            if (response.status != 200 && response.status != 404)
                return after(100ms, [this] { read_config(); });
            const ConfigRead read = parse_config_read(response, sent);
            environment_.history().reads.push_back(read);
            propose(read, response.status == 200 ? Json::parse(response.body, nullptr, false) : Json());
        });
}

void Operator::propose(const ConfigRead& base, const Json& document) {
    ConfigChange change;
    change.marker = "mark-" + std::to_string(number_) + "-" + std::to_string(++last_change_);
    change.base = base.version;
    // Both operators sometimes choose the same version.
    change.version = base.version + 1 + static_cast<std::uint32_t>(environment_.random_below(2));
    auto pending = std::make_shared<PendingChange>();
    write_body(change, document, *pending);
    pending->index = environment_.history().changes.size();
    pending->give_up_at = environment_.loop().now() + kChangeTimeout;
    environment_.history().changes.push_back(std::move(change));
    send(pending, kInitialBackoff);
}

/// Writes path and body: a whole document, or a modification of one route.
void Operator::write_body(const ConfigChange& change, const Json& document, PendingChange& pending) {
    const Json rule = marker_rule(change.marker);
    Json body = Json::object();
    pending.path = "/v1/configuration/replace";
    if (change.base == 0) {
        body = Json::parse(kFirstConfig);
        body["listeners"][0]["rule_set"].push_back(rule);
    } else if (environment_.random_below(2) == 0) {
        body = document;
        body["listeners"][0]["rule_set"].push_back(rule);
    } else {
        pending.path = "/v1/configuration/modify";
        body["upserts"]["listeners"] =
            Json::array({Json{{"host", "h.example"}, {"rule_set", Json::array({rule})}}});
    }
    body["version"] = hexadecimal(change.version);
    body["base_version"] = hexadecimal(change.base);
    pending.body = body.dump();
}

void Operator::send(const PendingChangePtr& pending, Duration backoff) {
    const Time sent = environment_.loop().now();
    // Some responses are lost: the operator closes the connection before they arrive.
    const bool loses_response = environment_.random_below(6) == 0;
    const Duration timeout =
        loses_response ? Duration(1ms * static_cast<int>(1 + environment_.random_below(20))) : kCallTimeout;
    ++pending->attempts;
    environment_.call_controller(
        "POST", pending->path, pending->body, timeout, [this, pending, sent, backoff](Response&& response) {
            const Time now = environment_.loop().now();
            const int status = response.status;
            environment_.history().changes[pending->index].attempts.push_back({sent, now, status});
            const bool out_of_attempts = status / 100 == 4 && pending->attempts >= 3;
            const bool timed_out = now > pending->give_up_at;
            if (status == 200 || is_rejection(status) || out_of_attempts || timed_out ||
                environment_.stopping())
                return finish(pending, status);
            after(backoff, [this, pending, backoff] {
                send(pending, std::min<Duration>(kMaxBackoff, backoff * 17 / 10));
            });
        });
}

void Operator::finish(const PendingChangePtr& pending, int status) {
    if (status == 200) {
        const auto& attempts = environment_.history().changes[pending->index].attempts;
        ++acknowledged_;
        slowest_change_ = std::max(slowest_change_, attempts.back().answered - attempts.front().sent);
        if (environment_.random_below(3) == 0)
            return after(1ms * static_cast<int>(environment_.random_below(300)),
                         [this, pending] { resend(pending); });
    }
    after(1ms * static_cast<int>(50 + environment_.random_below(250)), [this] { read_config(); });
}

/// Sends an acknowledged change again, as if its acknowledgement had been lost.
void Operator::resend(const PendingChangePtr& pending) {
    const Time sent = environment_.loop().now();
    environment_.call_controller("POST", pending->path, pending->body, kCallTimeout,
                                 [this, pending, sent](Response&& response) {
                                     environment_.history().changes[pending->index].attempts.push_back(
                                         {sent, environment_.loop().now(), response.status});
                                     after(100ms, [this] { read_config(); });
                                 });
}

}  // namespace martenford::rig
