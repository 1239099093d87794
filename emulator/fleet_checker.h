// Reads the history of one play of a fleet and says what was wrong in it. Knows nothing of the protocol.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "emulator/fleet_rig.h"

namespace martenford::emulator {

/// Deaths that somebody missed: a member that was killed, and one that ran all the while and did not hold it
/// dead (or left) `within` that time.
std::vector<std::string> missed_deaths(const std::vector<FleetRig::Entry>& history, Duration within);

/// Members that were held dead by somebody who ran, for longer than `longest`, though they ran themselves and
/// were not stopped in the time before (`after_stop`). `excused`: whose links were cut.
std::vector<std::string> false_deaths(const std::vector<FleetRig::Entry>& history, Duration longest,
                                      Duration after_stop, const std::set<std::size_t>& excused = {});

}  // namespace martenford::emulator
