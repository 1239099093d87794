// Who is there: stalls and the endpoints beside them. Soft state: each stall tells its own place again and
// again, under a lease; a guildhall keeps the rolls and tells what changed; a stall reads them from several
// guildhalls. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rolls {

enum class State : std::uint8_t { Absent, Ready, Draining };  ///< of the endpoint beside a stall

/// A stall and the endpoint beside it, as the stall tells it.
struct Place {
    std::string node;        ///< the stall's machine, by name
    std::uint64_t life = 0;  ///< drawn at each start of the stall
    std::uint64_t seq = 0;   ///< rises with each change within a life
    std::string gate;        ///< "ip:port" where other stalls bring requests
    std::string service, zone;
    std::string instance;  ///< the endpoint's id; empty: none is known
    State state = State::Absent;
    std::uint32_t slots = 0;
    std::uint32_t cold_left_ms = 0;  ///< when it was told
    bool silent = false;             ///< its lease has run out: set by the guildhall that tells it
};

/// What has changed since a reader last asked.
struct News {
    std::uint64_t epoch = 0;  ///< of the guildhall's life; another one: `places` are all there are
    std::uint64_t seq = 0;
    bool whole = false;
    std::vector<Place> places;
    std::vector<std::string> gone;  ///< nodes
};

/// The rolls of one guildhall.
class Registry {
  public:
    struct Options {
        Duration lease = 1600ms;   ///< a stall that hasn't told for so long is silent
        Duration forget = 20s;     ///< and after this long it is gone
        std::size_t most = 20000;  ///< places; more are refused, and counted
    };
    Registry(std::uint64_t epoch, const Options& options) : epoch_(epoch), options_(options) {}

    /// True where something changed that readers are to hear of.
    bool told(Time now, const Place& place);
    /// Leases that have run out. True as above.
    bool tick(Time now);
    /// What a reader that has `seq` of `epoch` lacks.
    News news(std::uint64_t epoch, std::uint64_t seq) const;
    std::uint64_t seq() const { return seq_; }
    std::uint64_t epoch() const { return epoch_; }
    /// Stalls heard of within their lease.
    std::size_t live() const;
    std::size_t size() const { return held_.size(); }
    std::uint64_t refused() const { return refused_; }
    template <class F>
    void each(F&& f) const {
        for (const auto& [node, held] : held_) f(held.place);
    }

  private:
    struct Held {
        Place place;
        Time told{};
        std::uint64_t changed = 0;  // our seq when it last did
        std::uint64_t life_before = 0;
    };
    void touch(Held& held);

    const std::uint64_t epoch_;
    Options options_;
    std::uint64_t seq_ = 1;
    std::uint64_t refused_ = 0;
    std::map<std::string, Held> held_;
    std::map<std::uint64_t, std::string> gone_;  // by seq; the oldest are dropped: then readers get all
    std::uint64_t gone_up_to_ = 0;
    Time last_tick_{};
};

/// The rolls as a stall has them from several guildhalls.
class View {
  public:
    struct Known {
        Place place;
        std::set<std::string> silent_at;  ///< guildhalls that have it as silent
        std::set<std::string> known_at;
        Time told{};
        bool silent = false;  ///< all that know it say so
        std::uint64_t life_before = 0;
    };
    /// News from a guildhall. Gives the nodes that changed.
    std::vector<std::string> take(Time now, const std::string& guildhall, const News& news);
    /// A guildhall that isn't heard any more has no say on who is silent.
    std::vector<std::string> lost(const std::string& guildhall);
    const std::map<std::string, Known>& all() const { return known_; }

  private:
    bool settle(Known& known);
    std::map<std::string, Known> known_;
};

}  // namespace martenford::rolls
