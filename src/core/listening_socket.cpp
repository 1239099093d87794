#include "core/listening_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/system/system_error.hpp>
#include <cerrno>

namespace martenford {
namespace {

using boost::system::error_code;

error_code last_error() {
    return {errno, boost::system::system_category()};
}

bool enable(int descriptor, int option) {
    const int on = 1;
    return ::setsockopt(descriptor, SOL_SOCKET, option, &on, sizeof on) == 0;
}

}  // namespace

ListeningSocket::OpenResult ListeningSocket::open(const Address& address, PortSharing sharing) {
    ListeningSocket socket(address.protocol(),
                           ::socket(address.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int descriptor = socket.descriptor_;
    if (descriptor < 0) return last_error();
    if (!enable(descriptor, SO_REUSEADDR)) return last_error();
    if (sharing == PortSharing::WithSuccessor && !enable(descriptor, SO_REUSEPORT)) return last_error();
    if (::bind(descriptor, address.data(), static_cast<socklen_t>(address.size())) != 0) return last_error();
    if (::listen(descriptor, SOMAXCONN) != 0) return last_error();
    return socket;
}

ListeningSocket ListeningSocket::open_or_throw(const Address& address, PortSharing sharing) {
    auto opened = open(address, sharing);
    if (const auto* cause = std::get_if<error_code>(&opened))
        throw boost::system::system_error(*cause, "listen on " + text_of(address));
    return std::get<ListeningSocket>(std::move(opened));
}

ListeningSocket::~ListeningSocket() {
    if (descriptor_ >= 0) ::close(descriptor_);
}

bool may_pass(const error_code& cause) {
    switch (cause.value()) {
        case EADDRINUSE:
        case EADDRNOTAVAIL:
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
            return true;
        default:
            return false;
    }
}

}  // namespace martenford
