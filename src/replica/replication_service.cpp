#include "replica/replication_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>

#include "core/events.h"
#include "core/wall_clock.h"
#include "core/words.h"
#include "framing/frame.h"

namespace martenford::replica {

namespace {

constexpr Duration kStartRetryInterval = 50ms;  // until there is a place in the fleet
constexpr Duration kPeriodicInterval = 500ms;   // for the roster, and for what expires
constexpr std::size_t kMaxOutcomes = 256;
constexpr WallTime kMinTtlMs = 10'000;          // milliseconds: an operator's word lasts so long at least,
constexpr WallTime kMaxTtlMs = 24 * 3'600'000;  // and at most: what is forgotten ends by itself
constexpr std::int64_t kMaxTimeoutMs = 60'000;  // milliseconds that a write may wait for others
constexpr std::size_t kMaxDeferred = 4096;  // answers that wait for the disk; the oldest then are not given
constexpr std::size_t kMaxKnownMembers = 20'000;

std::uint64_t random_seed() {
    std::random_device random;
    return static_cast<std::uint64_t>(random()) << 32 | random();
}

WallTime wall_time_now() {
    return static_cast<WallTime>(wall_ms());
}

std::optional<std::uint64_t> number_of(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return number;
}

std::string refused(std::string_view why) {
    return fmt::format("refused={}\n", percent_encode(why));
}

}  // namespace

ReplicationService::ReplicationService(EventLoop& loop, const Options& options, peers::Peers& peers,
                                       const std::string& fleet, Counters& counters)
    : loop_(loop),
      options_(options),
      peers_(peers),
      replica_timer_(loop),
      periodic_timer_(loop),
      bytes_out_(counters.counter("state.bytes_out", "bytes of shared state given to other sidecars")),
      unreadable_(counters.counter("state.bad", "messages of shared state that could not be read")) {
    const auto add_gauge = [&](const char* name, const char* help, auto read) {
        counters.gauge(name, help,
                       [this, read] { return replica_ ? static_cast<double>(read(*replica_)) : 0.0; });
    };
    using Copy = const Replica&;
    add_gauge("state.entries", "entries held, of all tables", [](Copy c) { return c.size(); });
    add_gauge("state.caught_up", "1: it has had all that another had",
              [](Copy c) { return c.caught_up() ? 1 : 0; });
    add_gauge("state.writes", "writes of this sidecar", [](Copy c) { return c.stats().writes; });
    add_gauge("state.merged", "entries that others brought", [](Copy c) { return c.stats().merged; });
    add_gauge("state.repairs", "entries given to one that lacked them",
              [](Copy c) { return c.stats().repairs; });
    add_gauge("state.full", "entries refused because a table was full",
              [](Copy c) { return c.stats().table_full; });
    add_gauge("state.ahead", "messages refused because a clock was ahead",
              [](Copy c) { return c.stats().ahead; });
    add_gauge("state.skipped", "messages that had to wait for bytes",
              [](Copy c) { return c.stats().throttled; });
    counters.gauge("state.kept", "1 while what is written here is made durable",
                   [this] { return snapshot_ && snapshot_->available() ? 1.0 : 0.0; });
    peers_.on_payload([this](const fleet::Id& from, const std::string& address, const std::string& bytes) {
        handle_message(from, address, bytes);
    });
    if (!options_.directory.empty()) {
        snapshot_.emplace(loop_, options_.helper, options_.directory, fleet, options_.replication.tombstones,
                          SnapshotClient::Callbacks{[this](SnapshotClient::Loaded&& loaded) {
                                                        if (replica_) return merge_loaded(std::move(loaded));
                                                        loaded_ = std::move(loaded);
                                                        wait_for_fleet();
                                                    },
                                                    [this](std::uint64_t seq) { on_persisted(seq); }});
        snapshot_->start();
    }
    wait_for_fleet();
}

ReplicationService::~ReplicationService() {
    peers_.on_payload({});
}

std::vector<Peer> ReplicationService::sample(std::size_t count) {
    std::vector<Peer> result;
    for (auto& peer : peers_.sample_peers(count))
        result.push_back({std::move(peer.id), std::move(peer.address)});
    return result;
}

std::size_t ReplicationService::live_count() const {
    return peers_.fleet() ? peers_.fleet()->live_count() : 1;
}

void ReplicationService::wait_for_fleet() {
    if (!start_replica())
        return replica_timer_.set(loop_.now() + kStartRetryInterval, [this] { wait_for_fleet(); });
    run_periodic();
    run_replica();
}

bool ReplicationService::start_replica() {
    if (replica_) return true;
    if (!peers_.fleet() || (snapshot_ && !loaded_)) return false;
    replica_.emplace(options_.replication, peers_.fleet()->self().id, static_cast<PeerDirectory&>(*this),
                     random_seed());
    endpoint_overrides_.emplace(*replica_, peers_.fleet()->self().id.name, options_.registry, random_seed());
    started_at_ = loop_.now();
    if (loaded_) {
        from_disk_ = !loaded_->entries.empty();
        replica_->restore(loaded_->horizon, std::move(loaded_->entries), wall_time_now());
        loaded_.reset();
        if (snapshot_->available()) persist_all();  // without what was damaged, or is over
    }
    replica_->tick(started_at_, wall_time_now());
    return true;
}

void ReplicationService::run_periodic() {
    periodic_timer_.set(loop_.now() + kPeriodicInterval, [this] {
        run_periodic();
        run_replica();
    });
    const Time now = loop_.now();
    for (const fleet::MemberView& view : peers_.fleet()->members()) {
        if (view.state == fleet::ObservedState::Left) {
            last_alive_.erase(view.id.name);
        } else if (view.state != fleet::ObservedState::Dead) {
            if (last_alive_.size() < kMaxKnownMembers || last_alive_.contains(view.id.name))
                last_alive_[view.id.name] = now;
        }
    }
    std::erase_if(last_alive_, [now](const auto& entry) { return entry.second + kMaxAbsence < now; });
    if (on_endpoint_override_) {
        for (const std::string& uid : endpoint_overrides_->take_expired(wall_time_now()))
            on_endpoint_override_(uid, endpoint_overrides_->override_of(uid, wall_time_now(), live_count()));
    }
}

void ReplicationService::handle_message(const fleet::Id& from, const std::string& address,
                                        const std::string& bytes) {
    if (!start_replica()) return;
    const Message message = read_message(bytes);  // what can't be read ends the link
    replica_->receive(loop_.now(), wall_time_now(), {from, address}, message);
    run_replica();
}

void ReplicationService::run_replica() {
    if (!replica_ || std::exchange(running_, true)) return;
    const Time now = loop_.now();
    if (replica_->next() <= now) replica_->tick(now, wall_time_now());
    if (const auto due = endpoint_overrides_->next(); due && *due <= now) {
        for (Write& write : endpoint_overrides_->writes(now, wall_time_now()))
            replica_->write(now, wall_time_now(), std::move(write));
        replica_->tick(now, wall_time_now());  // what is new goes out at once
    }
    const std::set<EntryName> changes = replica_->take_changed_names();
    if (snapshot_) persist(changes);
    const auto when_persisted = [this](std::function<void()> action) {
        if (!snapshot_ || persisted_ >= last_persist_) return action();
        deferred_.emplace_back(last_persist_, std::move(action));
        if (deferred_.size() > kMaxDeferred) deferred_.pop_front();
    };
    for (Replica::Outgoing& send : replica_->take_outgoing()) {
        std::string bytes = bytes_of(send.message);
        const auto send_bytes = [this, address = send.to.address, bytes = std::move(bytes)] {
            bytes_out_.add(bytes.size());
            peers_.send_payload(address, bytes);
        };
        // Whoever is told that it is held here may count on it after a crash.
        send.message.kind == Message::Kind::Ack ? when_persisted(send_bytes) : send_bytes();
    }
    for (const Replica::Outcome& outcome : replica_->take_outcomes()) {
        when_persisted([this, outcome] {
            outcomes_[outcome.ticket] = outcome;
            if (outcomes_.size() > kMaxOutcomes) outcomes_.erase(outcomes_.begin());
        });
    }
    notify_endpoint_overrides(changes);
    if (replica_->caught_up() && !std::exchange(reported_caught_up_, true))
        log_event(Event::StateCaughtUp, fmt::format("state: caught up, {} entries", replica_->size()),
                  {{"ms", std::to_string((loop_.now() - started_at_) / 1ms)}});
    running_ = false;
    Time when = replica_->next();
    if (const auto due = endpoint_overrides_->next()) when = std::min(when, *due);
    replica_timer_.set(std::max(when, now), [this] { run_replica(); });
}

void ReplicationService::persist(const std::set<EntryName>& names) {
    if (names.empty()) return;
    std::vector<NamedEntry> entries;
    std::vector<EntryName> erased;
    for (const EntryName& name : names) {
        if (const Entry* entry = replica_->find(name)) {
            entries.push_back({name, *entry});
        } else {
            erased.push_back(name);
        }
    }
    last_persist_ = snapshot_->persist(replica_->horizon(), entries, erased);
}

/// A helper was lost and is there again, or is there for the first time after all.
void ReplicationService::merge_loaded(SnapshotClient::Loaded&& loaded) {
    replica_->merge_from_disk(wall_time_now(), loaded.horizon, loaded.entries);
    persist_all();
    run_replica();
}

/// The helper is new, or what it has is not all that is here.
void ReplicationService::persist_all() {
    if (!replica_) return;
    std::vector<NamedEntry> entries;
    replica_->for_each("", [&](const EntryName& name, const Entry& entry) {
        entries.push_back({name, entry});
    });
    last_persist_ = snapshot_->persist(replica_->horizon(), entries, {}, true);
}

void ReplicationService::on_persisted(std::uint64_t seq) {
    persisted_ = std::max(persisted_, seq);
    while (!deferred_.empty() && deferred_.front().first <= persisted_) {
        const auto action = std::move(deferred_.front().second);
        deferred_.pop_front();
        action();
    }
}

void ReplicationService::notify_endpoint_overrides(const std::set<EntryName>& names) {
    if (on_ejected_by_others_) {
        std::set<std::string> accused;
        for (const EntryName& name : names) {
            if (name.table == "verdicts") accused.insert(name.key.substr(0, name.key.rfind('/')));
        }
        for (const std::string& uid : accused) {
            if (endpoint_overrides_->ejected_by_others(uid, wall_time_now(), live_count()))
                on_ejected_by_others_(uid);
        }
    }
    if (!on_endpoint_override_) return;
    std::set<std::string> uids;
    for (const EntryName& name : names) {
        if (auto uid = EndpointOverrides::endpoint_of(name)) uids.insert(std::move(*uid));
    }
    for (const std::string& uid : uids)
        on_endpoint_override_(uid, endpoint_overrides_->override_of(uid, wall_time_now(), live_count()));
}

void ReplicationService::ejected(const std::string& uid, std::uint32_t failed) {
    if (!start_replica() || uid.size() + 1 + replica_->self().name.size() > kMaxKeyBytes) return;
    replica_->write(loop_.now(), wall_time_now(), endpoint_overrides_->verdict(uid, failed, wall_time_now()));
    run_replica();
}

void ReplicationService::drained(const std::string& uid, const Drain& drain) {
    if (!start_replica() || uid.size() + 2 > kMaxKeyBytes) return;
    endpoint_overrides_->drained(uid, drain, loop_.now());
    run_replica();
}

// ---- what operators ask ---------------------------------------------------------------------------------

std::optional<std::string> ReplicationService::answer(std::string_view line) {
    if (!line.starts_with("state ")) return std::nullopt;
    if (!start_replica()) return refused("no place in the fleet yet");
    const auto [verb, rest] = split_first_word(line.substr(6));
    if (verb == "put" || verb == "delete") return put(rest, verb == "delete");
    if (verb == "tables") return tables();
    if (verb == "get") return entries(percent_decode(rest).value_or(""), false);
    if (verb == "conflicts") return entries("", true);
    if (verb == "history") return history();
    if (verb == "self") return self();
    if (verb == "outcome") return outcome(number_of(rest).value_or(0));
    return std::nullopt;
}

/// TABLE KEY VALUE [others=N|majority] [within=MS] [expires=MS] [reason=TEXT]; a deletion has no value.
std::string ReplicationService::put(std::string_view words, bool deleted) {
    Write write;
    WriteConcern concern;
    std::vector<std::string> positional;
    while (!words.empty()) {
        const auto [word, rest] = split_first_word(words);
        words = rest;
        const auto text = percent_decode(word);
        if (!text) return refused("a word can't be read");
        if (positional.size() < (deleted ? 2 : 3)) {
            positional.push_back(*text);
            continue;
        }
        const auto equals = text->find('=');
        const std::string name = text->substr(0, equals);
        const std::string value = equals == text->npos ? "" : text->substr(equals + 1);
        const auto number = number_of(value);
        if (name == "others" && number) {
            concern.acks = *number;
        } else if (name == "majority") {
            concern.majority = true;
        } else if (name == "within" && number) {
            concern.timeout = std::chrono::milliseconds(std::min<std::int64_t>(
                static_cast<std::int64_t>(std::min<std::uint64_t>(*number, kMaxTimeoutMs)), kMaxTimeoutMs));
        } else if (name == "expires" && number) {
            write.expires = wall_time_now() + std::clamp<WallTime>(*number, kMinTtlMs, kMaxTtlMs);
        } else if (name == "reason") {
            write.reason = value;
        } else {
            return refused(fmt::format("'{}' says nothing here", *text));
        }
    }
    if (positional.size() < (deleted ? 2 : 3)) return refused("a table, a key and a value are wanted");
    write.name = {positional[0], positional[1]};
    write.deleted = deleted;
    if (!deleted) {
        std::string error;
        const auto value = read_value(positional[0], positional[2], error);
        if (!value) return refused(error);
        write.value = *value;
        if (positional[0] == "overrides" && write.expires == 0)
            return refused("an override has an end: expires=MILLISECONDS");
    }
    const auto ticket = replica_->write(loop_.now(), wall_time_now(), std::move(write), concern);
    if (ticket.error != WriteError::None) return refused(text_of(ticket.error));
    replica_->tick(loop_.now(), wall_time_now());
    run_replica();
    return fmt::format("ticket={}\n", ticket.number);
}

std::string ReplicationService::tables() const {
    std::map<std::string, std::size_t> sizes;
    for (const Table& table : kTables) sizes[table.name] = replica_->size_of(table.name);
    replica_->for_each("", [&](const EntryName& name, const Entry&) {
        sizes.try_emplace(name.table, replica_->size_of(name.table));
    });
    std::string text;
    for (const auto& [name, size] : sizes) {
        const Table* table = find_table(name);
        text += fmt::format("table={} rule={} entries={} most={}\n", name,
                            table ? name_of(table->rule) : "unknown", size,
                            table ? table->max_entries : kMaxUnknownTableEntries);
    }
    return text;
}

std::string ReplicationService::entries(const std::string& table, bool conflicts) const {
    std::string text;
    const WallTime wall_time = wall_time_now();
    replica_->for_each(table, [&](const EntryName& name, const Entry& entry) {
        if (conflicts && !entry.conflicting(wall_time)) return;
        const Version* winner = entry.resolve(wall_time);
        for (const Version& version : entry.versions) {
            const bool is_winner = winner && winner->dot == version.dot;
            if (!is_winner && !conflicts && winner) continue;
            const WallTime written = wall_time_of(version.timestamp);
            text += fmt::format(
                "table={} key={} value={} standing={} by={} age_s={} expires_s={} writer={:016x} count={} "
                "versions={} reason={}\n",
                name.table, percent_encode(name.key),
                version.deleted ? "-" : percent_encode(text_of(name.table, version.value)), is_winner ? 1 : 0,
                percent_encode(version.written_by), wall_time > written ? (wall_time - written) / 1000 : 0,
                version.expires == 0          ? "never"
                : version.expires > wall_time ? std::to_string((version.expires - wall_time) / 1000)
                                              : "over",
                version.dot.writer, version.dot.count, entry.versions.size(), percent_encode(version.reason));
        }
    });
    return text;
}

std::string ReplicationService::history() const {
    constexpr const char* kKindNames[] = {"written", "deleted", "beside", "dropped"};
    std::string text;
    for (const Replica::HistoryRecord& record : replica_->history())
        text += fmt::format("at_ms={} what={} table={} key={} value={} by={} reason={}\n", record.at,
                            kKindNames[static_cast<std::size_t>(record.kind)], record.name.table,
                            percent_encode(record.name.key), percent_encode(record.text),
                            percent_encode(record.written_by), percent_encode(record.reason));
    return text;
}

std::string ReplicationService::outcome(std::uint64_t ticket) const {
    const auto it = outcomes_.find(ticket);
    if (it == outcomes_.end()) return fmt::format("ticket={} waits=1\n", ticket);
    return fmt::format("ticket={} got={} wanted={} reached={}\n", ticket, it->second.acks,
                       it->second.acks_required, it->second.reached ? 1 : 0);
}

std::string ReplicationService::self() const {
    const auto digest = replica_->digest();
    const auto& stats = replica_->stats();
    return fmt::format(
        "name={} boot={:016x} digest={:016x} entries={} caught_up={} from_disk={} kept={} fetching={} "
        "waiting={} live={} known={} "
        "horizon_ms={} ahead={} merged={} repairs={} pages={} dropped={} purged={} full={} skipped={}\n",
        replica_->self().name, replica_->self().boot, digest.sum, digest.count, replica_->caught_up() ? 1 : 0,
        from_disk_ ? 1 : 0,
        !snapshot_               ? "off"
        : snapshot_->available() ? "on"
                                 : "no",
        replica_->fetching() ? 1 : 0, replica_->queued_pushes(), live_count(), known_count(),
        wall_time_of(replica_->horizon()), replica_->ahead() ? percent_encode(replica_->ahead()->first) : "",
        stats.merged, stats.repairs, stats.pages, stats.dropped, stats.purged, stats.table_full,
        stats.throttled);
}

}  // namespace martenford::replica
