#include "emulator/socket_transport.h"

#include <fmt/format.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "emulator/relay_net.h"
#include "emulator/sidecar_process.h"
#include "emulator/socket_peers.h"
#include "emulator/world.h"

namespace martenford::emulator {

namespace {

constexpr Duration kWireSlack =
    50ms;                             // each time limit is so much longer on sockets: the platform's protocol
constexpr Duration kStartTime = 30s;  // until all sidecars of a fleet are ready
constexpr Duration kLook = 50ms;      // between looks at whether they are
constexpr Duration kOldAgent = 1500ms;  // a discovery that was left ends its open connections after this
constexpr int kDescriptors = 512;       // told to each sidecar as its limit

std::string text_of(const tcp::endpoint& address) {
    std::ostringstream out;
    out << address;
    return out.str();
}

/// As many descriptors as the system gives: a fleet's endpoints and clients are all here.
void raise_descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/// A folder that goes with all that is in it, which is files of sidecars alone.
class Folder {
  public:
    Folder() {
        std::string path = "/tmp/martenford-emulator-XXXXXX";
        if (const char* base = std::getenv("TMPDIR"); base && *base)
            path = std::string(base) + path.substr(4);
        if (!mkdtemp(path.data())) throw std::runtime_error("no folder can be made at " + path);
        path_ = path;
    }
    ~Folder() { rmdir(path_.c_str()); }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

class SocketTransport : public Transport {
  public:
    SocketTransport(EventLoop& loop, World& world, const SocketPlayOptions& options)
        : loop_(loop), world_(world), options_(options), net_(loop, world.seed()) {}

    void node_up(std::uint32_t node) override {
        // An address of its own in 127/8 for each: the port is the system's choice, and is taken again by
        // whoever replaces it.
        tcp::endpoint& where = addresses_[node];
        if (where.port() == 0) {
            constexpr std::uint32_t kFirst = 0x7f0a0001;  // 127.10.0.1
            where = {boost::asio::ip::address_v4(kFirst + node), 0};
        }
        nodes_[node] = std::make_unique<EndpointServer>(loop_, world_, node, where);
        where = nodes_[node]->address();
        world_.set_address(node, text_of(where));
    }
    void node_down(std::uint32_t node) override {
        const auto it = nodes_.find(node);
        if (it == nodes_.end()) return;
        // It may be in the middle of taking a request: what is left of it goes a little later.
        it->second->stop();
        loop_.add(loop_.now(), [old = std::shared_ptr<EndpointServer>(std::move(it->second))] {});
        nodes_.erase(it);
    }
    void node_cut(std::uint32_t node, bool cut) override {
        if (const auto it = nodes_.find(node); it != nodes_.end()) it->second->cut(cut);
    }

    void sidecar_up(std::uint32_t sidecar) override {
        Running& running = sidecars_[sidecar];
        running.discovery = std::make_unique<DiscoveryServer>(loop_, world_, sidecar);
        running.pool = std::make_unique<CallerPool>(loop_);
        const auto starts = world_.sidecars()[sidecar].starts;
        running.process = SidecarProcess::start(
            loop_, options_.program, folder_.path(), fmt::format("sidecar-{}-{}", sidecar, starts),
            config(sidecar), own(sidecar), [this, sidecar, starts](const std::string& line) {
                if (options_.log) options_.log(sidecar, line);
                const auto it = sidecars_.find(sidecar);
                if (it == sidecars_.end() || world_.sidecars()[sidecar].starts != starts) return;
                if (it->second.process && it->second.process->fleet().port() != 0)
                    net_.up(sidecar, it->second.process->fleet());
            });
        // What it is started with it knows.
        world_.told(sidecar, world_.registry(world_.sidecars()[sidecar].tier).all());
    }
    void sidecar_killed(std::uint32_t sidecar) override {
        const auto it = sidecars_.find(sidecar);
        if (it == sidecars_.end()) return;
        net_.down(sidecar);
        it->second.process->kill();
        dead_.push_back(std::move(it->second.process));
        // Calls that are out end with their connections, which the kernel resets.
        old_pools_.push_back(std::move(it->second.pool));
        loop_.add(loop_.now(), [old = std::shared_ptr<DiscoveryServer>(std::move(it->second.discovery))] {});
        sidecars_.erase(it);
    }
    void sidecar_reload(std::uint32_t sidecar) override {
        const auto it = sidecars_.find(sidecar);
        if (it == sidecars_.end()) return;
        const std::shared_ptr<DiscoveryServer> old = std::move(it->second.discovery);
        it->second.discovery = std::make_unique<DiscoveryServer>(loop_, world_, sidecar);
        it->second.process->reload(config(sidecar));
        old->retire();
        loop_.add(loop_.now() + kOldAgent, [old] {});
    }
    void sidecar_stopped(std::uint32_t sidecar, bool stopped) override {
        const auto it = sidecars_.find(sidecar);
        if (it == sidecars_.end()) return;
        stopped ? it->second.process->pause() : it->second.process->wake();
    }
    void links_changed(const EventSpec& event, const std::vector<std::uint32_t>& who, bool on) override {
        using What = LinkSpec::What;
        const std::set<std::size_t> from(who.begin(), who.end());
        std::set<std::size_t> to;
        for (const World::Sidecar& each : world_.sidecars()) {
            if (each.node >= 0) continue;
            const bool named = event.link.others
                                   ? !from.contains(each.index)
                                   : each.index >= event.link.first && each.index <= event.link.last;
            if (named) to.insert(each.index);
        }
        if (event.link.what == What::Break) {
            for (const std::size_t a : from) {
                for (const std::size_t b : to) net_.reset(a, b);
            }
            return;
        }
        const double share = on ? event.amount : 0.0;
        const Duration span = on ? event.span : Duration{};
        const auto set = [&](LinkFaults& faults) {
            switch (event.link.what) {
                case What::Cut:
                    faults.cut = on;
                    return;
                case What::Delay:
                    faults.delay = span;
                    return;
                case What::Jitter:
                    faults.jitter = span;
                    return;
                case What::Drop:
                    faults.drop = share;
                    return;
                case What::Duplicate:
                    faults.duplicate = share;
                    return;
                case What::Reorder:
                    faults.reorder = share;
                    return;
                case What::Corrupt:
                    faults.corrupt = share;
                    return;
                case What::Throttle:
                    faults.bytes_a_second = static_cast<std::size_t>(share);
                    return;
                case What::Break:
                    return;
            }
        };
        net_.each_pair(from, to, set);
        if (event.link.both) net_.each_pair(to, from, set);
    }
    bool sidecar_ready(std::uint32_t sidecar) const override {
        const auto it = sidecars_.find(sidecar);
        return it != sidecars_.end() && it->second.process->address().port() != 0;
    }

    CallId call(const CallSpec& spec, std::function<void(CallAnswer&&)> done) override {
        const CallId number = ++last_call_;
        const auto it = sidecars_.find(spec.sidecar);
        if (it == sidecars_.end()) {
            unreachable_.emplace(number, std::move(done));
            loop_.add(loop_.now(), [this, number] {
                const auto call = unreachable_.find(number);
                if (call == unreachable_.end()) return;
                const auto then = std::move(call->second);
                unreachable_.erase(call);
                then({CallAnswer::Kind::Unreachable, {}});
            });
            return number;
        }
        const ClassSpec& klass = world_.scenario().classes[spec.class_index];
        const bool safe = klass.effect == decision::Idempotency::Idempotent;
        http::request<http::string_body> request{safe ? http::verb::get : http::verb::post,
                                                 "/" + klass.name + "/" + spec.key, 11};
        request.set(http::field::host, "service.internal");
        request.set("X-Request-ID", spec.id);
        request.set("X-Priority-Class", klass.name);
        request.set("X-Timeout-Ms", std::to_string(spec.timeout / 1ms));
        if (spec.retried) request.set("X-Retried", "1");
        if (klass.effect == decision::Idempotency::Deduplicated) request.set("Idempotency-Key", spec.key);
        if (!safe) request.body() = "amount=1";
        request.prepare_payload();
        it->second.pool->point_at(it->second.process->address());
        it->second.pool->call(number, std::move(request), std::move(done));
        return number;
    }
    void hang_up(CallId call) override {
        unreachable_.erase(call);
        for (auto& [sidecar, running] : sidecars_) running.pool->hang_up(call);
        for (auto& pool : old_pools_) pool->hang_up(call);
    }

    /// The first that has ended by itself; -1: none.
    std::int64_t crashed() {
        for (auto& [sidecar, running] : sidecars_) {
            if (running.process->ended()) return sidecar;
        }
        for (auto& process : dead_) process->ended();
        return -1;
    }

  private:
    struct Running {
        std::shared_ptr<SidecarProcess> process;
        std::unique_ptr<DiscoveryServer> discovery;
        std::unique_ptr<CallerPool> pool;
    };

    /// Its own configuration file's text.
    std::string own(std::uint32_t sidecar) {
        const SidecarSpec& spec = world_.scenario().sidecars;
        if (!spec.fleet || world_.sidecars()[sidecar].node >= 0) return spec.own;
        // The first two are known to all from the start.
        return fmt::format(
            "{}\n[fleet]\nname = \"{}\"\nlisten = \"{}:0\"\nadvertise = \"{}\"\nseeds = [\"{}\", "
            "\"{}\"]\n{}\n",
            spec.own, world_.scenario().name, RelayNet::host_of(sidecar), net_.advertised(sidecar),
            net_.advertised(0), net_.advertised(spec.count > 1 ? 1 : 0), spec.fleet_fields);
    }
    std::string config(std::uint32_t sidecar) const {
        const World::Sidecar& spec = world_.sidecars()[sidecar];
        nlohmann::ordered_json root{
            {"name", fmt::format("n{}", sidecar)},
            {"listen", "127.0.0.1:0"},
            {"discovery", text_of(sidecars_.at(sidecar).discovery->address())},
            {"seed",
             fmt::format("{:016x}", mix(world_.seed(), fmt::format("sidecar {} {}", sidecar, spec.starts)))},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", kDescriptors}}}};
        root["known"] = nlohmann::ordered_json::parse(to_json(world_.registry(spec.tier).all()));
        root["settings"] = nlohmann::ordered_json::parse(world_.settings_json(spec));
        return root.dump();
    }

    EventLoop& loop_;
    World& world_;
    const SocketPlayOptions& options_;
    RelayNet net_;
    Folder folder_;  // outlives the processes' files
    std::map<std::uint32_t, tcp::endpoint> addresses_;
    std::map<std::uint32_t, std::unique_ptr<EndpointServer>> nodes_;
    std::vector<std::shared_ptr<SidecarProcess>> dead_;
    std::vector<std::unique_ptr<CallerPool>> old_pools_;
    std::map<std::uint32_t, Running> sidecars_;
    std::map<CallId, std::function<void(CallAnswer&&)>> unreachable_;
    CallId last_call_ = 0;
};

}  // namespace

Report play_sockets(const Scenario& scenario, std::uint64_t seed, const SocketPlayOptions& options) {
    raise_descriptor_limit();
    EventLoop loop;
    World::Options world_options;
    world_options.seed = seed;
    world_options.mode = "sockets";
    world_options.wire_slack = kWireSlack;
    world_options.trace = options.trace;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    world_options.wall_ms =
        (std::chrono::duration_cast<Duration>(wall) - loop.now().time_since_epoch()) / 1ms;
    World world(loop, scenario, world_options);
    SocketTransport transport(loop, world, options);
    std::string fault;
    const auto stop = [&](const std::string& why) {
        fault = why;
        loop.stop();
    };
    // Guards against sidecars that outlive an emulator that is interrupted.
    boost::asio::signal_set signals(loop.io(), SIGINT, SIGTERM);
    signals.async_wait([&](const error_code& error, int) {
        if (!error) stop("interrupted");
    });
    world.on_over([&] { loop.stop(); });
    world.build(transport);
    const Time started = loop.now();
    Time begun{};
    std::function<void()> look = [&] {
        if (const auto sidecar = transport.crashed(); sidecar >= 0) {
            return stop(fmt::format("sidecar {} has ended by itself", sidecar));
        }
        if (begun == Time{}) {
            bool ready = true;
            for (const auto& sidecar : world.sidecars())
                ready = ready && transport.sidecar_ready(sidecar.index);
            if (ready) {
                begun = loop.now();
                world.begin();
            } else if (loop.now() > started + kStartTime) {
                return stop("not all sidecars were ready in time");
            }
        }
        if (options.progress && begun != Time{}) options.progress(loop.now() - begun, world.open_requests());
        loop.add(loop.now() + kLook, look);
    };
    look();
    loop.run();
    if (!fault.empty()) throw std::runtime_error(fault);
    return world.report();
}

}  // namespace martenford::emulator
