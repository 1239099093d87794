#include "emulator/state_model.h"

#include <algorithm>

namespace martenford::emulator {

using replica::Message;
using replica::Replica;

namespace {
constexpr replica::WallTime kEpoch = 1'800'000'000'000;  // of the wall clocks, in milliseconds
}

StateModel::StateModel(const Options& options) : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.members; ++i) {
        members_.push_back(std::make_unique<Member>());
        members_[i]->model = this;
        members_[i]->number = i;
    }
}

std::vector<replica::Peer> StateModel::Member::sample(std::size_t count) {
    std::vector<std::size_t> picked;
    const std::size_t n = model->members_.size();
    if (4 * count >= n) {
        for (std::size_t i = 0; i < n; ++i) picked.push_back(i);
        std::shuffle(picked.begin(), picked.end(), model->random_);
    } else {
        for (std::size_t tries = 0; tries < 4 * count; ++tries) {
            const std::size_t one = model->random_() % n;
            if (std::find(picked.begin(), picked.end(), one) == picked.end()) picked.push_back(one);
        }
    }
    std::vector<replica::Peer> result;
    for (const std::size_t one : picked) {
        if (result.size() >= count) break;
        if (one != number && model->reaches(one, number)) result.push_back(model->other(one));
    }
    return result;
}

std::size_t StateModel::Member::live_count() const {
    std::size_t live = 0;
    for (std::size_t i = 0; i < model->members_.size(); ++i) live += model->reaches(i, number) ? 1 : 0;
    return live;
}

replica::Peer StateModel::other(std::size_t member) const {
    return {members_[member]->copy->self(), std::to_string(member)};
}

void StateModel::start(std::size_t member, replica::Timestamp horizon,
                       std::vector<replica::NamedEntry> entries) {
    Member& m = *members_[member];
    ++m.starts;
    m.copy = std::make_unique<Replica>(options_.pace, fleet::Id{"n" + std::to_string(member), random_() | 1},
                                       m, random_());
    m.copy->restore(horizon, std::move(entries), wall(member));
    m.copy->tick(now_, wall(member));
    pump(member);
}

void StateModel::start_all() {
    for (std::size_t i = 0; i < members_.size(); ++i) start(i);
}

void StateModel::kill(std::size_t member) {
    ++members_[member]->starts;
    members_[member]->copy.reset();
}

void StateModel::restart_with_disk(std::size_t member) {
    std::vector<replica::NamedEntry> kept;
    const replica::Timestamp horizon = copy(member).horizon();
    copy(member).for_each("", [&](const replica::EntryName& name, const replica::Entry& entry) {
        kept.push_back({name, entry});
    });
    kill(member);
    start(member, horizon, std::move(kept));
}

void StateModel::partition(const std::set<std::size_t>& group) {
    apart_ = group;
}

replica::WallTime StateModel::wall(std::size_t member) const {
    return kEpoch +
           static_cast<replica::WallTime>(now_.time_since_epoch() / 1ms + members_[member]->ahead_ms);
}

void StateModel::add(Time when, std::size_t member, std::function<void()> what) {
    events_.push({when, ++serial_, member, members_[member]->starts, std::move(what)});
}

void StateModel::pump(std::size_t member) {
    Member& m = *members_[member];
    for (Replica::Outgoing& send : m.copy->take_outgoing()) {
        const std::size_t to = std::stoul(send.to.address);
        ++figures_.messages;
        if (options_.count_bytes) {
            const std::string bytes = bytes_of(send.message);
            figures_.bytes += bytes.size();
            send.message = replica::read_message(bytes);
        }
        if (!reaches(member, to) || members_[to]->copy->self() != send.to.id) continue;
        if (options_.drop > 0.0 && chance() < options_.drop) continue;
        const int times = options_.duplicate > 0.0 && chance() < options_.duplicate ? 2 : 1;
        const auto message = std::make_shared<Message>(std::move(send.message));
        for (int n = 0; n < times; ++n) {
            const auto spread = static_cast<double>((options_.delay_most - options_.delay_least).count());
            const Time when =
                now_ + options_.delay_least + Duration{static_cast<Duration::rep>(chance() * spread)};
            add(when, to, [this, to, from = other(member), message] {
                copy(to).receive(now_, wall(to), from, *message);
                pump(to);
            });
        }
    }
    for (const Replica::Outcome& outcome : m.copy->take_outcomes()) m.outcomes.push_back(outcome);
    m.copy->take_changed_names();
    const std::uint64_t serial = ++m.tick_serial;
    add(std::max(now_, m.copy->next()), member, [this, member, serial] {
        if (members_[member]->tick_serial != serial) return;
        copy(member).tick(now_, wall(member));
        pump(member);
    });
}

void StateModel::run_for(Duration time) {
    const Time until = now_ + time;
    while (!events_.empty() && events_.top().at <= until) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        if (members_[event.member]->starts == event.starts) event.what();
    }
    now_ = until;
}

bool StateModel::run_until(const std::function<bool()>& so, Duration most) {
    const Time until = now_ + most;
    while (!so()) {
        if (now_ >= until) return false;
        run_for(10ms);
    }
    return true;
}

Replica::Ticket StateModel::put(std::size_t member, const std::string& table, const std::string& key,
                                const std::string& text, const replica::WriteConcern& reach,
                                replica::WallTime expires) {
    std::string error;
    replica::Write write;
    write.name = {table, key};
    if (const auto value = replica::read_value(table, text, error)) write.value = *value;
    write.expires = expires;
    return this->write(member, std::move(write), reach);
}

Replica::Ticket StateModel::write(std::size_t member, replica::Write write,
                                  const replica::WriteConcern& reach) {
    const auto ticket = copy(member).write(now_, wall(member), std::move(write), reach);
    pump(member);
    return ticket;
}

Replica::Ticket StateModel::remove(std::size_t member, const std::string& table, const std::string& key) {
    replica::Write write;
    write.name = {table, key};
    write.deleted = true;
    return this->write(member, std::move(write));
}

std::string StateModel::get(std::size_t member, const std::string& table, const std::string& key) {
    const replica::Version* version = copy(member).get({table, key}, wall(member));
    return version ? replica::text_of(table, version->value) : "-";
}

bool StateModel::all_equal() const {
    const Replica* first = nullptr;
    for (const auto& member : members_) {
        if (!member->copy) continue;
        if (!first) first = member->copy.get();
        if (member->copy->digest() != first->digest()) return false;
    }
    return true;
}

const Replica::Outcome* StateModel::outcome(std::size_t member, std::uint64_t ticket) const {
    for (const auto& outcome : members_[member]->outcomes) {
        if (outcome.ticket == ticket) return &outcome;
    }
    return nullptr;
}

}  // namespace martenford::emulator
