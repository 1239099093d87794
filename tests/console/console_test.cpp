// The address where operators call, on sockets.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

class ConsoleOfOne : public testing::Test {
  protected:
    Listener discovery, endpoint;
    Sidecar sidecar{with_console(config(discovery.address(), target("s-1", endpoint.address())))};
};

TEST_F(ConsoleOfOne, AnswersOneLineAConnection) {
    EXPECT_EQ(sidecar.call("readyz"), "YES\n");
    EXPECT_EQ(sidecar.call("readyz\r"), "YES\n");
    EXPECT_TRUE(sidecar.call("what").starts_with("NO "));
    EXPECT_TRUE(sidecar.call(std::string(10'000, 'x')).starts_with("NO "));
    const std::string figures = sidecar.call("telemetry");
    EXPECT_TRUE(figures.ends_with("\nEND\n")) << figures;
    EXPECT_TRUE(has(figures, "sidecar.hosts_listed:1|g\n")) << figures;
    EXPECT_TRUE(has(figures, "sidecar.hosts_down:0|g\n")) << figures;
}

TEST_F(ConsoleOfOne, IsNotReadyWhileNoEndpointIsKnown) {
    Listener other;
    Sidecar fresh(with_console(config(other.address(), "")));
    EXPECT_TRUE(fresh.call("readyz").starts_with("NO"));
}

TEST_F(ConsoleOfOne, CallersThatSayNothingOrHalfALineKeepNobodyOut) {
    std::vector<Peer> mute;
    for (int i = 0; i < 200; ++i) {
        mute.push_back(Peer::to(sidecar.console_port()));
        if (i % 2) mute.back().send("ready");
    }
    EXPECT_EQ(sidecar.call("readyz"), "YES\n");
    for (Peer& peer : mute) EXPECT_TRUE(peer.is_closed());  // and are not held for good
}

TEST_F(ConsoleOfOne, CountsRequestsByClassAndEndAndAttemptsWrittenWhole) {
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    EXPECT_EQ(sidecar.metric("inflight"), 1.0);
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(status_of(client.receive()), 200);
    EXPECT_EQ(sidecar.metric("inflight"), 0.0);
    client.send(debit("r2"));
    at_endpoint.receive();
    at_endpoint.send(answer(500));
    EXPECT_EQ(status_of(client.receive()), 502);
    endpoint.close();
    at_endpoint.reset();
    client.send(debit("r3", 300));  // never written: it is refused
    EXPECT_EQ(status_of(client.receive()), 503);
    EXPECT_EQ(sidecar.metric("success.look"), 1.0);
    EXPECT_EQ(sidecar.metric("failure.debit"), 1.0);
    EXPECT_EQ(sidecar.metric("busy.debit"), 1.0);
    EXPECT_EQ(sidecar.metric("backend_calls"), 2.0);
    client.send(
        "GET /what/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: what\r\nX-Timeout-Ms: 9\r\n\r\n");
    EXPECT_EQ(status_of(client.receive()), 404);  // taken by nobody, so counted nowhere
    EXPECT_EQ(sidecar.metric("failure.look") + sidecar.metric("busy.look") + sidecar.metric("failure.post"),
              0.0);
}

TEST_F(ConsoleOfOne, EvacuationClosesConnectionsAsTheyFallIdleAndLosesNothing) {
    Peer idle = sidecar.client(), open = sidecar.client();
    idle.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(status_of(idle.receive()), 200);
    open.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    EXPECT_EQ(sidecar.call("evacuate"), "YES\n");
    EXPECT_TRUE(sidecar.call("readyz").starts_with("NO"));
    Peer front = sidecar.client();
    front.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string ready = front.receive();
    EXPECT_EQ(status_of(ready), 503);
    EXPECT_TRUE(has(ready, "Connection: close\r\n")) << ready;
    EXPECT_TRUE(idle.is_closed());
    at_endpoint.send(answer(200, "1"));  // what was open is answered, and its connection given up
    const std::string reply = open.receive();
    EXPECT_EQ(body_of(reply), "1");
    EXPECT_TRUE(has(reply, "Connection: close\r\n")) << reply;
    // Until activated, long after: a request that comes all the same is turned away, harmlessly.
    for (int status = 200; status == 200;) {
        Peer late = sidecar.client();
        late.send(debit("late"));
        const std::size_t which = first_of({endpoint.poll_for(), at_endpoint.poll_for(), late.poll_for()});
        if (which == 0) at_endpoint = endpoint.accept();
        if (which < 2) {
            at_endpoint.receive();
            at_endpoint.send(answer(200, "2"));
        }
        status = status_of(late.receive());
        EXPECT_TRUE(late.is_closed());
    }
    EXPECT_EQ(sidecar.call("activate"), "YES\n");
    EXPECT_EQ(sidecar.call("readyz"), "YES\n");
    Peer again = sidecar.client();
    again.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string yes = again.receive();
    EXPECT_EQ(status_of(yes), 200);
    EXPECT_FALSE(has(yes, "Connection: close\r\n")) << yes;
}

}  // namespace
