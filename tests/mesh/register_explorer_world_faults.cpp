// World: the faults that a schedule draws, and their end.
#include <algorithm>

#include "mesh/register_explorer_world.h"

namespace martenford::explorer {

bool World::may_fail(std::size_t i) const {
    if (machines_[i].removed) return false;
    if (!machines_[i].loss_counted) return true;
    std::size_t failed = 0;
    std::set<std::string> zones;
    for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (!machines_[k].loss_counted || (k != i && !is_failed(k))) continue;
        ++failed;
        zones.insert(machines_[k].zone);
    }
    return failed <= shape_.tolerated || zones.size() <= shape_.tolerated_zones;
}

void World::mark_failed(std::size_t i, Duration time) {
    machines_[i].failed_until = std::max(machines_[i].failed_until, now_ + time + kCatchUpTime);
}

void World::restart_after(std::size_t i, Duration in) {
    mark_failed(i, in);
    schedule_after(in, [this, i] { start(i); });
}

std::size_t World::pick_machine() {
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

void World::count_fault(const char* name, std::size_t i, Duration time) {
    ++counts_.faults[name];
    record_step("FAULT ", name, " ", machine_name(i), " for ", std::to_string(time.count() / 1'000'000),
                " ms");
}

void World::disturb_first_start(const LogEntry& first) {
    constexpr std::uint64_t kOneIn = 7;
    constexpr std::uint64_t kDisturbed = 3;
    if (seed_ / 8 % kOneIn != kDisturbed || first.voters.size() < 2) return;
    const std::size_t survivor = random_.below(first.voters.size());
    // Where the failures to survive may take all first voters, none is replaced.
    const bool may_be_torn = !raft::may_all_fail(first.voters, raft_options_.fault_tolerance);
    if (!may_be_torn || random_.unit() < 0.4) {
        const Duration time = random_duration(6s, 25s);
        count_fault("cut off from the first start", survivor, time);
        mark_failed(survivor, time);
        return cut_off(survivor, time);
    }
    ++counts_.faults["torn first start"];
    for (std::size_t i = 0; i < first.voters.size(); ++i) {
        if (i != survivor) lose_disk(i);
    }
}

void World::cut_off(std::size_t i, Duration time) {
    std::set<std::pair<std::size_t, std::size_t>> links;
    for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (k == i) continue;
        links.insert({i, k});
        links.insert({k, i});
    }
    cut_links_.insert(links.begin(), links.end());
    schedule_after(time, [this, links] { reconnect(links); });
}

void World::inject_fault() {
    const std::size_t i = pick_machine();
    Machine& m = machines_[i];
    if (!m.raft) return;
    const bool loses = may_lose_disks();
    const Duration time = random_.unit() < 0.2 ? random_duration(3s, 9s) : random_duration(50ms, 2s);
    if (random_.unit() < 0.07) return inject_fault_of_all(loses);
    if (!may_fail(i) && !keeps_all_disks_) return;
    const double what = random_.unit();
    if (what < 0.1) {
        count_fault("kill", i, time);
        kill(i);
        restart_after(i, time);
    } else if (what < 0.2) {
        count_fault("power", i, time);
        power_off(i, loses);
        restart_after(i, time);
    } else if (what < 0.3) {
        count_fault("strike", i, time);
        mark_failed(i, 0s);
        m.save_fault = random_.unit() < 0.3 ? SaveFault::Kill : SaveFault::PowerLoss;
    } else if (what < 0.4 && loses) {
        count_fault("wipe", i, time);
        power_off(i, false);
        lose_disk(i);
        restart_after(i, time);
    } else if (what < 0.45 && loses) {
        count_fault("replace", i, time);
        replace(i, time);
    } else if (what < 0.55) {
        inject_leave(i, loses, time);
    } else if (what < 0.7) {
        partition(i, time);
    } else if (what < 0.75) {
        // Long enough for the others to elect another leader, and no longer than the lease.
        suspend(i, random_.unit() < 0.4 ? random_duration(550ms, 950ms) : time);
    } else if (what < 0.8) {
        count_fault("freeze in an election", i, time);
        mark_failed(i, time);
        m.suspends_in_election = true;
    } else if (what < 0.88) {
        slow_down_disk(i, time);
    } else if (what < 0.95) {
        fail_disk(i, time);
    } else {
        lose_messages(i, time);
    }
}

void World::inject_leave(std::size_t i, bool loses, Duration time) {
    const bool for_good = loses && random_.unit() < 0.5;
    count_fault(for_good ? "leave for good" : "leave", i, time);
    leave(i, for_good, time);
}

void World::slow_down_disk(std::size_t i, Duration time) {
    count_fault("slow disk", i, time);
    machines_[i].save_delay = random_duration(20ms, 1500ms);
    mark_failed(i, time);
    schedule_after(time, [this, i] { machines_[i].save_delay = {}; });
}

void World::fail_disk(std::size_t i, Duration time) {
    count_fault("failing disk", i, time);
    machines_[i].disk_fails = true;
    mark_failed(i, time);
    schedule_after(time, [this, i] { machines_[i].disk_fails = false; });
}

void World::lose_messages(std::size_t i, Duration time) {
    count_fault("lossy links", i, time);
    message_loss_ = 0.1 + random_.unit() * 0.3;
    keep_disks_until_ = now_ + time + kCatchUpTime;  // any machine may miss messages in that time
    schedule_after(time, [this] { message_loss_ = 0.02; });
}

void World::suspend(std::size_t i, Duration time) {
    count_fault("freeze", i, time);
    machines_[i].suspended = true;
    mark_failed(i, time);
    schedule_after(time, [this, i, incarnation = machines_[i].incarnation] {
        if (machines_[i].incarnation == incarnation) resume(i);
    });
}

void World::inject_fault_of_all(bool loses) {
    const bool power = random_.unit() < 0.6;
    count_fault(power ? "power of all" : "kill of all", 0, 0ms);
    std::set<std::size_t> disk_losers;
    if (loses && power && random_.unit() < 0.5) {
        for (std::size_t n = 0; n < shape_.tolerated; ++n) {
            const std::size_t i = random_.below(machines_.size());
            if (machines_[i].removed || !may_fail(i)) continue;
            mark_failed(i, 0s);
            disk_losers.insert(i);
            ++counts_.faults["wipe with power of all"];
        }
    }
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (machines_[i].removed) continue;
        power ? power_off(i, false) : kill(i);
        if (disk_losers.contains(i)) lose_disk(i);
        restart_after(i, random_duration(50ms, 1s));
    }
}

void World::resume(std::size_t i) {
    Machine& m = machines_[i];
    if (!m.raft || !m.suspended) return;
    m.suspended = false;
    record_step("resume ", machine_name(i), " with ", std::to_string(m.inbox.size()), " in its inbox");
    if (is_running(i)) observe_lease(i);
    process_inbox(i);
}

void World::replace(std::size_t i, Duration time) {
    kill(i);
    power_off(i, false);
    machines_[i].removed = true;
    const bool returns = random_.unit() < 0.5;
    if (!returns) oracle_.mark_dead(machines_[i].synced.self_id);
    const std::size_t next = add_machine();
    machines_[next].zone = machines_[i].zone;
    machines_[next].loss_counted = machines_[i].loss_counted;
    machines_[i].failed_until = {};
    mark_failed(next, time);
    schedule_after(time, [this, next] { start(next); });
    if (!returns) return;
    schedule_after(time + random_duration(6s, 12s), [this, i] {
        if (faults_ended_) return;
        ++counts_.faults["old disk returns"];
        machines_[i].removed = false;
        machines_[i].loss_counted = false;  // its replicas are not required
        start(i);
        schedule_after(random_duration(1s, 4s), [this, i] {
            kill(i);
            machines_[i].removed = true;
        });
    });
}

void World::leave(std::size_t i, bool for_good, Duration time) {
    Machine& m = machines_[i];
    if (m.leaving || !is_running(i)) return;
    m.leaving = true;
    mark_failed(i, kLeaveTimeout + time);
    std::optional<std::size_t> next;
    if (for_good) {
        next = add_machine();
        Machine& leaver = machines_[i];
        machines_[*next].zone = leaver.zone;
        machines_[*next].loss_counted = leaver.loss_counted;
        mark_failed(*next, kLeaveTimeout + time);
        schedule_after(random_duration(0s, 1s), [this, n = *next] { start(n); });
    }
    leaving_[i] = {for_good, time};
    machines_[i].raft->leave(local(machines_[i]));
    process_output(i);
    schedule_after(kLeaveTimeout, [this, i, incarnation = machines_[i].incarnation] {
        if (machines_[i].incarnation == incarnation && machines_[i].leaving) finish_leaving(i);
    });
}

void World::on_left(std::size_t i) {
    record_step(machine_name(i), " has left");
    oracle_.on_left(machines_[i].synced.self_id);
    if (!keeps_all_disks_) {
        std::size_t others = 0;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            others += k != i && machines_[k].raft && machines_[k].loss_counted;
        for (const std::string& token : oracle_.all_acknowledged()) {
            std::size_t copies = 0;
            for (std::size_t k = 0; k < machines_.size(); ++k)
                copies += k != i && !machines_[k].removed &&
                          machines_[k].synced.last_entry.value.find(token) != std::string::npos;
            oracle_.require(copies >= std::min(shape_.tolerated + 1, others), Invariant::LeaverReplacedFirst,
                            machine_name(i) + " says that it has left, and " + token + " is on " +
                                std::to_string(copies) + " other disks");
        }
    }
    finish_leaving(i);
}

void World::finish_leaving(std::size_t i) {
    const auto [for_good, time] = leaving_[i];
    kill(i);
    if (!for_good) return restart_after(i, faults_ended_ ? 50ms : time);
    machines_[i].removed = true;
    machines_[i].failed_until = {};
    oracle_.mark_dead(machines_[i].synced.self_id);
}

void World::partition(std::size_t i, Duration time) {
    const double way = random_.unit();
    const char* name = way < 0.5   ? "cut"
                       : way < 0.7 ? "cut of what it says"
                       : way < 0.9 ? "cut of what it hears"
                                   : "cut in turn";
    // Some end at the time of an election, which starts after 500 to 1000 ms without a leader.
    if (random_.unit() < 0.3) time = random_duration(450ms, 1150ms);
    count_fault(name, i, time);
    mark_failed(i, time);
    std::set<std::pair<std::size_t, std::size_t>> out, in;
    for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (k == i) continue;
        out.insert({i, k});
        in.insert({k, i});
    }
    if (way < 0.7 || way >= 0.9) cut_links_.insert(out.begin(), out.end());
    if (way < 0.5 || (way >= 0.7 && way < 0.9)) cut_links_.insert(in.begin(), in.end());
    if (way < 0.9) {
        schedule_after(time, [this, out, in] {
            reconnect(out);
            reconnect(in);
        });
        return;
    }
    schedule_after(time / 2, [this, out, in] {
        reconnect(out);
        if (!faults_ended_) cut_links_.insert(in.begin(), in.end());
    });
    schedule_after(time, [this, in] { reconnect(in); });
}

void World::heal() {
    record_step("all faults ended");
    reconnect(std::exchange(cut_links_, {}));
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        Machine& m = machines_[i];
        m.save_delay = {};
        m.disk_fails = false;
        m.save_fault = SaveFault::None;
        m.suspends_in_election = false;
        if (m.suspended) resume(i);
        start(i);
    }
}

}  // namespace martenford::explorer
