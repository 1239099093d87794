#include "handover/handover.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "core/events.h"

namespace martenford {

using boost::system::error_code;

namespace {

constexpr Duration kAnswerTimeout = 1s;  // for an earlier process to hand over its listener
constexpr char kListenerMessage = 'L', kReadyMessage = 'R';

/// Guards against a stranger's process where the directory is not as private as it should be.
bool is_same_user(int socket) {
    ucred peer{};
    socklen_t size = sizeof peer;
    return getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

bool send_descriptor(int socket, int descriptor) {
    char byte = kListenerMessage;
    iovec data{&byte, 1};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr message{};
    message.msg_iov = &data;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
    return sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT) == 1;
}

std::optional<int> receive_descriptor(int socket) {
    char byte = 0;
    iovec data{&byte, 1};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr message{};
    message.msg_iov = &data;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    if (recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC) != 1 || byte != kListenerMessage)
        return std::nullopt;
    const cmsghdr* header = CMSG_FIRSTHDR(&message);
    if (!header || header->cmsg_type != SCM_RIGHTS || header->cmsg_len != CMSG_LEN(sizeof(int)))
        return std::nullopt;
    int descriptor = -1;
    std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
    return descriptor;
}

}  // namespace

Handover::Handover(EventLoop& loop, const std::string& directory, const std::string& name)
    : loop_(loop),
      directory_(::open(directory.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC)),
      name_("martenford-" + name),
      timer_(loop) {
    // It names a file, whatever the configuration says.
    std::replace_if(
        name_.begin(), name_.end(), [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); }, '-');
}

Handover::~Handover() {
    if (directory_ >= 0) ::close(directory_);
}

/// Through the open directory: the address of a local socket has room for 107 characters, a path may be
/// longer.
std::string Handover::path(const std::string& name) const {
    return "/proc/self/fd/" + std::to_string(directory_) + "/" + name;
}

void Handover::find_earlier(std::function<void(std::optional<int>)> found) {
    on_found_ = std::move(found);
    if (directory_ < 0) return this->finish_search(std::nullopt);
    earlier_ = std::make_shared<Local::socket>(loop_.io());
    timer_.set(EventLoop::monotonic() + kAnswerTimeout, [this] { this->finish_search(std::nullopt); });
    earlier_->async_connect(Local::endpoint(path(name_)), [this, socket = earlier_](const error_code& error) {
        if (!on_found_) return;
        if (error || !is_same_user(socket->native_handle())) return this->finish_search(std::nullopt);
        await_listener();
    });
}

void Handover::await_listener() {
    earlier_->async_wait(Local::socket::wait_read, [this, socket = earlier_](const error_code& error) {
        if (!on_found_) return;
        this->finish_search(error ? std::nullopt : receive_descriptor(socket->native_handle()));
    });
}

void Handover::finish_search(std::optional<int> listener) {
    timer_.cancel();
    const auto callback = std::exchange(on_found_, nullptr);
    if (!callback) return;
    if (listener) {
        await_earlier();
    } else if (earlier_) {
        error_code ignored;
        std::exchange(earlier_, nullptr)->close(ignored);
    }
    callback(listener);
    if (listener && on_changed_) on_changed_(true);
}

/// It says nothing more: the connection ends with it.
void Handover::await_earlier() {
    earlier_->async_read_some(asio::buffer(&earlier_byte_, 1),
                              [this, socket = earlier_](const error_code& error, std::size_t) {
                                  if (error == asio::error::operation_aborted || socket != earlier_) return;
                                  if (!error) return await_earlier();
                                  earlier_.reset();
                                  if (on_changed_) on_changed_(has_other_process());
                              });
}

void Handover::announce(std::function<int()> listener) {
    listener_ = std::move(listener);
    if (earlier_) {
        error_code ignored;
        earlier_->write_some(asio::buffer(&kReadyMessage, 1), ignored);
    }
    if (directory_ < 0) return;
    // Under another name first: the name is never without a socket while one is replaced by the next.
    const std::string temporary_name = name_ + "." + std::to_string(::getpid());
    try {
        ::unlinkat(directory_, temporary_name.c_str(), 0);
        acceptor_.emplace(loop_.io(), Local::endpoint(path(temporary_name)), false);
        if (::renameat(directory_, temporary_name.c_str(), directory_, name_.c_str()) != 0) {
            throw boost::system::system_error(error_code(errno, boost::system::system_category()));
        }
        accept();
    } catch (const boost::system::system_error& error) {
        acceptor_.reset();
        log_event(Event::NoSuccessor,
                  "no later process can take over from this one: " + std::string(error.what()));
    }
}

void Handover::accept() {
    acceptor_->async_accept([this](const error_code& error, Local::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) hand_over_to(std::move(socket));
        // Guards against spinning where there is no descriptor for it: it is asked for again in time.
        if (error) return timer_.set(EventLoop::monotonic() + kAnswerTimeout, [this] { accept(); });
        accept();
    });
}

void Handover::hand_over_to(Local::socket socket) {
    if (!is_same_user(socket.native_handle())) return;
    const int listener = listener_();
    if (listener < 0 || !send_descriptor(socket.native_handle(), listener)) return;
    // A second later process takes the place of the first, which must have failed.
    later_ = std::make_shared<Local::socket>(std::move(socket));
    later_ready_ = false;
    if (on_changed_) on_changed_(true);
    await_later();
}

void Handover::await_later() {
    later_->async_read_some(asio::buffer(&later_byte_, 1),
                            [this, socket = later_](const error_code& error, std::size_t) {
                                if (error == asio::error::operation_aborted || socket != later_) return;
                                if (!error) {
                                    later_ready_ = later_byte_ == kReadyMessage;
                                    return await_later();
                                }
                                later_.reset();
                                later_ready_ = false;
                                if (on_changed_) on_changed_(has_other_process());
                            });
}

}  // namespace martenford
