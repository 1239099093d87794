#include "mesh_config/config.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace martenford::mesh_config {

std::string text_of(Version version) {
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", version);
    return text.data();
}

std::optional<Version> parse_version(std::string_view text) {
    Version version = 0;
    if (text.empty() || text.size() > 8) return std::nullopt;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), text_end, version, 16);
    if (error != std::errc{} || end != text_end) return std::nullopt;
    return version;
}

std::optional<Kind> parse_route_kind(std::string_view text) {
    if (text == "idempotent") return Kind::Idempotent;
    if (text == "non_idempotent") return Kind::NonIdempotent;
    if (text == "download") return Kind::Download;
    return std::nullopt;
}

const std::vector<Tenant>& tenants_of(const Config& config) {
    static const std::vector<Tenant> kNone;
    return config.tenants ? *config.tenants : kNone;
}

std::string normalized_host(std::string_view host) {
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

}  // namespace martenford::mesh_config
