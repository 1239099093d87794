// Carries out what the Raft node asks for, in the order that Raft's safety needs: persist, then send, then
// notify, then answer operators' calls (as ScyllaDB's raft/server does around its fsm). The node itself is a
// pure state machine.
#pragma once

#include <functional>
#include <optional>

#include "core/scheduler.h"
#include "durable_store/durable_store.h"
#include "raft/raft_node.h"

namespace martenford::controller {

/// After a failed write, until the next attempt: below the election timeout, so that a disk that was full for
/// a moment costs no more than one election; not below, since each attempt blocks the loop.
inline constexpr Duration kPersistRetryDelay = 200ms;

class RaftDriver {
  public:
    /// What the driver calls, in this order.
    struct Effects {
        /// Blocks until the state is on disk. After an error the previous state is still there.
        std::function<std::optional<durable_store::StorageError>(const raft::PersistentState&)> persist;
        std::function<void(const raft::Message&)> send;
        /// The committed configuration may have changed.
        std::function<void()> notify_watchers;
        /// Answers operators' calls that can be answered now; may propose, and so give new output.
        std::function<void()> process_pending_calls;
        /// Once all output has been processed: role and voters may have changed.
        std::function<void()> on_idle;
    };

    /// `clock` and `raft` outlive this object.
    RaftDriver(const Scheduler& clock, raft::RaftNode& raft, Effects effects)
        : clock_(clock), raft_(raft), effects_(std::move(effects)) {}

    /// Called after every event of the node. Loops until the node has no output, or its state can't be
    /// written: then nothing that follows from that state is sent, and the next call after kPersistRetryDelay
    /// tries again. A call from within an effect returns at once; the outer one goes on with its output.
    void process_output();

  private:
    void persist();

    const Scheduler& clock_;
    raft::RaftNode& raft_;
    Effects effects_;
    bool is_processing_ = false;
    bool persist_pending_ = false;  // the node's state is not on disk yet
    Time persist_retry_at_{};
};

}  // namespace martenford::controller
