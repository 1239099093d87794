#include "config_service/change_request.h"

#include <utility>

namespace martenford::config_service {

using mesh_config::Json;
using mesh_config::Version;

namespace {

std::optional<Version> version_field(const Json& object, const char* name) {
    const auto field = object.find(name);
    if (field == object.end() || !field->is_string()) return std::nullopt;
    return mesh_config::parse_version(field->get<std::string>());
}

/// The base version; nothing if the field is neither a version nor the number 0.
std::optional<Version> base_version_field(const Json& object) {
    const auto field = object.find("base_version");
    if (field == object.end() || *field == 0) return Version{0};
    return version_field(object, "base_version");
}

}  // namespace

const char* RequestError::message() const {
    switch (code) {
        case Code::NotAnObject:
            return "the body is no JSON object";
        case Code::InvalidVersion:
            return "version: eight hexadecimal digits are wanted";
        case Code::InvalidBaseVersion:
            return "base_version: eight hexadecimal digits are wanted";
    }
    return "";
}

const char* RequestError::log_reason() const {
    switch (code) {
        case Code::NotAnObject:
            return "no JSON";
        case Code::InvalidVersion:
            return "version";
        case Code::InvalidBaseVersion:
            return "base_version";
    }
    return "";
}

std::variant<ChangeRequest, RequestError> parse_change_request(CallKind kind, std::string_view body) {
    using Code = RequestError::Code;
    auto object = mesh_config::parse_object(body);
    if (!object) return RequestError{Code::NotAnObject, std::nullopt};
    const auto version = version_field(*object, "version");
    if (!version) return RequestError{Code::InvalidVersion, std::nullopt};
    const auto base_version = base_version_field(*object);
    if (!base_version) return RequestError{Code::InvalidBaseVersion, version};
    if (kind == CallKind::Replace)
        return ChangeRequest{*version, *base_version, ReplaceDocument{std::move(*object)}};
    return ChangeRequest{*version, *base_version, ModifyDocument{std::move(*object)}};
}

std::optional<Version> requested_version(const std::variant<ChangeRequest, RequestError>& parsed) {
    if (const auto* request = std::get_if<ChangeRequest>(&parsed)) return request->version;
    return std::get<RequestError>(parsed).version;
}

}  // namespace martenford::config_service
