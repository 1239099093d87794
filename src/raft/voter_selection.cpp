// Which members vote: ranks the subsets of the candidates.
#include "raft/voter_selection.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace martenford::raft {

namespace {

/// Returns how many members each location has, in descending order. `location` is Member::zone or
/// Member::region.
std::vector<std::size_t> counts_by_location(const std::vector<Member>& members,
                                            std::string Member::*location) {
    std::map<std::string, std::size_t> by_location;
    for (const Member& member : members) ++by_location[member.*location];
    std::vector<std::size_t> counts;
    counts.reserve(by_location.size());
    for (const auto& [name, count] : by_location) counts.push_back(count);
    std::sort(counts.rbegin(), counts.rend());
    return counts;
}

std::size_t sum_of_first(const std::vector<std::size_t>& counts, std::size_t n) {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < std::min(n, counts.size()); ++i) sum += counts[i];
    return sum;
}

/// What the failures to tolerate do to a set of voters.
struct FailureImpact {
    std::size_t max_lost = 0;         // voters that the worst of the failures takes
    std::size_t expendable = 0;       // voters that a majority can do without
    std::size_t in_largest_zone = 0;  // voters
    std::size_t in_largest_region = 0;
    /// Voters lost beyond those that a majority can do without; 0: all failures are tolerated.
    [[nodiscard]] std::size_t shortfall() const { return max_lost > expendable ? max_lost - expendable : 0; }
};

FailureImpact failure_impact(const std::vector<Member>& voters, const FaultTolerance& tolerance) {
    const auto zones = counts_by_location(voters, &Member::zone);
    const auto regions = counts_by_location(voters, &Member::region);
    FailureImpact impact;
    impact.max_lost =
        std::max({std::min(tolerance.machines, voters.size()), sum_of_first(zones, tolerance.zones),
                  sum_of_first(regions, tolerance.regions)});
    impact.expendable = voters.empty() ? 0 : voters.size() - (voters.size() / 2 + 1);
    impact.in_largest_zone = zones.empty() ? 0 : zones.front();
    impact.in_largest_region = regions.empty() ? 0 : regions.front();
    return impact;
}

std::vector<Member> outside_of(const std::vector<Member>& members, std::string Member::*location,
                               const std::string& name) {
    std::vector<Member> outside;
    std::copy_if(members.begin(), members.end(), std::back_inserter(outside),
                 [&](const Member& member) { return member.*location != name; });
    return outside;
}

/// Whether the failures can take all of `members`, each of which counts: tries each kind on the first one.
// NOLINTNEXTLINE(misc-no-recursion): as deep as there are failures
bool can_take_all(const std::vector<Member>& members, const FaultTolerance& left) {
    if (members.empty()) return true;
    const Member& first = members.front();
    const auto with_one_less = [&left](std::size_t FaultTolerance::*kind) {
        FaultTolerance rest = left;
        --(rest.*kind);
        return rest;
    };
    if (left.machines > 0 &&
        can_take_all({members.begin() + 1, members.end()}, with_one_less(&FaultTolerance::machines)))
        return true;
    if (left.zones > 0 &&
        can_take_all(outside_of(members, &Member::zone, first.zone), with_one_less(&FaultTolerance::zones)))
        return true;
    return left.regions > 0 && can_take_all(outside_of(members, &Member::region, first.region),
                                            with_one_less(&FaultTolerance::regions));
}

/// Ranks a choice of voters: the lower, the better, compared field by field in this order.
struct ChoiceRank {
    std::size_t shortfall = 0;          // failures that it does not tolerate, see FailureImpact
    std::size_t size = 0;               // voters; of fewer than 2f+1 with a shortfall, how many are missing
    std::size_t unresponsive = 0;       // voters that do not answer
    std::size_t in_largest_region = 0;  // voters
    std::size_t in_largest_zone = 0;    // voters
    std::size_t newcomers = 0;          // that do not vote today
    std::uint32_t subset = 0;           // of the sorted candidates, as bits: all leaders decide ties alike
    auto operator<=>(const ChoiceRank&) const = default;
};

struct Choice {
    ChoiceRank rank;
    std::vector<Member> voters;
};

/// Returns the choice of those candidates whose bit in `subset` is set.
Choice evaluate_choice(const std::vector<VoterCandidate>& candidates, std::uint32_t subset,
                       const FaultTolerance& tolerance) {
    Choice choice;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if ((subset >> i & 1) == 0) continue;
        choice.voters.push_back(candidates[i].member);
        choice.rank.unresponsive += candidates[i].is_live ? 0 : 1;
        choice.rank.newcomers += candidates[i].is_voter ? 0 : 1;
    }
    const FailureImpact impact = failure_impact(choice.voters, tolerance);
    const std::size_t size = choice.voters.size();
    const std::size_t wanted = 2 * tolerance.machines + 1;
    choice.rank.shortfall = impact.shortfall();
    choice.rank.size = impact.shortfall() == 0 || size > wanted ? size : wanted - size;
    choice.rank.in_largest_region = impact.in_largest_region;
    choice.rank.in_largest_zone = impact.in_largest_zone;
    choice.rank.subset = subset;
    return choice;
}

}  // namespace

bool tolerates_failures(const std::vector<Member>& voters, const FaultTolerance& tolerance) {
    return !voters.empty() && failure_impact(voters, tolerance).shortfall() == 0;
}

bool replicas_survive_failures(const std::vector<Member>& holders, const std::vector<Member>& voters,
                               const FaultTolerance& tolerance) {
    if (holders.empty()) return false;
    const auto survives = [](std::size_t holding, std::size_t all, std::size_t lost) {
        return holding > lost || all <= lost;
    };
    const auto locations = [](const std::vector<Member>& members, std::string Member::*location) {
        return counts_by_location(members, location).size();
    };
    return survives(holders.size(), voters.size(), tolerance.machines) &&
           survives(locations(holders, &Member::zone), locations(voters, &Member::zone), tolerance.zones) &&
           survives(locations(holders, &Member::region), locations(voters, &Member::region),
                    tolerance.regions);
}

std::vector<Member> choose_voters(std::vector<VoterCandidate> candidates, const FaultTolerance& tolerance) {
    const auto is_counted = [](const VoterCandidate& candidate) { return candidate.member.loss_counted; };
    if (std::any_of(candidates.begin(), candidates.end(), is_counted))
        std::erase_if(candidates, [&](const VoterCandidate& candidate) { return !is_counted(candidate); });
    std::sort(candidates.begin(), candidates.end(), [](const VoterCandidate& a, const VoterCandidate& b) {
        return std::tuple(!a.is_voter, !a.is_live, a.member.id) <
               std::tuple(!b.is_voter, !b.is_live, b.member.id);
    });
    if (candidates.size() > kMaxVoterCandidates) candidates.resize(kMaxVoterCandidates);

    Choice best;
    for (std::uint32_t subset = 1; subset < 1U << candidates.size(); ++subset) {
        Choice choice = evaluate_choice(candidates, subset, tolerance);
        if (best.voters.empty() || choice.rank < best.rank) best = std::move(choice);
    }
    return std::move(best.voters);
}

bool may_all_fail(const std::vector<Member>& members, const FaultTolerance& tolerance) {
    std::vector<Member> counted;
    std::copy_if(members.begin(), members.end(), std::back_inserter(counted),
                 [](const Member& member) { return member.loss_counted; });
    return can_take_all(counted, tolerance);
}

}  // namespace martenford::raft
