// The command line of scale_test.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace martenford::scale_test {

/// Simulated proxies of one step, bounded by memory: each one knows all others.
constexpr std::size_t kMaxProxies = 2500;
/// Proxy processes of one step; the machine is shared with other users.
constexpr std::size_t kMaxProcesses = 250;

/// What is measured. A step is run for each combination of the four lists.
struct Options {
    std::vector<std::size_t> proxies{12, 30, 86}, controllers{3}, services{71}, routes{100};
    std::size_t real = 0;      ///< real proxies in each step
    std::size_t tenants = 12;  ///< in each configuration
    std::size_t changes = 5;   ///< configurations put in each step
    bool own_process = false;  ///< a process for each simulated proxy
    double window_s = 6;       ///< length of a measured span
    double max_run_s = 540;    ///< no step begins later than this after the start
    std::set<std::string> phases{"idle", "configuration", "churn", "zone", "return"};
    std::string net = "127.77";     ///< first half of the loopback addresses
    std::string tsv;                ///< prefix of the files; none are written if empty
    std::string controller, proxy;  ///< paths of the programs
};

/// The help was asked for.
struct HelpRequest {};
/// The command line is not valid. An empty message stands for the help text.
struct UsageError {
    std::string message;
};

/// The help text, one option a line.
[[nodiscard]] const char* help_text();
/// Parses the command line; `defaults` holds the values of options that it does not name.
[[nodiscard]] std::variant<Options, HelpRequest, UsageError> parse_options(int argc, char** argv,
                                                                           const Options& defaults);

}  // namespace martenford::scale_test
