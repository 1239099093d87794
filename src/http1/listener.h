// The HTTP listener and its clients' connections: request to event, the one final answer, /-/ready.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "core/address.h"
#include "core/counters.h"
#include "core/engine.h"
#include "core/loop.h"

namespace martenford {

class ClientConnection;
class HoldLimit;
class ServerProtocol;

/// What a front still owes its clients.
struct ClientBacklog {
    std::size_t requests = 0;         ///< taken, and their answers not written whole
    std::size_t awaited_answers = 0;  ///< of these: read whole, in time, and none begun before the drain
    std::uint64_t unsent_bytes = 0;   ///< written, and not acknowledged by the client's kernel
};

class HttpListener {
  public:
    /// Holds this many connections at most. Throws boost::system::system_error where it can't listen.
    /// `request_handler` and `protocol` outlive it.
    HttpListener(EventLoop& loop, RequestHandler& request_handler, ServerProtocol& protocol,
                 std::size_t max_connections, std::function<bool()> ready, Counters& counters);
    ~HttpListener();

    /// Listens, beside others that share the address with SO_REUSEPORT. Throws boost::system::system_error
    /// where it can't.
    void listen(const Address& address);
    /// Takes over a listening socket, with the connections that wait in it.
    void adopt(int descriptor);
    bool listening() const { return acceptor_.is_open(); }
    int native_handle() { return acceptor_.native_handle(); }

    /// Stops in order: accepts and serves what still comes, answers all that was taken, then calls `done`
    /// once. Where another process accepts from the same listener (`replaced`), nothing more is accepted
    /// here, and clients are told to come back on new connections. With DrainTimes::max_held_bytes no answer
    /// is begun that could break off at the process's end.
    void drain(std::function<void()> done, bool replaced);
    /// Sends clients away while the process stays: not ready, their connections closed as they fall idle,
    /// within 4 s (of the platform's drain), without a request lost. A second call changes nothing.
    void evacuate();
    /// Ends that.
    void activate();
    bool evacuated() const { return evacuated_since_.has_value(); }
    /// From here on it holds so many; those that carry no request are closed to get there.
    void set_max_connections(std::size_t max_connections);

    /// Answers that named another request than the one that waited, and were withheld.
    [[nodiscard]] std::uint64_t withheld_answers() const { return withheld_.value(); }
    /// Reads that brought bytes while their connection's request was open: a client that does not wait for
    /// its answer, or whose answer's end was seen here later than there.
    [[nodiscard]] std::uint64_t early_reads() const { return early_.value(); }
    /// Looks at every connection: for the log of a shutdown, not for each request.
    [[nodiscard]] ClientBacklog backlog() const;

    /// Where it listens: the port is the system's choice where the configuration says 0.
    Address local_address() const { return acceptor_.local_endpoint(); }
    bool draining() const { return static_cast<bool>(on_drained_); }
    /// Whether new clients are wanted.
    bool is_ready() const { return ready_() && !rejects_new_clients(); }

  private:
    friend class ClientConnection;
    using Clients = std::list<std::weak_ptr<ClientConnection>>;

    bool rejects_new_clients() const { return draining() || evacuated(); }
    /// Whether connections are given up after their answer.
    bool closes_after_answer() const;
    /// Whether requests are refused, in an evacuation that should be over.
    bool refuses_requests() const;
    void close_idle();
    /// Whether answers that may come whole only after the drain are held until they are.
    bool holds_answers() const { return hold_limit_ != nullptr; }
    /// Answers every request that has no answer yet: the drain is over.
    void give_up();

    void accept();
    void accepted(const boost::system::error_code& error, asio::ip::tcp::socket socket);
    /// False: nobody can be closed now.
    bool evict_one();
    std::shared_ptr<ClientConnection> first_without_unread_data(Clients& among);
    void connection_closed(Clients& among, Clients::iterator place);
    void stop_accepting();
    void stop_serving();
    void finish_drain();
    std::size_t open_connections() const { return idle_.size() + partial_.size() + active_.size(); }
    bool full() const { return open_connections() >= max_connections_; }
    bool empty() const { return open_connections() == 0; }

    EventLoop& loop_;
    RequestHandler& request_handler_;
    ServerProtocol& protocol_;
    std::size_t max_connections_;
    std::function<bool()> ready_;
    asio::ip::tcp::acceptor acceptor_;
    // Each in the order in which that began; the first are closed where room is wanted.
    Clients idle_;     // those that have said nothing since their last answer
    Clients partial_;  // those whose request has begun to come, by when it last did
    Clients active_;   // those with a request under way, which are never closed to make room
    bool accepting_ = false;
    Timer accept_retry_timer_, drain_timer_, evacuation_timer_, give_up_timer_;
    std::optional<Time> evacuated_since_;  // since when
    bool replaced_ = false;
    Counter &evicted_, &withheld_, &early_;
    std::uint64_t last_connection_ = 0;  // numbers those that are accepted
    std::function<void()> on_drained_;
    Time answer_deadline_{};                 // after SIGTERM: when all that is taken must be answered
    std::unique_ptr<HoldLimit> hold_limit_;  // null: answers are passed on as they come
    bool stopped_serving_ = false, drain_finished_ = false;
};

}  // namespace martenford
