// What stands around the processes in a test: callers and endpoints, in the test's own loop.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/address.h"
#include "core/loop.h"
#include "http1/front.h"
#include "http1/protocol.h"

namespace martenford::rig {

/// An answer. Status 0: none, or an incomplete one.
struct Said {
    int status = 0;
    std::string head, body;
    std::string field(const std::string& name) const;
};

/// One connection of a caller, dialled at the first request; one request at a time. A kept one is dialled
/// anew after its end.
class Connection {
  public:
    using Done = std::function<void(Said&&)>;
    Connection(Loop& loop, const std::string& to);
    ~Connection();
    /// `done` is called once, after `limit` at the latest: the connection is then closed.
    void ask(const std::string& request, Duration limit, Done done);

  private:
    struct Line;
    void finish(Said&& said);
    void close();

    Loop& loop_;
    const std::string to_;
    std::shared_ptr<Line> line_;
    Timer limit_;
    Done done_;
};

/// The bytes of a request.
std::string request_of(const std::string& verb, const std::string& path, const std::string& host,
                       const std::string& fields = {}, const std::string& body = {}, bool keep = false);

/// An endpoint: answers each request once, with its seal.
class Endpoint : private ServerProtocol, private Desk {
  public:
    struct Asked {
        std::string id, path, body, caller, tenant, key;
    };
    /// How one request is answered.
    struct Work {
        std::string body;
        Duration lasts{};
        bool breaks = false;  // ends in an answer that doesn't say whose it is
    };
    using Runs = std::function<Work(const Asked&)>;

    Endpoint(Loop& loop, const std::string& id, const std::string& at, Runs runs, Counters& counters);
    const std::string& id() const { return id_; }
    const std::string& address() const { return at_; }
    /// Listens no more; it stays until the loop has run all that it had begun.
    void end() {
        front_.drain([] {}, true);
    }
    /// The body of its next beat.
    std::string beat(const std::string& service, const std::string& state);

  private:
    const FrontLimits& limits() const override { return limits_; }
    DrainTimes drain_times() const override { return {}; }
    std::variant<decision::Request, TurnAway> read(Fields& head, Time arrived) override;
    bool take(decision::Request request, std::shared_ptr<const Message> message, Reply reply) override;
    void received(const decision::RequestId&, Time) override {}
    void leave(const decision::RequestId& id) override { open_.erase(id); }
    void write(const Answer& answer, const decision::RequestId&, http::response_header<>& head) override;
    void answer(const decision::RequestId& id, const std::string& attempt, Work&& work);

    Loop& loop_;
    const std::string id_, at_;
    Runs runs_;
    FrontLimits limits_;
    int seq_ = 0;
    std::uint64_t last_ = 0;
    std::map<decision::RequestId, Asked> asked_;
    struct Open {
        Reply reply;
        std::unique_ptr<Timer> timer;
    };
    std::map<decision::RequestId, Open> open_;
    Http1Front front_;
};

}  // namespace martenford::rig
