// Validation of the settings. Contains no decisions.
#include <cmath>
#include <stdexcept>

#include "martenford/decision/balancer.h"

namespace martenford::decision {
namespace {

void require(bool holds, const std::string& field, const char* rule) {
    if (!holds) throw std::invalid_argument("decision library: settings field '" + field + "' " + rule);
}
void check_duration(Duration value, const std::string& field) {
    require(value >= Duration{}, field, "is negative");
}
void check_share(double value, const std::string& field) {
    require(value >= 0.0 && value <= 1.0, field, "is not between 0 and 1");
}
void check_amount(double value, const std::string& field) {
    require(std::isfinite(value) && value >= 0.0, field, "is not a finite number of at least 0");
}

}  // namespace

// A position beyond the number of replicas is allowed: an instance that replaces another may get the next
// number.
void validate(const Settings& s) {
    require(s.replicas > 0, "replicas", "is zero");
    require(s.zones > 0, "zones", "is zero");
    require(s.zone < s.zones, "zone", "is out of range");
    require(s.tiers > 0, "tiers", "is zero");
    require(s.tier < s.tiers, "tier", "is out of range");
    require(s.kinds > 0, "kinds", "is zero");
    check_share(s.over_share_worth, "over_share_worth");
    check_duration(s.tick, "tick");
    require(!s.classes.empty(), "classes", "is empty");
    for (const RequestClass& c : s.classes) {
        check_amount(c.worth, "classes.worth");
        check_share(c.late_worth, "classes.late_worth");
        check_duration(c.latency_target, "classes.aim");
        check_amount(c.latency_target_stretch, "classes.aim_stretch");
        require(c.deadline > Duration{}, "classes.deadline", "is not above zero");
        check_duration(c.dedup_window, "classes.window");
    }
    for (const Tenant& t : s.tenants) {
        check_share(t.share, "tenants.share");
        check_amount(t.allowance_per_s, "tenants.allowance_per_s");
    }
    require(s.limits.max_attempts > 0, "limits.max_attempts", "is zero");
    require(s.limits.streams_per_connection > 0, "limits.streams_per_connection", "is zero");
    check_duration(s.limits.connection_idle, "limits.connection_idle");
    check_duration(s.limits.connect_timeout, "limits.connect_timeout");
    check_duration(s.limits.max_retry_after, "limits.max_retry_after");
    for (const double price : {s.prices.connection, s.prices.cross_zone, s.prices.discovery,
                               s.prices.handshake, s.prices.late_fail, s.prices.probe, s.prices.waste}) {
        check_amount(price, "prices");
    }
    check_duration(s.rules.answer_slack, "rules.answer_slack");
    check_duration(s.rules.subscribe_interval, "rules.ask_every");
    check_duration(s.rules.drain_grace, "rules.drain_grace");
    check_share(s.rules.cold_capacity_share, "rules.cold_from");
    check_duration(s.rules.warm_up_time, "rules.ramp_time");
    require(std::isfinite(s.rules.overload_multiple) && s.rules.overload_multiple > 0.0,
            "rules.fall_multiple", "is not above zero");
    check_duration(s.rules.overload_time, "rules.tip_after");
    check_duration(s.rules.key_cooldown, "rules.turn_gap");
    if (const auto& budget = s.rules.attempt_budget) {
        check_amount(budget->floor, "rules.attempt_budget.floor");
        check_share(budget->ratio, "rules.attempt_budget.ratio");
        require(budget->look_back > Duration{}, "rules.attempt_budget.look_back", "is not above zero");
    }
}

}  // namespace martenford::decision
