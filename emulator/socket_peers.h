// The peers of real sidecars on loopback sockets: endpoints, discovery and callers, for an emulated fleet.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/loop.h"
#include "emulator/transport.h"
#include "emulator/world.h"

namespace martenford::emulator {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// Listens for one endpoint and hands what comes to the world.
class EndpointServer {
  public:
    /// At `where`; port 0: any that is free. Throws boost::system::system_error.
    EndpointServer(EventLoop& loop, World& world, std::uint32_t node, const tcp::endpoint& where);
    ~EndpointServer();
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    /// Resets what is open and refuses what is new.
    void stop();
    /// Cut off: nothing is read or written any more; back: all of it is reset.
    void cut(bool cut);

  private:
    class Connection;
    void accept();

    EventLoop& loop_;
    World& world_;
    std::uint32_t node_;
    bool cut_ = false;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Connection>> open_;
};

/// Discovery for one sidecar: GET /api/targets, with and without a watch.
class DiscoveryServer {
  public:
    DiscoveryServer(EventLoop& loop, World& world, std::uint32_t sidecar);
    ~DiscoveryServer();
    tcp::endpoint address() const { return address_; }
    /// Takes no new connection; what is open goes on until the server goes.
    void retire();

  private:
    class Connection;
    void accept();

    EventLoop& loop_;
    World& world_;
    std::uint32_t sidecar_;
    tcp::acceptor acceptor_;
    tcp::endpoint address_;
    std::set<std::shared_ptr<Connection>> open_;
};

/// Connections of a caller to one sidecar, kept between requests.
class CallerPool {
  public:
    using Done = std::function<void(CallAnswer&&)>;
    explicit CallerPool(EventLoop& loop) : loop_(loop) {}
    ~CallerPool();
    /// Where the sidecar is; connections to another place are forgotten.
    void point_at(const tcp::endpoint& where);
    /// Sends one request; `done` is called once, later, unless the call is hung up.
    void call(std::uint64_t number, http::request<http::string_body> request, Done done);
    void hang_up(std::uint64_t number);

  private:
    class Connection;
    std::shared_ptr<Connection> connect();

    EventLoop& loop_;
    tcp::endpoint where_;
    std::vector<std::shared_ptr<Connection>> idle_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> busy_;
};

/// The list as discovery writes it.
std::string to_json(const ListAnswer& list);

}  // namespace martenford::emulator
