#include "replica/shelf_link.h"

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstring>
#include <utility>

#include "core/events.h"
#include "core/wall_clock.h"
#include "helper/helper.h"
#include "replica/shelf.pb.h"

namespace martenford::replica {

using boost::system::error_code;

namespace {

constexpr Duration kStartAgain = 1s;
constexpr Duration kReapAgain = 50ms;      // a killed helper may hang in the kernel: it is not waited for
constexpr int kTries = 3;                  // to read what is kept; then the sidecar starts without
constexpr std::size_t kPiece = 32 * 1024;  // bytes of entries in one message: a frame holds twice as much

}  // namespace

ShelfLink::ShelfLink(Loop& loop, std::string helper, std::string directory, std::string fleet, Duration life,
                     Calls calls)
    : loop_(loop),
      helper_(helper.empty() ? default_helper_path() : std::move(helper)),
      directory_(std::move(directory)),
      fleet_(std::move(fleet)),
      life_(life),
      calls_(std::move(calls)),
      again_(loop),
      reap_(loop) {}

ShelfLink::~ShelfLink() {
    if (!socket_) return;
    error_code ignored;
    socket_->close(ignored);  // the helper keeps what it was sent, and ends
}

void ShelfLink::start() {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
        return lost(std::string("no socket for a helper: ") + std::strerror(errno));
    pid_ = start_helper({helper_, "shelf", "--directory", directory_}, ends[1]);
    ::close(ends[1]);
    if (pid_ < 0) {
        ::close(ends[0]);
        return lost("no helper can be started");
    }
    socket_ = std::make_shared<Socket>(loop_.io(), asio::local::stream_protocol(), ends[0]);
    error_code ignored;
    socket_->non_blocking(true, ignored);
    reader_ = {};
    loading_ = {};
    shelf::ToShelf out;
    out.mutable_open()->set_fleet(fleet_);
    const std::int64_t oldest = wall_ms() - life_ / 1ms;
    out.mutable_open()->set_oldest_ms(oldest > 0 ? static_cast<std::uint64_t>(oldest) : 0);
    waiting_ = framing::framed(out);
    writing_.clear();
    read();
    flush();
}

std::uint64_t ShelfLink::keep(Stamp horizon, const std::vector<Named>& entries, const std::vector<Name>& gone,
                              bool anew) {
    ++seq_;
    if (!socket_ || !works_) return seq_;  // all is put anew when it works
    shelf::ToShelf out;
    shelf::Keep& keep = *out.mutable_keep();
    keep.set_anew(anew);
    std::size_t size = 0;
    const auto put = [&] {
        keep.set_seq(seq_);
        keep.set_horizon(horizon);
        waiting_ += framing::framed(out);
        keep.Clear();
        size = 0;
    };
    for (const Named& entry : entries) {
        std::string bytes = bytes_of(entry);
        if (size > 0 && size + bytes.size() > kPiece) put();
        size += bytes.size();
        keep.add_entries(std::move(bytes));
    }
    for (const Name& name : gone) {
        if (size > 0 && size + name.table.size() + name.key.size() > kPiece) put();
        size += name.table.size() + name.key.size();
        shelf::Gone& each = *keep.add_gone();
        each.set_table(name.table);
        each.set_key(name.key);
    }
    put();
    if (waiting_.size() > kMostWaiting) {
        lost("it takes nothing");
    } else {
        flush();
    }
    return seq_;
}

void ShelfLink::flush() {
    if (!socket_ || !writing_.empty() || waiting_.empty()) return;
    writing_ = std::exchange(waiting_, {});
    asio::async_write(*socket_, asio::buffer(writing_),
                      [this, socket = socket_](const error_code& error, std::size_t) {
                          if (socket != socket_) return;
                          writing_.clear();
                          if (error) return lost("its socket: " + error.message());
                          flush();
                      });
}

void ShelfLink::read() {
    socket_->async_read_some(asio::buffer(bytes_),
                             [this, socket = socket_](const error_code& error, std::size_t size) {
                                 if (socket != socket_) return;
                                 if (error) return lost("the helper has ended");
                                 try {
                                     reader_.feed({bytes_, size});
                                     while (const auto frame = reader_.next()) {
                                         take(*frame);
                                         if (socket != socket_) return;
                                     }
                                 } catch (const framing::FrameError& fault) {
                                     return lost(fault.what());
                                 }
                                 read();
                             });
}

void ShelfLink::take(std::string_view frame) {
    const auto message = framing::parsed<shelf::FromShelf>(frame);
    if (message.has_trouble()) return lost(message.trouble().what());
    if (message.has_kept()) return calls_.kept(message.kept().seq());
    const shelf::Loaded& loaded = message.loaded();
    if (!loaded.aside().empty())
        tell(Event::StateAside, "state: the copy that was kept is not used: " + loaded.aside());
    if (loaded.bad() > 0)
        tell(Event::StateAside,
             "state: " + std::to_string(loaded.bad()) + " kept entries are damaged and left out");
    for (const std::string& bytes : loaded.entries()) loading_.entries.push_back(read_named(bytes));
    loading_.horizon = loaded.horizon();
    if (!loaded.end()) return;
    works_ = true;
    if (std::exchange(said_, false)) tell(Event::StateKept, "state: it is kept again");
    loaded_ = true;
    calls_.loaded(std::exchange(loading_, {}));
}

void ShelfLink::lost(const std::string& why) {
    works_ = false;
    // Whatever the disk does, what others know is shared; what it holds is taken in when it works.
    if (!loaded_ && ++tries_ == kTries) calls_.loaded({});
    if (!std::exchange(said_, true)) tell(Event::StateUnkept, "state: nothing is kept on disk now: " + why);
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
        socket_.reset();
    }
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        dead_.push_back(std::exchange(pid_, -1));
    }
    reap();
    again_.set(loop_.now() + kStartAgain, [this] { start(); });
}

void ShelfLink::reap() {
    std::erase_if(dead_, [](pid_t pid) { return ::waitpid(pid, nullptr, WNOHANG) != 0; });
    if (!dead_.empty()) reap_.set(loop_.now() + kReapAgain, [this] { reap(); });
}

}  // namespace martenford::replica
