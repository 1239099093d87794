// An answer that is passed on only when its body is complete, for a process that may end before its last byte
// arrives. As long as nothing of it is written, the client can still be told that the request failed. Does no
// I/O of its own.
#pragma once

#include <cstddef>
#include <functional>

#include "core/engine.h"

namespace martenford {

/// Limits the bytes in all held answers of one listener.
class HoldLimit {
  public:
    explicit HoldLimit(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    /// Returns false, and adds nothing, if that would exceed the limit.
    [[nodiscard]] bool add(std::size_t bytes);
    void remove(std::size_t bytes) { held_bytes_ -= bytes; }
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }

  private:
    const std::size_t max_bytes_;
    std::size_t held_bytes_ = 0;
};

class HeldAnswer {
  public:
    enum class End {
        Complete,     ///< the answer has its whole body and no `rest`
        Failed,       ///< the rest will not come
        LimitReached  ///< no room for more: the answer has the body that came and a `rest`
    };
    /// Called once; may destroy the HeldAnswer.
    using Callback = std::function<void(End)>;

    /// @param answer must have a `rest`
    /// @param limit outlives it
    HeldAnswer(Answer&& answer, HoldLimit& limit) : answer_(std::move(answer)), limit_(limit) {}
    /// The writer of the rest is told that nobody reads it, unless take() was called.
    ~HeldAnswer();
    HeldAnswer(const HeldAnswer&) = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;

    /// Reads the rest as it arrives. May call `ended` before it returns.
    void start(Callback ended);
    /// Returns the answer with the body that has arrived. Call it from `ended` or later.
    [[nodiscard]] Answer take();

  private:
    void read();
    [[nodiscard]] bool append(std::string&& piece);
    void end(End how);

    Answer answer_;
    HoldLimit& limit_;
    std::size_t counted_bytes_ = 0;  // bytes added to the limit
    Callback ended_;
};

}  // namespace martenford
