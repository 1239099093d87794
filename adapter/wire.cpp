#include "wire.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/read_settings.h"

namespace martenford::decision::wire {
namespace {

using namespace json;

constexpr std::uint64_t kMaxKey = (std::uint64_t{1} << 53) - 1;
constexpr std::uint64_t kMaxToken = std::uint64_t{1} << 63;

RequestId need_request_id(const object& from) {
    return RequestId{require_string(from, "request_id")};
}
EndpointId need_endpoint(const object& from) {
    return EndpointId{require_u32(from, "endpoint")};
}

Endpoint read_endpoint(const object& from) {
    Endpoint result;
    result.id = need_endpoint(from);
    result.zone = u32_or(from, "locality", 0);
    result.kind = u32_or(from, "class_of_host", 0);
    result.cell = u32_or(from, "pack", 0);
    constexpr Availability kAvailability[] = {Availability::Gone, Availability::Ready,
                                              Availability::Draining};
    result.availability = kAvailability[require_u32(from, "availability", 2)];
    result.weight = number_or(from, "nominal", 1.0);
    if (result.weight < 0.0) throw_field_error("field 'nominal' is out of range");
    if (find(from, "online_since")) {
        if (const Time since = require_time(from, "online_since"); since != Time{}) result.started = since;
    }
    return result;
}

Status read_status(const object& from) {
    constexpr Status kStatus[] = {Status::Error,         Status::Ok,    Status::Rejected,  Status::Timeout,
                                  Status::ConnectFailed, Status::Reset, Status::Cancelled, Status::NotSent};
    return kStatus[require_u32(from, "ending", 7)];
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
    result.id = need_request_id(from);
    result.class_index = require_u32(from, "priority");
    result.deadline = require_time(from, "valid_until");
    if (find(from, "party")) result.tenant = require_u32(from, "party");
    result.write = bool_or(from, "mutates", false);
    result.resent = bool_or(from, "resent", false);
    if (const auto key = find(from, "key")) result.key = to_unsigned(*key, "key", kMaxKey);
    if (const auto work = find(from, "cost_guess"))
        result.work = to_nonnegative_duration(*work, "cost_guess");
    return result;
}

}  // namespace

Batch Reader::read(const std::string& line) {
    Batch batch;
    std::string location = "line";
    std::optional<State> saved;  // restored if the batch is malformed
    try {
        element root;
        if (parser_.parse(line).get(root) != simdjson::SUCCESS) throw_field_error("not valid JSON");
        const auto top = as<object>(root, "batch", "an object");
        batch.round = to_unsigned(require(top, "round"), "round");
        location = "round " + std::to_string(batch.round);
        batch.clock = require_time(top, "clock");
        require(top, "events");
        for (const element& item : elements(top, "events")) {
            const auto event = as<object>(item, "events", "an array of objects");
            const std::string_view tag = require_string(event, "t");
            location = "round " + std::to_string(batch.round) + ", message '" + std::string(tag) + "'";
            if (!saved && (tag == "ledger" || tag == "provision" || tag == "stop")) saved = state_;
            read_event(event, tag, state_, batch);
        }
    } catch (const WireError& error) {
        if (saved) state_ = *std::move(saved);
        throw WireError(location + ": " + error.what());
    }
    return batch;
}

void Reader::read_event(const object& event, std::string_view tag, State& state, Batch& batch) {
    if (tag == "ledger") {
        auto endpoints = std::make_shared<EndpointList>();
        List list;
        require(event, "members_list");
        for (const element& entry : elements(event, "members_list")) {
            endpoints->push_back(read_endpoint(as<object>(entry, "members_list", "an array of objects")));
            list.max_zone = std::max(list.max_zone, endpoints->back().zone);
            list.max_kind = std::max(list.max_kind, endpoints->back().kind);
        }
        list.endpoints = std::move(endpoints);
        state.lists[require_u32(event, "ref", kMaxLists - 1)] = std::move(list);
        return;
    }
    Message message;
    message.instance = require_u32(event, "sidecar_id");
    if (tag == "provision") {
        Provision provision{to_unsigned(require(event, "prng"), "prng"),
                            read_settings(require_object(event, "settings"))};
        const Settings& provisioned = provision.settings;
        state.running.insert_or_assign(message.instance,
                                       Ranges{provisioned.classes.size(), provisioned.tenants.size(),
                                              provisioned.zones, provisioned.kinds});
        message.body = std::move(provision);
        batch.messages.push_back(std::move(message));
        return;
    }
    const auto running = state.running.find(message.instance);
    if (running == state.running.end()) throw_field_error("field 'sidecar_id' names no running instance");
    const Ranges& ranges = running->second;
    if (tag == "ingress") {
        Request request = read_request(event);
        if (request.class_index >= ranges.classes) throw_field_error("field 'priority' is out of range");
        if (ranges.tenants == 0) request.tenant.reset();  // without tenants the field has no meaning
        if (request.tenant && *request.tenant >= ranges.tenants)
            throw_field_error("field 'party' is out of range");
        message.body = Event{std::move(request)};
    } else if (tag == "completed") {
        message.body = Event{Outcome{need_request_id(event), require_u32(event, "go"), need_endpoint(event),
                                     read_status(event), require_duration(event, "wait_time"),
                                     bool_or(event, "last", false), read_report(event)}};
    } else if (tag == "due") {
        message.body = Event{TimerFired{to_unsigned(require(event, "label"), "label", kMaxToken)}};
    } else if (tag == "lapsed") {
        message.body = Event{DeadlineExpired{need_request_id(event)}};
    } else if (tag == "first_byte") {
        message.body = Event{FirstByte{need_request_id(event), require_u32(event, "go"), need_endpoint(event),
                                       require_duration(event, "wait_time")}};
    } else if (tag == "peers_known") {
        constexpr DiscoveryUpdate::Kind kKinds[] = {
            DiscoveryUpdate::Kind::Cached, DiscoveryUpdate::Kind::Full, DiscoveryUpdate::Kind::Failed,
            DiscoveryUpdate::Kind::Delta};
        const std::uint32_t kind = require_u32(event, "kind", 4);
        if (kind == 0) throw_field_error("field 'kind' is out of range");
        DiscoveryUpdate news{kKinds[kind - 1], nullptr};
        if (news.kind != DiscoveryUpdate::Kind::Failed) {
            const List& list = state.lists[require_u32(event, "ref", kMaxLists - 1)];
            if (!list.endpoints) throw_field_error("field 'ref' names a list that was never sent");
            if (!list.endpoints->empty()) {
                if (list.max_zone >= ranges.zones)
                    throw_field_error("field 'ref': its list's 'locality' is out of range");
                if (list.max_kind >= ranges.kinds)
                    throw_field_error("field 'ref': its list's 'class_of_host' is out of range");
            }
            news.endpoints = list.endpoints;
        }
        message.body = Event{std::move(news)};
    } else if (tag == "status_back") {
        message.body = Event{ProbeResult{need_endpoint(event), read_status(event),
                                         require_duration(event, "wait_time"), read_report(event)}};
    } else if (tag == "note_from") {
        message.body =
            Event{PeerMessage{require_u32(event, "src"), std::string(require_string(event, "msg"))}};
    } else if (tag == "stop") {
        state.running.erase(running);
        message.body = Stop{};
    } else {
        throw_field_error("unknown message");
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
        void operator()(const CloseIdleConnections& shut) const {
            to.open("shut_idle", instance);
            to.field("endpoint", std::int64_t{static_cast<std::uint32_t>(shut.endpoint)});
        }
    };
    std::visit(Visitor{*this, instance}, action);
    text_ += '}';
}

void Writer::write_error(std::uint32_t instance, std::string_view reason) {
    open("broken", instance);
    field("reason_text", reason);
    text_ += '}';
}

std::string Writer::finish() && {
    text_ += "]}";
    return std::move(text_);
}

}  // namespace martenford::decision::wire
