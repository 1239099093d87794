#include "emulator/scenario.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

#include "config/toml_reader.h"

namespace martenford::emulator {

namespace {

// What a scenario may ask for; a slip of the pen would otherwise fill the machine.
constexpr std::int64_t kMostEndpoints = 20'000;
constexpr std::int64_t kMostSidecars = 20'000;
constexpr std::int64_t kMostSlots = 1'000'000;
constexpr double kMostRate = 1e6;
constexpr double kMostWork = 1000.0;
constexpr double kMostCalls = 20.0;

using Reader = TomlReader;
using Table = Reader::Table;

/// The words of a phrase, each with its place, so that a message points at the one that is wrong.
class Words {
  public:
    Words(const Reader& reader, const toml::node& node, std::string_view field)
        : reader_(reader), node_(node) {
        const auto text = node.value_exact<std::string>();
        if (!text) reader.fail(node, fmt::format("'{}' must be a text in quotes", field));
        text_ = *text;
        for (std::size_t i = 0; i < text_.size();) {
            const std::size_t from = text_.find_first_not_of(' ', i);
            if (from == std::string::npos) break;
            const std::size_t to = std::min(text_.find(' ', from), text_.size());
            words_.push_back({text_.substr(from, to - from), from});
            i = to;
        }
        if (words_.empty()) fail(fmt::format("'{}' is empty", field));
    }
    const std::string& text() const { return text_; }
    bool done() const { return next_ >= words_.size(); }
    std::string_view peek() const { return done() ? std::string_view{} : words_[next_].first; }
    bool take(std::string_view word) {
        if (peek() != word) return false;
        ++next_;
        return true;
    }
    std::string_view next(const char* what) {
        if (done()) fail(fmt::format("{} is missing at the end of '{}'", what, text_));
        return words_[next_++].first;
    }
    template <typename T>
    T value(std::optional<T> (*parse)(std::string_view), const char* what) {
        const auto parsed = parse(next(what));
        if (!parsed) {
            --next_;
            fail(fmt::format("'{}' is not {}", peek(), what));
        }
        return *parsed;
    }
    void rewind() { next_ = 0; }
    void end() {
        if (!done()) fail(fmt::format("'{}' is one word too many", peek()));
    }
    /// At the word that was taken last.
    [[noreturn]] void fail_before(const std::string& what) {
        if (next_ > 0) --next_;
        fail(what);
    }
    [[noreturn]] void fail(const std::string& what) const {
        // One more for the quote that opens the text.
        const std::size_t column = words_.empty() ? 0 : words_[std::min(next_, words_.size() - 1)].second;
        reader_.fail(node_, what, column + 1);
    }

  private:
    const Reader& reader_;
    const toml::node& node_;
    std::string text_;
    std::vector<std::pair<std::string, std::size_t>> words_;
    std::size_t next_ = 0;
};

constexpr const char* kTime = "a time with its unit, such as 300ms";
constexpr const char* kShare = "a share, such as 50%";
constexpr const char* kTimes = "a factor, such as x2.4";

// ---- the fleet ------------------------------------------------------------------------------------

ClassSpec read_class(Table& from) {
    ClassSpec result;
    from.string("name", result.name, true);
    if (result.name.empty() ||
        result.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos) {
        from.fail("'name' of a class must be of small letters, digits, '-' and '_'");
    }
    from.number("share", result.share, 0.0, 1e6);
    from.require("work");
    from.duration("work", result.work);
    from.choice("shape", result.shape,
                {{"fixed", ClassSpec::Shape::Fixed},
                 {"exponential", ClassSpec::Shape::Exponential},
                 {"lognormal", ClassSpec::Shape::Lognormal}});
    from.number("spread", result.spread, 0.0, 10.0);
    from.require("aim");
    from.duration("aim", result.aim, true);
    from.require("deadline");
    from.duration("deadline", result.deadline, true);
    if (result.deadline < result.aim) from.fail("'deadline' lies before 'aim'");
    from.number("worth", result.worth, 0.0, 1e6);
    from.number("late_worth", result.late_worth, 0.0, 1.0);
    from.require("effect");
    from.choice("effect", result.effect,
                {{"safe", decision::Idempotency::Idempotent},
                 {"keyed", decision::Idempotency::Deduplicated},
                 {"unsafe", decision::Idempotency::NonIdempotent}});
    from.duration("window", result.window, true);
    if (result.effect == decision::Idempotency::Deduplicated && result.window == Duration{}) {
        from.fail("a keyed class needs 'window'");
    }
    from.reject_unknown_fields();
    return result;
}

TierSpec read_tier(Table& from) {
    TierSpec result;
    EndpointTraits& traits = result.traits;
    from.string("name", result.name, true);
    if (result.name.empty() || result.name.find_first_of("/ ") != std::string::npos ||
        result.name == "sidecars") {
        from.fail("'name' of a tier must be one word without '/', and not \"sidecars\"");
    }
    from.integer("endpoints", result.endpoints, 1, kMostEndpoints);
    from.integer("pod", result.pod, 1, kMostEndpoints);
    from.number("work", result.work, 0.0, kMostWork);
    if (const auto* node = from.find("calls")) {
        const auto* array = node->as_array();
        if (array && array->size() != 2)
            from.reader().fail(*node, "'calls' must be a number or a pair [least, most]");
        const auto least = array ? (*array)[0].value<double>() : node->value<double>();
        const auto most = array ? (*array)[1].value<double>() : least;
        if (!least || !most || *least < 0.0 || *most < *least || *most > kMostCalls) {
            from.reader().fail(
                *node,
                fmt::format("'calls' must be a number or a pair [least, most] up to {:g}", kMostCalls));
        }
        result.calls_min = *least;
        result.calls_max = *most;
    }
    from.number("cores", traits.cores, 0.01, 1024.0);
    from.number("speed", traits.speed, 0.001, 1000.0);
    from.number("speed_spread", result.speed_spread, 0.0, 0.95);
    from.integer("slots", traits.slots, 1, kMostSlots);
    from.integer("queue", traits.queue, 0, kMostSlots);
    from.number("cold_from", traits.cold_from, 0.01, 1.0);
    from.duration("warm_up", traits.warm_up);
    if (auto thrash = from.table("thrash")) {
        traits.thrash_at = 1;
        thrash->integer("above", traits.thrash_at, 1, kMostSlots);
        thrash->duration("after", traits.thrash_after);
        traits.thrash_slower = 2.0;
        thrash->number("slower", traits.thrash_slower, 1.0, 1000.0);
        traits.thrash_rest = 3s;
        thrash->duration("rest", traits.thrash_rest, true);
        thrash->integer("rest_at", traits.thrash_rest_at, 0, kMostSlots);
        thrash->duration("most", traits.thrash_most);
        thrash->reject_unknown_fields();
    }
    from.choice(
        "cancel", traits.cancel,
        {{"nothing", CancelReach::Nothing}, {"waiting", CancelReach::Waiting}, {"all", CancelReach::All}});
    from.boolean("drops_expired", traits.drops_expired);
    from.integer("connections", traits.connections, 1, kMostSlots);
    from.duration("connection_cost", traits.connection_cost);
    from.reject_unknown_fields();
    return result;
}

ClientsSpec read_clients(Table& from) {
    ClientsSpec result;
    from.number("rate", result.rate, 0.001, kMostRate);
    from.choice("arrivals", result.arrivals,
                {{"poisson", ClientsSpec::Arrivals::Poisson}, {"even", ClientsSpec::Arrivals::Even}});
    from.integer("retries", result.retries, 0, 10);
    from.duration("backoff", result.backoff);
    from.number("give_up", result.give_up, 0.01, 1.0);
    from.number("impatient", result.impatient, 0.0, 1.0);
    from.integer("most", result.most, 0, 100'000'000);
    from.reject_unknown_fields();
    return result;
}

SidecarSpec read_sidecars(Table& from) {
    SidecarSpec result;
    from.integer("count", result.count, 1, kMostSidecars);
    from.integer("max_attempts", result.max_attempts, 1, 10);
    from.boolean("may_cancel", result.may_cancel);
    from.boolean("probing", result.probing);
    from.boolean("second_copies", result.second_copies);
    from.boolean("retry_after", result.retry_after);
    from.boolean("passes_deadline", result.passes_deadline);
    from.duration("ask_every", result.ask_every, true);
    from.duration("drain_grace", result.drain_grace, true);
    from.number("fall_multiple", result.fall_multiple, 0.1, 1000.0);
    from.duration("tip_after", result.tip_after, true);
    from.duration("front_notice", result.front_notice);
    from.string("own", result.own);
    if (!result.own.empty()) {
        try {
            result.features = read_features(result.own, "own");
        } catch (const TomlError& error) {
            from.reader().fail(*from.find("own"), error.what());
        }
    }
    from.reject_unknown_fields();
    return result;
}

// ---- events ---------------------------------------------------------------------------------------

Target read_target(Words& words, const Scenario& scenario, Duration) {
    Target result;
    const std::string_view word = words.next("a target");
    const auto slash = word.find('/');
    const std::string_view name = word.substr(0, slash);
    std::uint32_t count = 0;
    if (name == "sidecars") {
        result.kind = Target::Kind::Sidecars;
        count = scenario.sidecars.count;
    } else {
        result.kind = Target::Kind::Endpoints;
        const auto tier = std::find_if(scenario.tiers.begin(), scenario.tiers.end(),
                                       [&](const TierSpec& t) { return t.name == name; });
        if (tier == scenario.tiers.end()) words.fail_before(fmt::format("no tier is called '{}'", name));
        result.tier = static_cast<std::uint32_t>(tier - scenario.tiers.begin());
        count = kMostEndpoints;  // joins add to those of the start
    }
    if (slash != std::string_view::npos) {
        result.all = false;
        const std::string_view range = word.substr(slash + 1);
        const auto dash = range.find('-');
        const auto whole = [&](std::string_view digits) {
            const auto value = parse_number(digits);
            if (!value || *value < 0 || *value != std::floor(*value) || *value >= count) {
                words.fail(fmt::format("'{}' names no number or range of numbers from 0 on", word));
            }
            return static_cast<std::uint32_t>(*value);
        };
        result.first = whole(range.substr(0, dash));
        result.last = dash == std::string_view::npos ? result.first : whole(range.substr(dash + 1));
        if (result.last < result.first) words.fail(fmt::format("the range in '{}' runs backwards", word));
    } else if (words.take("zone")) {
        result.all = false;
        const std::string_view zone = words.next("a zone");
        if (zone.size() != 1 || zone[0] < 'a' || zone[0] >= static_cast<char>('a' + scenario.zones)) {
            words.fail_before(fmt::format("there is no zone '{}'", zone));
        }
        result.zone = zone[0] - 'a';
    } else if (!words.done()) {
        result.all = false;
        result.share = words.value(parse_percent, kShare);
        if (result.share <= 0.0) words.fail("a share of 0% is nobody");
    }
    words.end();
    return result;
}

/// VERB [amount] -> or <-> WHOM, on the links between sidecars. False: it is none of these.
bool read_link_fault(Words& words, EventSpec& event) {
    using What = LinkSpec::What;
    LinkSpec& link = event.link;
    const auto with_time = [&](What what) {
        link.what = what;
        event.span = words.value(parse_duration, kTime);
    };
    const auto with_share = [&](What what) {
        link.what = what;
        event.amount = words.value(parse_percent, kShare);
    };
    if (words.take("cut")) {
        link.what = What::Cut;
    } else if (words.take("break")) {
        link.what = What::Break;
    } else if (words.take("delay")) {
        with_time(What::Delay);
    } else if (words.take("jitter")) {
        with_time(What::Jitter);
    } else if (words.take("drop")) {
        with_share(What::Drop);
    } else if (words.take("duplicate")) {
        with_share(What::Duplicate);
    } else if (words.take("reorder")) {
        with_share(What::Reorder);
    } else if (words.take("corrupt")) {
        with_share(What::Corrupt);
    } else if (words.take("throttle")) {
        link.what = What::Throttle;
        event.amount = words.value(parse_number, "a number of bytes a second");
        if (event.amount < 1.0) words.fail("a link that carries nothing is cut");
    } else {
        return false;
    }
    event.verb = Verb::Links;
    link.both = words.take("<->");
    if (!link.both && !words.take("->")) words.fail("'->' or '<->' must follow");
    const std::string_view whom = words.next("\"others\" or sidecars");
    if (whom == "others") return true;
    link.others = false;
    const auto slash = whom.find('/');
    const std::string_view range = slash == whom.npos ? std::string_view() : whom.substr(slash + 1);
    const auto dash = range.find('-');
    const auto first = parse_number(range.substr(0, dash));
    const auto last = dash == range.npos ? first : parse_number(range.substr(dash + 1));
    if (whom.substr(0, slash) != "sidecars" || !first || !last || *first < 0 || *last < *first ||
        *last >= kMostSidecars || *first != std::floor(*first) || *last != std::floor(*last))
        words.fail_before(fmt::format("'{}' is neither \"others\" nor sidecars by number", whom));
    link.first = static_cast<std::uint32_t>(*first);
    link.last = static_cast<std::uint32_t>(*last);
    return true;
}

/// VERB [amount] [for TIME], by the table below; "docs/emulator.md" has the same table in words.
void read_action(Words& words, EventSpec& event) {
    enum class Needs { Endpoints, Sidecars, Either, Perhaps, Nothing };
    Needs needs = Needs::Endpoints;
    bool may_last = true;
    if (words.take("slow")) {
        event.verb = Verb::Slow;
        event.amount = words.value(parse_factor, kTimes);
    } else if (words.take("freeze")) {
        event.verb = Verb::Freeze;
        if (words.peek() != "for") words.fail("a freeze needs 'for' and a time");
    } else if (words.take("pauses")) {
        event.verb = Verb::Pauses;
        event.span = words.value(parse_duration, kTime);
        if (!words.take("every")) words.fail("'every' and a time must follow");
        event.every = words.value(parse_duration, kTime);
        if (event.every <= event.span) words.fail("pauses are longer than the time between them");
        if (words.peek() != "for") words.fail("pauses need 'for' and a time");
    } else if (words.take("reject")) {
        event.verb = Verb::Reject;
        event.amount = words.value(parse_percent, kShare);
    } else if (words.take("fail")) {
        event.verb = Verb::Fail;
        event.amount = words.value(parse_percent, kShare);
    } else if (words.take("mute")) {
        event.verb = Verb::Mute;
        event.amount = words.value(parse_percent, kShare);
    } else if (words.take("spoil")) {
        event.verb = Verb::Spoil;
        event.amount = words.value(parse_percent, kShare);
    } else if (words.take("reset")) {
        event.verb = Verb::Reset;
        event.amount = words.value(parse_percent, kShare);
    } else if (words.take("drain")) {
        event.verb = Verb::Drain;
    } else if (words.take("flap")) {
        event.verb = Verb::Flap;
        if (!words.take("every")) words.fail("'every' and a time must follow");
        event.every = words.value(parse_duration, kTime);
        if (event.every < 1ms) words.fail("it can't flap more often than every 1ms");
        if (words.peek() != "for") words.fail("a flap needs 'for' and a time");
    } else if (words.take("lag")) {
        event.verb = Verb::Lag;
        event.span = words.value(parse_duration, kTime);
        needs = Needs::Sidecars;
    } else if (words.take("kill")) {
        event.verb = Verb::Kill;
        needs = Needs::Either;
        may_last = false;
    } else if (words.take("restart") || words.peek() == "replace") {
        event.verb = words.take("replace") ? Verb::Replace : Verb::Restart;
        needs = event.verb == Verb::Replace ? Needs::Endpoints : Needs::Either;
        event.span = 1s;
        if (words.take("after")) event.span = words.value(parse_duration, kTime);
        may_last = false;
    } else if (words.take("reload")) {
        event.verb = Verb::SidecarReload;
        needs = Needs::Sidecars;
        may_last = false;
    } else if (words.take("stop")) {
        event.verb = Verb::SidecarStop;
        needs = Needs::Sidecars;
        if (words.peek() != "for") words.fail("a stop needs 'for' and a time");
    } else if (read_link_fault(words, event)) {
        needs = Needs::Sidecars;
        may_last = event.link.what != LinkSpec::What::Break;
    } else if (words.take("partition")) {
        event.verb = Verb::Partition;
    } else if (words.take("join")) {
        event.verb = Verb::Join;
        if (!words.take("cold")) words.fail("'cold' must follow: endpoints that join are cold");
        event.amount = 1.0;
        if (!words.done()) {
            event.amount = words.value(parse_number, "a number of endpoints");
            if (event.amount < 1.0 || event.amount > 1000.0 || event.amount != std::floor(event.amount)) {
                words.fail("the number of endpoints must be whole, from 1 to 1000");
            }
        }
        may_last = false;
    } else if (words.take("thrash")) {
        event.verb = Verb::Thrash;
        may_last = false;
    } else if (words.take("burst")) {
        event.verb = Verb::Burst;
        event.amount = words.value(parse_factor, kTimes);
        needs = Needs::Nothing;
    } else if (words.take("hot")) {
        if (!words.take("caller")) words.fail("'caller' must follow 'hot'");
        event.verb = Verb::HotCaller;
        event.amount = words.value(parse_percent, kShare);
        needs = Needs::Sidecars;
    } else if (words.take("leave")) {
        event.verb = Verb::Leave;
        event.amount = words.value(parse_percent, kShare);
        needs = Needs::Nothing;
    } else if (words.take("discovery")) {
        needs = Needs::Nothing;
        if (words.take("silent")) {
            event.verb = Verb::DiscoverySilent;
            needs = Needs::Perhaps;
        } else if (words.take("stale")) {
            event.verb = Verb::DiscoveryStale;
            event.span = words.value(parse_duration, kTime);
        } else {
            words.fail("'silent' or 'stale TIME' must follow 'discovery'");
        }
    } else {
        words.fail(fmt::format("'{}' is nothing that can happen", words.peek()));
    }
    if (may_last && words.take("for")) event.length = words.value(parse_duration, kTime);
    if (words.take("over")) event.over = words.value(parse_duration, kTime);
    words.end();
    words.rewind();  // what is wrong from here on is wrong with the whole phrase
    if (needs == Needs::Either && event.on.kind == Target::Kind::Sidecars) {
        event.verb = event.verb == Verb::Kill ? Verb::SidecarKill : Verb::SidecarRestart;
        return;
    }
    const bool endpoints = event.on.kind == Target::Kind::Endpoints;
    if (event.over > Duration{} && (!endpoints || event.verb == Verb::Join)) {
        words.fail("'over' is for what comes to several endpoints");
    }
    if ((needs == Needs::Endpoints || needs == Needs::Either) && !endpoints) {
        words.fail("this needs 'on' with endpoints, such as \"TIER/3\"");
    }
    if (needs == Needs::Sidecars && event.on.kind != Target::Kind::Sidecars) {
        words.fail("this needs 'on' with sidecars, such as \"sidecars/0\"");
    }
    if (needs == Needs::Perhaps && endpoints) words.fail("this takes no 'on', or sidecars");
    if (needs == Needs::Nothing && event.on.kind != Target::Kind::None) words.fail("this takes no 'on'");
}

EventSpec read_event(Table& from, const Scenario& scenario) {
    EventSpec result;
    from.require("at");
    from.duration("at", result.at);
    if (result.at > scenario.length) from.fail("'at' lies after the end of the scenario");
    if (const auto* on = from.find("on")) {
        Words words(from.reader(), *on, "on");
        result.on = read_target(words, scenario, result.at);
    }
    Words words(from.reader(), from.require("do"), "do");
    read_action(words, result);
    if (result.verb == Verb::Links && !scenario.sidecars.fleet) {
        words.rewind();
        words.fail("there are no links without [fleet]");
    }
    result.text = words.text();
    from.reject_unknown_fields();
    return result;
}

// ---- expectations ---------------------------------------------------------------------------------

Expectation read_expectation(Words& words, const Scenario& scenario) {
    Expectation result;
    result.text = words.text();
    const std::pair<std::string_view, Metric> counts[] = {{"offered", Metric::Offered},
                                                          {"served", Metric::Served},
                                                          {"late", Metric::Late},
                                                          {"refused", Metric::Refused},
                                                          {"failed", Metric::Failed},
                                                          {"unanswered", Metric::Unanswered},
                                                          {"double-effects", Metric::DoubleEffects},
                                                          {"fallen", Metric::Fallen},
                                                          {"to-drained", Metric::ToDrained},
                                                          {"drained", Metric::Drained},
                                                          {"thrashed", Metric::Thrashed},
                                                          {"peak-connections", Metric::PeakConnections},
                                                          {"evenness", Metric::Evenness}};
    bool of_class = false, may_share = false;
    if (words.take("rules")) {
        if (!words.take("kept")) words.fail("'kept' must follow 'rules'");
        words.end();
        return result;
    }
    if (words.take("worst")) {
        if (!words.take("10s")) words.fail("'10s' must follow 'worst'");
        result.metric = Metric::Worst;
        may_share = true;
    } else if (words.peek() == "attempts" || words.peek() == "tries") {
        result.metric = words.take("attempts") ? Metric::AttemptsPerRequest : Metric::TriesPerRequest;
        if (result.metric == Metric::TriesPerRequest) words.take("tries");
        if (!words.take("per") || !words.take("request")) words.fail("'per request' must follow");
    } else {
        const auto known = std::find_if(std::begin(counts), std::end(counts),
                                        [&](const auto& entry) { return entry.first == words.peek(); });
        if (known == std::end(counts))
            words.fail(fmt::format("'{}' is nothing that is measured", words.peek()));
        words.next("a measure");
        result.metric = known->second;
        of_class = known - std::begin(counts) < 6;
        may_share = of_class && result.metric != Metric::Offered;
    }
    if (of_class && !words.done() && words.peek().find_first_of("<>=") == std::string_view::npos) {
        const std::string_view name = words.next("a class");
        const auto known = std::find_if(scenario.classes.begin(), scenario.classes.end(),
                                        [&](const ClassSpec& c) { return c.name == name; });
        if (known == scenario.classes.end()) words.fail_before(fmt::format("no class is called '{}'", name));
        result.class_index = static_cast<int>(known - scenario.classes.begin());
    }
    if (words.take(">=")) {
        result.compare = Expectation::Compare::AtLeast;
    } else if (words.take("<=")) {
        result.compare = Expectation::Compare::AtMost;
    } else if (words.take("==")) {
        result.compare = Expectation::Compare::Equal;
    } else {
        words.fail("'>=', '<=' or '==' must follow");
    }
    if (words.peek().ends_with('%')) {
        if (!may_share) words.fail("this is no share: a number must follow");
        result.bound = words.value(parse_percent, kShare);
        result.share = true;
    } else {
        result.bound = words.value(parse_number, "a number");
        if (result.metric == Metric::Worst) words.fail("the worst 10s need a share, such as 50%");
    }
    words.end();
    return result;
}

Scenario read_all(const Reader& reader, const toml::table& root) {
    Scenario result;
    Table top(reader, root, "the scenario");
    top.string("name", result.name, true);
    top.string("about", result.about);
    top.integer("seed", result.seed, 0, std::numeric_limits<std::int64_t>::max());
    top.integer("zones", result.zones, 1, 26);
    top.require("length");
    top.duration("length", result.length, true);
    top.boolean("timing_proof", result.timing_proof);
    top.number("sockets_within", result.sockets_within, 0.0, 1.0);

    for (Table& table : top.tables("class")) result.classes.push_back(read_class(table));
    if (result.classes.empty()) top.fail("there is no [[class]]");
    double shares = 0.0;
    for (std::size_t i = 0; i < result.classes.size(); ++i) {
        shares += result.classes[i].share;
        for (std::size_t j = 0; j < i; ++j) {
            if (result.classes[i].name == result.classes[j].name)
                top.fail(fmt::format("two classes are called '{}'", result.classes[i].name));
        }
    }
    if (shares <= 0.0) top.fail("the shares of all classes are 0");
    for (ClassSpec& c : result.classes) c.share /= shares;

    for (Table& table : top.tables("tier")) result.tiers.push_back(read_tier(table));
    if (result.tiers.empty()) top.fail("there is no [[tier]]");
    for (std::size_t i = 0; i < result.tiers.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (result.tiers[i].name == result.tiers[j].name)
                top.fail(fmt::format("two tiers are called '{}'", result.tiers[i].name));
        }
    }
    if (auto table = top.table("clients")) result.clients = read_clients(*table);
    if (auto table = top.table("sidecars")) result.sidecars = read_sidecars(*table);
    if (auto table = top.table("fleet")) {
        result.sidecars.fleet = true;
        table->string("fields", result.sidecars.fleet_fields);
        table->reject_unknown_fields();
    }
    if (auto table = top.table("discovery")) {
        table->choice("mode", result.discovery.ask, {{"ask", true}, {"push", false}});
        table->duration("notice", result.discovery.notice);
        table->duration("silent_notice", result.discovery.silent_notice);
        table->duration("spread", result.discovery.spread);
        table->reject_unknown_fields();
    }
    if (auto table = top.table("network")) {
        table->duration("delay", result.network.delay);
        table->duration("connect_timeout", result.network.connect_timeout, true);
        table->duration("idle", result.network.idle, true);
        table->reject_unknown_fields();
    }
    for (Table& table : top.tables("load")) {
        LoadPoint point;
        table.require("at");
        table.duration("at", point.at);
        table.require("x");
        table.number("x", point.factor, 0.0, 1000.0);
        if (!result.load.empty() && point.at < result.load.back().at)
            table.fail("the points of 'load' must be in order");
        table.reject_unknown_fields();
        result.load.push_back(point);
    }
    for (Table& table : top.tables("event")) result.events.push_back(read_event(table, result));
    // Two events at one instant happen in the order of the file.
    std::stable_sort(result.events.begin(), result.events.end(),
                     [](const EventSpec& a, const EventSpec& b) { return a.at < b.at; });
    for (const toml::node* node : top.items("expect")) {
        Words words(reader, *node, "expect");
        result.expect.push_back(read_expectation(words, result));
    }
    top.reject_unknown_fields();
    return result;
}

}  // namespace

double Scenario::load_at(Duration since_start) const {
    if (load.empty()) return 1.0;
    if (since_start <= load.front().at) return load.front().factor;
    for (std::size_t i = 1; i < load.size(); ++i) {
        if (since_start > load[i].at) continue;
        const double span = seconds(load[i].at - load[i - 1].at);
        if (span <= 0.0) return load[i].factor;
        const double part = seconds(since_start - load[i - 1].at) / span;
        return load[i - 1].factor + (load[i].factor - load[i - 1].factor) * part;
    }
    return load.back().factor;
}

Scenario read_scenario(std::string_view text, const std::string& file) {
    return parse_toml(text, file, read_all);
}

Scenario load_scenario(const std::string& path) {
    return read_scenario(read_toml_file(path), path);
}

}  // namespace martenford::emulator
