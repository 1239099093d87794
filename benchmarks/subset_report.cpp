// The ways of subsetting against one another, as a table: evenness, and how many connections move when the
// tier or the fleet changes.
#include <algorithm>
#include <cstdio>
#include <set>
#include <vector>

#include "policy/mechanics.h"
#include "subset/subset.h"

namespace {

using namespace martenford::subset;
using martenford::decision::EndpointId;

struct Fleet {
    std::uint32_t sidecars;
    std::size_t endpoints, width;
};

std::vector<EndpointId> tier(std::size_t size) {
    martenford::decision::Random random(1);
    std::set<EndpointId> ids;
    while (ids.size() < size) ids.insert(EndpointId{static_cast<std::uint32_t>(random.next())});
    return {ids.begin(), ids.end()};
}

struct Evenness {
    double most, least, chosen;
};

Evenness evenness(Method method, const std::vector<EndpointId>& members, std::uint32_t replicas,
                  std::size_t width, double down = 0.0) {
    std::vector<double> callers(members.size());
    double all = 0.0, up = 0.0;
    martenford::decision::Random random(2);
    for (std::uint32_t p = 0; p < replicas; ++p) {
        if (random.unit() < down) continue;
        up += 1.0;
        for (const std::size_t i : choose(method, members, {p, replicas, width})) {
            callers[i] += 1.0;
            all += 1.0;
        }
    }
    const double mean = all / static_cast<double>(members.size());
    const auto [least, most] = std::minmax_element(callers.begin(), callers.end());
    return {*most / mean, *least / mean, all / up};
}

double movement(Method method, const std::vector<EndpointId>& before, const std::vector<EndpointId>& after,
                std::uint32_t was, std::uint32_t is, std::size_t width) {
    double moved = 0.0;
    const std::uint32_t both = std::min(was, is);
    for (std::uint32_t p = 0; p < both; ++p) {
        std::set<EndpointId> had;
        for (const std::size_t i : choose(method, before, {p, was, width})) had.insert(before[i]);
        for (const std::size_t i : choose(method, after, {p, is, width}))
            moved += had.contains(after[i]) ? 0 : 1;
    }
    return moved / both;
}

}  // namespace

int main() {
    const std::pair<const char*, Method> methods[] = {{"window", Method::Window},
                                                      {"rounds", Method::Rounds},
                                                      {"aperture", Method::Aperture},
                                                      {"lots", Method::Lots}};
    for (const Fleet& fleet : {Fleet{92, 99, 8}, Fleet{1000, 1000, 20}, Fleet{1000, 10'000, 20}}) {
        const auto members = tier(fleet.endpoints);
        auto one_fewer = members, tenth_fewer = members;
        one_fewer.erase(one_fewer.begin() + static_cast<std::ptrdiff_t>(members.size() / 3));
        std::erase_if(tenth_fewer, [](EndpointId id) { return static_cast<std::uint32_t>(id) % 10 == 0; });
        std::printf("\n%u sidecars, %zu endpoints, width %zu\n\n", fleet.sidecars, fleet.endpoints,
                    fleet.width);
        std::printf(
            "| way | chosen | callers, most/mean | least/mean | most, a fifth of the sidecars down | moved, "
            "one endpoint fewer | "
            "a tenth fewer | one sidecar more | a tenth more |\n| --- | --- | --- | --- | --- | --- | --- | "
            "--- | --- |\n");
        for (const auto& [name, method] : methods) {
            const auto all = evenness(method, members, fleet.sidecars, fleet.width);
            const auto some = evenness(method, members, fleet.sidecars, fleet.width, 0.2);
            const auto moved = [&](const std::vector<EndpointId>& after, std::uint32_t replicas) {
                return movement(method, members, after, fleet.sidecars, replicas, fleet.width);
            };
            std::printf("| %s | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", name, all.chosen,
                        all.most, all.least, some.most, moved(one_fewer, fleet.sidecars),
                        moved(tenth_fewer, fleet.sidecars), moved(members, fleet.sidecars + 1),
                        moved(members, fleet.sidecars + fleet.sidecars / 10));
        }
    }
}
