// What operators, clients and endpoints observed in one play, and the checker
// of the rules that it must keep. The checker knows nothing of the programs:
// only what passed the test's own sockets.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rig {

/// One attempt to send a configuration change. Status 0: no response.
struct ChangeAttempt {
    Time sent{}, answered{};
    int status = 0;
};
/// A configuration change of an operator. Each adds a marker to the document, a
/// route of its own, and a change based on a document keeps the markers in it:
/// so a document names all changes that led to it.
struct ConfigChange {
    std::string marker;
    std::uint32_t version = 0, base = 0;
    std::vector<ChangeAttempt> attempts{};
};
/// A read of the configuration. Status 404: none was accepted yet.
struct ConfigRead {
    Time sent{}, answered{};
    int status = 0;
    std::uint32_t version = 0;
    std::set<std::string> markers{};
};
/// A client's request, sent once.
struct Request {
    bool idempotent = true;
    int status = 0;  // 0: no complete response
    std::string answered_id{}, seal{}, body{};
    Time sent{}, ended{};
    std::string marker{};             // of the change that added its route; empty: a permanent route
    std::string proxy_incarnation{};  // of the proxy process that it was sent to
};
/// An execution of a request by an endpoint.
struct Execution {
    std::string id, instance;
    bool intact = true;   // path and body were received as they were sent
    bool failed = false;  // the endpoint sent no response of its own
};

struct History {
    std::vector<ConfigChange> changes;
    std::vector<ConfigRead> reads;
    ConfigRead last_read;  // after all faults, with no changes in progress
    std::map<std::string, Request> requests;
    std::vector<Execution> executions;
    std::vector<std::string> unexpected_exits;  // processes that ended by themselves
    bool planned_only = false;                  // all faults were planned maintenance: no request may be lost
};

/// Returns the body that endpoint `instance` responds with to request `id`.
std::string echo_of(const std::string& id, const std::string& instance);

/// Returns one line for each violation of a rule.
std::vector<std::string> violations(const History& history);

}  // namespace martenford::rig
