#include "replica/message.h"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <algorithm>

#include "framing/frame.h"
#include "replica/state.pb.h"

namespace martenford::replica {

namespace {

using framing::FrameError;

constexpr int kCompressionLevel = 1;  // pages are made while requests are served
/// What a page may unpack to: a page is cut by its unpacked size.
constexpr std::size_t kMaxUncompressedBytes = 2 * framing::kMaxFrameBytes;
constexpr std::size_t kOverheadBytes = 48;          // of an entry or a version beside its texts, on the wire
constexpr std::size_t kMaxUnknownFieldBytes = 512;  // bytes of fields that this build does not know

void fill(wire::Version& to, const Version& from) {
    if (!from.unknown_fields.empty()) to.ParseFromString(from.unknown_fields);
    to.set_writer(from.dot.writer);
    to.set_count(from.dot.count);
    to.set_stamp(from.timestamp);
    to.set_expires(from.expires);
    to.set_rank(from.rank);
    to.set_deleted(from.deleted);
    to.set_value(from.value);
    to.set_by(from.written_by);
    to.set_reason(from.reason);
}

void fill(wire::Entry& to, const NamedEntry& from) {
    to.set_table(from.name.table);
    to.set_key(from.name.key);
    to.set_rule(static_cast<std::uint32_t>(from.entry.rule));
    for (const Version& version : from.entry.versions) fill(*to.add_versions(), version);
    for (const ContextItem& item : from.entry.context) {
        wire::Known& each = *to.add_context();
        each.set_writer(item.dot.writer);
        each.set_count(item.dot.count);
        each.set_stamp(item.timestamp);
    }
}

template <class Text>
const Text& checked_length(const Text& text, std::size_t max_bytes) {
    if (text.size() > max_bytes) throw FrameError("a text of an entry is too long");
    return text;
}

/// Shown to operators and written to logs: no control bytes, in whatever language.
const std::string& checked_printable(const std::string& text, std::size_t max_bytes) {
    if (std::any_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }))
        throw FrameError("a text of an entry can't be shown");
    return checked_length(text, max_bytes);
}

/// What is left when all that is known is taken away.
std::string unknown_fields_of(wire::Version version) {
    version.clear_writer();
    version.clear_count();
    version.clear_stamp();
    version.clear_expires();
    version.clear_rank();
    version.clear_deleted();
    version.clear_value();
    version.clear_by();
    version.clear_reason();
    return version.SerializeAsString();
}

Version read_version(const wire::Version& from) {
    if (from.writer() == 0 || from.count() == 0 || from.stamp() == 0)
        throw FrameError("a version without its writer");
    Version to;
    to.dot = {from.writer(), from.count()};
    to.timestamp = from.stamp();
    to.expires = from.expires();
    to.rank = from.rank();
    to.deleted = from.deleted();
    to.value = checked_length(from.value(), kMaxValueBytes);
    to.written_by = checked_printable(from.by(), kMaxKeyBytes);
    to.reason = checked_printable(from.reason(), kMaxReasonBytes);
    to.unknown_fields = checked_length(unknown_fields_of(from), kMaxUnknownFieldBytes);
    return to;
}

NamedEntry read_entry(const wire::Entry& from) {
    if (from.table().empty() || from.key().empty() || from.rule() >= kRuleCount ||
        from.versions_size() == 0 || static_cast<std::size_t>(from.versions_size()) > kMaxVersions ||
        static_cast<std::size_t>(from.context_size()) > kMaxContextItems)
        throw FrameError("an entry can't be used");
    NamedEntry to;
    to.name.table = checked_printable(from.table(), kMaxTableNameBytes);
    to.name.key = checked_printable(from.key(), kMaxKeyBytes);
    to.entry.rule = static_cast<ConflictRule>(from.rule());
    for (const auto& version : from.versions()) to.entry.versions.push_back(read_version(version));
    for (const auto& item : from.context())
        to.entry.context.push_back({{item.writer(), item.count()}, item.stamp()});
    const auto same_dot = [](const Version& a, const Version& b) { return a.dot >= b.dot; };
    const auto same_writer = [](const ContextItem& a, const ContextItem& b) {
        return a.dot.writer >= b.dot.writer;
    };
    const auto& entry = to.entry;
    const bool is_valid =
        std::adjacent_find(entry.versions.begin(), entry.versions.end(), same_dot) == entry.versions.end() &&
        std::adjacent_find(entry.context.begin(), entry.context.end(), same_writer) == entry.context.end() &&
        std::all_of(entry.versions.begin(), entry.versions.end(),
                    [&](const Version& version) { return entry.has_seen(version.dot); });
    if (!is_valid) throw FrameError("an entry does not know its own versions");
    return to;
}

void read_entries(const wire::Entries& from, std::vector<NamedEntry>& to) {
    to.reserve(static_cast<std::size_t>(from.entries_size()));
    for (const auto& entry : from.entries()) to.push_back(read_entry(entry));
}

std::string compress(const std::string& bytes) {
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size =
        ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), kCompressionLevel);
    compressed.resize(ZSTD_isError(size) ? 0 : size);
    return compressed;
}

std::string decompress(const std::string& compressed, std::size_t size) {
    if (size > kMaxUncompressedBytes) throw FrameError("a page is too long");
    std::string bytes(size, '\0');
    const std::size_t actual_size =
        ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(actual_size) || actual_size != size) throw FrameError("a page can't be unpacked");
    return bytes;
}

}  // namespace

std::string bytes_of(const Message& message) {
    wire::Message out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sent(message.sent_at);
    out.set_horizon(message.horizon);
    out.set_seq(message.seq);
    wire::Entries entries;
    for (const NamedEntry& entry : message.entries) fill(*entries.add_entries(), entry);
    if (message.kind == Message::Kind::Page) {
        const std::string bytes = entries.SerializeAsString();
        out.set_packed(compress(bytes));
        out.set_size(static_cast<std::uint32_t>(bytes.size()));
    } else if (entries.entries_size() > 0) {
        out.mutable_entries()->Swap(&entries);
    }
    for (const Range& range : message.ranges) {
        wire::Range& to = *out.add_ranges();
        to.set_level(range.level);
        to.set_prefix(range.prefix);
        to.set_sum(range.sum);
        to.set_count(range.count);
        to.set_listed(range.has_summaries);
        for (const std::uint64_t part : range.child_sums) to.add_parts(part);
    }
    for (const EntrySummary& summary : message.summaries) {
        wire::Head& to = *out.add_heads();
        to.set_place(summary.position);
        to.set_hash(summary.hash);
        to.set_stamp(summary.timestamp);
    }
    for (const std::uint64_t position : message.requested) out.add_want(position);
    out.set_from(message.from_position);
    out.set_next(message.next_position);
    out.set_end(message.is_last);
    out.set_busy(message.busy);
    return out.SerializeAsString();
}

Message read_message(std::string_view bytes) {
    const auto in = framing::decode_message<wire::Message>(bytes);
    if (in.kind() >= kKindCount) throw FrameError("a message of state is of no known kind");
    if (static_cast<std::size_t>(in.ranges_size()) > kMaxRanges ||
        static_cast<std::size_t>(in.heads_size()) > kMaxSummaries ||
        static_cast<std::size_t>(in.want_size()) > kMaxRequested)
        throw FrameError("a message of state is over a bound");
    Message message;
    message.kind = static_cast<Message::Kind>(in.kind());
    message.sent_at = in.sent();
    message.horizon = in.horizon();
    message.seq = in.seq();
    read_entries(in.entries(), message.entries);
    if (in.size() > 0)
        read_entries(framing::decode_message<wire::Entries>(decompress(in.packed(), in.size())),
                     message.entries);
    for (const auto& range : in.ranges()) {
        if (range.level() > 16 || (range.parts_size() != 0 && range.parts_size() != 16))
            throw FrameError("a range can't be used");
        message.ranges.push_back({range.level(),
                                  range.prefix(),
                                  range.sum(),
                                  range.count(),
                                  range.listed(),
                                  {range.parts().begin(), range.parts().end()}});
    }
    for (const auto& summary : in.heads())
        message.summaries.push_back({summary.place(), summary.hash(), summary.stamp()});
    message.requested.assign(in.want().begin(), in.want().end());
    message.from_position = in.from();
    message.next_position = in.next();
    message.is_last = in.end();
    message.busy = in.busy();
    return message;
}

std::string bytes_of(const NamedEntry& entry) {
    wire::Entry out;
    fill(out, entry);
    return out.SerializeAsString();
}

NamedEntry read_named_entry(std::string_view bytes) {
    return read_entry(framing::decode_message<wire::Entry>(bytes));
}

std::size_t size_of(const NamedEntry& entry) {
    std::size_t size = kOverheadBytes + entry.name.table.size() + entry.name.key.size();
    for (const Version& version : entry.entry.versions)
        size += kOverheadBytes + version.value.size() + version.written_by.size() + version.reason.size() +
                version.unknown_fields.size();
    return size + entry.entry.context.size() * kOverheadBytes / 2;
}

std::uint64_t hash_of(const Entry& entry) {
    std::uint64_t sum = 0;
    for (const Version& version : entry.versions) {
        const std::uint64_t numbers[] = {version.dot.writer, version.dot.count, version.timestamp};
        sum += XXH3_64bits(numbers, sizeof numbers);
    }
    return sum;
}

std::uint64_t position_of(const EntryName& name) {
    const std::uint64_t table = XXH3_64bits(name.table.data(), name.table.size());
    return XXH3_64bits_withSeed(name.key.data(), name.key.size(), table);
}

}  // namespace martenford::replica
