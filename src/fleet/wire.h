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
constexpr std::uint32_t kOldestWire = 1, kNewestWire = 1;
constexpr std::size_t kMostName = 64;     ///< bytes of a name, an address, a zone or a version
constexpr std::size_t kMostClaims = 150;  ///< in one message: within a frame though all names are longest
/// Refutations are counted from 0, one at most for each suspicion: what is above this was made up.
constexpr std::uint64_t kMostIncarnation = std::uint64_t{1} << 48;

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
constexpr std::uint32_t kStates = 4, kEvidences = 3;

struct Claim {
    Id id;
    std::string address, zone, version;  ///< empty where it is not said to be alive, but in lists
    std::uint64_t incarnation = 0;
    State state = State::Alive;
    Evidence evidence = Evidence::Silent;
    std::string by;
    bool heir = false;
};

struct Message {
    enum class Kind : std::uint8_t {
        Ping,  ///< answered by an Ack
        Ask,   ///< ping `to` at `address` for me; answered by its Ack or by a Nack
        Ack,
        Nack,     ///< a helper heard nothing from the one it was asked about
        News,     ///< claims only
        Compare,  ///< a digest of who is here
        Entries,  ///< all that is known, in pieces; none: the digests agree
        Bye,      ///< this link ends, to make room for another: its end says nothing
    };
    Kind kind = Kind::News;
    std::uint64_t seq = 0;
    Id to;
    std::string address;
    std::uint64_t digest = 0;
    bool want = false;
    std::uint32_t stalled_ms = 0;
    std::vector<Claim> claims;
};
constexpr std::uint32_t kKinds = 8;

struct Hello {
    std::string fleet;
    Id id;
    std::string address, version;
    std::uint32_t oldest = kOldestWire, newest = kNewestWire;
};

/// What another package says on the same link; not looked into here.
struct Carried {
    std::string bytes;
};

using Said = std::variant<Hello, Message, Carried>;

/// A whole frame.
std::string frame_of(const Hello& hello);
std::string frame_of(const Message& message);
std::string frame_of(const Carried& carried);
/// Of a frame's message. Throws framing::FrameError where it is none, or is over a bound above.
Said read_said(std::string_view bytes);

/// Whether it may stand in a message: printable, without blanks, within kMostName.
bool may_be_said(std::string_view text);
const char* name_of(State state);
const char* name_of(Evidence evidence);

}  // namespace martenford::fleet
