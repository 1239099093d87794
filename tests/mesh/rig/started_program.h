// One program of the mesh, started in an environment that a test chooses: its settings file, its descriptors,
// its limits.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <string>

#include "mesh/rig/processes.h"

namespace martenford::rig {

/// How a process ended.
struct ExitStatus {
    bool in_time = true;  ///< false: it had to be killed
    int code = -1;        ///< of exit(); -1: it did not end by itself
    int signal = 0;       ///< that ended it; 0: none
};

class StartedProgram {
  public:
    static constexpr std::chrono::seconds kMaxWait{20};

    /// Starts a proxy, or a controller if the machine has no service. Settings, data directory and log are in
    /// a directory of their own.
    /// @param prepare runs in the new process, right before the program.
    explicit StartedProgram(
        const Machine& machine, const std::function<void()>& prepare = [] {});
    /// Kills the process and removes its directory.
    ~StartedProgram();
    StartedProgram(const StartedProgram&) = delete;
    StartedProgram& operator=(const StartedProgram&) = delete;

    /// Starts the program again, after its end.
    void start_again(
        const Machine& machine, const std::function<void()>& prepare = [] {});
    [[nodiscard]] pid_t pid() const { return pid_; }
    void signal(int number) const { ::kill(pid_, number); }
    [[nodiscard]] bool is_running();
    /// Waits for its end; after kMaxWait it is killed.
    ExitStatus wait_for_exit();
    /// SIGTERM, and waits for its end.
    ExitStatus terminate();
    /// Waits until a line of its log contains `text`. Returns false after `limit`, or once it has ended.
    bool wait_for_log(const std::string& text, std::chrono::milliseconds limit = kMaxWait);
    [[nodiscard]] std::string log() const;
    void write_settings(const Machine& machine) const;
    /// Leaves the first half of the settings file.
    void truncate_settings() const;
    [[nodiscard]] std::string settings_path() const { return directory_ + "/settings.toml"; }
    [[nodiscard]] std::string data_directory() const { return directory_ + "/data"; }

  private:
    void start(const Machine& machine, const std::function<void()>& prepare);
    void reap(int options);

    std::string directory_;
    pid_t pid_ = 0;
    bool is_running_ = false;
    int wait_status_ = 0;
};

}  // namespace martenford::rig
