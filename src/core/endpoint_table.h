// The addresses of endpoints: service discovery sets them, an EndpointClient connects to them.
#pragma once

#include <string>

#include "core/address.h"
#include "core/scheduler.h"

namespace martenford {

class EndpointTable {
  public:
    virtual ~EndpointTable() = default;
    /// Sets an endpoint's address. Connections to its earlier address, and to an endpoint that is draining
    /// (not `ready`), carry no new requests.
    virtual void set_endpoint(EndpointId id, const Address& address, bool ready) = 0;
    virtual void remove(EndpointId id) = 0;
    /// Sets the endpoint's name in discovery; called before set_endpoint().
    virtual void set_name(EndpointId, const std::string&) {}
};

}  // namespace martenford
