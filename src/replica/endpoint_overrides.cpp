#include "replica/endpoint_overrides.h"

#include <algorithm>

namespace martenford::replica {

namespace {

/// Lowers `expires` to the version's expiry, if it has one.
void note_expiry(const Version& version, std::optional<WallTime>& expires) {
    if (version.expires) expires = std::min(expires.value_or(version.expires), version.expires);
}

}  // namespace

std::optional<std::string> EndpointOverrides::endpoint_of(const EntryName& name) {
    if (name.table == "overrides") return name.key;
    if (name.table == "drains") return name.key.substr(0, name.key.rfind('/'));
    return std::nullopt;
}

/// One witness alone may be wrong, or lie; where there is only one other sidecar, there is no second.
std::size_t EndpointOverrides::required_witnesses(std::size_t live) {
    const std::size_t others = std::max<std::size_t>(live, 2) - 1;
    return std::min(kMinWitnesses, others);
}

EndpointOverride EndpointOverrides::override_of(const std::string& uid, WallTime wall_time,
                                                std::size_t live) {
    EndpointOverride result;
    std::optional<WallTime> expires;
    if (const Version* version = replica_.get({"overrides", uid}, wall_time)) {
        note_expiry(*version, expires);
        if (const auto by_operator = read_override(version->value)) {
            result.excluded = by_operator->kind == Override::Kind::Exclude;
            if (by_operator->kind == Override::Kind::Weight) result.weight = by_operator->percent / 100.0;
        }
    }
    result.drains = confirmed_drain(uid, wall_time, live, expires);
    set_expiry(uid, expires);
    return result;
}

/// Of the lowest revision that its witnesses tell: one that makes up a high revision would outlast what this
/// sidecar's own discovery says.
std::optional<Drain> EndpointOverrides::confirmed_drain(const std::string& uid, WallTime wall_time,
                                                        std::size_t live,
                                                        std::optional<WallTime>& expires) const {
    std::map<std::int64_t, Witnesses> by_boot_time;
    for (std::size_t slot = 0; slot < kDrainSlots; ++slot) {
        const Version* version = replica_.get({"drains", slot_key(uid, slot)}, wall_time);
        if (!version) continue;
        const auto drain = read_drain(version->value);
        if (!drain || drain->source != source_) continue;
        note_expiry(*version, expires);
        Witnesses& witnesses = by_boot_time[drain->boot_ms];
        witnesses.names.insert(version->written_by);
        if (!witnesses.oldest || drain->revision < witnesses.oldest->revision) witnesses.oldest = drain;
    }
    std::optional<Drain> confirmed;
    for (const auto& [boot_ms, witnesses] : by_boot_time) {
        if (witnesses.names.size() >= required_witnesses(live)) confirmed = witnesses.oldest;
    }
    return confirmed;
}

void EndpointOverrides::set_expiry(const std::string& uid, std::optional<WallTime> expires) {
    if (const auto it = expiry_of_.find(uid); it != expiry_of_.end()) {
        expiries_.erase({it->second, uid});
        expiry_of_.erase(it);
    }
    if (!expires) return;
    expiries_.emplace(*expires, uid);
    expiry_of_.emplace(uid, *expires);
}

bool EndpointOverrides::ejected_by_others(const std::string& uid, WallTime wall_time,
                                          std::size_t live) const {
    std::set<std::string> witnesses;
    replica_.for_each_with_prefix({"verdicts", uid + '/'}, [&](const EntryName& name, const Entry& entry) {
        const Version* version = entry.resolve(wall_time);
        if (!version || name.key.rfind('/') != uid.size() || version->written_by == name_) return;
        const auto verdict = read_verdict(version->value);
        if (verdict && verdict->kind == Verdict::Kind::Failing) witnesses.insert(version->written_by);
    });
    return witnesses.size() >= required_witnesses(live);
}

Write EndpointOverrides::verdict(const std::string& uid, std::uint32_t failed, WallTime wall_time) const {
    Write write;
    write.name = {"verdicts", uid + '/' + name_};
    write.value = {bytes_of(Verdict{Verdict::Kind::Failing, failed, failed}), 0};
    write.expires = wall_time + static_cast<WallTime>(kVerdictTtl / 1ms);
    return write;
}

std::vector<std::string> EndpointOverrides::take_expired(WallTime wall_time) {
    std::vector<std::string> result;
    while (!expiries_.empty() && expiries_.begin()->first <= wall_time) {
        result.push_back(expiries_.begin()->second);
        set_expiry(result.back(), std::nullopt);
    }
    return result;
}

Duration EndpointOverrides::random_write_delay() {
    const auto bound = static_cast<std::uint64_t>(kMaxWriteDelay.count());
    return Duration{static_cast<Duration::rep>(random_() % bound)};
}

void EndpointOverrides::drained(const std::string& uid, const Drain& drain, Time now) {
    Observation& observation = observations_[uid];
    observation = {drain, now + random_write_delay()};
    observation.drain.source = source_;
}

std::optional<Time> EndpointOverrides::next() const {
    std::optional<Time> when;
    for (const auto& [uid, observation] : observations_)
        when = std::min(when.value_or(Time::max()), observation.check_at);
    return when;
}

EndpointOverrides::Slots EndpointOverrides::slots_of(const std::string& uid, const Drain& drain,
                                                     WallTime wall_time) {
    Slots result;
    const std::size_t first = random_() % kDrainSlots;
    for (std::size_t i = 0; i < kDrainSlots; ++i) {
        const std::size_t slot = (first + i) % kDrainSlots;
        const Version* version = replica_.get({"drains", slot_key(uid, slot)}, wall_time);
        const auto held = version ? read_drain(version->value) : std::nullopt;
        const bool is_same = held && held->source == source_ && held->boot_ms == drain.boot_ms;
        if (!is_same && !result.free) result.free = slot;
        if (is_same && version->written_by == name_) result.has_own = true;
    }
    return result;
}

/// A witness checks its slot again after each write: another may have written to the same slot concurrently,
/// and then the later entry alone stands.
std::vector<Write> EndpointOverrides::writes(Time now, WallTime wall_time) {
    std::vector<Write> result;
    for (auto it = observations_.begin(); it != observations_.end();) {
        auto& [uid, observation] = *it;
        if (observation.check_at > now) {
            ++it;
            continue;
        }
        const Slots slots = slots_of(uid, observation.drain, wall_time);
        if (slots.has_own || !slots.free || observation.writes == kMaxWrites) {
            it = observations_.erase(it);
            continue;
        }
        Write write;
        write.name = {"drains", slot_key(uid, *slots.free)};
        write.value = {bytes_of(observation.drain), 0};
        write.expires = wall_time + static_cast<WallTime>(kDrainTtl / 1ms);
        result.push_back(std::move(write));
        ++observation.writes;
        observation.check_at = now + kSettleTime + random_write_delay();
        ++it;
    }
    return result;
}

}  // namespace martenford::replica
