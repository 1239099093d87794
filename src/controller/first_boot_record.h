// A file beside the store that says that this machine has begun its part of the system's first start and has
// saved no state yet. The settings say `first_boot` once: a controller that ends before it has saved its
// first state, and is started again, has no other way to know that it is one of the first voters.
//
// As long as there is a record, no process of this machine has given a vote: it is on disk before the store
// is created, and gone before anything is sent.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "durable_store/durable_store.h"

namespace martenford::controller {

inline constexpr const char* kFirstBootFileName = "first_boot";

struct FirstBootRecord {
    std::vector<std::string> seed_addresses;  ///< "ip:port" of each first voter's RPC listener
};

/// Returns nothing if there is none, or if it is not whole.
[[nodiscard]] std::optional<FirstBootRecord> read_first_boot_record(const std::string& directory);
/// Returns nothing once the record is on disk. Whole or not at all, whatever happens meanwhile.
[[nodiscard]] std::optional<durable_store::StorageError> write_first_boot_record(
    const std::string& directory, const FirstBootRecord& record);
/// To be called once a state is saved: from then on the store alone says who this machine is. Returns nothing
/// once the record is gone for good.
[[nodiscard]] std::optional<durable_store::StorageError> remove_first_boot_record(
    const std::string& directory);

}  // namespace martenford::controller
