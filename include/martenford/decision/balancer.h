// Public interface of the martenford decision library. Every decision is made in src/policy/logic.cpp.
//
// A Balancer decides for one sidecar. It does no I/O, reads no clock and starts no thread: the host passes it
// typed events, each with a timestamp, and executes the returned actions in order.
// The output is deterministic: the same settings, seed and events always give the same actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace martenford::decision {

/// The host's monotonic clock. Its epoch is arbitrary.
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
/// Index of an attempt within its request: 0, 1, 2 ... in the order in which the attempts were sent.
using AttemptNumber = std::uint32_t;

// ---- settings -------------------------------------------------------------------------------------

/// Whether a request may be executed more than once. Deduplicated: endpoints discard repeats.
enum class Idempotency { Idempotent, Deduplicated, NonIdempotent };
/// For deduplicated classes: which endpoints recognize a repeat of a request that one of them has executed.
enum class DedupScope { All, Zone, Cell };

struct RequestClass {
    std::string name;
    double worth = 1.0;
    double late_worth = 0.0;              ///< share of `worth` that a response after the latency target earns
    Duration latency_target{};            ///< a response within this time earns the full `worth`
    double latency_target_stretch = 0.0;  ///< the target grows by this multiple of the request's own work
    Duration deadline{};                  ///< how long a client waits in total
    Idempotency idempotency = Idempotency::NonIdempotent;  ///< the safe default
    DedupScope dedup_scope = DedupScope::Cell;             ///< deduplicated classes only
    Duration dedup_window{};  ///< deduplicated classes only: how long a repeat is recognized
    bool stream = false;
    bool sequential = false;  ///< requests with the same key run one at a time, in order of arrival
};

struct Tenant {
    std::string name;
    double share = 0.0;
    double allowance_per_s = 0.0;  ///< requests per second over all balancers; 0: not set
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

/// In any window of length `look_back` there may be at most floor + ratio x accepted requests retries.
struct AttemptBudget {
    double floor = 0.0;
    double ratio = 0.0;
    Duration look_back{};
};

/// Parameters of the rules that the balancer must keep.
struct Rules {
    Duration answer_slack{};
    Duration subscribe_interval{};  ///< asking discovery this often counts as informed; 0: never does
    Duration drain_grace{};
    double cold_capacity_share = 1.0;  ///< a freshly started endpoint has at least this share of its capacity
    Duration warm_up_time{};           ///< and its full capacity after at most this time
    double overload_multiple = 1.0;    ///< a cold endpoint that gets more than this multiple of its
    Duration overload_time{};          ///< current capacity for this long collapses
    Duration key_cooldown{};           ///< pause of a key after an attempt that may still be running
    std::optional<AttemptBudget> attempt_budget;  ///< absent: no limit on retries
};

enum class Weights { None, Nominal, Rough, Live };
enum class ReportVia { None, Answers, Probe };

struct Settings {
    std::uint32_t position = 0;  ///< index of this balancer among its replicas
    std::uint32_t replicas = 1;
    std::uint32_t zone = 0;
    std::uint32_t zones = 1;
    std::uint32_t kinds = 1;  ///< number of machine kinds in endpoint lists
    std::uint32_t tier = 0;   ///< the tier this balancer sends to
    std::uint32_t tiers = 1;
    bool subscribe = false;       ///< discovery sends updates only to subscribers
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

/// Throws std::invalid_argument, which names the field, if a setting is invalid.
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
    std::optional<Time> started;  ///< absent: long ago, so the endpoint is warm
};
using EndpointList = std::vector<Endpoint>;

/// Load metrics of an endpoint. Those that the endpoint does not report are absent.
struct LoadReport {
    std::optional<double> in_flight, queued, utilisation, service_ms, served_per_s, errors_per_s;
};

enum class Status { Error, Ok, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent };

/// Whether an attempt that ended so did certainly not run, and never will.
[[nodiscard]] constexpr bool proves_never_ran(Status status) {
    return status == Status::Rejected || status == Status::ConnectFailed || status == Status::NotSent;
}

/// A result of service discovery. Full and Cached replace the list, Delta changes it, Failed has no list.
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
    std::optional<Duration> work;  ///< expected processing time
    /// The body is still being received and is streamed to the endpoint. Until BodyReceived gives the final
    /// deadline, `deadline` is an upper bound. Until then attempts don't count as load.
    bool body_pending = false;
};
/// The body of a streamed request is complete. From here on its client waits for the response.
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
    bool last = false;  ///< the request is over; no response is owed any more
    std::optional<LoadReport> report;
    bool connection_reusable = true;  ///< after a response: the connection can be reused
};
/// The client gave up or its deadline passed; the request is over.
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
    Duration timeout{};  ///< 0: no limit but the client's own deadline
};
/// Final response: refused. The request was not executed or is idempotent, so the client may retry it.
struct Refuse {
    RequestId id;
    Duration retry_after{};
};
/// Final response: failed. The request may or may not have been executed.
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
/// Close the idle connections to an endpoint.
struct CloseIdleConnections {
    EndpointId endpoint{};
};
using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, Subscribe, CloseIdleConnections>;

// ---- the balancer ---------------------------------------------------------------------------------

class Balancer {
  public:
    /// Throws std::invalid_argument on invalid settings, see validate().
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Must be called once, before the first event.
    void start(Time now, std::vector<Action>& out);
    /// Appends the actions to take now, in order. Timestamps must not decrease. Unknown requests, attempts
    /// and timers are ignored; an out-of-range class or tenant throws std::invalid_argument without effect.
    void handle(Time now, const Event& event, std::vector<Action>& out);

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace martenford::decision
