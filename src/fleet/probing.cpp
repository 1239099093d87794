// Fleet: probes of other members, direct and by helpers (SWIM, Lifeguard).
#include <algorithm>
#include <utility>

#include "fleet/fleet_internal.h"

namespace martenford::fleet {

namespace {

constexpr std::size_t kMaxProbes = 64;         // own probes in flight: one per interval and unscheduled ones
constexpr std::size_t kMaxRecentlyHeard = 32;  // as many members as can have links by default
constexpr std::size_t kExtraProbes = 3;        // members that are probed out of turn after a death,

}  // namespace

void Fleet::probe_next(Time now) {
    if (ring_.empty()) return;
    if (next_probe_ >= ring_.size()) {
        // Round-robin over a shuffled order, so that each member is probed within a bounded time (SWIM,
        // section 4.3).
        next_probe_ = 0;
        for (std::size_t i = ring_.size(); i > 1; --i) {
            const std::size_t j = random_below(i);
            std::swap(ring_[i - 1], ring_[j]);
            ring_[i - 1]->ring_index = i - 1;
            ring_[j]->ring_index = j;
        }
    }
    probe(now, *ring_[next_probe_++]);
}

void Fleet::probe(Time now, Member& member) {
    if (probes_.size() >= kMaxProbes) return;
    ++stats_.probes;
    member.last_probed = now;
    const std::uint64_t seq = ++seq_;
    Probe& probe = probes_[seq];
    probe.target = member.record.id;
    probe.indirect_at = now + scaled_by_health(options_.probe_timeout);
    probe.ends_at = now + scaled_by_health(options_.probe_interval);
    Message ping;
    ping.kind = Message::Kind::Ping;
    ping.seq = seq;
    ping.to = member.record.id;
    attach_updates(ping, &member.record.id);
    send(member.record.address, member.record.id, std::move(ping));
}

void Fleet::send_ping_requests(Time now, std::uint64_t seq, Probe& probe) {
    probe.indirect_sent = true;
    probe.indirect_at = now;
    const auto target = members_.find(probe.target);
    if (target == members_.end()) return;
    for (Member* helper : choose_helpers(now, probe.target)) {
        Message request;
        request.kind = Message::Kind::PingRequest;
        request.seq = seq;
        request.to = probe.target;
        request.address = target->second.record.address;
        send(helper->record.address, helper->record.id, std::move(request));
        ++probe.nacks_expected;
    }
}

void Fleet::ack_received(Time now, const Id& from, const Message& message) {
    if (const auto relayed = relayed_probes_.find(message.seq); relayed != relayed_probes_.end()) {
        if (relayed->second.target == from) {
            Message ack = message;  // forwarded, with the target's id
            ack.seq = relayed->second.requester_seq;
            ack.to = from;
            send(relayed->second.requester_address, relayed->second.requester, std::move(ack));
        }
        relayed_probes_.erase(relayed);
        return;
    }
    const auto it = probes_.find(message.seq);
    if (it == probes_.end()) return;
    const bool direct = it->second.target == from;
    if (!direct && message.to != it->second.target) return;
    const Id target = it->second.target;
    probes_.erase(it);
    if (health_score_ > 0) --health_score_;
    note_heard_since_stall(now, from);
    probe_answered(now, target, direct, message.stalled_ms);
}

void Fleet::probe_answered(Time now, const Id& target, bool direct, std::uint32_t stalled_ms) {
    const auto it = members_.find(target);
    if (it == members_.end()) return;
    Member& member = it->second;
    member.last_answered = now;
    record_contact(now, member);
    member.stalled_ms = stalled_ms;
    const bool was_unreachable = member.indirect_streak >= kMinIndirectStreak;
    member.indirect_streak = direct ? 0 : member.indirect_streak + 1;
    if (member.record.state == State::Alive &&
        was_unreachable != (member.indirect_streak >= kMinIndirectStreak))
        member.since = now;
    detect_name_conflict(now, member);
}

void Fleet::record_contact(Time now, Member& member) {
    const bool lately = member.last_heard + options_.probe_interval > now && member.last_heard != Time{};
    member.last_heard = now;
    if (lately) return;
    std::erase(recently_heard_, member.record.id);
    recently_heard_.push_back(member.record.id);
    if (recently_heard_.size() > kMaxRecentlyHeard) recently_heard_.pop_front();
}

/// Prefers members that were heard lately. An unreachable helper is no help, and its missing nack would count
/// against the health of this process.
std::vector<Fleet::Member*> Fleet::choose_helpers(Time now, const Id& except) {
    std::vector<Member*> result;
    for (std::size_t i = recently_heard_.size(); i > 1; --i)
        std::swap(recently_heard_[i - 1], recently_heard_[random_below(i)]);
    for (const Id& id : recently_heard_) {
        if (result.size() >= options_.indirect_probes) return result;
        const auto it = members_.find(id);
        if (id == except || it == members_.end() || it->second.ring_index == kNotInRing) continue;
        if (it->second.last_heard + 2 * options_.stall_tolerance >= now) result.push_back(&it->second);
    }
    for (Member* member : random_members(options_.indirect_probes, &except, true)) {
        if (result.size() >= options_.indirect_probes) return result;
        if (std::find(result.begin(), result.end(), member) == result.end()) result.push_back(member);
    }
    return result;
}

/// Members often fail together. After a death, probes out of turn some members that were not heard lately, so
/// that a common failure is detected and reported as one.
void Fleet::probe_unheard_members(Time now) {
    if (leaving_) return;
    for (Member* member : random_members(kExtraProbes, nullptr)) {
        if (member->record.state == State::Alive && member->last_heard + options_.stall_tolerance < now &&
            member->last_probed + options_.probe_interval < now)
            probe(now, *member);
    }
}

void Fleet::note_heard_since_stall(Time, const Id& from) {
    if (!stall_recovery_since_) return;
    heard_since_stall_.insert(from);
    if (heard_since_stall_.size() >= std::min(kRecoveryWitnesses, std::max<std::size_t>(1, ring_.size())))
        stall_recovery_since_.reset();
}

void Fleet::probe_failed(Time now, const Probe& probe) {
    ++stats_.failed_probes;
    if (stall_recovery_since_) return;
    const auto it = members_.find(probe.target);
    if (it == members_.end() || it->second.ring_index == kNotInRing) return;
    // Nacks from helpers show that this process is healthy, so only missing nacks raise its score. The
    // silence of a member that was never heard says nothing about this process either.
    if (probe.evidence != Evidence::Gone && it->second.last_heard != Time{})
        degrade_health(
            probe.nacks_expected > 0
                ? static_cast<int>(probe.nacks_expected - std::min(probe.nacks_expected, probe.nacks))
                : 1);
    suspect(now, it->second, probe.evidence);
}

void Fleet::suspect(Time now, Member& member, Evidence evidence) {
    ++stats_.suspicions;
    MemberUpdate update = member.record;
    update.state = State::Suspect;
    update.evidence = evidence;
    update.reported_by = self_.id.name;
    apply_update(now, update);
}

}  // namespace martenford::fleet
