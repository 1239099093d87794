// A keyed digest of a body: two requests with one body have one digest, and who has no key learns nothing of
// it, although amounts could be guessed. HMAC-SHA-256 (RFC 2104, FIPS 180-4), cut to 16 bytes.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace martenford::ledger {

class BodyDigest {
  public:
    /// Reads the key: 16 to 4,096 bytes. Throws std::runtime_error, naming the file.
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
