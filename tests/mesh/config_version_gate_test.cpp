// Which configuration version a proxy accepts, and from which controller: the rule by itself, and a real
// proxy process between two controllers of this test, one of them in the minority of a partition. All waits
// are for events, none for a time.
#include "proxy/config_version_gate.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "mesh/rig/processes.h"
#include "rpc/channel.h"

using namespace martenford;

namespace {

constexpr Duration kFirstConfigWait = 400ms;
const Time kStart{1000s};

constexpr int kPort = 21890;  // below the ephemeral range, and apart from rig::kPorts
/// A loopback address of this test process, so that several runs at once do not collide.
std::string host(std::size_t machine) {
    return rig::Processes::ip(machine);
}

/// Answers a proxy's polls as a controller does: at once if it has a newer version than the poll names, with
/// the document if the poll asks for it.
class ControllerDouble {
  public:
    ControllerDouble(EventLoop& loop, std::size_t machine)
        : listener_(loop, *parse_address(host(machine) + ":" + std::to_string(kPort)), [this](auto channel) {
              channel_ = channel;
              channel->start([this](rpc::Message&& message) { receive(std::move(message)); }, [] {});
          }) {}
    /// Which polls are answered automatically; others stay pending until answer().
    enum class Answers { None, Documents, All };
    Answers answers = Answers::None;
    std::uint32_t version = 0;
    bool has_quorum_contact = false;
    std::optional<rpc::WatchRequest> poll;  // pending
    std::vector<std::uint32_t> applied;     // versions that the proxy registered with, without repeats
    Time first_answer{};

    void answer() {
        if (!poll || poll->config_version >= version) return;
        if (first_answer == Time{}) first_answer = EventLoop::monotonic();
        rpc::WatchResponse response;
        response.config_version = version;
        response.has_quorum_contact = has_quorum_contact;
        if (poll->wants_config) response.config = document(version);
        poll.reset();
        channel_->send(response);
    }
    /// Sends version and document unasked.
    void push() {
        rpc::WatchResponse response;
        response.config_version = version;
        response.has_quorum_contact = has_quorum_contact;
        response.config = document(version);
        poll.reset();
        channel_->send(response);
    }

  private:
    static std::string document(std::uint32_t version) {
        char text[9];
        std::snprintf(text, sizeof text, "%08x", version);
        return std::string(R"({"version":")") + text +
               R"(","base_version":"00000000","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
               R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"h.example",)"
               R"("rule_set":[{"name":"r","route_kind":"idempotent","target_latency_ms":800,"priority":1,)"
               R"("matcher":{"path_prefix":"/r/"},"route_action":{"service":"web","timeout_ms":3000,)"
               R"("max_attempts":1}}]}],"clusters":[{"name":"web"}]})";
    }
    void receive(rpc::Message&& message) {
        if (const auto* watch = std::get_if<rpc::WatchRequest>(&message)) {
            poll = *watch;
            if (answers == Answers::All || (answers == Answers::Documents && watch->wants_config)) answer();
        } else if (const auto* registration = std::get_if<rpc::RegisterRequest>(&message)) {
            if (applied.empty() ? registration->config_version != 0
                                : applied.back() != registration->config_version)
                applied.push_back(registration->config_version);
        }
    }
    std::shared_ptr<rpc::Channel> channel_;
    rpc::Listener listener_;
};

/// A proxy process, and the two controllers that are its seeds.
class PartitionedControllers {
  public:
    PartitionedControllers() {
        char path[] = "/tmp/mesh-version-gate-XXXXXX";
        folder_ = ::mkdtemp(path);
        const std::string config = folder_ + "/proxy.toml";
        const auto at = [](int offset) {
            return "\"" + host(9) + ":" + std::to_string(kPort + offset) + "\"\n";
        };
        std::ofstream(config) << "node_name = \"s\"\nrole = \"r\"\nip_address = \"" << host(9)
                              << "\"\nzone = \"z\"\nregion = \"r\"\nservice = \"web\"\ninternal_ports = ["
                              << kPort << ", " << kPort + 1 << "]\nseed_nodes = [\"" << host(1) << ":1\", \""
                              << host(2) << ":1\"]\nfirst_boot = true\napp_address = " << at(6)
                              << "[listen_addrs]\ninbound = " << at(2) << "outbound = " << at(3)
                              << "readiness = " << at(4) << "control = " << at(5);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            for (int fd = 3; fd < 256; ++fd) ::close(fd);
            ::setenv("MARTENFORD_CONFIG", config.c_str(), 1);
            ::execl(PROXY, PROXY, static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }
    ~PartitionedControllers() {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        std::filesystem::remove_all(folder_);
    }
    void wait_for(const std::string& what, const std::function<bool()>& condition) {
        const Time give_up = EventLoop::monotonic() + 20s;
        while (!condition()) {
            REQUIRE_MESSAGE(EventLoop::monotonic() < give_up, "timed out waiting for " << what);
            loop_.add(loop_.now() + 5ms, [this] { loop_.stop(); });
            loop_.resume();
            loop_.run();
        }
    }

  private:
    EventLoop loop_;

  public:
    ControllerDouble minority{loop_, 1}, majority{loop_, 2};

  private:
    std::string folder_;
    pid_t pid_ = 0;
};

}  // namespace

TEST_CASE("versions only rise; a first one without quorum contact is accepted after a wait") {
    proxy::ConfigVersionGate fresh(kFirstConfigWait);
    CHECK_FALSE(fresh.accepts(kStart, 0, 0, true));  // no configuration exists
    CHECK_FALSE(fresh.accepts(kStart, 0, 3, false));
    CHECK_FALSE(fresh.accepts(kStart + kFirstConfigWait - 1ms, 0, 4,
                              false));  // a further offer does not restart the wait
    CHECK(fresh.accepts(kStart + kFirstConfigWait, 0, 3, false));
    proxy::ConfigVersionGate with_majority(kFirstConfigWait);
    CHECK_FALSE(with_majority.accepts(kStart, 0, 3, false));
    CHECK(with_majority.accepts(kStart, 0, 5, true));
    // With a configuration in force a newer version is accepted from any controller, an older one from none.
    CHECK(with_majority.accepts(kStart, 5, 6, false));
    for (const bool has_quorum_contact : {false, true}) {
        CHECK_FALSE(with_majority.accepts(kStart + 60s, 5, 3, has_quorum_contact));
        CHECK_FALSE(with_majority.accepts(kStart + 60s, 5, 5, has_quorum_contact));
    }
}

TEST_CASE("a proxy started during a partition applies the majority's version, and never an older one") {
    PartitionedControllers controllers;
    controllers.minority.version = 3;
    controllers.majority.version = 5;
    controllers.majority.has_quorum_contact = true;
    controllers.wait_for("polls at both",
                         [&] { return controllers.minority.poll && controllers.majority.poll; });
    // The minority's controller answers first.
    controllers.minority.answer();
    controllers.minority.answers = ControllerDouble::Answers::Documents;
    controllers.majority.answers = ControllerDouble::Answers::All;
    controllers.wait_for("the poll that postpones version 3, or asks for it",
                         [&] { return controllers.minority.poll || !controllers.minority.applied.empty(); });
    controllers.majority.answer();
    controllers.wait_for("a configuration in force", [&] { return !controllers.majority.applied.empty(); });
    CHECK(controllers.majority.applied == std::vector<std::uint32_t>{5});

    // The older version with its document, unasked: without quorum contact, then with it.
    for (const bool has_quorum_contact : {false, true}) {
        controllers.minority.has_quorum_contact = has_quorum_contact;
        controllers.minority.push();
        controllers.wait_for("the poll after it", [&] {
            return controllers.minority.poll && controllers.minority.poll->config_version == 5;
        });
        CHECK_FALSE(controllers.minority.poll->wants_config);
    }
    // A newer version is accepted from any controller.
    controllers.minority.version = 6;
    controllers.minority.has_quorum_contact = false;
    controllers.minority.answer();
    controllers.wait_for("the newer one", [&] { return controllers.majority.applied.size() > 1; });
    CHECK(controllers.majority.applied == std::vector<std::uint32_t>{5, 6});
}

TEST_CASE("without any quorum contact a proxy that starts applies what is offered after a wait") {
    PartitionedControllers controllers;
    controllers.minority.version = controllers.majority.version = 3;
    controllers.minority.answers = controllers.majority.answers = ControllerDouble::Answers::All;
    controllers.wait_for("a configuration in force", [&] { return !controllers.minority.applied.empty(); });
    CHECK(controllers.minority.applied == std::vector<std::uint32_t>{3});
    const Time first = std::min(controllers.minority.first_answer, controllers.majority.first_answer);
    CHECK(EventLoop::monotonic() - first >= kFirstConfigWait);
}
