#include "replica/keeper.h"

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

constexpr Duration kLookAgain = 50ms;    // until there is a place in the fleet
constexpr Duration kRoundEvery = 500ms;  // for the roster, and for what expires
constexpr std::size_t kMostOutcomes = 256;
constexpr Wall kLeastLife = 10'000;           // milliseconds: an operator's word lasts so long at least,
constexpr Wall kMostLife = 24 * 3'600'000;    // and at most: what is forgotten ends by itself
constexpr std::int64_t kMostWithin = 60'000;  // milliseconds that a write may wait for others
constexpr std::size_t kMostUnsaid = 4096;     // answers that wait for the disk; the oldest then are not given
constexpr std::size_t kMostRoster = 20'000;

std::uint64_t random_seed() {
    std::random_device random;
    return static_cast<std::uint64_t>(random()) << 32 | random();
}

Wall wall_now() {
    return static_cast<Wall>(wall_ms());
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

Keeper::Keeper(EventLoop& loop, const Options& options, peers::Peers& peers, const std::string& fleet,
               Counters& counters)
    : loop_(loop),
      options_(options),
      peers_(peers),
      tick_(loop),
      round_(loop),
      bytes_out_(counters.counter("state.bytes_out", "bytes of shared state given to other sidecars")),
      bad_(counters.counter("state.bad", "messages of shared state that could not be read")) {
    const auto enter = [&](const char* name, const char* help, auto read) {
        counters.gauge(name, help, [this, read] { return copy_ ? static_cast<double>(read(*copy_)) : 0.0; });
    };
    using Copy = const Replica&;
    enter("state.entries", "entries held, of all tables", [](Copy c) { return c.size(); });
    enter("state.caught_up", "1: it has had all that another had",
          [](Copy c) { return c.caught_up() ? 1 : 0; });
    enter("state.writes", "writes of this sidecar", [](Copy c) { return c.figures().writes; });
    enter("state.merged", "entries that others brought", [](Copy c) { return c.figures().merged; });
    enter("state.repairs", "entries given to one that lacked them",
          [](Copy c) { return c.figures().repairs; });
    enter("state.full", "entries refused because a table was full", [](Copy c) { return c.figures().full; });
    enter("state.ahead", "messages refused because a clock was ahead",
          [](Copy c) { return c.figures().ahead; });
    enter("state.skipped", "messages that had to wait for bytes", [](Copy c) { return c.figures().skipped; });
    counters.gauge("state.kept", "1 while what is written here is made durable",
                   [this] { return shelf_ && shelf_->works() ? 1.0 : 0.0; });
    peers_.on_carried([this](const fleet::Id& from, const std::string& address, const std::string& bytes) {
        arrived(from, address, bytes);
    });
    if (!options_.directory.empty()) {
        shelf_.emplace(loop_, options_.helper, options_.directory, fleet, options_.pace.tombstones,
                       ShelfLink::Calls{[this](ShelfLink::Loaded&& loaded) {
                                            if (copy_) return absorb(std::move(loaded));
                                            loaded_ = std::move(loaded);
                                            look();
                                        },
                                        [this](std::uint64_t seq) { kept(seq); }});
        shelf_->start();
    }
    look();
}

Keeper::~Keeper() {
    peers_.on_carried({});
}

std::vector<Other> Keeper::some(std::size_t count) {
    std::vector<Other> result;
    for (auto& place : peers_.near(count)) result.push_back({std::move(place.id), std::move(place.address)});
    return result;
}

std::size_t Keeper::live() const {
    return peers_.fleet() ? peers_.fleet()->live() : 1;
}

void Keeper::look() {
    if (!begin()) return tick_.set(loop_.now() + kLookAgain, [this] { look(); });
    look_round();
    pump();
}

bool Keeper::begin() {
    if (copy_) return true;
    if (!peers_.fleet() || (shelf_ && !loaded_)) return false;
    copy_.emplace(options_.pace, peers_.fleet()->self().id, static_cast<Company&>(*this), random_seed());
    endpoint_overrides_.emplace(*copy_, peers_.fleet()->self().id.name, options_.registry, random_seed());
    began_ = loop_.now();
    if (loaded_) {
        from_disk_ = !loaded_->entries.empty();
        copy_->restore(loaded_->horizon, std::move(loaded_->entries), wall_now());
        loaded_.reset();
        if (shelf_->works()) keep_all();  // without what was damaged, or is over
    }
    copy_->tick(began_, wall_now());
    return true;
}

void Keeper::look_round() {
    round_.set(loop_.now() + kRoundEvery, [this] {
        look_round();
        pump();
    });
    const Time now = loop_.now();
    for (const fleet::View& view : peers_.fleet()->members()) {
        if (view.sight == fleet::Sight::Left) {
            roster_.erase(view.id.name);
        } else if (view.sight != fleet::Sight::Dead) {
            if (roster_.size() < kMostRoster || roster_.contains(view.id.name)) roster_[view.id.name] = now;
        }
    }
    std::erase_if(roster_, [now](const auto& entry) { return entry.second + kMayReturn < now; });
    if (on_endpoint_override_) {
        for (const std::string& uid : endpoint_overrides_->take_expired(wall_now()))
            on_endpoint_override_(uid, endpoint_overrides_->of(uid, wall_now(), live()));
    }
}

void Keeper::arrived(const fleet::Id& from, const std::string& address, const std::string& bytes) {
    if (!begin()) return;
    const Message message = read_message(bytes);  // what can't be read ends the link
    copy_->receive(loop_.now(), wall_now(), {from, address}, message);
    pump();
}

void Keeper::pump() {
    if (!copy_ || std::exchange(pumping_, true)) return;
    const Time now = loop_.now();
    if (copy_->next() <= now) copy_->tick(now, wall_now());
    if (const auto due = endpoint_overrides_->next(); due && *due <= now) {
        for (Write& write : endpoint_overrides_->writes(now, wall_now()))
            copy_->write(now, wall_now(), std::move(write));
        copy_->tick(now, wall_now());  // what is new goes out at once
    }
    const std::set<Name> changes = copy_->take_changes();
    if (shelf_) keep(changes);
    const auto when_kept = [this](std::function<void()> what) {
        if (!shelf_ || kept_ >= last_keep_) return what();
        unsaid_.emplace_back(last_keep_, std::move(what));
        if (unsaid_.size() > kMostUnsaid) unsaid_.pop_front();
    };
    for (Replica::Send& send : copy_->take_sends()) {
        std::string bytes = bytes_of(send.message);
        const auto carry = [this, address = send.to.address, bytes = std::move(bytes)] {
            bytes_out_.add(bytes.size());
            peers_.carry(address, bytes);
        };
        // Whoever is told that it is held here may count on it after a crash.
        send.message.kind == Message::Kind::Got ? when_kept(carry) : carry();
    }
    for (const Replica::Outcome& outcome : copy_->take_outcomes()) {
        when_kept([this, outcome] {
            outcomes_[outcome.ticket] = outcome;
            if (outcomes_.size() > kMostOutcomes) outcomes_.erase(outcomes_.begin());
        });
    }
    notify_endpoint_overrides(changes);
    if (copy_->caught_up() && !std::exchange(told_caught_up_, true))
        log_event(Event::StateCaughtUp, fmt::format("state: caught up, {} entries", copy_->size()),
                  {{"ms", std::to_string((loop_.now() - began_) / 1ms)}});
    pumping_ = false;
    Time when = copy_->next();
    if (const auto due = endpoint_overrides_->next()) when = std::min(when, *due);
    tick_.set(std::max(when, now), [this] { pump(); });
}

void Keeper::keep(const std::set<Name>& names) {
    if (names.empty()) return;
    std::vector<Named> entries;
    std::vector<Name> gone;
    for (const Name& name : names) {
        if (const Entry* entry = copy_->find(name)) {
            entries.push_back({name, *entry});
        } else {
            gone.push_back(name);
        }
    }
    last_keep_ = shelf_->keep(copy_->horizon(), entries, gone);
}

/// A helper was lost and is there again, or is there for the first time after all.
void Keeper::absorb(ShelfLink::Loaded&& loaded) {
    copy_->absorb(wall_now(), loaded.horizon, loaded.entries);
    keep_all();
    pump();
}

/// The helper is new, or what it has is not all that is here.
void Keeper::keep_all() {
    if (!copy_) return;
    std::vector<Named> entries;
    copy_->each("", [&](const Name& name, const Entry& entry) { entries.push_back({name, entry}); });
    last_keep_ = shelf_->keep(copy_->horizon(), entries, {}, true);
}

void Keeper::kept(std::uint64_t seq) {
    kept_ = std::max(kept_, seq);
    while (!unsaid_.empty() && unsaid_.front().first <= kept_) {
        const auto say = std::move(unsaid_.front().second);
        unsaid_.pop_front();
        say();
    }
}

void Keeper::notify_endpoint_overrides(const std::set<Name>& names) {
    if (on_ejected_by_others_) {
        std::set<std::string> accused;
        for (const Name& name : names) {
            if (name.table == "verdicts") accused.insert(name.key.substr(0, name.key.rfind('/')));
        }
        for (const std::string& uid : accused) {
            if (endpoint_overrides_->ejected_by_others(uid, wall_now(), live())) on_ejected_by_others_(uid);
        }
    }
    if (!on_endpoint_override_) return;
    std::set<std::string> uids;
    for (const Name& name : names) {
        if (auto uid = EndpointOverrides::endpoint_of(name)) uids.insert(std::move(*uid));
    }
    for (const std::string& uid : uids)
        on_endpoint_override_(uid, endpoint_overrides_->of(uid, wall_now(), live()));
}

void Keeper::ejected(const std::string& uid, std::uint32_t failed) {
    if (!begin() || uid.size() + 1 + copy_->self().name.size() > kMostKey) return;
    copy_->write(loop_.now(), wall_now(), endpoint_overrides_->verdict(uid, failed, wall_now()));
    pump();
}

void Keeper::drained(const std::string& uid, const Drain& drain) {
    if (!begin() || uid.size() + 2 > kMostKey) return;
    endpoint_overrides_->drained(uid, drain, loop_.now());
    pump();
}

// ---- what operators ask ---------------------------------------------------------------------------------

std::optional<std::string> Keeper::answer(std::string_view line) {
    if (!line.starts_with("state ")) return std::nullopt;
    if (!begin()) return refused("no place in the fleet yet");
    const auto [what, rest] = split_first_word(line.substr(6));
    if (what == "put" || what == "delete") return put(rest, what == "delete");
    if (what == "tables") return tables();
    if (what == "get") return entries(percent_decode(rest).value_or(""), false);
    if (what == "conflicts") return entries("", true);
    if (what == "history") return history();
    if (what == "self") return self();
    if (what == "outcome") return outcome(number_of(rest).value_or(0));
    return std::nullopt;
}

/// TABLE KEY VALUE [others=N|majority] [within=MS] [expires=MS] [reason=TEXT]; a deletion has no value.
std::string Keeper::put(std::string_view words, bool deleted) {
    Write write;
    Reach reach;
    std::vector<std::string> plain;
    while (!words.empty()) {
        const auto [word, rest] = split_first_word(words);
        words = rest;
        const auto text = percent_decode(word);
        if (!text) return refused("a word can't be read");
        if (plain.size() < (deleted ? 2 : 3)) {
            plain.push_back(*text);
            continue;
        }
        const auto equals = text->find('=');
        const std::string name = text->substr(0, equals);
        const std::string value = equals == text->npos ? "" : text->substr(equals + 1);
        const auto number = number_of(value);
        if (name == "others" && number) {
            reach.others = *number;
        } else if (name == "majority") {
            reach.majority = true;
        } else if (name == "within" && number) {
            reach.within = std::chrono::milliseconds(std::min<std::int64_t>(
                static_cast<std::int64_t>(std::min<std::uint64_t>(*number, kMostWithin)), kMostWithin));
        } else if (name == "expires" && number) {
            write.expires = wall_now() + std::clamp<Wall>(*number, kLeastLife, kMostLife);
        } else if (name == "reason") {
            write.reason = value;
        } else {
            return refused(fmt::format("'{}' says nothing here", *text));
        }
    }
    if (plain.size() < (deleted ? 2 : 3)) return refused("a table, a key and a value are wanted");
    write.name = {plain[0], plain[1]};
    write.deleted = deleted;
    if (!deleted) {
        std::string error;
        const auto value = read_value(plain[0], plain[2], error);
        if (!value) return refused(error);
        write.value = *value;
        if (plain[0] == "overrides" && write.expires == 0)
            return refused("an override has an end: expires=MILLISECONDS");
    }
    const auto ticket = copy_->write(loop_.now(), wall_now(), std::move(write), reach);
    if (ticket.refusal != Refusal::None) return refused(text_of(ticket.refusal));
    copy_->tick(loop_.now(), wall_now());
    pump();
    return fmt::format("ticket={}\n", ticket.number);
}

std::string Keeper::tables() const {
    std::map<std::string, std::size_t> sizes;
    for (const Table& table : kTables) sizes[table.name] = copy_->size_of(table.name);
    copy_->each("", [&](const Name& name, const Entry&) {
        sizes.try_emplace(name.table, copy_->size_of(name.table));
    });
    std::string text;
    for (const auto& [name, size] : sizes) {
        const Table* table = table_named(name);
        text +=
            fmt::format("table={} rule={} entries={} most={}\n", name,
                        table ? name_of(table->rule) : "unknown", size, table ? table->most : kMostOfUnknown);
    }
    return text;
}

std::string Keeper::entries(const std::string& table, bool conflicts) const {
    std::string text;
    const Wall wall = wall_now();
    copy_->each(table, [&](const Name& name, const Entry& entry) {
        if (conflicts && !entry.conflicting(wall)) return;
        const Version* word = entry.resolve(wall);
        for (const Version& version : entry.versions) {
            const bool has_word = word && word->dot == version.dot;
            if (!has_word && !conflicts && word) continue;
            const Wall written = wall_of(version.stamp);
            text += fmt::format(
                "table={} key={} value={} standing={} by={} age_s={} expires_s={} writer={:016x} count={} "
                "versions={} reason={}\n",
                name.table, percent_encode(name.key),
                version.deleted ? "-" : percent_encode(text_of(name.table, version.value)), has_word ? 1 : 0,
                percent_encode(version.by), wall > written ? (wall - written) / 1000 : 0,
                version.expires == 0     ? "never"
                : version.expires > wall ? std::to_string((version.expires - wall) / 1000)
                                         : "over",
                version.dot.writer, version.dot.count, entry.versions.size(), percent_encode(version.reason));
        }
    });
    return text;
}

std::string Keeper::history() const {
    constexpr const char* kWhats[] = {"written", "deleted", "beside", "dropped"};
    std::string text;
    for (const Replica::Learnt& each : copy_->learnt())
        text += fmt::format("at_ms={} what={} table={} key={} value={} by={} reason={}\n", each.at,
                            kWhats[static_cast<std::size_t>(each.what)], each.name.table,
                            percent_encode(each.name.key), percent_encode(each.text), percent_encode(each.by),
                            percent_encode(each.reason));
    return text;
}

std::string Keeper::outcome(std::uint64_t ticket) const {
    const auto it = outcomes_.find(ticket);
    if (it == outcomes_.end()) return fmt::format("ticket={} waits=1\n", ticket);
    return fmt::format("ticket={} got={} wanted={} reached={}\n", ticket, it->second.got, it->second.wanted,
                       it->second.reached ? 1 : 0);
}

std::string Keeper::self() const {
    const auto digest = copy_->digest();
    const auto& figures = copy_->figures();
    return fmt::format(
        "name={} boot={:016x} digest={:016x} entries={} caught_up={} from_disk={} kept={} fetching={} "
        "waiting={} live={} known={} "
        "horizon_ms={} ahead={} merged={} repairs={} pages={} dropped={} purged={} full={} skipped={}\n",
        copy_->self().name, copy_->self().boot, digest.sum, digest.count, copy_->caught_up() ? 1 : 0,
        from_disk_ ? 1 : 0,
        !shelf_           ? "off"
        : shelf_->works() ? "on"
                          : "no",
        copy_->fetching() ? 1 : 0, copy_->waiting(), live(), known(), wall_of(copy_->horizon()),
        copy_->ahead() ? percent_encode(copy_->ahead()->first) : "", figures.merged, figures.repairs,
        figures.pages, figures.dropped, figures.purged, figures.full, figures.skipped);
}

}  // namespace martenford::replica
