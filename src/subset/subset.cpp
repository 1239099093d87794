#include "subset/subset.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <string>
#include <utility>

#include "policy/mechanics.h"

namespace martenford::subset {

using decision::EndpointId;
using decision::Random;

namespace {

/// Position of a member on this ring. It is the same at every sidecar.
std::uint64_t hash(EndpointId id, std::uint64_t ring) {
    return Random(static_cast<std::uint64_t>(id) ^ (ring << 32) ^ ring * 0x9e3779b97f4a7c15u).next();
}

/// Indices of all members in ring order.
std::vector<std::size_t> ring_order(const std::vector<EndpointId>& members, std::uint64_t ring) {
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) order.emplace_back(hash(members[i], ring), i);
    std::sort(order.begin(), order.end());
    std::vector<std::size_t> result;
    result.reserve(order.size());
    for (const auto& [key, index] : order) result.push_back(index);
    return result;
}

std::vector<std::size_t> window(const std::vector<std::size_t>& ring, std::size_t start, std::size_t width) {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < width; ++i) result.push_back(ring[(start + i) % ring.size()]);
    return result;
}

/// Rank at this fraction of the ring.
std::size_t rank_at(double share, std::size_t count) {
    return std::min(count - 1, static_cast<std::size_t>(share * static_cast<double>(count)));
}

std::vector<std::size_t> rounds(const std::vector<EndpointId>& members, const SubsetParams& params,
                                std::size_t width) {
    const std::size_t subsets = std::max<std::size_t>(1, members.size() / width);
    std::vector<std::size_t> shuffled(members.size());
    std::iota(shuffled.begin(), shuffled.end(), std::size_t{0});
    Random random(params.position / subsets + 1);
    for (std::size_t i = shuffled.size(); i > 1; --i) std::swap(shuffled[i - 1], shuffled[random.below(i)]);
    return window(shuffled, params.position % subsets * width, width);
}

/// All members that the sidecar's share of the ring touches. Each share starts where the previous one ends.
std::vector<std::size_t> aperture(const std::vector<EndpointId>& members, const SubsetParams& params,
                                  std::size_t width) {
    const auto count = static_cast<double>(members.size());
    const double from = count * params.position / params.replicas;
    const double length = std::max(count / params.replicas, static_cast<double>(width));
    const auto first = static_cast<std::size_t>(from);
    const auto last = static_cast<std::size_t>(std::ceil(from + length - 1e-9));
    return window(ring_order(members, 0), first, std::min(members.size(), last - first));
}

/// The van der Corput sequence 0, 1/2, 1/4, 3/4, 1/8 ...: every prefix of it is about evenly spread.
double van_der_corput(std::uint32_t n) {
    double value = 0.0;
    for (double step = 0.5; n > 0; n >>= 1, step /= 2.0) value += (n & 1u) * step;
    return value;
}

std::vector<std::size_t> lots(const std::vector<EndpointId>& members, const SubsetParams& params,
                              std::size_t width) {
    // Rounded up, so that a lot covers all members. A power of two, so that the points of a full lot are
    // exactly even and small changes of the tier don't change the size of a lot.
    const auto size =
        static_cast<std::uint32_t>(std::bit_ceil(std::max<std::size_t>(1, members.size() / width)));
    const auto ring = ring_order(members, params.position / size + 1);
    return window(ring, rank_at(van_der_corput(params.position % size), members.size()), width);
}

}  // namespace

Method parse_method(std::string_view name) {
    if (name == "window") return Method::Window;
    if (name == "rounds") return Method::Rounds;
    if (name == "aperture") return Method::Aperture;
    if (name == "lots") return Method::Lots;
    throw std::invalid_argument("'" + std::string(name) +
                                "' is not a subset method: window, rounds, aperture, lots");
}

std::vector<std::size_t> choose(Method method, const std::vector<EndpointId>& members,
                                const SubsetParams& params) {
    if (params.replicas == 0) throw std::invalid_argument("replicas must not be 0");
    if (params.width == 0) throw std::invalid_argument("width must not be 0");
    SubsetParams wrapped = params;
    wrapped.position %= wrapped.replicas;
    const std::size_t width = std::min(params.width, members.size());
    if (width == 0) return {};
    std::vector<std::size_t> result;
    switch (method) {
        case Method::Window: {
            const std::size_t start =
                static_cast<std::size_t>(wrapped.position) * members.size() / wrapped.replicas;
            result = window(ring_order(members, 0), start, width);
            break;
        }
        case Method::Rounds:
            result = rounds(members, wrapped, width);
            break;
        case Method::Aperture:
            result = aperture(members, wrapped, width);
            break;
        case Method::Lots:
            result = lots(members, wrapped, width);
            break;
    }
    std::sort(result.begin(), result.end());
    return result;
}

}  // namespace martenford::subset
