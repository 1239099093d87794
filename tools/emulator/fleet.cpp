#include "fleet.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <iostream>
#include <set>
#include <vector>

#include "config/units.h"
#include "emulator/fleet_model.h"
#include "emulator/percentile.h"

namespace martenford::emulator {

namespace {

constexpr int kBadUse = 2;
constexpr Duration kSettle = 60s;      // for all to know all
constexpr Duration kNoticeTime = 20s;  // after a crash, before it is started again

}  // namespace

int measure_fleet(const FleetWords& words) {
    const auto length = parse_duration(words.length), stall = parse_duration(words.stall),
               bound = parse_duration(words.bound);
    const auto stalled = parse_percent(words.stalled), drop = parse_percent(words.drop);
    if (!length || !stall || !bound || !stalled || !drop || words.members < 3) {
        std::cerr << "fleet: times such as 10m, shares such as 5%, three members or more\n";
        return kBadUse;
    }
    FleetModel::Options options;
    options.members = words.members;
    options.seed = words.seed;
    options.count_bytes = words.bytes;
    options.pace.local_health = words.own_health;
    options.pace.stall_tolerance = *bound;
    options.pace.not_listening_tolerance = std::min(options.pace.not_listening_tolerance, *bound);
    const std::size_t heap_before = mallinfo2().uordblks;
    FleetModel model(options);
    const Time begun = model.now();
    model.start_all(100ms);
    model.run_until(model.now() + 100ms);
    const bool settled = model.run_until([&] { return model.all_agree(); }, kSettle);
    const double join_s = seconds(model.now() - begun);
    const std::size_t heap = mallinfo2().uordblks - heap_before;
    model.run_until(model.now() + 30s);  // the joins' own rumours are over
    model.set_drop(*drop);

    std::mt19937_64 random(words.seed * 7919 + 1);
    const Time from = model.now();
    const auto figures_before = model.figures();
    const std::size_t seen_before = model.seen().size();
    const auto at_once = static_cast<std::size_t>(*stalled * static_cast<double>(words.members) + 0.5);
    struct Crash {
        std::size_t who;
        Time at;
        std::uint64_t boot;
    };
    std::vector<Crash> crashes;
    std::set<std::pair<std::size_t, std::uint64_t>> crashed;
    std::vector<std::vector<std::pair<Time, Time>>> stalls(words.members);
    // A stall is one only where its member was awake for as long before it.
    const auto rested = [&](std::size_t who) {
        return stalls[who].empty() || stalls[who].back().second + *stall <= model.now();
    };
    // So many stand still at any time: whoever wakes is followed by another.
    const Duration step = *stall / 4;
    Time next_crash = from + *length / static_cast<std::int64_t>(words.crashes + 1);
    std::size_t back = words.members;
    Time back_at{};
    for (Time at = from; at < from + *length; at += step) {
        std::size_t standing = 0;
        for (std::size_t i = 0; i < model.size(); ++i) standing += model.stalled(i) ? 1 : 0;
        for (std::size_t tries = 0; standing < at_once && tries < 4 * at_once; ++tries) {
            const std::size_t who = random() % model.size();
            if (!model.is_up(who) || model.stalled(who) || !rested(who)) continue;
            model.stall(who, *stall);
            stalls[who].emplace_back(model.now(), model.now() + *stall);
            ++standing;
        }
        if (crashes.size() < words.crashes && at >= next_crash) {
            std::size_t who = random() % model.size();
            while (!model.is_up(who)) who = random() % model.size();
            crashes.push_back({who, model.now(), model.fleet(who).self().id.boot});
            crashed.insert({who, crashes.back().boot});
            model.kill(who);
            back = who;
            back_at = at + kNoticeTime;
            next_crash += *length / static_cast<std::int64_t>(words.crashes + 1);
        }
        if (back < words.members && at >= back_at) {
            model.start(back);
            back = words.members;
        }
        model.run_until(at + step);
    }
    std::uint64_t accusations = 0, false_deaths = 0;
    // Awake now and for as long as a suspicion of an earlier stall may still be on its way.
    const auto awake = [&](std::size_t who, Time at) {
        return std::none_of(stalls[who].begin(), stalls[who].end(),
                            [&](const auto& s) { return s.first <= at && at < s.second + *bound; });
    };
    std::vector<double> first, all;
    for (std::size_t i = seen_before; i < model.seen().size(); ++i) {
        const auto& seen = model.seen()[i];
        const bool alive = !crashed.contains({seen.subject, seen.boot});
        if (seen.state == fleet::State::Suspect && alive && awake(seen.subject, seen.at)) ++accusations;
        if (seen.state == fleet::State::Dead && !crashed.contains({seen.subject, seen.boot})) ++false_deaths;
    }
    for (const Crash& crash : crashes) {
        double least = 1e9, most = 0.0;
        for (std::size_t i = seen_before; i < model.seen().size(); ++i) {
            const auto& seen = model.seen()[i];
            if (seen.subject != crash.who || seen.boot != crash.boot || seen.state != fleet::State::Dead)
                continue;
            if (seen.at < crash.at) continue;  // a false death of its own
            const double after = seconds(seen.at - crash.at);
            least = std::min(least, after);
            most = std::max(most, after);
        }
        first.push_back(least);
        all.push_back(most);
    }
    std::sort(first.begin(), first.end());
    std::sort(all.begin(), all.end());
    const auto middle = [](const std::vector<double>& v) { return v.empty() ? 0.0 : v[v.size() / 2]; };
    const double hours = seconds(*length) / 3600.0 * static_cast<double>(words.members);
    const double member_seconds = seconds(*length) * static_cast<double>(words.members);
    if (words.head)
        std::cout << "members\town_health\tbound_s\tjoin_s\tfirst_s\tall_s\tall_worst_s\tfalse_suspicions_"
                     "member_hour\t"
                     "false_deaths_member_hour\tmessages_member_s\tbytes_member_s\theap_per_member_known\n";
    std::cout << fmt::format(
        "{}\t{}\t{:g}\t{}\t{:.2f}\t{:.2f}\t{:.2f}\t{:.2f}\t{:.4f}\t{:.2f}\t{:.0f}\t{:.0f}\n", words.members,
        words.own_health ? 1 : 0, seconds(*bound), settled ? fmt::format("{:.2f}", join_s) : "never",
        middle(first), middle(all), all.empty() ? 0.0 : all.back(), static_cast<double>(accusations) / hours,
        static_cast<double>(false_deaths) / hours,
        static_cast<double>(model.figures().messages - figures_before.messages) / member_seconds,
        static_cast<double>(model.figures().bytes - figures_before.bytes) / member_seconds,
        static_cast<double>(heap) / static_cast<double>(words.members) / static_cast<double>(words.members));
    return 0;
}

}  // namespace martenford::emulator
