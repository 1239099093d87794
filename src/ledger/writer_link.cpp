#include "ledger/writer_link.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <climits>
#include <csignal>
#include <cstring>
#include <utility>
#include <vector>

#include "core/events.h"
#include "core/wall_clock.h"
#include "helper/helper.h"

namespace martenford::ledger {

using boost::system::error_code;

namespace {

constexpr std::size_t kMaxWriteBytes = 64 * 1024;  // handed to the socket at once
constexpr Duration kReapRetry = 50ms;  // a killed writer may hang in the kernel: it is not waited for

std::string milliseconds_text(Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

}  // namespace

WriterLink::WriterLink(EventLoop& loop, const Options& options, const std::string& sidecar,
                       std::uint64_t boot, Counters& counters)
    : loop_(loop),
      options_(options),
      sidecar_(sidecar),
      boot_(boot),
      pending_(options.queue),
      restart_timer_(loop),
      response_timer_(loop),
      reap_timer_(loop),
      finish_timer_(loop),
      records_(counters.counter("ledger.records", "records handed to the journal")),
      restarts_(counters.counter("ledger.writer_starts", "starts of the journal's writer")),
      failures_(counters.counter("ledger.writer_troubles",
                                 "times that the writer died, hung or could keep nothing")) {
    counters.gauge("ledger.waiting", "records not yet durable",
                   [this] { return static_cast<double>(pending_.records()); });
    counters.gauge("ledger.works", "1 while records are made durable",
                   [this] { return pending_.health() == PendingRecords::Health::Up ? 1.0 : 0.0; });
    counters.gauge("ledger.dropped", "records that found no room",
                   [this] { return static_cast<double>(pending_.dropped()); });
}

WriterLink::~WriterLink() {
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
    }
}

void WriterLink::start(bool successor) {
    successor_ = successor;
    started_ = true;
    start_writer();
}

void WriterLink::start_writer() {
    int socket_ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, socket_ends) != 0)
        return writer_lost(std::string("no socket for a writer: ") + std::strerror(errno));
    const bool spawned = spawn(socket_ends[1]);
    ::close(socket_ends[1]);
    if (!spawned) {
        ::close(socket_ends[0]);
        return writer_lost("no writer can be started");
    }
    socket_ = std::make_shared<Socket>(loop_.io(), asio::local::stream_protocol(), socket_ends[0]);
    error_code ignored;
    socket_->non_blocking(true, ignored);
    reader_ = {};
    restarts_.add();
    pending_.writer_started(EventLoop::monotonic());
    hello_frame_ = frame_of(ToWriter{Hello{kLinkVersion, boot_, sidecar_, wall_ms()}});
    read();
    flush();
    arm_response_timer();
    notify_change();
}

bool WriterLink::spawn(int descriptor) {
    const std::string helper = options_.helper.empty() ? default_helper_path() : options_.helper;
    std::vector<std::string> arguments{helper,
                                       "writer",
                                       "--directory",
                                       options_.directory,
                                       "--batch-records",
                                       std::to_string(options_.batch.max_records),
                                       "--batch-delay-us",
                                       std::to_string(options_.batch.delay.count() / 1000),
                                       "--most-bytes",
                                       std::to_string(options_.max_bytes),
                                       "--keep-ms",
                                       milliseconds_text(options_.journal_retention),
                                       "--keep-archives-ms",
                                       milliseconds_text(options_.archive_retention)};
    if (successor_) arguments.push_back("--heir");
    writer_pid_ = start_helper(std::move(arguments), descriptor);
    return writer_pid_ > 0;
}

bool WriterLink::push(Record record) {
    record.sequence = sequence_ + 1;
    std::string frame;
    try {
        frame = frame_of(ToWriter{std::move(record)});
    } catch (const FrameError&) {
        return false;  // a name longer than the bounds of any front allow
    }
    if (!pending_.put(sequence_ + 1, std::move(frame))) return false;
    ++sequence_;
    records_.add();
    schedule_flush();
    return true;
}

/// At the end of the turn: what came in one turn goes out in one write.
void WriterLink::schedule_flush() {
    if (std::exchange(flush_scheduled_, true)) return;
    asio::post(loop_.io(), [this] {
        flush_scheduled_ = false;
        flush();
    });
}

void WriterLink::flush() {
    if (!socket_ || write_pending_) return;
    write_buffer_ =
        std::exchange(hello_frame_, {}) + pending_.take_unsent(kMaxWriteBytes, EventLoop::monotonic());
    if (write_buffer_.empty()) return;
    write_pending_ = true;
    arm_response_timer();
    asio::async_write(*socket_, asio::buffer(write_buffer_),
                      [this, socket = socket_](const error_code& error, std::size_t) {
                          if (socket != socket_) return;  // of a writer that is gone
                          write_pending_ = false;
                          if (error) return writer_lost("its socket: " + error.message());
                          flush();
                      });
}

void WriterLink::read() {
    socket_->async_read_some(asio::buffer(read_buffer_),
                             [this, socket = socket_](const error_code& error, std::size_t size) {
                                 if (socket != socket_) return;
                                 if (error) return writer_lost("the writer has ended");
                                 try {
                                     reader_.feed({read_buffer_, size});
                                     while (const auto message = reader_.next())
                                         handle(read_from_writer(*message));
                                 } catch (const FrameError& frame_error) {
                                     return writer_lost(frame_error.what());
                                 }
                                 if (socket != socket_) return;
                                 flush();
                                 arm_response_timer();
                                 read();
                             });
}

void WriterLink::handle(const FromWriter& message) {
    const Time now = EventLoop::monotonic();
    if (const auto* ack = std::get_if<Ack>(&message)) {
        pending_.acknowledged(ack->up_to, now);
    } else if (const auto* trouble = std::get_if<Trouble>(&message)) {
        if (pending_.health() != PendingRecords::Health::Failing) failures_.add();
        if (!std::exchange(outage_logged_, true))
            log_event(Event::JournalWriterLost, "the journal keeps nothing now: " + trouble->what);
        pending_.writer_failing(trouble->what, now);
        return notify_change();
    } else {
        pending_.writer_ready(now);
    }
    if (pending_.health() == PendingRecords::Health::Up && std::exchange(outage_logged_, false))
        log_event(Event::JournalRecovered, "the journal works again");
    notify_change();
}

/// A line of log where that begins, none for each further start.
void WriterLink::writer_lost(const std::string& why) {
    failures_.add();
    if (!std::exchange(outage_logged_, true))
        log_event(Event::JournalWriterLost, "the journal's writer is lost, and started again: " + why);
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
        socket_.reset();
    }
    write_pending_ = false;
    if (writer_pid_ > 0) {
        ::kill(writer_pid_, SIGKILL);
        killed_pids_.push_back(std::exchange(writer_pid_, -1));
    }
    reap();
    pending_.writer_lost(why, EventLoop::monotonic());
    restart_timer_.set(*pending_.restart_at(), [this] { start_writer(); });
    response_timer_.cancel();
    notify_change();
}

void WriterLink::reap() {
    std::erase_if(killed_pids_, [](pid_t pid) { return ::waitpid(pid, nullptr, WNOHANG) != 0; });
    if (killed_pids_.empty()) return;
    reap_timer_.set(EventLoop::monotonic() + kReapRetry, [this] { reap(); });
}

void WriterLink::arm_response_timer() {
    const auto until = pending_.response_deadline();
    if (!until) return response_timer_.cancel();
    response_timer_.set(*until, [this] {
        if (pending_.is_unresponsive(EventLoop::monotonic()))
            return writer_lost("it owes an answer for too long");
        arm_response_timer();
    });
}

void WriterLink::notify_change() {
    if (on_change_) on_change_();
    if (on_finished_ && pending_.records() == 0) {
        finish_timer_.cancel();
        std::exchange(on_finished_, nullptr)();
    }
}

void WriterLink::finish(Duration timeout, std::function<void()> done) {
    on_finished_ = std::move(done);
    finish_timer_.set(EventLoop::monotonic() + timeout, [this] {
        if (on_finished_) std::exchange(on_finished_, nullptr)();
    });
    flush();
    notify_change();
}

}  // namespace martenford::ledger
