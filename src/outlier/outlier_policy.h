// Remembers failures of endpoints that this sidecar seldom hears of: the module's view of an endpoint fades
// in some tens of seconds, and one that is asked once a minute is new to it each time. Stands between the
// engine and the module like a subset, and does no I/O.
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
    std::uint32_t failure_threshold = 3;      ///< that eject an endpoint; a served call takes one off
    decision::Duration min_failure_gap{};     ///< failures closer than this count once; 0: 10 s
    decision::Duration base_ejection_time{};  ///< the first time, then twice as long each time; 0: 60 s
    decision::Duration max_ejection_time{};   ///< 0: 10 min
    double max_ejected_share = 1.0 / 3.0;     ///< of the ready endpoints that may be out at once
};

/// The module is told an ejected endpoint as draining, so that what is out there goes on and nothing new
/// follows; then as it is listed. The first failure after that ejects again. A new start of the endpoint
/// clears it.
class OutlierPolicy : public Policy {
  public:
    OutlierPolicy(std::unique_ptr<Policy> next, const Options& options, Counters& counters);

    void start(decision::Time now, std::vector<decision::Action>& out) override { next_->start(now, out); }
    void handle(decision::Time now, const decision::Event& event,
                std::vector<decision::Action>& out) override;

    /// Others have ejected it: it is on its last failure here, and each call that it serves takes one off.
    /// What they say alone ejects nothing.
    void note_peer_ejection(decision::EndpointId id);
    /// Called with an endpoint that was ejected here, and its failures.
    void on_ejected(std::function<void(decision::EndpointId, std::uint32_t)> call) {
        on_ejected_ = std::move(call);
    }
    bool ejected(decision::EndpointId id) const;
    std::size_t ejected_now() const { return ejected_; }

  private:
    struct Record {
        decision::Endpoint listed;
        std::uint32_t failure_count = 0;  // failures, less what was served
        std::uint32_t ejections = 0;      // ejected, less what was served since
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
        readmissions_due_;  // what is no longer out is passed over
    std::function<void(decision::EndpointId, std::uint32_t)> on_ejected_;
    Counter &ejections_, &readmissions_, &suppressed_, &peer_ejections_;
};

}  // namespace martenford::outlier
