// Which configuration a proxy takes, and from whom: the rule by itself, and a real proxy between two
// controllers of this test, of which one is cut off from the rest of the core. Nothing waits for a time; all
// waits are for what is to be seen.
#include "proxy/config_version_gate.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "rpc/channel.h"

using namespace martenford;

namespace {

constexpr Duration kPatience = 400ms;
const Time kStart{1000s};

constexpr int kPort = 21890;  // below the ports that the system gives away by itself
std::string host(int i) {
    return "127.0.95." + std::to_string(i);
}

/// Answers a proxy's polls as a controller does: at once where it has a newer version than the proxy says,
/// with the document where that is asked for.
class ControllerDouble {
  public:
    ControllerDouble(Loop& loop, int i)
        : listener_(loop, *parse_address(host(i) + ":" + std::to_string(kPort)), [this](auto channel) {
              channel_ = channel;
              channel->start([this](rpc::Message&& message) { heard(std::move(message)); }, [] {});
          }) {}
    /// Which polls are answered by themselves; others lie until answer().
    enum class Answers { None, Documents, All };
    Answers answers = Answers::None;
    std::uint32_t version = 0;
    bool in_touch = false;
    std::optional<rpc::WatchRequest> poll;  // unanswered
    std::vector<std::uint32_t> served;      // what the proxy has said that it serves by, each once
    Time first_answer{};

    void answer() {
        if (!poll || poll->config_version >= version) return;
        if (first_answer == Time{}) first_answer = Loop::monotonic();
        rpc::WatchResponse news;
        news.config_version = version;
        news.has_quorum_contact = in_touch;
        if (poll->wants_config) news.config = document(version);
        poll.reset();
        channel_->send(news);
    }
    /// Says it all, asked or not.
    void press() {
        rpc::WatchResponse news;
        news.config_version = version;
        news.has_quorum_contact = in_touch;
        news.config = document(version);
        poll.reset();
        channel_->send(news);
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
    void heard(rpc::Message&& message) {
        if (const auto* asked = std::get_if<rpc::WatchRequest>(&message)) {
            poll = *asked;
            if (answers == Answers::All || (answers == Answers::Documents && asked->wants_config)) answer();
        } else if (const auto* told = std::get_if<rpc::RegisterRequest>(&message)) {
            if (served.empty() ? told->config_version != 0 : served.back() != told->config_version)
                served.push_back(told->config_version);
        }
    }
    std::shared_ptr<rpc::Channel> channel_;
    rpc::Listener listener_;
};

class Cut {
  public:
    Cut() {
        char path[] = "/tmp/mesh-intake-XXXXXX";
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
    ~Cut() {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        std::filesystem::remove_all(folder_);
    }
    void until(const std::string& what, const std::function<bool()>& is) {
        const Time give_up = Loop::monotonic() + 20s;
        while (!is()) {
            REQUIRE_MESSAGE(Loop::monotonic() < give_up, "waited in vain for " << what);
            loop_.add(loop_.now() + 5ms, [this] { loop_.stop(); });
            loop_.resume();
            loop_.run();
        }
    }

  private:
    Loop loop_;

  public:
    ControllerDouble cut_off{loop_, 1}, inside{loop_, 2};

  private:
    std::string folder_;
    pid_t pid_ = 0;
};

}  // namespace

TEST_CASE("versions only rise; the first one is a moment's patience for a controller that hears a leader") {
    proxy::ConfigVersionGate fresh(kPatience);
    CHECK_FALSE(fresh.accepts(kStart, 0, 0, true));  // nobody has any
    CHECK_FALSE(fresh.accepts(kStart, 0, 3, false));
    CHECK_FALSE(fresh.accepts(kStart + kPatience - 1ms, 0, 4, false));  // patience is not begun anew
    CHECK(fresh.accepts(kStart + kPatience, 0, 3, false));
    proxy::ConfigVersionGate beside_a_leader(kPatience);
    CHECK_FALSE(beside_a_leader.accepts(kStart, 0, 3, false));
    CHECK(beside_a_leader.accepts(kStart, 0, 5, true));
    // Whoever has a configuration takes each newer one from anybody, and no older one from anybody.
    CHECK(beside_a_leader.accepts(kStart, 5, 6, false));
    for (const bool in_touch : {false, true}) {
        CHECK_FALSE(beside_a_leader.accepts(kStart + 60s, 5, 3, in_touch));
        CHECK_FALSE(beside_a_leader.accepts(kStart + 60s, 5, 5, in_touch));
    }
}

TEST_CASE("a proxy that starts beside a cut serves by what is current, and never goes back") {
    Cut cut;
    cut.cut_off.version = 3;
    cut.inside.version = 5;
    cut.inside.in_touch = true;
    cut.until("polls at both", [&] { return cut.cut_off.poll && cut.inside.poll; });
    // The one that was cut off is first by all that can be seen.
    cut.cut_off.answer();
    cut.cut_off.answers = ControllerDouble::Answers::Documents;
    cut.inside.answers = ControllerDouble::Answers::All;
    cut.until("the poll that passes version 3 over, or asks for it",
              [&] { return cut.cut_off.poll || !cut.cut_off.served.empty(); });
    cut.inside.answer();
    cut.until("a configuration in force", [&] { return !cut.inside.served.empty(); });
    CHECK(cut.inside.served == std::vector<std::uint32_t>{5});

    // All of the older one again, unasked; and as a controller that hears a leader would.
    for (const bool in_touch : {false, true}) {
        cut.cut_off.in_touch = in_touch;
        cut.cut_off.press();
        cut.until("the poll after it",
                  [&] { return cut.cut_off.poll && cut.cut_off.poll->config_version == 5; });
        CHECK_FALSE(cut.cut_off.poll->wants_config);
    }
    // A newer one is taken from whoever has it.
    cut.cut_off.version = 6;
    cut.cut_off.in_touch = false;
    cut.cut_off.answer();
    cut.until("the newer one", [&] { return cut.inside.served.size() > 1; });
    CHECK(cut.inside.served == std::vector<std::uint32_t>{5, 6});
}

TEST_CASE("where nobody hears a leader, a proxy that starts serves by what there is, after its patience") {
    Cut cut;
    cut.cut_off.version = cut.inside.version = 3;
    cut.cut_off.answers = cut.inside.answers = ControllerDouble::Answers::All;
    cut.until("a configuration in force", [&] { return !cut.cut_off.served.empty(); });
    CHECK(cut.cut_off.served == std::vector<std::uint32_t>{3});
    const Time first = std::min(cut.cut_off.first_answer, cut.inside.first_answer);
    CHECK(Loop::monotonic() - first >= kPatience);
}
