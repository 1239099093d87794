#include "mesh/rig/control_calls.h"

#include <sys/socket.h>

#include <array>
#include <cstdlib>
#include <thread>

#include "core/address.h"
#include "mesh/rig/descriptor.h"

namespace martenford::rig {

using namespace std::chrono_literals;

int status_of(const std::string& address, const std::string& request) {
    const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{1, 0};
    ::setsockopt(socket.number(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const Address to = *parse_address(address);
    if (::connect(socket.number(), to.data(), static_cast<socklen_t>(to.size())) != 0) return 0;
    ::send(socket.number(), request.data(), request.size(), MSG_NOSIGNAL);
    std::array<char, 13> head{};  // "HTTP/1.1 200" and the terminator
    if (::recv(socket.number(), head.data(), 12, MSG_WAITALL) != 12) return 0;
    return std::atoi(head.data() + 9);
}

bool answers(const std::string& address) {
    return status_of(address, "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n") != 0;
}

bool accepts_first_configuration(const std::vector<Machine>& controllers, std::chrono::milliseconds limit) {
    const std::string body =
        R"({"version":"00000001","base_version":"00000000","listeners":[],"clusters":[]})";
    const std::string request =
        "POST /v1/configuration/replace HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto give_up_at = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < give_up_at) {
        for (const Machine& machine : controllers) {
            if (status_of(at(machine.ip, Port::Control), request) == 200) return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

std::vector<Machine> three_controllers(const std::string& top) {
    std::vector<Machine> machines;
    for (const std::size_t host : {11, 12, 13}) {
        machines.push_back({.name = "c" + std::to_string(host), .ip = Processes::ip(host), .top = top});
    }
    for (Machine& machine : machines) {
        for (const Machine& seed : machines) machine.seeds.push_back(at(seed.ip, Port::Control));
    }
    return machines;
}

}  // namespace martenford::rig
