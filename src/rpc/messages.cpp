#include "rpc/messages.h"

#include <utility>

#include "rpc/wire_format.h"

namespace martenford::rpc {

namespace {

using wire_format::list_size;
using wire_format::read;
using wire_format::read_list;
using wire_format::to_data;
using wire_format::to_string;
using wire_format::write;
using wire_format::write_list;

// In each write_message() the order of the init calls decides where the parts lie in the message, so it is
// part of the golden bytes.

void write_message(wire::Envelope::Builder envelope, const Hello& hello) {
    auto out = envelope.initHello();
    write(out.initMember(), hello.member);
    write_list(out.initControllers(list_size(hello.controllers)), hello.controllers);
    out.getMember().setHasNoHistory(hello.history == raft::MemberHistory::None);
}

void write_message(wire::Envelope::Builder envelope, const raft::Message& message) {
    auto out = envelope.initRaftMessage();
    out.setKind(static_cast<std::uint8_t>(message.kind));
    write(out.initFrom(), message.from);
    out.setTo(message.to);
    out.setTerm(message.term);
    out.setPreVote(message.pre_vote);
    out.setGranted(message.granted);
    write(out.initLastPosition(), message.last_position);
    write(out.initCommitPosition(), message.commit_position);
    out.setRound(message.round);
    out.setLeadershipTransfer(message.leadership_transfer);
    out.setLeaving(message.leaving);
    out.setHasQuorum(message.has_quorum);
    out.setSentAt(message.sent_at);
    out.setContactSequence(message.contact_sequence);
    if (message.entry) write(out.initEntry(), *message.entry);
}

void write_message(wire::Envelope::Builder envelope, const RegisterRequest& request) {
    auto out = envelope.initRegisterRequest();
    write(out.initRegistration(), request.registration);
    write_list(out.initDemands(list_size(request.demands)), request.demands);
    out.setAppliedResponse(request.applied_response);
    out.setConfigVersion(request.config_version);
    out.setSentAt(request.sent_at);
    out.setKnownProxies(request.known_proxies);
}

void write_message(wire::Envelope::Builder envelope, const RegisterResponse& response) {
    auto out = envelope.initRegisterResponse();
    out.setResponseNumber(response.response_number);
    write_list(out.initQuotaLeases(list_size(response.quota_leases)), response.quota_leases);
    out.setFromLeader(response.from_leader);
    out.setLiveProxies(response.live_proxies);
    out.setRequestSentAt(response.request_sent_at);
}

void write_message(wire::Envelope::Builder envelope, const WatchRequest& request) {
    auto out = envelope.initWatchRequest();
    out.setEpoch(request.epoch);
    out.setSeq(request.seq);
    out.setConfigVersion(request.config_version);
    out.setWantsConfig(request.wants_config);
}

void write_message(wire::Envelope::Builder envelope, const WatchResponse& response) {
    auto out = envelope.initWatchResponse();
    const registry::RegistryDelta& delta = response.registry;
    out.setEpoch(delta.epoch);
    out.setSeq(delta.seq);
    out.setIsSnapshot(delta.is_snapshot);
    write_list(out.initRegistrations(list_size(delta.registrations)), delta.registrations);
    auto removed_nodes = out.initRemovedNodes(list_size(delta.removed_nodes));
    for (unsigned i = 0; i < delta.removed_nodes.size(); ++i) removed_nodes.set(i, delta.removed_nodes[i]);
    out.setConfigVersion(response.config_version);
    out.setConfig(to_data(response.config));
    out.setHasQuorumContact(response.has_quorum_contact);
    write_list(out.initControllers(list_size(response.controllers)), response.controllers);
}

Hello read_message(wire::Hello::Reader in) {
    return {read(in.getMember()), read_list(in.getControllers()),
            in.getMember().getHasNoHistory() ? raft::MemberHistory::None : raft::MemberHistory::Unknown};
}

/// Returns nothing for a kind that this release does not know.
std::optional<Message> read_message(wire::RaftMessage::Reader in) {
    if (in.getKind() > static_cast<std::uint8_t>(raft::Message::Kind::TimeoutNow)) return std::nullopt;
    raft::Message message;
    message.kind = static_cast<raft::Message::Kind>(in.getKind());
    message.from = read(in.getFrom());
    message.to = in.getTo();
    message.term = in.getTerm();
    message.pre_vote = in.getPreVote();
    message.granted = in.getGranted();
    message.last_position = read(in.getLastPosition());
    message.commit_position = read(in.getCommitPosition());
    message.round = in.getRound();
    message.leadership_transfer = in.getLeadershipTransfer();
    message.leaving = in.getLeaving();
    message.has_quorum = in.getHasQuorum();
    message.sent_at = in.getSentAt();
    message.contact_sequence = in.getContactSequence();
    if (in.hasEntry()) message.entry = read(in.getEntry());
    return message;
}

RegisterRequest read_message(wire::RegisterRequest::Reader in) {
    return {read(in.getRegistration()),
            read_list(in.getDemands()),
            in.getAppliedResponse(),
            in.getConfigVersion(),
            in.getSentAt(),
            in.getKnownProxies()};
}

RegisterResponse read_message(wire::RegisterResponse::Reader in) {
    return {in.getResponseNumber(), read_list(in.getQuotaLeases()), in.getFromLeader(), in.getLiveProxies(),
            in.getRequestSentAt()};
}

WatchRequest read_message(wire::WatchRequest::Reader in) {
    return {in.getEpoch(), in.getSeq(), in.getConfigVersion(), in.getWantsConfig()};
}

WatchResponse read_message(wire::WatchResponse::Reader in) {
    WatchResponse response;
    response.registry.epoch = in.getEpoch();
    response.registry.seq = in.getSeq();
    response.registry.is_snapshot = in.getIsSnapshot();
    response.registry.registrations = read_list(in.getRegistrations());
    for (const auto node : in.getRemovedNodes()) response.registry.removed_nodes.push_back(to_string(node));
    response.config_version = in.getConfigVersion();
    response.config = to_string(in.getConfig());
    response.has_quorum_contact = in.getHasQuorumContact();
    response.controllers = read_list(in.getControllers());
    return response;
}

std::optional<Message> read_envelope(wire::Envelope::Reader in) {
    switch (in.which()) {
        case wire::Envelope::HELLO:
            return read_message(in.getHello());
        case wire::Envelope::RAFT_MESSAGE:
            return read_message(in.getRaftMessage());
        case wire::Envelope::REGISTER_REQUEST:
            return read_message(in.getRegisterRequest());
        case wire::Envelope::REGISTER_RESPONSE:
            return read_message(in.getRegisterResponse());
        case wire::Envelope::WATCH_REQUEST:
            return read_message(in.getWatchRequest());
        case wire::Envelope::WATCH_RESPONSE:
            return read_message(in.getWatchResponse());
    }
    return std::nullopt;  // a kind of a later release
}

}  // namespace

std::string encode(const Message& message) {
    capnp::MallocMessageBuilder builder;
    const auto envelope = builder.initRoot<wire::Envelope>();
    std::visit([&envelope](const auto& value) { write_message(envelope, value); }, message);
    return wire_format::to_bytes(builder);
}

std::optional<Message> decode(std::string_view bytes) {
    auto message = wire_format::parse<wire::Envelope>(bytes, read_envelope);
    return message ? std::move(*message) : std::nullopt;
}

}  // namespace martenford::rpc
