#include "http1/held_answer.h"

#include <string>
#include <utility>

namespace martenford {

HeldAnswer::~HeldAnswer() {
    if (answer_.rest) answer_.rest->stop_reading();
}

void HeldAnswer::start(Callback ended) {
    ended_ = std::move(ended);
    // An answer whose stated length does not fit is not buffered at all.
    const std::size_t bytes = answer_.length.value_or(answer_.body.size());
    if (!reservation_.resize(bytes)) return end(End::LimitReached);
    read();
}

void HeldAnswer::read() {
    Pipe& rest = *answer_.rest;
    // No notifications during take(): it may resume the writer, whose callback could destroy this object.
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
    if (answer_.length) return true;  // its whole length was added at the start
    return reservation_.resize(reservation_.bytes() + bytes);
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
