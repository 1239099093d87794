// Quantiles, slopes and tables of measured values; the configurations that a run puts. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace martenford::scale_test {

/// The quantile `q` (0 to 1), interpolated between neighbours. NaN values are left out; NaN if none is left.
double quantile(std::vector<double> values, double q);
inline double median(const std::vector<double>& values) {
    return quantile(values, 0.5);
}

/// A fit of y = a * x^power by least squares on logarithms.
struct Slope {
    double power = 0;
    double last_rise = 0;  ///< (y2 - y1) / (x2 - x1) of the two points with the largest x
};
/// Fits the points whose x and y are above 0. nullopt if fewer than two remain, or all have the same x.
std::optional<Slope> slope(const std::vector<std::pair<double, double>>& points);

/// Rows of cells under column names.
struct Table {
    std::vector<std::string> head;
    std::vector<std::vector<std::string>> rows;
    /// Columns aligned to the right, two spaces between them.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] std::string tsv(bool with_head) const;
};
/// Three significant digits, or a whole number from 1000 on; "-" for NaN.
std::string cell(double value);

/// The number of parts of a configuration.
struct ConfigSize {
    std::size_t services = 1, routes = 1, tenants = 0;
};
/// The name of a service by its number.
std::string service_name(std::size_t i);
/// A valid configuration as JSON text. `base` is the version that it replaces; versions differ in one
/// timeout.
std::string configuration(const ConfigSize& size, std::uint32_t version, std::uint32_t base);

}  // namespace martenford::scale_test
