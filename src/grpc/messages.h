// Length-prefixed messages (PROTOCOL-HTTP2.md): a flag, four bytes of length, and the message, which passes
// through untouched. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace martenford::grpc {

/// Follows where messages begin and end in what a stream carries, piece by piece. Holds no message.
class MessageCounter {
  public:
    enum class Fault { None, BadFlag, TooLarge };
    /// `most`: bytes of one message.
    explicit MessageCounter(std::size_t most) : most_(most) {}
    /// After a fault nothing more is taken in.
    Fault feed(std::string_view bytes);
    std::uint64_t whole() const { return whole_; }
    /// Whether the stream may end here.
    bool between() const { return head_ == 0 && left_ == 0; }
    bool any_compressed() const { return compressed_; }

  private:
    std::size_t most_;
    std::size_t head_ = 0;  // bytes of the prefix that have come
    std::uint64_t length_ = 0, left_ = 0, whole_ = 0;
    bool compressed_ = false;
    Fault fault_ = Fault::None;
};

/// One message as it goes on the wire.
std::string framed(std::string_view message, bool compressed = false);

}  // namespace martenford::grpc
