// World: a model of config_service, and the operators that call it.
#include <algorithm>

#include "mesh/register_explorer_world.h"

namespace martenford::explorer {

void World::settle(std::size_t i) {
    Machine& m = machines_[i];
    RaftNode& raft = *m.raft;
    const Time now = local(m);
    oracle_.committed(raft.persistent_state().committed_entry);
    while (!m.calls.empty() && !oracle_.broken) {
        Call& call = m.calls.front();
        std::optional<int> status;
        if (call.proposed) {
            if (!raft.may_still_commit(*call.proposed)) {
                status = 503;
            } else if (raft.is_durable(*call.proposed)) {
                status = 200;
                call.value = raft.persistent_state().committed_entry.value;
            }
        } else if (call.confirmation) {
            if (raft.is_read_confirmed(*call.confirmation)) {
                status = call.decided;
                oracle_.require(std::max(m.contact, contact(m)) >= call.confirmation_asked,
                                Invariant::NoStaleConfirmation,
                                named(i) + " is confirmed by answers to questions from before it asked");
            }
        }
        if (!status && !call.proposed && !raft.has_leader_lease(now)) status = 307;
        if (!status && now >= call.until) status = 503;
        if (!status && !call.proposed && !call.confirmation) {
            decide(i, call);
            if (call.proposed || call.confirmation) continue;
        }
        if (!status) return;
        const Call done = std::move(call);
        m.calls.pop_front();
        answer(i, done, *status);
    }
}

void World::decide(std::size_t i, Call& call) {
    RaftNode& raft = *machines_[i].raft;
    const Time now = local(machines_[i]);
    const std::string& value = raft.persistent_state().committed_entry.value;
    if (call.reads || value.find(call.token) != std::string::npos) {
        call.decided = 200;
    } else if (!value.ends_with(call.base) || (call.base.empty() && !value.empty())) {
        call.decided = 412;
    } else {
        call.proposed = raft.propose(now, value + call.token);
        return;
    }
    call.value = value;
    call.confirmation = raft.request_read_index(now);
    call.confirmation_asked = now_;
}

void World::answer(std::size_t i, const Call& call, int status) {
    if (call.reads && status == 200) {
        ++counts_.reads;
        oracle_.read(call.value, call.acknowledged_before);
    } else if (status == 200) {
        note(named(i), " acknowledges ", call.token);
        std::size_t copies = 0, lost = 0;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (machines_[k].gone) continue;
            lost += is_lost(k) && machines_[k].counts;
            copies +=
                !is_lost(k) && machines_[k].synced.last_entry.value.find(call.token) != std::string::npos;
        }
        // What is lost can't be lost once more; where more is lost than is to be borne, nothing is asked.
        oracle_.acknowledged(
            call.token, copies,
            lost > shape_.tolerated ? 0 : std::max<std::size_t>(1, shape_.tolerated + 1 - lost));
    } else if (status == 412) {
        ++counts_.refused;
        note(named(i), " refuses ", call.token, " on ", call.base, " at ", call.value);
        oracle_.refused(call.token);
    } else {
        ++counts_.unclear;
    }
    if (!quiet_ && random_.unit() < 0.15) return;  // the answer is lost
    after(spread(0ms, 15ms), [this, call, status] { answered(call, status); });
}

void World::operate(std::size_t k) {
    Operator& o = operators_[k];
    if (o.token.empty() && !o.reading) {
        if (!o.done.empty() && random_.unit() < 0.15) {  // an old one again
            const std::size_t which = random_.below(o.done.size());
            call(k, false, o.done[which], o.done_base[which], 0);
        }
        if (random_.unit() < 0.25) {
            o.reading = true;
        } else {
            o.token = std::string(1, static_cast<char>('A' + k)) + std::to_string(++o.made) + ";";
            o.base = o.known;
        }
    }
    const std::uint64_t number = ++o.number;
    call(k, o.reading, o.token, o.base, number);
    after(kCallAgain, [this, k, number] {
        if (operators_[k].number == number) operate(k);  // once more, to any
    });
}

void World::call(std::size_t k, bool reads, const std::string& token, const std::string& base,
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
    after(spread(0ms, 15ms), [this, i, call] {
        Machine& m = machines_[i];
        const auto come = [this, i, call] {
            Machine& there = machines_[i];
            there.calls.push_back(call);
            there.calls.back().until = local(there) + kLongestCall;
            settle(i);
            turn(i);
        };
        if (!m.raft) return;
        runs(i) ? come() : m.inbox.push_back(come);
    });
}

void World::answered(const Call& call, int status) {
    Operator& o = operators_[call.operator_number];
    if (call.number != o.number) {  // of an old try, or of an old order that was sent again
        return;
    }
    ++o.number;
    Duration next = spread(20ms, 400ms);
    if (status == 200 && call.reads) {
        o.reading = false;
        const auto last =
            call.value.size() < 2 ? std::string::npos : call.value.rfind(';', call.value.size() - 2);
        o.known = last == std::string::npos ? call.value : call.value.substr(last + 1);
    } else if (status == 200) {
        o.done.push_back(o.token);
        o.done_base.push_back(o.base);
        o.known = std::exchange(o.token, "");
    } else if (status == 412) {
        o.token.clear();
        o.reading = true;
    } else {
        next = spread(50ms, 200ms);
    }
    after(next, [this, k = call.operator_number, number = o.number] {
        if (operators_[k].number == number) operate(k);
    });
}

}  // namespace martenford::explorer
