// The operator's calls on the replicated register: each is checked against the committed configuration,
// proposed to Raft, and answered once its outcome is certain. docs/control.md has the proof.
//
// Two invariants, for any schedule of crashes, partitions and lost answers:
//   I1. No two changes under one version, or on one base version, are both acknowledged with 200.
//   I2. A 200 is sent only once copies of the record survive every failure that is tolerated.
// Pure: time and messages come in through RaftNode; runs on the thread of the controller's event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "config_service/change_checks.h"
#include "config_service/change_request.h"
#include "control_api/control_api.h"
#include "mesh_config/mesh_config.h"
#include "raft/raft_node.h"
#include "rpc/messages.h"

namespace martenford::config_service {

class ConfigService {
  public:
    explicit ConfigService(raft::RaftNode& raft) : raft_(raft) {}

    /// Replaces the entire configuration. `respond` is called exactly once, possibly before this returns: 200
    /// once the change is durable; 307 to the leader; 400, 412 or 413 if it is rejected; 503 if nothing
    /// definite can be said, after which the caller sends the same bytes again.
    void replace(Time now, const std::string& body, control_api::Respond respond) {
        submit(now, CallKind::Replace, body, std::move(respond));
    }
    /// Changes items of the current configuration by name. Answers as replace().
    void modify(Time now, const std::string& body, control_api::Respond respond) {
        submit(now, CallKind::Modify, body, std::move(respond));
    }
    /// Reads the current configuration (linearizable): 200, 307, 404 before the first one, or 503.
    void read(Time now, control_api::Respond respond) { submit(now, CallKind::Read, "", std::move(respond)); }
    /// Advances every pending call in the order of arrival and answers those whose outcome is known. Call it
    /// after each step of the Raft node, once that step's state is on disk and its messages are sent.
    void process_pending(Time now);
    /// The newest record that is known to be committed. Valid until the next call.
    [[nodiscard]] const rpc::ConfigRecord& record();

    /// Called for every change that is accepted or rejected, for the log. `version` is 0 if it could not be
    /// read; `why` is empty for an accepted one.
    std::function<void(bool accepted, std::uint32_t version, const std::string& why)> on_decided;
    /// The `control` address of a member, for the location of a 307.
    std::function<std::string(const raft::Member&)> control_address_of;

  private:
    /// A record that the register did not take yet, kept so that the request is parsed and validated once.
    struct PreparedRecord {
        raft::LogPosition based_on;  ///< position of the committed record that it was made from
        std::string encoded;
    };

    // A pending call is in one of three states; a decided one never returns to AwaitingDecision.
    struct AwaitingDecision {
        std::optional<PreparedRecord> prepared;
    };
    /// The change is in this log entry: 200 once the entry is durable.
    struct AwaitingCommit {
        raft::LogPosition entry;
        bool is_duplicate = false;  ///< an earlier, identical call made the change
    };
    /// The answer depends on which record is current, so it is sent only if a majority confirms, after it was
    /// made, that this node still leads (ReadIndex: Raft dissertation, section 6.4).
    struct AwaitingReadConfirmation {
        raft::Term decided_in_term = 0;
        std::uint64_t read_index = 0;
        control_api::Response answer;
    };

    struct PendingCall {
        CallKind kind = CallKind::Read;
        std::string body;                  ///< as received; released once the change is proposed
        std::uint64_t digest = 0;          ///< of the kind and the bytes of the body
        mesh_config::Version version = 0;  ///< that a change asks for; 0: none, or not read yet
        control_api::Respond respond;
        Time received_at{};
        std::variant<AwaitingDecision, AwaitingCommit, AwaitingReadConfirmation> state;
    };

    void submit(Time now, CallKind kind, const std::string& body, control_api::Respond respond);

    [[nodiscard]] std::optional<control_api::Response> poll_call(Time now, PendingCall& call);
    [[nodiscard]] std::optional<control_api::Response> poll_commit(Time now, const PendingCall& call,
                                                                   const AwaitingCommit& state) const;

    void decide(Time now, PendingCall& call);
    void decide_read(Time now, PendingCall& call, const rpc::ConfigRecord& committed);
    void decide_change(Time now, PendingCall& call, const rpc::ConfigRecord& committed);
    void prepare_change(Time now, PendingCall& call, const rpc::ConfigRecord& committed);
    void propose(Time now, PendingCall& call, AwaitingDecision& state);
    void reject(Time now, PendingCall& call, const Rejection& rejection);
    void answer_when_confirmed(Time now, PendingCall& call, control_api::Response answer);

    [[nodiscard]] control_api::Response redirect_to_leader(Time now, CallKind kind) const;
    [[nodiscard]] bool has_no_uncommitted_entry() const;

    raft::RaftNode& raft_;
    std::deque<PendingCall> pending_calls_;
    std::size_t pending_bytes_ = 0;  ///< of the bodies in pending_calls_
    // The committed record, decoded once for each position.
    raft::LogPosition record_position_;
    bool record_readable_ = true;
    rpc::ConfigRecord record_;
};

}  // namespace martenford::config_service
