// martenford why: asks the console of a running sidecar for request traces and for the causes of bad
// requests.
#pragma once

#include <string>

namespace martenford {

struct WhyOptions {
    std::string console;  ///< console address; default: PROXY_CONSOLE
    std::string id;       ///< request id; empty: explain the bad requests
    std::string klass;
    std::string since = "5m";
    int slowest = 0;
    bool latencies = false;
};

/// Prints the reply. Returns the exit code: 0; 1 if the sidecar refused or did not reply; 2 for invalid
/// arguments.
int run_why(const WhyOptions& options);

}  // namespace martenford
