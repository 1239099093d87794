#include "options.h"

#include <getopt.h>

#include <algorithm>
#include <optional>
#include <sstream>

#include "core/address.h"

namespace martenford::scale_test {

namespace {

constexpr char kHelp[] =
    "scale_test: load of the mesh's control plane by its size. Starts controllers and simulated proxies on "
    "loopback.\n"
    "  --proxies LIST        simulated proxies in each step (12,30,86)\n"
    "  --real N             real proxies beside them (0)\n"
    "  --own-process        each simulated proxy in a process of its own\n"
    "  --controllers LIST    (3)   --services LIST (71)   --routes LIST (100)   --tenants N (12)\n"
    "  --phases LIST        of idle,configuration,churn,zone,return (all; idle always)\n"
    "  --changes N          configurations put in each step (5)\n"
    "  --seconds S          of a measured span, the idle one in three windows (6)\n"
    "  --most-seconds S     no step begins later (540)\n"
    "  --net A.B            first half of the loopback addresses (127.77)\n"
    "  --tsv PREFIX         rows are added to PREFIX-loads.tsv and PREFIX-events.tsv\n"
    "  --controller PROGRAM  --proxy PROGRAM   (beside this program)\n";

// Upper bounds of the options, to keep a run bounded in memory and time.
constexpr std::size_t kMaxControllers = 15;
constexpr std::size_t kMaxServices = 1000;
constexpr std::size_t kMaxRoutes = 5000;
constexpr std::size_t kMaxTenants = 1000;
constexpr std::size_t kMaxChanges = 1000;
constexpr std::size_t kMaxWindowSeconds = 600;
constexpr std::size_t kMaxRunSeconds = 3600;
constexpr std::size_t kMaxDigits = 6;  // of one number

const option kKnownOptions[] = {{"help", no_argument, nullptr, 'h'},
                                {"proxies", required_argument, nullptr, 's'},
                                {"real", required_argument, nullptr, 'r'},
                                {"own-process", no_argument, nullptr, 'o'},
                                {"controllers", required_argument, nullptr, 'g'},
                                {"services", required_argument, nullptr, 'v'},
                                {"routes", required_argument, nullptr, 'u'},
                                {"tenants", required_argument, nullptr, 't'},
                                {"phases", required_argument, nullptr, 'p'},
                                {"changes", required_argument, nullptr, 'c'},
                                {"seconds", required_argument, nullptr, 'w'},
                                {"most-seconds", required_argument, nullptr, 'm'},
                                {"net", required_argument, nullptr, 'n'},
                                {"tsv", required_argument, nullptr, 'f'},
                                {"controller", required_argument, nullptr, 'G'},
                                {"proxy", required_argument, nullptr, 'S'},
                                {nullptr, 0, nullptr, 0}};

/// The numbers of a list separated by commas; nothing if it is empty or one is not within the bounds.
std::optional<std::vector<std::size_t>> parse_numbers(const std::string& text, std::size_t min,
                                                      std::size_t max) {
    std::vector<std::size_t> out;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
        if (word.empty() || word.size() > kMaxDigits ||
            word.find_first_not_of("0123456789") != std::string::npos)
            return std::nullopt;
        const auto number = static_cast<std::size_t>(std::stoul(word));
        if (number < min || number > max) return std::nullopt;
        out.push_back(number);
    }
    if (out.empty()) return std::nullopt;
    return out;
}

/// Sets `to` and returns true if `text` is a valid list.
bool set_list(std::vector<std::size_t>& to, const std::string& text, std::size_t min, std::size_t max) {
    auto parsed = parse_numbers(text, min, max);
    if (!parsed) return false;
    to = std::move(*parsed);
    return true;
}

/// Sets `to` and returns true if `text` is one valid number.
template <typename Number>
bool set_number(Number& to, const std::string& text, std::size_t min, std::size_t max) {
    const auto parsed = parse_numbers(text, min, max);
    if (!parsed || parsed->size() != 1) return false;
    to = static_cast<Number>(parsed->front());
    return true;
}

std::set<std::string> parse_phases(const std::string& text) {
    std::set<std::string> out;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) out.insert(word);
    return out;
}

/// Applies one option by its short name in kKnownOptions; false if it is unknown or its value not valid.
bool apply_option(Options& options, int name, const std::string& text) {
    switch (name) {
        case 's':
            return set_list(options.proxies, text, 0, kMaxProxies);
        case 'r':
            return set_number(options.real, text, 0, kMaxProcesses);
        case 'o':
            options.own_process = true;
            return true;
        case 'g':
            return set_list(options.controllers, text, 1, kMaxControllers);
        case 'v':
            return set_list(options.services, text, 1, kMaxServices);
        case 'u':
            return set_list(options.routes, text, 1, kMaxRoutes);
        case 't':
            return set_number(options.tenants, text, 0, kMaxTenants);
        case 'c':
            return set_number(options.changes, text, 1, kMaxChanges);
        case 'w':
            return set_number(options.window_s, text, 1, kMaxWindowSeconds);
        case 'm':
            return set_number(options.max_run_s, text, 1, kMaxRunSeconds);
        case 'n':
            options.net = text;
            return true;
        case 'f':
            options.tsv = text;
            return true;
        case 'G':
            options.controller = text;
            return true;
        case 'S':
            options.proxy = text;
            return true;
        case 'p':
            options.phases = parse_phases(text);
            return true;
        default:
            return false;
    }
}

}  // namespace

const char* help_text() {
    return kHelp;
}

std::variant<Options, HelpRequest, UsageError> parse_options(int argc, char** argv, const Options& defaults) {
    Options options = defaults;
    bool is_valid = true;
    for (int name = 0; (name = getopt_long(argc, argv, "h", kKnownOptions, nullptr)) != -1;) {
        if (name == 'h') return HelpRequest{};
        if (!apply_option(options, name, optarg ? optarg : "")) is_valid = false;
    }
    if (!is_valid || optind != argc || !options.net.starts_with("127.") ||
        !parse_address(options.net + ".0.1:1"))
        return UsageError{};
    const auto largest = *std::max_element(options.proxies.begin(), options.proxies.end());
    if (options.own_process && largest + options.real > kMaxProcesses)
        return UsageError{std::to_string(kMaxProcesses) + " processes are the most"};
    return options;
}

}  // namespace martenford::scale_test
