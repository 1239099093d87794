// The report's picture: an SVG that any browser shows.
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

#include "emulator/percentile.h"
#include "emulator/report.h"

namespace martenford::emulator {

namespace {

constexpr double kWidth = 960.0, kLeft = 150.0, kRight = 20.0;
constexpr double kChart = 150.0, kGap = 46.0, kTop = 40.0;
constexpr double kRow = 9.0;            // of an endpoint's states
constexpr std::size_t kMostRows = 200;  // a larger fleet shows its first endpoints

std::string colour(const std::string& state) {
    static const std::map<std::string, std::string> colours = {
        {"serving", "#7fbf7b"}, {"cold", "#91bfdb"},      {"draining", "#ffd27f"}, {"down", "#555555"},
        {"fallen", "#000000"},  {"slow", "#fc8d59"},      {"frozen", "#b2abd2"},   {"rejecting", "#d73027"},
        {"failing", "#a50026"}, {"thrashing", "#c51b7d"}, {"cut off", "#999999"},  {"faulty", "#e6ab02"}};
    const auto it = colours.find(state);
    return it == colours.end() ? "#dddddd" : it->second;
}

std::string escape(const std::string& text) {
    std::string out;
    for (const char c : text) {
        out += c == '&'   ? "&amp;"
               : c == '<' ? "&lt;"
               : c == '>' ? "&gt;"
               : c == '"' ? "&quot;"
                          : std::string(1, c);
    }
    return out;
}

class Canvas {
  public:
    explicit Canvas(double length_s) : length_(std::max(1.0, length_s)) {}
    double x(double at_s) const { return kLeft + (kWidth - kLeft - kRight) * std::min(1.0, at_s / length_); }
    void text(double at_x, double at_y, const std::string& what, const char* anchor = "start") {
        out_ += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n", at_x, at_y,
                            anchor, escape(what));
    }
    void box(double x0, double y0, double width, double height, const std::string& fill,
             const std::string& title) {
        out_ += fmt::format(
            "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
            "fill=\"{}\"><title>{}</title></rect>\n",
            x0, y0, std::max(0.5, width), height, fill, escape(title));
    }
    void frame(double y0, const std::string& title, const std::string& top, const std::string& bottom) {
        out_ += fmt::format(
            "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" fill=\"none\" "
            "stroke=\"#888\"/>\n",
            kLeft, y0, kWidth - kLeft - kRight, kChart);
        text(kLeft, y0 - 6, title);
        text(kLeft - 6, y0 + 10, top, "end");
        text(kLeft - 6, y0 + kChart, bottom, "end");
    }
    void line(const std::vector<std::pair<double, double>>& points, const char* stroke) {
        out_ +=
            "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" + std::string(stroke) + "\" points=\"";
        for (const auto& [px, py] : points) out_ += fmt::format("{:.1f},{:.1f} ", px, py);
        out_ += "\"/>\n";
    }
    std::string finish(double height) {
        return fmt::format(
                   "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0:.0f}\" height=\"{1:.0f}\" "
                   "viewBox=\"0 0 {0:.0f} {1:.0f}\" font-family=\"sans-serif\" font-size=\"11\">\n"
                   "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
                   kWidth, height) +
               out_ + "</svg>\n";
    }

  private:
    double length_;
    std::string out_;
};

}  // namespace

std::string to_svg(const Report& report) {
    Canvas canvas(report.length_s);
    canvas.text(kLeft, 18, fmt::format("{} ({}, seed {})", report.scenario, report.mode, report.seed));

    double y = kTop;
    canvas.frame(y, "share of the worth that was served, by second of the request", "100%", "0%");
    std::vector<std::pair<double, double>> served, middle, high;
    double most = 1.0;
    for (const auto& bucket : report.buckets) most = std::max(most, percentile(bucket.latencies_ms, 0.99));
    const double chart_2 = y + kChart + kGap;
    for (std::size_t i = 0; i < report.buckets.size(); ++i) {
        const auto& bucket = report.buckets[i];
        const double px = canvas.x(static_cast<double>(i) + 0.5);
        if (bucket.worth_offered > 0.0) {
            served.emplace_back(px, y + kChart * (1.0 - bucket.worth_earned / bucket.worth_offered));
        }
        if (bucket.latencies_ms.empty()) continue;
        middle.emplace_back(px, chart_2 + kChart * (1.0 - percentile(bucket.latencies_ms, 0.5) / most));
        high.emplace_back(px, chart_2 + kChart * (1.0 - percentile(bucket.latencies_ms, 0.99) / most));
    }
    canvas.line(served, "#1b7837");
    canvas.frame(chart_2, "latency of what was served: median (blue) and 99th percentile (red)",
                 fmt::format("{:.0f} ms", most), "0 ms");
    canvas.line(middle, "#2166ac");
    canvas.line(high, "#b2182b");

    y = chart_2 + kChart + kGap;
    canvas.text(kLeft, y - 6, "endpoints");
    const std::size_t rows = std::min(kMostRows, report.node_names.size());
    std::vector<std::pair<double, std::string>> current(rows, {0.0, "down"});
    const auto draw = [&](std::size_t row, double until) {
        const auto& [from, state] = current[row];
        if (until <= from) return;
        canvas.box(
            canvas.x(from), y + kRow * static_cast<double>(row), canvas.x(until) - canvas.x(from), kRow - 1.5,
            colour(state),
            fmt::format("{}: {} from {:.1f} s to {:.1f} s", report.node_names[row], state, from, until));
    };
    for (const auto& change : report.states) {
        if (change.node >= rows || change.at_s > report.length_s) continue;
        draw(change.node, change.at_s);
        current[change.node] = {change.at_s, change.state};
    }
    for (std::size_t row = 0; row < rows; ++row) {
        draw(row, report.length_s);
        canvas.text(kLeft - 6, y + kRow * static_cast<double>(row) + kRow - 1, report.node_names[row], "end");
    }
    y += kRow * static_cast<double>(rows) + 16;
    double key = kLeft;
    for (const char* state : {"serving", "cold", "slow", "frozen", "rejecting", "failing", "faulty",
                              "thrashing", "draining", "cut off", "down", "fallen"}) {
        canvas.box(key, y - 8, 9, 9, colour(state), state);
        canvas.text(key + 12, y, state);
        key += 66;
    }
    return canvas.finish(y + 16);
}

}  // namespace martenford::emulator
