#include "mesh/rig/standins.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <sstream>

namespace martenford::rig {

std::string Said::field(const std::string& name) const {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == head.npos) return {};
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

// ---- callers

struct Connection::Line {
    explicit Line(Loop& loop) : socket(loop.io()) {}
    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::string request;
    http::response<http::string_body> response;
    bool up = false;
};

Connection::Connection(Loop& loop, const std::string& to) : loop_(loop), to_(to), limit_(loop) {}
Connection::~Connection() {
    close();
}

void Connection::close() {
    error_code ignored;
    if (line_) line_->socket.close(ignored);
    line_.reset();
}

void Connection::finish(Said&& said) {
    limit_.cancel();
    // It may end this object.
    if (const auto done = std::exchange(done_, nullptr)) done(std::move(said));
}

void Connection::ask(const std::string& request, Duration limit, Done done) {
    done_ = std::move(done);
    limit_.set(loop_.now() + limit, [this] {
        close();
        finish({});
    });
    if (!line_) line_ = std::make_shared<Line>(loop_);
    const auto line = line_;
    line->request = request;
    line->response = {};
    const auto failed = [this, line] {
        if (line != line_) return true;  // given up before
        close();
        finish({});
        return true;
    };
    const auto talk = [this, line, failed] {
        asio::async_write(line->socket, asio::buffer(line->request),
                          // What was answered before all of it went out is read all the same.
                          [line](const error_code&, std::size_t) {});
        http::async_read(line->socket, line->buffer, line->response,
                         [this, line, failed](const error_code& error, std::size_t) {
                             if (error || line != line_) {
                                 failed();
                                 return;
                             }
                             std::ostringstream head;
                             head << line->response.base();
                             Said said{static_cast<int>(line->response.result_int()), head.str(),
                                       std::move(line->response.body())};
                             if (!line->response.keep_alive()) close();
                             finish(std::move(said));
                         });
    };
    if (line->up) return talk();
    line->socket.async_connect(*parse_address(to_), [line, failed, talk](const error_code& error) {
        if (error) {
            failed();
            return;
        }
        line->up = true;
        talk();
    });
}

std::string request_of(const std::string& verb, const std::string& path, const std::string& host,
                       const std::string& fields, const std::string& body, bool keep) {
    return verb + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + (keep ? "" : "Connection: close\r\n") +
           fields + (verb == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

// ---- endpoints

Endpoint::Endpoint(Loop& loop, const std::string& id, const std::string& at, Runs runs, Counters& counters)
    : loop_(loop),
      id_(id),
      at_(at),
      runs_(std::move(runs)),
      front_(
          loop, *this, *this, 64, [] { return true; }, counters) {
    front_.listen(*parse_address(at));
}

std::string Endpoint::beat(const std::string& service, const std::string& state) {
    return R"({"address":")" + at_ + R"(","node_info":{"service":")" + service +
           R"(","version":"v1","zone":"z","slots":4},"status":{"state":")" + state + R"(","call_seq":)" +
           std::to_string(++seq_) + R"(,"cold_left_ms":0}})";
}

std::variant<decision::Request, TurnAway> Endpoint::read(Fields& head, Time arrived) {
    if (head["Expected-Instance"] != id_) return TurnAway{http::status::misdirected_request};
    decision::Request request;
    request.id = std::to_string(++last_);  // an attempt's id may come again
    request.deadline = arrived + 5s;
    Asked& asked = asked_[request.id];
    asked.id = std::string(head["Attempt-Id"]);
    asked.path = std::string(head.target());
    asked.caller = std::string(head["Caller-Service"]);
    asked.tenant = std::string(head["Tenant-Name"]);
    asked.key = std::string(head["Api-Key"]);
    return request;
}

bool Endpoint::take(decision::Request request, std::shared_ptr<const Message> message, Reply reply) {
    Asked asked = std::move(asked_.extract(request.id).mapped());
    asked.body = std::string(message->held_body());
    Work work = runs_(asked);
    Open& open = open_[request.id];
    open.reply = std::move(reply);
    if (work.lasts == Duration{}) {
        answer(request.id, asked.id, std::move(work));
        return true;
    }
    open.timer = std::make_unique<Timer>(loop_);
    open.timer->set(loop_.now() + work.lasts,
                    [this, id = request.id, attempt = asked.id, work] { answer(id, attempt, Work(work)); });
    return true;
}

void Endpoint::answer(const decision::RequestId& id, const std::string& attempt, Work&& work) {
    const auto open = open_.extract(id);
    if (open.empty()) return;
    Answer answer;
    if (!work.breaks) {
        answer.kind = Answer::Kind::Served;
        auto head = std::make_shared<HttpAnswerHead>();
        head->status = 200;
        head->fields.set("Attempt-Id", attempt);
        head->fields.set("Server-Seal", id_);
        answer.head = std::move(head);
        answer.body = std::move(work.body);
    }
    open.mapped().reply(std::move(answer));
}

void Endpoint::write(const Answer& answer, const decision::RequestId&, http::response_header<>& head) {
    const auto* own = static_cast<const HttpAnswerHead*>(answer.head.get());
    if (!own) return;
    head.result(own->status);
    for (const auto& field : own->fields) head.insert(field.name_string(), field.value());
}

}  // namespace martenford::rig
