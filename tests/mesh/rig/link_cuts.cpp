#include "mesh/rig/link_cuts.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <system_error>

namespace martenford::rig {

namespace {

/// Closes a file descriptor at the end of its scope. A duplicate that stays open longer would keep the
/// connection open after its process has closed it.
class Descriptor {
  public:
    explicit Descriptor(long number) : number_(static_cast<int>(number)) {}
    ~Descriptor() {
        if (number_ >= 0) ::close(number_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int operator*() const { return number_; }

  private:
    int number_;
};

/// Returns a duplicate of another process's descriptor, or -1.
int duplicate_descriptor(pid_t process, int descriptor) {
    const Descriptor handle(::syscall(SYS_pidfd_open, process, 0));
    if (*handle < 0) return -1;
    return static_cast<int>(::syscall(SYS_pidfd_getfd, *handle, descriptor, 0));
}

/// Guards against a number that the process has given to another socket since
/// it was listed.
bool is_socket(int descriptor, std::uint64_t inode) {
    struct stat found {};
    return descriptor >= 0 && ::fstat(descriptor, &found) == 0 && found.st_ino == inode;
}

/// Attaches or detaches a filter that drops all packets. Returns false with errno set on failure.
bool set_drop_filter(int socket, bool drop) {
    const int unused = 0;
    if (!drop) return ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused) == 0;
    sock_filter drop_everything{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_everything};
    return ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

/// Ends a connection with a TCP reset, which its own process sees as well. Returns false if it is not open.
bool abort_connection(int socket) {
    sockaddr disconnect{};
    disconnect.sa_family = AF_UNSPEC;
    return ::connect(socket, &disconnect, sizeof disconnect) == 0;
}

}  // namespace

LinkCuts::LinkCuts(std::set<int> ports, std::set<int> blocked_listen_ports)
    : ports_(std::move(ports)), blocked_listen_ports_(std::move(blocked_listen_ports)) {}

std::string LinkCuts::unavailable_reason() {
    const Descriptor own(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const Descriptor duplicate(duplicate_descriptor(::getpid(), *own));
    if (*duplicate < 0 || !set_drop_filter(*duplicate, true) || !set_drop_filter(*duplicate, false))
        return std::strerror(errno);
    return {};
}

/// Reads the addresses of a socket. Returns false if it is closed, unbound, not IPv4 or still connecting.
bool LinkCuts::read_addresses(pid_t process, std::uint64_t inode, Socket& socket) {
    const Descriptor own(duplicate_descriptor(process, socket.descriptor));
    sockaddr_in local{}, remote{};
    socklen_t length = sizeof local;
    if (!is_socket(*own, inode) || ::getsockname(*own, reinterpret_cast<sockaddr*>(&local), &length) != 0 ||
        local.sin_family != AF_INET || local.sin_port == 0)
        return false;
    length = sizeof remote;
    int listens = 0;
    socklen_t size_of = sizeof listens;
    ::getsockopt(*own, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size_of);
    if (!listens && ::getpeername(*own, reinterpret_cast<sockaddr*>(&remote), &length) != 0) return false;
    socket.inode = inode;
    socket.local = {local.sin_addr.s_addr, ntohs(local.sin_port)};
    socket.remote = {remote.sin_addr.s_addr, ntohs(remote.sin_port)};
    return true;
}

std::vector<LinkCuts::Socket> LinkCuts::sockets(pid_t process) {
    std::vector<Socket> found;
    const std::string directory = "/proc/" + std::to_string(process) + "/fd";
    DIR* listing = ::opendir(directory.c_str());
    if (!listing) return found;
    while (const dirent* entry = ::readdir(listing)) {
        char target[64];
        const auto size = ::readlink((directory + "/" + entry->d_name).c_str(), target, sizeof target - 1);
        if (size <= 0) continue;
        target[size] = 0;
        if (std::strncmp(target, "socket:[", 8) != 0) continue;
        const std::uint64_t inode = std::strtoull(target + 8, nullptr, 10);
        Socket& socket = known_[{process, inode}];
        socket.descriptor = std::atoi(entry->d_name);
        if (socket.inode == 0 && !read_addresses(process, inode, socket)) continue;
        found.push_back(socket);
    }
    ::closedir(listing);
    return found;
}

void LinkCuts::filter(pid_t process, const Socket& socket, bool drop) {
    const std::pair key{process, socket.inode};
    if (drop == filtered_.contains(key)) return;
    const Descriptor own(duplicate_descriptor(process, socket.descriptor));
    if (!is_socket(*own, socket.inode)) return;  // closed since it was listed
    if (!set_drop_filter(*own, drop))
        throw std::system_error(errno, std::generic_category(), "socket filter");
    if (drop) {
        filtered_.insert(key);
    } else {
        filtered_.erase(key);
    }
}

void LinkCuts::cut(pid_t process, Direction direction, const std::vector<pid_t>& all) {
    partitioned_[process] = direction;
    refresh(all);
}

void LinkCuts::restore(pid_t process, const std::vector<pid_t>& all) {
    if (partitioned_.erase(process) == 0) return;
    for (const pid_t each : all)
        for (const Socket& socket : sockets(each)) filter(each, socket, false);
    filtered_.clear();
    known_.clear();
    refresh(all);  // the other partitions
}

std::size_t LinkCuts::reset_connections(pid_t process) {
    std::size_t count = 0;
    for (const Socket& socket : sockets(process)) {
        const bool is_listener = socket.remote.second == 0;
        const bool is_link = ports_.contains(socket.local.second) || ports_.contains(socket.remote.second);
        if (is_listener || !is_link) continue;
        const Descriptor own(duplicate_descriptor(process, socket.descriptor));
        if (is_socket(*own, socket.inode) && abort_connection(*own)) ++count;
    }
    return count;
}

void LinkCuts::refresh(const std::vector<pid_t>& all) {
    if (partitioned_.empty()) return;
    std::map<pid_t, std::vector<Socket>> sockets_by_process;
    for (const pid_t each : all) sockets_by_process[each] = sockets(each);
    for (const auto& [process, direction] : partitioned_) {
        std::set<std::pair<SocketAddress, SocketAddress>> peers;  // the other ends of its links
        for (const Socket& socket : sockets_by_process[process]) {
            if (!ports_.contains(socket.local.second) && !ports_.contains(socket.remote.second)) continue;
            if (direction != Direction::Out) filter(process, socket, true);
            if (socket.remote.second != 0) peers.insert({socket.remote, socket.local});
        }
        if (direction != Direction::In) filter_peers(process, sockets_by_process, peers);
    }
}

/// Filters the other ends of a process's links, and the listening sockets that must not accept its
/// connections.
void LinkCuts::filter_peers(pid_t process, const std::map<pid_t, std::vector<Socket>>& sockets_by_process,
                            const std::set<std::pair<SocketAddress, SocketAddress>>& peers) {
    for (const auto& [each, sockets_of] : sockets_by_process) {
        if (each == process) continue;
        for (const Socket& socket : sockets_of) {
            const bool blocked_listener =
                socket.remote.second == 0 && blocked_listen_ports_.contains(socket.local.second);
            if (blocked_listener || peers.contains({socket.local, socket.remote})) filter(each, socket, true);
        }
    }
}

}  // namespace martenford::rig
