// Which members vote: as many as must be there so that every loss that is to be borne leaves a majority of
// them, spread over zones and regions. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace martenford::raft {

using MemberId = std::uint64_t;

/// A disk that may vote. A machine that lost its disk comes back as another member at the same address.
struct Member {
    MemberId id = 0;
    std::string address;           ///< "ip:port" where it hears messages
    std::string zone{}, region{};  ///< empty: not known yet
    bool loss_counted = true;      ///< its loss is counted among those that must be borne; others never vote
    bool operator==(const Member&) const = default;
};

/// What may be lost at once: so many machines, or so many zones, or so many regions.
struct FaultTolerance {
    std::size_t machines = 1, zones = 0, regions = 0;
};

/// Whether each loss that is to be borne leaves a majority of `voters`.
bool tolerates_failures(const std::vector<Member>& voters, const FaultTolerance& tolerance);

/// Whether no loss that `voters` outlive takes all of `holders`: a copy is left wherever one can be.
bool replicas_survive_failures(const std::vector<Member>& holders, const std::vector<Member>& voters,
                               const FaultTolerance& tolerance);

struct VoterCandidate {
    Member member;
    bool is_voter = false;  ///< in the set in force
    bool is_live = false;   ///< answers, and its disk is its own
    bool operator==(const VoterCandidate&) const = default;
};

/// The set that should vote. Where no set bears all losses: as many as 2f+1 would be, the best spread. Silent
/// voters are kept until a live one can take their place: a disk that is away may come back. At most
/// kMostCandidates are weighed, those that vote first.
std::vector<Member> choose_voters(std::vector<VoterCandidate> candidates, const FaultTolerance& tolerance);

constexpr std::size_t kMaxVoterCandidates =
    12;  // each of their 4,096 subsets is looked at when something changes
constexpr std::size_t kMaxToleratedMachines = 5;  // that can be borne: 11 voters

}  // namespace martenford::raft
