// The HTTP API of endpoints, operators and the platform: one table declares every call, and ApiServer serves
// a subset of them on one port. Runs on the thread of the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/engine.h"
#include "http1/listener.h"
#include "http1/protocol.h"

namespace martenford::control_api {

enum class CallName { Readiness, Heartbeat, Deregister, Replace, Modify, Read };

/// Who makes a call.
enum class Caller {
    Platform,  ///< starts and stops processes; asks for readiness
    Endpoint,  ///< an instance of a service, at the proxy beside it
    Operator,  ///< changes the configuration, at a controller
};

/// The declaration of a call.
struct CallSpec {
    CallName name;
    Caller caller;
    http::verb verb;
    const char* path;            ///< "{id}" stands for one segment of 1 to kMaxIdLength bytes
    std::size_t max_body_bytes;  ///< a longer body is answered with 413
    const char* description;     ///< the statuses it is answered with, for readers of the table
};

/// Longest `{id}` of a path, in bytes; a path with a longer one is unknown (404).
constexpr std::size_t kMaxIdLength = 128;

[[nodiscard]] const std::vector<CallSpec>& call_table();

/// A request for a call, as its handler gets it.
struct Call {
    CallName name;
    std::string id;  ///< the segment of the path for {id}; empty: the path has none
    std::string body;
};

struct Response {
    unsigned status = 200;
    std::string body;        ///< JSON; empty: no body
    std::string location{};  ///< of a redirect; empty: no such header
    Duration retry_after{};  ///< 0: no such header; sent in seconds
};

/// Sends the response to a call. Only the first one is sent, and none once the caller has disconnected.
using Respond = std::function<void(Response&&)>;
/// Handles a call; `respond` may be called at once or later, on the same thread.
using Handler = std::function<void(Call&&, Respond)>;

/// The declaration that a request line matches.
struct Match {
    const CallSpec* spec = nullptr;  ///< null: no call has this path and method
    std::string id;
    bool wrong_method = false;  ///< calls have this path, but with other methods
};
/// Matches a method and a path; a query is ignored.
[[nodiscard]] Match match(http::verb verb, std::string_view path);

/// Serves calls on one port.
class ApiServer : private ServerProtocol, private RequestHandler {
  public:
    /// Serves the calls for which there is a handler; others are answered with 404, and 405 for a wrong
    /// method. Accepts up to `max_connections`.
    ApiServer(EventLoop& loop, std::map<CallName, Handler> handlers, std::size_t max_connections,
              martenford::Counters& counters);
    /// Takes over a listening socket.
    void listen(ListeningSocket socket) { front_.listen(std::move(socket)); }

  private:
    // ServerProtocol
    [[nodiscard]] const ListenerLimits& limits() const override { return limits_; }
    [[nodiscard]] DrainTimes drain_times() const override { return {100ms, 0ms, 500ms, 0ms}; }
    std::variant<decision::Request, LocalReply> read(Fields& head, Time arrived) override;
    void write(const Answer& answer, const decision::RequestId& id, http::response_header<>& head) override;
    // RequestHandler (core/engine.h): takes the requests that the front has read
    bool submit(decision::Request request, std::shared_ptr<const Message> message, Reply reply) override;
    void body_received(const decision::RequestId&, Time) override {}
    void client_disconnected(const decision::RequestId& id) override { pending_replies_.erase(id); }

    void respond_to(const decision::RequestId& id, Response&& response);

    std::map<CallName, Handler> handlers_;
    ListenerLimits limits_;
    std::uint64_t last_request_number_ = 0;
    std::map<decision::RequestId, Reply> pending_replies_;  ///< of calls whose caller waits
    HttpListener front_;
};

}  // namespace martenford::control_api
