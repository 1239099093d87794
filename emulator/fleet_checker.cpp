#include "emulator/fleet_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

namespace martenford::emulator {

namespace {

using Entry = FleetRig::Entry;

/// Times in which a process was there, and those of them in which it stood still.
struct Life {
    Time from{}, to = Time::max();
    std::vector<std::pair<Time, Time>> stopped;
    bool stands(Time a, Time b) const {
        return std::any_of(stopped.begin(), stopped.end(),
                           [&](const auto& s) { return s.first < b && a < s.second; });
    }
};

/// By member: one life a start.
std::map<std::size_t, std::vector<Life>> lives_of(const std::vector<Entry>& history) {
    std::map<std::size_t, std::vector<Life>> lives;
    for (const Entry& each : history) {
        if (!each.done) continue;
        auto& of = lives[each.subject];
        if (each.what == "started") of.push_back({each.at, Time::max(), {}});
        if (of.empty()) continue;
        if (each.what == "killed" || each.what == "ended") of.back().to = each.at;
        if (each.what == "stopped") of.back().stopped.emplace_back(each.at, Time::max());
        if (each.what == "woken" && !of.back().stopped.empty()) of.back().stopped.back().second = each.at;
    }
    return lives;
}

const Life* alive_at(const std::map<std::size_t, std::vector<Life>>& lives, std::size_t member, Time at) {
    const auto it = lives.find(member);
    if (it == lives.end()) return nullptr;
    for (const Life& life : it->second) {
        if (life.from <= at && at < life.to) return &life;
    }
    return nullptr;
}

double seconds_of(Duration d) {
    return static_cast<double>(d.count()) * 1e-9;
}

}  // namespace

std::vector<std::string> missed_deaths(const std::vector<Entry>& history, Duration within) {
    std::vector<std::string> faults;
    const auto lives = lives_of(history);
    for (const Entry& kill : history) {
        if (!kill.done || kill.what != "killed" || kill.boot.empty()) continue;
        for (const auto& [observer, own] : lives) {
            const Life* life = alive_at(lives, observer, kill.at);
            if (observer == kill.subject || !life || life->to < kill.at + within ||
                life->stands(kill.at, kill.at + within))
                continue;
            // Whoever never knew it has nothing to notice.
            bool knew = false, noticed = false;
            for (const Entry& each : history) {
                if (each.done || each.observer != observer || each.boot != kill.boot) continue;
                if (each.at < kill.at) knew = each.what == "alive" || each.what == "suspect";
                const bool gone = each.what == "dead" || each.what == "left";
                noticed = noticed || (gone && each.at >= kill.at && each.at <= kill.at + within);
            }
            if (knew && !noticed)
                faults.push_back(fmt::format("{} did not hold {} dead {:.1f} s after its death", observer,
                                             kill.subject, seconds_of(within)));
        }
    }
    return faults;
}

std::vector<std::string> false_deaths(const std::vector<Entry>& history, Duration longest,
                                      Duration after_stop, const std::set<std::size_t>& excused) {
    std::vector<std::string> faults;
    const auto lives = lives_of(history);
    for (const Entry& each : history) {
        if (each.done || each.what != "dead" || excused.contains(each.subject) ||
            excused.contains(each.observer))
            continue;
        const Life* life = alive_at(lives, each.subject, each.at);
        const Life* own = alive_at(lives, each.observer, each.at);
        if (!life || !own || life->stands(each.at - after_stop, each.at) ||
            own->stands(each.at - after_stop, each.at))
            continue;
        // The boot that was called dead is that of the life that runs: else it is a former self's death.
        const bool former = std::any_of(history.begin(), history.end(), [&](const Entry& e) {
            return e.done && e.subject == each.subject && e.boot == each.boot && e.at <= each.at &&
                   (e.what == "killed" || e.what == "ended");
        });
        if (former || life->to < each.at + longest) continue;
        std::optional<Time> back;
        for (const Entry& later : history) {
            if (!later.done && later.observer == each.observer && later.boot == each.boot &&
                later.at > each.at && later.what == "alive" && !back)
                back = later.at;
        }
        if (!back || *back > each.at + longest)
            faults.push_back(
                fmt::format("{} held {} dead though it ran, {}", each.observer, each.subject,
                            back ? fmt::format("for {:.2f} s", seconds_of(*back - each.at)) : "to the end"));
    }
    return faults;
}

}  // namespace martenford::emulator
