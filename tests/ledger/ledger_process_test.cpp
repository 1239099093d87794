// The journal of a running sidecar: a process of its own, its writer, and what is asked of the file
// afterwards.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "standins/scripted_peers.h"

namespace {

using namespace martenford::standins;

/// A directory of the test's own, gone with it.
class Directory {
  public:
    Directory() {
        char path[] = "/tmp/martenford-ledger-XXXXXX";
        EXPECT_NE(mkdtemp(path), nullptr);
        path_ = path;
    }
    ~Directory() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

struct CommandResult {
    int code = 0;
    std::string text;
};
CommandResult run_ledger(const std::string& arguments) {
    CommandResult output;
    FILE* pipe = popen((std::string(MARTENFORD) + "-ledger " + arguments + " 2>&1").c_str(), "r");
    std::array<char, 4096> chunk{};
    for (std::size_t n; (n = fread(chunk.data(), 1, chunk.size(), pipe)) > 0;)
        output.text.append(chunk.data(), n);
    output.code = WEXITSTATUS(pclose(pipe));
    return output;
}

std::string own_config(const Directory& directory, const std::string& more = "") {
    return "[ledger]\ndirectory = \"" + directory.path() + "\"\n" + more;
}

/// The writer's process id, which holds the lock of the directory.
pid_t writer_of(const Directory& directory) {
    const std::string lock = std::filesystem::canonical(directory.path()) / "owner.lock";
    for (const auto& process : std::filesystem::directory_iterator("/proc")) {
        const auto pid = std::atoi(process.path().filename().c_str());
        if (pid <= 0) continue;
        std::error_code error;
        for (const auto& fd : std::filesystem::directory_iterator(process.path() / "fd", error)) {
            if (std::filesystem::read_symlink(fd.path(), error) == lock) return pid;
        }
    }
    return 0;
}

std::map<std::string, int> send_requests(int port, const std::string& prefix, bool safe = false,
                                         const std::atomic<bool>* stop = nullptr);

class Ledger : public testing::Test {
  protected:
    Listener discovery, endpoint;
    Directory directory;
    std::string platform = with_console(config(discovery.address(), target("s-1", endpoint.address())));

    std::string find(const std::string& id) {
        return run_ledger("find " + id + " --directory " + directory.path()).text;
    }
    /// Asked until it says so: records reach the file a moment after the client has its answer.
    std::string wait_until_found(const std::string& id, const std::string& text) {
        std::string output;
        for (int i = 0; i < 400; ++i) {
            output = find(id);
            if (has(output, text)) return output;
            std::this_thread::sleep_for(std::chrono::milliseconds(25));
        }
        ADD_FAILURE() << id << " was never said to be: " << text << "\n" << output;
        return output;
    }
};

TEST_F(Ledger, TellsWhereARequestWentAndWhatCameBack) {
    Sidecar sidecar(platform, own_config(directory));
    Peer client = sidecar.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r1"));
    // The intent stands in the file before the first byte goes out, so that it is there now.
    EXPECT_TRUE(has(find("r1"), "attempt 0 to s-1 at " + endpoint.address())) << find("r1");
    EXPECT_TRUE(has(find("r1"), "possibly ran")) << find("r1");
    at_endpoint.send(answer(200, "done"));
    EXPECT_EQ(body_of(client.receive()), "done");
    const std::string output = wait_until_found("r1", "answer: served");
    EXPECT_TRUE(has(output, "\n  ran: attempt 0 ended: served")) << output;
    // A class that is safe to repeat is not in it.
    client.send(look("r2"));
    at_endpoint.receive();
    at_endpoint.send(answer(200, "look"));
    EXPECT_EQ(body_of(client.receive()), "look");
    EXPECT_EQ(run_ledger("find r2 --directory " + directory.path()).code, 1);
    EXPECT_EQ(run_ledger("verify --directory " + directory.path()).text, "nothing is wrong\n");
}

TEST_F(Ledger, WhatWasOpenWhenTheSidecarDiedPossiblyRan) {
    std::optional<Sidecar> killed(std::in_place, platform, own_config(directory));
    Peer client = killed->client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    killed.reset();  // while the endpoint's connection and the client's are open
    Sidecar next(platform, own_config(directory));
    next.port();
    EXPECT_FALSE(has(find("r1"), "never ran")) << find("r1");
    std::string open;
    for (int i = 0; i < 400 && !has(open, "r1  debit"); ++i) {
        open = run_ledger("open --directory " + directory.path()).text;
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
    }
    EXPECT_TRUE(has(open, "r1  debit")) << open;
    EXPECT_TRUE(has(open, "ending is not known")) << open;
}

TEST_F(Ledger, AWriterThatIsKilledIsStartedAgainAndNothingIsLost) {
    Sidecar sidecar(platform, own_config(directory));
    Peer client = sidecar.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    const pid_t writer = writer_of(directory);
    ASSERT_GT(writer, 0);
    kill(writer, SIGKILL);
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
    wait_until_found("r1", "answer: served");  // by the next writer
    EXPECT_NE(writer_of(directory), writer);
    client.send(debit("r2"));
    at_endpoint.receive();
    at_endpoint.send(answer(200, "2"));
    EXPECT_EQ(body_of(client.receive()), "2");
    wait_until_found("r2", "answer: served");
}

TEST_F(Ledger, AWriterThatOutlivesItsSidecarHoldsNothingOfIts) {
    auto sidecar = std::make_unique<Sidecar>(platform, own_config(directory));
    Peer client = sidecar->client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    const int port = sidecar->port();
    const pid_t writer = writer_of(directory);
    kill(writer, SIGSTOP);
    sidecar.reset();
    EXPECT_TRUE(client.is_closed());
    EXPECT_TRUE(at_endpoint.is_closed());
    EXPECT_EQ(send_requests(port, "none").size(), 0u) << "somebody listens";
    kill(writer, SIGCONT);
}

TEST_F(Ledger, WithoutAWriterUnsafeRequestsAreRefusedAtOnceAndOthersServed) {
    std::ofstream(directory.path() + "/no-writer") << "";
    Sidecar sidecar(platform, own_config(directory, "helper = \"" + directory.path() + "/no-writer\"\n"));
    Peer client = sidecar.client();
    client.send(debit("r1"));
    EXPECT_EQ(status_of(client.receive()), 503);
    EXPECT_TRUE(endpoint.no_connection_pending());
    client.send(look("r2"));
    Peer at_endpoint = endpoint.accept();
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r2"));
    at_endpoint.send(answer(200, "look"));
    EXPECT_EQ(body_of(client.receive()), "look");
}

TEST_F(Ledger, AWriterThatHangsHoldsARequestNoLongerThanIsSaid) {
    Sidecar sidecar(platform, own_config(directory, "hold = \"150ms\"\nack_within = \"400ms\"\n"));
    Peer client = sidecar.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
    wait_until_found("r1", "answer: served");
    const pid_t writer = writer_of(directory);
    kill(writer, SIGSTOP);
    client.send(debit("r2"));
    EXPECT_EQ(status_of(client.receive()), 503);
    EXPECT_TRUE(at_endpoint.silent());
    sidecar.await_log("the journal's writer is lost");  // killed, and another started
    for (int status = 503, i = 3; status != 200; ++i) {
        ASSERT_LT(i, 2000) << "it never came back";
        client.send(debit("r" + std::to_string(i)));
        if (first_of({at_endpoint.poll_for(), client.poll_for()}) == 0) {
            at_endpoint.receive();
            at_endpoint.send(answer(200, "again"));
        }
        status = status_of(client.receive());
    }
    // Its intent may have reached the writer that hung; it is not said to have run.
    EXPECT_FALSE(has(find("r2"), "\n  ran:")) << find("r2");
    wait_until_found("r2", "never ran");
}

TEST_F(Ledger, AClassThatGoesOnIsSentUnjournaledAndLoudly) {
    Sidecar sidecar(platform, own_config(directory, "helper = \"/nonexistent\"\noutage = \"go-on\"\n"));
    Peer client = sidecar.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r1"));
    sidecar.await_log("go out unjournaled");
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
}

TEST_F(Ledger, ASecondSidecarOnOneDirectoryRefusesAndTheFirstGoesOn) {
    Sidecar first(platform, own_config(directory));
    Peer client = first.client();
    client.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    at_endpoint.receive();
    Sidecar second(platform, own_config(directory, "hold = \"100ms\"\n"));
    Peer other = second.client();
    other.send(debit("r2"));
    EXPECT_EQ(status_of(other.receive()), 503);
    EXPECT_TRUE(has(second.await_log("another sidecar's journal is in"), directory.path()));
    other.send(debit("r3"));
    EXPECT_EQ(status_of(other.receive()), 503);
    EXPECT_TRUE(endpoint.no_connection_pending());
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(client.receive()), "1");
    wait_until_found("r1", "answer: served");
}

TEST_F(Ledger, AnUpgradesSuccessorWritesBesideItsElderAndConcludesOnceThatHasEnded) {
    const Directory shared;
    const std::vector<std::string> environment{"TMPDIR=" + shared.path()};
    const std::string listed = list(42, true, target("s-1", endpoint.address()));
    const auto answer_watch = [&] {
        Peer watch = discovery.accept();
        watch.receive();
        watch.send(answer(200, listed));
        return watch;
    };
    const std::string automatic =
        with_console(config(discovery.address(), target("s-1", endpoint.address()), "automatic"));
    auto predecessor = std::make_unique<Sidecar>(automatic, own_config(directory), environment);
    const int port = predecessor->port();
    const Peer watch = answer_watch();
    Peer slow = Peer::to(port), lost = Peer::to(port);
    slow.send(debit("r1"));
    Peer at_endpoint = endpoint.accept();
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: r1"));
    lost.send(debit("r2"));
    Peer never_answered = endpoint.accept();
    EXPECT_TRUE(has(never_answered.receive(), "X-Request-ID: r2"));
    Sidecar successor(automatic, own_config(directory), environment);
    const Peer next_watch = answer_watch();
    EXPECT_EQ(successor.port(), port);
    predecessor->terminate();
    // The heir's own requests are kept while the elder's are under way.
    Peer client = Peer::to(port);
    client.send(debit("r3"));
    Peer at_third = endpoint.accept();
    EXPECT_TRUE(has(at_third.receive(), "X-Request-ID: r3"));
    EXPECT_TRUE(has(find("r3"), "possibly ran")) << find("r3");
    at_third.send(answer(200, "3"));
    EXPECT_EQ(body_of(client.receive()), "3");
    at_endpoint.send(answer(200, "1"));
    EXPECT_EQ(body_of(slow.receive()), "1");
    wait_until_found("r1", "answer: served");
    EXPECT_TRUE(has(find("r2"), "(under way)")) << find("r2");
    predecessor.reset();  // killed before r2 has ended: its heir concludes what that was
    std::string open;
    for (int i = 0; i < 400 && !has(open, "r2  debit"); ++i) {
        open = run_ledger("open --directory " + directory.path()).text;
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
    }
    EXPECT_TRUE(has(open, "r2  debit")) << open;
    EXPECT_FALSE(has(open, "r1  debit") || has(open, "r3  debit")) << open;
    wait_until_found("r3", "answer: served");
}

TEST_F(Ledger, AFullFileRefusesUnsafeRequestsAndServesOthersAndTheJournalStaysTrue) {
    Sidecar sidecar(platform, own_config(directory, "most_mb = 1\nlevel = \"sync\"\n"));
    Peer client = sidecar.client();
    Peer at_endpoint = [&] {
        client.send(look("first"));
        Peer peer = endpoint.accept();
        peer.receive();
        peer.send(answer(200, "x"));
        client.receive();
        return peer;
    }();
    int served = 0;
    const std::string padding(100, 'p');  // of an id: an entry takes more room
    for (int status = 200; status == 200; ++served) {
        ASSERT_LT(served, 20'000) << "1 MB was never full";
        client.send(debit(padding + std::to_string(served)));
        if (first_of({at_endpoint.poll_for(), client.poll_for()}) == 0) {
            at_endpoint.receive();
            at_endpoint.send(answer(200, "x"));
        }
        status = status_of(client.receive());
        if (status != 200) {
            EXPECT_EQ(status, 503);
        }
    }
    EXPECT_GT(served, 100);
    EXPECT_TRUE(has(sidecar.await_log("the journal keeps nothing now"), "full"));
    client.send(look("last"));
    EXPECT_TRUE(has(at_endpoint.receive(), "X-Request-ID: last"));
    at_endpoint.send(answer(200, "x"));
    EXPECT_EQ(status_of(client.receive()), 200);
    client.send(debit("refused"));
    EXPECT_EQ(status_of(client.receive()), 503);
    EXPECT_TRUE(at_endpoint.silent());
    EXPECT_EQ(run_ledger("verify --directory " + directory.path()).text, "nothing is wrong\n");
    const std::string early = find(padding + "0");
    EXPECT_TRUE(has(early, "answer: served")) << early;
}

// ---- killed at random points ------------------------------------------------------------------------

/// The ledger tier: notes each debit whose last byte has come, then answers in one of several ways.
class LedgerTier {
  public:
    explicit LedgerTier(unsigned seed) : random_(seed), thread_([this] { run(); }) {}
    ~LedgerTier() {
        stop_ = true;
        thread_.join();
    }
    std::string address() const { return listener_.address(); }
    std::map<std::string, int> effects() {
        const std::lock_guard lock(mutex_);
        return effects_;
    }

  private:
    struct Connection {
        Descriptor fd;
        std::string read;
    };
    void run() {
        std::list<Connection> open;
        while (!stop_) {
            std::vector<pollfd> those{listener_.poll_for()};
            for (const Connection& each : open) those.push_back({each.fd.get(), POLLIN, 0});
            poll(those.data(), those.size(), 20);
            std::size_t at = 1;
            for (auto it = open.begin(); it != open.end(); ++at) {
                it = those[at].revents && !serve(*it) ? open.erase(it) : std::next(it);
            }
            if (those[0].revents) open.push_back({Descriptor(accept(those[0].fd, nullptr, nullptr)), {}});
        }
    }
    bool serve(Connection& connection) {
        char chunk[4096];
        const auto n = recv(connection.fd.get(), chunk, sizeof chunk, MSG_DONTWAIT);
        if (n <= 0) return n < 0 && errno == EAGAIN;
        connection.read.append(chunk, static_cast<std::size_t>(n));
        const auto head = connection.read.find("\r\n\r\n");
        const bool safe = connection.read.starts_with("GET ");
        const std::size_t body = safe ? 0 : 3;  // "pay"
        if (head == std::string::npos || connection.read.size() < head + 4 + body) return true;
        const auto from = connection.read.find("X-Request-ID: ") + 14;
        const std::string id = connection.read.substr(from, connection.read.find("\r\n", from) - from);
        connection.read.clear();
        const auto outcome = safe ? 19 : random_() % 20;
        std::string reply = answer(200, id);
        if (outcome == 0) reply = answer(503, "", "X-Not-Processed: 1\r\n");
        if (outcome != 0 && !safe) {
            const std::lock_guard lock(mutex_);
            ++effects_[id];
        }
        if (outcome == 1) return false;  // it ran, and its answer is lost
        if (outcome == 2) reply = answer(500);
        send(connection.fd.get(), reply.data(), reply.size(), MSG_NOSIGNAL);
        return true;
    }

    Listener listener_;
    std::mt19937 random_;
    std::mutex mutex_;
    std::map<std::string, int> effects_;
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

/// Sends requests one after the other until its sidecar is gone or the test says so; gives what it was told
/// of each.
std::map<std::string, int> send_requests(int port, const std::string& prefix, bool safe,
                                         const std::atomic<bool>* stop) {
    std::map<std::string, int> statuses;
    const Descriptor fd(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return statuses;
    for (int i = 0; !stop || !*stop; ++i) {
        const std::string id = prefix + std::to_string(i), request = safe ? look(id, 2000) : debit(id, 2000);
        statuses[id] = 0;
        if (send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) < 0) return statuses;
        std::string read;
        while (read.find("\r\n\r\n") == std::string::npos) {
            char chunk[1024];
            if (!fd.readable(5000)) return statuses;
            const auto n = recv(fd.get(), chunk, sizeof chunk, 0);
            if (n <= 0) return statuses;
            read.append(chunk, static_cast<std::size_t>(n));
        }
        statuses[id] = status_of(read);
    }
    return statuses;
}

struct JournaledRequest {
    std::string effect, answer;
};
std::map<std::string, JournaledRequest> journaled_in(const Directory& directory) {
    std::map<std::string, JournaledRequest> journaled;
    std::istringstream lines(run_ledger("export --form csv --directory " + directory.path()).text);
    for (std::string line; std::getline(lines, line);) {
        std::vector<std::string> fields(1);
        for (const char c : line) c == ',' ? fields.emplace_back() : fields.back() += std::string(1, c);
        if (fields.size() > 8 && fields[0] != "id") journaled[fields[0]] = {fields[7], fields[5]};
    }
    return journaled;
}

TEST(LedgerKills, WhatRanIsNeverShownAsUnsentAndNoAnswerIsRecordedThatWasNotSent) {
    const char* configured = std::getenv("MARTENFORD_KILLS");  // tests/long/ledger_kills.sh plays more
    const int kills = configured ? std::atoi(configured) : 20;
    constexpr int kClients = 8;
    LedgerTier tier(1);
    Listener discovery;
    Directory directory;
    std::mt19937 random(24);
    std::map<std::string, int> statuses;
    for (int round = 0; round < kills; ++round) {
        const std::string level = std::array{"group", "sync"}[random() % 2];
        auto sidecar = std::make_unique<Sidecar>(config(discovery.address(), target("s-1", tier.address())),
                                                 own_config(directory, "level = \"" + level + "\"\n"));
        const int port = sidecar->port();
        std::vector<std::map<std::string, int>> each(kClients);
        std::vector<std::thread> clients;
        for (int c = 0; c < kClients; ++c) {
            clients.emplace_back([&each, c, port, round] {
                each[static_cast<std::size_t>(c)] =
                    send_requests(port, "k" + std::to_string(round) + "-" + std::to_string(c) + "-");
            });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(40 + random() % 100));
        const auto victim = random() % 3;  // the sidecar, its writer some time before it, both at once
        const pid_t writer = victim > 0 ? writer_of(directory) : 0;
        if (victim == 2) sidecar->stop();
        if (writer > 0) kill(writer, SIGKILL);
        if (victim == 1) std::this_thread::sleep_for(std::chrono::milliseconds(random() % 200));
        sidecar.reset();
        for (std::thread& client : clients) client.join();
        for (const auto& all : each) statuses.insert(all.begin(), all.end());
    }
    // One more start concludes what is open.
    Sidecar last(config(discovery.address(), target("s-1", tier.address())), own_config(directory));
    last.port();
    for (int i = 0;
         i < 400 && has(run_ledger("stats --directory " + directory.path()).text, "under way 0\n") == false;
         ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
    }
    const auto effects = tier.effects();
    const auto journaled = journaled_in(directory);
    int possibly = 0, possibly_ran = 0, answered = 0;
    for (const auto& [id, times] : effects) {
        EXPECT_EQ(times, 1) << id << " took effect twice";
        ASSERT_TRUE(journaled.contains(id)) << id << " ran, and the journal does not know it";
        EXPECT_NE(journaled.at(id).effect, "never ran") << id;
    }
    for (const auto& [id, entry] : journaled) {
        ASSERT_TRUE(statuses.contains(id)) << id;
        const int status = statuses.at(id);
        if (entry.answer == "served") {
            EXPECT_EQ(status, 200) << id;
        }
        if (entry.answer == "refused") {
            EXPECT_EQ(status, 503) << id;
        }
        if (entry.answer == "failed") {
            EXPECT_EQ(status, 502) << id;
        }
        if (entry.effect == "ran") {
            EXPECT_TRUE(effects.contains(id)) << id;
        }
        answered += entry.answer != "none";
        possibly += entry.effect == "possibly ran";
        possibly_ran += entry.effect == "possibly ran" && effects.contains(id);
    }
    for (const auto& [id, status] : statuses) {
        if (status == 503) {
            EXPECT_FALSE(effects.contains(id)) << id << " was refused, and ran";
        }
    }
    EXPECT_EQ(run_ledger("verify --directory " + directory.path()).text, "nothing is wrong\n");
    std::printf(
        "%d kills: %zu requests, %zu ran, %zu in the journal, %d answered there, %d possibly ran, of them %d "
        "did\n",
        kills, statuses.size(), effects.size(), journaled.size(), answered, possibly, possibly_ran);
    EXPECT_GT(answered, kills);
}

// ---- a disk that fails ------------------------------------------------------------------------------

TEST_F(Ledger, ADiskThatFailsForAWhileRefusesUnsafeRequestsAloneAndItGoesOnByItself) {
    const char* configured = std::getenv("MARTENFORD_OUTAGE_MS");  // tests/long/ledger_kills.sh plays 10 s
    const std::chrono::milliseconds outage(configured ? std::atoi(configured) : 600);
    LedgerTier tier(2);
    Sidecar sidecar(config(discovery.address(), target("s-1", tier.address())), own_config(directory));
    std::atomic<bool> stop{false};
    std::map<std::string, int> debits, looks;
    std::thread unsafe([&, port = sidecar.port()] { debits = send_requests(port, "d", false, &stop); });
    std::thread safe([&, port = sidecar.port()] { looks = send_requests(port, "l", true, &stop); });
    const auto ran = [&] { return tier.effects().size(); };
    const auto await = [&](auto condition) {
        for (int i = 0; i < 4000 && !condition(); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        EXPECT_TRUE(condition());
    };
    await([&] { return ran() > 50; });
    const pid_t writer = writer_of(directory);
    ASSERT_GT(writer, 0);
    // Each of its writes fails, at any place of a file but the first byte.
    const rlimit none{1, RLIM_INFINITY}, all{RLIM_INFINITY, RLIM_INFINITY};
    ASSERT_EQ(prlimit(writer, RLIMIT_FSIZE, &none, nullptr), 0);
    sidecar.await_log("the journal keeps nothing now");
    const std::size_t before = ran();
    std::this_thread::sleep_for(outage);
    EXPECT_EQ(ran(), before);  // nothing unsafe goes out
    const auto back = std::chrono::steady_clock::now();
    ASSERT_EQ(prlimit(writer, RLIMIT_FSIZE, &all, nullptr), 0);
    await([&] { return ran() > before; });
    const auto took = std::chrono::steady_clock::now() - back;
    await([&] { return ran() > before + 50; });
    stop = true;
    unsafe.join();
    safe.join();
    std::map<int, int> by_status;
    for (const auto& [id, status] : debits) ++by_status[status];
    std::printf("%d ms without a disk: %d debits refused, %d served; %zu looks; served again after %ld ms\n",
                static_cast<int>(outage.count()), by_status[503], by_status[200], looks.size(),
                static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(took).count()));
    EXPECT_GT(by_status[503], 10);
    for (const auto& [id, status] : looks) EXPECT_EQ(status, 200) << id;
    EXPECT_EQ(writer_of(directory), writer);  // it got over it without a new one
    await([&] { return has(run_ledger("stats --directory " + directory.path()).text, "under way 0\n"); });
    const auto journaled = journaled_in(directory);
    for (const auto& [id, times] : tier.effects()) {
        ASSERT_TRUE(journaled.contains(id)) << id;
        EXPECT_NE(journaled.at(id).effect, "never ran") << id;
    }
    for (const auto& [id, status] : debits) {
        if (status == 503 && journaled.contains(id)) {
            EXPECT_EQ(journaled.at(id).effect, "never ran") << id;
        }
    }
    EXPECT_EQ(run_ledger("verify --directory " + directory.path()).text, "nothing is wrong\n");
}

}  // namespace
