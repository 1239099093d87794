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
    register_options_.fault_tolerance = {shape.tolerated, shape.tolerated_zones, 0};
    LogEntry first;
    for (std::size_t i = 0; i < shape.machines; ++i) add_machine();
    for (std::size_t i = 0; i < std::min<std::size_t>({3, shape.machines, 2 * shape.tolerated + 1}); ++i)
        first.voters.push_back(member(i));
    oracle_.first_voters(first);
    for (std::size_t i = 0; i < shape.machines; ++i) {
        if (i < first.voters.size()) {
            machines_[i].synced.last_entry = machines_[i].synced.committed_entry = first;
        }
        // In half of the schedules the others come later than the seeds, and than the first orders.
        const bool late = seed / 8 % 2 == 0 && i >= first.voters.size();
        const Duration at = late ? spread(3s, 4s) : spread(0s, 300ms);
        after(at, [this, i] { start(i); });
    }
}

std::optional<Violation> World::run() {
    // 1. All is well: the set becomes whole, and in half of the schedules takes orders at once.
    const bool early = seed_ / 16 % 2 == 0;
    for (std::size_t k = 0; early && k < operators_.size(); ++k) operate(k);
    until(8s);
    require_progress("at the start");
    // 2. Trouble, and orders in it.
    for (std::size_t k = 0; !early && k < operators_.size(); ++k) operate(k);
    const Time end = now_ + 20s;
    while (now_ < end && !oracle_.broken) {
        until(Duration{static_cast<Duration::rep>((0.05 + random_.unit() * random_.unit() * 2.5) * 1e9)});
        fault();
    }
    // 3. All mended: one leads, the set is whole, orders are taken.
    loss_ = 0;
    quiet_ = true;
    mend();
    until(9s);
    require_progress("after all was mended");
    const std::size_t before = oracle_.acknowledgements();
    until(3s);
    if (oracle_.acknowledgements() == before)
        oracle_.fail(Invariant::Progress, "no order is acknowledged in calm");
    ++counts_.schedules;
    counts_.elections += oracle_.elections;
    counts_.changes_of_members += oracle_.changes;
    counts_.acknowledged += oracle_.acknowledgements();
    if (!oracle_.broken) return std::nullopt;
    return Violation{oracle_.broken->first,
                     seed_,
                     std::string(shape_.name) + ": " + oracle_.broken->second,
                     {steps_.begin(), steps_.end()}};
}

void World::after(Duration in, std::function<void()> what) {
    events_.push({now_ + in, ++sequence_, std::move(what)});
}

void World::until(Duration in) {
    const Time end = now_ + in;
    while (!events_.empty() && events_.top().at <= end && !oracle_.broken) {
        auto what = std::move(const_cast<Event&>(events_.top()).what);
        now_ = events_.top().at;
        events_.pop();
        ++counts_.events;
        what();
    }
    if (now_ < end) now_ = end;
}

Duration World::spread(Duration least, Duration most) {
    return least +
           Duration{static_cast<Duration::rep>(random_.unit() * static_cast<double>((most - least).count()))};
}

std::size_t World::add_machine() {
    Machine machine;
    const std::size_t i = machines_.size();
    machine.address = "10.0.0." + std::to_string(i + 1) + ":7000";
    machine.zone = "z" + std::to_string(i % shape_.zones);
    machine.counts = i + shape_.uncounted < shape_.machines || i >= shape_.machines;
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
    member.loss_counted = m.counts;
    return member;
}

bool World::runs(std::size_t i) const {
    return machines_[i].raft && !machines_[i].frozen && !machines_[i].saving;
}

void World::start(std::size_t i) {
    Machine& m = machines_[i];
    if (m.raft || m.gone) return;
    ++m.life;
    const PersistentState disk = m.cached ? *m.cached : m.synced;
    note("start ", named(i), " ", std::to_string(disk.self_id), " newest ", text_of(disk.last_entry));
    // What a process finds may have been written by the one before it and not be synced: it syncs it
    // first.
    m.synced = disk;
    m.cached.reset();
    oracle_.synced(m.synced);
    m.clock = spread(0s, 100s);
    m.raft = std::make_unique<RaftNode>(member(i), disk, register_options_, random_.next());
    m.seen_newest = disk.last_entry;
    m.seen_committed = {};
    m.appended = Time{-1h};
    m.unsaved = m.leaving = m.frozen = m.freezes_standing = false;
    m.save_again = {};
    m.asked.clear();
    m.answered.clear();
    for (const Duration at : {spread(0ms, kTick)}) after(at, [this, i, life = m.life] { tick(i, life); });
    after(spread(0ms, 100ms), [this, i, life = m.life] { hello(i, life); });
}

void World::kill(std::size_t i) {
    Machine& m = machines_[i];
    if (!m.raft) return;
    m.raft.reset();
    if (m.saving && random_.unit() < 0.5) m.cached = m.saving;
    m.saving.reset();
    m.inbox.clear();
    m.calls.clear();
    m.frozen = m.leaving = false;
    m.strike = 0;
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
        oracle_.synced(m.synced);
    } else if (kept < 0.6 && may_tear) {
        note("torn ", named(i));
        wipe_disk(i);
    }
}

void World::wipe_disk(std::size_t i) {
    Machine& m = machines_[i];
    oracle_.dead(m.synced.self_id);
    m.cached.reset();
    m.synced = {};
    m.synced.self_id = 1000 + ++identities_;
    machine_of_[m.synced.self_id] = i;
}

void World::tick(std::size_t i, std::uint64_t life) {
    Machine& m = machines_[i];
    if (m.life != life || !m.raft) return;
    after(kTick, [this, i, life] { tick(i, life); });
    if (!runs(i)) return;
    m.raft->tick(local(m));
    turn(i);
    if (m.raft && m.leaving && runs(i) && m.raft->has_left()) left(i);
}

void World::hello(std::size_t i, std::uint64_t life) {
    Machine& m = machines_[i];
    if (m.life != life || !m.raft) return;
    after(kHello, [this, i, life] { hello(i, life); });
    if (!runs(i)) return;
    const Member self = member(i);
    for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (k != i)
            carry(i, k, [this, k, self] {
                Machine& to = machines_[k];
                if (self.address == to.address && self.id != to.synced.self_id) return;
                to.raft->add_known_member(local(to), self);
                turn(k);
            });
    }
}

void World::turn(std::size_t i) {
    Machine& m = machines_[i];
    for (int times = 0; m.raft && runs(i); ++times) {
        observe(i);
        if (oracle_.broken) return;
        m.unsaved |= m.raft->take_persist_request();
        if (m.unsaved) {
            if (local(m) >= m.save_again && !m.fails) {
                save(i);
                if (!m.raft || m.saving) return;  // goes on once it is synced
            } else {
                if (local(m) >= m.save_again) m.save_again = local(m) + kSaveAgain;
                m.raft->on_persist_failed(local(m));
            }
        }
        send(i);
        settle(i);
        if (!m.raft->has_output() || m.unsaved) return;
        if (times > 50) return oracle_.fail(Invariant::Progress, named(i) + " never comes to rest");
    }
}

void World::save(std::size_t i) {
    Machine& m = machines_[i];
    m.saving = m.raft->persistent_state();
    if (const int strike = std::exchange(m.strike, 0)) {
        note(strike == 1 ? "killed in a save " : "power lost in a save ", named(i));
        strike == 1 ? kill(i) : power_off(i, may_lose_disks() && m.lost_until > now_);
        come_back(i, spread(50ms, 3s));
        return;
    }
    const Duration takes = m.slow != Duration{}    ? spread(m.slow / 4, m.slow)
                           : random_.unit() < 0.15 ? spread(1ms, 40ms)
                                                   : Duration{};
    if (takes == Duration{}) return saved(i);
    after(takes, [this, i, life = m.life] {
        Machine& later = machines_[i];
        if (later.life != life || !later.raft || !later.saving) return;
        saved(i);
        send(i);
        settle(i);
        turn(i);
        work_off(i);
    });
}

void World::saved(std::size_t i) {
    Machine& m = machines_[i];
    m.synced = std::move(*m.saving);
    m.saving.reset();
    m.cached.reset();
    m.unsaved = false;
    oracle_.synced(m.synced);
    m.raft->on_persisted(local(m));
}

void World::work_off(std::size_t i) {
    Machine& m = machines_[i];
    while (runs(i) && !m.inbox.empty() && !oracle_.broken) {
        auto what = std::move(m.inbox.front());
        m.inbox.pop_front();
        what();
    }
}

void World::require_progress(const char* when) {
    if (oracle_.broken) return;
    std::vector<std::size_t> leading;
    std::size_t there = 0;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        if (!m.raft) continue;
        there += m.counts;
        if (m.raft->has_leader_lease(local(m))) leading.push_back(i);
    }
    if (!oracle_.require(leading.size() == 1, Invariant::Progress,
                         std::to_string(leading.size()) + " machines lead " + when))
        return;
    const LogEntry& entry = machines_[leading.front()].raft->persistent_state().last_entry;
    const std::size_t whole = std::min(2 * shape_.tolerated + 1, there);
    oracle_.require(entry.voters.size() >= whole && entry.outgoing_voters.empty(), Invariant::Progress,
                    "the set is not whole " + std::string(when) + ": " + text_of(entry));
    for (const Member& voter : entry.voters) {
        const bool up = std::any_of(machines_.begin(), machines_.end(), [&](const Machine& m) {
            return m.raft && m.counts && m.synced.self_id == voter.id;
        });
        oracle_.require(up, Invariant::Progress,
                        "a voter that is gone or doesn't count " + std::string(when) + ": " + text_of(entry));
    }
}

}  // namespace martenford::explorer
