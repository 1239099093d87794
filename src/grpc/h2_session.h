// What both sides of an HTTP/2 connection share round a session of nghttp2.
#pragma once

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstddef>
#include <new>
#include <string>
#include <vector>

#include "grpc/h2_server.h"

namespace martenford::grpc {

/// Of a field line, beside its name and value (RFC 9113, 6.5.2).
constexpr std::size_t kFieldCost = 32;

/// As nghttp2 takes fields; the fields outlive it.
inline std::vector<nghttp2_nv> as_nv(const Fields& fields) {
    std::vector<nghttp2_nv> result;
    result.reserve(fields.size());
    const auto bytes = [](const std::string& text) {
        return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
    };
    for (const auto& [name, value] : fields) {
        result.push_back({bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return result;
}

/// A body on its way out, piece by piece.
struct Outgoing {
    std::string bytes;
    std::size_t given = 0;
    std::size_t take(std::uint8_t* into, std::size_t most) {
        const std::size_t size = std::min(most, bytes.size() - given);
        std::copy_n(bytes.data() + given, size, into);
        given += size;
        return size;
    }
    bool done() const { return given == bytes.size(); }
};

/// What a session is made with, and can do without afterwards.
struct SessionParts {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* option = nullptr;
    SessionParts() {
        if (nghttp2_session_callbacks_new(&callbacks) != 0) throw std::bad_alloc();
        if (nghttp2_option_new(&option) == 0) return;
        nghttp2_session_callbacks_del(callbacks);
        throw std::bad_alloc();
    }
    ~SessionParts() {
        nghttp2_option_del(option);
        nghttp2_session_callbacks_del(callbacks);
    }
    SessionParts(const SessionParts&) = delete;
    SessionParts& operator=(const SessionParts&) = delete;
};

/// What the session has to say, some `most` bytes of it; `each` is told the size of each piece as it comes.
template <typename Each>
std::string drain(nghttp2_session* session, std::size_t most, Each each) {
    std::string result;
    while (result.size() < most) {
        const std::uint8_t* bytes = nullptr;
        const auto size = nghttp2_session_mem_send(session, &bytes);
        if (size <= 0) break;
        result.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
        each(static_cast<std::size_t>(size));
    }
    return result;
}

}  // namespace martenford::grpc
