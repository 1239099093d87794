// The checker of plays finds each violation: a valid history has none, and each change to it that violates
// one rule is reported. Also the bounds of the fault schedules.
#include "mesh/rig/history.h"

#include <doctest/doctest.h>

#include <functional>

#include "mesh/rig/faults.h"

using namespace martenford;
using namespace martenford::rig;

namespace {

Time ms(int count) {
    return Time{} + 1ms * count;
}

/// Two acknowledged changes, the second based on the first; one rejected change, two reads and three
/// requests.
History valid_history() {
    History history;
    history.changes = {{"mark-0-1", 1, 0, {{ms(1), ms(2), 0}, {ms(3), ms(5), 200}}},
                       {"mark-1-1", 2, 0, {{ms(2), ms(6), 412}}},
                       {"mark-1-2", 3, 1, {{ms(10), ms(12), 200}, {ms(13), ms(14), 200}}}};
    history.reads = {{ms(0), ms(1), 404, 0, {}}, {ms(6), ms(7), 200, 1, {"mark-0-1"}}};
    history.last_read = {ms(30), ms(31), 200, 3, {"mark-0-1", "mark-1-2"}};
    history.requests["r-1"] = {true, 200, "r-1", "i-1", echo_of("r-1", "i-1")};
    history.requests["o-2"] = {false, 200, "o-2", "i-2", echo_of("o-2", "i-2")};
    history.requests["o-3"] = {false, 503, "", "", ""};
    history.executions = {{"r-1", "i-1", true}, {"r-1", "i-3", true}, {"o-2", "i-2", true}};
    return history;
}

}  // namespace

TEST_CASE("history checker: each violated rule is reported, and a valid history has no violation") {
    REQUIRE(violations(valid_history()) == std::vector<std::string>{});
    const std::pair<const char*, std::function<void(History&)>> violated[] = {
        {"acknowledged and lost: mark-1-2",
         [](History& h) {
             h.last_read = {ms(30), ms(31), 200, 1, {"mark-0-1"}};
         }},
        {"two acknowledged on one base", [](History& h) { h.changes[1].attempts[0].status = 200; }},
        {"refused and in force: mark-1-2", [](History& h) { h.changes[2].attempts[0].status = 412; }},
        {"acknowledged, sent again and refused with 412",
         [](History& h) { h.changes[2].attempts[1].status = 412; }},
        {"refused with 412 on top of the current version: mark-1-9",
         [](History& h) {
             h.changes.push_back({"mark-1-9", 9, 3, {{ms(20), ms(21), 412}}});
         }},
        {"read 1 after the acknowledgement of mark-1-2",
         [](History& h) {
             h.reads.push_back({ms(15), ms(16), 200, 1, {"mark-0-1"}});
         }},
        {"read and lost: mark-1-1",
         [](History& h) {
             h.reads.push_back({ms(7), ms(8), 200, 2, {"mark-1-1"}});
         }},
        {"not built on what it names: mark-1-2", [](History& h) { h.changes[2].base = 2; }},
        {"in force and never sent", [](History& h) { h.last_read.markers.insert("mark-7-7"); }},
        {"read back under another number", [](History& h) { h.last_read.version = 4; }},
        {"can't be read back", [](History& h) { h.last_read.status = 0; }},
        {"not repeatable and run 2 times: o-2",
         [](History& h) {
             h.executions.push_back({"o-2", "i-4", true});
         }},
        {"run and promised not to be, with 503: o-3",
         [](History& h) {
             h.executions.push_back({"o-3", "i-4", true});
         }},
        {"the answer to r-1 came to o-2", [](History& h) { h.requests["o-2"].answered_id = "r-1"; }},
        {"a success that is not its endpoint's answer: r-1",
         [](History& h) { h.requests["r-1"].body.pop_back(); }},
        {"a success that nobody ran: o-2", [](History& h) { h.executions.pop_back(); }},
        {"run and never asked: x",
         [](History& h) {
             h.executions.push_back({"x", "i-1", true});
         }},
        {"run with another path or body: r-1", [](History& h) { h.executions[0].intact = false; }},
        {"6 proper requests were denied",
         [](History& h) {
             for (int i = 0; i < 6; ++i) h.requests["r-1" + std::to_string(i)] = {true, 404, "", "", ""};
         }},
        {"in force and lost: mark-1-1, request m-1",
         [](History& h) {
             h.requests["m-1"] = {true, 200, "m-1", "i-1", echo_of("m-1", "i-1"), ms(8), ms(9), "mark-1-1"};
             h.executions.push_back({"m-1", "i-1", true});
         }},
        {"proxy-0 went back behind mark-1-2",
         [](History& h) {
             h.requests["m-1"] = {true,   200,    "m-1",      "i-1",    echo_of("m-1", "i-1"),
                                  ms(20), ms(21), "mark-1-2", "proxy-0"};
             h.executions.push_back({"m-1", "i-1", true});
             h.requests["m-2"] = {true, 404, "", "", "", ms(400), ms(401), "mark-1-2", "proxy-0"};
         }},
        {"lost in planned work, with 502 after 0 ms, run 1 times: o-2",
         [](History& h) {
             h.planned_only = true;
             h.requests["o-2"].status = 502;
         }},
        {"lost in planned work, with 0 after 1200 ms, run 0 times: o-3",
         [](History& h) {
             h.planned_only = true;
             h.requests["o-3"] = {false, 0, "", "", "", ms(0), ms(1200)};
         }},
        {"ended by itself", [](History& h) { h.unexpected_exits.push_back("core-1"); }}};
    for (const auto& [what, change] : violated) {
        History history = valid_history();
        change(history);
        bool found = false;
        for (const auto& each : violations(history)) found |= each.find(what) != each.npos;
        CHECK_MESSAGE(found, what);
    }
}

TEST_CASE(
    "fault schedule: except when all are killed, no more controllers are lost at once than are tolerated") {
    FaultOptions options;
    options.controllers = 5;
    options.tolerated_failures = 2;
    options.fault_window = 60s;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto faults = draw_faults(seed, options);
        for (const Fault& fault : faults) {
            if (fault.kind == FaultKind::KillAll || affects_proxy(fault.kind)) continue;
            std::size_t lost = 0;
            for (const Fault& other : faults) {
                const bool in_progress = other.starts <= fault.starts &&
                                         fault.starts < other.starts + other.lasts + options.catch_up;
                if (!in_progress || affects_proxy(other.kind)) continue;
                const bool of_tolerated =
                    other.kind > FaultKind::KillAll && affects_all_controllers(other.kind);
                lost += of_tolerated                       ? options.tolerated_failures
                        : other.kind == FaultKind::KillAll ? options.controllers
                                                           : 1;
            }
            CHECK(lost <= options.tolerated_failures);
        }
    }
}
