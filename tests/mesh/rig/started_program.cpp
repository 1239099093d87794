#include "mesh/rig/started_program.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace martenford::rig {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{2};

}  // namespace

StartedProgram::StartedProgram(const Machine& machine, const std::function<void()>& prepare) {
    std::string path = (std::filesystem::temp_directory_path() / "mesh-program-XXXXXX").string();
    directory_ = ::mkdtemp(path.data());
    std::filesystem::create_directory(data_directory());
    start(machine, prepare);
}

StartedProgram::~StartedProgram() {
    if (is_running()) {
        signal(SIGKILL);
        reap(0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void StartedProgram::start_again(const Machine& machine, const std::function<void()>& prepare) {
    start(machine, prepare);
}

void StartedProgram::start(const Machine& machine, const std::function<void()>& prepare) {
    write_settings(machine);
    const std::string log_path = directory_ + "/log";
    pid_ = ::fork();
    is_running_ = true;
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::setenv("MARTENFORD_CONFIG", settings_path().c_str(), 1);
    prepare();
    ::close_range(3, ~0U, 0);
    const char* program = program_of(machine);
    ::execl(program, program, static_cast<char*>(nullptr));
    ::_exit(127);
}

void StartedProgram::reap(int options) {
    if (::waitpid(pid_, &wait_status_, options) == pid_) is_running_ = false;
}

bool StartedProgram::is_running() {
    if (is_running_) reap(WNOHANG);
    return is_running_;
}

ExitStatus StartedProgram::wait_for_exit() {
    ExitStatus status;
    const auto give_up_at = steady_clock::now() + kMaxWait;
    while (is_running()) {
        if (status.in_time && steady_clock::now() > give_up_at) {
            status.in_time = false;
            signal(SIGKILL);
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    if (WIFEXITED(wait_status_)) status.code = WEXITSTATUS(wait_status_);
    if (WIFSIGNALED(wait_status_)) status.signal = WTERMSIG(wait_status_);
    return status;
}

ExitStatus StartedProgram::terminate() {
    signal(SIGTERM);
    return wait_for_exit();
}

bool StartedProgram::wait_for_log(const std::string& text, std::chrono::milliseconds limit) {
    const auto give_up_at = steady_clock::now() + limit;
    while (log().find(text) == std::string::npos) {
        if (!is_running() || steady_clock::now() > give_up_at) return log().find(text) != std::string::npos;
        std::this_thread::sleep_for(kPollInterval);
    }
    return true;
}

void StartedProgram::write_settings(const Machine& machine) const {
    std::ofstream(settings_path()) << settings_text(machine, data_directory());
}

void StartedProgram::truncate_settings() const {
    std::filesystem::resize_file(settings_path(), std::filesystem::file_size(settings_path()) / 2);
}

std::string StartedProgram::log() const {
    std::ifstream file(directory_ + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace martenford::rig
