// A note beside the store that this machine has begun its part of the system's first start. The settings say
// `first_boot` once: a controller that ends before it has saved its first state, and is started again, has no
// other way to know that it is one of the first voters.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace martenford::controller {

inline constexpr const char* kFirstBootFileName = "first_boot";

struct FirstBootRecord {
    std::vector<std::string> seed_addresses;  ///< "ip:port" of each first voter's RPC listener
};

/// Returns nothing if there is none, or if it is not whole.
[[nodiscard]] std::optional<FirstBootRecord> read_first_boot_record(const std::string& directory);
/// Whole or not at all if the process ends meanwhile. Not synced: the record outlives the process, not a loss
/// of power. Errors are ignored, as the record only matters if the process ends in the next milliseconds.
void write_first_boot_record(const std::string& directory, const FirstBootRecord& record);
/// To be called once a state is saved: from then on the store alone says who this machine is.
void remove_first_boot_record(const std::string& directory);

}  // namespace martenford::controller
