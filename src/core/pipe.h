// A body that is streamed from one connection to another: ordered pieces in a buffer with a limit, so that a
// body larger than the memory of the process can pass through.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "core/release_memory.h"

namespace martenford {

/// One writer, one reader, one thread. Each side is notified synchronously of what the other does; a
/// notification may be spurious.
class Pipe {
  public:
    enum class State { Open, Complete, Failed };

    /// The writer pauses once `max_bytes` are buffered. The piece that reaches the limit may exceed it.
    explicit Pipe(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    // ---- writer side
    void on_writable(std::function<void()> callback) { on_writable_ = std::move(callback); }
    bool has_room() const { return buffered_.size() < max_bytes_; }
    /// Whether the reader has stopped: what is put here is discarded.
    bool reader_closed() const { return reader_closed_; }
    void put(std::string&& piece) {
        if (state_ != State::Open || reader_closed_ || piece.empty()) return;
        // Usually the reader has emptied the buffer: then nothing is copied.
        if (buffered_.empty()) {
            buffered_ = std::move(piece);
        } else {
            buffered_.append(piece);
        }
        notify(on_readable_);
    }
    /// The body is complete.
    void finish() { end(State::Complete); }
    /// The rest will not come. The reader must make the truncation visible to its peer.
    void fail() { end(State::Failed); }

    // ---- reader side
    void on_readable(std::function<void()> callback) { on_readable_ = std::move(callback); }
    State state() const { return state_; }
    bool empty() const { return buffered_.empty(); }
    /// Takes all that is buffered now.
    std::string take() {
        std::string taken = std::exchange(buffered_, {});
        if (!taken.empty()) notify(on_writable_);
        return taken;
    }
    void stop_reading() {
        if (std::exchange(reader_closed_, true)) return;
        release_memory(buffered_);
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
    /// Takes a copy: the callback may replace itself or end the pipe.
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
