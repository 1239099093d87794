// What several files of Fleet share.
#pragma once

#include <cstddef>
#include <cstdint>

#include "fleet/fleet.h"

namespace martenford::fleet {

inline constexpr std::size_t kRecoveryWitnesses = 2;   // members to hear from before recovery ends
inline constexpr std::size_t kUpdatesPerMessage = 32;  // with a ping, an ack or a round of gossip: some 2 KiB
/// Deaths closer together than this are reported as one event.
inline constexpr Duration kDeathSettleTime = 1s;
inline constexpr std::uint32_t kMinIndirectStreak = 2;  // a single lost message is not a broken link

/// Removes the address, zone and version from an update that reports no live member. Its receivers know them
/// already or have no use for them. Most updates are of this kind, and they are half as long without the
/// details.
inline MemberUpdate without_details(MemberUpdate update) {
    if (update.state == State::Alive) return update;
    update.address.clear();
    update.zone.clear();
    update.version.clear();
    return update;
}

}  // namespace martenford::fleet
