// scale_test: measures what each role of the mesh stores, sends and spends, by the size of the mesh. It runs
// real controllers on loopback addresses, and beside them simulated proxies (and real ones, to compare).
// Bounded in count and time; ends the processes that it started. tools/capacity runs it for docs/CAPACITY.md.
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "load.h"
#include "options.h"
#include "phases.h"
#include "report.h"

namespace martenford::scale_test {
namespace {

/// Share of the machine's memory that must be available for a step to begin.
constexpr double kMinAvailableMemory = 0.5;
/// One step past the first that missed the target shows how the load goes on; more show nothing.
constexpr int kMaxMissedSteps = 2;

/// Options with the programs built beside this one.
Options default_options() {
    Options options;
    const auto here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    for (const auto& folder : {here, here.parent_path()}) {
        if (options.controller.empty() && std::filesystem::exists(folder / "martenford-controller"))
            options.controller = folder / "martenford-controller";
        if (options.proxy.empty() && std::filesystem::exists(folder / "martenford-proxy"))
            options.proxy = folder / "martenford-proxy";
    }
    return options;
}

bool has_enough_memory() {
    std::ifstream meminfo("/proc/meminfo");
    std::map<std::string, double> kilobytes;
    std::string name, unit;
    for (double value = 0; meminfo >> name >> value && std::getline(meminfo, unit);) kilobytes[name] = value;
    return kilobytes["MemAvailable:"] >= kMinAvailableMemory * kilobytes["MemTotal:"];
}

/// The size of each step, in their order: the number of proxies changes first.
std::vector<StepSize> step_sizes(const Options& options) {
    std::vector<StepSize> out;
    for (const auto controllers : options.controllers) {
        for (const auto services : options.services) {
            for (const auto routes : options.routes) {
                for (const auto proxies : options.proxies)
                    out.push_back({proxies, options.real, controllers, {services, routes, options.tenants}});
            }
        }
    }
    return out;
}

/// Runs the steps until the time is up or the target was missed too often; names those not run.
Report run_steps(const Options& options) {
    const auto started_at = Clock::now();
    Report report;
    int missed = 0;
    for (const StepSize& size : step_sizes(options)) {
        if (missed >= kMaxMissedSteps || to_seconds(Clock::now() - started_at) > options.max_run_s) {
            std::cerr << size.proxies << " proxies: not run\n";
        } else if (!has_enough_memory()) {
            std::cerr << size.proxies << " proxies: not run, the machine's memory is taken\n";
        } else if (run_step(options, size, report) == Target::Missed) {
            ++missed;
        }
    }
    return report;
}

void print(const Report& report) {
    std::cout << "Load by role (a proxy's: the mean of all)\n" << report.loads().text();
    std::cout << "\nEvents; costs are those of one, beyond the idle mesh's\n" << report.events().text();
    if (const Table slopes = report.slopes(); !slopes.rows.empty())
        std::cout << "\nSlopes of the idle mesh by proxies\n" << slopes.text();
}

/// Appends the table's rows to a file; a new file gets the column names first.
void append_tsv(const std::string& path, const Table& table) {
    const bool is_new = !std::filesystem::exists(path);
    std::ofstream(path, std::ios::app) << table.tsv(is_new);
}

/// Returns the exit status: 0 also for steps that missed the target, 2 for a command line that is not valid.
int run(int argc, char** argv) {
    const auto parsed = parse_options(argc, argv, default_options());
    if (std::holds_alternative<HelpRequest>(parsed)) {
        std::cout << help_text();
        return 0;
    }
    if (const auto* error = std::get_if<UsageError>(&parsed)) {
        if (error->message.empty()) {
            std::cerr << help_text();
        } else {
            std::cerr << "scale_test: " << error->message << '\n';
        }
        return 2;
    }
    const auto& options = std::get<Options>(parsed);
    const Report report = run_steps(options);
    print(report);
    if (!options.tsv.empty()) {
        append_tsv(options.tsv + "-loads.tsv", report.loads());
        append_tsv(options.tsv + "-events.tsv", report.events());
    }
    return 0;
}

}  // namespace
}  // namespace martenford::scale_test

int main(int argc, char** argv) try {
    return martenford::scale_test::run(argc, argv);
} catch (const std::exception& error) {
    std::cerr << "scale_test: " << error.what() << '\n';
    return 1;
}
