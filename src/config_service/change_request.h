// Parsing of an operator's change request, once, at the edge of the service. Pure: depends on the body alone,
// not on the current configuration. All later steps work on typed values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "mesh_config/mesh_config.h"

namespace martenford::config_service {

/// The operator's calls: `POST /v1/configuration/replace`, `.../modify` and `GET /v1/configuration/read`.
enum class CallKind { Replace, Modify, Read };

/// A replace: the complete new document, stored as the operator sent it. Not yet validated.
struct ReplaceDocument {
    mesh_config::Json document;
};

/// A modify: `upserts` and `removals` by name, for mesh_config::apply_change(). Not yet validated.
struct ModifyDocument {
    mesh_config::Json change;
};

struct ChangeRequest {
    mesh_config::Version version = 0;       ///< of the document that the change would make
    mesh_config::Version base_version = 0;  ///< must be the current version; 0: no configuration yet
    std::variant<ReplaceDocument, ModifyDocument> operation;
};

/// Why a body is no change request. Answered with 400.
struct RequestError {
    enum class Code { NotAnObject, InvalidVersion, InvalidBaseVersion };
    Code code = Code::NotAnObject;
    /// The requested version, where it could be read before the error.
    std::optional<mesh_config::Version> version;

    /// The text of the answer to the operator.
    [[nodiscard]] const char* message() const;
    /// The reason as it is logged: the field's name, or "no JSON".
    [[nodiscard]] const char* log_reason() const;
};

/// Parses the body of a Replace or Modify call. `base_version` may be absent or the number 0, which both mean
/// "no configuration yet".
[[nodiscard]] std::variant<ChangeRequest, RequestError> parse_change_request(CallKind kind,
                                                                             std::string_view body);

/// The requested version, also of a request that has an error behind it; nothing if it could not be read.
[[nodiscard]] std::optional<mesh_config::Version> requested_version(
    const std::variant<ChangeRequest, RequestError>& parsed);

}  // namespace martenford::config_service
