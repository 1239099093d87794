#include "phases.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "mesh.h"

namespace martenford::scale_test {

namespace {

/// The target: a configuration is in force everywhere within this time, in s.
constexpr double kInForceTarget = 15;
/// Windows of the idle phase: other work on this machine disturbs one of them more than their median.
constexpr std::size_t kIdleWindows = 3;
/// Endpoints replaced a second in the churn phase: a thousand times the target's rate, so that the cost shows
/// above the idle load.
constexpr double kChurnPerSecond = 2;
/// Time in s for real proxies to learn of all others: they don't show what they know.
constexpr double kRealProxySettleTime = 4;
/// Time in s for quota leases, and for what the start left to do.
constexpr double kStartSettleTime = 1.5;
/// Time in s after churn and after the return of a zone, before the next phase.
constexpr double kPhaseSettleTime = 0.5;
/// Time in s until all proxies have noticed that the controllers were killed.
constexpr double kLostContactTimeout = 3;
/// A zone is lost only where the other controllers are a majority.
constexpr std::size_t kMinControllersForZoneLoss = 3;

/// One step: the phases in their order, and what the later ones need of the earlier.
class StepRun {
  public:
    StepRun(const Options& options, const StepSize& size, Report& report)
        : options_(options), size_(size), report_(report), mesh_(options, size) {}

    Target run();

  private:
    /// False where no leader was elected in time.
    bool run_start();
    void run_idle();
    void run_configuration();
    void run_churn();
    void run_zone_loss();
    void run_return();

    /// One change of the configuration, in s from the put.
    struct Change {
        double acknowledged_s = kNotMeasured;
        double median_s = kNotMeasured;
        double max_s = kNotMeasured;
        double reached_share = 1;
    };
    Change change_configuration();

    [[nodiscard]] bool wants(const char* phase) const { return options_.phases.contains(phase); }
    void log_progress(const std::string& text) const;
    [[nodiscard]] bool knows_all(const Gauge& gauge) const {
        return gauge.live >= mesh_.proxy_count() && gauge.version >= mesh_.version();
    }

    const Options& options_;
    const StepSize& size_;
    Report& report_;
    Mesh mesh_;
    bool is_settled_ = false;  // after the start, all proxies knew all others
    bool is_target_met_ = false;
    Roles idle_;         // the median of the windows
    double idle_s_ = 0;  // length of a window
};

void StepRun::log_progress(const std::string& text) const {
    std::cerr << size_.proxies << "+" << size_.real << " proxies, " << size_.controllers << " controllers, "
              << size_.config.services << " services, " << size_.config.routes << " routes: " << text
              << std::endl;
}

Target StepRun::run() {
    if (!run_start()) return Target::Missed;
    run_idle();
    if (wants("configuration")) run_configuration();
    // A mesh that never settled has no more to show.
    if (wants("churn") && size_.proxies > 0 && is_settled_) run_churn();
    if (wants("zone") && mesh_.has_workers_by_zone() && size_.controllers >= kMinControllersForZoneLoss &&
        is_target_met_)
        run_zone_loss();
    if (wants("return") && is_settled_) run_return();
    return is_target_met_ ? Target::Met : Target::Missed;
}

bool StepRun::run_start() {
    const double acknowledged_s = mesh_.put_configuration();
    if (std::isnan(acknowledged_s)) {
        log_progress("no leader");
        return false;
    }
    const Snapshot before = mesh_.snapshot();
    mesh_.start_proxies();
    const Reached known = mesh_.wait_for_proxies([this](const Gauge& gauge) { return knows_all(gauge); });
    log_progress("all know all after " + cell(known.after_s) + " s (" + cell(known.share * 100) + "%)");
    EventResult event{"start"};
    event.acknowledged_s = acknowledged_s;
    event.max_s = known.after_s;
    event.reached_share = known.share;
    event.cost = mesh_.load_by_role(before, mesh_.snapshot());
    report_.add_event(size_, event);
    is_settled_ = known.share == 1;
    is_target_met_ = is_settled_;
    if (size_.real > 0) mesh_.wait(kRealProxySettleTime);
    mesh_.wait(kStartSettleTime);
    return true;
}

void StepRun::run_idle() {
    std::vector<Snapshot> marks{mesh_.snapshot()};
    for (std::size_t i = 0; i < kIdleWindows; ++i) {
        mesh_.wait(options_.window_s / kIdleWindows);
        marks.push_back(mesh_.snapshot());
    }
    idle_s_ = to_seconds(marks.back().at - marks.front().at) / kIdleWindows;
    std::vector<Roles> windows;
    for (std::size_t i = 0; i < kIdleWindows; ++i)
        windows.push_back(mesh_.load_by_role(marks[i], marks[i + 1]));
    // An unsettled mesh has a phase name of its own, so that it does not enter the slopes.
    PhaseLoad phase{is_settled_ ? kIdlePhase : "unsettled", idle_s_, windows[0], windows[0], windows[0]};
    for (std::size_t role = 0; role < phase.load.size(); ++role) {
        std::vector<Load> loads;
        loads.reserve(windows.size());
        for (const Roles& window : windows) loads.push_back(window[role].second);
        phase.load[role].second = median_load(loads);
        for (const Load& load : loads) {
            double& low = phase.low[role].second.processor;
            double& high = phase.high[role].second.processor;
            low = std::min(low, load.processor);
            high = std::max(high, load.processor);
        }
    }
    idle_ = phase.load;
    report_.add_load(size_, phase);
}

StepRun::Change StepRun::change_configuration() {
    const auto started_at = Clock::now();
    Change out;
    out.acknowledged_s = mesh_.put_configuration();
    const auto version = mesh_.version();
    out.reached_share =
        mesh_
            .wait_for_proxies([version](const Gauge& gauge) { return gauge.version >= version; },
                              is_settled_ ? kEventTimeout : kInForceTarget)
            .share;
    std::vector<double> times;
    const double start_s = to_seconds(started_at.time_since_epoch());
    for (std::size_t i = 0; i < size_.proxies; ++i) {
        const Gauge& gauge = mesh_.board().gauges[i];
        if (gauge.version >= version)
            times.push_back(static_cast<double>(gauge.in_force_since_ns) / 1e9 - start_s);
    }
    out.median_s = median(times);
    out.max_s = quantile(times, 1);
    return out;
}

void StepRun::run_configuration() {
    std::vector<double> acknowledged, medians, maxima;
    EventResult event{"configuration", 0};
    const Snapshot before = mesh_.snapshot();
    for (; event.count < options_.changes && event.reached_share == 1; ++event.count) {
        const Change change = change_configuration();
        acknowledged.push_back(change.acknowledged_s);
        medians.push_back(change.median_s);
        maxima.push_back(change.max_s);
        event.reached_share = std::min(event.reached_share, change.reached_share);
    }
    const Snapshot after = mesh_.snapshot();
    if (size_.proxies == 0) return;
    event.acknowledged_s = median(acknowledged);
    event.median_s = median(medians);
    event.max_s = event.reached_share < 1 ? kNotMeasured : quantile(maxima, 1);
    event.cost =
        cost_beyond_idle(mesh_.load_by_role(before, after), to_seconds(after.at - before.at), idle_, idle_s_);
    report_.add_event(size_, event);
    log_progress("configuration acknowledged after " + cell(event.acknowledged_s) + " s, in force p50 " +
                 cell(event.median_s) + " s, max " + cell(event.max_s) + " s (" +
                 cell(event.reached_share * 100) + "%)");
    is_target_met_ = is_target_met_ && event.reached_share == 1 && event.max_s <= kInForceTarget;
}

void StepRun::run_churn() {
    const auto replaced_before = mesh_.board().replaced.load();
    const Snapshot before = mesh_.snapshot();
    mesh_.board().churn_per_s = kChurnPerSecond;
    mesh_.wait(options_.window_s);
    mesh_.board().churn_per_s = 0;
    const Snapshot after = mesh_.snapshot();
    const double span_s = to_seconds(after.at - before.at);
    const Roles load = mesh_.load_by_role(before, after);
    report_.add_load(size_, {"churn", span_s, load, load, load});
    EventResult event{"endpoint replaced", mesh_.board().replaced - replaced_before};
    event.cost = cost_beyond_idle(load, span_s, idle_, idle_s_);
    report_.add_event(size_, event);
    mesh_.wait(kPhaseSettleTime);
}

void StepRun::run_zone_loss() {
    const auto lost_proxies = (size_.proxies + kZones - 1) / kZones;
    const auto left = size_.proxies - lost_proxies;
    mesh_.kill_zone();
    const Reached lost = mesh_.wait_for_proxies([left](const Gauge& gauge) { return gauge.live <= left; });
    EventResult loss{"zone lost: silent at all"};
    loss.max_s = lost.after_s;
    loss.reached_share = lost.share;
    report_.add_event(size_, loss);
    mesh_.restart_zone();
    const Reached back = mesh_.wait_for_proxies([this](const Gauge& gauge) { return knows_all(gauge); });
    EventResult restart{"zone back: all know all"};
    restart.max_s = back.after_s;
    restart.reached_share = back.share;
    report_.add_event(size_, restart);
    log_progress("a zone lost is known after " + cell(lost.after_s) + " s, back after " + cell(back.after_s) +
                 " s");
    mesh_.wait(kPhaseSettleTime);
}

void StepRun::run_return() {
    mesh_.kill_controllers();
    // Also without this the return is measured: contact is then lost a little later.
    (void)mesh_.wait_for_proxies([](const Gauge& gauge) { return gauge.in_touch == 0; }, kLostContactTimeout);
    Snapshot before;  // without counters: the controllers' begin at zero
    before.at = Clock::now();
    mesh_.restart_controllers();
    const Reached back = mesh_.wait_for_proxies([this](const Gauge& gauge) {
        return gauge.in_touch >= size_.controllers && gauge.live >= mesh_.proxy_count();
    });
    EventResult event{"all controllers killed, all back"};
    event.acknowledged_s = mesh_.put_configuration();
    event.max_s = back.after_s;
    event.reached_share = back.share;
    event.cost = mesh_.load_by_role(before, mesh_.snapshot());
    // The proxies ran all the time: their counters since their start say nothing of this event.
    std::erase_if(event.cost,
                  [](const auto& entry) { return entry.first != kLeader && entry.first != kFollower; });
    report_.add_event(size_, event);
    log_progress("all controllers killed: all back after " + cell(back.after_s) + " s (" +
                 cell(back.share * 100) + "%)");
}

}  // namespace

Target run_step(const Options& options, const StepSize& size, Report& report) {
    return StepRun(options, size, report).run();
}

}  // namespace martenford::scale_test
