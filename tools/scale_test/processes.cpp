#include "processes.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace martenford::scale_test {

namespace {

constexpr int kTcpEstablished = 1;                       // TCP_ESTABLISHED of the kernel's tcp_states.h
constexpr std::size_t kNetlinkBufferBytes = 256 * 1024;  // a dump comes in parts of at most 32 KB

std::string proc(pid_t pid, const char* what) {
    return "/proc/" + std::to_string(pid) + "/" + what;
}

/// Closes a file descriptor.
class Descriptor {
  public:
    explicit Descriptor(int fd) : fd_(fd) {}
    ~Descriptor() {
        if (fd_ >= 0) ::close(fd_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int get() const { return fd_; }

  private:
    int fd_;
};

/// Asks the kernel for all established IPv4 TCP sockets with their TCP_INFO.
void request_dump(int link) {
    struct {
        nlmsghdr head;
        inet_diag_req_v2 body;
    } request{};
    request.head.nlmsg_len = sizeof request;
    request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.head.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    request.body.sdiag_family = AF_INET;
    request.body.sdiag_protocol = IPPROTO_TCP;
    request.body.idiag_states = 1u << kTcpEstablished;
    request.body.idiag_ext = 1u << (INET_DIAG_INFO - 1);
    if (::send(link, &request, sizeof request, 0) < 0) throw std::runtime_error("no socket diagnostics");
}

/// Reads one message of the dump; `diag` is its payload, followed by the attributes.
TcpEndpoint parse_endpoint(const nlmsghdr& head, const inet_diag_msg& diag) {
    TcpEndpoint out;
    out.inode = diag.idiag_inode;
    out.local = diag.id.idiag_src[0];
    out.remote = diag.id.idiag_dst[0];
    out.local_port = ntohs(diag.id.idiag_sport);
    out.remote_port = ntohs(diag.id.idiag_dport);
    int left = static_cast<int>(head.nlmsg_len - NLMSG_LENGTH(sizeof diag));
    for (const auto* attribute = reinterpret_cast<const rtattr*>(&diag + 1); RTA_OK(attribute, left);
         attribute = RTA_NEXT(attribute, left)) {
        if (attribute->rta_type != INET_DIAG_INFO) continue;
        tcp_info info{};
        std::memcpy(&info, RTA_DATA(attribute), std::min(sizeof info, RTA_PAYLOAD(attribute)));
        out.bytes_in = static_cast<double>(info.tcpi_bytes_received);
        out.bytes_out = static_cast<double>(info.tcpi_bytes_acked);
        out.messages_in = info.tcpi_data_segs_in;
        out.messages_out = info.tcpi_data_segs_out;
    }
    return out;
}

}  // namespace

ProcessUsage read_process_usage(pid_t pid) {
    ProcessUsage out;
    std::error_code error;
    for (const auto& task : std::filesystem::directory_iterator(proc(pid, "task"), error)) {
        std::ifstream file(task.path() / "schedstat");
        double ns = 0;
        if (file >> ns) out.processor_s += ns / 1e9;
    }
    std::ifstream status(proc(pid, "status"));
    for (std::string line; std::getline(status, line);) {
        std::istringstream words(line);
        std::string name;
        double kb = 0;
        words >> name >> kb;
        if (name == "VmRSS:") out.memory_mb = kb / 1024;
        if (name == "VmHWM:") out.peak_mb = kb / 1024;
    }
    std::ifstream io(proc(pid, "io"));
    for (std::string name; io >> name;) {
        double value = 0;
        io >> value;
        if (name == "write_bytes:") out.disk_bytes = value;
    }
    return out;
}

bool has_exited(pid_t pid) {
    siginfo_t info{};
    // WNOWAIT: not reaped, so that no other process gets its id.
    return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
           info.si_pid != 0;
}

std::map<std::uint64_t, TcpEndpoint> tcp_endpoints() {
    std::map<std::uint64_t, TcpEndpoint> out;
    const Descriptor link(::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG));
    if (link.get() < 0) throw std::runtime_error("no socket diagnostics on this system");
    request_dump(link.get());
    std::vector<char> buffer(kNetlinkBufferBytes);
    for (;;) {
        const auto size = ::recv(link.get(), buffer.data(), buffer.size(), 0);
        if (size <= 0) return out;
        auto left = static_cast<unsigned>(size);
        for (auto* head = reinterpret_cast<nlmsghdr*>(buffer.data()); NLMSG_OK(head, left);
             head = NLMSG_NEXT(head, left)) {
            if (head->nlmsg_type == NLMSG_DONE || head->nlmsg_type == NLMSG_ERROR) return out;
            const auto* diag = static_cast<const inet_diag_msg*>(NLMSG_DATA(head));
            const auto cookie =
                static_cast<std::uint64_t>(diag->id.idiag_cookie[1]) << 32 | diag->id.idiag_cookie[0];
            out[cookie] = parse_endpoint(*head, *diag);
        }
    }
}

std::set<std::uint64_t> socket_inodes(pid_t pid) {
    std::set<std::uint64_t> out;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(proc(pid, "fd"), error)) {
        std::error_code gone;
        const std::string to = std::filesystem::read_symlink(entry.path(), gone).string();
        if (to.starts_with("socket:[")) out.insert(std::strtoull(to.c_str() + 8, nullptr, 10));
    }
    return out;
}

Processes::Processes() {
    std::string path = (std::filesystem::temp_directory_path() / "scale_test-XXXXXX").string();
    if (!::mkdtemp(path.data())) throw std::runtime_error("no temporary directory");
    folder_ = path;
}

Processes::~Processes() {
    while (!running_.empty()) kill(std::string(running_.begin()->first));
    std::error_code error;
    std::filesystem::remove_all(folder_, error);
}

void Processes::write(const std::string& name, const std::string& settings) const {
    std::ofstream(folder_ + "/" + name + ".toml") << settings;
}

pid_t Processes::start(const std::string& name, const std::string& program) {
    const std::string config = folder_ + "/" + name + ".toml", log = folder_ + "/" + name + ".log";
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("can't start " + name);
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no child outlives a run that crashes
        const int to = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(to, 1);
        ::dup2(to, 2);
        ::setenv("MARTENFORD_CONFIG", config.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    return running_[name] = pid;
}

void Processes::kill(const std::string& name) {
    const auto it = running_.find(name);
    if (it == running_.end()) return;
    ::kill(it->second, SIGKILL);
    ::waitpid(it->second, nullptr, 0);
    running_.erase(it);
}

HttpReply http_post(const std::string& ip, std::uint16_t port, const std::string& path,
                    const std::string& body, int timeout_s) {
    const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{timeout_s, 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    if (::inet_pton(AF_INET, ip.c_str(), &to.sin_addr) != 1) return {};
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return {};
    const std::string call =
        "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    for (std::size_t sent = 0; sent < call.size();) {
        const auto size = ::send(socket.get(), call.data() + sent, call.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) return {};
        sent += static_cast<std::size_t>(size);
    }
    std::string got;
    char buffer[4096];
    for (ssize_t size; (size = ::recv(socket.get(), buffer, sizeof buffer, 0)) > 0;)
        got.append(buffer, static_cast<std::size_t>(size));
    HttpReply reply;
    if (!got.starts_with("HTTP/1.1 ")) return reply;
    reply.status = std::atoi(got.c_str() + 9);
    constexpr std::string_view kField = "Location: http://";
    if (const auto at = got.find(kField); at != std::string::npos) {
        const auto from = at + kField.size();
        reply.location = got.substr(from, got.find_first_of(":/", from) - from);
    }
    return reply;
}

}  // namespace martenford::scale_test
