#include "mesh/rig/faults.h"

#include <algorithm>
#include <map>
#include <random>

namespace martenford::rig {

namespace {
/// SIGTERM may take as long as `grace_s`, and a new process must come up.
constexpr Duration kToEnd = 3500ms;
constexpr Duration kTogether = 900ms;  // a kill of all: back in less than a second

class Draw {
  public:
    explicit Draw(std::uint64_t seed) : random_(seed) {}
    /// Not std's distributions: those differ between libraries, and a seed must mean one play.
    std::uint64_t below(std::uint64_t end) { return random_() % end; }
    Duration between(Duration least, Duration most) {
        return least + Duration(static_cast<Duration::rep>(
                           below(static_cast<std::uint64_t>((most - least).count()) + 1)));
    }
    template <class T>
    T of(const std::vector<T>& all) {
        return all[below(all.size())];
    }

  private:
    std::mt19937_64 random_;
};
}  // namespace

const char* name_of(FaultKind kind) {
    static const char* const names[] = {
        "kill",       "freeze",       "cut-in",       "cut-out",    "cut-both",     "wipe",
        "replace",    "term-return",  "term-replace", "kill-all",   "wipe-borne",   "wipe-borne-kill-rest",
        "proxy-kill", "proxy-freeze", "proxy-cut",    "proxy-term", "endpoint-dies"};
    return names[static_cast<std::size_t>(kind)];
}

std::vector<Fault> draw_faults(std::uint64_t seed, const FaultOptions& options) {
    using enum FaultKind;
    Draw draw(seed);
    std::vector<FaultKind> of_core{Kill, Freeze, Wipe, Replace, TermReturn, TermReplace};
    if (options.cuts) of_core.insert(of_core.end(), {CutIn, CutOut, CutBoth, CutBoth});
    if (options.planned) of_core = {TermReturn, TermReplace};
    std::vector<FaultKind> of_proxies{StallKill, StallFreeze, StallTerm, EndpointDies};
    if (options.cuts) of_proxies.push_back(StallCut);
    if (options.planned) of_proxies = {StallTerm};
    std::vector<Fault> faults;

    std::vector<Duration> lost_until(options.controllers, Duration{});
    for (Duration at = draw.between(100ms, 500ms); at < options.span; at += draw.between(100ms, 900ms)) {
        std::vector<std::size_t> whole;
        for (std::size_t i = 0; i < lost_until.size(); ++i)
            if (lost_until[i] <= at) whole.push_back(i);
        const auto strike_all = [&](FaultKind kind) {
            const Duration lasts = draw.between(100ms, kTogether);
            // What is away stays away; what was to be mended meanwhile is mended as planned.
            faults.push_back({kind, draw.below(options.controllers), at, lasts});
            for (Duration& until : lost_until) until = std::max(until, at + lasts + options.catch_up);
        };
        if (!options.planned && draw.below(40) == 0) {
            strike_all(KillAll);
            continue;
        }
        if (!options.planned && whole.size() == lost_until.size() && draw.below(5) == 0) {
            strike_all(draw.below(2) ? WipeBorne : WipeBorneKillRest);
            continue;
        }
        if (lost_until.size() - whole.size() >= options.borne) continue;
        const std::size_t machine = draw.of(whole);
        const FaultKind kind = draw.of(of_core);
        const Duration lasts = draw.between(100ms, std::min<Duration>(2500ms, options.span / 2));
        faults.push_back({kind, machine, at, lasts});
        const bool term = kind == TermReturn || kind == TermReplace;
        lost_until[machine] = at + lasts + (term ? kToEnd : Duration{}) + options.catch_up;
    }
    // Two proxies of one service at once would leave it with a single endpoint: of each, one at a time.
    std::map<std::size_t, Duration> busy_until;
    for (Duration at = draw.between(300ms, 800ms); at < options.span; at += draw.between(300ms, 1200ms)) {
        const std::size_t machine = draw.below(options.proxies);
        const std::size_t service = machine % 2;
        if (busy_until[service] > at) continue;
        const FaultKind kind = draw.of(of_proxies);
        const Duration lasts = draw.between(100ms, 1500ms);
        faults.push_back({kind, machine, at, lasts});
        busy_until[service] = at + lasts + (kind == StallTerm ? kToEnd : Duration{}) + 500ms;
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return faults;
}

}  // namespace martenford::rig
