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

constexpr std::size_t kReach = 4;    // servers used at least: two pairs of a cell; fewer are heard of more
constexpr std::size_t kCallers = 2;  // and as many more as give each server this many callers, for evenness
constexpr double kColdEarn = 0.9;  // of the told fall multiple goes to a cold server; the rest is for chance
constexpr int kColdReviews = 32;   // in the time that it takes to get warm
constexpr double kViewGain = 0.3;  // weight of the newest answer: three in a row decide
constexpr Duration kViewHalf = 10s;    // a view fades by half in this: many troubles last some tens of s
constexpr double kTie = 0.9;           // loads closer than this are alike
constexpr double kBadWeight = 10.0;    // a server that fails always looks as loaded as with ten calls more
constexpr double kBadOnce = 100.0;     // and its quick errors more yet to a call that may not go again
constexpr double kSpareUntil = 0.3;    // pressure from which a place is worth more than a server's good name
constexpr double kPressureMost = 1.5;  // a call that waited this many times its room counts no more than that
constexpr double kPressureGain = 0.1;  // weight of the newest call: a single slow one does not shed
constexpr Duration kPressureFade = 1s;   // pressure halves in this time where nothing comes back
constexpr std::int64_t kRateSpan = 8;    // calls that a rate is averaged over: few, to follow a burst
constexpr std::int64_t kUsualSpan = 32;  // and their latency: it must not follow a queue as it builds up
constexpr std::size_t kMostSent = 4096;  // calls whose sending is remembered
constexpr double kFewOthers =
    8.0;  // replicas that one's leaving shows at: a rate is within 1/sqrt(8) of true
constexpr double kRateSilent = 3.0;  // a silence this many times the usual gap is no longer chance
constexpr double kRateChance = 1.0;  // deviations of calls out that are put down to chance on a calm day
constexpr double kShedFrom = 0.1;  // pressure from which the least worth is shed; the scan is in the results
constexpr double kShedSpread = 0.4;    // how much more pressure the class of most worth stands
constexpr double kShedWidth = 0.15;    // over which shedding grows from none to all: a jam must not build up
constexpr double kSilenceFew = 0.15;   // share of calls met with silence from which connections are suspected
constexpr double kSilenceApart = 2.0;  // idle connections are closed where they meet this much more silence
constexpr double kOverdue = 5.0;  // times what a class usually takes: an attempt out for longer is overdue
constexpr double kCalm = 0.1;     // pressure up to which an overdue attempt is no sign of a queue
constexpr std::size_t kMostMoves =
    64;  // places moved one by one at a change; more, and the ring is laid anew
constexpr std::size_t kMostLooks = 256;  // at servers, for one that is warm
constexpr std::size_t kLargeCell = 128;  // servers of a cell up to which they stand by pairs
constexpr int kAskSpread = 2;            // first subscriptions spread over ask_every / this
constexpr int kAskBase = 10;             // and failed ones wait from ask_every / this on

/// What this instance has seen of a class.
struct ClassView {
    Duration usual{};      // latency of served calls, averaged
    Duration floor{};      // and a low one, which has hardly waited
    Duration most_left{};  // the longest that a client still waited when its call arrived
};

/// How much of the time between a call that hardly waits and its aim goes on waiting, over recent calls.
class Pressure {
  public:
    void see(double waited, Time now) {
        value_ = value(now) + (std::clamp(waited, 0.0, kPressureMost) - value(now)) * kPressureGain;
        at_ = now;
    }
    /// It fades where nothing is heard: all may have been shed.
    double value(Time now) const {
        const double age = ratio(now - at_, kPressureFade);
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
    void sent(Time now, bool first) {
        if (first) last_ = now;
        sent_.push_back(now);
        // Until one has come back all are kept: they will then be told by how long that took.
        while (sent_.size() > kMostSent || (usual_ > Duration{} && now - sent_.front() > usual_)) {
            sent_.pop_front();
        }
    }
    void served(Time now, Duration latency) {
        usual_ += usual_ == Duration{} ? latency : (latency - usual_) / kUsualSpan;
        count_ = std::min(count_ + 1, kRateSpan);
        const double gap = static_cast<double>((now - last_).count());
        gap_ += (gap - gap_) / static_cast<double>(count_);
        last_ = now;
    }
    /// How long as many calls as this would take to come back; those that chance may account for don't count.
    /// `step`: how many times its calls an instance may get at once without more for the servers, as when a
    /// neighbour drains. Calls that went out faster than others come back then show in what comes back only
    /// after as long as one usually takes: until then they are due at their own pace, up to that step, or at
    /// any while too few have come back to tell their pace. Guards against taking a step, or an instance's
    /// first calls, for servers that have become slow (where it is 1 both are taken for that: a fleet that
    /// starts under overload tips over). `patience`: a silence that says nothing before any call has come
    /// back.
    Duration time_for(int calls, double chance, double step, Duration patience, Time now) const {
        if (count_ == 0 && step > 1.0 && now - last_ <= patience) return Duration{};
        const double silent = static_cast<double>((now - last_).count()) / (count_ ? kRateSilent : 1.0);
        const double above_chance = calls - chance * std::sqrt(static_cast<double>(calls));
        const double gap = std::max(gap_, silent),
                     least = step > 1.0 && count_ < kRateSpan ? 0.0 : gap / step;
        return Duration{static_cast<Duration::rep>(above_chance * std::clamp(gap_of_sent(now), least, gap))};
    }

  private:
    double gap_of_sent(Time now) const {
        const auto since = std::lower_bound(sent_.begin(), sent_.end(), now - usual_);
        if (usual_ == Duration{} || since == sent_.end()) return std::numeric_limits<double>::infinity();
        return static_cast<double>(usual_.count()) / static_cast<double>(sent_.end() - since);
    }

    std::int64_t count_ = 0;
    Time last_{};
    double gap_ = 0.0;       // between served calls, averaged
    Duration usual_{};       // latency of served calls of all classes, averaged
    std::deque<Time> sent_;  // in that time
};

/// An attempt on its way.
struct Sent {
    Time at{};
    std::size_t class_index = 0;
    Duration usual{};       // how long the class took by then
    bool arriving = false;  // its request's last byte has not come: it is no work yet
};

struct Server {
    Endpoint told;
    std::vector<Sent> out;      // own attempts
    std::vector<Time> idle;     // connections that carry nothing, by when that began
    double slow = 1.0;          // its latency against what is usual
    double bad = 0.0;           // share of its answers that failed, lately
    double quick_errors = 0.0;  // and of errors before the work can have been done
    Time heard{};
    Time quick_sent{};          // the newest call that it has served without being overdue
    double cold_tokens = 0.0;   // earned by served calls while it is cold
    std::size_t busy_at = 0;    // its place among the busy, while any of `out` are
    std::uint64_t place = 0;    // its key in the ring, while it is ready
    bool counted_cold = false;  // is among `cold`
};

struct Attempt {
    Endpoint to;  // as listed when it was sent: the list may drop it before its repeat
    Time sent{};
    Duration idle{};  // how long its connection had carried nothing; 0: a new one
    bool out = true;
    bool may_have_run = true;  // until its outcome proves that it never ran
};

/// A request this balancer owes an answer, or one answered that still has attempts out.
struct Call {
    Request request;
    std::vector<Attempt> attempts;
    Backoff backoff;
    bool open = true;   // an answer is owed
    bool held = false;  // waits for its timer, for a server or for its turn
    bool paid = false;  // a retry's tokens were taken and it has not been sent yet
    Time overdue_at{};  // from when on the newest attempt is overdue
    Time held_until{};  // an earlier timer of this call has outlived its purpose; hosts round within a tick
    Time rest_until{};  // its key rests: an attempt may have gone on after its outcome
};

bool proves_never_ran(Status s) {
    return s == Status::Full || s == Status::ConnectFailed || s == Status::NotSent;
}

bool may_still_run(Status s) {
    return s == Status::Timeout || s == Status::Reset || s == Status::Cancelled;
}

constexpr std::uint64_t kDiscoveryToken = 0;  // every other token is a call's number

}  // namespace

struct Balancer::Impl {
    Settings settings;
    Random random;
    RetryBudget budget;
    AttemptRation ration;
    Backoff ask_backoff;
    std::map<EndpointId, Server> servers;
    Ring<Server> ring;                                    // the ready ones, by place_of()
    std::map<std::uint32_t, std::vector<Server*>> cells;  // the ready ones of each cell, by id
    std::map<std::uint32_t, std::size_t> zones;           // and how many of each zone
    bool lay_anew = false;      // the ring is to be laid out whole at the end of an update
    std::vector<Server*> cold;  // those that may still be warming up, in no order
    Time review_cold_at{};
    std::vector<EndpointId> leaving;      // gone, with attempts out at the last look
    std::vector<Server*> busy;            // those with attempts out, in no order: a few of a large fleet
    int total_in_flight = 0;              // of the attempts out, those whose request is here whole
    std::map<std::uint64_t, Call> calls;  // by number, in order of arrival
    std::unordered_map<RequestId, std::uint64_t> numbers;  // looked up only, never walked
    std::uint64_t last_number = kDiscoveryToken;
    std::unordered_map<std::uint64_t, std::deque<std::uint64_t>>
        turns;                          // by key: its calls; the first may go
    std::set<std::uint64_t> waiting;    // calls that are held and were never sent
    std::deque<std::uint64_t> next_up;  // calls for which a server or their turn has come in this event
    Time now{};
    std::vector<Action>* out = nullptr;

    std::vector<ClassView> views;
    Pressure pressure;
    CallRates rates;
    Duration stale_after{};  // connections idle for longer are closed before use; 0: none are
    Time stale_seen{};
    double silence_idle = 0.0, silence_fresh = 0.0;  // share met with silence, by the connection's kind

    Impl(Settings s, std::uint64_t seed)
        : settings((validate(s), std::move(s))),
          random(seed),
          ration(settings.rules.attempt_budget),
          ask_backoff(settings.rules.ask_every / kAskBase, settings.rules.ask_every) {
        views.resize(settings.classes.size());
    }

    // ---- discovery --------------------------------------------------------------------------------

    void start() {
        // All instances of a fleet may start at once: a herd of subscriptions would fail them all.
        if (settings.subscribe) ask_after(scaled(settings.rules.ask_every, random.unit() / kAskSpread));
    }

    void ask_after(Duration wait) { out->push_back(SetTimer{now + wait, kDiscoveryToken}); }

    void on(const Discovered& news) {
        if (news.kind == Discovered::Kind::Failed) {
            if (settings.subscribe) ask_after(ask_backoff.next(random));
            return;
        }
        // A whole list is taken in whole; a change costs what it changes.
        if (news.kind != Discovered::Kind::Delta) {
            for (auto& [id, server] : servers) {
                if (server.told.availability == Availability::Gone) continue;
                if (server.told.availability == Availability::Ready) --zones[server.told.zone];
                server.told.availability = Availability::Gone;
                leaving.push_back(id);
            }
            cells.clear();
            lay_anew = true;
        }
        if (news.endpoints) {
            for (const Endpoint& told : *news.endpoints) take_in(told);
        }
        std::sort(leaving.begin(), leaving.end());
        leaving.erase(std::unique(leaving.begin(), leaving.end()), leaving.end());
        for (const EndpointId id : std::exchange(leaving, {})) {
            const auto it = servers.find(id);
            if (it == servers.end() || it->second.told.availability != Availability::Gone) continue;
            if (!it->second.out.empty()) {
                leaving.push_back(id);
                continue;
            }
            if (it->second.counted_cold) std::erase(cold, &it->second);
            servers.erase(it);
        }
        if (news.kind != Discovered::Kind::Cached) {
            ask_backoff = Backoff(settings.rules.ask_every / kAskBase, settings.rules.ask_every);
        }
        if (std::exchange(lay_anew, false)) lay_ring();
        for (const std::uint64_t number : waiting) {
            if (has_turn(number, calls.at(number))) next_up.push_back(number);
        }
    }

    void take_in(const Endpoint& told) {
        Server& server = servers.try_emplace(told.id, unlisted(told.id)).first->second;
        // A start that is new: the replicas' first calls to it must not all come at once.
        if (server.told.started != told.started) server.cold_tokens = random.unit();
        const bool was = server.told.availability == Availability::Ready;
        const bool is = told.availability == Availability::Ready;
        const bool stays = was && is && server.told.cell == told.cell;
        if (was) --zones[server.told.zone];
        if (was && !stays) leave_ring(server);
        server.told = told;
        if (is) ++zones[told.zone];
        if (is && !stays) join_ring(server);
        if (told.availability == Availability::Gone) leaving.push_back(told.id);
        if (!server.counted_cold && ramp_share(server) < 1.0) {
            server.counted_cold = true;
            cold.push_back(&server);
        }
    }

    static Server unlisted(EndpointId id) {
        Server server;
        server.told.id = id;
        server.told.availability = Availability::Gone;
        return server;
    }

    /// Pairs of one cell stay together, so that a keyed repeat finds a second server of its cell within
    /// reach; the pairs are shuffled, so that an outage of a zone or cell takes only a part of any reach.
    /// In a cell of many servers each stands by itself: wherever a call goes a second one of it is near, and
    /// a change must not move all that were counted behind it.
    static std::uint64_t place_of(const std::vector<Server*>& cell, std::size_t index) {
        const Endpoint& told = cell[index]->told;
        if (cell.size() > kLargeCell) return Random(~static_cast<std::uint64_t>(told.id)).next();
        return Random(told.cell * 0x10000ull + index / 2).next();
    }

    void lay_ring() {
        std::vector<Ring<Server>::Place> places;
        for (auto& [cell, members] : cells) {
            for (std::size_t i = 0; i < members.size(); ++i) {
                members[i]->place = place_of(members, i);
                places.push_back({members[i]->place, members[i]->told.id, members[i]});
            }
        }
        ring.assign(std::move(places));
    }

    static auto member(std::vector<Server*>& members, EndpointId id) {
        return std::lower_bound(
            members.begin(), members.end(), id,
            [](const Server* server, EndpointId other) { return server->told.id < other; });
    }

    void join_ring(Server& server) {
        auto& members = cells[server.told.cell];
        const auto at = members.insert(member(members, server.told.id), &server);
        if (members.size() == kLargeCell + 1) lay_anew = true;
        move_places(members, static_cast<std::size_t>(at - members.begin()), &server);
    }

    void leave_ring(Server& server) {
        auto& members = cells[server.told.cell];
        const auto at = members.erase(member(members, server.told.id));
        if (!lay_anew) ring.erase(server.place, server.told.id);
        const auto from = static_cast<std::size_t>(at - members.begin());
        if (members.size() == kLargeCell) lay_anew = true;
        if (members.empty()) {
            cells.erase(server.told.cell);
        } else {
            move_places(members, from, nullptr);
        }
    }

    /// Those of a cell from this index on have been counted on: their pairs, and so their places, may be
    /// others.
    void move_places(const std::vector<Server*>& members, std::size_t from, const Server* fresh) {
        const bool large = members.size() > kLargeCell;  // then only the fresh one is to be placed
        const std::size_t end = !large ? members.size() : fresh ? from + 1 : from;
        if (end - from > kMostMoves) lay_anew = true;  // cheaper whole
        for (std::size_t i = from; i < end && !lay_anew; ++i) {
            Server& server = *members[i];
            const std::uint64_t place = place_of(members, i);
            if (&server != fresh && place == server.place) continue;
            if (&server != fresh) ring.erase(server.place, server.told.id);
            server.place = place;
            ring.insert(place, server.told.id, server);
        }
    }

    // ---- picking ----------------------------------------------------------------------------------

    /// The share of its capacity that a server has by now, by the slowest growth the rules allow.
    double ramp_share(const Server& server) const {
        if (!server.told.started || settings.rules.ramp_time <= Duration{}) return 1.0;
        const double age = ratio(now - *server.told.started, settings.rules.ramp_time);
        const double from = settings.rules.cold_from;
        return from + (1.0 - from) * std::clamp(age, 0.0, 1.0);
    }

    /// Whether the class lets this call go to this server: an effect must not happen twice.
    bool may_send_to(const Call& call, const Server& server) const {
        const RequestClass& rules = settings.classes[call.request.class_index];
        if (rules.effect == Effect::Free) return true;
        for (const Attempt& attempt : call.attempts) {
            if (!attempt.may_have_run) continue;
            if (rules.effect == Effect::SingleShot || now >= attempt.sent + rules.window) return false;
            if (rules.group == Group::All) continue;
            const Endpoint &a = attempt.to, &b = server.told;
            if (rules.group == Group::Zone ? a.zone != b.zone : a.cell != b.cell) return false;
        }
        return true;
    }

    /// Whether an earlier attempt, which may have run, leaves the call to some servers only, or to none.
    bool bound(const Call& call) const {
        return settings.classes[call.request.class_index].effect != Effect::Free &&
               std::any_of(call.attempts.begin(), call.attempts.end(),
                           [](auto& a) { return a.may_have_run; });
    }

    /// How many servers this instance spreads its calls over. Guards against a fleet whose replicas together
    /// hold more connections than the servers accept; a busy instance reaches further, so that a hot one
    /// does not crowd a few servers.
    std::size_t reach() const {
        const std::size_t even = kCallers * ring.size() / settings.replicas;
        return std::max({kReach, even, static_cast<std::size_t>(total_in_flight - alone_out())});
    }

    /// The ready servers in this instance's own order: replicas start evenly spread around the ring.
    std::size_t own_start() const {
        return settings.position % settings.replicas * ring.size() / settings.replicas;
    }
    Server& at(std::size_t i) { return ring[(own_start() + i) % ring.size()]; }
    /// Where a ready server stands in that order.
    std::size_t stands(const Server& server) const {
        return (ring.rank(server.place, server.told.id) + ring.size() - own_start()) % ring.size();
    }

    /// Whether a cold server has not earned another call yet.
    bool spares(const Server& server) const { return server.cold_tokens < 1.0 && ramp_share(server) < 1.0; }
    static bool tried_by(const Call& call, const Server& server) {
        return std::any_of(call.attempts.begin(), call.attempts.end(),
                           [&](const Attempt& a) { return a.to.id == server.told.id; });
    }

    /// Drops those that are warm, or have gone, from the list of the cold. Whoever walks it passes them over,
    /// so that now and then is enough: with thousands warming up it must not be walked at each pick.
    void review_cold() {
        if (now < review_cold_at) return;
        review_cold_at = now + settings.rules.ramp_time / kColdReviews;
        std::erase_if(cold, [&](Server* server) {
            if (ramp_share(*server) < 1.0) return false;
            server->counted_cold = false;
            return true;
        });
    }

    /// Calls `what` with each ready server that may be cold and stands among the first `wanted`, and with
    /// where it stands; walks those or the cold ones, whichever are fewer.
    template <typename What>
    void each_cold(std::size_t wanted, What what) {
        if (cold.size() > wanted) {
            for (std::size_t i = 0; i < wanted; ++i) {
                if (Server& server = at(i); server.counted_cold) what(server, i);
            }
            return;
        }
        for (Server* server : cold) {
            if (server->told.availability != Availability::Ready) continue;
            if (const std::size_t i = stands(*server); i < wanted) what(*server, i);
        }
    }

    /// The less loaded of two random ready servers within reach; a retry goes elsewhere where it can.
    Server* pick(const Call& call) {
        if (ring.empty()) return nullptr;
        const std::size_t wanted = std::min(reach(), ring.size());
        if (bound(call)) return pick_by_look(call, wanted);
        // All within reach but those that are cold or were tried: counted out by where they stand, not by a
        // look at each of the others.
        std::vector<std::size_t> out_of_it;
        review_cold();
        each_cold(wanted, [&](const Server& server, std::size_t i) {
            if (spares(server)) out_of_it.push_back(i);
        });
        for (const Attempt& attempt : call.attempts) {
            const auto it = servers.find(attempt.to.id);
            if (it == servers.end() || it->second.told.availability != Availability::Ready) continue;
            if (const std::size_t i = stands(it->second); i < wanted) out_of_it.push_back(i);
        }
        std::sort(out_of_it.begin(), out_of_it.end());
        out_of_it.erase(std::unique(out_of_it.begin(), out_of_it.end()), out_of_it.end());
        if (out_of_it.size() == wanted) return pick_by_look(call, wanted);
        return less_loaded(call, wanted - out_of_it.size(), [&](std::size_t i) {
            for (const std::size_t out : out_of_it) i += out <= i ? 1 : 0;
            return &at(i);
        });
    }

    /// The same by a look at each: for calls that not every server may get, and where none within reach will
    /// do.
    Server* pick_by_look(const Call& call, std::size_t wanted) {
        std::vector<Server*> fresh, tried, spared;
        // In a large fleet that is cold as a whole there is none to be found. A bound call's few may be
        // anywhere.
        const std::size_t most =
            bound(call) ? ring.size() : std::min(ring.size(), std::max(wanted, kMostLooks));
        for (std::size_t i = 0; i < most && (i < wanted || fresh.empty()); ++i) {
            Server& server = at(i);
            if (!may_send_to(call, server)) continue;
            if (spares(server)) {
                spared.push_back(&server);
                continue;
            }
            (tried_by(call, server) ? tried : fresh).push_back(&server);
        }
        // Where only cold servers are left they must serve: a call held back until its end is lost for sure.
        std::vector<Server*>& from = !fresh.empty() ? fresh : tried.empty() ? spared : tried;
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
        double once = 0.0;
        const Effect effect = settings.classes[call.request.class_index].effect;
        if (effect == Effect::SingleShot) {
            once = kBadOnce * std::max(0.0, 1.0 - pressure.value(now) / kSpareUntil);
        }
        const bool asks = effect == Effect::Free;
        return load(*b, once, asks) < load(*a, once, asks) * kTie ? b : a;
    }

    // ---- requests ---------------------------------------------------------------------------------

    void on(const Request& request) {
        if (request.class_index >= settings.classes.size()) throw std::invalid_argument("class out of range");
        if (request.tenant && *request.tenant >= settings.tenants.size()) {
            throw std::invalid_argument("tenant out of range");
        }
        if (numbers.contains(request.id)) return;  // still held: it is owed one answer, not two
        const std::uint64_t number = ++last_number;
        numbers[request.id] = number;
        calls[number].request = request;
        ration.took(now);
        ClassView& view = views[request.class_index];
        if (!request.arriving) view.most_left = std::max(view.most_left, request.deadline - now);
        if (settings.tier == 0 ? sheds(request) : doomed(request)) return give_up(number);
        if (takes_turns(request)) turns[*request.key].push_back(number);
        try_send(number);
    }

    // ---- order by key -----------------------------------------------------------------------------

    bool takes_turns(const Request& request) const {
        return request.key && settings.classes[request.class_index].sequential;
    }

    /// Whether the calls before it with its key are over and done. One that waits for a retry keeps the turn:
    /// its worth is no less than that of those behind it, and they may not overtake it.
    bool has_turn(std::uint64_t number, const Call& call) const {
        if (!takes_turns(call.request)) return true;
        const auto queue = turns.find(*call.request.key);  // a call declined on arrival is in none
        return queue != turns.end() && queue->second.front() == number;
    }

    /// Until when a call that was never sent may wait: for its turn, while its answer would still be worth
    /// something, so that a stuck key does not send what nobody wants any more; else for a server.
    Time may_wait_until(std::uint64_t number, const Call& call) const {
        const Time end = call.request.deadline - kDeadlineBuffer;
        if (has_turn(number, call)) return end;
        return std::min(end, now + worthwhile(call.request) - views[call.request.class_index].usual);
    }

    /// A call that is over, with every attempt's outcome in, makes way; the next may go in this very event.
    void pass_turn(std::uint64_t number, const Request& request) {
        const auto it = takes_turns(request) ? turns.find(*request.key) : turns.end();
        if (it == turns.end()) return;
        std::erase(it->second, number);
        if (it->second.empty()) {
            turns.erase(it);
        } else {
            next_up.push_back(it->second.front());
        }
    }

    /// Sends those for which a server or their turn has come.
    void finish_event() {
        for (; !next_up.empty(); next_up.pop_front()) {
            const auto it = calls.find(next_up.front());
            if (it != calls.end() && it->second.held && it->second.attempts.empty()) try_send(it->first);
        }
    }

    // ---- the life of a request --------------------------------------------------------------------

    /// Whether even a call that hardly waits would come too late to be worth anything. Guards against jams in
    /// which servers work on what nobody wants any more. Above the last tier a slot is held meanwhile.
    bool doomed(const Request& request) const {
        return worthwhile(request) < views[request.class_index].usual;
    }

    /// How long an answer is still worth something.
    Duration worthwhile(const Request& request) const {
        const RequestClass& rules = settings.classes[request.class_index];
        const Duration past =
            rules.late_worth > 0.0 ? Duration{} : views[request.class_index].most_left - rules.aim;
        return request.deadline - now - std::max(Duration{}, past);
    }

    double value_density(std::size_t i) const {
        const auto usual = views[i].usual > Duration{} ? views[i].usual : settings.classes[i].aim;
        return settings.classes[i].worth / static_cast<double>(std::max(usual, Duration{1}).count());
    }

    bool sheds(const Request& request) {
        double best = 0.0;
        for (std::size_t i = 0; i < views.size(); ++i) best = std::max(best, value_density(i));
        const double value = best > 0.0 ? value_density(request.class_index) / best : 1.0;
        const double from = kShedFrom + kShedSpread * value;
        const ClassView& view = views[request.class_index];
        const Duration room = settings.classes[request.class_index].aim - view.floor;
        // A few calls out tell nothing while work is merely uneven; once calls are seen to wait, the count is
        // the earlier sign. Guards against jams that show too late in a few answers a second.
        const double waits = pressure.value(now), calm = 1.0 - waits / (kShedFrom + kShedSpread);
        const Duration coming_back =
            rates.time_for(total_in_flight - alone_out(), kRateChance * std::max(0.0, calm),
                           neighbours_step(), patience(request.class_index), now);
        const double coming = room > Duration{} ? ratio(coming_back - view.floor, room) : 0.0;
        return random.unit() * kShedWidth < std::max(waits, coming) - from;
    }

    /// How many times its calls an instance gets when one of its replicas leaves. Among many that is less
    /// than what the estimate moves by itself.
    double neighbours_step() const {
        const double others = settings.replicas - 1.0;
        return others < 1.0 || others > kFewOthers ? 1.0 : (others + 1.0) / others;
    }

    /// How long an attempt is out before it is overdue.
    Duration patience(std::size_t class_index) const {
        const Duration usual = views[class_index].usual;
        if (usual == Duration{}) return settings.classes[class_index].aim / 2;  // the rest is for the second
        return std::max(scaled(usual, kOverdue),
                        kBackoffBase);  // sooner than a retry would come saves nothing
    }

    /// Whether an attempt waits alone: it is overdue, and its server has served a later one quickly. Guards
    /// against taking what will never be answered (a connection that fell silent, an answer that stops short,
    /// a call that the server lost) for a queue, and refusing good work for it: in a queue all wait, and what
    /// is usual grows with it. It does harm where a server serves the newest first, or most of its calls
    /// quickly and hardly ever some: their queue is overlooked.
    bool alone(const Server& server, Time sent, std::size_t class_index) const {
        return server.quick_sent > sent && now - sent > patience(class_index);
    }
    /// How many wait alone. Where calls are seen to wait they count like any other.
    int alone_out() const {
        if (pressure.value(now) > kCalm) return 0;
        std::ptrdiff_t count = 0;
        for (const Server* server : busy) {
            count += std::count_if(server->out.begin(), server->out.end(), [&](const Sent& s) {
                return !s.arriving && alone(*server, s.at, s.class_index);
            });
        }
        return static_cast<int>(count);
    }

    void join_busy(Server& server) {
        server.busy_at = busy.size();
        busy.push_back(&server);
    }
    void leave_busy(Server& server) {
        busy[server.busy_at] = busy.back();
        busy[server.busy_at]->busy_at = server.busy_at;
        busy.pop_back();
    }

    void look(Server& server, const ClassView& view, const Outcome& outcome, bool lost) {
        const bool answered = outcome.status == Status::Ok, ended = outcome.status == Status::Cancelled;
        const double fade = fading(server);
        server.slow = 1.0 + (server.slow - 1.0) * fade;
        server.bad *= fade;
        server.quick_errors *= fade;
        // One that waited alone was lost, for which its server is not slow.
        if (!lost && (answered || ended || outcome.status == Status::Timeout) && view.usual > Duration{}) {
            server.slow += (ratio(outcome.latency, view.usual) - server.slow) * kViewGain;
        }
        // One that was ended here for being overdue has been slow until then; nothing has failed.
        if (!ended) {
            server.bad += ((answered ? 0.0 : 1.0) - server.bad) * kViewGain;
            // Sooner than the work can have been done: its own failure, and not that of a tier below it.
            const bool own = outcome.status == Status::Error && outcome.latency < view.floor / 2;
            server.quick_errors += ((own ? 1.0 : 0.0) - server.quick_errors) * kViewGain;
        }
        server.heard = now;
    }

    double fading(const Server& server) const { return std::exp2(-ratio(now - server.heard, kViewHalf)); }

    /// What the comparison goes by: own calls in flight, weighed by the told size and what was seen lately.
    /// `once`: what errors weigh besides, to a call that may not go again. `asks`: the call can go again
    /// without harm, and may find out whether a server stands still or a single call to it was lost: nothing
    /// else would, since a server that is avoided serves nothing that could show it.
    double load(const Server& server, double once, bool asks) const {
        const double fade = fading(server);
        double slow = 1.0 + (server.slow - 1.0) * fade;
        // A call that is overdue tells as much as one that came back late. Guards against a server that
        // stands still, vanished or lost its connections unseen: it gives no answers to go by.
        const bool doubtful = asks && server.out.size() == 1;
        for (const Sent& sent : server.out) {
            if (sent.usual == Duration{} || alone(server, sent.at, sent.class_index)) continue;
            const bool overdue = now - sent.at > patience(sent.class_index);
            if (!overdue || !doubtful) slow = std::max(slow, ratio(now - sent.at, sent.usual));
        }
        const auto working =
            std::count_if(server.out.begin(), server.out.end(), [](auto& s) { return !s.arriving; });
        const double calls = static_cast<double>(working + 1) / std::max(server.told.weight, 0.1);
        return calls * std::max(0.1, slow) *
               (1.0 + (kBadWeight * server.bad + once * server.quick_errors) * fade);
    }

    void learn(const Call& call, Time sent, const Outcome& outcome) {
        const std::size_t index = call.request.class_index;
        const RequestClass& rules = settings.classes[index];
        ClassView& view = views[index];
        // Nothing went out, or it was turned away: by a moment's crowd of few places, a full table of
        // connections or a drain that is not listed yet. Guards against a fleet that takes chance meetings
        // at servers with one place for bad servers and for a queue, and refuses good work for it.
        if (outcome.status == Status::NotSent || outcome.status == Status::Full) return;
        bool waits = true;
        if (const auto server = servers.find(outcome.endpoint); server != servers.end()) {
            const bool in_time = now - sent <= patience(index);
            const bool lost = (outcome.status == Status::Timeout || outcome.status == Status::Cancelled) &&
                              alone(server->second, sent, index);
            if (lost) waits = false;
            look(server->second, view, outcome, lost);
            if (outcome.status == Status::Ok && in_time) {
                server->second.quick_sent = std::max(server->second.quick_sent, sent);
            }
        }
        if (outcome.status == Status::Ok) {
            if (view.usual == Duration{}) view.usual = view.floor = outcome.latency;
            view.usual += (outcome.latency - view.usual) / 16;
            view.floor += outcome.latency < view.floor ? (outcome.latency - view.floor) / 4 : view.floor / 64;
        } else if (outcome.status != Status::Timeout) {
            return;
        }
        const Duration room = rules.aim - view.floor;
        if (room > Duration{} && waits) pressure.see(ratio(outcome.latency - view.floor, room), now);
    }

    void try_send(std::uint64_t number) {
        Call& call = calls.at(number);
        call.held = false;
        waiting.erase(number);
        const bool again = !call.attempts.empty();
        if (again && !ration.allows(now)) return retry(number, call);
        if (Server* server = has_turn(number, call) ? pick(call) : nullptr) {
            if (again) ration.sent(now);
            call.paid = false;
            server->cold_tokens -= ramp_share(*server) < 1.0 ? 1.0 : 0.0;
            const std::size_t index = call.request.class_index;
            if (server->out.empty()) join_busy(*server);
            const bool arriving = call.request.arriving;
            server->out.push_back({now, index, arriving ? Duration{} : views[index].usual, arriving});
            if (!arriving) counted_out();
            call.attempts.push_back({server->told, now, take_connection(*server)});
            // Between tiers given up once the answer is worth nothing: a silent server must not hold the slot
            // of the tier above. At the first tier that would only bring the client back sooner.
            Duration limit{};
            if (settings.tier > 0) limit = std::max(worthwhile(call.request), settings.tick);
            out->push_back(Send{call.request.id, server->told.id, limit});
            if (!arriving) await_overdue(number, call);
        } else if (const Time until = may_wait_until(number, call); !again && now < until) {
            hold(number, call, until);  // no server known yet, or not its turn
        } else {
            give_up(number);
        }
    }

    void counted_out() { rates.sent(now, ++total_in_flight == 1); }
    void await_overdue(std::uint64_t number, Call& call) {
        if (!settings.limits.may_cancel) return;
        call.overdue_at = now + patience(call.request.class_index);
        out->push_back(SetTimer{call.overdue_at, number});
    }

    /// From here on its attempt counts like one sent now. Guards against taking the time that a client needs
    /// to send its body for an endpoint's.
    void on(const Received& received) {
        const auto known = numbers.find(received.id);
        if (known == numbers.end()) return;
        Call& call = calls.at(known->second);
        if (!std::exchange(call.request.arriving, false)) return;
        call.request.deadline = received.deadline;
        const std::size_t index = call.request.class_index;
        views[index].most_left = std::max(views[index].most_left, received.deadline - now);
        for (Attempt& attempt : call.attempts) {
            if (!attempt.out) continue;
            counted_out();
            if (const auto server = servers.find(attempt.to.id); server != servers.end()) {
                auto& sent = server->second.out;
                const auto own = std::find_if(sent.begin(), sent.end(),
                                              [&](const Sent& s) { return s.at == attempt.sent; });
                if (own != sent.end()) *own = {now, index, views[index].usual};
            }
            attempt.sent = now;
            await_overdue(known->second, call);
        }
    }

    // ---- connections and silence ------------------------------------------------------------------

    /// How long the connection taken has been idle. The host takes the one used last, as is the custom.
    /// Guards against connections that something on the way dropped unseen: one idle for longer than what was
    /// met with silence lately is given up before it is used. The memory fades by doubling.
    Duration take_connection(Server& server) {
        if (stale_after > Duration{}) {
            const Duration stale = scaled(stale_after, std::exp2(ratio(now - stale_seen, kViewHalf)));
            if (stale > settings.limits.connection_idle) stale_after = Duration{};
            if (!server.idle.empty() && now - server.idle.back() > stale) {
                out->push_back(ShutIdle{server.told.id});
                server.idle.clear();
            }
        }
        if (server.idle.empty()) return Duration{};
        const Duration idle = now - server.idle.back();
        server.idle.pop_back();
        return idle;
    }

    /// A call met with silence may never have arrived. Where calls on fresh connections meet as much, it is
    /// not the connections: closing them would only cost handshakes.
    void watch_silence(const Attempt& attempt, bool silent) {
        double& share = attempt.idle > Duration{} ? silence_idle : silence_fresh;
        share += ((silent ? 1.0 : 0.0) - share) * kPressureGain;
        if (!silent) return;
        if (silence_idle < kSilenceFew + kSilenceApart * silence_fresh) {
            stale_after = Duration{};
        } else if (attempt.idle > Duration{}) {
            stale_after =
                stale_after > Duration{} ? std::min(stale_after, attempt.idle / 2) : attempt.idle / 2;
            stale_seen = now;
        }
    }

    void hold(std::uint64_t number, Call& call, Time until) {
        call.held = true;
        call.held_until = until;
        if (call.attempts.empty()) waiting.insert(number);
        out->push_back(SetTimer{until, number});
    }

    void on(const TimerFired& timer) {
        if (timer.token == kDiscoveryToken) {
            out->push_back(Subscribe{});
        } else if (const auto it = calls.find(timer.token); it != calls.end()) {
            Call& call = it->second;
            if (call.held && now + settings.tick >= call.held_until) return try_send(timer.token);
            if (!call.attempts.empty() && now + settings.tick >= call.overdue_at) end_overdue(call);
            forget_if_over(timer.token);
        }
    }

    /// Ends an attempt that is out for too long, where another may still come back in time; its outcome
    /// brings the retry. Guards against waiting until the deadline for whatever never answers. Two bounds
    /// keep it from adding work where all is slow: it acts only while calls hardly wait, and the retry's
    /// tokens are taken first. It does harm where the answer was about to come: a class of very uneven calls
    /// pays twice.
    void end_overdue(Call& call) {
        const auto newest = call.attempts.size() - 1;
        if (!call.attempts[newest].out || call.request.arriving || pressure.value(now) > kCalm) return;
        // Nobody waits for the others any more: they may end, whether or not they could go again.
        if (call.open) {
            const Duration usual = views[call.request.class_index].usual;
            const bool in_time = worthwhile(call.request) > usual + kDeadlineBuffer;
            if (!in_time || call.attempts.size() >= settings.limits.max_attempts) return;
            if (!may_repeat(call) || !budget.spend()) return;
            call.paid = true;
        }
        out->push_back(Cancel{call.request.id, static_cast<AttemptNumber>(newest)});
    }

    void on(const Outcome& outcome) {
        const auto known = numbers.find(outcome.id);
        if (known == numbers.end()) return;
        const std::uint64_t number = known->second;
        Call& call = calls.at(number);
        if (outcome.attempt >= call.attempts.size() || !call.attempts[outcome.attempt].out) return;
        Attempt& attempt = call.attempts[outcome.attempt];
        attempt.out = false;
        if (!call.request.arriving) --total_in_flight;
        attempt.may_have_run = !proves_never_ran(outcome.status);
        if (outcome.status == Status::NotSent && outcome.attempt > 0) ration.not_sent(attempt.sent);
        if (may_still_run(outcome.status)) call.rest_until = now + settings.rules.turn_gap;
        if (const auto server = servers.find(attempt.to.id); server != servers.end()) {
            const bool answered = outcome.status == Status::Ok || outcome.status == Status::Error;
            if (answered && outcome.kept) server->second.idle.push_back(now);
            if (answered || may_still_run(outcome.status)) watch_silence(attempt, !answered);
            auto& sent = server->second.out;
            sent.erase(
                std::find_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.at == attempt.sent; }));
            if (sent.empty()) leave_busy(server->second);
        }
        learn(call, attempt.sent, outcome);
        if (outcome.status == Status::Ok) {
            budget.earn();
            rates.served(now, outcome.latency);
            warm_up();
        }
        if (outcome.last) call.open = false;
        if (call.open && !call.held && !any_out(call)) {
            retry(number, call);
        } else {
            forget_if_over(number);
        }
    }

    /// Served calls earn what a cold server may be sent: the share that it can do of what each server within
    /// reach serves. Guards against pushing it over: it always looks idle, above all while the rest are full.
    void warm_up() {
        if (cold.empty()) return;
        const std::size_t wanted = std::min(reach(), ring.size());
        each_cold(wanted, [&](Server& server, std::size_t) {
            const double share = ramp_share(server);
            if (share >= 1.0) return;
            const double earned =
                settings.rules.fall_multiple * kColdEarn * share / static_cast<double>(wanted);
            server.cold_tokens = std::min(1.0, server.cold_tokens + earned);
        });
    }

    void retry(std::uint64_t number, Call& call) {
        const bool allowed = call.attempts.size() < settings.limits.max_attempts && may_repeat(call);
        const Duration left = left_for_retry(call.request.deadline, now);
        if (!allowed || left <= Duration{} || doomed(call.request)) return give_up(number);
        if (!call.paid && !budget.spend()) return give_up(number);
        call.paid = true;
        hold(number, call, now + std::min(call.backoff.next(random), left));
    }

    /// Whether any server at all could still get this call.
    bool may_repeat(const Call& call) const {
        if (!bound(call)) return !ring.empty();
        const RequestClass& rules = settings.classes[call.request.class_index];
        const Endpoint* where = nullptr;  // of an attempt that may have run: the others must agree with it
        for (const Attempt& attempt : call.attempts) {
            if (!attempt.may_have_run) continue;
            if (rules.effect == Effect::SingleShot || now >= attempt.sent + rules.window) return false;
            const bool agrees = !where || (rules.group == Group::Zone ? where->zone == attempt.to.zone
                                                                      : where->cell == attempt.to.cell);
            if (rules.group != Group::All && !agrees) return false;
            where = &attempt.to;
        }
        if (rules.group == Group::All) return !ring.empty();
        if (rules.group == Group::Cell) return cells.contains(where->cell);
        const auto zone = zones.find(where->zone);
        return zone != zones.end() && zone->second > 0;
    }

    void give_up(std::uint64_t number) {
        Call& call = calls.at(number);
        const bool harmless =
            settings.classes[call.request.class_index].effect == Effect::Free ||
            std::none_of(call.attempts.begin(), call.attempts.end(), [](auto& a) { return a.may_have_run; });
        out->push_back(harmless ? Action{Refuse{call.request.id, Duration{}}} : Fail{call.request.id});
        call.open = call.held = false;
        waiting.erase(number);
        forget_if_over(number);
    }

    void on(const DeadlineExpired& lapsed) {
        const auto known = numbers.find(lapsed.id);
        if (known == numbers.end()) return;
        Call& call = calls.at(known->second);
        call.open = call.held = false;
        waiting.erase(known->second);
        forget_if_over(known->second);
    }

    static bool any_out(const Call& call) {
        return std::any_of(call.attempts.begin(), call.attempts.end(), [](auto& a) { return a.out; });
    }

    /// Attempts may be out after the answer; the call is kept until the last of them ends.
    void forget_if_over(std::uint64_t number) {
        const auto it = calls.find(number);
        Call& call = it->second;
        if (call.open || any_out(call)) return;
        if (std::exchange(call.paid, false)) budget.refund();
        if (takes_turns(call.request) && now < call.rest_until) {
            return out->push_back(SetTimer{call.rest_until, number});
        }
        pass_turn(number, call.request);
        numbers.erase(call.request.id);
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
    impl_->out = &out;
    impl_->start();
}

void Balancer::handle(Time now, const Event& event, std::vector<Action>& out) {
    impl_->now = now;
    impl_->out = &out;
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->finish_event();
}

}  // namespace martenford::decision
