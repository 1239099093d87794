// The invariants, each checked when something happens that may break it.
#include "mesh/register_explorer_oracle.h"

#include <algorithm>
#include <iterator>

namespace martenford::explorer {

void Oracle::report(Invariant invariant, std::string what) {
    if (!violation && !ignored_.contains(invariant)) violation = {invariant, std::move(what)};
}

bool Oracle::require(bool holds, Invariant invariant, const std::string& what) {
    if (!holds) report(invariant, what);
    return holds;
}

void Oracle::on_synced(const PersistentState& disk) {
    Acceptance& acceptance = accepted_[disk.last_entry.position];
    acceptance.by.insert(disk.self_id);
    acceptance.value = disk.last_entry.value;
    add_members(disk.last_entry);
}

void Oracle::on_sent(const Message& message, const PersistentState& disk) {
    const MemberId id = message.from.id;
    const bool vote = message.kind == Message::Kind::RequestVoteReply && message.granted && !message.pre_vote;
    const bool is_candidate = message.kind == Message::Kind::RequestVote && !message.pre_vote;
    if (vote || is_candidate) {
        const MemberId whom = vote ? message.to : id;
        require(members_.contains(id), Invariant::NoVoteWithoutMembership,
                std::to_string(id) + " votes in term " + std::to_string(message.term) +
                    " and was in no configuration");
        const auto [it, is_first] = votes_.emplace(std::pair{id, message.term}, whom);
        require(it->second == whom, Invariant::OneVotePerTerm,
                std::to_string(id) + " votes for " + std::to_string(whom) + " and for " +
                    std::to_string(it->second) + " in term " + std::to_string(message.term));
        require(disk.term > message.term || (disk.term == message.term && disk.voted_for == whom),
                Invariant::PersistedBeforeSent, "a vote that is not on disk: " + text_of(message));
    }
    const bool ack = message.kind == Message::Kind::AppendEntriesReply && message.granted;
    if (ack) {
        require(disk.term >= message.term && disk.last_entry.position >= message.last_position,
                Invariant::PersistedBeforeSent,
                "an acknowledgement of what is not on disk: " + text_of(message) + ", on disk " +
                    text_of(disk.last_entry) + " term " + std::to_string(disk.term));
    }
}

void Oracle::on_leader(MemberId id, Term term, const LogEntry& entry) {
    const auto [it, is_first] = leaders_.emplace(term, id);
    elections += is_first;
    if (!is_first && it->second == id) return;
    require(is_quorum(entry,
                      [&](MemberId voter) {
                          const auto vote = votes_.find({voter, term});
                          return voter == id || (vote != votes_.end() && vote->second == id);
                      }),
            Invariant::ElectedByMajority,
            std::to_string(id) + " leads in term " + std::to_string(term) + " without the votes of " +
                text_of(entry));
    require(
        it->second == id, Invariant::OneLeaderPerTerm,
        std::to_string(it->second) + " and " + std::to_string(id) + " lead in term " + std::to_string(term));
}

bool Oracle::on_majority(const LogEntry& entry) const {
    if (entry.position == LogPosition{}) return true;
    const auto it = accepted_.find(entry.position);
    return it != accepted_.end() && is_quorum(entry, [&](MemberId id) { return it->second.by.contains(id); });
}

void Oracle::on_committed(const LogEntry& entry) {
    if (entry.position == LogPosition{}) return;
    const auto known = committed_values_.lower_bound(entry.position);
    if (known != committed_values_.end() && known->first == entry.position) {
        require(known->second == entry.value, Invariant::CommittedNeverLost,
                "two values are committed as " + text_of(entry.position));
        return;
    }
    require(on_majority(entry), Invariant::CommittedOnMajority,
            text_of(entry) + " is called committed, and no majority ever had it on disk");
    if (known != committed_values_.end())
        require(known->second.starts_with(entry.value), Invariant::CommittedNeverLost,
                text_of(known->first) + " was committed without " + text_of(entry));
    if (known != committed_values_.begin()) {
        const auto& before = *std::prev(known);
        require(entry.value.starts_with(before.second), Invariant::CommittedNeverLost,
                text_of(entry) + " is committed without what " + text_of(before.first) +
                    " had: " + before.second);
    }
    for (const std::string& token : refused_) {
        require(entry.value.find(token) == std::string::npos, Invariant::RefusedNeverCommitted,
                token + " was refused and is in force");
    }
    committed_values_[entry.position] = entry.value;
    if (entry.position == committed_values_.rbegin()->first) in_force_ = entry;
}

void Oracle::on_configuration_change(const LogEntry& from, const LogEntry& to) {
    ++configuration_changes;
    require(on_majority(from), Invariant::ChangeOnCommitted,
            text_of(to) + " changes the members on top of the uncommitted " + text_of(from));
    std::vector<MemberId> all;
    const auto add = [&](const std::vector<Member>& members) {
        for (const Member& m : members) {
            if (std::find(all.begin(), all.end(), m.id) == all.end()) all.push_back(m.id);
        }
    };
    for (const LogEntry* entry : {&from, &to}) {
        add(entry->voters);
        add(entry->outgoing_voters);
    }
    const auto at = [&](MemberId id) {
        return static_cast<std::size_t>(std::find(all.begin(), all.end(), id) - all.begin());
    };
    for (std::size_t mask = 0; mask < std::size_t{1} << all.size(); ++mask) {
        const auto one = [&](MemberId id) { return (mask >> at(id) & 1) != 0 && !dead_.contains(id); };
        const auto other = [&](MemberId id) { return (mask >> at(id) & 1) == 0 && !dead_.contains(id); };
        if (is_quorum(from, one) && is_quorum(to, other))
            return report(Invariant::QuorumsOverlap,
                          "two majorities apart: " + text_of(from) + " to " + text_of(to));
    }
}

void Oracle::on_acknowledged(const std::string& token, std::size_t copies, std::size_t needed) {
    require(copies >= needed, Invariant::EnoughReplicas,
            token + " is acknowledged with " + std::to_string(copies) + " copies on disks, " +
                std::to_string(needed) + " are needed");
    require(committed_values_.empty() || committed_values_.rbegin()->second.find(token) != std::string::npos,
            Invariant::AcknowledgedReadable, token + " is acknowledged and not what is in force");
    if (std::find(acknowledged_.begin(), acknowledged_.end(), token) == acknowledged_.end())
        acknowledged_.push_back(token);
}

void Oracle::on_left(MemberId id) {
    const auto same = [&](const Member& m) { return m.id == id; };
    for (const auto* set : {&in_force_.voters, &in_force_.outgoing_voters})
        require(std::none_of(set->begin(), set->end(), same), Invariant::LeaverReplacedFirst,
                std::to_string(id) + " says that it has left " + text_of(in_force_));
}

void Oracle::on_refused(const std::string& token) {
    require(std::find(acknowledged_.begin(), acknowledged_.end(), token) == acknowledged_.end(),
            Invariant::AcknowledgedNeverRefused, token + " was acknowledged and is refused");
    for (const auto& [position, value] : committed_values_) {
        require(value.find(token) == std::string::npos, Invariant::AcknowledgedNeverRefused,
                token + " is refused and in force since " + text_of(position));
    }
    refused_.insert(token);
}

void Oracle::on_read(const std::string& value, std::size_t before) {
    for (std::size_t i = 0; i < before; ++i) {
        if (!require(value.find(acknowledged_[i]) != std::string::npos, Invariant::AcknowledgedReadable,
                     acknowledged_[i] + " was acknowledged before a read that doesn't show it"))
            return;
    }
}

void Oracle::add_members(const LogEntry& entry) {
    for (const Member& m : entry.voters) members_.insert(m.id);
}

}  // namespace martenford::explorer
