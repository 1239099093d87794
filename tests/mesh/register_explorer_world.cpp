// World: construction, the course of a schedule, time, processes and their disks.
#include "mesh/register_explorer_world.h"

#include <algorithm>

namespace martenford::explorer {

World::World(std::uint64_t seed, const Shape& shape, Counts& counts, const Options& options)
    : seed_(seed),
      shape_(shape),
      counts_(counts),
      options_(options),
      random_(seed * 0x9e3779b97f4a7c15u + 7),
      oracle_(options.ignored) {
    raft_options_.fault_tolerance = {shape.tolerated, shape.tolerated_zones, 0};
    LogEntry first;
    for (std::size_t i = 0; i < shape.machines; ++i) add_machine();
    for (std::size_t i = 0; i < std::min<std::size_t>({3, shape.machines, 2 * shape.tolerated + 1}); ++i)
        first.voters.push_back(member(i));
    oracle_.set_initial_voters(first);
    for (std::size_t i = 0; i < first.voters.size(); ++i)
        machines_[i].synced.last_entry = machines_[i].synced.committed_entry = first;
    disturb_first_start(first);
    for (std::size_t i = 0; i < shape.machines; ++i) {
        // In half of the schedules the others start after the initial voters, and after the first orders.
        const bool late = seed / 8 % 2 == 0 && i >= first.voters.size();
        const Duration at = late ? random_duration(3s, 4s) : random_duration(0s, 300ms);
        schedule_after(at, [this, i] { start(i); });
    }
}

std::optional<Violation> World::run() {
    // 1. No faults: the voters become as many as needed; half of the schedules have orders from the start.
    const bool early = seed_ / 16 % 2 == 0;
    for (std::size_t k = 0; early && k < operators_.size(); ++k) run_operator(k);
    run_for(8s);
    require_progress("at the start");
    // 2. Faults, with orders.
    for (std::size_t k = 0; !early && k < operators_.size(); ++k) run_operator(k);
    const Time end = now_ + 20s;
    while (now_ < end && !oracle_.violation) {
        run_for(Duration{static_cast<Duration::rep>((0.05 + random_.unit() * random_.unit() * 2.5) * 1e9)});
        inject_fault();
    }
    // 3. All faults ended: one leads, the configuration is complete, orders are accepted.
    message_loss_ = 0;
    faults_ended_ = true;
    heal();
    run_for(9s);
    require_progress("after all faults ended");
    const std::size_t before = oracle_.acknowledgements();
    run_for(3s);
    if (oracle_.acknowledgements() == before)
        oracle_.report(Invariant::Progress, "no order is acknowledged without faults");
    ++counts_.schedules;
    counts_.elections += oracle_.elections;
    counts_.configuration_changes += oracle_.configuration_changes;
    counts_.acknowledged += oracle_.acknowledgements();
    if (!oracle_.violation) return std::nullopt;
    return Violation{oracle_.violation->first,
                     seed_,
                     std::string(shape_.name) + ": " + oracle_.violation->second,
                     {steps_.begin(), steps_.end()}};
}

void World::schedule_after(Duration in, std::function<void()> what) {
    events_.push({now_ + in, ++sequence_, std::move(what)});
}

void World::run_for(Duration in) {
    const Time end = now_ + in;
    while (!events_.empty() && events_.top().at <= end && !oracle_.violation) {
        auto what = std::move(const_cast<Event&>(events_.top()).what);
        now_ = events_.top().at;
        events_.pop();
        ++counts_.events;
        what();
    }
    if (now_ < end) now_ = end;
}

Duration World::random_duration(Duration least, Duration most) {
    return least +
           Duration{static_cast<Duration::rep>(random_.unit() * static_cast<double>((most - least).count()))};
}

std::size_t World::add_machine() {
    Machine machine;
    const std::size_t i = machines_.size();
    machine.address = "10.0.0." + std::to_string(i + 1) + ":7000";
    machine.zone = "z" + std::to_string(i % shape_.zones);
    machine.loss_counted = i + shape_.uncounted < shape_.machines || i >= shape_.machines;
    machine.synced.self_id = 100 + ++identities_;
    machine_of_[machine.synced.self_id] = i;
    machines_.push_back(std::move(machine));
    return i;
}

Member World::member(std::size_t i) const {
    const Machine& m = machines_[i];
    Member member;
    member.id = m.synced.self_id;
    member.address = m.address;
    member.zone = m.zone;
    member.region = "r";
    member.loss_counted = m.loss_counted;
    return member;
}

bool World::is_running(std::size_t i) const {
    return machines_[i].raft && !machines_[i].suspended && !machines_[i].saving;
}

void World::start(std::size_t i) {
    Machine& m = machines_[i];
    if (m.raft || m.removed) return;
    ++m.incarnation;
    const PersistentState disk = m.cached ? *m.cached : m.synced;
    record_step("start ", machine_name(i), " ", std::to_string(disk.self_id), " newest ",
                text_of(disk.last_entry));
    // The process before this one may have written what it finds without a sync: it syncs that first.
    m.synced = disk;
    m.cached.reset();
    oracle_.on_synced(m.synced);
    m.clock = random_duration(0s, 100s);
    m.raft = std::make_unique<RaftNode>(member(i), disk, raft_options_, random_.next());
    m.observed_entry = disk.last_entry;
    m.observed_commit = {};
    m.last_append_sent_at = Time{-1h};
    m.must_save = m.leaving = m.suspended = m.suspends_in_election = false;
    m.retry_save_at = {};
    m.requested_at.clear();
    m.acknowledged_at.clear();
    for (const Duration at : {random_duration(0ms, kTickInterval)})
        schedule_after(at, [this, i, incarnation = m.incarnation] { tick(i, incarnation); });
    schedule_after(random_duration(0ms, 100ms),
                   [this, i, incarnation = m.incarnation] { announce(i, incarnation); });
}

void World::kill(std::size_t i) {
    Machine& m = machines_[i];
    if (!m.raft) return;
    m.raft.reset();
    if (m.saving && random_.unit() < 0.5) m.cached = m.saving;
    m.saving.reset();
    m.inbox.clear();
    m.calls.clear();
    m.suspended = m.leaving = false;
    m.save_fault = SaveFault::None;
}

void World::power_off(std::size_t i, bool may_tear) {
    Machine& m = machines_[i];
    std::optional<PersistentState> written = m.saving ? m.saving : m.cached;
    kill(i);
    m.cached.reset();
    if (!written) return;
    const double kept = random_.unit();
    if (kept < 0.35) {
        m.synced = *written;
        oracle_.on_synced(m.synced);
    } else if (kept < 0.6 && may_tear) {
        record_step("torn ", machine_name(i));
        lose_disk(i);
        m.began_empty = false;  // a damaged store is set aside
    }
}

void World::lose_disk(std::size_t i) {
    Machine& m = machines_[i];
    oracle_.mark_dead(m.synced.self_id);
    m.cached.reset();
    m.began_empty = true;
    m.synced = {};
    m.synced.self_id = 1000 + ++identities_;
    machine_of_[m.synced.self_id] = i;
}

void World::tick(std::size_t i, std::uint64_t incarnation) {
    Machine& m = machines_[i];
    if (m.incarnation != incarnation || !m.raft) return;
    schedule_after(kTickInterval, [this, i, incarnation] { tick(i, incarnation); });
    if (!is_running(i)) return;
    m.raft->tick(local(m));
    process_output(i);
    if (m.raft && m.leaving && is_running(i) && m.raft->has_left()) on_left(i);
}

void World::announce(std::size_t i, std::uint64_t incarnation) {
    Machine& m = machines_[i];
    if (m.incarnation != incarnation || !m.raft) return;
    schedule_after(kAnnounceInterval, [this, i, incarnation] { announce(i, incarnation); });
    if (!is_running(i)) return;
    const Member self = member(i);
    const bool has_no_history = m.began_empty && m.raft->has_no_history();
    const auto history = has_no_history ? raft::MemberHistory::None : raft::MemberHistory::Unknown;
    for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (k != i)
            transmit(i, k, [this, k, self, history] {
                Machine& to = machines_[k];
                if (self.address == to.address && self.id != to.synced.self_id) return;
                to.raft->add_known_member(local(to), self, history);
                process_output(k);
            });
    }
}

void World::process_output(std::size_t i) {
    Machine& m = machines_[i];
    for (int times = 0; m.raft && is_running(i); ++times) {
        observe(i);
        if (oracle_.violation) return;
        m.must_save |= m.raft->take_persist_request();
        if (m.must_save) {
            if (local(m) >= m.retry_save_at && !m.disk_fails) {
                save(i);
                if (!m.raft || m.saving) return;  // goes on once it is synced
            } else {
                if (local(m) >= m.retry_save_at) m.retry_save_at = local(m) + kSaveRetryInterval;
                m.raft->on_persist_failed(local(m));
            }
        }
        send(i);
        process_calls(i);
        if (!m.raft->has_output() || m.must_save) return;
        if (times > 50) return oracle_.report(Invariant::Progress, machine_name(i) + " never comes to rest");
    }
}

void World::save(std::size_t i) {
    Machine& m = machines_[i];
    m.saving = m.raft->persistent_state();
    if (const SaveFault fault = std::exchange(m.save_fault, SaveFault::None); fault != SaveFault::None) {
        const bool killed = fault == SaveFault::Kill;
        record_step(killed ? "killed in a save " : "power lost in a save ", machine_name(i));
        killed ? kill(i) : power_off(i, may_lose_disks() && m.failed_until > now_);
        restart_after(i, random_duration(50ms, 3s));
        return;
    }
    const Duration takes = m.save_delay != Duration{} ? random_duration(m.save_delay / 4, m.save_delay)
                           : random_.unit() < 0.15    ? random_duration(1ms, 40ms)
                                                      : Duration{};
    if (takes == Duration{}) return on_saved(i);
    schedule_after(takes, [this, i, incarnation = m.incarnation] {
        Machine& later = machines_[i];
        if (later.incarnation != incarnation || !later.raft || !later.saving) return;
        on_saved(i);
        send(i);
        process_calls(i);
        process_output(i);
        process_inbox(i);
    });
}

void World::on_saved(std::size_t i) {
    Machine& m = machines_[i];
    m.synced = std::move(*m.saving);
    m.saving.reset();
    m.cached.reset();
    m.must_save = false;
    oracle_.on_synced(m.synced);
    m.raft->on_persisted(local(m));
}

void World::process_inbox(std::size_t i) {
    Machine& m = machines_[i];
    while (is_running(i) && !m.inbox.empty() && !oracle_.violation) {
        auto what = std::move(m.inbox.front());
        m.inbox.pop_front();
        what();
    }
}

void World::require_progress(const char* when) {
    if (oracle_.violation) return;
    std::vector<std::size_t> leading;
    std::size_t there = 0;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        if (!m.raft) continue;
        there += m.loss_counted;
        if (m.raft->has_leader_lease(local(m))) leading.push_back(i);
    }
    if (!oracle_.require(leading.size() == 1, Invariant::Progress,
                         std::to_string(leading.size()) + " machines lead " + when))
        return;
    const LogEntry& entry = machines_[leading.front()].raft->persistent_state().last_entry;
    const std::size_t required_voters = std::min(2 * shape_.tolerated + 1, there);
    oracle_.require(entry.voters.size() >= required_voters && entry.outgoing_voters.empty(),
                    Invariant::Progress,
                    "the configuration is not complete " + std::string(when) + ": " + text_of(entry));
    for (const Member& voter : entry.voters) {
        const bool up = std::any_of(machines_.begin(), machines_.end(), [&](const Machine& m) {
            return m.raft && m.loss_counted && m.synced.self_id == voter.id;
        });
        oracle_.require(up, Invariant::Progress,
                        "a voter that is not running or whose loss is not counted " + std::string(when) +
                            ": " + text_of(entry));
    }
}

}  // namespace martenford::explorer
