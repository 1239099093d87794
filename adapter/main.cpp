#include <iostream>

#include "host.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return martenford::decision::wire::serve(std::cin, std::cout, std::cerr);
}
