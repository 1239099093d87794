// Runs the sidecar as a process, with scripted clients, endpoints and services on loopback sockets.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace martenford::standins {

// For anything that must arrive; tests do not assert how soon.
inline constexpr int kReceiveTimeoutMs = 20'000;

/// Owns a file descriptor.
class Descriptor {
  public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Descriptor() {
        if (fd_ >= 0) close(fd_);
    }
    int get() const { return fd_; }
    bool readable(int wait_ms = kReceiveTimeoutMs) const {
        pollfd poll_for{fd_, POLLIN, 0};
        return poll(&poll_for, 1, wait_ms) == 1;
    }

  private:
    int fd_;
};

/// One end of a connection. Messages consist of a head and a body with Content-Length.
class Peer {
  public:
    explicit Peer(Descriptor fd) : fd_(std::move(fd)) {}
    static Peer to(int port) {
        Descriptor fd(socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        EXPECT_EQ(connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        return Peer(std::move(fd));
    }
    void send(const std::string& text) {
        for (std::size_t done = 0; done < text.size();) {
            const auto n = ::send(fd_.get(), text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (n <= 0) return;  // the other side has closed; its answer is what the test checks
            done += static_cast<std::size_t>(n);
        }
    }
    /// Returns the next complete message, or its part if the connection ends before.
    std::string receive() {
        for (;;) {
            if (const auto size = message_size(); size && read_.size() >= *size) {
                std::string message = read_.substr(0, *size);
                read_.erase(0, *size);
                return message;
            }
            if (!fill()) return std::exchange(read_, {});
        }
    }
    /// Returns everything until the other side closes.
    std::string receive_all() {
        while (fill()) {
        }
        return std::exchange(read_, {});
    }
    /// Returns the next bytes, at least one; empty if the connection has ended.
    std::string receive_some() {
        if (read_.empty()) fill();
        return std::exchange(read_, {});
    }
    /// Whether the other side closes without sending anything more.
    bool is_closed() { return read_.empty() && !fill() && read_.empty(); }
    pollfd poll_for() const { return {fd_.get(), POLLIN, 0}; }
    bool readable(int wait_ms) const { return !read_.empty() || fd_.readable(wait_ms); }
    bool silent() { return read_.empty() && !fd_.readable(0); }
    /// Half-closes the connection.
    void shutdown_send() { shutdown(fd_.get(), SHUT_WR); }
    /// Closes the connection with a reset.
    void reset() {
        const linger now{1, 0};
        setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        fd_ = Descriptor();
    }

  private:
    std::optional<std::size_t> message_size() const {
        const auto head = read_.find("\r\n\r\n");
        if (head == std::string::npos) return std::nullopt;
        const auto length = read_.find("Content-Length: ");
        const auto body = length < head ? std::strtoul(read_.c_str() + length + 16, nullptr, 10) : 0;
        return head + 4 + body;
    }
    bool fill() {
        char chunk[4096];
        if (!fd_.readable()) {
            ADD_FAILURE() << "nothing came";
            return false;
        }
        const auto n = recv(fd_.get(), chunk, sizeof chunk, 0);
        if (n > 0) read_.append(chunk, static_cast<std::size_t>(n));
        return n > 0;
    }
    Descriptor fd_;
    std::string read_;
};

class Listener {
  public:
    // Not inherited by the sidecar, which would keep it open.
    Listener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(bind(fd_.get(), reinterpret_cast<sockaddr*>(&address), size), 0);
        EXPECT_EQ(listen(fd_.get(), 64), 0);
        EXPECT_EQ(getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size), 0);
        port_ = ntohs(address.sin_port);
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    Peer accept() {
        EXPECT_TRUE(fd_.readable()) << "no connection came";
        return Peer(Descriptor(::accept(fd_.get(), nullptr, nullptr)));
    }
    pollfd poll_for() const { return {fd_.get(), POLLIN, 0}; }
    bool no_connection_pending() const { return !fd_.readable(0); }
    /// From here on connections are refused.
    void close() { fd_ = Descriptor(); }

  private:
    Descriptor fd_;
    int port_ = 0;
};

/// Waits until one of these is readable and returns its index; their number if none was within ten seconds.
inline std::size_t first_of(std::vector<pollfd> those) {
    if (poll(those.data(), those.size(), 10'000) > 0) {
        for (std::size_t i = 0; i < those.size(); ++i) {
            if (those[i].revents) return i;
        }
    }
    ADD_FAILURE() << "none of them had anything to read";
    return those.size();
}

inline std::string target(const std::string& uid, const std::string& address,
                          const std::string& state = "Ready") {
    return R"({"uid":")" + uid + R"(","endpoint":")" + address +
           R"(","az":"a","model":"m","pod_group":0,"state":")" + state +
           R"(","capacity_hint":1.0,"boot_ms":0})";
}

inline std::string list(int revision, bool all, const std::string& targets) {
    return R"({"rev":)" + std::to_string(revision) + R"(,"all":)" + (all ? "true" : "false") +
           R"(,"targets":[)" + targets + "]}";
}

inline std::string config(const std::string& discovery, const std::string& targets,
                          const std::string& mode = "subscribe") {
    const std::string klass = R"("credit":1,"slo":1000000000,"deadline":2000000000)";
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":128},"known":)" +
           list(41, true, targets) +
           R"(,"settings":{"replicas_of_me":1,"position":0,"zone":0,"dcs":["a"],"kinds":["m"],"tiers":["t"],)"
           R"("layer":0,"tick":5000000,"weights":"none","accounts":[],"discovery":")" +
           mode + R"(","classes":[{"name":"look",)" + klass + R"(,"effect":"free"},{"name":"post",)" + klass +
           R"(,"effect":"guarded","group":"cell","window":6000000000},{"name":"debit",)" + klass +
           R"(,"effect":"single_shot"}],"limits":{"try_limit":3,"dial_timeout":500000000,)"
           R"("conn_idle":30000000000,"may_cancel":true,"probing":true},"invariants":{)"
           R"("answer_slack":20000000,"ask_every":10000000000,"cold_from":0.3,"fall_multiple":3.0,)"
           R"("ramp_time":5000000000,"stop_sending_within":1000000000,"tip_after":1000000000}}})";
}

/// The same configuration with another address to listen on.
inline std::string listening_on(std::string config, const std::string& address) {
    const std::string usual = R"("listen":"127.0.0.1:0")";
    return config.replace(config.find(usual), usual.size(), R"("listen":")" + address + "\"");
}

/// The same configuration with a console address.
inline std::string with_console(const std::string& config) {
    return R"({"console":"127.0.0.1:0",)" + config.substr(1);
}

class Sidecar {
  public:
    /// `own`: contents of the program's own configuration file; empty for none. `variables`: more environment
    /// variables, as NAME=VALUE.
    explicit Sidecar(const std::string& config, const std::string& own = "",
                     std::vector<std::string> variables = {}) {
        char path[] = "/tmp/martenford-test-XXXXXX";
        const Descriptor file(mkstemp(path));
        std::ofstream(path) << config;
        own_path_ = std::string(path) + ".toml";
        if (!own.empty()) std::ofstream(own_path_) << own;
        int ends[2];
        EXPECT_EQ(pipe2(ends, O_CLOEXEC), 0);
        log_ = Descriptor(ends[0]);
        const Descriptor write_end(ends[1]);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, write_end.get(), STDERR_FILENO);
        const std::string variable = std::string("PROXY_CONFIG=") + path;
        std::string name = MARTENFORD;
        char* arguments[] = {name.data(), nullptr};
        std::string own_variable = "MARTENFORD_CONFIG=" + own_path_;
        variables.push_back(variable);
        if (!own.empty()) variables.push_back(own_variable);
        std::vector<char*> environment;
        for (std::string& each : variables) environment.push_back(each.data());
        environment.push_back(nullptr);
        EXPECT_EQ(posix_spawn(&pid_, name.c_str(), &actions, nullptr, arguments, environment.data()), 0);
        posix_spawn_file_actions_destroy(&actions);
        path_ = path;
    }
    ~Sidecar() {
        if (pid_ > 0) kill(pid_, SIGKILL);
        if (pid_ > 0) waitpid(pid_, nullptr, 0);
        unlink(path_.c_str());
        unlink(own_path_.c_str());
    }
    /// The listening port, from the log.
    int port() {
        if (port_ == 0) {
            const std::string line = await_log("listening on ");
            port_ = std::atoi(line.c_str() + line.rfind(':') + 1);
        }
        return port_;
    }
    Peer client() { return Peer::to(port()); }
    /// The console port, which is logged before the listening port.
    int console_port() {
        if (console_port_ == 0) await_log("operators call at ");
        return console_port_;
    }
    /// Returns the console's reply to one line, up to its close.
    std::string call(const std::string& line) {
        Peer caller = Peer::to(console_port());
        caller.send(line + "\n");
        return caller.receive_all();
    }
    /// Returns a value of the telemetry; -1 if there is none with this name.
    double metric(const std::string& name) {
        const std::string all = "\n" + call("telemetry"), at = "\nsidecar." + name + ":";
        const auto found = all.find(at);
        return found == std::string::npos ? -1.0 : std::atof(all.c_str() + found + at.size());
    }
    /// Number of its open file descriptors.
    std::size_t descriptors() const {
        const auto all = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(all), end(all)));
    }
    /// Its resident memory in MB.
    double memory_mb() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        double whole = 0, resident = 0;
        file >> whole >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }
    /// Returns the first log line that contains this text.
    std::string await_log(const std::string& text) {
        for (std::string line; log_line(line);) {
            if (line.find(text) != std::string::npos) return line;
        }
        ADD_FAILURE() << "the log never said: " << text;
        return {};
    }
    std::string rest_of_log() {
        std::string all;
        for (std::string line; log_line(line);) all += line + "\n";
        return all;
    }
    /// From here on nobody reads its log.
    void close_log() { log_ = Descriptor(); }
    void terminate() const { kill(pid_, SIGTERM); }
    void stop() const { kill(pid_, SIGKILL); }
    /// Replaces its configuration file and sends SIGHUP.
    void reload(const std::string& config) const {
        std::ofstream(path_) << config;
        kill(pid_, SIGHUP);
    }
    int exit_code() {
        int status = 0;
        waitpid(std::exchange(pid_, 0), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

  private:
    bool log_line(std::string& line) {
        for (;;) {
            if (const auto end = read_.find('\n'); end != std::string::npos) {
                line = read_.substr(0, end);
                read_.erase(0, end + 1);
                // It is logged before the line that port() waits for.
                if (line.find("operators call at ") != std::string::npos) {
                    console_port_ = std::atoi(line.c_str() + line.rfind(':') + 1);
                }
                return true;
            }
            char chunk[512];
            if (!log_.readable()) return false;
            const auto n = read(log_.get(), chunk, sizeof chunk);
            if (n <= 0) return false;
            read_.append(chunk, static_cast<std::size_t>(n));
        }
    }
    pid_t pid_ = 0;
    std::string own_path_;
    int port_ = 0, console_port_ = 0;
    Descriptor log_;
    std::string path_, read_;
};

inline std::string look(const std::string& id, int timeout_ms = 60'000, const std::string& more = "") {
    return "GET /look/7f3a?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
           "\r\nX-Priority-Class: look\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n" + more +
           "\r\n";
}
inline std::string debit(const std::string& id, int timeout_ms = 60'000, const std::string& body = "pay") {
    return "POST /debit/7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
           "\r\nX-Priority-Class: debit\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string answer(int status, const std::string& body = "", const std::string& more = "") {
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + more + "\r\n" + body;
}
inline int status_of(const std::string& message) {
    return message.starts_with("HTTP/1.1 ") ? std::atoi(message.c_str() + 9) : 0;
}
inline std::string body_of(const std::string& message) {
    const auto head = message.find("\r\n\r\n");
    return head == std::string::npos ? "" : message.substr(head + 4);
}
inline bool has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/// A sidecar with one endpoint known from the start, and a discovery service that never answers.
class OneEndpoint : public testing::Test {
  protected:
    Listener discovery, endpoint;
    Sidecar sidecar{config(discovery.address(), target("s-1", endpoint.address()))};
};

}  // namespace martenford::standins
