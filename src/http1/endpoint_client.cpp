#include "http1/endpoint_client.h"

#include <algorithm>
#include <optional>

#include "http1/endpoint_connection.h"
#include "http1/protocol.h"

namespace martenford {

using decision::Status;

namespace {

constexpr Duration kProbeTimeout = 1s;

}  // namespace

Http1EndpointClient::Http1EndpointClient(EventLoop& loop, ClientProtocol& protocol,
                                         const decision::Limits& limits, std::size_t max_connections,
                                         std::size_t per_endpoint, Counters& counters)
    : loop_(loop),
      protocol_(protocol),
      limits_(limits),
      max_connections_(max_connections),
      max_per_endpoint_(per_endpoint),
      opened_(counters.counter("connections.opened", "connections that were begun to endpoints")),
      evicted_(counters.counter("connections.evicted", "idle ones closed to make room for another")),
      no_room_(counters.counter("connections.no_room", "attempts not sent for want of a connection")),
      written_(counters.counter("attempts.written", "attempts whose last byte was written")),
      skipped_(counters.counter("answers.skipped", "answers to another request than the one that waited")) {
    counters.gauge("connections.open", "to endpoints", [this] { return static_cast<double>(open_count_); });
    counters.gauge("connections.idle", "of them, carrying nothing",
                   [this] { return static_cast<double>(by_idle_time_.size()); });
}
Http1EndpointClient::~Http1EndpointClient() = default;

void Http1EndpointClient::set_endpoint(EndpointId id, const Address& address, bool ready) {
    Pool& pool = pools_[id];
    if (!ready || pool.address != address) close_idle_connections(id);
    pool.address = address;
    pool.ready = ready;
}

void Http1EndpointClient::remove(EndpointId id) {
    close_idle_connections(id);
    pools_.erase(id);
}

EndpointClient::Handle Http1EndpointClient::send(EndpointId id, std::shared_ptr<const Message> message,
                                                 Time end, Done done) {
    auto request = std::static_pointer_cast<const HttpMessage>(std::move(message));
    if (!protocol_.carries_body(*request))
        request = std::make_shared<HttpMessage>(http::request<IncrementalBody>{request->head});
    RequestWriter::Head head{request->head};
    protocol_.prepare(head, *request, id, end);
    if (!request->rest) {
        // A safe request has no body, and endpoints may not expect to be told so.
        const bool bare = request->body.empty() && head.method() == http::verb::get;
        head.content_length(bare ? boost::optional<std::uint64_t>{} : request->body.size());
    } else if (request->length) {
        head.content_length(*request->length);
    } else {
        head.chunked(true);
    }
    auto outgoing = std::make_shared<RequestWriter>(std::move(head), request->body, request->rest);
    return start(id, std::move(request), std::move(outgoing), end, std::move(done));
}

void Http1EndpointClient::probe(EndpointId id, Done done) {
    RequestWriter::Head head{http::verb::get, "/", 11};
    protocol_.prepare_probe(head);
    auto outgoing = std::make_shared<RequestWriter>(std::move(head), std::string_view{}, nullptr);
    start(id, nullptr, std::move(outgoing), EventLoop::monotonic() + kProbeTimeout, std::move(done));
}

EndpointClient::Handle Http1EndpointClient::start(EndpointId id, std::shared_ptr<const HttpMessage> message,
                                                  std::shared_ptr<RequestWriter> outgoing, Time end,
                                                  Done done) {
    const auto pool = pools_.find(id);
    auto connection = pool == pools_.end() ? nullptr : acquire(id, pool->second, message.get());
    if (!connection) {
        // Guards against blaming the endpoint for our own lack of places, or for having left the list.
        Result result;
        result.status = Status::NotSent;
        done(std::move(result));
        return {};
    }
    connection->start(std::move(message), std::move(outgoing), end, std::move(done));
    return connection;
}

void Http1EndpointClient::set_max_connections(std::size_t max_connections) {
    max_connections_ = max_connections;
    while (open_count_ > max_connections_ && evict_idle()) {
    }
}

std::shared_ptr<EndpointConnection> Http1EndpointClient::acquire_idle(Pool& pool,
                                                                      const HttpMessage* message) {
    for (auto place = pool.idle.end(); place != pool.idle.begin();) {
        --place;
        if (message && !(*place)->may_send(*message)) continue;
        const auto connection = std::move(*place);
        place = pool.idle.erase(place);
        by_idle_time_.erase(*std::exchange(connection->idle_position, std::nullopt));
        if (connection->is_reusable()) return connection;
        connection->close();
    }
    return nullptr;
}

std::shared_ptr<EndpointConnection> Http1EndpointClient::acquire(EndpointId id, Pool& pool,
                                                                 const HttpMessage* message) {
    if (auto connection = acquire_idle(pool, message)) return connection;
    if ((max_per_endpoint_ > 0 && pool.open >= max_per_endpoint_) ||
        (open_count_ >= max_connections_ && !evict_idle())) {
        no_room_.add();
        return nullptr;
    }
    opened_.add();
    ++open_count_;
    ++pool.open;
    return std::make_shared<EndpointConnection>(*this, id, pool.address, opened_.value());
}

/// Closes the connection that has been idle longest. Guards against running out of descriptors.
bool Http1EndpointClient::evict_idle() {
    if (by_idle_time_.empty()) return false;
    const auto oldest = by_idle_time_.front()->shared_from_this();
    remove_idle(*oldest);
    oldest->close();
    evicted_.add();
    return true;
}

void Http1EndpointClient::connection_closed(const EndpointConnection& connection) {
    --open_count_;
    // A pool that was removed and came back counts anew. What is left of the old one may be taken off it:
    // then the endpoint has a connection more than its share for a while.
    const auto pool = pools_.find(connection.id);
    if (pool != pools_.end() && pool->second.open > 0) --pool->second.open;
}

bool Http1EndpointClient::may_keep(const EndpointConnection& connection) const {
    const auto pool = pools_.find(connection.id);
    return pool != pools_.end() && pool->second.ready && pool->second.address == connection.address;
}

void Http1EndpointClient::add_idle(std::shared_ptr<EndpointConnection> connection) {
    connection->idle_position = by_idle_time_.insert(by_idle_time_.end(), connection.get());
    pools_.at(connection->id).idle.push_back(std::move(connection));
}

void Http1EndpointClient::remove_idle(const EndpointConnection& connection) {
    const auto pool = pools_.find(connection.id);
    if (pool == pools_.end()) return;
    const auto held = std::find_if(pool->second.idle.begin(), pool->second.idle.end(),
                                   [&](const auto& idle) { return idle.get() == &connection; });
    if (held == pool->second.idle.end()) return;
    by_idle_time_.erase(*std::exchange((*held)->idle_position, std::nullopt));
    pool->second.idle.erase(held);
}

void Http1EndpointClient::close_idle_connections(EndpointId id) {
    const auto pool = pools_.find(id);
    if (pool == pools_.end()) return;
    for (const auto& connection : std::exchange(pool->second.idle, {})) {
        by_idle_time_.erase(*std::exchange(connection->idle_position, std::nullopt));
        connection->close();
    }
}

}  // namespace martenford
