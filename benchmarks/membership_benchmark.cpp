// What one change of a large list costs, from discovery's bytes to the module, and what an endpoint takes in
// memory.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "assembly/features.h"
#include "config/config.h"
#include "core/engine.h"
#include "discovery/discovery.h"
#include "http1/endpoint_client.h"
#include "http1/protocol.h"
#include "standins/usual_rules.h"

namespace {

using namespace martenford;

martenford::decision::Settings settings() {
    martenford::decision::Settings s;
    martenford::decision::RequestClass look;
    look.name = "look";
    look.latency_target = 1s;
    look.deadline = 2s;
    look.idempotency = martenford::decision::Idempotency::Idempotent;
    s.classes = {look};
    s.limits.max_attempts = 3;
    s.limits.connection_idle = 30s;
    s.rules = martenford::standins::default_rules();
    s.subscribe = false;
    return s;
}

std::string entry(std::size_t number, const char* state) {
    return fmt::format(
        R"({{"uid":"s-{:08x}","endpoint":"10.{}.{}.{}:8443","az":"a","model":"m2","pod_group":{},"state":"{}",)"
        R"("capacity_hint":1.0,"boot_ms":0}})",
        number * 2654435761u % 0xffffffffu, number >> 16, (number >> 8) & 255, number & 255, number / 4,
        state);
}

std::string whole(std::size_t size) {
    std::string text = R"({"rev":1,"all":true,"targets":[)";
    for (std::size_t i = 0; i < size; ++i) text += (i ? "," : "") + entry(i, "Ready");
    return text + "]}";
}

std::string change(std::size_t revision, std::size_t number, bool ready) {
    return fmt::format(R"({{"rev":{},"all":false,"targets":[{}]}})", revision,
                       entry(number, ready ? "Ready" : "Terminating"));
}

/// The program's own parts on a loop, and a discovery that says what it is told to say.
struct Program {
    Program(std::size_t size, const Features& features)
        : listener(loop.io(), {boost::asio::ip::address_v4::loopback(), 0}), socket(loop.io()) {
        config.settings = settings();
        config.discovery = listener.local_endpoint();
        config.names = {{"a"}, {"m2"}};
        back =
            std::make_unique<Http1EndpointClient>(loop, protocol, config.settings.limits, 500, 0, counters);
        tally = std::make_unique<RequestCounters>(counters, config.settings.classes);
        engine = std::make_unique<Engine>(loop, *back, config.settings.limits,
                                          make_policy(config.settings, 7, features, counters), *tally);
        discovery = std::make_unique<Discovery>(loop, *back, *engine, config,
                                                membership_options(features, config.settings), counters);
        engine->start();
        discovery->start();
        bool here = false;
        listener.async_accept(socket, [&](const auto&) { here = true; });
        while (!here) loop.io().run_one();
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        await_call();
        say(whole(size));
        await_call();
    }
    void await_call() {
        bool here = false;
        boost::asio::async_read_until(socket, call, "\r\n\r\n", [&](const auto&, std::size_t got) {
            call.consume(got);
            here = true;
        });
        while (!here) loop.io().run_one();
    }
    void say(const std::string& body) {
        answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        boost::asio::async_write(socket, boost::asio::buffer(answer), [](const auto&, std::size_t) {});
    }
    Counters counters;
    EventLoop loop;
    Config config;
    martenford::SidecarClientProtocol protocol;
    std::unique_ptr<Http1EndpointClient> back;
    std::unique_ptr<RequestCounters> tally;
    std::unique_ptr<Engine> engine;
    std::unique_ptr<Discovery> discovery;
    boost::asio::ip::tcp::acceptor listener;
    boost::asio::ip::tcp::socket socket;
    boost::asio::streambuf call;
    std::string answer;
};

Features with_subset() {
    Features features;
    features.subset = subset::Options{};
    features.outliers = outlier::Options{};
    return features;
}

/// From discovery's write to its hearing the next watch: both ways over a socket, the list and the module.
void one_change_from_the_socket(benchmark::State& state, bool subset) {
    const auto size = static_cast<std::size_t>(state.range(0));
    Program program(size, subset ? with_subset() : Features{});
    std::size_t revision = 1;
    for (auto _ : state) {
        ++revision;
        program.say(change(revision, revision / 2 % size, revision % 2 == 1));
        program.await_call();
    }
}
BENCHMARK_CAPTURE(one_change_from_the_socket, whole_list, false)->Arg(20)->Arg(1'000)->Arg(10'000);
BENCHMARK_CAPTURE(one_change_from_the_socket, subset_of_20, true)
    ->Arg(20)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(100'000);

/// Half of the endpoints gone and as many others come, in one answer: until all of it is with the module.
void half_replaced_from_the_socket(benchmark::State& state, bool subset) {
    const auto size = static_cast<std::size_t>(state.range(0));
    Program program(size, subset ? with_subset() : Features{});
    std::size_t revision = 1, first = 0;
    for (auto _ : state) {
        state.PauseTiming();
        std::string body = fmt::format(R"({{"rev":{},"all":false,"targets":[)", ++revision);
        for (std::size_t i = 0; i < size / 2; ++i) body += entry(first + i, "Gone") + ",";
        for (std::size_t i = 0; i < size / 2; ++i) {
            body += (i ? "," : "") + entry(first + size + i, "Ready");
        }
        first += size / 2;
        state.ResumeTiming();
        program.say(body + "]}");
        program.await_call();
    }
}
BENCHMARK_CAPTURE(half_replaced_from_the_socket, whole_list, false)
    ->Arg(24)
    ->Arg(99)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(20);
BENCHMARK_CAPTURE(half_replaced_from_the_socket, subset_of_20, true)
    ->Arg(24)
    ->Arg(99)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(20);

/// Heap that a list takes, by endpoint: membership, pools and module together.
void bytes_an_endpoint(benchmark::State& state, bool subset) {
    const auto size = static_cast<std::size_t>(state.range(0));
    double bytes = 0.0;
    for (auto _ : state) {
        const auto before = mallinfo2();
        Program program(size, subset ? with_subset() : Features{});
        program.say(change(2, 0, true));  // what the whole list was read into has gone by then
        program.await_call();
        malloc_trim(0);
        const auto after = mallinfo2();
        const auto used = [](const auto& m) { return static_cast<double>(m.uordblks + m.hblkhd); };
        bytes = (used(after) - used(before)) / static_cast<double>(size);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK_CAPTURE(bytes_an_endpoint, whole_list, false)->Arg(1'000)->Arg(10'000)->Iterations(1);
BENCHMARK_CAPTURE(bytes_an_endpoint, subset_of_20, true)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
