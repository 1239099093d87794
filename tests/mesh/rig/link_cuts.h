// Cuts the links of a process on loopback, both ways or one, without privileges: a socket filter that drops
// every packet is put on the sockets of the test's own children (pidfd_getfd(2), SO_ATTACH_FILTER). Nothing
// is reset and nothing answered: the peers see silence, as behind a cut cable.
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
    enum class Way { In, Out, Both };

    /// `ports` of links between machines; what else a process listens on stays reached. While a link is cut
    /// outwards, nobody connects anew to `shut` on any machine: there it can't be determined whose packet a
    /// connection attempt is.
    LinkCuts(std::set<int> ports, std::set<int> shut);
    /// Why it can't be done here; empty: it can.
    static std::string unable();
    void cut(pid_t process, Way way, const std::vector<pid_t>& all);
    void heal(pid_t process, const std::vector<pid_t>& all);
    /// To be called every few milliseconds: connections that came since are cut too. Until then a new one of
    /// a process that is cut outwards, to a port that is not shut, speaks.
    void refresh(const std::vector<pid_t>& all);

  private:
    using End = std::pair<std::uint32_t, std::uint16_t>;  // address and port
    struct Socket {
        int descriptor = 0;  // in its process
        std::uint64_t inode = 0;
        End local, remote;  // port 0: it listens
    };
    std::vector<Socket> sockets(pid_t process);
    void filter(pid_t process, const Socket& socket, bool drop);

    const std::set<int> ports_, shut_;
    std::map<pid_t, Way> cut_;
    std::map<std::pair<pid_t, std::uint64_t>, Socket> known_;
    std::set<std::pair<pid_t, std::uint64_t>> filtered_;
};

}  // namespace martenford::rig
