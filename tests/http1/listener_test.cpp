// What callers may send, and how many of them there may be.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

TEST_F(OneEndpoint, InvalidRequestsGet4xxAndReachNoEndpoint) {
    const std::pair<std::string, int> bad[] = {
        {"nonsense\r\n\r\n", 400},
        {"GET /look/1 HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400},
        {"GET /look/1 HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", 431},
        {"POST /debit/1 HTTP/1.1\r\nContent-Length: 41943041\r\n\r\n", 413},
        {"POST /debit/1 HTTP/1.1\r\nContent-Length: 41943041\r\nExpect: 100-continue\r\n\r\n", 413},
        {"GET /look/1 HTTP/1.1\r\nX-Priority-Class: look\r\nX-Timeout-Ms: 100\r\n\r\n", 400},
        {"GET /look/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout-Ms: 100\r\n\r\n", 400},
        {"GET /look/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: look\r\n\r\n", 400},
        {look("r", 0), 400},
        {look("r", -4), 400},
        {look(std::string(129, 'r')), 400},
        {"GET /what/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: what\r\nX-Timeout-Ms: 9\r\n\r\n", 404},
        {"GET /debit/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: look\r\nX-Timeout-Ms: 9\r\n\r\n",
         404},
        {"GET /debit/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: debit\r\nX-Timeout-Ms: 9\r\n\r\n",
         405},
        {"POST /post/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: post\r\nX-Timeout-Ms: 9\r\n\r\n",
         400},
    };
    for (const auto& [request, status] : bad) {
        Peer client = sidecar.client();
        client.send(request);
        EXPECT_EQ(status_of(client.receive()), status) << request.substr(0, 80);
    }
    EXPECT_TRUE(endpoint.no_connection_pending());
}

TEST_F(OneEndpoint, AmbiguousBodyLengthIsRejectedAndTheConnectionClosed) {
    const std::string head =
        "POST /debit/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: debit\r\nX-Timeout-Ms: 9000\r\n";
    const std::string hidden = debit("hidden");
    const std::string bad[] = {
        "Content-Length: " + std::to_string(hidden.size()) +
            "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
        "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
        "Content-Length: 0, 0\r\n\r\n",
        "Content-Length: +5\r\n\r\n",
        "Content-Length: 99999999999999999999999\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n",
    };
    for (const std::string& text : bad) {
        Peer client = sidecar.client();
        client.send(head + text + hidden);
        EXPECT_EQ(status_of(client.receive()) / 100, 4) << text;
        EXPECT_TRUE(client.is_closed()) << text;
    }
    EXPECT_TRUE(endpoint.no_connection_pending());
    Peer client = sidecar.client();  // the one coding that is taken
    client.send(head + "Transfer-Encoding: chunked\r\n\r\n3\r\npay\r\n0\r\n\r\n");
    EXPECT_EQ(body_of(endpoint.accept().receive()), "pay");
}

TEST_F(OneEndpoint, SecondRequestWithAnOpenIdIsRejected) {
    Peer first = sidecar.client(), second = sidecar.client();
    first.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    second.send(look("r1"));
    EXPECT_EQ(status_of(second.receive()), 409);
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(first.receive()), "1");
}

TEST_F(OneEndpoint, IncompleteRequestsTimeOut) {
    Peer mute = sidecar.client(), half = sidecar.client(), slow_body = sidecar.client();
    half.send("GET /look/1 HTTP/1.1\r\nX-Request-ID: r\r\n");
    slow_body.send("POST /debit/1 HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 50\r\n\r\nx");
    EXPECT_TRUE(mute.is_closed());
    EXPECT_EQ(status_of(half.receive()), 408);
    EXPECT_EQ(status_of(slow_body.receive()), 408);
    EXPECT_TRUE(endpoint.no_connection_pending());
}

TEST_F(OneEndpoint, IncompleteRequestsAreEvictedAndOpenOnesAreNot) {
    Peer open = sidecar.client();
    open.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    std::vector<Peer> half;
    for (int i = 0; i < 200; ++i) {  // the limit is 128 descriptors
        half.push_back(sidecar.client());
        half.back().send("GET /look/1 HTTP/1.1\r\n");
    }
    Peer client = sidecar.client();
    client.send(look("r2"));
    Peer also = endpoint.accept();
    EXPECT_TRUE(has(also.receive(), "X-Request-ID: r2"));
    also.send(answer(200, "2"));
    EXPECT_EQ(body_of(client.receive()), "2");
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(open.receive()), "1");
}

TEST_F(OneEndpoint, IdleClientsBeyondTheLimitAreEvicted) {
    std::vector<Peer> idle;
    for (int i = 0; i < 200; ++i) idle.push_back(sidecar.client());  // the limit is 128 descriptors
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
}

/// A platform's limit of 64 leaves 16 for clients and 16 for endpoints.
constexpr int kMaxClients = 16;
constexpr std::size_t kLimit = 64;

TEST(Descriptors, IdleKeepAliveClientsStayWithinTheLimitAndNewOnesAreServed) {
    Listener discovery, endpoint;
    std::string small = config(discovery.address(), target("s-1", endpoint.address()));
    small.replace(small.find("\"sockets\":128"), 13, "\"sockets\":64");
    Sidecar sidecar(small);
    std::vector<Peer> clients;
    std::optional<Peer> at_endpoint;
    std::size_t max_seen = 0;
    for (int i = 0; i < kMaxClients + 10; ++i) {
        const std::string id = std::to_string(i);
        clients.push_back(sidecar.client());
        clients.back().send(look("r" + id));
        if (!at_endpoint) at_endpoint = endpoint.accept();
        EXPECT_TRUE(has(at_endpoint->receive(), "X-Request-ID: r" + id + "\r\n"));
        at_endpoint->send(answer(200, id));
        EXPECT_EQ(body_of(clients.back().receive()), id);
        max_seen = std::max(max_seen, sidecar.descriptors());
    }
    EXPECT_LE(max_seen, kLimit);
    EXPECT_TRUE(endpoint.no_connection_pending());  // one connection was enough for all
    for (int i = 0; i < 10; ++i)
        EXPECT_TRUE(clients[static_cast<std::size_t>(i)].is_closed()) << i;  // the eldest made room
}

}  // namespace
