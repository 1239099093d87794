#include "rpc/config_record.h"

#include <zstd.h>

#include <utility>

#include "rpc/limits.h"
#include "rpc/wire_format.h"

namespace martenford::rpc {

namespace {

/// zstd's own default: 3 ms for a megabyte. Higher levels cost more time than the bytes they save are worth.
constexpr int kCompressionLevel = 3;

std::string compress(const std::string& document) {
    std::string frame(ZSTD_compressBound(document.size()), '\0');
    const std::size_t size =
        ZSTD_compress(frame.data(), frame.size(), document.data(), document.size(), kCompressionLevel);
    frame.resize(ZSTD_isError(size) ? 0 : size);
    return frame;
}

/// Returns nothing if the frame is damaged or holds more than kMaxDocumentBytes.
std::optional<std::string> decompress(capnp::Data::Reader frame) {
    // zstd's two error codes are the largest numbers, so this comparison rejects them too.
    const auto size = ZSTD_getFrameContentSize(frame.begin(), frame.size());
    if (size > kMaxDocumentBytes) return std::nullopt;
    std::string document(size, '\0');
    const std::size_t decompressed =
        ZSTD_decompress(document.data(), document.size(), frame.begin(), frame.size());
    if (decompressed != size) return std::nullopt;
    return document;
}

/// The form of releases until 2026-12-02.
ConfigRecord read_uncompressed(wire::ConfigRecord::Reader in) {
    ConfigRecord record;
    record.version = in.getVersion();
    record.document = wire_format::to_string(in.getDocument());
    for (const auto change : in.getAcceptedChanges())
        record.accepted_changes.push_back({change.getVersion(), change.getDigest()});
    // Those releases kept the last 500 changes without saying whether there had been more.
    record.forgotten_up_to = in.getForgottenUpTo();
    if (!record.accepted_changes.empty())
        record.forgotten_up_to = record.accepted_changes.front().version - 1;
    return record;
}

std::optional<ConfigRecord> read_compressed(wire::ConfigRecord::Reader in) {
    auto document = decompress(in.getCompressedDocument());
    const auto versions = in.getAcceptedVersions();
    const auto digests = in.getAcceptedDigests();
    if (!document || versions.size() != digests.size()) return std::nullopt;
    ConfigRecord record;
    record.version = in.getVersion();
    record.document = std::move(*document);
    for (unsigned i = 0; i < versions.size(); ++i)
        record.accepted_changes.push_back({versions[i], digests[i]});
    record.forgotten_up_to = in.getForgottenUpTo();
    return record;
}

}  // namespace

std::string encode(const ConfigRecord& record) {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::ConfigRecord>();
    out.setVersion(record.version);
    out.setCompressedDocument(wire_format::to_data(compress(record.document)));
    out.setForgottenUpTo(record.forgotten_up_to);
    const unsigned size = wire_format::list_size(record.accepted_changes);
    auto versions = out.initAcceptedVersions(size);
    auto digests = out.initAcceptedDigests(size);
    for (unsigned i = 0; i < size; ++i) {
        versions.set(i, record.accepted_changes[i].version);
        digests.set(i, record.accepted_changes[i].digest);
    }
    return wire_format::to_bytes(message);
}

std::optional<ConfigRecord> decode_config_record(std::string_view bytes) {
    if (bytes.empty()) return ConfigRecord{};
    auto record = wire_format::parse<wire::ConfigRecord>(
        bytes, [](wire::ConfigRecord::Reader in) -> std::optional<ConfigRecord> {
            if (!in.hasCompressedDocument()) return read_uncompressed(in);
            return read_compressed(in);
        });
    return record ? std::move(*record) : std::nullopt;
}

}  // namespace martenford::rpc
