#include "rpc/wire_format.h"

#include <algorithm>
#include <cstdint>

namespace martenford::rpc::wire_format {

std::string to_string(capnp::Text::Reader text) {
    return {text.cStr(), text.size()};
}

std::string to_string(capnp::Data::Reader data) {
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader to_data(std::string_view bytes) {
    return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}

void write(wire::Member::Builder out, const raft::Member& member) {
    out.setId(member.id);
    out.setAddress(member.address);
    out.setZone(member.zone);
    out.setRegion(member.region);
    out.setLossCounted(member.loss_counted);
}

raft::Member read(wire::Member::Reader in) {
    return {in.getId(), to_string(in.getAddress()), to_string(in.getZone()), to_string(in.getRegion()),
            in.getLossCounted()};
}

void write(wire::LogPosition::Builder out, const raft::LogPosition& position) {
    out.setTerm(position.term);
    out.setIndex(position.index);
}

raft::LogPosition read(wire::LogPosition::Reader in) {
    return {in.getTerm(), in.getIndex()};
}

// The order of the init calls decides where the parts lie in the message, so it is part of the golden bytes.
void write(wire::LogEntry::Builder out, const raft::LogEntry& entry) {
    write(out.initPosition(), entry.position);
    write_list(out.initVoters(list_size(entry.voters)), entry.voters);
    write_list(out.initOutgoingVoters(list_size(entry.outgoing_voters)), entry.outgoing_voters);
    out.setValue(to_data(entry.value));
}

raft::LogEntry read(wire::LogEntry::Reader in) {
    return {read(in.getPosition()), read_list(in.getVoters()), to_string(in.getValue()),
            read_list(in.getOutgoingVoters())};
}

void write(wire::ProxyRegistration::Builder out, const registry::ProxyRegistration& registration) {
    out.setNode(registration.node);
    out.setIncarnation(registration.incarnation);
    out.setSeq(registration.seq);
    out.setInboundAddress(registration.inbound_address);
    out.setService(registration.service);
    out.setZone(registration.zone);
    out.setInstanceId(registration.instance_id);
    out.setState(static_cast<std::uint8_t>(registration.state));
    out.setSlots(registration.slots);
    out.setColdLeftMs(registration.cold_left_ms);
    out.setLeaseExpired(registration.lease_expired);
}

registry::ProxyRegistration read(wire::ProxyRegistration::Reader in) {
    registry::ProxyRegistration registration;
    registration.node = to_string(in.getNode());
    registration.incarnation = in.getIncarnation();
    registration.seq = in.getSeq();
    registration.inbound_address = to_string(in.getInboundAddress());
    registration.service = to_string(in.getService());
    registration.zone = to_string(in.getZone());
    registration.instance_id = to_string(in.getInstanceId());
    // A state that a later release may add is taken for Draining: no new requests go there.
    constexpr auto kLastState = static_cast<std::uint8_t>(registry::EndpointState::Draining);
    registration.state = static_cast<registry::EndpointState>(std::min(in.getState(), kLastState));
    registration.slots = in.getSlots();
    registration.cold_left_ms = in.getColdLeftMs();
    registration.lease_expired = in.getLeaseExpired();
    return registration;
}

void write(wire::QuotaDemand::Builder out, const quota::QuotaDemand& demand) {
    out.setTenant(demand.tenant);
    out.setRatePerS(demand.rate_per_s);
    out.setLeasedRatePerS(demand.leased_rate_per_s);
    out.setLeaseRemainingMs(demand.lease_remaining_ms);
}

quota::QuotaDemand read(wire::QuotaDemand::Reader in) {
    return {to_string(in.getTenant()), in.getRatePerS(), in.getLeasedRatePerS(), in.getLeaseRemainingMs()};
}

void write(wire::QuotaLease::Builder out, const quota::QuotaLease& lease) {
    out.setTenant(lease.tenant);
    out.setRatePerS(lease.rate_per_s);
    out.setBurst(lease.burst);
    out.setLeaseMs(lease.lease_ms);
}

quota::QuotaLease read(wire::QuotaLease::Reader in) {
    return {to_string(in.getTenant()), in.getRatePerS(), in.getBurst(), in.getLeaseMs()};
}

std::string to_bytes(capnp::MallocMessageBuilder& message) {
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace martenford::rpc::wire_format
