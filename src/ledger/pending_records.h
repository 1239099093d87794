// The sidecar's half of the journal, without I/O: records that are not durable yet, the state of the writer
// process, when the writer counts as hung and when it is restarted, and what all that means for a request
// that is about to be sent. Times and events are passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/scheduler.h"

namespace martenford::ledger {

/// When a request of a class may be sent, relative to its record in the journal.
enum class Durability : std::uint8_t {
    Off,    ///< nothing is recorded
    Async,  ///< the intent was handed to the writer before the first byte is sent: a crash of the sidecar
            ///< loses none of those, a crash of the writer or the machine may
    Group,  ///< the intent is durable before the first byte is sent; its batch waits briefly for other
            ///< records
    Sync,   ///< like Group, but the batch is closed at once
};
/// What happens to requests of a class while nothing can be made durable.
enum class OutagePolicy : std::uint8_t {
    Refuse,           ///< refused, as never run
    SendUnjournaled,  ///< sent without a record; a gap in the journal covers them
};

class PendingRecords {
  public:
    struct Options {
        std::size_t max_records = 50'000;         ///< records that are not durable yet
        std::size_t max_bytes = 8 * 1024 * 1024;  ///< of these records; a sixth of the smallest memory limit
        Duration ack_timeout = 1s;  ///< a writer that owes an acknowledgement for longer counts as hung
        Duration start_timeout =
            5s;  ///< the writer may first have to recover its log and wait for an earlier writer
        Duration min_backoff = 100ms, max_backoff = 5s;
        Duration stable_after = 10s;  ///< a writer that ran for this long is restarted at once
    };
    enum class Health {
        Down,      ///< no writer; the next start is at restart_at()
        Starting,  ///< started, not ready yet
        Up,
        Failing,  ///< running, but cannot make anything durable now
    };
    enum class SendDecision { Send, Hold, Refuse, SendUnjournaled };

    explicit PendingRecords(const Options& options) : options_(options) {}

    // ---- decisions for requests
    /// Decides what happens to an intent of this class now. Requests wait for the first start and the first
    /// restart of the writer, also before that start was attempted; each waiting request has its own timeout.
    SendDecision decide(Durability level, OutagePolicy outage) const;
    /// Whether there is room for a record that a request depends on. A fifth of the room is reserved for the
    /// endings of requests already sent: a lost ending leaves a request as "possibly ran" forever.
    bool has_room() const {
        return queue_.size() < options_.max_records / 5 * 4 && bytes_ < options_.max_bytes / 5 * 4;
    }
    /// Queues a frame; `sequence` increases by one each time. Returns false if there is no room; the frame is
    /// dropped.
    bool put(std::uint64_t sequence, std::string frame);

    // ---- data for the writer
    /// Returns frames that were not handed over yet, about `max_bytes` at most; empty if there are none or no
    /// writer is ready for them.
    std::string take_unsent(std::size_t max_bytes, Time now);

    // ---- events of the writer
    void writer_started(Time now);
    void writer_ready(Time now);
    /// Records up to this sequence number are durable.
    void acknowledged(std::uint64_t up_to, Time now);
    void writer_failing(std::string what, Time now);
    /// The writer died or is about to be killed. Everything it did not acknowledge goes to the next one.
    void writer_lost(std::string why, Time now);

    Health health() const { return health_; }
    const std::string& reason() const { return reason_; }
    std::optional<Time> restart_at() const {
        return health_ == Health::Down ? std::optional(restart_at_) : std::nullopt;
    }
    /// The earliest time at which is_unresponsive() can become true.
    std::optional<Time> response_deadline() const;
    /// Whether the writer has owed a response for too long.
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
    std::size_t bytes_ = 0, sent_ = 0;  // sent_: this many frames at the front of queue_ are with the writer
    std::uint64_t acknowledged_ = 0, dropped_ = 0;
    Health health_ = Health::Down;
    bool restart_failed_ = false;  // the writer failed again before it became stable
    std::string reason_ = "the writer has not been started";
    Time restart_at_{}, started_at_{}, ready_at_{}, waiting_since_{};
    Duration backoff_{};
};

}  // namespace martenford::ledger
