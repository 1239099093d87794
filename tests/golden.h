// Golden files: bytes that an earlier commit of this program wrote and that every later one must read, and
// write again alike. With MARTENFORD_WRITE_GOLDEN set the tests that compare write the files first. That is
// for a new fixture alone; a fixture that is there is never made anew to make a failing test pass.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace golden {

inline bool writes() {
    return std::getenv("MARTENFORD_WRITE_GOLDEN") != nullptr;
}

/// The bytes that are kept at `path`; where fixtures are written, `now` is put there first.
inline std::string kept(const std::string& path, const std::string& now) {
    if (writes()) std::ofstream(path, std::ios::binary) << now;
    std::ifstream file(path, std::ios::binary);
    if (!file) throw std::runtime_error("no fixture " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}
inline std::string kept(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw std::runtime_error("no fixture " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// A temporary directory; with a path, that holds a copy of the files there.
struct Folder {
    Folder() {
        std::string path = (std::filesystem::temp_directory_path() / "golden-XXXXXX").string();
        if (!::mkdtemp(path.data())) throw std::runtime_error("no temporary directory");
        at = path;
    }
    explicit Folder(const std::string& from) : Folder() { std::filesystem::copy(from, at); }
    ~Folder() { std::filesystem::remove_all(at); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    std::string at;
};

/// Puts the files of `from` in place of those of the fixture's directory.
inline void put_directory(const std::string& from, const std::string& fixture) {
    std::filesystem::remove_all(fixture);
    std::filesystem::create_directories(fixture);
    std::filesystem::copy(from, fixture);
}

}  // namespace golden
