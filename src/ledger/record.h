// The records that the journal keeps of a request, and the outcomes they can report. Plain values shared by
// the whole package.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace martenford::ledger {

/// How an attempt ended. The numbers are stored in files: never change them, and append new ones.
enum class Ending : std::uint8_t {
    Open = 0,           ///< no ending is known
    Served = 1,         ///< an endpoint answered 200: it ran
    Error = 2,          ///< an endpoint gave another answer: it may have run
    Timeout = 3,        ///< written, and timed out
    Reset = 4,          ///< written, and the connection broke
    Cancelled = 5,      ///< cancelled, written or not
    Full = 6,           ///< rejected by the endpoint with proof that it never ran
    ConnectFailed = 7,  ///< not written completely
    NotSent = 8,        ///< never sent
    Withheld = 9,       ///< never sent because the journal could not record it in time
};
constexpr int kEndingCount = 10;

/// What is known about the effect of an attempt or of a whole request, ordered from harmless to harmful.
enum class Effect : std::uint8_t { NeverRan = 0, MayHaveRun = 1, Ran = 2 };

/// The one final answer to the client. The numbers are stored in files.
enum class FinalAnswer : std::uint8_t {
    None = 0,        ///< no answer is known
    Refused = 1,     ///< written completely to the client: never ran
    Failed = 2,      ///< written completely to the client: may have run
    Served = 3,      ///< written completely to the client
    ClientLeft = 4,  ///< the client disconnected first
};
constexpr int kFinalAnswerCount = 5;

std::string_view name_of(Ending ending);
std::string_view name_of(Effect effect);
std::string_view name_of(FinalAnswer answer);

/// The effect of an attempt with this ending. An open attempt may have run: its first byte may have been
/// sent.
Effect effect_of(Ending ending);

/// An attempt is about to be sent. Where the class waits for its journal, the first byte is sent after this
/// record is durable.
struct Intent {
    std::uint32_t attempt = 0;  ///< index within the request: 0, 1, 2 ...
    std::string id;             ///< the request's id, as the client sent it
    std::string klass;
    std::string key;      ///< the client's idempotency key, which identifies a repeat; usually empty
    std::string digest;   ///< keyed digest of the body; empty: none was computed
    std::string uid;      ///< the endpoint's uid in discovery
    std::string address;  ///< the endpoint's address
    bool operator==(const Intent&) const = default;
};
/// The attempt's last byte was written.
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
/// Requests were sent while the journal could not record them: a request that is not found in this interval
/// may still have been sent. The record's `wall_ms` is the end of the interval.
struct Gap {
    std::int64_t from_ms = 0;  ///< start of the interval, Unix time
    std::uint64_t requests = 0;
    std::string reason;
    bool operator==(const Gap&) const = default;
};

struct Record {
    std::uint64_t sequence = 0;  ///< 1, 2, 3 ... within a boot, in the order of creation
    std::uint64_t serial = 0;    ///< the request's number within its boot; 0 for a gap
    std::int64_t wall_ms = 0;    ///< Unix time; the clock may step
    std::int64_t mono_ns = 0;    ///< monotonic clock of the machine
    bool urgent = false;         ///< a request waits for this record: its batch is closed at once
    std::variant<Intent, Written, Ended, Answered, Gap> payload;
    bool operator==(const Record&) const = default;
};

}  // namespace martenford::ledger
