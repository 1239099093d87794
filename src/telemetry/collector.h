// Builds request traces from the engine's events, keeps the relevant ones and explains bad requests.
// Single-threaded; it only observes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/endpoint_table.h"
#include "core/observer.h"
#include "telemetry/causes.h"
#include "telemetry/options.h"
#include "telemetry/sketch.h"
#include "telemetry/tail_sampler.h"

namespace martenford::telemetry {

/// Names for the numeric zones and kinds in the settings.
struct AttributeNames {
    std::vector<std::string> zones, kinds;
};

class Collector : public Observer {
  public:
    /// The references must outlive the collector. `seed` drives the sampling.
    Collector(const Scheduler& scheduler, const decision::Settings& settings, AttributeNames names,
              const Options& options, std::uint64_t seed, Counters& counters);

    /// Sets an endpoint's uid, as announced to the endpoint table.
    void name(EndpointId id, const std::string& uid);
    /// The endpoint is no longer listed, also if it merely disappeared from a complete list.
    void forget(EndpointId id) { endpoints_.erase(id); }

    void request_accepted(const decision::Request& request) override;
    void attempt_sent(const decision::RequestId& id, std::size_t attempt, EndpointId endpoint) override;
    void attempt_ended(const decision::RequestId& id, std::size_t attempt, decision::Status status) override;
    void request_completed(const decision::RequestId& id, RequestCounters::Outcome how,
                           CompletionReason why) override;
    void endpoints_listed(const decision::DiscoveryUpdate& news) override;

    /// Answers a console command: `why [SECONDS]`, `story ID`, `slowest N [CLASS]`, `latencies`. Returns
    /// nothing for other commands.
    std::optional<std::string> answer(std::string_view line) const;

    // ---- replies to operators, as lines
    /// What explains the bad requests and the bad attempts of the last `since`.
    std::string why(Duration since) const;
    /// The trace of one request; empty if it was not kept.
    std::string trace(const std::string& id) const;
    /// The slowest requests kept, of a class or of all; `max_count` at most.
    std::string slowest(std::size_t max_count, const std::string& klass) const;
    /// Latency quantiles by class.
    std::string latencies() const;

  private:
    struct EndpointInfo {
        std::string uid;
        std::uint32_t zone = 0, kind = 0;
    };
    struct OpenRequest {
        RequestTrace trace;
        std::uint32_t class_index = 0;
        std::string tenant;
        bool resent = false;
        std::vector<EndpointId> endpoints;      // by attempt
        std::vector<std::size_t> span_indices;  // by attempt: index of its span plus one; 0: none
        std::size_t out = 0;
        bool over = false;
    };
    void finish_if_over(const decision::RequestId& id);
    void keep(OpenRequest& open);
    const EndpointInfo& endpoint_info(EndpointId id) const;
    static std::string_view at(const std::vector<std::string>& names, std::uint32_t index);
    std::string format_trace(const RequestTrace& trace) const;

    const Scheduler& scheduler_;
    const decision::Settings& settings_;
    AttributeNames names_;
    CauseAnalyzer requests_, attempts_;
    TailSampler sampler_;
    std::vector<QuantileSketch> latencies_;                   // by class, since the start
    std::unordered_map<EndpointId, EndpointInfo> endpoints_;  // one per endpoint that discovery lists
    std::unordered_map<decision::RequestId, OpenRequest>
        open_requests_;  // one per request that the engine has open
    Counter &offered_, &kept_;
};

/// Passes endpoint names to the collector on their way to the endpoint table.
class EndpointNameTap : public EndpointTable {
  public:
    EndpointNameTap(EndpointTable& to, Collector& collector) : next_(to), collector_(collector) {}
    void set_name(EndpointId id, const std::string& uid) override {
        collector_.name(id, uid);
        next_.set_name(id, uid);
    }
    void set_endpoint(EndpointId id, const Address& address, bool ready) override {
        next_.set_endpoint(id, address, ready);
    }
    void remove(EndpointId id) override {
        collector_.forget(id);
        next_.remove(id);
    }

  private:
    EndpointTable& next_;
    Collector& collector_;
};

}  // namespace martenford::telemetry
