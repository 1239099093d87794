// martenford-proxy: start-up of the data plane's process.
#include <utility>
#include <variant>
#include <vector>

#include "bootstrap/listen.h"
#include "bootstrap/program.h"
#include "proxy/proxy.h"

namespace {

using martenford::ListeningSocket;
using martenford::PortSharing;
using martenford::bootstrap::ExitCode;
using martenford::bootstrap::ListenAddress;
using martenford::bootstrap::RequiredSetting;
using martenford::bootstrap::Settings;

std::vector<RequiredSetting> required_settings(const Settings& settings) {
    return {{settings.inbound.has_value(), "listen_addrs.inbound"},
            {settings.outbound.has_value(), "listen_addrs.outbound"},
            {settings.readiness.has_value(), "listen_addrs.readiness"},
            {settings.control.has_value(), "listen_addrs.control"}};
}

/// In the order of ProxySockets.
std::vector<ListenAddress> listen_addresses(const Settings& settings) {
    return {{"listen_addrs.outbound", *settings.outbound, PortSharing::WithSuccessor},
            {"listen_addrs.inbound", *settings.inbound, PortSharing::WithSuccessor},
            {"listen_addrs.control", *settings.control, PortSharing::WithSuccessor},
            {"listen_addrs.readiness", *settings.readiness, PortSharing::WithSuccessor}};
}

}  // namespace

// An exception is a lack of memory or of descriptors for the event loop: std::terminate() prints it, and the
// exit status is not 0.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    const auto started = martenford::bootstrap::start_program(
        argc, argv, {"martenford-proxy", "the data plane, beside one endpoint", required_settings});
    if (const auto* exit_code = std::get_if<ExitCode>(&started)) return exit_code->value;
    const auto& settings = std::get<Settings>(started);
    auto listening = martenford::bootstrap::listen_on(listen_addresses(settings));
    if (const auto* exit_code = std::get_if<ExitCode>(&listening)) return exit_code->value;
    auto& sockets = std::get<std::vector<ListeningSocket>>(listening);

    martenford::proxy::Proxy proxy(settings, {std::move(sockets[0]), std::move(sockets[1]),
                                              std::move(sockets[2]), std::move(sockets[3])});
    proxy.run();
    // Before the proxy is destroyed: without its handlers a late SIGHUP or SIGTERM would end the process by
    // the default action.
    martenford::bootstrap::exit_process(0);
}
