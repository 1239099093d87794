// martenford-config: checks a configuration as the mesh would, and explains it: what is wrong and where,
// which route a request takes, what changed between two versions. Reads files; asks no process.
#include <getopt.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "mesh_config/explain.h"

namespace {

using namespace martenford::mesh_config;

constexpr int kInvalid = 1, kUsage = 2;

void usage(std::ostream& to) {
    to << "martenford-config: checks configurations and explains them.\n"
          "  martenford-config FILE                          whether it is valid; what is wrong and where\n"
          "  martenford-config FILE --route HOST PATH        which route a request takes, and why\n"
          "  martenford-config FILE --key KEY                whose key it is\n"
          "  martenford-config FILE --apply CHANGE           FILE with a change by names done to it\n"
          "  martenford-config FILE --against OLDER          what changed, and what follows from it\n"
          "Exit code: 0 valid, 1 invalid or not found, 2 wrong use or unreadable file.\n";
}

std::optional<Json> read_file(const std::string& path) {
    std::ifstream file(path);
    std::stringstream held;
    held << file.rdbuf();
    if (!file) {
        std::cerr << path << ": it can't be read\n";
        return std::nullopt;
    }
    Json json = Json::parse(held.str(), nullptr, false);
    if (json.is_discarded()) {
        std::cerr << path << ": it is no JSON, or cut short\n";
        return std::nullopt;
    }
    return json;
}

/// Tells what is wrong with it; nothing where it is valid.
std::optional<Config> checked(const std::string& path, const Json& json) {
    auto config = read_config(json);
    if (const auto* problem = std::get_if<ConfigError>(&config)) {
        std::cerr << path << ": " << problem->text() << "\n";
        return std::nullopt;
    }
    return std::get<Config>(std::move(config));
}

}  // namespace

int main(int argc, char** argv) {
    static const option options[] = {
        {"route", no_argument, nullptr, 'r'},       {"key", required_argument, nullptr, 'k'},
        {"apply", required_argument, nullptr, 'a'}, {"against", required_argument, nullptr, 'o'},
        {"help", no_argument, nullptr, 'h'},        {nullptr, 0, nullptr, 0}};
    bool route = false;
    std::string key, change, older;
    for (int given = 0; (given = getopt_long(argc, argv, "rk:a:o:h", options, nullptr)) != -1;) {
        if (given == 'h') return usage(std::cout), 0;
        if (given == 'r') route = true;
        if (given == 'k') key = optarg;
        if (given == 'a') change = optarg;
        if (given == 'o') older = optarg;
        if (given == '?') return usage(std::cerr), kUsage;
    }
    const int rest = argc - optind;
    if (rest != (route ? 3 : 1)) return usage(std::cerr), kUsage;
    const std::string path = argv[optind];
    const auto json = read_file(path);
    if (!json) return kUsage;
    if (!change.empty()) {
        const auto by = read_file(change);
        if (!by) return kUsage;
        const auto whole = apply_change(*json, *by);
        if (const auto* problem = std::get_if<ConfigError>(&whole)) {
            std::cerr << change << ": " << problem->text() << "\n";
            return kInvalid;
        }
        if (!checked(change, std::get<Json>(whole))) return kInvalid;
        std::cout << std::get<Json>(whole).dump(2) << "\n";
        return 0;
    }
    const auto config = checked(path, *json);
    if (!config) return kInvalid;
    if (route) {
        const auto told = explain_route(*config, argv[optind + 1], argv[optind + 2]);
        std::cout << told.text;
        return told.found ? 0 : kInvalid;
    }
    if (!key.empty()) {
        const RouteTable routes(0, *config);
        const Tenant* tenant = routes.tenant_by_key(key);
        std::cout << (tenant ? "tenant " + tenant->name : "nobody's: 401") << "\n";
        return tenant ? 0 : kInvalid;
    }
    if (!older.empty()) {
        const auto before = read_file(older);
        if (!before) return kUsage;
        const auto read = checked(older, *before);
        if (!read) return kInvalid;
        for (const std::string& line : explain_change(*read, *config)) std::cout << line << "\n";
        return 0;
    }
    std::cout << summary(*config);
    return 0;
}
