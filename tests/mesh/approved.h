// Approval tests: the transcript of a test must equal the approved file of its name. With MARTENFORD_APPROVE
// set the files are rewritten instead; review the difference before committing it.
#pragma once

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

/// Checks `text` against approved/<name>.txt.
inline void approve(const std::string& name, const std::string& text) {
    const std::string path = std::string(APPROVED_DIR) + "/" + name + ".txt";
    if (std::getenv("MARTENFORD_APPROVE")) {
        std::ofstream(path) << text;
        return;
    }
    std::ifstream file(path);
    std::stringstream approved;
    approved << file.rdbuf();
    CHECK(approved.str() == text);
}
