// The seam between an emulated fleet and what carries its messages: simulated time or real sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/scheduler.h"
#include "emulator/scenario.h"

namespace martenford::emulator {

/// A request to a sidecar: from a client, or from an endpoint to its own.
struct CallSpec {
    std::string id;
    std::uint32_t sidecar = 0;  ///< over the whole fleet
    std::uint32_t class_index = 0;
    std::string key;     ///< of the operation; the same for a repeat
    Duration timeout{};  ///< told to the sidecar
    bool retried = false;
};

struct CallAnswer {
    enum class Kind { Served, Refused, Failed, Broken, Unreachable };
    Kind kind = Kind::Failed;  ///< Broken: the connection ended without one; Unreachable: none came up
    std::string body;
};

/// An attempt whose last byte has reached an endpoint.
struct AttemptSpec {
    std::string id;
    std::uint32_t node = 0;
    Duration timeout{};  ///< told by the sidecar
    Time first_byte{};
    bool fresh = false;     ///< the first on its connection
    bool over_cap = false;  ///< on a connection too many
};

struct AttemptReply {
    enum class Kind { Served, Error, TurnedAway, Spoilt, Reset };
    Kind kind = Kind::Error;
    std::string body;
};

class Transport {
  public:
    using CallId = std::uint64_t;
    virtual ~Transport() = default;

    /// An endpoint begins to take connections.
    virtual void node_up(std::uint32_t node) = 0;
    /// It ends: its connections are reset and new ones refused.
    virtual void node_down(std::uint32_t node) = 0;
    /// Cut off: what is open falls silent and what is new never comes up; back: what was open is reset.
    virtual void node_cut(std::uint32_t node, bool cut) = 0;

    virtual void sidecar_up(std::uint32_t sidecar) = 0;
    virtual void sidecar_killed(std::uint32_t sidecar) = 0;
    /// It is told, under load, to go on at another discovery.
    virtual void sidecar_reload(std::uint32_t sidecar) = 0;
    /// It stands still, or goes on. In virtual time it has no effect: requests there know no such pause.
    virtual void sidecar_stopped(std::uint32_t, bool) {}
    /// A fault of links between sidecars begins or ends. In virtual time no request depends on them.
    virtual void links_changed(const EventSpec&, const std::vector<std::uint32_t>&, bool) {}
    virtual bool sidecar_ready(std::uint32_t sidecar) const = 0;

    /// `done` is called once unless the caller hangs up, and never before this returns.
    virtual CallId call(const CallSpec& spec, std::function<void(CallAnswer&&)> done) = 0;
    virtual void hang_up(CallId call) = 0;
};

}  // namespace martenford::emulator
