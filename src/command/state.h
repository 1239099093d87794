// martenford state: reads and writes the state that a fleet shares, through the console of a running sidecar.
#pragma once

#include <cstdint>
#include <string>

namespace martenford {

struct StateOptions {
    std::string what;     ///< tables, get, put, delete, settle, conflicts, history, diff or self
    std::string console;  ///< console address; default: PROXY_CONSOLE
    std::string table, key, value, reason;
    std::string other;            ///< diff: the other sidecar's console
    std::string reach = "0";      ///< how many other sidecars must have the entry, or "majority"
    std::uint32_t within_s = 2;   ///< time limit for reaching them
    std::uint32_t expires_s = 0;  ///< 0: never
    bool json = false;
};

/// Prints the reply. Returns the exit code: 0; 1 if the sidecar refused or did not reply, or the copies
/// differ; 2 for invalid arguments; 3 if a write did not reach as many sidecars as requested in time (it may
/// have reached more than is known).
int run_state(const StateOptions& options);

}  // namespace martenford
