// The server's side of one HTTP/2 connection: bytes in, requests out; answers in, bytes out. nghttp2 speaks
// the protocol; this bounds what a peer may make it do. Pure: no socket and no clock.
//
// Sources: RFC 9113; CVE-2023-44487 (rapid reset); CVE-2024-28182 (CONTINUATION floods).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/scheduler.h"

struct nghttp2_session;

namespace martenford::grpc {

using Fields = std::vector<std::pair<std::string, std::string>>;  // names in small letters

struct H2Limits {
    std::uint32_t streams = 100;       ///< open at once; the next are refused (REFUSED_STREAM)
    std::size_t head = 8 * 1024;       ///< of a request, names and values and 32 bytes each (RFC 9113, 6.5.2)
    std::size_t body = 64 * 1024 + 5;  ///< of a request: as HTTP/1.1's, and a message's prefix
    double control_burst = 200.0;      ///< PING, SETTINGS, RST_STREAM, PRIORITY and empty DATA frames at once
    double control_per_second = 100.0;  ///< and from there on
};

/// A request that has come whole.
struct H2Request {
    std::int32_t stream = 0;
    std::string method, path;
    Fields fields;  ///< without the pseudo-header fields
    std::string body;
};

class H2Server {
  public:
    class Handler {
      public:
        virtual ~Handler() = default;
        /// Each stream once. What is too large never comes here: it is answered before.
        virtual void on_request(H2Request&& request) = 0;
        /// The client has reset the stream, or the connection ends, before its answer was whole.
        virtual void on_left(std::int32_t stream) = 0;
    };
    struct Figures {
        std::uint64_t requests = 0, left = 0, too_large = 0, floods = 0;
    };

    H2Server(Handler& handler, const H2Limits& limits);
    ~H2Server();
    H2Server(const H2Server&) = delete;
    H2Server& operator=(const H2Server&) = delete;

    /// Takes in what was read. False: nothing more is wanted; what output() still gives goes out, then the
    /// connection is to be closed.
    bool feed(std::string_view bytes, Time now);
    /// What is to be written next, some `most` bytes; empty: nothing for now. A body that is not asked for
    /// waits.
    std::string output(std::size_t most = 64 * 1024);
    /// Whether the connection has come to its end by itself.
    bool finished() const;

    /// An answer with a body and trailers; without either it is one of trailers only. No-op where the stream
    /// has gone.
    void respond(std::int32_t stream, const Fields& head, std::string body, const Fields& trailers);
    /// RST_STREAM. REFUSED_STREAM says that nothing was processed.
    void reset(std::int32_t stream, std::uint32_t code);
    /// GOAWAY: streams that are open go on, new ones are not taken.
    void go_away();

    std::size_t open() const { return streams_.size(); }
    const Figures& figures() const { return figures_; }

  private:
    struct Stream;
    struct Callbacks;
    friend struct Callbacks;
    Stream* find(std::int32_t stream);
    void whole(std::int32_t stream);
    void flood();

    Handler& handler_;
    H2Limits limits_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, std::unique_ptr<Stream>> streams_;
    double tokens_;
    Time last_{};
    bool begun_ = false, ending_ = false;
    Figures figures_;
};

}  // namespace martenford::grpc
