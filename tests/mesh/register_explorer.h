// An explorer of the replicated register (src/raft): random schedules of faults and a bounded exhaustive
// search, in virtual time. It models disks, links and operators; its oracle judges only what is sent and what
// is on disk.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace martenford::explorer {

/// The invariants; docs/control-explorer.md says what each means.
enum class Invariant : std::uint8_t {
    OneLeaderPerTerm,
    ElectedByMajority,
    OneVotePerTerm,
    PersistedBeforeSent,
    NoVoteWithoutMembership,
    CommittedOnMajority,
    CommittedNeverLost,
    EnoughReplicas,
    AcknowledgedReadable,
    RefusedNeverCommitted,
    AcknowledgedNeverRefused,
    NoStaleLease,
    NoStaleContact,
    NoStaleConfirmation,
    ChangeOnCommitted,
    QuorumsOverlap,
    LeaverReplacedFirst,
    Progress,
};
inline constexpr std::size_t kInvariantCount = 18;
/// Returns the name that docs/control-explorer.md has for it.
const char* name_of(Invariant invariant);

/// A violated invariant, with what is needed to repeat it.
struct Violation {
    Invariant invariant;
    std::uint64_t seed = 0;  ///< of a random schedule; 0: the exhaustive search
    std::string what;
    std::vector<std::string> steps;  ///< the last ones before it, kMaxSteps at most
};

/// What a run covered; the tests require enough of each.
struct Counts {
    std::uint64_t schedules = 0, events = 0, messages = 0, elections = 0, acknowledged = 0, refused = 0,
                  reads = 0, outcome_unknown = 0, configuration_changes = 0;
    std::uint64_t states = 0, revisited = 0;  ///< of the exhaustive search
    std::map<std::string, std::uint64_t> faults;
    std::string text() const;
};

/// Options for runs by hand.
struct Options {
    bool trace = false;           ///< prints each step to standard output
    std::set<Invariant> ignored;  ///< not reported, to find what follows a known violation
};

/// Runs one schedule. Its cluster (machines, failures to tolerate, zones) and all faults follow from the
/// seed. Returns the first violation.
std::optional<Violation> random_schedule(std::uint64_t seed, Counts& counts, const Options& options = {});

/// Where an exhaustive search begins: at an election, at two candidates with a won pre-vote, or before a
/// voter is replaced.
enum class Start : std::uint8_t { Election, SplitVote, MembershipChange };
/// Goes through every order of delivery from `start`, with a few timeouts, message losses and losses of
/// power, up to `max_states` different states. Returns the first violation.
std::optional<Violation> exhaustive_search(Start start, std::uint64_t max_states, Counts& counts);

}  // namespace martenford::explorer
