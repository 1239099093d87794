#include "mesh/rig/endless_endpoint.h"

namespace martenford::rig {

std::string sound_head(const std::string& id, const std::string& fields) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\n" + fields + "\r\n";
}

EndlessEndpoint::EndlessEndpoint(EventLoop& loop, const std::string& address, AnswerOf answer_of)
    : loop_(loop),
      answer_of_(std::move(answer_of)),
      listener_(
          loop,
          [this](hop_world::tcp::socket socket) { read(std::make_shared<Stream>(loop_, std::move(socket))); },
          address) {}

void EndlessEndpoint::read(const StreamPtr& stream) {
    stream->request = {};
    http::async_read(stream->socket, stream->buffer, stream->request,
                     [this, stream](const error_code& error, std::size_t) {
                         if (!error) answer(stream);
                     });
}

void EndlessEndpoint::answer(const StreamPtr& stream) {
    const std::string id(stream->request["Attempt-Id"]);
    const bool is_health_check = id.empty();
    const bool is_faulty =
        is_health_check ? fails_health_checks : stream->request.target().starts_with(kFaultyPath);
    if (is_faulty) {
        stream->answer = answer_of_(id);
        stream->text = stream->answer.beginning;
    } else {
        stream->text = is_health_check
                           ? hop_world::response_text("200 OK", "", "Instance-Id: i\r\n", "")
                           : hop_world::response_text("200 OK", id, "Server-Seal: s\r\n", "whole");
    }
    asio::async_write(stream->socket, asio::buffer(stream->text),
                      [this, stream, is_faulty](const error_code& error, std::size_t) {
                          if (error) return;
                          if (!is_faulty) return read(stream);
                          stream->timer.set(loop_.now() + stream->answer.pause,
                                            [this, stream] { send_pieces(stream); });
                      });
}

void EndlessEndpoint::send_pieces(const StreamPtr& stream) {
    asio::async_write(stream->socket, asio::buffer(stream->answer.piece),
                      [this, stream](const error_code& error, std::size_t size) {
                          bytes_sent_ += size;
                          if (!error) send_pieces(stream);
                      });
}

}  // namespace martenford::rig
