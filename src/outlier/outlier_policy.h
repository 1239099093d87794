// Outlier ejection for endpoints that this sidecar seldom calls. The module's own health statistics fade
// within some tens of seconds, so it has forgotten an endpoint that gets one call a minute before the next
// one. A policy decorator between the engine and the module, like SubsetPolicy; it does no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/counters.h"
#include "core/policy.h"

namespace martenford::outlier {

struct Options {
    std::uint32_t failure_threshold = 3;      ///< failures that eject an endpoint; a success takes one off
    decision::Duration min_failure_gap{};     ///< failures closer together than this count once; 0: 10 s
    decision::Duration base_ejection_time{};  ///< first ejection; doubles with each further one; 0: 60 s
    decision::Duration max_ejection_time{};   ///< upper limit of an ejection; 0: 10 min
    double max_ejected_share = 1.0 / 3.0;     ///< share of the ready endpoints that may be ejected at once
};

/// An ejected endpoint is shown to the module as draining, so that attempts in flight continue and no new
/// ones are sent, and then as listed again. The first failure after its readmission ejects it again. A
/// restart of the endpoint clears its record.
class OutlierPolicy : public Policy {
  public:
    OutlierPolicy(std::unique_ptr<Policy> next, const Options& options, Counters& counters);

    void start(decision::Time now, std::vector<decision::Action>& out) override { next_->start(now, out); }
    void handle(decision::Time now, const decision::Event& event,
                std::vector<decision::Action>& out) override;

    /// Other sidecars have ejected the endpoint: one more failure here ejects it, and each success takes one
    /// failure off. Reports of others alone eject nothing.
    void note_peer_ejection(decision::EndpointId id);
    /// Sets a callback for ejections by this sidecar. It gets the endpoint and its failure count.
    void on_ejected(std::function<void(decision::EndpointId, std::uint32_t)> call) {
        on_ejected_ = std::move(call);
    }
    bool ejected(decision::EndpointId id) const;
    std::size_t ejected_now() const { return ejected_; }

  private:
    struct Record {
        decision::Endpoint listed;
        std::uint32_t failure_count = 0;  // failures minus successes
        std::uint32_t ejections = 0;  // ejections in a row; reset once successes have cleared the failures
        decision::Time last_counted{};
        bool is_listed = false;
        bool ejected = false;
        decision::Time until{};
    };
    decision::DiscoveryUpdate filter_update(const decision::DiscoveryUpdate& update);
    decision::Endpoint as_presented(Record& record, const decision::Endpoint& listed);
    void record_outcome(decision::Time now, const decision::Outcome& outcome,
                        std::vector<decision::Action>& out);
    void readmit(decision::Time now, std::vector<decision::Action>& out);
    void update_next(decision::Time now, const decision::Endpoint& endpoint,
                     std::vector<decision::Action>& out);

    std::unique_ptr<Policy> next_;
    Options options_;
    std::unordered_map<decision::EndpointId, Record> records_;
    std::size_t ready_ = 0, ejected_ = 0;
    using ReadmissionDue = std::pair<decision::Time, decision::EndpointId>;
    std::priority_queue<ReadmissionDue, std::vector<ReadmissionDue>, std::greater<>>
        readmissions_due_;  // stale entries are skipped
    std::function<void(decision::EndpointId, std::uint32_t)> on_ejected_;
    Counter &ejections_, &readmissions_, &suppressed_, &peer_ejections_;
};

}  // namespace martenford::outlier
