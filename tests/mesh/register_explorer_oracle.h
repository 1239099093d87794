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

class Oracle {
  public:
    explicit Oracle(const std::set<Invariant>& ignored) : ignored_(ignored) {}

    std::optional<std::pair<Invariant, std::string>> broken;
    void fail(Invariant invariant, std::string what);
    bool require(bool holds, Invariant invariant, const std::string& what);

    void first_voters(const LogEntry& entry) { saw(entry); }
    /// It can never vote or answer again.
    void dead(MemberId id) { dead_.insert(id); }
    void synced(const PersistentState& disk);

    /// A message leaves the process whose disk holds `disk` for sure.
    void sent(const Message& message, const PersistentState& disk);

    void leads(MemberId id, Term term, const LogEntry& entry);

    bool on_majority(const LogEntry& entry) const;
    /// A process serves this as committed.
    void committed(const LogEntry& entry);

    /// A leader goes from one entry to the next.
    void changed_members(const LogEntry& from, const LogEntry& to);

    /// The operator is told 200 while so many disks of machines that are not lost hold it.
    void acknowledged(const std::string& token, std::size_t copies, std::size_t needed);
    void left(MemberId id);
    void refused(const std::string& token);
    std::size_t acknowledgements() const { return acknowledged_.size(); }
    const std::vector<std::string>& all_acknowledged() const { return acknowledged_; }
    /// An answer to a read that was asked when the first `before` orders had been acknowledged.
    void read(const std::string& value, std::size_t before);
    std::uint64_t elections = 0, changes = 0;

  private:
    void saw(const LogEntry& entry);
    std::set<Invariant> ignored_;
    std::set<MemberId> members_, dead_;
    struct Acceptance {
        std::set<MemberId> by;  // whose disks held it, lost since or not
        std::string value;
    };
    std::map<LogPosition, Acceptance> accepted_;
    std::map<std::pair<MemberId, Term>, MemberId> votes_;
    std::map<Term, MemberId> leaders_;
    std::map<LogPosition, std::string> chain_;
    LogEntry in_force_;
    std::vector<std::string> acknowledged_;
    std::set<std::string> refused_;
};

}  // namespace martenford::explorer
