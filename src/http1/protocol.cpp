#include "http1/protocol.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "core/loop.h"
#include "core/transport.h"

namespace martenford {

using namespace martenford::decision;

std::optional<std::int64_t> parse_integer(boost::beast::string_view text) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value);
    if (fault != std::errc{} || stop != end) return std::nullopt;
    return value;
}

// ---- the sidecar platform

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::int64_t kMaxTimeoutMs = 24 * 3600 * 1000;
constexpr Duration kAcceptPeriod = 450ms;       // clients connect for up to 0.4 s after SIGTERM
constexpr Duration kRequestGrace = 200ms;       // for requests on those connections
constexpr Duration kKillDelay = 700ms;          // SIGKILL comes this much after the longest deadline
constexpr Duration kMaxKillDeadline = 3s;       // the part of that deadline that counts at most
constexpr Duration kKillMargin = 150ms;         // all answers are written this much before SIGKILL
constexpr Duration kAnswerOnlyPeriod = 1500ms;  // no new requests this much before the end of answers

std::uint64_t hash(std::string_view text) {  // FNV-1a: every process maps a key to the same number
    std::uint64_t value = 14695981039346656037u;
    for (const char c : text) value = (value ^ static_cast<unsigned char>(c)) * 1099511628211u;
    return value;
}

}  // namespace

DrainTimes SidecarServerProtocol::drain_times() const {
    Duration longest{};
    for (const RequestClass& c : settings_.classes) longest = std::max(longest, c.deadline);
    return {kAcceptPeriod, kRequestGrace, std::min(longest, kMaxKillDeadline) + kKillDelay - kKillMargin,
            kAnswerOnlyPeriod};
}

FieldNames SidecarServerProtocol::end_to_end_fields() const {
    static constexpr std::array<std::string_view, 8> kFields{
        "Host",         "X-Request-ID", "X-Priority-Class", "Idempotency-Key",
        "X-Timeout-Ms", "X-Retried",    "X-Tenant-Id",      "X-Cost"};
    return kFields;
}

/// Returns the event for a message, or the status that rejects it.
std::variant<Request, LocalReply> SidecarServerProtocol::read(Fields& message, Time arrived) {
    const Settings& settings = settings_;
    const auto id = message["X-Request-ID"], name = message["X-Priority-Class"];
    if (id.empty() || id.size() > kMaxIdBytes || name.empty()) return LocalReply{http::status::bad_request};
    std::string_view path(message.target().data(), message.target().size());
    path = path.substr(0, path.find('?'));
    if (path.empty() || path.front() != '/') return LocalReply{http::status::bad_request};
    path.remove_prefix(1);
    const auto known = std::find_if(settings.classes.begin(), settings.classes.end(),
                                    [&](const RequestClass& c) { return name == c.name; });
    if (known == settings.classes.end() || path.substr(0, path.find('/')) != known->name) {
        return LocalReply{http::status::not_found};
    }
    const auto method = known->idempotency == Idempotency::Idempotent ? http::verb::get : http::verb::post;
    if (message.method() != method) return LocalReply{http::status::method_not_allowed};
    if (known->idempotency == Idempotency::Deduplicated && message["Idempotency-Key"].empty())
        return LocalReply{http::status::bad_request};
    const auto timeout = parse_integer(message["X-Timeout-Ms"]);
    if (!timeout || *timeout < 1 || *timeout > kMaxTimeoutMs) return LocalReply{http::status::bad_request};

    Request request;
    request.id = std::string(id);
    request.class_index = static_cast<std::uint32_t>(known - settings.classes.begin());
    request.deadline = arrived + std::chrono::milliseconds(*timeout) - kResponseTransitTime;
    request.write = known->idempotency != Idempotency::Idempotent;
    request.resent = message["X-Retried"] == "1";
    if (!settings.tenants.empty()) {
        const auto tenant = std::find_if(settings.tenants.begin(), settings.tenants.end(),
                                         [&](const Tenant& t) { return message["X-Tenant-Id"] == t.name; });
        if (tenant == settings.tenants.end()) return LocalReply{http::status::bad_request};
        request.tenant = static_cast<std::uint32_t>(tenant - settings.tenants.begin());
    }
    if (const auto slash = path.rfind('/'); slash != std::string_view::npos) {
        request.key = hash(path.substr(slash + 1));
    }
    if (const auto cost = parse_integer(message["X-Cost"]);
        cost && *cost >= 0 && *cost < kMaxTimeoutMs * 1000) {
        request.work = std::chrono::microseconds(*cost);
    }
    return request;
}

void SidecarServerProtocol::write(const Answer& answer, const RequestId&, http::response_header<>& head) {
    if (answer.kind == Answer::Kind::Served) {
        head.result(http::status::ok);
        if (!answer.content_type.empty()) head.set(http::field::content_type, answer.content_type);
    } else if (answer.kind == Answer::Kind::Refused) {
        head.result(http::status::service_unavailable);
        if (answer.retry_after > Duration{} && settings_.limits.retry_after) {
            head.set(http::field::retry_after, seconds_text(answer.retry_after));
        }
    }
}

void SidecarClientProtocol::prepare(http::request_header<>& head, const HttpMessage&, EndpointId, Time end) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - EventLoop::monotonic());
    head.set("X-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
}

void SidecarClientProtocol::prepare_probe(http::request_header<>& head) {
    head.target("/-/healthy");
    head.set(http::field::host, "service.internal");
}

std::optional<Status> SidecarClientProtocol::classify(const http::response_header<>& head, const HttpMessage*,
                                                      EndpointId) {
    if (head.result_int() == 200) return Status::Ok;
    const bool turned_away = head.result_int() == 503 || head.result_int() == 504;
    return turned_away && head["X-Not-Processed"] == "1" ? Status::Rejected : Status::Error;
}

}  // namespace martenford
