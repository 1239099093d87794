#include "console/console.h"

#include <array>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

namespace martenford {

using boost::system::error_code;

namespace {

constexpr std::size_t kMaxLineBytes = 256;  // commands have a dozen bytes
constexpr Duration kRequestTimeout = 2s;    // for a complete line to arrive
constexpr Duration kReplyTimeout = 2s;      // for the client to read the reply and close the connection
constexpr Duration kAcceptRetry = 20ms;     // after running out of descriptors

}  // namespace

class Console::Connection : public std::enable_shared_from_this<Console::Connection> {
  public:
    Connection(Console& console, asio::ip::tcp::socket socket)
        : console_(console), socket_(std::move(socket)), timeout_(console.loop_) {}

    void start(Connections::iterator position) {
        position_ = position;
        timeout_.set(EventLoop::monotonic() + kRequestTimeout, [self = shared_from_this()] {
            self->console_.cut_off_.add();
            self->close();
        });
        read();
    }
    void close() {
        if (std::exchange(closed_, true)) return;
        const auto self = shared_from_this();
        timeout_.cancel();
        error_code ignored;
        socket_.close(ignored);
        console_.connections_.erase(position_);
    }

  private:
    void read() {
        socket_.async_read_some(asio::buffer(chunk_),
                                [self = shared_from_this()](const error_code& error, std::size_t size) {
                                    if (self->closed_) return;
                                    if (error) return self->close();
                                    self->received({self->chunk_.data(), size});
                                });
    }
    void received(std::string_view chunk) {
        if (replied_) return read();  // until the client closes
        const auto end = chunk.find('\n');
        line_.append(chunk.substr(0, end));
        if (line_.size() > kMaxLineBytes) return reply("NO call: the line is too long\n");
        if (end == chunk.npos) return read();
        console_.answered_.add();
        reply(console_.commands_.reply(line_));
    }
    void reply(std::string text) {
        replied_ = true;
        text_ = std::move(text);
        timeout_.set(EventLoop::monotonic() + kReplyTimeout, [self = shared_from_this()] { self->close(); });
        asio::async_write(socket_, asio::buffer(text_),
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (self->closed_) return;
                              if (error) return self->close();
                              // The client closes first: closing with unread bytes sends a reset, which could
                              // discard the reply.
                              error_code ignored;
                              self->socket_.shutdown(asio::socket_base::shutdown_send, ignored);
                              self->read();
                          });
    }

    Console& console_;
    asio::ip::tcp::socket socket_;
    Timer timeout_;
    Connections::iterator position_;
    std::array<char, 128> chunk_{};
    std::string line_, text_;
    bool replied_ = false, closed_ = false;
};

Console::Console(EventLoop& loop, ListeningSocket socket, ConsoleCommands commands, Counters& counters)
    : loop_(loop),
      commands_(std::move(commands)),
      acceptor_(loop.io()),
      accept_timer_(loop),
      answered_(counters.counter("console.answered", "console commands answered")),
      cut_off_(
          counters.counter("console.cut_off", "console connections closed before a whole line arrived")) {
    const auto protocol = socket.protocol();
    acceptor_.assign(protocol, socket.release());
    acceptor_.non_blocking(true);
    accept();
}

Console::~Console() {
    while (!connections_.empty()) connections_.front()->close();
}

void Console::accept() {
    acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
            // Without the delay this would spin: the listener stays ready while nothing can be accepted.
            if (!connections_.empty()) connections_.front()->close();
            return accept_timer_.set(EventLoop::monotonic() + kAcceptRetry, [this] { accept(); });
        }
        if (connections_.size() >= kMaxConnections) {
            cut_off_.add();
            connections_.front()->close();
        }
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        connection->start(connections_.insert(connections_.end(), connection));
        accept();
    });
}

}  // namespace martenford
