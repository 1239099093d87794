#include "assembly/features.h"

#include <algorithm>

#include "core/address.h"
#include "policy/mechanics.h"

namespace martenford {

namespace {

constexpr std::int64_t kMaxWidth = 100'000;        // endpoints in a list at most
constexpr std::int64_t kMaxConnections = 1 << 20;  // more than the file descriptors of a process
constexpr double kCautionDrainShare = 0.4;         // of the drain grace

using Table = TomlReader::Table;

subset::Options read_subset(Table& from) {
    subset::Options result;
    from.integer("width", result.width, 1, kMaxWidth);
    result.max_width = std::min<std::size_t>(result.width * 8, kMaxWidth);
    from.integer("most_width", result.max_width, 1, kMaxWidth);
    if (result.max_width < result.width) from.fail("'most_width' is less than 'width'");
    from.reject_unknown_fields();
    return result;
}

outlier::Options read_outliers(Table& from) {
    outlier::Options result;
    from.integer("failures", result.failure_threshold, 1, 1000);
    from.duration("apart", result.min_failure_gap, true);
    from.duration("eject_for", result.base_ejection_time, true);
    from.duration("eject_most", result.max_ejection_time, true);
    from.number("most_share", result.max_ejected_share, 0.0, 1.0);
    from.reject_unknown_fields();
    return result;
}

constexpr std::int64_t kMaxMegabytes = 1 << 20;
constexpr Duration kMaxHold = 10s;

ledger::ClassOptions read_class_options(Table& from, ledger::ClassOptions result) {
    from.choice("level", result.level,
                {{"off", ledger::Durability::Off},
                 {"async", ledger::Durability::Async},
                 {"group", ledger::Durability::Group},
                 {"sync", ledger::Durability::Sync}});
    from.choice("outage", result.outage,
                {{"refuse", ledger::OutagePolicy::Refuse}, {"go-on", ledger::OutagePolicy::SendUnjournaled}});
    return result;
}

ledger::Options read_ledger(Table& from) {
    ledger::Options result;
    from.string("directory", result.directory, true);
    if (result.directory.empty()) from.fail("'directory' is empty");
    from.string("helper", result.helper);
    from.string("digest_key", result.key_file);
    from.duration("hold", result.hold_timeout, true);
    if (result.hold_timeout > kMaxHold) from.fail("'hold' must be at most 10s: no request waits longer");
    result.non_idempotent = read_class_options(from, result.non_idempotent);
    std::uint64_t megabytes = 0;
    from.integer("most_mb", megabytes, 1, kMaxMegabytes);
    result.max_bytes = megabytes << 20;
    from.integer("batch_records", result.batch.max_records, 1, 100'000);
    from.duration("batch_delay", result.batch.delay);
    if (result.batch.delay >= result.hold_timeout) from.fail("'batch_delay' must be less than 'hold'");
    from.integer("queue_records", result.queue.max_records, 100, 10'000'000);
    from.duration("ack_within", result.queue.ack_timeout, true);
    std::int64_t days = 30, archive_days = 400;
    from.integer("keep_days", days, 1, 36'500);
    from.integer("keep_archive_days", archive_days, 1, 36'500);
    if (archive_days < days) from.fail("'keep_archive_days' is less than 'keep_days'");
    result.journal_retention = std::chrono::hours(24 * days);
    result.archive_retention = std::chrono::hours(24 * archive_days);
    for (Table& each : from.tables("class")) {
        std::string name;
        each.string("name", name, true);
        const auto class_options = read_class_options(each, result.non_idempotent);
        if (!result.classes.emplace(name, class_options).second) each.fail("duplicate class '" + name + "'");
        each.reject_unknown_fields();
    }
    from.reject_unknown_fields();
    return result;
}

constexpr std::size_t kMaxFleetNameBytes = 64;  // limit of the wire format
constexpr Duration kMaxStall = 60s;
constexpr Duration kMinTombstones = 10s;

/// Reads addresses with their ports, or without (`without_port`).
std::vector<std::string> read_addresses(Table& from, std::string_view key, bool without_port) {
    std::vector<std::string> result;
    for (const toml::node* node : from.items(key)) {
        const auto text = node->value_exact<std::string>();
        if (!text || !parse_address(without_port ? *text + ":1" : *text))
            from.reader().fail(*node, fmt::format("each of '{}' must be an address such as \"{}\"", key,
                                                  without_port ? "10.0.0.4" : "10.0.0.4:7400"));
        result.push_back(*text);
    }
    return result;
}

void read_address(Table& from, std::string_view key, std::string& into, bool required) {
    from.string(key, into, required);
    if (!into.empty() && !parse_address(into))
        from.reader().fail(from.require(key),
                           fmt::format("'{}' must be an address such as \"10.0.0.4:7400\"", key));
}

fleet::Options read_fleet(Table& from) {
    fleet::Options result;
    from.string("name", result.name, true);
    if (result.name.empty() || result.name.size() > kMaxFleetNameBytes ||
        result.name.find_first_of(" \t\r\n") != std::string::npos)
        from.reader().fail(
            from.require("name"),
            fmt::format("'name' must have 1 to {} bytes and no whitespace", kMaxFleetNameBytes));
    read_address(from, "listen", result.listen, true);
    read_address(from, "advertise", result.advertise, false);
    result.seeds = read_addresses(from, "seeds", false);
    result.permitted = read_addresses(from, "permitted", true);
    from.integer("links", result.max_links, 4, 4096);
    std::size_t queued_kb = result.max_queued_bytes / 1024;
    from.integer("queued_kb", queued_kb, 64, 64 * 1024);
    result.max_queued_bytes = queued_kb * 1024;
    fleet::ProtocolOptions& protocol = result.protocol;
    from.duration("probe_every", protocol.probe_interval, true);
    from.duration("probe_patience", protocol.probe_timeout, true);
    from.integer("helpers", protocol.indirect_probes, 0, 16);
    from.duration("gossip_every", protocol.gossip_interval, true);
    from.integer("gossip_to", protocol.gossip_fanout, 1, 16);
    from.duration("stall", protocol.stall_tolerance, true);
    from.duration("gone", protocol.not_listening_tolerance, true);
    from.duration("exchange_every", protocol.sync_interval, true);
    from.duration("reconnect_every", protocol.reconnect_interval, true);
    from.duration("forget_after", protocol.forget_after, true);
    if (protocol.probe_timeout >= protocol.probe_interval)
        from.fail("'probe_patience' must be less than 'probe_every'");
    if (protocol.stall_tolerance > kMaxStall)
        from.fail("'stall' must be at most 60s: no failed member would be noticed");
    if (protocol.not_listening_tolerance > protocol.stall_tolerance)
        from.fail("'gone' must be at most 'stall'");
    from.reject_unknown_fields();
    return result;
}

replica::Options read_state(Table& from, bool fleet) {
    replica::Options result;
    if (!fleet) from.fail("requires [fleet]: its members share the state");
    replica::ReplicationSettings& pace = result.replication;
    from.duration("push_every", pace.push_every, true);
    from.integer("push_to", pace.push_to, 1, 16);
    from.integer("push_times", pace.push_times, 1, 8);
    from.duration("compare_every", pace.compare_every, true);
    from.duration("tombstones", pace.tombstones, true);
    std::size_t kb = pace.bytes_per_second / 1024;
    from.integer("kb_a_second", kb, 64, 64 * 1024);
    pace.bytes_per_second = kb * 1024;
    from.string("registry", result.registry);
    from.string("directory", result.directory);
    from.string("helper", result.helper);
    if (pace.tombstones < kMinTombstones)
        from.fail("'tombstones' must be at least 10s: a paused member would bring deleted entries back");
    from.reject_unknown_fields();
    return result;
}

}  // namespace

Features read_features(std::string_view text, const std::string& file) {
    return parse_toml(text, file, [](const TomlReader& reader, const toml::table& root) {
        Features result;
        Table top(reader, root, "the configuration");
        if (auto table = top.table("subset")) result.subset = read_subset(*table);
        if (auto table = top.table("outliers")) result.outliers = read_outliers(*table);
        if (auto table = top.table("membership")) {
            double share = 0.5;
            table->number("doubt_above", share, 0.1, 1.0);
            result.caution_share = share;
            table->reject_unknown_fields();
        }
        if (auto table = top.table("connections")) {
            table->integer("most", result.connections.max_total, 1, kMaxConnections);
            table->integer("per_endpoint", result.connections.per_endpoint, 1, kMaxConnections);
            table->reject_unknown_fields();
        }
        if (auto table = top.table("fleet")) result.fleet = read_fleet(*table);
        if (auto table = top.table("state")) result.state = read_state(*table, result.fleet.has_value());
        if (auto table = top.table("ledger")) result.ledger = read_ledger(*table);
        if (auto table = top.table("telemetry")) {
            telemetry::Options& into = result.telemetry.emplace();
            table->integer("stories", into.sampler.max_traces, 10, 100'000);
            table->duration("stretch", into.sampler.window, true);
            table->integer("values", into.causes.max_values, 16, 100'000);
            table->reject_unknown_fields();
        }
        top.reject_unknown_fields();
        return result;
    });
}

Features load_features(const std::string& path) {
    return read_features(read_toml_file(path), path);
}

Membership::Options membership_options(const Features& features, const decision::Settings& settings) {
    Membership::Options result;
    if (!features.caution_share) return result;
    result.max_removal_share = *features.caution_share;
    result.removal_delay = decision::scaled(settings.rules.drain_grace, kCautionDrainShare);
    return result;
}

std::unique_ptr<Policy> make_policy(const decision::Settings& settings, std::uint64_t seed,
                                    const Features& features, Counters& counters,
                                    outlier::OutlierPolicy** outliers) {
    decision::validate(settings);
    const auto balancer_settings =
        features.subset ? subset::SubsetPolicy::single_replica_settings(settings) : settings;
    std::unique_ptr<Policy> policy = std::make_unique<BalancerPolicy>(balancer_settings, seed);
    // Innermost: it then keeps records of endpoints of the subset only, and the subset counts the failures
    // that lead to an ejection.
    if (features.outliers) {
        auto outlier_policy =
            std::make_unique<outlier::OutlierPolicy>(std::move(policy), *features.outliers, counters);
        if (outliers) *outliers = outlier_policy.get();
        policy = std::move(outlier_policy);
    }
    if (features.subset) {
        policy =
            std::make_unique<subset::SubsetPolicy>(std::move(policy), settings, *features.subset, counters);
    }
    return policy;
}

}  // namespace martenford
