#include "core/log.h"

#include <iostream>

namespace martenford {

void log(const std::string& line) {
    std::cerr << "martenford: " + line + "\n" << std::flush;
}

}  // namespace martenford
