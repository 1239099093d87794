#include "emulator/model/registry.h"

#include <algorithm>
#include <utility>

namespace martenford::emulator {

namespace {
/// Changes older than this many revisions are forgotten: who knows less gets the whole list.
constexpr std::uint64_t kRemembered = 10'000;
}  // namespace

void Registry::change(const Listing& listing) {
    ++revision_;
    Entry& entry = entries_[listing.uid];
    const auto [first, last] = changes_.equal_range(entry.revision);
    const auto old = std::find_if(first, last, [&](const auto& c) { return c.second == listing.uid; });
    if (old != last) changes_.erase(old);
    entry = {listing, revision_};
    changes_.emplace(revision_, listing.uid);
    while (!changes_.empty() && changes_.begin()->first + kRemembered < revision_) {
        const auto it = entries_.find(changes_.begin()->second);
        if (it->second.listing.state == decision::Availability::Gone) entries_.erase(it);
        changes_.erase(changes_.begin());
    }
    serve();
}

void Registry::silence(bool silent) {
    silent_ = silent;
    if (!silent) return serve();
    if (!asked_) return;
    for (auto& [id, watch] : std::exchange(watches_, {})) {
        if (watch.timer) scheduler_.remove(*watch.timer);
        watch.done(nullptr);
    }
}

ListAnswer Registry::all() const {
    ListAnswer answer{revision_, true, {}};
    for (const auto& [uid, entry] : entries_) {
        if (entry.listing.state != decision::Availability::Gone) answer.entries.push_back(entry.listing);
    }
    return answer;
}

ListAnswer Registry::since(std::uint64_t revision) const {
    if (revision > revision_ || revision + kRemembered < revision_) return all();
    ListAnswer answer{revision_, false, {}};
    for (auto it = changes_.upper_bound(revision); it != changes_.end(); ++it) {
        answer.entries.push_back(entries_.at(it->second).listing);
    }
    return answer;
}

Registry::WatchId Registry::ask(std::optional<std::uint64_t> since, Duration wait, Done done) {
    const WatchId id = ++last_watch_;
    if (silent_ && asked_) {
        done(nullptr);
        return id;
    }
    watches_.emplace(id, Watch{since, std::move(done), std::nullopt});
    const bool newer = !since || *since != revision_;
    if (newer && !silent_) {
        answer(id);
    } else if (since) {
        const auto key = scheduler_.add(scheduler_.now() + wait, [this, id] { answer(id); });
        watches_.at(id).timer = key;
    }
    return id;
}

void Registry::answer(WatchId id) {
    const auto it = watches_.find(id);
    if (it == watches_.end()) return;
    Watch watch = std::move(it->second);
    watches_.erase(it);
    if (watch.timer) scheduler_.remove(*watch.timer);
    const ListAnswer list = watch.since ? since(*watch.since) : all();
    watch.done(&list);
}

void Registry::serve() {
    if (silent_) return;
    // Whoever asks again while its answer is given asks with the newest revision, and waits.
    std::vector<WatchId> due;
    for (const auto& [id, watch] : watches_) {
        if (!watch.since || *watch.since != revision_) due.push_back(id);
    }
    for (const WatchId id : due) answer(id);
}

void Registry::drop(WatchId id) {
    const auto it = watches_.find(id);
    if (it == watches_.end()) return;
    if (it->second.timer) scheduler_.remove(*it->second.timer);
    watches_.erase(it);
}

}  // namespace martenford::emulator
