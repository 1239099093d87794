#include "moot/moot.h"

#include <algorithm>
#include <utility>

namespace martenford::moot {

namespace {
constexpr Duration kEntryAgain = 2s;      // an entry of which nothing was heard is sent again after this
constexpr Duration kForgetLearner = 10s;  // a learner that was not heard of for so long
constexpr std::size_t kMostPeers = 64;    // others that are known: the core is few
constexpr std::size_t kMostAsks = 64;     // of this one's own questions: some seconds of heartbeats

bool has(const std::vector<Member>& members, MemberId id) {
    return std::any_of(members.begin(), members.end(), [&](const Member& m) { return m.id == id; });
}
/// Of a set of which more than half is wanted, the value that more than half reach.
template <class T>
T reached_by_majority(std::vector<T> values) {
    std::sort(values.rbegin(), values.rend());
    return values[values.size() / 2];
}
}  // namespace

Moot::Moot(Member self, Disk disk, const Options& options, std::uint64_t seed)
    : self_(std::move(self)), disk_(std::move(disk)), options_(options), random_(seed) {
    // Two with one seed would stand at the same moments for ever.
    random_ ^= self_.id * 0xd6e8feb86659fd93;
    learn_members();
    saved_ = disk_.newest.stamp;
    ask_ = this->random();  // a restarted process is not taken for the one before it
}

void Moot::learn_members() {
    for (const auto* set : {&disk_.newest.voters, &disk_.newest.outgoing}) {
        for (const Member& voter : *set) {
            if (voter.id == self_.id) continue;
            Member& member = peers_[voter.id].member;
            if (member.id == 0) member = voter;
            member.address = voter.address;
        }
    }
}

Member Moot::known(const Member& member) const {
    if (member.id == self_.id) return self_;
    const auto peer = peers_.find(member.id);
    return peer == peers_.end() || peer->second.member.zone.empty() ? member : peer->second.member;
}

std::vector<Member> Moot::voters() const {
    std::vector<Member> out;
    for (const Member& voter : disk_.newest.voters) out.push_back(known(voter));
    return out;
}

std::uint64_t Moot::random() {  // SplitMix64
    std::uint64_t z = random_ += 0x9e3779b97f4a7c15;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
}

bool Moot::is_voter(MemberId id) const {
    return has(disk_.newest.voters, id) || has(disk_.newest.outgoing, id);
}

bool Moot::is_majority(const std::map<MemberId, bool>& yes) const {
    for (const auto* set : {&disk_.newest.voters, &disk_.newest.outgoing}) {
        const auto count = std::count_if(set->begin(), set->end(), [&](const Member& m) {
            const auto it = yes.find(m.id);
            return it != yes.end() && it->second;
        });
        if (!set->empty() && static_cast<std::size_t>(count) <= set->size() / 2) return false;
    }
    return !disk_.newest.voters.empty();
}

Moot::Quorum Moot::quorum(Time now) const {
    Quorum out{true, ~std::uint64_t{0}, Time::max()};
    for (const auto* set : {&disk_.newest.voters, &disk_.newest.outgoing}) {
        if (set->empty()) continue;
        std::vector<bool> holds;
        std::vector<std::uint64_t> rounds;
        std::vector<Time> answered;
        for (const Member& voter : *set) {
            const auto peer = peers_.find(voter.id);
            if (voter.id == self_.id) {
                holds.push_back(saved_ == disk_.newest.stamp);
                rounds.push_back(round_);
                answered.push_back(now);
            } else if (peer != peers_.end()) {
                holds.push_back(peer->second.holds == disk_.newest.stamp);
                rounds.push_back(peer->second.round);
                answered.push_back(peer->second.answered);
            } else {
                holds.push_back(false);
                rounds.push_back(0);
                answered.push_back({});
            }
        }
        out.holds = out.holds && reached_by_majority(holds);
        out.round = std::min(out.round, reached_by_majority(rounds));
        out.answered = std::min(out.answered, reached_by_majority(answered));
    }
    return out;
}

bool Moot::is_durable(const Stamp& stamp) const {
    if (role_ != Role::Leader || disk_.committed.stamp < stamp) return false;
    std::vector<Member> holders;
    for (const Member& voter : disk_.newest.voters) {
        const auto peer = peers_.find(voter.id);
        // What is later in this term was made from it.
        if (voter.id == self_.id ? saved_ >= stamp : peer != peers_.end() && peer->second.holds >= stamp)
            holders.push_back(known(voter));
    }
    return copies_outlive(holders, voters(), options_.tolerance);
}

bool Moot::has_left() const {
    return leaving_ && role_ == Role::Follower && !is_voter() && disk_.newest.outgoing.empty() &&
           disk_.newest.stamp == disk_.committed.stamp;
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

void Moot::send_to_voters(const Message& message) {
    for (const Member& voter : disk_.newest.voters) {
        if (voter.id != self_.id) send(message, voter.id);
    }
    for (const Member& voter : disk_.newest.outgoing) {
        if (voter.id != self_.id && !has(disk_.newest.voters, voter.id)) send(message, voter.id);
    }
}

bool Moot::leads(Time now) const {
    return role_ == Role::Leader && !disk_broken_ && disk_.committed.stamp.term == disk_.term &&
           (is_alone() || now - quorum_at_ < options_.lease);
}

bool Moot::in_touch(Time now, Duration within) const {
    if (role_ == Role::Leader) return leads(now);
    return leader_ && contact_ != Time{} && now - contact_ < within;
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
        if (!is_alone() && now - quorum_at_ >= options_.lease) {
            return become_follower(now, disk_.term, std::nullopt);
        }
        if (now >= next_beat_) send_appends(now);
        finish_change(now);
        if (now >= next_change_) {
            next_change_ = now + options_.heartbeat;
            leaving_ ? hand_over(now) : change_members(now);
        }
        return;
    }
    if (now >= election_at_ && is_voter() && !disk_broken_ && !leaving_) stand(now, true);
}

void Moot::stand(Time now, bool pre, bool handed) {
    role_ = Role::Candidate;
    leader_.reset();
    pre_ = pre;
    stood_ = now;
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
    ask.handed = handed;
    ask.newest = disk_.newest.stamp;
    send_to_voters(ask);
    count_votes(now);
}

void Moot::count_votes(Time now) {
    if (!is_majority(votes_)) return;
    if (pre_) return stand(now, false);
    lead(now);
}

void Moot::lead(Time now) {
    role_ = Role::Leader;
    leader_ = self_;
    led_since_ = now;
    quorum_at_ = stood_;  // the votes are a majority's answers to a question of then
    for (auto& [id, peer] : peers_) {
        peer.holds = {};
        peer.entry_sent = {};
        peer.answered = stood_;  // nobody is held silent for what another leader heard
        peer.round = peer.ask = 0;
        peer.leaving = false;
    }
    confirmed_ = 0;
    weighed_.clear();
    // An entry of its own term, with the value that it found: what was uncertain is settled by this one.
    append(now, disk_.newest.voters, disk_.newest.outgoing, disk_.newest.value);
}

void Moot::append(Time now, std::vector<Member> voters, std::vector<Member> outgoing, std::string value) {
    disk_.newest = Entry{
        {disk_.term, disk_.newest.stamp.index + 1}, std::move(voters), std::move(value), std::move(outgoing)};
    dirty_ = true;
    learn_members();
    advance(now);
    send_appends(now);
}

void Moot::send_appends(Time now) {
    next_beat_ = now + options_.heartbeat;
    ++round_;
    std::erase_if(peers_, [&](const auto& entry) {
        return !is_voter(entry.first) &&
               now - std::max(entry.second.answered, entry.second.met) > kForgetLearner;
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
    message.leads = leads(now);
    message.asked = static_cast<std::uint64_t>(now.time_since_epoch().count());
    message.ask = peer.ask;
    const bool lacks = peer.holds != disk_.newest.stamp;
    // One that answered what was sent after the entry, and lacks it, never got it. One that answers nothing
    // may sit behind a slow link: no second copy is put into its queue soon.
    if (lacks && (peer.entry_sent != disk_.newest.stamp || peer.answered > peer.sent_entry ||
                  now - peer.sent_entry >= kEntryAgain)) {
        message.entry = disk_.newest;
        peer.entry_sent = disk_.newest.stamp;
        peer.sent_entry = now;
    }
    send(std::move(message), peer.member.id);
}

void Moot::advance(Time now) {
    if (role_ != Role::Leader) return;
    const Quorum reached = quorum(now);
    confirmed_ = std::max(confirmed_, reached.round);
    quorum_at_ = std::max(quorum_at_, reached.answered);
    if (!reached.holds || disk_.committed.stamp == disk_.newest.stamp) return;
    disk_.committed = disk_.newest;
    dirty_ = true;
    next_beat_ = now;  // the others are told at once
    if (is_voter()) return;
    // The set without this one is in force: it was the last thing to do here.
    send_appends(now);
    hand_over(now);
    become_follower(now, disk_.term, std::nullopt);
}

bool Moot::lacks_members(Time now) const {
    return disk_.newest.value.empty() && now - led_since_.value_or(now) < options_.growth && !bears_losses();
}

std::optional<Stamp> Moot::propose(Time now, std::string value) {
    if (!leads(now) || disk_.committed.stamp != disk_.newest.stamp || !disk_.newest.outgoing.empty() ||
        lacks_members(now))
        return std::nullopt;
    append(now, disk_.newest.voters, {}, std::move(value));
    return disk_.newest.stamp;
}

std::uint64_t Moot::ask_confirmation(Time now) {
    if (role_ == Role::Leader) send_appends(now);
    if (is_alone()) confirmed_ = round_;
    return round_;
}

void Moot::hand_over(Time now) {
    if (role_ != Role::Leader) return;
    const Peer* best = nullptr;
    for (const auto& [id, peer] : peers_) {
        if (!has(disk_.newest.voters, id) || peer.leaving || now - peer.answered > options_.lease) continue;
        if (!best || peer.holds > best->holds) best = &peer;
    }
    if (!best) return;
    Message message;
    message.kind = Message::Kind::TakeOver;
    message.term = disk_.term;
    send(std::move(message), best->member.id);
}

void Moot::persisted(Time now) {
    disk_broken_ = false;
    if (saved_ == taken_) return;
    saved_ = taken_;
    advance(now);
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

void Moot::leave(Time now) {
    leaving_ = true;
    if (role_ == Role::Leader) return hand_over(now);
    if (role_ == Role::Candidate) become_follower(now, disk_.term, std::nullopt);
    if (leader_) answer_leader(now);  // it hears of it now, and not with the next heartbeat
}

bool Moot::is_live(Time now, const Peer& peer) const {
    if (peer.leaving || now - peer.answered > options_.replace_after) return false;
    // Another at its address that answered later than it: its disk is gone for good.
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& p) {
        return p.first != peer.member.id && p.second.member.address == peer.member.address &&
               p.second.answered > peer.answered && now - p.second.answered < options_.lease;
    });
}

/// While a set changes, a majority of both is wanted; once that is committed, the new one alone is in force.
void Moot::finish_change(Time now) {
    if (disk_.newest.outgoing.empty() || !leads(now) || disk_.committed.stamp != disk_.newest.stamp) return;
    append(now, disk_.newest.voters, {}, disk_.newest.value);
}

/// Brings the set in force nearer to the one that bears what must be borne, where what is there allows it:
/// one change at a time, from a committed entry of its own term, and only while the copies in the new set are
/// enough by themselves.
void Moot::change_members(Time now) {
    if (!leads(now) || disk_.committed.stamp != disk_.newest.stamp || !disk_.newest.outgoing.empty()) return;
    std::vector<Candidate> candidates;
    for (const Member& voter : disk_.newest.voters) {
        const auto peer = peers_.find(voter.id);
        if (peer != peers_.end() && peer->second.leaving) continue;
        candidates.push_back({known(voter), true,
                              voter.id == self_.id || (peer != peers_.end() && is_live(now, peer->second))});
    }
    const auto holds = [&](MemberId id) {
        if (id == self_.id) return saved_ == disk_.newest.stamp;
        const auto peer = peers_.find(id);
        return peer != peers_.end() && peer->second.holds == disk_.newest.stamp;
    };
    for (const auto& [id, peer] : peers_) {
        if (is_voter(id) || peer.leaving || !holds(id) || now - peer.answered > options_.lease) continue;
        candidates.push_back({peer.member, false, true});
    }
    if (candidates == weighed_) return;
    auto chosen = choose_voters(candidates, options_.tolerance);
    const auto& voters = disk_.newest.voters;
    if (chosen.empty() ||
        (chosen.size() == voters.size() &&
         std::all_of(chosen.begin(), chosen.end(), [&](const Member& m) { return has(voters, m.id); }))) {
        weighed_ = std::move(candidates);
        return;
    }
    if (!has(chosen, self_.id)) return hand_over(now);
    std::vector<Member> holders;
    std::copy_if(chosen.begin(), chosen.end(), std::back_inserter(holders),
                 [&](const Member& m) { return holds(m.id); });
    if (holders.size() <= chosen.size() / 2 || !copies_outlive(holders, chosen, options_.tolerance)) return;
    weighed_.clear();
    append(now, std::move(chosen), voters, disk_.newest.value);
}

void Moot::met(Time now, const Member& member) {
    if (member.id == self_.id || member.id == 0) return;
    const auto known = peers_.find(member.id);
    if (known == peers_.end() && peers_.size() >= kMostPeers) return;
    Peer& peer = peers_[member.id];
    peer.met = now;
    const std::string agreed = is_voter(member.id) ? peer.member.address : member.address;
    peer.member = member;
    peer.member.address = agreed;
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
            if (message.term == disk_.term && is_voter() && !disk_broken_ && !leaving_ &&
                role_ == Role::Follower)
                stand(now, false, true);
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
    // Whoever is asked is in the set of the one that asks, also where it has not heard of that yet.
    const bool has_all = message.newest >= disk_.newest.stamp;
    if (message.pre) {
        vote.yes = !led && has_all && message.term > disk_.term && !disk_broken_;
        vote.term = vote.yes ? message.term : disk_.term;
        return send(std::move(vote), message.from.id);
    }
    if (led && !message.handed) {
        vote.term = disk_.term;
        return send(std::move(vote), message.from.id);
    }
    if (message.term > disk_.term) become_follower(now, message.term, std::nullopt);
    const bool free = disk_.voted_for == 0 || disk_.voted_for == message.from.id;
    vote.yes = message.term == disk_.term && free && has_all && !disk_broken_ && role_ != Role::Leader;
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

void Moot::answer_leader(Time now) {
    Message ack;
    ack.kind = Message::Kind::Ack;
    ack.round = leaders_round_;
    ack.asked = leaders_asked_;
    ack.leaving = leaving_;
    ack.yes = true;
    ack.term = disk_.term;
    ack.newest = disk_.newest.stamp;
    ack.ask = ++ask_;
    asks_.push_back(now);
    if (asks_.size() > kMostAsks) asks_.pop_front();
    send(std::move(ack), leader_->id);
}

void Moot::on_append(Time now, const Message& message) {
    if (message.term < disk_.term) {
        Message ack;
        ack.kind = Message::Kind::Ack;
        ack.round = message.round;
        ack.term = disk_.term;
        return send(std::move(ack), message.from.id);
    }
    if (message.term > disk_.term || role_ != Role::Follower || !leader_ || leader_->id != message.from.id)
        become_follower(now, message.term, message.from);
    heard_ = now;
    heard_any_ = true;
    draw_election(now);
    const std::uint64_t ago = ask_ - message.ask;  // of this one's own questions
    if (message.leads && ago < asks_.size())
        contact_ = std::max(contact_, asks_[asks_.size() - 1 - static_cast<std::size_t>(ago)]);
    if (message.entry && message.entry->stamp > disk_.newest.stamp) {
        disk_.newest = *message.entry;
        dirty_ = true;
        learn_members();
    }
    if (message.committed == disk_.newest.stamp && disk_.committed.stamp < disk_.newest.stamp) {
        disk_.committed = disk_.newest;  // goes to disk with the next change: it can be told again
    }
    leaders_round_ = message.round;
    leaders_asked_ = message.asked;
    answer_leader(now);
}

void Moot::on_ack(Time now, const Message& message) {
    if (message.term > disk_.term) return become_follower(now, message.term, std::nullopt);
    if (role_ != Role::Leader || message.term != disk_.term || !message.yes) return;
    const auto found = peers_.find(message.from.id);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    if (message.round < peer.round) return;  // overtaken by a later answer
    peer.round = message.round;
    peer.holds = message.newest;
    peer.leaving = message.leaving;
    peer.ask = message.ask;
    const Time asked{Duration{static_cast<Duration::rep>(message.asked)}};
    if (asked <= now) peer.answered = std::max(peer.answered, asked);
    advance(now);
    if (role_ != Role::Leader) return;
    finish_change(now);
    // Told at once: the others serve what is committed.
    if (next_beat_ <= now) {
        send_appends(now);
    } else if (peer.holds != disk_.newest.stamp && peer.entry_sent != disk_.newest.stamp) {
        send_append(now, peer);
    }
}

}  // namespace martenford::moot
