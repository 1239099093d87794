#include "core/process_setup.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <initializer_list>

namespace martenford {
namespace {

void open_closed_streams() {
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(stream, F_GETFD) >= 0) continue;
        const int opened = ::open("/dev/null", O_RDWR);
        if (opened < 0 || opened == stream) continue;
        ::dup2(opened, stream);
        ::close(opened);
    }
}

}  // namespace

void prepare_process() {
    open_closed_streams();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

}  // namespace martenford
