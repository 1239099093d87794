// The faults of one play, drawn from its seed before it begins.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rig {

enum class FaultKind {
    // of a guildhall's machine
    Kill,
    Freeze,
    CutIn,
    CutOut,
    CutBoth,
    Wipe,         // killed, back with an empty disk
    Replace,      // killed for good; another comes at a new address
    TermReturn,   // SIGTERM, back with its disk
    TermReplace,  // SIGTERM for good
    KillAll,      // all of the core, back within a second
    // of a stall's machine
    StallKill,
    StallFreeze,
    StallCut,
    StallTerm,    // its endpoint drains and ends first; a new life of it comes
    EndpointDies  // and a new life of it comes
};
const char* name_of(FaultKind kind);

struct Fault {
    FaultKind kind{};
    std::size_t machine = 0;
    Duration at{};     // from the play's begin
    Duration lasts{};  // until it is mended
};

struct FaultOptions {
    std::size_t guildhalls = 3, stalls = 6;
    std::size_t borne = 1;  // guildhalls that may be lost at once
    Duration span{4s};
    Duration catch_up{2s};  // a machine that is back counts as lost for so long
    bool cuts = true;
};
std::vector<Fault> draw_faults(std::uint64_t seed, const FaultOptions& options);

}  // namespace martenford::rig
