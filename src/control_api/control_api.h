// The calls of endpoints and operators, declared in one table, and what answers them on a port: a front whose
// desk calls handlers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/engine.h"
#include "http1/front.h"
#include "http1/protocol.h"

namespace martenford::control_api {

enum class CallName { Readiness, Heartbeat, Deregister, Replace, Modify, Read };
enum class Caller { Platform, Endpoint, Operator };

struct CallSpec {
    CallName name;
    Caller caller;
    http::verb verb;
    const char* path;  ///< "{id}" stands for one segment
    std::size_t max_body_bytes;
    const char* description;  ///< for people
};
const std::vector<CallSpec>& call_table();

struct Call {
    CallName name;
    std::string id;  ///< what stands for {id}
    std::string body;
};
struct Response {
    unsigned status = 200;
    std::string body;  ///< JSON; empty: none
    std::string location{};
    Duration retry_after{};
};
using Respond = std::function<void(Response&&)>;
using Handler = std::function<void(Call&&, Respond)>;

/// The kind that a request is, and its {id}; nothing: no call has this path. A path whose method is another
/// has `wrong_method`.
struct Match {
    const CallSpec* spec = nullptr;
    std::string id;
    bool wrong_method = false;
};
Match match(http::verb verb, std::string_view path);

/// One port.
class ApiServer : private ServerProtocol, private Desk {
  public:
    /// Answers the calls for which there are handlers; others are unknown here. `most` connections.
    ApiServer(Loop& loop, std::map<CallName, Handler> handlers, std::size_t most,
              martenford::Counters& counters);
    void listen(const Address& address) { front_.listen(address); }

  private:
    const FrontLimits& limits() const override { return limits_; }
    DrainTimes drain_times() const override { return {100ms, 0ms, 500ms, 0ms}; }
    std::variant<decision::Request, TurnAway> read(Fields& head, Time arrived) override;
    void write(const Answer& answer, const decision::RequestId& id, http::response_header<>& head) override;
    bool take(decision::Request request, std::shared_ptr<const Message> message, Reply reply) override;
    void received(const decision::RequestId&, Time) override {}
    void leave(const decision::RequestId& id) override { pending_replies_.erase(id); }

    Loop& loop_;
    std::map<CallName, Handler> handlers_;
    FrontLimits limits_;
    std::uint64_t last_ = 0;
    std::map<decision::RequestId, Reply> pending_replies_;
    Http1Front front_;
};

}  // namespace martenford::control_api
