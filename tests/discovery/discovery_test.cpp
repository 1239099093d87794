// Endpoint lists, the watch on them, and switching to another discovery agent.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

TEST(Discovery, WatchesFromTheConfiguredListAndAppliesADrain) {
    Listener discovery, first, second;
    Sidecar sidecar(config(discovery.address(), target("s-1", first.address()), "automatic"));
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer at_first = first.accept();
    at_first.receive();
    at_first.send(answer(200, "1"));
    client.receive();
    Peer watch = discovery.accept();
    EXPECT_TRUE(watch.receive().starts_with("GET /api/targets?since=41&timeout_ms="));
    watch.send(answer(
        200, list(43, false,
                  target("s-1", first.address(), "Terminating") + "," + target("s-2", second.address()))));
    EXPECT_TRUE(watch.receive().starts_with("GET /api/targets?since=43&timeout_ms="));
    EXPECT_TRUE(at_first.is_closed());  // the idle connection to the draining endpoint is closed
    client.send(look("r2"));
    Peer at_second = second.accept();
    at_second.receive();
    at_second.send(answer(200, "2"));
    EXPECT_EQ(body_of(client.receive()), "2");
    EXPECT_TRUE(first.no_connection_pending());
}

TEST(Discovery, InvalidAnswersAndEntriesAreSkippedAndTheOldListKept) {
    Listener discovery, first, second;
    Sidecar sidecar(config(discovery.address(), target("s-1", first.address()), "automatic"));
    for (const std::string& bad : {answer(200, "{"), answer(200, R"({"rev":44,"all":true})"), answer(503),
                                   answer(200, R"([])"), std::string("nonsense\r\n\r\n")}) {
        Peer watch = discovery.accept();
        EXPECT_TRUE(has(watch.receive(), "since=41&"));
        watch.send(bad);
        EXPECT_TRUE(watch.is_closed());
    }
    Peer watch = discovery.accept();
    watch.receive();
    // A full list with an unreadable entry for the known endpoint, which stays unchanged.
    watch.send(answer(200, list(45, true, R"({"uid":"s-1","state":"Odd"},7,)" + target("s-2", "elsewhere"))));
    EXPECT_TRUE(has(watch.receive(), "since=45&"));
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer at_first = first.accept();
    at_first.receive();
    at_first.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
}

// Guards against keeping, of an answer without end, what cannot be parsed: it took up to 2 GB before its time
// was over.
TEST(Discovery, AnAnswerWhoseFramingHasNoEndIsGivenUpWithinALittleMemory) {
    constexpr double kMaxGrowthMb = 8.0;
    constexpr std::size_t kPieceBytes = 256 * 1024;
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string fields = [] {
        std::string text;
        while (text.size() < kPieceBytes) text += "T: t\r\n";
        return text;
    }();
    const std::vector<std::pair<std::string, std::string>> forms = {
        {head, std::string(kPieceBytes, '0')},
        {head + "10;", std::string(kPieceBytes, 'e')},
        {head + "3\r\nabc\r\n0\r\nT: ", std::string(kPieceBytes, 't')},
        {head + "3\r\nabc\r\n0\r\n", fields}};
    Listener discovery, first;
    Sidecar sidecar(config(discovery.address(), target("s-1", first.address()), "automatic"), "",
                    {"ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=64"});
    for (const auto& [beginning, piece] : forms) {
        Peer watch = discovery.accept();
        EXPECT_TRUE(has(watch.receive(), "since=41&"));
        const double before = sidecar.memory_mb();
        watch.send(beginning);
        double peak = before;
        for (int pieces = 0; pieces < 400; ++pieces) {  // 100 MB
            watch.send(piece);
            peak = std::max(peak, sidecar.memory_mb());
        }
        EXPECT_LT(peak, before + kMaxGrowthMb);
    }
    Peer watch = discovery.accept();
    EXPECT_TRUE(has(watch.receive(), "since=41&"));
}

TEST(Discovery, ATruncatedAnswerIsRetriedBeforeTheWatchTimesOut) {
    Listener discovery, first, second;
    Sidecar sidecar(config(discovery.address(), target("s-1", first.address()), "automatic"));
    const std::string whole = answer(200, list(42, true, target("s-2", second.address())));
    for (const std::size_t part : {std::size_t{1}, std::size_t{30}, whole.size() - 1}) {
        Peer watch = discovery.accept();
        watch.receive();
        watch.send(whole.substr(0, part));
        EXPECT_TRUE(watch.is_closed());  // ends() waits 20 s at most, a watch 24 s
    }
    Peer watch = discovery.accept();
    watch.receive();
    watch.send(whole);
    EXPECT_TRUE(has(watch.receive(), "since=42&"));
    Peer client = sidecar.client();
    client.send(look("r1"));
    EXPECT_TRUE(has(second.accept().receive(), "X-Request-ID: r1"));
}

/// One endpoint is gone, another serves, and the watch is silent. Then either the new request or the old
/// watch is answered: the first that is becomes the watch, and the other connection is closed.
void silent_watch(bool old_watch_answers) {
    Listener discovery, gone, healthy;
    Sidecar sidecar(config(discovery.address(),
                           target("s-1", gone.address()) + "," + target("s-2", healthy.address()),
                           "automatic"));
    Peer watch = discovery.accept();
    EXPECT_TRUE(has(watch.receive(), "since=41&"));
    gone.close();
    // Eight requests at a time, so that the healthy endpoint never looks idle beside the one that is gone.
    std::vector<Peer> clients, at_healthy;
    for (int i = 0; i < 8; ++i) clients.push_back(sidecar.client());
    int rounds = 0;
    for (; rounds < 300 && discovery.no_connection_pending(); ++rounds) {
        for (std::size_t i = 0; i < clients.size(); ++i) {
            clients[i].send(debit("r" + std::to_string(rounds) + "-" + std::to_string(i)));
        }
        std::vector<std::size_t> asked;
        std::vector<bool> refused(clients.size());
        while (asked.size() + static_cast<std::size_t>(std::count(refused.begin(), refused.end(), true)) <
               clients.size()) {
            std::vector<pollfd> polls{healthy.poll_for()};
            for (const Peer& peer : at_healthy) polls.push_back(peer.poll_for());
            for (const Peer& client : clients) polls.push_back(client.poll_for());
            const std::size_t ready = first_of(polls);
            ASSERT_LT(ready, polls.size());
            if (ready == 0) {
                at_healthy.push_back(healthy.accept());
            } else if (ready > at_healthy.size()) {
                const std::size_t client = ready - 1 - at_healthy.size();
                EXPECT_EQ(status_of(clients[client].receive()), 503);
                refused[client] = true;
            } else if (has(at_healthy[ready - 1].receive(), "X-Request-ID: r")) {
                asked.push_back(ready - 1);
            } else {
                FAIL() << "a connection that the sidecar has no use for was closed";
            }
        }
        for (const std::size_t one : asked) at_healthy[one].send(answer(200, "x"));
        for (std::size_t i = 0; i < clients.size(); ++i) {
            if (refused[i]) continue;
            EXPECT_EQ(body_of(clients[i].receive()), "x");
        }
    }
    ASSERT_LT(rounds, 300);
    Peer new_request = discovery.accept();
    EXPECT_TRUE(has(new_request.receive(), "since=41&")) << "the new request asks for what was missed";
    Peer &first = old_watch_answers ? watch : new_request, &second = old_watch_answers ? new_request : watch;
    first.send(answer(200, list(43, false, target("s-1", gone.address(), "Terminating"))));
    EXPECT_TRUE(has(first.receive(), "since=43&"));
    EXPECT_TRUE(second.is_closed());
}

TEST(Discovery, ASilentWatchIsReplacedWhenAnEndpointRefusesAndOthersServe) {
    silent_watch(false);
}

TEST(Discovery, AnAnswerOnTheOldWatchBeforeTheNewRequestIsAnsweredIsNotLost) {
    // The old watch used to be closed as soon as it was suspected. Changes that discovery had just written to
    // it were lost, because discovery counted them as delivered.
    silent_watch(true);
}

TEST(Discovery, SighupChangesTheAgentKeepsTheListAndRequestsTheFullOne) {
    Listener discovery, moved, first, second;
    const std::string known = target("s-1", first.address());
    Sidecar sidecar(config(discovery.address(), known, "automatic"));
    Peer old_watch = discovery.accept();
    EXPECT_TRUE(has(old_watch.receive(), "since=41&"));
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer at_first = first.accept();
    at_first.receive();
    sidecar.reload(config(moved.address(), known, "automatic"));
    EXPECT_TRUE(old_watch.is_closed());
    Peer watch = moved.accept();
    // The old revision has no meaning to the new agent.
    EXPECT_TRUE(watch.receive().starts_with("GET /api/targets HTTP/1.1\r\n"));
    at_first.send(answer(200, "1"));  // a request in flight continues
    EXPECT_EQ(body_of(client.receive()), "1");
    client.send(look("r2"));  // and the list and the connections are kept
    EXPECT_TRUE(has(at_first.receive(), "X-Request-ID: r2"));
    at_first.send(answer(200, "2"));
    EXPECT_EQ(body_of(client.receive()), "2");
    watch.send(answer(200, list(3, true, target("s-2", second.address()))));
    EXPECT_TRUE(has(watch.receive(), "since=3&"));
    EXPECT_TRUE(at_first.is_closed());
    client.send(look("r3"));
    Peer at_second = second.accept();
    EXPECT_TRUE(has(at_second.receive(), "X-Request-ID: r3"));
}

TEST(Discovery, DeltasFromANewAgentAreRejectedBeforeItsFullList) {
    Listener discovery, moved, first;
    const std::string known = target("s-1", first.address());
    Sidecar sidecar(config(discovery.address(), known, "automatic"));
    Peer old_watch = discovery.accept();
    old_watch.receive();
    sidecar.reload(config(moved.address(), known, "automatic"));
    Peer watch = moved.accept();
    watch.receive();
    watch.send(answer(200, list(44, false, target("s-1", first.address(), "Gone"))));
    EXPECT_TRUE(watch.is_closed());
    Peer again = moved.accept();
    EXPECT_TRUE(again.receive().starts_with("GET /api/targets HTTP/1.1\r\n"));
    Peer client = sidecar.client();
    client.send(look("r1"));
    Peer at_first = first.accept();
    EXPECT_TRUE(has(at_first.receive(), "X-Request-ID: r1"));
}

TEST(Discovery, AnInvalidReloadIsLoggedAndTheOldConfigurationStays) {
    Listener discovery, moved, first;
    const std::string good = config(discovery.address(), target("s-1", first.address()), "automatic");
    Sidecar sidecar(good);
    Peer watch = discovery.accept();
    watch.receive();
    const std::pair<std::string, std::string> bad[] = {
        {"{", "martenford-test-"},
        {config("nowhere", "", "automatic"), "'discovery'"},
        {config(moved.address(), "", "never"), "'discovery'"},
    };
    for (const auto& [text, word] : bad) {
        sidecar.reload(text);
        EXPECT_TRUE(has(sidecar.await_log("the old configuration stays"), word));
    }
    sidecar.reload(good);  // same address: nothing changes
    EXPECT_TRUE(watch.silent());
    EXPECT_TRUE(moved.no_connection_pending());
    watch.send(answer(200, list(45, false, "")));
    EXPECT_TRUE(has(watch.receive(), "since=45&"));
}

/// Twelve entries with the same address.
std::string twelve_targets(const Listener& at) {
    std::string result;
    for (int i = 0; i < 12; ++i) result += (i ? "," : "") + target("s-" + std::to_string(i), at.address());
    return result;
}

TEST(Discovery, RemovingMostEndpointsIsDelayedAndConfirmed) {
    Listener discovery, endpoint;
    const std::string known = twelve_targets(endpoint);
    Sidecar sidecar(config(discovery.address(), known, "automatic"), "[membership]\n");
    Peer client = sidecar.client();
    Peer watch = discovery.accept();
    EXPECT_TRUE(has(watch.receive(), "since=41&"));
    watch.send(answer(200, list(42, true, "")));  // truncated, or a fleet that is gone?
    EXPECT_TRUE(has(sidecar.await_log("removals are delayed"), "12 of 12"));
    EXPECT_TRUE(watch.receive().starts_with("GET /api/targets HTTP/1.1\r\n"));
    watch.send(answer(200, list(42, true, known)));
    EXPECT_TRUE(has(watch.receive(), "since=42&"));
    client.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
    // A second list with the same removals confirms them.
    watch.send(answer(200, list(43, true, "")));
    EXPECT_TRUE(watch.receive().starts_with("GET /api/targets HTTP/1.1\r\n"));
    watch.send(answer(200, list(43, true, "")));
    EXPECT_TRUE(has(watch.receive(), "since=43&"));
    EXPECT_TRUE(at_endpoint.is_closed());
    client.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(status_of(client.receive()), 503);
}

TEST(Discovery, UnconfirmedRemovalsApplyWithinTheDrainGrace) {
    Listener discovery, endpoint;
    const std::string known = twelve_targets(endpoint);
    Sidecar sidecar(config(discovery.address(), known, "automatic"), "[membership]\n");
    Peer client = sidecar.client();
    Peer watch = discovery.accept();
    watch.receive();
    watch.send(answer(200, list(42, true, "")));
    watch.receive();  // and discovery answers no more
    sidecar.await_log("12 endpoints removed after the delay");
    client.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(status_of(client.receive()), 503);
}

TEST(Discovery, OnlyTheSubsetIsUsed) {
    Listener discovery, endpoint;
    std::vector<Listener> all(8);
    std::string known;
    for (std::size_t i = 0; i < all.size(); ++i) {
        known += (i ? "," : "") + target("s-" + std::to_string(i), all[i].address());
    }
    Sidecar sidecar(config(discovery.address(), known, "automatic"), "[subset]\nwidth = 1\nmost_width = 1\n");
    std::vector<pollfd> polls;
    for (const Listener& l : all) polls.push_back(l.poll_for());
    std::vector<Peer> clients;
    clients.push_back(sidecar.client());
    clients.back().send(look("r0"));
    const std::size_t used = first_of(polls);
    ASSERT_LT(used, all.size());
    for (int i = 0; i < 6; ++i) {
        if (i > 0) {
            clients.push_back(sidecar.client());
            clients.back().send(look("r" + std::to_string(i)));
        }
        Peer peer = all[used].accept();
        EXPECT_TRUE(has(peer.receive(), "X-Request-ID: r" + std::to_string(i)));
        peer.send(answer(200, "x", "Connection: close\r\n"));
        EXPECT_EQ(body_of(clients.back().receive()), "x");
    }
    for (std::size_t i = 0; i < all.size(); ++i) EXPECT_TRUE(i == used || all[i].no_connection_pending());
}

}  // namespace
