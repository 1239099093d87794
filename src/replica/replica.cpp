#include "replica/replica.h"

#include <algorithm>

namespace martenford::replica {

namespace {

constexpr std::size_t kListed = 16;  // entries in a range whose heads are listed, not its parts' sums
constexpr std::size_t kRangeBytes = 32, kHeadBytes = 30;  // on the wire
constexpr Duration kCompareAgain = 50ms;                  // after an answer that was cut short
constexpr std::size_t kMostPage = 16 * 1024;  // bytes before packing: some 2 ms of the loop at the taker
constexpr std::size_t kPagesOfOne = 8;        // then another gives
constexpr Duration kPagePatience = 500ms;     // then another is asked
constexpr Duration kBusyPause = 200ms;        // after a giver that has no bytes left to give
constexpr std::size_t kFarBehind = 64, kFarPart = 20;  // a twentieth and so many less: pages, not ranges
constexpr std::size_t kMostWaiting = 20'000;  // entries to be pushed; over it comparing has to find them
constexpr std::size_t kMostPending = 256;     // writes that wait for others
constexpr Duration kAskAgain = 250ms;         // others, for a write that has not got far enough
constexpr std::size_t kAskMore = 2;           // above what is wanted, at once
constexpr int kHorizonSteps = 8;              // of a tombstone's life: so that copies drop them in step
constexpr Duration kAdvanceEvery = 1s;
constexpr std::size_t kPurgeAtOnce = 500;  // entries looked at in one tick
constexpr Duration kPurgePause = 1ms;
constexpr std::size_t kOvershoot = 2;    // copies may hold so many times a table's bound: both sides
                                         // of a partition wrote up to it
constexpr std::size_t kPerMessage = 64;  // bytes beside entries

Wall milliseconds(Duration d) {
    return static_cast<Wall>(d / 1ms);
}

}  // namespace

const char* text_of(Refusal refusal) {
    constexpr const char* kTexts[] = {
        "",
        "no table of that name",
        "too long",
        "the table is full",
        "this machine's clock went back, or is behind the fleet's",
        "not greater than what stands",
        "entries of this table are not deleted",
        "there is no such entry",
    };
    return kTexts[static_cast<std::size_t>(refusal)];
}

Replica::Replica(const Pace& pace, fleet::Id self, Company& company, std::uint64_t seed)
    : pace_(pace), self_(std::move(self)), company_(company), random_(seed) {}

Time Replica::next() const {
    Time when = std::min(compare_at_, advance_at_);
    if (!dirty_.empty()) when = std::min(when, flush_at_);
    for (const auto& [ticket, pending] : pending_) when = std::min({when, pending.deadline, pending.ask_at});
    if (fetch_) when = std::min(when, fetch_->again);
    if (purge_from_) when = std::min(when, purge_at_);
    return when;
}

void Replica::tick(Time now, Wall wall) {
    if (started_ == Time{}) {
        started_ = credited_ = now;
        compare_at_ = advance_at_ = now;
    }
    if (flush_at_ <= now) flush(now);
    for (auto it = pending_.begin(); it != pending_.end();) {
        Pending& pending = it->second;
        if (pending.deadline <= now) {
            outcomes_.push_back({it->first, pending.got.size(), pending.wanted, false});
            it = pending_.erase(it);
            continue;
        }
        if (pending.ask_at <= now) ask(now, it->first, pending);
        ++it;
    }
    if (fetch_ && fetch_->again <= now) ask_page(now);
    if (compare_at_ <= now) compare(now);
    if (advance_at_ <= now) {
        advance(now, wall);
        advance_at_ = now + kAdvanceEvery;
    }
    if (purge_from_) purge(now);
}

// ---- writing ------------------------------------------------------------------------------------------

bool Replica::room_for(const Name& name, std::size_t times) const {
    const Table* table = table_named(name.table);
    return held_.size_of(name.table) < times * (table ? table->most : kMostOfUnknown) &&
           held_.entries().size() < times * kMostEntries;
}

Replica::Ticket Replica::write(Time now, Wall wall, Write write, const Reach& reach) {
    const Table* table = table_named(write.name.table);
    if (!table) return {Refusal::NoTable};
    if (write.name.key.empty() || write.name.key.size() > kMostKey || write.value.bytes.size() > kMostValue ||
        write.reason.size() > kMostWords)
        return {Refusal::TooLong};
    if (write.deleted && !table->may_delete) return {Refusal::NotDeletable};
    const auto* held = held_.find(write.name);
    if (!held && write.deleted) return {Refusal::NotThere};
    if ((!held && !room_for(write.name, 1)) || pending_.size() >= kMostPending) return {Refusal::Full};
    Entry entry = held ? held->entry : Entry{table->rule, {}, {}};
    if (table->rule == Rule::Greatest && !entry.versions.empty() &&
        entry.versions[0].rank >= write.value.rank)
        return {Refusal::NotGreater};
    const Stamp stamp = clock_.next(wall);
    if (stamp == 0) return {Refusal::Clock};
    Version version;
    version.dot = {self_.boot, ++count_};
    version.stamp = stamp;
    version.expires = write.expires;
    version.rank = write.value.rank;
    version.deleted = write.deleted;
    version.value = std::move(write.value.bytes);
    version.by = self_.name;
    version.reason = std::move(write.reason);
    const Entry before = entry;
    entry.write(std::move(version));
    learn(wall, write.name, entry, &before);
    put(write.name, std::move(entry));
    ++figures_.writes;
    const std::uint64_t ticket = ++ticket_;
    const std::size_t wanted = reach.majority ? company_.live() / 2 : reach.others;
    if (wanted == 0) {
        outcomes_.push_back({ticket, 0, 0, true});
    } else {
        Pending& pending = pending_[ticket];
        pending.name = write.name;
        pending.wanted = wanted;
        pending.deadline = now + reach.within;
        ask(now, ticket, pending);
    }
    make_dirty(write.name);
    return {Refusal::None, ticket};
}

void Replica::ask(Time now, std::uint64_t ticket, Pending& pending) {
    pending.ask_at = now + kAskAgain;
    const auto* held = held_.find(pending.name);
    if (!held) return;
    const std::size_t missing = pending.wanted - std::min(pending.wanted, pending.got.size());
    std::size_t sent = 0;
    for (const Other& other : company_.some(pending.asked.size() + missing + kAskMore)) {
        if (sent >= missing + kAskMore) break;
        if (pending.got.contains(other.id)) continue;
        // One that was asked and said nothing is asked again only where there is nobody else.
        if (pending.asked.contains(other.id) && pending.asked.size() + 1 < company_.live()) continue;
        pending.asked.insert(other.id);
        ++sent;
        Message push;
        push.kind = Message::Kind::Push;
        push.seq = ticket;
        push.entries.push_back({pending.name, held->entry});
        afford(now, replica::size_of(push.entries.back()), false);
        send(other, std::move(push));
    }
    if (sent == 0) pending.asked = pending.got;  // all anew
}

void Replica::put(const Name& name, Entry entry) {
    held_.put(name, std::move(entry));
    changes_.insert(name);
}

void Replica::erase(const Name& name) {
    if (const auto dirty = dirty_.find(name); dirty != dirty_.end()) {
        dirty_order_.erase({dirty->second.serial, name});
        dirty_.erase(dirty);
    }
    changes_.insert(name);
    held_.erase(name);
}

void Replica::make_dirty(const Name& name) {
    if (dirty_.size() >= kMostWaiting) return;
    Dirty& dirty = dirty_[name];
    dirty_order_.erase({dirty.serial, name});
    dirty = {0, ++serial_};
    dirty_order_.emplace(dirty.serial, name);
}

// ---- what others hold ---------------------------------------------------------------------------------

bool Replica::take(Wall wall, const Named& theirs, Stamp horizon, From from) {
    const auto* held = held_.find(theirs.name);
    const Horizons horizons{horizon_, horizon};
    if (!held) {
        if (held_.places().contains(place_of(theirs.name)) || !room_for(theirs.name, kOvershoot)) {
            ++figures_.full;
            return false;
        }
        const Table* table = table_named(theirs.name.table);
        Entry entry{table ? table->rule : theirs.entry.rule, {}, {}};
        merge(entry, theirs.entry, horizons);
        const auto over = [this](const Version& version) { return version.ended() <= horizon_; };
        // A tombstone whose time is over has nothing left to say here.
        if (std::all_of(entry.versions.begin(), entry.versions.end(), over)) return false;
        learn(wall, theirs.name, entry, nullptr);
        put(theirs.name, std::move(entry));
    } else {
        Entry entry = held->entry;
        if (!merge(entry, theirs.entry, horizons)) return false;
        if (entry.versions.empty()) {
            ++figures_.dropped;
            erase(theirs.name);
            return true;
        }
        if (entry.versions == held->entry.versions) {
            held_.forget(theirs.name, std::move(entry));  // it only knows more of what is overwritten
            return false;
        }
        learn(wall, theirs.name, entry, &held->entry);
        put(theirs.name, std::move(entry));
    }
    ++figures_.merged;
    if (from == From::Push) make_dirty(theirs.name);
    return true;
}

void Replica::learn(Wall wall, const Name& name, const Entry& entry, const Entry* before) {
    for (const Version& version : entry.versions) {
        if (before && before->find(version.dot)) continue;
        const auto what = entry.versions.size() > 1 ? Learnt::What::Beside
                          : version.deleted         ? Learnt::What::Deleted
                                                    : Learnt::What::Written;
        note({wall, name, what, version.by, text_of(name.table, version.value), version.reason});
    }
}

void Replica::note(Learnt learnt) {
    learnt_.push_back(std::move(learnt));
    if (learnt_.size() > kMostLearnt) learnt_.pop_front();
}

void Replica::receive(Time now, Wall wall, const Other& from, const Message& message) {
    const auto sound = [&](const Named& entry) {
        return std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                           [&](const Version& version) { return version.stamp <= message.sent; });
    };
    if (!std::all_of(message.entries.begin(), message.entries.end(), sound)) {
        ++figures_.made_up;  // who tells of a stamp has seen it
        return;
    }
    if (!clock_.saw(message.sent, wall)) {
        ++figures_.ahead;
        ahead_.emplace(from.id.name,
                       std::chrono::milliseconds(static_cast<std::int64_t>(wall_of(message.sent) - wall)));
        return;
    }
    switch (message.kind) {
        case Message::Kind::Push: {
            const bool was_idle = dirty_.empty();
            for (const Named& entry : message.entries) take(wall, entry, message.horizon, From::Push);
            if (was_idle && !dirty_.empty()) flush_at_ = std::max(flush_at_, now + pace_.push_every / 5);
            if (message.seq == 0) break;
            Message got;
            got.kind = Message::Kind::Got;
            got.seq = message.seq;
            send(from, std::move(got));
            break;
        }
        case Message::Kind::Give:
            for (const Named& entry : message.entries) take(wall, entry, message.horizon, From::Repair);
            break;
        case Message::Kind::Got: {
            const auto it = pending_.find(message.seq);
            if (it == pending_.end() || !it->second.asked.contains(from.id)) break;
            it->second.got.insert(from.id);
            if (it->second.got.size() < it->second.wanted) break;
            outcomes_.push_back({it->first, it->second.got.size(), it->second.wanted, true});
            pending_.erase(it);
            break;
        }
        case Message::Kind::Ranges:
            compared(now, wall, from, message);
            break;
        case Message::Kind::Want: {
            std::vector<Name> names;
            for (const std::uint64_t place : message.want) {
                if (const auto it = held_.places().find(place); it != held_.places().end())
                    names.push_back(it->second->first);
            }
            give(now, from, names);
            break;
        }
        case Message::Kind::Fetch:
            give_page(now, from, message.from);
            break;
        case Message::Kind::Page:
            took_page(now, wall, from, message);
            break;
    }
}

// ---- telling what is new ------------------------------------------------------------------------------

void Replica::flush(Time now) {
    if (dirty_.empty()) return;
    flush_at_ = now + pace_.push_every;
    Message push;
    push.kind = Message::Kind::Push;
    std::size_t bytes = kPerMessage;
    std::vector<Name> told;
    for (const auto& [serial, name] : dirty_order_) {
        if (const auto* held = held_.find(name)) {
            Named entry{name, held->entry};
            const std::size_t size = replica::size_of(entry);
            if (!push.entries.empty() && bytes + size > kMostBatch) break;
            bytes += size;
            push.entries.push_back(std::move(entry));
        }
        told.push_back(name);
    }
    const auto to = company_.some(pace_.push_to);
    if (to.empty()) {
        // Nobody is there: whoever comes compares.
        dirty_.clear();
        dirty_order_.clear();
        return;
    }
    if (!afford(now, bytes * to.size(), false)) return;
    for (const Name& name : told) {
        Dirty& dirty = dirty_.at(name);
        dirty_order_.erase({dirty.serial, name});
        if (++dirty.told >= pace_.push_times) {
            dirty_.erase(name);
        } else {
            dirty.serial = ++serial_;
            dirty_order_.emplace(dirty.serial, name);
        }
    }
    for (const Other& other : to) {
        ++figures_.pushes;
        send(other, push);
    }
}

bool Replica::afford(Time now, std::size_t bytes, bool bulk) {
    const double most = static_cast<double>(pace_.bytes_a_second);
    const double since = static_cast<double>((now - credited_) / 1us) / 1e6;
    credited_ = now;
    credit_ = std::min(most, credit_ + since * most);
    // What repairs leaves half to what is new.
    if (credit_ < (bulk ? most / 2 : 0.0)) {
        ++figures_.skipped;
        return false;
    }
    credit_ -= static_cast<double>(bytes);  // may fall below 0 by one message
    figures_.bytes += bytes;
    return true;
}

void Replica::send(const Other& to, Message message) {
    // A member that has written and seen nothing has no stamp: nor has what it says.
    message.sent = clock_.last();
    message.horizon = horizon_;
    sends_.push_back({to, std::move(message)});
}

// ---- finding differences --------------------------------------------------------------------------------

void Replica::compare(Time now) {
    const auto jitter =
        static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(pace_.compare_every.count())));
    compare_at_ = now + pace_.compare_every / 2 + Duration{jitter};
    std::optional<Other> with = std::exchange(compare_with_, std::nullopt);
    if (!with) {
        const auto others = company_.some(1);
        if (others.empty()) return;
        with = others[0];
    }
    Message message;
    message.kind = Message::Kind::Ranges;
    const Digests::Sum all = held_.digests().of(0, 0);
    message.ranges.push_back({0, 0, all.sum, all.count, false, {}});
    send(*with, std::move(message));
}

/// The reply's bytes so far are counted, and what finds no room is left for the next time.
struct Replica::Answer {
    Message reply;
    std::size_t bytes = 0;
    bool cut_short = false;
    std::vector<Name> give;
    bool room(std::size_t more) {
        if (bytes + more > kMostBatch) {
            cut_short = true;
            return false;
        }
        bytes += more;
        return true;
    }
};

void Replica::compared(Time now, Wall wall, const Other& from, const Message& message) {
    Answer answer;
    answer.reply.kind = Message::Kind::Ranges;
    for (const Range& range : message.ranges) {
        if (range.level > Digests::kLevels) continue;
        if (range.listed) {
            listed(wall, message, range, answer);
        } else if (!range.parts.empty() && range.level < Digests::kLevels) {
            for (std::uint64_t branch = 0; branch < Digests::kBranches; ++branch) {
                const std::uint64_t prefix = range.prefix << Digests::kBranchBits | branch;
                if (held_.digests().of(range.level + 1, prefix).sum != range.parts[branch])
                    descend(range.level + 1, prefix, answer);
            }
        } else if (range.level == 0) {
            const Digests::Sum mine = held_.digests().of(0, 0);
            if (mine == Digests::Sum{range.sum, range.count}) {
                agreed();
            } else if (mine.count + range.count / kFarPart + kFarBehind < range.count) {
                begin_fetch(now, from);
            } else if (range.count + mine.count / kFarPart + kFarBehind < mine.count) {
                answer.reply.ranges.push_back({0, 0, mine.sum, mine.count, false, {}});  // it will fetch
            } else {
                descend(0, 0, answer);
            }
        }
    }
    Message want;
    want.kind = Message::Kind::Want;
    want.want = std::exchange(answer.reply.want, {});
    if (!answer.reply.ranges.empty()) send(from, std::move(answer.reply));
    if (!want.want.empty()) send(from, std::move(want));
    give(now, from, answer.give);
    if (!answer.cut_short) return;
    // What found no room is looked for once these are repaired.
    compare_with_ = from;
    compare_at_ = std::min(compare_at_, now + kCompareAgain);
}

void Replica::descend(std::uint32_t level, std::uint64_t prefix, Answer& answer) const {
    const Digests::Sum mine = held_.digests().of(level, prefix);
    if (level == Digests::kLevels || mine.count <= kListed) {
        if (answer.room(kRangeBytes + mine.count * kHeadBytes) &&
            answer.reply.heads.size() + mine.count <= kMostHeads && answer.reply.ranges.size() < kMostRanges)
            list(level, prefix, answer.reply);
        return;
    }
    if (answer.reply.ranges.size() >= kMostRanges || !answer.room(kRangeBytes + 8 * Digests::kBranches))
        return;
    Range range{level, prefix, mine.sum, mine.count, false, {}};
    for (std::uint64_t branch = 0; branch < Digests::kBranches; ++branch)
        range.parts.push_back(held_.digests().of(level + 1, prefix << Digests::kBranchBits | branch).sum);
    answer.reply.ranges.push_back(std::move(range));
}

void Replica::list(std::uint32_t level, std::uint64_t prefix, Message& reply) const {
    const Digests::Sum mine = held_.digests().of(level, prefix);
    reply.ranges.push_back({level, prefix, mine.sum, mine.count, true, {}});
    const std::uint64_t last = Digests::last_of(level, prefix);
    for (auto it = held_.places().lower_bound(Digests::first_of(level, prefix));
         it != held_.places().end() && it->first <= last; ++it)
        reply.heads.push_back({it->first, it->second->second.hash, it->second->second.entry.latest()});
}

/// `range` as the other has it, with all heads.
void Replica::listed(Wall wall, const Message& message, const Range& range, Answer& answer) {
    const std::uint64_t first = Digests::first_of(range.level, range.prefix);
    const std::uint64_t last = Digests::last_of(range.level, range.prefix);
    std::map<std::uint64_t, const Head*> theirs;
    for (const Head& head : message.heads) {
        if (head.place >= first && head.place <= last) theirs.emplace(head.place, &head);
    }
    if (theirs.size() != range.count) return;
    bool tell_back = false;
    std::vector<Name> drop;
    for (auto it = held_.places().lower_bound(first); it != held_.places().end() && it->first <= last; ++it) {
        const Holding::Held& held = it->second->second;
        const auto head = theirs.find(it->first);
        if (head == theirs.end()) {
            if (held.entry.latest() <= message.horizon && message.horizon > horizon_) {
                drop.push_back(it->second->first);
            } else {
                answer.give.push_back(it->second->first);
            }
        } else if (head->second->hash != held.hash) {
            answer.give.push_back(it->second->first);
        }
    }
    for (const auto& [place, head] : theirs) {
        const auto mine = held_.places().find(place);
        if (mine != held_.places().end() && mine->second->second.hash == head->hash) continue;
        if (mine == held_.places().end() && head->stamp <= horizon_ && horizon_ > message.horizon) {
            tell_back = true;
        } else if (answer.reply.want.size() < kMostWant) {
            answer.reply.want.push_back(place);
        }
    }
    for (const Name& name : drop) {
        ++figures_.dropped;
        note({wall, name, Learnt::What::Dropped, {}, {}, "older than what others keep"});
        erase(name);
    }
    const std::size_t heads = held_.digests().of(range.level, range.prefix).count;
    if (tell_back && answer.reply.ranges.size() < kMostRanges &&
        answer.room(kRangeBytes + heads * kHeadBytes))
        list(range.level, range.prefix, answer.reply);
}

void Replica::give(Time now, const Other& to, const std::vector<Name>& names) {
    Message push;
    push.kind = Message::Kind::Give;
    std::size_t bytes = kPerMessage;
    const auto out = [&] {
        if (push.entries.empty()) return true;
        if (!afford(now, bytes, true)) return false;
        figures_.repairs += push.entries.size();
        send(to, push);
        push.entries.clear();
        bytes = kPerMessage;
        return true;
    };
    for (const Name& name : names) {
        const auto* held = held_.find(name);
        if (!held) continue;
        Named entry{name, held->entry};
        const std::size_t size = replica::size_of(entry);
        if (bytes + size > kMostBatch && !out()) return;
        bytes += size;
        push.entries.push_back(std::move(entry));
    }
    out();
}

// ---- catching up ----------------------------------------------------------------------------------------

void Replica::begin_fetch(Time now, const Other& from) {
    if (fetch_) return;
    fetch_.emplace();
    fetch_->giver = from;
    ask_page(now);
}

void Replica::ask_page(Time now) {
    // The giver may be gone, or another's turn has come.
    if (fetch_->asked != Time{} && (fetch_->again <= now || fetch_->pages >= kPagesOfOne)) {
        fetch_->pages = 0;
        if (const auto others = company_.some(1); !others.empty()) fetch_->giver = others[0];
    }
    fetch_->asked = now;
    fetch_->again = now + kPagePatience;
    Message fetch;
    fetch.kind = Message::Kind::Fetch;
    fetch.from = fetch_->cursor;
    send(fetch_->giver, std::move(fetch));
}

void Replica::give_page(Time now, const Other& to, std::uint64_t from) {
    Message page;
    page.kind = Message::Kind::Page;
    page.from = page.next = from;
    std::size_t bytes = kPerMessage;
    auto it = held_.places().lower_bound(from);
    for (; it != held_.places().end(); ++it) {
        Named entry{it->second->first, it->second->second.entry};
        const std::size_t size = replica::size_of(entry);
        if (!page.entries.empty() && bytes + size > kMostPage) break;
        bytes += size;
        page.entries.push_back(std::move(entry));
    }
    page.end = it == held_.places().end();
    page.next = page.end ? 0 : it->first;
    if (!afford(now, bytes, true)) {
        page.entries.clear();
        page.busy = true;
        page.end = false;
        page.next = from;
    } else {
        ++figures_.pages;
    }
    send(to, std::move(page));
}

/// Each page is whole by itself: what was taken stays true whatever becomes of the rest, and the next giver
/// goes on from the same place.
void Replica::took_page(Time now, Wall wall, const Other& from, const Message& message) {
    if (!fetch_ || message.from != fetch_->cursor || from.id != fetch_->giver.id) return;
    if (message.busy) {
        fetch_->again = now + kBusyPause;
        return;
    }
    for (const Named& entry : message.entries) take(wall, entry, message.horizon, From::Repair);
    if (message.end || message.next <= fetch_->cursor) {
        fetch_.reset();
        caught_up_ = true;
        return;
    }
    fetch_->cursor = message.next;
    ++fetch_->pages;
    ask_page(now);
}

// ---- tombstones ---------------------------------------------------------------------------------------

void Replica::advance(Time now, Wall wall) {
    if (company_.live() < 2) caught_up_ = true;
    // A side that has no majority keeps all: it may be the one that missed something.
    if (2 * company_.live() <= company_.known()) {
        majority_since_.reset();
        return;
    }
    if (!majority_since_) majority_since_ = now;
    if (!caught_up_ || now - *majority_since_ < pace_.tombstones) return;
    const Wall step = std::max<Wall>(1, milliseconds(pace_.tombstones) / kHorizonSteps);
    const Wall until = (wall - milliseconds(pace_.tombstones)) / step * step;
    if (stamp_of(until) <= horizon_) return;
    horizon_ = stamp_of(until);
    purge_from_.emplace();
}

void Replica::purge(Time now) {
    purge_at_ = now + kPurgePause;
    auto it = held_.entries().lower_bound(*purge_from_);
    for (std::size_t looked = 0; it != held_.entries().end() && looked < kPurgeAtOnce; ++looked) {
        const auto here = it++;
        Entry entry = here->second.entry;
        if (entry.forget_before(horizon_)) {
            ++figures_.purged;
            const Name name = here->first;
            erase(name);
        } else {
            held_.forget(here->first, std::move(entry));
        }
    }
    if (it == held_.entries().end()) {
        purge_from_.reset();
    } else {
        purge_from_ = it->first;
    }
}

// ---- small things -------------------------------------------------------------------------------------

const Entry* Replica::find(const Name& name) const {
    const auto* held = held_.find(name);
    return held ? &held->entry : nullptr;
}

const Version* Replica::get(const Name& name, Wall wall) const {
    const Entry* entry = find(name);
    return entry ? entry->resolve(wall) : nullptr;
}

void Replica::absorb(Wall wall, Stamp horizon, const std::vector<Named>& entries) {
    for (const Named& entry : entries) {
        const bool sound = std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                                       [&](const Version& v) { return clock_.saw(v.stamp, wall); });
        if (sound) take(wall, entry, horizon, From::Repair);
    }
}

void Replica::restore(Stamp horizon, std::vector<Named> entries, Wall wall) {
    horizon_ = horizon;
    for (Named& entry : entries) {
        const bool sound = std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                                       [&](const Version& v) { return clock_.saw(v.stamp, wall); });
        const bool over = std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                                      [&](const Version& v) { return v.ended() <= horizon; });
        if (!sound || over || held_.places().contains(place_of(entry.name))) {
            ++figures_.made_up;
            continue;
        }
        put(entry.name, std::move(entry.entry));
    }
}

}  // namespace martenford::replica
