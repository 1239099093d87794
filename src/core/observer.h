// Sees what the engine does with requests, and changes nothing of it.
#pragma once

#include <cstddef>

#include "core/request_counters.h"
#include "core/scheduler.h"
#include "martenford/decision/balancer.h"

namespace martenford {

class Observer {
  public:
    /// Who answered a request, where no endpoint did.
    enum class CompletionReason {
        Endpoint,            ///< an endpoint did
        Policy,              ///< the decision module: turned away, or given up on
        Journal,             ///< the journal could not take it
        Deadline,            ///< the module had not spoken by its deadline
        ClientDisconnected,  ///< its client left
        BodyConsumed,        ///< its body had been passed on and can't go again
    };

    virtual ~Observer() = default;
    virtual void request_accepted(const decision::Request& request) = 0;
    virtual void attempt_sent(const decision::RequestId& id, std::size_t attempt, EndpointId endpoint) = 0;
    virtual void attempt_ended(const decision::RequestId& id, std::size_t attempt,
                               decision::Status status) = 0;
    virtual void request_completed(const decision::RequestId& id, RequestCounters::Outcome outcome,
                                   CompletionReason reason) = 0;
    virtual void endpoints_listed(const decision::DiscoveryUpdate& news) = 0;
};

}  // namespace martenford
