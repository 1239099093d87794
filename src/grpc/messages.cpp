#include "grpc/messages.h"

#include <algorithm>

namespace martenford::grpc {

namespace {
constexpr std::size_t kPrefix = 5;
}  // namespace

MessageCounter::Fault MessageCounter::feed(std::string_view bytes) {
    for (std::size_t i = 0; i < bytes.size() && fault_ == Fault::None;) {
        if (left_ > 0) {
            const auto step = std::min<std::uint64_t>(left_, bytes.size() - i);
            left_ -= step;
            i += static_cast<std::size_t>(step);
            if (left_ == 0) ++whole_;
            continue;
        }
        const auto byte = static_cast<unsigned char>(bytes[i++]);
        if (head_ == 0) {
            if (byte > 1) fault_ = Fault::BadFlag;
            compressed_ = compressed_ || byte == 1;
            length_ = 0;
        } else {
            length_ = length_ << 8 | byte;
        }
        if (++head_ < kPrefix) continue;
        head_ = 0;
        if (length_ > most_) fault_ = Fault::TooLarge;
        left_ = length_;
        if (left_ == 0) ++whole_;
    }
    return fault_;
}

std::string framed(std::string_view message, bool compressed) {
    const auto size = static_cast<std::uint32_t>(message.size());
    std::string result{static_cast<char>(compressed ? 1 : 0), static_cast<char>(size >> 24),
                       static_cast<char>(size >> 16), static_cast<char>(size >> 8), static_cast<char>(size)};
    return result.append(message);
}

}  // namespace martenford::grpc
