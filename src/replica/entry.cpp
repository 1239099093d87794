#include "replica/entry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace martenford::replica {

namespace {

bool has_smaller_writer(const ContextItem& a, std::uint64_t writer) {
    return a.dot.writer < writer;
}

bool has_smaller_dot(const Version& a, const Version& b) {
    return a.dot < b.dot;
}

bool is_later(const Version& a, const Version& b) {
    return std::tie(a.timestamp, a.dot) > std::tie(b.timestamp, b.dot);
}

bool has_seen(const std::vector<ContextItem>& context, const Dot& dot) {
    const auto position = std::lower_bound(context.begin(), context.end(), dot.writer, has_smaller_writer);
    return position != context.end() && position->dot.writer == dot.writer &&
           position->dot.count >= dot.count;
}

void add_to_context(std::vector<ContextItem>& context, const ContextItem& item) {
    const auto position =
        std::lower_bound(context.begin(), context.end(), item.dot.writer, has_smaller_writer);
    if (position == context.end() || position->dot.writer != item.dot.writer) {
        context.insert(position, item);
    } else if (position->dot.count < item.dot.count) {
        *position = item;
    }
}

void limit_context(Entry& entry) {
    while (entry.context.size() > kMaxContextItems) {
        const auto is_in_use = [&](const ContextItem& k) {
            return std::any_of(entry.versions.begin(), entry.versions.end(),
                               [&](const Version& v) { return v.dot.writer == k.dot.writer; });
        };
        // kMostVersions is the less: there is one that backs none.
        auto oldest = entry.context.end();
        for (auto it = entry.context.begin(); it != entry.context.end(); ++it) {
            if (!is_in_use(*it) &&
                (oldest == entry.context.end() ||
                 std::tie(it->timestamp, it->dot.writer) < std::tie(oldest->timestamp, oldest->dot.writer)))
                oldest = it;
        }
        entry.context.erase(oldest);
    }
}

/// Which of those beside each other has the word.
bool takes_precedence(ConflictRule rule, const Version& a, const Version& b) {
    switch (rule) {
        case ConflictRule::Safer:
        case ConflictRule::Greatest:
            return std::tie(a.rank, a.timestamp, a.dot) > std::tie(b.rank, b.timestamp, b.dot);
        case ConflictRule::Present:
            if (a.deleted != b.deleted) return b.deleted;
            break;
        case ConflictRule::Latest:
            break;
    }
    return is_later(a, b);
}

}  // namespace

const char* name_of(ConflictRule rule) {
    constexpr const char* kNames[] = {"latest", "safer", "greatest", "present"};
    return kNames[static_cast<std::size_t>(rule)];
}

bool Entry::has_seen(const Dot& dot) const {
    return replica::has_seen(context, dot);
}

const Version* Entry::find(const Dot& dot) const {
    for (const Version& version : versions) {
        if (version.dot == dot) return &version;
    }
    return nullptr;
}

const Version* Entry::resolve(WallTime wall_time) const {
    const Version* best = nullptr;
    for (const Version& version : versions) {
        if (!version.expired(wall_time) && (!best || takes_precedence(rule, version, *best))) best = &version;
    }
    return best && !best->deleted ? best : nullptr;
}

bool Entry::conflicting(WallTime wall_time) const {
    std::size_t live = 0;
    for (const Version& version : versions) live += version.expired(wall_time) ? 0 : 1;
    return live > 1 && rule != ConflictRule::Greatest;
}

Timestamp Entry::latest_timestamp() const {
    Timestamp result = 0;
    for (const Version& version : versions) result = std::max(result, version.timestamp);
    return result;
}

void Entry::write(Version version) {
    add_to_context(context, {version.dot, version.timestamp});
    versions.assign(1, std::move(version));
    limit_context(*this);
}

bool Entry::purge_before(Timestamp horizon) {
    // A tombstone goes with its entry alone: beside a sibling it still has something to say.
    const bool all_dead = std::all_of(versions.begin(), versions.end(), [&](const Version& version) {
        return version.dead_since() <= horizon;
    });
    if (all_dead) versions.clear();
    std::erase_if(context, [&](const ContextItem& item) {
        return item.timestamp <= horizon &&
               std::none_of(versions.begin(), versions.end(),
                            [&](const Version& v) { return v.dot.writer == item.dot.writer; });
    });
    return all_dead;
}

namespace {

/// What one side knows, without what is so old that the other must have known of it and does not: that was
/// written by one that was away for too long, and what it overwrote stands.
std::vector<ContextItem> trusted_context(const Entry& entry, Timestamp horizon, const Entry& other,
                                         Timestamp other_horizon) {
    std::vector<ContextItem> result;
    for (const ContextItem& item : entry.context) {
        if (item.timestamp > other_horizon || other_horizon <= horizon || other.has_seen(item.dot))
            result.push_back(item);
    }
    return result;
}

/// Whether the other's horizon has the word on this version, and the other does not hold it.
bool purged_by_other(const Version& version, Timestamp horizon, const Entry& other, Timestamp other_horizon) {
    return other_horizon > horizon && version.timestamp <= other_horizon && !other.find(version.dot);
}

bool all_purged_by_other(const Entry& entry, Timestamp horizon, const Entry& other, Timestamp other_horizon) {
    return !entry.versions.empty() &&
           std::all_of(entry.versions.begin(), entry.versions.end(), [&](const Version& version) {
               return purged_by_other(version, horizon, other, other_horizon);
           });
}

/// Of one side's versions those that stand against the other's.
void collect_survivors(const Entry& entry, Timestamp horizon, const Entry& other, Timestamp other_horizon,
                       const std::vector<ContextItem>& other_context, std::vector<Version>& survivors) {
    for (const Version& version : entry.versions) {
        if (purged_by_other(version, horizon, other, other_horizon)) continue;
        if (!other.find(version.dot) && has_seen(other_context, version.dot)) continue;
        if (std::none_of(survivors.begin(), survivors.end(),
                         [&](const Version& v) { return v.dot == version.dot; }))
            survivors.push_back(version);
    }
}

}  // namespace

bool merge(Entry& local, const Entry& remote, const Horizons& horizons) {
    // With all that one side holds goes what it overwrote by it.
    if (all_purged_by_other(remote, horizons.remote, local, horizons.local)) return false;
    if (all_purged_by_other(local, horizons.local, remote, horizons.remote)) {
        local.versions = remote.versions;
        local.context = remote.context;
        return true;
    }
    std::vector<ContextItem> context = trusted_context(local, horizons.local, remote, horizons.remote);
    const std::vector<ContextItem> remote_context =
        trusted_context(remote, horizons.remote, local, horizons.local);
    std::vector<Version> survivors;
    collect_survivors(local, horizons.local, remote, horizons.remote, remote_context, survivors);
    collect_survivors(remote, horizons.remote, local, horizons.local, context, survivors);
    for (const ContextItem& item : remote_context) add_to_context(context, item);
    const auto best_first = [&](const Version& a, const Version& b) {
        return takes_precedence(local.rule, a, b);
    };
    const std::size_t max_versions = local.rule == ConflictRule::Greatest ? 1 : kMaxVersions;
    if (survivors.size() > max_versions) {
        std::sort(survivors.begin(), survivors.end(), best_first);
        survivors.resize(max_versions);
    }
    std::sort(survivors.begin(), survivors.end(), has_smaller_dot);
    Entry result{local.rule, std::move(survivors), std::move(context)};
    limit_context(result);
    if (result == local) return false;
    local = std::move(result);
    return true;
}

}  // namespace martenford::replica
