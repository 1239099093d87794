#include "replica/endpoint_overrides.h"

#include <algorithm>

namespace martenford::replica {

namespace {

/// Lowers `expires` to the version's expiry, if it has one.
void note_expiry(const Version& version, std::optional<Wall>& expires) {
    if (version.expires) expires = std::min(expires.value_or(version.expires), version.expires);
}

}  // namespace

std::optional<std::string> EndpointOverrides::endpoint_of(const Name& name) {
    if (name.table == "overrides") return name.key;
    if (name.table == "drains") return name.key.substr(0, name.key.rfind('/'));
    return std::nullopt;
}

/// One witness alone may be wrong, or lie; where there is only one other sidecar, there is no second.
std::size_t EndpointOverrides::required_witnesses(std::size_t live) {
    const std::size_t others = std::max<std::size_t>(live, 2) - 1;
    return std::min(kMinWitnesses, others);
}

EndpointOverride EndpointOverrides::of(const std::string& uid, Wall wall, std::size_t live) {
    EndpointOverride result;
    std::optional<Wall> expires;
    if (const Version* version = copy_.get({"overrides", uid}, wall)) {
        note_expiry(*version, expires);
        if (const auto by_operator = read_override(version->value)) {
            result.away = by_operator->what == Override::What::Exclude;
            if (by_operator->what == Override::What::Weight) result.weight = by_operator->percent / 100.0;
        }
    }
    result.drains = confirmed_drain(uid, wall, live, expires);
    set_expiry(uid, expires);
    return result;
}

/// Of the lowest revision that its witnesses tell: one that makes up a high revision would outlast what this
/// sidecar's own discovery says.
std::optional<Drain> EndpointOverrides::confirmed_drain(const std::string& uid, Wall wall, std::size_t live,
                                                        std::optional<Wall>& expires) const {
    std::map<std::int64_t, Witnesses> by_boot_time;
    for (std::size_t slot = 0; slot < kDrainSlots; ++slot) {
        const Version* version = copy_.get({"drains", slot_key(uid, slot)}, wall);
        if (!version) continue;
        const auto drain = read_drain(version->value);
        if (!drain || drain->source != source_) continue;
        note_expiry(*version, expires);
        Witnesses& witnesses = by_boot_time[drain->boot_ms];
        witnesses.names.insert(version->by);
        if (!witnesses.oldest || drain->revision < witnesses.oldest->revision) witnesses.oldest = drain;
    }
    std::optional<Drain> confirmed;
    for (const auto& [boot_ms, witnesses] : by_boot_time) {
        if (witnesses.names.size() >= required_witnesses(live)) confirmed = witnesses.oldest;
    }
    return confirmed;
}

void EndpointOverrides::set_expiry(const std::string& uid, std::optional<Wall> expires) {
    if (const auto it = expiry_of_.find(uid); it != expiry_of_.end()) {
        expiries_.erase({it->second, uid});
        expiry_of_.erase(it);
    }
    if (!expires) return;
    expiries_.emplace(*expires, uid);
    expiry_of_.emplace(uid, *expires);
}

bool EndpointOverrides::ejected_by_others(const std::string& uid, Wall wall, std::size_t live) const {
    std::set<std::string> witnesses;
    copy_.each_under({"verdicts", uid + '/'}, [&](const Name& name, const Entry& entry) {
        const Version* version = entry.resolve(wall);
        if (!version || name.key.rfind('/') != uid.size() || version->by == name_) return;
        const auto verdict = read_verdict(version->value);
        if (verdict && verdict->what == Verdict::What::Failing) witnesses.insert(version->by);
    });
    return witnesses.size() >= required_witnesses(live);
}

Write EndpointOverrides::verdict(const std::string& uid, std::uint32_t failed, Wall wall) const {
    Write write;
    write.name = {"verdicts", uid + '/' + name_};
    write.value = {bytes_of(Verdict{Verdict::What::Failing, failed, failed}), 0};
    write.expires = wall + static_cast<Wall>(kVerdictTtl / 1ms);
    return write;
}

std::vector<std::string> EndpointOverrides::take_expired(Wall wall) {
    std::vector<std::string> result;
    while (!expiries_.empty() && expiries_.begin()->first <= wall) {
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

EndpointOverrides::Slots EndpointOverrides::slots_of(const std::string& uid, const Drain& drain, Wall wall) {
    Slots result;
    const std::size_t first = random_() % kDrainSlots;
    for (std::size_t i = 0; i < kDrainSlots; ++i) {
        const std::size_t slot = (first + i) % kDrainSlots;
        const Version* version = copy_.get({"drains", slot_key(uid, slot)}, wall);
        const auto held = version ? read_drain(version->value) : std::nullopt;
        const bool is_same = held && held->source == source_ && held->boot_ms == drain.boot_ms;
        if (!is_same && !result.free) result.free = slot;
        if (is_same && version->by == name_) result.has_own = true;
    }
    return result;
}

/// A witness checks its slot again after each write: another may have written to the same slot concurrently,
/// and then the later entry alone stands.
std::vector<Write> EndpointOverrides::writes(Time now, Wall wall) {
    std::vector<Write> result;
    for (auto it = observations_.begin(); it != observations_.end();) {
        auto& [uid, observation] = *it;
        if (observation.check_at > now) {
            ++it;
            continue;
        }
        const Slots slots = slots_of(uid, observation.drain, wall);
        if (slots.has_own || !slots.free || observation.writes == kMaxWrites) {
            it = observations_.erase(it);
            continue;
        }
        Write write;
        write.name = {"drains", slot_key(uid, *slots.free)};
        write.value = {bytes_of(observation.drain), 0};
        write.expires = wall + static_cast<Wall>(kDrainTtl / 1ms);
        result.push_back(std::move(write));
        ++observation.writes;
        observation.check_at = now + kSettleTime + random_write_delay();
        ++it;
    }
    return result;
}

}  // namespace martenford::replica
