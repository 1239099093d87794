#include "fleet/fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace martenford::fleet {

namespace {

constexpr int kMaxHealthScore = 8;  // as Lifeguard's S: patience is nine times the usual at most
constexpr std::size_t kSuspicionConfirmations =
    3;                                // as Lifeguard's K: so many others shorten a suspicion to its least
constexpr int kStallHealthSteps = 2;  // what standing still once adds to health
constexpr Duration kStallThreshold = 250ms;     // a tick later than this: the process stood still
constexpr Duration kStallReportTime = 30s;      // for so long it tells others that it stood
constexpr Duration kMaxStallRecovery = 10s;     // alone for so long after a stall, it trusts itself again
constexpr std::size_t kRecoveryWitnesses = 2;   // whom it has to hear from until then
constexpr std::size_t kUpdatesPerMessage = 32;  // with a probe, an answer or a round of gossip: some 2 KiB
constexpr std::size_t kTransmitMultiplier = 4;  // by the logarithm to base ten: SWIM's lambda
constexpr std::size_t kMaxRelayedProbes = 256;  // probes for others under way; more are not answered
constexpr std::size_t kMaxProbes = 64;          // own, under way: one a period and those out of turn
constexpr std::size_t kMaxListsPerSecond = 20;  // whole lists given: 300 that start at once come in turn
constexpr Duration kJoinRetryStep = 300ms;      // between asks of a member that knows nobody yet
constexpr Duration kMaxJoinRetryPause = 3s;
// Before the first call of a seed that is not here; the pause doubles up to Pace::reconnect_every. Seeds that
// start at once are each joined by others before one has asked the other: the fleet begins in parts.
constexpr Duration kInitialReconnectPause = 200ms;
constexpr Duration kDeathSettleTime = 1s;  // deaths that follow each other in this time are told of together
constexpr Duration kMaxDeathReportDelay = 10s;
constexpr Duration kDeathRecheckInterval =
    200ms;                               // until those that are suspected too are dead or have refuted
constexpr std::size_t kMinMassLoss = 3;  // as many, and a tenth of all, went at once
constexpr std::size_t kMassLossDivisor = 10;
constexpr std::uint32_t kMinIndirectStreak = 2;       // one lost message is no broken link
constexpr std::size_t kMaxRecentlyHeard = 32;         // as many as have links
constexpr std::size_t kExtraProbes = 3;               // others that are asked when one has died,
constexpr std::size_t kMaxDeathsWithExtraProbes = 8;  // for the first so many that die together
constexpr Duration kMinReprobeInterval = 100ms;  // a link that ended is no reason to probe again within this
constexpr int kRefutationPeriods = 2;            // probe periods that a refutation has to reach all
constexpr Duration kFinalCheckLead = 300ms;      // before a suspect is held dead, others are asked about it
constexpr int kMaxSuspicionFactor = 3;           // the longest a suspect has, in its shortest
constexpr std::size_t kLeaveNotices = 8;         // told directly

Duration percent_of(Duration d, int percent) {
    return d * percent / 100;
}

/// Who is not said to be alive is known to those that hear of it, or is no use to them: most claims are of
/// these, and half as long without its address.
MemberUpdate without_details(MemberUpdate update) {
    if (update.state == State::Alive) return update;
    update.address.clear();
    update.zone.clear();
    update.version.clear();
    return update;
}

}  // namespace

const char* name_of(ObservedState state) {
    constexpr const char* kNames[] = {"alive", "suspect", "stalled", "unreachable", "left", "dead"};
    return kNames[static_cast<std::size_t>(state)];
}

const char* name_of(FleetEvent::Kind kind) {
    constexpr const char* kNames[] = {"joined",   "left",    "died",  "lost-at-once",
                                      "returned", "doubled", "stood", "accused"};
    return kNames[static_cast<std::size_t>(kind)];
}

Fleet::Fleet(const ProtocolOptions& options, std::vector<std::string> seeds, LocalMember self,
             std::uint64_t seed)
    : options_(options), seeds_(std::move(seeds)), self_(std::move(self)), random_(seed) {}

void Fleet::start(Time now) {
    started_ = true;
    const auto jitter = [this](Duration d) {
        return Duration{static_cast<Duration::rep>(random_below(static_cast<std::uint64_t>(d.count())))};
    };
    probe_at_ = now + jitter(options_.probe_interval);
    gossip_at_ = now + jitter(options_.gossip_interval);
    reconnect_pause_ = kInitialReconnectPause;
    reconnect_at_ = now + kInitialReconnectPause + jitter(kInitialReconnectPause);
    sync_at_ = now;
    gossip_queue_.add(own_update());
    tick(now);
}

Time Fleet::next_tick() const {
    Time when = std::min({probe_at_, gossip_at_, sync_at_, reconnect_at_});
    for (const auto& [seq, probe] : probes_)
        when = std::min(when, probe.indirect_sent ? probe.ends_at : probe.indirect_at);
    for (const auto& [seq, relayed] : relayed_probes_) when = std::min(when, relayed.expires_at);
    for (const auto& [deadline, id] : suspect_deadlines_) {
        const bool checked = members_.at(id).final_check_sent;
        when = std::min(when, checked ? deadline : deadline - kFinalCheckLead);
        if (!checked) break;  // those behind it are later
    }
    if (!unreported_deaths_.empty()) when = std::min(when, report_deaths_at_);
    return when;
}

void Fleet::tick(Time now) {
    if (!started_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    if (!leaving_ && probe_at_ <= now) {
        probe_next(now);
        probe_at_ = now + scaled_by_health(options_.probe_interval);
    } else if (leaving_) {
        probe_at_ = now + options_.probe_interval;
    }
    std::vector<Probe> failed;
    for (auto it = probes_.begin(); it != probes_.end();) {
        Probe& probe = it->second;
        if (!probe.indirect_sent && probe.indirect_at <= now) send_ping_requests(now, it->first, probe);
        if (probe.indirect_sent && probe.ends_at <= now) {
            failed.push_back(probe);
            it = probes_.erase(it);
        } else {
            ++it;
        }
    }
    for (const Probe& probe : failed) probe_failed(now, probe);
    for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
        if (it->second.expires_at > now) {
            ++it;
            continue;
        }
        Message nack;
        nack.kind = Message::Kind::Nack;
        nack.seq = it->second.requester_seq;
        send(it->second.requester_address, it->second.requester, std::move(nack));
        it = relayed_probes_.erase(it);
    }
    send_final_checks(now);
    while (!suspect_deadlines_.empty() && suspect_deadlines_.begin()->first <= now) {
        Member& member = members_.at(suspect_deadlines_.begin()->second);
        if (stall_recovery_since_) {  // what it missed may be on its way
            suspect_deadlines_.erase(suspect_deadlines_.begin());
            member.suspicion->postpone(options_.probe_interval);
            suspect_deadlines_.emplace(member.suspicion->deadline(), member.record.id);
            continue;
        }
        MemberUpdate dead = member.record;
        dead.state = State::Dead;
        dead.reported_by = self_.id.name;
        set_state(now, member, dead);
    }
    if (gossip_at_ <= now) {
        gossip(now);
        gossip_at_ = now + options_.gossip_interval;
    }
    if (sync_at_ <= now) sync(now);
    if (reconnect_at_ <= now) {
        reconnect(now);
        reconnect_pause_ = std::min(reconnect_pause_ * 2, options_.reconnect_interval);
        reconnect_at_ = now + reconnect_pause_;
    }
    if (stall_recovery_since_ && now > *stall_recovery_since_ + kMaxStallRecovery)
        stall_recovery_since_.reset();
    remove_departed(now);
    report_deaths(now);
    expected_tick_ = std::max(now, next_tick());
}

/// The last word before a death: some others are told of the suspicion, and whoever has heard a refutation
/// answers with it. With many rumours about, one may come to a member seconds late.
void Fleet::send_final_checks(Time now) {
    for (const auto& [deadline, id] : suspect_deadlines_) {
        if (deadline - kFinalCheckLead > now) return;
        Member& member = members_.at(id);
        if (std::exchange(member.final_check_sent, true)) continue;
        for (Member* other : random_members(options_.gossip_fanout, &id, true)) {
            Message notice;
            notice.kind = Message::Kind::Gossip;
            notice.updates.push_back(without_details(member.record));
            send(other->record.address, other->record.id, std::move(notice));
        }
    }
}

/// The process got no processor, or was stopped: what it did not hear in that time says nothing of others.
void Fleet::on_own_stall(Time now, Duration delay) {
    if (!options_.local_health) return;
    ++stats_.stalls;
    degrade_health(kStallHealthSteps);
    probes_.clear();
    relayed_probes_.clear();
    std::vector<Id> all;
    for (const auto& [deadline, id] : suspect_deadlines_) all.push_back(id);
    suspect_deadlines_.clear();
    for (const Id& id : all) {
        Member& member = members_.at(id);
        member.suspicion->postpone(delay);
        suspect_deadlines_.emplace(member.suspicion->deadline(), id);
    }
    stall_recovery_since_ = now;
    heard_since_stall_.clear();
    stalled_ms_ = static_cast<std::uint32_t>(std::min<std::int64_t>(delay / 1ms, 3'600'000));
    report_stall_until_ = now + kStallReportTime;
    // The sooner it hears, the sooner it can judge.
    probe_at_ = now;
    if (!leaving_) {
        for (Member* member : random_members(kRecoveryWitnesses, nullptr, true)) probe(now, *member);
    }
    expected_tick_ = now;
    add_event(FleetEvent::Kind::OwnStall, now, {self_.id}, std::to_string(stalled_ms_) + " ms");
}

void Fleet::receive(Time now, const Id& from, const std::string& address, const Message& message) {
    if (!started_ || from == self_.id) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    Message corrections;
    for (const MemberUpdate& update : message.updates) {
        // Guards against one that missed a refutation and buries the refuter alone: nobody else minds what is
        // older than what they know, its subject least of all.
        if (update.state == State::Suspect || update.state == State::Dead) {
            const auto it = members_.find(update.id);
            const bool newer = it != members_.end() && it->second.record.state == State::Alive &&
                               it->second.record.incarnation > update.incarnation;
            const bool own = update.id == self_.id && incarnation_ > update.incarnation;
            if ((newer || own) && corrections.updates.size() < kUpdatesPerMessage)
                corrections.updates.push_back(own ? own_update() : it->second.record);
        }
        MemberUpdate taken = update;
        // Guards against two sides of a healed partition burying each other: what one holds dead the other
        // suspects, and the suspect refutes.
        // One that is not here stays so: what was forgotten here may be remembered there.
        if (message.kind == Message::Kind::MemberList && taken.state == State::Dead) {
            const auto held = members_.find(taken.id);
            if (held != members_.end() && held->second.ring_index != kNotInRing) taken.state = State::Suspect;
        }
        apply_update(now, taken);
    }
    if (!corrections.updates.empty()) send(address, from, std::move(corrections));
    const auto known = members_.find(from);
    const bool unknown_sender = known == members_.end();
    if (!unknown_sender) record_contact(now, known->second);
    switch (message.kind) {
        case Message::Kind::Ping: {
            Message ack;
            ack.kind = Message::Kind::Ack;
            ack.seq = message.seq;
            ack.stalled_ms = now < report_stall_until_ ? stalled_ms_ : 0;
            attach_updates(ack, &from);
            send(address, from, std::move(ack));
            break;
        }
        case Message::Kind::PingRequest: {
            if (relayed_probes_.size() >= kMaxRelayedProbes || message.address.empty()) {
                ++stats_.ignored;
                break;
            }
            const std::uint64_t seq = ++seq_;
            relayed_probes_[seq] = {address, from, message.to, message.seq,
                                    now + percent_of(options_.probe_timeout, 75)};
            Message ping;
            ping.kind = Message::Kind::Ping;
            ping.seq = seq;
            ping.to = message.to;
            attach_updates(ping, &message.to);
            send(message.address, message.to, std::move(ping));
            break;
        }
        case Message::Kind::Ack:
            ack_received(now, from, message);
            break;
        case Message::Kind::Nack:
            if (const auto it = probes_.find(message.seq); it != probes_.end()) ++it->second.nacks;
            break;
        case Message::Kind::Gossip:
        case Message::Kind::LinkClosing:
            break;
        case Message::Kind::SyncRequest:
            if (message.digest == digest() && !unknown_sender) {
                Message empty_list;
                empty_list.kind = Message::Kind::MemberList;
                send(address, from, std::move(empty_list));
            } else {
                send_member_list(now, address, from, true);
            }
            break;
        case Message::Kind::MemberList:
            joined_ = true;
            if (message.want_list) send_member_list(now, address, from, false);
            break;
    }
    // Whoever is not known, or is held to be gone, is told how it stands; it answers by what it is.
    if (message.kind == Message::Kind::Ping || message.kind == Message::Kind::Gossip) {
        const auto now_known = members_.find(from);
        if (now_known == members_.end()) {
            Message request;
            request.kind = Message::Kind::SyncRequest;
            request.digest = digest();
            request.updates.push_back(own_update());
            send(address, from, std::move(request));
        }
    }
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::connect_failed(Time now, const std::string& address, Evidence evidence) {
    if (!started_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    const auto at_address = by_address_.find(address);
    if (at_address == by_address_.end()) return;
    for (const Id& id : std::set<Id>(at_address->second)) {
        Member& member = members_.at(id);
        bool probed = false;
        for (auto& [seq, probe] : probes_) {
            if (probe.target != id) continue;
            probed = true;
            probe.evidence = std::max(probe.evidence, evidence);
            // Nothing comes from there any more; helpers may still reach it.
            if (!probe.indirect_sent) send_ping_requests(now, seq, probe);
            if (evidence == Evidence::Gone)
                probe.ends_at = std::min(probe.ends_at, now + scaled_by_health(options_.probe_timeout));
        }
        if (!probed && evidence == Evidence::Gone && !leaving_ &&
            now > member.last_probed + kMinReprobeInterval)
            probe(now, member);
    }
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::link_lost(Time now, const std::string& address) {
    if (!started_ || leaving_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    const auto at_address = by_address_.find(address);
    if (at_address == by_address_.end()) return;
    for (const Id& id : std::set<Id>(at_address->second)) {
        Member& member = members_.at(id);
        const auto running = std::find_if(probes_.begin(), probes_.end(),
                                          [&](const auto& entry) { return entry.second.target == id; });
        if (running == probes_.end()) {
            if (now > member.last_probed + kMinReprobeInterval) probe(now, member);
            continue;
        }
        // What was on the way went with the link.
        Message ping;
        ping.kind = Message::Kind::Ping;
        ping.seq = running->first;
        ping.to = id;
        send(address, id, std::move(ping));
    }
    expected_tick_ = std::max(now, next_tick());
}

/// Guards against a fleet in which each has room for few links and much to ask: a link that gives way to
/// another, or is refused, would be one more silence to ask others about, over more links.
void Fleet::link_closed_by_peer(Time now, const Id& id) {
    if (!started_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    const auto erased = std::erase_if(probes_, [&](const auto& entry) { return entry.second.target == id; });
    if (erased > 0) {
        note_heard_since_stall(now, id);
        probe_answered(now, id, true, 0);
    }
    for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
        if (it->second.target != id) {
            ++it;
            continue;
        }
        Message ack;
        ack.kind = Message::Kind::Ack;
        ack.seq = it->second.requester_seq;
        ack.to = id;
        send(it->second.requester_address, it->second.requester, std::move(ack));
        it = relayed_probes_.erase(it);
    }
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::send_failed(Time now, const Message& message) {
    if (message.kind != Message::Kind::Ping) return;
    probes_.erase(message.seq);
    relayed_probes_.erase(message.seq);
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::peer_identified(Time now, const std::string& address, const Id& id) {
    if (!started_) return;
    const auto at_address = by_address_.find(address);
    if (at_address == by_address_.end()) return;
    for (const Id& before : std::set<Id>(at_address->second)) {
        if (before == id) continue;
        Member& member = members_.at(before);
        MemberUpdate dead = member.record;
        dead.state = State::Dead;
        dead.evidence = Evidence::Gone;
        dead.reported_by = self_.id.name;
        set_state(now, member, dead);
    }
}

void Fleet::leave(Time now) {
    if (!started_ || std::exchange(leaving_, true)) return;
    const MemberUpdate left = own_update(State::Left);
    gossip_queue_.add(left);
    for (Member* member : random_members(kLeaveNotices, nullptr)) {
        Message notice;
        notice.kind = Message::Kind::Gossip;
        notice.updates.push_back(left);
        send(member->record.address, member->record.id, std::move(notice));
    }
    probes_.clear();
    tick(now);
}

std::vector<MemberView> Fleet::members() const {
    std::vector<MemberView> result;
    result.reserve(members_.size() + 1);
    bool self_in_conflict = false;
    for (const auto& [id, member] : members_) {
        const MemberUpdate& update = member.record;
        ObservedState state = ObservedState::Alive;
        switch (update.state) {
            case State::Alive:
                state = member.indirect_streak >= kMinIndirectStreak ? ObservedState::Unreachable
                                                                     : ObservedState::Alive;
                break;
            case State::Suspect:
                state =
                    update.evidence == Evidence::Stalled ? ObservedState::Stalled : ObservedState::Suspect;
                break;
            case State::Left:
                state = ObservedState::Left;
                break;
            case State::Dead:
                state = ObservedState::Dead;
                break;
        }
        self_in_conflict = self_in_conflict || (member.name_conflict && id.name == self_.id.name);
        result.push_back({id, update.address, update.zone, update.version, update.incarnation, state,
                          member.since, update.reported_by, member.name_conflict, member.stalled_ms});
    }
    MemberView own{self_.id,         self_.address,        self_.zone, self_.version,
                   incarnation_,     ObservedState::Alive, {},         self_.id.name,
                   self_in_conflict, stalled_ms_};
    const auto position =
        std::lower_bound(result.begin(), result.end(), own,
                         [](const MemberView& a, const MemberView& b) { return a.id < b.id; });
    result.insert(position, own);
    return result;
}

// ---- probing --------------------------------------------------------------------------------------

void Fleet::probe_next(Time now) {
    if (ring_.empty()) return;
    if (next_probe_ >= ring_.size()) {
        // Round-robin over an order of chance: each is probed once in a bounded time (SWIM, section 4.3).
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
            Message ack = message;  // passed on, with whom it is about
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

/// Those that were heard lately, as far as there are such: one that can't be reached itself is no help, and
/// its silence would be taken for a fault of this process.
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

/// One that is silent is often not alone: some that were not heard of late are asked out of turn, so that
/// what went at once is told of at once.
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
    // Helpers that say that they heard nothing either are a sign that this process is sound.
    // Nor is it one of anything that someone who was never heard says nothing.
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

// ---- what is claimed --------------------------------------------------------------------------------

void Fleet::apply_update(Time now, const MemberUpdate& update) {
    if (update.id == self_.id) return apply_update_about_self(now, update);
    const auto it = members_.find(update.id);
    if (it == members_.end()) {
        if (members_.size() >= kMaxMembers) {
            ++stats_.ignored;
            return;
        }
        if (update.address.empty() && (update.state == State::Alive || update.state == State::Suspect))
            return;
        Member& member = members_[update.id];
        member.record = update;
        member.record.state = State::Dead;  // it was not here: what follows tells how it is
        member.record.reported_by.clear();
        member.since = now;
        if (update.state == State::Dead || update.state == State::Left) {
            // Kept, so that an old word that it lives does not bring it back.
            member.record = update;
            departed_.emplace_back(now, update.id);
            return;
        }
        set_state(now, member, update);
        return;
    }
    Member& member = it->second;
    const State old_state = member.record.state;
    const std::uint64_t i = update.incarnation, j = member.record.incarnation;
    const bool present = old_state == State::Alive || old_state == State::Suspect;
    switch (update.state) {
        case State::Alive:
            if (i > j && old_state != State::Left) set_state(now, member, update);
            return;
        case State::Suspect:
            if (old_state == State::Suspect && i == j) {
                if (!member.suspicion->confirm(update.reported_by)) return;
                if (update.evidence == Evidence::Gone)
                    member.suspicion->tighten(options_.not_listening_tolerance,
                                              kMaxSuspicionFactor * options_.not_listening_tolerance);
                member.record.evidence = std::max(member.record.evidence, update.evidence);
                std::erase_if(suspect_deadlines_,
                              [&](const auto& entry) { return entry.second == update.id; });
                suspect_deadlines_.emplace(member.suspicion->deadline(), update.id);
                // An independent word goes on, so that others' patience shortens too, behind what is new.
                gossip_queue_.add(without_details(update), transmit_limit() / 2);
                return;
            }
            if ((present && i >= j) || (old_state == State::Dead && i > j)) set_state(now, member, update);
            return;
        case State::Dead: {
            if (!present || i < j) return;
            // Guards against one that hears nobody and buries all the others: each member waits for the
            // least that a refutation takes before it takes a death from another.
            if (old_state == State::Suspect && i == j && now >= member.suspicion->earliest_deadline())
                return set_state(now, member, update);
            MemberUpdate doubt = update;
            doubt.state = State::Suspect;
            return apply_update(now, doubt);
        }
        case State::Left:
            if (old_state != State::Left && i >= j) set_state(now, member, update);
            return;
    }
}

void Fleet::apply_update_about_self(Time now, const MemberUpdate& update) {
    if (leaving_) return;
    if (update.state == State::Alive) {
        // Its own word of before comes back; only a made-up one is ahead of it.
        if (update.incarnation > incarnation_) refute(now, update.incarnation);
        return;
    }
    if (update.incarnation < incarnation_) return;
    degrade_health(1);
    add_event(FleetEvent::Kind::OwnSuspicion, now, {self_.id},
              "by " + update.reported_by + ": " + name_of(update.evidence));
    refute(now, update.incarnation);
}

void Fleet::refute(Time now, std::uint64_t above) {
    ++stats_.refutations;
    if (above + 1 >= kMaxIncarnation) {
        // No number is left above it. Under a new boot id it is a new member, and the old one has left.
        MemberUpdate old = own_update(State::Left);
        old.incarnation = kMaxIncarnation;
        do self_.id.boot = random_();
        while (self_.id.boot == 0);
        incarnation_ = 0;
        apply_update(now, old);
        gossip_queue_.add(old);
    } else {
        incarnation_ = above + 1;
    }
    gossip_queue_.add(own_update());
}

void Fleet::set_state(Time now, Member& member, const MemberUpdate& update) {
    const State old_state = member.record.state;
    const bool was_present = member.ring_index != kNotInRing;
    const bool is_present = update.state == State::Alive || update.state == State::Suspect;
    const bool known_before = member.record.state != State::Dead || !member.record.reported_by.empty();
    if (was_present) digest_ -= hash_of(member.record);
    if (was_present && !is_present) remove_from_ring(member);
    if (member.suspicion) {
        suspect_deadlines_.erase({member.suspicion->deadline(), update.id});
        member.suspicion.reset();
    }
    const std::size_t before = ring_.size() + (was_present && !is_present ? 2 : 1);
    const MemberUpdate previous = std::exchange(member.record, update);
    if (update.address.empty()) {  // only who is said to be alive is told of in full
        member.record.address = previous.address;
        member.record.zone = previous.zone;
        member.record.version = previous.version;
        member.record.successor = previous.successor;
    }
    if (old_state != update.state || !known_before) {
        member.since = now;
        state_changes_.push_back({update.id, update.state});
    }
    if (is_present) {
        digest_ += hash_of(member.record);
        if (!was_present) add_to_ring(member);
    }
    gossip_queue_.add(without_details(member.record));
    switch (update.state) {
        case State::Alive:
            break;
        case State::Suspect: {
            const std::size_t others = ring_.size() > 1 ? ring_.size() - 1 : 0;
            const bool not_listening = update.evidence == Evidence::Gone;
            const Duration min_timeout =
                not_listening ? options_.not_listening_tolerance
                              : options_.stall_tolerance + kRefutationPeriods * options_.probe_interval;
            member.final_check_sent = false;
            member.suspicion.emplace(now, min_timeout, kMaxSuspicionFactor * min_timeout,
                                     std::min(kSuspicionConfirmations, others));
            member.suspicion->confirm(update.reported_by);
            suspect_deadlines_.emplace(member.suspicion->deadline(), update.id);
            break;
        }
        case State::Left:
            departed_.emplace_back(now, update.id);
            add_event(FleetEvent::Kind::Left, now, {update.id});
            break;
        case State::Dead:
            departed_.emplace_back(now, update.id);
            if (!was_present) break;
            ++stats_.deaths;
            if (unreported_deaths_.empty()) {
                live_before_deaths_ = before;
                deaths_not_listening_ = 0;
                first_death_at_ = now;
            }
            unreported_deaths_.push_back(update.id);
            last_death_at_ = now;
            report_deaths_at_ = now + kDeathSettleTime;
            deaths_not_listening_ += update.evidence == Evidence::Gone ? 1 : 0;
            if (unreported_deaths_.size() <= kMaxDeathsWithExtraProbes) probe_unheard_members(now);
            break;
    }
    if (is_present && !was_present) {
        if (!known_before || old_state == State::Left) {
            add_event(FleetEvent::Kind::Joined, now, {update.id}, update.address);
        } else if (std::erase(unreported_deaths_, update.id) == 0) {
            add_event(FleetEvent::Kind::Returned, now, {update.id});
        }
        start_conflict_check(now, member);
    }
}

void Fleet::add_to_ring(Member& member) {
    // At a place of chance in what is left of this round, so that a newcomer is probed within a round.
    member.ring_index = ring_.size();
    ring_.push_back(&member);
    by_address_[member.record.address].insert(member.record.id);
    const std::size_t first = std::min(next_probe_, ring_.size() - 1);
    const std::size_t other = first + random_below(ring_.size() - first);
    std::swap(ring_[other], ring_[member.ring_index]);
    ring_[member.ring_index]->ring_index = member.ring_index;
    member.ring_index = other;
}

void Fleet::remove_from_ring(Member& member) {
    const std::size_t position = member.ring_index;
    ring_[position] = ring_.back();
    ring_[position]->ring_index = position;
    ring_.pop_back();
    member.ring_index = kNotInRing;
    member.indirect_streak = 0;
    member.name_conflict = false;
    const auto at_address = by_address_.find(member.record.address);
    at_address->second.erase(member.record.id);
    if (at_address->second.empty()) by_address_.erase(at_address);
    // Whoever shared its name is alone with it again.
    for (auto it = members_.lower_bound({member.record.id.name, 0});
         it != members_.end() && it->first.name == member.record.id.name; ++it)
        it->second.name_conflict = false;
}

void Fleet::start_conflict_check(Time now, Member& member) {
    const std::string& name = member.record.id.name;
    std::vector<Member*> same;
    for (auto it = members_.lower_bound({name, 0}); it != members_.end() && it->first.name == name; ++it) {
        if (it->second.ring_index != kNotInRing) same.push_back(&it->second);
    }
    if (same.size() + (name == self_.id.name ? 1 : 0) < 2) return;
    // Most often it is a restart whose former self is not yet known to be dead: only two that both answer
    // from here on are a pair.
    for (Member* each : same) {
        each->conflict_check_since = now;
        if (!leaving_) probe(now, *each);
    }
}

void Fleet::detect_name_conflict(Time now, Member& member) {
    if (member.conflict_check_since == Time{} || member.name_conflict || member.record.successor) return;
    const std::string& name = member.record.id.name;
    if (name == self_.id.name) {
        if (self_.successor) return;
        member.name_conflict = true;
        return add_event(FleetEvent::Kind::NameConflict, now, {self_.id, member.record.id},
                         self_.address + " and " + member.record.address);
    }
    for (auto it = members_.lower_bound({name, 0}); it != members_.end() && it->first.name == name; ++it) {
        Member& other = it->second;
        if (&other == &member || other.ring_index == kNotInRing || other.record.successor) continue;
        if (other.conflict_check_since == Time{} || other.last_answered <= other.conflict_check_since)
            continue;
        const bool already_reported = other.name_conflict;
        member.name_conflict = other.name_conflict = true;
        if (!already_reported)
            add_event(FleetEvent::Kind::NameConflict, now, {other.record.id, member.record.id},
                      other.record.address + " and " + member.record.address);
    }
}

// ---- spreading --------------------------------------------------------------------------------------

void Fleet::gossip(Time) {
    if (gossip_queue_.empty()) return;
    // What is told over links that stand still reaches all: whom a probe comes to is a matter of chance, it
    // carries news too, and its link stays.
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
    // It knows nobody who answers: the seeds in turn, and whoever it has heard of.
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
        // A seed that is the only one here has a fleet of one.
        joined_ = seeds_.size() == 1;
        return;
    }
    send(seed, {}, std::move(request));
}

void Fleet::send_member_list(Time now, const std::string& address, const Id& to, bool want_list) {
    // Guards against one that asks for list after list, and against all of a fleet that starts.
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
        entries.want_list =
            want_list && end == all.size();  // with the last piece: one list back, not one a piece
        entries.updates.assign(all.begin() + static_cast<std::ptrdiff_t>(at),
                               all.begin() + static_cast<std::ptrdiff_t>(end));
        send(address, to, std::move(entries));
    }
}

/// Calls one that is held dead, or a seed that is not here: a partition heals by somebody asking.
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
        // It may have returned, and gone again later.
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
    // Whoever is still suspected of before may belong to them: accusers come at different times.
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

// ---- small things -----------------------------------------------------------------------------------

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
    // Lifeguard's buddy system: whoever is not held to be alive hears of it with the next word to it.
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
    // A few draws too many rather than a shuffle of all: the fleet may be large.
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

/// Alive and suspect are alike here: a suspicion is on its way anyhow.
std::uint64_t Fleet::hash_of(const MemberUpdate& update) {
    const std::uint64_t numbers[] = {update.id.boot, update.incarnation};
    return XXH64(numbers, sizeof numbers, XXH64(update.id.name.data(), update.id.name.size(), 0));
}

}  // namespace martenford::fleet
