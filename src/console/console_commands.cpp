#include "console/console_commands.h"

namespace martenford {

std::string ConsoleCommands::reply(std::string_view line) const {
    constexpr std::string_view kBlank = " \t\r";
    const auto first = line.find_first_not_of(kBlank);
    if (first == line.npos) return "NO call: the line is empty\n";
    line = line.substr(first, line.find_last_not_of(kBlank) + 1 - first);
    if (line == "readyz") return operations_.ready() ? "YES\n" : "NO not ready\n";
    if (line == "telemetry") return operations_.telemetry() + "END\n";
    if (line == "evacuate") return operations_.evacuate() ? "YES\n" : "NO the process is ending\n";
    if (line == "activate") return operations_.activate() ? "YES\n" : "NO the process is ending\n";
    if (operations_.extra) {
        if (const auto lines = operations_.extra(line)) return *lines + "END\n";
    }
    return "NO such call; there are readyz, telemetry, evacuate, activate\n";
}

}  // namespace martenford
