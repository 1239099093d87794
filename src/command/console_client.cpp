#include "command/console_client.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>

#include "core/log.h"

namespace martenford {

namespace asio = boost::asio;

namespace {

constexpr timeval kReplyTimeout{3, 0};           // a console answers within 1 s
constexpr std::size_t kMaxReplyBytes = 4 << 20;  // 10,000 members of 200 bytes, twice

}  // namespace

std::optional<Address> console_address(const std::string& command, const std::string& given) {
    std::string where = given;
    if (const char* value = std::getenv("PROXY_CONSOLE"); where.empty() && value) where = value;
    const auto address = parse_address(where);
    if (!address) log(command + ": '" + where + "' is no address; --console or PROXY_CONSOLE gives one");
    return address;
}

std::optional<std::string> call_console(const std::string& command, const Address& where,
                                        const std::string& call, const std::string& hint) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(where, error);
    if (error) {
        log(command + ": " + text_of(where) + ": " + error.message());
        return std::nullopt;
    }
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kReplyTimeout, sizeof kReplyTimeout);
    asio::write(socket, asio::buffer(call + "\n"), error);
    std::string reply;
    char chunk[4096];
    while (!error && reply.size() < kMaxReplyBytes) {
        reply.append(chunk, socket.read_some(asio::buffer(chunk), error));
    }
    // All of it ends with a line END; what is refused is one line.
    if (reply.starts_with("NO")) {
        log(command + ": the sidecar says: " + reply.substr(0, reply.find('\n')) + " (" + hint + ")");
        return std::nullopt;
    }
    const auto end = reply.rfind("END\n");
    if (end == reply.npos || end + 4 != reply.size()) {
        log(command + ": " + text_of(where) + ": the answer broke off");
        return std::nullopt;
    }
    return reply.substr(0, end);
}

}  // namespace martenford
