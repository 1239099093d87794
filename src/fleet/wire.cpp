#include "fleet/wire.h"

#include <algorithm>

#include "fleet/wire.pb.h"
#include "framing/frame.h"

namespace martenford::fleet {

namespace {

using framing::FrameError;

/// Names go into logs and answers to operators: printable, and of bounded length.
const std::string& checked_name(const std::string& text, bool required = false) {
    if (!is_valid_name(text) || (required && text.empty()))
        throw FrameError("a name of a member can't be used");
    return text;
}

void fill(wire::Claim& to, const MemberUpdate& from) {
    to.set_name(from.id.name);
    to.set_boot(from.id.boot);
    to.set_address(from.address);
    to.set_zone(from.zone);
    to.set_incarnation(from.incarnation);
    to.set_state(static_cast<std::uint32_t>(from.state));
    to.set_evidence(static_cast<std::uint32_t>(from.evidence));
    to.set_by(from.reported_by);
    to.set_heir(from.successor);
    to.set_version(from.version);
}

MemberUpdate read_update(const wire::Claim& from) {
    if (from.state() >= kStateCount || from.evidence() >= kEvidenceCount || from.boot() == 0)
        throw FrameError("a claim can't be used");
    return {{checked_name(from.name(), true), from.boot()},
            checked_name(from.address(), from.state() == static_cast<std::uint32_t>(State::Alive)),
            checked_name(from.zone()),
            checked_name(from.version()),
            std::min(from.incarnation(), kMaxIncarnation),
            static_cast<State>(from.state()),
            static_cast<Evidence>(from.evidence()),
            checked_name(from.by()),
            from.heir()};
}

}  // namespace

std::string frame_of(const Hello& hello) {
    wire::Frame out;
    auto& to = *out.mutable_hello();
    to.set_fleet(hello.fleet);
    to.set_name(hello.id.name);
    to.set_boot(hello.id.boot);
    to.set_address(hello.address);
    to.set_oldest(hello.oldest);
    to.set_newest(hello.newest);
    to.set_version(hello.version);
    return framing::encode_message(out);
}

std::string frame_of(const Message& message) {
    wire::Frame out;
    auto& to = *out.mutable_message();
    to.set_kind(static_cast<std::uint32_t>(message.kind));
    to.set_seq(message.seq);
    to.set_to_name(message.to.name);
    to.set_to_boot(message.to.boot);
    to.set_to_address(message.address);
    to.set_digest(message.digest);
    to.set_want(message.want_list);
    to.set_stalled_ms(message.stalled_ms);
    for (const MemberUpdate& update : message.updates) fill(*to.add_claims(), update);
    return framing::encode_message(out);
}

std::string frame_of(const Payload& payload) {
    wire::Frame out;
    out.set_state(payload.bytes);
    return framing::encode_message(out);
}

FrameBody parse_frame_body(std::string_view bytes) {
    const auto in = framing::decode_message<wire::Frame>(bytes);
    if (in.has_hello()) {
        const auto& from = in.hello();
        if (from.boot() == 0) throw FrameError("a hello can't be used");
        return Hello{checked_name(from.fleet(), true),
                     {checked_name(from.name(), true), from.boot()},
                     checked_name(from.address(), true),
                     checked_name(from.version()),
                     from.oldest(),
                     from.newest()};
    }
    if (in.has_state()) return Payload{in.state()};
    if (!in.has_message()) throw FrameError("a message says nothing");
    const auto& from = in.message();
    if (from.kind() >= kMessageKindCount) throw FrameError("a message is of no known kind");
    if (static_cast<std::size_t>(from.claims_size()) > kMaxUpdates)
        throw FrameError("a message has too many claims");
    Message message{static_cast<Message::Kind>(from.kind()),
                    from.seq(),
                    {checked_name(from.to_name()), from.to_boot()},
                    checked_name(from.to_address()),
                    from.digest(),
                    from.want(),
                    from.stalled_ms(),
                    {}};
    message.updates.reserve(static_cast<std::size_t>(from.claims_size()));
    for (const auto& claim : from.claims()) message.updates.push_back(read_update(claim));
    return message;
}

bool is_valid_name(std::string_view text) {
    const auto printable = [](char c) { return c > ' ' && c <= '~'; };
    return text.size() <= kMaxNameBytes && std::all_of(text.begin(), text.end(), printable);
}

const char* name_of(State state) {
    constexpr const char* kNames[] = {"alive", "suspect", "left", "dead"};
    return kNames[static_cast<std::size_t>(state)];
}

const char* name_of(Evidence evidence) {
    constexpr const char* kNames[] = {"silent", "stalled", "gone"};
    return kNames[static_cast<std::size_t>(evidence)];
}

}  // namespace martenford::fleet
