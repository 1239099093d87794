#include "replica/endpoint_overrides.h"

#include <algorithm>

namespace martenford::replica {

std::optional<std::string> Guidance::endpoint_of(const Name& name) {
    if (name.table == "overrides") return name.key;
    if (name.table == "drains") return name.key.substr(0, name.key.rfind('/'));
    return std::nullopt;
}

Guide Guidance::of(const std::string& uid, Wall wall, std::size_t live) {
    Guide guide;
    std::optional<Wall> end;
    const auto note_end = [&](const Version& version) {
        if (version.expires) end = std::min(end.value_or(version.expires), version.expires);
    };
    if (const Version* version = copy_.get({"overrides", uid}, wall)) {
        note_end(*version);
        if (const auto override_ = read_override(version->value)) {
            guide.away = override_->what == Override::What::Exclude;
            if (override_->what == Override::What::Weight) guide.weight = override_->percent / 100.0;
        }
    }
    struct Told {
        std::set<std::string> witnesses;
        std::optional<Drain> least;
    };
    std::map<std::int64_t, Told> lives;  // by their beginning
    for (std::size_t place = 0; place < kPlaces; ++place) {
        const Version* version = copy_.get({"drains", place_of(uid, place)}, wall);
        if (!version) continue;
        const auto drain = read_drain(version->value);
        if (!drain || drain->source != source_) continue;
        note_end(*version);
        Told& told = lives[drain->boot_ms];
        told.witnesses.insert(version->by);
        // The least that they say: one that makes up a high revision would outlast the own discovery's word.
        if (!told.least || drain->revision < told.least->revision) told.least = drain;
    }
    // One alone may be wrong, or lie; where only one other is, there is no second.
    const std::size_t others = std::max<std::size_t>(live, 2) - 1;
    for (const auto& [boot, told] : lives) {
        if (told.witnesses.size() >= std::min(kWitnesses, others)) guide.drains = told.least;
    }
    ends_at(uid, end);
    return guide;
}

void Guidance::ends_at(const std::string& uid, std::optional<Wall> end) {
    if (const auto it = end_of_.find(uid); it != end_of_.end()) {
        ends_.erase({it->second, uid});
        end_of_.erase(it);
    }
    if (!end) return;
    ends_.emplace(*end, uid);
    end_of_.emplace(uid, *end);
}

bool Guidance::convicted(const std::string& uid, Wall wall, std::size_t live) const {
    std::set<std::string> witnesses;
    copy_.each_under({"verdicts", uid + '/'}, [&](const Name& name, const Entry& entry) {
        const Version* version = entry.resolve(wall);
        if (!version || name.key.rfind('/') != uid.size() || version->by == name_) return;
        const auto verdict = read_verdict(version->value);
        if (verdict && verdict->what == Verdict::What::Failing) witnesses.insert(version->by);
    });
    const std::size_t others = std::max<std::size_t>(live, 2) - 1;
    return witnesses.size() >= std::min(kWitnesses, others);
}

Write Guidance::verdict(const std::string& uid, std::uint32_t failed, Wall wall) const {
    Write write;
    write.name = {"verdicts", uid + '/' + name_};
    write.value = {bytes_of(Verdict{Verdict::What::Failing, failed, failed}), 0};
    write.expires = wall + static_cast<Wall>(kVerdictLife / 1ms);
    return write;
}

std::vector<std::string> Guidance::due(Wall wall) {
    std::vector<std::string> result;
    while (!ends_.empty() && ends_.begin()->first <= wall) {
        result.push_back(ends_.begin()->second);
        ends_at(result.back(), std::nullopt);
    }
    return result;
}

Duration Guidance::spread() {
    return Duration{static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(kSpread.count()))};
}

void Guidance::drained(const std::string& uid, const Drain& drain, Time now) {
    Observation& observation = observations_[uid];
    observation = {drain, now + spread()};
    observation.drain.source = source_;
}

std::optional<Time> Guidance::next() const {
    std::optional<Time> when;
    for (const auto& [uid, observation] : observations_)
        when = std::min(when.value_or(Time::max()), observation.look_at);
    return when;
}

Guidance::Standing Guidance::standing(const std::string& uid, const Drain& drain, Wall wall) {
    Standing result;
    const std::size_t first = random_() % kPlaces;
    for (std::size_t i = 0; i < kPlaces; ++i) {
        const std::size_t place = (first + i) % kPlaces;
        const Version* version = copy_.get({"drains", place_of(uid, place)}, wall);
        const auto held = version ? read_drain(version->value) : std::nullopt;
        if (!held || held->source != source_ || held->boot_ms != drain.boot_ms) {
            if (!result.free_place) result.free_place = place;
        } else if (version->by == name_) {
            result.own = true;
        }
    }
    return result;
}

/// A witness looks again after each write: another may have written at the same place concurrently, and then
/// the later entry alone stands.
std::vector<Write> Guidance::writes(Time now, Wall wall) {
    std::vector<Write> result;
    for (auto it = observations_.begin(); it != observations_.end();) {
        auto& [uid, observation] = *it;
        if (observation.look_at > now) {
            ++it;
            continue;
        }
        const Standing stands = standing(uid, observation.drain, wall);
        if (stands.own || !stands.free_place || observation.writes == kMaxWrites) {
            it = observations_.erase(it);
            continue;
        }
        Write write;
        write.name = {"drains", place_of(uid, *stands.free_place)};
        write.value = {bytes_of(observation.drain), 0};
        write.expires = wall + static_cast<Wall>(kHintLife / 1ms);
        result.push_back(std::move(write));
        ++observation.writes;
        observation.look_at = now + kSettleTime + spread();
        ++it;
    }
    return result;
}

}  // namespace martenford::replica
