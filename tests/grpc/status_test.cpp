// The tables in full: each row is asserted, and what follows for the four rules from all of them.
#include "grpc/status.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace {

using namespace martenford;
using namespace martenford::grpc;
using How = Ending::How;
using decision::Status;

struct Row {
    Ending ending;
    Status outcome;
};
class Endings : public ::testing::TestWithParam<Row> {};
TEST_P(Endings, MeanThis) {
    EXPECT_EQ(outcome_of(GetParam().ending), GetParam().outcome);
}
constexpr auto code = [](Code c) { return static_cast<std::uint32_t>(c); };
INSTANTIATE_TEST_SUITE_P(
    Rows, Endings,
    ::testing::Values(
        // Never ran.
        Row{{How::ConnectFailed, 0, false}, Status::ConnectFailed},
        Row{{How::NotWhole, 0, false}, Status::ConnectFailed},
        Row{{How::GoAwayAbove, 0, false}, Status::ConnectFailed},
        Row{{How::StreamRefused, 7, false}, Status::Rejected},
        Row{{How::Trailers, code(Code::Unavailable), true}, Status::Rejected},
        Row{{How::Trailers, code(Code::ResourceExhausted), true}, Status::Rejected},
        Row{{How::HttpStatus, 503, true}, Status::Rejected},
        Row{{How::HttpStatus, 504, true}, Status::Rejected},
        // The endpoint's own answer.
        Row{{How::Trailers, code(Code::Ok), false}, Status::Ok},
        Row{{How::Trailers, code(Code::InvalidArgument), false}, Status::Ok},
        Row{{How::Trailers, code(Code::NotFound), false}, Status::Ok},
        Row{{How::Trailers, code(Code::AlreadyExists), false}, Status::Ok},
        Row{{How::Trailers, code(Code::PermissionDenied), false}, Status::Ok},
        Row{{How::Trailers, code(Code::FailedPrecondition), false}, Status::Ok},
        Row{{How::Trailers, code(Code::OutOfRange), false}, Status::Ok},
        Row{{How::Trailers, code(Code::Unimplemented), false}, Status::Ok},
        Row{{How::Trailers, code(Code::Unauthenticated), false}, Status::Ok},
        // May have run.
        Row{{How::Trailers, code(Code::Cancelled), false}, Status::Error},
        Row{{How::Trailers, code(Code::Unknown), false}, Status::Error},
        Row{{How::Trailers, code(Code::DeadlineExceeded), false}, Status::Error},
        Row{{How::Trailers, code(Code::Aborted), false}, Status::Error},
        Row{{How::Trailers, code(Code::Internal), false}, Status::Error},
        Row{{How::Trailers, code(Code::DataLoss), false}, Status::Error},
        Row{{How::Trailers, code(Code::Unavailable), false}, Status::Error},
        Row{{How::Trailers, code(Code::ResourceExhausted), false}, Status::Error},
        Row{{How::Trailers, 99, false}, Status::Error}, Row{{How::HttpStatus, 503, false}, Status::Error},
        Row{{How::HttpStatus, 500, true}, Status::Error},
        Row{{How::GoAwayAtOrBelow, 0, false}, Status::Reset},
        Row{{How::StreamReset, 8, false}, Status::Reset}, Row{{How::StreamReset, 0, true}, Status::Reset},
        Row{{How::ConnectionLost, 0, false}, Status::Reset}, Row{{How::NoTrailers, 0, false}, Status::Error},
        Row{{How::HalfMessage, 0, false}, Status::Error}, Row{{How::BadFraming, 0, false}, Status::Error},
        Row{{How::TooLarge, 0, false}, Status::Error}, Row{{How::TimedOut, 0, false}, Status::Timeout}));

TEST(GrpcStatus, NoCodeProvesByItselfThatNothingRan) {
    for (std::uint32_t c = 0; c < 300; ++c) {
        for (const How how : {How::Trailers, How::HttpStatus, How::StreamReset}) {
            const Status got = outcome_of({how, c, false});
            EXPECT_TRUE(got == Status::Ok || got == Status::Error || got == Status::Reset) << c;
        }
    }
}

TEST(GrpcStatus, RefusedIsTheOnlyClosingThatMayBeTriedAgain) {
    EXPECT_EQ(closing_of(Answer::Kind::Refused, false).code, Code::Unavailable);
    EXPECT_TRUE(closing_of(Answer::Kind::Refused, true).not_processed);
    for (const bool late : {false, true}) {
        const Closing closing = closing_of(Answer::Kind::Failed, late);
        EXPECT_FALSE(closing.not_processed);
        EXPECT_NE(closing.code, Code::Unavailable);
        EXPECT_EQ(closing.code, late ? Code::DeadlineExceeded : Code::Internal);
    }
}

/// A sidecar behind a sidecar: what the first is told by the second means the same again.
TEST(GrpcStatus, ClosingsSurviveAChain) {
    const auto again = [](Answer::Kind kind, bool late) {
        const Closing closing = closing_of(kind, late);
        return outcome_of({How::Trailers, code(closing.code), closing.not_processed});
    };
    EXPECT_EQ(again(Answer::Kind::Refused, false), Status::Rejected);
    EXPECT_EQ(again(Answer::Kind::Failed, false), Status::Error);
    EXPECT_EQ(again(Answer::Kind::Failed, true), Status::Error);
}

TEST(GrpcStatus, CodesAreReadOrUnknown) {
    EXPECT_EQ(code_of("0"), Code::Ok);
    EXPECT_EQ(code_of("16"), Code::Unauthenticated);
    for (const char* odd : {"", "17", "-1", "x", "1x", " 1", "99999999999999999999"}) {
        EXPECT_EQ(code_of(odd), Code::Unknown) << odd;
    }
}

TEST(GrpcStatus, MessagesSurviveEncodingAndOddOnesStayAsTheyAre) {
    EXPECT_EQ(encode_message("50% of \xc3\xa9\n"), "50%25 of %C3%A9%0A");
    std::mt19937 random(4);
    for (int i = 0; i < 2'000; ++i) {
        std::string text;
        for (auto n = random() % 30; n > 0; --n) text += static_cast<char>(random());
        const std::string encoded = encode_message(text);
        ASSERT_EQ(decode_message(encoded), text);
        for (const char c : encoded) ASSERT_TRUE(c >= 0x20 && c <= 0x7e);
        decode_message(text);  // and whatever comes from the network is decoded into something
    }
    EXPECT_EQ(decode_message("%"), "%");
    EXPECT_EQ(decode_message("%4"), "%4");
    EXPECT_EQ(decode_message("%zz%41"), "%zzA");
}

}  // namespace
