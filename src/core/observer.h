// Observes what the engine does with requests, without any influence on it.
#pragma once

#include <cstddef>

#include "core/request_counters.h"
#include "core/scheduler.h"
#include "martenford/decision/balancer.h"

namespace martenford {

class Observer {
  public:
    /// Why a request was completed, and by what.
    enum class CompletionReason {
        Endpoint,            ///< an endpoint answered
        Policy,              ///< the policy refused or failed it
        Journal,             ///< the journal could not record it
        Deadline,            ///< the policy did nothing before the deadline
        ClientDisconnected,  ///< its client disconnected
        BodyConsumed,        ///< its body was forwarded and freed, and cannot be sent again
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
