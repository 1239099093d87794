// The upstreams that a caller's proxy knows, and the choice among them: load balancing.
//
// An upstream is an endpoint together with the proxy beside it, its inbound proxy, which alone reaches it.
// The pool is updated from the registry (see upstream_table.h), from the outcomes of attempts, and from the
// queue lengths that inbound proxies send along with their answers.
//
// Pure: no I/O and no clock. Not thread safe; one event loop owns it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/policy.h"
#include "core/scheduler.h"
#include "policy/mechanics.h"

namespace martenford::outbound {

using decision::Duration;
using decision::EndpointId;
using decision::Status;
using decision::Time;

/// An endpoint and its inbound proxy, as the registry reports them.
struct Upstream {
    std::string service, zone;
    bool ready = false;          ///< takes new requests: neither absent nor draining
    bool lease_expired = false;  ///< the controllers don't hear its proxy: used only if nothing else is left
};

/// One attempt of a call: a message to an inbound proxy, which may pass the request on to its endpoint.
struct Attempt {
    EndpointId to{};
    bool in_flight = false;
    bool may_have_run = false;   ///< ended without proof that the endpoint did not get it
    bool upstream_lost = false;  ///< its proxy is gone or its lease has expired; the answer may still come
    bool delivered = false;      ///< the inbound proxy confirmed that it passed the request to the endpoint
    bool turned_away = false;    ///< the endpoint got it, and rejected it itself
    Time sent_at{};
    /// Set if this is no attempt to run the request, but a query to the inbound proxy whether that earlier
    /// attempt (by index) was ever passed on.
    std::optional<std::size_t> queries_attempt{};
};

/// What the choice of an upstream depends on besides the upstreams themselves. Refers to a call.
struct CallHistory {
    std::span<const Attempt> attempts;
    std::span<const EndpointId> rejected_by;  ///< upstreams that rejected it since the last attempt that ran
};

class UpstreamPool {
  public:
    /// `zone`: this proxy's own, preferred where load is equal.
    explicit UpstreamPool(std::string zone) : zone_(std::move(zone)) {}

    /// Adds an upstream or updates it. The service of an id never changes.
    void set(EndpointId id, const Upstream& upstream);
    void remove(EndpointId id);
    [[nodiscard]] bool contains(EndpointId id) const { return upstreams_.contains(id); }
    [[nodiscard]] bool any_ready() const;

    /// An inbound proxy reported how long a request would wait in its queue.
    void set_queue_wait(EndpointId id, Time now, Duration wait);
    void attempt_started(EndpointId id);
    /// Counts the attempt out, and avoids the upstream for a while after a failed or broken connection.
    void attempt_ended(EndpointId id, Status status, Time now);

    /// Two random choices: the upstream with fewer attempts of this proxy in flight, of two drawn at random
    /// from those that are ready. Nothing if none is left.
    [[nodiscard]] std::optional<EndpointId> pick_of_two(Time now, const std::string& service,
                                                        const CallHistory& history,
                                                        decision::Random& random) const;
    /// Of the upstreams that rejected the call for want of a slot, the one that reported the shortest queue.
    /// Nothing if none of the reports is recent enough.
    [[nodiscard]] std::optional<EndpointId> shortest_queue(Time now, const CallHistory& history) const;

  private:
    struct State {
        Upstream upstream;
        int in_flight = 0;        // attempts of this proxy
        Time avoid_until{};       // until then used only if nothing else is left
        Time queue_wait_since{};  // when queue_wait was reported
        Duration queue_wait{};
    };
    [[nodiscard]] std::vector<EndpointId> candidates(Time now, const std::string& service,
                                                     const CallHistory& history) const;
    [[nodiscard]] EndpointId less_loaded(EndpointId first, EndpointId second) const;

    std::string zone_;
    std::map<EndpointId, State> upstreams_;
    std::unordered_map<std::string, std::vector<EndpointId>> ids_by_service_;
};

}  // namespace martenford::outbound
