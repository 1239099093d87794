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

constexpr int kPackLevel = 1;  // pages are made while requests are served
/// What a page may unpack to: a page is cut by its unpacked size.
constexpr std::size_t kMostUnpacked = 2 * framing::kMaxFrameBytes;
constexpr std::size_t kOverhead = 48;    // of an entry or a version beside its texts, on the wire
constexpr std::size_t kMostExtra = 512;  // bytes of fields that this build does not know

void fill(wire::Version& to, const Version& from) {
    if (!from.extra.empty()) to.ParseFromString(from.extra);
    to.set_writer(from.dot.writer);
    to.set_count(from.dot.count);
    to.set_stamp(from.stamp);
    to.set_expires(from.expires);
    to.set_rank(from.rank);
    to.set_deleted(from.deleted);
    to.set_value(from.value);
    to.set_by(from.by);
    to.set_reason(from.reason);
}

void fill(wire::Entry& to, const Named& from) {
    to.set_table(from.name.table);
    to.set_key(from.name.key);
    to.set_rule(static_cast<std::uint32_t>(from.entry.rule));
    for (const Version& version : from.entry.versions) fill(*to.add_versions(), version);
    for (const Known& known : from.entry.context) {
        wire::Known& each = *to.add_context();
        each.set_writer(known.dot.writer);
        each.set_count(known.dot.count);
        each.set_stamp(known.stamp);
    }
}

template <class Text>
const Text& bounded(const Text& text, std::size_t most) {
    if (text.size() > most) throw FrameError("a text of an entry is too long");
    return text;
}

/// Shown to operators and written to logs: no control bytes, in whatever language.
const std::string& shown(const std::string& text, std::size_t most) {
    if (std::any_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }))
        throw FrameError("a text of an entry can't be shown");
    return bounded(text, most);
}

/// What is left when all that is known is taken away.
std::string unknown_of(wire::Version version) {
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
    to.stamp = from.stamp();
    to.expires = from.expires();
    to.rank = from.rank();
    to.deleted = from.deleted();
    to.value = bounded(from.value(), kMostValue);
    to.by = shown(from.by(), kMostKey);
    to.reason = shown(from.reason(), kMostWords);
    to.extra = bounded(unknown_of(from), kMostExtra);
    return to;
}

Named read_entry(const wire::Entry& from) {
    if (from.table().empty() || from.key().empty() || from.rule() >= kRules || from.versions_size() == 0 ||
        static_cast<std::size_t>(from.versions_size()) > kMostVersions ||
        static_cast<std::size_t>(from.context_size()) > kMostContext)
        throw FrameError("an entry can't be used");
    Named to;
    to.name.table = shown(from.table(), kMostTable);
    to.name.key = shown(from.key(), kMostKey);
    to.entry.rule = static_cast<Rule>(from.rule());
    for (const auto& version : from.versions()) to.entry.versions.push_back(read_version(version));
    for (const auto& known : from.context())
        to.entry.context.push_back({{known.writer(), known.count()}, known.stamp()});
    const auto same_dot = [](const Version& a, const Version& b) { return a.dot >= b.dot; };
    const auto same_writer = [](const Known& a, const Known& b) { return a.dot.writer >= b.dot.writer; };
    const auto& entry = to.entry;
    const bool sound =
        std::adjacent_find(entry.versions.begin(), entry.versions.end(), same_dot) == entry.versions.end() &&
        std::adjacent_find(entry.context.begin(), entry.context.end(), same_writer) == entry.context.end() &&
        std::all_of(entry.versions.begin(), entry.versions.end(),
                    [&](const Version& version) { return entry.knows(version.dot); });
    if (!sound) throw FrameError("an entry does not know its own versions");
    return to;
}

void read_entries(const wire::Entries& from, std::vector<Named>& to) {
    to.reserve(static_cast<std::size_t>(from.entries_size()));
    for (const auto& entry : from.entries()) to.push_back(read_entry(entry));
}

std::string pack(const std::string& bytes) {
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size =
        ZSTD_compress(packed.data(), packed.size(), bytes.data(), bytes.size(), kPackLevel);
    packed.resize(ZSTD_isError(size) ? 0 : size);
    return packed;
}

std::string unpack(const std::string& packed, std::size_t size) {
    if (size > kMostUnpacked) throw FrameError("a page is too long");
    std::string bytes(size, '\0');
    const std::size_t got = ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(got) || got != size) throw FrameError("a page can't be unpacked");
    return bytes;
}

}  // namespace

std::string bytes_of(const Message& message) {
    wire::Message out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sent(message.sent);
    out.set_horizon(message.horizon);
    out.set_seq(message.seq);
    wire::Entries entries;
    for (const Named& entry : message.entries) fill(*entries.add_entries(), entry);
    if (message.kind == Message::Kind::Page) {
        const std::string bytes = entries.SerializeAsString();
        out.set_packed(pack(bytes));
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
        to.set_listed(range.listed);
        for (const std::uint64_t part : range.parts) to.add_parts(part);
    }
    for (const Head& head : message.heads) {
        wire::Head& to = *out.add_heads();
        to.set_place(head.place);
        to.set_hash(head.hash);
        to.set_stamp(head.stamp);
    }
    for (const std::uint64_t place : message.want) out.add_want(place);
    out.set_from(message.from);
    out.set_next(message.next);
    out.set_end(message.end);
    out.set_busy(message.busy);
    return out.SerializeAsString();
}

Message read_message(std::string_view bytes) {
    const auto in = framing::decode_message<wire::Message>(bytes);
    if (in.kind() >= kKinds) throw FrameError("a message of state is of no known kind");
    if (static_cast<std::size_t>(in.ranges_size()) > kMostRanges ||
        static_cast<std::size_t>(in.heads_size()) > kMostHeads ||
        static_cast<std::size_t>(in.want_size()) > kMostWant)
        throw FrameError("a message of state is over a bound");
    Message message;
    message.kind = static_cast<Message::Kind>(in.kind());
    message.sent = in.sent();
    message.horizon = in.horizon();
    message.seq = in.seq();
    read_entries(in.entries(), message.entries);
    if (in.size() > 0)
        read_entries(framing::decode_message<wire::Entries>(unpack(in.packed(), in.size())), message.entries);
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
    for (const auto& head : in.heads()) message.heads.push_back({head.place(), head.hash(), head.stamp()});
    message.want.assign(in.want().begin(), in.want().end());
    message.from = in.from();
    message.next = in.next();
    message.end = in.end();
    message.busy = in.busy();
    return message;
}

std::string bytes_of(const Named& entry) {
    wire::Entry out;
    fill(out, entry);
    return out.SerializeAsString();
}

Named read_named(std::string_view bytes) {
    return read_entry(framing::decode_message<wire::Entry>(bytes));
}

std::size_t size_of(const Named& entry) {
    std::size_t size = kOverhead + entry.name.table.size() + entry.name.key.size();
    for (const Version& version : entry.entry.versions)
        size += kOverhead + version.value.size() + version.by.size() + version.reason.size() +
                version.extra.size();
    return size + entry.entry.context.size() * kOverhead / 2;
}

std::uint64_t hash_of(const Entry& entry) {
    std::uint64_t sum = 0;
    for (const Version& version : entry.versions) {
        const std::uint64_t numbers[] = {version.dot.writer, version.dot.count, version.stamp};
        sum += XXH3_64bits(numbers, sizeof numbers);
    }
    return sum;
}

std::uint64_t place_of(const Name& name) {
    const std::uint64_t table = XXH3_64bits(name.table.data(), name.table.size());
    return XXH3_64bits_withSeed(name.key.data(), name.key.size(), table);
}

}  // namespace martenford::replica
