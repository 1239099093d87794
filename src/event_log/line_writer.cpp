#include "event_log/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace martenford::event_log {
namespace {

bool takes_data(int descriptor) {
    pollfd ready{descriptor, POLLOUT, 0};
    return ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
}

}  // namespace

bool LineWriter::write(std::string line) const {
    line.resize(std::min(line.size(), kMaxLineBytes - 1));
    line += '\n';
    // The descriptor's own flags stay as they are: other processes may share them.
    if (!takes_data(descriptor_)) return false;
    ssize_t written = 0;
    do {
        written = ::write(descriptor_, line.data(), line.size());
    } while (written < 0 && errno == EINTR);
    return written == static_cast<ssize_t>(line.size());
}

}  // namespace martenford::event_log
