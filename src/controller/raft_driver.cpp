#include "controller/raft_driver.h"

#include <utility>

#include "event_log/event_log.h"

namespace martenford::controller {

using event_log::Event;
using event_log::log_event;

void RaftDriver::process_output() {
    if (std::exchange(is_processing_, true)) return;
    do {
        persist();
        for (const raft::Message& message : raft_.take_messages()) effects_.send(message);
        effects_.notify_watchers();
        effects_.process_pending_calls();
    } while (raft_.has_output() && !persist_pending_);
    is_processing_ = false;
    effects_.on_idle();
}

void RaftDriver::persist() {
    persist_pending_ |= raft_.take_persist_request();
    if (!persist_pending_) return;
    if (clock_.now() < persist_retry_at_) {
        raft_.on_persist_failed(clock_.now());
        return;
    }
    const auto error = effects_.persist(raft_.persistent_state());
    // The write has blocked: what follows from it happens at the time after it.
    const Time now = clock_.now();
    if (error) {
        log_event(Event::StorageFailed, "cannot write the Raft state", {{"what", error->message}});
        persist_retry_at_ = now + kPersistRetryDelay;
        raft_.on_persist_failed(now);
        return;
    }
    persist_pending_ = false;
    raft_.on_persisted(now);
}

}  // namespace martenford::controller
