#include "framing/frame.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace martenford::framing {

namespace {

std::uint32_t checksum(std::string_view bytes) {
    return XXH32(bytes.data(), bytes.size(), 0);
}

void put32(std::string& to, std::uint32_t value) {
    for (int shift = 0; shift < 32; shift += 8) to.push_back(static_cast<char>(value >> shift & 0xff));
}

std::uint32_t get32(std::string_view from) {
    std::uint32_t value = 0;
    for (int i = 3; i >= 0; --i) value = value << 8 | static_cast<unsigned char>(from[i]);
    return value;
}

}  // namespace

std::string encode_frame(std::string_view message, std::size_t max_bytes) {
    if (message.size() > max_bytes) throw FrameError("a message is longer than a frame may be");
    std::string frame;
    frame.reserve(kFrameHeaderBytes + message.size());
    put32(frame, static_cast<std::uint32_t>(message.size()));
    put32(frame, checksum(message));
    frame += message;
    return frame;
}

std::optional<std::string_view> FrameReader::next() {
    const std::string_view rest = std::string_view(buffer_).substr(consumed_);
    if (rest.size() < kFrameHeaderBytes) return std::nullopt;
    const std::size_t size = get32(rest);
    if (size > max_bytes_) throw FrameError("a frame is longer than one may be");
    if (rest.size() < kFrameHeaderBytes + size) return std::nullopt;
    const std::string_view message = rest.substr(kFrameHeaderBytes, size);
    if (checksum(message) != get32(rest.substr(4))) throw FrameError("a frame's checksum is wrong");
    consumed_ += kFrameHeaderBytes + size;
    return message;
}

}  // namespace martenford::framing
