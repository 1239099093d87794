// The client behind a link where a connection takes longer than the time for one attempt: played by a
// listener whose queue is full, so that the kernel drops what opens a connection.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "rpc/channel.h"

using namespace martenford;

namespace {

/// Of this machine's connections to a port, those whose opening was not answered yet.
std::size_t opening(std::uint16_t port) {
    char wanted[16];
    std::snprintf(wanted, sizeof wanted, ":%04X", port);
    std::ifstream table("/proc/net/tcp");
    std::string line, number, local, remote, state;
    std::size_t count = 0;
    std::getline(table, line);
    while (table >> number >> local >> remote >> state) {
        count += state == "02" && remote.ends_with(wanted);
        std::getline(table, line);
    }
    return count;
}

}  // namespace

TEST_CASE("an attempt that takes long goes on beside the next ones, of which there are few") {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&at), size) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) == 0);
    const std::uint16_t port = ::ntohs(at.sin_port);
    std::vector<int> fillers;
    while (opening(port) == 0) {
        REQUIRE(fillers.size() < 16);
        fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        ::connect(fillers.back(), reinterpret_cast<sockaddr*>(&at), size);
    }

    Loop loop;
    bool up = false;
    std::size_t most = 0;
    {
        rpc::ReconnectingClient client(
            loop, Address(asio::ip::make_address("127.0.0.1"), port), [](auto&&) {}, [&] { up = true; },
            [] {});
        const auto until = [&](auto&& is) {
            const Time give_up = Loop::monotonic() + 10s;
            while (!is()) {
                REQUIRE(Loop::monotonic() < give_up);
                loop.add(loop.now() + 5ms, [&loop] { loop.stop(); });
                loop.resume();
                loop.run();
                most = std::max(most, opening(port) - 1);
            }
        };
        until([&] { return most >= 3; });
        CHECK_FALSE(up);
        until([&] {
            for (int taken; (taken = ::accept(listener, nullptr, nullptr)) >= 0;) ::close(taken);
            return up;
        });
    }
    CHECK(most <= 4);
    for (const int each : fillers) ::close(each);
    ::close(listener);
}
