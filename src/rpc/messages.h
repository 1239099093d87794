// What the mesh's processes say to each other, as values, and as Cap'n Proto messages.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quota/quota.h"
#include "raft/raft_node.h"
#include "registry/registry.h"

namespace martenford::rpc {

/// A controller tells another who it is, and whom it knows.
struct Hello {
    raft::Member member;
    std::vector<raft::Member> controllers;
};
/// A proxy tells every controller of itself, about twice a second and whenever something changes.
struct RegisterRequest {
    registry::ProxyRegistration registration;
    std::vector<quota::QuotaDemand> demands;
    std::uint64_t applied_response = 0;  ///< number of the last Grants of this controller
    std::uint32_t config_version = 0;    ///< of the configuration that it serves by
    std::uint64_t sent_at = 0;           ///< when, by the proxy's steady clock; the answer brings it back
};
/// The answer to it.
struct RegisterResponse {
    std::uint64_t response_number = 0;
    std::vector<quota::QuotaLease> quota_leases;
    bool from_leader = false;
    std::uint32_t live_proxies = 0;     ///< that are live
    std::uint64_t request_sent_at = 0;  ///< of the Announce that it answers: its leases count from then
};
/// "I have this": answered when there is news, or after a while.
struct WatchRequest {
    std::uint64_t epoch = 0, seq = 0;
    std::uint32_t config_version = 0;
    bool wants_config = false;
};
struct WatchResponse {
    registry::RegistryDelta registry;
    std::uint32_t config_version =
        0;               ///< of the newest configuration that is committed, as far as this controller knows
    std::string config;  ///< where it was asked for and is newer
    bool has_quorum_contact = false;  ///< the controller hears the leader
    std::vector<raft::Member> controllers;
};
using Message =
    std::variant<Hello, raft::Message, RegisterRequest, RegisterResponse, WatchRequest, WatchResponse>;

/// What the register holds: the operator's record.
struct ConfigRecord {
    struct AcceptedChange {
        std::uint32_t version = 0;
        std::uint64_t digest = 0;  ///< of the call's kind and body
    };
    std::uint32_t version = 0;
    std::string document;
    std::vector<AcceptedChange> accepted_changes;  ///< the last that were taken, oldest first
    std::uint32_t forgotten_up_to =
        0;  ///< of versions up to this one the history may lack some that were taken
};

/// The longest message: a configuration of some thousand routes.
constexpr std::size_t kMaxMessageBytes = 16 * 1024 * 1024;
/// The longest document: half of a message, which carries at most one and with it places, members and
/// history.
constexpr std::size_t kMaxDocumentBytes = kMaxMessageBytes / 2;

std::string encode(const Message& message);
/// Nothing where the bytes are none of these.
std::optional<Message> decode(std::string_view bytes);
std::string encode(const ConfigRecord& record);
std::optional<ConfigRecord> decode_word(std::string_view bytes);
std::string encode(const raft::PersistentState& disk);
std::optional<raft::PersistentState> decode_disk(std::string_view bytes);

/// A disk as records by name: one for the state, some hundred bytes, and one for each entry's value, which is
/// named by the entry's stamp and never changes. So a vote or a commit writes the state alone.
std::map<std::string, std::string> records_of(const raft::PersistentState& disk);
/// Nothing where they don't belong together. The one record of programs before is read too.
std::optional<raft::PersistentState> disk_of(const std::map<std::string, std::string>& records);

}  // namespace martenford::rpc
