// Requests by class: how many are under way and how each ended. The one place that counts them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/counters.h"
#include "martenford/decision/balancer.h"

namespace martenford {

class Tally {
  public:
    enum class End { Served, Refused, Failed };

    /// A request under way; it ends once. One that is dropped unended has failed.
    class Ticket {
      public:
        Ticket() = default;
        Ticket(Ticket&& other) noexcept
            : tally_(std::exchange(other.tally_, nullptr)), class_index_(other.class_index_) {}
        Ticket& operator=(Ticket&& other) noexcept {
            end(End::Failed);
            tally_ = std::exchange(other.tally_, nullptr);
            class_index_ = other.class_index_;
            return *this;
        }
        ~Ticket() { end(End::Failed); }
        void end(End how) {
            if (Tally* tally = std::exchange(tally_, nullptr)) tally->ended(class_index_, how);
        }

      private:
        friend class Tally;
        Ticket(Tally& tally, std::uint32_t class_index) : tally_(&tally), class_index_(class_index) {}
        Tally* tally_ = nullptr;
        std::uint32_t class_index_ = 0;
    };

    /// Outlives the tickets; `counters` outlives it.
    Tally(Counters& counters, const std::vector<decision::RequestClass>& classes) {
        for (const decision::RequestClass& c : classes) {
            by_class_.push_back(
                {&counters.counter("requests.served", "answered by an endpoint", c.name),
                 &counters.counter("requests.refused", "turned away: harmless to repeat", c.name),
                 &counters.counter("requests.failed", "failed: nothing is said of their effect", c.name)});
        }
        counters.gauge("requests.in_flight", "taken and not yet ended",
                       [this] { return static_cast<double>(in_flight_); });
    }
    Tally(const Tally&) = delete;
    Tally& operator=(const Tally&) = delete;

    Ticket open(std::uint32_t class_index) {
        ++in_flight_;
        return Ticket(*this, class_index);
    }
    std::uint64_t in_flight() const { return in_flight_; }

  private:
    struct Ends {
        Counter *served, *refused, *failed;
    };
    void ended(std::uint32_t class_index, End how) {
        --in_flight_;
        if (class_index >= by_class_.size()) return;
        const Ends& ends = by_class_[class_index];
        (how == End::Served ? ends.served : how == End::Refused ? ends.refused : ends.failed)->add();
    }
    std::vector<Ends> by_class_;
    std::uint64_t in_flight_ = 0;
};

}  // namespace martenford
