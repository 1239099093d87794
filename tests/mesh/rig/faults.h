// The faults of one play (a run of real processes, see play.h), drawn from its seed before it begins.
// Names: "core" is the controllers, "stall" a proxy's machine, "borne" the losses to be tolerated at once.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rig {

enum class FaultKind {
    // of a controller's machine
    Kill,
    Freeze,
    CutIn,
    CutOut,
    CutBoth,
    Wipe,               // killed, back with an empty disk
    Replace,            // killed for good; another comes at a new address
    TermReturn,         // SIGTERM, back with its disk
    TermReplace,        // SIGTERM for good
    KillAll,            // all controllers, back within a second
    WipeBorne,          // as many disks as may be lost at once, beginning with `machine`'s
    WipeBorneKillRest,  // and all others killed meanwhile
    // of a proxy's machine
    StallKill,
    StallFreeze,
    StallCut,
    StallTerm,    // its endpoint drains and ends first; a new instance of it comes
    EndpointDies  // and a new instance of it comes
};
const char* name_of(FaultKind kind);
/// Returns whether the fault is one of the control plane, not of one of its machines.
inline bool strikes_all(FaultKind kind) {
    return kind >= FaultKind::KillAll && kind <= FaultKind::WipeBorneKillRest;
}
inline bool strikes_proxy(FaultKind kind) {
    return kind >= FaultKind::StallKill;
}

struct Fault {
    FaultKind kind{};
    std::size_t machine = 0;
    Duration at{};     // from the start of the play
    Duration lasts{};  // until it is repaired
};

struct FaultOptions {
    std::size_t controllers = 3, proxies = 6;
    std::size_t borne = 1;  // controllers that may be lost at once
    Duration span{4s};
    Duration catch_up{2s};  // a machine that is back counts as lost for so long
    bool cuts = true;
    bool planned = false;  // nothing but SIGTERM, its machine coming back or another for it
};
std::vector<Fault> draw_faults(std::uint64_t seed, const FaultOptions& options);

}  // namespace martenford::rig
