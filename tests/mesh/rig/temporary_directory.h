// A directory for a controller's data that is removed with its owner.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace martenford::rig {

struct TemporaryDirectory {
    TemporaryDirectory() {
        std::string name = (std::filesystem::temp_directory_path() / "mesh-test-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(path); }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    [[nodiscard]] std::string database_file() const { return path + "/word.mdb"; }

    std::string path;
};

}  // namespace martenford::rig
