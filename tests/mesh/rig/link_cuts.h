// Partitions processes on loopback, in both directions or one, without privileges: a socket filter that drops
// every packet is attached to sockets of the test's own child processes (pidfd_getfd(2), SO_ATTACH_FILTER).
// A cut resets no connection and answers no packet: the peers see silence, as behind an unplugged cable.
// Connections can also be reset, as by a machine between the two.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace martenford::rig {

class LinkCuts {
  public:
    /// Of the packets that are dropped, seen from the partitioned process.
    enum class Direction { In, Out, Both };

    /// `ports` are those of links between machines; other ports stay reachable. While a process is
    /// partitioned outwards, no new connection to a port of `blocked_listen_ports` is accepted on any
    /// machine: a listening socket's filter cannot tell whose packet it drops.
    LinkCuts(std::set<int> ports, std::set<int> blocked_listen_ports);
    /// Returns why partitions are not possible on this system; empty if they are.
    [[nodiscard]] static std::string unavailable_reason();
    /// Partitions a process. `all` are the processes of the test, its peers included.
    void cut(pid_t process, Direction direction, const std::vector<pid_t>& all);
    /// Ends the partition of a process.
    void restore(pid_t process, const std::vector<pid_t>& all);
    /// Resets the open links of a process, in both directions at once. Returns how many.
    std::size_t reset_connections(pid_t process);
    /// To be called every few milliseconds: filters connections that were opened since. Until then a new one
    /// of a process that is partitioned outwards, to a port that is not blocked, passes packets.
    void refresh(const std::vector<pid_t>& all);

  private:
    using SocketAddress = std::pair<std::uint32_t, std::uint16_t>;  // IPv4 address, port
    struct Socket {
        int descriptor = 0;  // in its process
        std::uint64_t inode = 0;
        SocketAddress local, remote;  // remote port 0: a listening socket
    };
    std::vector<Socket> sockets(pid_t process);
    static bool read_addresses(pid_t process, std::uint64_t inode, Socket& socket);
    void filter(pid_t process, const Socket& socket, bool drop);
    void filter_peers(pid_t process, const std::map<pid_t, std::vector<Socket>>& sockets_by_process,
                      const std::set<std::pair<SocketAddress, SocketAddress>>& peers);

    const std::set<int> ports_, blocked_listen_ports_;
    std::map<pid_t, Direction> partitioned_;
    std::map<std::pair<pid_t, std::uint64_t>, Socket> known_;  // by process and inode
    std::set<std::pair<pid_t, std::uint64_t>> filtered_;
};

}  // namespace martenford::rig
