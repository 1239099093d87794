#include "mesh/rig/history.h"

#include <algorithm>

namespace martenford::rig {

namespace {

/// Valid requests that may be rejected with 4xx; one more for each 500
/// requests.
constexpr std::size_t kMaxRejected = 5;
/// A request whose connection ends this long after it was sent counts as lost,
/// whether or not it was read. The rule's `loss_slack_ms` is 200; a machine
/// that is busy with other work needs more.
constexpr Duration kLossSlack = 1s;
/// A proxy may still serve an older version this long after a newer one: the
/// rule's `revert_slack_ms`.
constexpr Duration kRevertSlack = 250ms;

std::string describe(const ConfigChange& change) {
    return change.marker + " (version " + std::to_string(change.version) + " on " +
           std::to_string(change.base) + ")";
}
bool was_rejected(const ChangeAttempt& attempt) {
    return attempt.status / 100 == 4 && attempt.status != 408 && attempt.status != 429;
}

class Checker {
  public:
    explicit Checker(const History& history) : history_(history) {
        for (const ConfigChange& change : history.changes) by_marker_[change.marker] = &change;
    }
    std::vector<std::string> check() {
        check_last_read();
        has_last_read_ = history_.last_read.status == 200;  // else losses cannot be determined
        check_changes();
        check_rejections();
        check_reads();
        check_requests();
        check_markers();
        for (const auto& process : history_.unexpected_exits) add("ended by itself: " + process);
        return std::move(violations_);
    }

  private:
    void add(const std::string& what) { violations_.push_back(what); }
    bool is_in_force(const ConfigChange& change) const {
        return history_.last_read.markers.contains(change.marker);
    }

    /// The lineage that was read back at the end is one chain of changes that
    /// were sent, each on the one before.
    void check_last_read() {
        if (history_.last_read.status != 200) return add("the configuration can't be read back");
        for (const auto& marker : history_.last_read.markers) {
            const auto change = by_marker_.find(marker);
            if (change == by_marker_.end())
                add("in force and never sent: " + marker);
            else
                lineage_.push_back(change->second);
        }
        std::sort(lineage_.begin(), lineage_.end(),
                  [](const ConfigChange* a, const ConfigChange* b) { return a->version < b->version; });
        std::uint32_t at = 0;
        for (const ConfigChange* change : lineage_) {
            if (change->base != at) add("not built on what it names: " + describe(*change));
            at = change->version;
        }
        if (at != history_.last_read.version)
            add("read back under another number: " + std::to_string(history_.last_read.version));
    }

    void check_changes() {
        std::map<std::uint32_t, const ConfigChange*> by_base;
        for (const ConfigChange& change : history_.changes) {
            bool acknowledged = false;
            for (const ChangeAttempt& attempt : change.attempts) {
                if (was_rejected(attempt) && acknowledged)
                    add("acknowledged, sent again and refused with " + std::to_string(attempt.status) + ": " +
                        describe(change));
                acknowledged |= attempt.status == 200;
            }
            if (!acknowledged) continue;
            if (has_last_read_ && !is_in_force(change)) add("acknowledged and lost: " + describe(change));
            if (const auto [other, first] = by_base.emplace(change.base, &change); !first)
                add("two acknowledged on one base: " + describe(*other->second) + " and " + describe(change));
        }
    }

    void check_rejections() {
        for (const ConfigChange& change : history_.changes) {
            for (const ChangeAttempt& attempt : change.attempts) {
                if (!was_rejected(attempt)) continue;
                if (is_in_force(change)) add("refused and in force: " + describe(change));
                // A refusal says that another version is current; its base was, from
                // its acknowledgement or a read until the change on top of it was first
                // sent.
                if (known_since(change.base) < attempt.sent && attempt.answered < replaced_at(change.base))
                    add("refused with " + std::to_string(attempt.status) +
                        " on top of the current version: " + describe(change));
            }
        }
    }
    Time known_since(std::uint32_t version) const {
        Time first = Time::max();
        for (const ConfigChange& change : history_.changes) {
            if (change.version != version || !is_in_force(change)) continue;
            for (const ChangeAttempt& attempt : change.attempts)
                if (attempt.status == 200) first = std::min(first, attempt.answered);
        }
        for (const ConfigRead& read : history_.reads)
            if (read.status == 200 && read.version == version) first = std::min(first, read.answered);
        return first;
    }
    Time replaced_at(std::uint32_t version) const {
        for (const ConfigChange* change : lineage_)
            if (change->base == version) return change->attempts.front().sent;
        return Time::max();
    }

    void check_reads() {
        std::set<std::string> lost;
        for (const ConfigRead& read : history_.reads) {
            if (read.status != 200 && read.status != 404) continue;
            for (const ConfigChange& change : history_.changes) {
                for (const ChangeAttempt& attempt : change.attempts) {
                    if (attempt.status == 200 && attempt.answered < read.sent &&
                        read.version < change.version)
                        add("read " + std::to_string(read.version) + " after the acknowledgement of " +
                            describe(change));
                }
            }
            for (const auto& marker : read.markers)
                if (has_last_read_ && !history_.last_read.markers.contains(marker)) lost.insert(marker);
        }
        for (const auto& marker : lost) add("read and lost: " + marker);
    }

    void check_requests() {
        std::map<std::string, std::size_t> execution_counts;
        std::set<std::string> failed;
        for (const Execution& execution : history_.executions) {
            ++execution_counts[execution.id];
            if (execution.failed) failed.insert(execution.id);
            if (!history_.requests.contains(execution.id)) add("run and never asked: " + execution.id);
            if (!execution.intact) add("run with another path or body: " + execution.id);
        }
        std::size_t rejected = 0;
        for (const auto& [id, request] : history_.requests) {
            const auto found = execution_counts.find(id);
            const std::size_t executions = found == execution_counts.end() ? 0 : found->second;
            check_at_most_once(id, request, executions);
            check_response(id, request, executions);
            if (history_.planned_only && !failed.contains(id)) check_not_lost(id, request, executions);
            const int status = request.status;
            rejected += request.marker.empty() && status / 100 == 4 && status != 408 && status != 421 &&
                        status != 429;
        }
        if (rejected > kMaxRejected + history_.requests.size() / 500)
            add(std::to_string(rejected) + " proper requests were denied");
    }
    void check_at_most_once(const std::string& id, const Request& request, std::size_t executions) {
        if (request.idempotent) return;
        if (executions > 1) add("not repeatable and run " + std::to_string(executions) + " times: " + id);
        const int status = request.status;
        const bool promises_no_execution = status == 429 || status == 503 || status == 408 || status == 421;
        if (executions > 0 && promises_no_execution)
            add("run and promised not to be, with " + std::to_string(status) + ": " + id);
    }
    void check_response(const std::string& id, const Request& request, std::size_t executions) {
        if (!request.answered_id.empty() && request.answered_id != id)
            add("the answer to " + request.answered_id + " came to " + id);
        if (request.status / 100 != 2) return;
        if (executions == 0) add("a success that nobody ran: " + id);
        if (request.answered_id != id || request.seal.empty() || request.body != echo_of(id, request.seal))
            add("a success that is not its endpoint's answer: " + id);
    }
    void check_not_lost(const std::string& id, const Request& request, std::size_t executions) {
        const int status = request.status;
        const Duration elapsed = request.ended - request.sent;
        const bool connection_lost = status == 0 && (executions > 0 || elapsed > kLossSlack);
        const bool abandoned = executions > 0 && (status == 500 || status == 502 || status == 504);
        if (!connection_lost && !abandoned) return;
        const auto elapsed_ms = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
        add("lost in planned work, with " + std::to_string(status) + " after " + std::to_string(elapsed_ms) +
            " ms, run " + std::to_string(executions) + " times: " + id);
    }

    /// By the routes that changes brought: which of them was in force where, and
    /// when.
    void check_markers() {
        std::map<std::string, std::vector<const Request*>> by_incarnation;
        for (const auto& [id, request] : history_.requests) {
            if (request.marker.empty()) continue;
            if (request.status == 200 && has_last_read_ &&
                !history_.last_read.markers.contains(request.marker))
                add("in force and lost: " + request.marker + ", request " + id);
            if (request.status == 200 || request.status == 404)
                by_incarnation[request.proxy_incarnation].push_back(&request);
        }
        for (auto& [incarnation, requests] : by_incarnation) {
            std::sort(requests.begin(), requests.end(),
                      [](const Request* a, const Request* b) { return a->ended < b->ended; });
            std::uint32_t seen = 0;  // the newest version that was served
            Time since{};
            for (const Request* request : requests) {
                const auto change = by_marker_.find(request->marker);
                if (change == by_marker_.end() || !is_in_force(*change->second)) continue;
                const std::uint32_t version = change->second->version;
                if (request->status == 200 && version > seen) {
                    seen = version;
                    since = request->ended;
                }
                if (request->status == 404 && version <= seen && request->sent > since + kRevertSlack)
                    add(incarnation + " went back behind " + request->marker);
            }
        }
    }

    const History& history_;
    std::map<std::string, const ConfigChange*> by_marker_;
    std::vector<const ConfigChange*> lineage_;
    bool has_last_read_ = false;
    std::vector<std::string> violations_;
};

}  // namespace

std::string echo_of(const std::string& id, const std::string& instance) {
    return "echo of " + id + " by " + instance + " " + std::string(200 + id.size() * 37, 'e');
}

std::vector<std::string> violations(const History& history) {
    return Checker(history).check();
}

}  // namespace martenford::rig
