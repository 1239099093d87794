// The oracle of the explorer: judges only what is on disks, what is sent, and what callers are answered.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mesh/register_explorer.h"
#include "mesh/register_explorer_model.h"

namespace martenford::explorer {

/// Records what happens in a cluster and reports the first violation of an invariant
/// (docs/control-explorer.md).
class Oracle {
  public:
    explicit Oracle(std::set<Invariant> ignored) : ignored_(std::move(ignored)) {}

    /// The first violation, and what it is.
    std::optional<std::pair<Invariant, std::string>> violation;
    void report(Invariant invariant, std::string what);
    bool require(bool holds, Invariant invariant, const std::string& what);

    void set_initial_voters(const LogEntry& entry) { add_members(entry); }
    /// The member can never vote or answer again.
    void mark_dead(MemberId id) { dead_.insert(id); }
    /// `disk` is on the disk of its member.
    void on_synced(const PersistentState& disk);

    /// A message leaves the process whose disk has `disk` synced.
    void on_sent(const Message& message, const PersistentState& disk);

    /// A member is leader in a term, with `entry` as its last one.
    void on_leader(MemberId id, Term term, const LogEntry& entry);

    /// Returns whether the entry was on the disks of a majority of each of its configurations.
    bool on_majority(const LogEntry& entry) const;
    /// A process takes this entry for committed.
    void on_committed(const LogEntry& entry);

    /// A leader replaces an entry by one with another configuration.
    void on_configuration_change(const LogEntry& from, const LogEntry& to);

    /// An operator is answered 200 while `copies` disks of machines that have not failed hold the order;
    /// `needed` of them are required.
    void on_acknowledged(const std::string& token, std::size_t copies, std::size_t needed);
    /// The member's has_left() holds.
    void on_left(MemberId id);
    /// An operator is answered 412.
    void on_refused(const std::string& token);
    std::size_t acknowledgements() const { return acknowledged_.size(); }
    const std::vector<std::string>& all_acknowledged() const { return acknowledged_; }
    /// An answer to a read that was requested when the first `before` orders had been acknowledged.
    void on_read(const std::string& value, std::size_t before);
    std::uint64_t elections = 0, configuration_changes = 0;

  private:
    void add_members(const LogEntry& entry);
    std::set<Invariant> ignored_;
    std::set<MemberId> members_, dead_;
    struct Acceptance {
        std::set<MemberId> by;  // the members on whose disks it was, lost since or not
        std::string value;
    };
    std::map<LogPosition, Acceptance> accepted_;
    std::map<std::pair<MemberId, Term>, MemberId> votes_;
    std::map<Term, MemberId> leaders_;
    std::map<LogPosition, std::string> committed_values_;
    LogEntry in_force_;
    std::vector<std::string> acknowledged_;
    std::set<std::string> refused_;
};

}  // namespace martenford::explorer
