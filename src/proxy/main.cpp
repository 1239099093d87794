// martenford-proxy: start-up of the data plane's process.
#include <variant>
#include <vector>

#include "bootstrap/program.h"
#include "proxy/proxy.h"

namespace {

using martenford::bootstrap::ExitCode;
using martenford::bootstrap::RequiredSetting;
using martenford::bootstrap::Settings;

std::vector<RequiredSetting> required_settings(const Settings& settings) {
    return {{settings.inbound.has_value(), "listen_addrs.inbound"},
            {settings.outbound.has_value(), "listen_addrs.outbound"},
            {settings.readiness.has_value(), "listen_addrs.readiness"},
            {settings.control.has_value(), "listen_addrs.control"}};
}

}  // namespace

int main(int argc, char** argv) {
    const auto started = martenford::bootstrap::start_program(
        argc, argv, {"martenford-proxy", "the data plane, beside one endpoint", required_settings});
    if (const auto* exit_code = std::get_if<ExitCode>(&started)) return exit_code->value;
    martenford::proxy::Proxy proxy(std::get<Settings>(started));
    proxy.run();
    // Before the proxy is destroyed: without its handlers a late SIGHUP or SIGTERM would end the process by
    // the default action.
    martenford::bootstrap::exit_process(0);
}
