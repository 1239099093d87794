#include "controller/first_boot_record.h"

#include <fstream>

#include "durable_store/durable_file.h"

namespace martenford::controller {
namespace {

using durable_store::StorageError;

constexpr const char* kFirstLine = "first boot 1";
constexpr const char* kLastLine = "end";
/// More lines than that are not a record.
constexpr std::size_t kMaxSeeds = 64;

std::string path_in(const std::string& directory) {
    return directory + "/" + kFirstBootFileName;
}

/// @param operation a string literal
std::optional<StorageError> error_of(std::string_view operation, int code) {
    if (code == 0) return std::nullopt;
    return durable_store::storage_error(operation, code);
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

std::optional<StorageError> write_first_boot_record(const std::string& directory,
                                                    const FirstBootRecord& record) {
    std::string text = std::string(kFirstLine) + "\n";
    for (const std::string& address : record.seed_addresses) text += address + "\n";
    text += std::string(kLastLine) + "\n";
    return error_of("first boot record", durable_store::replace_file(directory, kFirstBootFileName, text));
}

std::optional<StorageError> remove_first_boot_record(const std::string& directory) {
    return error_of("first boot record", durable_store::remove_file(directory, kFirstBootFileName));
}

}  // namespace martenford::controller
