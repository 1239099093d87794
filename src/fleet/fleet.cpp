#include "fleet/fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace martenford::fleet {

namespace {

constexpr int kWorstHealth = 8;          // as Lifeguard's S: patience is nine times the usual at most
constexpr std::size_t kAccusers = 3;     // as Lifeguard's K: so many others shorten a suspicion to its least
constexpr int kStallSteps = 2;           // what standing still once adds to health
constexpr Duration kLate = 250ms;        // a tick later than this: the process stood still
constexpr Duration kStallShown = 30s;    // for so long it tells others that it stood
constexpr Duration kDistrustMost = 10s;  // alone for so long after a stall, it trusts itself again
constexpr std::size_t kWitnesses = 2;    // whom it has to hear from until then
constexpr std::size_t kClaimsEach = 32;  // with a probe, an answer or a round of gossip: some 2 KiB
constexpr std::size_t kTellTimes = 4;    // by the logarithm to base ten: SWIM's lambda
constexpr std::size_t kMostErrands = 256;    // probes for others under way; more are not answered
constexpr std::size_t kMostProbes = 64;      // own, under way: one a period and those out of turn
constexpr std::size_t kEntriesASecond = 20;  // whole lists given: 300 that start at once come in turn
constexpr Duration kJoinAgain = 300ms;       // between asks of a member that knows nobody yet
constexpr Duration kJoinMost = 3s;
// Before the first call of a seed that is not here; the pause doubles up to Pace::reconnect_every. Seeds that
// start at once are each joined by others before one has asked the other: the fleet begins in parts.
constexpr Duration kFirstReconnect = 200ms;
constexpr Duration kLossSettles = 1s;  // deaths that follow each other in this time are told of together
constexpr Duration kLossMost = 10s;
constexpr Duration kLossLook = 200ms;  // until those that are suspected too are dead or have refuted
constexpr std::size_t kLossLeast = 3;  // as many, and a tenth of all, went at once
constexpr std::size_t kLossShare = 10;
constexpr std::uint32_t kIndirect = 2;     // one lost message is no broken link
constexpr std::size_t kRecent = 32;        // as many as have links
constexpr std::size_t kLookRound = 3;      // others that are asked when one has died,
constexpr std::size_t kLookRoundMost = 8;  // for the first so many that die together
constexpr Duration kProbedLately = 100ms;  // a link that ended is no reason to probe again within this
constexpr int kRefutation = 2;             // probe periods that a refutation has to reach all
constexpr Duration kLastAsk = 300ms;       // before a suspect is held dead, others are asked about it
constexpr int kSuspicionStretch = 3;       // the longest a suspect has, in its shortest
constexpr std::size_t kTellLeaving = 8;    // told directly

Duration part_of(Duration d, int percent) {
    return d * percent / 100;
}

/// Who is not said to be alive is known to those that hear of it, or is no use to them: most claims are of
/// these, and half as long without its address.
Claim brief(Claim claim) {
    if (claim.state == State::Alive) return claim;
    claim.address.clear();
    claim.zone.clear();
    claim.version.clear();
    return claim;
}

}  // namespace

const char* name_of(Sight sight) {
    constexpr const char* kNames[] = {"alive", "suspect", "stalled", "unreachable", "left", "dead"};
    return kNames[static_cast<std::size_t>(sight)];
}

const char* name_of(Change::What what) {
    constexpr const char* kNames[] = {"joined",   "left",    "died",  "lost-at-once",
                                      "returned", "doubled", "stood", "accused"};
    return kNames[static_cast<std::size_t>(what)];
}

Fleet::Fleet(const Pace& pace, std::vector<std::string> seeds, Self self, std::uint64_t seed)
    : pace_(pace), seeds_(std::move(seeds)), self_(std::move(self)), random_(seed) {}

void Fleet::start(Time now) {
    started_ = true;
    const auto jitter = [this](Duration d) {
        return Duration{static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(d.count())))};
    };
    probe_at_ = now + jitter(pace_.probe_every);
    gossip_at_ = now + jitter(pace_.gossip_every);
    reconnect_pause_ = kFirstReconnect;
    reconnect_at_ = now + kFirstReconnect + jitter(kFirstReconnect);
    compare_at_ = now;
    rumours_.add(own_claim());
    tick(now);
}

Time Fleet::next() const {
    Time when = std::min({probe_at_, gossip_at_, compare_at_, reconnect_at_});
    for (const auto& [seq, probe] : probes_) when = std::min(when, probe.asked ? probe.end_at : probe.ask_at);
    for (const auto& [seq, errand] : errands_) when = std::min(when, errand.until);
    for (const auto& [deadline, id] : suspects_) {
        const bool asked = members_.at(id).asked_about;
        when = std::min(when, asked ? deadline : deadline - kLastAsk);
        if (!asked) break;  // those behind it are later
    }
    if (!lost_.empty()) when = std::min(when, settle_at_);
    return when;
}

void Fleet::tick(Time now) {
    if (!started_) return;
    if (due_ != Time{} && now > due_ + kLate) stood(now, now - due_);
    if (!leaving_ && probe_at_ <= now) {
        probe_next(now);
        probe_at_ = now + stretched(pace_.probe_every);
    } else if (leaving_) {
        probe_at_ = now + pace_.probe_every;
    }
    std::vector<Probe> failed;
    for (auto it = probes_.begin(); it != probes_.end();) {
        Probe& probe = it->second;
        if (!probe.asked && probe.ask_at <= now) ask_helpers(now, it->first, probe);
        if (probe.asked && probe.end_at <= now) {
            failed.push_back(probe);
            it = probes_.erase(it);
        } else {
            ++it;
        }
    }
    for (const Probe& probe : failed) probe_failed(now, probe);
    for (auto it = errands_.begin(); it != errands_.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        Message nack;
        nack.kind = Message::Kind::Nack;
        nack.seq = it->second.seq;
        send(it->second.address, it->second.to, std::move(nack));
        it = errands_.erase(it);
    }
    ask_about_suspects(now);
    while (!suspects_.empty() && suspects_.begin()->first <= now) {
        Member& member = members_.at(suspects_.begin()->second);
        if (distrust_since_) {  // what it missed may be on its way
            suspects_.erase(suspects_.begin());
            member.suspicion->postpone(pace_.probe_every);
            suspects_.emplace(member.suspicion->deadline(), member.claim.id);
            continue;
        }
        Claim dead = member.claim;
        dead.state = State::Dead;
        dead.by = self_.id.name;
        set_state(now, member, dead);
    }
    if (gossip_at_ <= now) {
        gossip(now);
        gossip_at_ = now + pace_.gossip_every;
    }
    if (compare_at_ <= now) compare(now);
    if (reconnect_at_ <= now) {
        reconnect(now);
        reconnect_pause_ = std::min(reconnect_pause_ * 2, pace_.reconnect_every);
        reconnect_at_ = now + reconnect_pause_;
    }
    if (distrust_since_ && now > *distrust_since_ + kDistrustMost) distrust_since_.reset();
    forget(now);
    settle_losses(now);
    due_ = std::max(now, next());
}

/// The last word before a death: some others are told of the suspicion, and whoever has heard a refutation
/// answers with it. With many rumours about, one may come to a member seconds late.
void Fleet::ask_about_suspects(Time now) {
    for (const auto& [deadline, id] : suspects_) {
        if (deadline - kLastAsk > now) return;
        Member& member = members_.at(id);
        if (std::exchange(member.asked_about, true)) continue;
        for (Member* other : some(pace_.gossip_to, &id, true)) {
            Message news;
            news.kind = Message::Kind::News;
            news.claims.push_back(brief(member.claim));
            send(other->claim.address, other->claim.id, std::move(news));
        }
    }
}

/// The process got no processor, or was stopped: what it did not hear in that time says nothing of others.
void Fleet::stood(Time now, Duration late) {
    if (!pace_.own_health) return;
    ++figures_.stalls;
    worse(kStallSteps);
    probes_.clear();
    errands_.clear();
    std::vector<Id> all;
    for (const auto& [deadline, id] : suspects_) all.push_back(id);
    suspects_.clear();
    for (const Id& id : all) {
        Member& member = members_.at(id);
        member.suspicion->postpone(late);
        suspects_.emplace(member.suspicion->deadline(), id);
    }
    distrust_since_ = now;
    heard_since_.clear();
    stalled_ms_ = static_cast<std::uint32_t>(std::min<std::int64_t>(late / 1ms, 3'600'000));
    stalled_until_shown_ = now + kStallShown;
    // The sooner it hears, the sooner it can judge.
    probe_at_ = now;
    if (!leaving_) {
        for (Member* member : some(kWitnesses, nullptr, true)) probe(now, *member);
    }
    due_ = now;
    change(Change::What::Stood, now, {self_.id}, std::to_string(stalled_ms_) + " ms");
}

void Fleet::receive(Time now, const Id& from, const std::string& address, const Message& message) {
    if (!started_ || from == self_.id) return;
    if (due_ != Time{} && now > due_ + kLate) stood(now, now - due_);
    Message corrections;
    for (const Claim& claim : message.claims) {
        // Guards against one that missed a refutation and buries the refuter alone: nobody else minds what is
        // older than what they know, its subject least of all.
        if (claim.state == State::Suspect || claim.state == State::Dead) {
            const auto it = members_.find(claim.id);
            const bool newer = it != members_.end() && it->second.claim.state == State::Alive &&
                               it->second.claim.incarnation > claim.incarnation;
            const bool own = claim.id == self_.id && incarnation_ > claim.incarnation;
            if ((newer || own) && corrections.claims.size() < kClaimsEach)
                corrections.claims.push_back(own ? own_claim() : it->second.claim);
        }
        Claim taken = claim;
        // Guards against two sides of a healed partition burying each other: what one holds dead the other
        // suspects, and the suspect refutes.
        // One that is not here stays so: what was forgotten here may be remembered there.
        if (message.kind == Message::Kind::Entries && taken.state == State::Dead) {
            const auto held = members_.find(taken.id);
            if (held != members_.end() && held->second.place != kNowhere) taken.state = State::Suspect;
        }
        take(now, taken);
    }
    if (!corrections.claims.empty()) send(address, from, std::move(corrections));
    const auto known = members_.find(from);
    const bool stranger = known == members_.end();
    if (!stranger) heard(now, known->second);
    switch (message.kind) {
        case Message::Kind::Ping: {
            Message ack;
            ack.kind = Message::Kind::Ack;
            ack.seq = message.seq;
            ack.stalled_ms = now < stalled_until_shown_ ? stalled_ms_ : 0;
            add_claims(ack, &from);
            send(address, from, std::move(ack));
            break;
        }
        case Message::Kind::Ask: {
            if (errands_.size() >= kMostErrands || message.address.empty()) {
                ++figures_.ignored;
                break;
            }
            const std::uint64_t seq = ++seq_;
            errands_[seq] = {address, from, message.to, message.seq, now + part_of(pace_.probe_patience, 75)};
            Message ping;
            ping.kind = Message::Kind::Ping;
            ping.seq = seq;
            ping.to = message.to;
            add_claims(ping, &message.to);
            send(message.address, message.to, std::move(ping));
            break;
        }
        case Message::Kind::Ack:
            acknowledged(now, from, message);
            break;
        case Message::Kind::Nack:
            if (const auto it = probes_.find(message.seq); it != probes_.end()) ++it->second.nacks;
            break;
        case Message::Kind::News:
        case Message::Kind::Bye:
            break;
        case Message::Kind::Compare:
            if (message.digest == digest() && !stranger) {
                Message agreed;
                agreed.kind = Message::Kind::Entries;
                send(address, from, std::move(agreed));
            } else {
                send_entries(now, address, from, true);
            }
            break;
        case Message::Kind::Entries:
            joined_ = true;
            if (message.want) send_entries(now, address, from, false);
            break;
    }
    // Whoever is not known, or is held to be gone, is told how it stands; it answers by what it is.
    if (message.kind == Message::Kind::Ping || message.kind == Message::Kind::News) {
        const auto now_known = members_.find(from);
        if (now_known == members_.end()) {
            Message ask;
            ask.kind = Message::Kind::Compare;
            ask.digest = digest();
            ask.claims.push_back(own_claim());
            send(address, from, std::move(ask));
        }
    }
    due_ = std::max(now, next());
}

void Fleet::no_link(Time now, const std::string& address, Evidence evidence) {
    if (!started_) return;
    if (due_ != Time{} && now > due_ + kLate) stood(now, now - due_);
    const auto there = by_address_.find(address);
    if (there == by_address_.end()) return;
    for (const Id& id : std::set<Id>(there->second)) {
        Member& member = members_.at(id);
        bool probed = false;
        for (auto& [seq, probe] : probes_) {
            if (probe.target != id) continue;
            probed = true;
            probe.evidence = std::max(probe.evidence, evidence);
            // Nothing comes from there any more; helpers may still reach it.
            if (!probe.asked) ask_helpers(now, seq, probe);
            if (evidence == Evidence::Gone)
                probe.end_at = std::min(probe.end_at, now + stretched(pace_.probe_patience));
        }
        if (!probed && evidence == Evidence::Gone && !leaving_ && now > member.probed + kProbedLately)
            probe(now, member);
    }
    due_ = std::max(now, next());
}

void Fleet::link_ended(Time now, const std::string& address) {
    if (!started_ || leaving_) return;
    if (due_ != Time{} && now > due_ + kLate) stood(now, now - due_);
    const auto there = by_address_.find(address);
    if (there == by_address_.end()) return;
    for (const Id& id : std::set<Id>(there->second)) {
        Member& member = members_.at(id);
        const auto running = std::find_if(probes_.begin(), probes_.end(),
                                          [&](const auto& entry) { return entry.second.target == id; });
        if (running == probes_.end()) {
            if (now > member.probed + kProbedLately) probe(now, member);
            continue;
        }
        // What was on the way went with the link.
        Message ping;
        ping.kind = Message::Kind::Ping;
        ping.seq = running->first;
        ping.to = id;
        send(address, id, std::move(ping));
    }
    due_ = std::max(now, next());
}

/// Guards against a fleet in which each has room for few links and much to ask: a link that gives way to
/// another, or is refused, would be one more silence to ask others about, over more links.
void Fleet::parted(Time now, const Id& id) {
    if (!started_) return;
    if (due_ != Time{} && now > due_ + kLate) stood(now, now - due_);
    const auto asked = std::erase_if(probes_, [&](const auto& entry) { return entry.second.target == id; });
    if (asked > 0) {
        heard_from(now, id);
        answered(now, id, true, 0);
    }
    for (auto it = errands_.begin(); it != errands_.end();) {
        if (it->second.about != id) {
            ++it;
            continue;
        }
        Message ack;
        ack.kind = Message::Kind::Ack;
        ack.seq = it->second.seq;
        ack.to = id;
        send(it->second.address, it->second.to, std::move(ack));
        it = errands_.erase(it);
    }
    due_ = std::max(now, next());
}

void Fleet::unsent(Time now, const Message& message) {
    if (message.kind != Message::Kind::Ping) return;
    probes_.erase(message.seq);
    errands_.erase(message.seq);
    due_ = std::max(now, next());
}

void Fleet::found_at(Time now, const std::string& address, const Id& id) {
    if (!started_) return;
    const auto there = by_address_.find(address);
    if (there == by_address_.end()) return;
    for (const Id& before : std::set<Id>(there->second)) {
        if (before == id) continue;
        Member& member = members_.at(before);
        Claim dead = member.claim;
        dead.state = State::Dead;
        dead.evidence = Evidence::Gone;
        dead.by = self_.id.name;
        set_state(now, member, dead);
    }
}

void Fleet::leave(Time now) {
    if (!started_ || std::exchange(leaving_, true)) return;
    const Claim left = own_claim(State::Left);
    rumours_.add(left);
    for (Member* member : some(kTellLeaving, nullptr)) {
        Message news;
        news.kind = Message::Kind::News;
        news.claims.push_back(left);
        send(member->claim.address, member->claim.id, std::move(news));
    }
    probes_.clear();
    tick(now);
}

std::vector<View> Fleet::members() const {
    std::vector<View> result;
    result.reserve(members_.size() + 1);
    bool self_doubled = false;
    for (const auto& [id, member] : members_) {
        const Claim& claim = member.claim;
        Sight sight = Sight::Alive;
        switch (claim.state) {
            case State::Alive:
                sight = member.indirect >= kIndirect ? Sight::Unreachable : Sight::Alive;
                break;
            case State::Suspect:
                sight = claim.evidence == Evidence::Stalled ? Sight::Stalled : Sight::Suspect;
                break;
            case State::Left:
                sight = Sight::Left;
                break;
            case State::Dead:
                sight = Sight::Dead;
                break;
        }
        self_doubled = self_doubled || (member.doubled && id.name == self_.id.name);
        result.push_back({id, claim.address, claim.zone, claim.version, claim.incarnation, sight,
                          member.since, claim.by, member.doubled, member.stalled_ms});
    }
    View own{self_.id, self_.address, self_.zone,   self_.version, incarnation_, Sight::Alive,
             {},       self_.id.name, self_doubled, stalled_ms_};
    const auto place = std::lower_bound(result.begin(), result.end(), own,
                                        [](const View& a, const View& b) { return a.id < b.id; });
    result.insert(place, own);
    return result;
}

// ---- probing --------------------------------------------------------------------------------------

void Fleet::probe_next(Time now) {
    if (ring_.empty()) return;
    if (at_ >= ring_.size()) {
        // Round-robin over an order of chance: each is probed once in a bounded time (SWIM, section 4.3).
        at_ = 0;
        for (std::size_t i = ring_.size(); i > 1; --i) {
            const std::size_t j = draw(i);
            std::swap(ring_[i - 1], ring_[j]);
            ring_[i - 1]->place = i - 1;
            ring_[j]->place = j;
        }
    }
    probe(now, *ring_[at_++]);
}

void Fleet::probe(Time now, Member& member) {
    if (probes_.size() >= kMostProbes) return;
    ++figures_.probes;
    member.probed = now;
    const std::uint64_t seq = ++seq_;
    Probe& probe = probes_[seq];
    probe.target = member.claim.id;
    probe.ask_at = now + stretched(pace_.probe_patience);
    probe.end_at = now + stretched(pace_.probe_every);
    Message ping;
    ping.kind = Message::Kind::Ping;
    ping.seq = seq;
    ping.to = member.claim.id;
    add_claims(ping, &member.claim.id);
    send(member.claim.address, member.claim.id, std::move(ping));
}

void Fleet::ask_helpers(Time now, std::uint64_t seq, Probe& probe) {
    probe.asked = true;
    probe.ask_at = now;
    const auto target = members_.find(probe.target);
    if (target == members_.end()) return;
    for (Member* helper : helpers(now, probe.target)) {
        Message ask;
        ask.kind = Message::Kind::Ask;
        ask.seq = seq;
        ask.to = probe.target;
        ask.address = target->second.claim.address;
        send(helper->claim.address, helper->claim.id, std::move(ask));
        ++probe.nacks_due;
    }
}

void Fleet::acknowledged(Time now, const Id& from, const Message& message) {
    if (const auto errand = errands_.find(message.seq); errand != errands_.end()) {
        if (errand->second.about == from) {
            Message ack = message;  // passed on, with whom it is about
            ack.seq = errand->second.seq;
            ack.to = from;
            send(errand->second.address, errand->second.to, std::move(ack));
        }
        errands_.erase(errand);
        return;
    }
    const auto it = probes_.find(message.seq);
    if (it == probes_.end()) return;
    const bool direct = it->second.target == from;
    if (!direct && message.to != it->second.target) return;
    const Id target = it->second.target;
    probes_.erase(it);
    if (health_ > 0) --health_;
    heard_from(now, from);
    answered(now, target, direct, message.stalled_ms);
}

void Fleet::answered(Time now, const Id& target, bool direct, std::uint32_t stalled_ms) {
    const auto it = members_.find(target);
    if (it == members_.end()) return;
    Member& member = it->second;
    member.answered = now;
    heard(now, member);
    member.stalled_ms = stalled_ms;
    const bool was_unreachable = member.indirect >= kIndirect;
    member.indirect = direct ? 0 : member.indirect + 1;
    if (member.claim.state == State::Alive && was_unreachable != (member.indirect >= kIndirect))
        member.since = now;
    check_pairs(now, member);
}

void Fleet::heard(Time now, Member& member) {
    const bool lately = member.heard + pace_.probe_every > now && member.heard != Time{};
    member.heard = now;
    if (lately) return;
    std::erase(recent_, member.claim.id);
    recent_.push_back(member.claim.id);
    if (recent_.size() > kRecent) recent_.pop_front();
}

/// Those that were heard lately, as far as there are such: one that can't be reached itself is no help, and
/// its silence would be taken for a fault of this process.
std::vector<Fleet::Member*> Fleet::helpers(Time now, const Id& but) {
    std::vector<Member*> result;
    for (std::size_t i = recent_.size(); i > 1; --i) std::swap(recent_[i - 1], recent_[draw(i)]);
    for (const Id& id : recent_) {
        if (result.size() >= pace_.helpers) return result;
        const auto it = members_.find(id);
        if (id == but || it == members_.end() || it->second.place == kNowhere) continue;
        if (it->second.heard + 2 * pace_.stall >= now) result.push_back(&it->second);
    }
    for (Member* member : some(pace_.helpers, &but, true)) {
        if (result.size() >= pace_.helpers) return result;
        if (std::find(result.begin(), result.end(), member) == result.end()) result.push_back(member);
    }
    return result;
}

/// One that is silent is often not alone: some that were not heard of late are asked out of turn, so that
/// what went at once is told of at once.
void Fleet::look_round(Time now) {
    if (leaving_) return;
    for (Member* member : some(kLookRound, nullptr)) {
        if (member->claim.state == State::Alive && member->heard + pace_.stall < now &&
            member->probed + pace_.probe_every < now)
            probe(now, *member);
    }
}

void Fleet::heard_from(Time, const Id& from) {
    if (!distrust_since_) return;
    heard_since_.insert(from);
    if (heard_since_.size() >= std::min(kWitnesses, std::max<std::size_t>(1, ring_.size())))
        distrust_since_.reset();
}

void Fleet::probe_failed(Time now, const Probe& probe) {
    ++figures_.failed_probes;
    if (distrust_since_) return;
    const auto it = members_.find(probe.target);
    if (it == members_.end() || it->second.place == kNowhere) return;
    // Helpers that say that they heard nothing either are a sign that this process is sound.
    // Nor is it one of anything that someone who was never heard says nothing.
    if (probe.evidence != Evidence::Gone && it->second.heard != Time{})
        worse(probe.nacks_due > 0 ? static_cast<int>(probe.nacks_due - std::min(probe.nacks_due, probe.nacks))
                                  : 1);
    accuse(now, it->second, probe.evidence);
}

void Fleet::accuse(Time now, Member& member, Evidence evidence) {
    ++figures_.accusations;
    Claim claim = member.claim;
    claim.state = State::Suspect;
    claim.evidence = evidence;
    claim.by = self_.id.name;
    take(now, claim);
}

// ---- what is claimed --------------------------------------------------------------------------------

void Fleet::take(Time now, const Claim& claim) {
    if (claim.id == self_.id) return take_of_self(now, claim);
    const auto it = members_.find(claim.id);
    if (it == members_.end()) {
        if (members_.size() >= kMostMembers) {
            ++figures_.ignored;
            return;
        }
        if (claim.address.empty() && (claim.state == State::Alive || claim.state == State::Suspect)) return;
        Member& member = members_[claim.id];
        member.claim = claim;
        member.claim.state = State::Dead;  // it was not here: what follows tells how it is
        member.claim.by.clear();
        member.since = now;
        if (claim.state == State::Dead || claim.state == State::Left) {
            // Kept, so that an old word that it lives does not bring it back.
            member.claim = claim;
            gone_.emplace_back(now, claim.id);
            return;
        }
        set_state(now, member, claim);
        return;
    }
    Member& member = it->second;
    const State had = member.claim.state;
    const std::uint64_t i = claim.incarnation, j = member.claim.incarnation;
    const bool here = had == State::Alive || had == State::Suspect;
    switch (claim.state) {
        case State::Alive:
            if (i > j && had != State::Left) set_state(now, member, claim);
            return;
        case State::Suspect:
            if (had == State::Suspect && i == j) {
                if (!member.suspicion->accused_by(claim.by)) return;
                if (claim.evidence == Evidence::Gone)
                    member.suspicion->bound(pace_.gone, kSuspicionStretch * pace_.gone);
                member.claim.evidence = std::max(member.claim.evidence, claim.evidence);
                std::erase_if(suspects_, [&](const auto& entry) { return entry.second == claim.id; });
                suspects_.emplace(member.suspicion->deadline(), claim.id);
                // An independent word goes on, so that others' patience shortens too, behind what is new.
                rumours_.add(brief(claim), times_told() / 2);
                return;
            }
            if ((here && i >= j) || (had == State::Dead && i > j)) set_state(now, member, claim);
            return;
        case State::Dead: {
            if (!here || i < j) return;
            // Guards against one that hears nobody and buries all the others: each member waits for the
            // least that a refutation takes before it takes a death from another.
            if (had == State::Suspect && i == j && now >= member.suspicion->earliest())
                return set_state(now, member, claim);
            Claim doubt = claim;
            doubt.state = State::Suspect;
            return take(now, doubt);
        }
        case State::Left:
            if (had != State::Left && i >= j) set_state(now, member, claim);
            return;
    }
}

void Fleet::take_of_self(Time now, const Claim& claim) {
    if (leaving_) return;
    if (claim.state == State::Alive) {
        // Its own word of before comes back; only a made-up one is ahead of it.
        if (claim.incarnation > incarnation_) refute(now, claim.incarnation);
        return;
    }
    if (claim.incarnation < incarnation_) return;
    worse(1);
    change(Change::What::Accused, now, {self_.id}, "by " + claim.by + ": " + name_of(claim.evidence));
    refute(now, claim.incarnation);
}

void Fleet::refute(Time now, std::uint64_t above) {
    ++figures_.refutations;
    if (above + 1 >= kMostIncarnation) {
        // No number is left above it. Under a new boot id it is a new member, and the old one has left.
        Claim old = own_claim(State::Left);
        old.incarnation = kMostIncarnation;
        do self_.id.boot = random_();
        while (self_.id.boot == 0);
        incarnation_ = 0;
        take(now, old);
        rumours_.add(old);
    } else {
        incarnation_ = above + 1;
    }
    rumours_.add(own_claim());
}

void Fleet::set_state(Time now, Member& member, const Claim& claim) {
    const State had = member.claim.state;
    const bool was_here = member.place != kNowhere;
    const bool is_here = claim.state == State::Alive || claim.state == State::Suspect;
    const bool known_before = member.claim.state != State::Dead || !member.claim.by.empty();
    if (was_here) digest_ -= hash_of(member.claim);
    if (was_here && !is_here) out_of_ring(member);
    if (member.suspicion) {
        suspects_.erase({member.suspicion->deadline(), claim.id});
        member.suspicion.reset();
    }
    const std::size_t before = ring_.size() + (was_here && !is_here ? 2 : 1);
    const Claim before_it = std::exchange(member.claim, claim);
    if (claim.address.empty()) {  // only who is said to be alive is told of in full
        member.claim.address = before_it.address;
        member.claim.zone = before_it.zone;
        member.claim.version = before_it.version;
        member.claim.heir = before_it.heir;
    }
    if (had != claim.state || !known_before) {
        member.since = now;
        turns_.push_back({claim.id, claim.state});
    }
    if (is_here) {
        digest_ += hash_of(member.claim);
        if (!was_here) into_ring(member);
    }
    rumours_.add(brief(member.claim));
    switch (claim.state) {
        case State::Alive:
            break;
        case State::Suspect: {
            const std::size_t others = ring_.size() > 1 ? ring_.size() - 1 : 0;
            const bool gone = claim.evidence == Evidence::Gone;
            const Duration least = gone ? pace_.gone : pace_.stall + kRefutation * pace_.probe_every;
            member.asked_about = false;
            member.suspicion.emplace(now, least, kSuspicionStretch * least, std::min(kAccusers, others));
            member.suspicion->accused_by(claim.by);
            suspects_.emplace(member.suspicion->deadline(), claim.id);
            break;
        }
        case State::Left:
            gone_.emplace_back(now, claim.id);
            change(Change::What::Left, now, {claim.id});
            break;
        case State::Dead:
            gone_.emplace_back(now, claim.id);
            if (!was_here) break;
            ++figures_.deaths;
            if (lost_.empty()) {
                lost_of_ = before;
                lost_gone_ = 0;
                lost_since_ = now;
            }
            lost_.push_back(claim.id);
            lost_at_ = now;
            settle_at_ = now + kLossSettles;
            lost_gone_ += claim.evidence == Evidence::Gone ? 1 : 0;
            if (lost_.size() <= kLookRoundMost) look_round(now);
            break;
    }
    if (is_here && !was_here) {
        if (!known_before || had == State::Left) {
            change(Change::What::Joined, now, {claim.id}, claim.address);
        } else if (std::erase(lost_, claim.id) == 0) {
            change(Change::What::Returned, now, {claim.id});
        }
        pair_up(now, member);
    }
}

void Fleet::into_ring(Member& member) {
    // At a place of chance in what is left of this round, so that a newcomer is probed within a round.
    member.place = ring_.size();
    ring_.push_back(&member);
    by_address_[member.claim.address].insert(member.claim.id);
    const std::size_t first = std::min(at_, ring_.size() - 1);
    const std::size_t other = first + draw(ring_.size() - first);
    std::swap(ring_[other], ring_[member.place]);
    ring_[member.place]->place = member.place;
    member.place = other;
}

void Fleet::out_of_ring(Member& member) {
    const std::size_t place = member.place;
    ring_[place] = ring_.back();
    ring_[place]->place = place;
    ring_.pop_back();
    member.place = kNowhere;
    member.indirect = 0;
    member.doubled = false;
    const auto there = by_address_.find(member.claim.address);
    there->second.erase(member.claim.id);
    if (there->second.empty()) by_address_.erase(there);
    // Whoever shared its name is alone with it again.
    for (auto it = members_.lower_bound({member.claim.id.name, 0});
         it != members_.end() && it->first.name == member.claim.id.name; ++it)
        it->second.doubled = false;
}

void Fleet::pair_up(Time now, Member& member) {
    const std::string& name = member.claim.id.name;
    std::vector<Member*> same;
    for (auto it = members_.lower_bound({name, 0}); it != members_.end() && it->first.name == name; ++it) {
        if (it->second.place != kNowhere) same.push_back(&it->second);
    }
    if (same.size() + (name == self_.id.name ? 1 : 0) < 2) return;
    // Most often it is a restart whose former self is not yet known to be dead: only two that both answer
    // from here on are a pair.
    for (Member* each : same) {
        each->paired = now;
        if (!leaving_) probe(now, *each);
    }
}

void Fleet::check_pairs(Time now, Member& member) {
    if (member.paired == Time{} || member.doubled || member.claim.heir) return;
    const std::string& name = member.claim.id.name;
    if (name == self_.id.name) {
        if (self_.heir) return;
        member.doubled = true;
        return change(Change::What::Doubled, now, {self_.id, member.claim.id},
                      self_.address + " and " + member.claim.address);
    }
    for (auto it = members_.lower_bound({name, 0}); it != members_.end() && it->first.name == name; ++it) {
        Member& other = it->second;
        if (&other == &member || other.place == kNowhere || other.claim.heir) continue;
        if (other.paired == Time{} || other.answered <= other.paired) continue;
        const bool told = other.doubled;
        member.doubled = other.doubled = true;
        if (!told)
            change(Change::What::Doubled, now, {other.claim.id, member.claim.id},
                   other.claim.address + " and " + member.claim.address);
    }
}

// ---- spreading --------------------------------------------------------------------------------------

void Fleet::gossip(Time) {
    if (rumours_.empty()) return;
    // What is told over links that stand still reaches all: whom a probe comes to is a matter of chance, it
    // carries news too, and its link stays.
    for (Member* member : nearest(pace_.gossip_to)) {
        if (rumours_.empty()) return;
        Message news;
        news.kind = Message::Kind::News;
        add_claims(news, &member->claim.id);
        send(member->claim.address, member->claim.id, std::move(news));
    }
}

void Fleet::compare(Time now) {
    Message ask;
    ask.kind = Message::Kind::Compare;
    ask.digest = digest();
    ask.claims.push_back(own_claim());
    if (joined_ || seeds_.empty()) {
        joined_ = true;
        const auto jitter = Duration{
            static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(pace_.exchange_every.count())))};
        compare_at_ = now + pace_.exchange_every / 2 + jitter;
        for (Member* member : some(1, nullptr)) {
            ++figures_.exchanges;
            send(member->claim.address, member->claim.id, std::move(ask));
        }
        return;
    }
    // It knows nobody who answers: the seeds in turn, and whoever it has heard of.
    const std::size_t turn = join_tries_++;
    const Duration pause = std::min(kJoinAgain * static_cast<int>(1 + turn / (seeds_.size() + 1)), kJoinMost);
    compare_at_ = now + pause / 2 +
                  Duration{static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(pause.count())))};
    if (turn % 2 == 1) {
        if (const auto known = some(1, nullptr); !known.empty())
            return send(known[0]->claim.address, known[0]->claim.id, std::move(ask));
    }
    const std::string& seed = seeds_[(turn + draw(seeds_.size())) % seeds_.size()];
    if (seed == self_.address) {
        // A seed that is the only one here has a fleet of one.
        joined_ = seeds_.size() == 1;
        return;
    }
    send(seed, {}, std::move(ask));
}

void Fleet::send_entries(Time now, const std::string& address, const Id& to, bool want) {
    // Guards against one that asks for list after list, and against all of a fleet that starts.
    while (!entries_sent_.empty() && entries_sent_.front() + 1s <= now) entries_sent_.pop_front();
    if (entries_sent_.size() >= kEntriesASecond) {
        ++figures_.ignored;
        return;
    }
    entries_sent_.push_back(now);
    std::vector<Claim> all{own_claim()};
    for (const auto& [id, member] : members_) {
        if (id != to || member.claim.state != State::Alive) all.push_back(member.claim);
    }
    for (std::size_t at = 0; at < all.size(); at += kMostClaims) {
        Message entries;
        entries.kind = Message::Kind::Entries;
        const std::size_t end = std::min(all.size(), at + kMostClaims);
        entries.want = want && end == all.size();  // with the last piece: one list back, not one a piece
        entries.claims.assign(all.begin() + static_cast<std::ptrdiff_t>(at),
                              all.begin() + static_cast<std::ptrdiff_t>(end));
        send(address, to, std::move(entries));
    }
}

/// Calls one that is held dead, or a seed that is not here: a partition heals by somebody asking.
void Fleet::reconnect(Time) {
    if (leaving_) return;
    std::vector<std::string> where;
    for (std::size_t tries = 0; tries < 4 && !gone_.empty(); ++tries) {
        const auto it = members_.find(gone_[draw(gone_.size())].second);
        if (it != members_.end() && it->second.claim.state == State::Dead) {
            where.push_back(it->second.claim.address);
            break;
        }
    }
    std::vector<std::string> missing_seeds;
    for (const std::string& seed : seeds_) {
        if (seed != self_.address && !by_address_.contains(seed)) missing_seeds.push_back(seed);
    }
    if (!missing_seeds.empty()) where.push_back(missing_seeds[draw(missing_seeds.size())]);
    for (const std::string& address : where) {
        if (by_address_.contains(address) || address == self_.address) continue;
        Message ask;
        ask.kind = Message::Kind::Compare;
        ask.digest = digest();
        ask.claims.push_back(own_claim());
        send(address, {}, std::move(ask));
    }
}

void Fleet::forget(Time now) {
    while (!gone_.empty() && gone_.front().first + pace_.forget_after <= now) {
        const auto it = members_.find(gone_.front().second);
        // It may have returned, and gone again later.
        if (it != members_.end() && it->second.place == kNowhere &&
            it->second.since + pace_.forget_after <= now) {
            rumours_.remove(it->first);
            members_.erase(it);
        }
        gone_.pop_front();
    }
}

void Fleet::settle_losses(Time now) {
    if (lost_.empty() || now < settle_at_) return;
    // Whoever is still suspected of before may belong to them: accusers come at different times.
    const bool more = std::any_of(suspects_.begin(), suspects_.end(), [this](const auto& entry) {
        return members_.at(entry.second).suspicion->since() <= lost_at_ + kLossSettles;
    });
    if ((more || now < lost_at_ + kLossSettles) && now < lost_since_ + kLossMost) {
        settle_at_ = std::max(lost_at_ + kLossSettles, now + kLossLook);
        return;
    }
    const std::vector<Id> lost = std::exchange(lost_, {});
    if (lost.size() >= kLossLeast && lost.size() * kLossShare >= lost_of_) {
        change(Change::What::LostAtOnce, now, lost,
               std::to_string(lost_gone_) + " no longer listen, " +
                   std::to_string(lost.size() - std::min(lost.size(), lost_gone_)) + " are silent",
               lost_of_);
        return;
    }
    for (const Id& id : lost) {
        const auto it = members_.find(id);
        if (it == members_.end()) continue;
        const Claim& claim = it->second.claim;
        change(Change::What::Died, now, {id}, std::string(name_of(claim.evidence)) + ", by " + claim.by);
    }
}

// ---- small things -----------------------------------------------------------------------------------

void Fleet::change(Change::What what, Time now, std::vector<Id> who, std::string detail, std::size_t of) {
    changes_.push_back({what, now, std::move(who), of, std::move(detail)});
}

Claim Fleet::own_claim(State state) const {
    return {self_.id, self_.address, self_.zone, self_.version, incarnation_, state,
            {},       self_.id.name, self_.heir};
}

void Fleet::send(const std::string& address, const Id& to, Message message) {
    sends_.push_back({address, to, std::move(message)});
}

void Fleet::add_claims(Message& message, const Id* to) {
    message.claims = rumours_.take(kClaimsEach, times_told(), to);
    if (!to) return;
    // Lifeguard's buddy system: whoever is not held to be alive hears of it with the next word to it.
    const auto it = members_.find(*to);
    if (it == members_.end() || it->second.claim.state == State::Alive) return;
    for (const Claim& claim : message.claims) {
        if (claim.id == *to) return;
    }
    message.claims.push_back(brief(it->second.claim));
}

std::uint64_t Fleet::digest() const {
    return digest_ + hash_of(own_claim());
}

std::size_t Fleet::times_told() const {
    std::size_t digits = 1;
    for (std::size_t n = ring_.size() + 1; n >= 10; n /= 10) ++digits;
    return kTellTimes * digits;
}

std::vector<Fleet::Member*> Fleet::some(std::size_t count, const Id* but, bool heard) {
    std::vector<Member*> result;
    // A few draws too many rather than a shuffle of all: the fleet may be large.
    for (std::size_t tries = 0; tries < 4 * count && result.size() < std::min(count, ring_.size()); ++tries) {
        Member* member = ring_[draw(ring_.size())];
        if ((but && member->claim.id == *but) || (heard && member->heard == Time{})) continue;
        if (std::find(result.begin(), result.end(), member) == result.end()) result.push_back(member);
    }
    return result;
}

void Fleet::linked(const Id& id, bool stands) {
    if (stands) {
        linked_.insert(id);
    } else {
        linked_.erase(id);
    }
}

std::vector<Fleet::Member*> Fleet::nearest(std::size_t count) {
    std::vector<Member*> result;
    for (const Id& id : linked_) {
        const auto it = members_.find(id);
        if (it != members_.end() && it->second.place != kNowhere) result.push_back(&it->second);
    }
    for (std::size_t i = 0; i < std::min(count, result.size()); ++i)
        std::swap(result[i], result[i + draw(result.size() - i)]);
    if (result.size() > count) result.resize(count);
    if (result.size() == count) return result;
    for (Member* member : some(count, nullptr)) {
        if (result.size() >= count) break;
        if (std::find(result.begin(), result.end(), member) == result.end()) result.push_back(member);
    }
    return result;
}

std::vector<Fleet::Place> Fleet::near(std::size_t count) {
    std::vector<Place> result;
    for (const Member* member : nearest(count)) result.push_back({member->claim.id, member->claim.address});
    return result;
}

void Fleet::worse(int by) {
    if (!pace_.own_health) return;
    health_ = std::clamp(health_ + by, 0, kWorstHealth);
}

/// Alive and suspect are alike here: a suspicion is on its way anyhow.
std::uint64_t Fleet::hash_of(const Claim& claim) {
    const std::uint64_t numbers[] = {claim.id.boot, claim.incarnation};
    return XXH64(numbers, sizeof numbers, XXH64(claim.id.name.data(), claim.id.name.size(), 0));
}

}  // namespace martenford::fleet
