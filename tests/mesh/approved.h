// Transcripts that were read and approved: a test runs an exchange, and its transcript must equal the file.
// With MARTENFORD_APPROVE set the files are written anew, to be read before they are committed.
#pragma once

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

inline void approve(const std::string& name, const std::string& text) {
    const std::string path = std::string(APPROVED_DIR) + "/" + name + ".txt";
    if (std::getenv("MARTENFORD_APPROVE")) {
        std::ofstream(path) << text;
        return;
    }
    std::ifstream file(path);
    std::stringstream held;
    held << file.rdbuf();
    CHECK(held.str() == text);
}
