#include "proxy/inbound_protocol.h"

#include <algorithm>
#include <utility>

#include "core/loop.h"
#include "proxy/http_fields.h"

namespace martenford::proxy {

using namespace martenford::decision;

namespace {

/// Connections between proxies are kept open for this long without a request.
constexpr Duration kHopIdleTimeout = 30s;
constexpr std::size_t kMaxHopHeaderBytes = 32 * 1024;
/// The caller's proxy has already enforced the configuration's own limit on a body.
constexpr std::uint64_t kMaxHopBodyBytes = 256u * 1024 * 1024;
/// A response must be written so much before the hop's deadline to reach the caller's proxy in time.
constexpr Duration kHopTransitTime = 4ms;
/// Separates an Attempt-Id from the number of its hop in a request's id.
constexpr char kHopNumberSeparator = '#';

/// The Attempt-Id of the hop's request `id`.
std::string attempt_id_of(const RequestId& id) {
    return id.substr(0, id.rfind(kHopNumberSeparator));
}

/// Returns true for the statuses by which clients know that a request never ran and never will.
bool proves_not_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

// ---- the hop from the caller's proxy --------------------------------------------------------------

HopServerProtocol::HopServerProtocol(const bootstrap::Settings& settings,
                                     admission::AdmissionController& admission, std::uint64_t incarnation,
                                     RoutesInForce routes)
    : settings_(settings), admission_(admission), incarnation_(incarnation), routes_(std::move(routes)) {
    limits_.idle_time = kHopIdleTimeout;
    limits_.max_header_bytes = kMaxHopHeaderBytes;
    limits_.max_body_bytes = kMaxHopBodyBytes;
}

DrainTimes HopServerProtocol::drain_times() const {
    const Duration end = settings_.bounds.grace - 300ms;
    return {end * 45 / 100, 100ms, end, end / 2, kMaxHeldAnswerBytes};
}

std::string HopServerProtocol::queue_wait_text() const {
    const std::int64_t wait_ms = milliseconds_of(admission_.expected_queue_wait());
    return std::to_string(std::max<std::int64_t>(1, wait_ms));
}

LocalReply HopServerProtocol::answer_delivery_query(const HopHeader& hop,
                                                    const admission::InboundRequest& inbound) {
    LocalReply answer{http::status::service_unavailable, true, {}, {{kAttemptId, inbound.attempt_id}}};
    // Another incarnation ran here when the hop was sent: what it delivered is not known.
    const bool same_process = hop.incarnation == incarnation_;
    if (same_process &&
        admission_.fence_attempt(EventLoop::monotonic(), inbound.attempt_id, inbound.latency_target)) {
        answer.fields.emplace_back(kHopRejectedField, queue_wait_text());
    } else {
        answer.fields.emplace_back(kHopDeliveredField, "1");
    }
    return answer;
}

std::variant<Request, LocalReply> HopServerProtocol::read(Fields& head, Time arrived) {
    const auto hop = decode_hop_header(view_of(head[kHopField]));
    const auto id = head[kAttemptId];
    const auto time_ms = parse_integer(head[kTimeRemaining]);
    if (!hop || id.empty() || id.size() > kMaxAttemptIdBytes || !time_ms || *time_ms < 1 ||
        *time_ms > kMaxTimeRemainingMs)
        return LocalReply{http::status::bad_request};
    admission::InboundRequest inbound;
    inbound.instance_id = hop->instance_id;
    inbound.may_queue = hop->mode == HopMode::Queue;
    inbound.idempotent = hop->idempotent;
    inbound.attempt_id = std::string(view_of(id));
    inbound.priority = hop->priority;
    inbound.kind = hop->kind;
    inbound.latency_target =
        std::chrono::milliseconds(std::clamp<std::int64_t>(hop->time.count(), 0, kMaxTimeRemainingMs));
    if (hop->mode == HopMode::DeliveryQuery) return answer_delivery_query(*hop, inbound);
    if (is_outdated(head, inbound, hop->version)) {
        return LocalReply{http::status::service_unavailable,
                          true,
                          {},
                          {{kAttemptId, inbound.attempt_id},
                           {kHopRejectedField, queue_wait_text()},
                           {kHopConfigVersionField, std::to_string(routes_()->version())}}};
    }
    head.erase(kHopField);
    Request request;
    // An Attempt-Id may come again: each hop is a request of its own.
    request.id = inbound.attempt_id + kHopNumberSeparator + std::to_string(++last_hop_);
    request.deadline = arrived + std::chrono::milliseconds(*time_ms) - kHopTransitTime;
    request.write = !inbound.idempotent;
    admission_.prepare(request.id, std::move(inbound));
    return request;
}

bool HopServerProtocol::is_outdated(const Fields& head, const admission::InboundRequest& inbound,
                                    mesh_config::Version version) const {
    const auto* routes = routes_();
    if (!routes || routes->version() <= version) return false;
    const auto* route = routes->route(view_of(head[http::field::host]), view_of(head.target()));
    const auto tenant = view_of(head[kTenantName]);
    return !route || route->idempotent() != inbound.idempotent ||
           route->service_for(inbound.attempt_id) != settings_.service ||
           (tenant.empty() ? routes->needs_key(*route) : !routes->tenant(tenant));
}

void HopServerProtocol::write(const Answer& answer, const RequestId& id, http::response_header<>& head) {
    if (copy_endpoint_head(answer, head)) {
        // These fields are this proxy's alone: an endpoint that sets them proves nothing.
        head.erase(kHopRejectedField);
        head.erase(kHopTurnedAwayField);
        head.erase(kHopDeliveredField);
        return;
    }
    head.set(kAttemptId, attempt_id_of(id));
    if (answer.kind == Answer::Kind::Refused) {
        head.result(http::status::service_unavailable);
        head.set(kHopRejectedField, queue_wait_text());
        if (admission_.was_turned_away(id)) head.set(kHopTurnedAwayField, "1");
    } else {
        head.set(kHopDeliveredField, "1");
    }
}

bool HopServerProtocol::is_answer_to(const Answer& answer, const RequestId& id) const {
    return bears_attempt_id(answer, attempt_id_of(id));
}

void HopServerProtocol::on_withheld(const Answer& answer, const RequestId& id,
                                    const ConnectionRecord& record) {
    log_withheld_answer(answer, attempt_id_of(id), record);
}

// ---- the endpoint ---------------------------------------------------------------------------------

void EndpointClientProtocol::prepare(http::request_header<>& head, const HttpMessage&, EndpointId, Time end) {
    const std::int64_t remaining_ms = milliseconds_of(end - EventLoop::monotonic());
    head.set(kTimeRemaining, std::to_string(std::max<std::int64_t>(1, remaining_ms)));
    head.set(kExpectedInstance, admission_.instance_id());
}

std::string_view EndpointClientProtocol::exchange_name(const HttpMessage& message) const {
    return message.field(kAttemptId);
}

void EndpointClientProtocol::prepare_probe(http::request_header<>& head) {
    head.target(health_path_);
    head.set(http::field::host, "endpoint");
}

std::optional<Status> EndpointClientProtocol::classify(const http::response_header<>& head,
                                                       const HttpMessage* message, EndpointId) {
    const auto id = view_of(head[kAttemptId]);
    const unsigned status = head.result_int();
    const bool not_run = !head[kNotExecuted].empty() || status == 421;
    const bool is_health_check = message == nullptr;
    if (is_health_check) {
        // A late answer to an earlier request; that to a health check bears no Attempt-Id.
        if (!id.empty()) return std::nullopt;
        return status == 200 && !head[kInstanceId].empty() ? Status::Ok : Status::Error;
    }
    if (!id.empty() && id != message->field(kAttemptId)) return std::nullopt;
    // A response without an Attempt-Id may be a surplus one that says "not executed" of an earlier request
    // while this one runs.
    if (id.empty()) return Status::Reset;
    if (not_run) return Status::Rejected;
    // To the client these statuses prove that nothing ran, which the endpoint does not promise.
    if (proves_not_run(status)) return Status::Reset;
    if (status / 100 == 2 && (head[kServerSeal].empty() || !head[http::field::content_encoding].empty()))
        return Status::Reset;
    return status >= 500 ? Status::Error : Status::Ok;
}

}  // namespace martenford::proxy
