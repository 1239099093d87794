// Carries an emulated fleet on real loopback sockets: real sidecar processes, endpoints and discovery that
// listen, and clients that connect, all of these in one loop of this process.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/loop.h"
#include "emulator/report.h"
#include "emulator/scenario.h"

namespace martenford::emulator {

struct SocketPlayOptions {
    std::string program;  ///< the sidecar's
    std::function<void(const std::string&)> trace;
    /// Once a second: the time since the start and how many requests are open.
    std::function<void(Duration, std::size_t)> progress;
    /// Each line that a sidecar logs, with its number; empty: they go nowhere.
    std::function<void(std::uint32_t, const std::string&)> log;
};

/// Plays a scenario to its end. Throws std::runtime_error where a sidecar can't be started or does not become
/// ready; one that ends by itself is a breach of the first rule.
Report play_sockets(const Scenario& scenario, std::uint64_t seed, const SocketPlayOptions& options);

}  // namespace martenford::emulator
