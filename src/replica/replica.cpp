#include "replica/replica.h"

#include <algorithm>

namespace martenford::replica {

namespace {

constexpr std::size_t kMaxListedEntries =
    16;  // entries in a range whose heads are listed, not its parts' sums
constexpr std::size_t kRangeBytes = 32, kSummaryBytes = 30;  // on the wire
constexpr Duration kCompareRetryDelay = 50ms;                // after an answer that was cut short
constexpr std::size_t kMaxPageBytes = 16 * 1024;  // bytes before packing: some 2 ms of the loop at the taker
constexpr std::size_t kPagesPerSource = 8;        // then another gives
constexpr Duration kPageTimeout = 500ms;          // then another is asked
constexpr Duration kBusyRetryDelay = 200ms;       // after a giver that has no bytes left to give
constexpr std::size_t kFetchMinMissing = 64,
                      kFetchMissingDivisor = 20;  // a twentieth and so many less: pages, not ranges
constexpr std::size_t kMaxQueuedPushes = 20'000;  // entries to be pushed; over it comparing has to find them
constexpr std::size_t kMaxPendingWrites = 256;    // writes that wait for others
constexpr Duration kAckRetryInterval = 250ms;     // others, for a write that has not got far enough
constexpr std::size_t kExtraAckRequests = 2;      // above what is wanted, at once
constexpr int kHorizonSteps = 8;                  // of a tombstone's life: so that copies drop them in step
constexpr Duration kHorizonInterval = 1s;
constexpr std::size_t kPurgeBatchEntries = 500;  // entries looked at in one tick
constexpr Duration kPurgeDelay = 1ms;
constexpr std::size_t kRemoteOverfillFactor = 2;  // copies may hold so many times a table's bound: both sides
                                                  // of a partition wrote up to it
constexpr std::size_t kMessageOverheadBytes = 64;  // bytes beside entries

WallTime milliseconds(Duration d) {
    return static_cast<WallTime>(d / 1ms);
}

}  // namespace

const char* text_of(WriteError error) {
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
    return kTexts[static_cast<std::size_t>(error)];
}

Replica::Replica(const ReplicationSettings& settings, fleet::Id self, PeerDirectory& peers,
                 std::uint64_t seed)
    : settings_(settings), self_(std::move(self)), peers_(peers), random_(seed) {}

Time Replica::next() const {
    Time when = std::min(compare_at_, advance_horizon_at_);
    if (!push_queue_.empty()) when = std::min(when, flush_at_);
    for (const auto& [ticket, pending] : pending_)
        when = std::min({when, pending.deadline, pending.retry_at});
    if (fetch_) when = std::min(when, fetch_->retry_at);
    if (purge_from_) when = std::min(when, purge_at_);
    return when;
}

void Replica::tick(Time now, WallTime wall_time) {
    if (started_ == Time{}) {
        started_ = budget_updated_at_ = now;
        compare_at_ = advance_horizon_at_ = now;
    }
    if (flush_at_ <= now) flush(now);
    for (auto it = pending_.begin(); it != pending_.end();) {
        PendingWrite& pending = it->second;
        if (pending.deadline <= now) {
            outcomes_.push_back({it->first, pending.acked.size(), pending.acks_required, false});
            it = pending_.erase(it);
            continue;
        }
        if (pending.retry_at <= now) request_acks(now, it->first, pending);
        ++it;
    }
    if (fetch_ && fetch_->retry_at <= now) request_page(now);
    if (compare_at_ <= now) start_comparison(now);
    if (advance_horizon_at_ <= now) {
        advance_horizon(now, wall_time);
        advance_horizon_at_ = now + kHorizonInterval;
    }
    if (purge_from_) purge(now);
}

// ---- writing ------------------------------------------------------------------------------------------

bool Replica::has_room_for(const EntryName& name, std::size_t times) const {
    const Table* table = find_table(name.table);
    return store_.size_of(name.table) < times * (table ? table->max_entries : kMaxUnknownTableEntries) &&
           store_.entries().size() < times * kMaxEntries;
}

Replica::Ticket Replica::write(Time now, WallTime wall_time, Write write, const WriteConcern& concern) {
    const Table* table = find_table(write.name.table);
    if (!table) return {WriteError::UnknownTable};
    if (write.name.key.empty() || write.name.key.size() > kMaxKeyBytes ||
        write.value.bytes.size() > kMaxValueBytes || write.reason.size() > kMaxReasonBytes)
        return {WriteError::TooLong};
    if (write.deleted && !table->may_delete) return {WriteError::NotDeletable};
    const auto* stored = store_.find(write.name);
    if (!stored && write.deleted) return {WriteError::NotFound};
    if ((!stored && !has_room_for(write.name, 1)) || pending_.size() >= kMaxPendingWrites)
        return {WriteError::TableFull};
    Entry entry = stored ? stored->entry : Entry{table->rule, {}, {}};
    if (table->rule == ConflictRule::Greatest && !entry.versions.empty() &&
        entry.versions[0].rank >= write.value.rank)
        return {WriteError::NotGreater};
    const Timestamp timestamp = clock_.next(wall_time);
    if (timestamp == 0) return {WriteError::ClockSkew};
    Version version;
    version.dot = {self_.boot, ++dot_count_};
    version.timestamp = timestamp;
    version.expires = write.expires;
    version.rank = write.value.rank;
    version.deleted = write.deleted;
    version.value = std::move(write.value.bytes);
    version.written_by = self_.name;
    version.reason = std::move(write.reason);
    const Entry before = entry;
    entry.write(std::move(version));
    record_changes(wall_time, write.name, entry, &before);
    put(write.name, std::move(entry));
    ++stats_.writes;
    const std::uint64_t ticket = ++last_ticket_;
    const std::size_t acks_required = concern.majority ? peers_.live_count() / 2 : concern.acks;
    if (acks_required == 0) {
        outcomes_.push_back({ticket, 0, 0, true});
    } else {
        PendingWrite& pending = pending_[ticket];
        pending.name = write.name;
        pending.acks_required = acks_required;
        pending.deadline = now + concern.timeout;
        request_acks(now, ticket, pending);
    }
    queue_push(write.name);
    return {WriteError::None, ticket};
}

void Replica::request_acks(Time now, std::uint64_t ticket, PendingWrite& pending) {
    pending.retry_at = now + kAckRetryInterval;
    const auto* stored = store_.find(pending.name);
    if (!stored) return;
    const std::size_t missing = pending.acks_required - std::min(pending.acks_required, pending.acked.size());
    std::size_t requests = 0;
    for (const Peer& other : peers_.sample(pending.asked.size() + missing + kExtraAckRequests)) {
        if (requests >= missing + kExtraAckRequests) break;
        if (pending.acked.contains(other.id)) continue;
        // One that was asked and said nothing is asked again only where there is nobody else.
        if (pending.asked.contains(other.id) && pending.asked.size() + 1 < peers_.live_count()) continue;
        pending.asked.insert(other.id);
        ++requests;
        Message push;
        push.kind = Message::Kind::Push;
        push.seq = ticket;
        push.entries.push_back({pending.name, stored->entry});
        spend_budget(now, replica::size_of(push.entries.back()), false);
        send(other, std::move(push));
    }
    if (requests == 0) pending.asked = pending.acked;  // all anew
}

void Replica::put(const EntryName& name, Entry entry) {
    store_.put(name, std::move(entry));
    changed_names_.insert(name);
}

void Replica::erase(const EntryName& name) {
    if (const auto queued = push_queue_.find(name); queued != push_queue_.end()) {
        push_order_.erase({queued->second.serial, name});
        push_queue_.erase(queued);
    }
    changed_names_.insert(name);
    store_.erase(name);
}

void Replica::queue_push(const EntryName& name) {
    if (push_queue_.size() >= kMaxQueuedPushes) return;
    QueuedPush& queued = push_queue_[name];
    push_order_.erase({queued.serial, name});
    queued = {0, ++push_serial_};
    push_order_.emplace(queued.serial, name);
}

// ---- what others hold ---------------------------------------------------------------------------------

bool Replica::merge_remote(WallTime wall_time, const NamedEntry& remote, Timestamp horizon, Source source) {
    const auto* stored = store_.find(remote.name);
    const Horizons horizons{horizon_, horizon};
    if (!stored) {
        if (store_.positions().contains(position_of(remote.name)) ||
            !has_room_for(remote.name, kRemoteOverfillFactor)) {
            ++stats_.table_full;
            return false;
        }
        const Table* table = find_table(remote.name.table);
        Entry entry{table ? table->rule : remote.entry.rule, {}, {}};
        merge(entry, remote.entry, horizons);
        const auto is_dead = [this](const Version& version) { return version.dead_since() <= horizon_; };
        // A tombstone whose time is over has nothing left to say here.
        if (std::all_of(entry.versions.begin(), entry.versions.end(), is_dead)) return false;
        record_changes(wall_time, remote.name, entry, nullptr);
        put(remote.name, std::move(entry));
    } else {
        Entry entry = stored->entry;
        if (!merge(entry, remote.entry, horizons)) return false;
        if (entry.versions.empty()) {
            ++stats_.dropped;
            erase(remote.name);
            return true;
        }
        if (entry.versions == stored->entry.versions) {
            store_.replace_context(remote.name,
                                   std::move(entry));  // it only knows more of what is overwritten
            return false;
        }
        record_changes(wall_time, remote.name, entry, &stored->entry);
        put(remote.name, std::move(entry));
    }
    ++stats_.merged;
    if (source == Source::Push) queue_push(remote.name);
    return true;
}

void Replica::record_changes(WallTime wall_time, const EntryName& name, const Entry& entry,
                             const Entry* before) {
    for (const Version& version : entry.versions) {
        if (before && before->find(version.dot)) continue;
        const auto kind = entry.versions.size() > 1 ? HistoryRecord::Kind::Concurrent
                          : version.deleted         ? HistoryRecord::Kind::Deleted
                                                    : HistoryRecord::Kind::Written;
        add_to_history(
            {wall_time, name, kind, version.written_by, text_of(name.table, version.value), version.reason});
    }
}

void Replica::add_to_history(HistoryRecord record) {
    history_.push_back(std::move(record));
    if (history_.size() > kMaxHistory) history_.pop_front();
}

void Replica::receive(Time now, WallTime wall_time, const Peer& from, const Message& message) {
    const auto is_valid = [&](const NamedEntry& entry) {
        return std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                           [&](const Version& version) { return version.timestamp <= message.sent_at; });
    };
    if (!std::all_of(message.entries.begin(), message.entries.end(), is_valid)) {
        ++stats_.invalid;  // who tells of a stamp has seen it
        return;
    }
    if (!clock_.observe(message.sent_at, wall_time)) {
        ++stats_.ahead;
        ahead_.emplace(
            from.id.name,
            std::chrono::milliseconds(static_cast<std::int64_t>(wall_time_of(message.sent_at) - wall_time)));
        return;
    }
    switch (message.kind) {
        case Message::Kind::Push: {
            const bool was_empty = push_queue_.empty();
            for (const NamedEntry& entry : message.entries)
                merge_remote(wall_time, entry, message.horizon, Source::Push);
            if (was_empty && !push_queue_.empty())
                flush_at_ = std::max(flush_at_, now + settings_.push_every / 5);
            if (message.seq == 0) break;
            Message ack;
            ack.kind = Message::Kind::Ack;
            ack.seq = message.seq;
            send(from, std::move(ack));
            break;
        }
        case Message::Kind::Repair:
            for (const NamedEntry& entry : message.entries)
                merge_remote(wall_time, entry, message.horizon, Source::Repair);
            break;
        case Message::Kind::Ack: {
            const auto it = pending_.find(message.seq);
            if (it == pending_.end() || !it->second.asked.contains(from.id)) break;
            it->second.acked.insert(from.id);
            if (it->second.acked.size() < it->second.acks_required) break;
            outcomes_.push_back({it->first, it->second.acked.size(), it->second.acks_required, true});
            pending_.erase(it);
            break;
        }
        case Message::Kind::Ranges:
            handle_ranges(now, wall_time, from, message);
            break;
        case Message::Kind::Request: {
            std::vector<EntryName> names;
            for (const std::uint64_t position : message.requested) {
                if (const auto it = store_.positions().find(position); it != store_.positions().end())
                    names.push_back(it->second->first);
            }
            send_repairs(now, from, names);
            break;
        }
        case Message::Kind::FetchPage:
            send_page(now, from, message.from_position);
            break;
        case Message::Kind::Page:
            handle_page(now, wall_time, from, message);
            break;
    }
}

// ---- telling what is new ------------------------------------------------------------------------------

void Replica::flush(Time now) {
    if (push_queue_.empty()) return;
    flush_at_ = now + settings_.push_every;
    Message push;
    push.kind = Message::Kind::Push;
    std::size_t bytes = kMessageOverheadBytes;
    std::vector<EntryName> pushed;
    for (const auto& [serial, name] : push_order_) {
        if (const auto* stored = store_.find(name)) {
            NamedEntry entry{name, stored->entry};
            const std::size_t size = replica::size_of(entry);
            if (!push.entries.empty() && bytes + size > kMaxBatchBytes) break;
            bytes += size;
            push.entries.push_back(std::move(entry));
        }
        pushed.push_back(name);
    }
    const auto to = peers_.sample(settings_.push_to);
    if (to.empty()) {
        // Nobody is there: whoever comes compares.
        push_queue_.clear();
        push_order_.clear();
        return;
    }
    if (!spend_budget(now, bytes * to.size(), false)) return;
    for (const EntryName& name : pushed) {
        QueuedPush& queued = push_queue_.at(name);
        push_order_.erase({queued.serial, name});
        if (++queued.rounds >= settings_.push_times) {
            push_queue_.erase(name);
        } else {
            queued.serial = ++push_serial_;
            push_order_.emplace(queued.serial, name);
        }
    }
    for (const Peer& other : to) {
        ++stats_.pushes;
        send(other, push);
    }
}

bool Replica::spend_budget(Time now, std::size_t bytes, bool bulk) {
    const double max_budget = static_cast<double>(settings_.bytes_per_second);
    const double elapsed_s = static_cast<double>((now - budget_updated_at_) / 1us) / 1e6;
    budget_updated_at_ = now;
    send_budget_ = std::min(max_budget, send_budget_ + elapsed_s * max_budget);
    // What repairs leaves half to what is new.
    if (send_budget_ < (bulk ? max_budget / 2 : 0.0)) {
        ++stats_.throttled;
        return false;
    }
    send_budget_ -= static_cast<double>(bytes);  // may fall below 0 by one message
    stats_.bytes += bytes;
    return true;
}

void Replica::send(const Peer& to, Message message) {
    // A member that has written and seen nothing has no stamp: nor has what it says.
    message.sent_at = clock_.last();
    message.horizon = horizon_;
    outgoing_.push_back({to, std::move(message)});
}

// ---- finding differences --------------------------------------------------------------------------------

void Replica::start_comparison(Time now) {
    const auto jitter =
        static_cast<Duration::rep>(random_below(static_cast<std::uint64_t>(settings_.compare_every.count())));
    compare_at_ = now + settings_.compare_every / 2 + Duration{jitter};
    std::optional<Peer> with = std::exchange(compare_with_, std::nullopt);
    if (!with) {
        const auto others = peers_.sample(1);
        if (others.empty()) return;
        with = others[0];
    }
    Message message;
    message.kind = Message::Kind::Ranges;
    const Digests::Sum all = store_.digests().sum_of(0, 0);
    message.ranges.push_back({0, 0, all.sum, all.count, false, {}});
    send(*with, std::move(message));
}

/// The reply's bytes so far are counted, and what finds no room is left for the next time.
struct Replica::ComparisonReply {
    Message reply;
    std::size_t bytes = 0;
    bool cut_short = false;
    std::vector<EntryName> repairs;
    bool reserve(std::size_t more) {
        if (bytes + more > kMaxBatchBytes) {
            cut_short = true;
            return false;
        }
        bytes += more;
        return true;
    }
};

void Replica::handle_ranges(Time now, WallTime wall_time, const Peer& from, const Message& message) {
    ComparisonReply out;
    out.reply.kind = Message::Kind::Ranges;
    for (const Range& range : message.ranges) {
        if (range.level > Digests::kLevels) continue;
        if (range.has_summaries) {
            compare_summaries(wall_time, message, range, out);
        } else if (!range.child_sums.empty() && range.level < Digests::kLevels) {
            for (std::uint64_t branch = 0; branch < Digests::kBranches; ++branch) {
                const std::uint64_t prefix = range.prefix << Digests::kBranchBits | branch;
                if (store_.digests().sum_of(range.level + 1, prefix).sum != range.child_sums[branch])
                    descend(range.level + 1, prefix, out);
            }
        } else if (range.level == 0) {
            const Digests::Sum local = store_.digests().sum_of(0, 0);
            if (local == Digests::Sum{range.sum, range.count}) {
                mark_caught_up();
            } else if (local.count + range.count / kFetchMissingDivisor + kFetchMinMissing < range.count) {
                start_fetch(now, from);
            } else if (range.count + local.count / kFetchMissingDivisor + kFetchMinMissing < local.count) {
                out.reply.ranges.push_back({0, 0, local.sum, local.count, false, {}});  // it will fetch
            } else {
                descend(0, 0, out);
            }
        }
    }
    Message request;
    request.kind = Message::Kind::Request;
    request.requested = std::exchange(out.reply.requested, {});
    if (!out.reply.ranges.empty()) send(from, std::move(out.reply));
    if (!request.requested.empty()) send(from, std::move(request));
    send_repairs(now, from, out.repairs);
    if (!out.cut_short) return;
    // What found no room is looked for once these are repaired.
    compare_with_ = from;
    compare_at_ = std::min(compare_at_, now + kCompareRetryDelay);
}

void Replica::descend(std::uint32_t level, std::uint64_t prefix, ComparisonReply& out) const {
    const Digests::Sum local = store_.digests().sum_of(level, prefix);
    if (level == Digests::kLevels || local.count <= kMaxListedEntries) {
        if (out.reserve(kRangeBytes + local.count * kSummaryBytes) &&
            out.reply.summaries.size() + local.count <= kMaxSummaries && out.reply.ranges.size() < kMaxRanges)
            add_summaries(level, prefix, out.reply);
        return;
    }
    if (out.reply.ranges.size() >= kMaxRanges || !out.reserve(kRangeBytes + 8 * Digests::kBranches)) return;
    Range range{level, prefix, local.sum, local.count, false, {}};
    for (std::uint64_t branch = 0; branch < Digests::kBranches; ++branch)
        range.child_sums.push_back(
            store_.digests().sum_of(level + 1, prefix << Digests::kBranchBits | branch).sum);
    out.reply.ranges.push_back(std::move(range));
}

void Replica::add_summaries(std::uint32_t level, std::uint64_t prefix, Message& reply) const {
    const Digests::Sum local = store_.digests().sum_of(level, prefix);
    reply.ranges.push_back({level, prefix, local.sum, local.count, true, {}});
    const std::uint64_t last = Digests::last_of(level, prefix);
    for (auto it = store_.positions().lower_bound(Digests::first_of(level, prefix));
         it != store_.positions().end() && it->first <= last; ++it)
        reply.summaries.push_back(
            {it->first, it->second->second.hash, it->second->second.entry.latest_timestamp()});
}

/// `range` as the other has it, with all heads.
void Replica::compare_summaries(WallTime wall_time, const Message& message, const Range& range,
                                ComparisonReply& out) {
    const std::uint64_t first = Digests::first_of(range.level, range.prefix);
    const std::uint64_t last = Digests::last_of(range.level, range.prefix);
    std::map<std::uint64_t, const EntrySummary*> remote;
    for (const EntrySummary& summary : message.summaries) {
        if (summary.position >= first && summary.position <= last) remote.emplace(summary.position, &summary);
    }
    if (remote.size() != range.count) return;
    bool send_back = false;
    std::vector<EntryName> drop;
    for (auto it = store_.positions().lower_bound(first); it != store_.positions().end() && it->first <= last;
         ++it) {
        const EntryStore::StoredEntry& stored = it->second->second;
        const auto summary = remote.find(it->first);
        if (summary == remote.end()) {
            if (stored.entry.latest_timestamp() <= message.horizon && message.horizon > horizon_) {
                drop.push_back(it->second->first);
            } else {
                out.repairs.push_back(it->second->first);
            }
        } else if (summary->second->hash != stored.hash) {
            out.repairs.push_back(it->second->first);
        }
    }
    for (const auto& [position, summary] : remote) {
        const auto local = store_.positions().find(position);
        if (local != store_.positions().end() && local->second->second.hash == summary->hash) continue;
        if (local == store_.positions().end() && summary->timestamp <= horizon_ &&
            horizon_ > message.horizon) {
            send_back = true;
        } else if (out.reply.requested.size() < kMaxRequested) {
            out.reply.requested.push_back(position);
        }
    }
    for (const EntryName& name : drop) {
        ++stats_.dropped;
        add_to_history(
            {wall_time, name, HistoryRecord::Kind::Dropped, {}, {}, "older than what others keep"});
        erase(name);
    }
    const std::size_t summaries = store_.digests().sum_of(range.level, range.prefix).count;
    if (send_back && out.reply.ranges.size() < kMaxRanges &&
        out.reserve(kRangeBytes + summaries * kSummaryBytes))
        add_summaries(range.level, range.prefix, out.reply);
}

void Replica::send_repairs(Time now, const Peer& to, const std::vector<EntryName>& names) {
    Message push;
    push.kind = Message::Kind::Repair;
    std::size_t bytes = kMessageOverheadBytes;
    const auto flush_batch = [&] {
        if (push.entries.empty()) return true;
        if (!spend_budget(now, bytes, true)) return false;
        stats_.repairs += push.entries.size();
        send(to, push);
        push.entries.clear();
        bytes = kMessageOverheadBytes;
        return true;
    };
    for (const EntryName& name : names) {
        const auto* stored = store_.find(name);
        if (!stored) continue;
        NamedEntry entry{name, stored->entry};
        const std::size_t size = replica::size_of(entry);
        if (bytes + size > kMaxBatchBytes && !flush_batch()) return;
        bytes += size;
        push.entries.push_back(std::move(entry));
    }
    flush_batch();
}

// ---- catching up ----------------------------------------------------------------------------------------

void Replica::start_fetch(Time now, const Peer& from) {
    if (fetch_) return;
    fetch_.emplace();
    fetch_->source = from;
    request_page(now);
}

void Replica::request_page(Time now) {
    // The giver may be gone, or another's turn has come.
    if (fetch_->asked_at != Time{} && (fetch_->retry_at <= now || fetch_->pages >= kPagesPerSource)) {
        fetch_->pages = 0;
        if (const auto others = peers_.sample(1); !others.empty()) fetch_->source = others[0];
    }
    fetch_->asked_at = now;
    fetch_->retry_at = now + kPageTimeout;
    Message fetch;
    fetch.kind = Message::Kind::FetchPage;
    fetch.from_position = fetch_->cursor;
    send(fetch_->source, std::move(fetch));
}

void Replica::send_page(Time now, const Peer& to, std::uint64_t from) {
    Message page;
    page.kind = Message::Kind::Page;
    page.from_position = page.next_position = from;
    std::size_t bytes = kMessageOverheadBytes;
    auto it = store_.positions().lower_bound(from);
    for (; it != store_.positions().end(); ++it) {
        NamedEntry entry{it->second->first, it->second->second.entry};
        const std::size_t size = replica::size_of(entry);
        if (!page.entries.empty() && bytes + size > kMaxPageBytes) break;
        bytes += size;
        page.entries.push_back(std::move(entry));
    }
    page.is_last = it == store_.positions().end();
    page.next_position = page.is_last ? 0 : it->first;
    if (!spend_budget(now, bytes, true)) {
        page.entries.clear();
        page.busy = true;
        page.is_last = false;
        page.next_position = from;
    } else {
        ++stats_.pages;
    }
    send(to, std::move(page));
}

/// Each page is whole by itself: what was taken stays true whatever becomes of the rest, and the next giver
/// goes on from the same place.
void Replica::handle_page(Time now, WallTime wall_time, const Peer& from, const Message& message) {
    if (!fetch_ || message.from_position != fetch_->cursor || from.id != fetch_->source.id) return;
    if (message.busy) {
        fetch_->retry_at = now + kBusyRetryDelay;
        return;
    }
    for (const NamedEntry& entry : message.entries)
        merge_remote(wall_time, entry, message.horizon, Source::Repair);
    if (message.is_last || message.next_position <= fetch_->cursor) {
        fetch_.reset();
        caught_up_ = true;
        return;
    }
    fetch_->cursor = message.next_position;
    ++fetch_->pages;
    request_page(now);
}

// ---- tombstones ---------------------------------------------------------------------------------------

void Replica::advance_horizon(Time now, WallTime wall_time) {
    if (peers_.live_count() < 2) caught_up_ = true;
    // A side that has no majority keeps all: it may be the one that missed something.
    if (2 * peers_.live_count() <= peers_.known_count()) {
        majority_since_.reset();
        return;
    }
    if (!majority_since_) majority_since_ = now;
    if (!caught_up_ || now - *majority_since_ < settings_.tombstones) return;
    const WallTime step = std::max<WallTime>(1, milliseconds(settings_.tombstones) / kHorizonSteps);
    const WallTime until = (wall_time - milliseconds(settings_.tombstones)) / step * step;
    if (timestamp_of(until) <= horizon_) return;
    horizon_ = timestamp_of(until);
    purge_from_.emplace();
}

void Replica::purge(Time now) {
    purge_at_ = now + kPurgeDelay;
    auto it = store_.entries().lower_bound(*purge_from_);
    for (std::size_t examined = 0; it != store_.entries().end() && examined < kPurgeBatchEntries;
         ++examined) {
        const auto current = it++;
        Entry entry = current->second.entry;
        if (entry.purge_before(horizon_)) {
            ++stats_.purged;
            const EntryName name = current->first;
            erase(name);
        } else {
            store_.replace_context(current->first, std::move(entry));
        }
    }
    if (it == store_.entries().end()) {
        purge_from_.reset();
    } else {
        purge_from_ = it->first;
    }
}

// ---- small things -------------------------------------------------------------------------------------

const Entry* Replica::find(const EntryName& name) const {
    const auto* stored = store_.find(name);
    return stored ? &stored->entry : nullptr;
}

const Version* Replica::get(const EntryName& name, WallTime wall_time) const {
    const Entry* entry = find(name);
    return entry ? entry->resolve(wall_time) : nullptr;
}

void Replica::merge_from_disk(WallTime wall_time, Timestamp horizon, const std::vector<NamedEntry>& entries) {
    for (const NamedEntry& entry : entries) {
        const bool is_valid =
            std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                        [&](const Version& v) { return clock_.observe(v.timestamp, wall_time); });
        if (is_valid) merge_remote(wall_time, entry, horizon, Source::Repair);
    }
}

void Replica::restore(Timestamp horizon, std::vector<NamedEntry> entries, WallTime wall_time) {
    horizon_ = horizon;
    for (NamedEntry& entry : entries) {
        const bool is_valid =
            std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                        [&](const Version& v) { return clock_.observe(v.timestamp, wall_time); });
        const bool is_dead = std::all_of(entry.entry.versions.begin(), entry.entry.versions.end(),
                                         [&](const Version& v) { return v.dead_since() <= horizon; });
        if (!is_valid || is_dead || store_.positions().contains(position_of(entry.name))) {
            ++stats_.invalid;
            continue;
        }
        put(entry.name, std::move(entry.entry));
    }
}

}  // namespace martenford::replica
