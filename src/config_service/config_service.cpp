#include "config_service/config_service.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace martenford::config_service {

using mesh_config::Json;

namespace {
// A call that is undecided for so long is told that nothing was done: callers go on after a second of
// silence.
constexpr Duration kUndecided = 900ms;
// One that was proposed is held longer, as long as it may yet be committed: no answer would be clearer, and
// the caller of a large body waits for more than that second.
constexpr Duration kLongest = 4s;
constexpr std::size_t kMostJobs = 64;                      // calls that wait
constexpr std::size_t kMostHeld = 32 * 1024 * 1024;        // bytes of their bodies
constexpr std::size_t kMostHistory = 4096;                 // two days at 2,200 changes a day; 12 bytes each
constexpr std::size_t kMostBody = rpc::kMaxDocumentBytes;  // a longer one could not be sent to the others
constexpr Duration kComeBack = 300ms;

control_api::Response refusal(unsigned status, const std::string& why) {
    return {status, Json{{"error", why}}.dump()};
}
control_api::Response unclear(const std::string& why) {
    return {503, Json{{"error", why}}.dump(), "", kComeBack};
}
}  // namespace

const rpc::ConfigRecord& ConfigService::record() {
    const raft::LogEntry& committed = raft_.persistent_state().committed_entry;
    if (committed.position != record_position_) {
        // A new term's entry most often has the value that was there.
        auto read = rpc::decode_word(committed.value);
        record_readable_ = read.has_value();
        if (read) record_ = std::move(*read);
        record_position_ = committed.position;
    }
    return record_;
}

control_api::Response ConfigService::redirect_to_leader(Time now, Call call) const {
    const auto leader = raft_.leader();
    if (leader && raft_.role() != raft::RaftNode::Role::Leader && raft_.has_quorum_contact(now, 1s) &&
        control_address_of) {
        return {307, "",
                control_address_of(*leader) + (call == Call::Read      ? "/v1/configuration/read"
                                               : call == Call::Replace ? "/v1/configuration/replace"
                                                                       : "/v1/configuration/modify")};
    }
    return unclear("no leader is known");
}

void ConfigService::submit(Time now, Call call, const std::string& body, control_api::Respond respond) {
    if (raft_.role() != raft::RaftNode::Role::Leader) return respond(redirect_to_leader(now, call));
    if (body.size() > kMostBody) return respond(refusal(413, "the body is too long"));
    if (pending_calls_.size() >= kMostJobs || pending_bytes_ + body.size() > kMostHeld)
        return respond(unclear("too many calls wait"));
    PendingCall job;
    job.call = call;
    job.body = body;
    job.digest = mesh_config::digest(body, call == Call::Replace ? 1 : 2);
    job.respond = std::move(respond);
    job.received_at = now;
    pending_bytes_ += body.size();
    pending_calls_.push_back(std::move(job));
    process_pending(now);
}

void ConfigService::answer_when_confirmed(Time now, PendingCall& job, control_api::Response answer) {
    job.answer = std::move(answer);
    job.read_round = raft_.request_read_index(now);
}

void ConfigService::reject(Time now, PendingCall& job, unsigned status, const std::string& why,
                           const std::string& logged) {
    if (on_decided) on_decided(false, job.version, logged.empty() ? why : logged);
    answer_when_confirmed(now, job, refusal(status, why));
}

/// Here, on a leader that has all that was committed. What depends on which version is current is answered
/// only once a majority has said that it still leads.
void ConfigService::decide(Time now, PendingCall& job) {
    const rpc::ConfigRecord& held = record();
    job.term = raft_.persistent_state().term;
    if (!record_readable_) return answer_when_confirmed(now, job, unclear("what is in place can't be read"));
    if (job.call == Call::Read) {
        if (held.version == 0)
            return answer_when_confirmed(now, job, refusal(404, "no configuration has been taken yet"));
        return answer_when_confirmed(now, job, {200, held.document});
    }
    // Before it is read at all: a call that was taken stays taken, whatever is thought of it now.
    if (std::any_of(held.accepted_changes.begin(), held.accepted_changes.end(),
                    [&](const auto& taken) { return taken.digest == job.digest; })) {
        job.committed_by = record_position_;
        job.already_applied = true;
        return;
    }
    // What is proposed may be this very call, sent before; and one at a time is decided.
    if (!has_no_uncommitted_entry()) return;
    if (job.next_record && job.next_record->first == record_position_) return propose(now, job);
    const auto read = mesh_config::parse_object(job.body);
    if (!read) return reject(now, job, 400, "the body is no JSON object", "no JSON");
    const Json& change = *read;
    const auto text = [&](const char* field) {
        const auto it = change.find(field);
        return it != change.end() && it->is_string() ? mesh_config::parse_version(it->get<std::string>())
                                                     : std::nullopt;
    };
    const auto version = text("version");
    if (!version) return reject(now, job, 400, "version: eight hexadecimal digits are wanted", "version");
    job.version = *version;
    if (*version <= held.forgotten_up_to)
        return answer_when_confirmed(now, job, unclear("too long ago to tell whether it was taken"));
    std::uint32_t base = 0;
    if (change.contains("base_version")) {
        const auto named = text("base_version");
        if (named) {
            base = *named;
        } else if (change["base_version"] != 0) {
            return reject(now, job, 400, "base_version: eight hexadecimal digits are wanted", "base_version");
        }
    }
    if (base != held.version)
        return reject(now, job, 412, "version " + mesh_config::text_of(held.version) + " is in place",
                      "another version is in place");
    if (*version <= held.version)
        return reject(now, job, 400, "version is not above " + mesh_config::text_of(held.version),
                      "its version is not above");
    std::variant<Json, mesh_config::ConfigError> whole = change;
    if (job.call == Call::Modify) {
        const Json document =
            held.document.empty() ? Json::object() : Json::parse(held.document, nullptr, false);
        whole = mesh_config::modified(document, change);
    }
    if (const auto* problem = std::get_if<mesh_config::ConfigError>(&whole))
        return reject(now, job, 400, problem->text());
    const Json& document = std::get<Json>(whole);
    const auto config = mesh_config::read_config(document);
    if (const auto* problem = std::get_if<mesh_config::ConfigError>(&config))
        return reject(now, job, 400, problem->text());
    rpc::ConfigRecord next{*version, document.dump(), held.accepted_changes, held.forgotten_up_to};
    if (next.document.size() > rpc::kMaxDocumentBytes)
        return reject(now, job, 413, "the configuration is too long");
    next.accepted_changes.push_back({*version, job.digest});
    if (const auto size = next.accepted_changes.size(); size > kMostHistory) {
        const auto kept = next.accepted_changes.begin() + static_cast<std::ptrdiff_t>(size - kMostHistory);
        next.forgotten_up_to = std::prev(kept)->version;
        next.accepted_changes.erase(next.accepted_changes.begin(), kept);
    }
    job.next_record = {record_position_, rpc::encode(next)};
    propose(now, job);
}

void ConfigService::propose(Time now, PendingCall& job) {
    job.committed_by = raft_.propose(now, job.next_record->second);
    if (!job.committed_by) return;  // not now: the value is kept, so that nothing is read twice
    job.next_record.reset();
    pending_bytes_ -= std::exchange(job.body, {}).size();
}

std::optional<control_api::Response> ConfigService::poll_call(Time now, PendingCall& job) {
    if (!job.committed_by && !job.read_round) {
        if (raft_.role() != raft::RaftNode::Role::Leader) return redirect_to_leader(now, job.call);
        if (raft_.has_leader_lease(now)) decide(now, job);
    }
    // What the register holds now may be on no disk yet, not even here: a core of one commits by itself, and
    // an answer that speaks of it, be it a refusal, would outlive it.
    const bool is_written = !raft_.has_output();
    if (job.committed_by) {
        // Committed in the term in which it was proposed, or never by us: then nothing clear can be said.
        if (!raft_.may_still_commit(*job.committed_by))
            return unclear("the lead was lost; it may be in force or not");
        if (is_written && raft_.is_durable(*job.committed_by)) {
            if (on_decided && !job.already_applied) on_decided(true, job.version, "");
            return control_api::Response{200, "{}"};
        }
        if (now - job.received_at >= kLongest) return unclear("undecided; it may be in force or not");
        return std::nullopt;
    }
    if (job.read_round) {
        // A confirmation of another term says nothing about what was current in this one.
        if (!raft_.may_still_commit({job.term, 0})) return redirect_to_leader(now, job.call);
        if (is_written && raft_.is_read_confirmed(*job.read_round)) return std::move(job.answer);
    }
    if (now - job.received_at >= kUndecided) return unclear("undecided; nothing was done");
    return std::nullopt;
}

void ConfigService::process_pending(Time now) {
    std::vector<std::pair<control_api::Respond, control_api::Response>> answers;
    for (auto job = pending_calls_.begin(); job != pending_calls_.end();) {
        auto answer = poll_call(now, *job);
        if (!answer) {
            ++job;
            continue;
        }
        pending_bytes_ -= job->body.size();
        answers.emplace_back(std::move(job->respond), std::move(*answer));
        job = pending_calls_.erase(job);
    }
    // Last, since an answer may bring the next call with it.
    for (auto& [respond, answer] : answers) respond(std::move(answer));
}

}  // namespace martenford::config_service
