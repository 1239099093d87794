#include "http1/listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/socket_base.hpp>

#include "http1/client_connection.h"
#include "http1/held_answer.h"
#include "http1/http.h"
#include "http1/protocol.h"

namespace martenford {

namespace {

constexpr int kMaxEvictionCandidates = 8;  // at connections, to find one that can make room
constexpr Duration kMinQuietTime = 300ms;  // a connection that has said nothing for so long may not mean to
constexpr Duration kAcceptRetryDelay = 20ms;  // after running out of descriptors
constexpr Duration kEvacuationNotice =
    300ms;  // after an evacuation began, by when no front sends anybody new
constexpr Duration kEvacuationCloseDelay = 1s;  // and by when idle connections are closed
constexpr Duration kGiveUpDelay = 20ms;  // the request handler's own deadline, at the same time, says more
constexpr Duration kEvacuationRefuseDelay =
    1800ms;  // from when on requests are refused: none of the last 2 s may be held

}  // namespace

HttpListener::HttpListener(EventLoop& loop, RequestHandler& request_handler, ServerProtocol& protocol,
                           std::size_t max_connections, std::function<bool()> ready, Counters& counters)
    : loop_(loop),
      request_handler_(request_handler),
      protocol_(protocol),
      max_connections_(max_connections),
      ready_(std::move(ready)),
      acceptor_(loop.io()),
      accept_retry_timer_(loop),
      drain_timer_(loop),
      evacuation_timer_(loop),
      give_up_timer_(loop),
      evicted_(
          counters.counter("clients.evicted", "connections without a whole request closed to make room")),
      withheld_(counters.counter("answers.withheld", "answers to another request than the one that waited")),
      early_(counters.counter("clients.early", "reads that brought bytes while a request was open")) {
    counters.gauge("clients.open", "connections of clients",
                   [this] { return static_cast<double>(open_connections()); });
}
HttpListener::~HttpListener() = default;

void HttpListener::listen(const Address& address) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));  // a restart takes over its address at once
    // Its successor may listen beside it.
    acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor_.bind(address);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
    accept();
}

void HttpListener::adopt(int descriptor) {
    acceptor_.assign(asio::ip::tcp::v4(), descriptor);
    acceptor_.non_blocking(true);
    accept();
}

void HttpListener::accept() {
    if (accepting_ || !acceptor_.is_open()) return;
    if (full()) {
        evict_one();  // goes on when one closes
        // Guards against a house that filled within one turn, with bytes of all still to be read: once they
        // are, one can be closed.
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
    // Also where the listener has been given up since: this one had been accepted before.
    if (!error) {
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        limit_send_buffer(socket);
        const auto client = std::make_shared<ClientConnection>(*this, std::move(socket));
        client->start(idle_.insert(idle_.end(), client));
    }
    if (!acceptor_.is_open()) return;
    if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
        error == asio::error::no_memory || error == asio::error::no_buffer_space) {
        // Guards against spinning on a listener that stays ready while nothing can be accepted.
        evict_one();
        return accept_retry_timer_.set(EventLoop::monotonic() + kAcceptRetryDelay, [this] { accept(); });
    }
    accept();
}

/// Closes the connection that has gone longest without a whole request: one that is between requests, says
/// nothing, or sends its request too slowly. Guards against a house full of such clients that keeps out those
/// who want something.
bool HttpListener::evict_one() {
    const auto quiet = first_without_unread_data(idle_), half = first_without_unread_data(partial_);
    const Time settled = EventLoop::monotonic() - kMinQuietTime;
    // One that has only just connected is about to say something, more likely than one that stopped half way.
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
        among.splice(among.end(), among, among.begin());  // its turn to be read comes first
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
        hold_limit_ = std::make_unique<HoldLimit>(times.max_held_bytes);
        give_up_timer_.set(answer_deadline_ + kGiveUpDelay, [this] { give_up(); });
    }
    if (replaced_) return stop_accepting();  // what waits in the listener is its other holder's
    drain_timer_.set(EventLoop::monotonic() + times.accept_period, [this] { stop_accepting(); });
}

void HttpListener::give_up() {
    for (const auto& entry : Clients(active_)) {
        if (const auto client = entry.lock()) client->give_up();
    }
}

void HttpListener::stop_accepting() {
    // What the kernel has accepted by now is taken over first; the loop has run all that was ready.
    // Taken out of the loop before it is closed: where another process holds the listener too, a close alone
    // would leave it registered here.
    error_code ignored;
    if (const int descriptor = acceptor_.release(ignored); !ignored) ::close(descriptor);
    // Clients go on using open connections, and there may be nobody else to turn to while a fleet restarts:
    // these are served for as long as their answers will be in time.
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

/// Tells once that nothing is left. Guards against a process with two fronts that takes one's end told twice
/// for both ends.
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
