// The checks of a change request against the committed record, one function each, and the record that an
// accepted change makes. Pure. ConfigService::decide() calls them in the order that the operators' answers
// depend on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "config_service/change_request.h"
#include "mesh_config/mesh_config.h"
#include "rpc/messages.h"

namespace martenford::config_service {

/// A definite answer that the change is not and will not be in force.
struct Rejection {
    unsigned status = 400;
    std::string message;     ///< to the operator
    std::string log_reason;  ///< to the log, without anything the operator sent; empty: `message`
};

/// Returns true if this very call (kind and body, by its digest) was accepted before.
[[nodiscard]] bool was_accepted(const rpc::ConfigRecord& committed, std::uint64_t call_digest);

/// Returns true if the history of accepted calls no longer reaches back to this version, so that the call may
/// have been accepted once: neither 200 nor a rejection would be safe.
[[nodiscard]] bool is_before_history(const rpc::ConfigRecord& committed, mesh_config::Version version);

/// 412 if the change was not made for the current version.
[[nodiscard]] std::optional<Rejection> check_base_version(const rpc::ConfigRecord& committed,
                                                          const ChangeRequest& request);

/// 400 if the version does not rise.
[[nodiscard]] std::optional<Rejection> check_version_rises(const rpc::ConfigRecord& committed,
                                                           const ChangeRequest& request);

/// The next document, validated: the request's own (replace), or the current one with the change applied to
/// it (modify). 400 if it is invalid.
[[nodiscard]] std::variant<mesh_config::Json, Rejection> next_document(const rpc::ConfigRecord& committed,
                                                                       const ChangeRequest& request);

/// The record to propose: the document under its version, and the call added to the history of accepted
/// calls, which is trimmed to its maximum. 413 if the document is too long for one message between
/// controllers.
[[nodiscard]] std::variant<rpc::ConfigRecord, Rejection> next_record(const rpc::ConfigRecord& committed,
                                                                     mesh_config::Version version,
                                                                     const mesh_config::Json& document,
                                                                     std::uint64_t call_digest);

}  // namespace martenford::config_service
