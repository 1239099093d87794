// The Raft state of this controller on its disk: opening, loading at the start, saving. Blocks for as long as
// the disk takes (docs/mesh.md, "Disk").
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "bootstrap/program.h"
#include "controller/initial_state.h"
#include "durable_store/durable_store.h"
#include "raft/raft_node.h"

namespace martenford::controller {

/// Bytes that LMDB maps, a limit on its file, not a reservation. The file holds at most two configurations
/// (rpc::kMaxDocumentBytes, 8 MB, each) and, while they are replaced, their old pages; the rest is headroom.
inline constexpr std::size_t kStoreMapBytes = std::size_t{96} * 1024 * 1024;

class RegisterStorage {
  public:
    /// @param began_empty see began_empty()
    RegisterStorage(std::unique_ptr<durable_store::DurableStore> store, bool began_empty)
        : store_(std::move(store)), began_empty_(began_empty) {}

    /// Returns nothing once `state` is synced to disk. After an error the previous state is still there.
    [[nodiscard]] std::optional<durable_store::StorageError> save(const raft::PersistentState& state);

    /// Whether the first state in this store was made on an empty disk: no vote and no entry was lost with an
    /// earlier one. False in the data directories of releases that did not record it.
    [[nodiscard]] bool began_empty() const { return began_empty_; }

  private:
    std::unique_ptr<durable_store::DurableStore> store_;
    bool began_empty_;
};

struct OpenedRegister {
    RegisterStorage storage;
    raft::PersistentState state;
};

/// Opens the store below `directory` and gives the state to start with, which is on disk when this returns.
/// A damaged store is set aside, and the controller starts as a new member. Logs what was found. A full disk,
/// or a directory that is not there yet, is waited for without end: a controller can do nothing without it.
/// At the first boot a missing directory is made, if its parent is there. Returns exit code 0 if SIGTERM or
/// SIGINT comes meanwhile.
[[nodiscard]] std::variant<OpenedRegister, bootstrap::ExitCode> open_register(
    const std::string& directory, const StartConditions& conditions);

}  // namespace martenford::controller
