// The endpoint's side: the gate that alone reaches it. It lets in what the endpoint has slots for, keeps the
// rest in a queue of its own by priority and deadline, and refuses with proof what it has not handed on.
// Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/policy.h"
#include "core/scheduler.h"

namespace martenford::tollgate {

using loftfront::Duration;
using loftfront::EndpointId;
using loftfront::RequestId;
using loftfront::Status;
using loftfront::Time;

/// What a hop says of its request, told before the engine takes it.
struct Toll {
    std::string instance;    ///< the endpoint that it is meant for
    std::string attempt_id;  ///< the client's
    bool repeatable = false;
    bool may_queue = true;
    std::int64_t priority = 0;
    std::uint32_t kind = 0;  ///< of request: those alike take alike
    Duration aim{};          ///< what is left of the time in which its answer earns its worth
};

class Tollgate : public Policy {
  public:
    struct Options {
        Duration drain =
            2500ms;  ///< nothing reaches an endpoint later than this after its drain was acknowledged
        Duration drain_margin = 700ms;  ///< and here nothing does this much sooner
        Duration once = 60s;            ///< for so long an id that must not run twice is remembered
        Duration ask_slack = 2s;        ///< a question is on its way for less: its caller waits 0.3 s
        std::size_t most_queued = 256;
    };
    explicit Tollgate(const Options& options) : options_(options) {}

    /// The endpoint that is here now; `id` is the one that Sends name. None: all is refused.
    void endpoint(EndpointId id, const std::string& instance, std::uint32_t slots);
    void drains(Time now);
    void none();
    const std::string& instance() const { return instance_; }

    void prepare(const RequestId& id, Toll toll) { prepared_[id] = std::move(toll); }
    const Toll* toll(const RequestId& id) const;
    /// Whether an id that must not run twice, of a hop that went `age` ago, was never handed on here. If so
    /// it never will be: it is barred. False where that is not known any more.
    bool bar(Time now, const std::string& attempt_id, Duration age);
    /// How long a request that came now would wait for a slot.
    Duration wait() const;
    std::size_t queued() const { return queue_.size(); }
    std::size_t out() const { return out_now_; }

    void start(Time, std::vector<loftfront::Action>&) override {}
    void handle(Time now, const loftfront::Event& event, std::vector<loftfront::Action>& out) override;

  private:
    struct Call {
        loftfront::Request request;
        Toll toll;
        Time aim_end{};
        bool queued = false, out = false, open = true;
        Time sent{}, came{};
        Duration expected{};  // wait
        std::uint64_t number = 0;
    };
    /// What was seen of requests that are alike.
    struct Kind {
        Duration usual{};
        double slip =
            1;  ///< how much longer they waited than was expected when they came: others overtook them
    };
    void on(const loftfront::Request& request);
    void on(const loftfront::Outcome& outcome);
    void on(const loftfront::Lapsed& lapsed);
    void on(const loftfront::TimerFired& timer);
    template <class T>
    void on(const T&) {}
    void send(Call& call);
    void spend(const std::string& attempt_id);
    void fail(Call& call);
    void refuse(Call& call);
    void next();
    void forget(const RequestId& id);
    bool closed() const;
    Time last_start(const Call& call) const;
    bool worth_waiting(const Call& call) const;
    Duration usual(std::uint32_t kind) const;
    Duration expected_wait(const Call& call) const;
    void waited(const Call& call);
    Time last_in_queue(const Call& call) const;
    Duration wait_behind(std::size_t ahead) const;
    using Place = std::tuple<std::int64_t, Time, std::uint64_t>;
    static Place place_of(const Call& call) { return {call.toll.priority, call.aim_end, call.number}; }

    Options options_;
    EndpointId id_{};
    std::string instance_;
    std::uint32_t slots_ =
        0;  // that are used: one more than the endpoint has, so that none stands idle between two
    std::optional<Time> drains_since_;
    std::size_t out_now_ = 0;
    Duration usual_ = 150ms;                           // how long the endpoint takes, averaged
    std::unordered_map<std::uint32_t, Kind> by_kind_;  // and for requests of one kind
    std::unordered_map<RequestId, Toll> prepared_;
    std::unordered_map<RequestId, Call> calls_;
    std::map<std::uint64_t, RequestId> numbers_;
    /// By priority, then by whose aim ends first, then by who came first.
    std::map<Place, RequestId> queue_;
    /// Ids that must not run twice and were handed on, by when; and in that order.
    std::unordered_map<std::string, Time> spent_;
    std::deque<std::pair<Time, std::string>> spent_order_;
    std::optional<Time> forgotten_;  // when the newest of those was spent that are not remembered any more
    std::uint64_t last_ = 0;
    Time now_{};
    std::vector<loftfront::Action>* out_ = nullptr;
};

}  // namespace martenford::tollgate
