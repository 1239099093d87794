// Real controllers and proxies on loopback, each with an address of its own as if it had a machine to itself.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::rig {

constexpr int kPorts = 21800;  // below the ports that the system gives away by itself
/// Alike on all machines of a test.
enum class Port { Control, App, Inbound, Outbound, Readiness, Mesh = 8, MeshLast = 9 };
std::string port(Port port);
std::string at(const std::string& ip, Port port);

/// What a settings file says beside what is alike in all tests.
struct Machine {
    std::string name, ip, zone = "z", region = "r";
    std::vector<std::string> seeds;  // `control` addresses
    bool first_boot = true;
    std::string service;  // of a proxy; empty: a controller
    std::string top;      // more lines of the file
    std::string tables;   // and more tables
};

class Processes {
  public:
    enum class Ending { None, Term, Kill };

    Processes();
    ~Processes();
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;

    const std::string& folder() const { return folder_; }
    /// Returns "127.x.y.<machine>", where x and y derive from this test's process id: several tests, and
    /// several runs of one, can listen at the same time.
    static std::string ip(std::size_t machine);
    /// Writes the settings file and starts the program; a controller finds its disk of earlier lives.
    void start(const Machine& machine);
    bool runs(const std::string& name) const { return all_.contains(name); }
    pid_t pid(const std::string& name) const { return all_.at(name).pid; }
    std::vector<pid_t> pids() const;
    void signal(const std::string& name, int signal);
    /// SIGTERM, and SIGKILL where it takes longer than `grace`; or SIGKILL. `ended` is called by reap().
    void end(const std::string& name, Ending how, Time now, Duration grace, std::function<void(int)> ended);
    /// Notices ends; those that nobody asked for go to `ended_alone`.
    void reap(Time now);
    /// Of a controller that doesn't run.
    void wipe(const std::string& name);
    std::string log(const std::string& name) const;
    /// The lines that were logged since the last call, each with its process's name.
    std::vector<std::string> new_lines();

    std::vector<std::string> ended_alone;

  private:
    struct Process {
        pid_t pid = 0;
        Ending ending = Ending::None;
        Time kill_at = Time::max();
        std::function<void(int)> ended;
    };
    std::string folder_;
    std::map<std::string, Process> all_;
    std::map<std::string, std::size_t> told_;  // of each log, in bytes
};

}  // namespace martenford::rig
