#include "ledger/digest.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace martenford::ledger {

namespace {
constexpr std::size_t kMinKeyBytes = 16, kMaxKeyBytes = 4096;
constexpr std::size_t kDigestBytes = 16;  // one in 2^64 pairs meets by chance
}  // namespace

/// Keyed once; each digest works on a copy.
struct BodyDigest::Mac {
    EVP_MAC* mac = nullptr;
    EVP_MAC_CTX* keyed = nullptr;
    ~Mac() {
        EVP_MAC_CTX_free(keyed);
        EVP_MAC_free(mac);
    }
};

BodyDigest::BodyDigest(const std::string& key_file) : mac_(std::make_unique<Mac>()) {
    std::ifstream file(key_file, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(file)), {});
    if (!file && key.empty()) throw std::runtime_error(key_file + ": can't be read");
    if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes)
        throw std::runtime_error(key_file + ": a key has 16 to 4096 bytes");
    mac_->mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    mac_->keyed = mac_->mac ? EVP_MAC_CTX_new(mac_->mac) : nullptr;
    std::string hash = "SHA256";
    const OSSL_PARAM parameters[] = {OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, hash.data(), 0),
                                     OSSL_PARAM_construct_end()};
    if (!mac_->keyed || EVP_MAC_init(mac_->keyed, reinterpret_cast<const unsigned char*>(key.data()),
                                     key.size(), parameters) != 1)
        throw std::runtime_error(key_file + ": no HMAC-SHA-256 here");
}
BodyDigest::~BodyDigest() = default;

std::string BodyDigest::compute(std::string_view body) const {
    std::array<unsigned char, EVP_MAX_MD_SIZE> full{};
    std::size_t size = 0;
    const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(EVP_MAC_CTX_dup(mac_->keyed),
                                                                            &EVP_MAC_CTX_free);
    if (!context ||
        EVP_MAC_update(context.get(), reinterpret_cast<const unsigned char*>(body.data()), body.size()) !=
            1 ||
        EVP_MAC_final(context.get(), full.data(), &size, full.size()) != 1 || size < kDigestBytes)
        return {};
    return std::string(reinterpret_cast<const char*>(full.data()), kDigestBytes);
}

}  // namespace martenford::ledger
