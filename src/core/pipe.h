// A body on its way from one connection to another: pieces in order, with a bound on what is held, so that a
// message larger than the process may grow passes through it.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace martenford {

/// One writer, one reader, one thread. Each side is told of what the other did, from within that call; it may
/// be told when nothing has changed for it.
class Pipe {
  public:
    enum class State { Open, Whole, Broken };

    /// The writer stops for a while once `most` bytes are held; a piece put before that may go beyond it.
    explicit Pipe(std::size_t most) : most_(most) {}
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    // ---- the writer's side
    void on_room(std::function<void()> told) { told_writer_ = std::move(told); }
    bool has_room() const { return held_.size() < most_; }
    /// Nobody reads what is put here any more.
    bool unread() const { return unread_; }
    void put(std::string&& piece) {
        if (state_ != State::Open || unread_ || piece.empty()) return;
        // The reader has mostly taken what was there: then nothing is copied.
        if (held_.empty()) {
            held_ = std::move(piece);
        } else {
            held_.append(piece);
        }
        tell(told_reader_);
    }
    /// The body is complete.
    void finish() { end(State::Whole); }
    /// The rest will never come: whoever passes it on must let its peer see that.
    void fail() { end(State::Broken); }

    // ---- the reader's side
    void on_more(std::function<void()> told) { told_reader_ = std::move(told); }
    State state() const { return state_; }
    bool empty() const { return held_.empty(); }
    /// All that is held now.
    std::string take() {
        std::string taken = std::exchange(held_, {});
        if (!taken.empty()) tell(told_writer_);
        return taken;
    }
    void stop_reading() {
        if (std::exchange(unread_, true)) return;
        held_ = {};
        told_reader_ = nullptr;
        tell(std::exchange(told_writer_, nullptr));
    }

  private:
    void end(State how) {
        if (state_ != State::Open) return;
        state_ = how;
        told_writer_ = nullptr;
        tell(told_reader_);
    }
    /// By a copy: what is told may set another, or end the pipe.
    static void tell(std::function<void()> whom) {
        if (whom) whom();
    }

    std::size_t most_;
    std::string held_;
    State state_ = State::Open;
    bool unread_ = false;
    std::function<void()> told_writer_, told_reader_;
};

}  // namespace martenford
