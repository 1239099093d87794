// martenford-config: validates a configuration as the mesh would, and explains it: what is wrong and where,
// which route a request takes, what changed between two versions. Reads files only; contacts no process.
#include <getopt.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <variant>

#include "mesh_config/explain.h"

namespace {

using namespace martenford::mesh_config;

/// Exit codes: also kInvalid for what was not found, kUsage for an unreadable file.
constexpr int kValid = 0;
constexpr int kInvalid = 1;
constexpr int kUsage = 2;

struct Arguments {
    bool help = false;
    std::string path;
    bool route = false;  ///< explain the route of `host` and `request_path`
    std::string host;
    std::string request_path;
    std::string key;      ///< empty: not asked for
    std::string change;   ///< path of a change; empty: none
    std::string against;  ///< path of an older configuration; empty: none
};

void print_usage(std::ostream& to) {
    to << "martenford-config: validates configurations and explains them.\n"
          "  martenford-config FILE                      is it valid? If not, what is wrong and where\n"
          "  martenford-config FILE --route HOST PATH    which route a request takes, and why\n"
          "  martenford-config FILE --key KEY            which tenant an API key belongs to\n"
          "  martenford-config FILE --apply CHANGE       print FILE with a change (as sent to modify) "
          "applied\n"
          "  martenford-config FILE --against OLDER      what changed since OLDER, the most severe first\n"
          "Exit code: 0 valid, 1 invalid or not found, 2 wrong usage or unreadable file.\n";
}

/// Nothing: the arguments are wrong.
std::optional<Arguments> parse_arguments(int argc, char** argv) {
    static const option kOptions[] = {
        {"route", no_argument, nullptr, 'r'},       {"key", required_argument, nullptr, 'k'},
        {"apply", required_argument, nullptr, 'a'}, {"against", required_argument, nullptr, 'o'},
        {"help", no_argument, nullptr, 'h'},        {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    for (int given = 0; (given = getopt_long(argc, argv, "rk:a:o:h", kOptions, nullptr)) != -1;) {
        switch (given) {
            case 'h':
                arguments.help = true;
                return arguments;
            case 'r':
                arguments.route = true;
                break;
            case 'k':
                arguments.key = optarg;
                break;
            case 'a':
                arguments.change = optarg;
                break;
            case 'o':
                arguments.against = optarg;
                break;
            default:
                return std::nullopt;
        }
    }
    const int positional = argc - optind;
    if (positional != (arguments.route ? 3 : 1)) return std::nullopt;
    arguments.path = argv[optind];
    if (arguments.route) {
        arguments.host = argv[optind + 1];
        arguments.request_path = argv[optind + 2];
    }
    return arguments;
}

/// Reads a JSON file; prints what is wrong with it and returns nothing.
std::optional<Json> read_file(const std::string& path) {
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    if (!file) {
        std::cerr << path << ": it can't be read\n";
        return std::nullopt;
    }
    Json json = Json::parse(content.str(), nullptr, false);
    if (json.is_discarded()) {
        std::cerr << path << ": it is no JSON, or cut short\n";
        return std::nullopt;
    }
    return json;
}

/// Validates a document; prints what is wrong with it and returns nothing.
std::optional<Config> validated(const std::string& path, const Json& json) {
    auto config = read_config(json);
    if (const auto* error = std::get_if<ConfigError>(&config)) {
        std::cerr << path << ": " << error->text() << "\n";
        return std::nullopt;
    }
    return std::get<Config>(std::move(config));
}

/// Prints the changed document, if it is valid.
int print_changed(const Json& document, const std::string& change_path) {
    const auto change = read_file(change_path);
    if (!change) return kUsage;
    const auto changed = apply_change(document, *change);
    if (const auto* error = std::get_if<ConfigError>(&changed)) {
        std::cerr << change_path << ": " << error->text() << "\n";
        return kInvalid;
    }
    if (!validated(change_path, std::get<Json>(changed))) return kInvalid;
    std::cout << std::get<Json>(changed).dump(2) << "\n";
    return kValid;
}

int print_route(const Config& config, const std::string& host, const std::string& request_path) {
    const auto explanation = explain_route(config, host, request_path);
    std::cout << explanation.text;
    return explanation.found ? kValid : kInvalid;
}

int print_tenant(const Config& config, const std::string& key) {
    const RouteTable table(0, config);
    const Tenant* tenant = table.tenant_by_key(key);
    std::cout << (tenant ? "tenant " + tenant->name : "nobody's: 401") << "\n";
    return tenant ? kValid : kInvalid;
}

int print_difference(const std::string& older_path, const Config& config) {
    const auto json = read_file(older_path);
    if (!json) return kUsage;
    const auto older = validated(older_path, *json);
    if (!older) return kInvalid;
    for (const std::string& line : explain_change(*older, config)) std::cout << line << "\n";
    return kValid;
}

int run(const Arguments& arguments) {
    const auto json = read_file(arguments.path);
    if (!json) return kUsage;
    if (!arguments.change.empty()) return print_changed(*json, arguments.change);
    const auto config = validated(arguments.path, *json);
    if (!config) return kInvalid;
    if (arguments.route) return print_route(*config, arguments.host, arguments.request_path);
    if (!arguments.key.empty()) return print_tenant(*config, arguments.key);
    if (!arguments.against.empty()) return print_difference(arguments.against, *config);
    std::cout << summary(*config);
    return kValid;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        const auto arguments = parse_arguments(argc, argv);
        if (!arguments) {
            print_usage(std::cerr);
            return kUsage;
        }
        if (arguments->help) {
            print_usage(std::cout);
            return kValid;
        }
        return run(*arguments);
    } catch (const std::exception& error) {
        std::cerr << "martenford-config: " << error.what() << "\n";
        return kUsage;
    }
}
