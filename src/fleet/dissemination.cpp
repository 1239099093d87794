// Fleet: gossip, lists of members, connections to seeds, and reports of deaths.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "fleet/fleet_internal.h"

namespace martenford::fleet {

namespace {

constexpr int kMaxHealthScore = 8;              // Lifeguard's S: timeouts are at most nine times the usual
constexpr std::size_t kTransmitMultiplier = 4;  // SWIM's lambda, applied to the base-10 logarithm
// Member lists sent; spreads them when 300 members start at once.
constexpr std::size_t kMaxListsPerSecond = 20;
constexpr Duration kJoinRetryStep = 300ms;  // between join attempts; grows with each round of seeds
constexpr Duration kMaxJoinRetryPause = 3s;
constexpr Duration kMaxDeathReportDelay = 10s;
// Interval of checks whether members that are still suspected have died or refuted.
constexpr Duration kDeathRecheckInterval = 200ms;
constexpr std::size_t kMinMassLoss = 3;  // a mass loss is at least this many members and a tenth of the fleet
constexpr std::size_t kMassLossDivisor = 10;

}  // namespace

void Fleet::gossip(Time) {
    if (gossip_queue_.empty()) return;
    // Gossip prefers open links and still reaches all members: probe targets are random, and probes carry
    // updates too and leave their links open.
    for (Member* member : connected_first(options_.gossip_fanout)) {
        if (gossip_queue_.empty()) return;
        Message notice;
        notice.kind = Message::Kind::Gossip;
        attach_updates(notice, &member->record.id);
        send(member->record.address, member->record.id, std::move(notice));
    }
}

void Fleet::sync(Time now) {
    Message request;
    request.kind = Message::Kind::SyncRequest;
    request.digest = digest();
    request.updates.push_back(own_update());
    if (joined_ || seeds_.empty()) {
        joined_ = true;
        const auto jitter = Duration{static_cast<Duration::rep>(
            random_below(static_cast<std::uint64_t>(options_.sync_interval.count())))};
        sync_at_ = now + options_.sync_interval / 2 + jitter;
        for (Member* member : random_members(1, nullptr)) {
            ++stats_.syncs;
            send(member->record.address, member->record.id, std::move(request));
        }
        return;
    }
    // Not joined yet: tries the seeds in turn, and members that it has heard of.
    const std::size_t attempt = join_attempts_++;
    const Duration pause =
        std::min(kJoinRetryStep * static_cast<int>(1 + attempt / (seeds_.size() + 1)), kMaxJoinRetryPause);
    sync_at_ = now + pause / 2 +
               Duration{static_cast<Duration::rep>(random_below(static_cast<std::uint64_t>(pause.count())))};
    if (attempt % 2 == 1) {
        if (const auto known = random_members(1, nullptr); !known.empty())
            return send(known[0]->record.address, known[0]->record.id, std::move(request));
    }
    const std::string& seed = seeds_[(attempt + random_below(seeds_.size())) % seeds_.size()];
    if (seed == self_.address) {
        // A seed without other seeds is a fleet of one.
        joined_ = seeds_.size() == 1;
        return;
    }
    send(seed, {}, std::move(request));
}

void Fleet::send_member_list(Time now, const std::string& address, const Id& to, bool want_list) {
    // Limits the load when one member keeps asking for lists or a whole fleet starts.
    while (!member_lists_sent_.empty() && member_lists_sent_.front() + 1s <= now)
        member_lists_sent_.pop_front();
    if (member_lists_sent_.size() >= kMaxListsPerSecond) {
        ++stats_.ignored;
        return;
    }
    member_lists_sent_.push_back(now);
    std::vector<MemberUpdate> all{own_update()};
    for (const auto& [id, member] : members_) {
        if (id != to || member.record.state != State::Alive) all.push_back(member.record);
    }
    for (std::size_t at = 0; at < all.size(); at += kMaxUpdates) {
        Message entries;
        entries.kind = Message::Kind::MemberList;
        const std::size_t end = std::min(all.size(), at + kMaxUpdates);
        // Only the last part asks for a list in return, so that one list comes back and not one for each
        // part.
        entries.want_list = want_list && end == all.size();
        entries.updates.assign(all.begin() + static_cast<std::ptrdiff_t>(at),
                               all.begin() + static_cast<std::ptrdiff_t>(end));
        send(address, to, std::move(entries));
    }
}

/// Dials a dead member and a seed that is not a live member: partitions heal only if somebody dials.
void Fleet::reconnect(Time) {
    if (leaving_) return;
    std::vector<std::string> where;
    for (std::size_t tries = 0; tries < 4 && !departed_.empty(); ++tries) {
        const auto it = members_.find(departed_[random_below(departed_.size())].second);
        if (it != members_.end() && it->second.record.state == State::Dead) {
            where.push_back(it->second.record.address);
            break;
        }
    }
    std::vector<std::string> missing_seeds;
    for (const std::string& seed : seeds_) {
        if (seed != self_.address && !by_address_.contains(seed)) missing_seeds.push_back(seed);
    }
    if (!missing_seeds.empty()) where.push_back(missing_seeds[random_below(missing_seeds.size())]);
    for (const std::string& address : where) {
        if (by_address_.contains(address) || address == self_.address) continue;
        Message request;
        request.kind = Message::Kind::SyncRequest;
        request.digest = digest();
        request.updates.push_back(own_update());
        send(address, {}, std::move(request));
    }
}

void Fleet::remove_departed(Time now) {
    while (!departed_.empty() && departed_.front().first + options_.forget_after <= now) {
        const auto it = members_.find(departed_.front().second);
        // It may have returned and departed again later.
        if (it != members_.end() && it->second.ring_index == kNotInRing &&
            it->second.since + options_.forget_after <= now) {
            gossip_queue_.remove(it->first);
            members_.erase(it);
        }
        departed_.pop_front();
    }
}

void Fleet::report_deaths(Time now) {
    if (unreported_deaths_.empty() || now < report_deaths_at_) return;
    // Members that were already suspected may belong to the same loss: suspicions start at different times.
    const bool more =
        std::any_of(suspect_deadlines_.begin(), suspect_deadlines_.end(), [this](const auto& entry) {
            return members_.at(entry.second).suspicion->since() <= last_death_at_ + kDeathSettleTime;
        });
    if ((more || now < last_death_at_ + kDeathSettleTime) && now < first_death_at_ + kMaxDeathReportDelay) {
        report_deaths_at_ = std::max(last_death_at_ + kDeathSettleTime, now + kDeathRecheckInterval);
        return;
    }
    const std::vector<Id> lost = std::exchange(unreported_deaths_, {});
    if (lost.size() >= kMinMassLoss && lost.size() * kMassLossDivisor >= live_before_deaths_) {
        add_event(FleetEvent::Kind::MassLoss, now, lost,
                  std::to_string(deaths_not_listening_) + " no longer listen, " +
                      std::to_string(lost.size() - std::min(lost.size(), deaths_not_listening_)) +
                      " are silent",
                  live_before_deaths_);
        return;
    }
    for (const Id& id : lost) {
        const auto it = members_.find(id);
        if (it == members_.end()) continue;
        const MemberUpdate& update = it->second.record;
        add_event(FleetEvent::Kind::Died, now, {id},
                  std::string(name_of(update.evidence)) + ", by " + update.reported_by);
    }
}

// ---- helpers --------------------------------------------------------------------------------------

void Fleet::add_event(FleetEvent::Kind kind, Time now, std::vector<Id> subjects, std::string detail,
                      std::size_t live_before) {
    events_.push_back({kind, now, std::move(subjects), live_before, std::move(detail)});
}

MemberUpdate Fleet::own_update(State state) const {
    return {self_.id, self_.address, self_.zone,     self_.version, incarnation_, state,
            {},       self_.id.name, self_.successor};
}

void Fleet::send(const std::string& address, const Id& to, Message message) {
    outgoing_.push_back({address, to, std::move(message)});
}

void Fleet::attach_updates(Message& message, const Id* to) {
    message.updates = gossip_queue_.take(kUpdatesPerMessage, transmit_limit(), to);
    if (!to) return;
    // Lifeguard's buddy system: a member that is not held to be alive is told with the next message to it.
    const auto it = members_.find(*to);
    if (it == members_.end() || it->second.record.state == State::Alive) return;
    for (const MemberUpdate& update : message.updates) {
        if (update.id == *to) return;
    }
    message.updates.push_back(without_details(it->second.record));
}

std::uint64_t Fleet::digest() const {
    return digest_ + hash_of(own_update());
}

std::size_t Fleet::transmit_limit() const {
    std::size_t digits = 1;
    for (std::size_t n = ring_.size() + 1; n >= 10; n /= 10) ++digits;
    return kTransmitMultiplier * digits;
}

std::vector<Fleet::Member*> Fleet::random_members(std::size_t count, const Id* except, bool only_heard) {
    std::vector<Member*> result;
    // A bounded number of random draws is cheaper than shuffling a large fleet.
    for (std::size_t tries = 0; tries < 4 * count && result.size() < std::min(count, ring_.size()); ++tries) {
        Member* member = ring_[random_below(ring_.size())];
        if ((except && member->record.id == *except) || (only_heard && member->last_heard == Time{}))
            continue;
        if (std::find(result.begin(), result.end(), member) == result.end()) result.push_back(member);
    }
    return result;
}

void Fleet::set_connected(const Id& id, bool connected) {
    if (connected) {
        connected_.insert(id);
    } else {
        connected_.erase(id);
    }
}

std::vector<Fleet::Member*> Fleet::connected_first(std::size_t count) {
    std::vector<Member*> result;
    for (const Id& id : connected_) {
        const auto it = members_.find(id);
        if (it != members_.end() && it->second.ring_index != kNotInRing) result.push_back(&it->second);
    }
    for (std::size_t i = 0; i < std::min(count, result.size()); ++i)
        std::swap(result[i], result[i + random_below(result.size() - i)]);
    if (result.size() > count) result.resize(count);
    if (result.size() == count) return result;
    for (Member* member : random_members(count, nullptr)) {
        if (result.size() >= count) break;
        if (std::find(result.begin(), result.end(), member) == result.end()) result.push_back(member);
    }
    return result;
}

std::vector<Fleet::MemberAddress> Fleet::sample_peers(std::size_t count) {
    std::vector<MemberAddress> result;
    for (const Member* member : connected_first(count))
        result.push_back({member->record.id, member->record.address});
    return result;
}

void Fleet::degrade_health(int steps) {
    if (!options_.local_health) return;
    health_score_ = std::clamp(health_score_ + steps, 0, kMaxHealthScore);
}

/// Alive and suspect hash alike: a suspicion is already being gossiped.
std::uint64_t Fleet::hash_of(const MemberUpdate& update) {
    const std::uint64_t numbers[] = {update.id.boot, update.incarnation};
    return XXH64(numbers, sizeof numbers, XXH64(update.id.name.data(), update.id.name.size(), 0));
}

}  // namespace martenford::fleet
