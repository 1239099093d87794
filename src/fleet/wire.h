// What members of a fleet say to each other, as values, and as bytes.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace martenford::fleet {

/// Wire versions spoken. A link speaks the newest that both ends know.
constexpr std::uint32_t kOldestWireVersion = 1, kNewestWireVersion = 1;
constexpr std::size_t kMaxNameBytes = 64;  ///< bytes of a name, an address, a zone or a version
constexpr std::size_t kMaxUpdates = 150;   ///< in one message: within a frame though all names are longest
/// Refutations are counted from 0, one at most for each suspicion: what is above this was made up.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 48;

/// A process of the fleet. A name that returns has another boot id: it is another member.
struct Id {
    std::string name;
    std::uint64_t boot = 0;  ///< random, never 0
    auto operator<=>(const Id&) const = default;
};

enum class State : std::uint8_t { Alive, Suspect, Left, Dead };
/// Why a member is suspected, the weaker first.
enum class Evidence : std::uint8_t {
    Silent,   ///< nothing came back
    Stalled,  ///< a connection came up or stood, and nobody spoke on it
    Gone,     ///< nobody listens there, or a connection was reset before a word
};
constexpr std::uint32_t kStateCount = 4, kEvidenceCount = 3;

struct MemberUpdate {
    Id id;
    std::string address, zone, version;  ///< empty where it is not said to be alive, but in lists
    std::uint64_t incarnation = 0;
    State state = State::Alive;
    Evidence evidence = Evidence::Silent;
    std::string reported_by;
    bool successor = false;
};

struct Message {
    enum class Kind : std::uint8_t {
        Ping,         ///< answered by an Ack
        PingRequest,  ///< ping `to` at `address` for me; answered by its Ack or by a Nack
        Ack,
        Nack,         ///< a helper heard nothing from the one it was asked about
        Gossip,       ///< claims only
        SyncRequest,  ///< a digest of who is here
        MemberList,   ///< all that is known, in pieces; none: the digests agree
        LinkClosing,  ///< this link ends, to make room for another: its end says nothing
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

/// What another package says on the same link; not looked into here.
struct Payload {
    std::string bytes;
};

using FrameBody = std::variant<Hello, Message, Payload>;

/// A whole frame.
std::string frame_of(const Hello& hello);
std::string frame_of(const Message& message);
std::string frame_of(const Payload& payload);
/// Of a frame's message. Throws framing::FrameError where it is none, or is over a bound above.
FrameBody parse_frame_body(std::string_view bytes);

/// Whether it may stand in a message: printable, without blanks, within kMostName.
bool is_valid_name(std::string_view text);
const char* name_of(State state);
const char* name_of(Evidence evidence);

}  // namespace martenford::fleet
