// martenford state: asks a running sidecar, where operators call, about what all of its fleet share, and
// writes it.
#pragma once

#include <cstdint>
#include <string>

namespace martenford {

struct StateOptions {
    std::string what;     ///< tables, get, put, delete, settle, conflicts, history, diff or self
    std::string console;  ///< its address; otherwise PROXY_CONSOLE
    std::string table, key, value, reason;
    std::string other;            ///< diff: another sidecar's console
    std::string reach = "0";      ///< others that must have it, or "majority"
    std::uint32_t within_s = 2;   ///< until then
    std::uint32_t expires_s = 0;  ///< 0: never
    bool json = false;
};

/// Prints what the sidecar says. Gives the exit code: 0, 1 where it said no or nothing or copies differ, 2
/// where the words are off, 3 where a write did not get as far as was asked in time, and may have got further
/// than is known.
int run_state(const StateOptions& options);

}  // namespace martenford
