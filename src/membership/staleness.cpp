#include "membership/staleness.h"

#include <algorithm>

namespace martenford {

using namespace martenford::decision;

namespace {

constexpr int kRefused = 2;          // in a row: a process that listens refuses nobody
constexpr int kTurnedAway = 4;       // in a row: a full queue turns some away, a drain all
constexpr Duration kSpell = 200ms;   // that a run must last: a restart is over sooner than a list can tell
constexpr Duration kForget = 10s;    // after which a run that nothing was added to says no more
constexpr Duration kSettled = 2s;    // since discovery's last answer: news of the day is under way
constexpr Duration kFirstWait = 2s;  // between two asks, doubled each time that brought nothing
constexpr Duration kMostWait = 16s;  // the longest, unless the replicas alone need more
constexpr Duration kPerReplica = 100ms;  // of discovery's time, so that a fleet of one mind does not crowd it
constexpr std::size_t kMostRuns =
    256;  // endpoints looked at; more that fail at once are no matter of the list

}  // namespace

Staleness::Staleness(std::uint32_t replicas)
    : first_wait_(std::max(kFirstWait, kPerReplica * replicas)), wait_(first_wait_) {}

bool Staleness::convinces(const Run& run, Time now) const {
    if (now - run.since < kSpell) return false;
    if (run.refused < kRefused && run.refused + run.turned_away < kTurnedAway) return false;
    // Where others serve no more either, or turn as much away, it is load or the network, and no list helps.
    const auto own = static_cast<std::uint64_t>(run.turned_away);
    const std::uint64_t others = turned_away_ - run.turned_away_before - own;
    const bool served_elsewhere = served_ > run.served_before;
    return served_elsewhere && (run.refused >= kRefused || 2 * others < own);
}

bool Staleness::ended(EndpointId id, Status status, Time now) {
    if (status == Status::Ok) ++served_;
    if (status != Status::ConnectFailed && status != Status::Rejected) {
        // Whatever else came shows that it takes requests; of what was ended here or never sent nothing is
        // known.
        if (status == Status::Ok || status == Status::Error) runs_.erase(id);
        return false;
    }
    std::erase_if(runs_, [&](const auto& entry) { return now - entry.second.last > kForget; });
    if (runs_.size() >= kMostRuns && !runs_.contains(id)) return false;
    const auto [at, fresh] = runs_.try_emplace(id);
    Run& run = at->second;
    if (fresh) run = {now, now, 0, 0, served_, turned_away_};
    run.last = now;
    if (status == Status::Rejected) ++turned_away_;
    ++(status == Status::Rejected ? run.turned_away : run.refused);
    if (!convinces(run, now)) return false;
    if (now - told_at_ < kSettled || (asked_ && now - asked_at_ < wait_)) return false;
    wait_ = asked_ ? std::min(wait_ * 2, std::max(kMostWait, first_wait_)) : first_wait_;
    asked_ = true;
    asked_at_ = now;
    return true;
}

void Staleness::told(bool changed, Time now) {
    told_at_ = now;
    if (!changed) return;
    runs_.clear();
    asked_ = false;
}

}  // namespace martenford
