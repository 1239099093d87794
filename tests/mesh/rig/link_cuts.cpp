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

/// A file descriptor that is closed again at once: open longer, it would keep the process's own close from
/// being seen by its peer.
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

int taken_from(pid_t process, int descriptor) {
    const Descriptor handle(::syscall(SYS_pidfd_open, process, 0));
    if (*handle < 0) return -1;
    return static_cast<int>(::syscall(SYS_pidfd_getfd, *handle, descriptor, 0));
}

/// Returns whether the descriptor is still this socket: the process may have reused its number since.
bool is_socket(int descriptor, std::uint64_t inode) {
    struct stat found {};
    return descriptor >= 0 && ::fstat(descriptor, &found) == 0 && found.st_ino == inode;
}

bool drop_all(int socket, bool drop) {
    const int unused = 0;
    if (!drop) return ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused) == 0;
    sock_filter keep_nothing{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &keep_nothing};
    return ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

}  // namespace

LinkCuts::LinkCuts(std::set<int> ports, std::set<int> shut)
    : ports_(std::move(ports)), shut_(std::move(shut)) {}

std::string LinkCuts::unable() {
    const Descriptor own(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const Descriptor taken(taken_from(::getpid(), *own));
    if (*taken < 0 || !drop_all(*taken, true) || !drop_all(*taken, false)) return std::strerror(errno);
    return {};
}

std::vector<LinkCuts::Socket> LinkCuts::sockets(pid_t process) {
    std::vector<Socket> all;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    DIR* listing = ::opendir(folder.c_str());
    if (!listing) return all;
    while (const dirent* entry = ::readdir(listing)) {
        char target[64];
        const auto size = ::readlink((folder + "/" + entry->d_name).c_str(), target, sizeof target - 1);
        if (size <= 0) continue;
        target[size] = 0;
        if (std::strncmp(target, "socket:[", 8) != 0) continue;
        const std::uint64_t inode = std::strtoull(target + 8, nullptr, 10);
        Socket& socket = known_[{process, inode}];
        socket.descriptor = std::atoi(entry->d_name);
        if (socket.inode == 0) {
            const Descriptor own(taken_from(process, socket.descriptor));
            sockaddr_in local{}, remote{};
            socklen_t length = sizeof local;
            if (!is_socket(*own, inode) ||
                ::getsockname(*own, reinterpret_cast<sockaddr*>(&local), &length) != 0 ||
                local.sin_family != AF_INET || local.sin_port == 0)
                continue;
            length = sizeof remote;
            int listens = 0;
            socklen_t size_of = sizeof listens;
            ::getsockopt(*own, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size_of);
            if (!listens && ::getpeername(*own, reinterpret_cast<sockaddr*>(&remote), &length) != 0)
                continue;  // it is being dialled
            socket.inode = inode;
            socket.local = {local.sin_addr.s_addr, ntohs(local.sin_port)};
            socket.remote = {remote.sin_addr.s_addr, ntohs(remote.sin_port)};
        }
        all.push_back(socket);
    }
    ::closedir(listing);
    return all;
}

void LinkCuts::filter(pid_t process, const Socket& socket, bool drop) {
    const std::pair key{process, socket.inode};
    if (drop == filtered_.contains(key)) return;
    const Descriptor own(taken_from(process, socket.descriptor));
    if (!is_socket(*own, socket.inode)) return;  // it was closed meanwhile
    if (!drop_all(*own, drop)) throw std::system_error(errno, std::generic_category(), "socket filter");
    if (drop) {
        filtered_.insert(key);
    } else {
        filtered_.erase(key);
    }
}

void LinkCuts::cut(pid_t process, Way way, const std::vector<pid_t>& all) {
    cut_[process] = way;
    refresh(all);
}

void LinkCuts::heal(pid_t process, const std::vector<pid_t>& all) {
    if (cut_.erase(process) == 0) return;
    for (const pid_t each : all)
        for (const Socket& socket : sockets(each)) filter(each, socket, false);
    filtered_.clear();
    known_.clear();
    refresh(all);  // what others still want cut
}

void LinkCuts::refresh(const std::vector<pid_t>& all) {
    if (cut_.empty()) return;
    std::map<pid_t, std::vector<Socket>> held;
    for (const pid_t each : all) held[each] = sockets(each);
    for (const auto& [process, way] : cut_) {
        std::set<std::pair<End, End>> peers;  // the other ends of its links
        for (const Socket& socket : held[process]) {
            if (!ports_.contains(socket.local.second) && !ports_.contains(socket.remote.second)) continue;
            if (way != Way::Out) filter(process, socket, true);
            if (socket.remote.second != 0) peers.insert({socket.remote, socket.local});
        }
        if (way == Way::In) continue;
        for (const auto& [each, sockets_of] : held) {
            if (each == process) continue;
            for (const Socket& socket : sockets_of) {
                const bool listens_shut = socket.remote.second == 0 && shut_.contains(socket.local.second);
                if (listens_shut || peers.contains({socket.local, socket.remote})) filter(each, socket, true);
            }
        }
    }
}

}  // namespace martenford::rig
