// An answer that is passed on only once its body is whole. For a process that may end before the last byte
// comes: as long as nothing of the answer is written, its client can still be told that it gets none. Does no
// I/O of its own.
#pragma once

#include <cstddef>
#include <functional>

#include "core/engine.h"

namespace martenford {

/// Bytes that answers may hold, shared by all of one front.
class HoldLimit {
  public:
    explicit HoldLimit(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    /// Returns false, and counts nothing, if that would exceed the limit.
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
        Complete,     ///< the answer has its whole body, and no rest
        Failed,       ///< the rest will never come
        LimitReached  ///< the limit has no room for more: the answer has what came, and a rest
    };
    /// Called once; may destroy the HeldAnswer.
    using Callback = std::function<void(End)>;

    /// @param answer has a rest.
    /// @param limit outlives it.
    HeldAnswer(Answer&& answer, HoldLimit& limit) : answer_(std::move(answer)), limit_(limit) {}
    /// Whoever sends the rest is told that nobody reads it, unless take() was called.
    ~HeldAnswer();
    HeldAnswer(const HeldAnswer&) = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;

    /// Reads the rest as it comes; `ended` may be called from within.
    void start(Callback ended);
    /// The answer with the body that has come; to be called from `ended`, or after it.
    [[nodiscard]] Answer take();

  private:
    void read();
    [[nodiscard]] bool append(std::string&& piece);
    void end(End how);

    Answer answer_;
    HoldLimit& limit_;
    std::size_t counted_bytes_ = 0;  // in the limit
    Callback ended_;
};

}  // namespace martenford
