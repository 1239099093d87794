#include "http1/held_answer.h"

#include <string>
#include <utility>

namespace martenford {

bool HoldLimit::add(std::size_t bytes) {
    if (bytes > max_bytes_ - held_bytes_) return false;
    held_bytes_ += bytes;
    return true;
}

HeldAnswer::~HeldAnswer() {
    limit_.remove(counted_bytes_);
    if (answer_.rest) answer_.rest->stop_reading();
}

void HeldAnswer::start(Callback ended) {
    ended_ = std::move(ended);
    // An answer whose length is known not to fit is not collected in vain.
    const std::size_t bytes = answer_.length.value_or(answer_.body.size());
    if (!limit_.add(bytes)) return end(End::LimitReached);
    counted_bytes_ = bytes;
    read();
}

void HeldAnswer::read() {
    Pipe& rest = *answer_.rest;
    // Not called from within take(), which may let the writer go on: this object could be destroyed there.
    rest.on_readable(nullptr);
    while (!rest.empty()) {
        if (!append(rest.take())) return end(End::LimitReached);
    }
    if (rest.state() == Pipe::State::Complete) return end(End::Complete);
    if (rest.state() == Pipe::State::Failed) return end(End::Failed);
    rest.on_readable([this] { read(); });
}

bool HeldAnswer::append(std::string&& piece) {
    const std::size_t bytes = piece.size();
    answer_.body.append(piece);
    if (answer_.length) return true;  // counted as a whole
    if (!limit_.add(bytes)) return false;
    counted_bytes_ += bytes;
    return true;
}

void HeldAnswer::end(End how) {
    const Callback ended = std::exchange(ended_, nullptr);
    if (how == End::Complete) {
        answer_.rest.reset();
        answer_.length.reset();
    }
    ended(how);  // may destroy this object
}

Answer HeldAnswer::take() {
    return std::move(answer_);
}

}  // namespace martenford
