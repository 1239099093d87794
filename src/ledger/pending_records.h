// The sidecar's half of its journal, without I/O: what waits to be made durable, how the writer is doing,
// when it is taken to hang or started again, and what that means for a request that wants to go out. Times
// and events come in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/scheduler.h"

namespace martenford::ledger {

/// What the journal promises of requests of a class.
enum class Durability : std::uint8_t {
    Off,    ///< nothing is kept
    Async,  ///< the intent is on its way to the writer before the first byte goes out: a crash of the sidecar
            ///< loses nothing that was, one of the writer or the machine may
    Group,  ///< the intent is durable before the first byte goes out, in a batch that waits a little for
            ///< others
    Sync,   ///< the same, and its batch is closed at once
};
/// What becomes of a class's requests while nothing can be made durable.
enum class OutagePolicy : std::uint8_t {
    Refuse,           ///< they are refused, as never run
    SendUnjournaled,  ///< they go out unjournaled, and a gap says so
};

class PendingRecords {
  public:
    struct Options {
        std::size_t max_records = 50'000;         ///< not yet durable
        std::size_t max_bytes = 8 * 1024 * 1024;  ///< of them: a sixth of the smallest memory limit
        Duration ack_timeout = 1s;                ///< a writer that owes an answer for longer hangs
        Duration start_timeout = 5s;  ///< it may first have to read its log and wait for an earlier one
        Duration min_backoff = 100ms, max_backoff = 5s;
        Duration stable_after = 10s;  ///< a writer that ran so long is started again at once
    };
    enum class Health {
        Down,      ///< no writer; one is started at restart_at()
        Starting,  ///< started, and not ready yet
        Up,
        Failing,  ///< there, and can't make anything durable now
    };
    enum class SendDecision { Send, Hold, Refuse, SendUnjournaled };

    explicit PendingRecords(const Options& options) : options_(options) {}

    // ---- what requests want
    /// What an intent of this class does now. A first start and a first restart are waited for, also while it
    /// has yet to be tried; whoever waits has a limit of its own.
    SendDecision decide(Durability level, OutagePolicy outage) const;
    /// Whether there is room for a record that a request depends on. A fifth is kept back for what ends those
    /// that are out: an ending that is lost leaves a request "possibly run" for ever.
    bool has_room() const {
        return queue_.size() < options_.max_records / 5 * 4 && bytes_ < options_.max_bytes / 5 * 4;
    }
    /// Takes a frame in; `sequence` grows by one each time. False: there is no room, and it is dropped.
    bool put(std::uint64_t sequence, std::string frame);

    // ---- what the writer gets
    /// Bytes that were not handed over yet, up to about `most`; empty: there are none, or nobody to take
    /// them.
    std::string take_unsent(std::size_t max_bytes, Time now);

    // ---- what becomes of the writer
    void writer_started(Time now);
    void writer_ready(Time now);
    /// Records up to this one are durable.
    void acknowledged(std::uint64_t up_to, Time now);
    void writer_failing(std::string what, Time now);
    /// It is dead, or is to be killed: all that it did not acknowledge goes to the next one.
    void writer_lost(std::string why, Time now);

    Health health() const { return health_; }
    const std::string& reason() const { return reason_; }
    std::optional<Time> restart_at() const {
        return health_ == Health::Down ? std::optional(restart_at_) : std::nullopt;
    }
    /// When hangs() may begin to hold.
    std::optional<Time> response_deadline() const;
    /// Whether the writer owes an answer for too long.
    bool is_unresponsive(Time now) const {
        const auto until = response_deadline();
        return until && now >= *until;
    }
    std::size_t records() const { return queue_.size(); }
    std::size_t bytes() const { return bytes_; }
    std::uint64_t acknowledged_up_to() const { return acknowledged_; }
    std::uint64_t dropped() const { return dropped_; }

  private:
    struct QueuedRecord {
        std::uint64_t sequence;
        std::string frame;
    };
    Options options_;
    std::deque<QueuedRecord> queue_;
    std::size_t bytes_ = 0, sent_ = 0;  // of queue_, the first are with the writer
    std::uint64_t acknowledged_ = 0, dropped_ = 0;
    Health health_ = Health::Down;
    bool restart_failed_ = false;  // the last start did not come to anything
    std::string reason_ = "it has not been started";
    Time restart_at_{}, started_at_{}, ready_at_{}, waiting_since_{};
    Duration backoff_{};
};

}  // namespace martenford::ledger
