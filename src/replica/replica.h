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
#include "replica/entry_store.h"
#include "replica/hybrid_clock.h"
#include "replica/message.h"
#include "replica/options.h"
#include "replica/tables.h"

namespace martenford::replica {

struct Peer {
    fleet::Id id;
    std::string address;
};

/// Who else there is, as the fleet has it.
class PeerDirectory {
  public:
    PeerDirectory() = default;
    PeerDirectory(const PeerDirectory&) = delete;
    PeerDirectory& operator=(const PeerDirectory&) = delete;
    virtual ~PeerDirectory() = default;
    /// Up to so many live others, by chance, those with a link first.
    virtual std::vector<Peer> sample(std::size_t count) = 0;
    /// Live members, this one among them.
    virtual std::size_t live_count() const = 0;
    /// The same with those that are gone and may return.
    virtual std::size_t known_count() const = 0;
};

/// How far a write must have got before its writer is told that it has.
struct WriteConcern {
    std::size_t acks = 0;
    bool majority = false;  ///< of those alive, instead of `others`
    Duration timeout = 2s;
};

struct Write {
    EntryName name;
    bool deleted = false;
    Value value;
    WallTime expires = 0;
    std::string reason;
};

enum class WriteError : std::uint8_t {
    None,
    UnknownTable,
    TooLong,
    TableFull,
    ClockSkew,
    NotGreater,
    NotDeletable,
    NotFound
};
const char* text_of(WriteError error);

class Replica {
  public:
    struct Outgoing {
        Peer to;
        Message message;
    };
    struct Ticket {
        WriteError error = WriteError::None;
        std::uint64_t number = 0;  ///< of the outcome that will come
    };
    /// How far a write is known to have got.
    struct Outcome {
        std::uint64_t ticket = 0;
        std::size_t acks = 0, acks_required = 0;  ///< others
        bool reached = false;                     ///< not so: it may have got further than is known
    };
    /// What this copy learnt.
    struct HistoryRecord {
        WallTime at = 0;
        EntryName name;
        enum class Kind : std::uint8_t { Written, Deleted, Concurrent, Dropped } kind = Kind::Written;
        std::string written_by, text, reason;
    };
    struct Stats {
        std::uint64_t writes = 0, merged = 0, pushes = 0, repairs = 0, pages = 0, ahead = 0, invalid = 0,
                      table_full = 0, purged = 0, dropped = 0, bytes = 0, throttled = 0;
    };
    /// Kept to be shown: `history`.
    static constexpr std::size_t kMaxHistory = 2'000;

    Replica(const ReplicationSettings& settings, fleet::Id self, PeerDirectory& peers, std::uint64_t seed);

    Time next() const;
    void tick(Time now, WallTime wall_time);
    /// From a member whose name and address its link gives.
    void receive(Time now, WallTime wall_time, const Peer& from, const Message& message);

    Ticket write(Time now, WallTime wall_time, Write write, const WriteConcern& concern = {});

    const Entry* find(const EntryName& name) const;
    /// What stands under the name; nothing where it is absent, deleted or expired.
    const Version* get(const EntryName& name, WallTime wall_time) const;
    /// All of a table, by key; empty `table`: of all.
    template <class Each>
    void for_each(const std::string& table, Each&& visit) const {
        const auto& all = store_.entries();
        for (auto it = all.lower_bound({table, {}}); it != all.end(); ++it) {
            if (!table.empty() && it->first.table != table) break;
            visit(it->first, it->second.entry);
        }
    }
    /// Of a table, those whose key begins so.
    template <class Each>
    void for_each_with_prefix(const EntryName& first, Each&& visit) const {
        const auto& all = store_.entries();
        for (auto it = all.lower_bound(first); it != all.end(); ++it) {
            if (it->first.table != first.table || !it->first.key.starts_with(first.key)) break;
            visit(it->first, it->second.entry);
        }
    }
    std::size_t size() const { return store_.entries().size(); }
    std::size_t size_of(const std::string& table) const { return store_.size_of(table); }
    std::size_t queued_pushes() const { return push_queue_.size(); }
    const std::deque<HistoryRecord>& history() const { return history_; }
    /// Whether it has, since its start, had all that another had.
    bool caught_up() const { return caught_up_; }
    bool fetching() const { return fetch_.has_value(); }
    Timestamp horizon() const { return horizon_; }
    /// Alike where two copies hold the same.
    Digests::Sum digest() const { return store_.digests().sum_of(0, 0); }
    const Stats& stats() const { return stats_; }
    /// The last whose clock was too far ahead, and by how much.
    const std::optional<std::pair<std::string, Duration>>& ahead() const { return ahead_; }
    const fleet::Id& self() const { return self_; }

    std::vector<Outgoing> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<Outcome> take_outcomes() { return std::exchange(outcomes_, {}); }
    /// Names whose worth may have changed.
    std::set<EntryName> take_changed_names() { return std::exchange(changed_names_, {}); }

    /// As a disk kept it, before the first tick. Dots are not reused: the writer is this process.
    /// The same when it has begun.
    void merge_from_disk(WallTime wall_time, Timestamp horizon, const std::vector<NamedEntry>& entries);
    void restore(Timestamp horizon, std::vector<NamedEntry> entries, WallTime wall_time);

  private:
    struct PendingWrite {  ///< a write that has to get somewhere
        EntryName name;
        std::size_t acks_required = 0;
        std::set<fleet::Id> asked, acked;
        Time deadline{}, retry_at{};
    };
    struct Fetch {
        std::uint64_t cursor = 0;
        Peer source;
        Time asked_at{};
        Time retry_at{};
        std::size_t pages = 0;
    };
    enum class Source { Local, Push, Repair };

    bool has_room_for(const EntryName& name, std::size_t times) const;
    void put(const EntryName& name, Entry entry);
    void erase(const EntryName& name);
    void queue_push(const EntryName& name);
    bool merge_remote(WallTime wall_time, const NamedEntry& entry, Timestamp horizon, Source source);
    void record_changes(WallTime wall_time, const EntryName& name, const Entry& entry, const Entry* before);
    void add_to_history(HistoryRecord record);
    void flush(Time now);
    void request_acks(Time now, std::uint64_t ticket, PendingWrite& pending);
    void start_comparison(Time now);
    void handle_ranges(Time now, WallTime wall_time, const Peer& from, const Message& message);
    struct ComparisonReply;
    void compare_summaries(WallTime wall_time, const Message& message, const Range& range,
                           ComparisonReply& out);
    void descend(std::uint32_t level, std::uint64_t prefix, ComparisonReply& out) const;
    void add_summaries(std::uint32_t level, std::uint64_t prefix, Message& reply) const;
    void send_repairs(Time now, const Peer& to, const std::vector<EntryName>& names);
    void send_page(Time now, const Peer& to, std::uint64_t from);
    void start_fetch(Time now, const Peer& from);
    void request_page(Time now);
    void handle_page(Time now, WallTime wall_time, const Peer& from, const Message& message);
    void mark_caught_up() { caught_up_ = true; }
    void advance_horizon(Time now, WallTime wall_time);
    void purge(Time now);
    bool spend_budget(Time now, std::size_t bytes, bool bulk);
    void send(const Peer& to, Message message);
    std::uint64_t random_below(std::uint64_t below) { return below ? random_() % below : 0; }

    const ReplicationSettings settings_;
    const fleet::Id self_;
    PeerDirectory& peers_;
    std::mt19937_64 random_;
    HybridClock clock_;
    std::uint64_t dot_count_ = 0, last_ticket_ = 0;

    EntryStore store_;

    struct QueuedPush {
        std::size_t rounds = 0;
        std::uint64_t serial = 0;
    };
    std::map<EntryName, QueuedPush> push_queue_;
    std::set<std::pair<std::uint64_t, EntryName>> push_order_;
    std::uint64_t push_serial_ = 0;

    std::map<std::uint64_t, PendingWrite> pending_;
    std::optional<Fetch> fetch_;
    std::optional<Peer> compare_with_;
    Time started_{}, flush_at_{}, compare_at_{}, advance_horizon_at_{};
    std::optional<Time> majority_since_;
    Timestamp horizon_ = 0;
    std::optional<EntryName> purge_from_;
    Time purge_at_{};
    bool caught_up_ = false;
    double send_budget_ = 0.0;  ///< bytes that may be sent
    Time budget_updated_at_{};

    std::vector<Outgoing> outgoing_;
    std::vector<Outcome> outcomes_;
    std::set<EntryName> changed_names_;
    std::deque<HistoryRecord> history_;
    std::optional<std::pair<std::string, Duration>> ahead_;
    Stats stats_;
};

}  // namespace martenford::replica
