// World: links, delivery, and what the oracle is told after each event.
#include <algorithm>

#include "mesh/register_explorer_world.h"

namespace martenford::explorer {

void World::carry(std::size_t from, std::size_t to, std::function<void()> what) {
    const auto arrive = [this, from, to](std::function<void()> it, Duration in) {
        after(in, [this, from, to, it = std::move(it)] {
            Machine& m = machines_[to];
            if (!m.raft) return;
            if (is_cut(from, to)) return hold(from, to, it);
            if (!runs(to)) return m.inbox.push_back(it);
            it();
        });
    };
    if (random_.unit() < loss_) return;
    if (!quiet_ && random_.unit() < 0.03)
        arrive(what, random_.unit() < 0.7 ? spread(0ms, 500ms) : spread(1s, 20s));  // once more
    arrive(what, !quiet_ && random_.unit() < 0.05 ? spread(20ms, 800ms) : spread(0ms, 15ms));
}

void World::hold(std::size_t from, std::size_t to, std::function<void()> what) {
    if (random_.unit() < 0.6 && held_.size() < 2000) held_.push_back({from, to, std::move(what)});
}

void World::join(const std::set<std::pair<std::size_t, std::size_t>>& links) {
    for (const auto& link : links) cuts_.erase(link);
    auto all = std::exchange(held_, {});
    for (auto& one : all) {
        if (is_cut(one.from, one.to)) {
            held_.push_back(std::move(one));
        } else {
            after(spread(0ms, 30ms), [this, to = one.to, what = std::move(one.what)] {
                Machine& m = machines_[to];
                if (!m.raft) return;
                if (!runs(to)) return m.inbox.push_back(what);
                what();
            });
        }
    }
}

void World::send(std::size_t i) {
    Machine& m = machines_[i];
    bool stands = false;
    for (Message& message : m.raft->take_messages()) {
        stands |= message.kind == Message::Kind::RequestVote && !message.pre_vote;
        oracle_.sent(message, m.synced);
        if (message.kind == Message::Kind::AppendEntries ||
            (message.kind == Message::Kind::RequestVote && !message.pre_vote)) {
            m.asked[{message.term, round_of(message)}][message.to] = now_;
            if (m.asked.size() > 400) m.asked.erase(m.asked.begin());
        }
        // By address: what was meant for a lost identity reaches the one that came after it there.
        const auto to = machine_of_.find(message.to);
        if (to == machine_of_.end()) continue;
        carry(i, to->second,
              [this, i, k = to->second, sent = now_, message] { deliver(i, k, sent, message); });
    }
    if (stands && std::exchange(m.freezes_standing, false)) freeze(i, spread(300ms, 1100ms));
}

std::uint64_t World::round_of(const Message& message) {
    return message.kind == Message::Kind::AppendEntries || message.kind == Message::Kind::AppendEntriesReply
               ? message.round
               : 0;
}

void World::deliver(std::size_t from, std::size_t to, Time sent, const Message& message) {
    Machine& m = machines_[to];
    ++counts_.messages;
    note(named(from), " to ", named(to), ": ", text_of(message));
    m.raft->receive(local(m), message);
    const bool answers = message.granted && !message.pre_vote &&
                         (message.kind == Message::Kind::AppendEntriesReply ||
                          message.kind == Message::Kind::RequestVoteReply);
    if (answers && message.term == m.raft->persistent_state().term) {
        if (m.answered_term != message.term) m.answered.clear();
        m.answered_term = message.term;
        const auto round = m.asked.find({message.term, round_of(message)});
        if (round != m.asked.end()) {
            if (const auto asked = round->second.find(message.from.id); asked != round->second.end()) {
                Time& answered = m.answered[message.from.id];
                answered = std::max(answered, asked->second);
            }
        }
    }
    if (message.kind == Message::Kind::AppendEntries && message.term >= m.raft->persistent_state().term)
        m.appended = std::max(m.appended, sent);
    turn(to);
}

void World::observe(std::size_t i) {
    Machine& m = machines_[i];
    const RaftNode& raft = *m.raft;
    const PersistentState& disk = raft.persistent_state();
    if (raft.role() == RaftNode::Role::Leader) {
        oracle_.leads(disk.self_id, disk.term, disk.last_entry);
        if (m.seen_newest.position != disk.last_entry.position &&
            !same_voters(m.seen_newest, disk.last_entry)) {
            note(named(i), " changes the members: ", text_of(disk.last_entry));
            oracle_.changed_members(m.seen_newest, disk.last_entry);
        }
    }
    m.seen_newest = disk.last_entry;
    if (m.seen_committed != disk.committed_entry.position && !m.unsaved) {
        m.seen_committed = disk.committed_entry.position;
    }
    observe_lease(i);
}

Time World::contact(const Machine& m) const {
    const PersistentState& disk = m.raft->persistent_state();
    Time best{};
    if (m.answered_term != disk.term) {
        return is_quorum(disk.last_entry, [&](MemberId id) { return id == disk.self_id; }) ? now_ : best;
    }
    std::vector<Time> times{now_};
    for (const auto& [id, asked] : m.answered) times.push_back(asked);
    for (const Time time : times) {
        const bool reached = time > best && is_quorum(disk.last_entry, [&](MemberId id) {
                                 const auto it = m.answered.find(id);
                                 return id == disk.self_id || (it != m.answered.end() && it->second >= time);
                             });
        if (reached) best = time;
    }
    return best;
}

void World::observe_lease(std::size_t i) {
    Machine& m = machines_[i];
    const RaftNode& raft = *m.raft;
    if (raft.role() == RaftNode::Role::Leader) {
        if (m.contact_term != raft.persistent_state().term) m.contact = {};
        m.contact_term = raft.persistent_state().term;
        m.contact = std::max(m.contact, contact(m));
    }
    if (raft.has_leader_lease(local(m))) {
        oracle_.require(now_ - m.contact <= register_options_.leader_lease, Invariant::NoStaleLease,
                        named(i) + " says that it leads in term " +
                            std::to_string(raft.persistent_state().term) +
                            ", and no majority answered a question of the last 900 ms");
    } else if (raft.role() != RaftNode::Role::Leader && raft.has_quorum_contact(local(m), kInTouch)) {
        oracle_.require(now_ - m.appended <= kInTouch, Invariant::NoStaleTouch,
                        named(i) +
                            " says that it is in touch, and no leader's message that was sent in the last "
                            "700 ms reached it");
    }
}

}  // namespace martenford::explorer
