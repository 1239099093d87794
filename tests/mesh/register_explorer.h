// An explorer of the agreed register (src/raft): random schedules and a bounded exhaustive search, in virtual
// time, with a model of disks, links and operators, and an oracle that judges only what goes out and what is
// on disk.
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
    OneLeaderATerm,
    ElectedByMajority,
    OneVoteATerm,
    PersistedBeforeSent,
    NoVoteWithoutMembership,
    CommittedOnMajority,
    CommittedNeverLost,
    EnoughCopies,
    AcknowledgedReadable,
    LoserNeverInForce,
    ResendNeverRefused,
    NoStaleLease,
    NoStaleTouch,
    NoStaleConfirmation,
    ChangeOnCommitted,
    QuorumsMeet,
    LeaverGivesFirst,
    Progress,
};
inline constexpr std::size_t kInvariants = 18;
const char* name_of(Invariant invariant);

struct Violation {
    Invariant invariant;
    std::uint64_t seed = 0;  ///< of a random schedule; 0: the exhaustive search
    std::string what;
    std::vector<std::string> steps;  ///< the last ones before it
};

/// What a run went through; a search that saw little proves little.
struct Counts {
    std::uint64_t schedules = 0, events = 0, messages = 0, elections = 0, acknowledged = 0, refused = 0,
                  reads = 0, unclear = 0, changes_of_members = 0;
    std::uint64_t states = 0, repeated = 0;  ///< of the exhaustive search
    std::map<std::string, std::uint64_t> faults;
    std::string text() const;
};

struct Options {
    bool trace = false;           ///< each step to standard output
    std::set<Invariant> ignored;  ///< to look behind a known violation, by hand only
};

/// One schedule; its shape (machines, tolerance, zones) and all that happens follow from the seed.
std::optional<Violation> random_schedule(std::uint64_t seed, Counts& counts, const Options& options = {});

enum class Start : std::uint8_t { Election, Rivals, ChangeOfMembers };
/// Every order of delivery from the start given, with a few timeouts, losses, duplicates and losses of power;
/// states that were seen are not gone through again.
std::optional<Violation> exhaustive_search(Start start, std::uint64_t most_states, Counts& counts);

}  // namespace martenford::explorer
