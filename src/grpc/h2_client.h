// The client's side of one HTTP/2 connection to an endpoint: attempts out as streams, and how each ended as
// the table in grpc/status.h has it. nghttp2 speaks the protocol. Pure: no socket and no clock. Nothing is
// sent again here.
//
// Sources: RFC 9113, sections 5.1.2, 6.8 and 8.7; gRPC over HTTP/2 (PROTOCOL-HTTP2.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "grpc/h2_server.h"
#include "grpc/messages.h"
#include "grpc/status.h"

namespace martenford::grpc {

/// What came of one stream.
struct H2Answer {
    Ending ending;
    Fields head, trailers;  ///< without the pseudo-header fields; trailers hold grpc-status
    std::string body;       ///< length-prefixed messages as they came; empty unless the ending is an answer
};

class H2Client {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        /// Once for each stream, unless it was cancelled.
        virtual void on_ended(std::int32_t stream, H2Answer&& answer) = 0;
    };
    struct Limits {
        std::size_t head = 8 * 1024;       ///< of an answer, its trailers included
        std::size_t body = 64 * 1024 + 5;  ///< as HTTP/1.1's, and a message's prefix
        std::size_t message = 64 * 1024;
        /// Frames that neither begin nor continue an answer (PING, SETTINGS, empty DATA and the like), one
        /// after the other.
        std::size_t idle_frames = 1000;
    };

    H2Client(Handler& handler, const Limits& limits);
    ~H2Client();
    H2Client(const H2Client&) = delete;
    H2Client& operator=(const H2Client&) = delete;

    /// Whether another stream may be opened now: the peer's MAX_CONCURRENT_STREAMS leaves room, it has said
    /// no GOAWAY and there are numbers left.
    bool takes() const;
    /// Opens a stream; nothing where takes() says no.
    std::optional<std::int32_t> send(const Fields& head, std::string body);
    /// Nothing more of it is wanted: RST_STREAM with CANCEL, and no on_ended().
    void cancel(std::int32_t stream);
    /// Whether a byte of it has been given out to be written.
    bool begun(std::int32_t stream) const;

    /// False: nothing more is wanted of the peer, which broke the protocol or sends frames without end that
    /// belong to no answer; lost() is to follow.
    bool feed(std::string_view bytes);
    std::string output(std::size_t most = 64 * 1024);
    /// So many more bytes of what output() gave have been written. What has not is not on its way.
    void written(std::size_t bytes) { written_ += bytes; }
    /// The connection has gone: all that is open ends.
    void lost();

    std::size_t open() const { return streams_.size(); }
    bool leaving() const { return last_processed_.has_value(); }

  private:
    struct Stream;
    struct Callbacks;
    friend struct Callbacks;
    Stream* find(std::int32_t stream);
    void count_frame(bool belongs_to_answer);
    void fail(std::int32_t id, Stream& stream, Ending::How how);
    Ending judge(std::int32_t id, const Stream& stream, std::uint32_t code) const;
    void end(std::int32_t id, Ending ending);

    Handler& handler_;
    Limits limits_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, std::unique_ptr<Stream>> streams_;  // in order, so that a loss ends them in order
    std::uint64_t out_ = 0, written_ = 0;
    std::vector<std::int32_t> finishing_;         // whose END_STREAM is in what is given out just now
    std::size_t idle_frames_ = 0;                 // since the last that belonged to an answer
    std::optional<std::int32_t> last_processed_;  // of the peer's GOAWAY
};

}  // namespace martenford::grpc
