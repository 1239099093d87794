// What must outlive a loss of power, in LMDB: a few records by name, each with its checksum, changed
// together. It blocks: a save takes as long as the disk takes to sync, and the loop waits for it
// (docs/mesh.md, "Disk").
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace martenford::strongbox {

/// Why the disk did not do it; `full`: for want of room.
struct Trouble {
    std::string what;
    bool full = false;
};

using Records = std::map<std::string, std::string>;

/// What was found at a start.
struct Found {
    Records records;       ///< none: nothing was saved yet, or it is damaged
    bool damaged = false;  ///< there are some, and one can't be read: as good as lost
};

class Strongbox {
  public:
    /// Opens or makes the file below `directory`, which exists. `most` bytes are mapped.
    static std::variant<std::unique_ptr<Strongbox>, Trouble> open(const std::string& directory,
                                                                  std::size_t most);
    ~Strongbox();
    Strongbox(const Strongbox&) = delete;
    Strongbox& operator=(const Strongbox&) = delete;

    Found load();
    /// Makes `records` all that there is: writes those that are new or other than before, removes the rest.
    /// On disk, in whole, once this returns nothing; else what was there before still stands.
    std::variant<std::monostate, Trouble> save(const Records& records);

  private:
    struct Impl;
    Strongbox(std::string directory, std::size_t most, std::unique_ptr<Impl> impl);
    std::string directory_;
    std::size_t most_;
    std::unique_ptr<Impl> impl_;  // nothing: it broke, and is opened again with the next save
};

}  // namespace martenford::strongbox
