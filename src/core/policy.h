// The decision module as the engine sees it: events in, actions out.
#pragma once

#include <vector>

#include "martenford/decision/balancer.h"

namespace martenford {

class Policy {
  public:
    virtual ~Policy() = default;
    virtual void start(decision::Time now, std::vector<decision::Action>& out) = 0;
    virtual void handle(decision::Time now, const decision::Event& event,
                        std::vector<decision::Action>& out) = 0;
};

/// The policy used in production: decision::Balancer.
class BalancerPolicy : public Policy {
  public:
    /// Throws std::invalid_argument, as decision::validate() does.
    BalancerPolicy(const decision::Settings& settings, std::uint64_t seed) : balancer_(settings, seed) {}
    void start(decision::Time now, std::vector<decision::Action>& out) override { balancer_.start(now, out); }
    void handle(decision::Time now, const decision::Event& event,
                std::vector<decision::Action>& out) override {
        balancer_.handle(now, event, out);
    }

  private:
    decision::Balancer balancer_;
};

}  // namespace martenford
