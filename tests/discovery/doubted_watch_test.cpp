// A watch that is doubted while discovery speaks: every order of what comes on the elder call and on the
// fresh one, also in the very turn of the loop in which the fresh one is asked. Discovery's own package on a
// loop, without a process.
#include <gtest/gtest.h>

#include <thread>

#include "core/engine.h"
#include "discovery/discovery.h"
#include "standins/recording_policy.h"
#include "standins/scripted_peers.h"
#include "standins/usual_rules.h"

namespace {

using namespace martenford;
using namespace martenford::standins;

enum class Elder { Silent, News, BreaksOff, Closes };
enum class When { InTheTurn, BeforeTheAnswer, AfterTheAnswer };
enum class Fresh { Silent, News, Nothing, BreaksOff, Closes };

constexpr std::uint64_t kSoon = 214;  // a seed by which a doubted list is asked for within some 20 ms

struct NoBack : Back {
    Handle send(EndpointId, std::shared_ptr<const Message>, Time, Done) override { return {}; }
    void probe(EndpointId, Done) override {}
    void shut_idle(EndpointId) override {}
};
struct Placed : Placement {
    void place(EndpointId id, const Address&, bool ready) override { this->ready[id] = ready; }
    void remove(EndpointId id) override { ready.erase(id); }
    std::map<EndpointId, bool> ready;
};

/// A discovery whose list changes once. Calls that come after that are answered at once with what is new.
class Script {
  public:
    Script(Elder elder, When when, Fresh fresh)
        : elder_(elder), when_(when), fresh_(fresh), step_(loop_), trigger_(loop_), end_(loop_) {
        config_.name = "n0";
        config_.seed = kSoon;
        config_.names = {{"a"}, {"m"}};
        config_.settings.rules = default_rules();
        config_.settings.replicas = 1;
        config_.discovery = {boost::asio::ip::address_v4::loopback(),
                             static_cast<std::uint16_t>(listener_.port())};
        tally_ = std::make_unique<Tally>(counters_, config_.settings.classes);
        engine_ = std::make_unique<Engine>(
            loop_, back_, config_.settings.limits,
            std::make_unique<RecordingPolicy>(std::make_shared<RecordingPolicy::Record>()), *tally_);
        simdjson::dom::parser parser;
        const auto known = list(41, true, both("Ready"));
        config_.known = parse_targets(parser.parse(known).get_object().value(), config_.names);
        discovery_ =
            std::make_unique<Discovery>(loop_, placed_, *engine_, config_, Membership::Options{}, counters_);
        discovery_->start();
        look();
        end_.set(Loop::monotonic() + 10s, [this] { loop_.stop(); });
        loop_.run();
    }
    bool learnt = false;
    std::size_t open = 0;  // connections that the sidecar still holds

  private:
    /// Each millisecond: what has come to discovery, and whether all is over.
    void look() {
        while (!listener_.untouched()) calls_.push_back(listener_.accept());
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            if (!closed_[i] && calls_[i].readable(0)) heard(i, calls_[i].some());
        }
        learnt = placed_.ready.contains(drained()) && !placed_.ready.at(drained());
        if (learnt && scripted_all()) {
            if (!over_) over_ = Loop::monotonic() + 30ms;  // what is to be closed is, by then
            if (Loop::monotonic() >= *over_) {
                open = 0;
                for (std::size_t i = 0; i < calls_.size(); ++i) open += closed_[i] ? 0 : 1;
                return loop_.stop();
            }
        }
        step_.set(Loop::monotonic() + 1ms, [this] { look(); });
    }
    bool scripted_all() const { return fresh_at_ > 0 && elder_done_; }
    EndpointId drained() const { return EndpointId{uid_hash("s-1")}; }

    void heard(std::size_t i, const std::string& call) {
        if (call.empty()) {
            closed_[i] = true;
            if (i != 0 && fresh_at_ == 0) fresh_at_ = i;  // given up before it had asked
            return;
        }
        if (i == 0 && fresh_at_ == 0 && !asked_) {
            asked_ = true;
            return doubt();
        }
        const bool first_fresh = i != 0 && fresh_at_ == 0;
        if (!first_fresh) {  // an ordinary call, once there is something new
            if (news_ && call.find("since=43") == std::string::npos) say(i, list(43, false, gone()));
            return;
        }
        fresh_at_ = i;
        if (when_ == When::BeforeTheAnswer) elder_speaks();
        switch (fresh_) {
            case Fresh::Silent:
                break;
            case Fresh::News:
                news_ = true;
                say(i, list(43, false, gone()));
                break;
            case Fresh::Nothing:
                say(i, list(41, false, ""));
                break;
            case Fresh::BreaksOff:
                break_off(i);
                break;
            case Fresh::Closes:
                calls_[i].reset();
                closed_[i] = true;
                break;
        }
        if (when_ == When::AfterTheAnswer) elder_speaks();
        news_ = true;
    }

    /// Two refused connections with answers of another between them, as a drained endpoint's look.
    void doubt() {
        discovery_->saw(drained(), decision::Status::ConnectFailed);
        discovery_->saw(EndpointId{uid_hash("s-2")}, decision::Status::Ok);
        trigger_.set(Loop::monotonic() + 210ms, [this] {
            discovery_->saw(drained(), decision::Status::ConnectFailed);
            // Due before the fresh call, in the same turn: by then no socket is read any more.
            if (when_ == When::InTheTurn) trigger_.set(Loop::monotonic(), [this] { elder_speaks(); });
            std::this_thread::sleep_for(std::chrono::milliseconds(25));
        });
    }
    void elder_speaks() {
        elder_done_ = true;
        switch (elder_) {
            case Elder::Silent:
                break;
            case Elder::News:
                news_ = true;
                say(0, list(43, false, gone()));
                break;
            case Elder::BreaksOff:
                news_ = true;
                break_off(0);
                break;
            case Elder::Closes:
                calls_[0].reset();
                closed_[0] = true;
                break;
        }
    }
    void say(std::size_t i, const std::string& body) { calls_[i].send(answer(200, body)); }
    void break_off(std::size_t i) {
        const std::string whole = answer(200, list(43, false, gone()));
        calls_[i].send(whole.substr(0, whole.size() / 2));
        calls_[i].shut();
    }
    static std::string both(const char* state) {
        return target("s-1", "127.0.0.1:1", state) + "," + target("s-2", "127.0.0.1:2");
    }
    static std::string gone() { return target("s-1", "127.0.0.1:1", "Terminating"); }

    Elder elder_;
    When when_;
    Fresh fresh_;
    Listener listener_;
    Loop loop_;
    Config config_;
    Counters counters_;
    NoBack back_;
    Placed placed_;
    std::unique_ptr<Tally> tally_;
    std::unique_ptr<Engine> engine_;
    std::unique_ptr<Discovery> discovery_;
    Timer step_, trigger_, end_;
    std::vector<Peer> calls_;
    std::map<std::size_t, bool> closed_;
    std::size_t fresh_at_ = 0;
    bool asked_ = false, news_ = false, elder_done_ = false;
    std::optional<Time> over_;
};

class DoubtedWatch : public testing::TestWithParam<std::tuple<Elder, When, Fresh>> {};

TEST_P(DoubtedWatch, LosesNoNewsAndLeavesOneWatch) {
    const auto [elder, when, fresh] = GetParam();
    // Discovery that answers nobody and says nothing on the elder call has told nothing.
    if (fresh == Fresh::Silent && elder != Elder::News) GTEST_SKIP();
    // Said on a call that was given up for an answer on the other: discovery has not told it to this
    // sidecar's next call.
    if (fresh == Fresh::Silent && when == When::AfterTheAnswer) GTEST_SKIP();
    const Script script(elder, when, fresh);
    EXPECT_TRUE(script.learnt);
    EXPECT_EQ(script.open, 1u);
}

std::string name_of(const testing::TestParamInfo<std::tuple<Elder, When, Fresh>>& info) {
    constexpr const char* kElder[] = {"ElderSilent", "ElderNews", "ElderBreaksOff", "ElderCloses"};
    constexpr const char* kWhen[] = {"InTheTurn", "BeforeTheAnswer", "AfterTheAnswer"};
    constexpr const char* kFresh[] = {"FreshSilent", "FreshNews", "FreshNothing", "FreshBreaksOff",
                                      "FreshCloses"};
    const auto& [elder, when, fresh] = info.param;
    return std::string(kElder[static_cast<int>(elder)]) + kWhen[static_cast<int>(when)] +
           kFresh[static_cast<int>(fresh)];
}
INSTANTIATE_TEST_SUITE_P(
    Orders, DoubtedWatch,
    testing::Combine(testing::Values(Elder::Silent, Elder::News, Elder::BreaksOff, Elder::Closes),
                     testing::Values(When::InTheTurn, When::BeforeTheAnswer, When::AfterTheAnswer),
                     testing::Values(Fresh::Silent, Fresh::News, Fresh::Nothing, Fresh::BreaksOff,
                                     Fresh::Closes)),
    name_of);

}  // namespace
