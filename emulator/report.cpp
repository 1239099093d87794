#include "emulator/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace martenford::emulator {

namespace {

constexpr std::size_t kWorstSpan = 10;  // buckets of a second

double share(double part, double whole) {
    return whole > 0.0 ? part / whole : 0.0;
}

/// What a metric came to, as a number and, of a count, as a share of what was offered.
std::pair<double, double> measure(const Report& report, const Expectation& expected) {
    const ClassFigures of = expected.class_index < 0
                                ? report.total()
                                : report.classes[static_cast<std::size_t>(expected.class_index)];
    const auto count = [&](std::uint64_t n) {
        return std::pair{static_cast<double>(n),
                         share(static_cast<double>(n), static_cast<double>(of.offered))};
    };
    switch (expected.metric) {
        case Metric::Rules:
            return {report.rules_kept() ? 1.0 : 0.0, 0.0};
        case Metric::Offered:
            return count(of.offered);
        case Metric::Served:
            return count(of.served + of.late);
        case Metric::Late:
            return count(of.late);
        case Metric::Refused:
            return count(of.refused);
        case Metric::Failed:
            return count(of.failed);
        case Metric::Unanswered:
            return count(of.unanswered);
        case Metric::Worst:
            return {report.worst_10s, report.worst_10s};
        case Metric::AttemptsPerRequest:
            return {report.attempts_per_request(), 0.0};
        case Metric::TriesPerRequest:
            return {share(static_cast<double>(of.tries), static_cast<double>(of.offered)), 0.0};
        case Metric::DoubleEffects:
            return {static_cast<double>(report.double_effects), 0.0};
        case Metric::Fallen:
            return {static_cast<double>(report.fallen), 0.0};
        case Metric::ToDrained:
            return {static_cast<double>(report.to_drained), 0.0};
        case Metric::Drained:
            return {static_cast<double>(report.drained), 0.0};
        case Metric::Thrashed:
            return {static_cast<double>(report.thrashed), 0.0};
        case Metric::PeakConnections: {
            std::uint64_t most = 0;
            for (const TierFigures& t : report.tiers) most = std::max(most, t.peak_connections);
            return {static_cast<double>(most), 0.0};
        }
        case Metric::Evenness: {
            double most = 0.0;
            for (const TierFigures& t : report.tiers) most = std::max(most, t.evenness);
            return {most, 0.0};
        }
    }
    return {0.0, 0.0};
}

Report::ExpectFigures judge_one(const Report& report, const Expectation& expected) {
    const auto [number, part] = measure(report, expected);
    if (expected.metric == Metric::Rules) {
        return {expected.text, report.rules_kept() ? "kept" : "broken", report.rules_kept()};
    }
    const double found = expected.share ? part : number;
    bool met = false;
    switch (expected.compare) {
        case Expectation::Compare::AtLeast:
            met = found >= expected.bound;
            break;
        case Expectation::Compare::AtMost:
            met = found <= expected.bound;
            break;
        case Expectation::Compare::Equal:
            met = found == expected.bound;
            break;
    }
    return {expected.text,
            expected.share ? fmt::format("{:.2f}%", found * 100.0) : fmt::format("{:g}", found), met};
}

}  // namespace

bool Report::rules_kept() const {
    return std::all_of(rules.begin(), rules.end(), [](const RuleFigures& r) { return r.breaches == 0; });
}

bool Report::expectations_met() const {
    return std::all_of(expectations.begin(), expectations.end(),
                       [](const ExpectFigures& e) { return e.met; });
}

ClassFigures Report::total() const {
    ClassFigures all;
    all.name = "all";
    for (const ClassFigures& c : classes) {
        all.offered += c.offered;
        all.served += c.served;
        all.late += c.late;
        all.refused += c.refused;
        all.failed += c.failed;
        all.unanswered += c.unanswered;
        all.tries += c.tries;
        all.worth_offered += c.worth_offered;
        all.worth_earned += c.worth_earned;
    }
    return all;
}

double Report::attempts_per_request() const {
    double attempts = 0.0, calls = 0.0;
    for (const TierFigures& t : tiers) {
        attempts += static_cast<double>(t.attempts);
        calls += static_cast<double>(t.calls);
    }
    return share(attempts, calls);
}

void judge(Report& report, const Scenario& scenario) {
    report.worst_10s = report.service;
    report.worst_from_s = 0.0;
    const auto& buckets = report.buckets;
    for (std::size_t i = 0; i + kWorstSpan <= buckets.size(); ++i) {
        double offered = 0.0, earned = 0.0;
        for (std::size_t j = i; j < i + kWorstSpan; ++j) {
            offered += buckets[j].worth_offered;
            earned += buckets[j].worth_earned;
        }
        if (offered > 0.0 && earned / offered < report.worst_10s) {
            report.worst_10s = earned / offered;
            report.worst_from_s = static_cast<double>(i);
        }
    }
    report.expectations.clear();
    for (const Expectation& expected : scenario.expect)
        report.expectations.push_back(judge_one(report, expected));
}

std::string to_json(const Report& report) {
    using nlohmann::ordered_json;
    const auto figures = [](const ClassFigures& c) {
        return ordered_json{{"name", c.name},
                            {"offered", c.offered},
                            {"served", c.served},
                            {"late", c.late},
                            {"refused", c.refused},
                            {"failed", c.failed},
                            {"unanswered", c.unanswered},
                            {"tries", c.tries},
                            {"worth_offered", c.worth_offered},
                            {"worth_earned", c.worth_earned},
                            {"p50_ms", c.p50_ms},
                            {"p99_ms", c.p99_ms}};
    };
    ordered_json root{{"scenario", report.scenario},
                      {"mode", report.mode},
                      {"seed", report.seed},
                      {"length_s", report.length_s},
                      {"service", report.service},
                      {"worst_10s", report.worst_10s},
                      {"worst_from_s", report.worst_from_s},
                      {"attempts_per_request", report.attempts_per_request()}};
    root["classes"] = ordered_json::array();
    for (const ClassFigures& c : report.classes) root["classes"].push_back(figures(c));
    root["tiers"] = ordered_json::array();
    for (const TierFigures& t : report.tiers) {
        root["tiers"].push_back({{"name", t.name},
                                 {"calls", t.calls},
                                 {"attempts", t.attempts},
                                 {"served", t.served},
                                 {"turned_away", t.turned_away},
                                 {"errors", t.errors},
                                 {"spoilt", t.spoilt},
                                 {"broken", t.broken},
                                 {"abandoned", t.abandoned},
                                 {"work_done_s", t.work_done_s},
                                 {"peak_connections", t.peak_connections},
                                 {"evenness", t.evenness}});
    }
    root["double_effects"] = report.double_effects;
    root["repeats_dropped"] = report.repeats_dropped;
    root["fallen"] = report.fallen;
    root["drained"] = report.drained;
    root["to_drained"] = report.to_drained;
    root["thrashed"] = report.thrashed;
    root["unknown_ids"] = report.unknown_ids;
    root["rules"] = ordered_json::array();
    for (std::size_t i = 0; i < report.rules.size(); ++i) {
        root["rules"].push_back({{"rule", kRuleNames[i]},
                                 {"breaches", report.rules[i].breaches},
                                 {"examples", report.rules[i].examples}});
    }
    root["expect"] = ordered_json::array();
    for (const auto& e : report.expectations) {
        root["expect"].push_back({{"text", e.text}, {"found", e.found}, {"met", e.met}});
    }
    return root.dump(1) + "\n";
}

std::string to_text(const Report& report) {
    std::string out = fmt::format("{} ({}, seed {}, {:g} s)\n\n", report.scenario, report.mode, report.seed,
                                  report.length_s);
    out += fmt::format("{:<16}{:>9}{:>9}{:>7}{:>9}{:>8}{:>12}{:>9}{:>10}{:>10}\n", "class", "offered",
                       "served", "late", "refused", "failed", "unanswered", "tries", "p50 ms", "p99 ms");
    const auto line = [&](const ClassFigures& c, bool latency) {
        out += fmt::format("{:<16}{:>9}{:>9}{:>7}{:>9}{:>8}{:>12}{:>9}", c.name, c.offered, c.served, c.late,
                           c.refused, c.failed, c.unanswered, c.tries);
        out += latency ? fmt::format("{:>10.1f}{:>10.1f}\n", c.p50_ms, c.p99_ms) : "\n";
    };
    for (const ClassFigures& c : report.classes) line(c, true);
    line(report.total(), false);
    out += fmt::format("\n{:<16}{:>9}{:>9}{:>9}{:>13}{:>8}{:>8}{:>8}{:>11}{:>9}{:>7}{:>10}\n", "tier",
                       "calls", "attempts", "served", "turned away", "errors", "spoilt", "broken",
                       "abandoned", "work s", "peak", "evenness");
    for (const TierFigures& t : report.tiers) {
        out += fmt::format("{:<16}{:>9}{:>9}{:>9}{:>13}{:>8}{:>8}{:>8}{:>11}{:>9.1f}{:>7}{:>10.2f}\n", t.name,
                           t.calls, t.attempts, t.served, t.turned_away, t.errors, t.spoilt, t.broken,
                           t.abandoned, t.work_done_s, t.peak_connections, t.evenness);
    }
    out += fmt::format(
        "\nservice {:.1f}%   worst 10 s {:.1f}% (from {:g} s)   attempts per request {:.3f}\n"
        "drained {} (tries a second after {})   thrashed {}   fallen {}   repeats dropped {}   double "
        "effects {}\n\n",
        report.service * 100.0, report.worst_10s * 100.0, report.worst_from_s, report.attempts_per_request(),
        report.drained, report.to_drained, report.thrashed, report.fallen, report.repeats_dropped,
        report.double_effects);
    for (std::size_t i = 0; i < report.rules.size(); ++i) {
        const auto& rule = report.rules[i];
        out += fmt::format("rule: {:<36}{}\n", kRuleNames[i],
                           rule.breaches == 0 ? "kept" : fmt::format("BROKEN {} times", rule.breaches));
        for (const std::string& example : rule.examples) out += fmt::format("      {}\n", example);
    }
    for (const auto& e : report.expectations) {
        out += fmt::format("expect: {:<34}{}  ({})\n", e.text, e.met ? "met" : "NOT MET", e.found);
    }
    return out;
}

}  // namespace martenford::emulator
