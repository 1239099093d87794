#include "proxy/local_endpoint.h"

#include <tuple>
#include <utility>

#include "event_log/event_log.h"
#include "http1/protocol.h"

namespace martenford::proxy {
namespace {

using event_log::Event;
using event_log::log_event;
using registry::EndpointState;

/// Heartbeat intervals without a heartbeat after which an endpoint is removed: two may be lost, and the third
/// late by half an interval and more.
constexpr double kMissedHeartbeats = 2.6;
/// A health probe is answered in milliseconds by an endpoint that runs; one that still starts sends a
/// heartbeat once it is ready.
constexpr int kMaxHealthProbes = 4;
constexpr Duration kHealthProbeInterval = 250ms;
/// Concurrency of an endpoint found by its health check, until a heartbeat gives its own.
constexpr std::uint32_t kDefaultSlots = 4;
/// Failures in a row that mean that nobody listens: a single one may be a full accept queue.
constexpr int kMaxConnectFailures = 2;
/// Heartbeats may arrive after their instance has ended; so many past instance ids are remembered.
constexpr std::size_t kMaxPastInstances = 64;

control_api::Response ok() {
    return {200, "{}"};
}

const char* text_of(EndpointRemoval reason) {
    switch (reason) {
        case EndpointRemoval::Deregistered:
            return "deregistered";
        case EndpointRemoval::Unreachable:
            return "unreachable";
        case EndpointRemoval::MissedHeartbeats:
            return "missed heartbeats";
        case EndpointRemoval::ShuttingDown:
            return "the proxy shuts down";
    }
    return "";
}

/// The fields whose changes are registered at once; the others go with the next periodic registration.
auto significant_fields(const registry::ProxyRegistration& registration) {
    return std::tie(registration.instance_id, registration.state, registration.slots, registration.service);
}

}  // namespace

LocalEndpoint::LocalEndpoint(Options options, Dependencies dependencies)
    : options_(std::move(options)),
      dependencies_(std::move(dependencies)),
      registration_(options_.identity),
      timer_(dependencies_.scheduler) {}

control_api::Response LocalEndpoint::handle_heartbeat(const control_api::Call& call) {
    const auto parsed = parse_heartbeat(call.body);
    if (const auto* error = std::get_if<HeartbeatError>(&parsed)) return {400, error->response_body};
    const auto& heartbeat = std::get<Heartbeat>(parsed);

    if (!accept_instance(call, heartbeat.address)) return ok();
    // A heartbeat that arrives out of order shows that the endpoint is alive, though its content is outdated.
    last_heartbeat_at_ = dependencies_.scheduler.now();
    if (heartbeat.sequence_number <= last_sequence_number_) return ok();
    last_sequence_number_ = heartbeat.sequence_number;
    connect_failures_ = 0;
    apply(call.id, heartbeat);
    return ok();
}

bool LocalEndpoint::accept_instance(const control_api::Call& call, const Address& address) {
    if (call.id == registration_.instance_id) return true;
    // An endpoint that was removed at shutdown may go on sending heartbeats: it is not registered again.
    if (shutting_down_) return false;
    if (past_instances_.contains(call.id)) return false;
    if (!registration_.instance_id.empty()) remember_past_instance(registration_.instance_id);
    log_event(Event::EndpointSeen, "endpoint", {{"id", call.id}, {"at", martenford::text_of(address)}});
    last_sequence_number_ = -1;
    endpoint_id_ = EndpointId{++last_endpoint_id_};
    return true;
}

void LocalEndpoint::apply(const std::string& instance_id, const Heartbeat& heartbeat) {
    const registry::ProxyRegistration before = registration_;
    registration_.instance_id = instance_id;
    registration_.service = heartbeat.service;
    registration_.slots = heartbeat.slots;
    registration_.cold_left_ms = heartbeat.cold_left_ms;
    registration_.state = heartbeat.state;

    const bool is_draining = registration_.state == EndpointState::Draining;
    dependencies_.placement.set_endpoint(endpoint_id_, heartbeat.address, true);
    dependencies_.admission.set_endpoint(endpoint_id_, registration_.instance_id, registration_.slots);
    if (is_draining) dependencies_.admission.start_draining(last_heartbeat_at_);
    if (significant_fields(before) == significant_fields(registration_)) return;
    if (is_draining) log_event(Event::EndpointDraining, "drains", {{"id", instance_id}});
    publish_change();
}

control_api::Response LocalEndpoint::handle_deregister(const control_api::Call& call) {
    if (call.id == registration_.instance_id) remove(EndpointRemoval::Deregistered);
    return ok();
}

void LocalEndpoint::probe_if_unknown() {
    const bool is_known = !registration_.instance_id.empty() || last_sequence_number_ >= 0;
    if (shutting_down_ || !options_.probe_address || is_known || probes_sent_ >= kMaxHealthProbes) return;
    ++probes_sent_;
    const EndpointId id{++last_endpoint_id_};
    dependencies_.placement.set_endpoint(id, *options_.probe_address, true);
    dependencies_.back.probe(id, [this, id](Result&& result) { handle_probe_result(id, result); });
}

void LocalEndpoint::handle_probe_result(EndpointId id, const Result& result) {
    const auto* head = dynamic_cast<const HttpAnswerHead*>(result.head.get());
    const bool is_healthy = result.status == decision::Status::Ok && head != nullptr;
    if (is_healthy && registration_.instance_id.empty() && last_sequence_number_ < 0) {
        const auto instance_id = head->fields["Instance-Id"];
        adopt_probed(id, std::string(instance_id.data(), instance_id.size()));
        return;
    }
    dependencies_.placement.remove(id);
    if (registration_.instance_id.empty()) {
        timer_.set(dependencies_.scheduler.now() + kHealthProbeInterval, [this] { probe_if_unknown(); });
    }
}

void LocalEndpoint::adopt_probed(EndpointId id, std::string instance_id) {
    registration_.instance_id = std::move(instance_id);
    registration_.state = EndpointState::Ready;
    registration_.slots = kDefaultSlots;
    endpoint_id_ = id;
    last_heartbeat_at_ = dependencies_.scheduler.now();
    dependencies_.admission.set_endpoint(endpoint_id_, registration_.instance_id, registration_.slots);
    log_event(Event::EndpointSeen, "endpoint, by its health", {{"id", registration_.instance_id}});
    publish_change();
}

void LocalEndpoint::handle_attempt_end(decision::Status status) {
    if (status == decision::Status::Ok) connect_failures_ = 0;
    if (status != decision::Status::ConnectFailed || ++connect_failures_ < kMaxConnectFailures) return;
    // Deferred: the engine is still handling the attempt's end, and the removal changes what it works on.
    dependencies_.scheduler.add(dependencies_.scheduler.now(),
                                [this] { remove(EndpointRemoval::Unreachable); });
}

void LocalEndpoint::check_heartbeats() {
    const auto timeout = Duration{static_cast<Duration::rep>(
        kMissedHeartbeats * static_cast<double>(options_.heartbeat_interval.count()))};
    const Duration since_heartbeat = dependencies_.scheduler.now() - last_heartbeat_at_;
    if (since_heartbeat > timeout) remove(EndpointRemoval::MissedHeartbeats);
}

void LocalEndpoint::begin_shutdown(Duration remove_after) {
    shutting_down_ = true;
    timer_.set(dependencies_.scheduler.now() + remove_after,
               [this] { remove(EndpointRemoval::ShuttingDown); });
}

void LocalEndpoint::remove(EndpointRemoval reason) {
    if (registration_.state == EndpointState::Absent) return;
    log_event(Event::EndpointGone, "endpoint gone",
              {{"id", registration_.instance_id}, {"why", text_of(reason)}});
    registration_.state = EndpointState::Absent;
    if (reason == EndpointRemoval::Deregistered) remember_past_instance(registration_.instance_id);
    registration_.instance_id.clear();
    dependencies_.admission.remove_endpoint();
    dependencies_.placement.remove(endpoint_id_);
    publish_change();
}

void LocalEndpoint::remember_past_instance(const std::string& instance_id) {
    if (past_instances_.insert(instance_id).second) past_instances_by_age_.push_back(instance_id);
    if (past_instances_by_age_.size() <= kMaxPastInstances) return;
    past_instances_.erase(past_instances_by_age_.front());
    past_instances_by_age_.pop_front();
}

void LocalEndpoint::publish_change() {
    ++registration_.seq;
    dependencies_.on_registration_changed();
}

}  // namespace martenford::proxy
