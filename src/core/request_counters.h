// Requests by class: how many are under way and how each ended. The one place that counts them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/counters.h"
#include "martenford/decision/balancer.h"

namespace martenford {

class RequestCounters {
  public:
    enum class Outcome { Served, Refused, Failed };

    /// A request under way; it ends once. One that is dropped unended has failed.
    class Ticket {
      public:
        Ticket() = default;
        Ticket(Ticket&& other) noexcept
            : counters_(std::exchange(other.counters_, nullptr)), class_index_(other.class_index_) {}
        Ticket& operator=(Ticket&& other) noexcept {
            end(Outcome::Failed);
            counters_ = std::exchange(other.counters_, nullptr);
            class_index_ = other.class_index_;
            return *this;
        }
        ~Ticket() { end(Outcome::Failed); }
        void end(Outcome outcome) {
            if (RequestCounters* request_counters = std::exchange(counters_, nullptr))
                request_counters->ended(class_index_, outcome);
        }

      private:
        friend class RequestCounters;
        Ticket(RequestCounters& request_counters, std::uint32_t class_index)
            : counters_(&request_counters), class_index_(class_index) {}
        RequestCounters* counters_ = nullptr;
        std::uint32_t class_index_ = 0;
    };

    /// Outlives the tickets; `counters` outlives it.
    RequestCounters(Counters& counters, const std::vector<decision::RequestClass>& classes) {
        for (const decision::RequestClass& c : classes) {
            by_class_.push_back(
                {&counters.counter("requests.served", "answered by an endpoint", c.name),
                 &counters.counter("requests.refused", "turned away: harmless to repeat", c.name),
                 &counters.counter("requests.failed", "failed: nothing is said of their effect", c.name)});
        }
        counters.gauge("requests.in_flight", "taken and not yet ended",
                       [this] { return static_cast<double>(in_flight_); });
    }
    RequestCounters(const RequestCounters&) = delete;
    RequestCounters& operator=(const RequestCounters&) = delete;

    Ticket open(std::uint32_t class_index) {
        ++in_flight_;
        return Ticket(*this, class_index);
    }
    std::uint64_t in_flight() const { return in_flight_; }

  private:
    struct Ends {
        Counter *served, *refused, *failed;
    };
    void ended(std::uint32_t class_index, Outcome outcome) {
        --in_flight_;
        if (class_index >= by_class_.size()) return;
        const Ends& ends = by_class_[class_index];
        (outcome == Outcome::Served    ? ends.served
         : outcome == Outcome::Refused ? ends.refused
                                       : ends.failed)
            ->add();
    }
    std::vector<Ends> by_class_;
    std::uint64_t in_flight_ = 0;
};

}  // namespace martenford
