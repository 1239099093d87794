#include "mesh/rig/store_damage.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace martenford::rig {

std::string damaged(std::string image, Damage damage, std::mt19937_64& random) {
    const auto below = [&random](std::size_t end) { return static_cast<std::size_t>(random() % end); };
    const std::size_t pages = image.size() / kStorePageBytes;
    const std::size_t page = below(pages) * kStorePageBytes;
    const std::size_t other = below(pages) * kStorePageBytes;
    const auto randomize = [&](std::size_t begin, std::size_t end) {
        for (std::size_t i = begin; i < end; ++i) image[i] = static_cast<char>(below(256));
    };
    switch (damage) {
        case Damage::FlippedBits:
            for (std::size_t n = 1 + below(20); n > 0; --n) image[below(image.size())] ^= 1 << below(8);
            break;
        case Damage::RandomPage:
            randomize(page, page + kStorePageBytes);
            break;
        case Damage::ZeroPage:
            std::fill_n(image.begin() + static_cast<std::ptrdiff_t>(page), kStorePageBytes, '\0');
            break;
        case Damage::SwappedPages:
            std::swap_ranges(image.begin() + static_cast<std::ptrdiff_t>(page),
                             image.begin() + static_cast<std::ptrdiff_t>(page + kStorePageBytes),
                             image.begin() + static_cast<std::ptrdiff_t>(other));
            break;
        case Damage::Cut:
            image.resize(below(image.size()));
            break;
        case Damage::CutAndZero: {
            const std::size_t size = image.size();
            image.resize(below(size));
            image.resize(size, '\0');
            break;
        }
        case Damage::AllZero:
            image.assign(image.size(), '\0');
            break;
        case Damage::Random:
            image.resize(20'000);
            randomize(0, image.size());
            break;
    }
    return image;
}

void damage_store(const std::string& data_directory, std::mt19937_64& random) {
    const std::string path = data_directory + "/" + kStoreFileName;
    std::ifstream file(path, std::ios::binary);
    const std::string image{std::istreambuf_iterator<char>(file), {}};
    if (image.size() < kStorePageBytes) return;
    const auto damage = static_cast<Damage>(random() % kDamageKinds);
    std::ofstream(path, std::ios::binary) << damaged(image, damage, random);
}

}  // namespace martenford::rig
