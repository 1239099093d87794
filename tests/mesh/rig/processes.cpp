#include "mesh/rig/processes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace martenford::rig {

std::string port(Port port) {
    return std::to_string(kPorts + static_cast<int>(port));
}
std::string at(const std::string& ip, Port which) {
    return ip + ":" + port(which);
}

Processes::Processes() {
    std::string path = (std::filesystem::temp_directory_path() / "mesh-rig-XXXXXX").string();
    folder_ = ::mkdtemp(path.data());
}

Processes::~Processes() {
    for (const auto& [name, process] : all_) {
        ::kill(process.pid, SIGKILL);
        ::waitpid(process.pid, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string Processes::ip(std::size_t machine) {
    const auto own = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(100 + (own >> 8) % 100) + "." + std::to_string(own & 0xff) + "." +
           std::to_string(machine);
}

void Processes::start(const Machine& machine) {
    const bool proxy = !machine.service.empty();
    const std::string config = folder_ + "/" + machine.name + ".toml",
                      log = folder_ + "/" + machine.name + ".log", disk = folder_ + "/" + machine.name;
    std::string seeds;
    for (const auto& seed : machine.seeds) seeds += (seeds.empty() ? "\"" : ", \"") + seed + "\"";
    std::ofstream file(config);
    file << "node_name = \"" << machine.name << "\"\nrole = \"r\"\nip_address = \"" << machine.ip
         << "\"\nzone = \"" << machine.zone << "\"\nregion = \"" << machine.region << "\"\ninternal_ports = ["
         << port(Port::Mesh) << ", " << port(Port::MeshLast) << "]\nseed_nodes = [" << seeds
         << "]\nfirst_boot = " << (machine.first_boot ? "true" : "false") << "\nfuture_field = [1, 2]\n"
         << machine.top;
    if (proxy) {
        file << "service = \"" << machine.service << "\"\napp_address = \"" << at(machine.ip, Port::App)
             << "\"\n[listen_addrs]\ninbound = \"" << at(machine.ip, Port::Inbound) << "\"\noutbound = \""
             << at(machine.ip, Port::Outbound) << "\"\nreadiness = \"" << at(machine.ip, Port::Readiness)
             << "\"\ncontrol = \"" << at(machine.ip, Port::Control) << "\"\n";
    } else {
        std::filesystem::create_directories(disk);
        file << "data_directory = \"" << disk << "\"\n[listen_addrs]\ncontrol = \""
             << at(machine.ip, Port::Control) << "\"\n";
    }
    file << machine.tables;
    file.close();
    const char* program = proxy ? PROXY : CONTROLLER;
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that crashes leaves nobody on these ports
        const int to = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(to, 1);
        ::dup2(to, 2);
        for (int fd = 3; fd < 512; ++fd) ::close(fd);
        ::setenv("MARTENFORD_CONFIG", config.c_str(), 1);
        ::execl(program, program, static_cast<char*>(nullptr));
        ::_exit(127);
    }
    told_.emplace(machine.name, 0);
    all_[machine.name] = {pid, Ending::None, Time::max(), nullptr};
}

std::vector<pid_t> Processes::pids() const {
    std::vector<pid_t> all;
    for (const auto& [name, process] : all_) all.push_back(process.pid);
    return all;
}

void Processes::signal(const std::string& name, int signal) {
    if (const auto process = all_.find(name); process != all_.end()) ::kill(process->second.pid, signal);
}

void Processes::end(const std::string& name, Ending how, Time now, Duration grace,
                    std::function<void(int)> ended) {
    Process& process = all_.at(name);
    process.ending = how;
    process.kill_at = how == Ending::Term ? now + grace : Time::max();
    process.ended = std::move(ended);
    ::kill(process.pid, how == Ending::Term ? SIGTERM : SIGKILL);
}

void Processes::reap(Time now) {
    std::vector<std::pair<std::function<void(int)>, int>> told;
    for (auto it = all_.begin(); it != all_.end();) {
        Process& process = it->second;
        int status = 0;
        if (::waitpid(process.pid, &status, WNOHANG) != process.pid) {
            if (now >= process.kill_at) {
                process.kill_at = Time::max();
                process.ending = Ending::Kill;
                ::kill(process.pid, SIGKILL);
            }
            ++it;
            continue;
        }
        const bool in_order = WIFEXITED(status) && WEXITSTATUS(status) == 0;
        const bool as_asked = process.ending == Ending::Kill || (process.ending == Ending::Term && in_order);
        if (!as_asked) ended_alone.push_back(it->first + ", wait status " + std::to_string(status));
        told.emplace_back(std::move(process.ended), status);
        it = all_.erase(it);
    }
    for (const auto& [ended, status] : told)
        if (ended) ended(status);
}

void Processes::wipe(const std::string& name) {
    std::filesystem::remove_all(folder_ + "/" + name);
}

std::string Processes::log(const std::string& name) const {
    std::ifstream file(folder_ + "/" + name + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<std::string> Processes::new_lines() {
    std::vector<std::string> lines;
    for (auto& [name, told] : told_) {
        std::ifstream file(folder_ + "/" + name + ".log");
        file.seekg(static_cast<std::streamoff>(told));
        for (std::string line; std::getline(file, line) && !file.eof(); told += line.size() + 1)
            lines.push_back(name + ": " + line);
    }
    return lines;
}

}  // namespace martenford::rig
