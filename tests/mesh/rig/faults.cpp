#include "mesh/rig/faults.h"

#include <algorithm>
#include <map>
#include <random>

namespace martenford::rig {

namespace {

/// Of a SIGTERM: `grace_s`, and the start of a new process.
constexpr Duration kMaxTerminationTime = 3500ms;
/// After a kill of all controllers: they are back in less than a second.
constexpr Duration kMaxTotalOutage = 900ms;

/// Random numbers of a seed. Not std's distributions: those differ between
/// libraries, and a seed must give the same play everywhere.
class Draw {
  public:
    explicit Draw(std::uint64_t seed) : random_(seed) {}
    std::uint64_t below(std::uint64_t end) { return random_() % end; }
    Duration between(Duration min, Duration max) {
        return min + Duration(static_cast<Duration::rep>(
                         below(static_cast<std::uint64_t>((max - min).count()) + 1)));
    }
    template <class T>
    T one_of(const std::vector<T>& values) {
        return values[below(values.size())];
    }

  private:
    std::mt19937_64 random_;
};

/// Draws the faults of the controllers. Never more than the tolerated number is
/// lost at once, except by KillAll and WipeToleratedKillRest, which keep enough
/// disks.
class ControllerFaults {
  public:
    ControllerFaults(Draw& draw, const FaultOptions& options, std::vector<Fault>& faults)
        : draw_(draw), options_(options), faults_(faults), lost_until_(options.controllers, Duration{}) {
        using enum FaultKind;
        kinds_ = {Kill, Freeze, Wipe, Replace, TermReturn, TermReplace};
        if (options.partitions) kinds_.insert(kinds_.end(), {CutIn, CutOut, CutBoth, CutBoth});
        if (options.planned_only) kinds_ = {TermReturn, TermReplace};
    }
    void add_at(Duration start) {
        using enum FaultKind;
        std::vector<std::size_t> available;
        for (std::size_t i = 0; i < lost_until_.size(); ++i) {
            if (lost_until_[i] <= start) available.push_back(i);
        }
        if (!options_.planned_only && draw_.below(40) == 0) return add_of_all(KillAll, start);
        const bool all_available = available.size() == lost_until_.size();
        if (!options_.planned_only && all_available && draw_.below(5) == 0)
            return add_of_all(draw_.below(2) ? WipeTolerated : WipeToleratedKillRest, start);
        if (lost_until_.size() - available.size() >= options_.tolerated_failures) return;
        const std::size_t machine = draw_.one_of(available);
        const FaultKind kind = draw_.one_of(kinds_);
        const Duration lasts = draw_.between(100ms, std::min<Duration>(2500ms, options_.fault_window / 2));
        faults_.push_back({kind, machine, start, lasts});
        const bool terminated = kind == TermReturn || kind == TermReplace;
        const Duration termination = terminated ? kMaxTerminationTime : Duration{};
        lost_until_[machine] = start + lasts + termination + options_.catch_up;
    }

  private:
    void add_of_all(FaultKind kind, Duration start) {
        const Duration lasts = draw_.between(100ms, kMaxTotalOutage);
        // Faults in progress continue, and are repaired at their own time.
        faults_.push_back({kind, draw_.below(options_.controllers), start, lasts});
        for (Duration& until : lost_until_) until = std::max(until, start + lasts + options_.catch_up);
    }

    Draw& draw_;
    const FaultOptions& options_;
    std::vector<Fault>& faults_;
    std::vector<FaultKind> kinds_;
    std::vector<Duration> lost_until_;  // by controller
};

/// Draws the faults of the proxies: of each service's proxies one at a time, so
/// that it keeps two endpoints.
void draw_proxy_faults(Draw& draw, const FaultOptions& options, std::vector<Fault>& faults) {
    using enum FaultKind;
    std::vector<FaultKind> kinds{ProxyKill, ProxyFreeze, ProxyTerm, EndpointDies};
    if (options.partitions) kinds.push_back(ProxyCut);
    if (options.planned_only) kinds = {ProxyTerm};
    std::map<std::size_t, Duration> busy_until;  // by service
    for (Duration start = draw.between(300ms, 800ms); start < options.fault_window;
         start += draw.between(300ms, 1200ms)) {
        const std::size_t machine = draw.below(options.proxies);
        const std::size_t service = machine % 2;
        if (busy_until[service] > start) continue;
        const FaultKind kind = draw.one_of(kinds);
        const Duration lasts = draw.between(100ms, 1500ms);
        faults.push_back({kind, machine, start, lasts});
        const Duration termination = kind == ProxyTerm ? kMaxTerminationTime : Duration{};
        busy_until[service] = start + lasts + termination + 500ms;
    }
}

}  // namespace

const char* name_of(FaultKind kind) {
    static const char* const names[] = {
        "kill",       "freeze",       "cut-in",       "cut-out",    "cut-both",     "wipe",
        "replace",    "term-return",  "term-replace", "kill-all",   "wipe-borne",   "wipe-borne-kill-rest",
        "proxy-kill", "proxy-freeze", "proxy-cut",    "proxy-term", "endpoint-dies"};
    return names[static_cast<std::size_t>(kind)];
}

std::vector<Fault> draw_faults(std::uint64_t seed, const FaultOptions& options) {
    Draw draw(seed);
    std::vector<Fault> faults;
    ControllerFaults controllers(draw, options, faults);
    for (Duration start = draw.between(100ms, 500ms); start < options.fault_window;
         start += draw.between(100ms, 900ms))
        controllers.add_at(start);
    draw_proxy_faults(draw, options, faults);
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault& a, const Fault& b) { return a.starts < b.starts; });
    return faults;
}

}  // namespace martenford::rig
