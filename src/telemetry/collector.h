// Makes stories out of what the engine does, keeps those that matter, and explains. One thread; it changes
// nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/observer.h"
#include "core/placement.h"
#include "telemetry/causes.h"
#include "telemetry/options.h"
#include "telemetry/sketch.h"
#include "telemetry/tail_sampler.h"

namespace martenford::telemetry {

/// The names behind the settings' numbers.
struct NamesOfNumbers {
    std::vector<std::string> zones, kinds;
};

class Collector : public Observer {
  public:
    /// Both references outlive it. `seed`: of the samples.
    Collector(const Scheduler& scheduler, const decision::Settings& settings, NamesOfNumbers names,
              const Options& options, std::uint64_t seed, Counters& counters);

    /// An endpoint's uid, as the placement hears it.
    void name(EndpointId id, const std::string& uid);
    /// It is listed no more, also where a whole list left it out without a word.
    void forget(EndpointId id) { nodes_.erase(id); }

    void taken(const decision::Request& request) override;
    void sent(const decision::RequestId& id, std::size_t attempt, EndpointId endpoint) override;
    void ended(const decision::RequestId& id, std::size_t attempt, decision::Status status) override;
    void completed(const decision::RequestId& id, Tally::End how, Why why) override;
    void listed(const decision::DiscoveryUpdate& news) override;

    /// A call of an operator: `why [SECONDS]`, `story ID`, `slowest N [CLASS]`, `latencies`; nothing where it
    /// is none.
    std::optional<std::string> answer(std::string_view line) const;

    // ---- what people ask, in lines
    /// What explains the bad requests and the bad attempts of the last `since`.
    std::string why(Duration since) const;
    /// The story of one request; empty: it is not kept.
    std::string story(const std::string& id) const;
    /// The slowest of a class that are kept, or of all; `most` of them.
    std::string slowest(std::size_t most, const std::string& klass) const;
    /// Quantiles of the time to an answer, by class.
    std::string latencies() const;

  private:
    struct Node {
        std::string uid;
        std::uint32_t zone = 0, kind = 0;
    };
    struct Open {
        Story story;
        std::uint32_t class_index = 0;
        std::string tenant;
        bool resent = false;
        std::vector<EndpointId> endpoints;  // by attempt
        std::vector<std::size_t> steps;     // and where it stands in the story
        std::size_t out = 0;
        bool over = false;
    };
    void forget_if_over(const decision::RequestId& id);
    void keep(Open& open);
    const Node& node(EndpointId id) const;
    static std::string_view at(const std::vector<std::string>& names, std::uint32_t index);
    std::string tell(const Story& story) const;

    const Scheduler& scheduler_;
    const decision::Settings& settings_;
    NamesOfNumbers names_;
    Causes requests_, attempts_;
    TailSampler stories_;
    std::vector<Sketch> latencies_;                       // by class, since the start
    std::unordered_map<EndpointId, Node> nodes_;          // as many as discovery lists
    std::unordered_map<decision::RequestId, Open> open_;  // as many as the engine has
    Counter &offered_, &kept_;
};

/// Hears the names of endpoints on their way to a back.
class NamesTap : public Placement {
  public:
    NamesTap(Placement& to, Collector& collector) : to_(to), collector_(collector) {}
    void name(EndpointId id, const std::string& uid) override {
        collector_.name(id, uid);
        to_.name(id, uid);
    }
    void place(EndpointId id, const Address& address, bool ready) override { to_.place(id, address, ready); }
    void remove(EndpointId id) override {
        collector_.forget(id);
        to_.remove(id);
    }

  private:
    Placement& to_;
    Collector& collector_;
};

}  // namespace martenford::telemetry
