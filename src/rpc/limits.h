// Size limits that the message codec, the record codec and their callers share.
#pragma once

#include <cstddef>

namespace martenford::rpc {

/// The longest encoded message, in bytes: a configuration of some thousand routes fits.
constexpr std::size_t kMaxMessageBytes = 16 * 1024 * 1024;

/// The longest configuration document, in bytes: half a message. A message carries at most one document; the
/// other half is room for registrations, members and the history beside it.
constexpr std::size_t kMaxDocumentBytes = kMaxMessageBytes / 2;

}  // namespace martenford::rpc
