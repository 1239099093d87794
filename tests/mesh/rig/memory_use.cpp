#include "mesh/rig/memory_use.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace martenford::rig {
namespace {

std::string directory_of(pid_t process) {
    return "/proc/" + std::to_string(process);
}

/// The inodes of its sockets.
std::set<std::string> sockets_of(pid_t process) {
    constexpr std::string_view kPrefix = "socket:[";
    std::set<std::string> inodes;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(directory_of(process) + "/fd", error)) {
        std::error_code closed_meanwhile;
        const std::string target = std::filesystem::read_symlink(entry, closed_meanwhile).string();
        if (target.starts_with(kPrefix))
            inodes.insert(target.substr(kPrefix.size(), target.size() - kPrefix.size() - 1));
    }
    return inodes;
}

}  // namespace

void limit_sanitizer_memory() {
    ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 1);
}

std::size_t resident_bytes(pid_t process) {
    std::ifstream file(directory_of(process) + "/statm");
    std::size_t whole = 0, resident = 0;
    file >> whole >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t unread_bytes(pid_t process) {
    const auto inodes = sockets_of(process);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);  // the names of the columns
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        columns >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >>
            inode;
        const bool is_listening = state == "0A";  // its queue counts connections
        if (is_listening || !inodes.contains(inode)) continue;
        bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return bytes;
}

std::chrono::milliseconds processor_time(pid_t process) {
    std::ifstream file(directory_of(process) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (text.empty()) return {};
    std::istringstream columns(text.substr(text.rfind(')') + 1));
    constexpr int kColumnsBefore = 11;  // of those after the program's name
    std::string skipped;
    for (int i = 0; i < kColumnsBefore; ++i) columns >> skipped;
    long user_ticks = 0, system_ticks = 0;
    columns >> user_ticks >> system_ticks;
    return std::chrono::milliseconds((user_ticks + system_ticks) * 1000 / ::sysconf(_SC_CLK_TCK));
}

}  // namespace martenford::rig
