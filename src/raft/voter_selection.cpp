#include "raft/voter_selection.h"

#include <algorithm>
#include <array>
#include <bit>
#include <map>
#include <tuple>

namespace martenford::raft {

namespace {

/// Of a set: how many lie in each place, the most first.
template <class Place>
std::vector<std::size_t> counts(const std::vector<Member>& members, Place place) {
    std::map<std::string, std::size_t> by_place;
    for (const Member& member : members) ++by_place[member.*place];
    std::vector<std::size_t> out;
    for (const auto& [name, count] : by_place) out.push_back(count);
    std::sort(out.rbegin(), out.rend());
    return out;
}

std::size_t sum_of_first(const std::vector<std::size_t>& counts, std::size_t n) {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < std::min(n, counts.size()); ++i) sum += counts[i];
    return sum;
}

/// The most voters that one loss may take, and what a majority can do without.
struct Reach {
    std::size_t lost = 0, spare = 0, largest_zone = 0, largest_region = 0;
    std::size_t shortfall() const { return lost > spare ? lost - spare : 0; }
};

Reach reach(const std::vector<Member>& voters, const FaultTolerance& tolerance) {
    const auto zones = counts(voters, &Member::zone), regions = counts(voters, &Member::region);
    Reach out;
    out.lost = std::max({std::min(tolerance.machines, voters.size()), sum_of_first(zones, tolerance.zones),
                         sum_of_first(regions, tolerance.regions)});
    out.spare = voters.empty() ? 0 : voters.size() - (voters.size() / 2 + 1);
    out.largest_zone = zones.empty() ? 0 : zones.front();
    out.largest_region = regions.empty() ? 0 : regions.front();
    return out;
}

}  // namespace

bool tolerates_failures(const std::vector<Member>& voters, const FaultTolerance& tolerance) {
    return !voters.empty() && reach(voters, tolerance).shortfall() == 0;
}

bool replicas_survive_failures(const std::vector<Member>& holders, const std::vector<Member>& voters,
                               const FaultTolerance& tolerance) {
    if (holders.empty()) return false;
    const auto outlives = [](std::size_t held, std::size_t all, std::size_t lost) {
        return held > lost || all <= lost;  // where all may go, no copy can be kept
    };
    return outlives(holders.size(), voters.size(), tolerance.machines) &&
           outlives(counts(holders, &Member::zone).size(), counts(voters, &Member::zone).size(),
                    tolerance.zones) &&
           outlives(counts(holders, &Member::region).size(), counts(voters, &Member::region).size(),
                    tolerance.regions);
}

std::vector<Member> choose_voters(std::vector<VoterCandidate> candidates, const FaultTolerance& tolerance) {
    // Machines that don't count never vote, unless there are no others at all.
    if (std::any_of(candidates.begin(), candidates.end(),
                    [](const auto& c) { return c.member.loss_counted; }))
        std::erase_if(candidates, [](const auto& c) { return !c.member.loss_counted; });
    std::sort(candidates.begin(), candidates.end(), [](const VoterCandidate& a, const VoterCandidate& b) {
        return std::tuple(!a.is_voter, !a.is_live, a.member.id) <
               std::tuple(!b.is_voter, !b.is_live, b.member.id);
    });
    if (candidates.size() > kMaxVoterCandidates) candidates.resize(kMaxVoterCandidates);

    const std::size_t wanted = 2 * tolerance.machines + 1;
    // The less the better, from left to right; the last is the subset itself, so that all decide alike.
    using Rank = std::array<std::size_t, 7>;
    Rank best{};
    std::vector<Member> chosen;
    for (std::uint32_t subset = 1; subset < 1U << candidates.size(); ++subset) {
        std::vector<Member> voters;
        std::size_t silent = 0, strangers = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!(subset >> i & 1)) continue;
            voters.push_back(candidates[i].member);
            silent += !candidates[i].is_live;
            strangers += !candidates[i].is_voter;
        }
        const Reach found = reach(voters, tolerance);
        const std::size_t size = voters.size();
        const std::size_t off = found.shortfall() == 0 || size > wanted ? size : wanted - size;
        const Rank rank{found.shortfall(),  off,       silent, found.largest_region,
                        found.largest_zone, strangers, subset};
        if (chosen.empty() || rank < best) {
            best = rank;
            chosen = std::move(voters);
        }
    }
    return chosen;
}

}  // namespace martenford::raft
