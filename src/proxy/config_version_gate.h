// Which configuration that a controller offers a proxy takes. Pure.
#pragma once

#include <cstdint>
#include <optional>

#include "core/scheduler.h"

namespace martenford::proxy {

/// Versions only rise. A proxy that has none yet, having just started, waits a moment for a controller that
/// hears a leader: in a cut of the core one that was cut off answers as fast as the others, with what it had.
/// Where nobody hears a leader (all were restarted at once), what there is serves.
class ConfigVersionGate {
  public:
    /// `patience`: some round trips and a leader's heartbeat.
    explicit ConfigVersionGate(Duration patience) : patience_(patience) {}
    bool accepts(Time now, std::uint32_t held, std::uint32_t offered, bool in_touch) {
        if (offered <= held) return false;
        if (held != 0 || in_touch) return true;
        if (!first_offer_) first_offer_ = now;
        return now - *first_offer_ >= patience_;
    }

  private:
    Duration patience_;
    std::optional<Time> first_offer_;
};

}  // namespace martenford::proxy
