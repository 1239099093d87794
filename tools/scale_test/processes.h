// Child processes: started with settings files in a temporary folder, killed by their ids; what the kernel
// counts of them; HTTP calls to them. All calls block.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace martenford::scale_test {

/// What the kernel has counted of one process since its start (/proc/PID).
struct ProcessUsage {
    double processor_s = 0;  ///< of all its present threads
    double memory_mb = 0;    ///< resident
    double peak_mb = 0;      ///< the most that was resident
    double disk_bytes = 0;   ///< written
};
/// Zeros for what can't be read, as of a process that has exited.
[[nodiscard]] ProcessUsage read_process_usage(pid_t pid);
/// Whether a child process has exited. It is not reaped.
[[nodiscard]] bool has_exited(pid_t pid);

/// One end of an established IPv4 TCP connection with the kernel's counters (TCP_INFO). Bytes are payload
/// alone. Messages are segments with data: one message of the mesh is one segment here, unless it is longer
/// than 64 KB or several were written at once.
struct TcpEndpoint {
    std::uint64_t inode = 0;
    std::uint32_t local = 0, remote = 0;  ///< addresses in network byte order
    std::uint16_t local_port = 0, remote_port = 0;
    double bytes_in = 0, bytes_out = 0, messages_in = 0, messages_out = 0;
};
/// Those of all processes in this network namespace, by socket cookie. Throws std::runtime_error where the
/// kernel has no socket diagnostics (sock_diag(7)).
[[nodiscard]] std::map<std::uint64_t, TcpEndpoint> tcp_endpoints();
/// Inodes of the sockets that a process has open; empty if it can't be read.
[[nodiscard]] std::set<std::uint64_t> socket_inodes(pid_t pid);

/// Owns child processes by name, and a temporary folder for their files. Its destructor kills and reaps them
/// all and removes the folder.
class Processes {
  public:
    /// Throws std::runtime_error if there is no temporary folder.
    Processes();
    ~Processes();
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;
    const std::string& folder() const { return folder_; }
    /// Starts a program with MARTENFORD_CONFIG set to `folder()/name.toml` and its output appended to
    /// `folder()/name.log`. Throws std::runtime_error if it can't fork. The child is killed if this process
    /// ends.
    pid_t start(const std::string& name, const std::string& program);
    /// Takes over a child that the caller forked.
    void adopt(const std::string& name, pid_t pid) { running_[name] = pid; }
    /// Kills (SIGKILL) and reaps a child; does nothing for an unknown name.
    void kill(const std::string& name);
    /// Throws std::out_of_range for an unknown name.
    [[nodiscard]] pid_t pid(const std::string& name) const { return running_.at(name); }
    /// Writes `folder()/name.toml`.
    void write(const std::string& name, const std::string& settings) const;

  private:
    std::string folder_;
    std::map<std::string, pid_t> running_;
};

/// The answer to an HTTP call.
struct HttpReply {
    int status = 0;        ///< 0: no answer
    std::string location;  ///< host of the Location header, empty without one
};
/// Sends one POST with a JSON body on a connection of its own; each read and write waits `timeout_s` at most.
HttpReply http_post(const std::string& ip, std::uint16_t port, const std::string& path,
                    const std::string& body, int timeout_s);

}  // namespace martenford::scale_test
