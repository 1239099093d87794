// What the release before wrote, against processes of this one: its data directory and its messages, byte for
// byte (golden/README.md). No wait is for a time; each is for what is to be seen, or ends the test.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <string>
#include <thread>

#include "core/address.h"
#include "framing/frame.h"
#include "golden.h"
#include "mesh/rig/processes.h"
#include "rpc/messages.h"

using namespace martenford;
using rig::Port;

namespace {

constexpr int kReceiveTimeoutSeconds = 20;

std::string fixture(const std::string& name) {
    return golden::kept(std::string(GOLDEN_DIR) + "/" + name);
}

/// A blocking TCP connection; closed with the object.
class Socket {
  public:
    Socket() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
    explicit Socket(int fd) : fd_(fd) { set_timeout(); }
    ~Socket() {
        if (fd_ >= 0) ::close(fd_);
    }
    Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    Socket& operator=(Socket&&) = delete;

    void listen(const std::string& address) {
        const int reuse = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        const sockaddr_in at = socket_address(address);
        REQUIRE(::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::listen(fd_, 4) == 0);
        set_timeout();
    }
    [[nodiscard]] Socket accept() const {
        const int accepted = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        REQUIRE(accepted >= 0);
        return Socket(accepted);
    }
    [[nodiscard]] bool connect(const std::string& address) {
        set_timeout();
        const sockaddr_in to = socket_address(address);
        return ::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
    }
    void send(const std::string& bytes) const {
        REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    /// The next bytes; empty at the end of the stream.
    [[nodiscard]] std::string receive() const {
        std::string bytes(65536, '\0');
        const ssize_t size = ::recv(fd_, bytes.data(), bytes.size(), 0);
        REQUIRE_MESSAGE(size >= 0, "nothing received in time");
        bytes.resize(static_cast<std::size_t>(size));
        return bytes;
    }

  private:
    static sockaddr_in socket_address(const std::string& text) {
        const Address address = *parse_address(text);
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = ::htons(address.port());
        out.sin_addr.s_addr = ::inet_addr(address.address().to_string().c_str());
        return out;
    }
    void set_timeout() const {
        const timeval timeout{kReceiveTimeoutSeconds, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    }
    int fd_;
};

/// Reads messages from a connection until one of type T comes.
class MessageReader {
  public:
    explicit MessageReader(const Socket& socket) : socket_(socket) {}
    template <class T>
    T next() {
        for (;;) {
            if (const auto bytes = frames_.next()) {
                const auto message = rpc::decode(*bytes);
                REQUIRE(message);
                // What this release says is what it reads back: nothing is lost on the way.
                CHECK(rpc::encode(*message) == *bytes);
                if (const auto* wanted = std::get_if<T>(&*message)) return *wanted;
                continue;
            }
            const std::string bytes = socket_.receive();
            REQUIRE_MESSAGE(!bytes.empty(), "the connection was closed");
            frames_.feed(bytes);
        }
    }

  private:
    const Socket& socket_;
    framing::FrameReader frames_{rpc::kMaxMessageBytes};
};

std::string recorded_frame(const std::string& name) {
    return framing::encode_frame(fixture(name), rpc::kMaxMessageBytes);
}

/// Tries until the process listens; the rig's processes need a moment to start.
Socket connect_to(const std::string& address) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kReceiveTimeoutSeconds);
    for (;;) {
        Socket socket;
        if (socket.connect(address)) return socket;
        REQUIRE_MESSAGE(std::chrono::steady_clock::now() < deadline, address << " does not listen");
        std::this_thread::yield();
    }
}

/// The response to one call of the operator's API, head and body.
std::string read_configuration(const std::string& address) {
    const Socket socket = connect_to(address);
    socket.send(
        "GET /v1/configuration/read HTTP/1.1\r\nHost: core\r\nConnection: close\r\nContent-Length: "
        "0\r\n\r\n");
    std::string response;
    for (std::string bytes = socket.receive(); !bytes.empty(); bytes = socket.receive()) response += bytes;
    return response;
}

}  // namespace

TEST_CASE("a controller serves from the data directory of the release before") {
    rig::Processes processes;
    rig::Machine machine;
    machine.name = "core-1";
    machine.ip = processes.ip(1);
    machine.seeds = {rig::at(machine.ip, Port::Control)};
    machine.first_boot = false;
    std::filesystem::copy(std::string(GOLDEN_DIR) + "/store-alone", processes.directory() + "/core-1");
    processes.start(machine);
    // A leader that is not elected yet answers 503.
    std::string response;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kReceiveTimeoutSeconds);
    while (!response.starts_with("HTTP/1.1 200")) {
        REQUIRE(std::chrono::steady_clock::now() < deadline);
        response = read_configuration(rig::at(machine.ip, Port::Control));
    }
    CHECK(response.ends_with("\r\n\r\n{\"version\":\"79\"}"));
    CHECK(processes.log("core-1").find("MG402") == std::string::npos);  // nothing was damaged
    CHECK(processes.log("core-1").find("MG403") == std::string::npos);  // nor is it a new member
}

TEST_CASE("a controller answers what a proxy of the release before sends") {
    rig::Processes processes;
    rig::Machine machine;
    machine.name = "core-1";
    machine.ip = processes.ip(1);
    machine.seeds = {rig::at(machine.ip, Port::Control)};
    machine.first_boot = false;
    std::filesystem::copy(std::string(GOLDEN_DIR) + "/store-alone", processes.directory() + "/core-1");
    processes.start(machine);
    const Socket proxy = connect_to(rig::at(machine.ip, Port::Mesh));
    MessageReader messages(proxy);
    const auto request = std::get<rpc::RegisterRequest>(*rpc::decode(fixture("rpc-announce.bin")));
    proxy.send(recorded_frame("rpc-announce.bin"));
    CHECK(messages.next<rpc::RegisterResponse>().request_sent_at == request.sent_at);
    // The watch names another epoch: the answer is a snapshot, with the registration from above.
    // Version 78 is committed on this disk; 79 is so once the controller leads.
    rpc::WatchResponse update;
    while (update.config_version != 79) {
        proxy.send(recorded_frame("rpc-poll.bin"));
        update = messages.next<rpc::WatchResponse>();
        REQUIRE((update.config_version == 78 || update.config_version == 79));
    }
    CHECK(update.registry.is_snapshot);
    REQUIRE(update.registry.registrations.size() == 1);
    CHECK(update.registry.registrations.front().node == request.registration.node);
    CHECK(update.registry.registrations.front().instance_id == request.registration.instance_id);
    // Messages of Raft that are meant for others change nothing and end nothing.
    for (const char* name : {"rpc-hello.bin", "rpc-raft-append.bin", "rpc-raft-request-vote.bin",
                             "rpc-raft-vote.bin", "rpc-raft-append-reply.bin", "rpc-raft-timeout-now.bin"})
        proxy.send(recorded_frame(name));
    proxy.send(recorded_frame("rpc-announce.bin"));
    CHECK(messages.next<rpc::RegisterResponse>().request_sent_at == request.sent_at);
}

TEST_CASE("a proxy understands what a controller of the release before sends") {
    rig::Processes processes;
    const std::string controller_ip = processes.ip(2);
    Socket listener;
    listener.listen(rig::at(controller_ip, Port::Mesh));
    rig::Machine machine;
    machine.name = "side-1";
    machine.ip = processes.ip(1);
    machine.seeds = {rig::at(controller_ip, Port::Control)};
    machine.service = "web";
    processes.start(machine);
    const Socket controller = listener.accept();
    MessageReader messages(controller);
    CHECK(messages.next<rpc::RegisterRequest>().registration.node == "side-1");
    CHECK(messages.next<rpc::WatchRequest>().epoch == 0);
    // As it goes over a connection, with the frame. Its document is no configuration, and is not served.
    const auto update = std::get<rpc::WatchResponse>(*rpc::decode(fixture("rpc-news.bin")));
    controller.send(fixture("rpc-frame.bin"));
    const auto next = messages.next<rpc::WatchRequest>();
    CHECK(next.epoch == update.registry.epoch);
    CHECK(next.seq == update.registry.seq);
    CHECK(next.config_version != update.config_version);
    controller.send(recorded_frame("rpc-grants.bin"));
    const auto response = std::get<rpc::RegisterResponse>(*rpc::decode(fixture("rpc-grants.bin")));
    // The proxy says with its next registration which response it has applied.
    while (messages.next<rpc::RegisterRequest>().applied_response != response.response_number) {
    }
}
