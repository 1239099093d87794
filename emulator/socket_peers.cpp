#include "emulator/socket_peers.h"

#include <sys/socket.h>

#include <boost/asio/ip/v6_only.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace martenford::emulator {

namespace {

constexpr Duration kHoldFor = 100ms;           // until a call that is held is looked at again
constexpr std::int64_t kMostWatchMs = 60'000;  // the platform's protocol
constexpr const char* kNoise = "\x16\x03\x01 this is no answer \x00\x7f\r\n\x02";

std::optional<std::int64_t> parse_integer(std::string_view text) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value);
    if (fault != std::errc{} || stop != end) return std::nullopt;
    return value;
}

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// A value in the query of a target; nothing where it is absent or no whole number.
std::optional<std::int64_t> query(std::string_view target, std::string_view name) {
    auto rest = target.substr(std::min(target.find('?'), target.size()));
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto part = rest.substr(0, rest.find('&'));
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
            return parse_integer(part.substr(equals + 1));
        rest.remove_prefix(part.size());
    }
    return std::nullopt;
}

void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Whether the other side has ended a connection on which something is to be read.
bool has_ended(tcp::socket& socket) {
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

std::string to_json(const ListAnswer& list) {
    nlohmann::ordered_json root{
        {"rev", list.revision}, {"all", list.all}, {"targets", nlohmann::ordered_json::array()}};
    for (const Listing& entry : list.entries) {
        const char* state = entry.state == decision::Availability::Ready      ? "Ready"
                            : entry.state == decision::Availability::Draining ? "Terminating"
                                                                              : "Gone";
        root["targets"].push_back({{"uid", entry.uid},
                                   {"endpoint", entry.address},
                                   {"az", entry.zone},
                                   {"model", entry.kind},
                                   {"pod_group", entry.pod},
                                   {"state", state},
                                   {"capacity_hint", 1.0},
                                   {"boot_ms", entry.boot_ms}});
    }
    return root.dump();
}

// ---- endpoints ------------------------------------------------------------------------------------

class EndpointServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(EndpointServer& server, tcp::socket socket)
        : server_(&server),
          world_(server.world_),
          loop_(server.loop_),
          node_(server.node_),
          socket_(std::move(socket)) {
        over_cap_ = !world_.connection_opened(node_);
    }
    void start() {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        await_request();
    }
    /// At the server's word: it is forgotten there already.
    void drop() {
        server_ = nullptr;
        leave();
    }

  private:
    void await_request() {
        // The first byte's time counts for drains: waited for apart from the rest.
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
            if (self->closed_ || self->cut()) return;
            if (error || has_ended(self->socket_)) return self->leave();
            self->first_byte_ = self->loop_.now();
            self->parser_.emplace();
            http::async_read(self->socket_, self->buffer_, *self->parser_,
                             [self](const error_code& fault, std::size_t) {
                                 if (self->closed_ || self->cut()) return;
                                 if (fault) return self->leave();
                                 self->take();
                             });
        });
    }
    void take() {
        const auto request = parser_->release();
        AttemptSpec spec;
        spec.id = std::string(request["X-Request-ID"]);
        spec.node = node_;
        spec.timeout = std::chrono::milliseconds(parse_integer(view(request["X-Timeout-Ms"])).value_or(1));
        spec.first_byte = first_byte_;
        spec.fresh = !std::exchange(used_, true);
        spec.over_cap = over_cap_;
        if (!spec.fresh && world_.swallows(node_, spec.id)) return world_.attempt_lost(spec);
        waiting_ = true;
        const auto token = world_.attempt(spec, [weak = weak_from_this()](AttemptReply&& reply) {
            if (const auto self = weak.lock()) self->reply(std::move(reply));
        });
        if (waiting_) {
            attempt_ = token;
            watch_caller();
        }
    }
    /// Sees a caller that gives up.
    void watch_caller() {
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this(), turn = turn_](const error_code& error) {
                               if (self->closed_ || !self->waiting_ || self->turn_ != turn || self->cut())
                                   return;
                               if (error || has_ended(self->socket_)) self->leave();
                           });
    }
    void reply(AttemptReply&& reply) {
        waiting_ = false;
        attempt_ = 0;
        ++turn_;
        if (closed_ || cut()) return;
        // The world may be in the middle of something that ends this server.
        boost::asio::post(loop_.io(), [self = shared_from_this(), reply = std::move(reply)]() mutable {
            if (!self->closed_ && !self->cut()) self->write(std::move(reply));
        });
    }
    void write(AttemptReply&& reply) {
        if (reply.kind == AttemptReply::Kind::Reset) {
            reset(socket_);
            return leave();
        }
        if (reply.kind == AttemptReply::Kind::Spoilt) {
            // It stays open and is of no further use.
            noise_ = std::string(kNoise, 24);
            return boost::asio::async_write(
                socket_, boost::asio::buffer(noise_),
                [self = shared_from_this()](const error_code& error, std::size_t) {
                    if (error) return self->leave();
                    self->waiting_ = true;
                    self->watch_caller();
                });
        }
        answer_ = {};
        answer_.version(11);
        answer_.result(reply.kind == AttemptReply::Kind::Served       ? http::status::ok
                       : reply.kind == AttemptReply::Kind::TurnedAway ? http::status::service_unavailable
                                                                      : http::status::internal_server_error);
        if (reply.kind == AttemptReply::Kind::TurnedAway) answer_.set("X-Not-Processed", "1");
        answer_.set(http::field::content_type, "text/plain");
        answer_.body() = std::move(reply.body);
        answer_.keep_alive(!over_cap_);
        answer_.prepare_payload();
        http::async_write(socket_, answer_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (self->closed_ || self->cut()) return;
                              if (error || !self->answer_.keep_alive()) return self->leave();
                              self->await_request();
                          });
    }
    bool cut() const { return server_ && server_->cut_; }
    void leave() {
        if (std::exchange(closed_, true)) return;
        const auto self = shared_from_this();
        if (server_) server_->open_.erase(self);
        if (socket_.is_open()) {
            error_code ignored;
            if (server_) {
                socket_.close(ignored);
            } else {
                reset(socket_);
            }
        }
        if (attempt_ != 0) world_.abandon(std::exchange(attempt_, 0));
        world_.connection_closed(node_);
    }

    EndpointServer* server_;
    World& world_;
    EventLoop& loop_;
    std::uint32_t node_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> answer_;
    std::string noise_;
    Time first_byte_{};
    std::uint64_t attempt_ = 0, turn_ = 0;
    bool over_cap_ = false, used_ = false, waiting_ = false, closed_ = false;
};

EndpointServer::EndpointServer(EventLoop& loop, World& world, std::uint32_t node, const tcp::endpoint& where)
    : loop_(loop), world_(world), node_(node), acceptor_(loop.io(), where) {
    acceptor_.listen();
    accept();
}
EndpointServer::~EndpointServer() {
    stop();
}

void EndpointServer::accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;  // this has gone, or is cut off
        if (!error) {
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            open_.insert(connection);
            connection->start();
        }
        accept();
    });
}

void EndpointServer::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& connection : std::exchange(open_, {})) connection->drop();
}

void EndpointServer::cut(bool cut) {
    cut_ = cut;
    error_code ignored;
    if (cut) {
        acceptor_.cancel(ignored);
        return;
    }
    for (const auto& connection : std::exchange(open_, {})) connection->drop();
    // What came up meanwhile, in the kernel alone, is reset too.
    acceptor_.non_blocking(true, ignored);
    for (;;) {
        error_code none_left;
        tcp::socket socket(loop_.io());
        acceptor_.accept(socket, none_left);
        if (none_left) break;
        reset(socket);
    }
    accept();
}

// ---- discovery ------------------------------------------------------------------------------------

class DiscoveryServer::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(DiscoveryServer& server, tcp::socket socket)
        : server_(&server),
          registry_(server.world_.registry(server.world_.sidecars()[server.sidecar_].tier)),
          socket_(std::move(socket)),
          again_(server.loop_) {}
    void start() {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        read();
    }
    void drop() {
        server_ = nullptr;
        leave();
    }

  private:
    void read() {
        request_ = {};
        http::async_read(socket_, buffer_, request_,
                         [self = shared_from_this()](const error_code& error, std::size_t) {
                             if (self->closed_) return;
                             if (error) return self->leave();
                             self->ask();
                         });
    }
    void ask() {
        const std::string_view target = view(request_.target());
        if (request_.method() != http::verb::get || target.substr(0, target.find('?')) != "/api/targets") {
            return write(http::status::not_found, {});
        }
        std::optional<std::uint64_t> since;
        if (const auto told = query(target, "since"); told && *told >= 0)
            since = static_cast<std::uint64_t>(*told);
        const auto wait = std::chrono::milliseconds(
            std::clamp<std::int64_t>(query(target, "timeout_ms").value_or(0), 0, kMostWatchMs));
        asking_ = true;
        const auto watch = registry_.ask(since, wait, [weak = weak_from_this()](const ListAnswer* list) {
            const auto self = weak.lock();
            if (!self || self->closed_) return;
            self->asking_ = false;
            if (self->server_->world_.deaf(self->server_->sidecar_)) return self->hold();
            if (!list) return self->write(http::status::service_unavailable, {});
            // Told is what has been written.
            self->server_->world_.told(self->server_->sidecar_, *list);
            self->write(http::status::ok, to_json(*list));
        });
        if (!asking_) return;
        watch_ = watch;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
            if (self->closed_ || !self->asking_) return;
            if (error || has_ended(self->socket_)) self->leave();
        });
    }
    /// As an agent that has lost its registry: what it is asked stays unanswered.
    void hold() {
        asking_ = false;
        again_.set(server_->loop_.now() + kHoldFor, [self = shared_from_this()] {
            if (self->closed_ || !self->server_) return;
            if (self->server_->world_.deaf(self->server_->sidecar_)) return self->hold();
            self->ask();
        });
    }
    void write(http::status status, std::string&& body) {
        answer_ = {};
        answer_.version(11);
        answer_.result(status);
        answer_.set(http::field::content_type, "application/json");
        answer_.body() = std::move(body);
        answer_.keep_alive(request_.keep_alive());
        answer_.prepare_payload();
        http::async_write(socket_, answer_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (self->closed_) return;
                              if (error || !self->answer_.keep_alive()) return self->leave();
                              self->read();
                          });
    }
    void leave() {
        if (std::exchange(closed_, true)) return;
        const auto self = shared_from_this();
        again_.cancel();
        if (std::exchange(asking_, false)) registry_.drop(watch_);
        if (server_) server_->open_.erase(self);
        error_code ignored;
        socket_.close(ignored);
    }

    DiscoveryServer* server_;
    Registry& registry_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> answer_;
    Timer again_;
    Registry::WatchId watch_ = 0;
    bool asking_ = false, closed_ = false;
};

DiscoveryServer::DiscoveryServer(EventLoop& loop, World& world, std::uint32_t sidecar)
    : loop_(loop),
      world_(world),
      sidecar_(sidecar),
      acceptor_(loop.io(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      address_(acceptor_.local_endpoint()) {
    acceptor_.listen();
    accept();
}
DiscoveryServer::~DiscoveryServer() {
    retire();
    for (const auto& connection : std::exchange(open_, {})) connection->drop();
}

void DiscoveryServer::accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) {
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            open_.insert(connection);
            connection->start();
        }
        accept();
    });
}

void DiscoveryServer::retire() {
    error_code ignored;
    acceptor_.close(ignored);
}

// ---- callers --------------------------------------------------------------------------------------

class CallerPool::Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(CallerPool& pool, const tcp::endpoint& where)
        : pool_(&pool), where_(where), socket_(pool.loop_.io()) {}

    void call(std::uint64_t number, http::request<http::string_body>&& request, Done done) {
        number_ = number;
        request_ = std::move(request);
        done_ = std::move(done);
        if (connected_) return write();
        socket_.async_connect(where_, [self = shared_from_this()](const error_code& error) {
            if (self->closed_) return;
            if (error) {
                // A copy of it may have been taken by a sidecar that has died since.
                return self->over(
                    {self->again_ ? CallAnswer::Kind::Broken : CallAnswer::Kind::Unreachable, {}}, false);
            }
            self->connected_ = true;
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }
    /// Nothing was said on it while it was idle, and it is open.
    bool usable() {
        char byte = 0;
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    void drop() {
        if (std::exchange(closed_, true)) return;
        done_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
    }
    const tcp::endpoint& where() const { return where_; }

  private:
    void write() {
        http::async_write(socket_, request_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (self->closed_) return;
                              if (error) return self->broken();
                              self->parser_.emplace();
                              http::async_read(self->socket_, self->buffer_, *self->parser_,
                                               [self](const error_code& fault, std::size_t) {
                                                   if (self->closed_) return;
                                                   if (fault) return self->broken();
                                                   self->answered();
                                               });
                          });
    }
    /// A connection that was kept may be closed just as a request crosses it: that one is sent once more.
    void broken() {
        const bool nothing_came = !parser_ || !parser_->got_some();
        if (used_ && nothing_came && buffer_.size() == 0) {
            const auto self = shared_from_this();
            const auto number = number_;
            auto request = std::move(request_);
            auto done = std::exchange(done_, nullptr);
            pool_->busy_.erase(number);
            CallerPool* pool = pool_;
            drop();
            const auto fresh = pool->connect();
            pool->busy_.emplace(number, fresh);
            fresh->again_ = true;
            return fresh->call(number, std::move(request), std::move(done));
        }
        over({CallAnswer::Kind::Broken, {}}, false);
    }
    void answered() {
        auto answer = parser_->release();
        CallAnswer out;
        const auto status = answer.result_int();
        out.kind = status == 200                    ? CallAnswer::Kind::Served
                   : status == 429 || status == 503 ? CallAnswer::Kind::Refused
                                                    : CallAnswer::Kind::Failed;
        out.body = std::move(answer.body());
        over(std::move(out), answer.keep_alive());
    }
    void over(CallAnswer&& answer, bool keep) {
        const auto self = shared_from_this();
        auto done = std::exchange(done_, nullptr);
        pool_->busy_.erase(number_);
        used_ = true;
        parser_.reset();
        if (keep && where_ == pool_->where_) {
            pool_->idle_.push_back(self);
        } else {
            drop();
        }
        if (done) done(std::move(answer));
    }

    CallerPool* pool_;
    tcp::endpoint where_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    http::request<http::string_body> request_;
    Done done_;
    std::uint64_t number_ = 0;
    bool connected_ = false, used_ = false, again_ = false, closed_ = false;
};

CallerPool::~CallerPool() {
    for (const auto& connection : std::exchange(idle_, {})) connection->drop();
    for (const auto& [number, connection] : std::exchange(busy_, {})) connection->drop();
}

void CallerPool::point_at(const tcp::endpoint& where) {
    if (where == where_) return;
    where_ = where;
    for (const auto& connection : std::exchange(idle_, {})) connection->drop();
}

std::shared_ptr<CallerPool::Connection> CallerPool::connect() {
    return std::make_shared<Connection>(*this, where_);
}

void CallerPool::call(std::uint64_t number, http::request<http::string_body> request, Done done) {
    if (where_.port() == 0) {
        boost::asio::post(loop_.io(), [done = std::move(done)] {
            done({CallAnswer::Kind::Unreachable, {}});
        });
        return;
    }
    std::shared_ptr<Connection> connection;
    while (!connection && !idle_.empty()) {
        connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->usable()) break;
        connection->drop();
        connection.reset();
    }
    if (!connection) connection = connect();
    busy_.emplace(number, connection);
    connection->call(number, std::move(request), std::move(done));
}

void CallerPool::hang_up(std::uint64_t number) {
    const auto it = busy_.find(number);
    if (it == busy_.end()) return;
    const auto connection = std::move(it->second);
    busy_.erase(it);
    connection->drop();
}

}  // namespace martenford::emulator
