// World: links, delivery, and what the oracle checks after each event.
#include <algorithm>

#include "mesh/register_explorer_world.h"

namespace martenford::explorer {

void World::transmit(std::size_t from, std::size_t to, const std::function<void()>& what) {
    const auto arrive = [this, from, to](std::function<void()> it, Duration in) {
        schedule_after(in, [this, from, to, it = std::move(it)] {
            Machine& m = machines_[to];
            if (!m.raft) return;
            if (is_cut(from, to)) return retain(from, to, it);
            if (!is_running(to)) return m.inbox.push_back(it);
            it();
        });
    };
    if (random_.unit() < message_loss_) return;
    if (!faults_ended_ && random_.unit() < 0.03)
        arrive(what,
               random_.unit() < 0.7 ? random_duration(0ms, 500ms) : random_duration(1s, 20s));  // a duplicate
    arrive(what, !faults_ended_ && random_.unit() < 0.05 ? random_duration(20ms, 800ms)
                                                         : random_duration(0ms, 15ms));
}

void World::retain(std::size_t from, std::size_t to, std::function<void()> what) {
    if (random_.unit() < 0.6 && retained_.size() < 2000) retained_.push_back({from, to, std::move(what)});
}

void World::reconnect(const std::set<std::pair<std::size_t, std::size_t>>& links) {
    for (const auto& link : links) cut_links_.erase(link);
    auto all = std::exchange(retained_, {});
    for (auto& one : all) {
        if (is_cut(one.from, one.to)) {
            retained_.push_back(std::move(one));
        } else {
            schedule_after(random_duration(0ms, 30ms), [this, to = one.to, what = std::move(one.what)] {
                Machine& m = machines_[to];
                if (!m.raft) return;
                if (!is_running(to)) return m.inbox.push_back(what);
                what();
            });
        }
    }
}

void World::send(std::size_t i) {
    Machine& m = machines_[i];
    bool is_candidate = false;
    for (Message& message : m.raft->take_messages()) {
        is_candidate |= message.kind == Message::Kind::RequestVote && !message.pre_vote;
        oracle_.on_sent(message, m.synced);
        if (message.kind == Message::Kind::AppendEntries ||
            (message.kind == Message::Kind::RequestVote && !message.pre_vote)) {
            m.requested_at[{message.term, round_of(message)}][message.to] = now_;
            if (m.requested_at.size() > 400) m.requested_at.erase(m.requested_at.begin());
        }
        // Delivered by address: a message to a lost member id reaches the id that replaced it there.
        const auto to = machine_of_.find(message.to);
        if (to == machine_of_.end()) continue;
        transmit(i, to->second,
                 [this, i, k = to->second, sent = now_, message] { deliver(i, k, sent, message); });
    }
    if (is_candidate && std::exchange(m.suspends_in_election, false))
        suspend(i, random_duration(300ms, 1100ms));
}

std::uint64_t World::round_of(const Message& message) {
    return message.kind == Message::Kind::AppendEntries || message.kind == Message::Kind::AppendEntriesReply
               ? message.round
               : 0;
}

void World::deliver(std::size_t from, std::size_t to, Time sent, const Message& message) {
    Machine& m = machines_[to];
    ++counts_.messages;
    record_step(machine_name(from), " to ", machine_name(to), ": ", text_of(message));
    m.raft->receive(local(m), message);
    const bool answers = message.granted && !message.pre_vote &&
                         (message.kind == Message::Kind::AppendEntriesReply ||
                          message.kind == Message::Kind::RequestVoteReply);
    if (answers && message.term == m.raft->persistent_state().term) {
        if (m.acknowledged_term != message.term) m.acknowledged_at.clear();
        m.acknowledged_term = message.term;
        const auto round = m.requested_at.find({message.term, round_of(message)});
        if (round != m.requested_at.end()) {
            if (const auto requested_at = round->second.find(message.from.id);
                requested_at != round->second.end()) {
                Time& acknowledged_at = m.acknowledged_at[message.from.id];
                acknowledged_at = std::max(acknowledged_at, requested_at->second);
            }
        }
    }
    if (message.kind == Message::Kind::AppendEntries && message.term >= m.raft->persistent_state().term)
        m.last_append_sent_at = std::max(m.last_append_sent_at, sent);
    process_output(to);
}

void World::observe(std::size_t i) {
    Machine& m = machines_[i];
    const RaftNode& raft = *m.raft;
    const PersistentState& disk = raft.persistent_state();
    if (raft.role() == RaftNode::Role::Leader) {
        oracle_.on_leader(disk.self_id, disk.term, disk.last_entry);
        if (m.observed_entry.position != disk.last_entry.position &&
            !same_voters(m.observed_entry, disk.last_entry)) {
            record_step(machine_name(i), " changes the members: ", text_of(disk.last_entry));
            oracle_.on_configuration_change(m.observed_entry, disk.last_entry);
        }
    }
    m.observed_entry = disk.last_entry;
    if (m.observed_commit != disk.committed_entry.position && !m.must_save) {
        m.observed_commit = disk.committed_entry.position;
    }
    observe_lease(i);
}

Time World::quorum_contact_at(const Machine& m) const {
    const PersistentState& disk = m.raft->persistent_state();
    Time best{};
    if (m.acknowledged_term != disk.term) {
        return is_quorum(disk.last_entry, [&](MemberId id) { return id == disk.self_id; }) ? now_ : best;
    }
    std::vector<Time> times{now_};
    for (const auto& [id, requested_at] : m.acknowledged_at) times.push_back(requested_at);
    for (const Time time : times) {
        const bool reached =
            time > best && is_quorum(disk.last_entry, [&](MemberId id) {
                const auto it = m.acknowledged_at.find(id);
                return id == disk.self_id || (it != m.acknowledged_at.end() && it->second >= time);
            });
        if (reached) best = time;
    }
    return best;
}

void World::observe_lease(std::size_t i) {
    Machine& m = machines_[i];
    const RaftNode& raft = *m.raft;
    if (raft.role() == RaftNode::Role::Leader) {
        if (m.quorum_contact_term != raft.persistent_state().term) m.quorum_contact_at = {};
        m.quorum_contact_term = raft.persistent_state().term;
        m.quorum_contact_at = std::max(m.quorum_contact_at, quorum_contact_at(m));
    }
    if (raft.has_leader_lease(local(m))) {
        oracle_.require(now_ - m.quorum_contact_at <= raft_options_.leader_lease, Invariant::NoStaleLease,
                        machine_name(i) + " says that it leads in term " +
                            std::to_string(raft.persistent_state().term) +
                            ", and no majority answered a request of the last 900 ms");
    } else if (raft.role() != RaftNode::Role::Leader && raft.has_quorum_contact(local(m), kMaxContactAge)) {
        oracle_.require(
            now_ - m.last_append_sent_at <= kMaxContactAge, Invariant::NoStaleContact,
            machine_name(i) +
                " says that it has quorum contact, and no leader's message that was sent in the last "
                "700 ms reached it");
    }
}

}  // namespace martenford::explorer
