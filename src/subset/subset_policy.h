// Restricts the decision module to this sidecar's subset of a large tier. A policy decorator between the
// engine and the module: it filters the events and actions of both directions and does no I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/counters.h"
#include "core/policy.h"

namespace martenford::subset {

struct Options {
    std::size_t width = 20;       ///< endpoints used in normal operation
    std::size_t max_width = 160;  ///< upper limit; bounds the connections when a whole fleet fails
};

/// Maintains the subset of `Method::Window` incrementally, at a cost that depends on the size of a change and
/// on the width. The sidecar's own zone comes first: it gets the whole width if its share of the endpoints is
/// at least 1/zones, and otherwise a proportional part of it; the rest comes from all other zones together.
///
/// The width doubles at the end of a second in which over 30% of the attempts failed or were rejected, or in
/// which more attempts were in flight than endpoints are used. After ten calm seconds it shrinks by a quarter
/// of what was added each second. An endpoint that leaves the subset is reported to the module as gone and
/// its idle connections are closed; attempts in flight continue.
class SubsetPolicy : public Policy {
  public:
    /// `settings` are the sidecar's own; `next` must have been built with single_replica_settings().
    SubsetPolicy(std::unique_ptr<Policy> next, const decision::Settings& settings, const Options& options,
                 Counters& counters);
    /// The same settings for a module that uses every endpoint it is given.
    static decision::Settings single_replica_settings(decision::Settings settings);

    void start(decision::Time now, std::vector<decision::Action>& out) override;
    void handle(decision::Time now, const decision::Event& event,
                std::vector<decision::Action>& out) override;

    std::size_t width() const { return width_; }
    /// Endpoints that the module may use, in ascending order.
    std::vector<decision::EndpointId> selected() const;

  private:
    using Id = decision::EndpointId;
    /// Ready endpoints of the own zone or of all others, sorted by hash: the same order at every sidecar.
    class Order {
      public:
        void insert(Id id);
        void erase(Id id);
        void clear() { ids_.clear(); }
        void assign(std::vector<Id>&& ids);
        std::size_t size() const { return ids_.size(); }
        Id operator[](std::size_t i) const { return ids_[i]; }

      private:
        // Only ids, since the hash is computed from the id. A change moves all entries behind it, and 10,000
        // ids fit into the L1 cache.
        std::vector<Id> ids_;
    };
    Order& zone_order(const decision::Endpoint& e) { return e.zone == zone_ ? near_ : far_; }
    decision::DiscoveryUpdate filter_update(const decision::DiscoveryUpdate& update,
                                            std::vector<decision::Action>& out);
    void select();
    void apply_selection(decision::EndpointList& changes, std::vector<decision::Action>& out);
    void evaluate_period(decision::Time now, std::vector<decision::Action>& out);

    std::unique_ptr<Policy> next_;
    std::uint32_t position_, replicas_, zone_, zones_;
    Options options_;
    std::size_t width_;
    std::unordered_map<Id, decision::Endpoint> members_;  // all listed endpoints
    Order near_, far_;
    std::vector<Id> selected_;                              // ascending
    std::unordered_map<Id, decision::Endpoint> forwarded_;  // as last sent to the module
    decision::Time period_end_{}, calm_since_{};
    std::size_t successes_ = 0, failures_ = 0, in_flight_ = 0, max_in_flight_ = 0;
    Counter &grown_, &shrunk_, &added_;
};

}  // namespace martenford::subset
