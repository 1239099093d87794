// What a running sidecar says of its requests, and the command that asks it.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

std::string why(Sidecar& sidecar, const std::string& arguments) {
    const std::string command = std::string(MARTENFORD) +
                                " why --console 127.0.0.1:" + std::to_string(sidecar.console_port()) + " " +
                                arguments + " 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    std::array<char, 4096> chunk{};
    std::string output;
    for (std::size_t n; (n = fread(chunk.data(), 1, chunk.size(), pipe)) > 0;) output.append(chunk.data(), n);
    pclose(pipe);
    return output;
}

TEST(Telemetry, TellsTheStoryOfARequestAndWhatExplainsTheBadOnes) {
    Listener discovery, sound, broken;
    const std::string both = target("s-sound", sound.address()) + "," + target("s-broken", broken.address());
    Sidecar sidecar(with_console(config(discovery.address(), both)), "[telemetry]\n");
    Peer client = sidecar.client();
    std::vector<Peer> peers;
    std::vector<bool> is_broken;
    int turned_away = 0, answered_there = 0;
    for (int i = 0; i < 120; ++i) {
        client.send(debit("r" + std::to_string(i)));
        for (bool answered = false; !answered;) {
            std::vector<pollfd> polls{client.poll_for(), sound.poll_for(), broken.poll_for()};
            for (const Peer& peer : peers) polls.push_back(peer.poll_for());
            const std::size_t ready = first_of(polls);
            ASSERT_LT(ready, polls.size());
            if (ready == 0) {
                client.receive();
                answered = true;
            } else if (ready < 3) {
                peers.push_back((ready == 1 ? sound : broken).accept());
                is_broken.push_back(ready == 2);
            } else {
                Peer& peer = peers[ready - 3];
                ASSERT_TRUE(has(peer.receive(), "X-Request-ID: "));
                // Turned away, it is asked again: that says nothing of it to the module.
                ++(is_broken[ready - 3] ? turned_away : answered_there);
                peer.send(is_broken[ready - 3] ? answer(503, "", "X-Not-Processed: 1\r\n")
                                               : answer(200, "x"));
            }
        }
    }
    ASSERT_GE(turned_away, 5);
    const std::string causes = why(sidecar, ""), times = std::to_string(turned_away);
    EXPECT_TRUE(has(causes, "attempts endpoint=s-broken: " + times + " of " + times +
                                " bad, elsewhere 0 of " + std::to_string(answered_there)))
        << causes;
    const std::string story = why(sidecar, "r0");
    EXPECT_TRUE(has(story, "r0 debit ")) << story;
    EXPECT_TRUE(has(story, " ms: to s-")) << story;
    EXPECT_TRUE(has(why(sidecar, "--slowest 3 --class debit"), " debit "))
        << why(sidecar, "--slowest 3 --class debit");
    const std::string latencies = why(sidecar, "--latencies"),
                      served = "debit: " + std::to_string(answered_there) + " served, p50 ";
    EXPECT_TRUE(has(latencies, served)) << latencies;
    EXPECT_EQ(why(sidecar, "unknown-id"), "none is kept of it\n");
}

TEST(Telemetry, IsNoCallWhereItIsOff) {
    Listener discovery, endpoint;
    Sidecar sidecar(with_console(config(discovery.address(), target("s-1", endpoint.address()))));
    EXPECT_TRUE(sidecar.call("why").starts_with("NO such call"));
    EXPECT_TRUE(has(why(sidecar, ""), "is [telemetry] on?"));
    EXPECT_TRUE(has(why(sidecar, "--since never"), "is no time")) << why(sidecar, "--since never");
}

}  // namespace
