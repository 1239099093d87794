// martenford-controller: the control plane's program.
#include <variant>
#include <vector>

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

}  // namespace

// An exception is a port that can't be listened on: std::terminate() prints it, and the exit status is not 0.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    const auto started = bootstrap::start_program(argc, argv, describe_program());
    if (const auto* exit_code = std::get_if<bootstrap::ExitCode>(&started)) return exit_code->value;
    const auto& settings = std::get<bootstrap::Settings>(started);

    {
        controller::Controller controller(
            settings, controller::open_register(settings.data_directory, start_conditions(settings)));
        controller.run();
    }
    bootstrap::exit_process(0);
}
