// Starting the helper that blocks where the sidecar must not: a process of its own, at one end of a socket.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace martenford {

/// Where martenford-ledger is unless the configuration says otherwise.
std::string default_helper_path();

/// Starts `words` with `descriptor` as its 3, and nothing else of this process's open. -1: it can't be
/// started.
pid_t start_helper(std::vector<std::string> arguments, int descriptor);

}  // namespace martenford
