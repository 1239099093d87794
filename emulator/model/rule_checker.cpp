#include "emulator/model/rule_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "config/units.h"

namespace martenford::emulator {

using decision::Availability;
using decision::Idempotency;

namespace {
constexpr std::size_t kMostExamples = 5;
constexpr Duration kRemembered = 2s;  // an answered request, for what may still be sent for it
constexpr double kToldShare =
    2.0 / 3.0;                       // of the push, from sidecars that knew of the start: then it is theirs
constexpr double kColdSlack = 0.25;  // seconds of capacity put down to chance
}  // namespace

void RuleChecker::breach(Rule rule, Time at, const std::string& what) {
    Verdict& verdict = verdicts_[static_cast<std::size_t>(rule)];
    ++verdict.breaches;
    if (verdict.examples.size() < kMostExamples) {
        verdict.examples.push_back(fmt::format("at {:.3f} s: {}", seconds(at.time_since_epoch()), what));
    }
}

bool RuleChecker::all_kept() const {
    return std::all_of(verdicts_.begin(), verdicts_.end(), [](const Verdict& v) { return v.breaches == 0; });
}

void RuleChecker::taken(const std::string& id, std::uint32_t sidecar, std::uint32_t class_index, Time at,
                        Time deadline) {
    // Kept for a while: something may still go out for it, and would be noticed.
    for (; !closed_.empty() && closed_.front().first + kRemembered < at; closed_.pop_front()) {
        const auto old = requests_.find(closed_.front().second);
        if (old != requests_.end() && old->second.closed) requests_.erase(old);
    }
    const auto [it, fresh] = requests_.try_emplace(id);
    if (!fresh) return breach(Rule::NoneLost, at, fmt::format("{} was taken twice", id));
    it->second.sidecar = sidecar;
    it->second.class_index = class_index;
    it->second.deadline = deadline;
}

/// The request, where this is its one final answer in time; otherwise a breach was noted.
RuleChecker::Request* RuleChecker::answered(const std::string& id, Time at, const char* what) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.owed) {
        breach(Rule::NoneLost, at, fmt::format("{} was {}, and no answer was owed", id, what));
        return nullptr;
    }
    it->second.owed = false;
    it->second.answered_at = at;
    if (at > it->second.deadline + figures_.answer_slack + figures_.wire_slack) {
        breach(Rule::NoneLost, at,
               fmt::format("{} was {} {:.0f} ms after its time was up", id, what,
                           seconds(at - it->second.deadline) * 1e3));
    }
    return &it->second;
}

void RuleChecker::served(const std::string& id, Time at, bool genuine) {
    if (answered(id, at, "served") && !genuine) {
        breach(Rule::NoneLost, at, fmt::format("{} was served with what no endpoint made for it", id));
    }
    forget_if_over(id);
}

void RuleChecker::refused(const std::string& id, Time at) {
    if (const Request* request = answered(id, at, "refused")) {
        const auto& rules = classes_[request->class_index];
        const bool harmless = rules.idempotency == Idempotency::Idempotent ||
                              std::all_of(request->sent.begin(), request->sent.end(),
                                          [](const Sent& s) { return s.over && s.ran == Ran::Never; });
        if (!harmless) breach(Rule::NoDoubleEffect, at, fmt::format("{} was refused and may have run", id));
    }
    forget_if_over(id);
}

void RuleChecker::failed(const std::string& id, Time at) {
    answered(id, at, "failed");
    forget_if_over(id);
}

void RuleChecker::left(const std::string& id, Time at) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.owed) return;
    it->second.owed = false;
    it->second.answered_at = at;
    if (at > it->second.deadline + figures_.answer_slack + figures_.wire_slack) {
        breach(Rule::NoneLost, at, fmt::format("{} was never answered", id));
    }
    forget_if_over(id);
}

void RuleChecker::sidecar_died(std::uint32_t sidecar) {
    for (auto it = requests_.begin(); it != requests_.end();) {
        it = it->second.sidecar == sidecar ? requests_.erase(it) : std::next(it);
    }
    std::erase_if(stop_,
                  [&](const auto& entry) { return static_cast<std::uint32_t>(entry.first) == sidecar; });
    for (auto& sidecars : known_) {
        if (sidecar < sidecars.size()) sidecars[sidecar] = false;
    }
}

std::size_t RuleChecker::attempt(const std::string& id, std::uint32_t node, std::uint32_t pod,
                                 Time first_byte, Time last_byte) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return 0;  // of a sidecar that has died since
    Request& request = it->second;
    // On its way when the answer went out: what counts is when it was sent.
    if (!request.owed && first_byte > request.answered_at + figures_.wire_slack) {
        breach(Rule::NoneLost, last_byte, fmt::format("{} was sent out after its answer", id));
    }
    const auto& rules = classes_[request.class_index];
    for (const Sent& earlier : request.sent) {
        if (rules.idempotency == Idempotency::Idempotent || (earlier.over && earlier.ran == Ran::Never))
            continue;
        if (rules.idempotency == Idempotency::NonIdempotent) {
            breach(Rule::NoDoubleEffect, last_byte,
                   fmt::format("{}, not to be repeated, was sent again and may have run", id));
        } else if (earlier.pod != pod) {
            breach(Rule::NoDoubleEffect, last_byte,
                   fmt::format("{} may have run in pod {} and was sent to pod {}", id, earlier.pod, pod));
        } else if (first_byte > earlier.last_byte + rules.dedup_window + figures_.wire_slack) {
            breach(Rule::NoDoubleEffect, last_byte,
                   fmt::format("{} was sent again after its pod had forgotten it", id));
        }
    }
    if (const auto stop = stop_.find(pair_of(node, request.sidecar));
        stop != stop_.end() && first_byte > stop->second + figures_.drain_grace + figures_.wire_slack) {
        breach(
            Rule::DrainsKept, last_byte,
            fmt::format("{} was sent {:.0f} ms after sidecar {} was told that endpoint {} drains or is gone",
                        id, seconds(first_byte - stop->second) * 1e3, request.sidecar, node));
    }
    request.sent.push_back({node, pod, last_byte, false, Ran::Maybe});
    return request.sent.size() - 1;
}

void RuleChecker::attempt_over(const std::string& id, std::size_t number, Ran ran) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || number >= it->second.sent.size() || it->second.sent[number].over) return;
    it->second.sent[number].over = true;
    it->second.sent[number].ran = ran;
    forget_if_over(id);
}

void RuleChecker::forget_if_over(const std::string& id) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.owed) return;
    const auto& sent = it->second.sent;
    if (it->second.closed || !std::all_of(sent.begin(), sent.end(), [](const Sent& s) { return s.over; }))
        return;
    it->second.closed = true;
    closed_.emplace_back(it->second.answered_at, id);
}

void RuleChecker::told(std::uint32_t sidecar, std::uint32_t node, Availability state, Time at) {
    if (state == Availability::Ready) {
        stop_.erase(pair_of(node, sidecar));
        if (node >= known_.size()) known_.resize(node + 1);
        if (sidecar >= known_[node].size()) known_[node].resize(sidecar + 1);
        known_[node][sidecar] = true;
    } else {
        stop_.try_emplace(pair_of(node, sidecar), at);
    }
}

bool RuleChecker::cold_work(std::uint32_t sidecar, std::uint32_t node, double work, double capacity,
                            Time at) {
    ColdNode& cold = cold_[node];
    if (cold.pushes.empty()) cold.first = at;
    cold.pushes.push_back(
        {at, work, capacity, node < known_.size() && sidecar < known_[node].size() && known_[node][sidecar]});
    while (cold.pushes.front().at <= at - figures_.tip_after) cold.pushes.pop_front();
    double pushed = 0.0, by_told = 0.0, least = capacity;
    for (const Push& push : cold.pushes) {
        pushed += push.work;
        by_told += push.told ? push.work : 0.0;
        least = std::min(least, push.capacity);
    }
    // Capacity grows while it is cold: the least in the window is the strictest reading.
    const double allowed = figures_.fall_multiple * least * (seconds(figures_.tip_after) + kColdSlack);
    if (pushed <= allowed) return false;
    if (by_told >= pushed * kToldShare) {
        breach(Rule::ColdSpared, at,
               fmt::format("endpoint {} was sent {:.2f} s of work in {:.1f} s, and could do {:.2f}", node,
                           pushed, seconds(figures_.tip_after), least * seconds(figures_.tip_after)));
    }
    cold_.erase(node);
    return true;
}

void RuleChecker::forget_node(std::uint32_t node) {
    cold_.erase(node);
    if (node < known_.size()) known_[node].clear();
}

void RuleChecker::double_effect(const std::string& id, Time at) {
    breach(Rule::NoDoubleEffect, at, fmt::format("{} took effect a second time", id));
}

void RuleChecker::finish(Time now) {
    std::set<std::string> lost;  // in order, so that a report says the same each time
    for (const auto& [id, request] : requests_) {
        if (request.owed && now > request.deadline + figures_.answer_slack + figures_.wire_slack)
            lost.insert(id);
    }
    for (const std::string& id : lost) breach(Rule::NoneLost, now, fmt::format("{} was never answered", id));
}

}  // namespace martenford::emulator
