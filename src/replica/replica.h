// One sidecar's copy of what all of a fleet know: writes, what others say, how copies find where they differ,
// how one that was away catches up, and when tombstones may go. Pure: time and messages come in, messages
// and changes go out; no socket, clock, disk or thread. The ways weighed are in docs/state.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduler.h"
#include "fleet/wire.h"
#include "replica/entry.h"
#include "replica/holding.h"
#include "replica/hybrid_clock.h"
#include "replica/message.h"
#include "replica/options.h"
#include "replica/tables.h"

namespace martenford::replica {

struct Other {
    fleet::Id id;
    std::string address;
};

/// Who else there is, as the fleet has it.
class Company {
  public:
    Company() = default;
    Company(const Company&) = delete;
    Company& operator=(const Company&) = delete;
    virtual ~Company() = default;
    /// Up to so many live others, by chance, those with a link first.
    virtual std::vector<Other> some(std::size_t count) = 0;
    /// Live members, this one among them.
    virtual std::size_t live() const = 0;
    /// The same with those that are gone and may return.
    virtual std::size_t known() const = 0;
};

/// How far a write must have got before its writer is told that it has.
struct Reach {
    std::size_t others = 0;
    bool majority = false;  ///< of those alive, instead of `others`
    Duration within = 2s;
};

struct Write {
    Name name;
    bool deleted = false;
    Value value;
    Wall expires = 0;
    std::string reason;
};

enum class Refusal : std::uint8_t { None, NoTable, TooLong, Full, Clock, NotGreater, NotDeletable, NotThere };
const char* text_of(Refusal refusal);

class Replica {
  public:
    struct Send {
        Other to;
        Message message;
    };
    struct Ticket {
        Refusal refusal = Refusal::None;
        std::uint64_t number = 0;  ///< of the outcome that will come
    };
    /// How far a write is known to have got.
    struct Outcome {
        std::uint64_t ticket = 0;
        std::size_t got = 0, wanted = 0;  ///< others
        bool reached = false;             ///< not so: it may have got further than is known
    };
    /// What this copy learnt.
    struct Learnt {
        Wall at = 0;
        Name name;
        enum class What : std::uint8_t { Written, Deleted, Beside, Dropped } what = What::Written;
        std::string by, text, reason;
    };
    struct Figures {
        std::uint64_t writes = 0, merged = 0, pushes = 0, repairs = 0, pages = 0, ahead = 0, made_up = 0,
                      full = 0, purged = 0, dropped = 0, bytes = 0, skipped = 0;
    };
    /// Kept to be shown: `history`.
    static constexpr std::size_t kMostLearnt = 2'000;

    Replica(const Pace& pace, fleet::Id self, Company& company, std::uint64_t seed);

    Time next() const;
    void tick(Time now, Wall wall);
    /// From a member whose name and address its link gives.
    void receive(Time now, Wall wall, const Other& from, const Message& message);

    Ticket write(Time now, Wall wall, Write write, const Reach& reach = {});

    const Entry* find(const Name& name) const;
    /// What stands under the name; nothing where it is absent, deleted or expired.
    const Version* get(const Name& name, Wall wall) const;
    /// All of a table, by key; empty `table`: of all.
    template <class Each>
    void each(const std::string& table, Each&& what) const {
        const auto& all = held_.entries();
        for (auto it = all.lower_bound({table, {}}); it != all.end(); ++it) {
            if (!table.empty() && it->first.table != table) break;
            what(it->first, it->second.entry);
        }
    }
    /// Of a table, those whose key begins so.
    template <class Each>
    void each_under(const Name& first, Each&& what) const {
        const auto& all = held_.entries();
        for (auto it = all.lower_bound(first); it != all.end(); ++it) {
            if (it->first.table != first.table || !it->first.key.starts_with(first.key)) break;
            what(it->first, it->second.entry);
        }
    }
    std::size_t size() const { return held_.entries().size(); }
    std::size_t size_of(const std::string& table) const { return held_.size_of(table); }
    std::size_t waiting() const { return dirty_.size(); }
    const std::deque<Learnt>& learnt() const { return learnt_; }
    /// Whether it has, since its start, had all that another had.
    bool caught_up() const { return caught_up_; }
    bool fetching() const { return fetch_.has_value(); }
    Stamp horizon() const { return horizon_; }
    /// Alike where two copies hold the same.
    Digests::Sum digest() const { return held_.digests().of(0, 0); }
    const Figures& figures() const { return figures_; }
    /// The last whose clock was too far ahead, and by how much.
    const std::optional<std::pair<std::string, Duration>>& ahead() const { return ahead_; }
    const fleet::Id& self() const { return self_; }

    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::vector<Outcome> take_outcomes() { return std::exchange(outcomes_, {}); }
    /// Names whose worth may have changed.
    std::set<Name> take_changes() { return std::exchange(changes_, {}); }

    /// As a disk kept it, before the first tick. Dots are not reused: the writer is this process.
    /// The same when it has begun.
    void absorb(Wall wall, Stamp horizon, const std::vector<Named>& entries);
    void restore(Stamp horizon, std::vector<Named> entries, Wall wall);

  private:
    struct Pending {  ///< a write that has to get somewhere
        Name name;
        std::size_t wanted = 0;
        std::set<fleet::Id> asked, got;
        Time deadline{}, ask_at{};
    };
    struct Fetch {
        std::uint64_t cursor = 0;
        Other giver;
        Time asked{};
        Time again{};
        std::size_t pages = 0;
    };
    enum class From { Here, Push, Repair };

    bool room_for(const Name& name, std::size_t times) const;
    void put(const Name& name, Entry entry);
    void erase(const Name& name);
    void make_dirty(const Name& name);
    bool take(Wall wall, const Named& entry, Stamp horizon, From from);
    void learn(Wall wall, const Name& name, const Entry& entry, const Entry* before);
    void note(Learnt learnt);
    void flush(Time now);
    void ask(Time now, std::uint64_t ticket, Pending& pending);
    void compare(Time now);
    void compared(Time now, Wall wall, const Other& from, const Message& message);
    struct Answer;
    void listed(Wall wall, const Message& message, const Range& range, Answer& answer);
    void descend(std::uint32_t level, std::uint64_t prefix, Answer& answer) const;
    void list(std::uint32_t level, std::uint64_t prefix, Message& reply) const;
    void give(Time now, const Other& to, const std::vector<Name>& names);
    void give_page(Time now, const Other& to, std::uint64_t from);
    void begin_fetch(Time now, const Other& from);
    void ask_page(Time now);
    void took_page(Time now, Wall wall, const Other& from, const Message& message);
    void agreed() { caught_up_ = true; }
    void advance(Time now, Wall wall);
    void purge(Time now);
    bool afford(Time now, std::size_t bytes, bool bulk);
    void send(const Other& to, Message message);
    std::uint64_t draw(std::uint64_t below) { return below ? random_() % below : 0; }

    const Pace pace_;
    const fleet::Id self_;
    Company& company_;
    std::mt19937_64 random_;
    HybridClock clock_;
    std::uint64_t count_ = 0, ticket_ = 0;

    Holding held_;

    struct Dirty {
        std::size_t told = 0;
        std::uint64_t serial = 0;
    };
    std::map<Name, Dirty> dirty_;
    std::set<std::pair<std::uint64_t, Name>> dirty_order_;
    std::uint64_t serial_ = 0;

    std::map<std::uint64_t, Pending> pending_;
    std::optional<Fetch> fetch_;
    std::optional<Other> compare_with_;
    Time started_{}, flush_at_{}, compare_at_{}, advance_at_{};
    std::optional<Time> majority_since_;
    Stamp horizon_ = 0;
    std::optional<Name> purge_from_;
    Time purge_at_{};
    bool caught_up_ = false;
    double credit_ = 0.0;  ///< bytes that may be sent
    Time credited_{};

    std::vector<Send> sends_;
    std::vector<Outcome> outcomes_;
    std::set<Name> changes_;
    std::deque<Learnt> learnt_;
    std::optional<std::pair<std::string, Duration>> ahead_;
    Figures figures_;
};

}  // namespace martenford::replica
