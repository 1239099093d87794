#include "http1/front.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/socket_base.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <variant>

#include "http1/held_answer.h"
#include "http1/http.h"
#include "http1/protocol.h"

namespace martenford {

using namespace martenford::decision;
using Reply = Writer<false>;

namespace {

constexpr double kSlowestBody = 24'000;  // bytes a second, after as long again: the platform's send 64,000
constexpr std::uint64_t kLongestBody = 64 * 1024 * 1024;  // taken for the length of one that tells none
constexpr Duration kAnswerTime = 10s;                     // for the client to read an answer
constexpr int kMostLooks = 8;                             // at connections, to find one that can make room
constexpr Duration kLingerTime =
    1s;  // for the client to read the last answer and close, and for it to
         // stop sending: so long after the last bytes of a body that nobody wants
constexpr Duration kLingerMost = 2500ms;  // in all
constexpr Duration kSettled = 300ms;      // a connection that has said nothing for so long may not mean to
constexpr Duration kAcceptAgain = 20ms;   // after running out of descriptors
constexpr Duration kSentAway = 300ms;     // after an evacuation began, by when no front sends anybody new
constexpr Duration kLetGo = 1s;           // and by when idle connections are closed
constexpr Duration kAskTime = 600ms;      // in which a new connection says what it wants then
constexpr Duration kGiveUpAfter = 20ms;   // the desk's own deadline, at the same time, says more
constexpr Duration kNoMore = 1800ms;  // from when on requests are refused: none of the last 2 s may be held

/// Whether the length of the body is told in one way that all read alike. Guards against a second request
/// hidden in the body: Boost 1.74 refuses Content-Length beside Transfer-Encoding and lengths that differ,
/// but takes the same length twice, and reads no body where a coding other than chunked is named.
bool framed_clearly(const http::request_header<>& message) {
    const auto lengths = message.count(http::field::content_length);
    const auto codings = message.count(http::field::transfer_encoding);
    if (lengths + codings > 1) return false;
    const auto length = message[http::field::content_length];
    if (length.find(',') != length.npos) return false;
    return codings == 0 || boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

/// The origin form of a target (RFC 9112, section 3.2): a client may write the whole URI.
std::string origin_form(boost::beast::string_view target) {
    constexpr std::string_view kScheme = "http://";
    std::string_view text(target.data(), target.size());
    if (!boost::beast::iequals(target.substr(0, kScheme.size()),
                               boost::beast::string_view(kScheme.data(), kScheme.size()))) {
        return std::string(text);
    }
    const auto path = text.find_first_of("/?", kScheme.size());
    if (path == text.npos) return "/";
    return text[path] == '?' ? "/" + std::string(text.substr(path)) : std::string(text.substr(path));
}

}  // namespace

/// One client's connection. A read is always pending, also while a request is open, so that a client that
/// leaves is seen.
class Client : public std::enable_shared_from_this<Client> {
  public:
    Client(Http1Front& front, asio::ip::tcp::socket socket)
        : front_(front), socket_(std::move(socket)), limit_(front.loop_), buffer_(kMostBuffer) {}

    void start(Http1Front::Clients::iterator place) {
        place_ = place;
        next_request();
        // In an evacuation none is held idle; whoever asks whether it is over does so at once.
        const Duration most = front_.evacuated() ? kAskTime : limits().head_time;
        limit_.set(Loop::monotonic() + most, [self = shared_from_this()] { self->close(); });
        read();
    }
    /// Nothing of it is waiting to be read. Guards against closing a connection under a request that has come
    /// whole and counts as taken.
    bool silent() const {
        error_code error;
        return socket_.available(error) == 0;
    }
    /// Silent, and no byte of a next request has been read either.
    bool idle() const { return between() && silent(); }
    /// The same, as far as has been read.
    bool between() const { return stage_ == Stage::Reading && !parser_->got_some() && buffer_.size() == 0; }
    /// Bytes that the kernel holds and the client's kernel has not acknowledged.
    std::uint64_t unsent_bytes() {
        int bytes = 0;
        return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0
                   ? static_cast<std::uint64_t>(bytes)
                   : 0;
    }
    /// Its request was read whole, and its client still waits for the whole answer.
    bool awaits_answer() const {
        return (stage_ == Stage::Waiting || stage_ == Stage::Writing) && !upload_ &&
               Loop::monotonic() < deadline_;
    }
    /// Answers that the request failed, unless an answer has begun: the process is about to end.
    void give_up() {
        if (stage_ != Stage::Waiting || upload_) return;
        const auto self = shared_from_this();
        held_answer_.reset();
        front_.desk_.leave(id_);
        write_answer(Answer{});
    }
    /// Since when it has its place among those like it.
    Time since() const { return since_; }
    void close() {
        if (std::exchange(stage_, Stage::Closed) == Stage::Closed) return;
        limit_.cancel();
        held_answer_.reset();
        if (upload_) std::exchange(upload_, nullptr)->fail();
        if (reply_) std::exchange(reply_, nullptr)->stop();
        if (rest_) std::exchange(rest_, nullptr)->stop_reading();
        error_code ignored;
        socket_.close(ignored);
        front_.closed(*among_, place_);
    }

  private:
    enum class Stage { Reading, Waiting, Writing, Lingering, Closed };

    const FrontLimits& limits() const { return front_.protocol_.limits(); }

    void next_request() {
        stage_ = Stage::Reading;
        move(front_.waiting_);
        renew(parser_, limits().most_header, limits().most_body);
        continue_sent_ = false;
        deadline_ = {};
        paused_ = {};
        paused_since_.reset();
    }

    /// To the end of one of the front's lists.
    void move(Http1Front::Clients& to) {
        to.splice(to.end(), *among_, place_);
        among_ = &to;
        since_ = Loop::monotonic();
    }

    void read() {
        if (stage_ == Stage::Closed || reading_) return;
        const bool passing = stage_ == Stage::Waiting && upload_;
        if (passing && !upload_->has_room()) {  // whoever it goes to is slower
            if (!paused_since_) paused_since_ = Loop::monotonic();
            return;
        }
        if (!passing && stage_ != Stage::Lingering && buffer_.size() > limits().most_header) return;
        if (paused_since_) paused_ += Loop::monotonic() - *std::exchange(paused_since_, std::nullopt);
        reading_ = true;
        socket_.async_read_some(buffer_.prepare(read_size(buffer_, passing)),
                                [self = shared_from_this()](const error_code& error, std::size_t size) {
                                    self->reading_ = false;
                                    if (self->stage_ == Stage::Closed) return;
                                    if (error) return self->left();
                                    self->buffer_.commit(size);
                                    if (self->stage_ == Stage::Lingering) {
                                        self->buffer_.clear();
                                        self->linger_on();
                                    }
                                    self->parse();
                                    self->read();
                                });
    }

    void left() {
        const auto self = shared_from_this();
        const bool open = stage_ == Stage::Waiting;
        const auto upload = std::exchange(upload_, nullptr);
        close();
        // Before its body breaks off: guards against blaming the endpoint that was getting it.
        if (open) front_.desk_.leave(id_);
        if (upload) upload->fail();
    }

    void parse() {
        const bool arriving = stage_ == Stage::Waiting && upload_;
        if ((stage_ != Stage::Reading && !arriving) || buffer_.size() == 0) return;
        if (!parser_->got_some()) {
            // The first request's time began with the connection.
            const Time from = used_ ? Loop::monotonic() : connected_;
            limit_.set(from + limits().head_time, [self = shared_from_this()] { self->too_slow(); });
        }
        if (!arriving) move(front_.begun_);  // who keeps sending is the last to be closed for want of room
        const bool had_head = parser_->is_header_done();
        const error_code error = feed(*parser_, buffer_);
        if (arriving && error) return abandon_upload();
        if (error == http::error::body_limit) return turn_away(http::status::payload_too_large, false);
        if (error == http::error::header_limit) {
            return turn_away(http::status::request_header_fields_too_large, false);
        }
        if (error) return turn_away(http::status::bad_request, false);
        if (!parser_->is_header_done()) return;
        if (!had_head) {
            head_at_ = Loop::monotonic();
            received_ = 0;
        }
        if (arriving) {
            received_ += parser_->get().body().size();
            upload_->put(std::exchange(parser_->get().body(), {}));
            if (stage_ != Stage::Waiting || !upload_) return;  // its attempt ended at that
            if (parser_->is_done()) return whole();
            return await_body();
        }
        received_ = parser_->get().body().size();
        if (parser_->is_done()) return taken(false);
        // A body too long to be held goes on as it comes; the request is taken with what is here.
        if (received_ > limits().whole_body) return taken(true);
        if (!had_head) expect_body();
        await_body();
    }

    /// Answers a client that asks whether to send its body (RFC 9110, section 10.1.1), and turns away at once
    /// one whose length is more than may be or can be read in two ways.
    void expect_body() {
        if (!framed_clearly(parser_->get().base())) return;  // taken() says so
        if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue") ||
            std::exchange(continue_sent_, true) || parser_->get().version() < 11 || buffer_.size() > 0 ||
            received_ > 0) {
            return;
        }
        http::response<http::empty_body> go_on{http::status::continue_, 11};
        // 25 bytes into the empty buffer of a socket on which nothing was written since its last answer.
        error_code error;
        socket_.non_blocking(true, error);
        http::write(socket_, go_on, error);
    }

    /// A body may be slow, but not stand still.
    void await_body() {
        const auto allowed = std::chrono::duration<double>(static_cast<double>(received_) / kSlowestBody);
        const Time due =
            head_at_ + limits().head_time + paused_ + std::chrono::duration_cast<Duration>(allowed);
        limit_.set(due, [self = shared_from_this()] {
            if (self->paused_since_) return self->await_body_again();
            self->too_slow();
        });
    }
    /// It was not read for a while: its time stands still until it is.
    void await_body_again() {
        limit_.set(Loop::monotonic() + limits().head_time, [self = shared_from_this()] {
            if (self->stage_ == Stage::Waiting && self->upload_) self->await_body();
        });
    }
    void too_slow() {
        if (stage_ == Stage::Waiting) return abandon_upload();
        turn_away(http::status::request_timeout, false);
    }

    /// The rest of a request that has been taken will not come, or can't be read.
    void abandon_upload() {
        const auto self = shared_from_this();
        const auto upload = std::exchange(upload_, nullptr);
        front_.desk_.leave(id_);  // first, as in left()
        upload->fail();
        turn_away(http::status::bad_request, false);
    }

    void taken(bool arriving) {
        limit_.cancel();
        used_ = true;
        move(front_.busy_);
        const bool keep = parser_->keep_alive();
        parser_version_ = parser_->get().version();
        const auto length = parser_->content_length();
        auto& head = parser_->get().base();
        if (!framed_clearly(head)) return turn_away(http::status::bad_request, false);
        head.target(origin_form(head.target()));
        if (const auto path = front_.protocol_.ready_path(); !path.empty() && head.target() == path) {
            if (head.method() != http::verb::get)
                return turn_away(http::status::method_not_allowed, keep && !arriving);
            return turn_away(front_.is_ready() ? http::status::ok : http::status::service_unavailable,
                             keep && !arriving && !front_.leaving());
        }
        const Time now = Loop::monotonic();
        auto request = front_.protocol_.read(head, now - since_arrival());
        if (const auto* away = std::get_if<TurnAway>(&request))
            return turn_away(away->status, keep && away->keep && !arriving, away->retry_after, away->fields);
        if (front_.sends_all_away()) return turn_away(http::status::service_unavailable, false);
        auto& event = std::get<Request>(request);
        timeout_ = event.deadline - (now - since_arrival());
        if (arriving) {
            // Its time begins with its last byte, which may be as far away as the slowest body allows.
            const std::uint64_t whole = length ? *length : kLongestBody;
            const std::chrono::duration<double> at_most{static_cast<double>(whole) / kSlowestBody};
            event.deadline += limits().head_time + std::chrono::duration_cast<Duration>(at_most);
            event.arriving = true;
        }
        deadline_ = event.deadline;
        limit_deadline(event.deadline);
        keep_ = keep;
        stage_ = Stage::Waiting;
        id_ = event.id;
        std::shared_ptr<HttpMessage> message;
        if (arriving) {
            http::request<PieceBody> begun{head};
            begun.body() = std::exchange(parser_->get().body(), {});
            message = std::make_shared<HttpMessage>(std::move(begun));
            message->rest = upload_ = std::make_shared<Pipe>(kMostHeld);
            if (length) message->length = *length;
            upload_->on_room([weak = weak_from_this()] {
                if (const auto self = weak.lock()) self->read();
            });
        } else {
            message = std::make_shared<HttpMessage>(parser_->release());
        }
        message->class_index = event.class_index;
        strip_connection_fields(message->head);
        message->head.version(11);
        const bool fresh = front_.desk_.take(
            std::move(event), std::move(message),
            [self = shared_from_this()](Answer&& answer) { self->answer(std::move(answer)); });
        if (!fresh) return turn_away(http::status::conflict, keep && !arriving);
        if (stage_ == Stage::Waiting && arriving) await_body();
    }

    /// The last byte of a body that went on as it came.
    void whole() {
        limit_.cancel();
        std::exchange(upload_, nullptr)->finish();
        if (stage_ != Stage::Waiting) return;
        Time deadline = Loop::monotonic() - since_arrival() + timeout_;
        deadline_ = deadline;
        limit_deadline(deadline);
        front_.desk_.received(id_, deadline);
    }

    /// Guards against an answer that is still owed when SIGKILL comes.
    void limit_deadline(Time& deadline) const {
        if (front_.draining()) deadline = std::min(deadline, front_.answers_end_);
    }

    /// How long the last byte has been waiting here to be read. Guards against counting the client's time
    /// from when the loop got to its request.
    Duration since_arrival() {
        tcp_info info{};
        socklen_t size = sizeof info;
        if (getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
        return std::chrono::milliseconds(info.tcpi_last_data_recv);
    }

    void answer(Answer&& answer) {
        if (stage_ != Stage::Waiting) {
            if (answer.rest) answer.rest->stop_reading();
            return;
        }
        if (answer.rest && front_.holds_answers() && deadline_ > front_.answers_end_) {
            return hold(std::move(answer));
        }
        write_answer(std::move(answer));
    }

    /// Guards against an answer that breaks off because this process ends: nothing of it is written before
    /// all of it has come. Where it does not come in time, give_up() says so.
    void hold(Answer&& answer) {
        held_answer_ = std::make_unique<HeldAnswer>(std::move(answer), *front_.hold_limit_);
        held_answer_->start([this](HeldAnswer::End end) {
            const auto self = shared_from_this();
            const auto held = std::exchange(held_answer_, nullptr);
            write_answer(end == HeldAnswer::End::Broken ? Answer{} : held->take());
        });
    }

    void write_answer(Answer&& answer) {
        Reply::Head head{http::status::bad_gateway, 11};
        front_.protocol_.write(answer, id_, head);
        rest_ = std::move(answer.rest);
        ticket_ = std::move(answer.ticket);
        on_written_ = std::move(answer.on_written);
        body_ = std::move(answer.body);
        // An HTTP/1.0 client knows no chunks: a body of untold length ends with its connection there.
        const bool chunks = rest_ && !answer.length && parser_version_ >= 11;
        if (!rest_) {
            head.content_length(body_.size());
        } else if (answer.length) {
            head.content_length(*answer.length);
        } else {
            head.chunked(chunks);
        }
        const bool told = !rest_ || answer.length || chunks;
        // A body that is still arriving when its request is over is read no further.
        write(std::move(head), keep_ && told && !upload_);
    }

    /// Answers without the module.
    void turn_away(http::status status, bool keep, Duration retry_after = {},
                   const std::vector<std::pair<std::string, std::string>>& fields = {}) {
        body_.clear();
        Reply::Head head{status, 11};
        for (const auto& [name, value] : fields) head.set(name, value);
        if (retry_after > Duration{}) head.set(http::field::retry_after, seconds_text(retry_after));
        head.content_length(0);
        write(std::move(head), keep);
    }

    void write(Reply::Head&& head, bool keep) {
        stage_ = Stage::Writing;
        if (upload_) std::exchange(upload_, nullptr)->fail();
        await_reader();
        const bool goes_on = keep && !front_.lets_go();
        head.keep_alive(goes_on);
        reply_ = std::make_shared<Reply>(std::move(head), body_, rest_);
        reply_->on_progress = [this] { await_reader(); };
        reply_->run(
            socket_, shared_from_this(), [self = shared_from_this(), goes_on](const error_code& error) {
                if (self->stage_ == Stage::Closed) return;
                self->ticket_.end(error ? Tally::End::Failed : Tally::End::Served);
                if (error) return self->break_off();
                if (const auto tell = std::exchange(self->on_written_, nullptr)) tell();
                self->rest_.reset();
                self->reply_.reset();
                if (!goes_on) return self->linger();
                self->body_ = {};
                self->next_request();
                self->limit_.set(Loop::monotonic() + self->limits().idle_time, [self] { self->close(); });
                self->parse();
                // Guards against a full house in which nobody leaves: who waits outside may need this
                // one's place.
                self->front_.accept();
                self->read();
            });
    }
    /// A client may be slow, but not stand still.
    void await_reader() {
        limit_.set(Loop::monotonic() + kAnswerTime, [self = shared_from_this()] { self->close(); });
    }
    /// The client must see that what it has got is not whole: a reset does that for every framing.
    void break_off() {
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    /// Waits for the client to close first. Guards against a reset that takes the answer with it, where bytes
    /// of the client's are still unread.
    void linger() {
        stage_ = Stage::Lingering;
        move(front_.waiting_);
        error_code error;
        socket_.shutdown(asio::socket_base::shutdown_send, error);
        buffer_.clear();
        linger_end_ = Loop::monotonic() + kLingerMost;
        linger_on();
        read();
    }
    void linger_on() {
        limit_.set(std::min(Loop::monotonic() + kLingerTime, linger_end_),
                   [self = shared_from_this()] { self->close(); });
    }

    Http1Front& front_;
    asio::ip::tcp::socket socket_;
    Timer limit_;
    boost::beast::flat_buffer buffer_;
    Http1Front::Clients::iterator place_;
    Http1Front::Clients* among_ = &front_.waiting_;
    Stage stage_ = Stage::Reading;
    const Time connected_ = Loop::monotonic();
    Time since_ = connected_;
    bool reading_ = false, keep_ = false, used_ = false, continue_sent_ = false;
    std::optional<Parser<true>> parser_;
    RequestId id_;
    unsigned parser_version_ = 11;  // of HTTP, as its client speaks it
    // A body that goes on as it comes.
    std::shared_ptr<Pipe> upload_;
    std::uint64_t received_ = 0;  // bytes of the body
    Time head_at_{};
    Duration paused_{};  // in which it was not read, since nobody took it
    std::optional<Time> paused_since_;
    Duration timeout_{};  // that its client waits, from the last byte on
    Time deadline_{};     // until which it waits; in a drain the desk may have been told an earlier one
    // The answer.
    std::unique_ptr<HeldAnswer> held_answer_;
    std::string body_;
    std::shared_ptr<Pipe> rest_;
    Tally::Ticket ticket_;  // where there is a rest
    std::function<void()> on_written_;
    std::shared_ptr<Reply> reply_;
    Time linger_end_{};
};

Http1Front::Http1Front(Loop& loop, Desk& desk, ServerProtocol& protocol, std::size_t most,
                       std::function<bool()> ready, Counters& counters)
    : loop_(loop),
      desk_(desk),
      protocol_(protocol),
      most_(most),
      ready_(std::move(ready)),
      acceptor_(loop.io()),
      again_(loop),
      quiet_(loop),
      letting_go_(loop),
      giving_up_(loop),
      room_made_(
          counters.counter("clients.evicted", "connections without a whole request closed to make room")) {
    counters.gauge("clients.open", "connections of clients", [this] { return static_cast<double>(held()); });
}
Http1Front::~Http1Front() = default;

void Http1Front::listen(const Address& address) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));  // a restart takes over its address at once
    // Its successor may listen beside it.
    acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor_.bind(address);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
    accept();
}

void Http1Front::adopt(int descriptor) {
    acceptor_.assign(asio::ip::tcp::v4(), descriptor);
    acceptor_.non_blocking(true);
    accept();
}

void Http1Front::accept() {
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

void Http1Front::accepted(const error_code& error, asio::ip::tcp::socket socket) {
    // Also where the listener has been given up since: this one had been accepted before.
    if (!error) {
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        bound_send_buffer(socket);
        const auto client = std::make_shared<Client>(*this, std::move(socket));
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
bool Http1Front::make_room() {
    const auto quiet = first_silent(waiting_), half = first_silent(begun_);
    const Time settled = Loop::monotonic() - kSettled;
    // One that has only just connected is about to say something, more likely than one that stopped half way.
    const auto& gone = quiet && quiet->since() <= settled                ? quiet
                       : half && (half->since() <= settled || !quiet)    ? half
                       : quiet && half && half->since() < quiet->since() ? half
                                                                         : quiet;
    if (!gone) return false;
    room_made_.add();
    gone->close();
    return true;
}

std::shared_ptr<Client> Http1Front::first_silent(Clients& among) {
    for (int looks = 0; looks < kMostLooks && !among.empty(); ++looks) {
        if (auto client = among.front().lock(); client && client->silent()) return client;
        among.splice(among.end(), among, among.begin());  // its turn to be read comes first
    }
    return nullptr;
}

void Http1Front::hold_at_most(std::size_t most) {
    most_ = most;
    while (held() > most_ && make_room()) {
    }
    accept();
}

void Http1Front::closed(Clients& among, Clients::iterator place) {
    among.erase(place);
    if (closing_ && empty()) return ended();
    accept();
}

void Http1Front::drain(std::function<void()> done, bool replaced) {
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

void Http1Front::give_up() {
    for (const auto& entry : Clients(busy_)) {
        if (const auto client = entry.lock()) client->give_up();
    }
}

void Http1Front::stop_accepting() {
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

void Http1Front::stop_serving() {
    closing_ = true;
    close_idle();
    if (empty()) ended();
}

/// Tells once that nothing is left. Guards against a process with two fronts that takes one's end told twice
/// for both ends.
void Http1Front::ended() {
    if (!std::exchange(ended_, true)) drained_();
}

void Http1Front::close_idle() {
    for (const auto& entry : Clients(waiting_)) {
        if (const auto client = entry.lock(); client && client->idle()) client->close();
    }
}

ClientBacklog Http1Front::backlog() const {
    ClientBacklog backlog;
    backlog.requests = busy_.size();
    backlog.connections = held();
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

void Http1Front::evacuate() {
    if (evacuated_ || draining()) return;
    evacuated_ = Loop::monotonic();
    letting_go_.set(*evacuated_ + kLetGo, [this] { close_idle(); });
}

void Http1Front::activate() {
    evacuated_.reset();
    letting_go_.cancel();
}

bool Http1Front::lets_go() const {
    return closing_ || replaced_ || (evacuated_ && Loop::monotonic() >= *evacuated_ + kSentAway);
}

bool Http1Front::sends_all_away() const {
    return evacuated_ && !draining() && Loop::monotonic() >= *evacuated_ + kNoMore;
}

}  // namespace martenford
