// martenford why: asks a running sidecar, where operators call, for stories and causes.
#pragma once

#include <string>

namespace martenford {

struct WhyOptions {
    std::string console;  ///< its address; otherwise PROXY_CONSOLE
    std::string id;       ///< of a request; empty: what explains the bad ones
    std::string klass;
    std::string since = "5m";
    int slowest = 0;
    bool latencies = false;
};

/// Prints what the sidecar says. Gives the exit code: 0, 1 where it said no or nothing, 2 where the words are
/// off.
int run_why(const WhyOptions& options);

}  // namespace martenford
