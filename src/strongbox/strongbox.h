// What must outlive a loss of power, in LMDB: one record with its checksum. It blocks: a save takes as long
// as the disk takes to sync, and the loop waits for it (docs/mesh.md, "Disk").
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace martenford::strongbox {

/// Why the disk did not do it; `full`: for want of room.
struct Trouble {
    std::string what;
    bool full = false;
};

/// What was found at a start.
struct Found {
    std::string record;    ///< empty: none yet
    bool damaged = false;  ///< there is one, and it can't be read: as good as lost
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
    /// On disk, in whole, once this returns nothing; else the record before it still stands.
    std::variant<std::monostate, Trouble> save(const std::string& record);

  private:
    struct Impl;
    explicit Strongbox(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

}  // namespace martenford::strongbox
