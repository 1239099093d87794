#include "rpc/persistent_records.h"

#include <cstdint>
#include <cstring>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "rpc/wire_format.h"

namespace martenford::rpc {

namespace {

// Keys on disk; data directories hold them, so they stay as they are.
constexpr char kStateKey[] = "state";         // since 2026-12-02
constexpr char kValueKeyPrefix[] = "value.";  // since 2026-12-02; "value.<term>.<index>"
constexpr char kSingleRecordKey[] = "word";   // written until 2026-12-02, still read

std::string value_key(const raft::LogPosition& position) {
    return kValueKeyPrefix + std::to_string(position.term) + "." + std::to_string(position.index);
}

/// XXH3 of both values, in front of the "state" record in the machine's byte order. A value of another save
/// does not match.
struct ValueChecksums {
    std::uint64_t last_entry = 0;
    std::uint64_t committed_entry = 0;
    bool operator==(const ValueChecksums&) const = default;
};

ValueChecksums checksums_of(const std::string& last_value, const std::string& committed_value) {
    return {XXH3_64bits(last_value.data(), last_value.size()),
            XXH3_64bits(committed_value.data(), committed_value.size())};
}

}  // namespace

std::string encode(const raft::PersistentState& state) {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::PersistentState>();
    out.setSelfId(state.self_id);
    out.setTerm(state.term);
    out.setVotedFor(state.voted_for);
    wire_format::write(out.initLastEntry(), state.last_entry);
    wire_format::write(out.initCommittedEntry(), state.committed_entry);
    return wire_format::to_bytes(message);
}

std::optional<raft::PersistentState> decode_persistent_state(std::string_view bytes) {
    return wire_format::parse<wire::PersistentState>(bytes, [](wire::PersistentState::Reader in) {
        return raft::PersistentState{in.getSelfId(), in.getTerm(), in.getVotedFor(),
                                     wire_format::read(in.getLastEntry()),
                                     wire_format::read(in.getCommittedEntry())};
    });
}

PersistentRecords to_records(const raft::PersistentState& state) {
    const ValueChecksums checksums = checksums_of(state.last_entry.value, state.committed_entry.value);
    raft::PersistentState without_values = state;
    without_values.last_entry.value.clear();
    without_values.committed_entry.value.clear();
    const std::string prefix(reinterpret_cast<const char*>(&checksums), sizeof checksums);
    return {{kStateKey, prefix + encode(without_values)},
            {value_key(state.last_entry.position), state.last_entry.value},
            {value_key(state.committed_entry.position), state.committed_entry.value}};
}

std::optional<raft::PersistentState> from_records(const PersistentRecords& records) {
    const auto state_record = records.find(kStateKey);
    if (state_record == records.end()) {
        const auto single = records.find(kSingleRecordKey);
        return single == records.end() ? std::nullopt : decode_persistent_state(single->second);
    }
    const std::string_view bytes = state_record->second;
    ValueChecksums checksums;
    if (bytes.size() < sizeof checksums) return std::nullopt;
    std::memcpy(&checksums, bytes.data(), sizeof checksums);
    auto state = decode_persistent_state(bytes.substr(sizeof checksums));
    if (!state) return std::nullopt;
    const auto last = records.find(value_key(state->last_entry.position));
    const auto committed = records.find(value_key(state->committed_entry.position));
    if (last == records.end() || committed == records.end()) return std::nullopt;
    if (checksums_of(last->second, committed->second) != checksums) return std::nullopt;
    state->last_entry.value = last->second;
    state->committed_entry.value = committed->second;
    return state;
}

}  // namespace martenford::rpc
