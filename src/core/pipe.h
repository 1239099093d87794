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
    enum class State { Open, Complete, Failed };

    /// The writer stops for a while once `most` bytes are held; a piece put before that may go beyond it.
    explicit Pipe(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    // ---- the writer's side
    void on_writable(std::function<void()> callback) { on_writable_ = std::move(callback); }
    bool has_room() const { return buffered_.size() < max_bytes_; }
    /// Nobody reads what is put here any more.
    bool reader_closed() const { return reader_closed_; }
    void put(std::string&& piece) {
        if (state_ != State::Open || reader_closed_ || piece.empty()) return;
        // The reader has mostly taken what was there: then nothing is copied.
        if (buffered_.empty()) {
            buffered_ = std::move(piece);
        } else {
            buffered_.append(piece);
        }
        notify(on_readable_);
    }
    /// The body is complete.
    void finish() { end(State::Complete); }
    /// The rest will never come: whoever passes it on must let its peer see that.
    void fail() { end(State::Failed); }

    // ---- the reader's side
    void on_readable(std::function<void()> callback) { on_readable_ = std::move(callback); }
    State state() const { return state_; }
    bool empty() const { return buffered_.empty(); }
    /// All that is held now.
    std::string take() {
        std::string taken = std::exchange(buffered_, {});
        if (!taken.empty()) notify(on_writable_);
        return taken;
    }
    void stop_reading() {
        if (std::exchange(reader_closed_, true)) return;
        buffered_ = {};
        on_readable_ = nullptr;
        notify(std::exchange(on_writable_, nullptr));
    }

  private:
    void end(State state) {
        if (state_ != State::Open) return;
        state_ = state;
        on_writable_ = nullptr;
        notify(on_readable_);
    }
    /// By a copy: what is told may set another, or end the pipe.
    static void notify(std::function<void()> callback) {
        if (callback) callback();
    }

    std::size_t max_bytes_;
    std::string buffered_;
    State state_ = State::Open;
    bool reader_closed_ = false;
    std::function<void()> on_writable_, on_readable_;
};

}  // namespace martenford
