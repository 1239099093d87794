// What the journal costs, in one run: requests a second and added latency on sockets at each level; a batch
// in SQLite against a plain log of records with the same sync; looking up; archives; recovery.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet.h"
#include "ledger/archive.h"
#include "ledger/frame.h"
#include "ledger/journal_database.h"
#include "ledger/story.pb.h"

namespace {

namespace http = boost::beast::http;
using namespace martenford::ledger;
using martenford::benchmarks::Endpoint;
using martenford::benchmarks::error_code;
using martenford::benchmarks::tcp;
namespace asio = boost::asio;
using Steady = std::chrono::steady_clock;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Under the folder that MARTENFORD_LEDGER_DIR names, or the current one: a folder in memory syncs nothing.
class Directory {
  public:
    Directory() {
        const char* named = std::getenv("MARTENFORD_LEDGER_DIR");
        std::string path = std::string(named ? named : ".") + "/ledger-benchmark-XXXXXX";
        if (!mkdtemp(path.data())) std::exit(1);
        path_ = std::filesystem::canonical(path);
    }
    ~Directory() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

// ---- on sockets -------------------------------------------------------------------------------------

struct Results {
    std::uint64_t last = 0, failed = 0;
    std::vector<double> microseconds;
};

/// One connection that asks again and again, without a pause, until the end.
class Client {
  public:
    Client(asio::io_context& io, const tcp::endpoint& to, Results& results, Steady::time_point end)
        : socket_(io), results_(results), end_(end) {
        socket_.connect(to);
        socket_.set_option(tcp::no_delay(true));
    }
    void ask() {
        began_ = Steady::now();
        if (began_ >= end_) return;
        request_ = Request{http::verb::post, "/debit/7f3a9c21e0b4d655", 11, "pay 12"};
        request_.set(http::field::host, "service.internal");
        request_.set("X-Request-ID", "b" + std::to_string(++results_.last) + "-9b1f03aa5c7e2d41");
        request_.set("X-Priority-Class", "debit");
        request_.set("X-Timeout-Ms", "2000");
        request_.prepare_payload();
        answer_ = {};
        http::async_write(socket_, request_, [this](error_code written, std::size_t) {
            if (written) return void(++results_.failed);
            http::async_read(socket_, buffer_, answer_, [this](error_code read, std::size_t) {
                if (read) return void(++results_.failed);
                if (answer_.result_int() != 200) ++results_.failed;
                results_.microseconds.push_back(
                    std::chrono::duration<double, std::micro>(Steady::now() - began_).count());
                ask();
            });
        });
    }

  private:
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    Request request_;
    Response answer_;
    Results& results_;
    Steady::time_point end_, began_;
};

void on_sockets(benchmark::State& state, const std::string& level) {
    Directory directory;
    martenford::benchmarks::Server endpoint(
        [](tcp::socket socket) { return std::make_shared<Endpoint>(std::move(socket)); });
    const martenford::benchmarks::Sidecar sidecar(
        endpoint.address(), level == "off"         ? ""
                            : level == "telemetry" ? "[telemetry]\n"
                                                   : "[ledger]\ndirectory = \"" + directory.path() +
                                                         "\"\nlevel = \"" + level + "\"\n");
    Results results;
    double seconds = 0;
    for (auto _ : state) {
        asio::io_context io(1);
        std::vector<std::unique_ptr<Client>> clients;
        const auto begin = Steady::now();
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            clients.push_back(
                std::make_unique<Client>(io, sidecar.address(), results, begin + std::chrono::seconds(3)));
            clients.back()->ask();
        }
        io.run();
        seconds += std::chrono::duration<double>(Steady::now() - begin).count();
    }
    auto& all = results.microseconds;
    std::sort(all.begin(), all.end());
    const auto at = [&](double share) {
        return all.empty() ? 0.0 : all[static_cast<std::size_t>(share * static_cast<double>(all.size() - 1))];
    };
    state.counters["per_s"] = static_cast<double>(all.size()) / seconds;
    state.counters["p50_us"] = at(0.5);
    state.counters["p99_us"] = at(0.99);
    state.counters["failed"] = static_cast<double>(results.failed);
}
void levels(benchmark::internal::Benchmark* each) {
    each->Arg(1)->Arg(16)->Arg(256)->Iterations(1)->UseRealTime()->Unit(benchmark::kMillisecond);
}
BENCHMARK_CAPTURE(on_sockets, off, "off")->Apply(levels);
BENCHMARK_CAPTURE(on_sockets, async, "async")->Apply(levels);
BENCHMARK_CAPTURE(on_sockets, group, "group")->Apply(levels);
BENCHMARK_CAPTURE(on_sockets, sync, "sync")->Apply(levels);
// No journal, and the stories of all requests told: what finding a cause costs, beside `off` above.
BENCHMARK_CAPTURE(on_sockets, telemetry, "telemetry")->Apply(levels);

// ---- a batch made durable -----------------------------------------------------------------------------

std::vector<Record> batch_of(std::uint64_t from, std::int64_t requests, bool ended) {
    std::vector<Record> records;
    for (std::uint64_t s = from; s < from + static_cast<std::uint64_t>(requests); ++s) {
        const auto at = static_cast<std::int64_t>(1'764'000'000'000 + s * 10);
        const auto add = [&](decltype(Record::payload) what) {
            records.push_back({s * 4 + records.size() % 4, s, at, at * 1'000'000, false, std::move(what)});
        };
        // Ids as clients draw them: without an order, so that an index is met at a different place each time.
        add(Intent{0, std::to_string(s * 0x9e3779b97f4a7c15u) + "-r", "balance-debit", "",
                   std::string(16, 'd'), "s-5be2a07c", "10.1.0.18:8443"});
        if (!ended) continue;
        add(Ended{0, Ending::Served});
        add(Answered{FinalAnswer::Served});
    }
    return records;
}
constexpr Hello kHello{kLinkVersion, 7, {}, 1};

void batch_in_sqlite(benchmark::State& state) {
    Directory directory;
    JournalDatabase database(directory.path(), true);
    const auto boot = database.register_boot(kHello);
    std::uint64_t next = 1;
    for (auto _ : state) {
        database.write(boot, batch_of(next, state.range(0), true));
        next += static_cast<std::uint64_t>(state.range(0));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
void batch_in_plain_log(benchmark::State& state) {
    Directory directory;
    const int file = ::open((directory.path() + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    std::uint64_t next = 1;
    for (auto _ : state) {
        std::string bytes;
        for (const Record& record : batch_of(next, state.range(0), true)) bytes += frame_of(ToWriter{record});
        if (::write(file, bytes.data(), bytes.size()) < 0 || ::fdatasync(file) != 0)
            state.SkipWithError("disk");
        next += static_cast<std::uint64_t>(state.range(0));
    }
    ::close(file);
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(batch_in_sqlite)
    ->Arg(1)
    ->Arg(16)
    ->Arg(256)
    ->Arg(1024)
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(batch_in_plain_log)
    ->Arg(1)
    ->Arg(16)
    ->Arg(256)
    ->Arg(1024)
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond);

// ---- a large file -------------------------------------------------------------------------------------

/// A file of so many settled requests, made once a run.
const Directory& filled(std::int64_t requests, bool ended) {
    static std::map<std::pair<std::int64_t, bool>, std::unique_ptr<Directory>> made;
    auto& directory = made[{requests, ended}];
    if (directory) return *directory;
    directory = std::make_unique<Directory>();
    JournalDatabase database(directory->path(), true);
    database.database().execute("PRAGMA synchronous=OFF; PRAGMA cache_size=-1000000");
    const auto boot = database.register_boot(kHello);
    constexpr std::int64_t kStep = 20'000;
    for (std::int64_t at = 0; at < requests; at += kStep) {
        database.write(boot,
                       batch_of(static_cast<std::uint64_t>(at) + 1, std::min(kStep, requests - at), ended));
    }
    return *directory;
}

/// As the command does it: the file is opened for each question.
void find_by_id(benchmark::State& state) {
    const Directory& directory = filled(state.range(0), true);
    std::uint64_t next = 1;
    for (auto _ : state) {
        JournalDatabase database(directory.path(), false);
        next = (next * 6364136223846793005u + 1) % static_cast<std::uint64_t>(state.range(0)) + 1;
        int found = 0;
        database.by_id(std::to_string(next * 0x9e3779b97f4a7c15u) + "-r",
                       [&](const Entry&) { return ++found > 0; });
        if (found != 1) state.SkipWithError("not found");
    }
    state.counters["bytes_each"] =
        static_cast<double>(std::filesystem::file_size(directory.path() + "/ledger.db")) /
        static_cast<double>(state.range(0));
}
BENCHMARK(find_by_id)->Arg(100'000)->Arg(1'000'000)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(find_by_id)->Arg(10'000'000)->UseRealTime()->Unit(benchmark::kMicrosecond);

void recovery(benchmark::State& state) {
    for (auto _ : state) {
        state.PauseTiming();
        Directory directory;
        {
            JournalDatabase database(directory.path(), true);
            database.database().execute("PRAGMA synchronous=OFF");
            const auto boot = database.register_boot(kHello);
            for (std::int64_t at = 0; at < state.range(0); at += 20'000)
                database.write(boot, batch_of(static_cast<std::uint64_t>(at) + 1, 20'000, false));
        }
        state.ResumeTiming();
        JournalDatabase database(directory.path(), true);
        const auto boot = database.register_boot({kLinkVersion, 8, "n0", 2});
        while (!database.conclude_earlier_boots(boot, 3, 2000)) {
        }
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(recovery)->Arg(1'000'000)->Iterations(1)->UseRealTime()->Unit(benchmark::kMillisecond);

/// 200,000 requests in 40 archives, then names that are in one of them or in none.
void find_in_archives(benchmark::State& state) {
    static const auto directory = [] {
        auto made = std::make_unique<Directory>();
        JournalDatabase database(made->path(), true);
        database.database().execute("PRAGMA synchronous=OFF");
        const auto boot = database.register_boot(kHello);
        for (std::uint64_t at = 0; at < 200'000; at += 20'000)
            database.write(boot, batch_of(at + 1, 20'000, true));
        const auto next = database.register_boot({kLinkVersion, 8, "n0", 2});
        while (!database.conclude_earlier_boots(next, 3, 20'000)) {
        }
        Archives archives(made->path());
        while (archives.move_settled(database, std::numeric_limits<std::int64_t>::max(), 1) > 0) {
        }
        return made;
    }();
    Archives archives(directory->path());
    std::uint64_t next = 1;
    for (auto _ : state) {
        next = (next * 6364136223846793005u + 1) % 200'000 + 1;
        const std::string name =
            std::to_string(next * 0x9e3779b97f4a7c15u) + (state.range(0) ? "-r" : "-none");
        int found = 0;
        archives.by_id_or_key(name, false, [&](const story::Story&) { return ++found > 0; });
        if (found != state.range(0)) state.SkipWithError("found wrongly");
    }
    const auto totals = archives.totals();
    state.counters["archives"] = static_cast<double>(totals.archives);
    state.counters["read_each"] =
        static_cast<double>(archives.archives_read()) / static_cast<double>(state.iterations());
    state.counters["raw_to_packed"] =
        static_cast<double>(totals.raw_bytes) / static_cast<double>(totals.bytes);
    state.counters["packed_each"] = static_cast<double>(totals.bytes) / static_cast<double>(totals.requests);
}
BENCHMARK(find_in_archives)->ArgName("there")->Arg(1)->Arg(0)->UseRealTime()->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
