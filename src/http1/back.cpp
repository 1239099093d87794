#include "http1/back.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>

#include "core/transport.h"
#include "http1/exchange_record.h"
#include "http1/protocol.h"

namespace martenford {

using decision::Status;

namespace {

constexpr Duration kProbeTime = 1s;
constexpr int kMostInterim = 16;  // answers 1xx ahead of the one that counts
constexpr Duration kStall = 10s;  // an endpoint that gives nothing of a begun answer for so long has left it

/// Whether a connect failed for want of something of our own.
bool own_fault(const error_code& error) {
    return error == asio::error::no_descriptors || error == asio::error::no_memory ||
           error == asio::error::no_buffer_space || error == boost::system::errc::address_not_available ||
           error == boost::system::errc::too_many_files_open_in_system;
}

}  // namespace

/// One connection to an endpoint. It carries one request at a time; a read is always pending, so that a close
/// is seen while it carries none.
class Connection : public Back::Attempt, public std::enable_shared_from_this<Connection> {
  public:
    Connection(Http1Back& pool, EndpointId id, const Address& address)
        : id(id),
          address(address),
          pool_(pool),
          socket_(pool.loop_.io()),
          limit_(pool.loop_),
          end_(pool.loop_),
          buffer_(kMostBuffer) {}

    const EndpointId id;
    const Address address;
    std::optional<Http1Back::ByIdleTime::iterator> idle_place;  // while it is idle

    void start(std::shared_ptr<const HttpMessage> message, std::shared_ptr<Http1Back::Outgoing> outgoing,
               Time end, Back::Done done) {
        message_ = std::move(message);
        outgoing_ = std::move(outgoing);
        if (message_ && message_->rest) {
            outgoing_->on_rest = [message = message_] {
                message->rest_begun = true;
                message->body = {};
            };
        }
        done_ = std::move(done);
        limit_.cancel();
        end_at(end);
        if (message_) exchanges_.add(pool_.protocol_.exchange_name(*message_));
        if (stage_ == Stage::Connecting) {
            connect();
        } else {
            write();
        }
    }
    /// Whether it has carried no attempt of this request. Guards against a late answer to that attempt, which
    /// names this request too.
    bool may_carry(const HttpMessage& message) const {
        return !exchanges_.contains(pool_.protocol_.exchange_name(message));
    }
    /// Whether it can carry a request: the endpoint has neither closed it nor said anything unasked. Guards
    /// against taking what is left of an earlier answer for the answer to the next request.
    bool clean() {
        char byte = 0;
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    /// For an attempt that is no longer wanted.
    void cancel() override { finish(Status::Cancelled); }
    void withdraw_unwritten() override {
        if (stage_ == Stage::Connecting || (stage_ == Stage::Writing && arriving())) finish(Status::NotSent);
    }
    void end_at(Time end) override {
        if (!done_) return;  // its outcome is known already
        end_.set(end, [self = shared_from_this()] {
            self->finish(self->written_whole() ? Status::Timeout : Status::ConnectFailed);
        });
    }
    /// For one that carries nothing.
    void close() {
        if (std::exchange(stage_, Stage::Closed) == Stage::Closed) return;
        if (outgoing_) outgoing_->stop();
        if (rest_) std::exchange(rest_, nullptr)->fail();
        if (message_ && message_->rest_begun) message_->rest->stop_reading();
        pool_.gone(*this);
        limit_.cancel();
        end_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

  private:
    /// Passing: the attempt has ended as served, and the rest of its answer goes on through a pipe.
    enum class Stage { Connecting, Writing, Waiting, Passing, Idle, Closed };

    /// Whether a part of the request's body has yet to come from its caller.
    bool arriving() const {
        return message_ && message_->rest && message_->rest->state() == Pipe::State::Open;
    }
    /// Before that an attempt has not run. Where bytes are held here alone the endpoint can't have the last
    /// one.
    bool written_whole() const {
        return stage_ == Stage::Waiting || (stage_ == Stage::Writing && !arriving());
    }

    void connect() {
        const Duration most = pool_.limits_.connect_timeout;
        if (most > Duration{})
            limit_.set(Loop::monotonic() + most,
                       [self = shared_from_this()] { self->finish(Status::ConnectFailed); });
        socket_.async_connect(address, [self = shared_from_this()](const error_code& error) {
            if (self->stage_ != Stage::Connecting) return;
            self->limit_.cancel();
            if (error) return self->finish(own_fault(error) ? Status::NotSent : Status::ConnectFailed);
            error_code ignored;
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            bound_send_buffer(self->socket_);
            self->read();
            self->write();
        });
    }

    void write() {
        stage_ = Stage::Writing;
        interim_ = 0;
        renew(parser_);
        outgoing_->run(socket_, shared_from_this(), [self = shared_from_this()](const error_code& error) {
            if (self->stage_ != Stage::Writing) return;
            // Not whole: an endpoint begins no request whose last byte has not come.
            if (error) return self->finish(Status::ConnectFailed);
            self->stage_ = Stage::Waiting;
            if (self->message_) self->pool_.written(*self->message_, self->id);  // probes are no attempts
            self->parse();
            if (self->stage_ == Stage::Waiting && self->broken_) self->ended(self->broken_);
            self->read_on();
        });
    }

    void read() {
        reading_ = true;
        if (stage_ == Stage::Passing) {
            limit_.set(Loop::monotonic() + kStall, [self = shared_from_this()] { self->close(); });
        }
        socket_.async_read_some(buffer_.prepare(read_size(buffer_, stage_ == Stage::Passing)),
                                [self = shared_from_this()](const error_code& error, std::size_t size) {
                                    self->reading_ = false;
                                    if (self->stage_ == Stage::Closed) return;
                                    self->buffer_.commit(size);
                                    if (error) return self->ended(error);
                                    if (self->stage_ == Stage::Idle)
                                        return self->drop();  // nothing was asked
                                    // Guards against bytes that were on their way before the request was: an
                                    // answer that starts before its request is whole is none.
                                    if (self->stage_ == Stage::Writing) {
                                        return self->broke_while_writing(http::error::unexpected_body);
                                    }
                                    if (self->stage_ == Stage::Waiting || self->stage_ == Stage::Passing) {
                                        self->parse();
                                    }
                                    self->read_on();
                                });
    }
    void read_on() {
        if (stage_ == Stage::Closed || reading_ || broken_) return;
        if (stage_ == Stage::Passing && !rest_->has_room()) return limit_.cancel();  // the caller is slower
        read();
    }

    /// Whether the request was written whole is known once its write has ended, which takes as long as its
    /// caller takes to send it: one that is still arriving is over at once, and never ran.
    void broke_while_writing(const error_code& error) {
        if (arriving()) return finish(Status::ConnectFailed);
        broken_ = error;
    }

    void ended(const error_code& error) {
        if (stage_ == Stage::Idle) return drop();
        if (stage_ == Stage::Writing) return broke_while_writing(error);
        if (error == asio::error::eof && parser_->got_some()) {
            error_code fault;
            parser_->put_eof(fault);
            if (!fault && parser_->is_done() && pool_.protocol_.ends_by_close()) {
                if (stage_ == Stage::Passing) return passed(false);
                if (const auto status = classify()) return answered(*status, false);
            }
        }
        if (stage_ == Stage::Passing) return close();  // its caller sees that it is not whole
        finish(Status::Reset);
    }

    void parse() {
        for (;;) {
            if (feed(*parser_, buffer_)) {  // nobody can tell what it answers
                return stage_ == Stage::Passing ? close() : finish(Status::Error);
            }
            if (stage_ == Stage::Passing) return pass();
            if (!parser_->is_done()) break;
            // Guards against taking word that the answer is to come for the answer.
            if (parser_->get().result_int() / 100 != 1) break;
            if (++interim_ > kMostInterim) return finish(Status::Error);
            renew(parser_);
        }
        if (parser_->is_done()) {
            const auto status = classify();
            if (status) return answered(*status, clean_end());
            // Guards against taking a late or surplus answer of an earlier request for the one to this.
            pool_.skipped_.add();
            if (++interim_ > kMostInterim || !parser_->keep_alive()) return finish(Status::Reset);
            renew(parser_);
            return buffer_.size() > 0 ? parse() : void();
        }
        if (!parser_->is_header_done()) return;
        const auto& held = parser_->get().body();
        const auto length = parser_->content_length();
        // A long one goes on before it is whole: it may be longer than what can be held, and its caller waits
        // for its first bytes. Guards, by the bytes wanted, against lengths that no body follows: those can
        // still go again.
        if (held.size() <= (length && *length > kWholeBody ? kSurelyLong : kWholeBody)) return;
        const auto status = classify();
        if (!status)
            return parser_->get().body().clear();  // somebody else's: read to its end and passed over
        if (*status != Status::Ok) return finish(*status);  // its words are no use
        begin_passing();
    }
    /// Whether the connection may carry another request: the answer ended where it should, and nothing came
    /// before its request was written.
    bool clean_end() {
        return parser_->keep_alive() && buffer_.size() == 0 && !broken_ && !exchanges_.full() && clean();
    }

    std::optional<Status> classify() { return pool_.protocol_.classify(parser_->get(), message_.get(), id); }
    std::shared_ptr<const AnswerHead> head_of(const http::response<PieceBody>& answer) const {
        if (!pool_.protocol_.passes_heads()) return nullptr;
        auto head = std::make_shared<HttpAnswerHead>();
        head->status = answer.result_int();
        head->fields = answer;
        strip_connection_fields(head->fields);
        return head;
    }

    void begin_passing() {
        const auto& answer = parser_->get();
        Result result{Status::Ok,
                      std::exchange(parser_->get().body(), {}),
                      std::string(answer[http::field::content_type]),
                      {},
                      {},
                      false,
                      head_of(answer)};
        if (const auto length = parser_->content_length()) result.length = *length;
        result.rest = rest_ = std::make_shared<Pipe>(kMostHeld);
        // Held by its pipe until the answer's end: while its caller is slow it reads nothing, and no handler
        // holds it.
        rest_->on_room([self = shared_from_this()] {
            if (self->stage_ != Stage::Passing) return;
            if (self->rest_->unread()) return self->close();  // its caller has left
            self->read_on();
        });
        stage_ = Stage::Passing;
        end_.cancel();
        limit_.cancel();
        const auto done = std::exchange(done_, nullptr);
        release();
        done(std::move(result));
    }
    void pass() {
        const auto self = shared_from_this();
        rest_->put(std::exchange(parser_->get().body(), {}));
        if (stage_ == Stage::Passing && parser_->is_done()) passed(clean_end());
    }
    void passed(bool keep) {
        const auto self = shared_from_this();
        rest_->put(std::exchange(parser_->get().body(), {}));
        if (!rest_) return;  // its caller left at that
        limit_.cancel();
        std::exchange(rest_, nullptr)->finish();
        if (stage_ == Stage::Closed) return;
        if (keep && pool_.keeps(*this)) {
            rest_here();
        } else {
            close();
        }
    }
    /// Goes back to its pool, for the next attempt.
    void rest_here() {
        stage_ = Stage::Idle;
        if (const Duration most = pool_.limits_.connection_idle; most > Duration{}) {
            const Duration keep_for{
                static_cast<Duration::rep>(static_cast<double>(most.count()) * kIdleShare)};
            limit_.set(Loop::monotonic() + keep_for, [self = shared_from_this()] { self->drop(); });
        }
        pool_.put_back(shared_from_this());
    }

    void answered(Status status, bool keep) {
        auto answer = parser_->release();
        Result result;
        result.status = status;
        result.head = head_of(answer);
        if (result.status == Status::Ok || result.head) {
            result.body = std::move(answer.body());
            result.content_type = std::string(answer[http::field::content_type]);
        }
        end_.cancel();
        auto done = std::exchange(done_, nullptr);
        release();
        result.kept = keep && pool_.keeps(*this);
        if (result.kept) {
            rest_here();
        } else {
            close();
        }
        done(std::move(result));
    }

    /// Ends the attempt that this connection carries, and the connection with it.
    void finish(Status status) {
        auto done = std::exchange(done_, nullptr);
        const auto self = shared_from_this();
        close();
        release();
        Result result;
        result.status = status;
        if (done) done(std::move(result));
    }

    void drop() {
        const auto self = shared_from_this();
        pool_.forget_idle(*this);
        close();
    }

    void release() {
        // A write may still refer to the message of an attempt that was given up; the last handler frees it.
        if (stage_ == Stage::Closed) return;
        outgoing_.reset();
        message_.reset();
    }

    Http1Back& pool_;
    asio::ip::tcp::socket socket_;
    Timer limit_, end_;
    boost::beast::flat_buffer buffer_;
    Stage stage_ = Stage::Connecting;
    error_code broken_;  // of a read while the request was being written
    bool reading_ = false;
    int interim_ = 0;
    std::optional<Parser<false>> parser_;
    std::shared_ptr<const HttpMessage> message_;
    std::shared_ptr<Http1Back::Outgoing> outgoing_;
    std::shared_ptr<Pipe> rest_;  // of the answer that passes through
    Back::Done done_;
    ExchangeRecord exchanges_;
};

Http1Back::Http1Back(Loop& loop, ClientProtocol& protocol, const decision::Limits& limits, std::size_t most,
                     std::size_t per_endpoint, Counters& counters)
    : loop_(loop),
      protocol_(protocol),
      limits_(limits),
      most_(most),
      per_endpoint_(per_endpoint),
      opened_(counters.counter("connections.opened", "connections that were begun to endpoints")),
      evicted_(counters.counter("connections.evicted", "idle ones closed to make room for another")),
      no_room_(counters.counter("connections.no_room", "attempts not sent for want of a connection")),
      written_(counters.counter("attempts.written", "attempts whose last byte was written")),
      skipped_(counters.counter("answers.skipped", "answers to another request than the one that waited")) {
    counters.gauge("connections.open", "to endpoints", [this] { return static_cast<double>(count_); });
    counters.gauge("connections.idle", "of them, carrying nothing",
                   [this] { return static_cast<double>(by_idle_time_.size()); });
}
Http1Back::~Http1Back() = default;

void Http1Back::place(EndpointId id, const Address& address, bool ready) {
    Pool& pool = pools_[id];
    if (!ready || pool.address != address) shut_idle(id);
    pool.address = address;
    pool.ready = ready;
}

void Http1Back::remove(EndpointId id) {
    shut_idle(id);
    pools_.erase(id);
}

Back::Handle Http1Back::send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done) {
    auto request = std::static_pointer_cast<const HttpMessage>(std::move(message));
    if (!protocol_.carries_body(*request))
        request = std::make_shared<HttpMessage>(http::request<PieceBody>{request->head});
    Outgoing::Head head{request->head};
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
    auto outgoing = std::make_shared<Outgoing>(std::move(head), request->body, request->rest);
    return start(id, std::move(request), std::move(outgoing), end, std::move(done));
}

void Http1Back::probe(EndpointId id, Done done) {
    Outgoing::Head head{http::verb::get, "/", 11};
    protocol_.prepare_probe(head);
    auto outgoing = std::make_shared<Outgoing>(std::move(head), std::string_view{}, nullptr);
    start(id, nullptr, std::move(outgoing), Loop::monotonic() + kProbeTime, std::move(done));
}

Back::Handle Http1Back::start(EndpointId id, std::shared_ptr<const HttpMessage> message,
                              std::shared_ptr<Outgoing> outgoing, Time end, Done done) {
    const auto pool = pools_.find(id);
    auto connection = pool == pools_.end() ? nullptr : take(id, pool->second, message.get());
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

void Http1Back::hold_at_most(std::size_t most) {
    most_ = most;
    while (count_ > most_ && make_room()) {
    }
}

std::shared_ptr<Connection> Http1Back::take_idle(Pool& pool, const HttpMessage* message) {
    for (auto place = pool.idle.end(); place != pool.idle.begin();) {
        --place;
        if (message && !(*place)->may_carry(*message)) continue;
        const auto connection = std::move(*place);
        place = pool.idle.erase(place);
        by_idle_time_.erase(*std::exchange(connection->idle_place, std::nullopt));
        if (connection->clean()) return connection;
        connection->close();
    }
    return nullptr;
}

std::shared_ptr<Connection> Http1Back::take(EndpointId id, Pool& pool, const HttpMessage* message) {
    if (auto connection = take_idle(pool, message)) return connection;
    if ((per_endpoint_ > 0 && pool.open >= per_endpoint_) || (count_ >= most_ && !make_room())) {
        no_room_.add();
        return nullptr;
    }
    opened_.add();
    ++count_;
    ++pool.open;
    return std::make_shared<Connection>(*this, id, pool.address);
}

/// Closes the connection that has been idle longest. Guards against running out of descriptors.
bool Http1Back::make_room() {
    if (by_idle_time_.empty()) return false;
    const auto oldest = by_idle_time_.front()->shared_from_this();
    forget_idle(*oldest);
    oldest->close();
    evicted_.add();
    return true;
}

void Http1Back::gone(const Connection& connection) {
    --count_;
    // A pool that was removed and came back counts anew. What is left of the old one may be taken off it:
    // then the endpoint has a connection more than its share for a while.
    const auto pool = pools_.find(connection.id);
    if (pool != pools_.end() && pool->second.open > 0) --pool->second.open;
}

bool Http1Back::keeps(const Connection& connection) const {
    const auto pool = pools_.find(connection.id);
    return pool != pools_.end() && pool->second.ready && pool->second.address == connection.address;
}

void Http1Back::put_back(std::shared_ptr<Connection> connection) {
    connection->idle_place = by_idle_time_.insert(by_idle_time_.end(), connection.get());
    pools_.at(connection->id).idle.push_back(std::move(connection));
}

void Http1Back::forget_idle(const Connection& connection) {
    const auto pool = pools_.find(connection.id);
    if (pool == pools_.end()) return;
    const auto held = std::find_if(pool->second.idle.begin(), pool->second.idle.end(),
                                   [&](const auto& idle) { return idle.get() == &connection; });
    if (held == pool->second.idle.end()) return;
    by_idle_time_.erase(*std::exchange((*held)->idle_place, std::nullopt));
    pool->second.idle.erase(held);
}

void Http1Back::shut_idle(EndpointId id) {
    const auto pool = pools_.find(id);
    if (pool == pools_.end()) return;
    for (const auto& connection : std::exchange(pool->second.idle, {})) {
        by_idle_time_.erase(*std::exchange(connection->idle_place, std::nullopt));
        connection->close();
    }
}

}  // namespace martenford
