// Carries an emulated fleet in virtual time: the real engine and decision module for each sidecar, and a
// model of the connections between them and the endpoints. No socket, no clock.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/engine.h"
#include "emulator/transport.h"
#include "emulator/virtual_time.h"
#include "emulator/world.h"

namespace martenford::emulator {

class VirtualTransport : public Transport {
  public:
    struct Options {
        /// Stands in for the decision module; empty: the real one.
        std::function<std::unique_ptr<Policy>(const decision::Settings&, std::uint64_t seed)> policy;
        /// Drops each so-manieth answer on its way to the caller, as a broken front would; 0: none.
        std::uint64_t lose_every = 0;
    };

    VirtualTransport(VirtualTime& scheduler, World& world, Options options);
    ~VirtualTransport() override;

    void node_up(std::uint32_t node) override;
    void node_down(std::uint32_t node) override;
    void node_cut(std::uint32_t node, bool cut) override;
    void sidecar_up(std::uint32_t sidecar) override;
    void sidecar_killed(std::uint32_t sidecar) override;
    void sidecar_reload(std::uint32_t sidecar) override;
    bool sidecar_ready(std::uint32_t sidecar) const override;
    CallId call(const CallSpec& spec, std::function<void(CallAnswer&&)> done) override;
    void hang_up(CallId call) override;

    std::uint64_t connections_opened() const { return connections_opened_; }

  private:
    class Instance;
    class Connection;
    struct NodeState {
        std::uint32_t starts = 0;
        bool up = false, cut = false;
        std::map<std::uint64_t, std::weak_ptr<Connection>> open;  // by number, in order
    };
    struct OpenCall {
        std::uint32_t sidecar = 0;
        std::string id;
        std::function<void(CallAnswer&&)> done;
    };
    void answer(CallId call, CallAnswer&& answer);
    void after(Duration wait, std::function<void()> what);
    NodeState& state(std::uint32_t node);

    VirtualTime& scheduler_;
    World& world_;
    Options options_;
    Duration delay_;
    std::vector<NodeState> nodes_;
    std::vector<std::unique_ptr<Instance>> instances_;  // by sidecar; empty: not running
    std::map<CallId, OpenCall> calls_;
    CallId last_call_ = 0;
    std::uint64_t last_connection_ = 0, connections_opened_ = 0, replies_ = 0;
};

struct VirtualPlay {
    Report report;
    std::uint64_t events = 0;       ///< timers that fired
    std::uint64_t connections = 0;  ///< opened to endpoints
};

/// Plays a scenario to its end. The same scenario and seed give the same report and the same lines of trace.
VirtualPlay play_virtual(const Scenario& scenario, std::uint64_t seed,
                         std::function<void(const std::string&)> trace = {},
                         VirtualTransport::Options options = {}, std::function<void(Duration)> progress = {});

}  // namespace martenford::emulator
