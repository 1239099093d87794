#include "controller/first_boot_record.h"

#include <filesystem>
#include <fstream>
#include <system_error>

namespace martenford::controller {
namespace {

constexpr const char* kFirstLine = "first boot 1";
constexpr const char* kLastLine = "end";
/// More lines than that are not a record.
constexpr std::size_t kMaxSeeds = 64;

std::string path_in(const std::string& directory) {
    return directory + "/" + kFirstBootFileName;
}

}  // namespace

std::optional<FirstBootRecord> read_first_boot_record(const std::string& directory) {
    std::ifstream file(path_in(directory));
    std::string line;
    if (!std::getline(file, line) || line != kFirstLine) return std::nullopt;
    FirstBootRecord record;
    while (std::getline(file, line)) {
        if (line == kLastLine) return record;
        if (record.seed_addresses.size() == kMaxSeeds) return std::nullopt;
        record.seed_addresses.push_back(line);
    }
    return std::nullopt;
}

void write_first_boot_record(const std::string& directory, const FirstBootRecord& record) {
    std::string text = std::string(kFirstLine) + "\n";
    for (const std::string& address : record.seed_addresses) text += address + "\n";
    text += std::string(kLastLine) + "\n";
    const std::string temporary = path_in(directory) + ".new";
    std::ofstream(temporary, std::ios::trunc) << text;
    std::error_code ignored;
    std::filesystem::rename(temporary, path_in(directory), ignored);
}

void remove_first_boot_record(const std::string& directory) {
    std::error_code ignored;
    std::filesystem::remove(path_in(directory), ignored);
}

}  // namespace martenford::controller
