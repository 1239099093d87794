// Damage to the file of a controller's store, drawn from a random source.
#pragma once

#include <cstddef>
#include <random>
#include <string>

namespace martenford::rig {

inline constexpr const char* kStoreFileName = "word.mdb";
/// Of LMDB on the machines that the tests run on.
inline constexpr std::size_t kStorePageBytes = 4096;

enum class Damage { FlippedBits, RandomPage, ZeroPage, SwappedPages, Cut, CutAndZero, AllZero, Random };
inline constexpr int kDamageKinds = 8;

/// Returns the file with this damage. It has one page or more.
[[nodiscard]] std::string damaged(std::string image, Damage damage, std::mt19937_64& random);

/// Damages the file in a data directory in a way that is drawn, if it is there.
void damage_store(const std::string& data_directory, std::mt19937_64& random);

}  // namespace martenford::rig
