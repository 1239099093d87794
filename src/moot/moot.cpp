#include "moot/moot.h"

#include <algorithm>
#include <utility>

namespace martenford::moot {

namespace {
constexpr Duration kEntryAgain = 400ms;   // an entry that wasn't acknowledged is sent again after this
constexpr Duration kForgetLearner = 10s;  // a learner that was not heard of for so long
constexpr std::size_t kMostPeers = 64;    // others that are known: the core is few
}  // namespace

Moot::Moot(Member self, Disk disk, const Options& options, std::uint64_t seed)
    : self_(std::move(self)), disk_(std::move(disk)), options_(options), random_(seed | 1) {
    for (const Member& voter : disk_.newest.voters) {
        if (voter.id != self_.id) peers_[voter.id].member = voter;
    }
}

std::uint64_t Moot::random() {  // SplitMix64
    std::uint64_t z = random_ += 0x9e3779b97f4a7c15;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
}

bool Moot::is_voter(MemberId id) const {
    const auto& voters = disk_.newest.voters;
    return std::any_of(voters.begin(), voters.end(), [&](const Member& m) { return m.id == id; });
}

std::size_t Moot::learners() const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) { return !is_voter(p.first); }));
}

void Moot::draw_election(Time now) {
    const auto span = static_cast<std::uint64_t>(options_.election_least.count());
    election_at_ = now + options_.election_least + Duration{static_cast<Duration::rep>(random() % span)};
}

void Moot::send(Message message, MemberId to) {
    message.from = self_;
    message.to = to;
    out_.push_back(std::move(message));
}

bool Moot::leads(Time now) const {
    return role_ == Role::Leader && !disk_broken_ && disk_.committed.stamp.term == disk_.term &&
           (disk_.newest.voters.size() == 1 || now - quorum_at_ < options_.lease);
}

bool Moot::in_touch(Time now, Duration within) const {
    if (role_ == Role::Leader) return leads(now);
    return leader_ && heard_any_ && now - heard_ < within;
}

void Moot::become_follower(Time now, Term term, std::optional<Member> leader) {
    if (term > disk_.term) {
        disk_.term = term;
        disk_.voted_for = 0;
        dirty_ = true;
    }
    role_ = Role::Follower;
    led_since_.reset();
    leader_ = std::move(leader);
    votes_.clear();
    draw_election(now);
}

void Moot::tick(Time now) {
    // One that has just started would have heard a leader by now if there were one.
    if (election_at_ == Time{})
        election_at_ = now + options_.heartbeat +
                       Duration{static_cast<Duration::rep>(
                           random() % static_cast<std::uint64_t>(options_.election_least.count()))};
    if (role_ == Role::Leader) {
        // A leader that no majority hears is none: guards against two that both answer.
        if (disk_.newest.voters.size() > 1 && now - quorum_at_ >= options_.lease) {
            return become_follower(now, disk_.term, std::nullopt);
        }
        if (now >= next_beat_) send_appends(now);
        change_members(now);
        return;
    }
    if (now >= election_at_ && is_voter() && !disk_broken_) stand(now, true);
}

void Moot::stand(Time now, bool pre) {
    role_ = Role::Candidate;
    leader_.reset();
    pre_ = pre;
    votes_.clear();
    if (!pre) {
        ++disk_.term;
        disk_.voted_for = self_.id;
        dirty_ = true;
    }
    votes_[self_.id] = true;
    draw_election(now);
    Message ask;
    ask.kind = Message::Kind::AskVote;
    ask.term = pre ? disk_.term + 1 : disk_.term;
    ask.pre = pre;
    ask.newest = disk_.newest.stamp;
    for (const Member& voter : disk_.newest.voters) {
        if (voter.id != self_.id) send(ask, voter.id);
    }
    count_votes(now);
}

void Moot::count_votes(Time now) {
    std::size_t yes = 0;
    for (const auto& [id, vote] : votes_) yes += vote && is_voter(id);
    if (yes < majority()) return;
    if (pre_) return stand(now, false);
    lead(now);
}

void Moot::lead(Time now) {
    role_ = Role::Leader;
    leader_ = self_;
    led_since_ = now;
    quorum_at_ = now;  // the votes are a majority's answers
    for (auto& [id, peer] : peers_) {
        peer.holds = {};
        peer.entry_sent = {};
        peer.acked = now;
        peer.round = 0;
    }
    confirmed_ = 0;
    // An entry of its own term, with the value that it found: what was uncertain is settled by this one.
    append(now, disk_.newest.voters, disk_.newest.value);
}

void Moot::append(Time now, std::vector<Member> voters, std::string value) {
    disk_.newest = Entry{{disk_.term, disk_.newest.stamp.index + 1}, std::move(voters), std::move(value)};
    dirty_ = true;
    for (const Member& voter : disk_.newest.voters) {
        if (voter.id == self_.id) continue;
        Peer& peer = peers_[voter.id];
        if (peer.member != voter) peer.acked = now;
        peer.member = voter;
    }
    advance(now);
    send_appends(now);
}

void Moot::send_appends(Time now) {
    next_beat_ = now + options_.heartbeat;
    ++round_;
    std::erase_if(peers_, [&](const auto& entry) {
        return !is_voter(entry.first) &&
               now - std::max(entry.second.acked, entry.second.met) > kForgetLearner;
    });
    for (auto& [id, peer] : peers_) send_append(now, peer);
}

void Moot::send_append(Time now, Peer& peer) {
    Message message;
    message.kind = Message::Kind::Append;
    message.term = disk_.term;
    message.newest = disk_.newest.stamp;
    message.committed = disk_.committed.stamp;
    message.round = round_;
    const bool lacks = peer.holds != disk_.newest.stamp;
    if (lacks && (peer.entry_sent != disk_.newest.stamp || now - peer.sent_entry >= kEntryAgain)) {
        message.entry = disk_.newest;
        peer.entry_sent = disk_.newest.stamp;
        peer.sent_entry = now;
    }
    send(std::move(message), peer.member.id);
}

void Moot::advance(Time now) {
    if (role_ != Role::Leader) return;
    std::size_t hold = 0;
    std::vector<std::uint64_t> rounds;
    std::vector<Time> acks;
    for (const Member& voter : disk_.newest.voters) {
        if (voter.id == self_.id) {
            ++hold;
            rounds.push_back(round_);
            acks.push_back(now);
            continue;
        }
        const auto peer = peers_.find(voter.id);
        if (peer == peers_.end()) continue;
        hold += peer->second.holds == disk_.newest.stamp;
        rounds.push_back(peer->second.round);
        acks.push_back(peer->second.acked);
    }
    std::sort(rounds.rbegin(), rounds.rend());
    std::sort(acks.rbegin(), acks.rend());
    if (rounds.size() >= majority()) {
        confirmed_ = std::max(confirmed_, rounds[majority() - 1]);
        quorum_at_ = std::max(quorum_at_, acks[majority() - 1]);
    }
    if (hold >= majority() && disk_.committed.stamp < disk_.newest.stamp) {
        disk_.committed = disk_.newest;
        dirty_ = true;
        next_beat_ = now;  // the others are told at once
    }
}

std::optional<Stamp> Moot::propose(Time now, std::string value) {
    if (!leads(now) || disk_.committed.stamp != disk_.newest.stamp) return std::nullopt;
    append(now, disk_.newest.voters, std::move(value));
    return disk_.newest.stamp;
}

std::uint64_t Moot::ask_confirmation(Time now) {
    if (role_ == Role::Leader) send_appends(now);
    if (disk_.newest.voters.size() == 1) confirmed_ = round_;
    return round_;
}

void Moot::hand_over(Time now) {
    if (role_ != Role::Leader) return;
    const Peer* best = nullptr;
    for (const auto& [id, peer] : peers_) {
        if (!is_voter(id) || now - peer.acked > options_.lease) continue;
        if (!best || peer.holds > best->holds) best = &peer;
    }
    if (!best) return;
    Message message;
    message.kind = Message::Kind::TakeOver;
    message.term = disk_.term;
    send(std::move(message), best->member.id);
}

void Moot::disk_failed(Time now) {
    disk_broken_ = true;
    out_.clear();
    if (role_ == Role::Leader) {
        hand_over(now);
        auto last = std::exchange(out_, {});
        become_follower(now, disk_.term, std::nullopt);
        out_ = std::move(last);
    }
    dirty_ = true;  // tried again
}

/// A voter's place goes to a learner that has all, where the voter's disk is lost (another member has its
/// address) or it was silent for long. One step at a time: first the learner comes in, then the other goes.
void Moot::change_members(Time now) {
    if (!leads(now) || disk_.committed.stamp != disk_.newest.stamp) return;
    const auto& voters = disk_.newest.voters;
    const Member* lost = nullptr;
    bool superseded = false;
    for (const Member& voter : voters) {
        if (voter.id == self_.id) continue;
        const auto peer = peers_.find(voter.id);
        // Another at its address that answered later than it: its disk is gone for good.
        const bool replaced =
            peer != peers_.end() && std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
                return p.first != voter.id && p.second.member.address == voter.address &&
                       p.second.acked > peer->second.acked && now - p.second.acked < options_.lease;
            });
        const bool silent = peer == peers_.end() || now - peer->second.acked > options_.replace_after;
        if (replaced) {
            lost = &voter;
            superseded = true;
        } else if (silent && !superseded) {
            lost = &voter;
        }
    }
    if (voters.size() > options_.voters) {  // one came in: now another goes
        const Member* goes = lost;
        Time oldest = now;
        for (const Member& voter : voters) {
            if (goes || voter.id == self_.id) continue;
            const auto peer = peers_.find(voter.id);
            if (peer != peers_.end() && peer->second.acked <= oldest && !lost) oldest = peer->second.acked;
        }
        for (const Member& voter : voters) {
            if (goes || voter.id == self_.id) continue;
            const auto peer = peers_.find(voter.id);
            if (peer != peers_.end() && peer->second.acked == oldest) goes = &voter;
        }
        if (!goes) return;
        std::vector<Member> rest;
        for (const Member& voter : voters) {
            if (voter.id != goes->id) rest.push_back(voter);
        }
        return append(now, std::move(rest), disk_.newest.value);
    }
    if (voters.size() == options_.voters && !lost) return;
    // The learner at a lost disk's own address first: it is surely here to stay.
    const Peer* taker = nullptr;
    for (const auto& [id, peer] : peers_) {
        if (is_voter(id) || peer.holds != disk_.newest.stamp || now - peer.acked > options_.lease) continue;
        if (!taker || (lost && peer.member.address == lost->address)) taker = &peer;
    }
    if (!taker) return;
    auto with = voters;
    if (superseded && taker->member.address == lost->address) {
        // One step: no majority with the lost disk can ever form again, so that none of before and of after
        // are apart.
        std::replace(with.begin(), with.end(), Member(*lost), taker->member);
    } else {
        with.push_back(taker->member);
    }
    append(now, std::move(with), disk_.newest.value);
}

void Moot::met(Time now, const Member& member) {
    if (member.id == self_.id || member.id == 0) return;
    const auto known = peers_.find(member.id);
    if (known == peers_.end() && peers_.size() >= kMostPeers) return;
    Peer& peer = peers_[member.id];
    peer.met = now;
    if (!is_voter(member.id)) peer.member = member;
}

void Moot::receive(Time now, const Message& message) {
    if (message.to != self_.id) return;
    switch (message.kind) {
        case Message::Kind::AskVote:
            return on_ask_vote(now, message);
        case Message::Kind::Vote:
            return on_vote(now, message);
        case Message::Kind::Append:
            return on_append(now, message);
        case Message::Kind::Ack:
            return on_ack(now, message);
        case Message::Kind::TakeOver:
            if (message.term == disk_.term && is_voter() && !disk_broken_ && role_ == Role::Follower)
                stand(now, false);
            return;
    }
}

void Moot::on_ask_vote(Time now, const Message& message) {
    Message vote;
    vote.kind = Message::Kind::Vote;
    vote.pre = message.pre;
    // Whoever hears a leader lets nobody else stand: guards against one that was cut off and comes back.
    const bool led =
        (role_ == Role::Leader && leads(now)) ||
        (leader_ && heard_any_ && now - heard_ < options_.election_least && leader_->id != message.from.id);
    const bool has_all = message.newest >= disk_.newest.stamp;
    if (message.pre) {
        vote.yes = !led && has_all && message.term > disk_.term && is_voter() && !disk_broken_;
        vote.term = vote.yes ? message.term : disk_.term;
        return send(std::move(vote), message.from.id);
    }
    if (message.term > disk_.term) become_follower(now, message.term, std::nullopt);
    const bool free = disk_.voted_for == 0 || disk_.voted_for == message.from.id;
    vote.yes =
        message.term == disk_.term && free && has_all && is_voter() && !disk_broken_ && role_ != Role::Leader;
    if (vote.yes && disk_.voted_for == 0) {
        disk_.voted_for = message.from.id;
        dirty_ = true;
    }
    if (vote.yes) draw_election(now);
    vote.term = disk_.term;
    send(std::move(vote), message.from.id);
}

void Moot::on_vote(Time now, const Message& message) {
    if (!message.pre && message.term > disk_.term) return become_follower(now, message.term, std::nullopt);
    if (message.pre && !message.yes && message.term > disk_.term)
        return become_follower(now, message.term, std::nullopt);
    if (role_ != Role::Candidate || message.pre != pre_) return;
    if (message.term != (pre_ ? disk_.term + 1 : disk_.term)) return;
    votes_[message.from.id] = message.yes;
    count_votes(now);
}

void Moot::on_append(Time now, const Message& message) {
    Message ack;
    ack.kind = Message::Kind::Ack;
    ack.round = message.round;
    if (message.term < disk_.term) {
        ack.term = disk_.term;
        return send(std::move(ack), message.from.id);
    }
    if (message.term > disk_.term || role_ != Role::Follower || !leader_ || leader_->id != message.from.id)
        become_follower(now, message.term, message.from);
    heard_ = now;
    heard_any_ = true;
    draw_election(now);
    if (message.entry && message.entry->stamp > disk_.newest.stamp) {
        disk_.newest = *message.entry;
        dirty_ = true;
        for (const Member& voter : disk_.newest.voters) {
            if (voter.id != self_.id) peers_[voter.id].member = voter;
        }
    }
    if (message.committed == disk_.newest.stamp && disk_.committed.stamp < disk_.newest.stamp) {
        disk_.committed = disk_.newest;  // goes to disk with the next change: it can be told again
    }
    ack.yes = true;
    ack.term = disk_.term;
    ack.newest = disk_.newest.stamp;
    send(std::move(ack), message.from.id);
}

void Moot::on_ack(Time now, const Message& message) {
    if (message.term > disk_.term) return become_follower(now, message.term, std::nullopt);
    if (role_ != Role::Leader || message.term != disk_.term || !message.yes) return;
    const auto peer = peers_.find(message.from.id);
    if (peer == peers_.end()) return;
    peer->second.holds = message.newest;
    peer->second.acked = now;
    peer->second.round = std::max(peer->second.round, message.round);
    advance(now);
    // Told at once: the others serve what is committed.
    if (next_beat_ <= now) {
        send_appends(now);
    } else if (peer->second.holds != disk_.newest.stamp && peer->second.entry_sent != disk_.newest.stamp) {
        send_append(now, peer->second);
    }
}

}  // namespace martenford::moot
