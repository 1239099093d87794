// Messages between members of a fleet, and their encoding.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace martenford::fleet {

/// Supported wire versions. A link uses the newest version that both ends support.
constexpr std::uint32_t kOldestWireVersion = 1, kNewestWireVersion = 1;
constexpr std::size_t kMaxNameBytes = 64;  ///< of a member name, address, zone or version
/// Per message; even with names of maximal length they fit in a frame.
constexpr std::size_t kMaxUpdates = 150;
/// Incarnations start at 0 and rise by one at most for each suspicion: a greater number is forged.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 48;

/// Identifies one process of the fleet. A restarted process has the same name and another boot id: it is
/// another member.
struct Id {
    std::string name;
    std::uint64_t boot = 0;  ///< random, not 0
    auto operator<=>(const Id&) const = default;
};

enum class State : std::uint8_t { Alive, Suspect, Left, Dead };
/// Why a member is suspected, from weakest to strongest.
enum class Evidence : std::uint8_t {
    Silent,  ///< no answer
    /// A connection was established but carries no messages.
    Stalled,
    /// Nobody listens at its address, or a connection was reset before the hello.
    Gone,
};
constexpr std::uint32_t kStateCount = 4, kEvidenceCount = 3;

struct MemberUpdate {
    Id id;
    std::string address, zone, version;  ///< set for live members and in member lists; otherwise empty
    std::uint64_t incarnation = 0;
    State state = State::Alive;
    Evidence evidence = Evidence::Silent;
    std::string reported_by;
    bool successor = false;
};

struct Message {
    enum class Kind : std::uint8_t {
        Ping,         ///< answered by an Ack
        PingRequest,  ///< asks a helper to ping `to` at `address`; answered by an Ack or a Nack
        Ack,
        Nack,         ///< the helper got no answer from the target
        Gossip,       ///< updates only
        SyncRequest,  ///< the sender's digest of the live members
        MemberList,   ///< all members that the sender knows, in several messages; empty if the digests agree
        LinkClosing,  ///< the sender closes this link to make room for another; it stays alive
    };
    Kind kind = Kind::Gossip;
    std::uint64_t seq = 0;
    Id to;
    std::string address;
    std::uint64_t digest = 0;
    bool want_list = false;
    std::uint32_t stalled_ms = 0;
    std::vector<MemberUpdate> updates;
};
constexpr std::uint32_t kMessageKindCount = 8;

struct Hello {
    std::string fleet;
    Id id;
    std::string address, version;
    std::uint32_t oldest = kOldestWireVersion, newest = kNewestWireVersion;
};

/// A message of another package over the same link; its content is opaque here.
struct Payload {
    std::string bytes;
};

using FrameBody = std::variant<Hello, Message, Payload>;

/// Encodes a complete frame.
std::string frame_of(const Hello& hello);
std::string frame_of(const Message& message);
std::string frame_of(const Payload& payload);
/// Decodes the body of a frame. Throws framing::FrameError if it is malformed or exceeds a limit above.
FrameBody parse_frame_body(std::string_view bytes);

/// Whether the text can be a member name, address, zone or version: printable, without blanks, at most
/// kMaxNameBytes long.
bool is_valid_name(std::string_view text);
const char* name_of(State state);
const char* name_of(Evidence evidence);

}  // namespace martenford::fleet
