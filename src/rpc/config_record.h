// The operator's configuration as the controllers replicate it: the value of a Raft log entry
// (wire.capnp, ConfigRecord).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace martenford::rpc {

struct ConfigRecord {
    /// One change that was acknowledged to the operator. A repeated call with the same digest is answered as
    /// the first one was.
    struct AcceptedChange {
        std::uint32_t version = 0;
        std::uint64_t digest = 0;  ///< of the call's kind and body
    };
    std::uint32_t version = 0;
    std::string document;                          ///< JSON, at most kMaxDocumentBytes
    std::vector<AcceptedChange> accepted_changes;  ///< the latest ones, oldest first
    /// Changes up to this version may be missing from `accepted_changes` though they were accepted.
    std::uint32_t forgotten_up_to = 0;
};

/// Encodes the record with its document compressed by zstd.
std::string encode(const ConfigRecord& record);

/// Reads both forms, the present one and the uncompressed one of releases until 2026-12-02. No bytes are an
/// empty record: the value before the first configuration. Returns nothing if the bytes are damaged or the
/// document is longer than kMaxDocumentBytes.
[[nodiscard]] std::optional<ConfigRecord> decode_config_record(std::string_view bytes);

}  // namespace martenford::rpc
