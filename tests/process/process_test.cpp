// Readiness, graceful shutdown and command line of the process.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

TEST(Sidecar, IsReadyOnceItKnowsAnEndpoint) {
    Listener discovery, endpoint;
    Sidecar sidecar(config(discovery.address(), "", "automatic"));
    Peer client = sidecar.client();
    client.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(status_of(client.receive()), 503);
    Peer watch = discovery.accept();
    watch.receive();
    watch.send(answer(200, list(42, true, target("s-1", endpoint.address()))));
    watch.receive();  // the next watch request: the previous answer has been applied
    client.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(status_of(client.receive()), 200);
}

TEST_F(OneEndpoint, TerminatedSidecarServesRemainingRequestsAndExits) {
    Peer open = sidecar.client(), idle = sidecar.client();
    idle.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(status_of(idle.receive()), 200);
    open.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    sidecar.terminate();
    std::string ready;
    Peer late = sidecar.client();
    do {  // until the signal has been handled
        late = sidecar.client();
        late.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        ready = late.receive();
    } while (status_of(ready) == 200);
    EXPECT_TRUE(has(ready, "Connection: close\r\n")) << ready;
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(open.receive()), "1");
    // Open connections are still served for a while, with timeouts that end before SIGKILL comes.
    open.send(look("r2"));
    const std::string request = at_endpoint.receive();
    EXPECT_TRUE(has(request, "X-Request-ID: r2"));
    EXPECT_LE(std::atoi(request.c_str() + request.find("X-Timeout-Ms: ") + 14), 3'700);
    EXPECT_TRUE(idle.is_closed());  // then idle connections are closed
    at_endpoint.send(answer(200, "2"));
    const std::string reply = open.receive();
    EXPECT_EQ(body_of(reply), "2");
    EXPECT_TRUE(has(reply, "Connection: close\r\n")) << reply;
    EXPECT_TRUE(open.is_closed());
    { const Peer closed = std::move(open), also = std::move(late); }
    EXPECT_EQ(sidecar.exit_code(), 0);
}

// Guards against an end at the start, with 1, while another process holds the address.
TEST(Sidecar, WaitsForAnAddressThatIsHeld) {
    Listener discovery, holder;
    Sidecar sidecar(listening_on(config(discovery.address(), ""), holder.address()));
    sidecar.await_log("cannot listen on " + holder.address());
    holder.close();
    EXPECT_GT(sidecar.port(), 0);
    sidecar.terminate();
    EXPECT_EQ(sidecar.exit_code(), 0);
}

TEST(Sidecar, TerminatedWhileItWaitsForItsAddressExits) {
    Listener discovery, holder;
    Sidecar sidecar(listening_on(config(discovery.address(), ""), holder.address()));
    sidecar.await_log("cannot listen on " + holder.address());
    sidecar.terminate();
    EXPECT_EQ(sidecar.exit_code(), 0);
}

// Guards against an end by SIGPIPE when the log's reader goes away.
TEST(Sidecar, OutlivesTheReaderOfItsLog) {
    Listener discovery;
    Sidecar sidecar(with_console(config(discovery.address(), "")));
    sidecar.port();
    sidecar.close_log();
    sidecar.call("evacuate");  // writes a line
    sidecar.call("activate");
    sidecar.terminate();
    EXPECT_EQ(sidecar.exit_code(), 0);
}

TEST(Commands, AcceptGlobalOptionsBeforeAndAfterTheSubcommand) {
    for (const char* words :
         {"--config /nonexistent.toml check", "check --config /nonexistent.toml",
          "serve --config /nonexistent.toml", "--check-config --config /nonexistent.toml"}) {
        FILE* pipe = popen((std::string(MARTENFORD) + " " + words + " 2>&1").c_str(), "r");
        std::string said(256, '\0');
        said.resize(fread(said.data(), 1, said.size(), pipe));
        EXPECT_EQ(WEXITSTATUS(pclose(pipe)), 2) << words;
        EXPECT_TRUE(has(said, "/nonexistent.toml")) << words << ": " << said;
    }
}

}  // namespace
