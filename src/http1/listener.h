// HTTP listener and its client connections: turns requests into events, writes the one final answer, and
// answers /-/ready.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "core/address.h"
#include "core/byte_budget.h"
#include "core/counters.h"
#include "core/engine.h"
#include "core/listening_socket.h"
#include "core/loop.h"

namespace martenford {

class ClientConnection;
class ServerProtocol;

/// What a listener still owes its clients.
struct ClientBacklog {
    std::size_t requests = 0;  ///< requests accepted whose answers are not completely written
    /// Those of them that were read completely, before their deadline, without an answer begun before the
    /// drain.
    std::size_t awaited_answers = 0;
    std::uint64_t unsent_bytes = 0;  ///< written, but not acknowledged by the client's kernel
};

class HttpListener {
  public:
    /// Accepts at most this many connections. `request_handler` and `protocol` outlive it.
    HttpListener(EventLoop& loop, RequestHandler& request_handler, ServerProtocol& protocol,
                 std::size_t max_connections, std::function<bool()> ready, Counters& counters);
    ~HttpListener();

    /// Listens with PortSharing::WithSuccessor. Throws boost::system::system_error if that fails.
    void listen(const Address& address);
    /// Takes over a listening socket.
    void listen(ListeningSocket socket);
    /// Takes over the listening socket of another process, with its queue of pending connections.
    void adopt(int descriptor);
    bool listening() const { return acceptor_.is_open(); }
    int native_handle() { return acceptor_.native_handle(); }

    /// Graceful shutdown: accepts and serves what still arrives, answers all requests, then calls `done`
    /// once. If another process accepts from the same socket (`replaced`), accepting stops at once and
    /// clients are asked to reconnect. With DrainTimes::max_held_bytes no answer is begun that the end of the
    /// process could truncate.
    void drain(std::function<void()> done, bool replaced);
    /// Sends clients away while the process stays up: reports not ready and closes connections as they become
    /// idle, within 4 s (the time that the platform allows for a drain), without losing a request. A second
    /// call has no effect.
    void evacuate();
    /// Ends an evacuation.
    void activate();
    bool evacuated() const { return evacuated_since_.has_value(); }
    /// Changes the limit on connections; those without a request are closed to get down to it.
    void set_max_connections(std::size_t max_connections);

    /// Number of answers that named another request than the waiting one and were withheld.
    [[nodiscard]] std::uint64_t withheld_answers() const { return withheld_.value(); }
    /// Number of reads that brought bytes while the connection's request was open: the client does not wait
    /// for its answer, or saw the end of the answer before this process did.
    [[nodiscard]] std::uint64_t early_reads() const { return early_.value(); }
    /// Examines every connection: for the log of a shutdown, not for use per request.
    [[nodiscard]] ClientBacklog backlog() const;

    /// The local address; its port was chosen by the system if port 0 was configured.
    Address local_address() const { return acceptor_.local_endpoint(); }
    bool draining() const { return static_cast<bool>(on_drained_); }
    /// Whether new clients are wanted.
    bool is_ready() const { return ready_() && !rejects_new_clients(); }

  private:
    friend class ClientConnection;
    using Clients = std::list<std::weak_ptr<ClientConnection>>;

    bool rejects_new_clients() const { return draining() || evacuated(); }
    /// Whether connections are closed after their answer.
    bool closes_after_answer() const;
    /// Whether requests are refused, in an evacuation that should be over by now.
    bool refuses_requests() const;
    void close_idle();
    /// Whether answers that may not be complete before the drain ends are held until they are.
    bool holds_answers() const { return held_answers_ != nullptr; }
    /// Fails all requests that have no answer yet: the drain is over.
    void give_up();

    void accept_on(asio::ip::tcp protocol, int descriptor);
    void accept();
    void accepted(const boost::system::error_code& error, asio::ip::tcp::socket socket);
    /// Closes one connection to make room. Returns false if none can be closed now.
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
    // Each list is in order of entry; connections are evicted from the front.
    Clients idle_;     // no byte received since the last answer
    Clients partial_;  // a request has begun to arrive; ordered by the last read
    Clients active_;   // a request is being handled; never evicted
    bool accepting_ = false;
    const std::shared_ptr<ByteBudget> arriving_bodies_;  // that are being buffered, on all connections
    Timer accept_retry_timer_, drain_timer_, evacuation_timer_, give_up_timer_;
    std::optional<Time> evacuated_since_;  // start of the evacuation
    bool replaced_ = false;
    Counter &evicted_, &withheld_, &early_;
    std::uint64_t last_connection_ = 0;  // number of the connection accepted last
    std::function<void()> on_drained_;
    Time answer_deadline_{};                    // while draining: when all accepted requests must be answered
    std::shared_ptr<ByteBudget> held_answers_;  // null: answers are passed on as they arrive
    bool stopped_serving_ = false, drain_finished_ = false;
};

}  // namespace martenford
