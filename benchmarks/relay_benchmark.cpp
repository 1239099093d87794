// What the sidecar costs on sockets: requests a second and latency through it, against a bare relay of the
// same library and against no relay at all, in one run. Closed loop: each connection sends its next request
// once it has the answer to the last. The endpoint answers at once; it and the bare relay have a thread each,
// the sidecar is a process.
#include <benchmark/benchmark.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fleet.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using martenford::benchmarks::Endpoint;
using martenford::benchmarks::Server;
using martenford::benchmarks::Sidecar;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Passes each request on over one connection of its own, and the answer back. Knows nothing else.
class BareRelay : public std::enable_shared_from_this<BareRelay> {
  public:
    BareRelay(tcp::socket socket, const tcp::endpoint& to)
        : front_(std::move(socket)), back_(front_.get_executor()) {
        front_.set_option(tcp::no_delay(true));
        back_.connect(to);
        back_.set_option(tcp::no_delay(true));
    }
    void serve() {
        request_ = {};
        http::async_read(
            front_, front_buffer_, request_, [self = shared_from_this()](error_code error, std::size_t) {
                if (error) return;
                http::async_write(self->back_, self->request_, [self](error_code written, std::size_t) {
                    if (written) return;
                    self->answer_ = {};
                    http::async_read(self->back_, self->back_buffer_, self->answer_,
                                     [self](error_code read, std::size_t) {
                                         if (read) return;
                                         http::async_write(self->front_, self->answer_,
                                                           [self](error_code fault, std::size_t) {
                                                               if (!fault) self->serve();
                                                           });
                                     });
                });
            });
    }

  private:
    tcp::socket front_, back_;
    boost::beast::flat_buffer front_buffer_, back_buffer_;
    Request request_;
    Response answer_;
};

/// One connection that asks again and again.
class Client {
  public:
    Client(asio::io_context& io, const tcp::endpoint& to) : socket_(io) {
        socket_.connect(to);
        socket_.set_option(tcp::no_delay(true));
    }
    void ask(std::string id) {
        request_ = Request{http::verb::get, "/look/7f3a9c21e0b4d655", 11};
        request_.set(http::field::host, "service.internal");
        request_.set("X-Request-ID", id);
        request_.set("X-Priority-Class", "look");
        request_.set("X-Timeout-Ms", "2000");
        request_.prepare_payload();
        answer_ = {};
        http::async_write(socket_, request_, [this](error_code written, std::size_t) {
            if (written) return fail();
            http::async_read(socket_, buffer_, answer_, [this](error_code read, std::size_t) {
                if (read || answer_.result_int() != 200) return fail();
                ++served;
            });
        });
    }
    std::uint64_t served = 0, failed = 0;

  private:
    void fail() { ++failed; }
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    Request request_;
    Response answer_;
};

struct Fleet {
    Server endpoint{[](tcp::socket socket) { return std::make_shared<Endpoint>(std::move(socket)); }};
    Server bare{[this](tcp::socket socket) {
        return std::make_shared<BareRelay>(std::move(socket), endpoint.address());
    }};
    Sidecar sidecar{endpoint.address()};
    /// One of eight members of a fleet; the others carry no request.
    std::vector<std::unique_ptr<Sidecar>> members;
    Sidecar& member() {
        for (int i = 0; i < 8 && members.size() < 8; ++i) {
            const std::string host = "127.40.0." + std::to_string(i + 1);
            members.push_back(std::make_unique<Sidecar>(
                endpoint.address(), "[fleet]\nname = \"relay\"\nlisten = \"" + host +
                                        ":7400\"\nseeds = [\"127.40.0.1:7400\", \"127.40.0.2:7400\"]\n"));
        }
        return *members[0];
    }
};

Fleet& fleet() {
    static Fleet all;
    return all;
}

/// A round: each connection asks once and all have their answers.
void rounds(benchmark::State& state, const tcp::endpoint& to) {
    asio::io_context io(1);
    std::vector<std::unique_ptr<Client>> clients;
    for (std::int64_t i = 0; i < state.range(0); ++i) clients.push_back(std::make_unique<Client>(io, to));
    static std::uint64_t last = 0;
    std::uint64_t failed = 0;
    for (auto _ : state) {
        for (auto& client : clients) client->ask("r" + std::to_string(++last));
        io.restart();
        io.run();
    }
    for (auto& client : clients) failed += client->failed;
    state.SetItemsProcessed(state.iterations() * state.range(0));
    state.counters["failed"] = static_cast<double>(failed);
}

void direct(benchmark::State& state) {
    rounds(state, fleet().endpoint.address());
}
void bare_relay(benchmark::State& state) {
    rounds(state, fleet().bare.address());
}
void sidecar(benchmark::State& state) {
    rounds(state, fleet().sidecar.address());
}
void sidecar_of_a_fleet(benchmark::State& state) {
    rounds(state, fleet().member().address());
}
BENCHMARK(direct)->Arg(1)->Arg(32)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(bare_relay)->Arg(1)->Arg(32)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(sidecar)->Arg(1)->Arg(32)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(sidecar_of_a_fleet)->Arg(1)->Arg(32)->UseRealTime()->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
