// Starts of real programs in surroundings that are not as they should be: ports that somebody holds, standard
// streams that are closed or that nobody reads, limits, a disk or settings that come late. A program waits,
// or ends with one line that says why; it is never ended by its surroundings.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/address.h"
#include "mesh/rig/started_program.h"

using namespace martenford;
using namespace martenford::rig;
using namespace std::chrono_literals;

namespace {

const std::string kListening = "MG101";

/// Short, so that each end in order is.
const std::string kBounds = "bounds = [\"drain_ms=100\", \"grace_s=1\"]\n";

Machine controller() {
    const std::string ip = Processes::ip(1);
    return {.name = "controller", .ip = ip, .seeds = {at(ip, Port::Control)}, .top = kBounds};
}

Machine proxy() {
    return {.name = "proxy",
            .ip = Processes::ip(2),
            .seeds = {at(Processes::ip(1), Port::Control)},
            .service = "s",
            .top = kBounds};
}

std::vector<Machine> both_programs() {
    return {controller(), proxy()};
}

class Descriptor {
  public:
    explicit Descriptor(int number) : number_(number) {}
    Descriptor(Descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
    Descriptor& operator=(Descriptor&&) = delete;
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    ~Descriptor() { close(); }

    [[nodiscard]] int number() const { return number_; }
    void close() {
        if (number_ >= 0) ::close(std::exchange(number_, -1));
    }

  private:
    int number_;
};

struct Pipe {
    Descriptor reader;
    Descriptor writer;
};

Pipe open_pipe() {
    std::array<int, 2> ends{};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
    return {Descriptor(ends[0]), Descriptor(ends[1])};
}

void fill(int pipe) {
    const std::string page(4096, 'x');
    ::fcntl(pipe, F_SETFL, O_NONBLOCK);
    while (::write(pipe, page.data(), page.size()) > 0) {
    }
    ::fcntl(pipe, F_SETFL, 0);
}

/// Whether an HTTP request is answered within 1 s, whatever the answer is.
bool answers(const std::string& address) {
    const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{1, 0};
    ::setsockopt(socket.number(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const Address to = *parse_address(address);
    if (::connect(socket.number(), to.data(), static_cast<socklen_t>(to.size())) != 0) return false;
    const std::string request = "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n";
    ::send(socket.number(), request.data(), request.size(), MSG_NOSIGNAL);
    char byte = 0;
    return ::recv(socket.number(), &byte, 1, 0) == 1;
}

bool wait_until_it_serves(StartedProgram& program, const std::string& address) {
    const auto give_up_at = std::chrono::steady_clock::now() + StartedProgram::kMaxWait;
    while (!answers(address)) {
        if (!program.is_running() || std::chrono::steady_clock::now() > give_up_at) return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

void check_ended_in_order(const ExitStatus& status) {
    CHECK(status.in_time);
    CHECK(status.code == 0);
    CHECK(status.signal == 0);
}

}  // namespace

// Guards against an end at the start where a machine near its limit of threads refuses another one.
TEST_CASE("start: a program has one thread") {
    for (const Machine& machine : both_programs()) {
        CAPTURE(machine.name);
        StartedProgram program(machine);
        REQUIRE(program.wait_for_log(kListening));
        const std::filesystem::directory_iterator threads("/proc/" + std::to_string(program.pid()) + "/task");
        CHECK(std::distance(begin(threads), end(threads)) == 1);
        check_ended_in_order(program.terminate());
    }
}

// Guards against an end by SIGPIPE when the log's reader goes away.
TEST_CASE("log: a program outlives the reader of its standard error") {
    for (const Machine& machine : both_programs()) {
        CAPTURE(machine.name);
        Pipe log = open_pipe();
        StartedProgram program(machine, [&] { ::dup2(log.writer.number(), STDERR_FILENO); });
        log.writer.close();
        REQUIRE(wait_until_it_serves(program, at(machine.ip, Port::Control)));
        log.reader.close();
        check_ended_in_order(program.terminate());
    }
}

// Guards against a program that stands still, with no port open, since nobody reads its log.
TEST_CASE("log: a program serves though nobody reads its standard error") {
    for (const Machine& machine : both_programs()) {
        CAPTURE(machine.name);
        const Pipe log = open_pipe();
        fill(log.writer.number());
        StartedProgram program(machine, [&] { ::dup2(log.writer.number(), STDERR_FILENO); });
        CHECK(wait_until_it_serves(program, at(machine.ip, Port::Control)));
        check_ended_in_order(program.terminate());
    }
}

// Guards against lines of log in the data file.
TEST_CASE("start: closed standard streams are not taken by files and sockets") {
    for (const Machine& machine : both_programs()) {
        CAPTURE(machine.name);
        StartedProgram program(machine, [] { ::close_range(STDIN_FILENO, STDERR_FILENO, 0); });
        REQUIRE(wait_until_it_serves(program, at(machine.ip, Port::Control)));
        for (const char* stream : {"0", "1", "2"}) {
            const std::string path = "/proc/" + std::to_string(program.pid()) + "/fd/" + stream;
            CHECK(std::filesystem::read_symlink(path) == "/dev/null");
        }
        check_ended_in_order(program.terminate());
    }
}
