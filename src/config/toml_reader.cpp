#include "config/toml_reader.h"

#include <fstream>

namespace martenford {

std::string read_toml_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string text;
    if (in) {
        text.resize(kMaxTomlFileBytes + 1);
        in.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(in.gcount()));
    }
    if (!in.eof() || in.bad()) {
        throw TomlError(fmt::format(
            "{}:1:1: {}", path,
            text.size() > kMaxTomlFileBytes ? "the file is over 1 MiB" : "the file can't be read"));
    }
    return text;
}

}  // namespace martenford
