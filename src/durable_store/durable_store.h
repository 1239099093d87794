// What must outlive a loss of power, in LMDB: a few records by name, each with its checksum, changed
// together. It blocks: a save takes as long as the disk takes to sync, and the loop waits for it
// (docs/mesh.md, "Disk").
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace martenford::durable_store {

/// Why the disk did not do it; `full`: for want of room.
struct StorageError {
    std::string message;
    bool disk_full = false;
};

using Records = std::map<std::string, std::string>;

/// What was found at a start.
struct LoadResult {
    Records records;       ///< none: nothing was saved yet, or it is damaged
    bool damaged = false;  ///< there are some, and one can't be read: as good as lost
};

class DurableStore {
  public:
    /// Opens or makes the file below `directory`, which exists. `most` bytes are mapped.
    static std::variant<std::unique_ptr<DurableStore>, StorageError> open(const std::string& directory,
                                                                          std::size_t most);
    ~DurableStore();
    DurableStore(const DurableStore&) = delete;
    DurableStore& operator=(const DurableStore&) = delete;

    LoadResult load();
    /// Makes `records` all that there is: writes those that are new or other than before, removes the rest.
    /// On disk, in whole, once this returns nothing; else what was there before still stands.
    std::variant<std::monostate, StorageError> save(const Records& records);

  private:
    struct Impl;
    DurableStore(std::string directory, std::size_t most, std::unique_ptr<Impl> impl);
    std::string directory_;
    std::size_t map_bytes_;
    std::unique_ptr<Impl> impl_;  // nothing: it broke, and is opened again with the next save
};

}  // namespace martenford::durable_store
