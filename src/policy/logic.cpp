// Every decision of the library. The interface is include/martenford/decision/balancer.h.
//
// The normal path follows "Retries Done Right": successful calls earn the tokens that retries spend, retries
// back off with decorrelated jitter and stop at the deadline, and of two random ready servers the one with
// less load by own calls in flight is picked. docs/design.md says where and why the module departs from it.
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "martenford/decision/balancer.h"
#include "policy/budget.h"
#include "policy/mechanics.h"
#include "policy/ring.h"
#include "policy/waits.h"

namespace martenford::decision {
namespace {

using namespace std::chrono_literals;

// ---- tunables -------------------------------------------------------------------------------------

// Fewest servers that an instance uses: two pairs of a cell. Fewer servers are heard of more often.
constexpr std::size_t kMinSubsetSize = 4;
// A subset is large enough for each server to have this many calling instances, for an even load.
constexpr std::size_t kCallersPerServer = 2;
// Share of overload_multiple that is sent to a cold server; the rest is a margin for chance.
constexpr double kColdLoadMargin = 0.9;
constexpr int kColdPrunesPerWarmUp = 32;   // prunings of the list of cold servers per warm_up_time
constexpr double kHealthGain = 0.3;        // weight of the newest outcome: three in a row dominate
constexpr Duration kHealthHalfLife = 10s;  // of server statistics: many faults last some tens of seconds
constexpr double kTieRatio = 0.9;          // servers whose loads are closer than this count as equal
// A server whose calls all fail looks as loaded as one with ten calls more.
constexpr double kFailureWeight = 10.0;
// Added to that for fast errors, when the call is not idempotent and so cannot be retried.
constexpr double kFastErrorWeight = 100.0;
// Pressure from which on a free place matters more than the error history of a server.
constexpr double kMaxAvoidancePressure = 0.3;
// A call that waited longer than this multiple of its headroom counts as this much.
constexpr double kMaxPressureSample = 1.5;
// Weight of the newest call: a single slow one does not cause shedding.
constexpr double kPressureGain = 0.1;
constexpr Duration kPressureHalfLife = 1s;  // while no calls complete
// Completions over which the rate is averaged: few, to follow a burst.
constexpr std::int64_t kGapSamples = 8;
// Completions over which the latency is averaged: more, since it must not follow a queue that builds up.
constexpr std::int64_t kLatencySamples = 32;
constexpr std::size_t kMaxSentTimes = 4096;  // sends that are remembered
// Other replicas up to which the loss of one shows in the rate, which is accurate to 1/sqrt(8).
constexpr double kMaxReplicasForStep = 8.0;
// A pause of this many mean gaps between completions is no longer chance.
constexpr double kSilentGapMultiple = 3.0;
// Standard deviations of the calls in flight that are attributed to chance while there is no queueing.
constexpr double kInFlightDeviations = 1.0;
// Pressure from which on the lowest-value class is shed; the scan is in the results.
constexpr double kShedThreshold = 0.1;
// How much more pressure the highest-value class tolerates.
constexpr double kShedValueSpread = 0.4;
// Pressure range in which shedding grows from none to all: narrow, so that no jam builds up.
constexpr double kShedTransition = 0.15;
// Share of unanswered calls from which on idle connections are suspected to be dead.
constexpr double kSilentShareThreshold = 0.15;
// Idle connections are closed if calls on them go unanswered this many times as often as on new ones.
constexpr double kSilentShareRatio = 2.0;
// An attempt that is in flight for longer than this many mean latencies of its class is overdue.
constexpr double kOverdueMultiple = 5.0;
// Pressure up to which an overdue attempt is no sign of a queue.
constexpr double kMaxCalmPressure = 0.1;
// Ring entries that a change moves one by one; with more the ring is rebuilt.
constexpr std::size_t kMaxRingMoves = 64;
constexpr std::size_t kMaxScannedServers = 256;  // when looking for a warm one
constexpr std::size_t kMaxPairedCellSize = 128;  // servers up to which a cell is placed on the ring in pairs
constexpr int kFirstSubscribeDivisor = 2;        // first subscriptions spread over subscribe_interval / this
constexpr int kSubscribeBackoffDivisor = 10;  // failed subscriptions wait at least subscribe_interval / this

/// What this instance has observed of a request class.
struct ClassStats {
    Duration mean_latency{};   // of successful calls, averaged
    Duration low_latency{};    // low estimate: the latency of a call that hardly waits in a queue
    Duration max_time_left{};  // longest remaining time that a call had on arrival
};

/// Queueing pressure: moving average of the queueing time of recent calls, as a share of their headroom
/// (latency target minus latency of a call that hardly waits).
class Pressure {
  public:
    void add(double waited, Time now) {
        value_ = value(now) + (std::clamp(waited, 0.0, kMaxPressureSample) - value(now)) * kPressureGain;
        at_ = now;
    }
    /// Decays while no calls complete, since all may have been shed.
    double value(Time now) const {
        const double age = ratio(now - at_, kPressureHalfLife);
        return age > 0.5 ? value_ * std::exp2(0.5 - age) : value_;
    }

  private:
    double value_ = 0.0;
    Time at_{};
};

/// Rates at which calls are sent and complete successfully.
class CallRates {
  public:
    /// `first`: nothing else is in flight. The idle time before says nothing about the completion rate.
    void record_sent(Time now, bool first) {
        if (first) gap_start_ = now;
        sent_times_.push_back(now);
        // Until the first call completes all are kept: its latency then decides which ones matter.
        while (sent_times_.size() > kMaxSentTimes ||
               (mean_latency_ > Duration{} && now - sent_times_.front() > mean_latency_)) {
            sent_times_.pop_front();
        }
    }
    void record_served(Time now, Duration latency) {
        mean_latency_ += mean_latency_ == Duration{} ? latency : (latency - mean_latency_) / kLatencySamples;
        samples_ = std::min(samples_ + 1, kGapSamples);
        const double gap = static_cast<double>((now - gap_start_).count());
        mean_gap_ += (gap - mean_gap_) / static_cast<double>(samples_);
        gap_start_ = now;
    }
    /// Estimates how long this many calls take to complete, without those that chance accounts for.
    /// `max_step`: the factor by which the traffic of an instance can rise at once without more load on the
    /// servers, as when a neighbour drains. After such a step completions lag behind sends by one mean
    /// latency; until then calls are expected at the rate at which they were sent, but at most max_step times
    /// the completion rate, or at any rate while too few have completed to know it. Guards against mistaking
    /// a step, or the first calls of an instance, for servers that became slow. If max_step is 1 both count
    /// as slow servers, since a fleet that starts under overload would tip over. `grace`: a pause that is
    /// ignored before the first completion.
    Duration completion_time_of(int calls, double deviations, double max_step, Duration grace,
                                Time now) const {
        if (samples_ == 0 && max_step > 1.0 && now - gap_start_ <= grace) return Duration{};
        const double silence =
            static_cast<double>((now - gap_start_).count()) / (samples_ ? kSilentGapMultiple : 1.0);
        const double above_chance = calls - deviations * std::sqrt(static_cast<double>(calls));
        const double gap = std::max(mean_gap_, silence),
                     min_gap = max_step > 1.0 && samples_ < kGapSamples ? 0.0 : gap / max_step;
        return Duration{
            static_cast<Duration::rep>(above_chance * std::clamp(mean_send_gap(now), min_gap, gap))};
    }

  private:
    double mean_send_gap(Time now) const {
        const auto since = std::lower_bound(sent_times_.begin(), sent_times_.end(), now - mean_latency_);
        if (mean_latency_ == Duration{} || since == sent_times_.end())
            return std::numeric_limits<double>::infinity();
        return static_cast<double>(mean_latency_.count()) / static_cast<double>(sent_times_.end() - since);
    }

    std::int64_t samples_ = 0;
    Time gap_start_{};
    double mean_gap_ = 0.0;        // between completions, averaged
    Duration mean_latency_{};      // of successful calls of all classes, averaged
    std::deque<Time> sent_times_;  // within the last mean latency
};

/// An attempt in flight.
struct InFlightAttempt {
    Time sent_at{};
    std::size_t class_index = 0;
    Duration mean_latency{};    // of its class when it was sent
    bool body_pending = false;  // the request is not complete yet, so that it is no load
};

struct Server {
    Endpoint listed;
    std::vector<InFlightAttempt> in_flight;  // attempts of this instance
    std::vector<Time> idle_since;            // one entry per idle connection, oldest first
    double latency_ratio = 1.0;              // relative to the mean latency of the class
    double failure_share = 0.0;              // share of recent calls that failed
    double fast_error_share = 0.0;           // share that failed too fast to have done the work
    Time updated_at{};
    Time newest_timely_sent_at{};  // send time of the newest call that it served before it was overdue
    double warm_up_tokens = 0.0;   // earned by successful calls while it is cold
    std::size_t busy_index = 0;    // index in `busy`, if it has attempts in flight
    std::uint64_t ring_key = 0;    // key in the ring, if it is ready
    bool in_cold_list = false;     // is in `cold`
};

struct Attempt {
    Endpoint target;  // as listed when it was sent: the list may drop it before a retry
    Time sent_at{};
    Duration idle_time{};  // how long its connection was idle before; 0: a new connection
    bool in_flight = true;
    bool may_have_run = true;  // until its outcome proves that it did not
};

/// A request that is owed an answer, or an answered one that still has attempts in flight.
struct Call {
    Request request;
    std::vector<Attempt> attempts;
    Backoff backoff;
    bool awaiting_answer = true;
    bool held = false;         // waits for its timer, for a server or for its turn
    bool retry_paid = false;   // retry tokens were taken and the retry has not been sent yet
    Time overdue_at{};         // when the newest attempt becomes overdue
    Time held_until{};         // tells the current timer from earlier ones; hosts round to a tick
    Time key_blocked_until{};  // an attempt may have gone on running after its outcome
};

bool may_still_run(Status s) {
    return s == Status::Timeout || s == Status::Reset || s == Status::Cancelled;
}

constexpr std::uint64_t kDiscoveryToken = 0;  // all other timer tokens are call numbers

}  // namespace

struct Balancer::Impl {
    Settings settings;
    Random random;
    RetryBudget retry_budget;
    AttemptBudgetLimiter attempt_limiter;
    Backoff subscribe_backoff;
    std::map<EndpointId, Server> servers;
    Ring<Server> ring;                                    // ready servers, by ring_key_of()
    std::map<std::uint32_t, std::vector<Server*>> cells;  // ready servers of each cell, by id
    std::map<std::uint32_t, std::size_t> zones;           // number of ready servers per zone
    bool needs_ring_rebuild = false;                      // at the end of the current update
    std::vector<Server*> cold;                            // servers that may still be warming up, unordered
    Time next_cold_prune{};
    std::vector<EndpointId> removed_ids;  // removed from the list, may still have attempts in flight
    std::vector<Server*> busy;            // servers with attempts in flight, unordered: few in a large fleet
    int total_in_flight = 0;              // attempts whose request is complete
    std::map<std::uint64_t, Call> calls;  // by number, which is the order of arrival
    std::unordered_map<RequestId, std::uint64_t> call_numbers;  // never iterated: the order is unspecified
    std::uint64_t last_number = kDiscoveryToken;
    std::unordered_map<std::uint64_t, std::deque<std::uint64_t>>
        key_queues;                      // call numbers by key; the first one may be sent
    std::set<std::uint64_t> waiting;     // calls that are held and were never sent
    std::deque<std::uint64_t> sendable;  // held calls that got a server or their turn in this event
    Time now{};
    std::vector<Action>* actions = nullptr;

    std::vector<ClassStats> class_stats;
    Pressure pressure;
    CallRates call_rates;
    Duration stale_idle_time{};  // connections idle for longer are closed before use; 0: off
    Time stale_seen_at{};
    double silent_share_reused = 0.0,
           silent_share_new = 0.0;  // share of unanswered calls on reused and on new connections

    Impl(Settings s, std::uint64_t seed)
        : settings((validate(s), std::move(s))),
          random(seed),
          attempt_limiter(settings.rules.attempt_budget),
          subscribe_backoff(settings.rules.subscribe_interval / kSubscribeBackoffDivisor,
                            settings.rules.subscribe_interval) {
        class_stats.resize(settings.classes.size());
    }

    // ---- discovery --------------------------------------------------------------------------------

    void start() {
        // All instances of a fleet may start at once; simultaneous subscriptions would all fail.
        if (settings.subscribe)
            subscribe_after(
                scaled(settings.rules.subscribe_interval, random.unit() / kFirstSubscribeDivisor));
    }

    void subscribe_after(Duration wait) { actions->push_back(SetTimer{now + wait, kDiscoveryToken}); }

    void on(const DiscoveryUpdate& update) {
        if (update.kind == DiscoveryUpdate::Kind::Failed) {
            if (settings.subscribe) subscribe_after(subscribe_backoff.next(random));
            return;
        }
        // A full list replaces everything; the cost of a delta depends on its size alone.
        if (update.kind != DiscoveryUpdate::Kind::Delta) {
            for (auto& [id, server] : servers) {
                if (server.listed.availability == Availability::Gone) continue;
                if (server.listed.availability == Availability::Ready) --zones[server.listed.zone];
                server.listed.availability = Availability::Gone;
                removed_ids.push_back(id);
            }
            cells.clear();
            needs_ring_rebuild = true;
        }
        if (update.endpoints) {
            for (const Endpoint& listed : *update.endpoints) apply_endpoint(listed);
        }
        std::sort(removed_ids.begin(), removed_ids.end());
        removed_ids.erase(std::unique(removed_ids.begin(), removed_ids.end()), removed_ids.end());
        for (const EndpointId id : std::exchange(removed_ids, {})) {
            const auto it = servers.find(id);
            if (it == servers.end() || it->second.listed.availability != Availability::Gone) continue;
            if (!it->second.in_flight.empty()) {
                removed_ids.push_back(id);
                continue;
            }
            if (it->second.in_cold_list) std::erase(cold, &it->second);
            servers.erase(it);
        }
        if (update.kind != DiscoveryUpdate::Kind::Cached) {
            subscribe_backoff = Backoff(settings.rules.subscribe_interval / kSubscribeBackoffDivisor,
                                        settings.rules.subscribe_interval);
        }
        if (std::exchange(needs_ring_rebuild, false)) rebuild_ring();
        for (const std::uint64_t number : waiting) {
            if (is_next_for_key(number, calls.at(number))) sendable.push_back(number);
        }
    }

    void apply_endpoint(const Endpoint& listed) {
        Server& server = servers.try_emplace(listed.id, unlisted_server(listed.id)).first->second;
        // Restarted: random, so that the first calls of all replicas do not arrive at the same time.
        if (server.listed.started != listed.started) server.warm_up_tokens = random.unit();
        const bool was_ready = server.listed.availability == Availability::Ready;
        const bool is_ready = listed.availability == Availability::Ready;
        const bool keeps_place = was_ready && is_ready && server.listed.cell == listed.cell;
        if (was_ready) --zones[server.listed.zone];
        if (was_ready && !keeps_place) remove_from_ring(server);
        server.listed = listed;
        if (is_ready) ++zones[listed.zone];
        if (is_ready && !keeps_place) add_to_ring(server);
        if (listed.availability == Availability::Gone) removed_ids.push_back(listed.id);
        if (!server.in_cold_list && warm_up_share(server) < 1.0) {
            server.in_cold_list = true;
            cold.push_back(&server);
        }
    }

    static Server unlisted_server(EndpointId id) {
        Server server;
        server.listed.id = id;
        server.listed.availability = Availability::Gone;
        return server;
    }

    /// Keeps pairs of a cell adjacent, so that the retry of a deduplicated call finds a second server of the
    /// same cell in the subset, and shuffles the pairs, so that the outage of a zone or cell hits only a part
    /// of each subset. In a large cell servers are placed one by one: a second server of the cell is always
    /// near, and a change must not move all servers counted after it.
    static std::uint64_t ring_key_of(const std::vector<Server*>& cell, std::size_t index) {
        const Endpoint& listed = cell[index]->listed;
        if (cell.size() > kMaxPairedCellSize) return Random(~static_cast<std::uint64_t>(listed.id)).next();
        return Random(listed.cell * 0x10000ull + index / 2).next();
    }

    void rebuild_ring() {
        std::vector<Ring<Server>::Entry> entries;
        for (auto& [cell, members] : cells) {
            for (std::size_t i = 0; i < members.size(); ++i) {
                members[i]->ring_key = ring_key_of(members, i);
                entries.push_back({members[i]->ring_key, members[i]->listed.id, members[i]});
            }
        }
        ring.assign(std::move(entries));
    }

    static auto find_member(std::vector<Server*>& members, EndpointId id) {
        return std::lower_bound(
            members.begin(), members.end(), id,
            [](const Server* server, EndpointId other) { return server->listed.id < other; });
    }

    void add_to_ring(Server& server) {
        auto& members = cells[server.listed.cell];
        const auto at = members.insert(find_member(members, server.listed.id), &server);
        if (members.size() == kMaxPairedCellSize + 1) needs_ring_rebuild = true;
        update_ring_keys(members, static_cast<std::size_t>(at - members.begin()), &server);
    }

    void remove_from_ring(Server& server) {
        auto& members = cells[server.listed.cell];
        const auto at = members.erase(find_member(members, server.listed.id));
        if (!needs_ring_rebuild) ring.erase(server.ring_key, server.listed.id);
        const auto from = static_cast<std::size_t>(at - members.begin());
        if (members.size() == kMaxPairedCellSize) needs_ring_rebuild = true;
        if (members.empty()) {
            cells.erase(server.listed.cell);
        } else {
            update_ring_keys(members, from, nullptr);
        }
    }

    /// Updates the ring keys of the members from this index on: the change shifted them to other pairs.
    void update_ring_keys(const std::vector<Server*>& members, std::size_t from, const Server* added) {
        const bool large = members.size() > kMaxPairedCellSize;  // then only the added one needs a key
        const std::size_t end = !large ? members.size() : added ? from + 1 : from;
        if (end - from > kMaxRingMoves) needs_ring_rebuild = true;  // a rebuild is cheaper
        for (std::size_t i = from; i < end && !needs_ring_rebuild; ++i) {
            Server& server = *members[i];
            const std::uint64_t ring_key = ring_key_of(members, i);
            if (&server != added && ring_key == server.ring_key) continue;
            if (&server != added) ring.erase(server.ring_key, server.listed.id);
            server.ring_key = ring_key;
            ring.insert(ring_key, server.listed.id, server);
        }
    }

    // ---- picking ----------------------------------------------------------------------------------

    /// Share of its full capacity that a server has now, assuming the slowest warm-up that the rules allow.
    double warm_up_share(const Server& server) const {
        if (!server.listed.started || settings.rules.warm_up_time <= Duration{}) return 1.0;
        const double age = ratio(now - *server.listed.started, settings.rules.warm_up_time);
        const double from = settings.rules.cold_capacity_share;
        return from + (1.0 - from) * std::clamp(age, 0.0, 1.0);
    }

    /// Whether this call may be sent to this server without the risk of a second execution.
    bool may_send_to(const Call& call, const Server& server) const {
        const RequestClass& rules = settings.classes[call.request.class_index];
        if (rules.idempotency == Idempotency::Idempotent) return true;
        for (const Attempt& attempt : call.attempts) {
            if (!attempt.may_have_run) continue;
            if (rules.idempotency == Idempotency::NonIdempotent ||
                now >= attempt.sent_at + rules.dedup_window)
                return false;
            if (rules.dedup_scope == DedupScope::All) continue;
            const Endpoint &a = attempt.target, &b = server.listed;
            if (rules.dedup_scope == DedupScope::Zone ? a.zone != b.zone : a.cell != b.cell) return false;
        }
        return true;
    }

    /// Whether an earlier attempt that may have run limits the servers that may get this call.
    bool is_restricted(const Call& call) const {
        return settings.classes[call.request.class_index].idempotency != Idempotency::Idempotent &&
               std::any_of(call.attempts.begin(), call.attempts.end(),
                           [](auto& a) { return a.may_have_run; });
    }

    /// Number of servers that this instance spreads its calls over. Guards against replicas that together
    /// open more connections than the servers accept. It grows with the calls in flight, so that a busy
    /// instance does not overload a few servers.
    std::size_t subset_size() const {
        const std::size_t even = kCallersPerServer * ring.size() / settings.replicas;
        return std::max(
            {kMinSubsetSize, even, static_cast<std::size_t>(total_in_flight - presumed_lost_count())});
    }

    /// Start of this instance's subset on the ring: the replicas are evenly spread.
    std::size_t ring_start() const {
        return settings.position % settings.replicas * ring.size() / settings.replicas;
    }
    Server& server_at(std::size_t i) { return ring[(ring_start() + i) % ring.size()]; }
    /// Offset of a ready server from there.
    std::size_t ring_offset(const Server& server) const {
        return (ring.rank(server.ring_key, server.listed.id) + ring.size() - ring_start()) % ring.size();
    }

    /// Whether a cold server has not earned another call yet.
    bool is_throttled(const Server& server) const {
        return server.warm_up_tokens < 1.0 && warm_up_share(server) < 1.0;
    }
    static bool tried_by(const Call& call, const Server& server) {
        return std::any_of(call.attempts.begin(), call.attempts.end(),
                           [&](const Attempt& a) { return a.target.id == server.listed.id; });
    }

    /// Removes warm and gone servers from the list of cold ones. Readers skip such servers, so this is only
    /// done now and then: with thousands of servers warming up the list must not be walked for each pick.
    void prune_cold() {
        if (now < next_cold_prune) return;
        next_cold_prune = now + settings.rules.warm_up_time / kColdPrunesPerWarmUp;
        std::erase_if(cold, [&](Server* server) {
            if (warm_up_share(*server) < 1.0) return false;
            server->in_cold_list = false;
            return true;
        });
    }

    /// Calls `visit` with each ready server among the first `candidates` that may be cold, and with its
    /// offset. Walks either those servers or the cold ones, whichever are fewer.
    template <typename Visit>
    void for_each_cold(std::size_t candidates, Visit visit) {
        if (cold.size() > candidates) {
            for (std::size_t i = 0; i < candidates; ++i) {
                if (Server& server = server_at(i); server.in_cold_list) visit(server, i);
            }
            return;
        }
        for (Server* server : cold) {
            if (server->listed.availability != Availability::Ready) continue;
            if (const std::size_t i = ring_offset(*server); i < candidates) visit(*server, i);
        }
    }

    /// Picks the less loaded of two random ready servers of the subset; retries prefer servers not tried yet.
    Server* pick_server(const Call& call) {
        if (ring.empty()) return nullptr;
        const std::size_t candidates = std::min(subset_size(), ring.size());
        if (is_restricted(call)) return pick_by_scan(call, candidates);
        // Excludes throttled and tried servers by their offsets, so as not to look at every other server.
        std::vector<std::size_t> excluded;
        prune_cold();
        for_each_cold(candidates, [&](const Server& server, std::size_t i) {
            if (is_throttled(server)) excluded.push_back(i);
        });
        for (const Attempt& attempt : call.attempts) {
            const auto it = servers.find(attempt.target.id);
            if (it == servers.end() || it->second.listed.availability != Availability::Ready) continue;
            if (const std::size_t i = ring_offset(it->second); i < candidates) excluded.push_back(i);
        }
        std::sort(excluded.begin(), excluded.end());
        excluded.erase(std::unique(excluded.begin(), excluded.end()), excluded.end());
        if (excluded.size() == candidates) return pick_by_scan(call, candidates);
        return less_loaded(call, candidates - excluded.size(), [&](std::size_t i) {
            for (const std::size_t offset : excluded) i += offset <= i ? 1 : 0;
            return &server_at(i);
        });
    }

    /// Same by looking at each server: for restricted calls, and if all servers of the subset are excluded.
    Server* pick_by_scan(const Call& call, std::size_t candidates) {
        std::vector<Server*> untried, tried, throttled;
        // A large fleet may be cold as a whole. The few servers of a restricted call may be anywhere.
        const std::size_t max_scanned = is_restricted(call)
                                            ? ring.size()
                                            : std::min(ring.size(), std::max(candidates, kMaxScannedServers));
        for (std::size_t i = 0; i < max_scanned && (i < candidates || untried.empty()); ++i) {
            Server& server = server_at(i);
            if (!may_send_to(call, server)) continue;
            if (is_throttled(server)) {
                throttled.push_back(&server);
                continue;
            }
            (tried_by(call, server) ? tried : untried).push_back(&server);
        }
        // If only cold servers are left they must serve: a call held until its deadline is lost for sure.
        std::vector<Server*>& from = !untried.empty() ? untried : tried.empty() ? throttled : tried;
        return less_loaded(call, from.size(), [&](std::size_t i) { return from[i]; });
    }

    template <typename Nth>
    Server* less_loaded(const Call& call, std::size_t count, Nth nth) {
        if (count == 0) return nullptr;
        const std::size_t first = random.below(count);
        if (count == 1) return nth(first);
        std::size_t second = random.below(count - 1);
        if (second >= first) ++second;
        // Nearly equal loads are left to the random draw, so that a server gets calls again once its bad
        // record fades.
        Server *a = nth(first), *b = nth(second);
        // Guards against a final failure of a call that cannot be retried, for the sake of a shorter queue.
        double fast_error_weight = 0.0;
        const Idempotency idempotency = settings.classes[call.request.class_index].idempotency;
        if (idempotency == Idempotency::NonIdempotent) {
            fast_error_weight =
                kFastErrorWeight * std::max(0.0, 1.0 - pressure.value(now) / kMaxAvoidancePressure);
        }
        const bool may_probe = idempotency == Idempotency::Idempotent;
        return load(*b, fast_error_weight, may_probe) < load(*a, fast_error_weight, may_probe) * kTieRatio
                   ? b
                   : a;
    }

    // ---- requests ---------------------------------------------------------------------------------

    void on(const Request& request) {
        if (request.class_index >= settings.classes.size()) throw std::invalid_argument("class out of range");
        if (request.tenant && *request.tenant >= settings.tenants.size()) {
            throw std::invalid_argument("tenant out of range");
        }
        if (call_numbers.contains(request.id))
            return;  // duplicate of a pending request: it gets one answer, not two
        const std::uint64_t number = ++last_number;
        call_numbers[request.id] = number;
        calls[number].request = request;
        attempt_limiter.record_request(now);
        ClassStats& stats = class_stats[request.class_index];
        if (!request.body_pending)
            stats.max_time_left = std::max(stats.max_time_left, request.deadline - now);
        if (settings.tier == 0 ? should_shed(request) : is_too_late(request)) return give_up(number);
        if (is_ordered(request)) key_queues[*request.key].push_back(number);
        try_send(number);
    }

    // ---- order by key -----------------------------------------------------------------------------

    bool is_ordered(const Request& request) const {
        return request.key && settings.classes[request.class_index].sequential;
    }

    /// Whether all earlier calls with the same key are over. A call that waits for its retry keeps its turn:
    /// it is worth no less than those behind it, and they may not overtake it.
    bool is_next_for_key(std::uint64_t number, const Call& call) const {
        if (!is_ordered(call.request)) return true;
        const auto queue = key_queues.find(*call.request.key);  // a call shed on arrival is in none
        return queue != key_queues.end() && queue->second.front() == number;
    }

    /// Latest time to send a call that is held. One that waits for its turn is dropped once its response
    /// would be worthless, so that a stuck key sends no useless calls; one that waits for a server is held to
    /// the end.
    Time latest_send_time(std::uint64_t number, const Call& call) const {
        const Time end = call.request.deadline - kDeadlineBuffer;
        if (is_next_for_key(number, call)) return end;
        return std::min(
            end, now + useful_time_left(call.request) - class_stats[call.request.class_index].mean_latency);
    }

    /// Called once a call is over and all its attempts have ended. The next one may be sent in the same
    /// event.
    void leave_key_queue(std::uint64_t number, const Request& request) {
        const auto it = is_ordered(request) ? key_queues.find(*request.key) : key_queues.end();
        if (it == key_queues.end()) return;
        std::erase(it->second, number);
        if (it->second.empty()) {
            key_queues.erase(it);
        } else {
            sendable.push_back(it->second.front());
        }
    }

    /// Sends the held calls for which a server or their turn has come.
    void send_waiting_calls() {
        for (; !sendable.empty(); sendable.pop_front()) {
            const auto it = calls.find(sendable.front());
            if (it != calls.end() && it->second.held && it->second.attempts.empty()) try_send(it->first);
        }
    }

    // ---- the life of a request --------------------------------------------------------------------

    /// Whether a response at the mean latency would be too late to be worth anything. Guards against jams in
    /// which servers work on responses that nobody needs any more, while slots of the tiers above are held.
    bool is_too_late(const Request& request) const {
        return useful_time_left(request) < class_stats[request.class_index].mean_latency;
    }

    /// How long a response is still worth something.
    Duration useful_time_left(const Request& request) const {
        const RequestClass& rules = settings.classes[request.class_index];
        const Duration past = rules.late_worth > 0.0
                                  ? Duration{}
                                  : class_stats[request.class_index].max_time_left - rules.latency_target;
        return request.deadline - now - std::max(Duration{}, past);
    }

    double value_density(std::size_t i) const {
        const auto mean_latency = class_stats[i].mean_latency > Duration{}
                                      ? class_stats[i].mean_latency
                                      : settings.classes[i].latency_target;
        return settings.classes[i].worth / static_cast<double>(std::max(mean_latency, Duration{1}).count());
    }

    bool should_shed(const Request& request) {
        double best = 0.0;
        for (std::size_t i = 0; i < class_stats.size(); ++i) best = std::max(best, value_density(i));
        const double value = best > 0.0 ? value_density(request.class_index) / best : 1.0;
        const double from = kShedThreshold + kShedValueSpread * value;
        const ClassStats& stats = class_stats[request.class_index];
        const Duration headroom = settings.classes[request.class_index].latency_target - stats.low_latency;
        // A few calls in flight mean nothing while calls are merely uneven. Once calls are seen to queue, the
        // number in flight is the earlier sign. Guards against jams that show too late at a few responses per
        // second.
        const double current_pressure = pressure.value(now),
                     calm = 1.0 - current_pressure / (kShedThreshold + kShedValueSpread);
        const Duration completion_time = call_rates.completion_time_of(
            total_in_flight - presumed_lost_count(), kInFlightDeviations * std::max(0.0, calm),
            replica_loss_step(), overdue_after(request.class_index), now);
        const double expected_wait =
            headroom > Duration{} ? ratio(completion_time - stats.low_latency, headroom) : 0.0;
        return random.unit() * kShedTransition < std::max(current_pressure, expected_wait) - from;
    }

    /// Factor by which the traffic of this instance rises when one replica leaves. Among many replicas it is
    /// below the noise of the estimate.
    double replica_loss_step() const {
        const double others = settings.replicas - 1.0;
        return others < 1.0 || others > kMaxReplicasForStep ? 1.0 : (others + 1.0) / others;
    }

    /// Time after which an attempt is overdue.
    Duration overdue_after(std::size_t class_index) const {
        const Duration mean_latency = class_stats[class_index].mean_latency;
        if (mean_latency == Duration{})
            return settings.classes[class_index].latency_target / 2;  // the rest is left for a second attempt
        return std::max(scaled(mean_latency, kOverdueMultiple),
                        kBackoffBase);  // the minimum time to a retry: less would save nothing
    }

    /// Whether an attempt is presumed lost: it is overdue, and its server has served a later one in time.
    /// Guards against mistaking calls that will never be answered (a dead connection, a truncated response, a
    /// call that the server lost) for a queue and shedding good work: in a queue all calls wait, and the mean
    /// latency grows. Fails with servers that serve the newest call first, or that serve most calls fast and
    /// some hardly ever: their queue is overlooked.
    bool presumed_lost(const Server& server, Time sent_at, std::size_t class_index) const {
        return server.newest_timely_sent_at > sent_at && now - sent_at > overdue_after(class_index);
    }
    /// Number of attempts presumed lost. Under queueing pressure they count like any others, so it is 0.
    int presumed_lost_count() const {
        if (pressure.value(now) > kMaxCalmPressure) return 0;
        std::ptrdiff_t count = 0;
        for (const Server* server : busy) {
            count += std::count_if(
                server->in_flight.begin(), server->in_flight.end(), [&](const InFlightAttempt& s) {
                    return !s.body_pending && presumed_lost(*server, s.sent_at, s.class_index);
                });
        }
        return static_cast<int>(count);
    }

    void join_busy(Server& server) {
        server.busy_index = busy.size();
        busy.push_back(&server);
    }
    void leave_busy(Server& server) {
        busy[server.busy_index] = busy.back();
        busy[server.busy_index]->busy_index = server.busy_index;
        busy.pop_back();
    }

    void update_server_stats(Server& server, const ClassStats& stats, const Outcome& outcome, bool lost) {
        const bool answered = outcome.status == Status::Ok, ended = outcome.status == Status::Cancelled;
        const double decay = health_decay(server);
        server.latency_ratio = 1.0 + (server.latency_ratio - 1.0) * decay;
        server.failure_share *= decay;
        server.fast_error_share *= decay;
        // An attempt that was lost says nothing about the speed of its server.
        if (!lost && (answered || ended || outcome.status == Status::Timeout) &&
            stats.mean_latency > Duration{}) {
            server.latency_ratio +=
                (ratio(outcome.latency, stats.mean_latency) - server.latency_ratio) * kHealthGain;
        }
        // A call cancelled here for being overdue was slow up to then, but it did not fail.
        if (!ended) {
            server.failure_share += ((answered ? 0.0 : 1.0) - server.failure_share) * kHealthGain;
            // Too fast for the work to have been done: the server's own failure, not that of a tier below.
            const bool own = outcome.status == Status::Error && outcome.latency < stats.low_latency / 2;
            server.fast_error_share += ((own ? 1.0 : 0.0) - server.fast_error_share) * kHealthGain;
        }
        server.updated_at = now;
    }

    double health_decay(const Server& server) const {
        return std::exp2(-ratio(now - server.updated_at, kHealthHalfLife));
    }

    /// Load of a server: own calls in flight over its configured weight, scaled by its recent latency and
    /// failures. `fast_error_weight`: extra weight of errors for calls that cannot be retried. `may_probe`:
    /// the call can be retried, so it may find out whether a server hangs or only lost one call. Nothing else
    /// would tell, since a server that is avoided serves no calls.
    double load(const Server& server, double fast_error_weight, bool may_probe) const {
        const double decay = health_decay(server);
        double latency_ratio = 1.0 + (server.latency_ratio - 1.0) * decay;
        // An overdue call counts like a late response. Guards against servers that hang, vanished or lost
        // their connections unnoticed: they send no responses to judge by.
        const bool doubtful = may_probe && server.in_flight.size() == 1;
        for (const InFlightAttempt& sent : server.in_flight) {
            if (sent.mean_latency == Duration{} || presumed_lost(server, sent.sent_at, sent.class_index))
                continue;
            const bool overdue = now - sent.sent_at > overdue_after(sent.class_index);
            if (!overdue || !doubtful)
                latency_ratio = std::max(latency_ratio, ratio(now - sent.sent_at, sent.mean_latency));
        }
        const auto working = std::count_if(server.in_flight.begin(), server.in_flight.end(),
                                           [](auto& s) { return !s.body_pending; });
        const double calls = static_cast<double>(working + 1) / std::max(server.listed.weight, 0.1);
        return calls * std::max(0.1, latency_ratio) *
               (1.0 + (kFailureWeight * server.failure_share + fast_error_weight * server.fast_error_share) *
                          decay);
    }

    void record_outcome(const Call& call, Time sent_at, const Outcome& outcome) {
        const std::size_t index = call.request.class_index;
        const RequestClass& rules = settings.classes[index];
        ClassStats& stats = class_stats[index];
        // Nothing was sent, or the server rejected it: because of a short peak at a small server, a full
        // connection table, or a drain that is not listed yet. Guards against taking chance collisions at
        // servers with a concurrency of one for bad servers or a queue, and shedding good work.
        if (outcome.status == Status::NotSent || outcome.status == Status::Rejected) return;
        bool counts_for_pressure = true;
        if (const auto server = servers.find(outcome.endpoint); server != servers.end()) {
            const bool in_time = now - sent_at <= overdue_after(index);
            const bool lost = (outcome.status == Status::Timeout || outcome.status == Status::Cancelled) &&
                              presumed_lost(server->second, sent_at, index);
            if (lost) counts_for_pressure = false;
            update_server_stats(server->second, stats, outcome, lost);
            if (outcome.status == Status::Ok && in_time) {
                server->second.newest_timely_sent_at =
                    std::max(server->second.newest_timely_sent_at, sent_at);
            }
        }
        if (outcome.status == Status::Ok) {
            if (stats.mean_latency == Duration{}) stats.mean_latency = stats.low_latency = outcome.latency;
            stats.mean_latency += (outcome.latency - stats.mean_latency) / 16;
            stats.low_latency += outcome.latency < stats.low_latency
                                     ? (outcome.latency - stats.low_latency) / 4
                                     : stats.low_latency / 64;
        } else if (outcome.status != Status::Timeout) {
            return;
        }
        const Duration headroom = rules.latency_target - stats.low_latency;
        if (headroom > Duration{} && counts_for_pressure)
            pressure.add(ratio(outcome.latency - stats.low_latency, headroom), now);
    }

    void try_send(std::uint64_t number) {
        Call& call = calls.at(number);
        call.held = false;
        waiting.erase(number);
        const bool again = !call.attempts.empty();
        if (again && !attempt_limiter.allows_retry(now)) return retry(number, call);
        if (Server* server = is_next_for_key(number, call) ? pick_server(call) : nullptr) {
            if (again) attempt_limiter.record_retry(now);
            call.retry_paid = false;
            server->warm_up_tokens -= warm_up_share(*server) < 1.0 ? 1.0 : 0.0;
            const std::size_t index = call.request.class_index;
            if (server->in_flight.empty()) join_busy(*server);
            const bool body_pending = call.request.body_pending;
            server->in_flight.push_back(
                {now, index, body_pending ? Duration{} : class_stats[index].mean_latency, body_pending});
            if (!body_pending) count_in_flight();
            call.attempts.push_back({server->listed, now, take_connection(*server)});
            // Inner tiers time out once the response is worth nothing: a silent server must not hold the slot
            // of the tier above. At the first tier this would only make the client come back sooner.
            Duration limit{};
            if (settings.tier > 0) limit = std::max(useful_time_left(call.request), settings.tick);
            actions->push_back(Send{call.request.id, server->listed.id, limit});
            if (!body_pending) set_overdue_timer(number, call);
        } else if (const Time until = latest_send_time(number, call); !again && now < until) {
            hold(number, call, until);  // no server known yet, or not its turn
        } else {
            give_up(number);
        }
    }

    void count_in_flight() { call_rates.record_sent(now, ++total_in_flight == 1); }
    void set_overdue_timer(std::uint64_t number, Call& call) {
        if (!settings.limits.may_cancel) return;
        call.overdue_at = now + overdue_after(call.request.class_index);
        actions->push_back(SetTimer{call.overdue_at, number});
    }

    /// From here on the attempt counts as sent now. Guards against taking the time that a client needs to
    /// upload its body for latency of the endpoint.
    void on(const BodyReceived& received) {
        const auto known = call_numbers.find(received.id);
        if (known == call_numbers.end()) return;
        Call& call = calls.at(known->second);
        if (!std::exchange(call.request.body_pending, false)) return;
        call.request.deadline = received.deadline;
        const std::size_t index = call.request.class_index;
        class_stats[index].max_time_left =
            std::max(class_stats[index].max_time_left, received.deadline - now);
        for (Attempt& attempt : call.attempts) {
            if (!attempt.in_flight) continue;
            count_in_flight();
            if (const auto server = servers.find(attempt.target.id); server != servers.end()) {
                auto& sent = server->second.in_flight;
                const auto own = std::find_if(sent.begin(), sent.end(), [&](const InFlightAttempt& s) {
                    return s.sent_at == attempt.sent_at;
                });
                if (own != sent.end()) *own = {now, index, class_stats[index].mean_latency};
            }
            attempt.sent_at = now;
            set_overdue_timer(known->second, call);
        }
    }

    // ---- connections and unanswered calls ---------------------------------------------------------

    /// Returns how long the chosen connection was idle, 0 for a new one. Hosts usually take the most recently
    /// used one. Guards against connections that were dropped unnoticed on the way: a connection idle for
    /// over half as long as one that recently went unanswered is closed before use. That limit doubles with
    /// each half-life.
    Duration take_connection(Server& server) {
        if (stale_idle_time > Duration{}) {
            const Duration stale =
                scaled(stale_idle_time, std::exp2(ratio(now - stale_seen_at, kHealthHalfLife)));
            if (stale > settings.limits.connection_idle) stale_idle_time = Duration{};
            if (!server.idle_since.empty() && now - server.idle_since.back() > stale) {
                actions->push_back(CloseIdleConnections{server.listed.id});
                server.idle_since.clear();
            }
        }
        if (server.idle_since.empty()) return Duration{};
        const Duration idle = now - server.idle_since.back();
        server.idle_since.pop_back();
        return idle;
    }

    /// An unanswered call may never have arrived. If calls on new connections go unanswered as often, the
    /// connections are not the cause, and closing them would only cost handshakes.
    void record_silence(const Attempt& attempt, bool silent) {
        double& share = attempt.idle_time > Duration{} ? silent_share_reused : silent_share_new;
        share += ((silent ? 1.0 : 0.0) - share) * kPressureGain;
        if (!silent) return;
        if (silent_share_reused < kSilentShareThreshold + kSilentShareRatio * silent_share_new) {
            stale_idle_time = Duration{};
        } else if (attempt.idle_time > Duration{}) {
            stale_idle_time = stale_idle_time > Duration{} ? std::min(stale_idle_time, attempt.idle_time / 2)
                                                           : attempt.idle_time / 2;
            stale_seen_at = now;
        }
    }

    void hold(std::uint64_t number, Call& call, Time until) {
        call.held = true;
        call.held_until = until;
        if (call.attempts.empty()) waiting.insert(number);
        actions->push_back(SetTimer{until, number});
    }

    void on(const TimerFired& timer) {
        if (timer.token == kDiscoveryToken) {
            actions->push_back(Subscribe{});
        } else if (const auto it = calls.find(timer.token); it != calls.end()) {
            Call& call = it->second;
            if (call.held && now + settings.tick >= call.held_until) return try_send(timer.token);
            if (!call.attempts.empty() && now + settings.tick >= call.overdue_at) cancel_overdue(call);
            erase_if_over(timer.token);
        }
    }

    /// Cancels an attempt that is overdue if another one can still be in time; its outcome then triggers the
    /// retry. Guards against waiting until the deadline for a response that never comes. Adds no load where
    /// everything is slow: it acts only without queueing pressure, and takes the retry tokens first. Costs
    /// twice for classes with very uneven calls, if the response was about to come.
    void cancel_overdue(Call& call) {
        const auto newest = call.attempts.size() - 1;
        if (!call.attempts[newest].in_flight || call.request.body_pending ||
            pressure.value(now) > kMaxCalmPressure)
            return;
        // Nobody waits for attempts of a closed call: they may be cancelled, idempotent or not.
        if (call.awaiting_answer) {
            const Duration mean_latency = class_stats[call.request.class_index].mean_latency;
            const bool in_time = useful_time_left(call.request) > mean_latency + kDeadlineBuffer;
            if (!in_time || call.attempts.size() >= settings.limits.max_attempts) return;
            if (!may_retry(call) || !retry_budget.spend()) return;
            call.retry_paid = true;
        }
        actions->push_back(Cancel{call.request.id, static_cast<AttemptNumber>(newest)});
    }

    void on(const Outcome& outcome) {
        const auto known = call_numbers.find(outcome.id);
        if (known == call_numbers.end()) return;
        const std::uint64_t number = known->second;
        Call& call = calls.at(number);
        if (outcome.attempt >= call.attempts.size() || !call.attempts[outcome.attempt].in_flight) return;
        Attempt& attempt = call.attempts[outcome.attempt];
        attempt.in_flight = false;
        if (!call.request.body_pending) --total_in_flight;
        attempt.may_have_run = !proves_never_ran(outcome.status);
        if (outcome.status == Status::NotSent && outcome.attempt > 0)
            attempt_limiter.forget_retry(attempt.sent_at);
        if (may_still_run(outcome.status)) call.key_blocked_until = now + settings.rules.key_cooldown;
        if (const auto server = servers.find(attempt.target.id); server != servers.end()) {
            const bool answered = outcome.status == Status::Ok || outcome.status == Status::Error;
            if (answered && outcome.connection_reusable) server->second.idle_since.push_back(now);
            if (answered || may_still_run(outcome.status)) record_silence(attempt, !answered);
            auto& sent = server->second.in_flight;
            sent.erase(std::find_if(sent.begin(), sent.end(),
                                    [&](const InFlightAttempt& s) { return s.sent_at == attempt.sent_at; }));
            if (sent.empty()) leave_busy(server->second);
        }
        record_outcome(call, attempt.sent_at, outcome);
        if (outcome.status == Status::Ok) {
            retry_budget.earn();
            call_rates.record_served(now, outcome.latency);
            grant_warm_up_tokens();
        }
        if (outcome.last) call.awaiting_answer = false;
        if (call.awaiting_answer && !call.held && !any_in_flight(call)) {
            retry(number, call);
        } else {
            erase_if_over(number);
        }
    }

    /// Successful calls earn the calls that a cold server may get: the share of its capacity that it has, of
    /// what each server of the subset serves. Guards against overloading it: it always looks idle, above all
    /// when others are full.
    void grant_warm_up_tokens() {
        if (cold.empty()) return;
        const std::size_t candidates = std::min(subset_size(), ring.size());
        for_each_cold(candidates, [&](Server& server, std::size_t) {
            const double share = warm_up_share(server);
            if (share >= 1.0) return;
            const double earned =
                settings.rules.overload_multiple * kColdLoadMargin * share / static_cast<double>(candidates);
            server.warm_up_tokens = std::min(1.0, server.warm_up_tokens + earned);
        });
    }

    void retry(std::uint64_t number, Call& call) {
        const bool allowed = call.attempts.size() < settings.limits.max_attempts && may_retry(call);
        const Duration left = retry_time_left(call.request.deadline, now);
        if (!allowed || left <= Duration{} || is_too_late(call.request)) return give_up(number);
        if (!call.retry_paid && !retry_budget.spend()) return give_up(number);
        call.retry_paid = true;
        hold(number, call, now + std::min(call.backoff.next(random), left));
    }

    /// Whether there is any server at all that may still get this call.
    bool may_retry(const Call& call) const {
        if (!is_restricted(call)) return !ring.empty();
        const RequestClass& rules = settings.classes[call.request.class_index];
        const Endpoint* where = nullptr;  // target of an attempt that may have run; all others must match it
        for (const Attempt& attempt : call.attempts) {
            if (!attempt.may_have_run) continue;
            if (rules.idempotency == Idempotency::NonIdempotent ||
                now >= attempt.sent_at + rules.dedup_window)
                return false;
            const bool agrees =
                !where || (rules.dedup_scope == DedupScope::Zone ? where->zone == attempt.target.zone
                                                                 : where->cell == attempt.target.cell);
            if (rules.dedup_scope != DedupScope::All && !agrees) return false;
            where = &attempt.target;
        }
        if (rules.dedup_scope == DedupScope::All) return !ring.empty();
        if (rules.dedup_scope == DedupScope::Cell) return cells.contains(where->cell);
        const auto zone = zones.find(where->zone);
        return zone != zones.end() && zone->second > 0;
    }

    void give_up(std::uint64_t number) {
        Call& call = calls.at(number);
        const bool harmless =
            settings.classes[call.request.class_index].idempotency == Idempotency::Idempotent ||
            std::none_of(call.attempts.begin(), call.attempts.end(), [](auto& a) { return a.may_have_run; });
        actions->push_back(harmless ? Action{Refuse{call.request.id, Duration{}}} : Fail{call.request.id});
        call.awaiting_answer = call.held = false;
        waiting.erase(number);
        erase_if_over(number);
    }

    void on(const DeadlineExpired& expired) {
        const auto known = call_numbers.find(expired.id);
        if (known == call_numbers.end()) return;
        Call& call = calls.at(known->second);
        call.awaiting_answer = call.held = false;
        waiting.erase(known->second);
        erase_if_over(known->second);
    }

    static bool any_in_flight(const Call& call) {
        return std::any_of(call.attempts.begin(), call.attempts.end(), [](auto& a) { return a.in_flight; });
    }

    /// Attempts may be in flight after the answer; the call is kept until the last of them has ended.
    void erase_if_over(std::uint64_t number) {
        const auto it = calls.find(number);
        Call& call = it->second;
        if (call.awaiting_answer || any_in_flight(call)) return;
        if (std::exchange(call.retry_paid, false)) retry_budget.refund();
        if (is_ordered(call.request) && now < call.key_blocked_until) {
            return actions->push_back(SetTimer{call.key_blocked_until, number});
        }
        leave_key_queue(number, call.request);
        call_numbers.erase(call.request.id);
        waiting.erase(number);
        calls.erase(it);
    }

    void on(const FirstByte&) {}
    void on(const ProbeResult&) {}
    void on(const PeerMessage&) {}
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::start(Time now, std::vector<Action>& out) {
    impl_->now = now;
    impl_->actions = &out;
    impl_->start();
}

void Balancer::handle(Time now, const Event& event, std::vector<Action>& out) {
    impl_->now = now;
    impl_->actions = &out;
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->send_waiting_calls();
}

}  // namespace martenford::decision
