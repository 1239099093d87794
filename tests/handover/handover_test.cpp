// A later process takes over from an earlier one of the same sidecar, on real sockets.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <string>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

class Upgrade : public testing::Test {
  protected:
    static std::string make_directory() {
        // Longer than the address of a local socket may be.
        const std::string base = testing::TempDir() + "martenford-upgrade-XXXXXX";
        std::vector<char> path(base.begin(), base.end());
        path.push_back('\0');
        EXPECT_NE(mkdtemp(path.data()), nullptr);
        const std::string deep = std::string(path.data()) + "/" + std::string(120, 'd');
        EXPECT_EQ(mkdir(deep.c_str(), 0700), 0);
        return deep;
    }
    ~Upgrade() override { std::filesystem::remove_all(std::filesystem::path(directory).parent_path()); }

    std::string platform(const std::string& mode = "automatic") {
        return with_console(config(discovery.address(), target("s-1", endpoint.address()), mode));
    }
    std::vector<std::string> environment() const { return {"TMPDIR=" + directory}; }
    Peer answer_watch(const std::string& targets, int revision = 42) {
        Peer watch = discovery.accept();
        watch.receive();
        watch.send(answer(200, list(revision, true, targets)));
        return watch;
    }

    const std::string directory = make_directory();
    Listener discovery, endpoint;
};

/// Serves one request through whichever process takes it.
void expect_served(int port, Listener& endpoint, const std::string& id) {
    Peer client = Peer::to(port);
    client.send(look(id));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    at_endpoint.send(answer(200, id));
    EXPECT_EQ(body_of(client.receive()), id);
}

TEST_F(Upgrade, LaterProcessServesOnTheSameAddressOnceDiscoveryHasAnswered) {
    Sidecar earlier(platform(), "", environment());
    const int port = earlier.port();
    Peer watch = answer_watch(target("s-1", endpoint.address()));
    Sidecar later(platform(), "", environment());
    EXPECT_TRUE(later.call("readyz").starts_with("NO"));  // the list in its configuration may be old
    Peer other_watch = answer_watch(target("s-1", endpoint.address()));
    EXPECT_EQ(later.port(), port);  // it says where it listens once it does
    EXPECT_EQ(later.call("readyz"), "YES\n");
    EXPECT_EQ(earlier.call("readyz"), "YES\n");
    earlier.terminate();
    EXPECT_EQ(earlier.exit_code(), 0);
    for (int i = 0; i < 20; ++i) expect_served(port, endpoint, "r" + std::to_string(i));
    EXPECT_EQ(later.metric("success.look"), 20.0);
}

TEST_F(Upgrade, SuccessiveUpgradesRefuseNoConnection) {
    auto current = std::make_unique<Sidecar>(platform(), "", environment());
    const int port = current->port();
    Peer watch = answer_watch(target("s-1", endpoint.address()));
    for (int generation = 0; generation < 3; ++generation) {
        auto next = std::make_unique<Sidecar>(platform(), "", environment());
        Peer next_watch = answer_watch(target("s-1", endpoint.address()));
        EXPECT_EQ(next->port(), port);
        // Connections that wait in the listener when the earlier one is told to end, whichever accepts them.
        std::vector<Peer> clients;
        for (int i = 0; i < 10; ++i) clients.push_back(Peer::to(port));
        current->terminate();
        for (int i = 0; i < 10; ++i) clients.push_back(Peer::to(port));
        for (std::size_t i = 0; i < clients.size(); ++i) {
            clients[i].send(look("g" + std::to_string(generation) + "-" + std::to_string(i)));
            ASSERT_EQ(first_of({endpoint.poll_for(), clients[i].poll_for()}), 0u)
                << "generation " << generation << ", client " << i << ": " << clients[i].receive_all();
            Peer at_endpoint = endpoint.accept();
            at_endpoint.receive();
            at_endpoint.send(answer(200, "here", "Connection: close\r\n"));
            EXPECT_EQ(body_of(clients[i].receive()), "here") << i;
        }
        clients.clear();
        EXPECT_EQ(current->exit_code(), 0);
        current = std::move(next);
        watch = std::move(next_watch);
    }
}

TEST_F(Upgrade, EarlierProcessFinishesItsRequestsAndClosesConnections) {
    Sidecar earlier(platform(), "", environment());
    Peer watch = answer_watch(target("s-1", endpoint.address()));
    Peer client = earlier.client();
    client.send(look("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    Sidecar later(platform(), "", environment());
    Peer other_watch = answer_watch(target("s-1", endpoint.address()));
    later.port();
    earlier.terminate();
    while (earlier.call("readyz") == "YES\n") {
    }
    at_endpoint.send(answer(200, "1"));
    const std::string reply = client.receive();
    EXPECT_EQ(body_of(reply), "1");
    EXPECT_TRUE(has(reply, "Connection: close\r\n")) << reply;
    EXPECT_TRUE(client.is_closed());
}

TEST_F(Upgrade, SocketLeftByACrashedProcessDoesNotPreventAStart) {
    int port = 0;
    {
        Sidecar earlier(platform(), "", environment());
        port = earlier.port();
        EXPECT_EQ(earlier.call("readyz"), "YES\n");
    }  // killed outright: its local socket stays in the directory
    Sidecar later(platform(), "", environment());
    EXPECT_NE(later.port(), 0);
    EXPECT_EQ(later.call("readyz"), "YES\n");
    (void)port;
}

TEST_F(Upgrade, EarlierProcessKeepsServingWhenTheLaterOneDies) {
    Sidecar earlier(platform(), "", environment());
    const int port = earlier.port();
    Peer watch = answer_watch(target("s-1", endpoint.address()));
    {
        Sidecar later(platform(), "", environment());
        Peer other_watch = answer_watch(target("s-1", endpoint.address()));
        later.port();
    }
    for (int i = 0; i < 5; ++i) expect_served(port, endpoint, "r" + std::to_string(i));
}

TEST_F(Upgrade, ProcessesWithoutAHandoverShareThePortAndLoseAtMostOneConnection) {
    Sidecar earlier(platform(), "", environment());
    const int port = earlier.port();
    std::string second_config = platform();
    const std::string any = "\"listen\":\"127.0.0.1:0\"";
    second_config.replace(second_config.find(any), any.size(),
                          "\"listen\":\"127.0.0.1:" + std::to_string(port) + "\"");
    Sidecar later(second_config, "", {"TMPDIR=" + directory + "/none"});
    EXPECT_EQ(later.port(), port);
    EXPECT_EQ(later.call("readyz"), "YES\n");
    int served = 0, lost = 0;
    const auto ask = [&] {
        Peer client = Peer::to(port);
        client.send(look("r" + std::to_string(served + lost)));
        if (first_of({endpoint.poll_for(), client.poll_for()}) == 1) {
            EXPECT_TRUE(client.is_closed());  // closed unread, nothing sent on
            ++lost;
            return;
        }
        Peer at_endpoint = endpoint.accept();
        at_endpoint.receive();
        at_endpoint.send(answer(200, "x", "Connection: close\r\n"));
        EXPECT_EQ(body_of(client.receive()), "x");
        ++served;
    };
    // New clients throughout: while both listen, while the earlier one ends, and after it.
    while (served < 50) ask();
    EXPECT_GT(earlier.metric("success.look"), 0.0);
    EXPECT_GT(later.metric("success.look"), 0.0);
    earlier.terminate();
    auto ended = std::async(std::launch::async, [&] { return earlier.exit_code(); });
    while (ended.wait_for(std::chrono::seconds(0)) != std::future_status::ready) ask();
    EXPECT_EQ(ended.get(), 0);
    for (int i = 0; i < 20; ++i) ask();
    EXPECT_LE(lost, 1);
}

TEST_F(Upgrade, MissingDirectoryOnlyDisablesTheHandover) {
    Sidecar sidecar(platform(), "", {"TMPDIR=" + directory + "/none"});
    EXPECT_EQ(sidecar.call("readyz"), "YES\n");
    expect_served(sidecar.port(), endpoint, "r1");
}

}  // namespace
