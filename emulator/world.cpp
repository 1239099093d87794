#include "emulator/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "emulator/percentile.h"

namespace martenford::emulator {

using decision::Availability;
using decision::Idempotency;

namespace {

constexpr Duration kKnownByAll = 1s;  // after a drain was listed no sidecar should begin a try there
constexpr Duration kDrainTime = 10s;  // a drained endpoint goes on for this long where nothing else is said
constexpr Duration kDrainLooks = 100ms;   // and then until it is idle, looked at this often,
constexpr int kMostDrainLooks = 50;       // but so many times only
constexpr Duration kSettleLooks = 500ms;  // between looks at whether all is settled
constexpr Duration kSettleTime = 2s;      // past the last deadline: what is open then is lost
constexpr Duration kPatience = 100ms;     // past its time, until a caller stops waiting for what is lost
constexpr Duration kRemembered = 2s;      // a call that is over, for attempts that are on their way
constexpr double kPlotBucket = 1.0;       // seconds

std::string zone_name(std::uint32_t zone) {
    return std::string(1, static_cast<char>('a' + zone));
}

double chance_of_any(const std::vector<std::pair<std::uint64_t, double>>& shares) {
    double none = 1.0;
    for (const auto& [id, share] : shares) none *= 1.0 - share;
    return 1.0 - none;
}

}  // namespace

struct World::Node {
    enum class Life { Serving, Draining, Down, Fallen };
    explicit Node(Scheduler& scheduler) : due(scheduler) {}
    std::uint32_t index = 0, tier = 0, pod = 0, zone = 0;
    std::string name, uid, address;
    EndpointTraits traits;
    std::unique_ptr<EndpointModel> model;
    Life life = Life::Down;
    bool cut = false;
    std::uint32_t starts = 0, replaced = 0, connections = 0, peak_connections = 0;
    std::uint64_t attempts = 0;
    bool from_the_start = false;
    std::optional<Time> listed_away;  ///< since when discovery says so
    std::int64_t sidecar = -1;
    std::int64_t boot_ms = 0;
    std::map<EndpointModel::JobId, Attempt*> jobs;  // in order, so that a death ends them in order
    std::vector<std::pair<std::uint64_t, double>> slow, reject, fail, mute, spoil, reset;
    std::uint32_t thrashes = 0;
    bool was_thrashing = false;
    double work_before = 0.0;  // of earlier processes at this place
    std::string shown;
    Timer due;
};

/// A request that a sidecar has been given.
struct World::Call {
    std::string op;
    std::uint32_t tier = 0, sidecar = 0, class_index = 0;
    std::uint32_t attempts = 0, attempts_out = 0;
    bool answered = false, closed = false;
    std::vector<std::string> made;  // bodies that endpoints answered with
};

struct World::Attempt {
    explicit Attempt(Scheduler& scheduler) : patience(scheduler) {}
    std::uint64_t token = 0;
    std::string call_id;
    std::size_t number = 0;   // for the rule checker
    std::uint32_t order = 0;  // among the call's attempts
    std::uint32_t node = 0;
    Time expires{};
    World::Respond respond;  // empty once answered or abandoned
    std::uint32_t calls_left = 0, calls_made = 0;
    std::uint64_t call_out = 0;
    std::string call_out_id;
    Timer patience;  // with the call that is out
    bool calling = false, last_phase = false;
};

/// A client's operation, over all of its tries.
struct World::Root {
    explicit Root(Scheduler& scheduler) : timer(scheduler) {}
    std::uint32_t class_index = 0, tries = 0;
    Time began{};
    std::uint64_t call = 0;
    bool calling = false;
    std::string id;
    CallAnswer::Kind last = CallAnswer::Kind::Failed;
    Timer timer;
};

template <typename... Parts>
void World::trace(const char* format, const Parts&... parts) {
    if (!options_.trace) return;
    options_.trace(fmt::format("{:.6f} ", seconds(since_start())) +
                   fmt::format(fmt::runtime(format), parts...));
}

World::World(Scheduler& scheduler, const Scenario& scenario, Options options)
    : scheduler_(scheduler), scenario_(scenario), options_(std::move(options)), origin_(scheduler.now()) {
    std::vector<decision::RequestClass> classes;
    for (const ClassSpec& c : scenario_.classes) {
        decision::RequestClass rules;
        rules.name = c.name;
        rules.idempotency = c.effect;
        rules.dedup_window = c.window;
        classes.push_back(rules);
        ClassFigures figures;
        figures.name = c.name;
        report_.classes.push_back(figures);
    }
    latencies_.resize(classes.size());
    rules_ = std::make_unique<RuleChecker>(
        RuleFigures{20ms, scenario_.sidecars.drain_grace, scenario_.sidecars.fall_multiple,
                    scenario_.sidecars.tip_after, options_.wire_slack},
        classes);
    for (const TierSpec& tier : scenario_.tiers) {
        registries_.push_back(std::make_unique<Registry>(scheduler_, scenario_.discovery.ask));
        TierFigures figures;
        figures.name = tier.name;
        report_.tiers.push_back(figures);
    }
    joined_.resize(scenario_.tiers.size());
    arrivals_ = std::make_unique<Draws>(options_.seed, "arrivals");
}

World::~World() = default;

// ---- the fleet ------------------------------------------------------------------------------------

std::uint32_t World::tier_of(std::uint32_t node) const {
    return nodes_[node]->tier;
}
bool World::node_is_up(std::uint32_t node) const {
    return nodes_[node]->life == Node::Life::Serving || nodes_[node]->life == Node::Life::Draining;
}
const std::string& World::node_name(std::uint32_t node) const {
    return nodes_[node]->name;
}
void World::set_address(std::uint32_t node, const std::string& address) {
    nodes_[node]->address = address;
}

Listing World::listing(std::uint32_t index) const {
    const Node& node = *nodes_[index];
    Listing result;
    result.uid = node.uid;
    result.address = node.address;
    result.pod = node.pod;
    result.zone = zone_name(node.zone);
    result.boot_ms = node.boot_ms;
    result.node = index;
    return result;
}

std::uint32_t World::add_node(std::uint32_t tier, bool cold) {
    const TierSpec& spec = scenario_.tiers[tier];
    const auto index = static_cast<std::uint32_t>(nodes_.size());
    auto node = std::make_unique<Node>(scheduler_);
    node->index = index;
    node->tier = tier;
    const std::uint32_t number = joined_[tier]++;
    node->pod = number / spec.pod;
    // A pod stays within a zone, as the platform keeps it.
    node->zone = node->pod % scenario_.zones;
    node->from_the_start = !begun_;
    node->name = fmt::format("{}/{}", spec.name, number);
    node->uid = node->name;
    node->traits = spec.traits;
    Draws draws(options_.seed, "speed of " + node->name);
    node->traits.speed *= draws.between(1.0 - spec.speed_spread, 1.0 + spec.speed_spread);
    report_.node_names.push_back(node->name);
    if (tier + 1 < scenario_.tiers.size()) {
        Sidecar sidecar;
        sidecar.index = static_cast<std::uint32_t>(sidecars_.size());
        sidecar.tier = tier + 1;
        sidecar.position = number;
        sidecar.node = index;
        node->sidecar = sidecar.index;
        sidecars_.push_back(sidecar);
    }
    nodes_.push_back(std::move(node));
    bring_up(*nodes_[index], cold);
    return index;
}

void World::build(Transport& transport) {
    transport_ = &transport;
    for (std::uint32_t i = 0; i < scenario_.sidecars.count; ++i) {
        Sidecar sidecar;
        sidecar.index = i;
        sidecar.position = i;
        sidecars_.push_back(sidecar);
        dealt_.push_back(i);
    }
    for (std::uint32_t tier = 0; tier < scenario_.tiers.size(); ++tier) {
        for (std::uint32_t i = 0; i < scenario_.tiers[tier].endpoints; ++i) add_node(tier, false);
    }
    // All lists are whole before the first sidecar reads one.
    for (const auto& node : nodes_) registries_[node->tier]->change(listing(node->index));
    for (std::uint32_t i = 0; i < sidecars_.size(); ++i) start_sidecar(i);
}

void World::bring_up(Node& node, bool cold) {
    ++node.starts;
    node.life = Node::Life::Serving;
    node.cut = false;
    node.connections = 0;
    node.boot_ms = cold ? options_.wall_ms + scheduler_.now().time_since_epoch() / 1ms : 0;
    node.model = std::make_unique<EndpointModel>(node.traits, scheduler_.now(), cold);
    node.was_thrashing = false;
    for (const auto& [id, factor] : node.slow) node.model->slow_down(factor);
    transport_->node_up(node.index);
    if (begun_ && node.sidecar >= 0) start_sidecar(static_cast<std::uint32_t>(node.sidecar));
    show(node);
    trace("up {}{}", node.name, cold ? " cold" : "");
}

/// Its process ends; whatever it was doing ends with it.
void World::take_down(Node& node, const char* state) {
    if (!node.model) return;
    node.work_before += node.model->work_done();
    node.life = std::string_view(state) == "fallen" ? Node::Life::Fallen : Node::Life::Down;
    trace("down {} ({})", node.name, state);
    node.due.cancel();
    // Its calls end with its sidecar; its callers see a reset.
    std::vector<std::uint64_t> tokens;
    for (const auto& [job, attempt] : node.jobs) tokens.push_back(attempt->token);
    for (const std::uint64_t token : tokens) {
        Attempt& attempt = *attempts_.at(token);
        if (attempt.respond) ++report_.tiers[node.tier].broken;
        hang_up(attempt);
        attempt.respond = nullptr;
        forget(token);
    }
    node.jobs.clear();
    node.model.reset();
    rules_->forget_node(node.index);
    transport_->node_down(node.index);
    if (node.sidecar >= 0) kill_sidecar(static_cast<std::uint32_t>(node.sidecar));
    show(node);
}

/// Puts a change on the way to discovery's list.
void World::list(Node& node, Availability state, Duration after) {
    Listing entry = listing(node.index);
    entry.state = state;
    Draws draws(options_.seed,
                fmt::format("news of {} {} {}", entry.uid, node.starts, static_cast<int>(state)));
    const Duration wait = after + stale_ + from_seconds(draws.unit() * seconds(scenario_.discovery.spread));
    later(wait, [this, entry, tier = node.tier, index = node.index] {
        trace("listed {} {}", entry.uid,
              entry.state == Availability::Ready  ? "ready"
              : entry.state == Availability::Gone ? "gone"
                                                  : "draining");
        // The first word that it goes counts, to whichever sidecar.
        Node& node = *nodes_[index];
        if (entry.state == Availability::Ready) {
            node.listed_away.reset();
        } else if (!node.listed_away) {
            node.listed_away = scheduler_.now();
        }
        registries_[tier]->change(entry);
    });
}

void World::later(Duration after, std::function<void()> what) {
    scheduler_.add(scheduler_.now() + after, std::move(what));
}

void World::show(Node& node) {
    const char* state = "serving";
    if (node.life == Node::Life::Down) {
        state = "down";
    } else if (node.life == Node::Life::Fallen) {
        state = "fallen";
    } else if (node.cut) {
        state = "cut off";
    } else if (node.model->frozen()) {
        state = "frozen";
    } else if (node.model->thrashing()) {
        state = "thrashing";
    } else if (node.life == Node::Life::Draining) {
        state = "draining";
    } else if (!node.reject.empty()) {
        state = "rejecting";
    } else if (!node.fail.empty()) {
        state = "failing";
    } else if (!node.slow.empty()) {
        state = "slow";
    } else if (!node.mute.empty() || !node.spoil.empty() || !node.reset.empty()) {
        state = "faulty";
    } else if (node.model->cold(scheduler_.now())) {
        state = "cold";
    }
    if (state == node.shown) return;
    node.shown = state;
    report_.states.push_back({seconds(since_start()), node.index, state});
    trace("state {} {}", node.name, state);
}

// ---- sidecars -------------------------------------------------------------------------------------

void World::start_sidecar(std::uint32_t index) {
    Sidecar& sidecar = sidecars_[index];
    if (sidecar.up) return;
    sidecar.up = true;
    ++sidecar.starts;
    transport_->sidecar_up(index);
    if (sidecar.node < 0 && std::find(dealt_.begin(), dealt_.end(), index) == dealt_.end()) {
        dealt_.push_back(index);
        std::sort(dealt_.begin(), dealt_.end());
    }
}

void World::kill_sidecar(std::uint32_t index) {
    Sidecar& sidecar = sidecars_[index];
    if (!sidecar.up) return;
    sidecar.up = false;
    trace("sidecar {} killed", index);
    rules_->sidecar_died(index);
    transport_->sidecar_killed(index);
    if (sidecar.node >= 0) return;
    later(scenario_.sidecars.front_notice, [this, index] {
        if (!sidecars_[index].up) std::erase(dealt_, index);
    });
}

void World::told(std::uint32_t sidecar, const ListAnswer& list) {
    const Time now = scheduler_.now();
    if (list.all) {
        // Who is not named has gone.
        std::set<std::uint32_t> named;
        for (const Listing& entry : list.entries) named.insert(entry.node);
        for (const auto& node : nodes_) {
            if (node->tier == sidecars_[sidecar].tier && !named.contains(node->index)) {
                rules_->told(sidecar, node->index, Availability::Gone, now);
            }
        }
    }
    for (const Listing& entry : list.entries) {
        // A place taken over under another uid: word that the old one has gone says nothing of the new one.
        if (entry.uid != nodes_[entry.node]->uid && entry.state != Availability::Ready) continue;
        rules_->told(sidecar, entry.node, entry.state, now);
    }
}

std::string World::settings_json(const Sidecar& sidecar) const {
    using nlohmann::ordered_json;
    const auto ns = [](Duration d) { return d.count(); };
    ordered_json tiers = ordered_json::array(), classes = ordered_json::array(),
                 zones = ordered_json::array();
    for (std::uint32_t i = 0; i < scenario_.zones; ++i) zones.push_back(zone_name(i));
    const std::uint32_t zone = sidecar.node < 0 ? sidecar.position % scenario_.zones
                                                : nodes_[static_cast<std::size_t>(sidecar.node)]->zone;
    for (const TierSpec& tier : scenario_.tiers) tiers.push_back(tier.name);
    for (const ClassSpec& c : scenario_.classes) {
        ordered_json entry{{"name", c.name},
                           {"credit", c.worth},
                           {"late_value", c.late_worth},
                           {"slo", ns(c.aim)},
                           {"deadline", ns(c.deadline)}};
        entry["effect"] = c.effect == Idempotency::Idempotent     ? "free"
                          : c.effect == Idempotency::Deduplicated ? "guarded"
                                                                  : "single_shot";
        if (c.effect == Idempotency::Deduplicated) {
            entry["group"] = "cell";
            entry["window"] = ns(c.window);
        }
        classes.push_back(std::move(entry));
    }
    const SidecarSpec& s = scenario_.sidecars;
    const TierSpec& below = scenario_.tiers[sidecar.tier];
    ordered_json settings{{"position", sidecar.position},
                          {"replicas_of_me", scenario_.sidecars_of(sidecar.tier)},
                          {"zone", zone},
                          {"dcs", zones},
                          {"kinds", {"std"}},
                          {"tiers", tiers},
                          {"layer", sidecar.tier},
                          {"tick", 0},
                          {"discovery", scenario_.discovery.ask ? "subscribe" : "automatic"},
                          {"weights", "none"},
                          {"accounts", ordered_json::array()},
                          {"family_info", {{"passes_deadline", s.passes_deadline}}},
                          {"clients", {{"marks_retry", true}}},
                          {"classes", classes}};
    settings["limits"] = {{"try_limit", s.max_attempts},
                          {"dial_timeout", ns(scenario_.network.connect_timeout)},
                          {"conn_idle", ns(scenario_.network.idle)},
                          {"may_cancel", s.may_cancel},
                          {"probing", s.probing},
                          {"second_copies", s.second_copies},
                          {"retry_after", s.retry_after}};
    settings["invariants"] = {{"answer_slack", ns(20ms)},
                              {"ask_every", ns(s.ask_every)},
                              {"cold_from", below.traits.cold_from},
                              {"fall_multiple", s.fall_multiple},
                              {"ramp_time", ns(below.traits.warm_up)},
                              {"stop_sending_within", ns(s.drain_grace)},
                              {"tip_after", ns(s.tip_after)}};
    return settings.dump();
}

// ---- attempts at endpoints ------------------------------------------------------------------------

bool World::connection_opened(std::uint32_t index) {
    Node& node = *nodes_[index];
    node.peak_connections = std::max(node.peak_connections, ++node.connections);
    return node.connections <= node.traits.connections;
}

void World::connection_closed(std::uint32_t index) {
    Node& node = *nodes_[index];
    if (node.connections > 0) --node.connections;
}

bool World::swallows(std::uint32_t index, const std::string& id) {
    const Node& node = *nodes_[index];
    if (node.mute.empty()) return false;
    return Draws(options_.seed, fmt::format("mute {} {}", node.name, id)).chance(chance_of_any(node.mute));
}

/// The work of one phase at this tier. Where a request makes calls, a half comes before them and one after.
Duration World::draw_work(const Call& call) const {
    const ClassSpec& spec = scenario_.classes[call.class_index];
    const double mean = seconds(spec.work) * scenario_.tiers[call.tier].work;
    double work = mean;
    if (spec.shape == ClassSpec::Shape::Fixed)
        return from_seconds(call.tier + 1 < scenario_.tiers.size() ? work / 2.0 : work);
    Draws draws(options_.seed, "work " + call.op);
    if (spec.shape == ClassSpec::Shape::Exponential) work = draws.exponential(mean);
    if (spec.shape == ClassSpec::Shape::Lognormal) work = draws.lognormal(mean, spec.spread);
    if (call.tier + 1 < scenario_.tiers.size()) work /= 2.0;
    return from_seconds(work);
}

std::uint64_t World::attempt(const AttemptSpec& spec, Respond respond_with) {
    const Time now = scheduler_.now();
    Node& node = *nodes_[spec.node];
    if (!node.model) return 0;
    const auto known = calls_.find(spec.id);
    if (known == calls_.end() || known->second.tier != node.tier) {
        // Nobody has sent a request of this id: the platform's protocol calls it the sidecar's fault. What
        // comes after its caller has forgotten it is not counted either way.
        ++report_.unknown_ids;
        respond_with({AttemptReply::Kind::Error, {}});
        return 0;
    }
    Call& call = known->second;
    auto owned = std::make_unique<Attempt>(scheduler_);
    Attempt& attempt = *owned;
    attempt.token = ++last_attempt_;
    attempt.call_id = spec.id;
    attempt.node = spec.node;
    attempt.order = call.attempts++;
    attempt.expires = now + spec.timeout;
    attempt.respond = std::move(respond_with);
    const std::uint64_t token = attempt.token;
    attempts_.emplace(token, std::move(owned));
    ++call.attempts_out;
    ++report_.tiers[node.tier].attempts;
    ++node.attempts;
    if (node.listed_away && now > *node.listed_away + kKnownByAll) ++report_.to_drained;
    attempt.number = rules_->attempt(spec.id, spec.node, node.pod, spec.first_byte, now);
    trace("attempt {} at {}", spec.id, node.name);

    Duration work = draw_work(call);
    const bool last_tier = call.tier + 1 == scenario_.tiers.size();
    if (spec.fresh) work += node.traits.connection_cost;
    const double whole = seconds(work) + (last_tier ? 0.0 : seconds(draw_work(call)));
    if (node.model->cold(now) &&
        rules_->cold_work(call.sidecar, spec.node, whole, node.model->warm_capacity(now), now)) {
        ++report_.fallen;
        take_down(node, "fallen");
        list(node, Availability::Gone, scenario_.discovery.silent_notice);
        return 0;
    }
    if (spec.over_cap || !node.reject.empty() || !node.fail.empty()) {
        Draws draws(options_.seed, fmt::format("fate {} {} {}", spec.id, attempt.order, node.name));
        const bool rejected = spec.over_cap || draws.chance(chance_of_any(node.reject));
        if (rejected || draws.chance(chance_of_any(node.fail))) {
            respond(attempt, {rejected ? AttemptReply::Kind::TurnedAway : AttemptReply::Kind::Error, {}});
            return 0;
        }
    }
    if (!last_tier) {
        const TierSpec& below = scenario_.tiers[call.tier + 1];
        Draws calls(options_.seed, "calls " + call.op);
        const double wanted = calls.between(below.calls_min, below.calls_max);
        attempt.calls_left = static_cast<std::uint32_t>(wanted);
        if (calls.chance(wanted - std::floor(wanted))) ++attempt.calls_left;
    }
    step(node);
    if (!node.model->arrive(now, token, work, attempt.expires)) {
        respond(attempt, {AttemptReply::Kind::TurnedAway, {}});
        schedule(node);
        return 0;
    }
    node.jobs.emplace(token, &attempt);
    step(node);
    return attempts_.contains(token) ? token : 0;
}

void World::attempt_lost(const AttemptSpec& spec) {
    const auto known = calls_.find(spec.id);
    if (known == calls_.end()) return;
    const auto number =
        rules_->attempt(spec.id, spec.node, nodes_[spec.node]->pod, spec.first_byte, scheduler_.now());
    rules_->attempt_over(spec.id, number, RuleChecker::Ran::Maybe);
    trace("attempt {} lost on the way to {}", spec.id, nodes_[spec.node]->name);
}

/// Moves the endpoint to now and acts on what has ended there.
void World::step(Node& node) {
    if (!node.model) return;
    std::vector<EndpointModel::Ended> ended;
    // What ends here frees places, so that more may begin, and end, at once.
    for (;;) {
        ended.clear();
        node.model->advance(scheduler_.now(), ended);
        if (ended.empty()) break;
        for (const auto& end : ended) {
            const auto job = node.jobs.find(end.job);
            if (job == node.jobs.end()) continue;
            Attempt& attempt = *job->second;
            switch (end.kind) {
                case EndpointModel::Ended::Kind::Started:
                    started(node, attempt);
                    break;
                case EndpointModel::Ended::Kind::PhaseDone:
                    phase_done(node, attempt);
                    break;
                case EndpointModel::Ended::Kind::Expired:
                    node.jobs.erase(job);
                    respond(attempt, {AttemptReply::Kind::TurnedAway, {}});
                    break;
            }
            if (!node.model) return;
        }
    }
    schedule(node);
}

void World::schedule(Node& node) {
    if (!node.model) return;
    if (node.model->thrashing() != node.was_thrashing) {
        node.was_thrashing = node.model->thrashing();
        if (node.was_thrashing) ++report_.thrashed;
    }
    show(node);
    if (const auto due = node.model->next_due()) {
        node.due.set(*due, [this, &node] { step(node); });
    } else {
        node.due.cancel();
    }
}

/// From here on the request has run, as far as effects go. They take place in the last tier; the tiers before
/// it remember what they have carried out.
void World::started(Node& node, Attempt& attempt) {
    const auto known = calls_.find(attempt.call_id);
    if (known == calls_.end()) return;
    const Call& call = known->second;
    const ClassSpec& spec = scenario_.classes[call.class_index];
    if (spec.effect == Idempotency::Idempotent) return;
    const Time now = scheduler_.now();
    const auto remembers = [&](const std::unordered_map<std::string, std::vector<Carried>>& among) {
        const auto it = among.find(call.op);
        return spec.effect == Idempotency::Deduplicated && it != among.end() &&
               std::any_of(it->second.begin(), it->second.end(), [&](const Carried& c) {
                   return c.tier == node.tier && c.pod == node.pod && now - c.at <= spec.window;
               });
    };
    const bool last_tier = node.tier + 1 == scenario_.tiers.size();
    if (remembers(last_tier ? effects_ : carried_out_)) {
        ++report_.repeats_dropped;
        attempt.calls_left = 0;  // a repeat that is dropped asks nobody
        return;
    }
    if (!last_tier) return;
    auto& effects = effects_[call.op];
    effects.push_back({node.tier, node.pod, now});
    if (effects.size() > 1) {
        ++report_.double_effects;
        trace("effect again {} at {}", call.op, node.name);
        if (spec.effect == Idempotency::NonIdempotent) rules_->double_effect(attempt.call_id, now);
    }
}

void World::phase_done(Node& node, Attempt& attempt) {
    if (attempt.calls_left > 0) return next_call(node, attempt);
    const bool has_second = node.tier + 1 < scenario_.tiers.size();
    const auto known = calls_.find(attempt.call_id);
    if (has_second && !attempt.last_phase && known != calls_.end()) {
        attempt.last_phase = true;
        node.model->resume(attempt.token, draw_work(known->second));
        return;
    }
    node.model->finish(attempt.token);
    node.jobs.erase(attempt.token);
    std::string body;
    if (known != calls_.end()) {
        const Call& call = known->second;
        if (has_second && scenario_.classes[call.class_index].effect == Idempotency::Deduplicated) {
            carried_out_[call.op].push_back({node.tier, node.pod, scheduler_.now()});
        }
        body = fmt::format("{} {} {}", attempt.call_id, node.uid, attempt.order);
        known->second.made.push_back(body);
    }
    auto kind = AttemptReply::Kind::Served;
    if (!node.spoil.empty() || !node.reset.empty()) {
        Draws draws(options_.seed, fmt::format("answer {} {} {}", attempt.call_id, attempt.order, node.name));
        if (draws.chance(chance_of_any(node.spoil))) {
            kind = AttemptReply::Kind::Spoilt;
        } else if (draws.chance(chance_of_any(node.reset))) {
            kind = AttemptReply::Kind::Reset;
        }
    }
    respond(attempt, {kind, std::move(body)});
}

void World::next_call(Node& node, Attempt& attempt) {
    const auto known = calls_.find(attempt.call_id);
    const auto failed = [&] {
        node.model->finish(attempt.token);
        node.jobs.erase(attempt.token);
        respond(attempt, {AttemptReply::Kind::Error, {}});
    };
    if (known == calls_.end() || node.sidecar < 0 || !sidecars_[static_cast<std::size_t>(node.sidecar)].up) {
        return failed();
    }
    const Call& call = known->second;
    --attempt.calls_left;
    const std::uint32_t number = attempt.calls_made++;
    CallSpec spec;
    spec.id = fmt::format("{}.{}.{}", attempt.call_id, attempt.order, number);
    spec.sidecar = static_cast<std::uint32_t>(node.sidecar);
    spec.class_index = call.class_index;
    spec.timeout = scenario_.sidecars.passes_deadline ? attempt.expires - scheduler_.now()
                                                      : scenario_.classes[call.class_index].deadline;
    if (spec.timeout < 1ms) return failed();
    const std::string op = fmt::format("{}.{}", call.op, number);
    spec.key = op;
    const std::uint64_t token = attempt.token;
    attempt.calling = true;
    attempt.call_out_id = spec.id;
    // An answer that never comes is a lost request: noted, and not waited for.
    attempt.patience.set(scheduler_.now() + spec.timeout + kPatience + options_.wire_slack, [this, token] {
        Attempt& caller = *attempts_.at(token);
        Node& at = *nodes_[caller.node];
        hang_up(caller);
        at.model->finish(token);
        at.jobs.erase(token);
        respond(caller, {AttemptReply::Kind::Error, {}});
        step(at);
    });
    attempt.call_out = place_call(spec, op, [this, token](CallAnswer&& answer) {
        const auto it = attempts_.find(token);
        if (it == attempts_.end()) return;
        Attempt& caller = *it->second;
        Node& at = *nodes_[caller.node];
        caller.calling = false;
        caller.patience.cancel();
        step(at);
        if (!at.model) return;
        if (answer.kind == CallAnswer::Kind::Served) {
            phase_done(at, caller);
        } else {
            at.model->finish(token);
            at.jobs.erase(token);
            respond(caller, {AttemptReply::Kind::Error, {}});
        }
        if (at.model) step(at);
    });
}

void World::respond(Attempt& attempt, AttemptReply&& reply) {
    auto with = std::exchange(attempt.respond, nullptr);
    TierFigures& tier = report_.tiers[nodes_[attempt.node]->tier];
    if (with) {
        switch (reply.kind) {
            case AttemptReply::Kind::Served:
                ++tier.served;
                break;
            case AttemptReply::Kind::TurnedAway:
                ++tier.turned_away;
                break;
            case AttemptReply::Kind::Error:
                ++tier.errors;
                break;
            case AttemptReply::Kind::Spoilt:
                ++tier.spoilt;
                break;
            case AttemptReply::Kind::Reset:
                ++tier.broken;
                break;
        }
        if (reply.kind == AttemptReply::Kind::TurnedAway) {
            rules_->attempt_over(attempt.call_id, attempt.number, RuleChecker::Ran::Never);
        }
        trace("answer {} at {} {}", attempt.call_id, nodes_[attempt.node]->name,
              static_cast<int>(reply.kind));
    }
    forget(attempt.token);
    if (with) with(std::move(reply));
}

/// The attempt is over, at this end.
void World::forget(std::uint64_t token) {
    const auto it = attempts_.find(token);
    if (it == attempts_.end()) return;
    const std::string id = it->second->call_id;
    rules_->attempt_over(id, it->second->number, RuleChecker::Ran::Maybe);
    attempts_.erase(it);
    const auto call = calls_.find(id);
    if (call == calls_.end()) return;
    --call->second.attempts_out;
    if (call->second.answered) close_call(id);
}

void World::abandon(std::uint64_t token) {
    const auto it = attempts_.find(token);
    if (it == attempts_.end()) return;
    Attempt& attempt = *it->second;
    Node& node = *nodes_[attempt.node];
    if (std::exchange(attempt.respond, nullptr)) ++report_.tiers[node.tier].abandoned;
    trace("abandoned {} at {}", attempt.call_id, node.name);
    // Its sidecar knows no more than that it may have run.
    rules_->attempt_over(attempt.call_id, attempt.number, RuleChecker::Ran::Maybe);
    if (!node.model) return;
    step(node);
    if (!node.model || !attempts_.contains(token) || !node.model->cancel(token)) return;
    node.jobs.erase(token);
    hang_up(attempt);
    forget(token);
    step(node);
}

// ---- calls through sidecars -----------------------------------------------------------------------

/// The caller waits for an answer no longer.
void World::hang_up(Attempt& attempt) {
    if (!std::exchange(attempt.calling, false)) return;
    attempt.patience.cancel();
    transport_->hang_up(attempt.call_out);
    rules_->left(attempt.call_out_id, scheduler_.now());
    close_call(attempt.call_out_id);
}

/// Kept for a while once it is over: an attempt of it may be on its way.
void World::close_call(const std::string& id) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    it->second.answered = true;
    if (it->second.attempts_out > 0 || std::exchange(it->second.closed, true)) return;
    const Time now = scheduler_.now();
    closed_calls_.emplace_back(now, id);
    for (; closed_calls_.front().first + kRemembered < now; closed_calls_.pop_front()) {
        const auto old = calls_.find(closed_calls_.front().second);
        if (old == calls_.end()) continue;
        old->second.closed = false;
        if (old->second.attempts_out == 0) calls_.erase(old);
    }
}

Transport::CallId World::place_call(const CallSpec& spec, const std::string& op, CallDone done) {
    const Sidecar& sidecar = sidecars_[spec.sidecar];
    Call call;
    call.op = op;
    call.tier = sidecar.tier;
    call.sidecar = spec.sidecar;
    call.class_index = spec.class_index;
    const std::string id = spec.id;
    calls_.insert_or_assign(id, std::move(call));
    ++report_.tiers[sidecar.tier].calls;
    const Time now = scheduler_.now();
    // Also where it is down: it may be up again before the call is there. One that is not owes nothing.
    rules_->taken(id, spec.sidecar, spec.class_index, now, now + spec.timeout);
    trace("call {} by sidecar {}", id, spec.sidecar);
    return transport_->call(spec, [this, id, done = std::move(done)](CallAnswer&& answer) {
        const Time at = scheduler_.now();
        trace("call {} ends {}", id, static_cast<int>(answer.kind));
        const auto known = calls_.find(id);
        switch (answer.kind) {
            case CallAnswer::Kind::Served: {
                const bool genuine =
                    known != calls_.end() && std::find(known->second.made.begin(), known->second.made.end(),
                                                       answer.body) != known->second.made.end();
                rules_->served(id, at, genuine);
                break;
            }
            case CallAnswer::Kind::Refused:
                rules_->refused(id, at);
                break;
            case CallAnswer::Kind::Failed:
                rules_->failed(id, at);
                break;
            case CallAnswer::Kind::Broken:
                // A sidecar that runs owes an answer; one that died has had its requests forgotten.
                if (known != calls_.end() && sidecars_[known->second.sidecar].up) {
                    rules_->failed(id, at);
                } else {
                    rules_->left(id, at);
                }
                break;
            case CallAnswer::Kind::Unreachable:
                rules_->left(id, at);
                break;
        }
        close_call(id);
        done(std::move(answer));
    });
}

// ---- clients --------------------------------------------------------------------------------------

void World::begin() {
    begun_ = true;
    origin_ = scheduler_.now();
    report_.states.clear();
    for (const auto& node : nodes_) report_.states.push_back({0.0, node->index, node->shown});
    // Events are entered first: at one instant they come before the traffic, in the order of the file.
    for (std::size_t i = 0; i < scenario_.events.size(); ++i) {
        scheduler_.add(origin_ + scenario_.events[i].at, [this, i] { happen(i); });
    }
    next_arrival_ = origin_;
    schedule_arrival();
}

void World::schedule_arrival() {
    double factor = scenario_.load_at(next_arrival_ - origin_);
    for (const auto& [id, by] : bursts_) factor *= by;
    const double rate = scenario_.clients.rate * factor;
    constexpr double kIdleStep = 0.05;  // seconds, where the curve says that nobody comes
    if (rate <= 0.0) {
        next_arrival_ += from_seconds(kIdleStep);
    } else {
        const double gap = 1.0 / rate;
        next_arrival_ += from_seconds(
            scenario_.clients.arrivals == ClientsSpec::Arrivals::Even ? gap : arrivals_->exponential(gap));
    }
    if (next_arrival_ >= origin_ + scenario_.length ||
        (scenario_.clients.most > 0 && last_root_ >= scenario_.clients.most)) {
        arrivals_done_ = true;
        Duration longest{};
        for (const ClassSpec& c : scenario_.classes) longest = std::max(longest, c.deadline);
        const Time end = std::max(scheduler_.now(), origin_ + scenario_.length);
        settled_by_ = end + longest + kSettleTime;
        scheduler_.add(end, [this] { finish_if_over(); });
        return;
    }
    scheduler_.add(next_arrival_, [this, rate] {
        if (rate > 0.0) arrive();
        schedule_arrival();
    });
}

void World::arrive() {
    const std::uint64_t number = ++last_root_;
    Draws draws(options_.seed, fmt::format("client {}", number));
    double at = draws.unit();
    std::uint32_t class_index = 0;
    while (class_index + 1 < scenario_.classes.size() && at >= scenario_.classes[class_index].share) {
        at -= scenario_.classes[class_index++].share;
    }
    Root& root = roots_.try_emplace(number, scheduler_).first->second;
    root.class_index = class_index;
    root.began = scheduler_.now();
    ClassFigures& figures = report_.classes[class_index];
    ++figures.offered;
    figures.worth_offered += scenario_.classes[class_index].worth;
    const auto bucket = static_cast<std::size_t>(seconds(since_start()) / kPlotBucket);
    if (report_.buckets.size() <= bucket) report_.buckets.resize(bucket + 1);
    ++report_.buckets[bucket].offered;
    report_.buckets[bucket].worth_offered += scenario_.classes[class_index].worth;
    try_root(number);
}

std::uint32_t World::pick_sidecar(const std::string& id, std::uint32_t tries) {
    Draws draws(options_.seed, fmt::format("front {} {}", id, tries));
    for (const auto& [sidecar, share] : hot_) {
        if (draws.chance(share) && sidecars_[sidecar].up) return sidecar;
    }
    return dealt_.empty() ? 0 : dealt_[draws.below(dealt_.size())];
}

void World::try_root(std::uint64_t number) {
    Root& root = roots_.at(number);
    const ClassSpec& spec = scenario_.classes[root.class_index];
    const Time now = scheduler_.now();
    const Duration left = root.began + spec.deadline - now;
    const Duration timeout = std::min(left, decision::scaled(spec.deadline, scenario_.clients.give_up));
    CallSpec call;
    call.id = fmt::format("r{}-{}", number, root.tries);
    call.class_index = root.class_index;
    call.key = fmt::format("r{}", number);
    call.timeout = std::chrono::floor<std::chrono::milliseconds>(timeout);
    call.retried = root.tries > 0;
    call.sidecar = pick_sidecar(call.id, root.tries);
    root.id = call.id;
    ++root.tries;
    ++report_.classes[root.class_index].tries;
    // Who leaves does so at an even point of its time; who stays hears an answer just after its time at the
    // latest.
    Draws draws(options_.seed, "patience " + call.id);
    const bool leaves = draws.chance(scenario_.clients.impatient) || draws.chance(chance_of_any(leaves_));
    const Duration patience = leaves ? decision::scaled(call.timeout, draws.unit())
                                     : call.timeout + kPatience + options_.wire_slack;
    root.timer.set(now + patience, [this, number] {
        Root& client = roots_.at(number);
        client.calling = false;
        trace("client leaves {}", client.id);
        rules_->left(client.id, scheduler_.now());
        transport_->hang_up(client.call);
        close_call(client.id);
        try_over(number, CallAnswer::Kind::Broken, false);
    });
    root.calling = true;
    root.call = place_call(call, call.key, [this, number](CallAnswer&& answer) {
        const auto it = roots_.find(number);
        if (it == roots_.end() || !it->second.calling) return;
        it->second.calling = false;
        it->second.timer.cancel();
        try_over(number, answer.kind, true);
    });
}

/// `answered`: the try ended by itself; otherwise the client gave it up.
void World::try_over(std::uint64_t number, CallAnswer::Kind kind, bool answered) {
    Root& root = roots_.at(number);
    const ClassSpec& spec = scenario_.classes[root.class_index];
    root.last = answered ? kind : CallAnswer::Kind::Broken;
    if (kind == CallAnswer::Kind::Served) return settle(number, kind);
    const bool harmless = kind == CallAnswer::Kind::Refused || kind == CallAnswer::Kind::Unreachable;
    const bool may = harmless || spec.effect == Idempotency::Idempotent;
    const Time again = scheduler_.now() + scenario_.clients.backoff;
    constexpr Duration kLeast = 10ms;  // a try with less time is none
    if (!may || root.tries > scenario_.clients.retries || again + kLeast >= root.began + spec.deadline) {
        return settle(number, root.last);
    }
    root.timer.set(again, [this, number] { try_root(number); });
}

void World::settle(std::uint64_t number, CallAnswer::Kind kind) {
    const auto it = roots_.find(number);
    const Root& root = it->second;
    const ClassSpec& spec = scenario_.classes[root.class_index];
    ClassFigures& figures = report_.classes[root.class_index];
    const Duration latency = scheduler_.now() - root.began;
    const auto bucket = static_cast<std::size_t>(seconds(root.began - origin_) / kPlotBucket);
    double earned = 0.0;
    switch (kind) {
        case CallAnswer::Kind::Served:
            earned = latency <= spec.aim ? spec.worth : spec.worth * spec.late_worth;
            ++(latency <= spec.aim ? figures.served : figures.late);
            ++report_.buckets[bucket].served;
            if (options_.keep_latencies) {
                latencies_[root.class_index].push_back(seconds(latency) * 1e3);
                report_.buckets[bucket].latencies_ms.push_back(seconds(latency) * 1e3);
            }
            break;
        case CallAnswer::Kind::Refused:
            ++figures.refused;
            break;
        case CallAnswer::Kind::Failed:
            ++figures.failed;
            break;
        case CallAnswer::Kind::Broken:
        case CallAnswer::Kind::Unreachable:
            ++figures.unanswered;
            break;
    }
    figures.worth_earned += earned;
    report_.buckets[bucket].worth_earned += earned;
    trace("client {} settled {} after {:.3f} ms", number, static_cast<int>(kind), seconds(latency) * 1e3);
    roots_.erase(it);
}

void World::finish_if_over() {
    // While clients wait, and once more after the last: something may still go out for it.
    const bool waiting = !roots_.empty() && scheduler_.now() < settled_by_;
    if (waiting || !std::exchange(settled_, true)) {
        return later(kSettleLooks, [this] { finish_if_over(); });
    }
    over_ = true;
    rules_->finish(scheduler_.now());
    if (on_over_) on_over_();
}

// ---- events ---------------------------------------------------------------------------------------

std::vector<std::uint32_t> World::chosen(const EventSpec& event, std::size_t number) {
    std::vector<std::uint32_t> result;
    if (event.on.kind == Target::Kind::Sidecars) {
        for (const Sidecar& sidecar : sidecars_) {
            if (sidecar.node < 0) result.push_back(sidecar.index);
        }
    } else {
        for (const auto& node : nodes_) {
            if (node->tier == event.on.tier) result.push_back(node->index);
        }
    }
    if (event.on.all) return result;
    if (event.on.zone >= 0) {
        std::erase_if(result, [&](std::uint32_t i) {
            return event.on.kind == Target::Kind::Endpoints &&
                   nodes_[i]->zone != static_cast<std::uint32_t>(event.on.zone);
        });
        return result;
    }
    if (event.on.share <= 0.0) {
        std::vector<std::uint32_t> named;
        for (std::uint32_t i = event.on.first; i <= event.on.last && i < result.size(); ++i)
            named.push_back(result[i]);
        return named;
    }
    std::erase_if(result, [&](std::uint32_t i) {
        return event.on.kind == Target::Kind::Endpoints && nodes_[i]->life != Node::Life::Serving;
    });
    Draws draws(options_.seed, fmt::format("event {}", number));
    for (std::size_t i = 0; i + 1 < result.size(); ++i)
        std::swap(result[i], result[i + draws.below(result.size() - i)]);
    const auto wanted =
        static_cast<std::size_t>(std::lround(event.on.share * static_cast<double>(result.size())));
    result.resize(std::min(result.size(), std::max<std::size_t>(1, wanted)));
    std::sort(result.begin(), result.end());
    return result;
}

void World::happen(std::size_t number) {
    const EventSpec& event = scenario_.events[number];
    trace("event {}: {}", number, event.text);
    const auto ends = [&](std::function<void()> what) {
        if (event.length > Duration{}) later(event.length, std::move(what));
    };
    const std::uint64_t condition = ++last_condition_;
    const auto lasting = [&](std::vector<std::pair<std::uint64_t, double>>& among) {
        among.emplace_back(condition, event.amount);
        ends([&among, condition] {
            std::erase_if(among, [&](const auto& e) { return e.first == condition; });
        });
    };
    switch (event.verb) {
        case Verb::Burst:
            return lasting(bursts_);
        case Verb::Leave:
            return lasting(leaves_);
        case Verb::DiscoverySilent:
            if (event.on.kind == Target::Kind::Sidecars) {
                const auto deaf = chosen(event, number);
                deaf_.insert(deaf.begin(), deaf.end());
                return ends([this, deaf] {
                    for (const std::uint32_t sidecar : deaf) deaf_.erase(sidecar);
                });
            }
            for (const auto& registry : registries_) registry->silence(true);
            return ends([this] {
                for (const auto& registry : registries_) registry->silence(false);
            });
        case Verb::DiscoveryStale:
            stale_ += event.span;
            return ends([this, by = event.span] { stale_ -= by; });
        case Verb::Join:
            for (int i = 0; i < static_cast<int>(event.amount); ++i) {
                list(*nodes_[add_node(event.on.tier, true)], Availability::Ready, scenario_.discovery.notice);
            }
            return;
        case Verb::HotCaller: {
            const auto callers = chosen(event, number);
            for (const std::uint32_t sidecar : callers) {
                hot_.emplace_back(sidecar, event.amount / static_cast<double>(callers.size()));
            }
            return ends([this, callers] {
                for (const std::uint32_t sidecar : callers) {
                    const auto it = std::find_if(hot_.begin(), hot_.end(),
                                                 [&](const auto& entry) { return entry.first == sidecar; });
                    if (it != hot_.end()) hot_.erase(it);
                }
            });
        }
        case Verb::Lag: {
            const auto late = chosen(event, number);
            for (const std::uint32_t sidecar : late) sidecars_[sidecar].lag += event.span;
            return ends([this, late, by = event.span] {
                for (const std::uint32_t sidecar : late) sidecars_[sidecar].lag -= by;
            });
        }
        case Verb::SidecarStop: {
            const auto stopped = chosen(event, number);
            for (const std::uint32_t sidecar : stopped) transport_->sidecar_stopped(sidecar, true);
            return ends([this, stopped] {
                for (const std::uint32_t sidecar : stopped) transport_->sidecar_stopped(sidecar, false);
            });
        }
        case Verb::Links: {
            const auto from = chosen(event, number);
            transport_->links_changed(event, from, true);
            return ends([this, &event, from] { transport_->links_changed(event, from, false); });
        }
        case Verb::SidecarKill:
        case Verb::SidecarRestart:
        case Verb::SidecarReload:
            for (const std::uint32_t sidecar : chosen(event, number)) happen_to_sidecar(sidecar, event);
            return;
        default: {
            const auto nodes = chosen(event, number);
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                Node& node = *nodes_[nodes[i]];
                if (event.over == Duration{} || i == 0) {
                    happen_to(node, event, number);
                } else {
                    later(event.over * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(nodes.size()),
                          [this, &node, &event, number] { happen_to(node, event, number); });
                }
            }
        }
    }
}

void World::happen_to_sidecar(std::uint32_t sidecar, const EventSpec& event) {
    if (event.verb == Verb::SidecarReload) {
        if (sidecars_[sidecar].up) transport_->sidecar_reload(sidecar);
        return;
    }
    kill_sidecar(sidecar);
    if (event.verb == Verb::SidecarRestart) later(event.span, [this, sidecar] { start_sidecar(sidecar); });
}

void World::happen_to(Node& node, const EventSpec& event, std::size_t number) {
    const std::uint64_t condition = ++last_condition_;
    // Conditions outlive the process that they found: the machine is what is slow or faulty.
    const auto lasting = [&](std::vector<std::pair<std::uint64_t, double>>& among) {
        among.emplace_back(condition, event.amount);
        if (event.length > Duration{}) {
            later(event.length, [this, &node, &among, condition] {
                std::erase_if(among, [&](const auto& e) { return e.first == condition; });
                if (node.model) show(node);
            });
        }
        if (node.model) show(node);
    };
    const bool up = node.model != nullptr;
    if (up) step(node);
    switch (event.verb) {
        case Verb::Slow:
            if (up) node.model->slow_down(event.amount);
            node.slow.emplace_back(condition, event.amount);
            if (event.length > Duration{}) {
                later(event.length, [this, &node, condition, by = event.amount] {
                    if (node.model) step(node);
                    std::erase_if(node.slow, [&](const auto& e) { return e.first == condition; });
                    if (!node.model) return;
                    node.model->speed_up(by);
                    schedule(node);
                });
            }
            if (up) schedule(node);
            return;
        case Verb::Freeze:
            if (!up) return;
            node.model->freeze_until(scheduler_.now() + event.length);
            return schedule(node);
        case Verb::Pauses: {
            Draws draws(options_.seed, fmt::format("pauses {} {}", number, node.name));
            for (Duration at = decision::scaled(event.every, draws.unit()); at < event.length;
                 at += event.every) {
                later(at, [this, &node, span = event.span] {
                    if (!node.model) return;
                    step(node);
                    if (!node.model) return;
                    node.model->freeze_until(scheduler_.now() + span);
                    schedule(node);
                });
            }
            return;
        }
        case Verb::Flap: {
            if (!up) return;
            // Listed as draining and as ready in turn; the endpoint itself serves on.
            bool away = true;
            for (Duration at{}; at < event.length; at += event.every, away = !away) {
                later(at, [this, &node, away] {
                    if (node.life != Node::Life::Serving) return;
                    list(node, away ? Availability::Draining : Availability::Ready, Duration{});
                });
            }
            return later(event.length, [this, &node] {
                if (node.life == Node::Life::Serving) list(node, Availability::Ready, Duration{});
            });
        }
        case Verb::Reject:
            return lasting(node.reject);
        case Verb::Fail:
            return lasting(node.fail);
        case Verb::Mute:
            return lasting(node.mute);
        case Verb::Spoil:
            return lasting(node.spoil);
        case Verb::Reset:
            return lasting(node.reset);
        case Verb::Thrash:
            if (!up) return;
            node.model->force_thrash();
            return schedule(node);
        case Verb::Drain: {
            if (node.life != Node::Life::Serving) return;
            node.life = Node::Life::Draining;
            ++report_.drained;
            show(node);
            list(node, Availability::Draining, scenario_.discovery.notice);
            const Duration length = event.length > Duration{} ? event.length : kDrainTime;
            const auto start = node.starts;
            // It ends when it has nothing left to do, but not before its time.
            const auto end = std::make_shared<std::function<void(int)>>();
            *end = [this, &node, start, weak = std::weak_ptr(end)](int looks) {
                if (!node.model || node.starts != start) return;
                const auto self = weak.lock();
                if (node.model->in_work() + node.model->waiting() > 0 && looks < kMostDrainLooks && self) {
                    return later(kDrainLooks, [self, looks] { (*self)(looks + 1); });
                }
                take_down(node, "drained");
                list(node, Availability::Gone, scenario_.discovery.notice);
            };
            return later(length, [end] { (*end)(0); });
        }
        case Verb::Kill:
        case Verb::Restart:
        case Verb::Replace: {
            if (!up) return;
            take_down(node, "killed");
            if (event.verb == Verb::Kill)
                return list(node, Availability::Gone, scenario_.discovery.silent_notice);
            if (event.verb == Verb::Replace) {
                // The old name goes, the new one comes at the same address.
                list(node, Availability::Gone, scenario_.discovery.notice);
                node.uid = fmt::format("{}+{}", node.name, ++node.replaced);
            }
            const auto start = node.starts;
            return later(event.span, [this, &node, start] {
                if (node.model || node.starts != start) return;
                bring_up(node, true);
                list(node, Availability::Ready, scenario_.discovery.notice);
            });
        }
        case Verb::Partition: {
            if (!up || node.cut) return;
            node.cut = true;
            transport_->node_cut(node.index, true);
            show(node);
            if (event.length == Duration{})
                return list(node, Availability::Gone, scenario_.discovery.silent_notice);
            const auto start = node.starts;
            return later(event.length, [this, &node, start] {
                if (!node.model || node.starts != start || !node.cut) return;
                node.cut = false;
                transport_->node_cut(node.index, false);
                show(node);
            });
        }
        default:
            return;
    }
}

// ---- the end --------------------------------------------------------------------------------------

Report World::report() {
    Report result = std::move(report_);
    result.scenario = scenario_.name;
    result.mode = options_.mode;
    result.seed = options_.seed;
    result.length_s = seconds(scenario_.length);
    for (std::size_t i = 0; i < result.classes.size(); ++i) {
        result.classes[i].p50_ms = percentile(latencies_[i], 0.5);
        result.classes[i].p99_ms = percentile(latencies_[i], 0.99);
    }
    std::vector<double> sum(result.tiers.size()), count(result.tiers.size()), most(result.tiers.size());
    for (const auto& node : nodes_) {
        TierFigures& tier = result.tiers[node->tier];
        tier.work_done_s += node->work_before + (node->model ? node->model->work_done() : 0.0);
        tier.peak_connections = std::max<std::uint64_t>(tier.peak_connections, node->peak_connections);
        if (!node->from_the_start || node->starts != 1 || !node->model) continue;
        sum[node->tier] += static_cast<double>(node->attempts);
        count[node->tier] += 1.0;
        most[node->tier] = std::max(most[node->tier], static_cast<double>(node->attempts));
    }
    for (std::size_t i = 0; i < sum.size(); ++i) {
        if (sum[i] > 0.0) result.tiers[i].evenness = most[i] * count[i] / sum[i];
    }
    const ClassFigures all = result.total();
    result.service = all.worth_offered > 0.0 ? all.worth_earned / all.worth_offered : 0.0;
    for (std::size_t i = 0; i < result.rules.size(); ++i) {
        const auto& verdict = rules_->verdict(static_cast<Rule>(i));
        result.rules[i] = {verdict.breaches, verdict.examples};
    }
    judge(result, scenario_);
    return result;
}

}  // namespace martenford::emulator
