// What benchmarks of the sidecar on sockets share: a listener with a thread of its own, and a sidecar before
// it.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "core/loop.h"
#include "emulator/sidecar_process.h"

namespace martenford::benchmarks {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

inline const tcp::endpoint kAnyPort{asio::ip::address_v4::loopback(), 0};

/// Answers each request at once.
class Endpoint : public std::enable_shared_from_this<Endpoint> {
  public:
    explicit Endpoint(tcp::socket socket) : socket_(std::move(socket)) {
        socket_.set_option(tcp::no_delay(true));
    }
    void serve() {
        request_ = {};
        http::async_read(
            socket_, buffer_, request_, [self = shared_from_this()](error_code error, std::size_t) {
                if (error) return;
                self->answer_ = http::response<http::string_body>{http::status::ok, 11, "served"};
                self->answer_.prepare_payload();
                http::async_write(self->socket_, self->answer_, [self](error_code fault, std::size_t) {
                    if (!fault) self->serve();
                });
            });
    }

  private:
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> answer_;
};

/// A listener with a thread of its own.
class Server {
  public:
    template <typename Make>
    explicit Server(Make make) : acceptor_(io_, kAnyPort) {
        address_ = acceptor_.local_endpoint();
        accept(make);
        thread_ = std::thread([this] { io_.run(); });
    }
    ~Server() {
        io_.stop();
        thread_.join();
    }
    const tcp::endpoint& address() const { return address_; }

  private:
    template <typename Make>
    void accept(Make make) {
        acceptor_.async_accept([this, make](error_code error, tcp::socket socket) {
            if (error) return;
            make(std::move(socket))->serve();
            accept(make);
        });
    }
    asio::io_context io_{1};
    tcp::acceptor acceptor_;
    tcp::endpoint address_;
    std::thread thread_;
};

/// The sidecar, with its log read by a thread that runs the loop.
class Sidecar {
  public:
    /// `own`: the text of its own configuration file; empty: it has none.
    explicit Sidecar(const tcp::endpoint& endpoint, const std::string& own = "") {
        const auto text = [](const tcp::endpoint& e) {
            return e.address().to_string() + ":" + std::to_string(e.port());
        };
        const std::string config =
            R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",)"
            R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[)"
            R"({"uid":"s-1","endpoint":")" +
            text(endpoint) +
            R"(","az":"a","model":"m","pod_group":0,"state":"Ready","boot_ms":0}]},)"
            R"("settings":{"replicas_of_me":1,"position":0,"zone":0,"dcs":["a"],"kinds":["m"],"tiers":["t"],"layer":0,)"
            R"("tick":5000000,"discovery":"subscribe","weights":"none","accounts":[],"classes":[{"name":"look",)"
            R"("credit":1,"slo":1000000000,"deadline":2000000000,"effect":"free"},{"name":"debit",)"
            R"("credit":1,"slo":1000000000,"deadline":2000000000,"effect":"single_shot"}],"limits":{"try_limit":3,)"
            R"("dial_timeout":120000000,"conn_idle":30000000000},"invariants":{"answer_slack":20000000,)"
            R"("ask_every":1000000000000,"cold_from":0.3,"fall_multiple":3.0,"ramp_time":5000000000,)"
            R"("stop_sending_within":1000000000,"tip_after":1000000000}}})";
        process_ = martenford::emulator::SidecarProcess::start(
            loop_, MARTENFORD, "/tmp",
            "martenford-relay-" + std::to_string(getpid()) + "-" + std::to_string(++started), config, own,
            {});
        while (process_->address().port() == 0) {
            loop_.io().run_one_for(std::chrono::milliseconds(100));
            if (process_->ended()) std::exit(1);
        }
    }
    const tcp::endpoint& address() const { return process_->address(); }
    pid_t pid() const { return process_->pid(); }

  private:
    inline static int started = 0;
    martenford::EventLoop loop_;
    std::shared_ptr<martenford::emulator::SidecarProcess> process_;
};

}  // namespace martenford::benchmarks
