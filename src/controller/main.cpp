// martenford-controller: the control plane's program.
#include <utility>
#include <variant>
#include <vector>

#include "bootstrap/listen.h"
#include "bootstrap/program.h"
#include "controller/controller.h"
#include "controller/register_storage.h"

namespace {

using namespace martenford;

bootstrap::ProgramDescription describe_program() {
    bootstrap::ProgramDescription program;
    program.name = "martenford-controller";
    program.summary = "the control plane";
    program.required_settings = [](const bootstrap::Settings& settings) {
        return std::vector<bootstrap::RequiredSetting>{{settings.control.has_value(), "listen_addrs.control"},
                                                       {!settings.data_directory.empty(), "data_directory"}};
    };
    return program;
}

controller::StartConditions start_conditions(const bootstrap::Settings& settings) {
    return {bootstrap::own_address(settings), bootstrap::seed_addresses(settings), settings.first_boot};
}

/// In the order of ControllerSockets.
std::vector<bootstrap::ListenAddress> listen_addresses(const bootstrap::Settings& settings) {
    return {{"internal_ports", *parse_address(bootstrap::own_address(settings)), PortSharing::Exclusive},
            {"listen_addrs.control", *settings.control, PortSharing::WithSuccessor}};
}

}  // namespace

// An exception is a lack of memory or of descriptors for the event loop: std::terminate() prints it, and the
// exit status is not 0.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    const auto started = bootstrap::start_program(argc, argv, describe_program());
    if (const auto* exit_code = std::get_if<bootstrap::ExitCode>(&started)) return exit_code->value;
    const auto& settings = std::get<bootstrap::Settings>(started);

    auto opened = controller::open_register(settings.data_directory, start_conditions(settings));
    if (const auto* exit_code = std::get_if<bootstrap::ExitCode>(&opened)) return exit_code->value;
    // Only then: nobody is to connect to a controller that waits for its disk.
    auto listening = bootstrap::listen_on(listen_addresses(settings));
    if (const auto* exit_code = std::get_if<bootstrap::ExitCode>(&listening)) return exit_code->value;
    auto& sockets = std::get<std::vector<ListeningSocket>>(listening);

    {
        controller::Controller controller(settings, std::get<controller::OpenedRegister>(std::move(opened)),
                                          {std::move(sockets[0]), std::move(sockets[1])});
        controller.run();
    }
    bootstrap::exit_process(0);
}
