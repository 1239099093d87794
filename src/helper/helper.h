// Starts the helper process, which does the blocking work that the sidecar must not do, at one end of a
// socket.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace martenford {

/// The path of martenford-ledger unless the configuration names another: next to this program.
std::string default_helper_path();

/// Starts `arguments` with `descriptor` as its file descriptor 3 and no other descriptor of this process
/// open. Returns -1 if it cannot be started.
pid_t start_helper(std::vector<std::string> arguments, int descriptor);

}  // namespace martenford
