// Throughput of long answers through the sidecar, against a bare relay of bytes and against no relay at all,
// in one run. Each connection asks for a body of so many MB and reads it to its end; all at once, each a
// thread of its own. The endpoint and the bare relay have a thread each, the sidecar is a process.
#include <benchmark/benchmark.h>

#include <array>
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/span_body.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace {

namespace http = boost::beast::http;
using namespace martenford::benchmarks;

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kChunk = 32 * 1024;  // a relay's or reader's buffer, as the sidecar's pipe has it

/// Answers with as many MB as the last part of the path says.
class LongEndpoint : public std::enable_shared_from_this<LongEndpoint> {
  public:
    explicit LongEndpoint(tcp::socket socket) : socket_(std::move(socket)) {
        socket_.set_option(tcp::no_delay(true));
    }
    void serve() {
        request_ = {};
        http::async_read(socket_, buffer_, request_,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (!error) self->answer();
                         });
    }

  private:
    void answer() {
        static std::vector<char> body(32 * kMegabyte, 'b');
        const std::string target(request_.target());
        const auto size =
            static_cast<std::size_t>(std::stoul(target.substr(target.rfind('/') + 1))) * kMegabyte;
        answer_ = http::response<http::span_body<char>>{http::status::ok, 11};
        answer_.body() = {body.data(), size};
        answer_.prepare_payload();
        http::async_write(socket_, answer_, [self = shared_from_this()](error_code error, std::size_t) {
            if (!error) self->serve();
        });
    }
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    http::request<http::empty_body> request_;
    http::response<http::span_body<char>> answer_;
};

/// Passes bytes on in both directions, and knows nothing of them.
class ByteRelay : public std::enable_shared_from_this<ByteRelay> {
  public:
    ByteRelay(tcp::socket socket, const tcp::endpoint& to)
        : front_(std::move(socket)), back_(front_.get_executor()) {
        back_.connect(to);
        front_.set_option(tcp::no_delay(true));
        back_.set_option(tcp::no_delay(true));
    }
    void serve() {
        pump(front_, back_, up_);
        pump(back_, front_, down_);
    }

  private:
    using Chunk = std::array<char, kChunk>;
    void pump(tcp::socket& from, tcp::socket& to, Chunk& chunk) {
        from.async_read_some(asio::buffer(chunk), [self = shared_from_this(), &from, &to, &chunk](
                                                      error_code error, std::size_t size) {
            if (error) return self->close();
            asio::async_write(to, asio::buffer(chunk, size),
                              [self, &from, &to, &chunk](error_code fault, std::size_t) {
                                  if (fault) return self->close();
                                  self->pump(from, to, chunk);
                              });
        });
    }
    void close() {
        error_code ignored;
        front_.close(ignored);
        back_.close(ignored);
    }
    tcp::socket front_, back_;
    Chunk up_{}, down_{};
};

/// Reads a body of so many MB to its end; false: it failed or was not whole.
bool fetch(const tcp::endpoint& from, const std::string& id, std::size_t megabytes) {
    asio::io_context io(1);
    tcp::socket socket(io);
    error_code error;
    socket.connect(from, error);
    http::request<http::empty_body> request{http::verb::get, "/look/" + std::to_string(megabytes), 11};
    request.set(http::field::host, "service.internal");
    request.set("X-Request-ID", id);
    request.set("X-Priority-Class", "look");
    request.set("X-Timeout-Ms", "2000");
    http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(64 * kMegabyte);
    http::read_header(socket, buffer, parser, error);
    std::size_t got = 0;
    std::vector<char> chunk(kChunk);
    while (!error && !parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        http::read(socket, buffer, parser, error);
        if (error == http::error::need_buffer) error = {};
        got += chunk.size() - parser.get().body().size;
    }
    return !error && parser.get().result_int() == 200 && got == megabytes * kMegabyte;
}

struct Fleet {
    Server endpoint{[](tcp::socket socket) { return std::make_shared<LongEndpoint>(std::move(socket)); }};
    Server bare{[this](tcp::socket socket) {
        return std::make_shared<ByteRelay>(std::move(socket), endpoint.address());
    }};
    Sidecar sidecar{endpoint.address()};
};

Fleet& fleet() {
    static Fleet all;
    return all;
}

/// `range(0)`: MB a body; `range(1)`: at once.
void bodies(benchmark::State& state, const tcp::endpoint& from) {
    const auto megabytes = static_cast<std::size_t>(state.range(0));
    static std::atomic<std::uint64_t> last{0};
    std::atomic<std::uint64_t> failed{0};
    for (auto _ : state) {
        std::vector<std::thread> readers;
        for (std::int64_t i = 0; i < state.range(1); ++i) {
            readers.emplace_back([&] {
                if (!fetch(from, "r" + std::to_string(++last), megabytes)) ++failed;
            });
        }
        for (std::thread& reader : readers) reader.join();
    }
    state.SetBytesProcessed(state.iterations() * state.range(1) * state.range(0) *
                            static_cast<std::int64_t>(kMegabyte));
    state.counters["failed"] = static_cast<double>(failed);
}

void direct(benchmark::State& state) {
    bodies(state, fleet().endpoint.address());
}
void bare_relay(benchmark::State& state) {
    bodies(state, fleet().bare.address());
}
void sidecar(benchmark::State& state) {
    bodies(state, fleet().sidecar.address());
}
void sizes(benchmark::internal::Benchmark* each) {
    each->Args({1, 1})->Args({1, 32})->Args({32, 1})->Args({32, 32})->UseRealTime()->Unit(
        benchmark::kMillisecond);
}
BENCHMARK(direct)->Apply(sizes);
BENCHMARK(bare_relay)->Apply(sizes);
BENCHMARK(sidecar)->Apply(sizes);

}  // namespace

BENCHMARK_MAIN();
