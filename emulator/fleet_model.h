// A fleet of members in virtual time: each is the program's own fleet::Fleet, and what lies between them is
// modelled. For sizes that processes don't reach, and for every order of events from one seed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace martenford::emulator {

class FleetModel {
  public:
    struct Options {
        std::size_t members = 30;
        std::size_t seeds = 3;  ///< members that all know from the start
        std::uint64_t seed = 1;
        fleet::ProtocolOptions pace;
        Duration delay_least = 200us, delay_most = 2ms;  ///< one way
        double drop = 0.0;                               ///< share of messages that vanish
        std::size_t links = 32;                          ///< that a member holds: how many see its end
        bool count_bytes = false;                        ///< by making each frame: slow
    };
    /// What one member came to hold another to be.
    struct Seen {
        Time at{};
        std::size_t observer = 0, subject = 0;
        std::uint64_t boot = 0;
        fleet::State state = fleet::State::Alive;
    };
    struct Figures {
        std::uint64_t messages = 0, bytes = 0;
    };

    explicit FleetModel(const Options& options);

    void start(std::size_t member);
    void start_all(Duration within);
    void run_until(Time when);
    /// Until `so` holds, looked at every 20 ms; false where it does not within `most`.
    bool run_until(const std::function<bool()>& so, Duration most);
    Time now() const { return now_; }

    void kill(std::size_t member);
    void stall(std::size_t member, Duration length);
    void leave(std::size_t member);
    /// What the first says no longer reaches the second.
    void cut(std::size_t from, std::size_t to, bool cut = true);
    void cut_apart(const std::set<std::size_t>& group, bool cut = true);
    void set_drop(double share) { options_.drop = share; }
    /// A message from nowhere.
    void inject(std::size_t to, const fleet::Id& from, const std::string& address,
                const fleet::Message& message);

    std::size_t size() const { return members_.size(); }
    bool is_up(std::size_t member) const { return members_[member]->up; }
    bool stalled(std::size_t member) const { return members_[member]->stalled_until > now_; }
    fleet::Fleet& fleet(std::size_t member) { return *members_[member]->fleet; }
    /// Whether each member that is up holds just those that are up to be alive.
    bool all_agree() const;
    const std::vector<Seen>& seen() const { return seen_; }
    const Figures& figures() const { return figures_; }
    const std::vector<std::pair<std::size_t, fleet::FleetEvent>>& changes() const { return changes_; }
    static std::string address_of(std::size_t member) { return "10.0.0." + std::to_string(member) + ":7400"; }

  private:
    struct Member {
        std::unique_ptr<fleet::Fleet> fleet;
        bool up = false;
        Time stalled_until{};
        std::uint64_t starts = 0, tick_serial = 0;
        std::deque<std::size_t> links;  ///< the latest last
    };
    struct Event {
        Time at{};
        std::uint64_t serial = 0;
        std::size_t member = 0;
        std::uint64_t starts = 0;  ///< of the member that it is for; another start's is dropped
        std::function<void()> what;
        bool operator<(const Event& other) const {  // the queue gives the greatest first
            return at != other.at ? at > other.at : serial > other.serial;
        }
    };
    void add(Time when, std::size_t member, std::function<void()> what);
    void pump(std::size_t member);
    void carry(std::size_t from, fleet::Fleet::Outgoing&& send);
    void linked(std::size_t a, std::size_t b);
    Duration delay();
    double chance() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    Options options_;
    std::mt19937_64 random_;
    Time now_{1s};
    std::uint64_t serial_ = 0;
    std::vector<std::unique_ptr<Member>> members_;
    std::map<std::string, std::size_t> by_address_;
    std::map<std::string, std::size_t> by_name_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::priority_queue<Event> events_;
    std::vector<Seen> seen_;
    std::vector<std::pair<std::size_t, fleet::FleetEvent>> changes_;
    Figures figures_;
};

}  // namespace martenford::emulator
