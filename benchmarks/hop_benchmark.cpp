// What one hop of the mesh costs: direct, through a relay of bytes, through two of them, through the present
// sidecar, and through two proxies (the outbound side of one, the gate of the other) with real controllers
// behind, in one run. Saturated at 1, 32 and 256 connections, then at fixed rates, since a saturated queue
// says nothing of what a call gains. All paths end at one endpoint; each part is a process of its own, so
// that the processor time of each is known. The paths take turns within a play, so that what else the machine
// does meets all of them.
#include <fcntl.h>
#include <getopt.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <span>
#include <stdexcept>
#include <vector>

#include "core/address.h"
#include "fleet.h"

namespace {

using martenford::Address;
using martenford::parse_address;
using martenford::benchmarks::Sidecar;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr unsigned kMostSeconds = 179;   // of a whole run; then all of its processes are killed
constexpr double kWarmUp = 0.15;         // before each measurement: connections are made, pools filled
constexpr double kSaturated = 0.6;       // seconds a measurement
constexpr int kDepth = 21;               // calls in a row, of the deepest request at the target's size
constexpr double kTargetCalls = 87'000;  // a second, over kTargetSidecars
constexpr double kTargetSidecars = 2'000;
constexpr double kTargetP99 = 1300;       // us added to a call
constexpr std::size_t kPacedCalls = 64;   // connections at a fixed rate: never all in use below saturation
constexpr std::size_t kMostHead = 16384;  // bytes of an answer

std::string port(int offset) {
    return std::to_string(21840 + offset);  // below the ports that the system gives away by itself
}
const std::string kEndpointHost = "127.0.93.1", kCallerHost = "127.0.93.2";
std::string relay_at(int i) {
    return "127.0.93." + std::to_string(10 + i) + ":" + port(1);
}
std::string core_host(int i) {
    return "127.0.94." + std::to_string(i);
}

// ---- processes --------------------------------------------------------------------------------------

std::array<volatile pid_t, 16> children{};
volatile std::size_t child_count = 0;

/// Ends what this run started and nothing else: by id.
void kill_children() {
    for (std::size_t i = 0; i < child_count; ++i)
        if (children[i] > 0) ::kill(children[i], SIGKILL);
}
void give_up(int) {
    kill_children();
    ::_exit(1);
}

/// Forks; `run` doesn't come back.
template <class Run>
pid_t forked(Run run) {
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("no process");
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::signal(SIGALRM, SIG_DFL);
        ::alarm(0);
        run();
        ::_exit(127);
    }
    const std::size_t at = child_count;
    children.at(at) = pid;
    child_count = at + 1;
    return pid;
}

class Folder {
  public:
    Folder() {
        char path[] = "/tmp/hop-benchmark-XXXXXX";
        if (!::mkdtemp(path)) throw std::runtime_error("no folder");
        path_ = path;
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    std::string operator/(const std::string& name) const { return path_ + "/" + name; }

  private:
    std::string path_;
};

/// A program of the mesh with its settings file; its log goes beside that.
pid_t launch(const Folder& folder, const char* program, const std::string& name, const std::string& host,
             const std::string& more) {
    const std::string config = folder / (name + ".toml"), log = folder / (name + ".log");
    std::ofstream file(config);
    file << "node_name = \"" << name << "\"\nrole = \"r\"\nip_address = \"" << host
         << "\"\nzone = \"z\"\nregion = \"r\"\ninternal_ports = [" << port(8) << ", " << port(9)
         << "]\nseed_nodes = [";
    for (int i = 1; i <= 3; ++i) file << (i > 1 ? ", \"" : "\"") << core_host(i) << ":" << port(0) << "\"";
    file << "]\nbeat_interval_ms = 60000\nfirst_boot = true\nactive_contracts = [\"base\"]\n"
         << "bounds = [\"grace_s=3\"]\n"
         << more;
    file.close();
    return forked([&] {
        const int to = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(to, 1);
        ::dup2(to, 2);
        for (int fd = 3; fd < 256; ++fd) ::close(fd);
        ::setenv("MARTENFORD_CONFIG", config.c_str(), 1);
        ::execl(program, program, static_cast<char*>(nullptr));
    });
}

double processor_time(pid_t pid) {
    clockid_t clock;
    timespec spent{};
    if (::clock_getcpuclockid(pid, &clock) != 0 || ::clock_gettime(clock, &spent) != 0)
        throw std::runtime_error("a process has ended by itself");
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

/// Seconds in which it was ready to run and had no core (sched_schedstats(7)): what a busy machine adds.
double waited_for_core(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
    double ran = 0, waited = 0;
    file >> ran >> waited;
    return waited * 1e-9;
}

/// Seconds of all cores in which they were at work for anybody.
double machine_busy() {
    std::ifstream file("/proc/stat");
    std::string cpu;
    std::array<double, 8> ticks{};  // user, nice, system, idle, iowait, irq, softirq, steal
    file >> cpu;
    double sum = 0;
    for (std::size_t i = 0; i < ticks.size(); ++i) {
        file >> ticks[i];
        if (i != 3 && i != 4) sum += ticks[i];
    }
    return sum / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// ---- what stands at the end of a path, and the least that may stand in it ----------------------------

std::string_view field(std::string_view head, std::string_view name) {
    const auto at = head.find(name);
    if (at == head.npos) return {};
    const auto begin = at + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Answers each request at once, with its id and a seal. Requests here have no body.
class InstantEndpoint : public std::enable_shared_from_this<InstantEndpoint> {
  public:
    explicit InstantEndpoint(tcp::socket socket) : socket_(std::move(socket)) {}
    void serve() {
        if (held_ == buffer_.size()) return;
        socket_.async_read_some(asio::buffer(buffer_.data() + held_, buffer_.size() - held_),
                                [self = shared_from_this()](error_code error, std::size_t size) {
                                    if (error) return;
                                    self->held_ += size;
                                    const std::string_view head(self->buffer_.data(), self->held_);
                                    if (!head.ends_with("\r\n\r\n")) return self->serve();
                                    self->answer_ = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
                                    self->answer_ += field(head, "Attempt-Id: ");
                                    self->answer_ +=
                                        "\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nInstance-Id: i-1\r\n"
                                        "Content-Length: 6\r\n\r\nserved";
                                    self->held_ = 0;
                                    asio::async_write(self->socket_, asio::buffer(self->answer_),
                                                      [self](error_code fault, std::size_t) {
                                                          if (!fault) self->serve();
                                                      });
                                });
    }

  private:
    tcp::socket socket_;
    std::array<char, kMostHead> buffer_;
    std::size_t held_ = 0;
    std::string answer_;
};

/// Bytes on, bytes back, and knows nothing of them. One connection behind for each before it.
class ByteRelay : public std::enable_shared_from_this<ByteRelay> {
  public:
    ByteRelay(tcp::socket front, const Address& to) : front_(std::move(front)), back_(front_.get_executor()) {
        error_code refused;  // the next one may not listen yet
        back_.connect(to, refused);
        if (refused) {
            close();
        } else {
            back_.set_option(tcp::no_delay(true));
        }
    }
    void serve() {
        if (!back_.is_open()) return;
        pass(front_, back_, on_);
        pass(back_, front_, back_bytes_);
    }

  private:
    using Bytes = std::array<char, kMostHead>;
    void pass(tcp::socket& from, tcp::socket& to, Bytes& bytes) {
        from.async_read_some(asio::buffer(bytes), [self = shared_from_this(), &from, &to, &bytes](
                                                      error_code error, std::size_t size) {
            if (error) return self->close();
            asio::async_write(to, asio::buffer(bytes.data(), size),
                              [self, &from, &to, &bytes](error_code fault, std::size_t) {
                                  if (fault) return self->close();
                                  self->pass(from, to, bytes);
                              });
        });
    }
    void close() {
        error_code ignored;
        front_.close(ignored);
        back_.close(ignored);
    }
    tcp::socket front_, back_;
    Bytes on_, back_bytes_;
};

template <class Make>
void accept(tcp::acceptor& acceptor, Make make) {
    acceptor.async_accept([&acceptor, make](error_code error, tcp::socket socket) {
        if (error) return;
        socket.set_option(tcp::no_delay(true));
        make(std::move(socket))->serve();
        accept(acceptor, make);
    });
}

template <class Make>
pid_t listener(const std::string& at, Make make) {
    return forked([&] {
        asio::io_context io(1);
        tcp::acceptor acceptor(io, *parse_address(at));
        accept(acceptor, make);
        io.run();
    });
}

// ---- calls to the control side -----------------------------------------------------------------------

/// The status of one call on a connection of its own, and where it was sent on to; 0: none came.
std::pair<int, std::string> call(const std::string& at, const std::string& head, const std::string& body) {
    asio::io_context io;
    tcp::socket socket(io);
    error_code error;
    socket.connect(*parse_address(at), error);
    if (error) return {};
    const timeval patience{2, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    asio::write(socket,
                asio::buffer(head + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" +
                             "Attempt-Id: first\r\nTime-Remaining: 2000\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body),
                error);
    std::array<char, kMostHead> got;
    const auto size = ::recv(socket.native_handle(), got.data(), got.size(), 0);
    if (size < 12) return {};
    const std::string_view said(got.data(), static_cast<std::size_t>(size));
    return {std::atoi(got.data() + 9), std::string(field(said, "Location: http://"))};
}

template <class Is>
void until(const std::string& what, Is is) {
    const auto end = Clock::now() + Seconds(15);
    while (!is()) {
        if (Clock::now() > end) throw std::runtime_error("waited in vain for " + what);
        ::usleep(20'000);
    }
}

/// The parts, each a process.
class Bench {
  public:
    Bench()
        : endpoint(listener(
              kEndpointHost + ":" + port(1),
              [](tcp::socket socket) { return std::make_shared<InstantEndpoint>(std::move(socket)); })),
          relays{relay(0, kEndpointHost + ":" + port(1)), relay(1, relay_at(0))} {
        for (int i = 1; i <= 3; ++i) {
            const std::string name = "core-" + std::to_string(i);
            std::filesystem::create_directories(folder_ / name);
            controllers.push_back(launch(folder_, CONTROLLER, name, core_host(i),
                                         "data_directory = \"" + (folder_ / name) +
                                             "\"\n[listen_addrs]\ncontrol = \"" + core_host(i) + ":" +
                                             port(0) + "\"\n"));
        }
        caller_proxy = proxy("caller", kCallerHost);
        gate_proxy = proxy("web", kEndpointHost);
        until("listeners", [] {
            return call(kEndpointHost + ":" + port(1), "GET /health", "").first == 200 &&
                   call(relay_at(1), "GET /health", "").first == 200;
        });
        sidecar = std::make_unique<Sidecar>(*parse_address(kEndpointHost + ":" + port(1)));
        children[child_count] = sidecar->pid();
        child_count = child_count + 1;
        until("a configuration", [this] { return configured(); });
        until("a beat", [this] { return beat(); });
        until("the first call through two proxies",
              [] { return call(kCallerHost + ":" + port(3), "GET /look/first", "").first == 200; });
    }
    ~Bench() {
        kill_children();
        for (std::size_t i = 0; i < child_count; ++i)
            if (children[i] != sidecar_pid()) ::waitpid(children[i], nullptr, 0);
    }
    Bench(const Bench&) = delete;
    Bench& operator=(const Bench&) = delete;
    double processor_time_of_all() const {
        double sum = processor_time(::getpid());
        for (std::size_t i = 0; i < child_count; ++i) sum += processor_time(children[i]);
        return sum;
    }
    bool beat() {
        return call(kEndpointHost + ":" + port(0), "POST /v1/instances/i-1/heartbeat",
                    R"({"address":")" + kEndpointHost + ":" + port(1) +
                        R"(","node_info":{"service":"web","version":"v1","zone":"z","slots":300},)"
                        R"("status":{"state":"ready","call_seq":)" +
                        std::to_string(++beats_) + R"(,"cold_left_ms":0}})")
                   .first == 200;
    }

    pid_t endpoint, relays[2], caller_proxy = 0, gate_proxy = 0;
    std::vector<pid_t> controllers;
    std::unique_ptr<Sidecar> sidecar;

  private:
    pid_t sidecar_pid() const { return sidecar ? sidecar->pid() : 0; }
    static pid_t relay(int i, const std::string& to) {
        return listener(relay_at(i), [to = *parse_address(to)](tcp::socket socket) {
            return std::make_shared<ByteRelay>(std::move(socket), to);
        });
    }
    pid_t proxy(const std::string& service, const std::string& host) {
        const std::string at = host + ":";
        return launch(folder_, PROXY, "proxy-" + service, host,
                      "service = \"" + service + "\"\napp_address = \"" + at + port(1) +
                          "\"\n[listen_addrs]\ninbound = \"" + at + port(2) + "\"\noutbound = \"" + at +
                          port(3) + "\"\nreadiness = \"" + at + port(4) + "\"\ncontrol = \"" + at + port(0) +
                          "\"\n");
    }
    bool configured() {
        static const std::string kConfig =
            R"({"version":"00000001","base_version":"00000000","limits":{"max_header_bytes":16384,)"
            R"("max_body_bytes":1000000,"header_timeout_ms":60000,"idle_timeout_ms":60000},)"
            R"("listeners":[{"host":"h.example","rule_set":[{"name":"look","route_kind":"idempotent",)"
            R"("target_latency_ms":800,"priority":2,"matcher":{"path_prefix":"/look/"},)"
            R"("route_action":{"service":"web","timeout_ms":3000,"max_attempts":2}}]}],)"
            R"("clusters":[{"name":"web","health_path":"/health"}]})";
        for (int i = 1; i <= 3; ++i) {
            auto said = call(core_host(i) + ":" + port(0), "POST /v1/configuration/replace", kConfig);
            if (said.first == 307)
                said = call(said.second.substr(0, said.second.find('/')), "POST /v1/configuration/replace",
                            kConfig);
            if (said.first == 200) return true;
        }
        return false;
    }
    Folder folder_;
    int beats_ = 0;
};

// ---- load ----------------------------------------------------------------------------------------------

/// Calls seen, in microseconds each.
struct Seen {
    std::vector<double> us;
    std::uint64_t failed = 0, late = 0;
    std::string first_failure;  // its answer's first line, or that there was none
};

class Load;

/// One connection, one call at a time.
class Caller {
  public:
    Caller(asio::io_context& io, const Address& to, Load& load);
    /// Asks; its time counts from `since`.
    void ask(Clock::time_point since);

  private:
    void wait();
    void read();
    tcp::socket socket_;
    Load& load_;
    std::string request_;
    std::size_t id_at_;
    std::array<char, kMostHead> buffer_;
    std::size_t held_ = 0;
    Clock::time_point since_;
};

class Load {
  public:
    /// `rate`: calls a second, at times drawn as of many independent callers; 0: each connection asks again
    /// at once. Counting begins after the warm-up; `begins` and `ends` are called then and at the end.
    Load(const Address& to, std::size_t connections, double rate, double seconds)
        : rate_(rate), seconds_(seconds), timer_(io_) {
        for (std::size_t i = 0; i < connections; ++i)
            callers_.push_back(std::make_unique<Caller>(io_, to, *this));
    }
    template <class F>
    Seen run(F begins) {
        const auto start = Clock::now();
        counts_from_ = start + std::chrono::duration_cast<Clock::duration>(Seconds(kWarmUp));
        ends_ = counts_from_ + std::chrono::duration_cast<Clock::duration>(Seconds(seconds_));
        asio::steady_timer warm(io_, counts_from_), end(io_, ends_);
        warm.async_wait([&](error_code) { begins(); });
        end.async_wait([this](error_code) { io_.stop(); });
        if (rate_ > 0) {
            for (auto& caller : callers_) free_.push_back(caller.get());
            next_ = start;
            pace();
        } else {
            for (auto& caller : callers_) caller->ask(start);
        }
        io_.run();
        return std::move(seen_);
    }
    std::string next_id() {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last_));
        return text;
    }
    void answered(Caller& caller, Clock::time_point since, bool well, std::string_view line) {
        const auto now = Clock::now();
        if (now >= counts_from_) {
            seen_.us.push_back(std::chrono::duration<double, std::micro>(now - since).count());
            if (!well) fail(line);
        }
        if (rate_ == 0) return caller.ask(now);
        if (waiting_.empty()) return free_.push_back(&caller);
        const auto due = waiting_.front();
        waiting_.pop_front();
        caller.ask(due);
    }
    void broken() { fail("connection ended"); }

  private:
    void fail(std::string_view what) {
        if (++seen_.failed == 1) seen_.first_failure = what;
    }
    /// All that is due goes out. This process's own lateness is told, not counted as the path's.
    void pace() {
        const auto now = Clock::now();
        for (; next_ <= now;
             next_ += std::chrono::duration_cast<Clock::duration>(Seconds(apart_(random_) / rate_))) {
            if (now - next_ > std::chrono::milliseconds(1) && now >= counts_from_) ++seen_.late;
            if (free_.empty()) {
                waiting_.push_back(now);  // the path is behind: that time is its own
                continue;
            }
            Caller* caller = free_.back();
            free_.pop_back();
            caller->ask(Clock::now());
        }
        timer_.expires_at(next_);
        timer_.async_wait([this](error_code error) {
            if (!error) pace();
        });
    }

    const double rate_, seconds_;
    asio::io_context io_{1};
    asio::steady_timer timer_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::vector<Caller*> free_;
    std::deque<Clock::time_point> waiting_;
    Clock::time_point counts_from_, ends_, next_;
    std::mt19937_64 random_{7};
    std::exponential_distribution<double> apart_{1.0};
    inline static std::uint64_t last_ = 0;
    Seen seen_;
};

Caller::Caller(asio::io_context& io, const Address& to, Load& load) : socket_(io), load_(load) {
    socket_.connect(to);
    socket_.set_option(tcp::no_delay(true));
    const std::string id = "0000000000000000";
    // What the sidecar and the proxies want stands in every request: all paths carry the same bytes.
    request_ = "GET /look/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h.example\r\nX-Request-ID: " + id +
               "\r\nX-Priority-Class: look\r\nX-Timeout-Ms: 2000\r\nTime-Remaining: 2000\r\nAttempt-Id: ";
    id_at_ = request_.size();
    request_ += id + "\r\n\r\n";
}

void Caller::ask(Clock::time_point since) {
    since_ = since;
    const std::string id = load_.next_id();
    request_.replace(id_at_, id.size(), id);
    request_.replace(request_.find("X-Request-ID: ") + 14, id.size(), id);
    held_ = 0;
    error_code error;
    asio::write(socket_, asio::buffer(request_), error);
    if (error) return load_.broken();
    wait();
}

void Caller::wait() {
    socket_.async_wait(tcp::socket::wait_read, [this](error_code error) {
        if (error) return load_.broken();
        read();
    });
}

void Caller::read() {
    error_code error;
    held_ += socket_.read_some(asio::buffer(buffer_.data() + held_, buffer_.size() - held_), error);
    if (error) return load_.broken();
    const std::string_view got(buffer_.data(), held_);
    const auto end = got.find("\r\n\r\n");
    if (end == got.npos) return wait();
    const auto length = field(got.substr(0, end + 2), "Content-Length: ");
    std::size_t body = 0;
    std::from_chars(length.data(), length.data() + length.size(), body);
    if (got.size() < end + 4 + body) return wait();
    // The sidecar's own protocol passes no id back.
    const auto id = field(got.substr(0, end + 2), "Attempt-Id: ");
    const bool well = got.starts_with("HTTP/1.1 200") &&
                      (id.empty() || id == std::string_view(request_).substr(id_at_, 16));
    load_.answered(*this, since_, well, got.substr(0, got.find("\r\n")));
}

// ---- figures ---------------------------------------------------------------------------------------------

double quantile(std::vector<double> of, double part) {
    if (of.empty()) return std::nan("");
    const auto at = of.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(of.size() - 1));
    std::nth_element(of.begin(), at, of.end());
    return *at;
}
/// "middle (least to most)" over the plays.
std::string spread(const std::vector<double>& of, const char* format = "%.0f") {
    if (of.empty()) return "-";
    char text[96];
    const std::string all = std::string(format) + " (" + format + "-" + format + ")";
    std::snprintf(text, sizeof text, all.c_str(), quantile(of, 0.5), *std::min_element(of.begin(), of.end()),
                  *std::max_element(of.begin(), of.end()));
    return text;
}

struct Path {
    std::string name;
    Address at;
    std::vector<pid_t> parts;  // in the order of the way, without the endpoint
};
struct Setup {
    std::string name;
    std::size_t connections;
    double rate, seconds;
    bool only_the_hop = false;  // direct and two proxies alone: what a sidecar of the target's size sees
};

/// Of one path in one setup, a value for each play.
struct Row {
    std::vector<double> per_second, p50, p99, added_p50, added_p99, cpu, first, second, waited;
    std::vector<double> us;  // of all plays
    std::uint64_t failed = 0, late = 0;
};

using Table = std::map<std::pair<std::size_t, std::size_t>, Row>;  // by setup and path

/// What the parts of a path and both ends have spent and waited so far.
struct Spent {
    std::vector<double> parts;
    double waited = 0;
};
Spent spent_by(const Path& path, pid_t endpoint) {
    Spent spent;
    for (const pid_t pid : path.parts) {
        spent.parts.push_back(processor_time(pid));
        spent.waited += waited_for_core(pid);
    }
    spent.waited += waited_for_core(endpoint) + waited_for_core(::getpid());
    return spent;
}

void measure(const Path& path, const Setup& setup, pid_t endpoint, Row& row) {
    Load load(path.at, setup.connections, setup.rate, setup.seconds);
    Spent before;
    const Seen seen = load.run([&] { before = spent_by(path, endpoint); });
    const Spent after = spent_by(path, endpoint);
    const double calls = static_cast<double>(seen.us.size());
    std::vector<double> spent;
    double all = 0;
    for (std::size_t i = 0; i < path.parts.size(); ++i) {
        spent.push_back((after.parts[i] - before.parts.at(i)) * 1e6 / calls);
        all += spent.back();
    }
    row.waited.push_back((after.waited - before.waited) * 1e6 / calls);
    row.per_second.push_back(calls / setup.seconds);
    row.p50.push_back(quantile(seen.us, 0.5));
    row.p99.push_back(quantile(seen.us, 0.99));
    if (!spent.empty()) row.cpu.push_back(all);
    if (spent.size() == 2) {
        row.first.push_back(spent[0]);
        row.second.push_back(spent[1]);
    }
    row.us.insert(row.us.end(), seen.us.begin(), seen.us.end());
    row.failed += seen.failed;
    if (seen.failed > 0)
        std::fprintf(stderr, "%s, %s: %llu failed, the first: %s\n", setup.name.c_str(), path.name.c_str(),
                     static_cast<unsigned long long>(seen.failed), seen.first_failure.c_str());
    row.late += seen.late;
}

/// What so many calls in a row take, each drawn from those seen.
std::vector<double> in_a_row(const std::vector<double>& seen, int calls) {
    std::mt19937_64 random(11);
    std::uniform_int_distribution<std::size_t> any(0, seen.size() - 1);
    std::vector<double> sums(20'000, 0.0);
    for (double& sum : sums)
        for (int i = 0; i < calls; ++i) sum += seen[any(random)];
    return sums;
}

void print(const std::vector<Path>& paths, const std::vector<Setup>& setups, const Table& table, int plays) {
    std::printf(
        "Median (least-most) of %d plays, us a call. Processor time: of all parts of the path but the "
        "endpoint.\n"
        "Waited: of them, the endpoint and this program, ready to run and without a core.\n\n",
        plays);
    std::printf(
        "| load | path | calls/s | p50 | p99 | added p50 | added p99 | processor time | each part | waited | "
        "failed | "
        "late |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (std::size_t s = 0; s < setups.size(); ++s) {
        for (std::size_t p = 0; p < paths.size(); ++p) {
            const auto it = table.find({s, p});
            if (it == table.end()) continue;
            const Row& row = it->second;
            const std::string parts =
                row.first.empty() ? "-" : spread(row.first, "%.1f") + " + " + spread(row.second, "%.1f");
            std::printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %llu | %llu |\n",
                        setups[s].name.c_str(), paths[p].name.c_str(), spread(row.per_second).c_str(),
                        spread(row.p50).c_str(), spread(row.p99).c_str(), spread(row.added_p50).c_str(),
                        spread(row.added_p99).c_str(), spread(row.cpu, "%.1f").c_str(), parts.c_str(),
                        spread(row.waited).c_str(), static_cast<unsigned long long>(row.failed),
                        static_cast<unsigned long long>(row.late));
        }
    }
    std::printf(
        "\n%d calls in a row, each drawn from all those seen at that rate, and what 1.3 ms at p99 leaves:\n\n"
        "| load | added p50 | added p99 | a hop's added p99 | of %.0f us |\n| --- | --- | --- | --- | --- "
        "|\n",
        kDepth, kTargetP99);
    for (std::size_t s = 0; s < setups.size(); ++s) {
        const auto direct = table.find({s, 0}), hop = table.find({s, paths.size() - 1});
        if (setups[s].rate == 0 || direct == table.end() || hop == table.end()) continue;
        const auto without = in_a_row(direct->second.us, kDepth), with = in_a_row(hop->second.us, kDepth);
        const double one = quantile(hop->second.us, 0.99) - quantile(direct->second.us, 0.99);
        std::printf("| %s | %.0f | %.0f | %.0f | %.2f |\n", setups[s].name.c_str(),
                    quantile(with, 0.5) - quantile(without, 0.5),
                    quantile(with, 0.99) - quantile(without, 0.99), one, one / kTargetP99);
    }
}

int usage() {
    std::printf(
        "hop_benchmark: what one hop of the mesh costs.\n"
        "  --plays N       of all paths, 3 unless told; a run ends after %u s\n"
        "  --hold SECONDS  instead: two proxies at 32 connections for so long, their ids told, for a "
        "profiler\n"
        "  --rate N        with --hold: so many calls a second in place of as many as go\n",
        kMostSeconds);
    return 0;
}

int main_of(int argc, char** argv) {
    static const option options[] = {{"help", no_argument, nullptr, 'h'},
                                     {"plays", required_argument, nullptr, 'p'},
                                     {"hold", required_argument, nullptr, 'o'},
                                     {"rate", required_argument, nullptr, 'r'},
                                     {nullptr, 0, nullptr, 0}};
    int plays = 3;
    double hold = 0, rate = 0;
    for (int given = 0; (given = getopt_long(argc, argv, "hp:o:r:", options, nullptr)) != -1;) {
        if (given == 'p') {
            plays = std::max(1, std::atoi(optarg));
        } else if (given == 'o') {
            hold = std::atof(optarg);
        } else if (given == 'r') {
            rate = std::atof(optarg);
        } else {
            return usage(), given == 'h' ? 0 : 2;
        }
    }
    ::signal(SIGALRM, give_up);
    ::signal(SIGINT, give_up);
    ::signal(SIGTERM, give_up);
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(kMostSeconds);
    Bench bench;
    const Address endpoint = *parse_address(kEndpointHost + ":" + port(1));
    const std::vector<Path> paths = {
        {"direct", endpoint, {}},
        {"relay of bytes", *parse_address(relay_at(0)), {bench.relays[0]}},
        {"two relays of bytes", *parse_address(relay_at(1)), {bench.relays[1], bench.relays[0]}},
        {"one sidecar", bench.sidecar->address(), {bench.sidecar->pid()}},
        {"two proxies", *parse_address(kCallerHost + ":" + port(3)), {bench.caller_proxy, bench.gate_proxy}}};
    if (hold > 0) {
        std::fprintf(stderr, "caller's proxy %d, gate's proxy %d\n", bench.caller_proxy, bench.gate_proxy);
        Row row;
        measure(paths.back(), {"hold", 32, rate, hold}, bench.endpoint, row);
        std::printf(
            "%.0f calls/s, p50 %.0f us, p99 %.0f us, %.1f + %.1f us of processor time a call, %llu failed\n",
            row.per_second[0], row.p50[0], row.p99[0], row.first[0], row.second[0],
            static_cast<unsigned long long>(row.failed));
        return 0;
    }
    const std::vector<Setup> setups = {{"1 connection", 1, 0, kSaturated},
                                       {"32 connections", 32, 0, kSaturated},
                                       {"256 connections", 256, 0, kSaturated},
                                       {"44 calls/s", kPacedCalls, kTargetCalls / kTargetSidecars, 4, true},
                                       {"200 calls/s", kPacedCalls, 200, 2.5},
                                       {"1,000 calls/s", kPacedCalls, 1000, 2},
                                       {"3,000 calls/s", kPacedCalls, 3000, 1.2}};
    const auto began = Clock::now();
    const double busy = machine_busy(), own = bench.processor_time_of_all();
    Table table;
    std::vector<double> idle;  // of a proxy that carries nothing, in us a second
    for (int play = 0; play < plays; ++play) {
        bench.beat();
        const double before = processor_time(bench.caller_proxy);
        const auto since = Clock::now();
        ::usleep(1'500'000);
        idle.push_back((processor_time(bench.caller_proxy) - before) * 1e6 /
                       Seconds(Clock::now() - since).count());
        for (std::size_t s = 0; s < setups.size(); ++s) {
            for (std::size_t p = 0; p < paths.size(); ++p) {
                if (setups[s].only_the_hop && p != 0 && p + 1 != paths.size()) continue;
                Row& row = table[{s, p}];
                measure(paths[p], setups[s], bench.endpoint, row);
                const Row& direct = table[{s, 0}];
                row.added_p50.push_back(row.p50.back() - direct.p50.back());
                row.added_p99.push_back(row.p99.back() - direct.p99.back());
            }
        }
    }
    print(paths, setups, table, plays);
    const double took = Seconds(Clock::now() - began).count();
    std::printf("\nIn %.0f s %.1f of %ld cores were at work, %.1f of them for this run.\n", took,
                (machine_busy() - busy) / took, ::sysconf(_SC_NPROCESSORS_ONLN),
                (bench.processor_time_of_all() - own) / took);
    std::printf(
        "\nA proxy that carries nothing (three controllers, two proxies): %s us of processor time a "
        "second.\n",
        spread(idle).c_str());
    for (std::size_t s = 0; s < setups.size(); ++s) {
        const auto hop = table.find({s, paths.size() - 1});
        if (setups[s].rate == 0 || hop == table.end()) continue;
        const double cpu = quantile(hop->second.cpu, 0.5);
        std::printf(
            "%.0f calls/s at the cost seen at %s: %.1f cores over %.0f sidecars, %.2f%% of a core each.\n",
            kTargetCalls, setups[s].name.c_str(), kTargetCalls * cpu * 1e-6, kTargetSidecars,
            kTargetCalls * cpu * 1e-4 / kTargetSidecars);
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return main_of(argc, argv);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "hop_benchmark: %s\n", error.what());
        kill_children();
        return 1;
    }
}
