// How calls end in gRPC, in the platform's terms, and back: one table each way. Pure.
//
// Sources: gRPC's "Status codes and their use in gRPC" and "HTTP to gRPC Status Code Mapping"; gRPC over
// HTTP/2 (PROTOCOL-HTTP2.md); RFC 9113, sections 6.8 (GOAWAY), 7 (error codes) and 8.7 (request reliability).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/engine.h"

namespace martenford::grpc {

enum class Code : std::uint8_t {
    Ok = 0,
    Cancelled = 1,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    AlreadyExists = 6,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Aborted = 10,
    OutOfRange = 11,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
    DataLoss = 15,
    Unauthenticated = 16
};
constexpr std::uint8_t kCodes = 17;

/// Of a `grpc-status` field. What is no decimal number, or none of the codes, is Unknown.
Code code_of(std::string_view text);

/// How an attempt ended, as a back sees it.
struct Ending {
    enum class How {
        ConnectFailed,    ///< no connection came up, or its HTTP/2 preface was never answered
        NotWhole,         ///< it ended before the frame with END_STREAM was written
        StreamRefused,    ///< RST_STREAM with REFUSED_STREAM: not processed (RFC 9113, 8.7)
        GoAwayAbove,      ///< GOAWAY whose last stream is below this one: not processed (6.8)
        GoAwayAtOrBelow,  ///< GOAWAY that includes this one, and the connection ended without an answer
        StreamReset,      ///< RST_STREAM with any other code
        ConnectionLost,   ///< ended after the request was whole
        Trailers,         ///< `code` is their grpc-status; trailers-only answers too
        NoTrailers,       ///< the stream ended without a grpc-status
        HalfMessage,      ///< trailers, or the end, within a length-prefixed message
        BadFraming,       ///< a compressed flag that is none, or HTTP/2 that can't be read
        TooLarge,         ///< more than is taken
        HttpStatus,       ///< an answer that is not gRPC's; `code` is the status
        TimedOut
    };
    How how = How::ConnectionLost;
    std::uint32_t code = 0;
    bool not_processed = false;  ///< it carried `x-not-processed: 1`
};

/// In the platform's terms. Ok: the endpoint has answered the call, whatever it says.
decision::Status outcome_of(const Ending& ending);

/// Whether an endpoint that ends a call with this code has given its answer: one that another attempt would
/// get again. The others say that something failed on the way or meanwhile, and the call may have run.
bool is_answer(Code code);

/// What a client is told that was not served.
struct Closing {
    Code code = Code::Internal;
    bool not_processed = false;  ///< `x-not-processed: 1` goes with it
};
/// Refused is UNAVAILABLE, which stock clients may be set to try again; nothing else is. Failed is
/// DEADLINE_EXCEEDED where the client's time is up, INTERNAL otherwise: neither is tried again by a client
/// that keeps to gRPC's advice.
Closing closing_of(Answer::Kind kind, bool out_of_time);

/// `grpc-message`: percent-encoded UTF-8 (PROTOCOL-HTTP2.md, Responses).
std::string encode_message(std::string_view text);
/// What can't be decoded stays as it is.
std::string decode_message(std::string_view text);

}  // namespace martenford::grpc
