// World: the faults that a schedule draws, and their end.
#include <algorithm>

#include "mesh/register_explorer_world.h"

namespace martenford::explorer {

bool World::may_lose(std::size_t i) const {
    if (machines_[i].gone) return false;
    if (!machines_[i].counts) return true;
    std::size_t lost = 0;
    std::set<std::string> zones;
    for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (!machines_[k].counts || (k != i && !is_lost(k))) continue;
        ++lost;
        zones.insert(machines_[k].zone);
    }
    return lost <= shape_.tolerated || zones.size() <= shape_.tolerated_zones;
}

void World::lose(std::size_t i, Duration time) {
    machines_[i].lost_until = std::max(machines_[i].lost_until, now_ + time + kCatchUp);
}

void World::come_back(std::size_t i, Duration in) {
    lose(i, in);
    after(in, [this, i] { start(i); });
}

std::size_t World::pick() {
    std::vector<std::size_t> there, leading;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (!machines_[i].raft) continue;
        there.push_back(i);
        if (machines_[i].raft->role() == RaftNode::Role::Leader) leading.push_back(i);
    }
    if (there.empty()) return 0;
    const auto& from = leading.empty() || random_.unit() < 0.6 ? there : leading;
    return from[random_.below(from.size())];
}

void World::count(const char* name, std::size_t i, Duration time) {
    ++counts_.faults[name];
    note("FAULT ", name, " ", named(i), " for ", std::to_string(time.count() / 1'000'000), " ms");
}

void World::fault() {
    const std::size_t i = pick();
    Machine& m = machines_[i];
    if (!m.raft) return;
    const bool loses = may_lose_disks();
    const Duration time = random_.unit() < 0.2 ? spread(3s, 9s) : spread(50ms, 2s);
    if (random_.unit() < 0.07) return fault_of_all(loses);
    if (!may_lose(i) && !stormy_) return;
    const double what = random_.unit();
    if (what < 0.1) {
        count("kill", i, time);
        kill(i);
        come_back(i, time);
    } else if (what < 0.2) {
        count("power", i, time);
        power_off(i, loses);
        come_back(i, time);
    } else if (what < 0.3) {
        count("strike", i, time);
        lose(i, 0s);
        m.strike = random_.unit() < 0.3 ? 1 : 2;
    } else if (what < 0.4 && loses) {
        count("wipe", i, time);
        power_off(i, false);
        wipe_disk(i);
        come_back(i, time);
    } else if (what < 0.45 && loses) {
        count("replace", i, time);
        replace(i, time);
    } else if (what < 0.55) {
        const bool for_good = loses && random_.unit() < 0.5;
        count(for_good ? "leave for good" : "leave", i, time);
        leave(i, for_good, time);
    } else if (what < 0.7) {
        cut(i, time);
    } else if (what < 0.75) {
        // As long as it takes the others to choose another, and no longer than the lease.
        freeze(i, random_.unit() < 0.4 ? spread(550ms, 950ms) : time);
    } else if (what < 0.8) {
        count("freeze in an election", i, time);
        lose(i, time);
        m.freezes_standing = true;
    } else if (what < 0.88) {
        count("slow disk", i, time);
        m.slow = spread(20ms, 1500ms);
        lose(i, time);
        after(time, [this, i] { machines_[i].slow = {}; });
    } else if (what < 0.95) {
        count("failing disk", i, time);
        m.fails = true;
        lose(i, time);
        after(time, [this, i] { machines_[i].fails = false; });
    } else {
        count("lossy links", i, time);
        loss_ = 0.1 + random_.unit() * 0.3;
        keep_disks_until_ = now_ + time + kCatchUp;  // all are lost in that time
        after(time, [this] { loss_ = 0.02; });
    }
}

void World::freeze(std::size_t i, Duration time) {
    count("freeze", i, time);
    machines_[i].frozen = true;
    lose(i, time);
    after(time, [this, i, life = machines_[i].life] {
        if (machines_[i].life == life) thaw(i);
    });
}

void World::fault_of_all(bool loses) {
    const bool power = random_.unit() < 0.6;
    count(power ? "power of all" : "kill of all", 0, 0ms);
    std::set<std::size_t> wiped;
    if (loses && power && random_.unit() < 0.5) {
        for (std::size_t n = 0; n < shape_.tolerated; ++n) {
            const std::size_t i = random_.below(machines_.size());
            if (machines_[i].gone || !may_lose(i)) continue;
            lose(i, 0s);
            wiped.insert(i);
            ++counts_.faults["wipe with power of all"];
        }
    }
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (machines_[i].gone) continue;
        power ? power_off(i, false) : kill(i);
        if (wiped.contains(i)) wipe_disk(i);
        come_back(i, spread(50ms, 1s));
    }
}

void World::thaw(std::size_t i) {
    Machine& m = machines_[i];
    if (!m.raft || !m.frozen) return;
    m.frozen = false;
    note("thaw ", named(i), " with ", std::to_string(m.inbox.size()), " in its inbox");
    if (runs(i)) observe_lease(i);
    work_off(i);
}

void World::replace(std::size_t i, Duration time) {
    kill(i);
    power_off(i, false);
    machines_[i].gone = true;
    const bool returns = random_.unit() < 0.5;
    if (!returns) oracle_.dead(machines_[i].synced.self_id);
    const std::size_t next = add_machine();
    machines_[next].zone = machines_[i].zone;
    machines_[next].counts = machines_[i].counts;
    machines_[i].lost_until = {};
    lose(next, time);
    after(time, [this, next] { start(next); });
    if (!returns) return;
    after(time + spread(6s, 12s), [this, i] {
        if (quiet_) return;
        ++counts_.faults["old disk returns"];
        machines_[i].gone = false;
        machines_[i].counts = false;  // what it has is not needed
        start(i);
        after(spread(1s, 4s), [this, i] {
            kill(i);
            machines_[i].gone = true;
        });
    });
}

void World::leave(std::size_t i, bool for_good, Duration time) {
    Machine& m = machines_[i];
    if (m.leaving || !runs(i)) return;
    m.leaving = true;
    lose(i, kLeaveGrace + time);
    std::optional<std::size_t> next;
    if (for_good) {
        next = add_machine();
        Machine& leaver = machines_[i];
        machines_[*next].zone = leaver.zone;
        machines_[*next].counts = leaver.counts;
        lose(*next, kLeaveGrace + time);
        after(spread(0s, 1s), [this, n = *next] { start(n); });
    }
    leaving_[i] = {for_good, time};
    machines_[i].raft->leave(local(machines_[i]));
    turn(i);
    after(kLeaveGrace, [this, i, life = machines_[i].life] {
        if (machines_[i].life == life && machines_[i].leaving) end(i);
    });
}

void World::left(std::size_t i) {
    note(named(i), " has left");
    oracle_.left(machines_[i].synced.self_id);
    if (!stormy_) {
        std::size_t others = 0;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            others += k != i && machines_[k].raft && machines_[k].counts;
        for (const std::string& token : oracle_.all_acknowledged()) {
            std::size_t copies = 0;
            for (std::size_t k = 0; k < machines_.size(); ++k)
                copies += k != i && !machines_[k].gone &&
                          machines_[k].synced.last_entry.value.find(token) != std::string::npos;
            oracle_.require(copies >= std::min(shape_.tolerated + 1, others), Invariant::LeaverGivesFirst,
                            named(i) + " says that it has left, and " + token + " is on " +
                                std::to_string(copies) + " other disks");
        }
    }
    end(i);
}

void World::end(std::size_t i) {
    const auto [for_good, time] = leaving_[i];
    kill(i);
    if (!for_good) return come_back(i, quiet_ ? 50ms : time);
    machines_[i].gone = true;
    machines_[i].lost_until = {};
    oracle_.dead(machines_[i].synced.self_id);
}

void World::cut(std::size_t i, Duration time) {
    const double way = random_.unit();
    const char* name = way < 0.5   ? "cut"
                       : way < 0.7 ? "cut of what it says"
                       : way < 0.9 ? "cut of what it hears"
                                   : "cut in turn";
    // One that ends in the moment of an election: the others stand after 500 to 1000 ms of silence.
    if (random_.unit() < 0.3) time = spread(450ms, 1150ms);
    count(name, i, time);
    lose(i, time);
    std::set<std::pair<std::size_t, std::size_t>> out, in;
    for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (k == i) continue;
        out.insert({i, k});
        in.insert({k, i});
    }
    if (way < 0.7 || way >= 0.9) cuts_.insert(out.begin(), out.end());
    if (way < 0.5 || (way >= 0.7 && way < 0.9)) cuts_.insert(in.begin(), in.end());
    if (way < 0.9) {
        after(time, [this, out, in] {
            join(out);
            join(in);
        });
        return;
    }
    after(time / 2, [this, out, in] {
        join(out);
        if (!quiet_) cuts_.insert(in.begin(), in.end());
    });
    after(time, [this, in] { join(in); });
}

void World::mend() {
    note("all is mended");
    join(std::exchange(cuts_, {}));
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        Machine& m = machines_[i];
        m.slow = {};
        m.fails = false;
        m.strike = 0;
        m.freezes_standing = false;
        if (m.frozen) thaw(i);
        start(i);
    }
}

}  // namespace martenford::explorer
