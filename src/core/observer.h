// Sees what the engine does with requests, and changes nothing of it.
#pragma once

#include <cstddef>

#include "core/scheduler.h"
#include "core/tally.h"
#include "martenford/decision/balancer.h"

namespace martenford {

class Observer {
  public:
    /// Who answered a request, where no endpoint did.
    enum class Why {
        Endpoint,  ///< an endpoint did
        Module,    ///< the decision module: turned away, or given up on
        Journal,   ///< the journal could not take it
        Deadline,  ///< the module had not spoken by its deadline
        Client,    ///< its client left
        Spent,     ///< its body had been passed on and can't go again
    };

    virtual ~Observer() = default;
    virtual void taken(const decision::Request& request) = 0;
    virtual void sent(const decision::RequestId& id, std::size_t attempt, EndpointId endpoint) = 0;
    virtual void ended(const decision::RequestId& id, std::size_t attempt, decision::Status status) = 0;
    virtual void completed(const decision::RequestId& id, Tally::End how, Why why) = 0;
    virtual void listed(const decision::DiscoveryUpdate& news) = 0;
};

}  // namespace martenford
