// Which members vote: enough of them that each failure to tolerate leaves a majority, spread over zones and
// regions. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace martenford::raft {

/// Identifies a disk: a machine that lost its disk returns under another id at the same address. 0: none.
using MemberId = std::uint64_t;

/// A node of the register: a voter, or a learner that may become one.
struct Member {
    MemberId id = 0;
    std::string address;   ///< "ip:port" at which it receives messages
    std::string zone{};    ///< empty: not known yet
    std::string region{};  ///< empty: not known yet
    /// Whether its machine is one of those whose failure is to be tolerated. Others vote only where there are
    /// none.
    bool loss_counted = true;
    bool operator==(const Member&) const = default;
};

/// Failures to tolerate, one kind at a time: the loss of so many machines, or of so many zones, or of so many
/// regions. From the settings file, [fault_tolerance].
struct FaultTolerance {
    std::size_t machines = 1;
    std::size_t zones = 0;
    std::size_t regions = 0;
};

/// Bound of the candidates that are considered: choose_voters() looks at each of their 4,096 subsets.
constexpr std::size_t kMaxVoterCandidates = 12;
/// Bound of FaultTolerance::machines: 2f+1 = 11 voters are within kMaxVoterCandidates.
constexpr std::size_t kMaxToleratedMachines = 5;

/// Returns whether each of the failures leaves a majority of `voters`. False if there are none.
[[nodiscard]] bool tolerates_failures(const std::vector<Member>& voters, const FaultTolerance& tolerance);

/// Returns whether a replica is left on one of `holders` after each of the failures. A failure that would
/// take all of `voters` is not asked for: no replica could survive it.
[[nodiscard]] bool replicas_survive_failures(const std::vector<Member>& holders,
                                             const std::vector<Member>& voters,
                                             const FaultTolerance& tolerance);

/// Returns whether failures of all kinds together, at the same time, can take all `members`: so many
/// machines, and so many zones, and so many regions, and any number of machines whose loss is not counted.
[[nodiscard]] bool may_all_fail(const std::vector<Member>& members, const FaultTolerance& tolerance);

struct VoterCandidate {
    Member member;
    bool is_voter = false;  ///< in the configuration in force
    bool is_live = false;   ///< answers the leader, and its disk has not been replaced
    bool operator==(const VoterCandidate&) const = default;
};

/// Returns the members that should vote. Where no choice tolerates all failures, it is the best spread choice
/// of 2f+1 members. A voter that does not answer is kept until a live candidate can replace it: its disk may
/// return. Considers at most kMaxVoterCandidates, voters before others and live ones before unresponsive
/// ones. The result does not depend on the order of `candidates`.
[[nodiscard]] std::vector<Member> choose_voters(std::vector<VoterCandidate> candidates,
                                                const FaultTolerance& tolerance);

}  // namespace martenford::raft
