#include "replica/snapshot_client.h"

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

constexpr Duration kRestartDelay = 1s;
constexpr Duration kReapInterval = 50ms;  // a killed helper may hang in the kernel: it is not waited for
constexpr int kMaxLoadAttempts = 3;       // to read what is kept; then the sidecar starts without
constexpr std::size_t kMaxChunkBytes =
    32 * 1024;  // bytes of entries in one message: a frame holds twice as much

}  // namespace

SnapshotClient::SnapshotClient(EventLoop& loop, std::string helper, std::string directory, std::string fleet,
                               Duration tombstone_ttl, Callbacks callbacks)
    : loop_(loop),
      helper_(helper.empty() ? default_helper_path() : std::move(helper)),
      directory_(std::move(directory)),
      fleet_(std::move(fleet)),
      tombstone_ttl_(tombstone_ttl),
      callbacks_(std::move(callbacks)),
      restart_timer_(loop),
      reap_timer_(loop) {}

SnapshotClient::~SnapshotClient() {
    if (!socket_) return;
    error_code ignored;
    socket_->close(ignored);  // the helper keeps what it was sent, and ends
}

void SnapshotClient::start() {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
        return fail(std::string("no socket for a helper: ") + std::strerror(errno));
    pid_ = start_helper({helper_, "shelf", "--directory", directory_}, ends[1]);
    ::close(ends[1]);
    if (pid_ < 0) {
        ::close(ends[0]);
        return fail("no helper can be started");
    }
    socket_ = std::make_shared<Socket>(loop_.io(), asio::local::stream_protocol(), ends[0]);
    error_code ignored;
    socket_->non_blocking(true, ignored);
    reader_ = {};
    loading_ = {};
    shelf::ToShelf out;
    out.mutable_open()->set_fleet(fleet_);
    const std::int64_t oldest = wall_ms() - tombstone_ttl_ / 1ms;
    out.mutable_open()->set_oldest_ms(oldest > 0 ? static_cast<std::uint64_t>(oldest) : 0);
    outgoing_ = framing::encode_message(out);
    writing_.clear();
    read();
    flush();
}

std::uint64_t SnapshotClient::persist(Timestamp horizon, const std::vector<NamedEntry>& entries,
                                      const std::vector<EntryName>& erased, bool replace_all) {
    ++seq_;
    if (!socket_ || !available_) return seq_;  // all is put anew when it works
    shelf::ToShelf out;
    shelf::Keep& request = *out.mutable_keep();
    request.set_anew(replace_all);
    std::size_t size = 0;
    const auto queue_chunk = [&] {
        request.set_seq(seq_);
        request.set_horizon(horizon);
        outgoing_ += framing::encode_message(out);
        request.Clear();
        size = 0;
    };
    for (const NamedEntry& entry : entries) {
        std::string bytes = bytes_of(entry);
        if (size > 0 && size + bytes.size() > kMaxChunkBytes) queue_chunk();
        size += bytes.size();
        request.add_entries(std::move(bytes));
    }
    for (const EntryName& name : erased) {
        if (size > 0 && size + name.table.size() + name.key.size() > kMaxChunkBytes) queue_chunk();
        size += name.table.size() + name.key.size();
        shelf::Gone& each = *request.add_gone();
        each.set_table(name.table);
        each.set_key(name.key);
    }
    queue_chunk();
    if (outgoing_.size() > kMaxWaitingBytes) {
        fail("it takes nothing");
    } else {
        flush();
    }
    return seq_;
}

void SnapshotClient::flush() {
    if (!socket_ || !writing_.empty() || outgoing_.empty()) return;
    writing_ = std::exchange(outgoing_, {});
    asio::async_write(*socket_, asio::buffer(writing_),
                      [this, socket = socket_](const error_code& error, std::size_t) {
                          if (socket != socket_) return;
                          writing_.clear();
                          if (error) return fail("its socket: " + error.message());
                          flush();
                      });
}

void SnapshotClient::read() {
    socket_->async_read_some(asio::buffer(buffer_),
                             [this, socket = socket_](const error_code& error, std::size_t size) {
                                 if (socket != socket_) return;
                                 if (error) return fail("the helper has ended");
                                 try {
                                     reader_.feed({buffer_, size});
                                     while (const auto frame = reader_.next()) {
                                         handle_frame(*frame);
                                         if (socket != socket_) return;
                                     }
                                 } catch (const framing::FrameError& fault) {
                                     return fail(fault.what());
                                 }
                                 read();
                             });
}

void SnapshotClient::handle_frame(std::string_view frame) {
    const auto message = framing::decode_message<shelf::FromShelf>(frame);
    if (message.has_trouble()) return fail(message.trouble().what());
    if (message.has_kept()) return callbacks_.persisted(message.kept().seq());
    const shelf::Loaded& loaded = message.loaded();
    if (!loaded.aside().empty())
        log_event(Event::StateCopyRejected, "state: the copy that was kept is not used: " + loaded.aside());
    if (loaded.bad() > 0)
        log_event(Event::StateCopyRejected,
                  "state: " + std::to_string(loaded.bad()) + " kept entries are damaged and left out");
    for (const std::string& bytes : loaded.entries()) loading_.entries.push_back(read_named_entry(bytes));
    loading_.horizon = loaded.horizon();
    if (!loaded.end()) return;
    available_ = true;
    if (std::exchange(reported_, false)) log_event(Event::StatePersisted, "state: it is kept again");
    loaded_ = true;
    callbacks_.loaded(std::exchange(loading_, {}));
}

void SnapshotClient::fail(const std::string& why) {
    available_ = false;
    // Whatever the disk does, what others know is shared; what it holds is taken in when it works.
    if (!loaded_ && ++load_attempts_ == kMaxLoadAttempts) callbacks_.loaded({});
    if (!std::exchange(reported_, true))
        log_event(Event::StateNotPersisted, "state: nothing is kept on disk now: " + why);
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
        socket_.reset();
    }
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        unreaped_.push_back(std::exchange(pid_, -1));
    }
    reap();
    restart_timer_.set(loop_.now() + kRestartDelay, [this] { start(); });
}

void SnapshotClient::reap() {
    std::erase_if(unreaped_, [](pid_t pid) { return ::waitpid(pid, nullptr, WNOHANG) != 0; });
    if (!unreaped_.empty()) reap_timer_.set(loop_.now() + kReapInterval, [this] { reap(); });
}

}  // namespace martenford::replica
