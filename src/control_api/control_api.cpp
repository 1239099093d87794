#include "control_api/control_api.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace martenford::control_api {

namespace {

/// Bytes of a configuration call's body that are read at all; ConfigService sets the lower limit of what it
/// stores.
constexpr std::size_t kMaxConfigBytes = 16 * 1024 * 1024;

/// Bytes of the body of an endpoint's call, a small JSON object; fields that are unknown here are ignored.
constexpr std::size_t kMaxEndpointCallBytes = 16 * 1024;

/// Bytes that the bodies of calls that are still arriving may take together: a small part of a controller's
/// memory, and room for several configurations of the longest kind that is accepted.
constexpr std::size_t kMaxArrivingBytes = 2 * kMaxConfigBytes;

/// How long a call may take. Above the time-outs of every handler, so that it only ends calls that are
/// forgotten.
constexpr Duration kCallTimeout = 30s;

/// How long a connection is kept between requests.
constexpr Duration kIdleTimeout = 30s;

/// How long a request's header may take to arrive.
constexpr Duration kHeaderTimeout = 10s;

/// Carries the path's {id} from read() to take(), which gets the message alone. A client's own field is
/// overwritten.
constexpr const char* kIdField = "Mesh-Id";

constexpr std::string_view kIdPlaceholder = "{id}";

/// The {id} of a path that has the form of `pattern`, empty if the pattern has none; nothing: another path.
std::optional<std::string> match_path(std::string_view pattern, std::string_view path) {
    const auto placeholder = pattern.find(kIdPlaceholder);
    if (placeholder == std::string_view::npos) {
        if (path != pattern) return std::nullopt;
        return std::string();
    }
    const auto head = pattern.substr(0, placeholder);
    const auto tail = pattern.substr(placeholder + kIdPlaceholder.size());
    if (path.size() <= head.size() + tail.size()) return std::nullopt;
    if (!path.starts_with(head) || !path.ends_with(tail)) return std::nullopt;
    const auto id = path.substr(head.size(), path.size() - head.size() - tail.size());
    if (id.find('/') != std::string_view::npos || id.size() > kMaxIdLength) return std::nullopt;
    return std::string(id);
}

Answer answer_of(Response&& response) {
    auto head = std::make_shared<HttpAnswerHead>();
    head->status = response.status;
    if (!response.body.empty()) head->fields.set(http::field::content_type, "application/json");
    if (!response.location.empty()) head->fields.set(http::field::location, response.location);
    if (response.retry_after > Duration{})
        head->fields.set(http::field::retry_after, seconds_text(response.retry_after));
    Answer answer;
    answer.kind = Answer::Kind::Served;
    answer.head = std::move(head);
    answer.body = std::move(response.body);
    return answer;
}

std::size_t longest_body(const std::map<CallName, Handler>& handlers) {
    std::size_t longest = 0;
    for (const CallSpec& spec : call_table()) {
        if (handlers.contains(spec.name)) longest = std::max(longest, spec.max_body_bytes);
    }
    return longest;
}

}  // namespace

const std::vector<CallSpec>& call_table() {
    static const std::vector<CallSpec> kCalls{
        {CallName::Readiness, Caller::Platform, http::verb::get, "/v1/readiness", 0, "200, else 503"},
        {CallName::Heartbeat, Caller::Endpoint, http::verb::post, "/v1/instances/{id}/heartbeat",
         kMaxEndpointCallBytes, "200, 400"},
        {CallName::Deregister, Caller::Endpoint, http::verb::post, "/v1/instances/{id}/deregister",
         kMaxEndpointCallBytes, "200"},
        {CallName::Replace, Caller::Operator, http::verb::post, "/v1/configuration/replace", kMaxConfigBytes,
         "200, 400, 412; 307 to the leader; 503"},
        {CallName::Modify, Caller::Operator, http::verb::post, "/v1/configuration/modify", kMaxConfigBytes,
         "200, 400, 412; 307 to the leader; 503"},
        {CallName::Read, Caller::Operator, http::verb::get, "/v1/configuration/read", 0,
         "200 with the newest; 307 to the leader; 404 before the first; 503"},
    };
    return kCalls;
}

Match match(http::verb verb, std::string_view path) {
    path = path.substr(0, path.find('?'));
    Match result;
    for (const CallSpec& spec : call_table()) {
        auto id = match_path(spec.path, path);
        if (!id) continue;
        if (spec.verb == verb) return {&spec, std::move(*id), false};
        result.wrong_method = true;
    }
    return result;
}

ApiServer::ApiServer(EventLoop& loop, std::map<CallName, Handler> handlers, std::size_t max_connections,
                     martenford::Counters& counters)
    : handlers_(std::move(handlers)),
      front_(
          loop, *this, *this, max_connections, [] { return true; }, counters) {
    limits_.max_body_bytes = longest_body(handlers_);
    limits_.max_buffered_body_bytes = longest_body(handlers_);
    limits_.max_arriving_body_bytes = kMaxArrivingBytes;
    limits_.idle_time = kIdleTimeout;
    limits_.head_time = kHeaderTimeout;
}

std::variant<decision::Request, LocalReply> ApiServer::read(Fields& head, Time arrived) {
    const auto target = head.target();
    const Match found = match(head.method(), {target.data(), target.size()});
    if (found.wrong_method) return LocalReply{http::status::method_not_allowed};
    if (!found.spec || !handlers_.contains(found.spec->name)) return LocalReply{http::status::not_found};
    decision::Request request;
    request.id = std::to_string(++last_request_number_);
    request.class_index = static_cast<std::uint32_t>(found.spec - call_table().data());
    request.deadline = arrived + kCallTimeout;
    head.set(kIdField, found.id);
    return request;
}

bool ApiServer::submit(decision::Request request, std::shared_ptr<const Message> message, Reply reply) {
    const auto& http_message = static_cast<const HttpMessage&>(*message);
    const CallSpec& spec = call_table()[request.class_index];
    pending_replies_[request.id] = std::move(reply);
    if (http_message.body.size() > spec.max_body_bytes) {
        respond_to(request.id, {413, R"({"error":"the body is too long"})"});
        return true;
    }
    Call call{spec.name, std::string(http_message.field(kIdField)), http_message.body};
    handlers_.at(spec.name)(std::move(call), [this, id = request.id](Response&& response) {
        respond_to(id, std::move(response));
    });
    return true;
}

void ApiServer::respond_to(const decision::RequestId& id, Response&& response) {
    const auto pending = pending_replies_.extract(id);
    if (pending.empty()) return;
    pending.mapped()(answer_of(std::move(response)));
}

void ApiServer::write(const Answer& answer, const decision::RequestId&, http::response_header<>& head) {
    const auto* own = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    if (!own) return;
    head.result(own->status);
    for (const auto& field : own->fields) head.insert(field.name_string(), field.value());
}

}  // namespace martenford::control_api
