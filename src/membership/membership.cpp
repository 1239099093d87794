#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace martenford {

using decision::Availability;
using decision::DiscoveryUpdate;
using decision::EndpointList;

namespace {
constexpr Duration kRest = 60s;  // longer than any attempt that may still bear the id
/// Others' word takes at most this part of the ready away: all that are wrong together leave half.
constexpr std::size_t kHintedPart = 2;
constexpr std::size_t kMostResting = 200'000;  // a fleet of 10,000 replaced every 3 s
}  // namespace

std::uint32_t uid_hash(const std::string& uid) {
    std::uint32_t value = 2166136261u;
    for (const char c : uid) value = (value ^ static_cast<unsigned char>(c)) * 16777619u;
    return value;
}

bool IdSet::insert(std::uint32_t id) {
    auto& among = ids_[id >> 24];
    const auto at = std::lower_bound(among.begin(), among.end(), id);
    if (at != among.end() && *at == id) return false;
    among.insert(at, id);
    return true;
}

void IdSet::erase(std::uint32_t id) {
    auto& among = ids_[id >> 24];
    const auto at = std::lower_bound(among.begin(), among.end(), id);
    if (at != among.end() && *at == id) among.erase(at);
}

std::optional<EndpointId> Membership::id_of(const std::string& uid) const {
    const auto it = known_.find(uid);
    return it == known_.end() ? std::nullopt : std::optional(it->second.id);
}

std::optional<std::string> Membership::uid_of(EndpointId id) const {
    for (const auto& [uid, known] : known_) {
        if (known.id == id) return uid;
    }
    return std::nullopt;
}

/// By the uid alone, as far as two don't meet. Of two uids with one hash the one that came second hashes on,
/// with the number of the try behind its name: which of them came first may differ between sidecars, and then
/// those two stand elsewhere in their rings; nothing else does.
EndpointId Membership::new_id(const std::string& uid) {
    if (const auto rested = rested_.find(uid); rested != rested_.end()) {
        const EndpointId id = rested->second.id;
        rested_.erase(rested);
        return id;  // still taken
    }
    std::uint32_t id = uid_hash(uid);
    for (int again = 1; !taken_.insert(id); ++again) {
        if (again == 1) ++figures_.twins;
        id = uid_hash(uid + '#' + std::to_string(again));
    }
    return EndpointId{id};
}

void Membership::free_rested(Time now) {
    while (!resting_.empty() && (resting_.front().first <= now || resting_.size() > kMostResting)) {
        const auto [until, uid] = std::move(resting_.front());
        resting_.pop_front();
        const auto it = rested_.find(uid);
        // It may have come back, and gone again with a later end.
        if (it == rested_.end() || it->second.until != until) continue;
        if (until > now) ++figures_.rests_dropped;
        taken_.erase(static_cast<std::uint32_t>(it->second.id));
        rested_.erase(it);
    }
}

void Membership::enter(const Target& target, Time now, Time epoch, EndpointList& news, Update& update) {
    if (target.endpoint.availability == Availability::Gone) return remove(target.uid, now, news, update);
    auto it = known_.find(target.uid);
    const bool fresh = it == known_.end();
    if (fresh) {
        it = known_.emplace(target.uid, Known{}).first;
        it->second.id = new_id(target.uid);
    }
    Known& known = it->second;
    const auto started = known.endpoint.started;
    const bool was_ready = !fresh && known.endpoint.availability == Availability::Ready;
    if (was_ready) --ready_;
    known.endpoint = target.endpoint;
    known.endpoint.id = known.id;
    // Converted once a start, so that the module does not take a second reading of the clocks for a new
    // start.
    if (fresh || known.boot_ms != target.boot_ms) {
        known.boot_ms = target.boot_ms;
        if (target.boot_ms) known.endpoint.started = epoch + std::chrono::milliseconds(target.boot_ms);
    } else {
        known.endpoint.started = started;
    }
    known.address = target.address;
    if (target.endpoint.availability == Availability::Ready) {
        ++ready_;
    } else if (was_ready) {
        update.drained.push_back({target.uid, known.boot_ms});
    }
    if (doubted_.erase(target.uid) > 0) ++figures_.spared;
    place(it->first, known, news, update);
}

/// `uid` is a key of known_: it stays until the next list.
void Membership::place(const std::string& uid, const Known& known, EndpointList& news, Update& update) {
    const decision::Endpoint endpoint = effective(uid, known);
    news.push_back(endpoint);
    update.placed.push_back({known.id, known.address, endpoint.availability == Availability::Ready, &uid});
}

bool Membership::hint_counts(const Known& known, const EndpointOverride& endpoint_override) const {
    return endpoint_override.drains && known.boot_ms == endpoint_override.drains->boot_ms &&
           known.endpoint.availability == Availability::Ready && revision_ &&
           endpoint_override.drains->revision > *revision_;
}

decision::Endpoint Membership::effective(const std::string& uid, const Known& known) {
    decision::Endpoint endpoint = known.endpoint;
    if (endpoint_overrides_.empty()) return endpoint;
    const auto it = endpoint_overrides_.find(uid);
    const bool hint = it != endpoint_overrides_.end() && hint_counts(known, it->second);
    if (!hint) {
        hinted_.erase(uid);
    } else if (!hinted_.contains(uid) && (hinted_.size() + 1) * kHintedPart <= ready_) {
        hinted_.insert(uid);
        ++figures_.hinted;
    }
    if (it == endpoint_overrides_.end() || endpoint.availability != Availability::Ready) return endpoint;
    if (it->second.away || it->second.weight <= 0.0 || hinted_.contains(uid)) {
        endpoint.availability = Availability::Draining;
    } else {
        endpoint.weight *= it->second.weight;
    }
    return endpoint;
}

Membership::Update Membership::set_endpoint_override(const std::string& uid,
                                                     const EndpointOverride& endpoint_override) {
    Update update;
    update.news.kind = DiscoveryUpdate::Kind::Failed;
    const auto known = known_.find(uid);
    std::optional<decision::Endpoint> before;
    if (known != known_.end()) before = effective(uid, known->second);
    if (endpoint_override == EndpointOverride{}) {
        endpoint_overrides_.erase(uid);
        hinted_.erase(uid);
    } else {
        endpoint_overrides_[uid] = endpoint_override;
    }
    if (!before) return update;
    const decision::Endpoint after = effective(uid, known->second);
    if (after.availability == before->availability && after.weight == before->weight) return update;
    auto news = std::make_shared<EndpointList>();
    place(known->first, known->second, *news, update);
    update.news.kind = DiscoveryUpdate::Kind::Delta;
    update.news.endpoints = std::move(news);
    return update;
}

void Membership::remove(const std::string& uid, Time now, EndpointList& news, Update& update) {
    doubted_.erase(uid);
    const auto it = known_.find(uid);
    if (it == known_.end()) return;
    if (it->second.endpoint.availability == Availability::Ready) {
        --ready_;
        update.drained.push_back({uid, it->second.boot_ms});
    }
    hinted_.erase(uid);
    decision::Endpoint gone = it->second.endpoint;
    gone.availability = Availability::Gone;
    gone.started.reset();
    news.push_back(gone);
    update.removed.push_back(gone.id);
    rested_.insert_or_assign(uid, Rest{gone.id, now + kRest});
    resting_.emplace_back(now + kRest, uid);
    known_.erase(it);
}

bool Membership::doubts(std::size_t going) const {
    if (options_.caution <= Duration{} || options_.caution_share >= 1.0) return false;
    const std::size_t all = going + doubted_.size();
    return all >= options_.caution_least &&
           static_cast<double>(all) > options_.caution_share * static_cast<double>(ready_);
}

Membership::Update Membership::take(const TargetList& list, bool cached, Time now, Time epoch) {
    Update update;
    update.news.kind = DiscoveryUpdate::Kind::Failed;
    free_rested(now);
    const bool whole = list.all || cached;
    if (!whole && !revision_) {
        update.ask_whole = true;
        update.remark = "changes came where no list is held";
        return update;
    }
    // An answer that was overtaken, or a discovery that counts anew: what it says is not newer than what is
    // held.
    if (!whole && list.revision < *revision_) {
        ++figures_.regressions;
        update.ask_whole = true;
        update.remark = "changes of revision " + std::to_string(list.revision) + " came after " +
                        std::to_string(*revision_) + "; the whole list is asked for";
        revision_.reset();
        return update;
    }

    std::vector<std::string> going;  // in rising order: what follows must not go by a hash table's
    if (whole) {
        std::unordered_set<std::string_view> named;
        named.reserve(list.targets.size() + list.unreadable.size());
        for (const Target& target : list.targets) {
            if (target.endpoint.availability != Availability::Gone) named.insert(target.uid);
        }
        // An entry that can't be read leaves the endpoint as it was.
        for (const std::string& uid : list.unreadable) named.insert(uid);
        for (const auto& [uid, known] : known_) {
            if (!named.contains(uid)) going.push_back(uid);
        }
    } else {
        for (const Target& target : list.targets) {
            if (target.endpoint.availability == Availability::Gone && known_.contains(target.uid)) {
                going.push_back(target.uid);
            }
        }
    }
    std::sort(going.begin(), going.end());
    going.erase(std::unique(going.begin(), going.end()), going.end());

    // A second whole list that says the same settles it; changes can only add to the doubt.
    bool doubt = false;
    if (!(whole && doubted_until_)) {
        const auto serving =
            static_cast<std::size_t>(std::count_if(going.begin(), going.end(), [&](const std::string& uid) {
                return !doubted_.contains(uid) && known_.at(uid).endpoint.availability == Availability::Ready;
            }));
        doubt = serving > 0 && doubts(serving);
    }
    if (doubt) {
        ++figures_.cautions;
        update.ask_whole = true;
        update.remark = "a list takes away " + std::to_string(going.size()) + " of " +
                        std::to_string(ready_) + " endpoints; it is doubted for " +
                        std::to_string(options_.caution / 1ms) + " ms";
        doubted_.insert(going.begin(), going.end());
        // Never later than the first removal's: no endpoint is used for longer than was promised.
        doubted_until_ = std::min(doubted_until_.value_or(Time::max()), now + options_.caution);
    }

    revision_ = list.revision;
    const std::vector<std::string> were_hinted(hinted_.begin(), hinted_.end());
    auto news = std::make_shared<EndpointList>();
    news->reserve(list.targets.size());
    const bool settles = whole && !doubt;
    if (whole) {
        for (const std::string& uid : going) {
            if (!doubt) remove(uid, now, *news, update);
        }
        // A whole list replaces the module's: those that are doubted, or could not be read, are to be in it.
        std::vector<std::string> kept(list.unreadable);
        if (doubt) kept.insert(kept.end(), going.begin(), going.end());
        for (const std::string& uid : kept) {
            if (const auto it = known_.find(uid); it != known_.end())
                news->push_back(effective(it->first, it->second));
        }
    }
    for (const Target& target : list.targets) {
        if (target.endpoint.availability == Availability::Gone && doubt) continue;
        enter(target, now, epoch, *news, update);
    }
    if (settles || doubted_.empty()) {
        doubted_.clear();
        doubted_until_.reset();
    }
    // Discovery has told what is as new as the others' word: it goes by itself again.
    for (const std::string& uid : were_hinted) {
        const auto it = known_.find(uid);
        if (it == known_.end() || !hinted_.contains(uid) ||
            hint_counts(it->second, endpoint_overrides_.at(uid)))
            continue;
        place(it->first, it->second, *news, update);
    }
    update.news.kind = cached     ? DiscoveryUpdate::Kind::Cached
                       : list.all ? DiscoveryUpdate::Kind::Full
                                  : DiscoveryUpdate::Kind::Delta;
    update.news.endpoints = std::move(news);
    return update;
}

Membership::Update Membership::believe(Time now) {
    Update update;
    update.news.kind = DiscoveryUpdate::Kind::Failed;
    if (!doubted_until_ || now < *doubted_until_) return update;
    doubted_until_.reset();
    const auto doubted = std::exchange(doubted_, {});
    std::vector<std::string> going(doubted.begin(), doubted.end());
    std::sort(going.begin(), going.end());
    auto news = std::make_shared<EndpointList>();
    for (const std::string& uid : going) remove(uid, now, *news, update);
    update.remark = std::to_string(going.size()) + " endpoints that were doubted are gone";
    update.news.kind = DiscoveryUpdate::Kind::Delta;
    update.news.endpoints = std::move(news);
    return update;
}

}  // namespace martenford
