#include "ledger/pending_records.h"

#include <algorithm>
#include <utility>

namespace martenford::ledger {

PendingRecords::SendDecision PendingRecords::decide(Durability level, OutagePolicy outage) const {
    if (level == Durability::Off) return SendDecision::Send;
    const bool starts_soon = (health_ == Health::Starting || health_ == Health::Down) && !restart_failed_;
    const bool available = (health_ == Health::Up || starts_soon) && has_room();
    if (available) return level == Durability::Async ? SendDecision::Send : SendDecision::Hold;
    return outage == OutagePolicy::Refuse ? SendDecision::Refuse : SendDecision::SendUnjournaled;
}

bool PendingRecords::put(std::uint64_t sequence, std::string frame) {
    if (queue_.size() >= options_.max_records || bytes_ + frame.size() > options_.max_bytes) {
        ++dropped_;
        return false;
    }
    bytes_ += frame.size();
    queue_.push_back({sequence, std::move(frame)});
    return true;
}

std::string PendingRecords::take_unsent(std::size_t max_bytes, Time now) {
    std::string result;
    // A writer in trouble keeps what it has and can't take more.
    if (health_ != Health::Up) return result;
    if (sent_ == 0 && !queue_.empty()) waiting_since_ = now;
    for (; sent_ < queue_.size() && (result.empty() || result.size() < max_bytes); ++sent_) {
        result += queue_[sent_].frame;
    }
    return result;
}

void PendingRecords::writer_started(Time now) {
    health_ = Health::Starting;
    started_at_ = now;
    sent_ = 0;
}

void PendingRecords::writer_ready(Time now) {
    health_ = Health::Up;
    restart_failed_ = false;
    ready_at_ = waiting_since_ = now;
    reason_.clear();
}

void PendingRecords::acknowledged(std::uint64_t up_to, Time now) {
    if (health_ == Health::Failing) health_ = Health::Up;
    reason_.clear();
    waiting_since_ = now;
    acknowledged_ = std::max(acknowledged_, up_to);
    while (sent_ > 0 && queue_.front().sequence <= up_to) {
        bytes_ -= queue_.front().frame.size();
        queue_.pop_front();
        --sent_;
    }
}

void PendingRecords::writer_failing(std::string what, Time now) {
    if (health_ == Health::Up) health_ = Health::Failing;
    reason_ = std::move(what);
    waiting_since_ = now;
}

void PendingRecords::writer_lost(std::string why, Time now) {
    const bool was_stable =
        (health_ == Health::Up || health_ == Health::Failing) && now - ready_at_ >= options_.stable_after;
    // Two that die young in a row are no accident: then nobody waits for the next.
    restart_failed_ = !was_stable && (health_ == Health::Starting || backoff_ > Duration{});
    backoff_ = was_stable ? Duration{} : std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
    restart_at_ = was_stable ? now : now + backoff_;
    health_ = Health::Down;
    reason_ = std::move(why);
    sent_ = 0;
}

std::optional<Time> PendingRecords::response_deadline() const {
    switch (health_) {
        case Health::Starting:
            return started_at_ + options_.start_timeout;
        case Health::Up:
            if (sent_ == 0) return std::nullopt;
            return waiting_since_ + options_.ack_timeout;
        case Health::Failing:
            return waiting_since_ + options_.start_timeout;  // it says again and again that it is in trouble
        case Health::Down:
            break;
    }
    return std::nullopt;
}

}  // namespace martenford::ledger
