#include "proxy/protocols.h"

#include <algorithm>
#include <charconv>

#include "core/loop.h"

namespace martenford::proxy {

using namespace martenford::decision;

namespace {

constexpr char kAttemptId[] = "Attempt-Id";
constexpr char kTimeRemaining[] = "Time-Remaining";
constexpr char kApiKey[] = "Api-Key";
constexpr char kTenantName[] = "Tenant-Name";
constexpr char kCallerService[] = "Caller-Service";
constexpr char kExpectedInstance[] = "Expected-Instance";
constexpr char kInstanceId[] = "Instance-Id";
constexpr char kNotExecuted[] = "Not-Executed";
constexpr char kSeal[] = "Server-Seal";
// On the hop alone.
// "instance;offer;repeatable;priority;ms to its aim;kind;life;version". The offer is f (if a slot is free), q
// (or wait) or a (ask): then nothing is handed on, and in place of the aim stands how many ms ago the hop
// went that is asked for.
constexpr char kHop[] = "Mesh-Hop";
constexpr char kRefused[] = "Mesh-Refused";  // the gate has not handed it on; ms that it would have waited
constexpr char kFailed[] = "Mesh-Failed";    // it was handed on and may have run

constexpr char kHopNumber = '#';  // stands between an Attempt-Id and the number of its hop

constexpr char kVersion[] = "Mesh-Version";  // of the gate's configuration, which wants another answer

constexpr std::size_t kMostBehind = 1024;  // requests that wait for a version, of a half second's many
constexpr std::size_t kMostId = 128;
constexpr std::int64_t kMostTimeMs = 24 * 3600 * 1000;
constexpr Duration kWayBack = 20ms;    // of an answer to a client: it must be out by so much sooner
constexpr Duration kHopBack = 4ms;     // of a gate's answer to the caller's proxy
constexpr Duration kComeBack = 200ms;  // Retry-After where nothing can be said of when

std::int64_t millis(Duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// The message's own words, where an endpoint gave the answer.
bool pass(const Answer& answer, http::response_header<>& head) {
    const auto* own = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    if (!own) return false;
    head.result(own->status);
    for (const auto& field : own->fields) head.insert(field.name_string(), field.value());
    return true;
}

std::vector<std::string_view> parts_of(std::string_view text) {
    std::vector<std::string_view> parts;
    for (;;) {
        const auto end = text.find(';');
        parts.push_back(text.substr(0, end));
        if (end == text.npos) return parts;
        text.remove_prefix(end + 1);
    }
}

/// What clients take for word that the request never ran and never will.
bool promises(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

}  // namespace

// ---- clients --------------------------------------------------------------------------------------

void OutboundServerProtocol::set_routes(std::shared_ptr<const mesh_config::RouteTable> routes) {
    routes_ = std::move(routes);
    const auto& told = routes_->limits();
    limits_.head_time = std::chrono::milliseconds(told.header_timeout_ms);
    limits_.idle_time = std::chrono::milliseconds(told.idle_timeout_ms);
    limits_.most_header =
        static_cast<std::size_t>(std::clamp<std::int64_t>(told.max_header_bytes, 1024, 32 * 1024));
    limits_.most_body = static_cast<std::uint64_t>(told.max_body_bytes);
    bool replanned = false;
    for (WaitingRequest& behind : std::exchange(waiting_, {})) {
        if (routes_->version() < behind.newer) {
            waiting_.push_back(std::move(behind));
            continue;
        }
        replan(behind);
        replanned = true;
    }
    if (replanned && on_replanned_) on_replanned_();
}

DrainTimes OutboundServerProtocol::drain_times() const {
    // Its endpoint has ended; clients leave once readiness says so. All is answered a little before SIGKILL.
    // It ends as soon as nothing is under way: the machine may be wanted again.
    const Duration end = settings_.bounds.grace - 500ms;
    return {end * 45 / 100, 100ms, end, end / 2};
}

std::variant<Request, TurnAway> OutboundServerProtocol::read(Fields& head, Time arrived) {
    const auto id = head[kAttemptId];
    if (id.empty() || id.size() > kMostId) return TurnAway{http::status::bad_request};
    ++figures_.taken;
    if (!routes_) {
        ++figures_.unready;
        return TurnAway{http::status::service_unavailable, true, kComeBack};
    }
    const auto* route = routes_->route(view(head[http::field::host]), view(head.target()));
    if (!route) {
        ++figures_.no_route;
        return TurnAway{http::status::not_found};
    }
    const mesh_config::Tenant* tenant = nullptr;
    if (routes_->has_tenants() && !route->keyless) {
        tenant = routes_->tenant_by_key(view(head[kApiKey]));
        if (!tenant) {
            ++figures_.no_key;
            return TurnAway{http::status::unauthorized};
        }
    }
    if (tenant &&
        !quota_.admit(Loop::monotonic(), tenant->name, {tenant->rate_per_s, tenant->burst}, proxy_count_())) {
        ++figures_.over_quota;
        return TurnAway{http::status::too_many_requests, true,
                        std::max(kComeBack, quota_.time_until_next(Loop::monotonic(), tenant->name))};
    }
    auto left = whole_number(head[kTimeRemaining]);
    if (!head[kTimeRemaining].empty() && (!left || *left < 1 || *left > kMostTimeMs))
        return TurnAway{http::status::bad_request};
    const std::int64_t most = std::min(left.value_or(route->timeout_ms), route->timeout_ms);
    head.erase(kApiKey);
    head.erase(kTenantName);
    head.erase(kExpectedInstance);
    head.erase(kHop);
    head.set(kCallerService, settings_.service);
    if (tenant) head.set(kTenantName, tenant->name);

    Request request;
    request.id = std::string(view(id));
    request.deadline = arrived + std::chrono::milliseconds(most) -
                       std::min<Duration>(kWayBack, std::chrono::milliseconds(most) / 4);
    request.write = !route->idempotent();
    outbound::RequestPlan plan = plan_for(*route, request.id, tenant);
    plan.latency_target_at =
        arrived + std::chrono::milliseconds(route->latency_target_ms > 0 ? route->latency_target_ms : most) -
        kWayBack;
    policy_.prepare(request.id, std::move(plan));
    return request;
}

outbound::RequestPlan OutboundServerProtocol::plan_for(const mesh_config::Route& route, const std::string& id,
                                                       const mesh_config::Tenant* tenant) const {
    outbound::RequestPlan plan;
    plan.service = route.service_for(id);
    plan.kind = static_cast<std::uint32_t>(
        mesh_config::digest(route.name, tenant ? static_cast<std::uint64_t>(tenant->priority) : 0) &
        0xffffff);
    plan.idempotent = route.idempotent();
    plan.max_attempts = route.max_attempts;
    plan.priority = (tenant ? tenant->priority * 1000 : 0) + std::clamp<std::int64_t>(route.priority, 0, 999);
    plan.config_version = routes_->version();
    return plan;
}

void OutboundServerProtocol::outdated(const HttpMessage& message, mesh_config::Version newer) {
    WaitingRequest behind{newer, std::string(message.field(kAttemptId)), std::string(message.field("Host")),
                          std::string(view(message.head.target())), std::string(message.field(kTenantName))};
    policy_.outdated(behind.id);
    if (routes_ && routes_->version() >= newer) return replan(behind);
    // One more than these is refused after its wait.
    if (waiting_.size() < kMostBehind) waiting_.push_back(std::move(behind));
}

void OutboundServerProtocol::replan(const WaitingRequest& behind) {
    const auto* route = routes_->route(behind.host, behind.target);
    const auto* tenant = behind.tenant.empty() ? nullptr : routes_->tenant(behind.tenant);
    const bool allowed = route && (behind.tenant.empty() || tenant);
    policy_.replan(behind.id, allowed ? std::optional(plan_for(*route, behind.id, tenant)) : std::nullopt);
}

void OutboundServerProtocol::write(const Answer& answer, const RequestId&, http::response_header<>& head) {
    if (answer.kind == Answer::Kind::Served) ++figures_.served;
    if (answer.kind == Answer::Kind::Refused) ++figures_.refused;
    if (answer.kind == Answer::Kind::Failed) ++figures_.failed;
    if (pass(answer, head)) return;
    if (answer.kind == Answer::Kind::Refused) {
        head.result(http::status::service_unavailable);
        head.set(http::field::retry_after,
                 seconds_text(answer.retry_after > Duration{} ? answer.retry_after : kComeBack));
    }
}

// ---- the hop, as the caller's proxy sees it -------------------------------------------------------

void HopClientProtocol::prepare(http::request_header<>& head, const HttpMessage& message, EndpointId to,
                                Time end) {
    const RequestId id(message.field(kAttemptId));
    const auto* plan = policy_.plan(id);
    const auto gate = upstreams_.find(to);
    const auto asks = policy_.delivery_query(id);
    const Duration aim = plan ? plan->latency_target_at - loop_.now() : Duration{};
    head.set(kTimeRemaining, std::to_string(std::max<std::int64_t>(1, millis(end - loop_.now()))));
    head.set(kHop, (gate == upstreams_.end() ? std::string() : gate->second.instance_id) + ";" +
                       (asks                                                           ? "a"
                        : policy_.admission_mode(id) == outbound::AdmissionMode::Queue ? "q"
                                                                                       : "f") +
                       ";" + (plan && plan->idempotent ? "r" : "o") + ";" +
                       std::to_string(plan ? plan->priority : 0) + ";" +
                       std::to_string(std::max<std::int64_t>(0, asks ? millis(*asks) + 1 : millis(aim))) +
                       ";" + std::to_string(plan ? plan->kind : 0) + ";" +
                       std::to_string(gate == upstreams_.end() ? 0 : gate->second.incarnation) + ";" +
                       std::to_string(plan ? plan->config_version : 0));
}

bool HopClientProtocol::carries_body(const HttpMessage& message) const {
    return !policy_.delivery_query(RequestId(message.field(kAttemptId)));
}

std::optional<Status> HopClientProtocol::classify(const http::response_header<>& head,
                                                  const HttpMessage* message, EndpointId from) {
    // Guards against a gate's word for another request: its refusal is a proof, and a proof wants to be tied.
    if (message && view(head[kAttemptId]) != message->field(kAttemptId)) return std::nullopt;
    if (!head[kRefused].empty()) {
        const auto wait = whole_number(head[kRefused]);
        policy_.queue_hint(from, loop_.now(), std::chrono::milliseconds(wait.value_or(1000)));
        const auto newer = whole_number(head[kVersion]);
        if (message && newer) outbound_.outdated(*message, static_cast<mesh_config::Version>(*newer));
        return Status::Full;
    }
    if (!head[kFailed].empty()) {
        if (message) policy_.delivered(RequestId(message->field(kAttemptId)));
        return Status::Reset;
    }
    return head.result_int() >= 500 ? Status::Error : Status::Ok;
}

// ---- the hop, as the gate sees it -----------------------------------------------------------------

DrainTimes HopServerProtocol::drain_times() const {
    const Duration end = settings_.bounds.grace - 300ms;
    return {end * 45 / 100, 100ms, end, end / 2};
}

std::variant<Request, TurnAway> HopServerProtocol::read(Fields& head, Time arrived) {
    const auto parts = parts_of(view(head[kHop]));
    const auto id = head[kAttemptId];
    const auto left = whole_number(head[kTimeRemaining]);
    if (parts.size() < 8 || id.empty() || id.size() > kMostId || !left || *left < 1 || *left > kMostTimeMs)
        return TurnAway{http::status::bad_request};
    admission::InboundRequest inbound;
    inbound.instance_id = parts[0];
    inbound.may_queue = parts[1] == "q";
    inbound.idempotent = parts[2] == "r";
    inbound.attempt_id = std::string(view(id));
    std::from_chars(parts[3].data(), parts[3].data() + parts[3].size(), inbound.priority);
    std::int64_t aim = 0;
    std::from_chars(parts[4].data(), parts[4].data() + parts[4].size(), aim);
    std::from_chars(parts[5].data(), parts[5].data() + parts[5].size(), inbound.kind);
    inbound.latency_target = std::chrono::milliseconds(std::clamp<std::int64_t>(aim, 0, kMostTimeMs));
    if (parts[1] == "a") {
        const bool same_life = parts[6] == std::to_string(incarnation_);
        const bool never = same_life && admission_.fence_attempt(Loop::monotonic(), inbound.attempt_id,
                                                                 inbound.latency_target);
        TurnAway word{http::status::service_unavailable, true, {}, {{kAttemptId, inbound.attempt_id}}};
        if (never) {
            word.fields.emplace_back(kRefused, std::to_string(std::max<std::int64_t>(
                                                   1, millis(admission_.expected_queue_wait()))));
        } else {
            word.fields.emplace_back(kFailed, "1");
        }
        return word;
    }
    mesh_config::Version version = 0;
    std::from_chars(parts[7].data(), parts[7].data() + parts[7].size(), version);
    if (decides_otherwise(head, inbound, version)) {
        return TurnAway{
            http::status::service_unavailable,
            true,
            {},
            {{kAttemptId, inbound.attempt_id},
             {kRefused, std::to_string(std::max<std::int64_t>(1, millis(admission_.expected_queue_wait())))},
             {kVersion, std::to_string(in_force_()->version())}}};
    }
    head.erase(kHop);
    Request request;
    // An id may come again here: each hop is a request of its own.
    request.id = inbound.attempt_id + kHopNumber + std::to_string(++last_);
    request.deadline = arrived + std::chrono::milliseconds(*left) - kHopBack;
    request.write = !inbound.idempotent;
    admission_.prepare(request.id, std::move(inbound));
    return request;
}

/// Whether a newer configuration than the caller's wants it elsewhere, treated otherwise, or not at all.
bool HopServerProtocol::decides_otherwise(const Fields& head, const admission::InboundRequest& inbound,
                                          mesh_config::Version version) const {
    const auto* routes = in_force_();
    if (!routes || routes->version() <= version) return false;
    const auto* route = routes->route(view(head[http::field::host]), view(head.target()));
    const auto tenant = view(head[kTenantName]);
    return !route || route->idempotent() != inbound.idempotent ||
           route->service_for(inbound.attempt_id) != settings_.service ||
           (!tenant.empty() && !routes->tenant(tenant));
}

void HopServerProtocol::write(const Answer& answer, const RequestId& id, http::response_header<>& head) {
    if (pass(answer, head)) {
        // What an endpoint says is not taken for the gate's own word.
        head.erase(kRefused);
        head.erase(kFailed);
        return;
    }
    head.set(kAttemptId, id.substr(0, id.rfind(kHopNumber)));
    if (answer.kind == Answer::Kind::Refused) {
        head.result(http::status::service_unavailable);
        head.set(kRefused,
                 std::to_string(std::max<std::int64_t>(1, millis(admission_.expected_queue_wait()))));
    } else {
        head.set(kFailed, "1");
    }
}

// ---- the endpoint ---------------------------------------------------------------------------------

void EndpointClientProtocol::prepare(http::request_header<>& head, const HttpMessage&, EndpointId, Time end) {
    head.set(kTimeRemaining, std::to_string(std::max<std::int64_t>(1, millis(end - Loop::monotonic()))));
    head.set(kExpectedInstance, admission_.instance_id());
}

void EndpointClientProtocol::prepare_probe(http::request_header<>& head) {
    head.target(health_path_);
    head.set(http::field::host, "endpoint");
}

std::optional<Status> EndpointClientProtocol::classify(const http::response_header<>& head,
                                                       const HttpMessage* message, EndpointId) {
    const auto id = view(head[kAttemptId]);
    const unsigned status = head.result_int();
    const bool not_run = !head[kNotExecuted].empty() || status == 421;
    if (!message) return status == 200 && !head[kInstanceId].empty() ? Status::Ok : Status::Error;  // a probe
    if (message && !id.empty() && id != message->field(kAttemptId)) return std::nullopt;
    // What doesn't say which request it answers is not taken for the answer to this one. Guards against a
    // surplus answer that says "not executed" of an earlier request while this one runs.
    if (id.empty()) return Status::Reset;
    if (not_run) return Status::Full;
    // Guards against passing on a promise that the endpoint doesn't make: to its client these statuses say
    // that nothing ran.
    if (promises(status)) return Status::Reset;
    if (status / 100 == 2 && (head[kSeal].empty() || !head[http::field::content_encoding].empty()))
        return Status::Reset;
    return status >= 500 ? Status::Error : Status::Ok;
}

}  // namespace martenford::proxy
