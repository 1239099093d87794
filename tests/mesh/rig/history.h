// What operators, clients and endpoints saw in one play, and the rules that it must keep. Knows nothing of
// the programs: only what went over its own sockets.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rig {

/// One attempt of an operator's call (an order). Status 0: no definite answer.
struct Sending {
    Time sent{}, answered{};
    int status = 0;
};
/// A change of the configuration. It leaves a mark in the document, a route of its own, and whoever builds on
/// a document keeps the marks in it: so a document names its whole lineage.
struct Order {
    std::string mark;
    std::uint32_t version = 0, base = 0;
    std::vector<Sending> sendings{};
};
/// A configuration that was read. Status 404: none has been taken.
struct Read {
    Time sent{}, answered{};
    int status = 0;
    std::uint32_t version = 0;
    std::set<std::string> marks{};
};
/// A client's request, one try.
struct Request {
    bool repeatable = true;
    int status = 0;  // 0: no complete answer
    std::string answered_id{}, seal{}, body{};
    Time sent{}, ended{};
    std::string mark{};  // on the route that this change brought; empty: on one that is always there
    std::string life{};  // incarnation of the process that it was sent to
};
struct Run {
    std::string id, instance;
    bool intact = true;  // path and body as they were sent
    bool broke = false;  // the endpoint gave no answer of its own to it
};

struct History {
    std::vector<Order> orders;
    std::vector<Read> reads;
    Read last;  // after all is quiet
    std::map<std::string, Request> requests;
    std::vector<Run> runs;
    std::vector<std::string> ended_alone;  // processes that nobody ended
    bool planned = false;                  // nothing but planned work was done: nothing may be lost
};

/// The body that an endpoint answers with.
std::string echo_of(const std::string& id, const std::string& instance);

/// Each rule that was broken, in one line.
std::vector<std::string> violations(const History& history);

}  // namespace martenford::rig
