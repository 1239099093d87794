// Which of the configuration versions that controllers offer a proxy accepts. Pure.
#pragma once

#include <cstdint>
#include <optional>

#include "core/scheduler.h"

namespace martenford::proxy {

/// Accepted versions only rise. A proxy without a configuration, which has just started, accepts a first one
/// at once only from a controller with quorum contact: in a partition, a controller in the minority answers
/// as fast as the others, with an outdated version. After a wait any controller will do, since there may be
/// none with quorum contact (all were restarted at once).
class ConfigVersionGate {
  public:
    /// @param first_config_wait from the first offer on; longer than some round trips and a leader's
    /// heartbeat interval.
    explicit ConfigVersionGate(Duration first_config_wait) : first_config_wait_(first_config_wait) {}

    /// Returns true if the version is to be put in force. Starts the wait if this is the first offer.
    /// @param current the version in force; 0: none
    [[nodiscard]] bool accepts(Time now, std::uint32_t current, std::uint32_t offered,
                               bool has_quorum_contact) {
        if (offered <= current) return false;
        if (current != 0 || has_quorum_contact) return true;
        if (!first_offer_at_) first_offer_at_ = now;
        return now - *first_offer_at_ >= first_config_wait_;
    }

  private:
    Duration first_config_wait_;
    std::optional<Time> first_offer_at_;
};

}  // namespace martenford::proxy
