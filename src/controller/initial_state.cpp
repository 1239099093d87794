#include "controller/initial_state.h"

#include "mesh_config/mesh_config.h"
#include "rpc/messages.h"

namespace martenford::controller {
namespace {

/// At the first boot all controllers are given the same seeds, so each computes the same ids from the same
/// addresses without talking to the others. Odd, hence never 0.
raft::Member first_voter(const std::string& address) {
    constexpr std::uint32_t kDigestSeed = 1;  // part of every id on disk: never changed
    return {mesh_config::digest(address, kDigestSeed) | 1, address};
}

raft::PersistentState first_boot_state(const StartConditions& conditions, raft::MemberId new_member_id) {
    raft::PersistentState state;
    state.self_id = new_member_id;
    for (const std::string& address : conditions.seed_addresses) {
        const raft::Member voter = first_voter(address);
        state.last_entry.voters.push_back(voter);
        if (address == conditions.own_address) state.self_id = voter.id;
    }
    state.committed_entry = state.last_entry;
    return state;
}

}  // namespace

InitialState initial_state(const durable_store::LoadResult& loaded, const StartConditions& conditions,
                           raft::MemberId new_member_id) {
    InitialState initial;
    if (loaded.damaged) {
        initial.damage = StorageDamage::UnreadableRecord;
    } else if (!loaded.records.empty()) {
        const auto state = rpc::from_records(loaded.records);
        if (state && state->self_id != 0) return {*state, StateOrigin::Loaded, StorageDamage::None};
        initial.damage = StorageDamage::InconsistentRecords;
    }
    const bool is_intact = initial.damage == StorageDamage::None;
    if (conditions.first_boot_incomplete || (conditions.first_boot && is_intact))
        return {first_boot_state(conditions, new_member_id), StateOrigin::FirstBoot, initial.damage};
    initial.origin = StateOrigin::NewMember;
    initial.state.self_id = new_member_id;
    return initial;
}

}  // namespace martenford::controller
