// The emulated fleet: endpoints, clients, discovery and what goes wrong, on any scheduler and transport.
// Holds no socket and reads no clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "emulator/draws.h"
#include "emulator/model/registry.h"
#include "emulator/report.h"
#include "emulator/scenario.h"
#include "emulator/transport.h"

namespace martenford::emulator {

class World {
  public:
    struct Options {
        std::uint64_t seed = 1;
        std::string mode = "virtual";
        Duration wire_slack{};     ///< by which the order of two machines' events may be wrong
        std::int64_t wall_ms = 0;  ///< Unix time of the scheduler's epoch
        std::function<void(const std::string&)> trace;  ///< a line for each thing that happens; may be empty
        bool keep_latencies = true;                     ///< for percentiles and the plot
    };
    struct Sidecar {
        std::uint32_t index = 0;
        std::uint32_t tier = 0;      ///< that it sends to
        std::uint32_t position = 0;  ///< among those of its tier
        std::int64_t node = -1;      ///< the endpoint that it serves; -1: clients
        bool up = false;             ///< started, and not killed since
        std::uint32_t starts = 0;
        Duration lag{};  ///< news reach it so much later
    };

    World(Scheduler& scheduler, const Scenario& scenario, Options options);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    /// Brings the fleet up. Clients and events come from begin() on.
    void build(Transport& transport);
    void begin();
    /// Nothing more will come and all that came is settled, or has had the time for it.
    bool over() const { return over_; }
    /// Whether discovery says nothing to this sidecar now. On sockets only.
    bool deaf(std::uint32_t sidecar) const { return deaf_.contains(sidecar); }
    void on_over(std::function<void()> what) { on_over_ = std::move(what); }
    /// To be called once, when it is over.
    Report report();

    // ---- for the transport

    /// An attempt has arrived whole; `respond` is called once at most, also before this returns.
    using Respond = std::function<void(AttemptReply&&)>;
    std::uint64_t attempt(const AttemptSpec& spec, Respond respond);
    /// One that was written and will never arrive.
    void attempt_lost(const AttemptSpec& spec);
    /// Its connection has ended, or will carry no answer.
    void abandon(std::uint64_t attempt);
    /// False: one too many.
    bool connection_opened(std::uint32_t node);
    void connection_closed(std::uint32_t node);
    /// Whether an answer, or a request on a connection that was idle, is swallowed.
    bool swallows(std::uint32_t node, const std::string& id);
    Registry& registry(std::uint32_t tier) { return *registries_[tier]; }
    /// A list has been handed to a sidecar.
    void told(std::uint32_t sidecar, const ListAnswer& list);
    /// What the platform's configuration gives a sidecar, as JSON.
    std::string settings_json(const Sidecar& sidecar) const;

    const Scenario& scenario() const { return scenario_; }
    const std::vector<Sidecar>& sidecars() const { return sidecars_; }
    std::size_t nodes() const { return nodes_.size(); }
    std::uint32_t tier_of(std::uint32_t node) const;
    bool node_is_up(std::uint32_t node) const;
    const std::string& node_name(std::uint32_t node) const;
    /// Where an endpoint listens, as discovery says it; the transport sets it when the endpoint comes up.
    void set_address(std::uint32_t node, const std::string& address);
    Listing listing(std::uint32_t node) const;
    std::uint64_t seed() const { return options_.seed; }
    /// Requests that a sidecar has taken and not yet answered, as far as can be seen from outside.
    std::size_t open_requests() const { return rules_->open(); }

  private:
    struct Node;
    struct Call;
    struct Attempt;
    struct Root;
    using CallDone = std::function<void(CallAnswer&&)>;

    // endpoints
    std::uint32_t add_node(std::uint32_t tier, bool cold);
    void bring_up(Node& node, bool cold);
    void take_down(Node& node, const char* state);
    void step(Node& node);
    void schedule(Node& node);
    void phase_done(Node& node, Attempt& attempt);
    void next_call(Node& node, Attempt& attempt);
    void respond(Attempt& attempt, AttemptReply&& reply);
    void forget(std::uint64_t attempt);
    void started(Node& node, Attempt& attempt);
    void list(Node& node, decision::Availability state, Duration after);
    void show(Node& node);
    Duration draw_work(const Call& call) const;

    // calls
    Transport::CallId place_call(const CallSpec& spec, const std::string& op, CallDone done);
    void close_call(const std::string& id);
    void hang_up(Attempt& attempt);

    // clients
    void arrive();
    void schedule_arrival();
    void try_root(std::uint64_t number);
    void try_over(std::uint64_t number, CallAnswer::Kind kind, bool in_time);
    void settle(std::uint64_t number, CallAnswer::Kind kind);
    std::uint32_t pick_sidecar(const std::string& id, std::uint32_t tries);
    void finish_if_over();

    // events
    void happen(std::size_t number);
    std::vector<std::uint32_t> chosen(const EventSpec& event, std::size_t number);
    void happen_to(Node& node, const EventSpec& event, std::size_t number);
    void happen_to_sidecar(std::uint32_t sidecar, const EventSpec& event);
    void later(Duration after, std::function<void()> what);
    void start_sidecar(std::uint32_t sidecar);
    void kill_sidecar(std::uint32_t sidecar);

    Duration since_start() const { return scheduler_.now() - origin_; }
    template <typename... Parts>
    void trace(const char* format, const Parts&... parts);

    Scheduler& scheduler_;
    Scenario scenario_;
    Options options_;
    Transport* transport_ = nullptr;
    std::unique_ptr<RuleChecker> rules_;
    std::vector<std::unique_ptr<Registry>> registries_;  // by tier
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::uint32_t> joined_;  // by tier: endpoints that it has had, for names
    std::vector<Sidecar> sidecars_;
    std::vector<std::uint32_t> dealt_;  // sidecars that the front deals to
    std::unordered_map<std::string, Call> calls_;
    std::deque<std::pair<Time, std::string>> closed_calls_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> attempts_;
    std::unordered_map<std::uint64_t, Root> roots_;
    /// Where and when an operation was carried out.
    struct Carried {
        std::uint32_t tier = 0, pod = 0;
        Time at{};
    };
    // By operation; grow with the operations played.
    std::unordered_map<std::string, std::vector<Carried>> effects_, carried_out_;
    std::uint64_t last_attempt_ = 0, last_root_ = 0;
    Time origin_{}, next_arrival_{}, settled_by_{};
    std::unique_ptr<Draws> arrivals_;
    bool begun_ = false, arrivals_done_ = false, settled_ = false, over_ = false;
    std::function<void()> on_over_;

    // what is going on; each entry is of one event
    std::vector<std::pair<std::uint64_t, double>> bursts_, leaves_;
    std::vector<std::pair<std::uint32_t, double>> hot_;  // sidecar, share of all traffic
    Duration stale_{};
    std::set<std::uint32_t> deaf_;  // sidecars that discovery says nothing to
    std::uint64_t last_condition_ = 0;

    Report report_;
    std::vector<std::vector<double>> latencies_;  // by class, ms
};

}  // namespace martenford::emulator
