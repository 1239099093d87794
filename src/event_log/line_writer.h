// Writes lines of text to a descriptor that may be a file, a terminal, a socket or a pipe, and never waits
// for who reads them.
#pragma once

#include <cstddef>
#include <string>

namespace martenford::event_log {

/// Longest line, with its line break, in bytes; longer ones are truncated. PIPE_BUF of Linux: a pipe that is
/// ready for writing takes so much at once (POSIX, write()).
constexpr std::size_t kMaxLineBytes = 4096;

class LineWriter {
  public:
    /// @param descriptor is not closed by this class.
    explicit LineWriter(int descriptor) : descriptor_(descriptor) {}

    /// Adds the line break. Returns false if the line was not written, or not whole: the descriptor takes
    /// nothing now, or nobody reads it any more. SIGPIPE must be ignored.
    [[nodiscard]] bool write(std::string line) const;

  private:
    int descriptor_;
};

}  // namespace martenford::event_log
