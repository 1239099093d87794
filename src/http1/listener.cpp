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

constexpr int kMostLooks = 8;            // at connections, to find one that can make room
constexpr Duration kSettled = 300ms;     // a connection that has said nothing for so long may not mean to
constexpr Duration kAcceptAgain = 20ms;  // after running out of descriptors
constexpr Duration kSentAway = 300ms;    // after an evacuation began, by when no front sends anybody new
constexpr Duration kLetGo = 1s;          // and by when idle connections are closed
constexpr Duration kGiveUpAfter = 20ms;  // the request handler's own deadline, at the same time, says more
constexpr Duration kNoMore = 1800ms;  // from when on requests are refused: none of the last 2 s may be held

}  // namespace

HttpListener::HttpListener(Loop& loop, RequestHandler& request_handler, ServerProtocol& protocol,
                           std::size_t most, std::function<bool()> ready, Counters& counters)
    : loop_(loop),
      request_handler_(request_handler),
      protocol_(protocol),
      most_(most),
      ready_(std::move(ready)),
      acceptor_(loop.io()),
      again_(loop),
      quiet_(loop),
      letting_go_(loop),
      giving_up_(loop),
      room_made_(
          counters.counter("clients.evicted", "connections without a whole request closed to make room")),
      withheld_(counters.counter("answers.withheld", "answers to another request than the one that waited")),
      early_(counters.counter("clients.early", "reads that brought bytes while a request was open")) {
    counters.gauge("clients.open", "connections of clients", [this] { return static_cast<double>(held()); });
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
        make_room();  // goes on when one closes
        // Guards against a house that filled within one turn, with bytes of all still to be read: once they
        // are, one can be closed.
        if (full()) again_.set(Loop::monotonic() + kAcceptAgain, [this] { accept(); });
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
        bound_send_buffer(socket);
        const auto client = std::make_shared<ClientConnection>(*this, std::move(socket));
        client->start(waiting_.insert(waiting_.end(), client));
    }
    if (!acceptor_.is_open()) return;
    if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
        error == asio::error::no_memory || error == asio::error::no_buffer_space) {
        // Guards against spinning on a listener that stays ready while nothing can be accepted.
        make_room();
        return again_.set(Loop::monotonic() + kAcceptAgain, [this] { accept(); });
    }
    accept();
}

/// Closes the connection that has gone longest without a whole request: one that is between requests, says
/// nothing, or sends its request too slowly. Guards against a house full of such clients that keeps out those
/// who want something.
bool HttpListener::make_room() {
    const auto quiet = first_silent(waiting_), half = first_silent(begun_);
    const Time settled = Loop::monotonic() - kSettled;
    // One that has only just connected is about to say something, more likely than one that stopped half way.
    const auto& gone = quiet && quiet->listed_since() <= settled                       ? quiet
                       : half && (half->listed_since() <= settled || !quiet)           ? half
                       : quiet && half && half->listed_since() < quiet->listed_since() ? half
                                                                                       : quiet;
    if (!gone) return false;
    room_made_.add();
    gone->close();
    return true;
}

std::shared_ptr<ClientConnection> HttpListener::first_silent(Clients& among) {
    for (int looks = 0; looks < kMostLooks && !among.empty(); ++looks) {
        if (auto client = among.front().lock(); client && client->silent()) return client;
        among.splice(among.end(), among, among.begin());  // its turn to be read comes first
    }
    return nullptr;
}

void HttpListener::hold_at_most(std::size_t most) {
    most_ = most;
    while (held() > most_ && make_room()) {
    }
    accept();
}

void HttpListener::closed(Clients& among, Clients::iterator place) {
    among.erase(place);
    if (closing_ && empty()) return ended();
    accept();
}

void HttpListener::drain(std::function<void()> done, bool replaced) {
    if (drained_) return;
    drained_ = std::move(done);
    replaced_ = replaced;
    letting_go_.cancel();
    const DrainTimes times = protocol_.drain_times();
    answers_end_ = Loop::monotonic() + times.answers_end;
    if (times.max_held_bytes > 0) {
        hold_limit_ = std::make_unique<HoldLimit>(times.max_held_bytes);
        giving_up_.set(answers_end_ + kGiveUpAfter, [this] { give_up(); });
    }
    if (replaced_) return stop_accepting();  // what waits in the listener is its other holder's
    quiet_.set(Loop::monotonic() + times.last_call, [this] { stop_accepting(); });
}

void HttpListener::give_up() {
    for (const auto& entry : Clients(busy_)) {
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
    quiet_.set(std::max(Loop::monotonic() + times.last_request, answers_end_ - times.last_answers),
               [this] { stop_serving(); });
}

void HttpListener::stop_serving() {
    closing_ = true;
    close_idle();
    if (empty()) ended();
}

/// Tells once that nothing is left. Guards against a process with two fronts that takes one's end told twice
/// for both ends.
void HttpListener::ended() {
    if (!std::exchange(ended_, true)) drained_();
}

void HttpListener::close_idle() {
    for (const auto& entry : Clients(waiting_)) {
        if (const auto client = entry.lock(); client && client->idle()) client->close();
    }
}

ClientBacklog HttpListener::backlog() const {
    ClientBacklog backlog;
    backlog.requests = busy_.size();
    for (const Clients* clients : {&waiting_, &begun_, &busy_}) {
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
    if (evacuated_ || draining()) return;
    evacuated_ = Loop::monotonic();
    letting_go_.set(*evacuated_ + kLetGo, [this] { close_idle(); });
}

void HttpListener::activate() {
    evacuated_.reset();
    letting_go_.cancel();
}

bool HttpListener::lets_go() const {
    return closing_ || replaced_ || (evacuated_ && Loop::monotonic() >= *evacuated_ + kSentAway);
}

bool HttpListener::sends_all_away() const {
    return evacuated_ && !draining() && Loop::monotonic() >= *evacuated_ + kNoMore;
}

}  // namespace martenford
