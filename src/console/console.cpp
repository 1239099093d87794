#include "console/console.h"

#include <array>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

namespace martenford {

using boost::system::error_code;

namespace {

constexpr std::size_t kLongestLine = 256;  // bytes: calls have a dozen
constexpr Duration kLineTime = 2s;         // for the line to come whole
constexpr Duration kReadTime = 2s;         // for the reply to be read and the connection closed
constexpr Duration kAcceptAgain = 20ms;    // after running out of descriptors
constexpr int kBacklog = 128;

}  // namespace

class Console::Caller : public std::enable_shared_from_this<Console::Caller> {
  public:
    Caller(Console& console, asio::ip::tcp::socket socket)
        : console_(console), socket_(std::move(socket)), limit_(console.loop_) {}

    void start(Callers::iterator place) {
        place_ = place;
        limit_.set(EventLoop::monotonic() + kLineTime, [self = shared_from_this()] {
            self->console_.cut_off_.add();
            self->close();
        });
        read();
    }
    void close() {
        if (std::exchange(closed_, true)) return;
        const auto self = shared_from_this();
        limit_.cancel();
        error_code ignored;
        socket_.close(ignored);
        console_.callers_.erase(place_);
    }

  private:
    void read() {
        socket_.async_read_some(asio::buffer(chunk_),
                                [self = shared_from_this()](const error_code& error, std::size_t size) {
                                    if (self->closed_) return;
                                    if (error) return self->close();
                                    self->arrived({self->chunk_.data(), size});
                                });
    }
    void arrived(std::string_view piece) {
        if (replied_) return read();  // until the caller closes
        const auto end = piece.find('\n');
        line_.append(piece.substr(0, end));
        if (line_.size() > kLongestLine) return reply("NO call: the line is too long\n");
        if (end == piece.npos) return read();
        console_.answered_.add();
        reply(console_.calls_.reply(line_));
    }
    void reply(std::string text) {
        replied_ = true;
        text_ = std::move(text);
        limit_.set(EventLoop::monotonic() + kReadTime, [self = shared_from_this()] { self->close(); });
        asio::async_write(socket_, asio::buffer(text_),
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (self->closed_) return;
                              if (error) return self->close();
                              // The caller closes first: a reset for bytes unread would take the reply along.
                              error_code ignored;
                              self->socket_.shutdown(asio::socket_base::shutdown_send, ignored);
                              self->read();
                          });
    }

    Console& console_;
    asio::ip::tcp::socket socket_;
    Timer limit_;
    Callers::iterator place_;
    std::array<char, 128> chunk_{};
    std::string line_, text_;
    bool replied_ = false, closed_ = false;
};

Console::Console(EventLoop& loop, const Address& listen, Calls calls, Counters& counters)
    : loop_(loop),
      calls_(std::move(calls)),
      acceptor_(loop.io()),
      again_(loop),
      answered_(counters.counter("console.answered", "calls of operators answered")),
      cut_off_(counters.counter("console.cut_off", "callers that never said a whole line")) {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    accept();
}

Console::~Console() {
    while (!callers_.empty()) callers_.front()->close();
}

void Console::accept() {
    acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
            // Guards against spinning on a listener that stays ready while nothing can be accepted.
            if (!callers_.empty()) callers_.front()->close();
            return again_.set(EventLoop::monotonic() + kAcceptAgain, [this] { accept(); });
        }
        if (callers_.size() >= kMostCallers) {
            cut_off_.add();
            callers_.front()->close();
        }
        const auto caller = std::make_shared<Caller>(*this, std::move(socket));
        caller->start(callers_.insert(callers_.end(), caller));
        accept();
    });
}

}  // namespace martenford
