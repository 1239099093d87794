#include "rolls/rolls.h"

#include <algorithm>

namespace martenford::rolls {

namespace {
constexpr std::size_t kMostText = 256;   // bytes of a name or an address
constexpr std::size_t kMostGone = 1000;  // remembered removals
constexpr Duration kStoodStill = 700ms;  // a registry not ticked for so long was not listening either
}  // namespace

void Registry::touch(Held& held) {
    held.changed = ++seq_;
}

bool Registry::told(Time now, const Place& place) {
    for (const std::string* text : {&place.node, &place.gate, &place.service, &place.zone, &place.instance}) {
        if (text->size() <= kMostText) continue;
        ++refused_;
        return false;
    }
    auto it = held_.find(place.node);
    if (it == held_.end()) {
        if (held_.size() >= options_.most) {
            ++refused_;
            return false;
        }
        it = held_.emplace(place.node, Held{place, now, 0, 0}).first;
        it->second.place.silent = false;
        touch(it->second);
        return true;
    }
    Held& held = it->second;
    if (place.life == held.life_before && place.life != held.place.life)
        return false;  // late word of an earlier life
    const bool same_life = place.life == held.place.life;
    if (same_life && place.seq < held.place.seq) return false;
    held.told = now;
    const bool changed = !same_life || place.seq > held.place.seq || held.place.silent;
    if (!changed) return false;
    if (!same_life) held.life_before = held.place.life;
    held.place = place;
    held.place.silent = false;
    touch(held);
    return true;
}

bool Registry::tick(Time now) {
    // Guards against taking our own standstill for everybody's silence.
    if (last_tick_ != Time{} && now - last_tick_ > kStoodStill) {
        for (auto& [node, held] : held_) held.told = std::max(held.told, now - options_.lease / 2);
    }
    last_tick_ = now;
    const auto before = seq_;
    for (auto it = held_.begin(); it != held_.end();) {
        Held& held = it->second;
        if (now - held.told > options_.forget) {
            gone_[++seq_] = it->first;
            it = held_.erase(it);
            continue;
        }
        if (!held.place.silent && now - held.told > options_.lease) {
            held.place.silent = true;
            touch(held);
        }
        ++it;
    }
    while (gone_.size() > kMostGone) {
        gone_up_to_ = gone_.begin()->first;
        gone_.erase(gone_.begin());
    }
    return seq_ != before;
}

std::size_t Registry::live() const {
    return static_cast<std::size_t>(
        std::count_if(held_.begin(), held_.end(), [](const auto& h) { return !h.second.place.silent; }));
}

News Registry::news(std::uint64_t epoch, std::uint64_t seq) const {
    News news{epoch_, seq_, epoch != epoch_ || seq < gone_up_to_ || seq > seq_, {}, {}};
    for (const auto& [node, held] : held_) {
        if (news.whole || held.changed > seq) news.places.push_back(held.place);
    }
    if (!news.whole) {
        for (auto it = gone_.upper_bound(seq); it != gone_.end(); ++it) {
            if (!held_.contains(it->second)) news.gone.push_back(it->second);
        }
    }
    return news;
}

bool View::settle(Known& known) {
    const bool silent = !known.known_at.empty() && known.silent_at.size() >= known.known_at.size();
    return std::exchange(known.silent, silent) != silent;
}

std::vector<std::string> View::take(Time now, const std::string& guildhall, const News& news) {
    std::vector<std::string> changed;
    std::set<std::string> named;
    for (const Place& place : news.places) {
        if (news.whole) named.insert(place.node);
        const auto [it, fresh] = known_.try_emplace(place.node);
        Known& known = it->second;
        // Late word of a life that is over, from a guildhall that has not heard of the next one yet. Guards
        // against taking back what is out at the one that lives.
        if (!fresh && place.life == known.life_before && place.life != known.place.life) continue;
        known.known_at.insert(guildhall);
        if (place.silent) {
            known.silent_at.insert(guildhall);
        } else {
            known.silent_at.erase(guildhall);
        }
        const bool same_life = place.life == known.place.life;
        // Of two lives the one that somebody hears is the later one.
        const bool newer = fresh || (same_life ? place.seq > known.place.seq : !place.silent || known.silent);
        if (newer) {
            if (!same_life) {
                known.life_before = known.place.life;
                known.known_at = {guildhall};
                known.silent_at.clear();
                if (place.silent) known.silent_at.insert(guildhall);
            }
            known.place = place;
            known.told = now;
        }
        if (settle(known) || newer) changed.push_back(place.node);
    }
    const auto forget = [&](const std::string& node) {
        const auto it = known_.find(node);
        if (it == known_.end() || it->second.known_at.erase(guildhall) == 0) return;
        it->second.silent_at.erase(guildhall);
        if (it->second.known_at.empty()) {
            known_.erase(it);
            changed.push_back(node);
        } else if (settle(it->second)) {
            changed.push_back(node);
        }
    };
    for (const std::string& node : news.gone) forget(node);
    if (news.whole) {
        std::vector<std::string> lacking;
        for (const auto& [node, known] : known_) {
            if (known.known_at.contains(guildhall) && !named.contains(node)) lacking.push_back(node);
        }
        // A guildhall that has just begun knows few: what others told of them stays, and so does what only
        // this one told, until it has had the time to hear of them anew.
        for (const std::string& node : lacking) {
            Known& known = known_.at(node);
            if (known.known_at.size() > 1) forget(node);
        }
    }
    return changed;
}

std::vector<std::string> View::lost(const std::string& guildhall) {
    std::vector<std::string> changed;
    for (auto& [node, known] : known_) {
        // The last to know a place keeps it known: a stall that hears nobody goes on with what it had.
        if (known.known_at.size() > 1 && known.known_at.erase(guildhall) > 0) {
            known.silent_at.erase(guildhall);
            if (settle(known)) changed.push_back(node);
        }
    }
    return changed;
}

}  // namespace martenford::rolls
