// martenford decision library: the interface of the decision module. Every decision is made in src/logic.cpp.
//
// A Balancer is one sidecar's decision maker. It does no I/O, reads no clock and starts no thread:
// the host hands it typed events, each with its time, and performs the actions it gives back, in order.
// The same settings, seed and events always give the same actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace martenford::decision {

/// The host's clock: it starts anywhere and only advances.
struct Clock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
};
using Duration = Clock::duration;
using Time = Clock::time_point;

enum class EndpointId : std::uint32_t {};
using RequestId = std::string;
/// Number of an attempt within its request: 0, 1, 2 ... in the order of the sends.
using AttemptNumber = std::uint32_t;

// ---- settings -------------------------------------------------------------------------------------

/// Whether a request may take effect more than once.
enum class Idempotency { Idempotent, Deduplicated, NonIdempotent };
/// For guarded classes: which endpoints discard a repeat.
enum class DedupScope { All, Zone, Cell };

struct RequestClass {
    std::string name;
    double worth = 1.0;
    double late_worth = 0.0;              ///< share of the worth for an answer after the aim
    Duration latency_target{};            ///< answers inside this earn the full worth
    double latency_target_stretch = 0.0;  ///< the aim grows by this multiple of the request's own work
    Duration deadline{};                  ///< what a client waits in total
    Idempotency idempotency = Idempotency::NonIdempotent;  ///< the careful choice where nothing is said
    DedupScope dedup_scope = DedupScope::Cell;             ///< guarded only
    Duration dedup_window{};                               ///< guarded only: how long repeats are discarded
    bool stream = false;
    bool sequential = false;  ///< requests with one key take turns, in order of arrival
};

struct Tenant {
    std::string name;
    double share = 0.0;
    double allowance_per_s = 0.0;  ///< requests per second over all balancers; 0: none told
};

struct Prices {
    double connection = 0.0, cross_zone = 0.0, discovery = 0.0, handshake = 0.0;
    double late_fail = 0.0, probe = 0.0, waste = 0.0;
};

struct Limits {
    bool may_cancel = false;
    bool probing = false;
    bool hedging = false;
    bool peers = false;
    bool retry_after = false;
    std::uint32_t max_attempts = 1;
    std::uint32_t streams_per_connection = 1;
    Duration connection_idle{};
    Duration connect_timeout{};
    Duration max_retry_after{};
};

/// In any stretch of look_back, attempts after a request's first stay within floor + ratio x requests taken.
struct AttemptBudget {
    double floor = 0.0;
    double ratio = 0.0;
    Duration look_back{};
};

/// Figures of the rules.
struct Rules {
    Duration answer_slack{};
    Duration subscribe_interval{};  ///< 0: never deemed told
    Duration drain_grace{};
    double cold_capacity_share = 1.0;  ///< a fresh endpoint has at least this share of its capacity
    Duration warm_up_time{};           ///< and is warm after this at most
    double overload_multiple = 1.0;    ///< sent more than this multiple of its present capacity
    Duration overload_time{};          ///< for this long, a cold endpoint falls over
    Duration key_cooldown{};           ///< a key rests this long after an attempt that may still be running
    std::optional<AttemptBudget> attempt_budget;  ///< absent: attempts are not rationed
};

enum class Weights { None, Nominal, Rough, Live };
enum class ReportVia { None, Answers, Probe };

struct Settings {
    std::uint32_t position = 0;  ///< index of this balancer among its replicas
    std::uint32_t replicas = 1;
    std::uint32_t zone = 0;
    std::uint32_t zones = 1;
    std::uint32_t kinds = 1;  ///< machine kinds that a list may name
    std::uint32_t tier = 0;   ///< the tier this balancer sends to
    std::uint32_t tiers = 1;
    bool subscribe = false;       ///< discovery speaks only when asked
    bool passes_deadline = true;  ///< calls between tiers carry the caller's remaining time
    bool marks_retry = false;
    bool worth_by_work = false;
    double over_share_worth = 1.0;
    Weights weights = Weights::None;
    ReportVia report_via = ReportVia::None;
    Duration tick{};
    std::vector<RequestClass> classes;
    std::vector<Tenant> tenants;
    Limits limits;
    Prices prices;
    Rules rules;
};

/// Throws std::invalid_argument that names the field where settings make no sense.
void validate(const Settings& settings);

// ---- events ---------------------------------------------------------------------------------------

enum class Availability { Gone, Ready, Draining };

struct Endpoint {
    EndpointId id{};
    std::uint32_t zone = 0;
    std::uint32_t kind = 0;
    std::uint32_t cell = 0;
    Availability availability = Availability::Ready;
    double weight = 1.0;
    std::optional<Time> started;  ///< absent: long ago
};
using EndpointList = std::vector<Endpoint>;

/// Load figures of an endpoint; each is absent where the endpoint does not report it.
struct LoadReport {
    std::optional<double> in_flight, queued, utilisation, service_ms, served_per_s, errors_per_s;
};

enum class Status { Error, Ok, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent };

/// News from discovery. Full and Cached replace the list, Delta changes it, Failed carries nothing.
struct DiscoveryUpdate {
    enum class Kind { Cached, Full, Delta, Failed };
    Kind kind = Kind::Full;
    std::shared_ptr<const EndpointList> endpoints;
};
struct Request {
    RequestId id;
    std::uint32_t class_index = 0;
    Time deadline{};
    std::optional<std::uint32_t> tenant;
    bool write = false;
    bool resent = false;
    std::optional<std::uint64_t> key;
    std::optional<Duration> work;  ///< what it is expected to cost
    /// Its last bytes are still to come, and go to an endpoint as they do: `deadline` is the latest that it
    /// can have until Received tells it. Attempts are of no weight before.
    bool body_pending = false;
};
/// All of a request that was arriving is here; the time that its client waits begins.
struct BodyReceived {
    RequestId id;
    Time deadline{};
};
struct FirstByte {
    RequestId id;
    AttemptNumber attempt = 0;
    EndpointId endpoint{};
    Duration latency{};
};
struct Outcome {
    RequestId id;
    AttemptNumber attempt = 0;
    EndpointId endpoint{};
    Status status = Status::Error;
    Duration latency{};
    bool last = false;  ///< the request is over; nothing is owed any more
    std::optional<LoadReport> report;
    bool connection_reusable = true;  ///< of an answer: its connection can carry another
};
/// The client left; the request is over.
struct DeadlineExpired {
    RequestId id;
};
struct TimerFired {
    std::uint64_t token = 0;
};
struct ProbeResult {
    EndpointId endpoint{};
    Status status = Status::Error;
    Duration latency{};
    std::optional<LoadReport> report;
};
struct PeerMessage {
    std::uint32_t from = 0;
    std::string data;
};
using Event = std::variant<DiscoveryUpdate, Request, FirstByte, Outcome, DeadlineExpired, TimerFired,
                           ProbeResult, PeerMessage, BodyReceived>;

// ---- actions --------------------------------------------------------------------------------------

struct Send {
    RequestId id;
    EndpointId endpoint{};
    Duration timeout{};  ///< 0: until the client gives up
};
/// Final answer: declined, and a retry does no harm.
struct Refuse {
    RequestId id;
    Duration retry_after{};
};
/// Final answer: unsuccessful; nothing is said about its effect.
struct Fail {
    RequestId id;
};
struct Cancel {
    RequestId id;
    AttemptNumber attempt = 0;
};
struct SetTimer {
    Time at{};
    std::uint64_t token = 0;
};
struct Probe {
    EndpointId endpoint{};
};
struct Subscribe {};
/// Close the connections to an endpoint that carry nothing now.
struct CloseIdleConnections {
    EndpointId endpoint{};
};
using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, Subscribe, CloseIdleConnections>;

// ---- the balancer ---------------------------------------------------------------------------------

class Balancer {
  public:
    /// Throws std::invalid_argument, as validate() does.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Called once, before any event.
    void start(Time now, std::vector<Action>& out);
    /// Appends what is to be done now, in order. Times must not go back. What is not or no longer known is
    /// passed over; a class or tenant out of range throws std::invalid_argument and changes nothing.
    void handle(Time now, const Event& event, std::vector<Action>& out);

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace martenford::decision
