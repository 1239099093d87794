// Processes that are measured: started from settings files in a folder of their own, ended by their ids; what
// the system counts of them.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace martenford::scale_test {

/// What the system has counted of one process.
struct Spent {
    double processor_s = 0;
    double memory_mb = 0, peak_mb = 0;
    double disk_bytes = 0;
};
Spent spent(pid_t pid);
bool ended(pid_t pid);

/// One end of a TCP connection, from the system's own account. Payload alone; messages are segments with
/// data: one message is one segment here unless it is longer than 64 KB or several were written at once.
struct Traffic {
    double bytes_in = 0, bytes_out = 0, messages_in = 0, messages_out = 0;
    std::size_t connections = 0;
};
struct Socket {
    std::uint64_t inode = 0;
    std::uint32_t local = 0, remote = 0;  // addresses, network order
    std::uint16_t local_port = 0, remote_port = 0;
    double bytes_in = 0, bytes_out = 0, messages_in = 0, messages_out = 0;
};
/// All established TCP connections (IPv4) of this machine by their cookies.
std::map<std::uint64_t, Socket> sockets();
/// Inodes of the sockets that a process holds.
std::set<std::uint64_t> held_sockets(pid_t pid);

/// Starts and ends. Everything that it started ends with it.
class Processes {
  public:
    Processes();
    ~Processes();
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;
    const std::string& folder() const { return folder_; }
    /// A program with MARTENFORD_CONFIG at `folder()/name.toml` and its output in `folder()/name.log`.
    pid_t start(const std::string& name, const std::string& program);
    /// The pid of a process forked by the caller, to be ended as well.
    void adopt(const std::string& name, pid_t pid) { running_[name] = pid; }
    void kill(const std::string& name);
    pid_t pid(const std::string& name) const { return running_.at(name); }
    std::string write(const std::string& name, const std::string& settings) const;

  private:
    std::string folder_;
    std::map<std::string, pid_t> running_;
};

/// One blocking HTTP call. Status 0: no answer within `timeout_s`.
struct Reply {
    int status = 0;
    std::string location;
};
Reply post(const std::string& ip, std::uint16_t port, const std::string& path, const std::string& body,
           int timeout_s);

}  // namespace martenford::scale_test
