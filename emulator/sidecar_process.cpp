#include "emulator/sidecar_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>
#include <vector>

extern char** environ;

namespace martenford::emulator {

namespace {

constexpr std::size_t kMostLine = 64 * 1024;  // of log; what goes on for longer is cut

void write_whole(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::trunc);
    out << text;
    if (!out.flush()) throw std::runtime_error(path + ": can't be written");
}

/// This process's variables, with what a sidecar reads replaced by the one path.
std::vector<std::string> variables(const std::string& config_path, const std::string& own_path,
                                   const std::string& directory) {
    std::vector<std::string> result;
    for (char** entry = environ; *entry; ++entry) {
        const std::string variable = *entry;
        // Without the TMPDIR of this process: plays side by side have sidecars of one name.
        if (!variable.starts_with("PROXY_") && !variable.starts_with("MARTENFORD_") &&
            !variable.starts_with("TMPDIR="))
            result.push_back(variable);
    }
    result.push_back("PROXY_CONFIG=" + config_path);
    if (!own_path.empty()) result.push_back("MARTENFORD_CONFIG=" + own_path);
    if (!directory.empty()) result.push_back("TMPDIR=" + directory);
    return result;
}

}  // namespace

SidecarProcess::SidecarProcess(EventLoop& loop, std::string config_path, Line line)
    : loop_(loop), config_path_(std::move(config_path)), line_(std::move(line)), log_(loop.io()) {}

std::shared_ptr<SidecarProcess> SidecarProcess::start(EventLoop& loop, const std::string& program,
                                                      const std::string& folder, const std::string& name,
                                                      const std::string& config, const std::string& own,
                                                      Line line, const std::string& directory) {
    const auto self = std::make_shared<SidecarProcess>(loop, folder + "/" + name + ".json", std::move(line));
    write_whole(self->config_path_, config);
    if (!own.empty()) {
        self->own_path_ = folder + "/" + name + ".toml";
        write_whole(self->own_path_, own);
    }
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe for the log of " + name);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
    // Guards against a sidecar that holds the emulator's sockets open when it closes them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string path = program;
    char* arguments[] = {path.data(), nullptr};
    std::vector<std::string> texts = variables(self->config_path_, self->own_path_, directory);
    std::vector<char*> environment;
    for (std::string& text : texts) environment.push_back(text.data());
    environment.push_back(nullptr);
    const int fault =
        posix_spawnp(&self->pid_, program.c_str(), &actions, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    if (fault != 0) {
        ::close(ends[0]);
        self->pid_ = 0;
        throw std::runtime_error("'" + program + "' can't be started");
    }
    self->log_.assign(ends[0]);
    self->read();
    return self;
}

SidecarProcess::~SidecarProcess() {
    kill();
    if (pid_ > 0) waitpid(pid_, nullptr, 0);
    std::remove(config_path_.c_str());
    if (!own_path_.empty()) std::remove(own_path_.c_str());
}

void SidecarProcess::kill() {
    killed_ = true;
    if (pid_ > 0) ::kill(pid_, SIGKILL);
}

void SidecarProcess::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}
void SidecarProcess::terminate() const {
    signal(SIGTERM);
}
void SidecarProcess::pause() const {
    signal(SIGSTOP);
}
void SidecarProcess::wake() const {
    signal(SIGCONT);
}

void SidecarProcess::take(const std::string& line) {
    const auto after = [&line](std::string_view says, Address& into) {
        const auto at = line.find(says);
        if (at == std::string::npos) return;
        const std::string rest = line.substr(at + says.size());
        if (const auto address = parse_address(rest.substr(0, rest.find(' ')))) into = *address;
    };
    after("listening on ", address_);
    after("operators call at ", console_);
    after("': listens at ", fleet_);
}

void SidecarProcess::reload(const std::string& config) {
    if (pid_ <= 0) return;
    const std::string fresh = config_path_ + ".new";
    write_whole(fresh, config);
    if (std::rename(fresh.c_str(), config_path_.c_str()) != 0) {
        throw std::runtime_error(config_path_ + ": can't be replaced");
    }
    ::kill(pid_, SIGHUP);
}

bool SidecarProcess::ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
}

void SidecarProcess::read() {
    log_.async_read_some(boost::asio::buffer(chunk_),
                         [weak = weak_from_this()](const auto& error, std::size_t size) {
                             const auto self = weak.lock();
                             if (!self || error) return;
                             self->pending_.append(self->chunk_.data(), size);
                             if (self->pending_.size() > kMostLine) self->pending_ += '\n';
                             for (std::size_t end; (end = self->pending_.find('\n')) != std::string::npos;) {
                                 const std::string line = self->pending_.substr(0, end);
                                 self->pending_.erase(0, end + 1);
                                 self->take(line);
                                 if (self->line_) self->line_(line);
                             }
                             self->read();
                         });
}

}  // namespace martenford::emulator
