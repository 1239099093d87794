#include "outlier/outlier_policy.h"

#include <algorithm>
#include <stdexcept>
#include <unordered_set>
#include <variant>

namespace martenford::outlier {

using namespace martenford::decision;
using namespace std::chrono_literals;

namespace {
constexpr Duration kApart =
    10s;  // the half-life of the module's own view: what is closer together it sees itself
constexpr Duration kEjectFor = 60s, kEjectMost = 600s;

Duration or_else(Duration told, Duration otherwise) {
    return told > Duration{} ? told : otherwise;
}
}  // namespace

OutlierPolicy::OutlierPolicy(std::unique_ptr<Policy> module, const Options& options, Counters& counters)
    : module_(std::move(module)),
      options_(options),
      ejections_(counters.counter("outlier.ejections", "endpoints that were ejected")),
      readmissions_(counters.counter("outlier.readmissions", "and let in again when their time was up")),
      spared_(counters.counter("outlier.spared", "that would have been, had not too many been out")),
      warnings_(counters.counter("outlier.warnings", "times that others had ejected what was in use here")) {
    options_.apart = or_else(options.apart, kApart);
    options_.eject_for = or_else(options.eject_for, kEjectFor);
    options_.eject_most = std::max(or_else(options.eject_most, kEjectMost), options_.eject_for);
    if (options.failures == 0 || !(options.most_share >= 0.0 && options.most_share <= 1.0)) {
        throw std::invalid_argument("outliers: failures must be 1 or more and the share from 0 to 1");
    }
}

void OutlierPolicy::warn(EndpointId id) {
    const auto it = records_.find(id);
    if (it == records_.end() || it->second.out || it->second.count + 1 >= options_.failures) return;
    it->second.count = options_.failures - 1;
    it->second.counted = {};  // what it does next counts
    warnings_.add();
}

bool OutlierPolicy::ejected(EndpointId id) const {
    const auto it = records_.find(id);
    return it != records_.end() && it->second.out;
}

void OutlierPolicy::handle(Time now, const Event& event, std::vector<Action>& out) {
    while (!due_.empty() && due_.top().first <= now) readmit(now, out);
    if (const auto* news = std::get_if<Discovered>(&event); news && news->kind != Discovered::Kind::Failed) {
        return module_->handle(now, take_in(*news), out);
    }
    module_->handle(now, event, out);
    if (const auto* outcome = std::get_if<Outcome>(&event)) judge(now, *outcome, out);
}

void OutlierPolicy::tell(Time now, const Endpoint& endpoint, std::vector<Action>& out) {
    auto list = std::make_shared<EndpointList>(EndpointList{endpoint});
    module_->handle(now, Discovered{Discovered::Kind::Delta, std::move(list)}, out);
}

/// As the module is to see it.
Endpoint OutlierPolicy::seen(Record& record, const Endpoint& told) {
    const auto ready = [](const Endpoint& e) { return e.availability == Availability::Ready; };
    if (ready(record.told) && record.heard) --ready_;
    if (ready(told)) ++ready_;
    const bool restarted = record.heard && record.told.started != told.started;
    record.told = told;
    record.heard = true;
    if (restarted) {
        if (record.out) --ejected_;
        record.out = false;
        record.count = record.times = 0;
    }
    Endpoint result = told;
    if (record.out && ready(told)) result.availability = Availability::Draining;
    return result;
}

Discovered OutlierPolicy::take_in(const Discovered& news) {
    auto told = std::make_shared<EndpointList>();
    const auto drop = [&](auto it) {
        if (it->second.told.availability == Availability::Ready) --ready_;
        if (it->second.out) --ejected_;
        return records_.erase(it);
    };
    if (news.kind != Discovered::Kind::Delta) {
        std::unordered_set<EndpointId> named;
        if (news.endpoints) {
            for (const Endpoint& e : *news.endpoints) named.insert(e.id);
        }
        for (auto it = records_.begin(); it != records_.end();) {
            it = named.contains(it->first) ? std::next(it) : drop(it);
        }
    }
    if (news.endpoints) {
        told->reserve(news.endpoints->size());
        for (const Endpoint& e : *news.endpoints) {
            if (e.availability != Availability::Gone) {
                told->push_back(seen(records_[e.id], e));
                continue;
            }
            if (const auto it = records_.find(e.id); it != records_.end()) drop(it);
            told->push_back(e);
        }
    }
    return {news.kind, std::move(told)};
}

void OutlierPolicy::judge(Time now, const Outcome& outcome, std::vector<Action>& out) {
    const auto it = records_.find(outcome.endpoint);
    if (it == records_.end()) return;
    Record& record = it->second;
    switch (outcome.status) {
        case Status::Ok:
            if (record.count > 0) --record.count;
            if (record.count == 0) record.times = 0;
            return;
        case Status::Error:
        case Status::ConnectFailed:
        case Status::Reset:
        case Status::Timeout:
            break;
        default:
            return;  // turned away, given up or never sent: nothing has failed
    }
    if (record.count > 0 && now < record.counted + options_.apart) return;
    record.counted = now;
    ++record.count;
    if (record.out || record.count < options_.failures || record.told.availability != Availability::Ready) {
        return;
    }
    if (static_cast<double>(ejected_ + 1) > options_.most_share * static_cast<double>(ready_)) {
        record.count = options_.failures - 1;
        spared_.add();
        return;
    }
    Duration length = options_.eject_for;
    for (std::uint32_t i = 0; i < record.times && length < options_.eject_most; ++i) length *= 2;
    ++record.times;
    record.out = true;
    record.until = now + std::min(length, options_.eject_most);
    ++ejected_;
    ejections_.add();
    due_.emplace(record.until, outcome.endpoint);
    Endpoint away = record.told;
    away.availability = Availability::Draining;
    tell(now, away, out);
    if (on_ejected_) on_ejected_(outcome.endpoint, record.count);
}

void OutlierPolicy::readmit(Time now, std::vector<Action>& out) {
    const auto [until, id] = due_.top();
    due_.pop();
    const auto it = records_.find(id);
    if (it == records_.end() || !it->second.out || it->second.until != until) return;
    it->second.out = false;
    it->second.count = options_.failures - 1;  // one more, and it is out for longer
    --ejected_;
    readmissions_.add();
    tell(now, it->second.told, out);
}

}  // namespace martenford::outlier
