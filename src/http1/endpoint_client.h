// Connections to endpoints: a pool each, attempts and probes on them, and what became of each.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/endpoint_table.h"
#include "core/loop.h"
#include "http1/http.h"

namespace martenford {

class EndpointConnection;
class ClientProtocol;

class Http1EndpointClient : public EndpointClient, public EndpointTable {
  public:
    /// Holds `most` connections, and `per_endpoint` to each endpoint (0: no bound of its own). An attempt
    /// that would need one more takes the place of the connection that has been idle longest; where none is
    /// idle, or its endpoint has as many as it may, it ends as never sent.
    /// `protocol` outlives it.
    Http1EndpointClient(EventLoop& loop, ClientProtocol& protocol, const decision::Limits& limits,
                        std::size_t max_connections, std::size_t per_endpoint, Counters& counters);
    ~Http1EndpointClient() override;

    void set_endpoint(EndpointId id, const Address& address, bool ready) override;
    void remove(EndpointId id) override;

    /// The message is an HttpMessage.
    Handle send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done) override;
    void probe(EndpointId id, Done done) override;
    void close_idle_connections(EndpointId id) override;
    /// From here on it holds so many; idle ones over that are closed at once, others as they end.
    void set_max_connections(std::size_t max_connections);
    /// Answers that came where another one was expected, and were skipped.
    std::uint64_t skipped_answers() const { return skipped_.value(); }

  private:
    friend class EndpointConnection;
    struct Pool {
        Address address;
        bool ready = false;
        std::uint32_t open = 0;                                 // to its present and to earlier addresses
        std::vector<std::shared_ptr<EndpointConnection>> idle;  // the one used last stands last
    };
    /// All idle ones over all pools, the one idle for longest first: found without a look at the others.
    using ByIdleTime = std::list<EndpointConnection*>;
    using RequestWriter = MessageWriter<true>;

    Handle start(EndpointId id, std::shared_ptr<const HttpMessage> message,
                 std::shared_ptr<RequestWriter> outgoing, Time end, Done done);
    /// An idle connection, or a new one; null where there is no room.
    std::shared_ptr<EndpointConnection> acquire(EndpointId id, Pool& pool, const HttpMessage* message);
    /// The one used last of those that may carry the message; null where there is none. A null message is a
    /// probe.
    std::shared_ptr<EndpointConnection> acquire_idle(Pool& pool, const HttpMessage* message);
    bool evict_idle();
    bool may_keep(const EndpointConnection& connection) const;
    void add_idle(std::shared_ptr<EndpointConnection> connection);
    void remove_idle(const EndpointConnection& connection);
    void connection_closed(const EndpointConnection& connection);
    void written(const Message& message, EndpointId id) {
        written_.add();
        if (on_written_) on_written_(message, id);
    }

    EventLoop& loop_;
    ClientProtocol& protocol_;
    decision::Limits limits_;
    std::size_t max_connections_, max_per_endpoint_, open_count_ = 0;
    std::unordered_map<EndpointId, Pool> pools_;
    ByIdleTime by_idle_time_;
    Counter &opened_, &evicted_, &no_room_, &written_, &skipped_;
};

}  // namespace martenford
