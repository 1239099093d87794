// An answer that is passed on only when its body is complete, for a process that may end before its last byte
// arrives. As long as nothing of it is written, the client can still be told that the request failed. Does no
// I/O of its own.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "core/byte_budget.h"
#include "core/engine.h"

namespace martenford {

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
    /// @param budget of all held answers of one listener
    HeldAnswer(Answer&& answer, std::shared_ptr<ByteBudget> budget)
        : answer_(std::move(answer)), reservation_(std::move(budget)) {}
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
    ByteReservation reservation_;
    Callback ended_;
};

}  // namespace martenford
