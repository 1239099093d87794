// Length-prefixed frames on a byte stream: before each message its length and its XXH32 checksum, four bytes
// little-endian each. Used between sidecars and towards the journal's writer. The checksum detects accidental
// corruption, not tampering.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace martenford::framing {

constexpr std::size_t kFrameHeaderBytes = 8;
/// Bytes of a message in a frame, unless a reader sets another limit. The longest messages are a journal's
/// intent (an id of 128 bytes, a key, names from the discovery list; heads are limited to 8 KiB) and a part
/// of a member list.
constexpr std::size_t kMaxFrameBytes = 64 * 1024;

/// The peer violates the protocol: nothing more can be read from it.
struct FrameError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Returns the complete frame of a message. Throws FrameError if the message is longer than `max_bytes`.
std::string encode_frame(std::string_view message, std::size_t max_bytes = kMaxFrameBytes);

/// Reassembles messages from received bytes. Buffers at most one frame beyond what was fed last.
class FrameReader {
  public:
    FrameReader() = default;
    /// Accepts messages of at most `max_bytes` bytes.
    explicit FrameReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    void feed(std::string_view bytes) {
        buffer_.erase(0, std::exchange(consumed_, 0));
        // A long frame leaves no memory behind.
        if (buffer_.empty() && buffer_.capacity() > kMaxFrameBytes) std::string().swap(buffer_);
        buffer_.append(bytes);
    }
    /// Bytes of a frame that is not complete.
    std::size_t held_bytes() const { return buffer_.size() - consumed_; }
    /// Returns the next complete message, valid until the next feed(). Throws FrameError if its length
    /// exceeds the limit or its checksum does not match.
    std::optional<std::string_view> next();
    bool empty() const { return consumed_ == buffer_.size(); }

  private:
    std::size_t max_bytes_ = kMaxFrameBytes;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

/// Encodes a protobuf message as a frame, and decodes the content of one.
template <class Message>
std::string encode_message(const Message& message) {
    return encode_frame(message.SerializeAsString());
}
template <class Message>
Message decode_message(std::string_view bytes) {
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw FrameError("frame does not contain a valid message");
    return message;
}

}  // namespace martenford::framing
