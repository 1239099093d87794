#include "outlier/outlier_policy.h"

#include <algorithm>
#include <stdexcept>
#include <unordered_set>
#include <variant>

namespace martenford::outlier {

using namespace martenford::decision;
using namespace std::chrono_literals;

namespace {
constexpr Duration kDefaultMinFailureGap =
    10s;  // half-life of the module's own statistics, which cover failures closer together
constexpr Duration kDefaultBaseEjectionTime = 60s, kDefaultMaxEjectionTime = 600s;

Duration value_or_default(Duration value, Duration fallback) {
    return value > Duration{} ? value : fallback;
}
}  // namespace

OutlierPolicy::OutlierPolicy(std::unique_ptr<Policy> next, const Options& options, Counters& counters)
    : next_(std::move(next)),
      options_(options),
      ejections_(counters.counter("outlier.ejections", "endpoints ejected")),
      readmissions_(counters.counter("outlier.readmissions", "ejected endpoints readmitted")),
      suppressed_(
          counters.counter("outlier.spared", "ejections suppressed by the limit on ejected endpoints")),
      peer_ejections_(
          counters.counter("outlier.warnings", "endpoints in use here that other sidecars ejected")) {
    options_.min_failure_gap = value_or_default(options.min_failure_gap, kDefaultMinFailureGap);
    options_.base_ejection_time = value_or_default(options.base_ejection_time, kDefaultBaseEjectionTime);
    options_.max_ejection_time = std::max(
        value_or_default(options.max_ejection_time, kDefaultMaxEjectionTime), options_.base_ejection_time);
    if (options.failure_threshold == 0 ||
        !(options.max_ejected_share >= 0.0 && options.max_ejected_share <= 1.0)) {
        throw std::invalid_argument("outliers: failures must be at least 1 and the share from 0 to 1");
    }
}

void OutlierPolicy::note_peer_ejection(EndpointId id) {
    const auto it = records_.find(id);
    if (it == records_.end() || it->second.ejected ||
        it->second.failure_count + 1 >= options_.failure_threshold)
        return;
    it->second.failure_count = options_.failure_threshold - 1;
    it->second.last_counted = {};  // the next failure counts at once
    peer_ejections_.add();
}

bool OutlierPolicy::ejected(EndpointId id) const {
    const auto it = records_.find(id);
    return it != records_.end() && it->second.ejected;
}

void OutlierPolicy::handle(Time now, const Event& event, std::vector<Action>& out) {
    while (!readmissions_due_.empty() && readmissions_due_.top().first <= now) readmit(now, out);
    if (const auto* update = std::get_if<DiscoveryUpdate>(&event);
        update && update->kind != DiscoveryUpdate::Kind::Failed) {
        return next_->handle(now, filter_update(*update), out);
    }
    next_->handle(now, event, out);
    if (const auto* outcome = std::get_if<Outcome>(&event)) record_outcome(now, *outcome, out);
}

void OutlierPolicy::update_next(Time now, const Endpoint& endpoint, std::vector<Action>& out) {
    auto list = std::make_shared<EndpointList>(EndpointList{endpoint});
    next_->handle(now, DiscoveryUpdate{DiscoveryUpdate::Kind::Delta, std::move(list)}, out);
}

/// Records the listed endpoint and returns it as the module is to see it.
Endpoint OutlierPolicy::as_presented(Record& record, const Endpoint& listed) {
    const auto ready = [](const Endpoint& e) { return e.availability == Availability::Ready; };
    if (ready(record.listed) && record.is_listed) --ready_;
    if (ready(listed)) ++ready_;
    const bool restarted = record.is_listed && record.listed.started != listed.started;
    record.listed = listed;
    record.is_listed = true;
    if (restarted) {
        if (record.ejected) --ejected_;
        record.ejected = false;
        record.failure_count = record.ejections = 0;
    }
    Endpoint result = listed;
    if (record.ejected && ready(listed)) result.availability = Availability::Draining;
    return result;
}

DiscoveryUpdate OutlierPolicy::filter_update(const DiscoveryUpdate& update) {
    auto filtered = std::make_shared<EndpointList>();
    const auto drop = [&](auto it) {
        if (it->second.listed.availability == Availability::Ready) --ready_;
        if (it->second.ejected) --ejected_;
        return records_.erase(it);
    };
    if (update.kind != DiscoveryUpdate::Kind::Delta) {
        std::unordered_set<EndpointId> named;
        if (update.endpoints) {
            for (const Endpoint& e : *update.endpoints) named.insert(e.id);
        }
        for (auto it = records_.begin(); it != records_.end();) {
            it = named.contains(it->first) ? std::next(it) : drop(it);
        }
    }
    if (update.endpoints) {
        filtered->reserve(update.endpoints->size());
        for (const Endpoint& e : *update.endpoints) {
            if (e.availability != Availability::Gone) {
                filtered->push_back(as_presented(records_[e.id], e));
                continue;
            }
            if (const auto it = records_.find(e.id); it != records_.end()) drop(it);
            filtered->push_back(e);
        }
    }
    return {update.kind, std::move(filtered)};
}

void OutlierPolicy::record_outcome(Time now, const Outcome& outcome, std::vector<Action>& out) {
    const auto it = records_.find(outcome.endpoint);
    if (it == records_.end()) return;
    Record& record = it->second;
    switch (outcome.status) {
        case Status::Ok:
            if (record.failure_count > 0) --record.failure_count;
            if (record.failure_count == 0) record.ejections = 0;
            return;
        case Status::Error:
        case Status::ConnectFailed:
        case Status::Reset:
        case Status::Timeout:
            break;
        default:
            return;  // rejected, cancelled or never sent: not a failure
    }
    if (record.failure_count > 0 && now < record.last_counted + options_.min_failure_gap) return;
    record.last_counted = now;
    ++record.failure_count;
    if (record.ejected || record.failure_count < options_.failure_threshold ||
        record.listed.availability != Availability::Ready) {
        return;
    }
    if (static_cast<double>(ejected_ + 1) > options_.max_ejected_share * static_cast<double>(ready_)) {
        record.failure_count = options_.failure_threshold - 1;
        suppressed_.add();
        return;
    }
    Duration length = options_.base_ejection_time;
    for (std::uint32_t i = 0; i < record.ejections && length < options_.max_ejection_time; ++i) length *= 2;
    ++record.ejections;
    record.ejected = true;
    record.until = now + std::min(length, options_.max_ejection_time);
    ++ejected_;
    ejections_.add();
    readmissions_due_.emplace(record.until, outcome.endpoint);
    Endpoint as_draining = record.listed;
    as_draining.availability = Availability::Draining;
    update_next(now, as_draining, out);
    if (on_ejected_) on_ejected_(outcome.endpoint, record.failure_count);
}

void OutlierPolicy::readmit(Time now, std::vector<Action>& out) {
    const auto [until, id] = readmissions_due_.top();
    readmissions_due_.pop();
    const auto it = records_.find(id);
    if (it == records_.end() || !it->second.ejected || it->second.until != until) return;
    it->second.ejected = false;
    it->second.failure_count = options_.failure_threshold - 1;  // the next failure ejects it for longer
    --ejected_;
    readmissions_.add();
    update_next(now, it->second.listed, out);
}

}  // namespace martenford::outlier
