// Test double for the decision module behind another policy. Records the events it gets.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "core/policy.h"

namespace martenford::standins {

class RecordingPolicy : public Policy {
  public:
    /// What it received. Outlives the policy.
    struct Record {
        std::map<decision::EndpointId, decision::Endpoint> listed;
        std::size_t lists = 0, changes = 0, outcomes = 0;
        std::size_t endpoints_in_changes = 0;        ///< total number of entries in deltas
        std::vector<decision::Action> next_actions;  ///< returned at the next event
    };
    explicit RecordingPolicy(std::shared_ptr<Record> record) : record_(std::move(record)) {}
    void start(decision::Time, std::vector<decision::Action>&) override {}
    void handle(decision::Time, const decision::Event& event, std::vector<decision::Action>& out) override {
        using decision::DiscoveryUpdate;
        if (const auto* update = std::get_if<DiscoveryUpdate>(&event);
            update && update->kind != DiscoveryUpdate::Kind::Failed) {
            if (update->kind == DiscoveryUpdate::Kind::Delta) {
                ++record_->changes;
                record_->endpoints_in_changes += update->endpoints->size();
            } else {
                ++record_->lists;
                record_->listed.clear();
            }
            for (const auto& e : *update->endpoints) {
                if (e.availability == decision::Availability::Gone) {
                    record_->listed.erase(e.id);
                } else {
                    record_->listed[e.id] = e;
                }
            }
        }
        if (std::holds_alternative<decision::Outcome>(event)) ++record_->outcomes;
        for (auto& action : std::exchange(record_->next_actions, {})) out.push_back(std::move(action));
    }

  private:
    std::shared_ptr<Record> record_;
};

}  // namespace martenford::standins
