// What is made of measurements: quantiles, slopes, tables; and the configurations that are put. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace martenford::scale_test {

/// The value below which a share `q` of all lies, NaN left out; NaN where there are none.
double quantile(std::vector<double> values, double q);
inline double median(const std::vector<double>& values) {
    return quantile(values, 0.5);
}

/// y = a * x^power by least squares on logarithms, and the straight line's rise between the last two points.
struct Slope {
    double power = 0;
    double last_rise = 0;
};
/// Points with an x or y of 0 or less have no say. Nothing where fewer than two are left.
std::optional<Slope> slope(const std::vector<std::pair<double, double>>& points);

/// Rows of cells under a head: as aligned text, and as TSV.
struct Table {
    std::vector<std::string> head;
    std::vector<std::vector<std::string>> rows;
    std::string text() const;
    std::string tsv(bool with_head) const;
};
/// Three significant digits; "-" for NaN.
std::string cell(double value);

/// A complete configuration of the size that is asked for.
struct Shape {
    std::size_t services = 1, routes = 1, tenants = 0;
};
std::string service_name(std::size_t i);
std::string configuration(const Shape& shape, std::uint32_t version, std::uint32_t base);

}  // namespace martenford::scale_test
