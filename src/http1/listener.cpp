#include "http1/listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/socket_base.hpp>
#include <limits>

#include "core/socket_buffers.h"
#include "http1/client_connection.h"
#include "http1/held_answer.h"
#include "http1/http.h"
#include "http1/protocol.h"

namespace martenford {

namespace {

constexpr int kMaxEvictionCandidates = 8;  // examined in search of one to evict
constexpr Duration kMinQuietTime = 300ms;  // a connection silent for this long is not expected to send soon
constexpr Duration kAcceptRetryDelay = 20ms;  // after running out of file descriptors
// After this time from the start of an evacuation no client is routed here anew.
constexpr Duration kEvacuationNotice = 300ms;
constexpr Duration kEvacuationCloseDelay = 1s;  // idle connections are closed this long after its start
// Giving up later than the request handler's own deadline, which gives a more precise answer.
constexpr Duration kGiveUpDelay = 20ms;
// After this time in an evacuation requests are refused, because none may be held in its last 2 s.
constexpr Duration kEvacuationRefuseDelay = 1800ms;

}  // namespace

HttpListener::HttpListener(EventLoop& loop, RequestHandler& request_handler, ServerProtocol& protocol,
                           std::size_t max_connections, std::function<bool()> ready, Counters& counters)
    : loop_(loop),
      request_handler_(request_handler),
      protocol_(protocol),
      max_connections_(max_connections),
      ready_(std::move(ready)),
      acceptor_(loop.io()),
      arriving_bodies_(std::make_shared<ByteBudget>(std::numeric_limits<std::size_t>::max())),
      accept_retry_timer_(loop),
      drain_timer_(loop),
      evacuation_timer_(loop),
      give_up_timer_(loop),
      evicted_(
          counters.counter("clients.evicted", "connections without a complete request closed to make room")),
      withheld_(counters.counter("answers.withheld", "answers withheld because they are to another request")),
      early_(counters.counter("clients.early", "reads that brought bytes while a request was open")) {
    counters.gauge("clients.open", "client connections",
                   [this] { return static_cast<double>(open_connections()); });
}
HttpListener::~HttpListener() = default;

void HttpListener::listen(const Address& address) {
    listen(ListeningSocket::open_or_throw(address, PortSharing::WithSuccessor));
}

void HttpListener::listen(ListeningSocket socket) {
    accept_on(socket.protocol(), socket.release());
}

void HttpListener::adopt(int descriptor) {
    accept_on(asio::ip::tcp::v4(), descriptor);
}

void HttpListener::accept_on(asio::ip::tcp protocol, int descriptor) {
    acceptor_.assign(protocol, descriptor);
    acceptor_.non_blocking(true);
    arriving_bodies_->set_max_bytes(protocol_.limits().max_arriving_body_bytes);
    accept();
}

void HttpListener::accept() {
    if (accepting_ || !acceptor_.is_open()) return;
    if (full()) {
        evict_one();  // accepting resumes when a connection closes
        // Guards against a listener that filled up within one turn of the event loop, where all connections
        // have unread bytes: once these are read, one can be evicted.
        if (full()) accept_retry_timer_.set(EventLoop::monotonic() + kAcceptRetryDelay, [this] { accept(); });
        return;
    }
    accepting_ = true;
    acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
        accepting_ = false;
        accepted(error, std::move(socket));
    });
}

void HttpListener::accepted(const error_code& error, asio::ip::tcp::socket socket) {
    // Also after accepting was stopped: this connection had been accepted before.
    if (!error) {
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        limit_socket_buffers(socket);
        const auto client = std::make_shared<ClientConnection>(*this, std::move(socket));
        client->start(idle_.insert(idle_.end(), client));
    }
    if (!acceptor_.is_open()) return;
    if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
        error == asio::error::no_memory || error == asio::error::no_buffer_space) {
        // Guards against spinning on a socket that stays ready while nothing can be accepted.
        evict_one();
        return accept_retry_timer_.set(EventLoop::monotonic() + kAcceptRetryDelay, [this] { accept(); });
    }
    accept();
}

/// Evicts the connection that has been without a complete request for longest: one between requests, silent,
/// or sending too slowly. Guards against such clients filling the listener and keeping out others.
bool HttpListener::evict_one() {
    const auto quiet = first_without_unread_data(idle_), half = first_without_unread_data(partial_);
    const Time settled = EventLoop::monotonic() - kMinQuietTime;
    // A connection that was just made is more likely to send soon than one that stopped within a request.
    const auto& gone = quiet && quiet->in_list_since() <= settled                        ? quiet
                       : half && (half->in_list_since() <= settled || !quiet)            ? half
                       : quiet && half && half->in_list_since() < quiet->in_list_since() ? half
                                                                                         : quiet;
    if (!gone) return false;
    evicted_.add();
    gone->close();
    return true;
}

std::shared_ptr<ClientConnection> HttpListener::first_without_unread_data(Clients& among) {
    for (int looks = 0; looks < kMaxEvictionCandidates && !among.empty(); ++looks) {
        if (auto client = among.front().lock(); client && client->has_no_unread_data()) return client;
        among.splice(among.end(), among, among.begin());  // skipped: its data is read first
    }
    return nullptr;
}

void HttpListener::set_max_connections(std::size_t max_connections) {
    max_connections_ = max_connections;
    while (open_connections() > max_connections_ && evict_one()) {
    }
    accept();
}

void HttpListener::connection_closed(Clients& among, Clients::iterator place) {
    among.erase(place);
    if (stopped_serving_ && empty()) return finish_drain();
    accept();
}

void HttpListener::drain(std::function<void()> done, bool replaced) {
    if (on_drained_) return;
    on_drained_ = std::move(done);
    replaced_ = replaced;
    evacuation_timer_.cancel();
    const DrainTimes times = protocol_.drain_times();
    answer_deadline_ = EventLoop::monotonic() + times.answer_deadline;
    if (times.max_held_bytes > 0) {
        held_answers_ = std::make_shared<ByteBudget>(times.max_held_bytes);
        give_up_timer_.set(answer_deadline_ + kGiveUpDelay, [this] { give_up(); });
    }
    if (replaced_)
        return stop_accepting();  // pending connections belong to the other process that holds the socket
    drain_timer_.set(EventLoop::monotonic() + times.accept_period, [this] { stop_accepting(); });
}

void HttpListener::give_up() {
    for (const auto& entry : Clients(active_)) {
        if (const auto client = entry.lock()) client->give_up();
    }
}

void HttpListener::stop_accepting() {
    // Connections that the kernel has accepted were taken over first: the event loop has run all ready
    // handlers. The descriptor is released from Asio before it is closed: if another process holds the socket
    // too, a close alone would leave it registered here.
    error_code ignored;
    if (const int descriptor = acceptor_.release(ignored); !ignored) ::close(descriptor);
    // Clients keep using open connections, and may have no other proxy to turn to while a whole fleet
    // restarts. These are served as long as their answers can be in time.
    const DrainTimes times = protocol_.drain_times();
    drain_timer_.set(
        std::max(EventLoop::monotonic() + times.request_grace, answer_deadline_ - times.answer_only_period),
        [this] { stop_serving(); });
}

void HttpListener::stop_serving() {
    stopped_serving_ = true;
    close_idle();
    if (empty()) finish_drain();
}

/// Reports the end of the drain once. Guards against a process with two listeners that would take two reports
/// of one for the end of both.
void HttpListener::finish_drain() {
    if (!std::exchange(drain_finished_, true)) on_drained_();
}

void HttpListener::close_idle() {
    for (const auto& entry : Clients(idle_)) {
        if (const auto client = entry.lock(); client && client->idle()) client->close();
    }
}

ClientBacklog HttpListener::backlog() const {
    ClientBacklog backlog;
    backlog.requests = active_.size();
    for (const Clients* clients : {&idle_, &partial_, &active_}) {
        for (const auto& entry : *clients) {
            const auto client = entry.lock();
            if (!client) continue;
            backlog.unsent_bytes += client->unsent_bytes();
            backlog.awaited_answers += client->awaits_answer() ? 1 : 0;
        }
    }
    return backlog;
}

void HttpListener::evacuate() {
    if (evacuated_since_ || draining()) return;
    evacuated_since_ = EventLoop::monotonic();
    evacuation_timer_.set(*evacuated_since_ + kEvacuationCloseDelay, [this] { close_idle(); });
}

void HttpListener::activate() {
    evacuated_since_.reset();
    evacuation_timer_.cancel();
}

bool HttpListener::closes_after_answer() const {
    return stopped_serving_ || replaced_ ||
           (evacuated_since_ && EventLoop::monotonic() >= *evacuated_since_ + kEvacuationNotice);
}

bool HttpListener::refuses_requests() const {
    return evacuated_since_ && !draining() &&
           EventLoop::monotonic() >= *evacuated_since_ + kEvacuationRefuseDelay;
}

}  // namespace martenford
