// The planned stop of a proxy, on real processes: answers that come slower than the grace period lasts, and
// signals that come until the process has ended. All waits are for observed events; the grace period itself
// is real time.
#include <doctest/doctest.h>

#include <string>

#include "mesh/rig/shutdown_world.h"

using namespace martenford;
using namespace martenford::rig;

namespace {

std::string text_of(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) text += line + "\n";
    return text;
}

}  // namespace

TEST_CASE("planned stop: no request that was read is cut, however slowly its answer comes") {
    ShutdownWorld world(1, 2);
    world.start();
    // 150 kB by 1 kB each 50 ms: 7.5 s, longer than the grace period of 3 s.
    world.set_answers(150'000, 1'000);
    world.fleet().restart_by_plan(0);
    for (int i = 0; i < 5; ++i) {
        world.fleet().run_for(100ms);
        world.download(0, 10s);
    }
    world.settle();
    const auto violations = world.violations();
    CHECK_MESSAGE(violations.empty(), text_of(violations) << world.fleet().logs());
    REQUIRE(world.downloads().size() == 5);
    for (const Download& download : world.downloads()) CHECK(download.response.status != 0);
}

TEST_CASE("planned stop: an answer that comes whole within the grace period is passed on") {
    ShutdownWorld world(2, 2);
    world.start();
    world.set_answers(150'000, 10'000);  // 0.75 s
    world.fleet().restart_by_plan(0);
    world.fleet().run_for(100ms);
    world.download(0, 10s);
    world.settle();
    CHECK(text_of(world.violations()).empty());
    REQUIRE(world.downloads().size() == 1);
    CHECK(world.downloads()[0].response.status == 200);
}

// Guards against an answer that is cut since it is longer than a constant of the program.
TEST_CASE("planned stop: an answer of 46 MB comes whole around a reload") {
    ShutdownWorld world(3, 2);
    world.start();
    world.set_answers(46'000'000, 2'000'000);  // 1.2 s
    world.download(0, 15s);
    world.fleet().run_for(300ms);
    world.fleet().reload(0);
    world.settle();
    CHECK(text_of(world.violations()).empty());
    REQUIRE(world.downloads().size() == 1);
    CHECK(world.downloads()[0].response.status == 200);
    CHECK(world.downloads()[0].response.body.size() >= 46'000'000);
}
