// Signals that come before a program handles them: while it reads its settings. These are so long that
// reading them takes longer than the rest of its start.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <system_error>
#include <thread>

#include "mesh/rig/started_program.h"

using namespace martenford::rig;
using namespace std::chrono_literals;

namespace {

/// Fields that no program knows.
std::string long_table() {
    constexpr int kFields = 10'000;
    std::string text = "[future]\n";
    for (int i = 0; i < kFields; ++i) text += "field_" + std::to_string(i) + " = 1\n";
    return text;
}

Machine proxy_with_long_settings() {
    return {.name = "n",
            .ip = Processes::ip(201),
            .seeds = {at(Processes::ip(1), Port::Control)},
            .service = "s",
            .top = "beat_interval_ms = 300\nbounds = [\"drain_ms=300\", \"grace_s=3\"]\n",
            .tables = long_table()};
}

/// Returns once the program has its settings file open.
void wait_until_it_reads(const StartedProgram& program) {
    const std::string descriptors = "/proc/" + std::to_string(program.pid()) + "/fd";
    const auto give_up_at = std::chrono::steady_clock::now() + StartedProgram::kMaxWait;
    while (std::chrono::steady_clock::now() < give_up_at) {
        std::error_code ignored;
        for (const auto& entry : std::filesystem::directory_iterator(descriptors, ignored)) {
            if (std::filesystem::read_symlink(entry.path(), ignored) == program.settings_path()) return;
        }
    }
    FAIL("the proxy did not open its settings");
}

void check_ended_in_order(const ExitStatus& status) {
    CHECK(status.in_time);
    CHECK(status.code == 0);
}

}  // namespace

TEST_CASE("a SIGTERM that comes before the handlers are installed stops the program in order") {
    StartedProgram proxy(proxy_with_long_settings());
    wait_until_it_reads(proxy);
    check_ended_in_order(proxy.terminate());
}

TEST_CASE("a SIGHUP that comes before the handlers are installed does not end the program") {
    StartedProgram proxy(proxy_with_long_settings());
    wait_until_it_reads(proxy);
    proxy.signal(SIGHUP);
    std::this_thread::sleep_for(5ms);  // an ordinary handling would have ended it
    check_ended_in_order(proxy.terminate());
}
