// Requests and answers over HTTP/1.1, and how each attempt ends.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

TEST_F(OneEndpoint, ForwardsRequestAndAnswerUnchanged) {
    Peer client = sidecar.client();
    client.send(
        "POST /post/7f3a?a=b%20c HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: r1\r\n"
        "X-Priority-Class: post\r\nX-Timeout-Ms: 60000\r\nIdempotency-Key: k1\r\n"
        "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nContent-Length: 5\r\n\r\na\r\n\0b");
    // The text ends at its zero byte: the last two of the five bytes follow.
    client.send(std::string("\0b", 2));
    Peer at_endpoint = endpoint.accept();
    const std::string request = at_endpoint.receive();
    EXPECT_TRUE(request.starts_with("POST /post/7f3a?a=b%20c HTTP/1.1\r\n")) << request;
    EXPECT_EQ(body_of(request), std::string("a\r\n\0b", 5));
    EXPECT_TRUE(has(request, "X-Request-ID: r1\r\n")) << request;
    EXPECT_TRUE(has(request, "Idempotency-Key: k1\r\n")) << request;
    EXPECT_FALSE(has(request, "X-Hop")) << request;
    const auto told = request.find("X-Timeout-Ms: ");
    ASSERT_NE(told, std::string::npos);
    EXPECT_LE(std::atoi(request.c_str() + told + 14), 60'000);
    EXPECT_GT(std::atoi(request.c_str() + told + 14), 30'000);
    const std::string body("x\0\r\n\r\ny", 7);
    at_endpoint.send(answer(200, body));
    const std::string reply = client.receive();
    EXPECT_EQ(status_of(reply), 200);
    EXPECT_EQ(body_of(reply), body);
}

TEST_F(OneEndpoint, ReusesIdleConnectionButNotOneClosedByTheEndpoint) {
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer first = endpoint.accept();
    first.receive();
    first.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
    client.send(look("r2"));
    EXPECT_TRUE(has(first.receive(), "X-Request-ID: r2"));
    EXPECT_TRUE(endpoint.no_connection_pending());
    first.send(answer(200, "2"));
    EXPECT_EQ(body_of(client.receive()), "2");
    first = Peer(Descriptor());  // closes it
    client.send(look("r3"));
    Peer second = endpoint.accept();
    EXPECT_TRUE(has(second.receive(), "X-Request-ID: r3"));
    second.send(answer(200, "3"));
    EXPECT_EQ(body_of(client.receive()), "3");
}

TEST_F(OneEndpoint, UnsafeRequestIsNotRetriedAfterABrokenConnection) {
    Peer client = sidecar.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r1"));
    at_endpoint.reset();
    EXPECT_EQ(status_of(client.receive()), 502);
    EXPECT_TRUE(endpoint.no_connection_pending());
    EXPECT_TRUE(client.silent());
}

TEST_F(OneEndpoint, OnlyAMarkedRefusalProvesThatAnUnsafeRequestNeverRan) {
    Peer client = sidecar.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    at_endpoint.send(answer(503));
    EXPECT_EQ(status_of(client.receive()), 502);
    client.send(debit("r2"));
    at_endpoint.receive();
    at_endpoint.send(answer(503, "", "X-Not-Processed: 1\r\n"));
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r2"));  // sent again
    at_endpoint.send(answer(200, "done"));
    EXPECT_EQ(body_of(client.receive()), "done");
}

TEST_F(OneEndpoint, SilentEndpointTimesOutAtTheDeadlineWithOneAnswer) {
    Peer client = sidecar.client();
    client.send(debit("r1", 300));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    EXPECT_EQ(status_of(client.receive()), 502);
    EXPECT_TRUE(at_endpoint.is_closed());
    EXPECT_TRUE(client.silent());
    EXPECT_TRUE(endpoint.no_connection_pending());
}

/// An endpoint says no more than this to a request that may be repeated.
void expect_second_attempt(Sidecar& sidecar, Listener& endpoint, const std::string& said) {
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer silent = endpoint.accept();
    EXPECT_TRUE(has(silent.receive(), "X-Request-ID: r1\r\n"));
    silent.send(said);
    ASSERT_TRUE(silent.is_closed());  // the first is over before the second begins
    Peer second = endpoint.accept();
    EXPECT_TRUE(has(second.receive(), "X-Request-ID: r1\r\n"));
    second.send(answer(200, "again"));
    const std::string reply = client.receive();
    EXPECT_EQ(status_of(reply), 200);
    EXPECT_EQ(body_of(reply), "again");
}
TEST_F(OneEndpoint, OverdueAttemptIsRetried) {
    expect_second_attempt(sidecar, endpoint, "");
}
TEST_F(OneEndpoint, TruncatedAnswerIsRetried) {
    expect_second_attempt(sidecar, endpoint, "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhal");
}

TEST_F(OneEndpoint, UnansweredUnsafeRequestsAreNotRetriedAndDoNotCountAsQueue) {
    std::vector<Peer> clients, silent;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(sidecar.client());
        clients.back().send(debit("d" + std::to_string(i), 1500));
        silent.push_back(endpoint.accept());
        EXPECT_TRUE(has(silent.back().receive(), "X-Request-ID: d"));
    }
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer quick = endpoint.accept();
    quick.receive();
    quick.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
    for (Peer& waits : clients) EXPECT_EQ(status_of(waits.receive()), 502);
    EXPECT_TRUE(endpoint.no_connection_pending());
    for (int i = 0; i < 5; ++i) {
        client.send(look("after" + std::to_string(i)));
        quick.receive();
        quick.send(answer(200, "2"));
        EXPECT_EQ(status_of(client.receive()), 200) << "refused for the time that others waited";
    }
}

TEST_F(OneEndpoint, NoRetryAfterTheClientDisconnected) {
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    client = Peer(Descriptor());  // closes it
    Peer other = sidecar.client();
    at_endpoint.reset();
    other.send(look("r2"));
    Peer next = endpoint.accept();
    EXPECT_TRUE(has(next.receive(), "X-Request-ID: r2"));
    next.send(answer(500));
    EXPECT_TRUE(has(next.receive(), "X-Request-ID: r2"));  // after a wait in which r1 would have come too
    EXPECT_TRUE(endpoint.no_connection_pending());
}

TEST_F(OneEndpoint, MalformedOrTooLargeAnswerIsAFailedAttempt) {
    Peer client = sidecar.client();
    for (const std::string& bad :
         {std::string("nonsense\r\n\r\n"),
          "HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n" + std::string(70'000, 'x'),
          std::string("HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n"),
          "HTTP/1.1 200 x\r\nX: " + std::string(20'000, 'x')}) {
        client.send(debit("r" + std::to_string(bad.size())));
        Peer at_endpoint = endpoint.accept();
        at_endpoint.receive();
        at_endpoint.send(bad);
        EXPECT_EQ(status_of(client.receive()), 502) << bad.substr(0, 40);
    }
}

TEST_F(OneEndpoint, InterimAnswersAreSkipped) {
    Peer client = sidecar.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    const std::string early =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>; rel=preload\r\n\r\n";
    at_endpoint.send(early + answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
    client.send(debit("r2"));  // on the same connection: nothing was left over
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r2"));
    std::string many;
    for (int i = 0; i < 1000; ++i) many += "HTTP/1.1 102 x\r\n\r\n";
    at_endpoint.send(many);
    EXPECT_EQ(status_of(client.receive()), 502);
    EXPECT_TRUE(endpoint.no_connection_pending());
}

TEST_F(OneEndpoint, SurplusBytesNeverBecomeTheNextAnswer) {
    for (const std::string& more : {answer(200, "stale"), std::string("noise"), std::string(20'000, 'x')}) {
        Peer client = sidecar.client();
        client.send(debit("r1"));
        Peer at_endpoint = endpoint.accept();
        at_endpoint.receive();
        at_endpoint.send(answer(200, "1") + more);
        EXPECT_EQ(body_of(client.receive()), "1");
        client.send(debit("r2"));
        Peer next = endpoint.accept();  // the connection is not used again
        EXPECT_TRUE(has(next.receive(), "X-Request-ID: r2"));
        next.send(answer(200, "2"));
        EXPECT_EQ(body_of(client.receive()), "2");
        client.send(debit("r3"));
        EXPECT_TRUE(has(next.receive(), "X-Request-ID: r3"));
        next.send(answer(200, "3"));
        EXPECT_EQ(body_of(client.receive()), "3");
        next.send(more);  // while it carries nothing
        EXPECT_TRUE(next.is_closed());
    }
}

TEST(Sidecar, RefusedConnectionProvesThatNothingRan) {
    Listener discovery, closed, open;
    closed.close();
    Sidecar sidecar(
        config(discovery.address(), target("s-1", closed.address()) + "," + target("s-2", open.address())));
    Peer client = sidecar.client();
    Peer* at_open = nullptr;
    std::optional<Peer> connection;
    // Either may be drawn first; over this many requests the refused one is, and no request is lost to it.
    for (int i = 0; i < 12; ++i) {
        client.send(debit("r" + std::to_string(i)));
        if (!at_open) at_open = &connection.emplace(open.accept());
        EXPECT_TRUE(has(at_open->receive(), "X-Request-ID: r" + std::to_string(i) + "\r\n"));
        at_open->send(answer(200, "done"));
        EXPECT_EQ(body_of(client.receive()), "done");
    }
}

TEST(Sidecar, ConnectionsPerEndpointAreLimited) {
    Listener discovery, endpoint;
    Sidecar sidecar(config(discovery.address(), target("s-1", endpoint.address())),
                    "[connections]\nper_endpoint = 1\n");
    Peer first = sidecar.client(), second = sidecar.client();
    first.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    // The one connection is in use: the second waits for a try that finds it idle, or is refused; it never
    // opens one.
    second.send(look("r2"));
    EXPECT_TRUE(at_endpoint.silent());
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(first.receive()), "1");
    if (first_of({second.poll_for(), at_endpoint.poll_for()}) == 1) {
        EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r2"));
        at_endpoint.send(answer(200, "2"));
        EXPECT_EQ(body_of(second.receive()), "2");
    } else {
        EXPECT_EQ(status_of(second.receive()), 503);
    }
    EXPECT_TRUE(endpoint.no_connection_pending());
}

TEST(Sidecar, LongestIdleConnectionIsEvictedForANewOne) {
    Listener discovery;
    std::vector<Listener> endpoints(3);
    std::string known;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        known += (i ? "," : "") + target("s-" + std::to_string(i), endpoints[i].address());
    }
    Sidecar sidecar(config(discovery.address(), known), "[connections]\nmost = 2\n");
    std::vector<Peer> at;
    std::vector<std::size_t> order;  // of the endpoints, as they were first used
    Peer client = sidecar.client();
    for (int i = 0; i < 100; ++i) {
        client.send(look("r" + std::to_string(i)));
        std::vector<pollfd> polls;
        for (const Peer& peer : at) polls.push_back(peer.poll_for());
        for (const Listener& l : endpoints) polls.push_back(l.poll_for());
        const std::size_t which = first_of(polls);
        ASSERT_LT(which, polls.size());
        const bool fresh = which >= at.size();
        if (at.size() == 2 && (fresh || at[which].is_closed())) {
            // The third needs room: one of the others is closed for it, and one only.
            const std::size_t closed = fresh ? first_of({at[0].poll_for(), at[1].poll_for()}) : which;
            ASSERT_LT(closed, 2u);
            EXPECT_TRUE(!fresh || at[closed].is_closed());
            Peer third = endpoints[3 - order[0] - order[1]].accept();
            EXPECT_TRUE(has(third.receive(), "X-Request-ID: r" + std::to_string(i)));
            EXPECT_TRUE(at[1 - closed].silent());
            return;
        }
        if (fresh) {
            order.push_back(which - at.size());
            at.push_back(endpoints[order.back()].accept());
        }
        Peer& peer = fresh ? at.back() : at[which];
        EXPECT_TRUE(has(peer.receive(), "X-Request-ID: r" + std::to_string(i)));
        peer.send(answer(200, "x"));
        EXPECT_EQ(body_of(client.receive()), "x");
    }
    FAIL() << "the third endpoint was never used";
}

}  // namespace
