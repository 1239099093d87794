// Real controllers that start with what a disk may hold: a store that is damaged in any way, and what a first
// start has left that could write only a little. Each start ends in serving, and no process ends by itself.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "mesh/rig/control_calls.h"
#include "mesh/rig/started_program.h"
#include "mesh/rig/store_damage.h"

using namespace martenford;
using namespace martenford::rig;
using namespace std::chrono_literals;

namespace {

/// Short, so that each end in order is.
const std::string kBounds = "bounds = [\"drain_ms=100\", \"grace_s=1\"]\n";

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string store_of(const StartedProgram& program) {
    return program.data_directory() + "/" + kStoreFileName;
}

Machine lone_controller() {
    const std::string ip = Processes::ip(1);
    return {.name = "controller", .ip = ip, .seeds = {at(ip, Port::Control)}, .top = kBounds};
}

Machine restarted(Machine machine) {
    machine.first_boot = false;
    return machine;
}

bool serves(StartedProgram& program, const Machine& machine, std::chrono::milliseconds limit) {
    const auto give_up_at = std::chrono::steady_clock::now() + limit;
    while (!answers(at(machine.ip, Port::Control))) {
        if (!program.is_running() || std::chrono::steady_clock::now() > give_up_at) return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

/// The store of a controller that has taken a configuration.
std::string sound_store() {
    const Machine machine = lone_controller();
    StartedProgram program(machine);
    REQUIRE(accepts_first_configuration({machine}, 10s));
    program.terminate();
    return read_file(store_of(program));
}

/// In the process that becomes the program: it may write so many bytes into each file.
void limit_file_size(rlim_t bytes) {
    const rlimit limit{bytes, bytes};
    ::setrlimit(RLIMIT_FSIZE, &limit);
}

}  // namespace

// Guards against a process that ends by itself, or listens on nothing for good, at each start, since its
// store is damaged. Once a store was set aside, no start may take itself for the first one.
TEST_CASE("disk: a controller with a damaged store serves") {
    const std::string sound = sound_store();
    std::mt19937_64 random(20261206);
    for (int i = 0; i < 60; ++i) {
        CAPTURE(i);
        Machine machine = lone_controller();
        StartedProgram program(machine, [] { ::_exit(0); });
        program.wait_for_exit();
        std::ofstream(store_of(program), std::ios::binary)
            << damaged(sound, static_cast<Damage>(i % kDamageKinds), random);
        machine.first_boot = i % 2 == 0;
        program.start_again(machine);
        CHECK(serves(program, machine, 10s));
        CHECK(program.terminate().code == 0);
        if (program.log().find("MG402") == std::string::npos) continue;
        CHECK(program.log().find("voter=yes") == std::string::npos);
        CHECK(std::filesystem::exists(store_of(program) + ".damaged.1"));
    }
}

// Guards against a system that never starts: at the first start of all, two of three controllers find a disk
// that takes only a little, are ended, and return when there is room.
TEST_CASE("disk: a first start of controllers that can write only a little is completed later") {
    for (const rlim_t bytes : {1, 40, 100, 4096, 5000}) {
        CAPTURE(bytes);
        const std::vector<Machine> machines = three_controllers(kBounds);
        std::vector<std::unique_ptr<StartedProgram>> programs;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            const bool is_limited = i < 2;
            programs.push_back(std::make_unique<StartedProgram>(machines[i], [&] {
                if (is_limited) limit_file_size(bytes);
            }));
        }
        std::this_thread::sleep_for(500ms);
        for (std::size_t i = 0; i < 2; ++i) {
            programs[i]->signal(SIGKILL);
            programs[i]->wait_for_exit();
            programs[i]->start_again(restarted(machines[i]));
        }
        CHECK(accepts_first_configuration(machines, 15s));
    }
}

// Guards against two voters of one member: the store is damaged after the disk has seen a vote, and the
// settings say still that this is the first start.
TEST_CASE("disk: a controller whose store was set aside has no vote at the next starts either") {
    const Machine machine = lone_controller();
    StartedProgram program(machine);
    REQUIRE(accepts_first_configuration({machine}, 10s));
    program.terminate();
    std::filesystem::resize_file(store_of(program), kStorePageBytes);
    for (int start = 0; start < 3; ++start) {
        program.start_again(machine);
        REQUIRE(serves(program, machine, 10s));
        CHECK_FALSE(accepts_first_configuration({machine}, 300ms));
        CHECK(program.terminate().code == 0);
        std::filesystem::remove(store_of(program));  // as if it had ended before it made a new one
    }
}
