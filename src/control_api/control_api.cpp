#include "control_api/control_api.h"

#include <utility>

namespace martenford::control_api {

namespace {
constexpr std::size_t kMostConfig = 16 * 1024 * 1024;
constexpr std::size_t kMostBeat = 16 * 1024;
constexpr Duration kLongest = 30s;
}  // namespace

const std::vector<CallSpec>& call_table() {
    static const std::vector<CallSpec> all{
        {CallName::Readiness, Caller::Platform, http::verb::get, "/v1/readiness", 0, "200, else 503"},
        {CallName::Heartbeat, Caller::Endpoint, http::verb::post, "/v1/instances/{id}/heartbeat", kMostBeat,
         "200, 400"},
        {CallName::Deregister, Caller::Endpoint, http::verb::post, "/v1/instances/{id}/deregister", kMostBeat,
         "200"},
        {CallName::Replace, Caller::Operator, http::verb::post, "/v1/configuration/replace", kMostConfig,
         "200, 400, 412; 307 to the leader; 503"},
        {CallName::Modify, Caller::Operator, http::verb::post, "/v1/configuration/modify", kMostConfig,
         "200, 400, 412; 307 to the leader; 503"},
        {CallName::Read, Caller::Operator, http::verb::get, "/v1/configuration/read", 0,
         "200 with the newest; 307 to the leader; 404 before the first; 503"},
    };
    return all;
}

Match match(http::verb verb, std::string_view path) {
    path = path.substr(0, path.find('?'));
    Match found;
    for (const CallSpec& kind : call_table()) {
        const std::string_view pattern = kind.path;
        const auto hole = pattern.find("{id}");
        std::string id;
        if (hole == pattern.npos) {
            if (path != pattern) continue;
        } else {
            const auto tail = pattern.substr(hole + 4);
            if (path.size() <= hole + tail.size() || path.substr(0, hole) != pattern.substr(0, hole) ||
                path.substr(path.size() - tail.size()) != tail)
                continue;
            id = path.substr(hole, path.size() - hole - tail.size());
            if (id.find('/') != id.npos || id.size() > 128) continue;
        }
        if (kind.verb != verb) {
            found.wrong_method = true;
            continue;
        }
        return {&kind, id, false};
    }
    return found;
}

ApiServer::ApiServer(Loop& loop, std::map<CallName, Handler> handlers, std::size_t most,
                     martenford::Counters& counters)
    : loop_(loop),
      handlers_(std::move(handlers)),
      front_(
          loop, *this, *this, most, [] { return true; }, counters) {
    limits_.most_body = kMostConfig;
    limits_.whole_body = kMostConfig;
    limits_.idle_time = 30s;
    limits_.head_time = 10s;
}

std::variant<decision::Request, TurnAway> ApiServer::read(Fields& head, Time arrived) {
    const auto target = head.target();
    const Match found = match(head.method(), {target.data(), target.size()});
    if (found.wrong_method) return TurnAway{http::status::method_not_allowed};
    if (!found.spec || !handlers_.contains(found.spec->name)) return TurnAway{http::status::not_found};
    decision::Request request;
    request.id = std::to_string(++last_);
    request.class_index = static_cast<std::uint32_t>(found.spec - call_table().data());
    request.deadline = arrived + kLongest;
    head.set("Mesh-Id", found.id);  // for take(), which sees the message alone
    return request;
}

bool ApiServer::take(decision::Request request, std::shared_ptr<const Message> message, Reply reply) {
    const auto& from = static_cast<const HttpMessage&>(*message);
    const CallSpec& kind = call_table()[request.class_index];
    Call call{kind.name, std::string(from.field("Mesh-Id")), from.body};
    const auto id = request.id;
    pending_replies_[id] = std::move(reply);
    const auto respond = [this, id](Response&& response) {
        const auto node = pending_replies_.extract(id);
        if (node.empty()) return;
        Answer answer;
        answer.kind = Answer::Kind::Served;
        auto head = std::make_shared<HttpAnswerHead>();
        head->status = response.status;
        if (!response.body.empty()) head->fields.set(http::field::content_type, "application/json");
        if (!response.location.empty()) head->fields.set(http::field::location, response.location);
        if (response.retry_after > Duration{})
            head->fields.set(http::field::retry_after, seconds_text(response.retry_after));
        answer.head = std::move(head);
        answer.body = std::move(response.body);
        node.mapped()(std::move(answer));
    };
    if (call.body.size() > kind.max_body_bytes) {
        respond({413, R"({"error":"the body is too long"})"});
        return true;
    }
    handlers_.at(kind.name)(std::move(call), respond);
    return true;
}

void ApiServer::write(const Answer& answer, const decision::RequestId&, http::response_header<>& head) {
    if (const auto* own = dynamic_cast<const HttpAnswerHead*>(answer.head.get())) {
        head.result(own->status);
        for (const auto& field : own->fields) head.insert(field.name_string(), field.value());
    }
}

}  // namespace martenford::control_api
