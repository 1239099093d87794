// An application endpoint that is faulty for some requests: it sends bytes without end, until its peer
// closes. All others it answers.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "mesh/hop_doubles.h"

namespace martenford::rig {

/// What a faulty answer consists of.
struct EndlessAnswer {
    std::string beginning;  ///< sent once
    std::string piece;      ///< sent again and again after it
    Duration pause{};       ///< between the two
};

/// The end of a head that is sound so far, for `EndlessAnswer::beginning`.
[[nodiscard]] std::string sound_head(const std::string& id, const std::string& fields);

class EndlessEndpoint {
  public:
    /// Requests for paths that begin so are answered without end.
    static constexpr char kFaultyPath[] = "/r/endless";
    using AnswerOf = std::function<EndlessAnswer(const std::string& id)>;

    /// Listens at `address`, "ip:port".
    EndlessEndpoint(EventLoop& loop, const std::string& address, AnswerOf answer_of);

    /// Whether health checks are answered without end, too.
    bool fails_health_checks = false;
    /// Of endless answers.
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

  private:
    struct Stream {
        Stream(EventLoop& loop, hop_world::tcp::socket accepted) : socket(std::move(accepted)), timer(loop) {}
        hop_world::tcp::socket socket;
        Timer timer;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::string text;  // that is being written
        EndlessAnswer answer;
    };
    using StreamPtr = std::shared_ptr<Stream>;

    void read(const StreamPtr& stream);
    void answer(const StreamPtr& stream);
    void send_pieces(const StreamPtr& stream);

    EventLoop& loop_;
    AnswerOf answer_of_;
    std::uint64_t bytes_sent_ = 0;
    hop_world::Listener listener_;
};

}  // namespace martenford::rig
