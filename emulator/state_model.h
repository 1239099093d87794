// Copies of the replicated state in virtual time: each is the program's own replica::Replica, and what lies
// between them is modelled. For sizes that processes don't reach, and for every order of events from a seed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "replica/replica.h"

namespace martenford::emulator {

class StateModel {
  public:
    struct Options {
        std::size_t members = 5;
        std::uint64_t seed = 1;
        replica::ReplicationSettings pace;
        Duration delay_least = 200us, delay_most = 2ms;  ///< one way
        double drop = 0.0, duplicate = 0.0;              ///< shares of messages
        bool count_bytes = false;                        ///< by making each message's bytes, and reading them
    };
    struct Figures {
        std::uint64_t messages = 0, bytes = 0;
    };

    explicit StateModel(const Options& options);

    void start(std::size_t member) { start(member, 0, {}); }
    /// From a disk that kept these.
    void start(std::size_t member, replica::Timestamp horizon, std::vector<replica::NamedEntry> entries);
    void start_all();
    /// With all that it held.
    void kill(std::size_t member);
    /// As killed and started from a disk that kept it all.
    void restart_with_disk(std::size_t member);
    /// These and the others no longer reach each other; who is cut off is soon held to be gone.
    void partition(const std::set<std::size_t>& group);
    void heal() { partition({}); }
    void set_drop(double drop) { options_.drop = drop; }
    void set_clock(std::size_t member, std::int64_t ahead_ms) { members_[member]->ahead_ms = ahead_ms; }
    void run_for(Duration time);
    /// Until `so` holds, looked at every 10 ms; false where it does not within `most`.
    bool run_until(const std::function<bool()>& so, Duration most);

    Time now() const { return now_; }
    replica::WallTime wall(std::size_t member) const;
    replica::Replica& copy(std::size_t member) { return *members_[member]->copy; }
    bool is_up(std::size_t member) const { return members_[member]->copy != nullptr; }
    std::size_t size() const { return members_.size(); }
    replica::Replica::Ticket put(std::size_t member, const std::string& table, const std::string& key,
                                 const std::string& text, const replica::WriteConcern& reach = {},
                                 replica::WallTime expires = 0);
    replica::Replica::Ticket write(std::size_t member, replica::Write write,
                                   const replica::WriteConcern& reach = {});
    replica::Replica::Ticket remove(std::size_t member, const std::string& table, const std::string& key);
    /// In words; "-" where there is none.
    std::string get(std::size_t member, const std::string& table, const std::string& key);
    bool all_equal() const;
    /// Of a ticket; nothing yet.
    const replica::Replica::Outcome* outcome(std::size_t member, std::uint64_t ticket) const;
    const Figures& figures() const { return figures_; }

  private:
    struct Member : replica::PeerDirectory {
        StateModel* model = nullptr;
        std::size_t number = 0;
        std::unique_ptr<replica::Replica> copy;
        std::uint64_t starts = 0, tick_serial = 0;
        std::int64_t ahead_ms = 0;
        std::vector<replica::Replica::Outcome> outcomes;

        std::vector<replica::Peer> sample(std::size_t count) override;
        std::size_t live_count() const override;
        std::size_t known_count() const override { return model->members_.size(); }
    };
    struct Event {
        Time at{};
        std::uint64_t serial = 0;
        std::size_t member = 0;
        std::uint64_t starts = 0;
        std::function<void()> what;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : serial > other.serial;
        }
    };
    bool reaches(std::size_t a, std::size_t b) const {
        return is_up(a) && is_up(b) && apart_.contains(a) == apart_.contains(b);
    }
    replica::Peer other(std::size_t member) const;
    void add(Time when, std::size_t member, std::function<void()> what);
    void pump(std::size_t member);
    double chance() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    Options options_;
    std::mt19937_64 random_;
    Time now_{1s};
    std::uint64_t serial_ = 0;
    std::vector<std::unique_ptr<Member>> members_;
    std::set<std::size_t> apart_;
    std::priority_queue<Event> events_;
    Figures figures_;
};

}  // namespace martenford::emulator
