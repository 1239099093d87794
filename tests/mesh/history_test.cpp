// The checker of plays must find what it is there for: a history that keeps all rules, then each rule broken
// in it.
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

/// Two changes acknowledged one on the other, one refused, a read; two requests.
History kept() {
    History history;
    history.orders = {{"mark-0-1", 1, 0, {{ms(1), ms(2), 0}, {ms(3), ms(5), 200}}},
                      {"mark-1-1", 2, 0, {{ms(2), ms(6), 412}}},
                      {"mark-1-2", 3, 1, {{ms(10), ms(12), 200}, {ms(13), ms(14), 200}}}};
    history.reads = {{ms(0), ms(1), 404, 0, {}}, {ms(6), ms(7), 200, 1, {"mark-0-1"}}};
    history.last = {ms(30), ms(31), 200, 3, {"mark-0-1", "mark-1-2"}};
    history.requests["r-1"] = {true, 200, "r-1", "i-1", echo_of("r-1", "i-1")};
    history.requests["o-2"] = {false, 200, "o-2", "i-2", echo_of("o-2", "i-2")};
    history.requests["o-3"] = {false, 503, "", "", ""};
    history.runs = {{"r-1", "i-1", true}, {"r-1", "i-3", true}, {"o-2", "i-2", true}};
    return history;
}

}  // namespace

TEST_CASE("the checker finds each rule that is broken, and none where all are kept") {
    REQUIRE(violations(kept()) == std::vector<std::string>{});
    const std::pair<const char*, std::function<void(History&)>> broken[] = {
        {"acknowledged and lost: mark-1-2",
         [](History& h) {
             h.last = {ms(30), ms(31), 200, 1, {"mark-0-1"}};
         }},
        {"two acknowledged on one base", [](History& h) { h.orders[1].sendings[0].status = 200; }},
        {"refused and in force: mark-1-2", [](History& h) { h.orders[2].sendings[0].status = 412; }},
        {"acknowledged, sent again and refused with 412",
         [](History& h) { h.orders[2].sendings[1].status = 412; }},
        {"refused with 412 on top of the current version: mark-1-9",
         [](History& h) {
             h.orders.push_back({"mark-1-9", 9, 3, {{ms(20), ms(21), 412}}});
         }},
        {"read 1 after the acknowledgement of mark-1-2",
         [](History& h) {
             h.reads.push_back({ms(15), ms(16), 200, 1, {"mark-0-1"}});
         }},
        {"read and lost: mark-1-1",
         [](History& h) {
             h.reads.push_back({ms(7), ms(8), 200, 2, {"mark-1-1"}});
         }},
        {"not built on what it names: mark-1-2", [](History& h) { h.orders[2].base = 2; }},
        {"in force and never sent", [](History& h) { h.last.marks.insert("mark-7-7"); }},
        {"read back under another number", [](History& h) { h.last.version = 4; }},
        {"can't be read back", [](History& h) { h.last.status = 0; }},
        {"not repeatable and run 2 times: o-2",
         [](History& h) {
             h.runs.push_back({"o-2", "i-4", true});
         }},
        {"run and promised not to be, with 503: o-3",
         [](History& h) {
             h.runs.push_back({"o-3", "i-4", true});
         }},
        {"the answer to r-1 came to o-2", [](History& h) { h.requests["o-2"].answered_id = "r-1"; }},
        {"a success that is not its endpoint's answer: r-1",
         [](History& h) { h.requests["r-1"].body.pop_back(); }},
        {"a success that nobody ran: o-2", [](History& h) { h.runs.pop_back(); }},
        {"run and never asked: x",
         [](History& h) {
             h.runs.push_back({"x", "i-1", true});
         }},
        {"run with another path or body: r-1", [](History& h) { h.runs[0].intact = false; }},
        {"6 proper requests were denied",
         [](History& h) {
             for (int i = 0; i < 6; ++i) h.requests["r-1" + std::to_string(i)] = {true, 404, "", "", ""};
         }},
        {"in force and lost: mark-1-1, request m-1",
         [](History& h) {
             h.requests["m-1"] = {true, 200, "m-1", "i-1", echo_of("m-1", "i-1"), ms(8), ms(9), "mark-1-1"};
             h.runs.push_back({"m-1", "i-1", true});
         }},
        {"proxy-0 went back behind mark-1-2",
         [](History& h) {
             h.requests["m-1"] = {true,   200,    "m-1",      "i-1",    echo_of("m-1", "i-1"),
                                  ms(20), ms(21), "mark-1-2", "proxy-0"};
             h.runs.push_back({"m-1", "i-1", true});
             h.requests["m-2"] = {true, 404, "", "", "", ms(400), ms(401), "mark-1-2", "proxy-0"};
         }},
        {"lost in planned work, with 502 after 0 ms, run 1 times: o-2",
         [](History& h) {
             h.planned = true;
             h.requests["o-2"].status = 502;
         }},
        {"lost in planned work, with 0 after 1200 ms, run 0 times: o-3",
         [](History& h) {
             h.planned = true;
             h.requests["o-3"] = {false, 0, "", "", "", ms(0), ms(1200)};
         }},
        {"ended by itself", [](History& h) { h.ended_alone.push_back("core-1"); }}};
    for (const auto& [what, change] : broken) {
        History history = kept();
        change(history);
        bool found = false;
        for (const auto& each : violations(history)) found |= each.find(what) != each.npos;
        CHECK_MESSAGE(found, what);
    }
}

TEST_CASE("no more machines of the core are lost at once than may be, all being killed apart") {
    FaultOptions options;
    options.controllers = 5;
    options.borne = 2;
    options.span = 60s;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto faults = draw_faults(seed, options);
        for (const Fault& fault : faults) {
            if (fault.kind == FaultKind::KillAll || strikes_proxy(fault.kind)) continue;
            std::size_t lost = 0;
            for (const Fault& other : faults) {
                const bool there =
                    other.at <= fault.at && fault.at < other.at + other.lasts + options.catch_up;
                if (!there || strikes_proxy(other.kind)) continue;
                const bool of_borne = other.kind > FaultKind::KillAll && strikes_all(other.kind);
                lost += of_borne ? options.borne : other.kind == FaultKind::KillAll ? options.controllers : 1;
            }
            CHECK(lost <= options.borne);
        }
    }
}
