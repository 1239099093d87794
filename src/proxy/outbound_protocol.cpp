#include "proxy/outbound_protocol.h"

#include <algorithm>
#include <utility>

#include "proxy/hop_header.h"
#include "proxy/http_fields.h"

namespace martenford::proxy {

using namespace martenford::decision;

namespace {

/// Requests that wait for a configuration version: those of half a second at full load.
constexpr std::size_t kMaxWaitingRequests = 1024;
/// A response must be written so much before the client's deadline to reach it in time.
constexpr Duration kResponseTransitTime = 20ms;
/// Retry-After where nothing is known of when a retry would succeed.
constexpr Duration kDefaultRetryAfter = 200ms;
/// Configured header limits are clamped to these, in bytes.
constexpr std::int64_t kMinHeaderBytes = 1024;
constexpr std::int64_t kMaxHeaderBytes = 32 * 1024;
/// Queue wait assumed of a proxy that rejected a request without saying how long.
constexpr std::int64_t kAssumedQueueWaitMs = 1000;
/// A tenant's priority counts before the route's, which has three digits.
constexpr std::int64_t kRoutePriorities = 1000;
/// Kinds of request are distinguished by this many bits of a digest.
constexpr std::uint64_t kKindMask = 0xffffff;

bool is_valid_time_remaining(const std::optional<std::int64_t>& time_ms) {
    return time_ms && *time_ms >= 1 && *time_ms <= kMaxTimeRemainingMs;
}

}  // namespace

// ---- clients --------------------------------------------------------------------------------------

void OutboundServerProtocol::set_routes(std::shared_ptr<const mesh_config::RouteTable> routes) {
    routes_ = std::move(routes);
    const auto& configured = routes_->limits();
    limits_.head_time = std::chrono::milliseconds(configured.header_timeout_ms);
    limits_.idle_time = std::chrono::milliseconds(configured.idle_timeout_ms);
    limits_.max_header_bytes = static_cast<std::size_t>(
        std::clamp<std::int64_t>(configured.max_header_bytes, kMinHeaderBytes, kMaxHeaderBytes));
    limits_.max_body_bytes = static_cast<std::uint64_t>(configured.max_body_bytes);
    bool replanned = false;
    for (WaitingRequest& waiting : std::exchange(waiting_, {})) {
        if (routes_->version() < waiting.newer) {
            waiting_.push_back(std::move(waiting));
            continue;
        }
        replan(waiting);
        replanned = true;
    }
    if (replanned && on_replanned_) on_replanned_();
}

DrainTimes OutboundServerProtocol::drain_times() const {
    // Its endpoint has ended; clients leave once readiness says so. All is answered a little before SIGKILL.
    // The process ends as soon as no request is in flight: the machine may be wanted again.
    const Duration end = settings_.bounds.grace - 500ms;
    return {end * 45 / 100, 100ms, end, end / 2, kMaxHeldAnswerBytes};
}

std::variant<const mesh_config::Tenant*, LocalReply> OutboundServerProtocol::authenticate(
    const Fields& head, const mesh_config::Route& route) {
    if (route.keyless) return nullptr;
    const auto key = view_of(head[kApiKey]);
    // Where requests need no key, one that is sent all the same may be a key that was dropped.
    const bool has_unknown_key = settings_.tenants && !key.empty();
    if (!routes_->needs_key(route) && !has_unknown_key) return nullptr;
    if (const auto* tenant = routes_->tenant_by_key(key)) return tenant;
    ++totals_.no_key;
    return LocalReply{http::status::unauthorized};
}

bool OutboundServerProtocol::within_quota(const mesh_config::Tenant& tenant) {
    const bool admitted =
        quota_.admit(EventLoop::monotonic(), tenant.name, {tenant.rate_per_s, tenant.burst}, proxy_count_());
    if (!admitted) ++totals_.over_quota;
    return admitted;
}

std::variant<Request, LocalReply> OutboundServerProtocol::read(Fields& head, Time arrived) {
    const auto id = head[kAttemptId];
    if (id.empty() || id.size() > kMaxAttemptIdBytes) return LocalReply{http::status::bad_request};
    ++totals_.taken;
    if (!routes_) {
        ++totals_.unready;
        return LocalReply{http::status::service_unavailable, true, kDefaultRetryAfter};
    }
    const auto* route = routes_->route(view_of(head[http::field::host]), view_of(head.target()));
    if (!route) {
        ++totals_.no_route;
        return LocalReply{http::status::not_found};
    }
    const auto authenticated = authenticate(head, *route);
    if (const auto* rejection = std::get_if<LocalReply>(&authenticated)) return *rejection;
    const auto* tenant = std::get<const mesh_config::Tenant*>(authenticated);
    if (tenant && !within_quota(*tenant)) {
        const Duration wait = quota_.time_until_next(EventLoop::monotonic(), tenant->name);
        return LocalReply{http::status::too_many_requests, true, std::max(kDefaultRetryAfter, wait)};
    }
    const auto time_remaining = parse_integer(head[kTimeRemaining]);
    if (!head[kTimeRemaining].empty() && !is_valid_time_remaining(time_remaining))
        return LocalReply{http::status::bad_request};
    const std::int64_t time_ms = std::min(time_remaining.value_or(route->timeout_ms), route->timeout_ms);
    head.erase(kApiKey);
    head.erase(kTenantName);
    head.erase(kExpectedInstance);
    head.erase(kHopField);
    head.set(kCallerService, settings_.service);
    if (tenant) head.set(kTenantName, tenant->name);

    Request request;
    request.id = std::string(view_of(id));
    request.deadline = arrived + std::chrono::milliseconds(time_ms) -
                       std::min<Duration>(kResponseTransitTime, std::chrono::milliseconds(time_ms) / 4);
    request.write = !route->idempotent();
    outbound::RequestPlan plan = plan_for(*route, request.id, tenant);
    const std::int64_t target_ms = route->latency_target_ms > 0 ? route->latency_target_ms : time_ms;
    plan.latency_target_at = arrived + std::chrono::milliseconds(target_ms) - kResponseTransitTime;
    policy_.prepare(request.id, std::move(plan));
    return request;
}

outbound::RequestPlan OutboundServerProtocol::plan_for(const mesh_config::Route& route, const std::string& id,
                                                       const mesh_config::Tenant* tenant) const {
    outbound::RequestPlan plan;
    plan.service = route.service_for(id);
    const auto seed = tenant ? static_cast<std::uint64_t>(tenant->priority) : 0;
    plan.kind = static_cast<std::uint32_t>(mesh_config::digest(route.name, seed) & kKindMask);
    plan.idempotent = route.idempotent();
    plan.max_attempts = route.max_attempts;
    plan.priority = (tenant ? tenant->priority * kRoutePriorities : 0) +
                    std::clamp<std::int64_t>(route.priority, 0, kRoutePriorities - 1);
    plan.config_version = routes_->version();
    return plan;
}

void OutboundServerProtocol::outdated(const HttpMessage& message, mesh_config::Version newer) {
    WaitingRequest waiting{newer, std::string(message.field(kAttemptId)), std::string(message.field("Host")),
                           std::string(view_of(message.head.target())),
                           std::string(message.field(kTenantName))};
    policy_.outdated(waiting.id);
    if (routes_ && routes_->version() >= newer) return replan(waiting);
    // A request beyond the bound is rejected by the policy after its wait.
    if (waiting_.size() < kMaxWaitingRequests) waiting_.push_back(std::move(waiting));
}

void OutboundServerProtocol::replan(const WaitingRequest& waiting) {
    const auto* route = routes_->route(waiting.host, waiting.target);
    const auto* tenant = waiting.tenant.empty() ? nullptr : routes_->tenant(waiting.tenant);
    const bool needs_tenant = !waiting.tenant.empty() || (route && routes_->needs_key(*route));
    const bool allowed = route && (tenant || !needs_tenant);
    policy_.replan(waiting.id, allowed ? std::optional(plan_for(*route, waiting.id, tenant)) : std::nullopt);
}

void OutboundServerProtocol::write(const Answer& answer, const RequestId&, http::response_header<>& head) {
    if (answer.kind == Answer::Kind::Served) ++totals_.served;
    if (answer.kind == Answer::Kind::Refused) ++totals_.refused;
    if (answer.kind == Answer::Kind::Failed) ++totals_.failed;
    if (copy_endpoint_head(answer, head)) return;
    if (answer.kind != Answer::Kind::Refused) return;
    head.result(http::status::service_unavailable);
    const Duration wait = answer.retry_after > Duration{} ? answer.retry_after : kDefaultRetryAfter;
    head.set(http::field::retry_after, seconds_text(wait));
}

bool OutboundServerProtocol::is_answer_to(const Answer& answer, const RequestId& id) const {
    return bears_attempt_id(answer, id);
}

void OutboundServerProtocol::on_withheld(const Answer& answer, const RequestId& id,
                                         const ConnectionRecord& record) {
    log_withheld_answer(answer, id, record);
}

// ---- the hop to the endpoint's proxy --------------------------------------------------------------

void HopClientProtocol::prepare(http::request_header<>& head, const HttpMessage& message, EndpointId to,
                                Time end) {
    const RequestId id(message.field(kAttemptId));
    const auto* plan = policy_.plan(id);
    const auto query_age = policy_.delivery_query(id);
    const Duration target_left = plan ? plan->latency_target_at - loop_.now() : Duration{};
    HopHeader hop;
    if (const auto upstream = upstreams_.find(to); upstream != upstreams_.end()) {
        hop.instance_id = upstream->second.instance_id;
        hop.incarnation = upstream->second.incarnation;
    }
    if (query_age) {
        hop.mode = HopMode::DeliveryQuery;
    } else if (policy_.admission_mode(id) == outbound::AdmissionMode::Queue) {
        hop.mode = HopMode::Queue;
    }
    // The age of the hop that is asked about is rounded up: it must not look younger than it is.
    const std::int64_t time_ms = query_age ? milliseconds_of(*query_age) + 1 : milliseconds_of(target_left);
    hop.time = std::chrono::milliseconds(std::max<std::int64_t>(0, time_ms));
    if (plan) {
        hop.idempotent = plan->idempotent;
        hop.priority = plan->priority;
        hop.kind = plan->kind;
        hop.version = plan->config_version;
    }
    const std::int64_t remaining_ms = milliseconds_of(end - loop_.now());
    head.set(kTimeRemaining, std::to_string(std::max<std::int64_t>(1, remaining_ms)));
    head.set(kHopField, encode(hop));
}

bool HopClientProtocol::carries_body(const HttpMessage& message) const {
    return !policy_.delivery_query(RequestId(message.field(kAttemptId)));
}

std::optional<Status> HopClientProtocol::classify(const http::response_header<>& head,
                                                  const HttpMessage* message, EndpointId from) {
    // A rejection proves that the request did not run: it must be the rejection of this request.
    if (message && view_of(head[kAttemptId]) != message->field(kAttemptId)) return std::nullopt;
    if (!head[kHopRejectedField].empty()) {
        const auto wait_ms = parse_integer(head[kHopRejectedField]).value_or(kAssumedQueueWaitMs);
        policy_.queue_hint(from, loop_.now(), std::chrono::milliseconds(wait_ms));
        if (message && !head[kHopTurnedAwayField].empty())
            policy_.turned_away(RequestId(message->field(kAttemptId)), from);
        const auto newer = parse_integer(head[kHopConfigVersionField]);
        if (message && newer) outbound_.outdated(*message, static_cast<mesh_config::Version>(*newer));
        return Status::Rejected;
    }
    if (!head[kHopDeliveredField].empty()) {
        if (message) policy_.delivered(RequestId(message->field(kAttemptId)));
        return Status::Reset;
    }
    return head.result_int() >= 500 ? Status::Error : Status::Ok;
}

}  // namespace martenford::proxy
