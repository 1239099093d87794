#include "config/read_settings.h"

namespace martenford::decision::json {
namespace {

RequestClass read_class(const object& from) {
    RequestClass result;
    result.name = require_string(from, "name");
    result.worth = number_or(from, "credit", 1.0);
    result.late_worth = number_or(from, "late_value", 0.0);
    result.latency_target = require_duration(from, "slo");
    result.latency_target_stretch = number_or(from, "aim_stretch", 0.0);
    result.deadline = require_duration(from, "deadline");
    result.idempotency = enum_value<Idempotency>(require_string(from, "effect"), "effect",
                                                 {{"free", Idempotency::Idempotent},
                                                  {"guarded", Idempotency::Deduplicated},
                                                  {"single_shot", Idempotency::NonIdempotent}});
    if (find(from, "group")) {
        result.dedup_scope = enum_value<DedupScope>(
            require_string(from, "group"), "group",
            {{"all", DedupScope::All}, {"zone", DedupScope::Zone}, {"cell", DedupScope::Cell}});
    }
    result.dedup_window = duration_or_zero(from, "window");
    result.stream = bool_or(from, "stream", false);
    result.sequential = bool_or(from, "sequential", false);
    return result;
}

Limits read_limits(const object& from) {
    Limits result;
    result.may_cancel = bool_or(from, "may_cancel", false);
    result.probing = bool_or(from, "probing", false);
    result.hedging = bool_or(from, "second_copies", false);
    result.peers = bool_or(from, "peers", false);
    result.retry_after = bool_or(from, "retry_after", false);
    result.max_attempts = require_u32(from, "try_limit");
    result.streams_per_connection = u32_or(from, "max_streams", 1);
    result.connection_idle = duration_or_zero(from, "conn_idle");
    result.connect_timeout = duration_or_zero(from, "dial_timeout");
    result.max_retry_after = duration_or_zero(from, "max_retry_after");
    return result;
}

Rules read_rules(const object& from) {
    Rules result;
    result.answer_slack = require_duration(from, "answer_slack");
    result.subscribe_interval = duration_or_zero(from, "ask_every");
    result.drain_grace = require_duration(from, "stop_sending_within");
    result.cold_capacity_share = require_number(from, "cold_from");
    result.warm_up_time = require_duration(from, "ramp_time");
    result.overload_multiple = require_number(from, "fall_multiple");
    result.overload_time = require_duration(from, "tip_after");
    result.key_cooldown = duration_or_zero(from, "turn_gap");
    // Any of the three fields enables the attempt budget; validate() reports which of the others are missing.
    if (find(from, "extra_floor") || find(from, "resend_ratio") || find(from, "look_back")) {
        result.attempt_budget = {number_or(from, "extra_floor", 0.0), number_or(from, "resend_ratio", 0.0),
                                 duration_or_zero(from, "look_back")};
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

}  // namespace

Settings read_settings(const object& from) {
    Settings result;
    result.position = require_u32(from, "position");
    result.replicas = require_u32(from, "replicas_of_me");
    result.zone = u32_or(from, "zone", 0);
    result.zones = count_or_one(from, "dcs");
    result.kinds = count_or_one(from, "kinds");
    result.tier = u32_or(from, "layer", 0);
    result.tiers = count_or_one(from, "tiers");
    result.subscribe = enum_value<bool>(require_string(from, "discovery"), "discovery",
                                        {{"automatic", false}, {"subscribe", true}});
    if (find(from, "family_info")) {
        result.passes_deadline = bool_or(require_object(from, "family_info"), "passes_deadline", true);
    }
    if (find(from, "clients")) {
        result.marks_retry = bool_or(require_object(from, "clients"), "marks_retry", false);
    }
    if (find(from, "worth_by")) {
        result.worth_by_work = enum_value<bool>(require_string(from, "worth_by"), "worth_by",
                                                {{"request", false}, {"work", true}});
    }
    result.over_share_worth = number_or(from, "over_share_worth", 1.0);
    if (find(from, "weights")) {
        result.weights = enum_value<Weights>(require_string(from, "weights"), "weights",
                                             {{"none", Weights::None},
                                              {"nominal", Weights::Nominal},
                                              {"rough", Weights::Rough},
                                              {"live", Weights::Live}});
    }
    if (find(from, "load_report")) {
        result.report_via = enum_value<ReportVia>(
            require_string(require_object(from, "load_report"), "via"), "via",
            {{"none", ReportVia::None}, {"answers", ReportVia::Answers}, {"probe", ReportVia::Probe}});
    }
    result.tick = duration_or_zero(from, "tick");
    for (const element& item : elements(from, "classes")) {
        result.classes.push_back(read_class(as<object>(item, "classes", "an array of objects")));
    }
    for (const element& item : elements(from, "accounts")) {
        const auto account = as<object>(item, "accounts", "an array of objects");
        result.tenants.push_back({std::string(require_string(account, "name")),
                                  number_or(account, "share", 0.0),
                                  number_or(account, "allowance_per_s", 0.0)});
    }
    result.limits = read_limits(require_object(from, "limits"));
    if (find(from, "prices")) result.prices = read_prices(require_object(from, "prices"));
    result.rules = read_rules(require_object(from, "invariants"));
    try {
        validate(result);
    } catch (const std::invalid_argument& error) {
        throw_field_error(error.what());
    }
    return result;
}

}  // namespace martenford::decision::json
