// The Raft state that a controller starts with: the state on its disk, the first voters at the first boot of
// the system, or that of a new member without a vote. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "durable_store/durable_store.h"
#include "raft/raft_node.h"

namespace martenford::controller {

/// What the settings say about the start.
struct StartConditions {
    std::string own_address;                  ///< "ip:port" of this controller's RPC listener
    std::vector<std::string> seed_addresses;  ///< the same of every seed
    bool first_boot = false;                  ///< the system as a whole has never run
    /// This machine has begun its first start and saved no state, so it has given no vote: whatever is in the
    /// store is the rest of an attempt to create it.
    bool first_boot_incomplete = false;
};

enum class StateOrigin {
    Loaded,     ///< the disk's records
    FirstBoot,  ///< the seeds are the first voters
    NewMember   ///< no vote until the leader adds this one: its votes, if it had any, are lost
};

enum class StorageDamage {
    None,
    UnreadableRecord,    ///< the file is damaged, or a record fails its checksum
    InconsistentRecords  ///< each can be read, together they are no state
};

struct InitialState {
    raft::PersistentState state;
    StateOrigin origin = StateOrigin::NewMember;
    StorageDamage damage = StorageDamage::None;
};

/// Decides which state to start with. `new_member_id` is a random id, used if the disk has none and this
/// machine is no seed of a first boot. A state whose origin is not Loaded must be saved before it is used.
/// Damaged records don't count as a first boot unless that is known to be incomplete: a voter that forgot its
/// vote could vote twice in one term.
[[nodiscard]] InitialState initial_state(const durable_store::LoadResult& loaded,
                                         const StartConditions& conditions, raft::MemberId new_member_id);

}  // namespace martenford::controller
