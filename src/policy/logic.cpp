// Every decision of the library. The interface is include/martenford/decision/balancer.h.
//
// The ordinary path follows "Retries Done Right": served calls earn tokens that retries spend, retries wait
// by decorrelated jitter and end at the deadline; a pick takes the less loaded of two random ready servers
// by own calls in flight. docs/design.md tells where and when the module departs from it, and why.
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

constexpr std::size_t kMinSubsetSize =
    4;  // servers used at least: two pairs of a cell; fewer are heard of more
constexpr std::size_t kCallersPerServer =
    2;  // and as many more as give each server this many callers, for evenness
constexpr double kColdLoadMargin =
    0.9;  // of the told fall multiple goes to a cold server; the rest is for chance
constexpr int kColdPrunesPerWarmUp = 32;   // in the time that it takes to get warm
constexpr double kHealthGain = 0.3;        // weight of the newest answer: three in a row decide
constexpr Duration kHealthHalfLife = 10s;  // a view fades by half in this: many troubles last some tens of s
constexpr double kTieRatio = 0.9;          // loads closer than this are alike
constexpr double kFailureWeight = 10.0;  // a server that fails always looks as loaded as with ten calls more
constexpr double kFastErrorWeight = 100.0;  // and its quick errors more yet to a call that may not go again
constexpr double kMaxAvoidancePressure =
    0.3;  // pressure from which a place is worth more than a server's good name
constexpr double kMaxPressureSample =
    1.5;                               // a call that waited this many times its room counts no more than that
constexpr double kPressureGain = 0.1;  // weight of the newest call: a single slow one does not shed
constexpr Duration kPressureHalfLife = 1s;    // pressure halves in this time where nothing comes back
constexpr std::int64_t kGapSamples = 8;       // calls that a rate is averaged over: few, to follow a burst
constexpr std::int64_t kLatencySamples = 32;  // and their latency: it must not follow a queue as it builds up
constexpr std::size_t kMaxSentTimes = 4096;   // calls whose sending is remembered
constexpr double kMaxReplicasForStep =
    8.0;  // replicas that one's leaving shows at: a rate is within 1/sqrt(8) of true
constexpr double kSilentGapMultiple = 3.0;  // a silence this many times the usual gap is no longer chance
constexpr double kInFlightDeviations =
    1.0;  // deviations of calls out that are put down to chance on a calm day
constexpr double kShedThreshold =
    0.1;  // pressure from which the least worth is shed; the scan is in the results
constexpr double kShedValueSpread = 0.4;  // how much more pressure the class of most worth stands
constexpr double kShedTransition =
    0.15;  // over which shedding grows from none to all: a jam must not build up
constexpr double kSilentShareThreshold =
    0.15;  // share of calls met with silence from which connections are suspected
constexpr double kSilentShareRatio =
    2.0;  // idle connections are closed where they meet this much more silence
constexpr double kOverdueMultiple =
    5.0;  // times what a class usually takes: an attempt out for longer is overdue
constexpr double kMaxCalmPressure = 0.1;  // pressure up to which an overdue attempt is no sign of a queue
constexpr std::size_t kMaxRingMoves =
    64;  // places moved one by one at a change; more, and the ring is laid anew
constexpr std::size_t kMaxScannedServers = 256;  // at servers, for one that is warm
constexpr std::size_t kMaxPairedCellSize = 128;  // servers of a cell up to which they stand by pairs
constexpr int kFirstSubscribeDivisor = 2;        // first subscriptions spread over subscribe_interval / this
constexpr int kSubscribeBackoffDivisor = 10;     // and failed ones wait from subscribe_interval / this on

/// What this instance has seen of a class.
struct ClassStats {
    Duration mean_latency{};   // latency of served calls, averaged
    Duration low_latency{};    // and a low one, which has hardly waited
    Duration max_time_left{};  // the longest that a client still waited when its call arrived
};

/// How much of the time between a call that hardly waits and its aim goes on waiting, over recent calls.
class Pressure {
  public:
    void add(double waited, Time now) {
        value_ = value(now) + (std::clamp(waited, 0.0, kMaxPressureSample) - value(now)) * kPressureGain;
        at_ = now;
    }
    /// It fades where nothing is heard: all may have been shed.
    double value(Time now) const {
        const double age = ratio(now - at_, kPressureHalfLife);
        return age > 0.5 ? value_ * std::exp2(0.5 - age) : value_;
    }

  private:
    double value_ = 0.0;
    Time at_{};
};

/// How fast calls go out and come back served.
class CallRates {
  public:
    /// `first`: nothing else is out. That time says nothing of how fast calls come back.
    void record_sent(Time now, bool first) {
        if (first) gap_start_ = now;
        sent_times_.push_back(now);
        // Until one has come back all are kept: they will then be told by how long that took.
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
    /// How long as many calls as this would take to come back; those that chance may account for don't count.
    /// `step`: how many times its calls an instance may get at once without more for the servers, as when a
    /// neighbour drains. Calls that went out faster than others come back then show in what comes back only
    /// after as long as one usually takes: until then they are due at their own pace, up to that step, or at
    /// any while too few have come back to tell their pace. Guards against taking a step, or an instance's
    /// first calls, for servers that have become slow (where it is 1 both are taken for that: a fleet that
    /// starts under overload tips over). `patience`: a silence that says nothing before any call has come
    /// back.
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
    double mean_gap_ = 0.0;        // between served calls, averaged
    Duration mean_latency_{};      // latency of served calls of all classes, averaged
    std::deque<Time> sent_times_;  // in that time
};

/// An attempt on its way.
struct InFlightAttempt {
    Time sent_at{};
    std::size_t class_index = 0;
    Duration mean_latency{};    // how long the class took by then
    bool body_pending = false;  // its request's last byte has not come: it is no work yet
};

struct Server {
    Endpoint listed;
    std::vector<InFlightAttempt> in_flight;  // own attempts
    std::vector<Time> idle_since;            // connections that carry nothing, by when that began
    double latency_ratio = 1.0;              // its latency against what is usual
    double failure_share = 0.0;              // share of its answers that failed, lately
    double fast_error_share = 0.0;           // and of errors before the work can have been done
    Time updated_at{};
    Time newest_timely_sent_at{};  // the newest call that it has served without being overdue
    double warm_up_tokens = 0.0;   // earned by served calls while it is cold
    std::size_t busy_index = 0;    // its place among the busy, while any of `out` are
    std::uint64_t ring_key = 0;    // its key in the ring, while it is ready
    bool in_cold_list = false;     // is among `cold`
};

struct Attempt {
    Endpoint target;  // as listed when it was sent: the list may drop it before its repeat
    Time sent_at{};
    Duration idle_time{};  // how long its connection had carried nothing; 0: a new one
    bool in_flight = true;
    bool may_have_run = true;  // until its outcome proves that it never ran
};

/// A request this balancer owes an answer, or one answered that still has attempts out.
struct Call {
    Request request;
    std::vector<Attempt> attempts;
    Backoff backoff;
    bool awaiting_answer = true;  // an answer is owed
    bool held = false;            // waits for its timer, for a server or for its turn
    bool retry_paid = false;      // a retry's tokens were taken and it has not been sent yet
    Time overdue_at{};            // from when on the newest attempt is overdue
    Time held_until{};  // an earlier timer of this call has outlived its purpose; hosts round within a tick
    Time key_blocked_until{};  // its key rests: an attempt may have gone on after its outcome
};

bool proves_never_ran(Status s) {
    return s == Status::Rejected || s == Status::ConnectFailed || s == Status::NotSent;
}

bool may_still_run(Status s) {
    return s == Status::Timeout || s == Status::Reset || s == Status::Cancelled;
}

constexpr std::uint64_t kDiscoveryToken = 0;  // every other token is a call's number

}  // namespace

struct Balancer::Impl {
    Settings settings;
    Random random;
    RetryBudget retry_budget;
    AttemptBudgetLimiter attempt_limiter;
    Backoff subscribe_backoff;
    std::map<EndpointId, Server> servers;
    Ring<Server> ring;                                    // the ready ones, by ring_key_of()
    std::map<std::uint32_t, std::vector<Server*>> cells;  // the ready ones of each cell, by id
    std::map<std::uint32_t, std::size_t> zones;           // and how many of each zone
    bool needs_ring_rebuild = false;  // the ring is to be laid out whole at the end of an update
    std::vector<Server*> cold;        // those that may still be warming up, in no order
    Time next_cold_prune{};
    std::vector<EndpointId> removed_ids;  // gone, with attempts out at the last look
    std::vector<Server*> busy;            // those with attempts out, in no order: a few of a large fleet
    int total_in_flight = 0;              // of the attempts out, those whose request is here whole
    std::map<std::uint64_t, Call> calls;  // by number, in order of arrival
    std::unordered_map<RequestId, std::uint64_t> call_numbers;  // looked up only, never walked
    std::uint64_t last_number = kDiscoveryToken;
    std::unordered_map<std::uint64_t, std::deque<std::uint64_t>>
        key_queues;                      // by key: its calls; the first may go
    std::set<std::uint64_t> waiting;     // calls that are held and were never sent
    std::deque<std::uint64_t> sendable;  // calls for which a server or their turn has come in this event
    Time now{};
    std::vector<Action>* actions = nullptr;

    std::vector<ClassStats> class_stats;
    Pressure pressure;
    CallRates call_rates;
    Duration stale_idle_time{};  // connections idle for longer are closed before use; 0: none are
    Time stale_seen_at{};
    double silent_share_reused = 0.0,
           silent_share_new = 0.0;  // share met with silence, by the connection's kind

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
        // All instances of a fleet may start at once: a herd of subscriptions would fail them all.
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
        // A whole list is taken in whole; a change costs what it changes.
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
        // A start that is new: the replicas' first calls to it must not all come at once.
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

    /// Pairs of one cell stay together, so that a keyed repeat finds a second server of its cell within
    /// reach; the pairs are shuffled, so that an outage of a zone or cell takes only a part of any reach.
    /// In a cell of many servers each stands by itself: wherever a call goes a second one of it is near, and
    /// a change must not move all that were counted behind it.
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

    /// Those of a cell from this index on have been counted on: their pairs, and so their places, may be
    /// others.
    void update_ring_keys(const std::vector<Server*>& members, std::size_t from, const Server* added) {
        const bool large = members.size() > kMaxPairedCellSize;  // then only the fresh one is to be placed
        const std::size_t end = !large ? members.size() : added ? from + 1 : from;
        if (end - from > kMaxRingMoves) needs_ring_rebuild = true;  // cheaper whole
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

    /// The share of its capacity that a server has by now, by the slowest growth the rules allow.
    double warm_up_share(const Server& server) const {
        if (!server.listed.started || settings.rules.warm_up_time <= Duration{}) return 1.0;
        const double age = ratio(now - *server.listed.started, settings.rules.warm_up_time);
        const double from = settings.rules.cold_capacity_share;
        return from + (1.0 - from) * std::clamp(age, 0.0, 1.0);
    }

    /// Whether the class lets this call go to this server: an effect must not happen twice.
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

    /// Whether an earlier attempt, which may have run, leaves the call to some servers only, or to none.
    bool is_restricted(const Call& call) const {
        return settings.classes[call.request.class_index].idempotency != Idempotency::Idempotent &&
               std::any_of(call.attempts.begin(), call.attempts.end(),
                           [](auto& a) { return a.may_have_run; });
    }

    /// How many servers this instance spreads its calls over. Guards against a fleet whose replicas together
    /// hold more connections than the servers accept; a busy instance reaches further, so that a hot one
    /// does not crowd a few servers.
    std::size_t subset_size() const {
        const std::size_t even = kCallersPerServer * ring.size() / settings.replicas;
        return std::max(
            {kMinSubsetSize, even, static_cast<std::size_t>(total_in_flight - presumed_lost_count())});
    }

    /// The ready servers in this instance's own order: replicas start evenly spread around the ring.
    std::size_t ring_start() const {
        return settings.position % settings.replicas * ring.size() / settings.replicas;
    }
    Server& server_at(std::size_t i) { return ring[(ring_start() + i) % ring.size()]; }
    /// Where a ready server stands in that order.
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

    /// Drops those that are warm, or have gone, from the list of the cold. Whoever walks it passes them over,
    /// so that now and then is enough: with thousands warming up it must not be walked at each pick.
    void prune_cold() {
        if (now < next_cold_prune) return;
        next_cold_prune = now + settings.rules.warm_up_time / kColdPrunesPerWarmUp;
        std::erase_if(cold, [&](Server* server) {
            if (warm_up_share(*server) < 1.0) return false;
            server->in_cold_list = false;
            return true;
        });
    }

    /// Calls `what` with each ready server that may be cold and stands among the first `wanted`, and with
    /// where it stands; walks those or the cold ones, whichever are fewer.
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

    /// The less loaded of two random ready servers within reach; a retry goes elsewhere where it can.
    Server* pick_server(const Call& call) {
        if (ring.empty()) return nullptr;
        const std::size_t candidates = std::min(subset_size(), ring.size());
        if (is_restricted(call)) return pick_by_scan(call, candidates);
        // All within reach but those that are cold or were tried: counted out by where they stand, not by a
        // look at each of the others.
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

    /// The same by a look at each: for calls that not every server may get, and where none within reach will
    /// do.
    Server* pick_by_scan(const Call& call, std::size_t candidates) {
        std::vector<Server*> untried, tried, throttled;
        // In a large fleet that is cold as a whole there is none to be found. A bound call's few may be
        // anywhere.
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
        // Where only cold servers are left they must serve: a call held back until its end is lost for sure.
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
        // Near enough is a tie, left to the draw: a server out of favour is heard of again once its view has
        // faded.
        Server *a = nth(first), *b = nth(second);
        // Guards against failing a call for good for the sake of a shorter wait.
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
        if (call_numbers.contains(request.id)) return;  // still held: it is owed one answer, not two
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

    /// Whether the calls before it with its key are over and done. One that waits for a retry keeps the turn:
    /// its worth is no less than that of those behind it, and they may not overtake it.
    bool is_next_for_key(std::uint64_t number, const Call& call) const {
        if (!is_ordered(call.request)) return true;
        const auto queue = key_queues.find(*call.request.key);  // a call declined on arrival is in none
        return queue != key_queues.end() && queue->second.front() == number;
    }

    /// Until when a call that was never sent may wait: for its turn, while its answer would still be worth
    /// something, so that a stuck key does not send what nobody wants any more; else for a server.
    Time latest_send_time(std::uint64_t number, const Call& call) const {
        const Time end = call.request.deadline - kDeadlineBuffer;
        if (is_next_for_key(number, call)) return end;
        return std::min(
            end, now + useful_time_left(call.request) - class_stats[call.request.class_index].mean_latency);
    }

    /// A call that is over, with every attempt's outcome in, makes way; the next may go in this very event.
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

    /// Sends those for which a server or their turn has come.
    void send_waiting_calls() {
        for (; !sendable.empty(); sendable.pop_front()) {
            const auto it = calls.find(sendable.front());
            if (it != calls.end() && it->second.held && it->second.attempts.empty()) try_send(it->first);
        }
    }

    // ---- the life of a request --------------------------------------------------------------------

    /// Whether even a call that hardly waits would come too late to be worth anything. Guards against jams in
    /// which servers work on what nobody wants any more. Above the last tier a slot is held meanwhile.
    bool is_too_late(const Request& request) const {
        return useful_time_left(request) < class_stats[request.class_index].mean_latency;
    }

    /// How long an answer is still worth something.
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
        // A few calls out tell nothing while work is merely uneven; once calls are seen to wait, the count is
        // the earlier sign. Guards against jams that show too late in a few answers a second.
        const double current_pressure = pressure.value(now),
                     calm = 1.0 - current_pressure / (kShedThreshold + kShedValueSpread);
        const Duration completion_time = call_rates.completion_time_of(
            total_in_flight - presumed_lost_count(), kInFlightDeviations * std::max(0.0, calm),
            replica_loss_step(), overdue_after(request.class_index), now);
        const double expected_wait =
            headroom > Duration{} ? ratio(completion_time - stats.low_latency, headroom) : 0.0;
        return random.unit() * kShedTransition < std::max(current_pressure, expected_wait) - from;
    }

    /// How many times its calls an instance gets when one of its replicas leaves. Among many that is less
    /// than what the estimate moves by itself.
    double replica_loss_step() const {
        const double others = settings.replicas - 1.0;
        return others < 1.0 || others > kMaxReplicasForStep ? 1.0 : (others + 1.0) / others;
    }

    /// How long an attempt is out before it is overdue.
    Duration overdue_after(std::size_t class_index) const {
        const Duration mean_latency = class_stats[class_index].mean_latency;
        if (mean_latency == Duration{})
            return settings.classes[class_index].latency_target / 2;  // the rest is for the second
        return std::max(scaled(mean_latency, kOverdueMultiple),
                        kBackoffBase);  // sooner than a retry would come saves nothing
    }

    /// Whether an attempt waits alone: it is overdue, and its server has served a later one quickly. Guards
    /// against taking what will never be answered (a connection that fell silent, an answer that stops short,
    /// a call that the server lost) for a queue, and refusing good work for it: in a queue all wait, and what
    /// is usual grows with it. It does harm where a server serves the newest first, or most of its calls
    /// quickly and hardly ever some: their queue is overlooked.
    bool presumed_lost(const Server& server, Time sent_at, std::size_t class_index) const {
        return server.newest_timely_sent_at > sent_at && now - sent_at > overdue_after(class_index);
    }
    /// How many wait alone. Where calls are seen to wait they count like any other.
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
        // One that waited alone was lost, for which its server is not slow.
        if (!lost && (answered || ended || outcome.status == Status::Timeout) &&
            stats.mean_latency > Duration{}) {
            server.latency_ratio +=
                (ratio(outcome.latency, stats.mean_latency) - server.latency_ratio) * kHealthGain;
        }
        // One that was ended here for being overdue has been slow until then; nothing has failed.
        if (!ended) {
            server.failure_share += ((answered ? 0.0 : 1.0) - server.failure_share) * kHealthGain;
            // Sooner than the work can have been done: its own failure, and not that of a tier below it.
            const bool own = outcome.status == Status::Error && outcome.latency < stats.low_latency / 2;
            server.fast_error_share += ((own ? 1.0 : 0.0) - server.fast_error_share) * kHealthGain;
        }
        server.updated_at = now;
    }

    double health_decay(const Server& server) const {
        return std::exp2(-ratio(now - server.updated_at, kHealthHalfLife));
    }

    /// What the comparison goes by: own calls in flight, weighed by the told size and what was seen lately.
    /// `once`: what errors weigh besides, to a call that may not go again. `asks`: the call can go again
    /// without harm, and may find out whether a server stands still or a single call to it was lost: nothing
    /// else would, since a server that is avoided serves nothing that could show it.
    double load(const Server& server, double fast_error_weight, bool may_probe) const {
        const double decay = health_decay(server);
        double latency_ratio = 1.0 + (server.latency_ratio - 1.0) * decay;
        // A call that is overdue tells as much as one that came back late. Guards against a server that
        // stands still, vanished or lost its connections unseen: it gives no answers to go by.
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
        // Nothing went out, or it was turned away: by a moment's crowd of few places, a full table of
        // connections or a drain that is not listed yet. Guards against a fleet that takes chance meetings
        // at servers with one place for bad servers and for a queue, and refuses good work for it.
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
            // Between tiers given up once the answer is worth nothing: a silent server must not hold the slot
            // of the tier above. At the first tier that would only bring the client back sooner.
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

    /// From here on its attempt counts like one sent now. Guards against taking the time that a client needs
    /// to send its body for an endpoint's.
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

    // ---- connections and silence ------------------------------------------------------------------

    /// How long the connection taken has been idle. The host takes the one used last, as is the custom.
    /// Guards against connections that something on the way dropped unseen: one idle for longer than what was
    /// met with silence lately is given up before it is used. The memory fades by doubling.
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

    /// A call met with silence may never have arrived. Where calls on fresh connections meet as much, it is
    /// not the connections: closing them would only cost handshakes.
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

    /// Ends an attempt that is out for too long, where another may still come back in time; its outcome
    /// brings the retry. Guards against waiting until the deadline for whatever never answers. Two bounds
    /// keep it from adding work where all is slow: it acts only while calls hardly wait, and the retry's
    /// tokens are taken first. It does harm where the answer was about to come: a class of very uneven calls
    /// pays twice.
    void cancel_overdue(Call& call) {
        const auto newest = call.attempts.size() - 1;
        if (!call.attempts[newest].in_flight || call.request.body_pending ||
            pressure.value(now) > kMaxCalmPressure)
            return;
        // Nobody waits for the others any more: they may end, whether or not they could go again.
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

    /// Served calls earn what a cold server may be sent: the share that it can do of what each server within
    /// reach serves. Guards against pushing it over: it always looks idle, above all while the rest are full.
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

    /// Whether any server at all could still get this call.
    bool may_retry(const Call& call) const {
        if (!is_restricted(call)) return !ring.empty();
        const RequestClass& rules = settings.classes[call.request.class_index];
        const Endpoint* where = nullptr;  // of an attempt that may have run: the others must agree with it
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

    /// Attempts may be out after the answer; the call is kept until the last of them ends.
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
