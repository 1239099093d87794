// Conversions between C++ values and the structs of wire.capnp, shared by the codecs of this package
// (messages.cpp, config_record.cpp, persistent_records.cpp). Internal: it includes the generated header,
// which only this package can see.
#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "quota/quota.h"
#include "raft/raft_node.h"
#include "registry/registry.h"
#include "rpc/limits.h"
#include "rpc/wire.capnp.h"

namespace martenford::rpc::wire_format {

std::string to_string(capnp::Text::Reader text);
std::string to_string(capnp::Data::Reader data);
/// A view of `bytes`, valid for as long as they are.
capnp::Data::Reader to_data(std::string_view bytes);

// One pair of functions for each struct: write() fills a builder, read() returns the value.

void write(wire::Member::Builder out, const raft::Member& member);
raft::Member read(wire::Member::Reader in);

void write(wire::LogPosition::Builder out, const raft::LogPosition& position);
raft::LogPosition read(wire::LogPosition::Reader in);

void write(wire::LogEntry::Builder out, const raft::LogEntry& entry);
raft::LogEntry read(wire::LogEntry::Reader in);

void write(wire::ProxyRegistration::Builder out, const registry::ProxyRegistration& registration);
registry::ProxyRegistration read(wire::ProxyRegistration::Reader in);

void write(wire::QuotaDemand::Builder out, const quota::QuotaDemand& demand);
quota::QuotaDemand read(wire::QuotaDemand::Reader in);

void write(wire::QuotaLease::Builder out, const quota::QuotaLease& lease);
quota::QuotaLease read(wire::QuotaLease::Reader in);

/// Fills a list builder of the same length as `items`.
template <class ListBuilder, class Items>
void write_list(ListBuilder out, const Items& items) {
    for (unsigned i = 0; i < items.size(); ++i) write(out[i], items[i]);
}

template <class ListReader>
auto read_list(ListReader in) {
    std::vector<decltype(read(in[0]))> items;
    items.reserve(in.size());
    for (auto item : in) items.push_back(read(item));
    return items;
}

/// The length of a list as Cap'n Proto counts it.
template <class Items>
unsigned list_size(const Items& items) {
    return static_cast<unsigned>(items.size());
}

/// The message as a flat array with its segment table.
std::string to_bytes(capnp::MallocMessageBuilder& message);

/// Calls `read_root` with the message's root and returns its result; nothing if `bytes` are not a valid
/// message. Exceptions of Cap'n Proto end here.
template <class Root, class ReadRoot>
auto parse(std::string_view bytes, ReadRoot read_root)
    -> std::optional<decltype(read_root(std::declval<typename Root::Reader>()))> {
    // Copied, since Cap'n Proto wants words that are aligned and whole.
    kj::Array<capnp::word> words =
        kj::heapArray<capnp::word>((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
    if (words.size() == 0) return std::nullopt;
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = kMaxMessageBytes;
        capnp::FlatArrayMessageReader message(words, options);
        return read_root(message.getRoot<Root>());
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
}

}  // namespace martenford::rpc::wire_format
