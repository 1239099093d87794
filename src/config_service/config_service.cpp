#include "config_service/config_service.h"

#include <utility>
#include <vector>

namespace martenford::config_service {

using mesh_config::Json;

namespace {

/// How long an undecided call is kept pending before it is answered with 503. Operators' clients give up
/// after 1 s without an answer.
constexpr Duration kDecisionTimeout = 900ms;

/// How long a proposed change is kept pending, since receipt, while it may still commit. Longer than
/// kDecisionTimeout: no earlier answer would be definite, and clients wait longer than 1 s for large bodies.
constexpr Duration kCommitTimeout = 4s;

/// Calls that may be pending at once; further ones are answered with 503.
constexpr std::size_t kMaxPendingCalls = 64;

/// Bytes of the bodies of pending calls, a bound on memory; further calls are answered with 503.
constexpr std::size_t kMaxPendingBytes = 32 * 1024 * 1024;

/// Bytes of one body. A longer document would not fit a message between controllers.
constexpr std::size_t kMaxBodyBytes = rpc::kMaxDocumentBytes;

/// Pause that a 503 asks of the caller before it repeats the call. Below the shortest election timeout (500
/// ms), so that little time is lost once a leader is elected.
constexpr Duration kRetryAfter = 300ms;

/// Seeds that keep a replace and a modify with the same body apart. Digests are stored in records: never
/// change them.
constexpr std::uint64_t kReplaceDigestSeed = 1, kModifyDigestSeed = 2;

control_api::Response error_response(unsigned status, const std::string& message) {
    return {status, Json{{"error", message}}.dump()};
}

/// Neither done nor rejected for certain: the caller repeats the call.
control_api::Response indefinite(const std::string& message) {
    return {503, Json{{"error", message}}.dump(), "", kRetryAfter};
}

const char* path_of(CallKind kind) {
    switch (kind) {
        case CallKind::Replace:
            return "/v1/configuration/replace";
        case CallKind::Modify:
            return "/v1/configuration/modify";
        case CallKind::Read:
            return "/v1/configuration/read";
    }
    return "";
}

}  // namespace

const rpc::ConfigRecord& ConfigService::record() {
    const raft::LogEntry& committed = raft_.persistent_state().committed_entry;
    if (committed.position != record_position_) {
        // The first entry of a new term mostly repeats the value that was there.
        auto decoded = rpc::decode_config_record(committed.value);
        record_readable_ = decoded.has_value();
        if (decoded) record_ = std::move(*decoded);
        record_position_ = committed.position;
    }
    return record_;
}

bool ConfigService::has_no_uncommitted_entry() const {
    const raft::PersistentState& state = raft_.persistent_state();
    return state.committed_entry.position == state.last_entry.position;
}

control_api::Response ConfigService::redirect_to_leader(Time now, CallKind kind) const {
    const auto leader = raft_.leader();
    const bool is_leader = raft_.role() == raft::RaftNode::Role::Leader;
    if (leader && !is_leader && raft_.has_quorum_contact(now, 1s) && control_address_of)
        return {307, "", control_address_of(*leader) + path_of(kind)};
    return indefinite("no leader is known");
}

void ConfigService::submit(Time now, CallKind kind, const std::string& body, control_api::Respond respond) {
    if (raft_.role() != raft::RaftNode::Role::Leader) return respond(redirect_to_leader(now, kind));
    if (body.size() > kMaxBodyBytes) return respond(error_response(413, "the body is too long"));
    if (pending_calls_.size() >= kMaxPendingCalls || pending_bytes_ + body.size() > kMaxPendingBytes)
        return respond(indefinite("too many calls wait"));
    PendingCall call;
    call.kind = kind;
    call.body = body;
    call.digest =
        mesh_config::digest(body, kind == CallKind::Replace ? kReplaceDigestSeed : kModifyDigestSeed);
    call.respond = std::move(respond);
    call.received_at = now;
    pending_bytes_ += body.size();
    pending_calls_.push_back(std::move(call));
    process_pending(now);
}

// ---- Deciding. Runs on a leader with a lease, whose committed record is therefore the newest. ----

void ConfigService::decide(Time now, PendingCall& call) {
    const rpc::ConfigRecord& committed = record();
    if (!record_readable_)
        return answer_when_confirmed(now, call, indefinite("what is in place can't be read"));
    if (call.kind == CallKind::Read) return decide_read(now, call, committed);
    decide_change(now, call, committed);
}

void ConfigService::decide_read(Time now, PendingCall& call, const rpc::ConfigRecord& committed) {
    if (committed.version == 0)
        return answer_when_confirmed(now, call, error_response(404, "no configuration has been taken yet"));
    answer_when_confirmed(now, call, {200, committed.document});
}

void ConfigService::decide_change(Time now, PendingCall& call, const rpc::ConfigRecord& committed) {
    // Before the body is parsed: a call that was accepted stays accepted, also by a release whose validation
    // is stricter. I1: a repeated call is answered from the history and never applied a second time. I2: it
    // waits until the record that holds that history is durable.
    if (was_accepted(committed, call.digest)) {
        call.state = AwaitingCommit{record_position_, true};
        return;
    }
    // I1: one change at a time. The uncommitted entry may also be this very call, sent before.
    if (!has_no_uncommitted_entry()) return;
    auto& state = std::get<AwaitingDecision>(call.state);
    if (state.prepared && state.prepared->based_on == record_position_) return propose(now, call, state);
    prepare_change(now, call, committed);
}

/// The order of the checks decides which answer a request with several faults gets: it is part of the API.
void ConfigService::prepare_change(Time now, PendingCall& call, const rpc::ConfigRecord& committed) {
    const auto parsed = parse_change_request(call.kind, call.body);
    const auto version = requested_version(parsed);
    call.version = version.value_or(0);
    // I1: beyond the history, a rejection could contradict an earlier 200.
    if (version && is_before_history(committed, *version))
        return answer_when_confirmed(now, call, indefinite("too long ago to tell whether it was taken"));
    if (const auto* error = std::get_if<RequestError>(&parsed))
        return reject(now, call, {400, error->message(), error->log_reason()});
    const auto& request = std::get<ChangeRequest>(parsed);
    // I1: of two changes on one base version, the second finds that another version is current.
    if (const auto rejection = check_base_version(committed, request)) return reject(now, call, *rejection);
    // I1: versions rise, so none is used twice.
    if (const auto rejection = check_version_rises(committed, request)) return reject(now, call, *rejection);
    const auto document = next_document(committed, request);
    if (const auto* rejection = std::get_if<Rejection>(&document)) return reject(now, call, *rejection);
    const auto next = next_record(committed, request.version, std::get<Json>(document), call.digest);
    if (const auto* rejection = std::get_if<Rejection>(&next)) return reject(now, call, *rejection);
    // I1: the position ties the record to the one it was checked against; decide_change() compares it.
    AwaitingDecision state{PreparedRecord{record_position_, rpc::encode(std::get<rpc::ConfigRecord>(next))}};
    propose(now, call, call.state.emplace<AwaitingDecision>(std::move(state)));
}

/// If Raft takes no proposal now, the prepared record is kept for the next poll.
void ConfigService::propose(Time now, PendingCall& call, AwaitingDecision& state) {
    const auto entry = raft_.propose(now, state.prepared->encoded);
    if (!entry) return;
    call.state = AwaitingCommit{*entry, false};
    pending_bytes_ -= std::exchange(call.body, {}).size();
}

void ConfigService::reject(Time now, PendingCall& call, const Rejection& rejection) {
    if (on_decided) {
        const bool has_reason = !rejection.log_reason.empty();
        on_decided(false, call.version, has_reason ? rejection.log_reason : rejection.message);
    }
    answer_when_confirmed(now, call, error_response(rejection.status, rejection.message));
}

void ConfigService::answer_when_confirmed(Time now, PendingCall& call, control_api::Response answer) {
    const auto read_index = raft_.request_read_index(now);
    call.state = AwaitingReadConfirmation{raft_.persistent_state().term, read_index, std::move(answer)};
}

// ---- Answering ----

std::optional<control_api::Response> ConfigService::poll_call(Time now, PendingCall& call) {
    if (std::holds_alternative<AwaitingDecision>(call.state)) {
        if (raft_.role() != raft::RaftNode::Role::Leader) return redirect_to_leader(now, call.kind);
        if (raft_.has_leader_lease(now)) decide(now, call);
    }
    if (const auto* commit = std::get_if<AwaitingCommit>(&call.state)) return poll_commit(now, call, *commit);
    if (auto* confirmation = std::get_if<AwaitingReadConfirmation>(&call.state)) {
        // Another term's confirmation says nothing about which record was current in this one.
        if (!raft_.may_still_commit({confirmation->decided_in_term, 0}))
            return redirect_to_leader(now, call.kind);
        // has_output(): the record that the answer speaks of may be on no disk yet (a group of one commits by
        // itself); the answer, also a rejection, must not outlive it.
        if (!raft_.has_output() && raft_.is_read_confirmed(confirmation->read_index))
            return std::move(confirmation->answer);
    }
    if (now - call.received_at >= kDecisionTimeout) return indefinite("undecided; nothing was done");
    return std::nullopt;
}

std::optional<control_api::Response> ConfigService::poll_commit(Time now, const PendingCall& call,
                                                                const AwaitingCommit& state) const {
    // I1: after a change of leader the entry may be committed or replaced, so neither 200 nor a rejection is
    // safe.
    if (!raft_.may_still_commit(state.entry))
        return indefinite("the lead was lost; it may be in force or not");
    // I2: has_output(): a group of one commits before its own disk has the entry.
    if (!raft_.has_output() && raft_.is_durable(state.entry)) {
        if (on_decided && !state.is_duplicate) on_decided(true, call.version, "");
        return control_api::Response{200, "{}"};
    }
    if (now - call.received_at >= kCommitTimeout) return indefinite("undecided; it may be in force or not");
    return std::nullopt;
}

void ConfigService::process_pending(Time now) {
    std::vector<std::pair<control_api::Respond, control_api::Response>> answers;
    for (auto call = pending_calls_.begin(); call != pending_calls_.end();) {
        auto answer = poll_call(now, *call);
        if (!answer) {
            ++call;
            continue;
        }
        pending_bytes_ -= call->body.size();
        answers.emplace_back(std::move(call->respond), std::move(*answer));
        call = pending_calls_.erase(call);
    }
    // After the loop: an answer may submit the next call, which changes pending_calls_.
    for (auto& [respond, answer] : answers) respond(std::move(answer));
}

}  // namespace martenford::config_service
