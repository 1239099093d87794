// Where endpoints are: discovery says so, a back goes by it.
#pragma once

#include <string>

#include "core/address.h"
#include "core/scheduler.h"

namespace martenford {

class EndpointTable {
  public:
    virtual ~EndpointTable() = default;
    /// Where an endpoint is. Connections to another address of its, and to one that drains, carry nothing
    /// new.
    virtual void set_endpoint(EndpointId id, const Address& address, bool ready) = 0;
    virtual void remove(EndpointId id) = 0;
    /// Its name in discovery, told before place().
    virtual void set_name(EndpointId, const std::string&) {}
};

}  // namespace martenford
