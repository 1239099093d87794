#include "wire.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace loftfront::wire {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

[[noreturn]] void bad(const std::string& what) {
    throw WireError(what);
}

/// The value of a field; nothing where it is absent or null.
std::optional<element> find(const object& from, std::string_view name) {
    element value;
    if (from[name].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

element need(const object& from, std::string_view name) {
    if (auto value = find(from, name)) return *value;
    bad("field '" + std::string(name) + "' is missing");
}

template <typename T>
T as(const element& value, std::string_view name, const char* kind) {
    T result;
    if (value.get(result) != simdjson::SUCCESS) bad("field '" + std::string(name) + "' is not " + kind);
    return result;
}

std::uint64_t to_unsigned(const element& value, std::string_view name,
                          std::uint64_t most = std::numeric_limits<std::uint64_t>::max()) {
    const auto number = as<std::uint64_t>(value, name, "a whole number of 0 or more");
    if (number > most) bad("field '" + std::string(name) + "' is out of range");
    return number;
}
constexpr std::uint64_t kMost32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMostKey = (std::uint64_t{1} << 53) - 1;
constexpr std::uint64_t kMostToken = std::uint64_t{1} << 63;

std::uint32_t need_u32(const object& from, std::string_view name, std::uint64_t most = kMost32) {
    return static_cast<std::uint32_t>(to_unsigned(need(from, name), name, most));
}
std::uint32_t u32_or(const object& from, std::string_view name, std::uint32_t otherwise) {
    const auto value = find(from, name);
    return value ? static_cast<std::uint32_t>(to_unsigned(*value, name, kMost32)) : otherwise;
}
Duration to_duration(const element& value, std::string_view name) {
    return Duration{as<std::int64_t>(value, name, "a time in whole nanoseconds")};
}
Duration to_span(const element& value, std::string_view name) {
    const Duration span = to_duration(value, name);
    if (span < Duration{}) bad("field '" + std::string(name) + "' is a negative span");
    return span;
}
Duration need_span(const object& from, std::string_view name) {
    return to_span(need(from, name), name);
}
Duration span_or_zero(const object& from, std::string_view name) {
    const auto value = find(from, name);
    return value ? to_span(*value, name) : Duration{};
}
Time need_time(const object& from, std::string_view name) {
    return Time{to_duration(need(from, name), name)};
}
double need_number(const object& from, std::string_view name) {
    return as<double>(need(from, name), name, "a number");
}
double number_or(const object& from, std::string_view name, double otherwise) {
    const auto value = find(from, name);
    return value ? as<double>(*value, name, "a number") : otherwise;
}
bool flag_or(const object& from, std::string_view name, bool otherwise) {
    const auto value = find(from, name);
    return value ? as<bool>(*value, name, "true or false") : otherwise;
}
std::string_view need_text(const object& from, std::string_view name) {
    return as<std::string_view>(need(from, name), name, "a text");
}
RequestId need_request(const object& from) {
    return RequestId{need_text(from, "request_id")};
}
EndpointId need_endpoint(const object& from) {
    return EndpointId{need_u32(from, "endpoint")};
}
object need_object(const object& from, std::string_view name) {
    return as<object>(need(from, name), name, "an object");
}
/// An absent array reads as an empty one.
std::vector<element> elements(const object& from, std::string_view name) {
    std::vector<element> result;
    if (const auto value = find(from, name)) {
        for (const element item : as<array>(*value, name, "an array")) result.push_back(item);
    }
    return result;
}

/// How many names a list gives; one where it is absent or empty, as everything has some zone, kind and tier.
std::uint32_t count_or_one(const object& from, std::string_view name) {
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(elements(from, name).size()));
}

template <typename T>
T word_of(std::string_view text, std::string_view name,
          std::initializer_list<std::pair<std::string_view, T>> words) {
    for (const auto& [word, meaning] : words) {
        if (word == text) return meaning;
    }
    bad("field '" + std::string(name) + "' has an unknown word");
}

RequestClass read_class(const object& from) {
    RequestClass result;
    result.name = need_text(from, "name");
    result.worth = number_or(from, "credit", 1.0);
    result.late_worth = number_or(from, "late_value", 0.0);
    result.aim = need_span(from, "slo");
    result.aim_stretch = number_or(from, "aim_stretch", 0.0);
    result.deadline = need_span(from, "deadline");
    result.effect = word_of<Effect>(
        need_text(from, "effect"), "effect",
        {{"free", Effect::Free}, {"guarded", Effect::Guarded}, {"single_shot", Effect::SingleShot}});
    if (find(from, "group")) {
        result.group = word_of<Group>(need_text(from, "group"), "group",
                                      {{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}});
    }
    result.window = span_or_zero(from, "window");
    result.stream = flag_or(from, "stream", false);
    result.sequential = flag_or(from, "sequential", false);
    return result;
}

Limits read_limits(const object& from) {
    Limits result;
    result.may_cancel = flag_or(from, "may_cancel", false);
    result.probing = flag_or(from, "probing", false);
    result.second_copies = flag_or(from, "second_copies", false);
    result.peers = flag_or(from, "peers", false);
    result.retry_after = flag_or(from, "retry_after", false);
    result.max_attempts = need_u32(from, "try_limit");
    result.streams_per_connection = u32_or(from, "max_streams", 1);
    result.connection_idle = span_or_zero(from, "conn_idle");
    result.connect_timeout = span_or_zero(from, "dial_timeout");
    result.max_retry_after = span_or_zero(from, "max_retry_after");
    return result;
}

Rules read_rules(const object& from) {
    Rules result;
    result.answer_slack = need_span(from, "answer_slack");
    result.ask_every = span_or_zero(from, "ask_every");
    result.drain_grace = need_span(from, "stop_sending_within");
    result.cold_from = need_number(from, "cold_from");
    result.ramp_time = need_span(from, "ramp_time");
    result.fall_multiple = need_number(from, "fall_multiple");
    result.tip_after = need_span(from, "tip_after");
    result.turn_gap = span_or_zero(from, "turn_gap");
    // Any one of the three says that attempts are rationed; validation finds what is missing then.
    if (find(from, "extra_floor") || find(from, "resend_ratio") || find(from, "look_back")) {
        result.attempt_budget = {number_or(from, "extra_floor", 0.0), number_or(from, "resend_ratio", 0.0),
                                 span_or_zero(from, "look_back")};
    }
    return result;
}

Prices read_prices(const object& from) {
    Prices result;
    result.connection = number_or(from, "connection", 0.0);
    result.cross_zone = number_or(from, "cross_zone", 0.0);
    result.discovery = number_or(from, "discovery", 0.0);
    result.handshake = number_or(from, "handshake", 0.0);
    result.late_fail = number_or(from, "late_fail", 0.0);
    result.probe = number_or(from, "probe", 0.0);
    result.waste = number_or(from, "waste", 0.0);
    return result;
}

Settings read_settings(const object& from) {
    Settings result;
    result.position = need_u32(from, "position");
    result.replicas = need_u32(from, "replicas_of_me");
    result.zone = u32_or(from, "zone", 0);
    result.zones = count_or_one(from, "dcs");
    result.kinds = count_or_one(from, "kinds");
    result.tier = u32_or(from, "layer", 0);
    result.tiers = count_or_one(from, "tiers");
    result.subscribe =
        word_of<bool>(need_text(from, "discovery"), "discovery", {{"automatic", false}, {"subscribe", true}});
    if (find(from, "family_info")) {
        result.passes_deadline = flag_or(need_object(from, "family_info"), "passes_deadline", true);
    }
    if (find(from, "clients")) {
        result.marks_retry = flag_or(need_object(from, "clients"), "marks_retry", false);
    }
    if (find(from, "worth_by")) {
        result.worth_by_work =
            word_of<bool>(need_text(from, "worth_by"), "worth_by", {{"request", false}, {"work", true}});
    }
    result.over_share_worth = number_or(from, "over_share_worth", 1.0);
    if (find(from, "weights")) {
        result.weights = word_of<Weights>(need_text(from, "weights"), "weights",
                                          {{"none", Weights::None},
                                           {"nominal", Weights::Nominal},
                                           {"rough", Weights::Rough},
                                           {"live", Weights::Live}});
    }
    if (find(from, "load_report")) {
        result.report_via = word_of<ReportVia>(
            need_text(need_object(from, "load_report"), "via"), "via",
            {{"none", ReportVia::None}, {"answers", ReportVia::Answers}, {"probe", ReportVia::Probe}});
    }
    result.tick = span_or_zero(from, "tick");
    for (const element& item : elements(from, "classes")) {
        result.classes.push_back(read_class(as<object>(item, "classes", "an array of objects")));
    }
    for (const element& item : elements(from, "accounts")) {
        const auto account = as<object>(item, "accounts", "an array of objects");
        result.tenants.push_back({std::string(need_text(account, "name")), number_or(account, "share", 0.0),
                                  number_or(account, "allowance_per_s", 0.0)});
    }
    result.limits = read_limits(need_object(from, "limits"));
    if (find(from, "prices")) result.prices = read_prices(need_object(from, "prices"));
    result.rules = read_rules(need_object(from, "invariants"));
    try {
        validate(result);
    } catch (const std::invalid_argument& error) {
        bad(error.what());
    }
    return result;
}

Endpoint read_endpoint(const object& from) {
    Endpoint result;
    result.id = need_endpoint(from);
    result.zone = u32_or(from, "locality", 0);
    result.kind = u32_or(from, "class_of_host", 0);
    result.cell = u32_or(from, "pack", 0);
    constexpr Availability kAvailability[] = {Availability::Gone, Availability::Ready,
                                              Availability::Draining};
    result.availability = kAvailability[need_u32(from, "availability", 2)];
    result.weight = number_or(from, "nominal", 1.0);
    if (result.weight < 0.0) bad("field 'nominal' is out of range");
    if (find(from, "online_since")) {
        if (const Time since = need_time(from, "online_since"); since != Time{}) result.started = since;
    }
    return result;
}

Status read_status(const object& from) {
    constexpr Status kStatus[] = {Status::Error,         Status::Ok,    Status::Full,      Status::Timeout,
                                  Status::ConnectFailed, Status::Reset, Status::Cancelled, Status::Moot};
    return kStatus[need_u32(from, "ending", 7)];
}

std::optional<LoadReport> read_report(const object& from) {
    const auto value = find(from, "report");
    if (!value) return std::nullopt;
    LoadReport result;
    const std::pair<std::string_view, std::optional<double>*> known[] = {
        {"concurrent", &result.in_flight}, {"depth", &result.queued},     {"load_share", &result.utilisation},
        {"mean_ms", &result.service_ms},   {"tps", &result.served_per_s}, {"err_ps", &result.errors_per_s}};
    const auto report = as<object>(*value, "report", "an object");
    for (const auto& [name, slot] : known) {
        if (const auto number = find(report, name)) *slot = as<double>(*number, name, "a number");
    }
    return result;
}

Request read_request(const object& from) {
    Request result;
    result.id = need_request(from);
    result.class_index = need_u32(from, "priority");
    result.deadline = need_time(from, "valid_until");
    if (find(from, "party")) result.tenant = need_u32(from, "party");
    result.write = flag_or(from, "mutates", false);
    result.resent = flag_or(from, "resent", false);
    if (const auto key = find(from, "key")) result.key = to_unsigned(*key, "key", kMostKey);
    if (const auto work = find(from, "cost_guess")) result.work = to_span(*work, "cost_guess");
    return result;
}

}  // namespace

Batch Reader::read(const std::string& line) {
    Batch batch;
    std::string place = "line";
    std::optional<State> before;  // so that a batch that fails changes nothing
    try {
        element root;
        if (parser_.parse(line).get(root) != simdjson::SUCCESS) bad("not valid JSON");
        const auto top = as<object>(root, "batch", "an object");
        batch.round = to_unsigned(need(top, "round"), "round");
        place = "round " + std::to_string(batch.round);
        batch.clock = need_time(top, "clock");
        need(top, "events");
        for (const element& item : elements(top, "events")) {
            const auto event = as<object>(item, "events", "an array of objects");
            const std::string_view tag = need_text(event, "t");
            place = "round " + std::to_string(batch.round) + ", message '" + std::string(tag) + "'";
            if (!before && (tag == "ledger" || tag == "provision" || tag == "stop")) before = state_;
            read_event(event, tag, state_, batch);
        }
    } catch (const WireError& error) {
        if (before) state_ = *std::move(before);
        throw WireError(place + ": " + error.what());
    }
    return batch;
}

void Reader::read_event(const object& event, std::string_view tag, State& state, Batch& batch) {
    if (tag == "ledger") {
        auto endpoints = std::make_shared<EndpointList>();
        List list;
        need(event, "members_list");
        for (const element& entry : elements(event, "members_list")) {
            endpoints->push_back(read_endpoint(as<object>(entry, "members_list", "an array of objects")));
            list.most_zone = std::max(list.most_zone, endpoints->back().zone);
            list.most_kind = std::max(list.most_kind, endpoints->back().kind);
        }
        list.endpoints = std::move(endpoints);
        state.lists[need_u32(event, "ref", kLists - 1)] = std::move(list);
        return;
    }
    Message message;
    message.instance = need_u32(event, "sidecar_id");
    if (tag == "provision") {
        Provision provision{to_unsigned(need(event, "prng"), "prng"),
                            read_settings(need_object(event, "settings"))};
        const Settings& told = provision.settings;
        state.running.insert_or_assign(
            message.instance, Ranges{told.classes.size(), told.tenants.size(), told.zones, told.kinds});
        message.body = std::move(provision);
        batch.messages.push_back(std::move(message));
        return;
    }
    const auto running = state.running.find(message.instance);
    if (running == state.running.end()) bad("field 'sidecar_id' names no running instance");
    const Ranges& ranges = running->second;
    if (tag == "ingress") {
        Request request = read_request(event);
        if (request.class_index >= ranges.classes) bad("field 'priority' is out of range");
        if (ranges.tenants == 0) request.tenant.reset();  // without tenants the field means nothing
        if (request.tenant && *request.tenant >= ranges.tenants) bad("field 'party' is out of range");
        message.body = Event{std::move(request)};
    } else if (tag == "completed") {
        message.body = Event{Outcome{need_request(event), need_u32(event, "go"), need_endpoint(event),
                                     read_status(event), need_span(event, "wait_time"),
                                     flag_or(event, "last", false), read_report(event)}};
    } else if (tag == "due") {
        message.body = Event{TimerFired{to_unsigned(need(event, "label"), "label", kMostToken)}};
    } else if (tag == "lapsed") {
        message.body = Event{Lapsed{need_request(event)}};
    } else if (tag == "first_byte") {
        message.body = Event{FirstByte{need_request(event), need_u32(event, "go"), need_endpoint(event),
                                       need_span(event, "wait_time")}};
    } else if (tag == "peers_known") {
        constexpr Discovered::Kind kKinds[] = {Discovered::Kind::Cached, Discovered::Kind::Full,
                                               Discovered::Kind::Failed, Discovered::Kind::Delta};
        const std::uint32_t kind = need_u32(event, "kind", 4);
        if (kind == 0) bad("field 'kind' is out of range");
        Discovered news{kKinds[kind - 1], nullptr};
        if (news.kind != Discovered::Kind::Failed) {
            const List& list = state.lists[need_u32(event, "ref", kLists - 1)];
            if (!list.endpoints) bad("field 'ref' names a list that was never sent");
            if (!list.endpoints->empty()) {
                if (list.most_zone >= ranges.zones) bad("field 'ref': its list's 'locality' is out of range");
                if (list.most_kind >= ranges.kinds)
                    bad("field 'ref': its list's 'class_of_host' is out of range");
            }
            news.endpoints = list.endpoints;
        }
        message.body = Event{std::move(news)};
    } else if (tag == "status_back") {
        message.body = Event{ProbeResult{need_endpoint(event), read_status(event),
                                         need_span(event, "wait_time"), read_report(event)}};
    } else if (tag == "note_from") {
        message.body = Event{PeerMessage{need_u32(event, "src"), std::string(need_text(event, "msg"))}};
    } else if (tag == "stop") {
        state.running.erase(running);
        message.body = Stop{};
    } else {
        bad("unknown message");
    }
    batch.messages.push_back(std::move(message));
}

Writer::Writer(std::uint64_t round) : text_("{\"round\":" + std::to_string(round) + ",\"cmds\":[") {}

void Writer::open(std::string_view tag, std::uint32_t instance) {
    if (!first_) text_ += ',';
    first_ = false;
    text_ += "{\"t\":\"";
    text_ += tag;
    text_ += '"';
    field("sidecar_id", std::int64_t{instance});
}

void Writer::field(std::string_view name, std::int64_t value) {
    text_ += ",\"";
    text_ += name;
    text_ += "\":";
    text_ += std::to_string(value);
}

void Writer::field(std::string_view name, std::string_view value) {
    text_ += ",\"";
    text_ += name;
    text_ += "\":\"";
    for (const char c : value) {
        constexpr char kHex[] = "0123456789abcdef";
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            text_ += '\\';
            text_ += c;
        } else if (byte < 0x20) {
            text_ += "\\u00";
            text_ += kHex[byte >> 4];
            text_ += kHex[byte & 15];
        } else {
            text_ += c;
        }
    }
    text_ += '"';
}

void Writer::write(std::uint32_t instance, const Action& action) {
    struct Visitor {
        Writer& to;
        std::uint32_t instance;
        void operator()(const Send& send) const {
            to.open("place", instance);
            to.field("request_id", send.id);
            to.field("endpoint", std::int64_t{static_cast<std::uint32_t>(send.endpoint)});
            if (send.timeout != Duration{}) to.field("limit", send.timeout.count());
        }
        void operator()(const Refuse& refuse) const {
            to.open("push_back", instance);
            to.field("request_id", refuse.id);
            if (refuse.retry_after != Duration{}) to.field("stay_away", refuse.retry_after.count());
        }
        void operator()(const Fail& fail) const {
            to.open("surrender", instance);
            to.field("request_id", fail.id);
        }
        void operator()(const Cancel& cancel) const {
            to.open("withdraw", instance);
            to.field("request_id", cancel.id);
            to.field("go", std::int64_t{cancel.attempt});
        }
        void operator()(const SetTimer& timer) const {
            to.open("defer", instance);
            to.field("when", timer.at.time_since_epoch().count());
            to.field("label", static_cast<std::int64_t>(timer.token));
        }
        void operator()(const Probe& probe) const {
            to.open("touch", instance);
            to.field("endpoint", std::int64_t{static_cast<std::uint32_t>(probe.endpoint)});
        }
        void operator()(const Subscribe&) const {
            to.open("track", instance);
            to.text_ += ",\"enable\":true";
        }
        void operator()(const ShutIdle& shut) const {
            to.open("shut_idle", instance);
            to.field("endpoint", std::int64_t{static_cast<std::uint32_t>(shut.endpoint)});
        }
    };
    std::visit(Visitor{*this, instance}, action);
    text_ += '}';
}

void Writer::write_broken(std::uint32_t instance, std::string_view reason) {
    open("broken", instance);
    field("reason_text", reason);
    text_ += '}';
}

std::string Writer::finish() && {
    text_ += "]}";
    return std::move(text_);
}

}  // namespace loftfront::wire
