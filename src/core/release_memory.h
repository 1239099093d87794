// Frees what a string has allocated. Neither clear() nor an assignment of {} or of an empty string does.
#pragma once

#include <string>

namespace martenford {

inline void release_memory(std::string& text) {
    std::string().swap(text);
}

}  // namespace martenford
