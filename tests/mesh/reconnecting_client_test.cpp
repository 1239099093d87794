// ReconnectingClient on a link where connecting takes longer than the time-out of one attempt. A listener
// whose backlog is full stands in for the link: the kernel drops the SYN packets.
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

/// The number of this machine's connections to a port in state SYN_SENT (02 in /proc/net/tcp).
std::size_t count_syn_sent(std::uint16_t port) {
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

TEST_CASE(
    "reconnecting client: slow attempts run side by side, four at most, and the first to succeed connects") {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in listen_address{};
    listen_address.sin_family = AF_INET;
    listen_address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof listen_address;
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&listen_address), size) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&listen_address), &size) == 0);
    const std::uint16_t port = ::ntohs(listen_address.sin_port);
    std::vector<int> fillers;
    while (count_syn_sent(port) == 0) {
        REQUIRE(fillers.size() < 16);
        fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        ::connect(fillers.back(), reinterpret_cast<sockaddr*>(&listen_address), size);
    }

    EventLoop loop;
    bool connected = false;
    std::size_t max_attempts = 0;
    {
        rpc::ReconnectingClient client(
            loop, Address(asio::ip::make_address("127.0.0.1"), port), [](auto&&) {},
            [&] { connected = true; }, [] {});
        const auto run_until = [&](auto&& condition) {
            const Time deadline = EventLoop::monotonic() + 10s;
            while (!condition()) {
                REQUIRE(EventLoop::monotonic() < deadline);
                loop.add(loop.now() + 5ms, [&loop] { loop.stop(); });
                loop.resume();
                loop.run();
                // One of them is the filler that is still in SYN_SENT, unless the kernel has given it up.
                const std::size_t pending = count_syn_sent(port);
                max_attempts = std::max(max_attempts, pending > 0 ? pending - 1 : 0);
            }
        };
        run_until([&] { return max_attempts >= 3; });
        CHECK_FALSE(connected);
        run_until([&] {
            for (int accepted; (accepted = ::accept(listener, nullptr, nullptr)) >= 0;) ::close(accepted);
            return connected;
        });
    }
    CHECK(max_attempts <= 4);
    for (const int filler : fillers) ::close(filler);
    ::close(listener);
}
