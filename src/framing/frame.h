// Frames on a stream: each message with its length and its XXH32, four bytes little-endian each, before it.
// Used towards the journal's writer and between sidecars. The checksum is against accident, not against
// intent.
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
/// Bytes of a message in a frame, unless a reader says otherwise. The longest are a journal's intent (an id
/// of 128 bytes, a key, names from discovery's list; heads are bounded at 8 KiB) and a piece of a list of
/// members.
constexpr std::size_t kMaxFrameBytes = 64 * 1024;

/// The peer does not speak as agreed: nothing more of it can be read.
struct FrameError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The whole frame of a message. Throws FrameError where it is longer than `most`.
std::string encode_frame(std::string_view message, std::size_t max_bytes = kMaxFrameBytes);

/// Takes bytes as they come and gives messages. Holds one frame at most beyond what was fed last.
class FrameReader {
  public:
    FrameReader() = default;
    /// Takes messages of `most` bytes at most.
    explicit FrameReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    void feed(std::string_view bytes) {
        buffer_.erase(0, std::exchange(consumed_, 0));
        buffer_.append(bytes);
    }
    /// The next whole message, valid until the next feed(). Throws FrameError where the length is over
    /// that or the checksum does not fit.
    std::optional<std::string_view> next();
    bool empty() const { return consumed_ == buffer_.size(); }

  private:
    std::size_t max_bytes_ = kMaxFrameBytes;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

/// A protobuf message as a frame, and back.
template <class Message>
std::string encode_message(const Message& message) {
    return encode_frame(message.SerializeAsString());
}
template <class Message>
Message decode_message(std::string_view bytes) {
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw FrameError("a frame's message can't be read");
    return message;
}

}  // namespace martenford::framing
