#include "emulator/virtual_transport.h"

#include <simdjson.h>

#include <algorithm>
#include <utility>

#include "assembly/features.h"
#include "config/read_settings.h"
#include "core/transport.h"

namespace martenford::emulator {

using decision::Availability;
using decision::DiscoveryUpdate;
using decision::Status;

namespace {

constexpr Duration kWatch = 20s;    // how long a watch waits for news
constexpr Duration kAgent = 100ms;  // until a silent agent is asked again

/// An address that says which node it is, for the membership to carry; port 1 stands for none in particular.
Address address_of(std::uint32_t node) {
    return {boost::asio::ip::address_v4(node), 1};
}
std::uint32_t node_at(const Address& address) {
    return address.address().to_v4().to_uint();
}

decision::Settings settings_of(const World& world, const World::Sidecar& sidecar) {
    simdjson::dom::parser parser;
    const std::string text = world.settings_json(sidecar);
    return decision::json::read_settings(parser.parse(text).get_object().value());
}

}  // namespace

namespace {

/// What the engine carries in virtual time: the request's id, for whoever looks on from outside.
struct NamedMessage : Message {
    explicit NamedMessage(std::string of) : id(std::move(of)) {}
    std::string id;
};

}  // namespace

/// A connection from a sidecar to an endpoint, and the attempt that it carries. Lives as long as its pool or
/// the attempt holds it.
class VirtualTransport::Connection : public EndpointClient::Attempt,
                                     public std::enable_shared_from_this<VirtualTransport::Connection> {
  public:
    enum class Stage { Connecting, Waiting, Idle, Closed };

    Connection(VirtualTransport& transport, Instance& owner, EndpointId endpoint, std::uint32_t node);
    void send(std::string id, Time end, EndpointClient::Done done);
    void cancel() override { finish(Status::Cancelled); }
    void withdraw_if_unsent() override {
        if (stage_ == Stage::Connecting) finish(Status::NotSent);
    }
    void set_deadline(Time end) override {
        end_at_ = end;
        end_.set(end, [self = shared_from_this()] {
            self->finish(self->stage_ == Stage::Connecting ? Status::ConnectFailed : Status::Timeout);
        });
    }
    /// Closes it at this end; the endpoint hears of it a little later.
    void close();
    /// The endpoint has gone, or was cut off and is back: what is open ends after the way.
    void reset_soon();
    bool usable() const { return stage_ == Stage::Idle && !resetting_; }

    const EndpointId endpoint;
    const std::uint32_t node;
    Time idle_since{};

  private:
    void connected();
    void write();
    void arrive();
    void reply(AttemptReply&& reply);
    void finish(Status status);
    void idle_for(Time since);

    VirtualTransport& transport_;
    Instance* owner_;  // outlives what it carries: it closes all of it as it goes
    std::uint64_t number_;
    std::uint32_t starts_;
    Stage stage_ = Stage::Connecting;
    bool counted_ = false, over_cap_ = false, fresh_ = true, resetting_ = false;
    std::string id_;
    Time end_at_{}, written_{};
    EndpointClient::Done done_;
    std::uint64_t attempt_ = 0, turn_ = 0;  // the turn tells one request on it from the next
    Timer end_, limit_;
};

/// One running sidecar: engine, pools and discovery.
class VirtualTransport::Instance : public EndpointClient {
  public:
    Instance(VirtualTransport& transport, const World::Sidecar& sidecar, const decision::Settings& settings,
             std::uint64_t seed)
        : transport_(transport),
          index_(sidecar.index),
          tier_(sidecar.tier),
          settings_(settings),
          time_(transport.scheduler_),
          engine_(time_, *this, settings.limits,
                  transport.options_.policy
                      ? transport.options_.policy(settings, seed)
                      : make_policy(settings, seed, transport.world_.scenario().sidecars.features, counters_),
                  tally_),
          membership_(membership_options(transport.world_.scenario().sidecars.features, settings)),
          again_(time_),
          doubt_(time_) {
        engine_.on_subscribe([this] { subscribe(); });
    }
    ~Instance() override {
        transport_.world_.registry(tier_).drop(watch_);
        gone_ = true;
        for (auto& [id, connection] : std::exchange(live_, {})) connection->close();
    }
    void start() {
        engine_.start();
        const ListAnswer list = transport_.world_.registry(tier_).all();
        transport_.world_.told(index_, list);
        take(list, true);
        if (!settings_.subscribe) subscribe();
    }

    // ---- requests

    void take(const CallSpec& spec, CallId call) {
        decision::Request request;
        request.id = spec.id;
        request.class_index = spec.class_index;
        request.deadline = time_.now() + spec.timeout - kResponseTransitTime;
        request.write = settings_.classes[spec.class_index].idempotency != decision::Idempotency::Idempotent;
        request.resent = spec.retried;
        request.key = mix(0, spec.key);
        engine_.submit(std::move(request), std::make_shared<NamedMessage>(spec.id),
                       [this, call](Answer&& answer) {
                           if (transport_.options_.lose_every > 0 &&
                               ++transport_.replies_ % transport_.options_.lose_every == 0)
                               return;
                           CallAnswer out;
                           out.kind = answer.kind == Answer::Kind::Served    ? CallAnswer::Kind::Served
                                      : answer.kind == Answer::Kind::Refused ? CallAnswer::Kind::Refused
                                                                             : CallAnswer::Kind::Failed;
                           out.body = std::move(answer.body);
                           transport_.after(transport_.delay_,
                                            [&transport = transport_, call, out = std::move(out)]() mutable {
                                                transport.answer(call, std::move(out));
                                            });
                       });
    }
    void leave(const std::string& id) { engine_.client_disconnected(id); }
    bool ready() const { return membership_.has_ready(); }

    // ---- the back

    Handle send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done) override;
    void probe(EndpointId id, Done done) override {
        const auto pool = pools_.find(id);
        if (pool == pools_.end()) return done(Result{Status::NotSent});
        const std::uint32_t node = pool->second.node;
        time_.add(time_.now() + transport_.delay_ * 2, [this, node, done = std::move(done)] {
            const NodeState& state = transport_.state(node);
            done(Result{state.up && !state.cut ? Status::Ok : Status::ConnectFailed});
        });
    }
    void close_idle_connections(EndpointId id) override {
        const auto pool = pools_.find(id);
        if (pool == pools_.end()) return;
        for (const auto& connection : std::exchange(pool->second.idle, {})) connection->close();
    }
    bool keeps(const Connection& connection) const {
        const auto pool = pools_.find(connection.endpoint);
        return !gone_ && pool != pools_.end() && pool->second.ready && pool->second.node == connection.node;
    }
    void put_back(const std::shared_ptr<Connection>& connection) {
        pools_.at(connection->endpoint).idle.push_back(connection);
    }
    void forget_idle(const Connection& connection) {
        const auto pool = pools_.find(connection.endpoint);
        if (pool == pools_.end()) return;
        std::erase_if(pool->second.idle, [&](const auto& idle) { return idle.get() == &connection; });
    }
    void closed(std::uint64_t number) { live_.erase(number); }
    Scheduler& time() { return time_; }

    // ---- discovery

    void subscribe() {
        if (watching_) return;
        ask();
    }
    /// Another discovery: the list stays, and the whole one is asked for.
    void move() {
        membership_.reset_revision();
        ask_anew();
    }

  private:
    struct Pool {
        std::uint32_t node = 0;
        bool ready = false;
        std::vector<std::shared_ptr<Connection>> idle;
    };

    void ask_anew() {
        transport_.world_.registry(tier_).drop(watch_);
        ask();
    }
    void ask() {
        watching_ = true;
        const auto turn = ++turn_;
        time_.add(time_.now() + transport_.delay_, [this, turn] {
            if (turn != turn_) return;
            const auto since = std::exchange(whole_, false) ? std::nullopt : membership_.revision();
            // Whatever is answered is dealt with after the way back; the registry may hold this for long.
            watch_ = transport_.world_.registry(tier_).ask(
                since, kWatch, [this, alive = std::weak_ptr(alive_), turn](const ListAnswer* list) {
                    if (alive.expired() || turn != turn_) return;
                    if (!list) return later([this] { failed(); }, turn);
                    const Duration lag = transport_.world_.sidecars()[index_].lag;
                    // What discovery has written has been told.
                    if (lag == Duration{}) transport_.world_.told(index_, *list);
                    later(
                        [this, copy = *list, lag] {
                            if (lag > Duration{}) transport_.world_.told(index_, copy);
                            arrived(copy);
                        },
                        turn, lag);
                });
        });
    }
    void later(std::function<void()> what, std::uint64_t turn, Duration lag = {}) {
        time_.add(time_.now() + transport_.delay_ + lag, [this, what = std::move(what), turn] {
            if (turn == turn_) what();
        });
    }
    void failed() {
        watching_ = false;
        ++turn_;
        if (settings_.subscribe) return engine_.handle_discovery({DiscoveryUpdate::Kind::Failed, nullptr});
        again_.set(time_.now() + kAgent, [this] { subscribe(); });
    }
    void arrived(const ListAnswer& list) {
        take(list, false);
        ask();
    }
    /// As the program's own discovery does.
    void take(const ListAnswer& list, bool cached) {
        TargetList targets;
        targets.revision = list.revision;
        targets.all = list.all;
        targets.targets.reserve(list.entries.size());
        for (const Listing& entry : list.entries) {
            martenford::Target& target = targets.targets.emplace_back();
            target.uid = entry.uid;
            target.address = address_of(entry.node);
            target.endpoint.zone = static_cast<std::uint32_t>(entry.zone[0] - 'a');
            target.endpoint.cell = entry.pod;
            target.endpoint.availability = entry.state;
            target.boot_ms = entry.boot_ms;
        }
        apply(membership_.apply_list(targets, cached, time_.now(), Time{}));
    }
    void apply(Membership::Update&& update) {
        for (const EndpointId id : update.removed) {
            close_idle_connections(id);
            pools_.erase(id);
        }
        for (const auto& [id, address, is_ready, uid] : update.placed) {
            Pool& pool = pools_[id];
            const std::uint32_t node = node_at(address);
            if (!is_ready || pool.node != node) close_idle_connections(id);
            pool.node = node;
            pool.ready = is_ready;
        }
        if (update.discovered.kind != DiscoveryUpdate::Kind::Failed)
            engine_.handle_discovery(std::move(update.discovered));
        if (update.need_full_list) whole_ = true;
        if (const auto due = membership_.next_due()) {
            doubt_.set(*due, [this] { apply(membership_.apply_due_removals(time_.now())); });
        } else {
            doubt_.cancel();
        }
    }

    friend class Connection;
    VirtualTransport& transport_;
    std::uint32_t index_, tier_;
    decision::Settings settings_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    ScopedTime time_;
    std::unordered_map<EndpointId, Pool> pools_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> live_;  // by number
    Counters counters_;
    RequestCounters tally_{counters_, settings_.classes};
    Registry::WatchId watch_ = 0;
    std::uint64_t turn_ = 0;
    bool watching_ = false, gone_ = false, whole_ = false;
    Engine engine_;
    Membership membership_;
    Timer again_, doubt_;
};

// ---- connections ----------------------------------------------------------------------------------

VirtualTransport::Connection::Connection(VirtualTransport& transport, Instance& owner, EndpointId id,
                                         std::uint32_t at)
    : endpoint(id),
      node(at),
      transport_(transport),
      owner_(&owner),
      number_(++transport.last_connection_),
      starts_(transport.state(at).starts),
      end_(owner.time()),
      limit_(owner.time()) {}

void VirtualTransport::Connection::send(std::string id, Time end, EndpointClient::Done done) {
    id_ = std::move(id);
    done_ = std::move(done);
    ++turn_;
    limit_.cancel();
    set_deadline(end);
    if (stage_ == Stage::Idle) return write();
    owner_->live_.emplace(number_, shared_from_this());
    const Time now = transport_.scheduler_.now();
    const Duration most = transport_.world_.scenario().network.connect_timeout;
    limit_.set(now + most, [self = shared_from_this()] { self->finish(Status::ConnectFailed); });
    if (transport_.state(node).cut) return;  // it never comes up
    transport_.after(transport_.delay_ * 2, [self = shared_from_this()] { self->connected(); });
}

void VirtualTransport::Connection::connected() {
    if (stage_ != Stage::Connecting) return;
    NodeState& state = transport_.state(node);
    if (state.cut) return;
    limit_.cancel();
    if (!state.up) return finish(Status::ConnectFailed);
    starts_ = state.starts;
    counted_ = true;
    over_cap_ = !transport_.world_.connection_opened(node);
    state.open.emplace(number_, weak_from_this());
    ++transport_.connections_opened_;
    write();
}

void VirtualTransport::Connection::write() {
    stage_ = Stage::Waiting;
    written_ = transport_.scheduler_.now();
    attempt_ = 0;
    transport_.after(transport_.delay_, [self = shared_from_this(), turn = turn_] {
        if (self->turn_ == turn) self->arrive();
    });
}

void VirtualTransport::Connection::arrive() {
    AttemptSpec spec;
    spec.id = id_;
    spec.node = node;
    spec.timeout = end_at_ - transport_.scheduler_.now();
    spec.first_byte = written_;
    spec.fresh = fresh_;
    spec.over_cap = over_cap_;
    const bool reused = !std::exchange(fresh_, false);
    NodeState& state = transport_.state(node);
    // Given up on the way: a request whose last byte was written is here all the same.
    const bool lost = !state.up || state.cut || state.starts != starts_ ||
                      (reused && transport_.world_.swallows(node, id_));
    if (lost) return transport_.world_.attempt_lost(spec);
    const auto turn = turn_;
    const auto token = transport_.world_.attempt(spec, [weak = weak_from_this(), turn](AttemptReply&& reply) {
        const auto self = weak.lock();
        if (!self || self->turn_ != turn || self->stage_ != Stage::Waiting) return;
        self->transport_.after(self->transport_.delay_, [self, turn, reply = std::move(reply)]() mutable {
            if (self->turn_ == turn) self->reply(std::move(reply));
        });
    });
    if (stage_ == Stage::Waiting) {
        attempt_ = token;
    } else if (token != 0) {  // its caller had closed the connection by then
        transport_.world_.abandon(token);
    }
}

void VirtualTransport::Connection::reply(AttemptReply&& reply) {
    if (stage_ != Stage::Waiting || transport_.state(node).cut || resetting_) return;
    attempt_ = 0;
    if (reply.kind == AttemptReply::Kind::Spoilt) return finish(Status::Error);
    if (reply.kind == AttemptReply::Kind::Reset) return finish(Status::Reset);
    Result result;
    result.status = reply.kind == AttemptReply::Kind::Served       ? Status::Ok
                    : reply.kind == AttemptReply::Kind::TurnedAway ? Status::Rejected
                                                                   : Status::Error;
    result.body = std::move(reply.body);
    end_.cancel();
    const auto self = shared_from_this();
    auto done = std::exchange(done_, nullptr);
    result.connection_reusable = !over_cap_ && owner_->keeps(*this);
    if (result.connection_reusable) {
        stage_ = Stage::Idle;
        idle_since = transport_.scheduler_.now();
        owner_->put_back(self);
        idle_for(idle_since);
    } else {
        close();
    }
    done(std::move(result));
}

void VirtualTransport::Connection::idle_for(Time since) {
    const Duration most = decision::scaled(transport_.world_.scenario().network.idle, kIdleTimeoutShare);
    limit_.set(since + most, [self = shared_from_this()] {
        if (self->stage_ != Stage::Idle) return;
        self->owner_->forget_idle(*self);
        self->close();
    });
}

void VirtualTransport::Connection::finish(Status status) {
    if (stage_ == Stage::Closed) return;
    const auto self = shared_from_this();
    auto done = std::exchange(done_, nullptr);
    close();
    if (done) done(Result{status});
}

void VirtualTransport::Connection::close() {
    if (stage_ == Stage::Closed) return;
    const auto self = shared_from_this();
    const bool was_out = stage_ == Stage::Waiting;
    stage_ = Stage::Closed;
    end_.cancel();
    limit_.cancel();
    done_ = nullptr;
    owner_->closed(number_);
    NodeState& state = transport_.state(node);
    state.open.erase(number_);
    if (!std::exchange(counted_, false)) return;
    transport_.after(transport_.delay_, [&transport = transport_, self, was_out] {
        const NodeState& there = transport.state(self->node);
        if (there.starts != self->starts_ || !there.up) return;
        // An endpoint that is cut off hears of nothing.
        if (there.cut) return;
        if (was_out && self->attempt_ != 0) transport.world_.abandon(std::exchange(self->attempt_, 0));
        transport.world_.connection_closed(self->node);
    });
}

void VirtualTransport::Connection::reset_soon() {
    if (stage_ == Stage::Closed || stage_ == Stage::Connecting || std::exchange(resetting_, true)) return;
    // The turn is this one's: a request that is written meanwhile ends by this reset, too.
    transport_.after(transport_.delay_, [self = shared_from_this()] {
        if (self->stage_ == Stage::Idle) {
            self->owner_->forget_idle(*self);
            self->close();
        } else {
            self->finish(Status::Reset);
        }
    });
}

EndpointClient::Handle VirtualTransport::Instance::send(EndpointId id, std::shared_ptr<const Message> message,
                                                        Time end, Done done) {
    const auto pool = pools_.find(id);
    if (gone_ || pool == pools_.end()) {
        done(Result{Status::NotSent});
        return {};
    }
    std::shared_ptr<Connection> connection;
    while (!connection && !pool->second.idle.empty()) {
        connection = std::move(pool->second.idle.back());
        pool->second.idle.pop_back();
        if (!connection->usable()) connection.reset();
    }
    if (!connection) connection = std::make_shared<Connection>(transport_, *this, id, pool->second.node);
    connection->send(static_cast<const NamedMessage&>(*message).id, end, std::move(done));
    return connection;
}

// ---- the transport --------------------------------------------------------------------------------

VirtualTransport::VirtualTransport(VirtualTime& scheduler, World& world, Options options)
    : scheduler_(scheduler),
      world_(world),
      options_(std::move(options)),
      delay_(world.scenario().network.delay) {}
VirtualTransport::~VirtualTransport() = default;

VirtualTransport::NodeState& VirtualTransport::state(std::uint32_t node) {
    if (node >= nodes_.size()) nodes_.resize(node + 1);
    return nodes_[node];
}

void VirtualTransport::after(Duration wait, std::function<void()> what) {
    scheduler_.add(scheduler_.now() + wait, std::move(what));
}

void VirtualTransport::node_up(std::uint32_t node) {
    NodeState& at = state(node);
    at.up = true;
    at.cut = false;
    ++at.starts;
}

void VirtualTransport::node_down(std::uint32_t node) {
    NodeState& at = state(node);
    at.up = false;
    const auto open = std::exchange(at.open, {});
    if (at.cut) return;  // nobody hears of it
    for (const auto& [number, weak] : open) {
        if (const auto connection = weak.lock()) connection->reset_soon();
    }
}

void VirtualTransport::node_cut(std::uint32_t node, bool cut) {
    NodeState& at = state(node);
    at.cut = cut;
    if (cut) return;
    for (const auto& [number, weak] : std::exchange(at.open, {})) {
        if (const auto connection = weak.lock()) connection->reset_soon();
    }
}

void VirtualTransport::sidecar_up(std::uint32_t sidecar) {
    if (sidecar >= instances_.size()) instances_.resize(sidecar + 1);
    const World::Sidecar& spec = world_.sidecars()[sidecar];
    const std::uint64_t seed =
        mix(world_.seed(), "sidecar " + std::to_string(sidecar) + " " + std::to_string(spec.starts));
    instances_[sidecar] = std::make_unique<Instance>(*this, spec, settings_of(world_, spec), seed);
    instances_[sidecar]->start();
}

void VirtualTransport::sidecar_killed(std::uint32_t sidecar) {
    if (!sidecar_ready(sidecar) && (sidecar >= instances_.size() || !instances_[sidecar])) return;
    instances_[sidecar].reset();
    for (const auto& [number, open] : calls_) {
        if (open.sidecar != sidecar) continue;
        after(delay_, [this, call = number] { answer(call, CallAnswer{CallAnswer::Kind::Broken, {}}); });
    }
}

void VirtualTransport::sidecar_reload(std::uint32_t sidecar) {
    if (sidecar < instances_.size() && instances_[sidecar]) instances_[sidecar]->move();
}

bool VirtualTransport::sidecar_ready(std::uint32_t sidecar) const {
    return sidecar < instances_.size() && instances_[sidecar] && instances_[sidecar]->ready();
}

Transport::CallId VirtualTransport::call(const CallSpec& spec, std::function<void(CallAnswer&&)> done) {
    const CallId number = ++last_call_;
    calls_.emplace(number, OpenCall{spec.sidecar, spec.id, std::move(done)});
    after(delay_, [this, number, spec] {
        if (!calls_.contains(number)) return;
        if (spec.sidecar < instances_.size() && instances_[spec.sidecar]) {
            return instances_[spec.sidecar]->take(spec, number);
        }
        after(delay_, [this, number] { answer(number, CallAnswer{CallAnswer::Kind::Unreachable, {}}); });
    });
    return number;
}

void VirtualTransport::hang_up(CallId call) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    const OpenCall open = std::move(it->second);
    calls_.erase(it);
    after(delay_, [this, sidecar = open.sidecar, id = open.id] {
        if (sidecar < instances_.size() && instances_[sidecar]) instances_[sidecar]->leave(id);
    });
}

void VirtualTransport::answer(CallId call, CallAnswer&& answer) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    const auto done = std::move(it->second.done);
    calls_.erase(it);
    done(std::move(answer));
}

VirtualPlay play_virtual(const Scenario& scenario, std::uint64_t seed,
                         std::function<void(const std::string&)> trace, VirtualTransport::Options options,
                         std::function<void(Duration)> progress) {
    VirtualTime time;
    World::Options world_options;
    world_options.seed = seed;
    world_options.trace = std::move(trace);
    World world(time, scenario, world_options);
    VirtualTransport transport(time, world, std::move(options));
    world.build(transport);
    world.begin();
    Time next_progress{};
    while (!world.over() && time.run_one()) {
        if (progress && time.now() >= next_progress) {
            progress(time.now().time_since_epoch());
            next_progress = time.now() + 1s;
        }
    }
    return {world.report(), time.fired(), transport.connections_opened()};
}

}  // namespace martenford::emulator
