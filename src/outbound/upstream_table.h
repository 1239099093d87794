// What the registry mean for a caller's stall: which gates there are, and when work that is out at one is
// taken back. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quay/quay.h"
#include "registry/registry.h"

namespace martenford::quay {

class Berths {
  public:
    struct Step {
        enum class Kind {
            Place,     ///< there is this gate, as it is told here
            Remove,    ///< nothing new goes there; what is out there ends by itself
            Withdraw,  ///< what is out there and may be repeated goes elsewhere: its stall is dead or silent
        };
        Kind kind = Kind::Place;
        EndpointId id{};
        Berth berth{};           ///< Place
        std::string gate{};      ///< Place: "ip:port"
        std::string instance{};  ///< Place: the endpoint's id
        std::uint64_t life = 0;  ///< Place: of the stall's process
    };
    /// The nodes have changed in the registry.
    std::vector<Step> apply(const registry::RegistryView& view, const std::vector<std::string>& nodes);

  private:
    struct Held {
        EndpointId id{};
        std::string key;
        std::uint64_t life = 0;
        bool silent = false;
    };
    std::map<std::string, Held> held_;
    std::uint32_t last_ = 0;
};

}  // namespace martenford::quay
