// Shows the decision module only those endpoints of a large tier that this sidecar is to use. Stands between
// the engine and the module, sees the events of both ways, and does no I/O.
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
    std::size_t width = 20;       ///< endpoints used while all is well
    std::size_t max_width = 160;  ///< and at most; bounds the connections of a fleet that fails as a whole
};

/// The window of `Method::Window`, kept up at a cost that grows with what changes and with the width. Own
/// zone first: it gets the whole width where its share of the endpoints is at least its share of the zones,
/// and otherwise as much of it as those two shares' ratio; the rest comes from the other zones together.
///
/// The width doubles at the end of a second in which over 30% of the outcomes were failures or turned away,
/// or in which more attempts were out than endpoints are used; after ten calm seconds a quarter of what was
/// added goes each second. The module is told an endpoint that is given up as gone, and its idle connections
/// are closed; what is out there goes on.
class SubsetPolicy : public Policy {
  public:
    /// `settings` are the sidecar's own; the module behind must have been given those of alone().
    SubsetPolicy(std::unique_ptr<Policy> next, const decision::Settings& settings, const Options& options,
                 Counters& counters);
    /// The same settings for a module that is to use all that it is shown.
    static decision::Settings single_replica_settings(decision::Settings settings);

    void start(decision::Time now, std::vector<decision::Action>& out) override;
    void handle(decision::Time now, const decision::Event& event,
                std::vector<decision::Action>& out) override;

    std::size_t width() const { return width_; }
    /// Those that the module may send to, in rising order.
    std::vector<decision::EndpointId> selected() const;

  private:
    using Id = decision::EndpointId;
    /// Ready endpoints of a zone, or of all others, in the order of a hash: the same at every sidecar.
    class Order {
      public:
        void insert(Id id);
        void erase(Id id);
        void clear() { ids_.clear(); }
        void assign(std::vector<Id>&& ids);
        std::size_t size() const { return ids_.size(); }
        Id operator[](std::size_t i) const { return ids_[i]; }

      private:
        // Ids alone: where one stands is computed from it. A change moves what lies behind, and 10,000 of
        // them fit into the nearest cache.
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
    std::unordered_map<Id, decision::Endpoint> members_;  // all that are listed
    Order near_, far_;
    std::vector<Id> selected_;                              // rising
    std::unordered_map<Id, decision::Endpoint> forwarded_;  // as the module knows them
    decision::Time period_end_{}, calm_since_{};
    std::size_t successes_ = 0, failures_ = 0, in_flight_ = 0, max_in_flight_ = 0;
    Counter &grown_, &shrunk_, &added_;
};

}  // namespace martenford::subset
