// Keyed digest of a request body. Two requests with the same body have the same digest, and without the key
// nothing can be learned about the body, even though amounts are easy to guess. HMAC-SHA-256 (RFC 2104, FIPS
// 180-4), truncated to 16 bytes.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace martenford::ledger {

class BodyDigest {
  public:
    /// Reads the key, 16 to 4,096 bytes. Throws std::runtime_error that names the file.
    explicit BodyDigest(const std::string& key_file);
    ~BodyDigest();
    BodyDigest(const BodyDigest&) = delete;
    BodyDigest& operator=(const BodyDigest&) = delete;

    std::string compute(std::string_view body) const;

  private:
    struct Mac;
    std::unique_ptr<Mac> mac_;
};

}  // namespace martenford::ledger
