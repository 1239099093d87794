// The fault schedule of one play, drawn from its seed before it starts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rig {

enum class FaultKind {
    // of one controller
    Kill,
    Freeze,  // SIGSTOP, then SIGCONT
    CutIn,   // a partition of one direction
    CutOut,
    CutBoth,
    Wipe,         // killed, restarted with an empty disk
    Replace,      // killed and removed; another one starts at a new address
    TermReturn,   // SIGTERM, restarted with its disk
    TermReplace,  // SIGTERM and removed; another one starts at a new address
    // of all controllers
    KillAll,                // restarted within a second
    WipeTolerated,          // the tolerated number of disks is wiped, from that of
                            // `machine` on
    WipeToleratedKillRest,  // and all other machines, the proxies' too, are killed at the same time
    // of one proxy
    ProxyKill,
    ProxyFreeze,
    ProxyCut,
    ProxyTerm,    // its endpoint drains and stops first; then both are restarted
    EndpointDies  // the endpoint alone stops, and is restarted as a new instance
};
/// Returns the kind's name in logs.
const char* name_of(FaultKind kind);
/// Returns true if the fault is one of all controllers.
inline bool affects_all_controllers(FaultKind kind) {
    return kind >= FaultKind::KillAll && kind <= FaultKind::WipeToleratedKillRest;
}
/// Returns true if the fault is one of a proxy or its endpoint.
inline bool affects_proxy(FaultKind kind) {
    return kind >= FaultKind::ProxyKill;
}

struct Fault {
    FaultKind kind{};
    std::size_t machine = 0;  // index of the controller or proxy
    Duration starts{};        // from the start of the play
    Duration lasts{};         // until it is repaired
};

struct FaultOptions {
    std::size_t controllers = 3, proxies = 6;
    std::size_t tolerated_failures = 1;  // controllers that may be lost at once
    Duration fault_window{4s};           // in which faults start
    Duration catch_up{2s};               // a restarted machine counts as lost for this long
    bool partitions = true;              // whether links can be cut here
    bool planned_only = false;           // only SIGTERM, followed by a restart or a replacement
};
/// Returns the faults by start time. The same seed and options give the same
/// faults.
std::vector<Fault> draw_faults(std::uint64_t seed, const FaultOptions& options);

}  // namespace martenford::rig
