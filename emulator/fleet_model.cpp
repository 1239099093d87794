#include "emulator/fleet_model.h"

#include <algorithm>
#include <utility>

namespace martenford::emulator {

using fleet::Evidence;
using fleet::Fleet;
using fleet::Id;

namespace {

constexpr Duration kConnectTime = 1s;  // until a link that does not come up is given up
constexpr Duration kLook = 20ms;

std::string name_of_member(std::size_t member) {
    return "n" + std::to_string(member);
}

}  // namespace

FleetModel::FleetModel(const Options& options) : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.members; ++i) {
        members_.push_back(std::make_unique<Member>());
        by_address_[address_of(i)] = i;
        by_name_[name_of_member(i)] = i;
    }
}

void FleetModel::add(Time when, std::size_t member, std::function<void()> what) {
    events_.push({when, ++serial_, member, members_[member]->starts, std::move(what)});
}

Duration FleetModel::delay() {
    const auto spread = static_cast<double>((options_.delay_most - options_.delay_least).count());
    return options_.delay_least + Duration{static_cast<Duration::rep>(spread * chance())};
}

void FleetModel::start(std::size_t index) {
    Member& member = *members_[index];
    member.up = true;
    ++member.starts;
    member.stalled_until = {};
    member.links.clear();
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(options_.seeds, members_.size()); ++i)
        seeds.push_back(address_of(i));
    const fleet::LocalMember self{
        {name_of_member(index), random_() | 1}, address_of(index), "", "0.2.0", false};
    member.fleet = std::make_unique<Fleet>(options_.pace, std::move(seeds), self, random_());
    member.fleet->start(now_);
    pump(index);
}

void FleetModel::start_all(Duration within) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto after = static_cast<double>(within.count()) * chance();
        add(now_ + Duration{static_cast<Duration::rep>(after)}, i, [this, i] { start(i); });
    }
}

void FleetModel::run_until(Time when) {
    while (!events_.empty() && events_.top().at <= when) {
        const Event event = std::move(const_cast<Event&>(events_.top()));
        events_.pop();
        now_ = std::max(now_, event.at);
        Member& member = *members_[event.member];
        if (event.starts != member.starts) continue;
        if (member.up && member.stalled_until > now_) {
            // It stands still: what comes waits, in its order.
            events_.push({member.stalled_until, event.serial, event.member, event.starts, event.what});
            continue;
        }
        event.what();
    }
    now_ = std::max(now_, when);
}

bool FleetModel::run_until(const std::function<bool()>& so, Duration most) {
    for (const Time end = now_ + most; now_ < end; run_until(now_ + kLook)) {
        if (so()) return true;
    }
    return so();
}

void FleetModel::pump(std::size_t index) {
    Member& member = *members_[index];
    for (Fleet::Outgoing& send : member.fleet->take_outgoing()) carry(index, std::move(send));
    for (const fleet::StateChange& turn : member.fleet->take_state_changes()) {
        const auto subject = by_name_.find(turn.id.name);
        if (subject != by_name_.end())
            seen_.push_back({now_, index, subject->second, turn.id.boot, turn.state});
    }
    for (fleet::FleetEvent& change : member.fleet->take_events())
        changes_.emplace_back(index, std::move(change));
    const std::uint64_t serial = ++member.tick_serial;
    add(std::max(member.fleet->next_tick(), now_ + 1us), index, [this, index, serial] {
        Member& member = *members_[index];
        if (!member.up || serial != member.tick_serial) return;
        member.fleet->tick(now_);
        pump(index);
    });
}

void FleetModel::linked(std::size_t a, std::size_t b) {
    auto& links = members_[a]->links;
    const auto it = std::find(links.begin(), links.end(), b);
    if (it != links.end()) links.erase(it);
    links.push_back(b);
    fleet::Fleet& fleet = *members_[a]->fleet;
    if (members_[b]->up) fleet.set_connected(members_[b]->fleet->self().id, true);
    if (links.size() <= options_.links) return;
    fleet.set_connected(members_[links.front()]->fleet->self().id, false);
    links.pop_front();
}

void FleetModel::carry(std::size_t from, Fleet::Outgoing&& send) {
    ++figures_.messages;
    if (options_.count_bytes) figures_.bytes += fleet::frame_of(send.message).size();
    const auto found = by_address_.find(send.address);
    const std::size_t to = found == by_address_.end() ? members_.size() : found->second;
    const bool reaches = to < members_.size() && !cuts_.contains({from, to}) && !cuts_.contains({to, from});
    const auto fails = [&](Evidence evidence, Duration after) {
        add(now_ + after, from, [this, from, address = send.address, evidence] {
            if (!members_[from]->up) return;
            members_[from]->fleet->connect_failed(now_, address, evidence);
            pump(from);
        });
    };
    const bool has_link =
        to < members_.size() && std::find(members_[from]->links.begin(), members_[from]->links.end(), to) !=
                                    members_[from]->links.end();
    if (to >= members_.size() || (!reaches && !has_link)) return fails(Evidence::Silent, kConnectTime);
    if (!members_[to]->up) return fails(Evidence::Gone, delay());
    linked(from, to);
    linked(to, from);
    if (cuts_.contains({from, to}) || chance() < options_.drop) return;
    const Id there = members_[to]->fleet->self().id;
    if (send.to != there && !cuts_.contains({to, from})) {
        add(now_ + delay() * 2, from, [this, from, address = send.address, there] {
            if (!members_[from]->up) return;
            members_[from]->fleet->peer_identified(now_, address, there);
            pump(from);
        });
    }
    const Id self = members_[from]->fleet->self().id;
    add(now_ + delay(), to, [this, to, self, address = address_of(from), message = std::move(send.message)] {
        if (!members_[to]->up) return;
        members_[to]->fleet->receive(now_, self, address, message);
        pump(to);
    });
}

void FleetModel::inject(std::size_t to, const Id& from, const std::string& address,
                        const fleet::Message& message) {
    members_[to]->fleet->receive(now_, from, address, message);
    pump(to);
}

void FleetModel::kill(std::size_t index) {
    Member& member = *members_[index];
    if (!member.up) return;
    member.up = false;
    ++member.starts;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto& links = members_[i]->links;
        if (!members_[i]->up || std::find(links.begin(), links.end(), index) == links.end()) continue;
        if (cuts_.contains({index, i})) continue;
        add(now_ + delay(), i, [this, i, index, id = members_[index]->fleet->self().id] {
            if (!members_[i]->up) return;
            members_[i]->fleet->set_connected(id, false);
            members_[i]->fleet->link_lost(now_, address_of(index));
            pump(i);
        });
    }
}

void FleetModel::stall(std::size_t index, Duration length) {
    members_[index]->stalled_until = now_ + length;
}

void FleetModel::leave(std::size_t index) {
    if (!members_[index]->up) return;
    members_[index]->fleet->leave(now_);
    pump(index);
    add(now_ + 1s, index, [this, index] { kill(index); });
}

void FleetModel::cut(std::size_t from, std::size_t to, bool cut) {
    if (cut) {
        cuts_.insert({from, to});
    } else {
        cuts_.erase({from, to});
    }
}

void FleetModel::cut_apart(const std::set<std::size_t>& group, bool cut_them) {
    for (const std::size_t a : group) {
        for (std::size_t b = 0; b < members_.size(); ++b) {
            if (group.contains(b)) continue;
            cut(a, b, cut_them);
            cut(b, a, cut_them);
        }
    }
}

bool FleetModel::all_agree() const {
    std::set<Id> up;
    for (const auto& member : members_) {
        if (member->up) up.insert(member->fleet->self().id);
    }
    for (const auto& member : members_) {
        if (!member->up) continue;
        if (member->fleet->live_count() != up.size()) return false;
        for (const fleet::MemberView& view : member->fleet->members()) {
            const bool alive = view.state == fleet::ObservedState::Alive;
            const bool gone =
                view.state == fleet::ObservedState::Dead || view.state == fleet::ObservedState::Left;
            if (up.contains(view.id) ? !alive : !gone) return false;
        }
    }
    return true;
}

}  // namespace martenford::emulator
