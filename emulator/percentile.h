#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace martenford::emulator {

/// The value below which this share (0 to 1) of the values lies; 0 where there are none.
inline double percentile(std::vector<double> values, double share) {
    if (values.empty()) return 0.0;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

}  // namespace martenford::emulator
