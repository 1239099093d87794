// Every order of writes, deliveries, losses, repeats, crashes and restored disks for three copies of one key.
// What was ever sent may arrive at any time, any number of times or never: that is each copy's own past. A
// crash takes a copy back to any state that it had, under a new writer.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "replica/message.h"

namespace martenford::replica {

/// What is explored; a test puts a defect in place of one of these.
struct Mechanism {
    std::function<bool(Entry&, const Entry&, const Horizons&)> merge =
        [](Entry& a, const Entry& b, const Horizons& h) { return replica::merge(a, b, h); };
    std::function<void(Entry&, Version)> write = [](Entry& entry, Version v) { entry.write(std::move(v)); };
    bool new_writer = true;       ///< after a crash
    bool keep_tombstones = true;  ///< until the horizon
    bool needs_majority = true;   ///< for the horizon to advance
};

class Explorer {
  public:
    struct Bounds {
        std::size_t writes = 2, deletes = 1, crashes = 1, horizons = 0, deliveries = 5;
    };
    Explorer(ConflictRule rule, Mechanism mechanism, const Bounds& bounds)
        : rule_(rule), mechanism_(std::move(mechanism)), bounds_(bounds) {}

    /// The first violation; empty: there is none.
    std::string run() {
        World world;
        for (std::size_t i = 0; i < kCopies; ++i) {
            world.copies[i].entry.rule = rule_;
            world.copies[i].writer = i + 1;
        }
        world.writers = kCopies;
        visit(world);
        return violation_;
    }
    std::size_t states() const { return seen_.size(); }

  private:
    static constexpr std::size_t kCopies = 3;
    struct State {
        Entry entry;
        Timestamp horizon = 0;
        bool operator==(const State&) const = default;
    };
    struct Copy : State {
        std::uint64_t writer = 0, count = 0;
        std::vector<std::pair<State, std::uint64_t>> history;  ///< with its count then
    };
    struct World {
        Copy copies[kCopies];
        std::uint64_t writers = 0;
        Timestamp clock = 0;
        std::size_t writes = 0, deletes = 0, crashes = 0, horizons = 0, deliveries = 0;
        std::set<std::pair<Dot, Dot>> overwrites;  ///< the first knew of the second and wrote over it
        std::map<Dot, Timestamp> written;
        std::set<Dot> purged;  ///< tombstones
    };

    static std::string key_of(const World& world) {
        std::string text;
        const auto add = [&text](std::uint64_t n) { text += std::to_string(n) + ","; };
        const auto add_state = [&](const State& state) {
            for (const Version& v : state.entry.versions)
                add(v.dot.writer), add(v.dot.count), add(v.timestamp);
            text += "|";
            for (const ContextItem& k : state.entry.context) add(k.dot.writer), add(k.dot.count);
            text += "h", add(state.horizon);
        };
        for (const Copy& copy : world.copies) {
            add_state(copy);
            add(copy.writer), add(copy.count);
            std::set<std::string> states;  // their order is nothing that anyone can see
            for (const auto& [state, count] : copy.history) {
                const std::string before = std::exchange(text, {});
                add_state(state);
                states.insert(std::exchange(text, before));
            }
            for (const std::string& each : states) text += each;
            text += ";";
        }
        add(world.writes), add(world.deletes), add(world.crashes), add(world.horizons), add(world.deliveries);
        return text;
    }

    void visit(const World& world) {
        if (!violation_.empty() || !seen_.insert(std::hash<std::string>{}(key_of(world))).second) return;
        if (const std::string bad = check(world); !bad.empty()) {
            violation_ = bad + " after " + trace_;
            return;
        }
        const auto step = [&](const std::string& name, const std::function<void(World&)>& what) {
            World next = world;
            what(next);
            const std::size_t length = trace_.size();
            trace_ += name + " ";
            visit(next);
            trace_.resize(length);
        };
        for (std::size_t i = 0; i < kCopies; ++i) {
            const std::string who = std::to_string(i);
            if (world.writes < bounds_.writes)
                step("write" + who, [&](World& w) { ++w.writes, write(w, i, false); });
            if (world.deletes < bounds_.deletes && !world.copies[i].entry.versions.empty())
                step("delete" + who, [&](World& w) { ++w.deletes, write(w, i, true); });
            if (world.horizons < bounds_.horizons)
                step("horizon" + who, [&](World& w) { ++w.horizons, advance(w, i); });
            if (world.crashes < bounds_.crashes) {
                for (std::size_t p = 0; p < world.copies[i].history.size(); ++p)
                    step("crash" + who + "to" + std::to_string(p),
                         [&](World& w) { ++w.crashes, crash(w, i, p); });
            }
            if (world.deliveries >= bounds_.deliveries) continue;
            for (std::size_t from = 0; from < kCopies; ++from) {
                for (std::size_t p = 0; from != i && p < world.copies[from].history.size(); ++p)
                    step("take" + who + "from" + std::to_string(from) + "." + std::to_string(p),
                         [&](World& w) {
                             ++w.deliveries;
                             const State remote = w.copies[from].history[p].first;
                             deliver(w.copies[i], remote);
                         });
            }
        }
    }
    static void add_to_history(Copy& copy) {
        const std::pair<State, std::uint64_t> now{copy, copy.count};
        if (std::find(copy.history.begin(), copy.history.end(), now) == copy.history.end())
            copy.history.push_back(now);
    }
    void deliver(Copy& copy, const State& remote) {
        if (remote.entry.versions.empty()) return;
        mechanism_.merge(copy.entry, remote.entry, {copy.horizon, remote.horizon});
        add_to_history(copy);
    }
    void write(World& world, std::size_t i, bool deleted) {
        Copy& copy = world.copies[i];
        Version version;
        version.dot = {copy.writer, ++copy.count};
        version.timestamp = ++world.clock;
        version.rank = world.clock % 2;
        version.deleted = deleted;
        if (const auto it = world.written.find(version.dot); it != world.written.end())
            violation_ = "a dot was given twice after " + trace_;
        world.written[version.dot] = version.timestamp;
        if (rule_ == ConflictRule::Greatest && !copy.entry.versions.empty() &&
            copy.entry.versions[0].rank >= version.rank)
            return;
        for (const Version& before : copy.entry.versions) world.overwrites.emplace(version.dot, before.dot);
        mechanism_.write(copy.entry, version);
        if (deleted && !mechanism_.keep_tombstones) copy.entry = Entry{rule_, {}, {}};
        add_to_history(copy);
    }
    /// A tombstone's life is over for those that agree now, if they are enough.
    void advance(World& world, std::size_t i) {
        std::size_t agree = 0;
        for (const Copy& copy : world.copies) agree += copy.entry == world.copies[i].entry ? 1 : 0;
        if (mechanism_.needs_majority && 2 * agree <= kCopies) return;
        const Entry same = world.copies[i].entry;
        for (Copy& copy : world.copies) {
            if (copy.entry != same) continue;
            copy.horizon = std::max(copy.horizon, world.clock);
            for (const Version& v : copy.entry.versions) {
                if (v.deleted && v.timestamp <= copy.horizon) world.purged.insert(v.dot);
            }
            copy.entry.purge_before(copy.horizon);
            add_to_history(copy);
        }
    }
    void crash(World& world, std::size_t i, std::size_t index) {
        Copy& copy = world.copies[i];
        const auto [state, count] = copy.history[index];
        static_cast<State&>(copy) = state;
        copy.count = count;
        if (mechanism_.new_writer) {
            copy.writer = ++world.writers;
            copy.count = 0;
        }
        add_to_history(copy);
    }
    /// All speak with all until nothing changes: are they alike, and rightly so?
    std::string check(World world) {
        const World before = world;
        for (int round = 0; round < 4; ++round) {
            for (std::size_t i = 0; i < kCopies; ++i) {
                for (std::size_t j = 0; j < kCopies; ++j) {
                    if (i == j) continue;
                    const State local = world.copies[i];
                    const State remote = world.copies[j];
                    deliver(world.copies[i], remote);
                    // A key that is not there at all is told of by the heads of its range.
                    if (remote.entry.versions.empty() && local.entry.latest_timestamp() <= remote.horizon &&
                        remote.horizon > local.horizon)
                        world.copies[i].entry.versions.clear();
                }
            }
        }
        const Entry& end = world.copies[0].entry;
        for (const Copy& copy : world.copies) {
            if (copy.entry.versions != end.versions) return "copies differ";
        }
        for (const auto& [later, earlier] : world.overwrites) {
            const bool known = end.has_seen(later) || world.purged.contains(later);
            if (known && end.find(earlier)) return "what was overwritten is back";
        }
        if (rule_ == ConflictRule::Greatest || bounds_.horizons > 0) return {};
        for (const Copy& copy : before.copies) {
            for (const Version& version : copy.entry.versions) {
                if (end.find(version.dot)) continue;
                const bool overwritten = std::any_of(
                    world.overwrites.begin(), world.overwrites.end(),
                    [&](const auto& pair) { return pair.second == version.dot && end.has_seen(pair.first); });
                if (!overwritten) return "a write is lost";
            }
        }
        return {};
    }

    const ConflictRule rule_;
    const Mechanism mechanism_;
    const Bounds bounds_;
    std::unordered_set<std::size_t> seen_;
    std::string trace_, violation_;
};

}  // namespace martenford::replica
