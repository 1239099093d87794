// What a journal is told of one request, in the words that every part of the package shares. Pure values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace martenford::ledger {

/// How an attempt ended. The numbers stand in files: they stay, and new ones are added at the end.
enum class Ending : std::uint8_t {
    Open = 0,           ///< not known to have ended
    Served = 1,         ///< an endpoint's 200: it ran
    Error = 2,          ///< another answer: it may have run
    Timeout = 3,        ///< written, and given up
    Reset = 4,          ///< written, and the connection broke
    Cancelled = 5,      ///< written or not, and no longer wanted
    Full = 6,           ///< turned away with proof that it never ran
    ConnectFailed = 7,  ///< not written whole
    NotSent = 8,        ///< never sent
    Withheld = 9,       ///< never sent, since this journal could not take it in time
};
constexpr int kEndingCount = 10;

/// What an attempt, or all of a request, means for its effect, from what is harmless to what is not.
enum class Effect : std::uint8_t { NeverRan = 0, MayHaveRun = 1, Ran = 2 };

/// The one final answer. The numbers stand in files.
enum class FinalAnswer : std::uint8_t {
    None = 0,        ///< not known to have been given
    Refused = 1,     ///< written whole to the client: never ran
    Failed = 2,      ///< written whole to the client: may have run
    Served = 3,      ///< written whole to the client
    ClientLeft = 4,  ///< the client had gone before
};
constexpr int kFinalAnswerCount = 5;

std::string_view name_of(Ending ending);
std::string_view name_of(Effect effect);
std::string_view name_of(FinalAnswer answer);

/// Of one attempt, by how it ended; an open one may have run: its first byte may be out.
Effect effect_of(Ending ending);

/// An attempt is about to be sent: its first byte goes out after this is kept, where its class waits for it.
struct Intent {
    std::uint32_t attempt = 0;  ///< 0, 1, 2 ... within the request
    std::string id;             ///< of the request, as its client named it
    std::string klass;
    std::string key;      ///< the client's, by which a repeat is known; mostly empty
    std::string digest;   ///< of the body, keyed; empty: none is taken
    std::string uid;      ///< of the endpoint, as discovery names it
    std::string address;  ///< and where it was
    bool operator==(const Intent&) const = default;
};
/// Its last byte was written.
struct Written {
    std::uint32_t attempt = 0;
    bool operator==(const Written&) const = default;
};
struct Ended {
    std::uint32_t attempt = 0;
    Ending ending = Ending::Open;
    bool operator==(const Ended&) const = default;
};
struct Answered {
    FinalAnswer answer = FinalAnswer::None;
    bool operator==(const Answered&) const = default;
};
/// Requests that went out while the journal could not take them: what is not found in this stretch may have
/// been sent all the same. `wall_ms` of the record is its end.
struct Gap {
    std::int64_t from_ms = 0;  ///< Unix time
    std::uint64_t requests = 0;
    std::string reason;
    bool operator==(const Gap&) const = default;
};

struct Record {
    std::uint64_t sequence = 0;  ///< 1, 2, 3 ... within a boot, in the order in which they were made
    std::uint64_t serial = 0;    ///< of the request within its boot; 0 for a gap
    std::int64_t wall_ms = 0;    ///< Unix time, which may step
    std::int64_t mono_ns = 0;    ///< the monotonic clock of the machine's boot
    bool urgent = false;         ///< a request waits for it: the batch is closed at once
    std::variant<Intent, Written, Ended, Answered, Gap> payload;
    bool operator==(const Record&) const = default;
};

}  // namespace martenford::ledger
