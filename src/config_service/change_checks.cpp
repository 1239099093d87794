#include "config_service/change_checks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace martenford::config_service {

using mesh_config::ConfigError;
using mesh_config::Json;

namespace {

/// Accepted calls that are remembered, so that a repeated one is answered with 200 again: nearly two days at
/// 2,200 changes a day; 12 bytes each in the record.
constexpr std::size_t kMaxAcceptedChanges = 4096;

/// Removes the oldest entries and notes up to which version the history may now lack some.
void trim_history(rpc::ConfigRecord& record) {
    auto& history = record.accepted_changes;
    if (history.size() <= kMaxAcceptedChanges) return;
    const auto first_kept =
        history.begin() + static_cast<std::ptrdiff_t>(history.size() - kMaxAcceptedChanges);
    record.forgotten_up_to = std::prev(first_kept)->version;
    history.erase(history.begin(), first_kept);
}

Rejection invalid(const ConfigError& error) {
    return {400, error.text(), ""};
}

}  // namespace

bool was_accepted(const rpc::ConfigRecord& committed, std::uint64_t call_digest) {
    return std::any_of(committed.accepted_changes.begin(), committed.accepted_changes.end(),
                       [&](const auto& accepted) { return accepted.digest == call_digest; });
}

bool is_before_history(const rpc::ConfigRecord& committed, mesh_config::Version version) {
    return version <= committed.forgotten_up_to;
}

std::optional<Rejection> check_base_version(const rpc::ConfigRecord& committed,
                                            const ChangeRequest& request) {
    if (request.base_version == committed.version) return std::nullopt;
    return Rejection{412, "version " + mesh_config::text_of(committed.version) + " is in place",
                     "another version is in place"};
}

std::optional<Rejection> check_version_rises(const rpc::ConfigRecord& committed,
                                             const ChangeRequest& request) {
    if (request.version > committed.version) return std::nullopt;
    return Rejection{400, "version is not above " + mesh_config::text_of(committed.version),
                     "its version is not above"};
}

std::variant<Json, Rejection> next_document(const rpc::ConfigRecord& committed,
                                            const ChangeRequest& request) {
    std::variant<Json, ConfigError> document = Json();
    if (const auto* replace = std::get_if<ReplaceDocument>(&request.operation)) {
        document = replace->document;
    } else {
        const Json in_place =
            committed.document.empty() ? Json::object() : Json::parse(committed.document, nullptr, false);
        document = mesh_config::apply_change(in_place, std::get<ModifyDocument>(request.operation).change);
    }
    if (const auto* error = std::get_if<ConfigError>(&document)) return invalid(*error);
    const auto config = mesh_config::read_config(std::get<Json>(document));
    if (const auto* error = std::get_if<ConfigError>(&config)) return invalid(*error);
    return std::get<Json>(std::move(document));
}

std::variant<rpc::ConfigRecord, Rejection> next_record(const rpc::ConfigRecord& committed,
                                                       mesh_config::Version version, const Json& document,
                                                       std::uint64_t call_digest) {
    rpc::ConfigRecord next{version, document.dump(), committed.accepted_changes, committed.forgotten_up_to};
    if (next.document.size() > rpc::kMaxDocumentBytes)
        return Rejection{413, "the configuration is too long", ""};
    next.accepted_changes.push_back({version, call_digest});
    trim_history(next);
    return next;
}

}  // namespace martenford::config_service
