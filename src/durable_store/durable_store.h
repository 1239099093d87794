// A controller's storage: a few named records in one LMDB file, each with a checksum, replaced together and
// durable across a loss of power. The operations block the calling thread: save() takes as long as the disk
// takes to sync (docs/mesh.md, "Disk"). One process and one thread use a directory at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace martenford::durable_store {

/// The file in the data directory. The name dates from the mesh's first release and means the replicated
/// register's value and Raft state. It must not change: a controller that did not find its file would come
/// back as a new member.
constexpr char kDatabaseFileName[] = "word.mdb";

/// Damaged files that set_aside() keeps for a person; a later one replaces the last of them.
constexpr int kMaxDamagedFiles = 3;

/// Why an operation on the disk failed.
struct StorageError {
    enum class Code : std::uint8_t {
        DiskFull,  ///< no room on the disk, in the quota or in the map
        Damaged,   ///< the file is not a usable LMDB database
        Other      ///< anything else, such as an I/O error or missing permission
    };
    Code code = Code::Other;
    std::string_view operation;  ///< the failed step, a string literal: "open", "check", "save"
    std::string message;         ///< operation and LMDB's text, for the log
};

/// @param operation a string literal
/// @param code an errno, or one of LMDB's codes
[[nodiscard]] StorageError storage_error(std::string_view operation, int code);

/// Records by key. A key is at most 511 bytes long (LMDB's limit) and not empty.
using Records = std::map<std::string, std::string>;

struct LoadResult {
    Records records;       ///< empty if nothing was saved yet, or if `damaged`
    bool damaged = false;  ///< the file or a record is damaged: none of the records can be relied on
};

class DurableStore {
  public:
    using OpenResult = std::variant<std::unique_ptr<DurableStore>, StorageError>;
    using SaveResult = std::variant<std::monostate, StorageError>;

    /// Opens kDatabaseFileName below `directory`, which must exist, or creates it. Syncs what is there before
    /// it returns. `map_size_bytes` is the most that the file may grow to; a larger file makes saves fail
    /// with DiskFull. A damaged file is left as it is: load() says so, and save() fails.
    [[nodiscard]] static OpenResult open(const std::string& directory, std::size_t map_size_bytes);

    /// Makes a file that holds `records`, in place of the one that is there, and opens it. After an error, or
    /// a loss of power at any moment, the file from before is there: none that is written in part.
    [[nodiscard]] static OpenResult create(const std::string& directory, std::size_t map_size_bytes,
                                           const Records& records);

    /// Returns whether `directory` has a file, whatever is in it.
    [[nodiscard]] static bool exists(const std::string& directory);

    /// Removes the file for good.
    [[nodiscard]] static std::optional<StorageError> remove(const std::string& directory);

    /// Renames the file, so that a person can look at it and create() finds none. Returns its new name.
    [[nodiscard]] static std::variant<std::string, StorageError> set_aside(const std::string& directory);

    /// Returns whether set_aside() has left a file in `directory`.
    [[nodiscard]] static bool has_damaged_files(const std::string& directory);

    ~DurableStore();
    DurableStore(const DurableStore&) = delete;
    DurableStore& operator=(const DurableStore&) = delete;

    /// Reads all records and checks their checksums.
    [[nodiscard]] LoadResult load();

    /// Replaces all records by `records`: writes those that are new or changed and removes the others. Atomic
    /// and on disk when it returns std::monostate; on an error the records from before remain. After an error
    /// the next save opens the file anew.
    [[nodiscard]] SaveResult save(const Records& records);

  private:
    class Database;

    DurableStore(std::string directory, std::size_t map_size_bytes, std::unique_ptr<Database> database);

    std::string directory_;
    std::size_t map_size_bytes_;
    std::unique_ptr<Database>
        database_;  // null if the file is damaged, and after a failed save until the next one
};

}  // namespace martenford::durable_store
