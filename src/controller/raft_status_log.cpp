#include "controller/raft_status_log.h"

#include <string>

#include "event_log/event_log.h"

namespace martenford::controller {

using event_log::Event;
using event_log::log_event;

void RaftStatusLog::update(Time now) {
    log_role();
    log_unknown_voters(now);
    const raft::LogEntry& entry = raft_.persistent_state().last_entry;
    if (!entry.outgoing_voters.empty() || entry.voters == voters_) return;
    const bool is_first_start_repaired = !voters_.empty() && entry.position == raft::LogPosition{};
    voters_ = entry.voters;
    if (is_first_start_repaired)
        log_event(Event::FirstStartRepaired, "took the new members for the first voters");
    on_new_voters_(voters_);
    log_voters();
}

void RaftStatusLog::log_unknown_voters(Time now) {
    if (!raft_.persistent_state().last_entry.voters.empty()) return;
    if (next_unknown_voters_log_at_ == Time{}) next_unknown_voters_log_at_ = now + kUnknownVotersLogInterval;
    if (now < next_unknown_voters_log_at_) return;
    next_unknown_voters_log_at_ = now + kUnknownVotersLogInterval;
    log_event(Event::VotersUnknown,
              "no voter is known; if the first start failed, repeat it with first_boot");
}

void RaftStatusLog::log_role() {
    const bool is_leader = raft_.role() == raft::RaftNode::Role::Leader;
    if (is_leader == was_leader_) return;
    was_leader_ = is_leader;
    log_event(is_leader ? Event::LeadershipGained : Event::LeadershipLost,
              is_leader ? "became leader" : "is no longer leader",
              {{"term", std::to_string(raft_.persistent_state().term)}});
}

void RaftStatusLog::log_voters() {
    std::string addresses;
    for (const raft::Member& voter : voters_) {
        if (!addresses.empty()) addresses += ",";
        addresses += voter.address;
    }
    log_event(Event::VotersChanged, "voters changed",
              {{"are", addresses}, {"this", raft_.is_voter() ? "yes" : "no"}});
    if (raft_.tolerates_failures()) return;
    log_event(Event::FaultToleranceNotMet, "too few voters for the configured fault tolerance",
              {{"voters", std::to_string(voters_.size())},
               {"machines", std::to_string(tolerance_.machines)},
               {"zones", std::to_string(tolerance_.zones)},
               {"regions", std::to_string(tolerance_.regions)}});
}

}  // namespace martenford::controller
