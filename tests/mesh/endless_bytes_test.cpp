// Peers that send bytes without end, to real proxies and a real controller: none ends a process or takes the
// memory of its machine, and other clients of the same machines are served.
#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "mesh/rig/control_calls.h"
#include "mesh/rig/endless_endpoint.h"
#include "mesh/rig/memory_use.h"
#include "mesh/rig/proxy_fleet.h"
#include "mesh/rig/started_program.h"
#include "mesh_config/mesh_config.h"

using namespace martenford;
using namespace martenford::rig;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
/// `memory_mb` of the platform's machines, the smaller of the two kinds. The sanitizer's own memory is not
/// the program's.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kMemoryLimit = 2 * 256 * kMegabyte;
#else
constexpr std::size_t kMemoryLimit = 256 * kMegabyte;
#endif
constexpr std::size_t kProxies = 3;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr Duration kSampleInterval = 50ms;
constexpr Duration kPlay = 1s;

std::string config_text(unsigned version) {
    return R"({"version":")" + mesh_config::text_of(version) + R"(","base_version":")" +
           mesh_config::text_of(version - 1) +
           R"(","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"listeners":[{"host":"h.example","rule_set":[{"name":"read",)"
           R"("route_kind":"download","target_latency_ms":1000,"priority":1,"matcher":{"path_prefix":"/r/"},)"
           R"("route_action":{"service":"vault","timeout_ms":10000,"max_attempts":2}}]}],)"
           R"("clusters":[{"name":"vault"}]})";
}

std::string heartbeat_with_slots(const std::string& address, int call_seq) {
    return R"({"address":")" + address + R"(","node_info":{"service":"vault","version":"v1","zone":"z",)" +
           R"("slots":400},"status":{"state":"ready","call_seq":)" + std::to_string(call_seq) +
           R"(,"cold_left_ms":0}})";
}

std::string repeated(const std::string& text) {
    std::string piece;
    while (piece.size() < kPieceBytes) piece += text;
    return piece;
}

std::string chunk() {
    return "1000\r\n" + std::string(4096, 'x') + "\r\n";
}

using SharedSocket = std::shared_ptr<asio::ip::tcp::socket>;

/// Sends a piece again and again, until the connection ends.
void send_without_end(const SharedSocket& socket, const std::shared_ptr<const std::string>& piece) {
    asio::async_write(*socket, asio::buffer(*piece), [socket, piece](const error_code& error, std::size_t) {
        if (!error) send_without_end(socket, piece);
    });
}

/// A client that reads what comes, slowly or as it comes, until the connection ends.
class Reader {
  public:
    Reader(EventLoop& loop, const std::string& to, const std::string& request, Duration pause)
        : socket_(loop.io()), pause_timer_(loop), loop_(loop), pause_(pause) {
        socket_.connect(*parse_address(to));
        asio::write(socket_, asio::buffer(request));
        read();
    }
    /// The beginning of what came.
    [[nodiscard]] const std::string& beginning() const { return beginning_; }
    [[nodiscard]] bool has_ended() const { return has_ended_; }

  private:
    static constexpr std::size_t kBeginningBytes = 64;
    void read() {
        socket_.async_read_some(asio::buffer(buffer_), [this](const error_code& error, std::size_t size) {
            if (error == asio::error::operation_aborted) return;  // `this` may be destroyed
            const std::size_t room = kBeginningBytes - beginning_.size();
            beginning_.append(buffer_.data(), std::min(size, room));
            has_ended_ = error.failed();
            if (has_ended_) return;
            if (pause_ == Duration{}) return read();
            pause_timer_.set(loop_.now() + pause_, [this] { read(); });
        });
    }

    asio::ip::tcp::socket socket_;
    Timer pause_timer_;
    EventLoop& loop_;
    const Duration pause_;
    std::array<char, 4096> buffer_{};
    std::string beginning_;
    bool has_ended_ = false;
};

/// A kind of framing.
struct Form {
    const char* name;
    std::string fields, after_head, piece;
};

/// A fleet whose endpoints answer some requests without end.
class EndlessWorld {
  public:
    EndlessWorld()
        : fleet_(
              {kProxies, "vault", config_text, [this](std::size_t i) {
                   return Heartbeat{"i", heartbeat_with_slots(fleet_.address(i, Port::App), ++heartbeats_)};
               }}) {
        limit_sanitizer_memory();
        for (std::size_t i = 0; i < kProxies; ++i) {
            endpoints_.push_back(
                std::make_unique<EndlessEndpoint>(fleet_.loop(), fleet_.address(i, Port::App),
                                                  [this](const std::string& id) { return answer_of_(id); }));
        }
        fleet_.start();
        fleet_.wait_for("each proxy to serve", [this] { return serves_everywhere(); });
    }

    ProxyFleet& fleet() { return fleet_; }
    EndlessEndpoint& endpoint(std::size_t i) { return *endpoints_[i]; }

    void set_answers(EndlessEndpoint::AnswerOf answer_of) { answer_of_ = std::move(answer_of); }
    /// Opens connections, to all proxies in turn, that ask for endless answers.
    void start_readers(std::size_t count, Duration pause) {
        for (std::size_t i = 0; i < count; ++i) {
            readers_.emplace_back(fleet_.loop(), fleet_.address(i % kProxies, Port::Outbound),
                                  request(EndlessEndpoint::kFaultyPath, 8000ms), pause);
        }
    }
    /// Opens connections, to all proxies in turn, whose requests have a body of this form.
    void start_senders(std::vector<SharedSocket>& clients, std::size_t count, const std::string& fields,
                       const Form& form) {
        for (std::size_t i = 0; i < count; ++i) {
            const auto client =
                clients.emplace_back(std::make_shared<asio::ip::tcp::socket>(fleet_.loop().io()));
            client->connect(*parse_address(fleet_.address(i % kProxies, Port::Outbound)));
            std::string head = request("/r/sound", 8000ms);
            head.insert(head.size() - 2, fields);
            asio::write(*client, asio::buffer(head + form.after_head));
            send_without_end(client, std::make_shared<const std::string>(form.piece));
        }
    }
    /// Of all proxies, since their starts.
    [[nodiscard]] Duration fleet_processor_time() const {
        Duration time{};
        for (const pid_t process : fleet_.proxy_pids()) time += processor_time(process);
        return time;
    }
    void stop_readers() { readers_.clear(); }
    /// Lets time pass; other clients ask each proxy for sound answers meanwhile.
    void play(Duration span) {
        for (Duration passed{}; passed < span; passed += kSampleInterval) {
            for (std::size_t i = 0; i < kProxies; ++i) ask(i);
            fleet_.run_for(kSampleInterval);
            std::size_t unread = 0;
            for (const pid_t process : fleet_.proxy_pids()) {
                memory_.sample(process);
                unread += unread_bytes(process);
            }
            peak_unread_ = std::max(peak_unread_, unread);
        }
    }
    [[nodiscard]] std::size_t peak_memory() const { return memory_.highest(); }
    /// Of all proxies together.
    [[nodiscard]] std::size_t peak_unread() const { return peak_unread_; }
    [[nodiscard]] const std::list<Reader>& readers() const { return readers_; }
    [[nodiscard]] std::size_t asked() const { return asked_; }
    [[nodiscard]] std::size_t served() const { return served_; }
    /// Runs until the readers have got what this tells.
    void wait_for_readers(const std::function<bool(const Reader&)>& condition) {
        fleet_.wait_for("answers", [&] { return std::all_of(readers_.begin(), readers_.end(), condition); });
    }
    /// What must hold whatever was sent.
    void check() {
        fleet_.wait_for("sound answers", [this] { return connections_.empty(); });
        CAPTURE(peak_memory() / kMegabyte);
        CAPTURE(asked());
        CAPTURE(served());
        CHECK_FALSE(fleet_.has_unexpected_exit());
        CHECK(peak_memory() < kMemoryLimit);
        CHECK(served() >= asked() * 9 / 10);
        CHECK(wrong_ == 0);
    }

  private:
    std::string request(const std::string& path, Duration time_remaining) {
        const auto time_ms = std::chrono::duration_cast<std::chrono::milliseconds>(time_remaining).count();
        return request_text("GET", path, "h.example",
                            "Attempt-Id: a-" + std::to_string(++last_id_) +
                                "\r\nTime-Remaining: " + std::to_string(time_ms) + "\r\n");
    }
    void ask(std::size_t proxy) {
        const auto connection =
            connections_.emplace(connections_.end(), fleet_.loop(), fleet_.address(proxy, Port::Outbound));
        ++asked_;
        connection->send(request("/r/sound", 1500ms), 2s, [this, connection](Response&& response) {
            served_ += response.status == 200 ? 1 : 0;
            wrong_ += response.status == 200 && response.body != "whole" ? 1 : 0;
            connections_.erase(connection);
        });
    }
    bool serves_everywhere() {
        for (std::size_t i = 0; i < kProxies; ++i) ask(i);
        fleet_.run_for(100ms);
        const bool all_served = served_ >= kProxies && served_ == asked_;
        asked_ = served_ = 0;
        return all_served;
    }

    ProxyFleet fleet_;
    int heartbeats_ = 0;
    std::vector<std::unique_ptr<EndlessEndpoint>> endpoints_;
    std::list<Connection> connections_;
    std::list<Reader> readers_;
    EndlessEndpoint::AnswerOf answer_of_;
    MemoryPeaks memory_;
    std::size_t peak_unread_ = 0;
    std::uint64_t last_id_ = 0;
    std::size_t asked_ = 0, served_ = 0, wrong_ = 0;
};

const std::string kChunked = "Transfer-Encoding: chunked\r\n";

/// Pieces of a body's framing that a parser can make nothing of before they end.
std::vector<Form> unparsed_forms(const std::string& body_before) {
    return {{"digits of a chunk's size", kChunked, body_before, repeated("0")},
            {"a chunk extension", kChunked, body_before + "10;", repeated("e")},
            {"a trailer field's value", kChunked, body_before + "0\r\nT: ", repeated("t")},
            {"trailer fields", kChunked, body_before + "0\r\n", repeated("T: t\r\n")}};
}

/// @param pause before what has no end
EndlessEndpoint::AnswerOf answers_of(const Form& form, Duration pause = {}) {
    return [form, pause](const std::string& id) {
        return EndlessAnswer{sound_head(id, form.fields) + form.after_head, form.piece, pause};
    };
}

}  // namespace

// Guards against a process that ends, or keeps what it cannot parse: an answer whose framing has no end.
TEST_CASE("endless bytes: framing without end in an answer that is not passed on yet is no answer") {
    EndlessWorld world;
    for (const Form& form : unparsed_forms("3\r\nabc\r\n")) {
        CAPTURE(std::string(form.name));
        world.set_answers(answers_of(form));
        world.stop_readers();
        world.start_readers(12, Duration{});
        world.play(kPlay);
        world.wait_for_readers([](const Reader& reader) { return !reader.beginning().empty(); });
        world.check();
        for (const Reader& reader : world.readers()) {
            CHECK(reader.beginning().starts_with("HTTP/1.1 502"));
        }
    }
}

// Guards against a client that waits for ever, and a proxy that spins, once a part of the answer was passed
// on.
TEST_CASE("endless bytes: framing without end in an answer that is being passed on cuts it") {
    std::string body_before;
    for (int i = 0; i < 40; ++i) body_before += chunk();
    EndlessWorld world;
    for (const Form& form : unparsed_forms(body_before)) {
        CAPTURE(std::string(form.name));
        world.set_answers(answers_of(form, 300ms));
        world.stop_readers();
        world.start_readers(12, Duration{});
        world.play(kPlay);
        world.wait_for_readers([](const Reader& reader) { return reader.has_ended(); });
        world.check();
        for (const Reader& reader : world.readers()) {
            CHECK(reader.beginning().starts_with("HTTP/1.1 200"));
            CHECK(reader.has_ended());
        }
    }
}

// Guards against a proxy that ends at each of its starts: it probes the endpoint beside it then.
TEST_CASE("endless bytes: a health check's answer without end is none") {
    std::vector<Form> forms = unparsed_forms("3\r\nabc\r\n");
    forms.push_back({"a body", kChunked, "", repeated(chunk())});
    EndlessWorld world;
    world.endpoint(0).fails_health_checks = true;
    for (const Form& form : forms) {
        CAPTURE(std::string(form.name));
        world.set_answers([form](const std::string&) {
            return EndlessAnswer{
                "HTTP/1.1 200 OK\r\nInstance-Id: i\r\n" + form.fields + "\r\n" + form.after_head, form.piece};
        });
        const std::uint64_t sent_before = world.endpoint(0).bytes_sent();
        world.fleet().kill(0, 100ms);
        world.fleet().run_for(1s);
        CHECK_FALSE(world.fleet().has_unexpected_exit());
        CHECK(world.endpoint(0).bytes_sent() > sent_before);
    }
}

// Guards against a slot that is held, and gigabytes that are read, for an answer that nobody waits for.
TEST_CASE("endless bytes: an answer without end to another request is given up") {
    EndlessWorld world;
    world.set_answers([](const std::string&) {
        return EndlessAnswer{sound_head("another", kChunked), repeated(chunk())};
    });
    world.start_readers(12, Duration{});
    world.play(kPlay);
    world.check();
    std::uint64_t bytes_sent = 0;
    for (std::size_t i = 0; i < kProxies; ++i) bytes_sent += world.endpoint(i).bytes_sent();
    constexpr std::uint64_t kAttempts = 2 * 12;
    constexpr std::uint64_t kMostPerAttempt = 8 * kMegabyte;  // with what the kernel's buffers take
    CHECK(bytes_sent < kAttempts * kMostPerAttempt);
}

// Guards against a proxy that spins, or waits for the end of a body, for a client whose framing has no end.
TEST_CASE("endless bytes: framing without end in a client's request is refused") {
    std::string body_before;
    for (int i = 0; i < 40; ++i) body_before += chunk();
    EndlessWorld world;
    for (const std::string& before : {std::string("3\r\nabc\r\n"), body_before}) {
        for (const Form& form : unparsed_forms(before)) {
            CAPTURE(std::string(form.name));
            std::vector<SharedSocket> clients;
            world.start_senders(clients, 6, kChunked, form);
            const auto processor_before = world.fleet_processor_time();
            world.play(kPlay);
            world.check();
            CHECK(world.fleet_processor_time() - processor_before < kPlay * kProxies / 2);
            for (const SharedSocket& client : clients) {
                std::string status(12, ' ');
                error_code error;
                client->non_blocking(true);
                client->read_some(asio::buffer(status), error);
                CHECK(status == "HTTP/1.1 400");
                client->close(error);  // ends its writes
            }
        }
    }
}

// Guards against a machine whose memory is full of what its connections have received and its clients have
// not taken.
TEST_CASE("endless bytes: what slow clients have not taken yet is bounded in the kernel as well") {
    // A quarter of the memory of a machine for a thousand connections, which its descriptors allow.
    constexpr std::size_t kUnreadPerConnection = 256 * kMegabyte / 4 / 1000;
    constexpr std::size_t kReaders = 300;
    constexpr std::size_t kConnectionsPerAnswer = 2;  // to the endpoint, and between the proxies
    EndlessWorld world;
    world.set_answers([](const std::string& id) {
        return EndlessAnswer{sound_head(id, "Content-Length: 99999999999\r\n"), repeated("b")};
    });
    world.start_readers(kReaders, 50ms);
    world.play(2 * kPlay);
    world.check();
    CAPTURE(world.peak_unread() / kMegabyte);
    CHECK(world.peak_unread() < kReaders * kConnectionsPerAnswer * kUnreadPerConnection);
}

// Guards against a controller that keeps the bodies of calls that it has rejected.
TEST_CASE("endless bytes: a controller holds calls without end within its memory, and answers others") {
    const std::string ip = Processes::ip(1);
    const Machine machine{.name = "controller", .ip = ip, .seeds = {at(ip, Port::Control)}, .top = {}};
    limit_sanitizer_memory();
    StartedProgram program(machine);
    REQUIRE(accepts_first_configuration({machine}, 20s));
    EventLoop loop;
    constexpr std::size_t kCallers = 60;
    const auto text = std::make_shared<const std::string>(repeated(chunk()));
    std::vector<SharedSocket> callers;
    while (callers.size() < kCallers) {
        const auto caller = callers.emplace_back(std::make_shared<asio::ip::tcp::socket>(loop.io()));
        caller->connect(*parse_address(at(ip, Port::Control)));
        asio::write(*caller, asio::buffer("POST /v1/configuration/replace HTTP/1.1\r\nHost: c\r\n" +
                                          kChunked + "\r\n"));
        send_without_end(caller, text);
    }
    MemoryPeaks memory;
    constexpr std::size_t kSamples = 40;
    for (std::size_t i = 0; i < kSamples; ++i) {
        loop.add(loop.now() + kSampleInterval, [&] { loop.stop(); });
        loop.resume();
        loop.run();
        memory.sample(program.pid());
    }
    const bool answers_others = answers(at(ip, Port::Control));
    CAPTURE(memory.highest() / kMegabyte);
    CHECK(program.is_running());
    CHECK(answers_others);
    // What it needs besides takes as much again.
    CHECK(memory.highest() < kMemoryLimit / 2);
}
