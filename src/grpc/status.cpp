#include "grpc/status.h"

#include <charconv>

namespace martenford::grpc {

using decision::Status;

namespace {

constexpr char kHex[] = "0123456789ABCDEF";

int digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    return -1;
}

}  // namespace

Code code_of(std::string_view text) {
    unsigned value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value);
    if (fault != std::errc{} || stop != end || text.empty() || value >= kCodes) return Code::Unknown;
    return static_cast<Code>(value);
}

bool is_answer(Code code) {
    switch (code) {
        case Code::Ok:
        case Code::InvalidArgument:
        case Code::NotFound:
        case Code::AlreadyExists:
        case Code::PermissionDenied:
        case Code::FailedPrecondition:
        case Code::OutOfRange:
        case Code::Unimplemented:
        case Code::Unauthenticated:
            return true;
        case Code::Cancelled:
        case Code::Unknown:
        case Code::DeadlineExceeded:
        case Code::ResourceExhausted:
        case Code::Aborted:
        case Code::Internal:
        case Code::Unavailable:
        case Code::DataLoss:
            return false;
    }
    return false;
}

Status outcome_of(const Ending& ending) {
    using How = Ending::How;
    switch (ending.how) {
        case How::ConnectFailed:
        case How::NotWhole:
        case How::GoAwayAbove:
            return Status::ConnectFailed;
        case How::StreamRefused:
            return Status::Rejected;
        case How::GoAwayAtOrBelow:
        case How::StreamReset:
        case How::ConnectionLost:
            return Status::Reset;
        case How::Trailers: {
            const Code code = ending.code < kCodes ? static_cast<Code>(ending.code) : Code::Unknown;
            if (is_answer(code)) return Status::Ok;
            // Only these two are ever said of a call that was not begun; the platform asks for its own proof.
            const bool may_be_unbegun = code == Code::Unavailable || code == Code::ResourceExhausted;
            return may_be_unbegun && ending.not_processed ? Status::Rejected : Status::Error;
        }
        case How::HttpStatus:
            return ending.not_processed && (ending.code == 503 || ending.code == 504) ? Status::Rejected
                                                                                      : Status::Error;
        case How::NoTrailers:
        case How::HalfMessage:
        case How::BadFraming:
        case How::TooLarge:
            return Status::Error;
        case How::TimedOut:
            return Status::Timeout;
    }
    return Status::Error;
}

Closing closing_of(Answer::Kind kind, bool out_of_time) {
    if (kind == Answer::Kind::Refused) return {Code::Unavailable, true};
    return {out_of_time ? Code::DeadlineExceeded : Code::Internal, false};
}

std::string encode_message(std::string_view text) {
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= 0x20 && byte <= 0x7e && c != '%') {
            result += c;
        } else {
            result += {'%', kHex[byte >> 4], kHex[byte & 15]};
        }
    }
    return result;
}

std::string decode_message(std::string_view text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const int high = text[i] == '%' && i + 2 < text.size() ? digit(text[i + 1]) : -1;
        const int low = high >= 0 ? digit(text[i + 2]) : -1;
        if (low >= 0) {
            result += static_cast<char>(high * 16 + low);
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

}  // namespace martenford::grpc
