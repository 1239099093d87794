// The operator's calls: checked, decided one at a time on the agreed register, and answered once that is
// certain. Pure. docs/control.md tells why no two under one number are both confirmed.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "control_api/control_api.h"
#include "mesh_config/mesh_config.h"
#include "raft/raft_node.h"
#include "rpc/messages.h"

namespace martenford::config_service {

class ConfigService {
  public:
    explicit ConfigService(raft::RaftNode& raft) : raft_(raft) {}

    void replace(Time now, const std::string& body, control_api::Respond respond) {
        submit(now, Call::Replace, body, std::move(respond));
    }
    void modify(Time now, const std::string& body, control_api::Respond respond) {
        submit(now, Call::Modify, body, std::move(respond));
    }
    void read(Time now, control_api::Respond respond) { submit(now, Call::Read, "", std::move(respond)); }
    /// After each turn of the register, once what it gave is on disk and out: looks at every call, in the
    /// order in which they came, and answers what can be answered now.
    void process_pending(Time now);
    /// The newest record that is known to be committed.
    const rpc::ConfigRecord& record();
    /// What is refused or taken, for the log.
    std::function<void(bool taken, std::uint32_t version, const std::string& why)> on_decided;
    /// The leader's `control` address, for a 307.
    std::function<std::string(const raft::Member&)> control_address_of;

  private:
    enum class Call { Replace, Modify, Read };
    /// One call. Undecided at first; then it waits for one of three things, or is answered.
    struct PendingCall {
        Call call = Call::Read;
        std::string body;
        std::uint64_t digest = 0;  ///< of the call's kind and body
        control_api::Respond respond;
        Time received_at{};
        std::uint32_t version = 0;
        raft::Term term = 0;  ///< in which it was decided
        /// A new record, made from the committed one with the first stamp: the register takes it, or not yet.
        std::optional<std::pair<raft::LogPosition, std::string>> next_record;
        /// The entry that holds the call's change: 200 once it is durable.
        std::optional<raft::LogPosition> committed_by;
        bool already_applied = false;  ///< it was found there: no change of its own
        /// An answer that depends on what is current: given once a majority has said that this one still
        /// leads.
        std::optional<std::uint64_t> read_round;
        control_api::Response answer;
    };
    void submit(Time now, Call call, const std::string& body, control_api::Respond respond);
    std::optional<control_api::Response> poll_call(Time now, PendingCall& job);
    void decide(Time now, PendingCall& job);
    void propose(Time now, PendingCall& job);
    void reject(Time now, PendingCall& job, unsigned status, const std::string& why,
                const std::string& logged = "");
    void answer_when_confirmed(Time now, PendingCall& job, control_api::Response answer);
    control_api::Response redirect_to_leader(Time now, Call call) const;
    bool has_no_uncommitted_entry() const {
        return raft_.persistent_state().committed_entry.position ==
               raft_.persistent_state().last_entry.position;
    }

    raft::RaftNode& raft_;
    std::deque<PendingCall> pending_calls_;
    std::size_t pending_bytes_ = 0;  // bytes of bodies in jobs_
    raft::LogPosition record_position_;
    bool record_readable_ = true;
    rpc::ConfigRecord record_;
};

}  // namespace martenford::config_service
