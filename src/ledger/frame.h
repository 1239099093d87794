// Frames between a sidecar and its journal's writer: link.proto's messages, each with its length and
// checksum.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "framing/frame.h"
#include "ledger/record.h"

namespace martenford::ledger {

constexpr std::uint32_t kLinkVersion = 1;
using framing::FrameError;
using framing::FrameReader;
using framing::kFrameHeaderBytes;
using framing::kMaxFrameBytes;

struct Hello {
    std::uint32_t version = kLinkVersion;
    std::uint64_t boot = 0;
    std::string name;
    std::int64_t started_ms = 0;
};
struct Ready {
    std::uint32_t version = kLinkVersion;
};
struct Ack {
    std::uint64_t up_to = 0;
};
struct Trouble {
    std::string what;
};
using ToWriter = std::variant<Hello, Record>;
using FromWriter = std::variant<Ready, Ack, Trouble>;

/// A whole frame. Throws FrameError where the message is longer than a frame may be.
std::string frame_of(const ToWriter& message);
std::string frame_of(const FromWriter& message);
/// Of a frame's message. Throws FrameError where it is none.
ToWriter read_to_writer(std::string_view message);
FromWriter read_from_writer(std::string_view message);

}  // namespace martenford::ledger
