#include "emulator/model/endpoint_model.h"

#include <algorithm>
#include <cmath>

#include "config/units.h"

namespace martenford::emulator {

namespace {

constexpr Duration kWarmStep = 50ms;  // capacity grows in steps of this while warming up
constexpr double kRounding = 2e-9;    // service in seconds: times are whole nanoseconds

}  // namespace

EndpointModel::EndpointModel(const EndpointTraits& traits, Time started, bool cold)
    : traits_(traits), started_(started), cold_(cold && traits.warm_up > Duration{}), at_(started) {}

double EndpointModel::warm_share(Time at) const {
    if (!cold_ || at >= started_ + traits_.warm_up) return 1.0;
    const auto steps = (at - started_) / kWarmStep;
    const double grown = seconds(steps * kWarmStep) / seconds(traits_.warm_up);
    return traits_.cold_from + (1.0 - traits_.cold_from) * std::min(1.0, grown);
}

double EndpointModel::warm_capacity(Time at) const {
    return traits_.cores * traits_.speed * warm_share(at);
}

double EndpointModel::capacity() const {
    return warm_capacity(at_) / slowness_ / (thrashing_ ? traits_.thrash_slower : 1.0);
}

double EndpointModel::rate_each() const {
    if (running_.empty() || at_ < frozen_until_) return 0.0;
    const double core = capacity() / traits_.cores;
    return core * std::min(1.0, traits_.cores / static_cast<double>(running_.size()));
}

bool EndpointModel::arrive(Time now, JobId job, Duration work, Time expires) {
    const bool free_slot = slots_used_ < traits_.slots && waiting_ == 0;
    if (!free_slot && waiting_ >= traits_.queue) return false;
    jobs_[job] = Job{Stage::Waiting, seconds(work), 0.0, expires};
    line_.push_back(job);
    ++waiting_;
    at_ = std::max(at_, now);
    return true;
}

void EndpointModel::resume(JobId job, Duration work) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end() || it->second.stage != Stage::Suspended) return;
    it->second.stage = Stage::Running;
    it->second.ends_at = service_ + seconds(work);
    running_.emplace(it->second.ends_at, job);
    watch_backlog();
}

void EndpointModel::finish(JobId job) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) return;
    switch (it->second.stage) {
        case Stage::Waiting:  // its place in the line is skipped later
            --waiting_;
            break;
        case Stage::Running:
            running_.erase({it->second.ends_at, job});
            [[fallthrough]];
        case Stage::Suspended:
            --slots_used_;
            break;
    }
    jobs_.erase(it);
    watch_backlog();
}

bool EndpointModel::cancel(JobId job) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end() || traits_.cancel == CancelReach::Nothing) return false;
    if (traits_.cancel == CancelReach::Waiting && it->second.stage != Stage::Waiting) return false;
    finish(job);
    return true;
}

/// When the rate, or what counts toward thrashing, next changes by itself; the end of a phase included.
std::optional<Time> EndpointModel::boundary() const {
    std::optional<Time> first;
    const auto at_most = [&](Time t) {
        if (t > at_ && (!first || t < *first)) first = t;
    };
    if (at_ < frozen_until_) at_most(frozen_until_);
    if (const double rate = rate_each(); rate > 0.0) {
        const double left = std::max(0.0, running_.begin()->first - service_) / rate;
        at_most(at_ + Duration{static_cast<Duration::rep>(std::ceil(left * 1e9)) + 1});
    }
    // While nothing is in work the rate does not matter: no reason to wake up for it.
    if (!running_.empty() && cold_ && at_ < started_ + traits_.warm_up) {
        at_most(started_ + ((at_ - started_) / kWarmStep + 1) * kWarmStep);
    }
    if (over_since_ && !thrashing_) at_most(*over_since_ + traits_.thrash_after);
    if (thrashing_ && rested_since_) at_most(*rested_since_ + traits_.thrash_rest);
    if (thrashing_ && traits_.thrash_most > Duration{}) at_most(thrash_began_ + traits_.thrash_most);
    return first;
}

std::optional<Time> EndpointModel::next_due() const {
    return boundary();
}

void EndpointModel::run_until(Time to) {
    const double rate = rate_each(), span = seconds(to - at_);
    service_ += rate * span;
    work_done_ += rate * span * static_cast<double>(running_.size());
    at_ = to;
}

void EndpointModel::advance(Time now, std::vector<Ended>& out) {
    settle(out);
    while (at_ < now) {
        const auto next = boundary();
        run_until(next && *next < now ? *next : now);
        settle(out);
    }
}

/// Ends the phases that are done by now and lets in who waits.
void EndpointModel::settle(std::vector<Ended>& out) {
    while (!running_.empty() && running_.begin()->first <= service_ + kRounding) {
        const JobId job = running_.begin()->second;
        running_.erase(running_.begin());
        jobs_.at(job).stage = Stage::Suspended;
        out.push_back({job, Ended::Kind::PhaseDone});
    }
    start_waiting(out);
    watch_backlog();
    if (!thrashing_ && over_since_ && at_ >= *over_since_ + traits_.thrash_after) begin_thrash();
    if (thrashing_) {
        const bool rested = rested_since_ && at_ >= *rested_since_ + traits_.thrash_rest;
        const bool over = traits_.thrash_most > Duration{} && at_ >= thrash_began_ + traits_.thrash_most;
        if (rested || over) {
            thrashing_ = false;
            over_since_.reset();
            rested_since_.reset();
            watch_backlog();
        }
    }
}

void EndpointModel::start_waiting(std::vector<Ended>& out) {
    while (slots_used_ < traits_.slots && waiting_ > 0) {
        const JobId job = line_.front();
        line_.pop_front();
        const auto it = jobs_.find(job);
        if (it == jobs_.end() || it->second.stage != Stage::Waiting) continue;
        --waiting_;
        if (traits_.drops_expired && at_ >= it->second.expires) {
            jobs_.erase(it);
            out.push_back({job, Ended::Kind::Expired});
            continue;
        }
        ++slots_used_;
        it->second.stage = Stage::Running;
        it->second.ends_at = service_ + it->second.work;
        running_.emplace(it->second.ends_at, job);
        out.push_back({job, Ended::Kind::Started});
    }
    if (waiting_ == 0) line_.clear();
}

void EndpointModel::watch_backlog() {
    if (traits_.thrash_at == 0) return;
    if (backlog() > traits_.thrash_at) {
        if (!over_since_) over_since_ = at_;
    } else {
        over_since_.reset();
    }
    if (!thrashing_) return;
    if (backlog() <= traits_.thrash_rest_at) {
        if (!rested_since_) rested_since_ = at_;
    } else {
        rested_since_.reset();
    }
}

void EndpointModel::begin_thrash() {
    if (thrashing_) return;
    thrashing_ = true;
    thrash_began_ = at_;
    rested_since_.reset();
    watch_backlog();
}

}  // namespace martenford::emulator
