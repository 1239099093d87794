// World: a model of config_service, and the operators that call it.
#include <algorithm>

#include "mesh/register_explorer_world.h"

namespace martenford::explorer {

void World::process_calls(std::size_t i) {
    Machine& m = machines_[i];
    RaftNode& raft = *m.raft;
    const Time now = local(m);
    oracle_.on_committed(raft.persistent_state().committed_entry);
    while (!m.calls.empty() && !oracle_.violation) {
        Call& call = m.calls.front();
        std::optional<int> status = status_of(i, call);
        if (!status && !call.proposed && !raft.has_leader_lease(now)) status = 307;
        if (!status && now >= call.deadline) status = 503;
        if (!status && !call.proposed && !call.read_index) {
            decide(i, call);
            if (call.proposed || call.read_index) continue;
        }
        if (!status) return;
        const Call done = std::move(call);
        m.calls.pop_front();
        answer(i, done, *status);
    }
}

std::optional<int> World::status_of(std::size_t i, Call& call) {
    const Machine& m = machines_[i];
    const RaftNode& raft = *m.raft;
    if (call.proposed) {
        if (!raft.may_still_commit(*call.proposed)) return 503;
        if (!raft.is_durable(*call.proposed)) return std::nullopt;
        call.value = raft.persistent_state().committed_entry.value;
        return 200;
    }
    if (!call.read_index || !raft.is_read_confirmed(*call.read_index)) return std::nullopt;
    oracle_.require(std::max(m.quorum_contact_at, quorum_contact_at(m)) >= call.read_index_requested_at,
                    Invariant::NoStaleConfirmation,
                    machine_name(i) + " is confirmed by replies to requests from before the read");
    return call.confirmed_status;
}

void World::decide(std::size_t i, Call& call) {
    RaftNode& raft = *machines_[i].raft;
    const Time now = local(machines_[i]);
    const std::string& value = raft.persistent_state().committed_entry.value;
    if (call.reads || value.find(call.token) != std::string::npos) {
        call.confirmed_status = 200;
    } else if (!value.ends_with(call.base) || (call.base.empty() && !value.empty())) {
        call.confirmed_status = 412;
    } else {
        call.proposed = raft.propose(now, value + call.token);
        return;
    }
    call.value = value;
    call.read_index = raft.request_read_index(now);
    call.read_index_requested_at = now_;
}

void World::answer(std::size_t i, const Call& call, int status) {
    if (call.reads && status == 200) {
        ++counts_.reads;
        oracle_.on_read(call.value, call.acknowledged_before);
    } else if (status == 200) {
        record_step(machine_name(i), " acknowledges ", call.token);
        std::size_t copies = 0, failed = 0;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (machines_[k].removed) continue;
            failed += is_failed(k) && machines_[k].loss_counted;
            copies +=
                !is_failed(k) && machines_[k].synced.last_entry.value.find(call.token) != std::string::npos;
        }
        // Present failures use up some of those to tolerate; with more of them than that, nothing is
        // required.
        oracle_.on_acknowledged(
            call.token, copies,
            failed > shape_.tolerated ? 0 : std::max<std::size_t>(1, shape_.tolerated + 1 - failed));
    } else if (status == 412) {
        ++counts_.refused;
        record_step(machine_name(i), " refuses ", call.token, " on ", call.base, " at ", call.value);
        oracle_.on_refused(call.token);
    } else {
        ++counts_.outcome_unknown;
    }
    if (!faults_ended_ && random_.unit() < 0.15) return;  // the answer is lost
    schedule_after(random_duration(0ms, 15ms), [this, call, status] { on_answer(call, status); });
}

void World::run_operator(std::size_t k) {
    Operator& o = operators_[k];
    if (o.token.empty() && !o.reading) {
        if (!o.acknowledged_tokens.empty() && random_.unit() < 0.15) {  // an acknowledged order again
            const std::size_t which = random_.below(o.acknowledged_tokens.size());
            send_call(k, false, o.acknowledged_tokens[which], o.acknowledged_bases[which], 0);
        }
        if (random_.unit() < 0.25) {
            o.reading = true;
        } else {
            o.token = std::string(1, static_cast<char>('A' + k)) + std::to_string(++o.made) + ";";
            o.base = o.known;
        }
    }
    const std::uint64_t number = ++o.number;
    send_call(k, o.reading, o.token, o.base, number);
    schedule_after(kCallRetryInterval, [this, k, number] {
        if (operators_[k].number == number) run_operator(k);  // again, at any machine
    });
}

void World::send_call(std::size_t k, bool reads, const std::string& token, const std::string& base,
                      std::uint64_t number) {
    std::vector<std::size_t> up, leading;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (!machines_[i].raft) continue;
        up.push_back(i);
        if (machines_[i].raft->role() == RaftNode::Role::Leader) leading.push_back(i);
    }
    if (up.empty()) return;
    const auto& from = leading.empty() || random_.unit() < 0.1 ? up : leading;
    const std::size_t i = from[random_.below(from.size())];
    Call call;
    call.operator_number = k;
    call.number = number;
    call.reads = reads;
    call.token = token;
    call.base = base;
    call.acknowledged_before = oracle_.acknowledgements();
    schedule_after(random_duration(0ms, 15ms), [this, i, call] {
        Machine& m = machines_[i];
        const auto come = [this, i, call] {
            Machine& there = machines_[i];
            there.calls.push_back(call);
            there.calls.back().deadline = local(there) + kCallTimeout;
            process_calls(i);
            process_output(i);
        };
        if (!m.raft) return;
        if (is_running(i)) return come();
        m.inbox.emplace_back(come);
    });
}

void World::on_answer(const Call& call, int status) {
    Operator& o = operators_[call.operator_number];
    if (call.number != o.number) {  // of an earlier attempt, or of an acknowledged order
        return;
    }
    ++o.number;
    Duration next = random_duration(20ms, 400ms);
    if (status == 200 && call.reads) {
        o.reading = false;
        const auto last =
            call.value.size() < 2 ? std::string::npos : call.value.rfind(';', call.value.size() - 2);
        o.known = last == std::string::npos ? call.value : call.value.substr(last + 1);
    } else if (status == 200) {
        o.acknowledged_tokens.push_back(o.token);
        o.acknowledged_bases.push_back(o.base);
        o.known = std::exchange(o.token, "");
    } else if (status == 412) {
        o.token.clear();
        o.reading = true;
    } else {
        next = random_duration(50ms, 200ms);
    }
    schedule_after(next, [this, k = call.operator_number, number = o.number] {
        if (operators_[k].number == number) run_operator(k);
    });
}

}  // namespace martenford::explorer
