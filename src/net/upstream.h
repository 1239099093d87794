// Connections to endpoints: a pool each, attempts and probes on them, and what became of each.
#pragma once

#include <boost/beast/http/span_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "loop.h"
#include "targets.h"

namespace martenford {

/// How an attempt or a probe ended.
struct Result {
    loftfront::Status status = loftfront::Status::Error;
    std::string body{};          ///< of an answer 200
    std::string content_type{};  ///< and its type, where it gives one
    bool kept = false;           ///< the connection can carry another
};

class Connection;

class Upstream {
  public:
    using Done = std::function<void(Result&&)>;
    /// One attempt on its way; means nothing once its `done` has run.
    using Attempt = std::weak_ptr<Connection>;

    /// Holds this many connections at most.
    Upstream(Loop& loop, const loftfront::Limits& limits, std::size_t most);
    ~Upstream();

    /// Where an endpoint is. Connections to another address of its, and to one that drains, carry nothing
    /// new.
    void place(EndpointId id, const Address& address, bool ready);
    void remove(EndpointId id);

    /// Sends a request once and calls `done` once, with how it ended; `done` may run before this returns.
    /// The message must outlive the attempt.
    Attempt send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done);
    void probe(EndpointId id, Done done);
    /// Stops waiting; the attempt's outcome is Cancelled.
    static void cancel(const Attempt& attempt);
    /// Ends an attempt of which nothing has been written yet as never sent; leaves any other alone.
    static void withdraw_unwritten(const Attempt& attempt);
    void shut_idle(EndpointId id);

  private:
    friend class Connection;
    struct Pool {
        Address address;
        bool ready = false;
        std::vector<std::shared_ptr<Connection>> idle;  // the one used last stands last
    };
    using Outgoing = http::request<http::span_body<const char>>;

    Attempt start(EndpointId id, std::shared_ptr<const Message> message, Outgoing&& outgoing, Time end,
                  Done done);
    std::shared_ptr<Connection> take(EndpointId id, Pool& pool);
    bool make_room();
    bool keeps(const Connection& connection) const;
    void put_back(std::shared_ptr<Connection> connection);
    void forget_idle(const Connection& connection);

    Loop& loop_;
    loftfront::Limits limits_;
    std::size_t most_, count_ = 0;
    std::map<EndpointId, Pool> pools_;
};

}  // namespace martenford
