#include "guildhall/clerk.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace martenford::guildhall {

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
constexpr std::size_t kMostBody = passage::kMostDocument;  // a longer one could not be sent to the others
constexpr Duration kComeBack = 300ms;

calls::Response refusal(unsigned status, const std::string& why) {
    return {status, Json{{"error", why}}.dump()};
}
calls::Response unclear(const std::string& why) {
    return {503, Json{{"error", why}}.dump(), "", kComeBack};
}
}  // namespace

const passage::Word& Clerk::word() {
    const raft::LogEntry& committed = moot_.persistent_state().committed_entry;
    if (committed.position != word_stamp_) {
        // A new term's entry most often has the value that was there.
        auto read = passage::decode_word(committed.value);
        readable_ = read.has_value();
        if (read) word_ = std::move(*read);
        word_stamp_ = committed.position;
    }
    return word_;
}

calls::Response Clerk::elsewhere(Time now, Call call) const {
    const auto leader = moot_.leader();
    if (leader && moot_.role() != raft::RaftNode::Role::Leader && moot_.has_quorum_contact(now, 1s) &&
        control_of) {
        return {307, "",
                control_of(*leader) + (call == Call::Read      ? "/v1/configuration/read"
                                       : call == Call::Replace ? "/v1/configuration/replace"
                                                               : "/v1/configuration/modify")};
    }
    return unclear("no leader is known");
}

void Clerk::take(Time now, Call call, const std::string& body, calls::Respond respond) {
    if (moot_.role() != raft::RaftNode::Role::Leader) return respond(elsewhere(now, call));
    if (body.size() > kMostBody) return respond(refusal(413, "the body is too long"));
    if (jobs_.size() >= kMostJobs || held_ + body.size() > kMostHeld)
        return respond(unclear("too many calls wait"));
    Job job;
    job.call = call;
    job.body = body;
    job.digest = mesh_config::digest(body, call == Call::Replace ? 1 : 2);
    job.respond = std::move(respond);
    job.came = now;
    held_ += body.size();
    jobs_.push_back(std::move(job));
    settle(now);
}

void Clerk::answer_when_confirmed(Time now, Job& job, calls::Response answer) {
    job.answer = std::move(answer);
    job.confirmation = moot_.request_read_index(now);
}

void Clerk::refuse(Time now, Job& job, unsigned status, const std::string& why, const std::string& logged) {
    if (on_decided) on_decided(false, job.version, logged.empty() ? why : logged);
    answer_when_confirmed(now, job, refusal(status, why));
}

/// Here, on a leader that has all that was committed. What depends on which version is current is answered
/// only once a majority has said that it still leads.
void Clerk::decide(Time now, Job& job) {
    const passage::Word& held = word();
    job.term = moot_.persistent_state().term;
    if (!readable_) return answer_when_confirmed(now, job, unclear("what is in place can't be read"));
    if (job.call == Call::Read) {
        if (held.version == 0)
            return answer_when_confirmed(now, job, refusal(404, "no configuration has been taken yet"));
        return answer_when_confirmed(now, job, {200, held.document});
    }
    // Before it is read at all: a call that was taken stays taken, whatever is thought of it now.
    if (std::any_of(held.history.begin(), held.history.end(),
                    [&](const auto& taken) { return taken.digest == job.digest; })) {
        job.holds = word_stamp_;
        job.repeated = true;
        return;
    }
    // What is proposed may be this very call, sent before; and one at a time is decided.
    if (!is_settled()) return;
    if (job.next && job.next->first == word_stamp_) return propose(now, job);
    const auto read = mesh_config::parse_object(job.body);
    if (!read) return refuse(now, job, 400, "the body is no JSON object", "no JSON");
    const Json& change = *read;
    const auto text = [&](const char* field) {
        const auto it = change.find(field);
        return it != change.end() && it->is_string() ? mesh_config::parse_version(it->get<std::string>())
                                                     : std::nullopt;
    };
    const auto version = text("version");
    if (!version) return refuse(now, job, 400, "version: eight hexadecimal digits are wanted", "version");
    job.version = *version;
    if (*version <= held.forgotten)
        return answer_when_confirmed(now, job, unclear("too long ago to tell whether it was taken"));
    std::uint32_t base = 0;
    if (change.contains("base_version")) {
        const auto named = text("base_version");
        if (named) {
            base = *named;
        } else if (change["base_version"] != 0) {
            return refuse(now, job, 400, "base_version: eight hexadecimal digits are wanted", "base_version");
        }
    }
    if (base != held.version)
        return refuse(now, job, 412, "version " + mesh_config::text_of(held.version) + " is in place",
                      "another version is in place");
    if (*version <= held.version)
        return refuse(now, job, 400, "version is not above " + mesh_config::text_of(held.version),
                      "its version is not above");
    std::variant<Json, mesh_config::ConfigError> whole = change;
    if (job.call == Call::Modify) {
        const Json document =
            held.document.empty() ? Json::object() : Json::parse(held.document, nullptr, false);
        whole = mesh_config::modified(document, change);
    }
    if (const auto* problem = std::get_if<mesh_config::ConfigError>(&whole))
        return refuse(now, job, 400, problem->text());
    const Json& document = std::get<Json>(whole);
    const auto config = mesh_config::read_config(document);
    if (const auto* problem = std::get_if<mesh_config::ConfigError>(&config))
        return refuse(now, job, 400, problem->text());
    passage::Word next{*version, document.dump(), held.history, held.forgotten};
    if (next.document.size() > passage::kMostDocument)
        return refuse(now, job, 413, "the configuration is too long");
    next.history.push_back({*version, job.digest});
    if (const auto size = next.history.size(); size > kMostHistory) {
        const auto kept = next.history.begin() + static_cast<std::ptrdiff_t>(size - kMostHistory);
        next.forgotten = std::prev(kept)->version;
        next.history.erase(next.history.begin(), kept);
    }
    job.next = {word_stamp_, passage::encode(next)};
    propose(now, job);
}

void Clerk::propose(Time now, Job& job) {
    job.holds = moot_.propose(now, job.next->second);
    if (!job.holds) return;  // not now: the value is kept, so that nothing is read twice
    job.next.reset();
    held_ -= std::exchange(job.body, {}).size();
}

std::optional<calls::Response> Clerk::look_at(Time now, Job& job) {
    if (!job.holds && !job.confirmation) {
        if (moot_.role() != raft::RaftNode::Role::Leader) return elsewhere(now, job.call);
        if (moot_.has_leader_lease(now)) decide(now, job);
    }
    // What the register holds now may be on no disk yet, not even here: a core of one commits by itself, and
    // an answer that speaks of it, be it a refusal, would outlive it.
    const bool is_written = !moot_.has_output();
    if (job.holds) {
        // Committed in the term in which it was proposed, or never by us: then nothing clear can be said.
        if (!moot_.may_still_commit(*job.holds))
            return unclear("the lead was lost; it may be in force or not");
        if (is_written && moot_.is_durable(*job.holds)) {
            if (on_decided && !job.repeated) on_decided(true, job.version, "");
            return calls::Response{200, "{}"};
        }
        if (now - job.came >= kLongest) return unclear("undecided; it may be in force or not");
        return std::nullopt;
    }
    if (job.confirmation) {
        // A confirmation of another term says nothing about what was current in this one.
        if (!moot_.may_still_commit({job.term, 0})) return elsewhere(now, job.call);
        if (is_written && moot_.is_read_confirmed(*job.confirmation)) return std::move(job.answer);
    }
    if (now - job.came >= kUndecided) return unclear("undecided; nothing was done");
    return std::nullopt;
}

void Clerk::settle(Time now) {
    std::vector<std::pair<calls::Respond, calls::Response>> answers;
    for (auto job = jobs_.begin(); job != jobs_.end();) {
        auto answer = look_at(now, *job);
        if (!answer) {
            ++job;
            continue;
        }
        held_ -= job->body.size();
        answers.emplace_back(std::move(job->respond), std::move(*answer));
        job = jobs_.erase(job);
    }
    // Last, since an answer may bring the next call with it.
    for (auto& [respond, answer] : answers) respond(std::move(answer));
}

}  // namespace martenford::guildhall
